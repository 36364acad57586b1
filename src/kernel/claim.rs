//! Claims that make non-repeatable requests run at most once.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::record::{Claim, Done, Void, Window};
use crate::base::{Attempt, Digest, Instance, Millis, Offset, ProcessName, RequestId};

/// Largest number of request ids kept at once; further claims are refused.
pub const CLAIMS_MAX: usize = 1 << 18;

/// Largest outcome body that is kept in the log, in bytes.
pub const OUTCOME_MAX: usize = 4096;

/// Longest media type of an outcome, in bytes; without it an outcome could be as large as a record.
pub const MEDIA_MAX: usize = 128;

/// Time by which a request id may lie ahead of the log's time; allows for clock skew of callers.
const AHEAD_MAX: Millis = Millis::from_secs(60);

/// What the endpoint answered to a claimed attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Outcome {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body; at most [`MEDIA_MAX`] bytes.
    pub media: String,
    /// Hash of the body.
    pub digest: Digest,
    /// The body, or `None` if it is longer than [`OUTCOME_MAX`] and only the agent has it.
    pub body: Option<Vec<u8>>,
}

/// State of the latest attempt of a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ClaimState {
    /// One run of an agent may run the attempt or has run it.
    Claimed {
        /// Agent that holds the claim.
        holder: ProcessName,
        /// Run of that agent.
        instance: Instance,
    },
    /// The attempt can never run; the next attempt may be claimed.
    Void,
    /// The attempt ran with this outcome.
    Done(Outcome),
}

/// One request id.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Slot {
    /// Hash of the request; `None` until a claim names it.
    digest: Option<Digest>,
    /// Latest attempt that a record named.
    attempt: Attempt,
    /// State of that attempt.
    state: ClaimState,
}

/// All request ids within the window.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Claims {
    /// Time for which ids are kept; shorter than the log's retention.
    window: Millis,
    /// Offset of the control stream that `window` is from.
    revision: Offset,
    /// Ids that were created before this time are outside the window, whatever its length; never goes back.
    floor: Millis,
    /// Whether records before the first applied one are unknown, until that one sets `floor`.
    truncated: bool,
    /// Slots by id; at most [`CLAIMS_MAX`].
    slots: BTreeMap<RequestId, Slot>,
    /// Ids in the order of their first record, with the log time of that record.
    order: VecDeque<(Millis, RequestId)>,
}

impl Claims {
    /// Creates an empty table that keeps ids for `window`.
    pub fn new(window: Millis) -> Self {
        Self {
            window,
            revision: Offset(0),
            floor: Millis::ZERO,
            truncated: false,
            slots: BTreeMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Returns attempt number, state and request hash of an id.
    pub fn get(&self, id: &RequestId) -> Option<(Attempt, &ClaimState, Option<Digest>)> {
        self.slots.get(id).map(|s| (s.attempt, &s.state, s.digest))
    }

    /// Returns the number of ids kept.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Returns whether no id is kept.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Returns the time for which ids are kept, and the offset of the control stream that it is from.
    pub fn window(&self) -> (Millis, Offset) {
        (self.window, self.revision)
    }

    /// Notes that the stream lost its beginning.
    pub(super) fn set_truncated(&mut self) {
        self.truncated = true;
    }

    /// Refuses ids whose records may be among the lost ones, once the time of the first kept record is known.
    ///
    /// The records of an id are at most [`AHEAD_MAX`] older than the id. If the log keeps records for longer than the
    /// window, the ids concerned are outside it anyway.
    pub(super) fn begin(&mut self, now: Millis) {
        if std::mem::take(&mut self.truncated) {
            self.floor = self.floor.max(now + AHEAD_MAX);
        }
    }

    /// Changes the window; returns whether that took effect.
    ///
    /// A longer window does not bring back the ids that left the shorter one, because their claims were removed.
    pub(super) fn set_window(&mut self, now: Millis, w: &Window) -> bool {
        if w.revision <= self.revision {
            return false;
        }
        self.floor = self.floor.max(now - self.window);
        self.window = w.window;
        self.revision = w.revision;
        true
    }

    /// Returns whether an id lies outside the window at log time `now`.
    ///
    /// Ids without a time are always outside, because a repeat could not be recognised after the window.
    pub fn is_expired(&self, now: Millis, id: &RequestId) -> bool {
        let Some(created) = id.created_ms() else {
            return true;
        };
        let created = Millis(created);
        created > now + AHEAD_MAX || created + self.window < now || created < self.floor
    }

    /// Removes ids whose first record is older than the window plus the allowed clock skew.
    ///
    /// An id is removed only after [`Self::is_expired`] holds for it, so that a removed id can never be claimed again.
    pub(super) fn prune(&mut self, now: Millis) {
        let keep = self.window + AHEAD_MAX;
        while self.order.front().is_some_and(|(t, _)| *t + keep < now) {
            if let Some((_, id)) = self.order.pop_front() {
                self.slots.remove(&id);
            }
        }
    }

    fn insert(&mut self, now: Millis, id: RequestId, slot: Slot) -> bool {
        if self.slots.len() >= CLAIMS_MAX || self.is_expired(now, &id) {
            return false;
        }
        self.slots.insert(id, slot);
        self.order.push_back((now, id));
        true
    }

    /// Applies a claim; returns whether its holder may run the attempt.
    pub(super) fn claim(&mut self, now: Millis, c: &Claim) -> bool {
        let state = ClaimState::Claimed {
            holder: c.holder.clone(),
            instance: c.instance,
        };
        let Some(slot) = self.slots.get_mut(&c.request) else {
            let slot = Slot {
                digest: Some(c.digest),
                attempt: c.attempt,
                state,
            };
            return c.attempt == Attempt(1) && self.insert(now, c.request, slot);
        };
        let next = slot.state == ClaimState::Void && c.attempt.0 == slot.attempt.0 + 1;
        if !next || slot.digest.is_some_and(|d| d != c.digest) {
            return false;
        }
        *slot = Slot {
            digest: Some(c.digest),
            attempt: c.attempt,
            state,
        };
        true
    }

    /// Applies a void; returns whether the attempt is void now.
    pub(super) fn void(&mut self, now: Millis, v: &Void) -> bool {
        let Some(slot) = self.slots.get_mut(&v.request) else {
            let slot = Slot {
                digest: None,
                attempt: v.attempt,
                state: ClaimState::Void,
            };
            return v.attempt == Attempt(1) && self.insert(now, v.request, slot);
        };
        if v.attempt.0 == slot.attempt.0 + 1 && slot.state == ClaimState::Void {
            slot.attempt = v.attempt;
            return true;
        }
        if v.attempt != slot.attempt {
            return false;
        }
        match &slot.state {
            ClaimState::Void => true,
            ClaimState::Claimed { instance, .. } if *instance == v.instance => {
                slot.state = ClaimState::Void;
                true
            }
            ClaimState::Claimed { .. } | ClaimState::Done(_) => false,
        }
    }

    /// Applies an outcome; returns whether it was stored.
    pub(super) fn done(&mut self, d: &Done) -> bool {
        let small = d
            .outcome
            .body
            .as_ref()
            .is_none_or(|b| b.len() <= OUTCOME_MAX);
        let Some(slot) = self
            .slots
            .get_mut(&d.request)
            .filter(|s| s.attempt == d.attempt)
        else {
            return false;
        };
        let own =
            matches!(&slot.state, ClaimState::Claimed { instance, .. } if *instance == d.instance);
        if !own || !small || d.outcome.media.len() > MEDIA_MAX {
            return false;
        }
        slot.state = ClaimState::Done(d.outcome.clone());
        true
    }
}
