//! What an entry knows of the end of the operator's log, as it tells others.

use serde::{Deserialize, Serialize};

use super::context::Context;
use crate::base::Millis;

/// The end of the operator's log as of a time.
///
/// In the datagrams of heartbeats it follows the copy of the evacuated zones, as an `Option`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogView {
    /// Era of the store; positions of different eras must not be compared. 0 where the store does not tell its era.
    pub era: u64,
    /// Position up to which the log was read: the offset of the record after the last one that was read.
    pub position: u64,
    /// Time since the moment at or after which the log is known to have ended at the position.
    pub age: Millis,
}

impl Context {
    /// Notes that this entry read the operator's log up to a position; `age` is the time since the log was known to end
    /// there, `None` if it holds further records.
    pub(super) fn note_log_end(&self, position: u64, age: Option<Millis>) {
        if let Some(age) = age {
            self.log_end.set(Some((position, self.now() - age)));
        }
    }

    /// Returns what this entry knows of the end of the operator's log, for other entries.
    pub(super) fn log_view(&self) -> Option<LogView> {
        let (position, at) = self.log_end.get()?;
        Some(LogView {
            era: 0,
            position,
            age: self.now() - at,
        })
    }
}
