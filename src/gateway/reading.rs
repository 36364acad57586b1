//! Whether this entry reads the store for the others of its zone, and what it tells them.

use bytes::Bytes;

use super::{context::Context, log_event, members::Status, packed::pack};
use crate::{base::Millis, emit};

/// Time after the pause between two reads for which the store may take to answer before this entry no longer counts as
/// one that reads it.
const FOLLOW_SLACK: Millis = Millis(500);

/// Time for which an entry reads the endpoints before it reads the configuration too.
const SETTLED: Millis = Millis(1200);

impl Context {
    /// Returns whether this entry reads the store itself, and notes since when.
    pub(super) fn reads_store(&self) -> bool {
        let now = self.now();
        let reads = self.members.borrow().reads_store(now);
        let before = self.reads_since.get();
        if reads != before.is_some() {
            let readers = self.members.borrow().readers(now).len();
            emit!(log_event::READER, "reads={reads} readers={readers}");
        }
        self.reads_since.set(reads.then_some(before.unwrap_or(now)));
        reads
    }

    /// Returns whether this entry reads the configuration itself: not if it reads the store for a moment only, because a
    /// catalog may be large, and any other entry passes it on.
    pub(super) fn reads_catalog(&self) -> bool {
        let now = self.now();
        let settled = |since| now >= since + SETTLED || since <= self.started + SETTLED;
        self.reads_store() && self.reads_since.get().is_some_and(settled)
    }

    /// Returns whether this entry reads the store, and the store answers.
    pub(super) fn follows(&self) -> bool {
        self.now() < self.read_due.get() + FOLLOW_SLACK
    }

    /// Returns what this entry tells others of itself.
    pub(super) fn status(&self) -> Status {
        Status {
            ready: self.is_ready(),
            catalog: self.catalog_version(),
            follows: self.follows(),
            fleet: self.fleet.borrow().digest(),
        }
    }

    /// Tells a change of catalog, named versions or endpoints to everyone who waits for it.
    pub(super) fn tell(&self) {
        self.fleet_changed.set(false);
        self.changed.notify_waiters();
        self.beat_soon.notify_one();
    }

    /// Returns whether an entry has something that this one lacks.
    pub(super) fn is_ahead(&self, told: &Status) -> bool {
        let newer = told.catalog > self.catalog_version();
        let fleet = self.fleet.borrow().digest();
        newer || (told.follows && told.fleet != fleet && !self.follows())
    }

    /// Returns the catalog in compressed form for another entry; `None` if this one has none.
    pub(super) fn packed_catalog(&self) -> Option<Bytes> {
        let raw = self.raw_catalog.borrow();
        if raw.is_empty() {
            return None;
        }
        let mut packed = self.packed_catalog.borrow_mut();
        if packed.is_none() {
            match pack(&raw) {
                Ok(data) => *packed = Some(data),
                Err(e) => emit!(
                    log_event::RECORD,
                    "key=catalog reason=\"cannot compress: {e}\""
                ),
            }
        }
        packed.clone()
    }
}
