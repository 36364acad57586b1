//! Claim runner: makes non-repeatable requests run at most once.
//!
//! A run begins only after the own claim was read back as the first record for its attempt. Once the runner has decided
//! not to run a claimed attempt it never runs it, whatever is read back later.

mod memory;
mod outbox;
mod overdue;
mod resolve;
mod runner;
mod work;

pub use runner::ClaimRunner;

use bytes::Bytes;

use crate::{
    base::{Attempt, Digest, Millis, RequestId},
    kernel::Record,
    wire::{NotRun, RunOutcome, SettleReply},
};

/// Largest number of requests in hand; further ones are refused.
pub const REQUESTS_MAX: usize = 4096;

/// Largest number of callers that wait for one request.
pub const WAITERS_MAX: usize = 16;

/// Largest number of attempts that are voided before a claim of a later attempt.
pub const PRIOR_VOIDS_MAX: u32 = 16;

/// Time for which requests are refused after the log refused an append.
pub const APPEND_BACKOFF: Millis = Millis(300);

/// Number of a waiting caller, unique in a run of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Times that the settings name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Longest time that claims are gathered for one append.
    pub linger: Millis,
    /// Longest time from an append to its read-back.
    pub readback: Millis,
}

/// A non-repeatable request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission<P> {
    /// Request id.
    pub id: RequestId,
    /// Hash of the request.
    pub digest: Digest,
    /// Attempt number.
    pub attempt: Attempt,
    /// Point in time at which the caller gives up.
    pub deadline: Millis,
    /// Why the request cannot run now; requests that have run or run already are answered nevertheless.
    pub refusal: Option<NotRun>,
    /// What is needed to run the request.
    pub payload: P,
}

/// What the driver does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action<P> {
    /// Append the record to the stream of claims and report the result.
    Append(Record),
    /// Send the request to the endpoint once and report the end.
    Run {
        /// Request id.
        id: RequestId,
        /// What is needed to run it.
        payload: P,
        /// Point in time at which the run is given up.
        deadline: Millis,
    },
    /// Answer a waiting caller.
    Reply(Ticket, Verdict),
    /// Answer a waiting settlement.
    Settled(Ticket, SettleReply),
}

/// Answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The endpoint's answer.
    Done {
        /// HTTP status.
        status: u16,
        /// Media type.
        media: String,
        /// Body.
        body: Bytes,
    },
    /// There is no answer.
    Failed(RunOutcome),
}

/// How an append ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendResult {
    /// The record is in the log.
    Appended,
    /// The record is not in the log and will not be.
    Refused,
    /// The record may be in the log, or arrive there later.
    Unknown,
}

/// How a run ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunResult {
    /// The endpoint answered.
    Responded {
        /// HTTP status.
        status: u16,
        /// Media type.
        media: String,
        /// Body.
        body: Bytes,
    },
    /// The endpoint received nothing.
    NotSent,
    /// The request was sent and brought no whole answer.
    Unknown,
}
