//! Metrics, logging, the timeline and the operator HTTP API of both daemons.

mod api;
mod lines;
mod logging;
mod metrics;
mod status;
mod timeline;

pub use api::{reload_tls, OperatorApi};
pub use lines::{LeftOut, LineRate, LineWriter};
pub use logging::{init_line_logging, init_logging};
pub use metrics::Metrics;
pub use status::{ProcessStatus, RoleState, RoleStatus};
pub use timeline::{Moment, Scope, Timeline};
