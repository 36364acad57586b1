//! Rolling load: when a host whose copy of a version is complete has its endpoint load it.
//!
//! Before it loads, a host accepts no new requests until its running ones have ended. The load starts of a service's
//! hosts are therefore spread over the time that the deployment allows. Two goals are balanced: every host starts
//! before requests may no longer begin on the old version, and as few hosts as possible load at the same time. The
//! schedule is computed from the host list alone, so that entries can compute it too and route long requests away from
//! a host that is about to load. Hosts in the origin's zone load first, because their copies are complete first.
//!
//! Where two versions become desired shortly after each other, their rollouts would overlap, and twice as many hosts
//! would load at a time. Both then share the time from the first load start of the older one to the last one of the
//! newer.
//!
//! A host whose copy is late loads while requests are still sent to it. It takes the copies of the hosts before it to be
//! late, too. If these and the hosts on schedule would be too many at once, the latter wait until the former have started.

use std::net::IpAddr;

use super::supersede::Margins;
use crate::base::{rendezvous, Millis};

/// Share of the bound at which the first host starts to load: about the time that the copy takes.
const FIRST_START: (u64, u64) = (42, 100);

/// Largest share of the hosts that start to load within [`STARTS_SPAN`], if hosts on schedule can wait: at least half of
/// them go on serving while the others load.
const STARTS_MAX: (u64, u64) = (1, 3);

/// Time over which load starts are counted.
const STARTS_SPAN: Millis = Millis(500);

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

/// Time at which a version became desired that supersedes the loaded one, and those of the versions next to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Superseded {
    /// When the loaded version became desired; `None` if that is not known.
    pub before: Option<Millis>,
    /// When the first newer version became desired.
    pub at: Millis,
    /// When the version after it became desired, if one did.
    pub after: Option<Millis>,
}

impl From<Millis> for Superseded {
    /// A version without others next to it.
    fn from(at: Millis) -> Self {
        Self {
            at,
            ..Self::default()
        }
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
    /// Returns the scheduled load start of a host whose copy is complete by then; `superseded` tells when a version newer
    /// than the loaded one became desired, and the versions next to it.
    pub fn start(&self, superseded: impl Into<Superseded>) -> Millis {
        self.start_from(superseded, Millis::ZERO)
    }

    /// Returns the load start of a host whose copy is complete at `ready`: its scheduled load start, which entries
    /// compute as well, or, if that has passed, a time while requests are still sent to it.
    pub fn start_from(&self, superseded: impl Into<Superseded>, ready: Millis) -> Millis {
        let times = self.times(superseded.into());
        let (hosts, rank) = (self.hosts.max(1) as u64, self.rank as u64);
        let scheduled = times.first + Millis(times.length().0 * rank / hosts);
        let overdue = times.overdue(ready, hosts);
        let crowded = times.is_crowded(ready, hosts);
        if ready > scheduled {
            // The overdue hosts share the time in which requests are still sent to them; this host is at `rank` of them.
            let steps = if crowded { overdue - 1 } else { overdue };
            return ready + Millis((times.used_until - ready).0 * rank / steps.max(1));
        }
        if !crowded {
            return scheduled;
        }
        let rest = times.last - times.used_until;
        let waiting = hosts - overdue;
        let step = rank + 1 - overdue;
        scheduled.max(times.used_until + Millis(rest.0 * step / (waiting + 1)))
    }

    fn times(&self, superseded: Superseded) -> Times {
        let Superseded { before, at, after } = superseded;
        let (first, last) = self.range(at);
        let mut times = Times {
            first,
            last,
            used_until: at + (self.bound - self.margins.send()),
        };
        let older = before.map(|at| self.range(at));
        if let Some(older) = older.filter(|(_, end)| *end > first) {
            times.first = middle(older.0, last).clamp(first, last);
        }
        let newer = after.map(|at| self.range(at));
        if let Some(newer) = newer.filter(|(begin, _)| *begin < last) {
            times.last = middle(first, newer.1).clamp(times.first, last);
        }
        times
    }

    /// Returns the first and the last scheduled load start for a version that became desired at a time, apart from other
    /// versions.
    fn range(&self, desired: Millis) -> (Millis, Millis) {
        let first = desired + share(self.bound, FIRST_START);
        (
            first,
            first.max(desired + (self.bound - self.margins.load())),
        )
    }
}

/// Returns the time in the middle between two; `a` if `b` is earlier.
fn middle(a: Millis, b: Millis) -> Millis {
    a + Millis((b - a).0 / 2)
}

/// Times between which the hosts of a service load a version.
#[derive(Clone, Copy, Debug)]
struct Times {
    /// Scheduled load start of the first host, and the end of the time over which those of all hosts are spread.
    first: Millis,
    last: Millis,
    /// Time until which requests are sent to hosts that have not loaded.
    used_until: Millis,
}

impl Times {
    fn length(&self) -> Millis {
        self.last - self.first
    }

    /// Returns the number of hosts whose scheduled load starts have passed at `ready`, at least 1.
    fn overdue(&self, ready: Millis, hosts: u64) -> u64 {
        let passed = (ready - self.first).0 * hosts;
        passed.div_ceil(self.length().0.max(1)).clamp(1, hosts)
    }

    /// Returns whether too many hosts would start at once from `ready` on, if those that are overdue then and those on
    /// schedule started while requests are sent to them.
    fn is_crowded(&self, ready: Millis, hosts: u64) -> bool {
        if ready <= self.first || ready >= self.used_until {
            return false;
        }
        let (used, length) = ((self.used_until - ready).0, self.length().0);
        let (part, whole) = STARTS_MAX;
        // overdue / used + hosts / length > STARTS_MAX x hosts / STARTS_SPAN, without divisions.
        let starts = self.overdue(ready, hosts) * length + hosts * used;
        starts * STARTS_SPAN.0 * whole > hosts * used * length * part
    }
}
