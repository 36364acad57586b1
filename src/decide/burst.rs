//! How many hosts hold a version, which of them keep the copy in memory, and when hosts leave before credits end.
//!
//! The live agents of a service in a region are ranked by rendezvous hash over service and agent name, so that ranks do
//! not depend on the version. Agents below `replicas` load the version. Each further agent below `ceiling` watches the
//! two ranks before it and starts once both serve the version under load; growth is a chain without a coordinator.
//! Views that differ by one host shift ranks by one and cost at most one extra copy.
//!
//! An endpoint that serves a version follows to the next one without waiting for load: it could not drop the old
//! version, and would answer with it for as long as nobody replaces it.

use crate::{
    base::{rendezvous, HashMap, HashSet, Millis, Percent, ProcessName, Service, VersionName},
    decide::member::SUSPECT_AFTER,
    wire::{AgentReport, AgentState},
};

/// Time for which the agents ahead must be loaded before a further one starts; a shorter peak is queued instead.
pub const SUSTAINED_LOAD: Millis = Millis(2000);

/// Number of agents ahead that an agent watches at most.
pub const WATCHED_MAX: usize = 2;

/// Number of hosts that stands for all hosts of a region; the largest value of the options that count hosts.
pub const ALL_HOSTS: u32 = 100_000;

/// AgentRank of an agent among the live agents of its service in its region.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentRank {
    /// Rank; the first agent has rank 0.
    pub rank: usize,
    /// Live agents, this one included.
    pub live: usize,
    /// The agents of the ranks before, nearest first; at most [`WATCHED_MAX`].
    pub ahead: Vec<ProcessName>,
}

impl AgentRank {
    /// Ranks an agent among the other live agents.
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
/// Only they are sure to copy a version; further agents copy it when the load grows.
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

/// The options that a decision reads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScalingRule {
    /// Hosts that always load the version.
    pub replicas: u32,
    /// Hosts that load the version at most.
    pub ceiling: u32,
    /// Hosts that keep the copy in memory.
    pub seeds: u32,
    /// Load from which the next host starts.
    pub threshold: Percent,
    /// Version in the settings.
    pub version: Option<VersionName>,
}

/// What the agent does.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CopyDecision {
    /// Whether the agent obtains and loads the version in the settings.
    pub load: bool,
    /// Whether the copy stays in memory after the endpoint confirmed the version.
    pub keep: bool,
    /// Whether load of the agents ahead caused the start, at this decision.
    pub scaled_up: bool,
    /// Agents to watch; at most [`WATCHED_MAX`].
    pub watch: Vec<ProcessName>,
}

/// Decides for one agent.
#[derive(Clone, Debug, Default)]
pub struct ReplicaScaler {
    reports: HashMap<ProcessName, (Millis, AgentReport)>,
    /// Load and version that the last decision looked for.
    wanted: Option<(Percent, VersionName)>,
    /// Time since which all agents ahead are loaded.
    since: Option<Millis>,
    /// Whether the agent has started; final, because a later dip of the load must not abandon a copy.
    started: bool,
    /// Version whose copy was given back.
    released: Option<VersionName>,
}

impl ReplicaScaler {
    /// Takes over a report of a watched agent.
    pub fn report(&mut self, now: Millis, report: AgentReport) {
        if let Some((threshold, version)) = &self.wanted {
            if !is_loaded(&report, *threshold, version) {
                self.since = None;
            }
        }
        self.reports.insert(report.name.clone(), (now, report));
    }

    /// Decides; `place` is `None` until the host list has this agent, `held` is the version that the endpoint reports.
    pub fn tick(
        &mut self,
        now: Millis,
        place: Option<&AgentRank>,
        rule: &ScalingRule,
        held: Option<&VersionName>,
    ) -> CopyDecision {
        let fits = |limit: u32| match place {
            Some(p) => p.rank < limit as usize,
            // Without a rank only a limit that admits every host is known to admit this one.
            None => limit >= ALL_HOSTS,
        };
        let (base, limit, seed) = (fits(rule.replicas), fits(rule.ceiling), fits(rule.seeds));
        self.started |= held.is_some();
        let waits = limit && !base && !self.started && place.is_some();
        let scaled_up = self.grows(now, place.filter(|_| waits), rule);
        self.started |= scaled_up;
        let confirmed = held.filter(|h| rule.version.as_ref() == Some(*h));
        let covered = || {
            let (Some(p), Some(v)) = (place, confirmed) else {
                return false;
            };
            p.ahead
                .iter()
                .all(|n| self.fresh(now, n).is_some_and(|r| holds(r, v)))
        };
        if seed || confirmed.is_none() {
            self.released = None;
        } else if self.released.as_ref() != confirmed && covered() {
            self.released = confirmed.cloned();
        }
        let releases = confirmed.is_some() && !seed && self.released.is_none();
        let watch = place
            .filter(|_| (waits && !scaled_up) || releases)
            .map_or_else(Vec::new, |p| p.ahead.clone());
        self.reports.retain(|n, _| watch.contains(n));
        CopyDecision {
            load: limit && (base || self.started),
            keep: self.released.is_none(),
            scaled_up,
            watch,
        }
    }

    /// Returns whether all agents ahead have been loaded for [`SUSTAINED_LOAD`].
    fn grows(&mut self, now: Millis, place: Option<&AgentRank>, rule: &ScalingRule) -> bool {
        let wanted = rule.version.clone().map(|v| (rule.threshold, v));
        if self.wanted != wanted {
            (self.wanted, self.since) = (wanted, None);
        }
        let loaded = match (place, &self.wanted) {
            (Some(p), Some((threshold, version))) if !p.ahead.is_empty() => {
                p.ahead.iter().all(|n| {
                    self.fresh(now, n)
                        .is_some_and(|r| is_loaded(r, *threshold, version))
                })
            }
            _ => false,
        };
        if !loaded {
            self.since = None;
            return false;
        }
        now - *self.since.get_or_insert(now) >= SUSTAINED_LOAD
    }

    /// Returns the last report of an agent unless it is late.
    fn fresh(&self, now: Millis, name: &ProcessName) -> Option<&AgentReport> {
        let (at, report) = self.reports.get(name)?;
        (now - *at < SUSPECT_AFTER).then_some(report)
    }
}

fn holds(r: &AgentReport, version: &VersionName) -> bool {
    r.state == AgentState::Serving && r.version.as_ref() == Some(version)
}

fn is_loaded(r: &AgentReport, threshold: Percent, version: &VersionName) -> bool {
    let load = (u64::from(r.running) + u64::from(r.waiting)) * 100;
    // An endpoint without a known capacity has no known load.
    let full = r.capacity > 0 && load >= u64::from(r.capacity) * u64::from(threshold.0);
    full && holds(r, version)
}

/// Where an agent stands before the end of the credits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainStage {
    /// No end is near.
    Far,
    /// The drain is near.
    Announced,
    /// The agent drains now.
    Drain,
}

/// Decides when an agent drains before the end of the credits.
///
/// Times are Unix times in milliseconds.
#[derive(Clone, Debug, Default)]
pub struct CreditDrain {
    /// End and lead of `at`.
    term: (Millis, Millis),
    /// Start of this agent's drain. Fixed when the lead begins: ranks shift as earlier ones leave, and agents that
    /// followed them would all drain at once.
    at: Option<Millis>,
}

impl CreditDrain {
    /// Decides; `ends` is zero if the credits do not end.
    pub fn tick(
        &mut self,
        wall: Millis,
        ends: Millis,
        lead: Millis,
        place: Option<&AgentRank>,
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
            self.at = place.map(|p| start + slot(p, lead));
        }
        // An agent that the list does not have cannot know its rank and is the last to drain.
        let at = self.at.unwrap_or(start + Millis(lead.0 / 2));
        if wall >= at {
            return DrainStage::Drain;
        }
        DrainStage::Announced
    }
}

/// Spreads the drains evenly over the first half of the lead.
fn slot(place: &AgentRank, lead: Millis) -> Millis {
    let part = u128::from(lead.0 / 2) * place.rank as u128 / place.live.max(1) as u128;
    Millis(part as u64)
}
