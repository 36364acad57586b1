//! Scaling of a service under load: how many hosts load a version, which of them keep the copy in memory, and when
//! hosts drain before the compute credits of their region end.
//!
//! The live agents of a service in a region are ranked by rendezvous hashing over service and agent name, so that ranks
//! do not depend on the version. Agents with a rank below `replicas` load the version. Each further agent with a rank
//! below `ceiling` watches the two ranks before it and loads the version once both serve it under load, so that the
//! number of replicas grows rank by rank without a coordinator. Host lists that differ by one host shift ranks by one
//! and cost at most one extra copy.
//!
//! An endpoint that serves a version changes to the next one without waiting for load: it could not unload the old
//! version, and would serve it until something replaces it.

use crate::{
    base::{rendezvous, HashMap, HashSet, Millis, Percent, ProcessName, Service, VersionName},
    decide::member::SUSPECT_AFTER,
    wire::{AgentReport, AgentState},
};

/// Time for which the agents of the ranks before must be under load before a further one loads the version; requests of
/// a shorter peak wait in queues instead.
pub const SUSTAINED_LOAD: Millis = Millis(2000);

/// Maximum number of agents of the ranks before that an agent watches.
pub const WATCHED_MAX: usize = 2;

/// Number that means all hosts of a region; the largest value of the options that count hosts.
pub const ALL_HOSTS: u32 = 100_000;

/// Rank of an agent among the live agents of its service in its region.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentRank {
    /// Number of agents before this one; the first agent has rank 0.
    pub rank: usize,
    /// Number of live agents, including this one.
    pub live: usize,
    /// Agents of the ranks directly before, nearest first; at most [`WATCHED_MAX`].
    pub ahead: Vec<ProcessName>,
}

impl AgentRank {
    /// Ranks the agent `own` among the other live agents of the service.
    pub fn new(
        service: &Service,
        own: &ProcessName,
        others: impl IntoIterator<Item = ProcessName>,
    ) -> Self {
        let score =
            |n: &ProcessName| rendezvous(service.as_str().as_bytes(), n.as_str().as_bytes());
        let mut all: Vec<_> = others.into_iter().filter(|n| n != own).collect();
        let live = all.len() + 1;
        let limit = (score(own), own.clone());
        let mut before: Vec<_> = all
            .drain(..)
            .map(|n| (score(&n), n))
            .filter(|n| *n < limit)
            .collect();
        before.sort();
        let rank = before.len();
        let ahead = before.into_iter().rev().take(WATCHED_MAX).map(|(_, n)| n);
        Self {
            rank,
            live,
            ahead: ahead.collect(),
        }
    }
}

/// Returns the agents of the first `limit` ranks among the live agents of a service in a region.
///
/// Only these are certain to copy a version; further agents copy it when the load grows.
pub fn first_ranks(
    service: &Service,
    agents: impl IntoIterator<Item = ProcessName>,
    limit: u32,
) -> HashSet<ProcessName> {
    let key = service.as_str().as_bytes();
    let mut all: Vec<_> = agents.into_iter().collect();
    if all.len() > limit as usize {
        all.sort_by_cached_key(|n| (rendezvous(key, n.as_str().as_bytes()), n.clone()));
        all.truncate(limit as usize);
    }
    all.into_iter().collect()
}

/// Options and desired version of a service on which a decision depends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScalingRule {
    /// Number of hosts that always load the version.
    pub replicas: u32,
    /// Maximum number of hosts that load the version.
    pub ceiling: u32,
    /// Number of hosts that keep the copy in memory after their endpoint has loaded it.
    pub seeds: u32,
    /// Load of the watched agents, in per cent of their capacity, from which the next host loads the version.
    pub threshold: Percent,
    /// Desired version according to the settings.
    pub version: Option<VersionName>,
}

/// Decision of [`ReplicaScaler::tick`] for one agent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CopyDecision {
    /// Whether the agent copies and loads the desired version.
    pub load: bool,
    /// Whether the copy stays in memory after the endpoint has reported the version.
    pub keep: bool,
    /// Whether this decision makes the agent load the version because the agents of the ranks before are under load.
    pub scaled_up: bool,
    /// Agents whose reports the agent needs; at most [`WATCHED_MAX`].
    pub watch: Vec<ProcessName>,
}

/// Decides for one agent whether it loads the desired version and whether it keeps the copy.
#[derive(Clone, Debug, Default)]
pub struct ReplicaScaler {
    /// Last report of each watched agent and the time at which it arrived.
    reports: HashMap<ProcessName, (Millis, AgentReport)>,
    /// Load threshold and version against which the last decision compared the reports.
    target: Option<(Percent, VersionName)>,
    /// Time since which all watched agents have been under load.
    loaded_since: Option<Millis>,
    /// Whether the agent has started to copy a version because of load, or its endpoint already serves one. Never
    /// reset, because a later drop of the load must not make it abandon a copy.
    started: bool,
    /// Version whose copy was released from memory.
    released: Option<VersionName>,
}

impl ReplicaScaler {
    /// Records a report of a watched agent that arrived at `now`.
    pub fn report(&mut self, now: Millis, report: AgentReport) {
        if let Some((threshold, version)) = &self.target {
            if !is_loaded(&report, *threshold, version) {
                self.loaded_since = None;
            }
        }
        self.reports.insert(report.name.clone(), (now, report));
    }

    /// Decides at `now`; `rank` is `None` until the host list contains this agent, `held` is the version that the
    /// endpoint reports.
    pub fn tick(
        &mut self,
        now: Millis,
        rank: Option<&AgentRank>,
        rule: &ScalingRule,
        held: Option<&VersionName>,
    ) -> CopyDecision {
        let fits = |limit: u32| match rank {
            Some(p) => p.rank < limit as usize,
            // Without a rank, the agent is known to be below a limit only if the limit admits all hosts.
            None => limit >= ALL_HOSTS,
        };
        let (below_replicas, below_ceiling, is_seed) =
            (fits(rule.replicas), fits(rule.ceiling), fits(rule.seeds));
        self.started |= held.is_some();
        let waits = below_ceiling && !below_replicas && !self.started && rank.is_some();
        let scaled_up = self.is_load_sustained(now, rank.filter(|_| waits), rule);
        self.started |= scaled_up;
        let confirmed = held.filter(|h| rule.version.as_ref() == Some(*h));
        let covered = || {
            let (Some(p), Some(v)) = (rank, confirmed) else {
                return false;
            };
            p.ahead
                .iter()
                .all(|n| self.fresh(now, n).is_some_and(|r| serves(r, v)))
        };
        if is_seed || confirmed.is_none() {
            self.released = None;
        } else if self.released.as_ref() != confirmed && covered() {
            self.released = confirmed.cloned();
        }
        let releases = confirmed.is_some() && !is_seed && self.released.is_none();
        let watch = rank
            .filter(|_| (waits && !scaled_up) || releases)
            .map_or_else(Vec::new, |p| p.ahead.clone());
        self.reports.retain(|n, _| watch.contains(n));
        CopyDecision {
            load: below_ceiling && (below_replicas || self.started),
            keep: self.released.is_none(),
            scaled_up,
            watch,
        }
    }

    /// Returns whether all watched agents have been under load for [`SUSTAINED_LOAD`].
    fn is_load_sustained(
        &mut self,
        now: Millis,
        rank: Option<&AgentRank>,
        rule: &ScalingRule,
    ) -> bool {
        let target = rule.version.clone().map(|v| (rule.threshold, v));
        if self.target != target {
            (self.target, self.loaded_since) = (target, None);
        }
        let loaded = match (rank, &self.target) {
            (Some(p), Some((threshold, version))) if !p.ahead.is_empty() => {
                p.ahead.iter().all(|n| {
                    self.fresh(now, n)
                        .is_some_and(|r| is_loaded(r, *threshold, version))
                })
            }
            _ => false,
        };
        if !loaded {
            self.loaded_since = None;
            return false;
        }
        now - *self.loaded_since.get_or_insert(now) >= SUSTAINED_LOAD
    }

    /// Returns the last report of an agent unless it is stale, that is, older than [`SUSPECT_AFTER`].
    fn fresh(&self, now: Millis, name: &ProcessName) -> Option<&AgentReport> {
        let (at, report) = self.reports.get(name)?;
        (now - *at < SUSPECT_AFTER).then_some(report)
    }
}

fn serves(r: &AgentReport, version: &VersionName) -> bool {
    r.state == AgentState::Serving && r.version.as_ref() == Some(version)
}

fn is_loaded(r: &AgentReport, threshold: Percent, version: &VersionName) -> bool {
    let load = (u64::from(r.running) + u64::from(r.waiting)) * 100;
    // The load of an endpoint that reports no capacity is unknown.
    let full = r.capacity > 0 && load >= u64::from(r.capacity) * u64::from(threshold.0);
    full && serves(r, version)
}

/// Stage of an agent's drain before the end of the credits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainStage {
    /// The credits do not end, or the drain is more than one lead away.
    Far,
    /// The drain of the region's hosts starts within one lead, or has started without this agent.
    Announced,
    /// The agent must drain now.
    Drain,
}

/// Decides when an agent drains before the compute credits of its region end.
///
/// Points in time are Unix times in milliseconds. The lead is the time before the end at which the drains start.
#[derive(Clone, Debug, Default)]
pub struct CreditDrain {
    /// End and lead for which `at` was computed.
    term: (Millis, Millis),
    /// Start of this agent's drain. Fixed when the lead begins: ranks shift when earlier agents leave, and agents that
    /// computed their time anew would all drain at once.
    at: Option<Millis>,
}

impl CreditDrain {
    /// Returns the stage at the Unix time `wall`; `ends` is zero if the credits do not end.
    pub fn tick(
        &mut self,
        wall: Millis,
        ends: Millis,
        lead: Millis,
        rank: Option<&AgentRank>,
    ) -> DrainStage {
        if self.term != (ends, lead) {
            *self = Self {
                term: (ends, lead),
                at: None,
            };
        }
        if ends == Millis::ZERO || wall < ends - lead.times(2) {
            return DrainStage::Far;
        }
        let start = ends - lead;
        if wall < start {
            return DrainStage::Announced;
        }
        if self.at.is_none() {
            self.at = rank.map(|p| start + drain_delay(p, lead));
        }
        // An agent that is not in the host list cannot know its rank and drains last.
        let at = self.at.unwrap_or(start + Millis(lead.0 / 2));
        if wall >= at {
            return DrainStage::Drain;
        }
        DrainStage::Announced
    }
}

/// Returns the time from the begin of the lead to the drain of an agent; drains are spread evenly over its first half.
fn drain_delay(rank: &AgentRank, lead: Millis) -> Millis {
    let part = u128::from(lead.0 / 2) * rank.rank as u128 / rank.live.max(1) as u128;
    Millis(part as u64)
}
