//! Whether a host counts as slow for tens of seconds, for operators; the choice of hosts follows the time itself.

use crate::base::Millis;

/// Time that work takes, as a multiple of the usual one, from which a host counts as slow, and below which it no longer does.
/// From the first one on, work costs more there.
const SLOW_FROM: f64 = 1.3;
const SLOW_UNTIL: f64 = 1.2;

/// Least time between two log lines of a host.
const LOG_INTERVAL: Millis = Millis(5000);

/// Whether a host counts as slow, and what was logged of it.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowState {
    slow: bool,
    /// State of the last log line, and its time.
    logged: (bool, Option<Millis>),
}

impl SlowState {
    /// Learns the time that work takes, as a multiple of the usual one; `None` if it is unknown, which counts as usual.
    pub fn update(&mut self, time: Option<f64>) {
        let bound = if self.slow { SLOW_UNTIL } else { SLOW_FROM };
        self.slow = time.is_some_and(|t| t >= bound);
    }

    /// Returns whether the host counts as slow.
    pub fn is_slow(&self) -> bool {
        self.slow
    }

    /// Returns the state if it is to be logged: it differs from the logged one, and the last line is old enough.
    pub fn take_change(&mut self, now: Millis) -> Option<bool> {
        let (slow, at) = self.logged;
        if slow == self.slow || at.is_some_and(|at| now < at + LOG_INTERVAL) {
            return None;
        }
        self.logged = (self.slow, Some(now));
        Some(self.slow)
    }
}
