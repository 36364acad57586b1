//! Which agents an entry watches, and which of them are alive.
//!
//! The host list lags, so it only adds candidates and removals; what an agent reports directly decides.
//!
//! | state | event | next state |
//! |---|---|---|
//! | joining | report `Starting` or `Serving` | alive |
//! | joining, alive, suspect | report `Leaving`, or a refusal because the agent leaves | leaving |
//! | alive | no report for 1.5 s, or its stream broke | suspect |
//! | suspect | report | alive |
//! | joining, suspect | no report for 5 s | gone |
//! | joining, suspect, gone | listed as leaving | leaving |
//! | leaving | report of a later run of the agent | alive |
//! | leaving | any other report | leaving (final for a run) |
//! | gone | report | alive |
//! | any but alive | removed from the host list | removed |
//!
//! An alive agent that is missing from the host list or listed as leaving stays alive until its own reports say
//! otherwise or stop: a reset or stale list must not take agents out of service.
//!
//! An entry watches a bounded subset of each service's agents: own zone first, then own region, then other regions;
//! within the same distance fit agents first, then by rendezvous hash, so that a change of one host moves at most one
//! place. An agent that is gone or does not confirm the version in the settings gives its place to the next one and is
//! tried again after [`REST`]: during a rollout only some hosts hold the version, and a subset that held none of them
//! could not serve.

use std::{collections::BTreeMap, net::SocketAddr};

use crate::{
    base::{rendezvous, Instance, Millis, ProcessName, Region, Service, VersionName, Zone},
    wire::{AgentReport, AgentState, HostEntry, HostState, Hosts, Role},
};

/// Time without a report after which an agent is suspect: one lost heartbeat of 1 s and its jitter.
pub const SUSPECT_AFTER: Millis = Millis(1500);

/// Time without a report after which an agent is gone.
pub const GONE_AFTER: Millis = Millis(5000);

/// Time for which a watched agent may lack the version before another agent gets its place.
pub const UNFIT_AFTER: Millis = Millis(10_000);

/// Time for which an agent that gave its place to another is not watched again unless there is room.
pub const REST: Millis = Millis(60_000);

/// State of an agent as this entry sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerState {
    /// Watched, has not reported yet.
    Joining,
    /// Reports arrive.
    Alive,
    /// Reports are late.
    Suspect,
    /// The agent announced that it leaves.
    Leaving,
    /// Reports stopped.
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

/// An agent of the host list.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its entry in the host list.
    pub host: HostEntry,
    /// Service of its endpoint.
    pub service: Service,
    /// Distance from this entry.
    pub distance: Distance,
    /// State.
    pub state: PeerState,
    /// Last report.
    pub report: Option<AgentReport>,
    /// Whether this entry subscribes to its reports.
    pub watched: bool,
    /// Rendezvous score for this entry; lower ranks first.
    score: u64,
    /// Time of the last report, or of the subscription.
    heard: Millis,
    /// Time since which the agent lacks the version while it is watched.
    unfit: Option<Millis>,
    /// End of the rest of an agent that gave up its place.
    rest: Millis,
    /// Run before the current one; its late reports are dropped.
    previous: Option<Instance>,
    listed: bool,
}

/// What the driver does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Subscribe to the reports of an agent.
    Watch(ProcessName, SocketAddr),
    /// End the subscription.
    Unwatch(ProcessName),
}

/// Which agents of a service an entry watches.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchPolicy {
    /// Number of agents.
    pub subset: usize,
    /// Whether agents of other regions count.
    pub cross_region: bool,
    /// Version that an agent must confirm.
    pub version: Option<VersionName>,
}

/// The entry's view of all agents.
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

    /// Returns whether its reports arrive; agents that are not watched count as heard.
    pub fn is_reporting(&self, now: Millis) -> bool {
        !self.watched || now - self.heard < SUSPECT_AFTER
    }

    fn fits(&self, version: &Option<VersionName>) -> bool {
        self.accepts_requests() && self.report.as_ref().is_some_and(|r| r.version == *version)
    }

    /// Returns whether the place of the agent goes to another one, if there is one.
    fn rests(&self, now: Millis) -> bool {
        self.rest > now || self.state == PeerState::Leaving
    }

    fn tick(&mut self, now: Millis) {
        let silent = now - self.heard;
        match self.state {
            PeerState::Alive if silent >= SUSPECT_AFTER => self.state = PeerState::Suspect,
            _ => {}
        }
        if matches!(self.state, PeerState::Joining | PeerState::Suspect)
            && self.watched
            && silent >= GONE_AFTER
        {
            self.state = PeerState::Gone;
            self.rest = now + REST;
        }
    }

    fn check_fit(&mut self, now: Millis, version: &Option<VersionName>) {
        if !self.watched || self.fits(version) {
            self.unfit = None;
            return;
        }
        let since = *self.unfit.get_or_insert(now);
        if now - since >= UNFIT_AFTER {
            self.rest = now + REST;
            self.unfit = None;
        }
    }
}

impl Membership {
    /// Creates an empty view of an entry.
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

    /// Returns an agent.
    pub fn get(&self, name: &ProcessName) -> Option<&Peer> {
        self.peers.get(name)
    }

    /// Takes over a host list.
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
        // A moved agent is a new one; an alive agent's direct address wins over a lagging list.
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
            heard: now,
            unfit: None,
            rest: Millis::ZERO,
            previous: None,
            listed: true,
        });
        peer.listed = true;
        if peer.state == PeerState::Alive {
            return;
        }
        match host.state {
            HostState::Leaving => peer.state = PeerState::Leaving,
            // A run that left without ever reporting here is over once the list shows the agent as live.
            HostState::Live if peer.state == PeerState::Leaving && peer.report.is_none() => {
                (peer.state, peer.heard) = (PeerState::Joining, now);
            }
            HostState::Live => {}
        }
    }

    /// Takes over a report; returns whether it changed what is known.
    pub fn apply_report(&mut self, now: Millis, report: AgentReport) -> bool {
        let Some(peer) = self.peers.get_mut(&report.name) else {
            return false;
        };
        if report.service != peer.service || peer.previous == Some(report.instance) {
            return false;
        }
        let run = peer.report.as_ref().map(|r| r.instance);
        let same = run == Some(report.instance);
        if same
            && peer
                .report
                .as_ref()
                .is_some_and(|r| r.sequence >= report.sequence)
        {
            return false;
        }
        if !same {
            peer.previous = run;
        }
        peer.heard = now;
        let left = same && peer.state == PeerState::Leaving;
        peer.state = if left || report.state == AgentState::Leaving {
            PeerState::Leaving
        } else {
            PeerState::Alive
        };
        peer.report = Some(report);
        true
    }

    /// Notes that the stream of reports broke.
    pub fn mark_stream_broken(&mut self, name: &ProcessName) {
        if let Some(p) = self.peers.get_mut(name) {
            if p.state == PeerState::Alive {
                p.state = PeerState::Suspect;
            }
        }
    }

    /// Notes that an agent refused a request because it leaves.
    pub fn mark_leaving(&mut self, name: &ProcessName) {
        if let Some(p) = self.peers.get_mut(name) {
            p.state = PeerState::Leaving;
        }
    }

    /// Applies the passage of time and chooses whom to watch.
    pub fn tick(
        &mut self,
        now: Millis,
        wish: impl Fn(&Service) -> Option<WatchPolicy>,
    ) -> (Vec<Action>, bool) {
        let mut changed = false;
        let mut services: BTreeMap<Service, (WatchPolicy, Vec<ProcessName>)> = BTreeMap::new();
        for (name, peer) in &mut self.peers {
            let before = peer.state;
            peer.tick(now);
            changed |= before != peer.state;
            let Some(wish) = wish(&peer.service) else {
                continue;
            };
            peer.check_fit(now, &wish.version);
            let (_, names) = services
                .entry(peer.service.clone())
                .or_insert_with(|| (wish, Vec::new()));
            names.push(name.clone());
        }
        let mut wanted: Vec<ProcessName> = Vec::new();
        for (wish, names) in services.values() {
            wanted.extend(self.subset(now, wish, names));
        }
        wanted.sort();
        let mut actions = Vec::new();
        for (name, peer) in &mut self.peers {
            let want = wanted.binary_search(name).is_ok();
            if want && !peer.watched {
                peer.heard = now;
                if peer.state != PeerState::Leaving {
                    peer.state = PeerState::Joining;
                }
                actions.push(Action::Watch(name.clone(), peer.host.peer));
            }
            if !want && peer.watched {
                // Without reports its state would only age; an agent that leaves keeps its state.
                peer.unfit = None;
                if peer.state != PeerState::Leaving {
                    (peer.state, peer.report) = (PeerState::Joining, None);
                }
                actions.push(Action::Unwatch(name.clone()));
                changed = true;
            }
            peer.watched = want;
        }
        (actions, changed)
    }

    /// Chooses the subset of one service.
    fn subset(&self, now: Millis, wish: &WatchPolicy, names: &[ProcessName]) -> Vec<ProcessName> {
        let mut peers: Vec<&Peer> = names
            .iter()
            .map(|n| &self.peers[n])
            .filter(|p| wish.cross_region || p.distance != Distance::Remote)
            .collect();
        peers.sort_by_key(|p| {
            let unfit = !p.fits(&wish.version);
            (p.rests(now), p.distance, unfit, p.score)
        });
        peers
            .iter()
            .take(wish.subset)
            .map(|p| p.host.name.clone())
            .collect()
    }
}
