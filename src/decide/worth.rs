//! Leaves slots of engines to requests that are worth more for the time in the slot, while slots are scarce.
//!
//! Load answered: more requests than the engines of a service can begin, of which some return after a rejection. One that
//! can't meet its latency objective any more is worth a part of one that can, and takes as much of an engine's time. It
//! leaves slots free, the more the longer it takes, and waits behind others at the engine. A request is never rejected
//! for its length alone, and no route and no workspace begins much more rarely than the others.

use std::rc::Rc;

use crate::base::{HashMap, Millis, Workspace};

/// Worth of a response that misses its latency objective, as a part of that of one in time. Callers value it at a tenth
/// to a third.
const LATE_WORTH: f64 = 0.2;

/// Time after a rejection for want of a slot in which slots are scarce.
const SCARCE_TIME: Millis = Millis(2000);

/// Largest part of an engine's slots that a request leaves free.
const RESERVE_MAX: f64 = 0.25;

/// Least share of the requests of a route or a workspace that begin, as a part of that of all requests of the service; one
/// below it leaves no slots free.
const SHARE_MIN: f64 = 0.4;

/// Half-life of the counts of requests.
const HALF_LIFE: Millis = Millis(2000);

/// Count of a route or a workspace below which nothing is known of it.
const COUNT_MIN: f64 = 0.05;

/// Largest number of routes and workspaces that are counted; beyond it, those without lately counted requests are removed.
const GROUPS_MAX: usize = 1024;

/// Requests whose share of slots has a floor.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Group {
    /// Requests of a route, by its name.
    Route(Rc<str>),
    /// Requests of a workspace.
    Workspace(Workspace),
}

/// Request that competes for the slots of an engine.
#[derive(Clone, Copy, Debug)]
pub struct WorthRequest<'a> {
    /// Its route, and its workspace if it has one.
    pub groups: &'a [Group],
    /// Whether its caller was rejected before and it is expected to miss its latency objective.
    pub late: bool,
    /// Time for which it is expected to occupy a slot.
    pub duration: Millis,
}

/// Returns whether a request can still meet its latency objective: `waited` is the time since its caller's first attempt,
/// `wait` that until an engine has read its prompt.
pub fn meets_objective(waited: Millis, wait: Millis, objective: Millis) -> bool {
    waited + wait < objective
}

/// Requests counted with exponential decay.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    offered: f64,
    begun: f64,
    /// Time up to which the counts have decayed.
    decayed: Millis,
}

impl Count {
    fn record(&mut self, begun: bool, now: Millis) {
        let factor = self.factor(now);
        self.offered = self.offered * factor + 1.0;
        self.begun = self.begun * factor + f64::from(u8::from(begun));
        self.decayed = self.decayed.max(now);
    }

    fn factor(&self, now: Millis) -> f64 {
        let time = now - self.decayed;
        (-(time.0 as f64) / HALF_LIFE.0 as f64).exp2()
    }

    fn share(&self) -> f64 {
        self.begun / self.offered.max(COUNT_MIN)
    }
}

/// Requests of one service by route and workspace, as one process sees them.
#[derive(Clone, Debug, Default)]
pub struct WorthLoad {
    groups: HashMap<Group, Count>,
    all: Count,
    /// Mean duration of the requests that began, in milliseconds, over about the last thirty.
    duration: f64,
    /// Mean time from the send to the first event without that of reading the prompt, in milliseconds, over as many.
    wait: f64,
    scarce_until: Millis,
}

/// Weight of the newest value in a mean.
const NEWEST_WEIGHT: f64 = 1.0 / 32.0;

impl WorthLoad {
    /// Records whether a request began, or was rejected for want of a slot. A rejection of one that left slots free says
    /// nothing of the load.
    pub fn record(&mut self, request: WorthRequest<'_>, begun: bool, now: Millis) {
        if begun {
            let duration = request.duration.0 as f64;
            if self.duration == 0.0 {
                self.duration = duration;
            }
            self.duration += (duration - self.duration) * NEWEST_WEIGHT;
        } else if self.share_kept(request, now) == 0.0 {
            self.scarce_until = now + SCARCE_TIME;
        }
        self.all.record(begun, now);
        if self.groups.len() >= GROUPS_MAX {
            self.groups
                .retain(|_, count| count.offered * count.factor(now) > COUNT_MIN);
        }
        for group in request.groups {
            let known = self.groups.len() < GROUPS_MAX || self.groups.contains_key(group);
            if known {
                let count = self.groups.entry(group.clone()).or_default();
                count.record(begun, now);
            }
        }
    }

    /// Records how long a request of usual urgency waited at an engine for its first event, without the time in which
    /// its prompt was read.
    pub fn record_wait(&mut self, wait: Millis) {
        self.wait += (wait.0 as f64 - self.wait) * NEWEST_WEIGHT;
    }

    /// Returns the time that a request is expected to wait at an engine.
    pub fn expected_wait(&self) -> Millis {
        Millis(self.wait as u64)
    }

    /// Returns whether requests were rejected lately for want of a slot.
    pub fn is_scarce(&self, now: Millis) -> bool {
        now < self.scarce_until
    }

    /// Returns whether the requests of one of these groups begin too rarely beside the others.
    pub fn is_below_floor(&self, groups: &[Group], now: Millis) -> bool {
        let counts = groups.iter().filter_map(|g| self.groups.get(g));
        let mut counted = counts.filter(|c| c.offered * c.factor(now) > COUNT_MIN);
        counted.any(|c| c.share() < SHARE_MIN * self.all.share())
    }

    /// Returns the slots of an engine with `slots` slots that a request leaves free.
    pub fn reserve(&self, request: WorthRequest<'_>, slots: u32, now: Millis) -> u32 {
        let kept = (f64::from(slots) * self.share_kept(request, now)).ceil() as u32;
        kept.min(slots.saturating_sub(1))
    }

    /// Returns the part of an engine's slots that a request leaves free: none if it is worth as much for the time in its
    /// slot as a usual request in time, and the more the less it is worth.
    fn share_kept(&self, request: WorthRequest<'_>, now: Millis) -> f64 {
        let exempt = !request.late || !self.is_scarce(now);
        if exempt || self.is_below_floor(request.groups, now) {
            return 0.0;
        }
        let relative = self.duration / (request.duration.0 as f64).max(1.0);
        let worth = (LATE_WORTH * relative).min(1.0);
        RESERVE_MAX * (1.0 - worth)
    }
}
