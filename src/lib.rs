//! Sesamewing distributes model weights to endpoint hosts and routes requests to them.
//!
//! Modules [`base`], [`kernel`], [`settings`], [`decide`] and [`wire`] do no I/O: they hold the decisions as state
//! machines that take events and a [`base::Millis`] time. The other modules are drivers that own sockets, timers and
//! threads. Programs can embed the first group without the daemons.

pub mod agent;
pub mod backing;
pub mod base;
pub mod decide;
pub mod endpoint;
pub mod entry;
pub mod feed;
pub mod gateway;
pub mod http;
pub mod kernel;
pub mod net;
pub mod observe;
pub mod operator;
pub mod process;
pub mod settings;
pub mod staging;
pub mod weights;
pub mod wire;
