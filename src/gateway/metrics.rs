//! Metrics of an entry in the gateway build.

use std::sync::atomic::AtomicU64;

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{exponential_buckets, Histogram},
    },
};

use super::record::Record;
use crate::{
    http::Callers,
    observe::{LeftOut, Metrics},
};

/// Buckets of the latency histograms: the first in seconds, the growth factor and the number; 1 ms to about 8 s.
const LATENCY_BUCKETS: (f64, f64, u16) = (0.001, 2.0, 14);

/// Labels of an ended request.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(super) struct RequestLabels {
    pub(super) service: String,
    /// Status code of the response.
    pub(super) status: u16,
    /// `endpoint` if an endpoint's response was forwarded, otherwise the reason of the entry's own response.
    pub(super) reason: &'static str,
}

/// Label of an attempt without a usable response, or of a stage of a stream.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(super) struct OutcomeLabel {
    pub(super) outcome: &'static str,
}

/// Label of a topic of the store.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct TopicLabel {
    topic: &'static str,
}

/// Label of a request whose connection ended.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ProgressLabel {
    progress: &'static str,
}

/// Labels of traffic between two regions.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(super) struct RegionLabels {
    /// Region of the entry.
    pub(super) from: String,
    /// Region of the endpoint; `unknown` if its zone is not in the settings.
    pub(super) to: String,
}

/// Label of an endpoint.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(super) struct EndpointLabel {
    pub(super) endpoint: String,
}

/// Label of latency histograms.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(super) struct ServiceLabel {
    pub(super) service: String,
}

/// Registered metrics of an entry.
#[derive(Debug)]
pub(super) struct GatewayMetrics {
    pub(super) registry: Metrics,
    pub(super) ended: Family<RequestLabels, Counter>,
    pub(super) attempts: Family<OutcomeLabel, Counter>,
    pub(super) streams: Family<OutcomeLabel, Counter>,
    pub(super) retries: Counter,
    /// Requests sent to endpoints that limited their request rate.
    pub(super) limited: Counter,
    /// Requests rejected while slots were kept free for more urgent ones.
    pub(super) reserved: Counter,
    /// Requests rejected while endpoints had too little memory for them, and requests that were not sent after all because
    /// others had taken the memory of the chosen endpoint meanwhile.
    pub(super) memory_rejected: Counter,
    pub(super) memory_withheld: Counter,
    /// Requests sent to engines with the lowest urgency because they can't meet their latency objective.
    pub(super) late: Counter,
    /// Rejected callers, by whether they were told to return within their deadline.
    pub(super) returns: Family<OutcomeLabel, Counter>,
    /// Requests sent to cold endpoints of services that limit them.
    pub(super) cold: Counter,
    /// Requests in flight whose connections ended, by the progress of their responses.
    dropped: Family<ProgressLabel, Counter>,
    /// Requests rejected because of a quarantined part.
    pub(super) quarantined: Counter,
    /// Requests that no endpoint took, of routes or workspaces that allow some regions only.
    pub(super) restricted: Counter,
    /// Parts that were quarantined or released.
    quarantines: Family<OutcomeLabel, Counter>,
    /// Replies to requests for probes.
    probes: Family<OutcomeLabel, Counter>,
    /// Replies to requests for permits.
    permits: Family<OutcomeLabel, Counter>,
    /// Time to a complete response, in seconds.
    pub(super) response: Family<ServiceLabel, Histogram>,
    /// Time to the first event of a stream, in seconds.
    pub(super) first: Family<ServiceLabel, Histogram>,
    /// Zones whose endpoints get no requests.
    pub(super) evacuated_zones: Gauge,
    /// Requests that were not sent after all because the zone of the chosen endpoint was evacuated meanwhile.
    pub(super) evacuation_withheld: Counter,
    /// Era of the store, how often a newer one was learned, and responses that were ignored because of an older one.
    pub(super) store_era: Gauge,
    pub(super) store_restores: Counter,
    pub(super) outdated_responses: Counter,
    /// Requests that were sent, and the bytes of their bodies and responses, by region.
    pub(super) region_requests: Family<RegionLabels, Counter>,
    pub(super) region_bytes: Family<RegionLabels, Counter>,
    /// Time that work takes at each owned endpoint for tens of seconds, as a multiple of the usual one, as far as it is known.
    pub(super) endpoint_time: Family<EndpointLabel, Gauge<f64, AtomicU64>>,
    /// Endpoints where work takes longer than usual for tens of seconds.
    pub(super) slow_endpoints: Gauge,
    /// Share of the endpoints whose load is unknown, 0 to 1.
    pub(super) unknown_loads: Gauge<f64, AtomicU64>,
    /// Datagrams that could not be decoded.
    pub(super) ignored_datagrams: Counter,
    /// Records of the store that could not be used, and their bytes.
    unusable_records: Family<TopicLabel, Counter>,
    unusable_bytes: Family<TopicLabel, Counter>,
    /// Memory that is held for callers, in bytes, and their connections.
    held: Gauge,
    connections: Gauge,
    /// Connections of callers that were shed or not accepted.
    shed: Counter,
    refused: Counter,
    /// Log lines left out under load.
    pub(super) left_out: Counter,
    lines: LeftOut,
}

fn latency_histogram() -> Histogram {
    let (first, factor, count) = LATENCY_BUCKETS;
    Histogram::new(exponential_buckets(first, factor, count))
}

impl GatewayMetrics {
    /// Registers the metrics; `lines` counts the log lines that were left out under load.
    pub(super) fn register(lines: LeftOut) -> Self {
        let out = Self {
            registry: Metrics::default(),
            ended: Family::default(),
            attempts: Family::default(),
            streams: Family::default(),
            retries: Counter::default(),
            limited: Counter::default(),
            reserved: Counter::default(),
            memory_rejected: Counter::default(),
            memory_withheld: Counter::default(),
            late: Counter::default(),
            returns: Family::default(),
            cold: Counter::default(),
            dropped: Family::default(),
            quarantined: Counter::default(),
            restricted: Counter::default(),
            quarantines: Family::default(),
            probes: Family::default(),
            permits: Family::default(),
            response: Family::new_with_constructor(latency_histogram),
            first: Family::new_with_constructor(latency_histogram),
            evacuated_zones: Gauge::default(),
            evacuation_withheld: Counter::default(),
            store_era: Gauge::default(),
            store_restores: Counter::default(),
            outdated_responses: Counter::default(),
            region_requests: Family::default(),
            region_bytes: Family::default(),
            endpoint_time: Family::default(),
            slow_endpoints: Gauge::default(),
            unknown_loads: Gauge::default(),
            ignored_datagrams: Counter::default(),
            unusable_records: Family::default(),
            unusable_bytes: Family::default(),
            held: Gauge::default(),
            connections: Gauge::default(),
            shed: Counter::default(),
            refused: Counter::default(),
            left_out: Counter::default(),
            lines,
        };
        out.registry.register(|r| {
            r.register("gateway_requests", "Ended requests", out.ended.clone());
            let help = "Attempts that brought no usable response";
            r.register("gateway_attempts", help, out.attempts.clone());
            r.register("gateway_streams", "Steps of streams", out.streams.clone());
            r.register("gateway_retries", "Further attempts", out.retries.clone());
            let help = "Requests sent to endpoints that limit their request rate";
            r.register("gateway_limited_requests", help, out.limited.clone());
            let help = "Requests rejected while slots were kept free for more urgent ones";
            r.register("gateway_reserved_rejections", help, out.reserved.clone());
            let help = "Requests rejected while endpoints had too little memory for them";
            let rejected = out.memory_rejected.clone();
            r.register("gateway_memory_rejections", help, rejected);
            let help =
                "Requests withheld just before the send because the endpoint's memory was taken";
            let withheld = out.memory_withheld.clone();
            r.register("gateway_memory_withheld", help, withheld);
            let help =
                "Requests that can't meet their latency objective, sent with the lowest urgency";
            r.register("gateway_late_requests", help, out.late.clone());
            let help = "Rejected callers that were told to return, or that it is too late for that";
            r.register("gateway_returns", help, out.returns.clone());
            let help = "Requests sent to cold endpoints of services that limit them";
            r.register("gateway_cold_requests", help, out.cold.clone());
            let help =
                "Requests in flight whose connections ended, by the progress of their responses";
            r.register("gateway_dropped_requests", help, out.dropped.clone());
            let help = "Requests rejected because of a quarantined part of the prompt";
            r.register(
                "gateway_quarantined_requests",
                help,
                out.quarantined.clone(),
            );
            let help = "Requests rejected whose route or workspace allows some regions only";
            r.register(
                "gateway_restricted_rejections",
                help,
                out.restricted.clone(),
            );
            let help = "Parts of prompts that were quarantined or released";
            r.register("gateway_quarantines", help, out.quarantines.clone());
            let help = "Replies to requests for probes; `none` if no entry replied";
            r.register("gateway_probes", help, out.probes.clone());
            let help = "Replies to requests for permits; `none` if the issuer did not reply";
            r.register("gateway_permits", help, out.permits.clone());
            let help = "Time to a whole response";
            r.register("gateway_response_seconds", help, out.response.clone());
            let help = "Time to the first event of a stream";
            r.register("gateway_first_event_seconds", help, out.first.clone());
            let help = "Zones whose endpoints get no requests";
            r.register("gateway_evacuated_zones", help, out.evacuated_zones.clone());
            let help = "Requests withheld just before the send because of an evacuated zone";
            let withheld = out.evacuation_withheld.clone();
            r.register("gateway_evacuation_withheld", help, withheld);
            let help = "Era of the store: how often it was restored from an older copy";
            r.register("gateway_store_era", help, out.store_era.clone());
            let help = "Newer eras of the store that this entry learned";
            r.register("gateway_store_restores", help, out.store_restores.clone());
            let help = "Responses of the store that were ignored because they are of an older era";
            let ignored = out.outdated_responses.clone();
            r.register("gateway_outdated_responses", help, ignored);
            let help = "Requests sent, by the regions of the entry and of the endpoint";
            let requests = out.region_requests.clone();
            r.register("gateway_region_requests", help, requests);
            let help = "Bytes of requests and responses, by the regions of entry and endpoint";
            r.register("gateway_region_bytes", help, out.region_bytes.clone());
            let help = "Time that work takes at an owned endpoint, as a multiple of the usual one";
            r.register("gateway_endpoint_time", help, out.endpoint_time.clone());
            let help = "Endpoints where work takes longer than usual for tens of seconds";
            r.register("gateway_slow_endpoints", help, out.slow_endpoints.clone());
            let help = "Share of the endpoints whose load is unknown, 0 to 1";
            r.register("gateway_unknown_loads", help, out.unknown_loads.clone());
            let help = "Datagrams that could not be decoded";
            let ignored = out.ignored_datagrams.clone();
            r.register("gateway_ignored_datagrams", help, ignored);
            let help =
                "Records of the store that could not be used, by topic, each time they are read";
            let records = out.unusable_records.clone();
            r.register("gateway_unusable_records", help, records);
            let help = "Bytes of the records of the store that could not be used, by topic";
            let bytes = out.unusable_bytes.clone();
            r.register("gateway_unusable_bytes", help, bytes);
            let help = "Memory that is held for callers, in bytes";
            r.register("gateway_held_bytes", help, out.held.clone());
            let help = "Connections of callers";
            r.register("gateway_connections", help, out.connections.clone());
            let help = "Connections of callers that were shed";
            r.register("gateway_shed_connections", help, out.shed.clone());
            let help = "Connections of callers that were not accepted";
            r.register("gateway_refused_connections", help, out.refused.clone());
            let help = "Log lines left out under load";
            r.register("log_lines_left_out", help, out.left_out.clone());
        });
        out
    }

    /// Brings the metrics of what callers hold up to date.
    pub(super) fn set_held(&self, callers: &Callers) {
        let usage = callers.usage();
        self.held.set(usage.bytes as i64);
        self.connections.set(usage.connections as i64);
        let (shed, refused) = callers.counts();
        self.shed.inc_by(shed.saturating_sub(self.shed.get()));
        let new = refused.saturating_sub(self.refused.get());
        self.refused.inc_by(new);
    }

    /// Counts a record of a topic that could not be used.
    pub(super) fn count_unusable(&self, topic: &'static str, record: &Record) {
        let label = TopicLabel { topic };
        self.unusable_records.get_or_create(&label).inc();
        let bytes = self.unusable_bytes.get_or_create(&label);
        bytes.inc_by(record.size());
    }

    /// Counts a request in flight whose connection ended.
    pub(super) fn count_dropped(&self, progress: &'static str) {
        let label = ProgressLabel { progress };
        self.dropped.get_or_create(&label).inc();
    }

    /// Counts a part that was quarantined or released.
    pub(super) fn count_quarantine(&self, outcome: &'static str) {
        let label = OutcomeLabel { outcome };
        self.quarantines.get_or_create(&label).inc();
    }

    /// Counts the reply to a request for a probe.
    pub(super) fn count_probe(&self, outcome: &'static str) {
        self.probes.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Counts the reply to a request for a permit.
    pub(super) fn count_permit(&self, outcome: &'static str) {
        self.permits.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Encodes all metrics in the Prometheus text format, after bringing the count of left-out log lines up to date.
    pub(super) fn encode(&self) -> String {
        let new = self.lines.count().saturating_sub(self.left_out.get());
        self.left_out.inc_by(new);
        self.registry.encode()
    }
}
