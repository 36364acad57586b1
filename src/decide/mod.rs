//! Decision logic as state machines without I/O: callers pass in events and the time, and carry out the actions.

pub mod burst;
pub mod chunk;
pub mod claim;
pub mod cold;
pub mod drain;
pub mod evacuation;
pub mod feed;
pub mod lease;
pub mod limit;
pub mod member;
pub mod pace;
pub mod permit;
pub mod priority;
pub mod quarantine;
pub mod residency;
pub mod retry;
pub mod returning;
pub mod rollout;
pub mod route;
pub mod shed;
pub mod silence;
pub mod spill;
pub mod stop;
pub mod supersede;
