//! When the records of a log were written, as far as a process that reads the log can tell.

use std::{collections::VecDeque, fmt, future::Future, pin::pin};

use crate::base::{Clock, Millis};

/// Interval at which it is noted that a read in progress has no response yet.
const PENDING_INTERVAL: Millis = Millis(100);

/// Largest number of known ends of a log. More than one is kept only while responses hold a part of the log each.
const ENDS_MAX: usize = 64;

/// Age of a record, as far as it is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WriteAge {
    /// Age from which the record counts; no less than its true age while the store responds.
    pub age: Millis,
    /// Time between the last moment at which the record is known not to have existed and the one at which it is known
    /// to have existed. The true age lies between `age` and `age` less this time.
    pub uncertainty: Millis,
}

/// Text of a record's age for a log line.
pub(crate) struct LoggedAge(pub(crate) Option<WriteAge>);

impl fmt::Display for LoggedAge {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(WriteAge { age, uncertainty }) => {
                write!(f, "found=false age={age} uncertainty={uncertainty}")
            }
            None => f.write_str("found=true"),
        }
    }
}

/// The end of a log at a time.
#[derive(Clone, Copy, Debug)]
struct LogEnd {
    offset: u64,
    /// Time at or after which the log ended there.
    at: Millis,
}

/// Ends of a log at known times, by which the times of its records are bounded from below: a record was written after
/// the log ended at its offset or before it.
#[derive(Debug, Default)]
pub(super) struct LogTimes {
    /// In ascending order of offsets and times.
    ends: VecDeque<LogEnd>,
    /// Usual time from a read to its response without a wait.
    latency: Option<Millis>,
}

impl LogTimes {
    /// Records that the log ended at `offset` at `at` or later; `read` is the offset up to which it has been read.
    pub(super) fn record_end(&mut self, offset: u64, at: Millis, read: u64) {
        self.ends.retain(|e| e.offset <= offset);
        self.ends.push_back(LogEnd { offset, at });
        let superseded = |next: &LogEnd| next.offset <= read;
        while self.ends.get(1).is_some_and(superseded) {
            self.ends.pop_front();
        }
        if self.ends.len() > ENDS_MAX {
            // The oldest one bounds the records that are read next.
            self.ends.remove(1);
        }
    }

    /// Discards the offsets because another log begins. All that had not been read up to the offset `read` was written
    /// after the old log was last known to end before it.
    pub(super) fn restart(&mut self, read: u64) {
        let after = self.written_after(read);
        self.ends.clear();
        self.ends.extend(after.map(|at| LogEnd { offset: 0, at }));
    }

    /// Records how long the response to a read took beyond the wait of the read.
    pub(super) fn record_latency(&mut self, sample: Millis) {
        let before = self.latency.unwrap_or_default();
        self.latency = Some(sample.max(Millis(before.0 / 2)));
    }

    /// Returns the longest usual time from a read to its response without a wait.
    pub(super) fn latest_usual(&self) -> Millis {
        self.latency.unwrap_or_default().times(2)
    }

    /// Returns a time before which the record at an offset cannot have been written; `None` if nothing is known.
    pub(super) fn written_after(&self, offset: u64) -> Option<Millis> {
        let before = self.ends.iter().rev().find(|e| e.offset <= offset);
        before.map(|e| e.at)
    }

    /// Returns whether everything before `offset` had been read when the log last ended at a known time.
    fn is_read_to_end(&self, offset: u64) -> bool {
        self.ends.back().is_some_and(|e| e.offset <= offset)
    }

    /// Returns a time before which the records of a response cannot have been written, because the read waited for them;
    /// `None` if it may not have waited. The read began at `begun` at the offset `from`, and its response did not arrive
    /// before `arrived`. A read from the end of the log waits for a record unless one was written since, and then its
    /// response takes no longer than usual.
    pub(super) fn waited_after(&self, from: u64, begun: Millis, arrived: Millis) -> Option<Millis> {
        let after = arrived - self.latency?.times(2);
        (self.is_read_to_end(from) && after > begun).then_some(after)
    }
}

/// Times at which a read had no response yet.
#[derive(Debug)]
pub(super) struct Pending {
    /// Time at which the read began.
    pub(super) begun: Millis,
    /// Time at which it was complete.
    pub(super) ended: Millis,
    checks: Vec<Millis>,
}

impl Pending {
    /// Waits for a read, and notes when it has no response yet; `pending` is called each time with the time since the read
    /// began.
    pub(super) async fn observe<T>(
        clock: &impl Clock,
        read: impl Future<Output = T>,
        pending: impl Fn(Millis),
    ) -> (T, Self) {
        let begun = clock.now();
        let mut checks = Vec::new();
        let mut read = pin!(read);
        loop {
            let wait = tokio::time::timeout(PENDING_INTERVAL.duration(), &mut read);
            if let Ok(result) = wait.await {
                let ended = clock.now();
                let pending = Self {
                    begun,
                    ended,
                    checks,
                };
                return (result, pending);
            }
            let now = clock.now();
            pending(now - begun);
            checks.push(now);
        }
    }

    /// Returns a time before which the response did not arrive; `body_time` is the time from the arrival of its head to
    /// the end of the read.
    ///
    /// This is the check before the last one before the response: where the process was held up, the last one may have
    /// come between the arrival and its processing.
    pub(super) fn arrived_after(&self, body_time: Millis) -> Millis {
        let head = self.ended - body_time;
        let before = self.checks.iter().rev().filter(|at| **at <= head);
        before.skip(1).copied().next().unwrap_or(self.begun)
    }
}

/// Bounds on the time at which the records of one response were written.
pub(super) struct WriteBounds {
    /// Time before which none of them was written; `None` if it follows only from the ends of the log.
    pub(super) after: Option<Millis>,
    /// Time from which they count at the earliest: that of an outage, which keeps processes from older records.
    pub(super) outage: Millis,
    /// When the response arrived.
    pub(super) arrived: Millis,
    /// Time before which the store did not make the response.
    pub(super) made: Millis,
}

impl WriteBounds {
    /// Takes the response to have been under way no longer than the one to a check after it; without that, the records
    /// were written at any time since their read began.
    pub(super) fn check_wait(&mut self, begun: Millis, taken: Option<Millis>) {
        let after = self.after.zip(taken).map(|(after, taken)| after - taken);
        self.after = after.filter(|at| *at > begun);
        self.made = self.after.unwrap_or(begun);
    }

    /// Uses the time at which the log last ended before the records of all keys that are not known yet, if it was
    /// reported. It replaces what is assumed of a takeover and of an outage: a version may have been acknowledged just
    /// before an outage, of which the response was lost.
    pub(super) fn use_report(&mut self, ended: Option<Millis>) {
        if let Some(at) = ended {
            self.after = Some(at);
            self.outage = Millis::ZERO;
        }
    }

    /// Returns the age of the record at an offset; `None` if nothing is known of it.
    pub(super) fn age(&self, times: &LogTimes, offset: u64, now: Millis) -> Option<WriteAge> {
        let after = times.written_after(offset).max(self.after)?;
        Some(WriteAge {
            age: now - after.max(self.outage),
            uncertainty: self.arrived - after,
        })
    }
}
