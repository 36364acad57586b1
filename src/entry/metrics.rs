//! Metrics of the entry.

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{exponential_buckets, Histogram},
    },
};

use crate::observe::Metrics;

/// Labels of an ended request.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(super) struct Ended {
    pub(super) service: String,
    pub(super) outcome: String,
}

/// Labels of a service.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(super) struct ByService {
    pub(super) service: String,
}

/// Metrics of the entry.
#[derive(Debug)]
pub(super) struct EntryMetrics {
    pub(super) ended: Family<Ended, Counter>,
    pub(super) retried: Family<ByService, Counter>,
    /// Agents that requests are routed to.
    pub(super) agents: Family<ByService, Gauge>,
    /// Frames with the id of another request.
    pub(super) crossed: Counter,
    /// Answers whose end did not match what arrived.
    pub(super) corrupt: Counter,
    pub(super) running: Gauge,
    pub(super) admission: Histogram,
    pub(super) first: Histogram,
}

impl EntryMetrics {
    /// Registers the metrics.
    pub(super) fn register(metrics: &Metrics) -> Self {
        // 1 ms to about 8 s.
        let times = || Histogram::new(exponential_buckets(0.001, 2.0, 14));
        let out = Self {
            ended: Family::default(),
            retried: Family::default(),
            agents: Family::default(),
            crossed: Counter::default(),
            corrupt: Counter::default(),
            running: Gauge::default(),
            admission: times(),
            first: times(),
        };
        metrics.register(|r| {
            r.register("requests", "Ended requests", out.ended.clone());
            r.register(
                "retries",
                "Further attempts of requests",
                out.retried.clone(),
            );
            r.register(
                "agents",
                "Agents that take requests and confirm the version in the settings",
                out.agents.clone(),
            );
            r.register(
                "crossed_frames",
                "Frames that carried the id of another request and were dropped",
                out.crossed.clone(),
            );
            r.register(
                "corrupt_answers",
                "Answers that were not whole and were not passed on as whole",
                out.corrupt.clone(),
            );
            r.register("running", "Requests in progress", out.running.clone());
            r.register(
                "admission_seconds",
                "Time from arrival to admission",
                out.admission.clone(),
            );
            r.register(
                "first_byte_seconds",
                "Time from arrival to the first part of the answer",
                out.first.clone(),
            );
        });
        out
    }

    /// Counts the end of a request.
    pub(super) fn end(&self, service: &str, outcome: &str) {
        self.ended
            .get_or_create(&Ended {
                service: service.to_owned(),
                outcome: outcome.to_owned(),
            })
            .inc();
    }

    /// Sets the number of agents that requests are routed to.
    pub(super) fn set_agents(&self, service: &str, count: usize) {
        self.agents
            .get_or_create(&ByService {
                service: service.to_owned(),
            })
            .set(count as i64);
    }

    /// Counts a further attempt.
    pub(super) fn retry(&self, service: &str) {
        self.retried
            .get_or_create(&ByService {
                service: service.to_owned(),
            })
            .inc();
    }
}
