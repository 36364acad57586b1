//! Chooses the endpoint of each request, or rejects the request, from the load of the endpoints as one entry knows it.
//!
//! | load pattern | what happens |
//! |---|---|
//! | steady | the cheapest of the owned endpoints and of a few others is chosen; nearer ones cost less |
//! | bursts of long prompts | unread prompt tokens add to the cost of an endpoint |
//! | more than the endpoints can serve in time | rejected beyond the slots, with a short, jittered `Retry-After` |
//! | a new version becomes desired | an endpoint gets only requests that end by its scheduled load start |
//! | copies of a new version are late | schedule ignored while more hosts missed it than kept it |
//! | less urgent requests beside more urgent ones | leave slots free while requests are rejected |
//! | callers return after a rejection | get no slot while few are free, so that first attempts find one |
//! | hosts of uneven speed | an endpoint costs as much as the time that a request would take there |
//! | an endpoint rejects requests | skipped for a short backoff that doubles |
//! | an endpoint sends `Retry-After` | paused until then, whatever else is reported of it |
//! | an endpoint limits its request rate | closed after each denied permit until another may be granted |
//! | an endpoint is cold, and its service limits cold ones | the same; costs more, so that warm ones come first |
//! | an endpoint fails part of its requests | its cost grows, so that it is used only when the others are loaded |
//! | the request may be served in some regions only | the others' endpoints neither get it nor count for `Retry-After` |
//! | an endpoint's memory is limited, and little of it is free | it gets requests that fit (`decide/memory.rs`) |
//! | an endpoint is lost | its circuit breaker opens |
//! | a zone is crowded, others have room | a share of its requests considers the others (`decide/spill.rs`) |
//! | a zone is evacuated | its endpoints are not capable; the others are chosen by load as before |
//! | a zone is put back into service | a rising share of requests considers it, with a rising limit of load |

mod candidates;
mod exclusion;
mod explain;
mod loads;
mod memory;
mod numbering;
mod speeds;

pub use speeds::SpeedChange;

use super::{
    endpoint_query::EndpointQuery,
    endpoint_table::{Endpoint, EndpointId},
    load_view::{LoadSummary, LoadView, Outcome, SLOW_START},
    record::WeightVersion,
    reported_load::ReportedLoad,
    reported_version::VersionReport,
};
use crate::base::{HashMap, Millis};
use candidates::{Candidates, Trace};
use loads::{limit_of_share, UsualLoad};

pub use candidates::{Group, Rating};
pub use exclusion::Exclusion;
pub use explain::{EndpointView, ExplainedChoice, ExplainedEndpoint};

/// Number of endpoints, drawn at random from those that this entry does not own, that compete with the owned ones. The
/// draw keeps entries with the same view from all choosing the same endpoint.
const CHOICES: usize = 4;

/// Cost of an endpoint that this entry does not own, as a share of the endpoint's slots.
const NOT_OWNED_COST: f64 = 0.25;

/// The same for endpoints whose load is known from reports: the higher it is, the newer are the reports of the owner,
/// which sees more responses. At 0.25 a tenth more requests wait at 95 % load in the model (`endpoint_loads`).
const KNOWN_NOT_OWNED_COST: f64 = 0.5;

/// Cost of an endpoint that is full as far as is known; higher than any sum of the other costs. Full endpoints are drawn
/// like others, and get a request if all that are drawn are full: otherwise the few that are believed to have room get
/// the requests of all entries until the next report.
const FULL_COST: f64 = 1e12;

/// Longest time by which a request may run past the scheduled load start of its endpoint.
const OVERRUN_MAX: Millis = Millis(250);

/// Divisor of an engine's slots that gives the slots kept free for requests of callers at their first attempt, so that
/// those that return can't take all slots under overload.
const FIRST_DIVISOR: u32 = 8;

/// Cost of an endpoint whose load of a newer version the request would delay by [`OVERRUN_MAX`], as a share of its
/// slots; in proportion for other delays.
const OVERRUN_COST: f64 = 0.5;

/// Time from the scheduled load start for which an endpoint is assumed to drain or to load. An endpoint that still runs
/// the older version after it probably lacks a complete copy of the newer one.
pub(super) const LOAD_TIME: Millis = Millis(800);

/// Cost, as a share of its slots, of an endpoint whose host missed its scheduled load start: it may begin to load at
/// any moment.
const OVERDUE_COST: f64 = 1.5;

/// Cost of a cold endpoint, which may deny a permit, as a share of its slots: it gets requests once the others are loaded
/// by that much. Low, so that its rate is used as soon as there is demand.
const COLD_COST: f64 = 0.1;

/// Divisor of an engine's slots that gives the slots kept free for requests that must not wait at the endpoint.
const FREE_DIVISOR: u32 = 5;

/// Requests that may wait at an endpoint without an engine, for each of its slots.
const PLAIN_QUEUE_PER_SLOT: u32 = 2;

/// Mean `Retry-After` when all endpoints are loaded: a retry after it still meets its latency objective if it finds a
/// free slot.
const RETRY_AFTER: Millis = Millis(250);

/// Mean `Retry-After` while no endpoint can run the request but at least one is loading weights: about the duration of
/// a load.
const RETRY_AFTER_LOADING: Millis = Millis(1000);

/// Mean `Retry-After` while no endpoint can run the request and none is loading weights: copying weights takes seconds,
/// and callers wait no longer than a third of their deadline.
const RETRY_AFTER_UNAVAILABLE: Millis = Millis(1800);

/// Why no endpoint gets a request; holds the time after which the caller should retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No endpoint of the service can run the request.
    Unavailable(Millis),
    /// Every endpoint that could run the request is loaded, about to load weights, or skipped after failures.
    Overloaded(Millis),
    /// Endpoints ended while they answered requests that share a part of the prompt.
    Quarantined(Millis),
}

/// Load views of all endpoints that this entry has sent requests to or considered.
#[derive(Debug, Default)]
pub struct LoadBalancer {
    views: HashMap<EndpointId, LoadView>,
    /// Whether every other entry sends its requests in flight to this one, so that the load that endpoints report adds
    /// nothing.
    peers_complete: bool,
    /// Moving average of the times between events, relative to the usual step; see [`LoadBalancer::report_step`].
    mean_step: Option<f64>,
    /// Time of the first choice.
    since: Option<Millis>,
}

/// What is the same for all endpoints of one choice.
struct Round<'a> {
    query: &'a EndpointQuery<'a>,
    now: Millis,
    /// Whether the load schedule is ignored; see [`LoadBalancer::is_stalled`].
    stalled: bool,
    usual: Option<UsualLoad>,
    /// Whether this entry has known its endpoints for long enough that a new one has just started.
    settled: bool,
}

/// Returns the cost of delaying an endpoint's load of a newer version, as a share of its slots: the endpoint drains
/// before it loads, and its other slots stay empty while the request runs. `None` if the request would delay the load
/// too much.
fn drain_cost(start: Option<Millis>, query: &EndpointQuery<'_>, now: Millis) -> Option<f64> {
    let Some(start) = start else {
        return Some(0.0);
    };
    if now >= start + LOAD_TIME {
        return Some(OVERDUE_COST);
    }
    let delay = now + query.duration - start;
    if delay > OVERRUN_MAX {
        return None;
    }
    Some(delay.0 as f64 / OVERRUN_MAX.0 as f64 * OVERRUN_COST)
}

/// Returns the cost of an endpoint's cold time, as a share of its slots.
fn cold_cost(e: &Endpoint, query: &EndpointQuery<'_>, now: Millis) -> f64 {
    let cold = query.cold.is_some_and(|times| times.is_cold(e, now));
    f64::from(u8::from(cold)) * COLD_COST
}

/// Returns the jittered `Retry-After` for a request that no endpoint can run.
fn unavailable_retry_after<'e>(mut endpoints: impl Iterator<Item = &'e Endpoint>) -> Millis {
    let loading = |e: &Endpoint| !e.record.draining && e.record.models.is_empty();
    let mean = if endpoints.any(loading) {
        RETRY_AFTER_LOADING
    } else {
        RETRY_AFTER_UNAVAILABLE
    };
    crate::base::jitter(mean)
}

impl LoadBalancer {
    /// Chooses the endpoint of a request among those of its service.
    ///
    /// # Errors
    ///
    /// Returns why the request is rejected and the time after which the caller should retry.
    pub fn pick<'e>(
        &mut self,
        endpoints: impl Iterator<Item = &'e Endpoint>,
        query: &EndpointQuery<'_>,
        now: Millis,
    ) -> Result<&'e Endpoint, Refusal> {
        let endpoints: Vec<_> = endpoints.collect();
        self.choose(&endpoints, query, now, &mut ())
    }

    /// Chooses the endpoint of a request, see [`Self::pick`], while `trace` observes how each one is assessed.
    fn choose<'e>(
        &mut self,
        endpoints: &[&'e Endpoint],
        query: &EndpointQuery<'_>,
        now: Millis,
        trace: &mut impl Trace<'e>,
    ) -> Result<&'e Endpoint, Refusal> {
        let found = self.candidates(endpoints, query, now, trace);
        if !found.any_capable {
            let usable = |e: &&Endpoint| query.is_allowed(e) && !query.is_evacuated(e);
            let usable = endpoints.iter().copied().filter(usable);
            return Err(Refusal::Unavailable(unavailable_retry_after(usable)));
        }
        let available = found.available;
        found.best().ok_or_else(|| self.overloaded(available, now))
    }

    /// Returns whether an endpoint may get a request now.
    pub fn has_room<'e>(
        &mut self,
        endpoints: impl Iterator<Item = &'e Endpoint>,
        query: &EndpointQuery<'_>,
        now: Millis,
    ) -> bool {
        let endpoints: Vec<_> = endpoints.collect();
        let found = self.candidates(&endpoints, query, now, &mut ());
        found.best().is_some()
    }

    /// Returns the refusal of a request while no endpoint takes it; `available` is the endpoint that is expected to take
    /// requests first.
    fn overloaded(&mut self, available: Option<(&Endpoint, Millis)>, now: Millis) -> Refusal {
        let wait = crate::base::jitter(RETRY_AFTER);
        let Some((e, at)) = available else {
            return Refusal::Overloaded(wait);
        };
        if let Some(view) = self.views.get_mut(&e.id) {
            view.closure.count_rejected(now);
        }
        Refusal::Overloaded(wait.max(at - now))
    }

    /// Collects the endpoints that may get a request now, with their costs.
    fn candidates<'e>(
        &mut self,
        endpoints: &[&'e Endpoint],
        query: &EndpointQuery<'_>,
        now: Millis,
        trace: &mut impl Trace<'e>,
    ) -> Candidates<'e> {
        let mut found = Candidates::default();
        let starts: Vec<_> = endpoints
            .iter()
            .map(|e| self.scheduled_start(e, query))
            .collect();
        let round = Round {
            query,
            now,
            stalled: self.is_stalled(endpoints, &starts, query, now),
            usual: self.usual_load(endpoints, now),
            settled: now >= *self.since.get_or_insert(now) + SLOW_START,
        };
        for (&e, start) in endpoints.iter().zip(starts) {
            self.consider(e, start, &round, &mut found, trace);
        }
        found
    }

    /// Adds an endpoint to the candidates with its cost if it may get the request now. `start` is its scheduled load start.
    #[inline]
    fn consider<'e>(
        &mut self,
        e: &'e Endpoint,
        start: Option<Millis>,
        round: &Round<'_>,
        found: &mut Candidates<'e>,
        trace: &mut impl Trace<'e>,
    ) {
        let (query, now) = (round.query, round.now);
        if let Err(exclusion) = self.is_capable(e, query) {
            return trace.exclude(e, exclusion);
        }
        found.any_capable = true;
        let share = query.zone_share(e, now);
        let limit = limit_of_share(self.limit(e, query), share);
        let start = start.filter(|_| !round.stalled);
        let Some(drain) = drain_cost(start, query, now) else {
            found.note_available(e, now);
            return trace.exclude(e, Exclusion::LoadsSoon);
        };
        let view = self.views.entry(e.id.clone()).or_default();
        view.consider(e.incarnation());
        found.note_available(e, view.expected_at(now));
        if let Err(exclusion) = view.takes_requests(now) {
            return trace.exclude(e, exclusion);
        }
        view.usual = round.usual.map(|u| u.of(e));
        let informed = view.counts_known(self.peers_complete);
        let load = view.load_at_choice(now, self.peers_complete);
        let queues = informed && share >= 1.0 && limit >= e.record.slots && view.in_flight < limit;
        let full = load >= limit && !(informed && view.had_room(limit, now));
        if full && !queues {
            return trace.exclude(e, Exclusion::Full { load, limit });
        }
        let memory = query.memory;
        if memory.is_some_and(|m| !memory::fits(view, e, m, load, now)) {
            return trace.exclude(e, Exclusion::NoMemory);
        }
        let cost = drain + view.cost(e, query, load, now) + cold_cost(e, query, now);
        let mut cost = cost + view.start_cost(e, round.settled, now);
        if informed {
            cost += loads::crowded_cost(load, e.record.slots);
        }
        if full {
            cost += FULL_COST;
        }
        let (group, surcharge) = if query.is_withheld(e) {
            (Group::Withheld, 0.0)
        } else if query.owned.contains(&e.id) {
            (Group::Owned, 0.0)
        } else if informed {
            (Group::Drawn, KNOWN_NOT_OWNED_COST)
        } else {
            (Group::Drawn, NOT_OWNED_COST)
        };
        let rating = Rating {
            group,
            cost,
            surcharge,
            share,
        };
        trace.rate(e, &rating);
        found.add(e, &rating);
    }

    /// Returns what is known of the load of an endpoint.
    pub(super) fn summary(&self, id: &EndpointId, now: Millis) -> LoadSummary {
        let none = LoadSummary {
            load: None,
            own: 0,
            pace: 1.0,
        };
        let view = self.views.get(id);
        view.map_or(none, |v| v.summary(now, self.peers_complete))
    }

    /// Returns whether an endpoint has reported its pace.
    pub(super) fn reports_pace(&self, id: &EndpointId) -> bool {
        self.views.get(id).is_some_and(LoadView::reports_pace)
    }

    /// Returns whether an endpoint asked by `Retry-After` to get no requests at this time.
    pub fn is_paused(&self, id: &EndpointId, now: Millis) -> bool {
        self.views.get(id).is_some_and(|v| v.paused_until > now)
    }

    /// Keeps requests from an endpoint until a time; a pause is never shortened.
    pub fn pause(&mut self, id: &EndpointId, until: Millis) {
        if let Some(view) = self.views.get_mut(id) {
            view.paused_until = view.paused_until.max(until);
        }
    }

    /// Keeps requests from an endpoint that limits its request rate until another permit may be granted. `interval` is
    /// the mean time between two permits for this entry.
    pub fn close(&mut self, id: &EndpointId, until: Millis, interval: Millis) {
        let view = self.views.entry(id.clone()).or_default();
        view.closure.extend(until, interval);
    }

    /// Returns the version that an endpoint has loaded: the newer one of its record and of its responses.
    pub fn version(&self, e: &Endpoint, model: &str) -> Option<WeightVersion> {
        let loaded = e.weights(model)?;
        let seen = self
            .views
            .get(&e.id)
            .map(|v| v.seen_version(e.incarnation()));
        Some(loaded.max(seen.unwrap_or_default()))
    }

    /// Returns the scheduled load start of an endpoint that runs an older version than the newest desired one.
    fn scheduled_start(&self, e: &Endpoint, query: &EndpointQuery<'_>) -> Option<Millis> {
        let required = query.weights?;
        let loads = required.pending?;
        let loaded = self.version(e, required.model)?;
        loads
            .schedule
            .load_start(e, loaded, loads.desired, loads.bound, loads.margins)
    }

    /// Returns whether more hosts missed their scheduled load start than have loaded the newest version or are loading
    /// it. Their copies are late then, so that no endpoint is likely to load soon.
    fn is_stalled(
        &self,
        endpoints: &[&Endpoint],
        starts: &[Option<Millis>],
        query: &EndpointQuery<'_>,
        now: Millis,
    ) -> bool {
        let Some(required) = query.weights else {
            return false;
        };
        let Some(newest) = required.pending.and_then(|l| l.desired.newest()) else {
            return false;
        };
        let (mut missed, mut kept) = (0, 0);
        for (e, start) in endpoints.iter().zip(starts) {
            match start {
                Some(start) => missed += usize::from(now >= *start + LOAD_TIME),
                // The endpoint is loading or has loaded.
                None => {
                    let version = self.version(e, required.model);
                    kept += usize::from(version.is_none_or(|v| v >= newest));
                }
            }
        }
        missed > kept
    }

    /// Returns the load from which an endpoint gets no further requests.
    fn limit(&self, e: &Endpoint, query: &EndpointQuery<'_>) -> u32 {
        let slots = e.record.slots.max(1);
        let Some(required) = query.weights else {
            return slots.saturating_add(slots.saturating_mul(PLAIN_QUEUE_PER_SLOT));
        };
        let waits = self.version(e, required.model) >= Some(required.oldest_queued);
        let limit = if waits {
            slots
        } else {
            slots - slots / FREE_DIVISOR
        };
        let limit = limit.saturating_sub(query.reserve);
        if !query.returning {
            return limit.max(1);
        }
        limit.saturating_sub(slots.div_ceil(FIRST_DIVISOR)).max(1)
    }

    /// Counts a request that is sent to an endpoint; `prompt` is its length in tokens.
    pub fn begin(&mut self, id: &EndpointId, prompt: u32, now: Millis) {
        let view = self.views.entry(id.clone()).or_default();
        view.begin(prompt, now);
    }

    /// Removes the prompt of a request, in tokens, from those that the endpoint has yet to read.
    pub fn prompt_read(&mut self, id: &EndpointId, prompt: u32) {
        if let Some(view) = self.views.get_mut(id) {
            view.prompt_read(prompt);
        }
    }

    /// Records the load and the version that a response reports.
    pub fn report(
        &mut self,
        id: &EndpointId,
        load: Option<ReportedLoad>,
        version: Option<VersionReport>,
        now: Millis,
    ) {
        let Some(view) = self.views.get_mut(id) else {
            return;
        };
        view.report(load, version, now);
    }

    /// Drops the version that responses of an endpoint reported, because it rejected a request that expected it.
    pub fn refute_version(&mut self, id: &EndpointId) {
        if let Some(view) = self.views.get_mut(id) {
            view.version.refute();
        }
    }

    /// Counts the end of a request and records its outcome.
    pub fn end(&mut self, id: &EndpointId, outcome: Outcome, now: Millis) {
        let Some(view) = self.views.get_mut(id) else {
            return;
        };
        view.end(outcome, now);
    }

    /// Ends the backoff of an endpoint that reports that it takes requests again.
    pub fn clear_backoff(&mut self, id: &EndpointId) {
        if let Some(view) = self.views.get_mut(id) {
            view.backoff = Default::default();
        }
    }

    /// Removes endpoints that left the table, except those with requests of this entry in flight.
    pub fn retain(&mut self, keep: impl Fn(&EndpointId) -> bool) {
        self.views.retain(|id, v| v.in_flight > 0 || keep(id));
    }
}
