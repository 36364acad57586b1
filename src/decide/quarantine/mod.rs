//! Quarantine of the parts of prompts that end the endpoints which answer them.
//!
//! An endpoint that ends takes all its requests in flight with it. If one of them is the cause, sending it again, or
//! sending another request with the same part, ends the next endpoint. Each process therefore notes the parts that were
//! in flight when an endpoint ended, and the processes exchange what they noted. A part is quarantined if
//!
//! - several endpoints ended while it was in flight, and no request with it was answered since,
//! - the ends have no common cause, such as the loss of a rack: one of them hit a request that was sent when an earlier one
//!   was known already, or there are more of them at different moments,
//! - if requests with the part used to be answered, there was time for an answer while others were answered, and
//! - no other part explains the same ends better.
//!
//! Requests with a quarantined part are rejected, except a single probe from time to time, for which one process grants
//! the permission. One answered request clears a part.
//!
//! The order of ends and answers follows from [`Generation`]s, not from clocks, so that reports which arrive late, from
//! a process that was paused or cut off, cannot clear an end that happened after the answer.

mod evidence;
mod part;
mod probe;
mod served;
mod suspect;
mod table;
mod verdict;

pub use evidence::{End, EndId, Generation, PartReport, Strength};
pub use part::{PartId, PartIdError, PartKey};
pub use probe::ProbeProgress;
pub use table::{Change, ChangeKind, ProbeGrant, Quarantine};
pub use verdict::Verdict;
