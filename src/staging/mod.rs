//! Weights of the endpoint on the same host: copied as chunks from the origin and from other hosts, staged at the
//! endpoint, checked, and loaded host after host.
//!
//! The endpoint holds the staged chunks, so an agent keeps no content: what it serves to other hosts it reads from the
//! endpoint. Which chunk comes from where is decided by [`crate::decide::chunk`].

mod agent;
mod assignment;
mod copy;
mod entries;
mod exchange;
mod host;
mod inventory;
mod load;
mod log_event;
mod notify;
mod peers;
mod run;

pub use host::{EndpointHost, HostError, HostReport, LoadResponse, Manifest, Origin};
pub use run::{run, AgentSettings};
