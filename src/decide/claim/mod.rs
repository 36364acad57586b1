//! Claim runner: makes non-repeatable requests run at most once.
//!
//! An agent writes a claim for an attempt to the log and runs the request only after it has read the claim back as the
//! first record for that attempt. Once the runner has abandoned a claimed attempt it never runs it, whatever is read
//! back later.

mod body_cache;
mod outbox;
mod pending;
mod resolve;
mod runner;
mod timeouts;

pub use runner::ClaimRunner;

use bytes::Bytes;

use crate::{
    base::{Attempt, Digest, Millis, RequestId},
    kernel::Record,
    wire::{NotRun, RunOutcome, SettleReply},
};

/// Largest number of requests in progress; further ones are rejected.
pub const REQUESTS_MAX: usize = 4096;

/// Largest number of callers that wait for the same request.
pub const WAITERS_MAX: usize = 16;

/// Largest difference between the number of an attempt and that of the latest void one; the attempts between them are
/// voided so that the later one can be claimed.
pub const PRIOR_VOIDS_MAX: u32 = 16;

/// Time for which requests are rejected after an append failed.
pub const APPEND_BACKOFF: Millis = Millis(300);

/// Number of a waiting caller, unique in a run of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Time limits from the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Longest time for which claims are collected into one append.
    pub linger: Millis,
    /// Longest time from an append until its record is read back from the log.
    pub readback: Millis,
}

/// A non-repeatable request that a caller submits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission<P> {
    /// Request id.
    pub id: RequestId,
    /// Hash of the request; the same id with another hash is rejected.
    pub digest: Digest,
    /// Attempt number; the first attempt is 1.
    pub attempt: Attempt,
    /// Time of the process clock at which the caller gives up.
    pub deadline: Millis,
    /// Reason for which the request cannot run now, if any; a request that is running or has run is replied to
    /// nevertheless.
    pub refusal: Option<NotRun>,
    /// Data that the driver needs to run the request.
    pub payload: P,
}

/// What the driver has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action<P> {
    /// Append the record to the claims stream of the log, then call [`ClaimRunner::complete_append`].
    Append(Record),
    /// Send the request to the endpoint once, then call [`ClaimRunner::complete_run`].
    Run {
        /// Id of the request.
        id: RequestId,
        /// Data from the submission that the driver needs to run the request.
        payload: P,
        /// Time of the process clock at which the run is given up.
        deadline: Millis,
    },
    /// Reply to a waiting caller.
    Reply(Ticket, Verdict),
    /// Reply to a waiting settlement.
    Settled(Ticket, SettleReply),
}

/// Reply to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The endpoint's response.
    Done {
        /// HTTP status code.
        status: u16,
        /// Media type of the body.
        media: String,
        /// Response body.
        body: Bytes,
    },
    /// There is no response to the request.
    Failed(RunOutcome),
}

/// Result of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendResult {
    /// The record is in the log.
    Appended,
    /// The record is not in the log and will not be.
    Refused,
    /// The record may be in the log, or may still arrive there.
    Unknown,
}

/// Result of sending a request to the endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunResult {
    /// The endpoint responded.
    Responded {
        /// HTTP status code.
        status: u16,
        /// Media type of the body.
        media: String,
        /// Response body.
        body: Bytes,
    },
    /// The endpoint received nothing of the request.
    NotSent,
    /// The request was sent, but no complete response arrived.
    Unknown,
}
