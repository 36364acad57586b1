//! What an entry knows of the end of the operator's log, as it tells others.

use serde::{Deserialize, Serialize};

use crate::base::{Era, Millis};

/// The end of the operator's log as of a time.
///
/// In the datagrams of heartbeats it follows the copy of the evacuated zones, as an `Option`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogView {
    /// Era of the store; positions of different eras must not be compared. 0 where the store does not tell its era.
    pub era: Era,
    /// Position up to which the log was read: the offset of the record after the last one that was read.
    pub position: u64,
    /// Time since the moment at or after which the log is known to have ended at the position.
    pub age: Millis,
}

impl LogView {
    /// Returns the view of an entry that knows the era of the store, and nothing of the log.
    pub(super) fn of_era(era: Era) -> Self {
        Self {
            era,
            position: 0,
            age: Millis::MAX,
        }
    }

    /// Returns whether the view tells an end of the log in this era of the store.
    pub fn is_of(&self, era: Option<Era>) -> bool {
        self.age < Millis::MAX && era.is_none_or(|era| era == self.era)
    }
}

/// Time by which a report counts as older than it says, for its way to this entry. A datagram that takes longer makes
/// the log end later than it did.
const TRANSIT: Millis = Millis(50);

/// Where the operator's log last ended, by the reads of this entry and by the reports of others.
#[derive(Debug, Default)]
pub struct LogEnds {
    own: Option<(u64, Millis)>,
    reported: Option<(u64, Millis)>,
}

/// Returns the later one of two known ends of a log: at the later position, or known at a later time.
fn later(a: Option<(u64, Millis)>, b: Option<(u64, Millis)>) -> Option<(u64, Millis)> {
    a.max(b)
}

impl LogEnds {
    /// Records that this entry read the log up to a position, and that it ended there at `at` or later.
    pub fn record(&mut self, position: u64, at: Millis) {
        self.own = later(self.own, Some((position, at)));
    }

    /// Merges the report of another entry, which lay in the socket for `waited`.
    pub fn merge(&mut self, view: LogView, waited: Millis, now: Millis) {
        let age = view.age + waited + TRANSIT;
        if age < now {
            self.reported = later(self.reported, Some((view.position, now - age)));
        }
    }

    /// Discards all ends, because the log began anew.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Returns what is known of the end of the log, for other entries.
    pub fn view(&self, now: Millis) -> Option<LogView> {
        let (position, at) = later(self.own, self.reported)?;
        Some(LogView {
            era: Era::default(),
            position,
            age: now - at,
        })
    }

    /// Returns the newest end of the log that is known, if another entry reported one. Without a report nothing tells
    /// an outage of the store from one of this entry alone.
    pub fn reported(&self, now: Millis) -> Option<LogView> {
        self.reported?;
        self.view(now)
    }
}
