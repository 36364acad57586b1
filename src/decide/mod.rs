//! Decisions as state machines without I/O.

pub mod claim;
pub mod drain;
pub mod lease;
