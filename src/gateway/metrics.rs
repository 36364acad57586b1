//! Metrics of the gateway.

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{
        counter::Counter,
        family::Family,
        histogram::{exponential_buckets, Histogram},
    },
};

use crate::observe::{LeftOut, Metrics};

/// First bucket of the latency histograms in seconds, their factor and number: 1 ms to about 8 s.
const BUCKETS: (f64, f64, u16) = (0.001, 2.0, 14);

/// Labels of an ended request.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(super) struct Ended {
    pub(super) service: String,
    /// Status code of the response.
    pub(super) status: u16,
    /// Who decided: `endpoint`, or the reason of the entry.
    pub(super) reason: &'static str,
}

/// Labels of an attempt that brought no usable response, or of a step of a stream.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(super) struct Step {
    pub(super) outcome: &'static str,
}

/// Labels of latencies.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(super) struct ByService {
    pub(super) service: String,
}

/// Metrics of the gateway.
#[derive(Debug)]
pub(super) struct GatewayMetrics {
    pub(super) registry: Metrics,
    pub(super) ended: Family<Ended, Counter>,
    pub(super) attempts: Family<Step, Counter>,
    pub(super) streams: Family<Step, Counter>,
    pub(super) retries: Counter,
    pub(super) response: Family<ByService, Histogram>,
    pub(super) first: Family<ByService, Histogram>,
    pub(super) left_out: Counter,
    lines: LeftOut,
}

fn latency() -> Histogram {
    let (first, factor, count) = BUCKETS;
    Histogram::new(exponential_buckets(first, factor, count))
}

impl GatewayMetrics {
    /// Registers the metrics.
    pub(super) fn register(lines: LeftOut) -> Self {
        let out = Self {
            registry: Metrics::default(),
            ended: Family::default(),
            attempts: Family::default(),
            streams: Family::default(),
            retries: Counter::default(),
            response: Family::new_with_constructor(latency),
            first: Family::new_with_constructor(latency),
            left_out: Counter::default(),
            lines,
        };
        out.registry.register(|r| {
            r.register("gateway_requests", "Ended requests", out.ended.clone());
            let help = "Attempts that brought no usable response";
            r.register("gateway_attempts", help, out.attempts.clone());
            r.register("gateway_streams", "Steps of streams", out.streams.clone());
            r.register("gateway_retries", "Further attempts", out.retries.clone());
            let help = "Time to a whole response";
            r.register("gateway_response_seconds", help, out.response.clone());
            let help = "Time to the first event of a stream";
            r.register("gateway_first_event_seconds", help, out.first.clone());
            let help = "Log lines left out under load";
            r.register("log_lines_left_out", help, out.left_out.clone());
        });
        out
    }

    /// Encodes all metrics in the Prometheus text format.
    pub(super) fn encode(&self) -> String {
        let new = self.lines.count().saturating_sub(self.left_out.get());
        self.left_out.inc_by(new);
        self.registry.encode()
    }
}
