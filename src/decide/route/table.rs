//! Agents of one service.

use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, AtomicU32, Ordering},
        Arc, Mutex,
    },
};

use super::{
    breaker::Breaker,
    policy::{chooser, Chooser},
};
use crate::{
    base::{lock, rendezvous, HashMap, Millis, ProcessName, VersionName},
    decide::member::{Distance, Peer},
    settings::{Route, Weights},
    wire::AgentReport,
};

/// Prefixes that are remembered for each agent; older ones are forgotten first.
const PREFIXES_MAX: usize = 1024;

/// What this entry knows of one agent over all tables.
#[derive(Debug, Default)]
pub struct AgentView {
    /// Requests of this entry in progress at the agent.
    in_flight: AtomicU32,
    /// Load that the agent reported last.
    reported: AtomicU32,
    /// Requests of this entry that were in progress when that report arrived.
    own: AtomicU32,
    /// Whether reports arrive; requests in progress on a silent agent are given up.
    alive: AtomicBool,
    breaker: Mutex<Breaker>,
    prefixes: Mutex<HashMap<u64, u64>>,
}

/// One agent that can take requests.
#[derive(Clone, Debug)]
pub struct Target {
    /// Name.
    pub name: ProcessName,
    /// QUIC address.
    pub peer: SocketAddr,
    /// Distance from the entry.
    pub distance: Distance,
    /// Version that the endpoint confirmed.
    pub version: Option<VersionName>,
    /// Requests that the endpoint runs at once; 0 if unknown.
    pub capacity: u32,
    /// Input to the rendezvous hash of prefixes.
    pub seed: u64,
    /// Counts of this entry.
    pub view: Arc<AgentView>,
}

/// What a request asks of the table.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// Time of the process clock.
    pub now: Millis,
    /// Version on which a stream that has begun must continue; `None` for a new request.
    pub required_version: Option<&'a VersionName>,
    /// Hash of the prompt's prefix.
    pub prefix: Option<u64>,
    /// Agents that were tried before.
    pub tried: &'a [ProcessName],
    /// Source of randomness.
    pub random: u64,
}

/// Agents of one service that take work.
#[derive(Clone, Debug)]
pub struct RouteTable {
    /// All versions: a stream that began on an earlier version may only continue on it.
    targets: Vec<Target>,
    /// Version in the settings.
    version: Option<VersionName>,
    /// Whether agents with an earlier version take new requests. Without them a rollout would refuse every request
    /// from the publication until the first agent has the new version.
    overlap: bool,
    choose: Chooser,
    /// Load above the mean, in percent, at which affinity gives way.
    slack: u32,
}

/// Counts a request as in progress at an agent until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    view: Arc<AgentView>,
    probe: bool,
}

impl AgentView {
    /// Returns the number of requests of this entry in progress at the agent.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Returns the load that the agent reported last.
    pub fn reported(&self) -> u32 {
        self.reported.load(Ordering::Relaxed)
    }

    /// Returns the part of the reported load that other entries caused.
    fn others(&self) -> u32 {
        let own = self.own.load(Ordering::Relaxed);
        self.reported().saturating_sub(own)
    }

    /// Returns whether reports of the agent arrive.
    pub fn is_reporting(&self) -> bool {
        self.alive.load(Ordering::Relaxed)
    }

    /// Sets whether reports of the agent arrive.
    pub fn set_reporting(&self, alive: bool) {
        self.alive.store(alive, Ordering::Relaxed);
    }

    /// Counts a request as in progress.
    pub fn begin(self: &Arc<Self>, now: Millis) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        let probe = lock(&self.breaker).begin(now);
        InFlightGuard {
            view: self.clone(),
            probe,
        }
    }

    /// Takes over load and cached prefixes of a report.
    pub fn apply_report(&self, report: &AgentReport) {
        let load = report.running.saturating_add(report.waiting);
        self.reported.store(load, Ordering::Relaxed);
        self.own.store(self.in_flight(), Ordering::Relaxed);
        if report.prefixes.is_empty() {
            return;
        }
        let mut known = lock(&self.prefixes);
        for p in &report.prefixes {
            known.insert(*p, report.sequence);
        }
        while known.len() > PREFIXES_MAX {
            // One pass drops the oldest half, so that the cost for each prefix stays constant.
            let mut ages: Vec<u64> = known.values().copied().collect();
            ages.sort_unstable();
            let middle = ages[ages.len() / 2];
            known.retain(|_, age| *age > middle);
        }
    }

    /// Forgets all prefixes, for example after a restart of the agent.
    pub fn clear_prefixes(&self) {
        lock(&self.prefixes).clear();
    }

    fn holds(&self, prefix: u64) -> bool {
        lock(&self.prefixes).contains_key(&prefix)
    }

    fn allows(&self, now: Millis) -> bool {
        lock(&self.breaker).allows(now)
    }
}

impl InFlightGuard {
    /// Notes that the agent answered.
    pub fn record_success(&self) {
        lock(&self.view.breaker).record_success();
    }

    /// Notes that the agent failed.
    pub fn record_failure(&self, now: Millis) {
        lock(&self.view.breaker).record_failure(now);
    }

    /// Returns whether reports of the agent arrive.
    pub fn is_reporting(&self) -> bool {
        self.view.is_reporting()
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.view.in_flight.fetch_sub(1, Ordering::Relaxed);
        if self.probe {
            lock(&self.view.breaker).release_probe();
        }
    }
}

impl Target {
    /// Describes an agent.
    pub fn new(peer: &Peer, report: &AgentReport, slot: Arc<AgentView>) -> Self {
        Self {
            name: peer.host.name.clone(),
            peer: peer.host.peer,
            distance: peer.distance,
            version: report.version.clone(),
            capacity: report.capacity,
            seed: rendezvous(b"prefix", peer.host.name.as_str().as_bytes()),
            view: slot,
        }
    }

    /// Returns the reported load of other entries and this entry's own requests now.
    pub fn load(&self) -> u32 {
        self.view.others().saturating_add(self.view.in_flight())
    }

    /// Returns the load in thousandths of the capacity, with one request added.
    pub fn share(&self) -> u64 {
        u64::from(self.load() + 1) * 1000 / u64::from(self.capacity.max(1))
    }

    /// Returns the requests that may be at the agent at once: a quarter more than run keeps the endpoint busy
    /// between two requests, and a longer queue would only add latency.
    pub fn ceiling(&self) -> u32 {
        match self.capacity {
            0 => u32::MAX,
            c => c.saturating_add(c.div_ceil(4)),
        }
    }

    /// Returns whether a further request finds room.
    pub fn has_room(&self) -> bool {
        self.load() < self.ceiling()
    }

    /// Returns whether the agent reported the prefix as cached.
    pub fn holds(&self, prefix: u64) -> bool {
        self.view.holds(prefix)
    }
}

impl RouteTable {
    /// Creates a table with the policy and the version of the settings.
    pub fn new(targets: Vec<Target>, weights: &Weights, route: &Route) -> Self {
        Self {
            targets,
            version: weights.version.clone(),
            overlap: weights.overlap,
            choose: chooser(route.policy),
            slack: route.slack,
        }
    }

    /// Iterates over the agents that take new requests.
    pub fn accepting(&self) -> impl Iterator<Item = &Target> {
        self.targets.iter().filter(|t| self.is_open(t))
    }

    /// Returns whether an agent takes new requests: it confirms the version in the settings or, during a rollout, an
    /// earlier one.
    fn is_open(&self, t: &Target) -> bool {
        let earlier = self.overlap && self.version.is_some() && t.version.is_some();
        t.version == self.version || earlier
    }

    fn fits(&self, t: &Target, only: Option<&VersionName>) -> bool {
        match only {
            Some(v) => t.version.as_ref() == Some(v),
            None => self.is_open(t),
        }
    }

    /// Returns how many requests this entry may have in progress: what other entries leave of the agents' room, but
    /// at least its part of the room of all `entries`.
    pub fn window(&self, entries: u32) -> u32 {
        let mut free = 0_u32;
        let mut room = 0_u32;
        for t in self.accepting() {
            let others = t.view.others();
            free = free.saturating_add(t.ceiling().saturating_sub(others));
            room = room.saturating_add(t.ceiling());
        }
        free.max(room.div_ceil(entries.max(1)))
    }

    /// Chooses an agent: never one that was tried, unless all were.
    pub fn choose(&self, q: &RouteQuery<'_>) -> Option<&Target> {
        let fresh = |t: &&Target| !q.tried.contains(&t.name);
        let allowed = |t: &&Target| t.view.allows(q.now);
        let fit: Vec<&Target> = self
            .targets
            .iter()
            .filter(|t| self.fits(t, q.required_version))
            .collect();
        let mut pool: Vec<&Target> = fit.iter().copied().filter(fresh).filter(allowed).collect();
        if pool.is_empty() {
            pool = fit.iter().copied().filter(fresh).collect();
        }
        // The only agent of a service is tried again.
        if pool.is_empty() && fit.len() == 1 {
            pool = fit;
        }
        self.nearest(&mut pool);
        self.newest(&mut pool);
        match pool.len() {
            0 => None,
            1 => Some(pool[0]),
            _ => (self.choose)(&pool, q, self.slack),
        }
    }

    /// Keeps the agents with the version in the settings if one of them can run the request at once.
    fn newest(&self, pool: &mut Vec<&Target>) {
        let newest = |t: &Target| t.version == self.version;
        if pool.iter().any(|t| newest(t) && t.load() < t.capacity) {
            pool.retain(|t| newest(t));
        }
    }

    /// Keeps the agents of the nearest distance at which one has room; without any room, those of the own region.
    fn nearest(&self, pool: &mut Vec<&Target>) {
        let room = pool
            .iter()
            .filter(|t| t.has_room())
            .map(|t| t.distance)
            .min();
        if let Some(d) = room {
            pool.retain(|t| t.distance == d && t.has_room());
            return;
        }
        if pool.iter().any(|t| t.distance != Distance::Remote) {
            pool.retain(|t| t.distance != Distance::Remote);
        }
    }
}
