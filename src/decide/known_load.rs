//! Number of requests at an endpoint to which many processes send, as one of them knows it: the newest known total, and
//! what this process began and ended since.

use std::collections::VecDeque;

use crate::base::Millis;

/// Age at which a total tells nothing: about four requests have passed through each slot since.
pub const LIFETIME: Millis = Millis(3000);

/// The newest known total of an endpoint, and the requests of this process that began or ended there since.
#[derive(Clone, Debug, Default)]
pub struct KnownLoad {
    /// The total, and the time for which it holds.
    newest: Option<(u32, Millis)>,
    /// Times of the last requests of this process that began (`true`) or ended, oldest first.
    changes: VecDeque<(Millis, bool)>,
}

impl KnownLoad {
    /// Counts a request of this process that begins, or one that ends.
    pub fn count(&mut self, begins: bool, now: Millis) {
        self.drop_until(Millis(now.0.saturating_sub(LIFETIME.0)));
        self.changes.push_back((now, begins));
    }

    /// Learns the total at a time, this process's own requests included. An older total than the known one is ignored.
    pub fn learn(&mut self, total: u32, at: Millis) {
        if self.newest.is_some_and(|(_, known)| at < known) {
            return;
        }
        self.newest = Some((total, at));
        self.drop_until(at);
    }

    /// Returns the total now, as far as this process knows; `None` if the newest one is too old.
    pub fn total(&self, now: Millis) -> Option<u32> {
        let (total, _) = self.newest.filter(|(_, at)| now < *at + LIFETIME)?;
        let begun = self.changes.iter().filter(|c| c.1).count() as u32;
        let ended = self.changes.len() as u32 - begun;
        Some(total.saturating_add(begun).saturating_sub(ended))
    }

    /// Returns the time since the newest total; it says how old the part of other processes in [`Self::total`] is.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.newest.map(|(_, at)| now - at)
    }

    /// Forgets the changes up to a time.
    fn drop_until(&mut self, at: Millis) {
        while self.changes.front().is_some_and(|c| c.0 <= at) {
            self.changes.pop_front();
        }
    }
}
