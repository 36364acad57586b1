//! Graceful shutdown: a draining process rejects new work and completes the work in progress.

use crate::base::Millis;

/// Minimum time for which a draining process stays reachable.
///
/// Other processes may send new work for up to 3 s after the drain was announced. Until then the process rejects such
/// work explicitly; if it had exited, the sender could not tell whether its request had run.
pub const DRAIN_NOTICE: Millis = Millis(3000);

/// State of a graceful shutdown: whether new work is admitted, and how much work is in progress.
#[derive(Clone, Debug, Default)]
pub struct Drain {
    /// Time at which the drain began; never reset.
    begun: Option<Millis>,
    /// Number of admitted pieces of work that have not ended.
    running: u32,
}

impl Drain {
    /// Begins the drain; later calls have no effect.
    pub fn begin(&mut self, now: Millis) {
        self.begun.get_or_insert(now);
    }

    /// Returns whether the drain has begun.
    pub fn is_begun(&self) -> bool {
        self.begun.is_some()
    }

    /// Admits one piece of work and counts it as running; returns `false` once the drain has begun.
    pub fn admit(&mut self) -> bool {
        if self.is_begun() {
            return false;
        }
        self.running += 1;
        true
    }

    /// Removes one admitted piece of work from the count of running ones.
    pub fn finish(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Returns the number of admitted pieces of work that have not ended.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns whether the process may exit: nothing is in progress and [`DRAIN_NOTICE`] has passed since the drain
    /// began.
    pub fn is_done(&self, now: Millis) -> bool {
        self.running == 0 && self.begun.is_some_and(|t| now >= t + DRAIN_NOTICE)
    }
}
