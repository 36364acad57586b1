//! What an entry knows of the load of one endpoint, and what a request costs there.

use std::net::SocketAddr;

use super::{balance::Ask, fleet::Endpoint, record::WeightVersion};
use crate::{base::Millis, decide::route::Breaker};

/// Time to read the prompts that an endpoint has yet to read that costs as much as all of its slots.
const READ_TIME: f64 = 250.0;

/// Cost of another zone, as a share of an endpoint's slots.
const ZONE_COST: f64 = 0.12;

/// Cost of an endpoint whose recent requests all failed, as a share of its slots.
const FAILURE_COST: f64 = 3.0;

/// Weight of the newest outcome in the share of failures.
const FAILURE_WEIGHT: f64 = 0.15;

/// Time for which an endpoint that turned a request away is passed over; doubles up to the longest.
const REFUSAL: Millis = Millis(120);
const REFUSAL_MAX: Millis = Millis(480);

/// Age at which the load that an endpoint reported is no longer used.
const REPORT_LIFETIME: Millis = Millis(2000);

/// Age at which the requests that another entry told are no longer counted.
const TOLD_LIFETIME: Millis = Millis(1200);

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
pub(super) struct View {
    /// Requests of this entry in progress.
    pub(super) own: u32,
    /// Prompt tokens of these that the endpoint has yet to read.
    unread: u32,
    /// Requests of others when the endpoint last reported, and when that was.
    others: u32,
    reported: Option<Millis>,
    /// Requests of each other entry that told them, and when it did.
    pub(super) told: Vec<(SocketAddr, u16, Millis)>,
    /// Recent share of failures, 0 to 1.
    failures: f64,
    /// End of the time for which the endpoint is passed over, and the length of that time.
    pub(super) refusing: (Millis, Millis),
    /// End of the time for which the endpoint wants no request; nothing but its end lifts it.
    pub(super) held: Millis,
    pub(super) breaker: Breaker,
    /// Newest version of weights seen in its responses.
    pub(super) version: WeightVersion,
}

impl View {
    /// Returns the requests at the endpoint: those of this entry, and those of others as far as they are known.
    pub(super) fn load(&self, now: Millis, all_told: bool) -> u32 {
        let told: u32 = self
            .told
            .iter()
            .filter(|t| now < t.2 + TOLD_LIFETIME)
            .map(|t| u32::from(t.1))
            .sum();
        let fresh = self.reported.is_some_and(|at| now < at + REPORT_LIFETIME);
        if all_told || !fresh {
            return self.own + told;
        }
        self.own + told.max(self.others)
    }

    /// Returns what a request costs at the endpoint with a load, as a share of its slots.
    pub(super) fn cost(&self, e: &Endpoint, ask: &Ask<'_>, load: u32) -> f64 {
        let share = f64::from(load) / f64::from(e.record.slots.max(1));
        let far = f64::from(u8::from(e.record.zone != *ask.zone)) * ZONE_COST;
        let read = ask
            .read_rate
            .map_or(0.0, |rate| f64::from(self.unread) / rate / READ_TIME);
        share + far + read + self.failures * FAILURE_COST
    }

    /// Notes that a request with a prompt of some tokens is sent.
    pub(super) fn begin(&mut self, prompt: u32, now: Millis) {
        self.own += 1;
        self.unread += prompt;
        self.breaker.begin(now);
    }

    /// Notes that the endpoint has read the prompt of a request.
    pub(super) fn has_read(&mut self, prompt: u32) {
        self.unread = self.unread.saturating_sub(prompt);
    }

    /// Notes what a response says of the endpoint.
    pub(super) fn report(
        &mut self,
        load: Option<Load>,
        version: Option<WeightVersion>,
        now: Millis,
    ) {
        if let Some(load) = load {
            self.others = (load.running + load.waiting).saturating_sub(self.own);
            self.reported = Some(now);
        }
        if let Some(version) = version {
            self.version = self.version.max(version);
        }
    }

    /// Notes the end of a request.
    pub(super) fn end(&mut self, outcome: Outcome, now: Millis) {
        self.own = self.own.saturating_sub(1);
        let mut failure = |failed: f64| {
            self.failures += (failed - self.failures) * FAILURE_WEIGHT;
        };
        match outcome {
            Outcome::Served => {
                failure(0.0);
                self.breaker.record_success();
                self.refusing = Default::default();
            }
            Outcome::Refused => {
                let time = self.refusing.1.times(2).clamp(REFUSAL, REFUSAL_MAX);
                self.refusing = (now + time, time);
                self.breaker.release_probe();
            }
            Outcome::Failed => {
                failure(1.0);
                self.breaker.release_probe();
            }
            Outcome::Unreachable => {
                failure(1.0);
                self.breaker.record_failure(now);
            }
            Outcome::Abandoned => self.breaker.release_probe(),
        }
    }
}
