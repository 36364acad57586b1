//! Rolling load: when a host whose copy of a version is complete has its endpoint load it.
//!
//! Before it loads, a host accepts no new requests until its running ones have ended. The load starts of a service's
//! hosts are therefore spread over the time that the deployment allows. Two goals are balanced: every host starts
//! before requests may no longer begin on the old version, and as few hosts as possible load at the same time. The
//! schedule is computed from the host list alone, so that entries can compute it too and route long requests away from
//! a host that is about to load. Hosts in the origin's zone load first, because their copies are complete first.

use std::net::IpAddr;

use super::supersede::Margins;
use crate::base::{rendezvous, Millis};

/// Share of the bound at which the first host starts to load: about the time that the copy takes.
const FIRST_START: (u64, u64) = (42, 100);

fn share(t: Millis, (part, whole): (u64, u64)) -> Millis {
    Millis(t.0 * part / whole)
}

/// Sort key of a host in the load schedule of a version; hosts with a lower key load earlier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LoadOrder {
    /// Whether the host is in another availability zone than the origin.
    far: bool,
    /// Rendezvous score that orders the hosts of one zone differently for each version.
    score: u64,
}

/// Returns the sort key of a host in the load schedule of a version; `near` tells whether the host is in the origin's
/// availability zone.
pub fn load_order(host: IpAddr, near: bool, version: u64) -> LoadOrder {
    LoadOrder {
        far: !near,
        score: rendezvous(&version.to_le_bytes(), host.to_string().as_bytes()),
    }
}

/// Position of one host in the load schedule of its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostSchedule {
    /// Time after the old version was superseded for which requests may still begin on it.
    pub bound: Millis,
    /// Margins before the end of the bound; hosts load before they stand unused.
    pub margins: Margins,
    /// Rank of this host by [`LoadOrder`], starting at 0.
    pub rank: usize,
    /// Number of hosts of the service.
    pub hosts: usize,
}

impl HostSchedule {
    /// Returns the scheduled load start of a host whose copy is complete by then; `superseded` is the time at which a
    /// version newer than the loaded one became desired.
    pub fn start(&self, superseded: Millis) -> Millis {
        self.start_from(superseded, Millis::ZERO)
    }

    /// Returns the load start of a host whose copy is complete at `ready`: its scheduled load start, which entries
    /// compute as well, or, if that has passed, a time while requests are still sent to it.
    pub fn start_from(&self, superseded: Millis, ready: Millis) -> Millis {
        let first = superseded + share(self.bound, FIRST_START);
        let last = first.max(superseded + (self.bound - self.margins.load()));
        let hosts = self.hosts.max(1) as u64;
        let rank = self.rank as u64;
        let scheduled = first + Millis((last - first).0 * rank / hosts);
        if ready <= scheduled {
            return scheduled;
        }
        // The `overdue` hosts whose scheduled starts have passed share the time in which requests are still sent to them;
        // this host is at `rank` of them.
        let overdue = ((ready - first).0 * hosts).div_ceil((last - first).0.max(1));
        let used_until = superseded + (self.bound - self.margins.send());
        ready + Millis((used_until - ready).0 * rank / overdue.clamp(1, hosts))
    }
}
