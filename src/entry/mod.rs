//! The entry daemon: takes requests of callers and routes them to agents.

mod answer;
mod api;
mod attempt;
mod caller;
mod events;
mod job;
mod outcome;
mod serve;
mod shared;

pub use outcome::{Kind, Problem};
pub use serve::run;
