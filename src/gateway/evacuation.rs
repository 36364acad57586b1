//! Evacuated zones at an entry: what it reads and copies of them, and which endpoints get no requests therefore.

use super::{context::Context, endpoint_table::Endpoint, log_event};
use crate::{
    base::{Millis, Zone},
    decide::evacuation::{EvacuationCopy, EvacuationRead, ZoneChange},
    emit,
};

/// Longest time from the start for which an entry takes no callers because it does not know which zones are evacuated.
/// Entries of a build without evacuation don't tell it.
const UNKNOWN_TIME: Millis = Millis(2000);

impl Context {
    /// Returns whether this entry knows which zones are evacuated, or has waited long enough for that.
    pub(super) fn knows_evacuation(&self) -> bool {
        self.evacuation.borrow().is_known() || self.now() >= self.started + UNKNOWN_TIME
    }

    /// Returns why an endpoint gets no requests if its zone is evacuated, and counts the request that it does not get.
    pub(super) fn evacuation_reason(&self, e: &Endpoint) -> Option<&'static str> {
        if !self.evacuation.borrow().contains(&e.record.zone) {
            return None;
        }
        self.metrics.evacuation_withheld.inc();
        Some("the zone of the endpoint is evacuated")
    }

    /// Applies what this entry read of the operator's log.
    pub(super) fn apply_evacuation(&self, read: EvacuationRead) {
        let was_known = self.evacuation.borrow().is_known();
        let changes = self.evacuation.borrow_mut().apply(read, self.now());
        self.note_evacuation(&changes, !was_known, "store");
    }

    /// Merges what another entry knows of the evacuated zones.
    pub(super) fn merge_evacuation(&self, copy: EvacuationCopy, source: &str) {
        let was_known = self.evacuation.borrow().is_known();
        let changes = self.evacuation.borrow_mut().merge(copy, self.now());
        self.note_evacuation(&changes, !was_known, source);
    }

    /// Logs the zones that changed and wakes what depends on them; `first` says that nothing was known before.
    fn note_evacuation(&self, changes: &[(Zone, ZoneChange)], first: bool, source: &str) {
        if changes.is_empty() && !first {
            return;
        }
        for (zone, change) in changes {
            let table = self.endpoints.borrow();
            let endpoints = table.iter().filter(|e| e.record.zone == *zone).count();
            emit!(
                log_event::EVACUATION,
                "zone={zone} change={change:?} endpoints={endpoints} source={source}"
            );
        }
        let count = self.evacuation.borrow().count();
        self.metrics.evacuated_zones.set(count as i64);
        self.notify_changed();
    }
}
