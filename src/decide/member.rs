//! Membership of agents as one entry sees it: which agents it watches, and which of them are alive.
//!
//! The host list lags behind, so it only adds and removes candidates; an agent's own reports decide its state.
//!
//! | state | event | next state |
//! |---|---|---|
//! | joining | report `Starting` or `Serving` | alive |
//! | joining, alive, suspect | report `Leaving`, or a request rejected because the agent is leaving | leaving |
//! | alive | no report for 1.5 s, or the stream of its reports broke | suspect |
//! | suspect | report | alive |
//! | joining, suspect | no report for 5 s | gone |
//! | joining, suspect, gone | listed as leaving | leaving |
//! | leaving | report of a later run of the agent | alive |
//! | leaving | any other report | leaving (final for a run of the agent) |
//! | gone | report | alive |
//! | any but alive | removed from the host list | removed |
//!
//! An alive agent that is missing from the host list or listed as leaving stays alive until its own reports say
//! otherwise or stop: a reset or stale list must not take agents out of service.
//!
//! An entry watches a bounded subset of each service's agents: own zone first, then own region, then other regions;
//! within the same distance ready agents (alive, serving, on the desired version) first, then by rendezvous hash, so
//! that the change of one host changes at most one member of the subset. An agent that is gone or does not confirm the
//! desired version is replaced by the next one and becomes eligible again after [`REPLACED_BACKOFF`]: during a rollout
//! only some hosts have the desired version, and a subset without any of them could not serve.

use std::{collections::BTreeMap, net::SocketAddr};

use crate::{
    base::{rendezvous, Instance, Millis, ProcessName, Region, Service, VersionName, Zone},
    wire::{AgentReport, AgentState, HostEntry, HostState, Hosts, Role},
};

/// Time without a report after which an agent is suspect. Heartbeats arrive every second, so this allows for one lost
/// heartbeat and jitter.
pub const SUSPECT_AFTER: Millis = Millis(1500);

/// Time without a report after which an agent is gone.
pub const GONE_AFTER: Millis = Millis(5000);

/// Time for which a watched agent may be unready (not serving the desired version) before another agent replaces it.
pub const UNREADY_AFTER: Millis = Millis(10_000);

/// Time for which a replaced agent is not watched again, unless the subset has room left.
pub const REPLACED_BACKOFF: Millis = Millis(60_000);

/// State of an agent as this entry sees it; the module documentation has the transitions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerState {
    /// Listed, but no report has arrived yet.
    Joining,
    /// Reports arrive.
    Alive,
    /// Reports are late, or their stream broke.
    Suspect,
    /// The agent is shutting down; final for a run of the agent.
    Leaving,
    /// No report arrived within [`GONE_AFTER`].
    Gone,
}

/// Distance of an agent from the entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// Same availability zone.
    Zone,
    /// Same region.
    Region,
    /// Another region.
    Remote,
}

/// An agent from the host list, with its reports.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Name, addresses and location as the host list has them.
    pub host: HostEntry,
    /// Service that the agent's endpoint belongs to.
    pub service: Service,
    /// Distance of the agent from this entry.
    pub distance: Distance,
    /// State of the agent as this entry sees it.
    pub state: PeerState,
    /// Latest report; `None` before the first one and after the subscription ended.
    pub report: Option<AgentReport>,
    /// Whether this entry subscribes to the agent's reports.
    pub watched: bool,
    /// Rendezvous score for this entry; lower ranks first.
    score: u64,
    /// Time of the last report, or of the subscription if that is later.
    last_seen: Millis,
    /// Time since which the watched agent has been unready.
    unready_since: Option<Millis>,
    /// Time until which the agent is not watched again after it was replaced.
    backoff_until: Millis,
    /// Previous run of the agent; late reports of it are dropped.
    previous_run: Option<Instance>,
    /// Whether the latest host list contains the agent.
    listed: bool,
}

/// What the caller of [`Membership::tick`] has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Subscribe to the reports of the agent at this address.
    Watch(ProcessName, SocketAddr),
    /// End the subscription to the agent's reports.
    Unwatch(ProcessName),
}

/// Which agents of a service an entry watches.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchPolicy {
    /// Number of agents to watch.
    pub subset: usize,
    /// Whether agents of other regions may be watched.
    pub cross_region: bool,
    /// Desired version, which an agent must confirm to be ready; `None` if the service has no weights.
    pub version: Option<VersionName>,
}

/// An entry's view of all agents.
#[derive(Clone, Debug)]
pub struct Membership {
    name: ProcessName,
    region: Region,
    zone: Zone,
    peers: BTreeMap<ProcessName, Peer>,
}

impl Peer {
    /// Returns whether the agent may receive new requests.
    pub fn accepts_requests(&self) -> bool {
        self.state == PeerState::Alive
            && self
                .report
                .as_ref()
                .is_some_and(|r| r.state == AgentState::Serving)
    }

    /// Returns whether the agent's reports arrive in time; an agent that is not watched counts as reporting.
    pub fn is_reporting(&self, now: Millis) -> bool {
        !self.watched || now - self.last_seen < SUSPECT_AFTER
    }

    /// Returns whether the agent's reports are late and still awaited, at most until [`GONE_AFTER`].
    pub fn is_suspect(&self) -> bool {
        self.watched && self.state == PeerState::Suspect
    }

    /// Returns whether the agent is alive, serves and has confirmed the version.
    fn is_ready(&self, version: &Option<VersionName>) -> bool {
        self.accepts_requests() && self.report.as_ref().is_some_and(|r| r.version == *version)
    }

    /// Returns whether other agents are preferred to this one.
    fn is_deferred(&self, now: Millis) -> bool {
        self.backoff_until > now || self.state == PeerState::Leaving
    }

    fn tick(&mut self, now: Millis) {
        let silent = now - self.last_seen;
        match self.state {
            PeerState::Alive if silent >= SUSPECT_AFTER => self.state = PeerState::Suspect,
            _ => {}
        }
        if matches!(self.state, PeerState::Joining | PeerState::Suspect)
            && self.watched
            && silent >= GONE_AFTER
        {
            self.state = PeerState::Gone;
            self.backoff_until = now + REPLACED_BACKOFF;
        }
    }

    fn check_ready(&mut self, now: Millis, version: &Option<VersionName>) {
        if !self.watched || self.is_ready(version) {
            self.unready_since = None;
            return;
        }
        let since = *self.unready_since.get_or_insert(now);
        if now - since >= UNREADY_AFTER {
            self.backoff_until = now + REPLACED_BACKOFF;
            self.unready_since = None;
        }
    }
}

impl Membership {
    /// Creates the view of an entry that knows no agent yet.
    pub fn new(name: ProcessName, region: Region, zone: Zone) -> Self {
        Self {
            name,
            region,
            zone,
            peers: BTreeMap::new(),
        }
    }

    /// Iterates over all agents.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Returns the agent with this name, if the entry knows it.
    pub fn get(&self, name: &ProcessName) -> Option<&Peer> {
        self.peers.get(name)
    }

    /// Applies a host list: adds its agents and removes those that it lacks, except alive ones.
    pub fn apply_hosts(&mut self, now: Millis, hosts: &Hosts) {
        for p in self.peers.values_mut() {
            p.listed = false;
        }
        for host in hosts.hosts.iter().filter(|h| h.role == Role::Agent) {
            if let Some(service) = &host.service {
                self.add(now, host, service);
            }
        }
        self.peers
            .retain(|_, p| p.listed || p.state == PeerState::Alive);
    }

    fn add(&mut self, now: Millis, host: &HostEntry, service: &Service) {
        let moved = self
            .peers
            .get(&host.name)
            .is_some_and(|p| p.host.peer != host.peer || p.service != *service);
        // An agent with another address or service is treated as a new agent, unless it is alive: its reports then show
        // that its known address works, and the list may lag behind.
        if moved && self.peers[&host.name].state != PeerState::Alive {
            self.peers.remove(&host.name);
        }
        let distance = match () {
            () if host.zone == self.zone && host.region == self.region => Distance::Zone,
            () if host.region == self.region => Distance::Region,
            () => Distance::Remote,
        };
        let own = self.name.as_str();
        let peer = self.peers.entry(host.name.clone()).or_insert_with(|| Peer {
            host: host.clone(),
            service: service.clone(),
            distance,
            state: PeerState::Joining,
            report: None,
            watched: false,
            score: rendezvous(own.as_bytes(), host.name.as_str().as_bytes()),
            last_seen: now,
            unready_since: None,
            backoff_until: Millis::ZERO,
            previous_run: None,
            listed: true,
        });
        peer.listed = true;
        if peer.state == PeerState::Alive {
            return;
        }
        match host.state {
            HostState::Leaving => peer.state = PeerState::Leaving,
            // An agent that left without ever reporting to this entry has restarted once the list shows it as live.
            HostState::Live if peer.state == PeerState::Leaving && peer.report.is_none() => {
                (peer.state, peer.last_seen) = (PeerState::Joining, now);
            }
            HostState::Live => {}
        }
    }

    /// Applies a report; returns `false` if it was dropped, because the agent is unknown or the report outdated.
    pub fn apply_report(&mut self, now: Millis, report: AgentReport) -> bool {
        let Some(peer) = self.peers.get_mut(&report.name) else {
            return false;
        };
        if report.service != peer.service || peer.previous_run == Some(report.instance) {
            return false;
        }
        let last_run = peer.report.as_ref().map(|r| r.instance);
        let same = last_run == Some(report.instance);
        if same
            && peer
                .report
                .as_ref()
                .is_some_and(|r| r.sequence >= report.sequence)
        {
            return false;
        }
        if !same {
            peer.previous_run = last_run;
        }
        peer.last_seen = now;
        let still_leaving = same && peer.state == PeerState::Leaving;
        peer.state = if still_leaving || report.state == AgentState::Leaving {
            PeerState::Leaving
        } else {
            PeerState::Alive
        };
        peer.report = Some(report);
        true
    }

    /// Marks an alive agent as suspect because the stream of its reports broke.
    pub fn mark_stream_broken(&mut self, name: &ProcessName) {
        if let Some(p) = self.peers.get_mut(name) {
            if p.state == PeerState::Alive {
                p.state = PeerState::Suspect;
            }
        }
    }

    /// Marks an agent as leaving because it rejected a request for that reason.
    pub fn mark_leaving(&mut self, name: &ProcessName) {
        if let Some(p) = self.peers.get_mut(name) {
            p.state = PeerState::Leaving;
        }
    }

    /// Applies timeouts and chooses the agents to watch; `policy` returns `None` for a service that is not watched.
    ///
    /// Returns the actions, and whether a state changed or a subscription ended.
    pub fn tick(
        &mut self,
        now: Millis,
        policy: impl Fn(&Service) -> Option<WatchPolicy>,
    ) -> (Vec<Action>, bool) {
        let mut changed = false;
        let mut services: BTreeMap<Service, (WatchPolicy, Vec<ProcessName>)> = BTreeMap::new();
        for (name, peer) in &mut self.peers {
            let before = peer.state;
            peer.tick(now);
            changed |= before != peer.state;
            let Some(policy) = policy(&peer.service) else {
                continue;
            };
            peer.check_ready(now, &policy.version);
            let (_, names) = services
                .entry(peer.service.clone())
                .or_insert_with(|| (policy, Vec::new()));
            names.push(name.clone());
        }
        let mut selected: Vec<ProcessName> = Vec::new();
        for (policy, names) in services.values() {
            selected.extend(self.subset(now, policy, names));
        }
        selected.sort();
        let mut actions = Vec::new();
        for (name, peer) in &mut self.peers {
            let is_selected = selected.binary_search(name).is_ok();
            if is_selected && !peer.watched {
                peer.last_seen = now;
                if peer.state != PeerState::Leaving {
                    peer.state = PeerState::Joining;
                }
                actions.push(Action::Watch(name.clone(), peer.host.peer));
            }
            if !is_selected && peer.watched {
                // Without reports the state would only become stale. An agent that is leaving keeps its state.
                peer.unready_since = None;
                if peer.state != PeerState::Leaving {
                    (peer.state, peer.report) = (PeerState::Joining, None);
                }
                actions.push(Action::Unwatch(name.clone()));
                changed = true;
            }
            peer.watched = is_selected;
        }
        (actions, changed)
    }

    /// Returns the agents of one service to watch, at most `policy.subset`.
    fn subset(&self, now: Millis, policy: &WatchPolicy, names: &[ProcessName]) -> Vec<ProcessName> {
        let mut peers: Vec<&Peer> = names
            .iter()
            .map(|n| &self.peers[n])
            .filter(|p| policy.cross_region || p.distance != Distance::Remote)
            .collect();
        peers.sort_by_key(|p| {
            let unready = !p.is_ready(&policy.version);
            (p.is_deferred(now), p.distance, unready, p.score)
        });
        peers
            .iter()
            .take(policy.subset)
            .map(|p| p.host.name.clone())
            .collect()
    }
}
