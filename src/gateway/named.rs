//! Versions of weights that the operator named.

use super::WeightVersion;
use crate::base::Millis;

/// Versions that are remembered; older ones are all outdated.
const NAMED_MAX: usize = 16;

/// Difference of times below which another process says nothing new; covers the way of its datagram.
const TOLERANCE: Millis = Millis(20);

/// Versions of one model with the times at which this process heard of them.
#[derive(Clone, Debug, Default)]
pub struct Named {
    /// In the order of versions.
    versions: Vec<(WeightVersion, Millis)>,
}

impl Named {
    /// Notes a version; returns whether it is newer than all before.
    pub fn name(&mut self, version: WeightVersion, now: Millis) -> bool {
        if self.newest().is_some_and(|v| version <= v) {
            return false;
        }
        if self.versions.len() == NAMED_MAX {
            self.versions.remove(0);
        }
        self.versions.push((version, now));
        true
    }

    /// Takes over that a version was named at a time, from another process; returns whether that changes anything.
    pub fn learn(&mut self, version: WeightVersion, at: Millis) -> bool {
        match self.versions.binary_search_by_key(&version, |v| v.0) {
            Ok(i) if self.versions[i].1 <= at + TOLERANCE => false,
            Ok(i) => {
                self.versions[i].1 = at;
                true
            }
            Err(i) => {
                self.versions.insert(i, (version, at));
                if self.versions.len() > NAMED_MAX {
                    self.versions.remove(0);
                }
                true
            }
        }
    }

    /// Returns the versions with the times at which they were named.
    pub fn iter(&self) -> impl Iterator<Item = (WeightVersion, Millis)> + '_ {
        self.versions.iter().copied()
    }

    /// Returns the newest version.
    pub fn newest(&self) -> Option<WeightVersion> {
        self.versions.last().map(|v| v.0)
    }

    /// Returns the newest version that was named at least `age` ago: nothing older may begin.
    pub fn binding(&self, age: Millis, now: Millis) -> Option<WeightVersion> {
        let old = |v: &&(WeightVersion, Millis)| v.1 + age <= now;
        self.versions.iter().rev().find(old).map(|v| v.0)
    }

    /// Returns when the first version after a loaded one was named.
    pub fn outdated(&self, loaded: WeightVersion) -> Option<Millis> {
        let newer = |v: &&(WeightVersion, Millis)| v.0 > loaded;
        self.versions.iter().find(newer).map(|v| v.1)
    }
}
