//! Versions of a model's weights that the operator made the desired ones.

use super::{WeightVersion, WriteAge};
use crate::{base::Millis, decide::rollout::Superseded};

/// Number of newest versions that are kept. Weights older than all of these count as superseded by the oldest kept one.
const VERSIONS_MAX: usize = 16;

/// Difference up to which a time received from another process does not replace the known one; covers the delay of its
/// datagram.
const TOLERANCE: Millis = Millis(20);

/// A version that became desired.
#[derive(Clone, Copy, Debug)]
struct DesiredVersion {
    version: WeightVersion,
    /// Time from which it counts as desired; zero if that is not known, so that it is enforced at once.
    at: Millis,
    /// Time after `at` within which it became desired.
    uncertainty: Millis,
    /// Whether `at` is known.
    known: bool,
}

impl DesiredVersion {
    fn new(version: WeightVersion, age: WriteAge, now: Millis) -> Self {
        Self {
            version,
            at: now - age.age,
            uncertainty: age.uncertainty,
            known: true,
        }
    }

    /// Returns the time by which the version had become desired.
    fn latest(&self) -> Millis {
        self.at + self.uncertainty
    }

    /// Merges what another process knows of the same version, with a time that is too late by the delay of its message.
    /// The more exact time is kept, and of two equally exact ones the earlier. A version that others knew of before this
    /// process takes it to be written was written earlier: this process was suspended or got an old message.
    fn merged(&self, other: Self) -> Self {
        let earlier = other.at + TOLERANCE < self.at;
        let more_exact = other.uncertainty + TOLERANCE < self.uncertainty;
        let as_exact = other.uncertainty <= self.uncertainty + TOLERANCE;
        if !self.known || other.latest() + TOLERANCE < self.at || (earlier && as_exact) {
            return other;
        }
        if more_exact && other.at <= self.latest() + TOLERANCE {
            return Self {
                at: other.at.min(self.latest()),
                ..other
            };
        }
        *self
    }
}

/// Desired versions of one model, with the times at which they became desired.
#[derive(Clone, Debug, Default)]
pub struct DesiredVersions {
    /// In ascending order of versions.
    entries: Vec<DesiredVersion>,
}

impl DesiredVersions {
    /// Records a version of which a record was read, and the age of that record if it is known; returns whether it is
    /// newer than all known ones.
    pub fn record(&mut self, version: WeightVersion, age: Option<WriteAge>, now: Millis) -> bool {
        let Some(age) = age else {
            return self.set_found(version);
        };
        let newer = self.is_newer(version);
        self.merge(version, age, now);
        newer
    }

    /// Records a version that becomes desired now; returns whether it is newer than all known ones.
    pub fn set(&mut self, version: WeightVersion, now: Millis) -> bool {
        let age = WriteAge {
            age: Millis::ZERO,
            uncertainty: Millis::ZERO,
        };
        let newer = self.is_newer(version);
        if newer {
            self.insert(DesiredVersion::new(version, age, now));
        }
        newer
    }

    /// Records a version that was already desired when this process started: it is enforced at once, until another
    /// process reports since when it has been desired. Returns whether it is newer than all known ones.
    pub fn set_found(&mut self, version: WeightVersion) -> bool {
        let newer = self.is_newer(version);
        if newer {
            self.insert(DesiredVersion {
                version,
                at: Millis::ZERO,
                uncertainty: Millis::MAX,
                known: false,
            });
        }
        newer
    }

    fn is_newer(&self, version: WeightVersion) -> bool {
        self.newest().is_none_or(|newest| version > newest)
    }

    /// Inserts a version that is not known yet.
    fn insert(&mut self, new: DesiredVersion) {
        let i = self.entries.partition_point(|e| e.version < new.version);
        self.entries.insert(i, new);
        if self.entries.len() > VERSIONS_MAX {
            self.entries.remove(0);
        }
    }

    /// Merges the age of a version as another process reported it; returns whether anything changed.
    pub fn merge(&mut self, version: WeightVersion, age: WriteAge, now: Millis) -> bool {
        let reported = DesiredVersion::new(version, age, now);
        let Some(known) = self.entries.iter_mut().find(|e| e.version == version) else {
            self.insert(reported);
            return true;
        };
        let merged = known.merged(reported);
        let changed = (merged.at, merged.uncertainty) != (known.at, known.uncertainty);
        *known = merged;
        changed
    }

    /// Returns the versions with known ages, and these ages.
    pub fn ages(&self, now: Millis) -> impl Iterator<Item = (WeightVersion, WriteAge)> + '_ {
        let known = self.entries.iter().filter(|e| e.known);
        known.map(move |e| {
            let age = WriteAge {
                age: now - e.at,
                uncertainty: e.uncertainty,
            };
            (e.version, age)
        })
    }

    /// Returns the versions that became desired within `limit`, with their ages, and the version before these: without
    /// it, weights that this one superseded would count as superseded only by its successor.
    pub fn recent_ages(
        &self,
        limit: Millis,
        now: Millis,
    ) -> impl Iterator<Item = (WeightVersion, WriteAge)> + '_ {
        let first = self.ages(now).position(|(_, age)| age.age < limit);
        let skipped = first.map_or(self.entries.len(), |first| first.saturating_sub(1));
        self.ages(now).skip(skipped)
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

    /// Returns the time from which a version counts as desired.
    pub fn became_desired(&self, version: WeightVersion) -> Option<Millis> {
        let entry = self.entries.iter().find(|e| e.version == version);
        entry.map(|e| e.at)
    }

    /// Returns the time from which a loaded version is superseded, and those of the versions next to the one that
    /// superseded it.
    pub fn superseded(&self, loaded: WeightVersion) -> Option<Superseded> {
        let at = self.superseded_at(loaded)?;
        let before = self.entries.iter().find(|e| e.version == loaded && e.known);
        let after = self.entries.iter().filter(|e| e.version > loaded);
        Some(Superseded {
            before: before.map(|e| e.at).filter(|t| *t <= at),
            at,
            after: after.map(|e| e.at).filter(|t| *t > at).min(),
        })
    }

    /// Returns the time from which a loaded version is superseded: that of the earliest desired version after it.
    pub fn superseded_at(&self, loaded: WeightVersion) -> Option<Millis> {
        let newer = self.entries.iter().filter(|e| e.version > loaded);
        newer.map(|e| e.at).min()
    }
}
