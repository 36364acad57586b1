//! Decision logic as state machines without I/O: callers pass in events and the time, and carry out the actions.

pub mod burst;
pub mod chunk;
pub mod claim;
pub mod cold;
pub mod drain;
pub mod feed;
pub mod lease;
pub mod limit;
pub mod member;
pub mod permit;
pub mod quarantine;
pub mod retry;
pub mod returning;
pub mod rollout;
pub mod route;
pub mod silence;
pub mod stop;
pub mod supersede;
