//! Metrics, logging, the timeline and the operator HTTP API of both daemons.

mod metrics;
mod status;
mod timeline;

pub use metrics::Metrics;
pub use status::{RoleState, RoleStatus};
pub use timeline::{Moment, Scope, Timeline};
