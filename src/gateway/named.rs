//! Versions of weights that the operator named.

use super::WeightVersion;
use crate::base::Millis;

/// Versions that are remembered; older ones are all outdated.
const NAMED_MAX: usize = 16;

/// Difference of times below which another process says nothing new; covers the way of its datagram.
const TOLERANCE: Millis = Millis(20);

/// A named version.
#[derive(Clone, Copy, Debug)]
struct Entry {
    version: WeightVersion,
    /// When it was named, or a time long ago if that is not known.
    at: Millis,
    /// Whether the time is known.
    known: bool,
}

/// Versions of one model with the times at which this process heard of them.
#[derive(Clone, Debug, Default)]
pub struct Named {
    /// In the order of versions.
    entries: Vec<Entry>,
}

impl Named {
    /// Notes a version that is named now, or that a starting process found named; returns whether it is newer than all
    /// before.
    pub fn note(&mut self, version: WeightVersion, found: bool, now: Millis) -> bool {
        if found {
            self.find(version)
        } else {
            self.name(version, now)
        }
    }

    /// Notes a version that was named now; returns whether it is newer than all before.
    pub fn name(&mut self, version: WeightVersion, now: Millis) -> bool {
        self.push(version, now, true)
    }

    /// Notes a version that a starting process finds named: it binds at once, until another process tells its time.
    pub fn find(&mut self, version: WeightVersion) -> bool {
        self.push(version, Millis::ZERO, false)
    }

    fn push(&mut self, version: WeightVersion, at: Millis, known: bool) -> bool {
        if self.newest().is_some_and(|v| version <= v) {
            return false;
        }
        if self.entries.len() == NAMED_MAX {
            self.entries.remove(0);
        }
        self.entries.push(Entry { version, at, known });
        true
    }

    /// Takes over that a version was named at a time, from another process; returns whether that changes anything.
    pub fn learn(&mut self, version: WeightVersion, at: Millis) -> bool {
        let told = Entry {
            version,
            at,
            known: true,
        };
        match self.entries.binary_search_by_key(&version, |e| e.version) {
            Ok(i) => {
                let known = self.entries[i];
                if known.known && known.at <= at + TOLERANCE {
                    return false;
                }
                self.entries[i] = told;
                true
            }
            Err(i) => {
                self.entries.insert(i, told);
                if self.entries.len() > NAMED_MAX {
                    self.entries.remove(0);
                }
                true
            }
        }
    }

    /// Returns the versions whose times are known, with these.
    pub fn known(&self) -> impl Iterator<Item = (WeightVersion, Millis)> + '_ {
        let known = self.entries.iter().filter(|e| e.known);
        known.map(|e| (e.version, e.at))
    }

    /// Returns the newest version.
    pub fn newest(&self) -> Option<WeightVersion> {
        self.entries.last().map(|e| e.version)
    }

    /// Returns the newest versions, oldest first.
    pub fn latest(&self, count: usize) -> impl Iterator<Item = WeightVersion> + '_ {
        let skip = self.entries.len().saturating_sub(count);
        self.entries.iter().skip(skip).map(|e| e.version)
    }

    /// Returns the newest version that was named at least `age` ago: nothing older may begin.
    pub fn binding(&self, age: Millis, now: Millis) -> Option<WeightVersion> {
        let old = |e: &&Entry| e.at + age <= now;
        self.entries.iter().rev().find(old).map(|e| e.version)
    }

    /// Returns when the first version after a loaded one was named.
    pub fn outdated(&self, loaded: WeightVersion) -> Option<Millis> {
        let newer = |e: &&Entry| e.version > loaded;
        self.entries.iter().find(newer).map(|e| e.at)
    }
}
