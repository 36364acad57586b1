//! Replies that follow from the claims table, as far as the log has been read.

use super::{body_cache::BodyCache, Verdict};
use crate::{
    base::{Attempt, Digest, Instance, Millis, ProcessName, RequestId},
    kernel::{ClaimState, Kernel, Outcome},
    wire::{NotRun, RunOutcome, SettleReply},
};

/// Name and instance of this agent's process.
#[derive(Clone, Debug)]
pub(super) struct Identity {
    pub(super) holder: ProcessName,
    pub(super) instance: Instance,
}

/// Returns the reply to a request that is not in progress here, or `None` if its attempt can be claimed.
pub(super) fn request_verdict(
    kernel: &Kernel,
    bodies: &BodyCache,
    own: &Identity,
    id: &RequestId,
    digest: Digest,
    attempt: Attempt,
) -> Option<Verdict> {
    let not_run = |reason| Some(Verdict::Failed(RunOutcome::NotRun(reason)));
    let Some((latest, state, known)) = kernel.claims().get(id) else {
        return is_expired(kernel, id)
            .then(|| Verdict::Failed(RunOutcome::NotRun(NotRun::Expired)));
    };
    if known.is_some_and(|d| d != digest) {
        return not_run(NotRun::Digest);
    }
    match state {
        ClaimState::Done(outcome) => Some(done_verdict(bodies, id, outcome)),
        ClaimState::Claimed { holder, instance } => Some(Verdict::Failed(
            // A previous process of this agent can no longer record an outcome; neither can this process if the request
            // is not in progress.
            if *holder == own.holder || *instance == own.instance {
                RunOutcome::MayHaveRun
            } else {
                RunOutcome::InProgress {
                    holder: holder.clone(),
                }
            },
        )),
        ClaimState::Void if attempt <= latest => not_run(NotRun::Void),
        ClaimState::Void => None,
    }
}

/// Returns whether a request id is certainly older than the window in which the kernel remembers ids.
///
/// The log's time advances only with its records, so an id that seems to lie in the future is left to the kernel.
pub(super) fn is_expired(kernel: &Kernel, id: &RequestId) -> bool {
    let ahead = id.created_ms().is_some_and(|t| Millis(t) > kernel.time());
    !ahead && kernel.claims().is_expired(kernel.time(), id)
}

/// Returns the reply to a request whose outcome is recorded.
pub(super) fn done_verdict(bodies: &BodyCache, id: &RequestId, outcome: &Outcome) -> Verdict {
    let body = match &outcome.body {
        Some(body) => Some(body.clone().into()),
        None => bodies.get(id).filter(|b| Digest::of(b) == outcome.digest),
    };
    match body {
        Some(body) => Verdict::Done {
            status: outcome.status,
            media: outcome.media.clone(),
            body,
        },
        // The body is too large for the log, and only the agent that ran the request may have it.
        None => Verdict::Failed(RunOutcome::MayHaveRun),
    }
}

/// Returns the outcome of an attempt, or `None` if no record decides it yet.
pub(super) fn attempt_outcome(
    kernel: &Kernel,
    bodies: &BodyCache,
    id: &RequestId,
    attempt: Attempt,
) -> Option<SettleReply> {
    let (latest, state, _) = kernel.claims().get(id)?;
    if latest > attempt {
        return Some(SettleReply::Void);
    }
    if latest < attempt {
        return None;
    }
    Some(match state {
        ClaimState::Void => SettleReply::Void,
        ClaimState::Claimed { holder, .. } => SettleReply::Claimed {
            holder: holder.clone(),
        },
        ClaimState::Done(outcome) => done_reply(bodies, id, outcome),
    })
}

/// Returns the settlement of an attempt that ran, with the response body if this agent has it.
pub(super) fn done_reply(bodies: &BodyCache, id: &RequestId, outcome: &Outcome) -> SettleReply {
    let mut outcome = outcome.clone();
    if outcome.body.is_none() {
        outcome.body = bodies.get(id).map(Vec::from);
    }
    SettleReply::Done(outcome)
}

/// Returns the latest void attempt of a request (0 if there is none), or `None` if an attempt is claimed.
pub(super) fn latest_void(kernel: &Kernel, id: &RequestId) -> Option<Attempt> {
    match kernel.claims().get(id) {
        None => Some(Attempt(0)),
        Some((latest, ClaimState::Void, _)) => Some(latest),
        Some(_) => None,
    }
}

/// Returns the latest attempt of a request if this process has claimed it.
pub(super) fn claimed_attempt(kernel: &Kernel, own: &Identity, id: &RequestId) -> Option<Attempt> {
    match kernel.claims().get(id)? {
        (latest, ClaimState::Claimed { instance, .. }, _) if *instance == own.instance => {
            Some(latest)
        }
        _ => None,
    }
}
