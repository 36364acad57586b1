//! Steadiness of the store: whether its responses come as soon as usual, so that a long poll can be relied on.

use crate::base::Millis;

/// Response time below which the store never counts as slow.
const SLOW_MIN: Millis = Millis(60);

/// Factor by which a response of a slow store takes longer than the quickest of late.
const SLOW_FACTOR: u64 = 4;

/// Time for which the store counts as unsteady after a response that was slow, late or missing.
const UNSTEADY_TIME: Millis = Millis(1000);

/// Responses after which the quickest one of before is forgotten, once as many more have come.
const WINDOW: u32 = 256;

/// What the response times of the store tell.
///
/// A long poll that begins while the store is slow may end only with its wait, although a record was written meanwhile.
#[derive(Debug, Default)]
pub struct Steadiness {
    /// Quickest responses of the present window and of the one before.
    quickest: [Option<Millis>; 2],
    /// Responses in the present window.
    count: u32,
    /// End of the time for which the store counts as unsteady.
    until: Millis,
}

impl Steadiness {
    /// Returns whether long polls can be relied on.
    pub fn is_steady(&self, now: Millis) -> bool {
        now >= self.until
    }

    /// Records the time that a response took beyond the wait of its read.
    pub fn record(&mut self, time: Millis, now: Millis) {
        self.record_pending(time, now);
        if self.count == WINDOW {
            self.count = 0;
            self.quickest = [None, self.quickest[0]];
        }
        self.count += 1;
        let quickest = self.quickest[0].map_or(time, |q| q.min(time));
        self.quickest[0] = Some(quickest);
    }

    /// Records that a read has had no response for a time beyond its wait.
    pub fn record_pending(&mut self, time: Millis, now: Millis) {
        if time > self.limit() {
            self.record_failure(now);
        }
    }

    /// Records that a read failed.
    pub fn record_failure(&mut self, now: Millis) {
        self.until = now + UNSTEADY_TIME;
    }

    /// Returns the longest usual response time.
    fn limit(&self) -> Millis {
        let quickest = self.quickest.iter().flatten().min().copied();
        quickest.map_or(SLOW_MIN, |q| q.times(SLOW_FACTOR).max(SLOW_MIN))
    }
}
