//! Specification of the core protocol, and its exhaustive exploration within small bounds.
//!
//! Each protocol module states the processes' steps and the properties once, generic over the state machine that
//! applies the log. That machine is either the few-line table of the specification or the real kernel; [`Refined`]
//! runs both and requires that the kernel's effect of each log equals the specification's.

pub mod claim;
pub mod explore;
pub mod lease;
pub mod publish;
mod refine;
pub mod report;
pub mod snapshot;

pub use refine::{Abstract, Machine, Memo, Real, Refined};
