//! Versions of a model's weights that the operator made the desired ones.

use super::WeightVersion;
use crate::base::Millis;

/// Number of newest versions that are kept. Weights older than all of these count as superseded by the oldest kept one.
const VERSIONS_MAX: usize = 16;

/// Difference up to which a time received from another process does not replace the known one; covers the delay of its
/// datagram.
const TOLERANCE: Millis = Millis(20);

/// A version that became desired.
#[derive(Clone, Copy, Debug)]
struct DesiredVersion {
    version: WeightVersion,
    /// Time at which it became desired; zero if that is not known, so that it is enforced at once.
    at: Millis,
    /// Whether `at` is known.
    known: bool,
}

/// Desired versions of one model, with the times at which they became desired.
#[derive(Clone, Debug, Default)]
pub struct DesiredVersions {
    /// In ascending order of versions.
    entries: Vec<DesiredVersion>,
}

impl DesiredVersions {
    /// Records a version that becomes desired now or, if `found`, was desired when this process started; returns
    /// whether it is newer than all known ones.
    pub fn record(&mut self, version: WeightVersion, found: bool, now: Millis) -> bool {
        if found {
            self.set_found(version)
        } else {
            self.set(version, now)
        }
    }

    /// Records a version that becomes desired now; returns whether it is newer than all known ones.
    pub fn set(&mut self, version: WeightVersion, now: Millis) -> bool {
        self.push(version, now, true)
    }

    /// Records a version that was already desired when this process started: it is enforced at once, until another
    /// process reports since when it has been desired. Returns whether it is newer than all known ones.
    pub fn set_found(&mut self, version: WeightVersion) -> bool {
        self.push(version, Millis::ZERO, false)
    }

    fn push(&mut self, version: WeightVersion, at: Millis, known: bool) -> bool {
        if self.newest().is_some_and(|v| version <= v) {
            return false;
        }
        if self.entries.len() == VERSIONS_MAX {
            self.entries.remove(0);
        }
        self.entries.push(DesiredVersion { version, at, known });
        true
    }

    /// Merges the time at which a version became desired, as reported by another process; the earlier time is kept.
    /// Returns whether anything changed.
    pub fn merge(&mut self, version: WeightVersion, at: Millis) -> bool {
        let reported = DesiredVersion {
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
                self.entries[i] = reported;
                true
            }
            Err(i) => {
                self.entries.insert(i, reported);
                if self.entries.len() > VERSIONS_MAX {
                    self.entries.remove(0);
                }
                true
            }
        }
    }

    /// Returns the versions with known times, and these times.
    pub fn timed(&self) -> impl Iterator<Item = (WeightVersion, Millis)> + '_ {
        let known = self.entries.iter().filter(|e| e.known);
        known.map(|e| (e.version, e.at))
    }

    /// Returns the newest version.
    pub fn newest(&self) -> Option<WeightVersion> {
        self.entries.last().map(|e| e.version)
    }

    /// Returns up to `count` newest versions, oldest first.
    pub fn latest(&self, count: usize) -> impl Iterator<Item = WeightVersion> + '_ {
        let skip = self.entries.len().saturating_sub(count);
        self.entries.iter().skip(skip).map(|e| e.version)
    }

    /// Returns the version that is enforced: the newest one that has been desired for at least `age`. Requests may not
    /// begin on older ones.
    pub fn enforced(&self, age: Millis, now: Millis) -> Option<WeightVersion> {
        let old = |e: &&DesiredVersion| e.at + age <= now;
        self.entries.iter().rev().find(old).map(|e| e.version)
    }

    /// Returns the time from which a loaded version is superseded: that of the first desired version after it.
    pub fn superseded_at(&self, loaded: WeightVersion) -> Option<Millis> {
        let newer = |e: &&DesiredVersion| e.version > loaded;
        self.entries.iter().find(newer).map(|e| e.at)
    }
}
