//! Route table: the agents of one service, with their load.

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

/// Largest number of cached prefixes recorded for each agent; the oldest are evicted first.
const PREFIXES_MAX: usize = 1024;

/// What this entry knows of one agent's load and health; shared by all route tables.
#[derive(Debug, Default)]
pub struct AgentView {
    /// Requests of this entry in flight at the agent.
    in_flight: AtomicU32,
    /// Running and waiting requests in the agent's last report.
    reported: AtomicU32,
    /// Requests of this entry in flight when that report arrived.
    in_flight_at_report: AtomicU32,
    /// Whether reports arrive; requests in flight at an agent without reports are given up.
    reporting: AtomicBool,
    breaker: Mutex<Breaker>,
    /// Hashes of cached prefixes, with the sequence number of the last report that had them.
    prefixes: Mutex<HashMap<u64, u64>>,
}

/// An agent that accepts requests.
#[derive(Clone, Debug)]
pub struct Target {
    /// Process name of the agent.
    pub name: ProcessName,
    /// QUIC address of the agent.
    pub peer: SocketAddr,
    /// Distance of the agent from this entry.
    pub distance: Distance,
    /// Version that the endpoint confirmed.
    pub version: Option<VersionName>,
    /// Requests that the endpoint runs at once; 0 if unknown.
    pub capacity: u32,
    /// Hash of the agent's name, input to the rendezvous hash of prefixes.
    pub seed: u64,
    /// Load and health of the agent.
    pub view: Arc<AgentView>,
}

/// Requirements of a request on the agent to choose.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// Time of the process clock.
    pub now: Millis,
    /// Version on which a response that has begun must continue; `None` for a new request.
    pub required_version: Option<&'a VersionName>,
    /// Hash of the prompt's prefix.
    pub prefix: Option<u64>,
    /// Agents that were tried before.
    pub tried: &'a [ProcessName],
    /// Random number.
    pub random: u64,
}

/// Agents of one service that accept requests.
#[derive(Clone, Debug)]
pub struct RouteTable {
    /// Agents with all versions: a stream that began on an earlier version may only continue on that one.
    targets: Vec<Target>,
    /// Desired version.
    version: Option<VersionName>,
    /// Whether agents with another version accept new requests. Without them all requests would be rejected from the
    /// publication of a version until the first agent has loaded it.
    overlap: bool,
    choose: Chooser,
    /// Load above the mean, in percent, from which the affinity policy chooses another agent.
    slack: u32,
}

/// Counts a request as in flight at an agent until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    view: Arc<AgentView>,
    probe: bool,
}

impl AgentView {
    /// Returns the number of requests of this entry in flight at the agent.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Returns the number of running and waiting requests in the agent's last report.
    pub fn reported(&self) -> u32 {
        self.reported.load(Ordering::Relaxed)
    }

    /// Returns the peer load: the part of the reported load that other entries caused.
    fn peer_load(&self) -> u32 {
        let included = self.in_flight_at_report.load(Ordering::Relaxed);
        self.reported().saturating_sub(included)
    }

    /// Returns whether reports of the agent arrive.
    pub fn is_reporting(&self) -> bool {
        self.reporting.load(Ordering::Relaxed)
    }

    /// Sets whether reports of the agent arrive.
    pub fn set_reporting(&self, reporting: bool) {
        self.reporting.store(reporting, Ordering::Relaxed);
    }

    /// Counts a request as in flight, and as the breaker's probe if it is half-open.
    pub fn begin(self: &Arc<Self>, now: Millis) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        let probe = lock(&self.breaker).begin(now);
        InFlightGuard {
            view: self.clone(),
            probe,
        }
    }

    /// Applies the load and the cached prefixes of a report.
    pub fn apply_report(&self, report: &AgentReport) {
        let load = report.running.saturating_add(report.waiting);
        self.reported.store(load, Ordering::Relaxed);
        self.in_flight_at_report
            .store(self.in_flight(), Ordering::Relaxed);
        if report.prefixes.is_empty() {
            return;
        }
        let mut known = lock(&self.prefixes);
        for p in &report.prefixes {
            known.insert(*p, report.sequence);
        }
        while known.len() > PREFIXES_MAX {
            // One pass evicts the oldest half, so that the amortised cost for each prefix is constant.
            let mut ages: Vec<u64> = known.values().copied().collect();
            ages.sort_unstable();
            let middle = ages[ages.len() / 2];
            known.retain(|_, age| *age > middle);
        }
    }

    /// Removes all cached prefixes, for example after a restart of the agent.
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
    /// Records a success in the agent's breaker.
    pub fn record_success(&self) {
        lock(&self.view.breaker).record_success();
    }

    /// Records a failure in the agent's breaker.
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
    /// Creates the route table's data of an agent.
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

    /// Returns the agent's load in requests: the peer load plus this entry's requests in flight.
    pub fn load(&self) -> u32 {
        self.view.peer_load().saturating_add(self.view.in_flight())
    }

    /// Returns the load in thousandths of the capacity, with one request added.
    pub fn load_permille(&self) -> u64 {
        u64::from(self.load() + 1) * 1000 / u64::from(self.capacity.max(1))
    }

    /// Returns the largest number of requests at the agent, running and waiting: a quarter more than its capacity keeps
    /// the endpoint busy between two requests, and a longer queue would only add latency.
    pub fn ceiling(&self) -> u32 {
        match self.capacity {
            0 => u32::MAX,
            c => c.saturating_add(c.div_ceil(4)),
        }
    }

    /// Returns whether the agent has room for a further request.
    pub fn has_room(&self) -> bool {
        self.load() < self.ceiling()
    }

    /// Returns whether the agent reported the prefix as cached.
    pub fn holds(&self, prefix: u64) -> bool {
        self.view.holds(prefix)
    }
}

impl RouteTable {
    /// Creates a table with the desired version and the routing policy of the settings.
    pub fn new(targets: Vec<Target>, weights: &Weights, route: &Route) -> Self {
        Self {
            targets,
            version: weights.version.clone(),
            overlap: weights.overlap,
            choose: chooser(route.policy),
            slack: route.slack,
        }
    }

    /// Iterates over the agents that accept new requests.
    pub fn accepting(&self) -> impl Iterator<Item = &Target> {
        self.targets.iter().filter(|t| self.is_accepting(t))
    }

    /// Returns whether an agent accepts new requests: it confirms the desired version or, if `overlap` is set, any
    /// version.
    fn is_accepting(&self, t: &Target) -> bool {
        let other = self.overlap && self.version.is_some() && t.version.is_some();
        t.version == self.version || other
    }

    /// Returns whether an agent has the required version or, for a new request, accepts new requests.
    fn is_eligible(&self, t: &Target, required: Option<&VersionName>) -> bool {
        match required {
            Some(v) => t.version.as_ref() == Some(v),
            None => self.is_accepting(t),
        }
    }

    /// Returns the largest number of requests that this entry may have in flight: the agents' room without their peer
    /// load, but at least an equal part of the whole room for each of the `entries`.
    pub fn window(&self, entries: u32) -> u32 {
        let mut free = 0_u32;
        let mut room = 0_u32;
        for t in self.accepting() {
            let peer_load = t.view.peer_load();
            free = free.saturating_add(t.ceiling().saturating_sub(peer_load));
            room = room.saturating_add(t.ceiling());
        }
        free.max(room.div_ceil(entries.max(1)))
    }

    /// Chooses an agent that was not tried before; the only eligible agent of a service is chosen again.
    ///
    /// An open breaker excludes an agent unless no other one is left.
    pub fn choose(&self, q: &RouteQuery<'_>) -> Option<&Target> {
        let untried = |t: &&Target| !q.tried.contains(&t.name);
        let allowed = |t: &&Target| t.view.allows(q.now);
        let eligible: Vec<&Target> = self
            .targets
            .iter()
            .filter(|t| self.is_eligible(t, q.required_version))
            .collect();
        let mut pool: Vec<&Target> = eligible
            .iter()
            .copied()
            .filter(untried)
            .filter(allowed)
            .collect();
        if pool.is_empty() {
            pool = eligible.iter().copied().filter(untried).collect();
        }
        // The only eligible agent of a service is tried again.
        if pool.is_empty() && eligible.len() == 1 {
            pool = eligible;
        }
        self.retain_nearest(&mut pool);
        self.retain_desired_version(&mut pool);
        match pool.len() {
            0 => None,
            1 => Some(pool[0]),
            _ => (self.choose)(&pool, q, self.slack),
        }
    }

    /// Keeps only the agents with the desired version if one of them has free capacity for the request.
    fn retain_desired_version(&self, pool: &mut Vec<&Target>) {
        let desired = |t: &Target| t.version == self.version;
        if pool.iter().any(|t| desired(t) && t.load() < t.capacity) {
            pool.retain(|t| desired(t));
        }
    }

    /// Keeps only the agents with room at the nearest distance that has one; if no agent has room, those of the entry's
    /// region, if any.
    fn retain_nearest(&self, pool: &mut Vec<&Target>) {
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
