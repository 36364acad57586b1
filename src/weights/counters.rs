//! Counters of the exchange.

use std::sync::atomic::Ordering::Relaxed;

use prometheus_client::metrics::counter::Counter;

use crate::{decide::chunk::Proximity, observe::Metrics};

/// Counts of one process; cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    /// Bytes of verified chunks and manifests from the origin.
    pub origin_bytes: Counter,
    /// Bytes of chunks from agents of the zone.
    pub zone_bytes: Counter,
    /// Bytes of chunks from agents of other zones of the region.
    pub region_bytes: Counter,
    /// Bytes of chunks from agents of other regions.
    pub remote_bytes: Counter,
    /// Bytes of chunks sent to agents.
    pub upload_bytes: Counter,
    /// Bytes of the reports of held chunks sent to agents.
    pub report_bytes: Counter,
    /// Chunks that arrived although they were held.
    pub duplicate_chunks: Counter,
    /// Chunks and manifests with a wrong hash.
    pub corrupt_chunks: Counter,
    /// Requests of peers refused because all upload slots were taken.
    pub busy_replies: Counter,
    /// Fetches that ended without the chunk, from peers or the origin.
    pub failed_fetches: Counter,
}

/// Values of [`Counters`] at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// Bytes of verified chunks and manifests from the origin.
    pub origin: u64,
    /// Bytes of chunks from agents of the zone.
    pub zone: u64,
    /// Bytes of chunks from agents of other zones of the region.
    pub region: u64,
    /// Bytes of chunks from agents of other regions.
    pub remote: u64,
    /// Bytes of chunks sent to agents.
    pub upload: u64,
    /// Chunks that arrived although they were held.
    pub duplicates: u64,
    /// Chunks and manifests with a wrong hash.
    pub corrupt: u64,
}

impl Counters {
    pub(super) fn register(&self, metrics: &Metrics) {
        metrics.register(|r| {
            let r = r.sub_registry_with_prefix("weights");
            let mut add = |name: &str, help: &str, c: &Counter| r.register(name, help, c.clone());
            add("origin_bytes", "Bytes from the origin", &self.origin_bytes);
            add(
                "zone_bytes",
                "Bytes from agents of the zone",
                &self.zone_bytes,
            );
            add(
                "region_bytes",
                "Bytes from other zones of the region",
                &self.region_bytes,
            );
            add(
                "remote_bytes",
                "Bytes from other regions",
                &self.remote_bytes,
            );
            add("upload_bytes", "Bytes sent to agents", &self.upload_bytes);
            add(
                "report_bytes",
                "Bytes of reports of held chunks",
                &self.report_bytes,
            );
            add(
                "duplicate_chunks",
                "Chunks that were held already",
                &self.duplicate_chunks,
            );
            add(
                "corrupt_chunks",
                "Chunks with a wrong hash",
                &self.corrupt_chunks,
            );
            add(
                "busy_replies",
                "Requests refused for lack of upload slots",
                &self.busy_replies,
            );
            add(
                "failed_fetches",
                "Fetches that ended without the chunk",
                &self.failed_fetches,
            );
        });
    }

    pub(super) fn add_peer(&self, place: Proximity, bytes: usize) {
        let counter = match place {
            Proximity::Zone => &self.zone_bytes,
            Proximity::Region => &self.region_bytes,
            Proximity::Store | Proximity::Remote => &self.remote_bytes,
        };
        counter.inc_by(bytes as u64);
    }

    /// Reads all counters.
    pub fn totals(&self) -> Totals {
        let get = |c: &Counter| c.inner().load(Relaxed);
        Totals {
            origin: get(&self.origin_bytes),
            zone: get(&self.zone_bytes),
            region: get(&self.region_bytes),
            remote: get(&self.remote_bytes),
            upload: get(&self.upload_bytes),
            duplicates: get(&self.duplicate_chunks),
            corrupt: get(&self.corrupt_chunks),
        }
    }
}
