//! Where a request goes, and when it is refused: the load of endpoints as one entry knows it.
//!
//! | load pattern | what happens |
//! |---|---|
//! | steady | the least loaded of the endpoints that this entry is the home of, and of a few others, nearer ones first |
//! | prompts that come close together | an endpoint that has yet to read some is passed over |
//! | more than the endpoints can serve in time | refused at once beyond the slots, with a short, spread time to return |
//! | a new version is named | an endpoint gets only requests that end by its turn to load |
//! | copies of a new version are late | turns do not count until a host has taken its own |
//! | callers return after a refusal | may wait in an endpoint's queue, behind new ones, and may delay a load |
//! | an endpoint turns requests away | passed over for a short time that doubles |
//! | an endpoint names a time to return | passed over until then, whatever else is heard of it |
//! | an endpoint fails part of its requests | used only when the others are loaded |
//! | an endpoint is lost | its breaker opens |

use std::net::SocketAddr;

use super::{
    fleet::{Endpoint, EndpointId},
    members::EndpointHash,
    named::Named,
    record::WeightVersion,
    turns::Turns,
    view::{Load, Outcome, View},
};
use crate::base::{HashMap, HashSet, Millis, Zone};

/// Random endpoints among which the best is chosen, so that entries with the same view do not choose the same endpoint.
const CHOICES: usize = 4;

/// Cost of an endpoint of which another entry is the home, as a share of its slots.
const AWAY_COST: f64 = 0.25;

/// Time by which a request may outlast the turn of its endpoint to load, and by which one of a returning caller may, who
/// cannot come back once more.
const OVERRUN_MAX: Millis = Millis(250);
const OVERRUN_RETURNING: Millis = Millis(1000);

/// Part of an engine's slots, as a divisor, for which returning callers may wait beyond the slots.
const RETURNING_SHARE: u32 = 4;

/// Cost of an endpoint whose load of a newer version is delayed by [`OVERRUN_MAX`], as a share of its slots; less for a
/// shorter delay.
const OVERRUN_COST: f64 = 0.5;

/// Time after its turn for which an endpoint is taken to drain or to load; after it, the host seems to lack a copy.
const LOADING: Millis = Millis(800);

/// Cost of an endpoint whose host seems to lack a copy: it may load at any moment.
const LATE_COST: f64 = 1.5;

/// Part of an engine's slots, as a divisor, that stays free where a request has to begin at once.
const BEGIN_SHARE: u32 = 5;

/// Requests that may wait at a plain endpoint, for each slot.
const PLAIN_QUEUE: u32 = 2;

/// Mean time after which a refused caller is asked to return: within its objective if a slot is free by then.
const RETURN: Millis = Millis(250);

/// Mean time after which a caller is asked to return while no endpoint can run its request but some load weights: about
/// what a load takes.
const RETURN_LOADING: Millis = Millis(1000);

/// Mean time after which a caller is asked to return while no endpoint can run its request and none loads weights: copies
/// take seconds, and callers wait no longer than a third of their time.
const RETURN_ABSENT: Millis = Millis(1800);

/// Loads of a newer version that are to come.
#[derive(Clone, Copy, Debug)]
pub struct Loads<'a> {
    /// Turns of the hosts.
    pub turns: &'a Turns,
    /// Versions that were named.
    pub named: &'a Named,
    /// Bound on the time for which requests may begin on an old version.
    pub bound: Millis,
}

/// Weights that may serve a request.
#[derive(Clone, Copy, Debug)]
pub struct Wanted<'a> {
    /// Model.
    pub model: &'a str,
    /// Foreseen loads of a newer version; `None` if none is named.
    pub loads: Option<Loads<'a>>,
    /// Oldest version on which the request may begin now.
    pub oldest: WeightVersion,
    /// Oldest version on which it may begin after it has waited at the endpoint.
    pub waiting: WeightVersion,
}

/// What a request needs.
#[derive(Clone, Debug)]
pub struct Ask<'a> {
    /// Zone of the entry.
    pub zone: &'a Zone,
    /// What the weights must be; `None` for plain services.
    pub weights: Option<Wanted<'a>>,
    /// The only version that may continue a stream.
    pub exact: Option<WeightVersion>,
    /// Endpoints that had the request already.
    pub tried: &'a [EndpointId],
    /// Endpoints of which the entry is the home; see [`homes`](super::homes()).
    pub homes: &'a HashSet<EndpointId>,
    /// Prompt tokens that an endpoint reads in a millisecond; `None` for plain services.
    pub read_rate: Option<f64>,
    /// Whether the caller returns after a refusal.
    pub returning: bool,
    /// Time for which the request keeps a slot, as far as it can be foreseen.
    pub duration: Millis,
}

/// Why a request is sent nowhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No endpoint of the service can run it.
    Unavailable(Millis),
    /// Every endpoint that can run it is loaded.
    Overloaded(Millis),
}

/// Load of all endpoints.
#[derive(Debug, Default)]
pub struct Balance {
    views: HashMap<EndpointId, View>,
    /// Whether every other entry tells its requests, so that reports of endpoints add nothing.
    all_told: bool,
}

/// Endpoints that may get a request, with their costs.
#[derive(Debug)]
struct Candidates<'e> {
    /// Those of which the entry is the home.
    home: Vec<(&'e Endpoint, f64)>,
    others: Vec<(&'e Endpoint, f64)>,
    /// Whether any endpoint can run the request, now or later.
    able: bool,
    /// Earliest time at which one of these takes requests, if all are passed over until some time.
    opens: Millis,
}

impl Default for Candidates<'_> {
    fn default() -> Self {
        Self {
            home: Vec::new(),
            others: Vec::new(),
            able: false,
            opens: Millis::MAX,
        }
    }
}

impl<'e> Candidates<'e> {
    /// Returns the cheapest among all at home and a few random others.
    fn best(mut self) -> Option<&'e Endpoint> {
        let others = (0..CHOICES.min(self.others.len())).map(|i| {
            let j = fastrand::usize(i..self.others.len());
            self.others.swap(i, j);
            self.others[i]
        });
        let all = self.home.into_iter().chain(others);
        all.min_by(|a, b| a.1.total_cmp(&b.1)).map(|(e, _)| e)
    }
}

/// Returns what it costs that a request delays its endpoint's load of a newer version at a turn: while it runs, the other
/// slots stay empty. `None` if it would delay the load too much.
fn drain_cost(turn: Option<Millis>, ask: &Ask<'_>, now: Millis) -> Option<f64> {
    let Some(turn) = turn else {
        return Some(0.0);
    };
    if now >= turn + LOADING {
        return Some(LATE_COST);
    }
    let delay = now + ask.duration - turn;
    let longest = if ask.returning {
        OVERRUN_RETURNING
    } else {
        OVERRUN_MAX
    };
    if delay > longest {
        return None;
    }
    Some(delay.0 as f64 / OVERRUN_MAX.0 as f64 * OVERRUN_COST)
}

/// Returns when a caller should return whose request no endpoint can run.
fn absent_wait(endpoints: &[&Endpoint]) -> Millis {
    let loading = |e: &&Endpoint| !e.record.draining && e.record.models.is_empty();
    let mean = if endpoints.iter().any(loading) {
        RETURN_LOADING
    } else {
        RETURN_ABSENT
    };
    crate::base::jitter(mean)
}

impl Balance {
    /// Chooses an endpoint among those of a service.
    ///
    /// # Errors
    ///
    /// Returns why the request is refused and when the caller should return.
    pub fn pick<'e>(
        &mut self,
        endpoints: impl Iterator<Item = &'e Endpoint>,
        ask: &Ask<'_>,
        now: Millis,
    ) -> Result<&'e Endpoint, Refusal> {
        let endpoints: Vec<_> = endpoints.collect();
        let found = self.candidates(&endpoints, ask, now);
        if !found.able {
            return Err(Refusal::Unavailable(absent_wait(&endpoints)));
        }
        let opens = found.opens;
        found.best().ok_or_else(|| {
            let wait = crate::base::jitter(RETURN);
            Refusal::Overloaded(wait.max(opens - now))
        })
    }

    /// Finds the endpoints that may get a request, and what each costs.
    fn candidates<'e>(
        &mut self,
        endpoints: &[&'e Endpoint],
        ask: &Ask<'_>,
        now: Millis,
    ) -> Candidates<'e> {
        let mut found = Candidates::default();
        let turns: Vec<_> = endpoints.iter().map(|e| self.turn(e, ask)).collect();
        let stalled = self.is_stalled(endpoints, &turns, ask, now);
        for (&e, turn) in endpoints.iter().zip(turns) {
            if !self.is_able(e, ask) {
                continue;
            }
            found.able = true;
            let limit = self.limit(e, ask);
            let turn = turn.filter(|_| !stalled);
            let Some(drain) = drain_cost(turn, ask, now) else {
                found.opens = now;
                continue;
            };
            let view = self.views.entry(e.id.clone()).or_default();
            let closed = view.refusing.0.max(view.held);
            found.opens = found.opens.min(closed);
            if closed > now || !view.breaker.allows(now) {
                continue;
            }
            let load = view.load(now, self.all_told);
            if load >= limit {
                continue;
            }
            let cost = drain + view.cost(e, ask, load);
            if ask.homes.contains(&e.id) {
                found.home.push((e, cost));
            } else {
                found.others.push((e, cost + AWAY_COST));
            }
        }
        found
    }

    /// Returns whether an endpoint wants no request for now.
    pub fn is_held(&self, id: &EndpointId, now: Millis) -> bool {
        self.views.get(id).is_some_and(|v| v.held > now)
    }

    /// Notes that an endpoint wants no request until a time.
    pub fn hold(&mut self, id: &EndpointId, until: Millis) {
        if let Some(view) = self.views.get_mut(id) {
            view.held = view.held.max(until);
        }
    }

    fn is_able(&self, e: &Endpoint, ask: &Ask<'_>) -> bool {
        if e.record.draining || ask.tried.contains(&e.id) {
            return false;
        }
        let Some(wanted) = ask.weights else {
            return true;
        };
        let Some(version) = self.version(e, wanted.model) else {
            return false;
        };
        version >= wanted.oldest && ask.exact.is_none_or(|v| v == version)
    }

    /// Returns the version that an endpoint has loaded, from its record or its newest response.
    pub fn version(&self, e: &Endpoint, model: &str) -> Option<WeightVersion> {
        let loaded = e.weights(model)?;
        let seen = self.views.get(&e.id).map(|v| v.version);
        Some(loaded.max(seen.unwrap_or_default()))
    }

    /// Returns the turn of an endpoint that has yet to load a newer version.
    fn turn(&self, e: &Endpoint, ask: &Ask<'_>) -> Option<Millis> {
        let wanted = ask.weights?;
        let loads = wanted.loads?;
        let loaded = self.version(e, wanted.model)?;
        loads.turns.turn(e, loaded, loads.named, loads.bound)
    }

    /// Returns whether more hosts let their turn pass than took it: their copies are late, so nobody loads soon.
    fn is_stalled(
        &self,
        endpoints: &[&Endpoint],
        turns: &[Option<Millis>],
        ask: &Ask<'_>,
        now: Millis,
    ) -> bool {
        let Some(wanted) = ask.weights else {
            return false;
        };
        let Some(newest) = wanted.loads.and_then(|l| l.named.newest()) else {
            return false;
        };
        let (mut passed, mut taken) = (0, 0);
        for (e, turn) in endpoints.iter().zip(turns) {
            match turn {
                Some(turn) => passed += usize::from(now >= *turn + LOADING),
                // It loads, or has loaded.
                None => {
                    let version = self.version(e, wanted.model);
                    taken += usize::from(version.is_none_or(|v| v >= newest));
                }
            }
        }
        passed > taken
    }

    /// Returns how many requests an endpoint may have for one more to be sent.
    fn limit(&self, e: &Endpoint, ask: &Ask<'_>) -> u32 {
        let slots = e.record.slots.max(1);
        let Some(wanted) = ask.weights else {
            return slots + slots * PLAIN_QUEUE;
        };
        let waits = self.version(e, wanted.model) >= Some(wanted.waiting);
        if waits && ask.returning {
            slots + slots / RETURNING_SHARE
        } else if waits {
            slots
        } else {
            slots - slots / BEGIN_SHARE
        }
    }

    /// Notes that a request with a prompt of some tokens is sent.
    pub fn begin(&mut self, id: &EndpointId, prompt: u32, now: Millis) {
        let view = self.views.entry(id.clone()).or_default();
        view.begin(prompt, now);
    }

    /// Notes that an endpoint has read the prompt of a request.
    pub fn has_read(&mut self, id: &EndpointId, prompt: u32) {
        if let Some(view) = self.views.get_mut(id) {
            view.has_read(prompt);
        }
    }

    /// Notes what a response says of its endpoint.
    pub fn report(
        &mut self,
        id: &EndpointId,
        load: Option<Load>,
        version: Option<WeightVersion>,
        now: Millis,
    ) {
        let Some(view) = self.views.get_mut(id) else {
            return;
        };
        view.report(load, version, now);
    }

    /// Takes the requests in progress that another entry told; those that it does not name it does not have.
    pub fn tell(&mut self, from: SocketAddr, loads: &[(EndpointHash, u16)], now: Millis) {
        for (id, view) in &mut self.views {
            view.told.retain(|t| t.0 != from);
            let hash = id.hash();
            if let Some((_, count)) = loads.iter().find(|l| l.0 == hash) {
                view.told.push((from, *count, now));
            }
        }
    }

    /// Notes whether every other entry tells its requests.
    pub fn set_all_told(&mut self, all: bool) {
        self.all_told = all;
    }

    /// Returns this entry's requests in progress.
    pub fn loads(&self) -> Vec<(EndpointHash, u16)> {
        let used = self.views.iter().filter(|(_, v)| v.own > 0);
        used.map(|(id, v)| (id.hash(), v.own as u16)).collect()
    }

    /// Notes the end of a request.
    pub fn end(&mut self, id: &EndpointId, outcome: Outcome, now: Millis) {
        let Some(view) = self.views.get_mut(id) else {
            return;
        };
        view.end(outcome, now);
    }

    /// Notes that an endpoint says that it takes requests again.
    pub fn recover(&mut self, id: &EndpointId) {
        if let Some(view) = self.views.get_mut(id) {
            view.refusing = Default::default();
        }
    }

    /// Forgets endpoints that left.
    pub fn retain(&mut self, keep: impl Fn(&EndpointId) -> bool) {
        self.views.retain(|id, v| v.own > 0 || keep(id));
    }
}
