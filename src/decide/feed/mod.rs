//! Distribution of the log to all processes: which processes read it, from which parents the others receive its
//! records, and when a process writes a snapshot.

mod snapshot;
mod tree;

pub use snapshot::{SnapshotTimer, RECORDS_MAX};
pub use tree::{may_follow, plan, snapshot_rank, Plan, DEGREE, READERS};
