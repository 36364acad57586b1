//! The newest era of the store that a process knows, and which copies of others it takes.
//!
//! A store that is restored from an older copy begins a new era, in which offsets are used again. What another process
//! sends of an older era is not taken.

use crate::base::{Era, Millis};

/// Time after a new era was first seen for which copies that name no era are not taken: an older build may still be at the
/// old log, and notices within this time that a log has become shorter.
const UNMARKED_TIME: Millis = Millis(6000);

/// What an observed era means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EraChange {
    /// It is the known one.
    Same,
    /// It is older than the known one.
    Older,
    /// It is the first one that this process has learned.
    First,
    /// The store was restored; holds the era that was known before.
    Restored(Era),
}

/// The newest era that a process knows.
#[derive(Debug, Default)]
pub struct StoreEra {
    known: Option<Era>,
    /// Time at which the process first saw the era; zero if it is the first one that it learned.
    since: Millis,
}

impl StoreEra {
    /// Returns the newest known era.
    pub fn known(&self) -> Option<Era> {
        self.known
    }

    /// Observes an era in a response of the store, or in what another process sends.
    pub fn observe(&mut self, era: Era, now: Millis) -> EraChange {
        match self.known {
            Some(known) if era == known => return EraChange::Same,
            Some(known) if era < known => return EraChange::Older,
            _ => {}
        }
        let Some(before) = self.known.replace(era) else {
            return EraChange::First;
        };
        self.since = now;
        EraChange::Restored(before)
    }

    /// Returns whether a copy of another process is taken: one of the known era, or one that names none, as of an older
    /// build, if that cannot be of an older era.
    pub fn admits(&self, era: Option<Era>, now: Millis) -> bool {
        match era {
            Some(era) => self.known.is_none_or(|known| era >= known),
            None => self.since == Millis::ZERO || now >= self.since + UNMARKED_TIME,
        }
    }
}
