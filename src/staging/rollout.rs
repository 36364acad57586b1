//! When a host loads a version that it holds completely.
//!
//! A host that loads takes no requests while its running ones end, so the hosts of a service take turns over the time
//! that the deployment allows. Two limits are kept apart: every host has begun before the bound on old versions, and
//! as few as possible load at once.

use crate::{base::Millis, gateway::WeightVersion};

/// Share of the bound after which the first host loads; the copy takes about as long.
const FIRST: (u64, u64) = (28, 100);

/// Share of the bound after which the last host has begun to load.
const LAST: (u64, u64) = (72, 100);

/// Versions that are remembered; older ones are all outdated.
const NAMED_MAX: usize = 16;

fn share(t: Millis, (part, whole): (u64, u64)) -> Millis {
    Millis(t.0 * part / whole)
}

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

/// Turn of one host among those of its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rollout {
    /// Bound on the time for which requests may begin on the old version.
    pub bound: Millis,
    /// Position of this host, from 0.
    pub rank: usize,
    /// Hosts of the service.
    pub hosts: usize,
}

impl Rollout {
    /// Returns when the host begins to load; `outdated` is the time at which a version newer than the loaded one was
    /// named, or `None` if the endpoint serves nothing.
    pub fn start(&self, outdated: Option<Millis>) -> Millis {
        let Some(outdated) = outdated else {
            return Millis::ZERO;
        };
        let (first, last) = (share(self.bound, FIRST), share(self.bound, LAST));
        let step = (last - first).0 * self.rank as u64 / self.hosts.max(1) as u64;
        outdated + first + Millis(step)
    }
}
