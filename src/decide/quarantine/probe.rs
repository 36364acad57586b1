//! Schedule of the probes of a quarantined part.

use serde::{Deserialize, Serialize};

use crate::base::Millis;

/// Time from the quarantine to the first probe, so that a part that was accused wrongly is soon cleared.
const FIRST_PROBE: Millis = Millis(1500);

/// Longest time between two probes.
const INTERVAL_MAX: Millis = Millis(3_600_000);

/// Factor of the interval after a probe that ended its endpoint: each one costs all requests in flight there.
const FAILED_FACTOR: u64 = 20;

/// Factor of the interval after a probe without a clear result, and number of such probes before it grows: the endpoint
/// may have refused the probe, or ended for another reason.
const OPEN_FACTOR: u64 = 3;
const OPEN_PROBES: u32 = 2;

/// Number of probes so far. Of two reports, the greater one is the newer one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProbeProgress {
    /// Probes that ended their endpoints.
    pub failed: u32,
    /// Probes granted since the last one that failed.
    pub granted: u32,
}

impl ProbeProgress {
    /// Returns the time until the next probe.
    fn interval(self) -> Millis {
        let failed = FAILED_FACTOR.saturating_pow(self.failed);
        let open = OPEN_FACTOR.saturating_pow(self.granted.saturating_sub(OPEN_PROBES));
        FIRST_PROBE.times(failed).times(open).min(INTERVAL_MAX)
    }
}

/// Schedule of the probes of one part, as one process knows it.
#[derive(Clone, Copy, Debug)]
pub(super) struct ProbeSchedule {
    pub(super) progress: ProbeProgress,
    /// Time at which the next probe is due.
    pub(super) next: Millis,
}

impl ProbeSchedule {
    pub(super) fn new(now: Millis) -> Self {
        let progress = ProbeProgress::default();
        Self {
            progress,
            next: now + progress.interval(),
        }
    }

    /// Counts a probe if one is due; returns whether it is.
    pub(super) fn grant(&mut self, now: Millis) -> bool {
        if now < self.next {
            return false;
        }
        self.count_granted(now);
        true
    }

    /// Counts a probe that was granted.
    pub(super) fn count_granted(&mut self, now: Millis) {
        let granted = self.progress.granted + 1;
        self.set(
            ProbeProgress {
                granted,
                ..self.progress
            },
            now,
        );
    }

    /// Counts a granted probe as failed, because an endpoint ended that points strongly to the part, or because the end of
    /// the probe itself is known; the second report of the same probe changes nothing. Returns whether it was counted.
    pub(super) fn record_failure(&mut self, now: Millis) -> bool {
        if self.progress.granted == 0 {
            return false;
        }
        let failed = self.progress.failed + 1;
        self.set(ProbeProgress { failed, granted: 0 }, now);
        true
    }

    /// Merges the progress that another process knows; returns whether it is newer.
    pub(super) fn merge(&mut self, progress: ProbeProgress, now: Millis) -> bool {
        if progress <= self.progress {
            return false;
        }
        self.set(progress, now);
        true
    }

    /// Puts the next probe off, because the process that grants probes denied one.
    pub(super) fn postpone(&mut self, until: Millis) {
        self.next = self.next.max(until);
    }

    fn set(&mut self, progress: ProbeProgress, now: Millis) {
        self.progress = progress;
        self.next = now + progress.interval();
    }
}
