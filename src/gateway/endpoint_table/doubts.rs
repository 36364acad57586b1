//! Removals of endpoints that are tentative, because the endpoints could not renew their records, or have yet to rewrite
//! them.

use super::{EndpointId, EndpointTable, RENEWAL};
use crate::base::Millis;

impl EndpointTable {
    /// Makes removals tentative for [`RENEWAL`], because endpoints could not renew their records during an outage of
    /// the store that has just ended.
    pub fn store_recovered(&mut self, now: Millis) {
        self.tentative_until = now + RENEWAL;
    }

    /// Makes removals tentative for [`RENEWAL`], because the store was restored from an older copy, and endpoints have yet to
    /// rewrite their records.
    pub fn store_restored(&mut self, now: Millis) {
        self.tentative_until = now + RENEWAL;
        self.restored_until = now + RENEWAL;
        // Removals that are tentative already may be due before the endpoints have rewritten their records again.
        let doubted = self.endpoints.values_mut().filter(|e| e.removal.is_some());
        for endpoint in doubted {
            endpoint.removal = Some(now + RENEWAL);
        }
        self.note_doubt(now + RENEWAL);
    }

    /// Notes that a tentative removal is due at a time.
    pub(super) fn note_doubt(&mut self, due: Millis) {
        self.doubts_until = self.doubts_until.max(due);
    }

    /// Returns whether removals are tentative now, or one that is tentative is not due yet.
    pub fn is_doubting(&self, now: Millis) -> bool {
        now < self.tentative_until.max(self.doubts_until)
    }

    /// Puts off tentative removals that are due before `until`, because this process was held up: an endpoint may have
    /// renewed its record in time, and the renewal is unread.
    pub fn defer_removals(&mut self, until: Millis) {
        self.deferred_until = until;
    }

    /// Returns whether endpoints have yet to rewrite their records, because the store was restored from an older copy.
    pub fn is_restoring(&self, now: Millis) -> bool {
        now < self.restored_until
    }

    /// Ends doubts that another entry shows to be wrong: `up_since` is the time since which the store has answered it.
    /// Returns the endpoints that are removed thereby.
    pub fn end_doubts(&mut self, up_since: Millis, now: Millis) -> Vec<EndpointId> {
        // A store that was restored answered all the while, perhaps.
        if self.is_restoring(now) {
            return Vec::new();
        }
        // Each doubt lasts for `RENEWAL`, and is right if the store was away in as long a time before it.
        let wrong = |until: Millis| up_since + RENEWAL + RENEWAL <= until;
        if wrong(self.tentative_until) {
            self.tentative_until = Millis::ZERO;
        }
        self.remove_tentative(wrong, now)
    }

    /// Removes the endpoints whose tentative removal is due by its time; returns these.
    pub(super) fn remove_tentative(
        &mut self,
        is_due: impl Fn(Millis) -> bool,
        now: Millis,
    ) -> Vec<EndpointId> {
        let endpoints = self.endpoints.values();
        let due: Vec<_> = endpoints
            .filter(|e| e.removal.is_some_and(&is_due))
            .map(|e| e.id.clone())
            .collect();
        for id in &due {
            self.drop_endpoint(id, now);
        }
        due
    }
}
