//! Decisions as state machines without I/O.
