//! Requests in hand.

use super::Ticket;
use crate::{
    base::{Attempt, Digest, Millis, RecordId, RequestId},
    kernel::Outcome,
};

/// How far a request in hand is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// The claim waits for an append; nothing of it can be in the log.
    Queued(Millis),
    /// The claim was sent and not read back.
    Sent(RecordId, Millis),
    /// The claim was read back as the first record for the attempt and the request was passed to the endpoint.
    Running,
    /// The endpoint received nothing; the own void is not read back yet.
    Voiding(Millis),
    /// The endpoint answered; the outcome is not read back yet.
    Recorded(Outcome),
}

/// A request in hand.
#[derive(Debug)]
pub(super) struct Work<P> {
    pub(super) attempt: Attempt,
    pub(super) digest: Digest,
    pub(super) phase: Phase,
    pub(super) payload: Option<P>,
    /// Callers and their deadlines; at most [`WAITERS_MAX`](super::WAITERS_MAX).
    pub(super) waiters: Vec<(Ticket, Millis)>,
}

/// A settlement that waits for its void.
#[derive(Clone, Copy, Debug)]
pub(super) struct Settle {
    pub(super) ticket: Ticket,
    pub(super) id: RequestId,
    pub(super) attempt: Attempt,
    pub(super) deadline: Millis,
}
