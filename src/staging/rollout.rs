//! When a host loads a version that it holds completely.
//!
//! A host that loads takes no requests while its running ones end, so the hosts of a service take turns over the time
//! that the deployment allows. Two limits are kept apart: every host has begun before the bound on old versions, and
//! as few as possible load at once.

use crate::base::Millis;

/// Share of the bound after which the last host has begun to load. The rest covers a load that begins late, because the
/// endpoint answered late or a chunk was spoilt.
const LAST: (u64, u64) = (82, 100);

fn share(t: Millis, (part, whole): (u64, u64)) -> Millis {
    Millis(t.0 * part / whole)
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
    /// Returns when the host begins to load a version that is complete `now`; `outdated` is the time at which a version
    /// newer than the loaded one was named, or `None` if the endpoint serves nothing. Hosts complete a version at about
    /// the same time, so the turns divide what is left of the bound.
    pub fn start(&self, outdated: Option<Millis>, now: Millis) -> Millis {
        let Some(outdated) = outdated else {
            return now;
        };
        let left = outdated + share(self.bound, LAST) - now;
        now + Millis(left.0 * self.rank as u64 / self.hosts.max(1) as u64)
    }
}
