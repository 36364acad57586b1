//! Where a request goes, and when it is refused: the load of endpoints as one entry knows it.
//!
//! | load pattern | what happens |
//! |---|---|
//! | steady | the least loaded of a few random endpoints, nearer ones first |
//! | more than the endpoints can serve in time | refused at once, with a spread time to return |
//! | callers return after a refusal | they take only free slots; new requests may also wait in an endpoint's short queue |
//! | an endpoint turns requests away | passed over for a short time that doubles |
//! | an endpoint fails part of its requests | used only when the others are loaded |
//! | an endpoint is lost | its breaker opens |

use super::{
    fleet::{Endpoint, EndpointId},
    record::WeightVersion,
};
use crate::{
    base::{HashMap, Millis, Zone},
    decide::route::Breaker,
};

/// Random endpoints among which the least loaded is chosen.
const CHOICES: usize = 4;

/// Cost of another zone, as a share of an endpoint's slots.
const ZONE_COST: f64 = 0.12;

/// Cost of an endpoint whose recent requests all failed, as a share of its slots.
const FAILURE_COST: f64 = 3.0;

/// Weight of the newest outcome in the share of failures.
const FAILURE_WEIGHT: f64 = 0.15;

/// Time for which an endpoint that turned a request away is passed over; doubles up to the longest.
const REFUSAL: Millis = Millis(120);
const REFUSAL_MAX: Millis = Millis(1000);

/// Age at which the load that an endpoint reported is no longer used.
const REPORT_LIFETIME: Millis = Millis(2000);

/// Requests that may wait at an engine beyond its slots.
const ENGINE_QUEUE: u32 = 3;

/// Requests that may wait at a plain endpoint, for each slot.
const PLAIN_QUEUE: u32 = 2;

/// Mean time after which a refused caller is asked to return.
const RETURN: Millis = Millis(1000);

/// Load that an endpoint reports in its responses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that run at once.
    pub slots: u32,
}

impl std::str::FromStr for Load {
    type Err = std::num::ParseIntError;

    /// Parses `running,waiting,slots`.
    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let mut parts = s.split(',').map(|p| p.trim().parse());
        let mut next = || parts.next().unwrap_or(Ok(0));
        Ok(Self {
            running: next()?,
            waiting: next()?,
            slots: next()?,
        })
    }
}

impl std::fmt::Display for Load {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{},{},{}", self.running, self.waiting, self.slots)
    }
}

/// How a request at an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A whole response.
    Served,
    /// The endpoint did not run it and said so.
    Refused,
    /// The endpoint failed it, or its response was broken.
    Failed,
    /// The endpoint cannot be reached or is silent.
    Unreachable,
    /// The caller or its deadline ended it.
    Abandoned,
}

/// What an entry knows of the load of one endpoint.
#[derive(Debug, Default)]
struct View {
    /// Requests of this entry in progress.
    own: u32,
    /// Requests of others when the endpoint last reported, and when that was.
    others: u32,
    reported: Option<Millis>,
    /// Recent share of failures, 0 to 1.
    failures: f64,
    /// End of the time for which the endpoint is passed over, and the length of that time.
    refusing: (Millis, Millis),
    breaker: Breaker,
    /// Newest version of weights seen in its responses.
    version: WeightVersion,
}

/// What a request needs.
#[derive(Clone, Debug)]
pub struct Ask<'a> {
    /// Zone of the entry.
    pub zone: &'a Zone,
    /// Model, and the oldest version of its weights that may serve; `None` for plain services.
    pub weights: Option<(&'a str, WeightVersion)>,
    /// The only version that may continue a stream.
    pub exact: Option<WeightVersion>,
    /// Endpoints that had the request already.
    pub tried: &'a [EndpointId],
    /// Whether the request returns after a refusal or is a further attempt, so that it cannot be in time any more.
    pub late: bool,
}

/// Why a request is sent nowhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No endpoint of the service can run it.
    Unavailable(Millis),
    /// Every endpoint that can run it is loaded.
    Overloaded(Millis),
}

impl Refusal {
    /// Returns the time after which the caller should return.
    pub fn retry(self) -> Millis {
        match self {
            Self::Unavailable(t) | Self::Overloaded(t) => t,
        }
    }
}

/// Load of all endpoints.
#[derive(Debug, Default)]
pub struct Balance {
    views: HashMap<EndpointId, View>,
}

impl View {
    fn load(&self, now: Millis) -> u32 {
        let fresh = self.reported.is_some_and(|at| now < at + REPORT_LIFETIME);
        self.own + if fresh { self.others } else { 0 }
    }
}

fn limit(slots: u32, ask: &Ask<'_>) -> u32 {
    match (ask.weights.is_some(), ask.late) {
        (true, false) => slots + ENGINE_QUEUE,
        (true, true) => slots,
        (false, _) => slots + slots * PLAIN_QUEUE,
    }
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
        let mut usable: Vec<(&Endpoint, f64)> = Vec::new();
        let mut able = 0;
        for e in endpoints {
            if !self.is_able(e, ask) {
                continue;
            }
            able += 1;
            let view = self.views.entry(e.id.clone()).or_default();
            if view.refusing.0 > now || !view.breaker.allows(now) {
                continue;
            }
            let (load, slots) = (view.load(now), e.record.slots.max(1));
            if load >= limit(slots, ask) {
                continue;
            }
            let far = f64::from(u8::from(e.record.zone != *ask.zone)) * ZONE_COST;
            let score = f64::from(load) / f64::from(slots) + far + view.failures * FAILURE_COST;
            usable.push((e, score));
        }
        if usable.is_empty() && able == 0 {
            return Err(Refusal::Unavailable(crate::base::jitter(RETURN)));
        }
        let best = (0..CHOICES.min(usable.len()))
            .map(|i| {
                let j = fastrand::usize(i..usable.len());
                usable.swap(i, j);
                usable[i]
            })
            .min_by(|a, b| a.1.total_cmp(&b.1));
        best.map(|(e, _)| e)
            .ok_or_else(|| Refusal::Overloaded(crate::base::jitter(RETURN)))
    }

    fn is_able(&self, e: &Endpoint, ask: &Ask<'_>) -> bool {
        if e.record.draining || ask.tried.contains(&e.id) {
            return false;
        }
        let Some((model, oldest)) = ask.weights else {
            return true;
        };
        let Some(loaded) = e.weights(model) else {
            return false;
        };
        let seen = self
            .views
            .get(&e.id)
            .map_or(loaded, |v| v.version.max(loaded));
        seen >= oldest && ask.exact.is_none_or(|v| v == seen)
    }

    /// Notes that a request is sent.
    pub fn begin(&mut self, id: &EndpointId, now: Millis) {
        let view = self.views.entry(id.clone()).or_default();
        view.own += 1;
        view.breaker.begin(now);
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
        if let Some(load) = load {
            view.others = (load.running + load.waiting).saturating_sub(view.own);
            view.reported = Some(now);
        }
        if let Some(version) = version {
            view.version = view.version.max(version);
        }
    }

    /// Notes the end of a request.
    pub fn end(&mut self, id: &EndpointId, outcome: Outcome, now: Millis) {
        let Some(view) = self.views.get_mut(id) else {
            return;
        };
        view.own = view.own.saturating_sub(1);
        let mut failure = |failed: f64| {
            view.failures += (failed - view.failures) * FAILURE_WEIGHT;
        };
        match outcome {
            Outcome::Served => {
                failure(0.0);
                view.breaker.success();
                view.refusing = Default::default();
            }
            Outcome::Refused => {
                let time = view.refusing.1.times(2).clamp(REFUSAL, REFUSAL_MAX);
                view.refusing = (now + time, time);
                view.breaker.release();
            }
            Outcome::Failed => {
                failure(1.0);
                view.breaker.release();
            }
            Outcome::Unreachable => {
                failure(1.0);
                view.breaker.failure(now);
            }
            Outcome::Abandoned => view.breaker.release(),
        }
    }

    /// Forgets endpoints that left.
    pub fn retain(&mut self, keep: impl Fn(&EndpointId) -> bool) {
        self.views.retain(|id, v| v.own > 0 || keep(id));
    }
}
