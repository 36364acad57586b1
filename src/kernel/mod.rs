//! The replicated state machine over the platform's log.
//!
//! Every process applies the same records in the same order and so holds the same state. The kernel has no clock,
//! randomness or I/O; its time is the time that the log stamped on each record. Work for each record and the size of
//! each table are bounded.

mod claim;
mod config;
mod dedupe;
mod lease;
mod record;
mod snapshot;
mod state;

pub use claim::{ClaimState, Claims, Outcome, CLAIMS_MAX, MEDIA_MAX, OUTCOME_MAX};
pub use config::{Config, Conflict, Node, NodePath, PathError, Values, NODES_MAX};
pub use dedupe::{Dedupe, RECENT_MAX};
pub use lease::{Lease, Leases, LEASES_MAX};
pub use record::{
    Body, BodyKind, Claim, Done, Entry, Expire, LeaseOp, Publish, Record, RecordError, Void,
    Window, RECORD_MAX, SCHEMA,
};
pub use snapshot::{Assembler, Snapshot, SnapshotChunk, SNAPSHOT_MAX};
pub use state::{Effect, Kernel, Refusal, Step};
