//! What the claims table says of a request or an attempt.

use super::{memory::Memory, Verdict};
use crate::{
    base::{Attempt, Digest, Instance, Millis, ProcessName, RequestId},
    kernel::{ClaimState, Kernel, Outcome},
    wire::{NotRun, RunOutcome, SettleReply},
};

/// The process that asks.
#[derive(Clone, Debug)]
pub(super) struct Own {
    pub(super) holder: ProcessName,
    pub(super) instance: Instance,
}

/// Returns the answer to a request that is not in hand, or `None` if its attempt can be claimed.
pub(super) fn request(
    kernel: &Kernel,
    memory: &Memory,
    own: &Own,
    id: &RequestId,
    digest: Digest,
    attempt: Attempt,
) -> Option<Verdict> {
    let not_run = |reason| Some(Verdict::Failed(RunOutcome::NotRun(reason)));
    let Some((latest, state, known)) = kernel.claims().get(id) else {
        return expired(kernel, id).then(|| Verdict::Failed(RunOutcome::NotRun(NotRun::Expired)));
    };
    if known.is_some_and(|d| d != digest) {
        return not_run(NotRun::Digest);
    }
    match state {
        ClaimState::Done(outcome) => Some(done(memory, id, outcome)),
        ClaimState::Claimed { holder, instance } => Some(Verdict::Failed(
            // A former run of this agent can no longer bring an outcome, nor can this one if the request is not in hand.
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

/// Returns whether an id is certainly older than the window.
///
/// Log time advances only with records, so that an id that seems to lie ahead is left to the kernel.
pub(super) fn expired(kernel: &Kernel, id: &RequestId) -> bool {
    let ahead = id.created_ms().is_some_and(|t| Millis(t) > kernel.time());
    !ahead && kernel.claims().is_expired(kernel.time(), id)
}

/// Returns the answer of a finished request.
pub(super) fn done(memory: &Memory, id: &RequestId, outcome: &Outcome) -> Verdict {
    let body = match &outcome.body {
        Some(body) => Some(body.clone().into()),
        None => memory.get(id).filter(|b| Digest::of(b) == outcome.digest),
    };
    match body {
        Some(body) => Verdict::Done {
            status: outcome.status,
            media: outcome.media.clone(),
            body,
        },
        // Another agent has the body.
        None => Verdict::Failed(RunOutcome::MayHaveRun),
    }
}

/// Returns the fate of an attempt, or `None` if no record decides it yet.
pub(super) fn attempt(
    kernel: &Kernel,
    memory: &Memory,
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
        ClaimState::Done(outcome) => settled(memory, id, outcome),
    })
}

/// Returns the reply for an attempt that ran, with its body if this agent has it.
pub(super) fn settled(memory: &Memory, id: &RequestId, outcome: &Outcome) -> SettleReply {
    let mut outcome = outcome.clone();
    if outcome.body.is_none() {
        outcome.body = memory.get(id).map(Vec::from);
    }
    SettleReply::Done(outcome)
}

/// Returns the latest void attempt of a request, or `None` if an attempt is claimed.
pub(super) fn void_up_to(kernel: &Kernel, id: &RequestId) -> Option<Attempt> {
    match kernel.claims().get(id) {
        None => Some(Attempt(0)),
        Some((latest, ClaimState::Void, _)) => Some(latest),
        Some(_) => None,
    }
}

/// Returns the attempt of a request that this run of the process has claimed, if it is the latest one.
pub(super) fn holds(kernel: &Kernel, own: &Own, id: &RequestId) -> Option<Attempt> {
    match kernel.claims().get(id)? {
        (latest, ClaimState::Claimed { instance, .. }, _) if *instance == own.instance => {
            Some(latest)
        }
        _ => None,
    }
}
