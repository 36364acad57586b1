//! Number of requests at an endpoint to which many processes send, as one of them knows it: the newest known total, which
//! counts less with age than the usual one, and what this process began and ended since.

use std::collections::VecDeque;

use crate::base::Millis;

/// Age at which a total tells nothing: about four requests have passed through each slot since.
pub const LIFETIME: Millis = Millis(3000);

/// Time constant in which a total approaches the usual one, because the requests that it counts end and others begin. In the
/// model `endpoint_loads` a total of 1 s is further from the truth than the mean of all endpoints. At 500 ms slow hosts, whose
/// load differs from the mean for long, get too many requests in `uneven_endpoints`.
const FADING: Millis = Millis(800);

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

    /// Returns the newest total as it was learned, whatever its age.
    pub fn newest(&self) -> Option<u32> {
        self.newest.map(|n| n.0)
    }

    /// Returns the newest total with the own changes since; `None` if it is too old.
    pub fn total(&self, now: Millis) -> Option<u32> {
        let (total, _) = self.newest.filter(|(_, at)| now < *at + LIFETIME)?;
        Some(self.with_changes(total))
    }

    /// Returns the total that is expected now; `usual` is that of an endpoint of which nothing is known. `None` if the newest
    /// one is too old.
    pub fn expected(&self, usual: u32, now: Millis) -> Option<u32> {
        let (total, at) = self.newest.filter(|(_, at)| now < *at + LIFETIME)?;
        let weight = (-((now - at).0 as f64) / FADING.0 as f64).exp();
        let usual = f64::from(usual);
        let faded = usual + (f64::from(total) - usual) * weight;
        Some(self.with_changes(faded.round() as u32))
    }

    fn with_changes(&self, total: u32) -> u32 {
        let begun = self.changes.iter().filter(|c| c.1).count() as u32;
        let ended = self.changes.len() as u32 - begun;
        total.saturating_add(begun).saturating_sub(ended)
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
