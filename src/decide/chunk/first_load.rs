//! Which version a host copies first whose endpoint has nothing loaded, and for how long a host keeps the chunks of the
//! version that its endpoint has loaded, so that such hosts can copy it.
//!
//! After a newer version became desired, its chunks arrive as fast as the origin sends them, and not at all while the
//! origin is away. The neighbours hold the older version in full: a copy of it takes only the links of the hosts.

use super::{precedence::LOAD_COST, Progress};
use crate::base::{Millis, Size};

/// Time of a load at an endpoint that serves no requests.
const LOAD_TIME: Millis = Millis(300);

/// Least time for which requests are sent to the older version; in less, the load and the delay of the newer copy cost
/// more than it serves.
const SERVED_MIN: Millis = Millis(1500);

/// Largest share of the host's memory that the kept chunks take.
const MEMORY_SHARE: u64 = 4;

/// An older and a newer version, for a host whose endpoint has nothing loaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FirstLoad {
    /// Time in which the host's link carries a copy.
    pub copy: Millis,
    /// Chunks of the older version that this host holds.
    pub older: Progress,
    /// Whether a neighbour holds the older version in full.
    pub older_available: bool,
    /// Whether this host or a neighbour holds the newer version in full.
    pub newer_available: bool,
    /// Time from which no request is sent to hosts with the older version.
    pub older_until: Millis,
}

impl FirstLoad {
    /// Returns whether requests would be sent for long enough to a host that began to copy an older version now. Says
    /// whether it is worth while to ask neighbours which versions they hold.
    pub fn is_in_time(&self, now: Millis) -> bool {
        self.loaded_at(now) + SERVED_MIN <= self.older_until
    }

    /// Returns whether to copy and load the older version before the newer one.
    pub fn loads_older(&self, now: Millis) -> bool {
        if !self.older_available || !self.is_in_time(now) {
            return false;
        }
        if !self.newer_available {
            return true;
        }
        // The newer version needs only the links of the hosts, too: the older one is finished only if that costs less
        // time without service. The newer copy then begins later, and may end after the older version's time.
        let older_loaded = self.loaded_at(now);
        let newer_loaded = older_loaded + self.copy;
        let loss = (older_loaded - now) + (newer_loaded - self.older_until);
        loss + LOAD_COST < self.copy + LOAD_TIME
    }

    fn loaded_at(&self, now: Millis) -> Millis {
        now + self.older.rest(self.copy) + LOAD_TIME
    }
}

/// The version that an endpoint has loaded, while a newer copy overwrites its chunks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retention {
    /// Size of a copy.
    pub copy: Size,
    /// Memory of the host.
    pub memory: Size,
    /// Time from which requests may no longer begin on the version; `None` while no newer one is desired.
    pub until: Option<Millis>,
}

impl Retention {
    /// Returns whether the host keeps the chunks in its memory.
    pub fn keeps(&self, now: Millis) -> bool {
        let fits = self.copy.0.saturating_mul(MEMORY_SHARE) <= self.memory.0;
        fits && !self.is_over(now)
    }

    fn is_over(&self, now: Millis) -> bool {
        self.until.is_some_and(|until| now >= until)
    }
}
