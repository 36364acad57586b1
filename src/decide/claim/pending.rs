//! Requests and settlements in progress.

use super::Ticket;
use crate::{
    base::{Attempt, Digest, Millis, RecordId, RequestId},
    kernel::Outcome,
};

/// Progress of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// The claim has waited for an append since this time; it cannot be in the log.
    Queued(Millis),
    /// An append of the claim was started at this time, in this record; the claim is not read back yet.
    Sent(RecordId, Millis),
    /// The claim was read back as the first record for the attempt, and the request was passed to the endpoint.
    Running,
    /// The endpoint received nothing; this agent's void record is not read back yet. Ends at this time at the latest.
    Voiding(Millis),
    /// The endpoint responded; the record of the outcome is not read back yet.
    Recorded(Outcome),
}

/// A request in progress.
#[derive(Debug)]
pub(super) struct PendingRequest<P> {
    pub(super) attempt: Attempt,
    pub(super) digest: Digest,
    pub(super) phase: Phase,
    /// `None` once the request was passed to the endpoint.
    pub(super) payload: Option<P>,
    /// Waiting callers and their deadlines; at most [`WAITERS_MAX`](super::WAITERS_MAX).
    pub(super) waiters: Vec<(Ticket, Millis)>,
}

/// A settlement that waits until its void record is read back.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingSettle {
    pub(super) ticket: Ticket,
    pub(super) id: RequestId,
    pub(super) attempt: Attempt,
    pub(super) deadline: Millis,
}
