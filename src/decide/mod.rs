//! Decisions as state machines without I/O.

pub mod drain;
pub mod lease;
