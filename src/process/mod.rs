//! What both daemons share: process settings, the running process's context, and start-up.

mod context;
mod load;
mod settings;
mod signals;
mod start;

pub use context::{Context, Phase, CLAIM_WINDOW};
pub use settings::{EndpointKind, EndpointSettings, Fencing, Links, ProcessSettings};
pub use signals::Signals;
pub use start::start;
