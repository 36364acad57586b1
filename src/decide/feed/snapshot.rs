//! When a process writes a snapshot of the replicated state.
//!
//! Any process may write it. The processes are ranked, and each waits for those of lower ranks before it tries.

use crate::base::{Millis, Offset};

/// Number of records after the newest snapshot from which on the next one is due.
pub const RECORDS_MAX: u64 = 1000;

/// Divisor of the log's retention that gives the age of the newest snapshot from which on the next one is due.
const AGE_DIVISOR: u64 = 4;

/// Longest delay from one rank to the next; an order of magnitude above the time that writing a snapshot takes.
const RANK_DELAY_MAX: Millis = Millis(10_000);

/// Divisor of the log's retention that gives the delay from one rank to the next, so that with a short retention later
/// ranks still write before records expire.
const RANK_DELAY_DIVISOR: u64 = 16;

/// Decides when this process reads the snapshot stream for a newer snapshot and when it writes one.
#[derive(Clone, Debug, Default)]
pub struct SnapshotTimer {
    /// Offset of the newest snapshot that this process knows of.
    newest: Offset,
    /// Time of that snapshot, or of the first record if there is none; `None` before the stream was first read.
    written: Option<Millis>,
    /// Start of the current wait: when a snapshot became due, or the last failed attempt.
    since: Option<Millis>,
}

impl SnapshotTimer {
    /// Returns whether a snapshot is due, judged by the newest one that this process knows of.
    pub fn is_due(&self, now: Millis, applied: Offset, retention: Millis) -> bool {
        if applied == Offset(0) {
            return false;
        }
        let records = applied.0.saturating_sub(self.newest.0);
        let old = |t: Millis| now >= t + Millis(retention.0 / AGE_DIVISOR);
        records >= RECORDS_MAX || self.written.is_none_or(old)
    }

    /// Returns whether this process, given its rank, should now read the stream and, if a snapshot is still due, write
    /// one.
    pub fn poll(&mut self, now: Millis, applied: Offset, retention: Millis, rank: u64) -> bool {
        if !self.is_due(now, applied, retention) {
            self.since = None;
            return false;
        }
        let since = *self.since.get_or_insert(now);
        let delay = RANK_DELAY_MAX.min(Millis(retention.0 / RANK_DELAY_DIVISOR));
        now >= since + delay.times(rank)
    }

    /// Records the offset and time of the newest snapshot and ends the current wait.
    ///
    /// If there is no snapshot, `newest` is 0 and `time` is the time of the first record.
    pub fn record_snapshot(&mut self, newest: Offset, time: Millis) {
        self.newest = self.newest.max(newest);
        self.written = Some(self.written.map_or(time, |t| t.max(time)));
        self.since = None;
    }

    /// Restarts the wait after reading the stream or writing the snapshot failed.
    pub fn failed(&mut self, now: Millis) {
        self.since = Some(now);
    }
}
