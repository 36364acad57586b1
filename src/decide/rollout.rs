//! When a host loads a version that it holds completely.
//!
//! A host that loads takes no requests while its running ones end, so the hosts of a service take turns over the time
//! that the deployment allows. Two limits are kept apart: every host has begun before the bound on old versions, and
//! as few as possible load at once. Turns follow from the list of hosts alone, so that entries know them too and keep
//! long requests away from a host whose turn is near. Hosts near the origin come first, since their copies are complete
//! first.

use std::net::IpAddr;

use crate::base::{rendezvous, Millis};

/// Share of the bound after which the first host loads: about the time that the copy takes.
const FIRST: (u64, u64) = (42, 100);

/// Share of the bound after which the last host has begun to load. The rest covers a load that begins late, because the
/// copy took longer or a chunk was spoilt.
const LAST: (u64, u64) = (91, 100);

fn share(t: Millis, (part, whole): (u64, u64)) -> Millis {
    Millis(t.0 * part / whole)
}

/// Order of a host in the turns of a version; lower is earlier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LoadOrder {
    /// Whether the host is in another availability zone than the origin.
    far: bool,
    /// Spreads the hosts of one zone, in another way for each version.
    draw: u64,
}

/// Returns the order of a host in the turns of a version.
pub fn load_order(host: IpAddr, near: bool, version: u64) -> LoadOrder {
    LoadOrder {
        far: !near,
        draw: rendezvous(&version.to_le_bytes(), host.to_string().as_bytes()),
    }
}

/// Turn of one host among those of its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostSchedule {
    /// Bound on the time for which requests may begin on the old version.
    pub bound: Millis,
    /// Position of this host, from 0.
    pub rank: usize,
    /// Hosts of the service.
    pub hosts: usize,
}

impl HostSchedule {
    /// Returns when the host begins to load, if it holds the version then; `outdated` is the time at which a version
    /// newer than the loaded one was named.
    pub fn start(&self, outdated: Millis) -> Millis {
        self.start_from(outdated, Millis::ZERO)
    }

    /// Returns when a host begins to load that holds the version from `ready` on: at the turn that entries foresee, or,
    /// if that is over, in a turn of the time that is left.
    pub fn start_from(&self, outdated: Millis, ready: Millis) -> Millis {
        let first = outdated + share(self.bound, FIRST);
        let last = outdated + share(self.bound, LAST);
        let hosts = self.hosts.max(1) as u64;
        let rank = self.rank as u64;
        let foreseen = first + Millis((last - first).0 * rank / hosts);
        if ready <= foreseen {
            return foreseen;
        }
        // Those whose turns are over share what is left; this host is the one at `rank` among them.
        let late = ((ready - first).0 * hosts).div_ceil((last - first).0.max(1));
        ready + Millis((last - ready).0 * rank / late.clamp(1, hosts))
    }
}
