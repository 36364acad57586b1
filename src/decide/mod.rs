//! Decisions as state machines without I/O.

pub mod chunk;
