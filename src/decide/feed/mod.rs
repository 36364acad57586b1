//! Decisions of the control stream: who reads the log, who is whose parent, and when to write a snapshot.

mod snapshot;
mod tree;

pub use snapshot::{SnapshotTimer, RECORDS_MAX};
pub use tree::{may_follow, plan, snapshot_rank, Plan, DEGREE, READERS};
