//! Circuit breaker of one agent.
//!
//! | state | event | next state |
//! |---|---|---|
//! | closed | [`FAILURES_MAX`] failures in a row | open for [`OPEN_MIN`] |
//! | open | the open time has passed and a request begins | half-open, this request is the probe |
//! | half-open | probe succeeds | closed |
//! | half-open | probe fails | open for twice the previous time, at most [`OPEN_MAX`] |
//! | half-open | probe ends without success or failure | open, the next request is the probe at once |

use crate::base::Millis;

/// Number of failures in a row that open the breaker.
pub const FAILURES_MAX: u32 = 3;

/// Time for which the breaker is open at first.
pub const OPEN_MIN: Millis = Millis(500);

/// Longest time for which the breaker is open before the next probe.
pub const OPEN_MAX: Millis = Millis(10_000);

/// Circuit breaker of one agent.
#[derive(Clone, Debug, Default)]
pub struct Breaker {
    /// Failures since the last success.
    failures: u32,
    /// End and length of the open time; `None` while closed.
    open: Option<(Millis, Millis)>,
    /// Whether a probe is in progress.
    probing: bool,
}

impl Breaker {
    /// Returns whether a request may be sent: the breaker is closed, or the request can be the probe.
    pub fn allows(&self, now: Millis) -> bool {
        self.open
            .is_none_or(|(until, _)| now >= until && !self.probing)
    }

    /// Records that a request is sent; returns whether it is the probe of a half-open breaker.
    pub fn begin(&mut self, now: Millis) -> bool {
        let probe = self.open.is_some() && self.allows(now);
        self.probing |= probe;
        probe
    }

    /// Records a success, which closes the breaker.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records a failure, which may open the breaker.
    pub fn record_failure(&mut self, now: Millis) {
        self.failures += 1;
        match self.open {
            Some((_, time)) if self.probing => {
                let time = time.times(2).min(OPEN_MAX);
                self.open = Some((now + time, time));
            }
            None if self.failures >= FAILURES_MAX => {
                self.open = Some((now + OPEN_MIN, OPEN_MIN));
            }
            _ => {}
        }
        self.probing = false;
    }

    /// Ends a probe that neither succeeded nor failed.
    pub fn release_probe(&mut self) {
        self.probing = false;
    }
}
