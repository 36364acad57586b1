//! The entry daemon: takes requests of callers and routes them to agents.

mod answer;
mod api;
mod attempt;
mod caller;
mod events;
mod flight;
mod gate;
mod job;
mod metrics;
mod outcome;
mod request;
mod serve;
mod share;
mod shared;
mod stream;
mod upkeep;
mod watch;

pub use outcome::{Kind, Problem};
pub use serve::run;
