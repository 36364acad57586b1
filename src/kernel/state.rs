//! The state machine that applies log records.

use serde::{Deserialize, Serialize};

use super::{
    claim::Claims,
    config::{Config, Conflict},
    dedupe::Dedupe,
    lease::Leases,
    record::{Body, Entry, Record, RecordError},
};
use crate::base::{Digest, Millis, Offset, RecordId};

/// The agreed state after a prefix of the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Kernel {
    /// Offset of the last applied record; never goes back.
    applied: Offset,
    /// Greatest time stamp of an applied record.
    time: Millis,
    recent: Dedupe,
    config: Config,
    leases: Leases,
    claims: Claims,
}

/// What one record did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// Offset of the record.
    pub offset: Offset,
    /// Id of the record, unless it could not be decoded.
    pub id: Option<RecordId>,
    /// Its effect.
    pub effect: Effect,
}

/// The effect of a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The settings tree changed.
    Published,
    /// A settings change was refused.
    Conflict(Box<Conflict>),
    /// A lease changed.
    Leased,
    /// For each member of a batch of claims, voids or outcomes: whether it took effect.
    Batch(Vec<bool>),
    /// The record has no effect in the current state, or is out of bounds.
    Rejected,
    /// The record id was applied before.
    Duplicate,
    /// The bytes are not a record of this system.
    Skipped(RecordError),
}

/// Why an entry cannot be applied at all; the state is unchanged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The entry is not the next one of the stream.
    #[error("offset {found} does not follow offset {applied}; load a snapshot or ask a peer")]
    Gap {
        /// Last applied offset.
        applied: Offset,
        /// Offset of the entry.
        found: Offset,
    },
    /// The entry was applied before, or the log went back.
    #[error("offset {found} is not after offset {applied}; ignore the record")]
    Old {
        /// Last applied offset.
        applied: Offset,
        /// Offset of the entry.
        found: Offset,
    },
    /// The entry has a newer schema than this build.
    #[error(transparent)]
    Newer(RecordError),
}

impl Kernel {
    /// Creates the state before the first record; `window` is the time for which request ids are kept.
    pub fn new(window: Millis) -> Self {
        Self {
            applied: Offset(0),
            time: Millis::ZERO,
            recent: Dedupe::default(),
            config: Config::default(),
            leases: Leases::default(),
            claims: Claims::new(window),
        }
    }

    /// Notes that the stream lost its beginning, so that request ids whose claims may be lost are refused.
    ///
    /// Only for a state that has applied nothing yet.
    pub fn set_truncated(&mut self) {
        self.claims.set_truncated();
    }

    /// Returns the offset of the last applied record.
    pub fn applied(&self) -> Offset {
        self.applied
    }

    /// Returns the log's time at the last applied record, in Unix milliseconds.
    pub fn time(&self) -> Millis {
        self.time
    }

    /// Returns the settings tree.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Returns the leases.
    pub fn leases(&self) -> &Leases {
        &self.leases
    }

    /// Returns the claims.
    pub fn claims(&self) -> &Claims {
        &self.claims
    }

    /// Returns a hash over the whole state; equal states have equal hashes.
    pub fn digest(&self) -> Digest {
        Digest::of(&postcard::to_stdvec(self).unwrap_or_default())
    }

    /// Applies the next entry of the stream.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`], with the state unchanged, if the entry does not directly follow the applied prefix or
    /// has a newer schema.
    pub fn apply(&mut self, e: &Entry) -> Result<Step, Refusal> {
        let (applied, found) = (self.applied, e.offset);
        if found <= applied {
            return Err(Refusal::Old { applied, found });
        }
        if found != applied.next() {
            return Err(Refusal::Gap { applied, found });
        }
        let decoded = Record::decode(&e.data);
        if let Err(newer @ RecordError::Newer(_)) = decoded {
            return Err(Refusal::Newer(newer));
        }
        self.applied = found;
        self.time = self.time.max(e.time);
        self.claims.begin(self.time);
        self.claims.prune(self.time);
        let step = match decoded {
            Ok(r) => Step {
                offset: found,
                id: Some(r.id),
                effect: self.apply_record(found, &r),
            },
            Err(err) => Step {
                offset: found,
                id: None,
                effect: Effect::Skipped(err),
            },
        };
        Ok(step)
    }

    fn apply_record(&mut self, offset: Offset, r: &Record) -> Effect {
        if !self.recent.insert(r.id) {
            return Effect::Duplicate;
        }
        let now = self.time;
        match &r.body {
            Body::Publish(p) => match self.config.apply(offset, p) {
                Ok(true) => Effect::Published,
                Ok(false) => Effect::Rejected,
                Err(conflict) => Effect::Conflict(Box::new(conflict)),
            },
            Body::Lease(op) if self.leases.apply(offset, op) => Effect::Leased,
            Body::Lease(_) => Effect::Rejected,
            Body::Claims(batch) => {
                Effect::Batch(batch.iter().map(|c| self.claims.claim(now, c)).collect())
            }
            Body::Voids(batch) => {
                Effect::Batch(batch.iter().map(|v| self.claims.void(now, v)).collect())
            }
            Body::Window(w) => Effect::Batch(vec![self.claims.set_window(now, w)]),
            Body::Done(batch) => Effect::Batch(batch.iter().map(|d| self.claims.done(d)).collect()),
        }
    }
}
