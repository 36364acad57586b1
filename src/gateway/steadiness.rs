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

/// What is known of the response to a read; times count from the end of the read's wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseTime {
    /// There is none yet after a time.
    Pending(Millis),
    /// It took a time.
    Taken(Millis),
    /// The read failed.
    Failed,
}

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

    /// Records what is known of a response.
    pub fn record(&mut self, response: ResponseTime, now: Millis) {
        let is_slow = match response {
            ResponseTime::Pending(time) | ResponseTime::Taken(time) => time > self.limit(),
            ResponseTime::Failed => true,
        };
        if is_slow {
            self.until = now + UNSTEADY_TIME;
        }
        if let ResponseTime::Taken(time) = response {
            self.record_taken(time);
        }
    }

    fn record_taken(&mut self, time: Millis) {
        if self.count == WINDOW {
            self.count = 0;
            self.quickest = [None, self.quickest[0]];
        }
        self.count += 1;
        let quickest = self.quickest[0].map_or(time, |q| q.min(time));
        self.quickest[0] = Some(quickest);
    }

    /// Returns the longest usual response time.
    fn limit(&self) -> Millis {
        let quickest = self.quickest.iter().flatten().min().copied();
        quickest.map_or(SLOW_MIN, |q| q.times(SLOW_FACTOR).max(SLOW_MIN))
    }
}
