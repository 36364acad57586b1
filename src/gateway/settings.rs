//! Settings of an entry process.

use std::net::SocketAddr;

use nix::sys::resource::{getrlimit, Resource};

use crate::{
    base::{Millis, Percent, ProcessName, Region, Size, Zone},
    decide::{cold::ColdBound, residency::ZoneRegions, shed::Capacity, spill::Prices},
};

/// Addresses on which an entry listens.
#[derive(Clone, Copy, Debug)]
pub struct Listen {
    /// Callers' requests (HTTP).
    pub callers: SocketAddr,
    /// Readiness checks (HTTP); `None` if there are none.
    pub readiness: Option<SocketAddr>,
    /// Directory of entries for callers (HTTP); `None` if this entry serves none.
    pub directory: Option<SocketAddr>,
    /// Metrics in the Prometheus text format, at `/metrics`; `None` if this entry serves none.
    pub metrics: Option<SocketAddr>,
    /// Gossip datagrams of other entries and agents (UDP), and their HTTP requests (TCP).
    pub peers: SocketAddr,
}

impl Listen {
    /// Returns whether an address is among these.
    pub fn contains(&self, addr: SocketAddr) -> bool {
        let others = [self.readiness, self.directory, self.metrics];
        addr == self.callers || addr == self.peers || others.contains(&Some(addr))
    }
}

/// Limits that the deployment guarantees to callers and endpoints.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Time from when a version of weights becomes desired until requests no longer begin on older ones.
    pub version: Millis,
    /// Time from when an endpoint reports that it drains until entries no longer send it requests.
    pub drain: Millis,
    /// Grace period: time between SIGTERM and SIGKILL.
    pub grace: Millis,
    /// Retry budget: share of requests that may be retried.
    pub retries: Percent,
    /// Retries of all entries together beyond that share, within the window over which the budget is counted.
    pub retry_burst: u32,
    /// Longest time for which callers may cache a response of the directory.
    pub directory_ttl: Millis,
    /// Requests that a cold endpoint may get in a second.
    pub cold: ColdBound,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            version: Millis(8000),
            drain: Millis(2000),
            grace: Millis(8000),
            retries: Percent(20),
            retry_burst: 100,
            directory_ttl: Millis(5000),
            cold: ColdBound::default(),
        }
    }
}

/// What the host of a process has, of which callers get a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostLimits {
    /// Memory.
    pub memory: Size,
    /// Number of descriptors that the process may open.
    pub descriptors: u32,
}

impl Default for HostLimits {
    /// Returns those of the smallest hosts of the users.
    fn default() -> Self {
        Self {
            memory: Size(160 << 20),
            descriptors: 4100,
        }
    }
}

impl HostLimits {
    /// Returns what callers may hold. The descriptors are those that the system allows if these are fewer.
    pub(crate) fn capacity(self) -> Capacity {
        let memory = usize::try_from(self.memory.0).unwrap_or(usize::MAX);
        let allowed = getrlimit(Resource::RLIMIT_NOFILE).map(|(soft, _)| soft);
        let descriptors = allowed.unwrap_or(u64::MAX).min(self.descriptors.into());
        let descriptors = usize::try_from(descriptors).unwrap_or(usize::MAX);
        Capacity::of_host(memory, descriptors)
    }
}

/// Settings of routing across zones.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RoutingSettings {
    /// Prices of other zones; `None` if the settings have none.
    pub prices: Option<Prices>,
    /// Fields whose values were invalid, so that their defaults are used; for the log.
    pub faults: Vec<String>,
}

/// Settings of an entry process.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Name of the process, for logs.
    pub name: ProcessName,
    /// Availability zone in which the entry runs.
    pub zone: Zone,
    /// Region in which the entry runs.
    pub region: Region,
    /// Region of each availability zone.
    pub zones: ZoneRegions,
    /// Addresses on which the entry listens.
    pub listen: Listen,
    /// Gossip addresses of entries to contact at the start; may be stale.
    pub seeds: Vec<SocketAddr>,
    /// Guaranteed limits; reloaded on SIGHUP.
    pub bounds: Bounds,
    /// Memory and descriptors of the host.
    pub host: HostLimits,
    /// Routing across zones.
    pub routing: RoutingSettings,
    /// HTTP path of the directory.
    pub directory_path: String,
    /// HTTP path of the readiness check.
    pub ready_path: String,
}
