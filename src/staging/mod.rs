//! Weights of the endpoint on the same host: copied as chunks from the origin and from other hosts, staged at the
//! endpoint, checked, and loaded host after host.
//!
//! The endpoint holds the staged chunks, so an agent keeps no content: what it serves to other hosts it reads from the
//! endpoint. Which chunk comes from where is decided by [`crate::decide::chunk`].

mod agent;
mod copy;
mod entries;
mod exchange;
mod holdings;
mod host;
mod load;
mod log_event;
mod peers;
mod run;
mod tell;
mod work;

pub use host::{EndpointHost, HostError, HostReport, LoadAnswer, Manifest, Origin};
pub use run::{run, AgentSettings};
