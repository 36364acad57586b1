//! Graceful drain: no new work, no interruption of work in progress.

use crate::base::Millis;

/// Time that a leaving process stays reachable.
///
/// Others may send new work for up to 3 s after the announcement. Within this time such work is refused explicitly;
/// after an exit the sender could not tell whether its request had run.
pub const LEAVE_TIME: Millis = Millis(3000);

/// Work in progress and whether new work is taken.
#[derive(Clone, Debug, Default)]
pub struct Drain {
    /// When the drain began; never reset.
    begun: Option<Millis>,
    /// Work in progress.
    running: u32,
}

impl Drain {
    /// Begins the drain; later calls change nothing.
    pub fn begin(&mut self, now: Millis) {
        self.begun.get_or_insert(now);
    }

    /// Returns whether the drain has begun.
    pub fn is_begun(&self) -> bool {
        self.begun.is_some()
    }

    /// Admits one piece of work; returns `false` once the drain has begun.
    pub fn enter(&mut self) -> bool {
        if self.is_begun() {
            return false;
        }
        self.running += 1;
        true
    }

    /// Ends one admitted piece of work.
    pub fn leave(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Returns the work in progress.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns whether the process may exit: nothing is in progress and [`LEAVE_TIME`] has passed.
    pub fn is_done(&self, now: Millis) -> bool {
        self.running == 0 && self.begun.is_some_and(|t| now >= t + LEAVE_TIME)
    }
}
