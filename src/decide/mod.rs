//! Decisions as state machines without I/O.

pub mod limit;
pub mod member;
pub mod retry;
pub mod route;
