//! What both daemons share: process settings and the running process's context.

mod context;
mod settings;

pub use context::{Context, Phase, CLAIM_WINDOW};
pub use settings::{EndpointKind, EndpointSettings, Fencing, Links, ProcessSettings};
