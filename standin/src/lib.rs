//! Development stand-ins for the platform and the endpoints.
//!
//! Each stand-in runs as a program or, through [`Platform`] and [`Endpoint`], inside the process of a test. A stand-in
//! has a runtime of its own, so that it can be killed like a process.

pub mod certs;
pub mod corrupt;
mod endpoint;
mod fault;
pub mod load;
mod platform;
pub mod rollout;
mod server;
mod text;
pub mod weights;

pub use endpoint::{prefixes, Endpoint, EndpointOptions, Kind};
pub use fault::{Fault, FaultError};
pub use platform::{Platform, PlatformOptions};
pub use server::Server;
pub use text::{answer_text, token_text};
