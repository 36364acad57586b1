//! When to write a snapshot.

use crate::base::{Millis, Offset};

/// Records after the newest snapshot with which the next one is due.
pub const RECORDS_MAX: u64 = 1000;

/// Part of the retention after which the next snapshot is due.
const AGE_SHARE: u64 = 4;

/// Longest wait from one rank to the next; an order of magnitude above the time to write a snapshot.
const STEP_MAX: Millis = Millis(10_000);

/// Part of the retention that one rank waits for the one before it, so that a short retention is met by later ranks.
const STEP_SHARE: u64 = 16;

/// Decides when this process looks at the snapshot stream and when it writes.
#[derive(Clone, Debug, Default)]
pub struct SnapshotTimer {
    /// Offset of the newest snapshot that this process knows of.
    newest: Offset,
    /// Time of that snapshot, or of the first record if there is none; `None` before the first look.
    written: Option<Millis>,
    /// Time since which a snapshot is due.
    since: Option<Millis>,
}

impl SnapshotTimer {
    /// Returns whether a snapshot is due as far as this process knows.
    pub fn is_due(&self, now: Millis, applied: Offset, retention: Millis) -> bool {
        if applied == Offset(0) {
            return false;
        }
        let records = applied.0.saturating_sub(self.newest.0);
        let old = |t: Millis| now >= t + Millis(retention.0 / AGE_SHARE);
        records >= RECORDS_MAX || self.written.is_none_or(old)
    }

    /// Returns whether it is this process's turn to look at the stream and, if a snapshot is still due, to write.
    pub fn poll(&mut self, now: Millis, applied: Offset, retention: Millis, rank: u64) -> bool {
        if !self.is_due(now, applied, retention) {
            self.since = None;
            return false;
        }
        let since = *self.since.get_or_insert(now);
        let step = STEP_MAX.min(Millis(retention.0 / STEP_SHARE));
        now >= since + step.times(rank)
    }

    /// Takes note of the newest snapshot, written at `time`; `newest` is 0 if there is none.
    ///
    /// Restarts the wait.
    pub fn record_snapshot(&mut self, newest: Offset, time: Millis) {
        self.newest = self.newest.max(newest);
        self.written = Some(self.written.map_or(time, |t| t.max(time)));
        self.since = None;
    }

    /// Restarts the wait after a failed look or write.
    pub fn failed(&mut self, now: Millis) {
        self.since = Some(now);
    }
}
