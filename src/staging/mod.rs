//! Agent that keeps the weights of the endpoint on its host up to date.
//!
//! The agent copies a version's chunks from the origin and from other hosts, checks them, stages them at the endpoint
//! and orders the endpoint to load them. The load starts are spread over the hosts of the service. Staged chunks are
//! stored by the endpoint and not by the agent, which reads them back from there to serve other hosts; it buffers only
//! chunks that cannot be staged yet. The source of each chunk is chosen by [`crate::decide::chunk`].

mod agent;
mod assignment;
mod check;
mod copy;
mod entries;
mod exchange;
mod first_load;
mod host;
mod inventory;
mod load;
mod log_event;
mod manifest;
mod manifest_check;
mod notify;
mod peers;
mod read_ahead;
mod run;
mod uploads;

pub use host::{EndpointHost, HostError, HostReport, LoadResponse, Manifest, Origin};
pub use run::{run, run_with, AgentSettings};
