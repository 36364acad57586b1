//! Load of one endpoint as an entry knows it, and the cost of sending it a request.

use super::{
    endpoint_loads::EndpointLoad,
    endpoint_query::EndpointQuery,
    endpoint_table::Endpoint,
    load_balancer::Exclusion,
    peer_load::{PeerLoad, PEER_LOAD_LIFETIME},
    record::{Incarnation, WeightVersion},
    reported_load::ReportedLoad,
    reported_version::{ReportedVersion, VersionReport},
};
use crate::{
    base::Millis,
    decide::{
        known_load::KnownLoad, memory::Held, numbering::Numbering, own_speed::OwnSpeed, pace::Pace,
        route::Breaker, slow::SlowState,
    },
};

/// Time in milliseconds that an endpoint needs to read its unread prompts at which these cost as much as a full set of
/// slots.
const READ_MS_PER_SLOTS: f64 = 250.0;

/// Cost of an idle endpoint on whose host work takes twice its usual time, as a share of its slots.
const PACE_COST: f64 = 0.5;

/// Cost of an endpoint whose recent requests all failed, as a share of its slots.
const FAILURE_COST: f64 = 3.0;

/// Weight of the newest outcome in the moving average of failures.
const FAILURE_WEIGHT: f64 = 0.15;

/// Backoff after an endpoint rejected a request; it doubles with each further rejection up to [`BACKOFF_MAX`].
const BACKOFF: Millis = Millis(120);
const BACKOFF_MAX: Millis = Millis(480);

/// Age at which the load that an endpoint reported is no longer used.
const REPORT_LIFETIME: Millis = Millis(2000);

/// Difference from the usual time that is not believed: short slowdowns of a few streams look like it. Without it, twice
/// as many requests wait for a slot at 75 % load in the model.
const SPEED_TOLERANCE: f64 = 0.3;

/// Time after the start of an endpoint that tells its pace in which it costs more, at first by [`START_COST`] as a share of
/// its slots.
pub(super) const SLOW_START: Millis = Millis(2000);
const START_COST: f64 = 0.5;

/// Age from which a load is not passed on to other entries.
const SHARED_AGE: Millis = Millis(700);

/// Outcome of a request at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The response was complete.
    Served,
    /// The endpoint rejected the request and reported that it did not run it.
    Refused,
    /// The endpoint returned an error or a broken response.
    Failed,
    /// The endpoint could not be reached or did not answer in time.
    Unreachable,
    /// The caller left or the deadline passed before the endpoint had finished; says nothing of the endpoint.
    Abandoned,
}

/// Time in which an endpoint that limits its request rate gets no requests of this entry.
#[derive(Clone, Debug, Default)]
pub(super) struct Closure {
    /// Time at which a permit may be granted again.
    until: Millis,
    /// Mean time between two permits for this entry.
    interval: Millis,
    /// Requests that this entry rejected in this closure, and whose callers may return.
    rejected: u64,
}

impl Closure {
    /// Begins or extends the closure; it is never shortened.
    pub(super) fn extend(&mut self, until: Millis, interval: Millis) {
        if until > self.until {
            *self = Self {
                until,
                interval,
                rejected: 0,
            };
        }
    }

    /// Counts a rejected request, so that callers are told to return one after the other.
    pub(super) fn count_rejected(&mut self, now: Millis) {
        if self.until > now {
            self.rejected += 1;
        }
    }

    /// Returns when the endpoint is expected to take a request beyond those that were rejected; in the past if it is not
    /// closed.
    fn expected_at(&self, now: Millis) -> Millis {
        if self.until <= now {
            return self.until;
        }
        self.until + self.interval.times(self.rejected)
    }
}

/// Requests at an endpoint, and whether that is known rather than a lower bound.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoadFigure {
    pub(super) requests: u32,
    pub(super) sure: bool,
}

/// What is known of an endpoint for routing across zones.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoadSummary {
    /// `None` if this entry never considered the endpoint.
    pub(super) load: Option<LoadFigure>,
    /// Requests of this entry.
    pub(super) own: u32,
    /// Time that work takes there, as a multiple of its usual time.
    pub(super) pace: f64,
}

/// Load of one endpoint as this entry knows it.
#[derive(Clone, Debug, Default)]
pub(super) struct LoadView {
    /// Run of the endpoint of which all is known but what is in flight.
    run: Incarnation,
    /// Requests of this entry in flight.
    pub(super) in_flight: u32,
    /// Tokens of these requests.
    pub(super) held: Held,
    /// Prompt tokens of the requests in flight that the endpoint has yet to read.
    unread_tokens: u32,
    /// Requests of other entries when the endpoint last reported its load, and the time of that report.
    other_load: u32,
    pub(super) reported_at: Option<Millis>,
    /// Requests in flight here of each other entry that has any.
    pub(super) peer_load: Vec<PeerLoad>,
    /// How long work takes on the endpoint's host.
    pace: Pace,
    /// How long work takes there for tens of seconds, from streams of this entry and as other entries told.
    own: OwnSpeed,
    told: OwnSpeed,
    pub(super) slow: SlowState,
    /// Start of the endpoint's process, in Unix milliseconds, and when this entry met it if it had just started then.
    start: Option<(u64, Option<Millis>)>,
    /// Whether the endpoint's responses tell a pace.
    pub(super) paced: bool,
    /// Requests of all entries at an endpoint that tells its pace.
    pub(super) known: KnownLoad,
    /// Requests at an endpoint like this one when it was last considered: the mean of those of its service that tell
    /// their pace; `None` if none does.
    pub(super) usual: Option<u32>,
    /// Moving average of failures, 0 to 1.
    failures: f64,
    /// End of the backoff after a rejected request, and the length of that backoff.
    pub(super) backoff: (Millis, Millis),
    /// Time until which the endpoint asked to get no requests; a served request does not end this pause early.
    pub(super) paused_until: Millis,
    /// Closure after a denied permit.
    pub(super) closure: Closure,
    pub(super) breaker: Breaker,
    /// How a run of the endpoint numbers the events of its streams.
    pub(super) numbering: Option<(Incarnation, Numbering)>,
    /// Version of weights that responses reported.
    pub(super) version: ReportedVersion,
}

impl LoadView {
    /// Begins to consider a run of the endpoint: what is known of an earlier one is dropped. Requests that are in flight there
    /// count until they end.
    pub(super) fn consider(&mut self, run: Incarnation) {
        let known = std::mem::replace(&mut self.run, run);
        if known == run || known == Incarnation::default() {
            return;
        }
        *self = Self {
            run,
            in_flight: self.in_flight,
            held: self.held,
            unread_tokens: self.unread_tokens,
            start: self.start,
            ..Self::default()
        };
    }

    /// Returns the time until which the endpoint gets no requests.
    fn skipped_until(&self) -> Millis {
        self.backoff
            .0
            .max(self.paused_until)
            .max(self.closure.until)
    }

    /// Returns whether the endpoint gets requests now, if it has room.
    ///
    /// # Errors
    ///
    /// Returns why it gets none.
    pub(super) fn takes_requests(&self, now: Millis) -> Result<(), Exclusion> {
        if self.skipped_until() <= now && self.breaker.allows(now) {
            return Ok(());
        }
        Err(self.skip_reason(now))
    }

    /// Returns why the endpoint gets no requests.
    fn skip_reason(&self, now: Millis) -> Exclusion {
        let (paused, backoff, closed) = self.skipped_for(now);
        if paused > Millis::ZERO {
            return Exclusion::Paused(paused);
        }
        if closed > Millis::ZERO {
            return Exclusion::Closed(closed);
        }
        if backoff > Millis::ZERO {
            return Exclusion::Backoff(backoff);
        }
        Exclusion::Broken
    }

    /// Returns the times for which the endpoint gets no requests: because it asked for that, because it rejected one, and
    /// until another permit may be granted; zero if that does not hold.
    pub(super) fn skipped_for(&self, now: Millis) -> (Millis, Millis, Millis) {
        let left = |until: Millis| until - now;
        (
            left(self.paused_until),
            left(self.backoff.0),
            left(self.closure.until),
        )
    }

    /// Returns whether the load of the endpoint is the newest known one instead of the requests in flight.
    pub(super) fn is_informed(&self, peers_complete: bool) -> bool {
        self.paced && !peers_complete
    }

    /// Returns when the endpoint is expected to take a further request; not before [`LoadView::skipped_until`].
    pub(super) fn expected_at(&self, now: Millis) -> Millis {
        self.skipped_until().max(self.closure.expected_at(now))
    }

    /// Returns what is known of the endpoint for routing across zones; `peers_complete` as for [`Self::load`].
    pub(super) fn summary(&self, now: Millis, peers_complete: bool) -> LoadSummary {
        let fresh = self
            .reported_at
            .is_some_and(|at| now < at + PEER_LOAD_LIFETIME);
        let reported = self.known.total(now).filter(|_| self.paced);
        let load = match reported {
            Some(total) if !peers_complete => LoadFigure {
                requests: total.max(self.counted(now)),
                sure: true,
            },
            _ => LoadFigure {
                requests: self.load(now, peers_complete),
                sure: peers_complete || fresh,
            },
        };
        LoadSummary {
            load: Some(load),
            own: self.in_flight,
            pace: self.pace.factor(now),
        }
    }

    /// Returns the version of weights that responses of a run of the endpoint reported; the lowest one if none did.
    pub(super) fn seen_version(&self, run: Incarnation) -> WeightVersion {
        let known = self.run == run || self.run == Incarnation::default();
        if known {
            self.version.get()
        } else {
            WeightVersion::default()
        }
    }

    /// Returns whether the endpoint has reported its pace.
    pub(super) fn reports_pace(&self) -> bool {
        self.pace.is_reported()
    }

    /// Returns the requests in flight that this entry sent and that others reported.
    pub(super) fn counted(&self, now: Millis) -> u32 {
        self.peer_load
            .iter()
            .filter(|t| t.is_fresh(now))
            .map(|t| u32::from(t.requests))
            .fold(self.in_flight, u32::saturating_add)
    }

    /// Returns the requests at the endpoint: those of this entry, and those of other entries as far as they are known.
    pub(super) fn load(&self, now: Millis, peers_complete: bool) -> u32 {
        let counted = self.counted(now);
        let fresh = self
            .reported_at
            .is_some_and(|at| now < at + REPORT_LIFETIME);
        if peers_complete || !fresh {
            return counted;
        }
        counted.max(self.in_flight.saturating_add(self.other_load))
    }

    /// Returns the time that work takes at the endpoint for long, as a multiple of the usual one.
    fn own_factor(&self, now: Millis) -> f64 {
        if !self.paced {
            return 1.0;
        }
        let speed = if self.own.is_known(now) || !self.told.is_known(now) {
            self.own
        } else {
            self.told
        };
        (speed.factor(now) - SPEED_TOLERANCE).max(1.0)
    }

    /// Adds the time between the events of a stream, relative to the usual one, without what the pace shows already.
    pub(super) fn report_step(&mut self, relative: f64, now: Millis) {
        self.own
            .report(relative / self.pace.factor(now).max(1.0), now);
    }

    /// Returns the time that work takes at the endpoint for long, as a multiple of the usual one, from streams of this entry or
    /// else as other entries told; `None` if there are too few samples, or if the endpoint tells no pace.
    pub(super) fn known_time(&self, now: Millis) -> Option<f64> {
        let known = [self.own, self.told].into_iter().find(|s| s.is_known(now));
        known.filter(|_| self.paced).map(|s| s.factor(now))
    }

    /// Returns that time as far as own streams tell it, for other entries.
    pub(super) fn shared_speed(&self, now: Millis) -> Option<f64> {
        self.own.is_known(now).then(|| self.own.factor(now))
    }

    /// Returns the cost of an endpoint that tells its pace and has started lately. `settled` says whether this entry has known
    /// its endpoints for long enough that one that it meets for the first time has just started.
    pub(super) fn start_cost(&mut self, e: &Endpoint, settled: bool, now: Millis) -> f64 {
        let born = e.record.revision.born;
        let since = match self.start {
            Some((known, since)) if known == born => since,
            None if !settled => None,
            _ => Some(now),
        };
        self.start = Some((born, since));
        let Some(since) = since.filter(|_| self.paced) else {
            return 0.0;
        };
        let elapsed = (now - since).0 as f64 / SLOW_START.0 as f64;
        (1.0 - elapsed).max(0.0) * START_COST
    }

    /// Returns the cost of one more request at a load of `load` requests, as a share of the endpoint's slots.
    pub(super) fn cost(
        &self,
        e: &Endpoint,
        query: &EndpointQuery<'_>,
        load: u32,
        now: Millis,
    ) -> f64 {
        let pace = self.pace.factor(now);
        let used = f64::from(load) / f64::from(e.record.slots.max(1));
        let share = used * self.own_factor(now) * pace + (pace - 1.0) * PACE_COST;
        let far = query.zone_cost(e);
        let read = query.read_rate.map_or(0.0, |rate| {
            f64::from(self.unread_tokens) / rate / READ_MS_PER_SLOTS * pace
        });
        share + far + read + self.failures * FAILURE_COST
    }

    /// Counts a request that is sent; `prompt` is its length in tokens.
    pub(super) fn begin(&mut self, prompt: u32, now: Millis) {
        self.in_flight += 1;
        if self.paced {
            self.known.count(true, now);
        }
        self.unread_tokens = self.unread_tokens.saturating_add(prompt);
        self.breaker.begin(now);
    }

    /// Removes a request's prompt, in tokens, from those that the endpoint has yet to read.
    pub(super) fn prompt_read(&mut self, prompt: u32) {
        self.unread_tokens = self.unread_tokens.saturating_sub(prompt);
    }

    /// Records the load and the version that a response reports.
    pub(super) fn report(
        &mut self,
        load: Option<ReportedLoad>,
        version: Option<VersionReport>,
        now: Millis,
    ) {
        if let Some(load) = load {
            let all = load.running.saturating_add(load.waiting);
            self.other_load = all.saturating_sub(self.in_flight);
            self.reported_at = Some(now);
            self.paced = load.pace.is_some();
            if let Some(pace) = load.pace {
                self.known.learn(all, now);
                self.pace.report(pace, now);
            }
        }
        if let Some(version) = version {
            self.version.record(version, now);
        }
    }

    /// Learns the load that the owner of the endpoint reported in a datagram, which has lain in the socket for a time.
    pub(super) fn merge_load(&mut self, load: &EndpointLoad, waited: Millis, now: Millis) {
        if !self.paced {
            // Only endpoints that tell their pace are reported, and requests count from now on.
            self.paced = true;
            self.known = KnownLoad::default();
        }
        if let Some(time) = load.time() {
            self.told.report(time, now);
        }
        let age = load.age() + waited;
        if age < now {
            self.known.learn(load.total(), now - age);
        }
    }

    /// Returns what is known of the endpoint's load and how old that is, for other entries; `None` if it is too old. Own
    /// requests since are added only to a total that the endpoint itself told: entries that tell each other the same
    /// total would count them again each time.
    pub(super) fn shared_load(&self, now: Millis) -> Option<(u32, Millis)> {
        let age = self.known.age(now).filter(|a| *a < SHARED_AGE)?;
        let total = if self.is_direct(now) {
            self.known.total(now)
        } else {
            self.known.newest()
        };
        total.filter(|_| self.paced).map(|total| (total, age))
    }

    /// Returns whether the newest load is from a response of the endpoint to this entry.
    pub(super) fn is_direct(&self, now: Millis) -> bool {
        self.reported_at.map(|at| now - at) == self.known.age(now)
    }

    /// Counts the end of a request, and updates failures, backoff and circuit breaker by its outcome.
    pub(super) fn end(&mut self, outcome: Outcome, now: Millis) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if self.paced {
            self.known.count(false, now);
        }
        let mut record_failure = |failed: f64| {
            self.failures += (failed - self.failures) * FAILURE_WEIGHT;
        };
        match outcome {
            Outcome::Served => {
                record_failure(0.0);
                self.breaker.record_success();
                self.backoff = Default::default();
            }
            Outcome::Refused => {
                let time = self.backoff.1.times(2).clamp(BACKOFF, BACKOFF_MAX);
                self.backoff = (now + time, time);
                self.breaker.release_probe();
            }
            Outcome::Failed => {
                record_failure(1.0);
                self.breaker.release_probe();
            }
            Outcome::Unreachable => {
                record_failure(1.0);
                self.breaker.record_failure(now);
            }
            Outcome::Abandoned => self.breaker.release_probe(),
        }
    }
}
