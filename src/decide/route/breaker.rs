//! Circuit breaker of one agent.
//!
//! | state | event | next state |
//! |---|---|---|
//! | closed | [`FAILURES_MAX`] failures in a row | open for [`OPEN_MIN`] |
//! | open | time is over and a request asks | half-open, this request is the probe |
//! | half-open | probe succeeds | closed |
//! | half-open | probe fails | open for twice the time, at most [`OPEN_MAX`] |
//! | half-open | probe ends without a verdict | open, next request probes at once |

use crate::base::Millis;

/// Failures in a row that open the breaker.
pub const FAILURES_MAX: u32 = 3;

/// First time for which the breaker is open.
pub const OPEN_MIN: Millis = Millis(500);

/// Longest time for which the breaker is open.
pub const OPEN_MAX: Millis = Millis(10_000);

/// Circuit breaker of one agent.
#[derive(Clone, Debug, Default)]
pub struct Breaker {
    failures: u32,
    /// End of the open time and its length; `None` while closed.
    open: Option<(Millis, Millis)>,
    probing: bool,
}

impl Breaker {
    /// Returns whether a request may be sent.
    pub fn allows(&self, now: Millis) -> bool {
        self.open
            .is_none_or(|(until, _)| now >= until && !self.probing)
    }

    /// Notes that a request is sent; returns whether it is the probe of a half-open breaker.
    pub fn begin(&mut self, now: Millis) -> bool {
        let probe = self.open.is_some() && self.allows(now);
        self.probing |= probe;
        probe
    }

    /// Notes a success.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Notes a failure.
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

    /// Notes that the probe ended without a verdict.
    pub fn release_probe(&mut self) {
        self.probing = false;
    }
}
