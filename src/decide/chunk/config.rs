//! Limits of the exchange.

use crate::{
    base::{Millis, Rate, Size},
    settings::Prefer,
};

/// Limits of the exchange; [`Config::new`] has every default.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// What a rollout saves.
    pub prefer: Prefer,
    /// Rate at which chunks may enter this region from the store's region; `None` is unlimited.
    pub cross_region: Option<Rate>,
    /// Size of a whole chunk.
    pub chunk: Size,
    /// Requests in flight to one peer. With 2, queues grow unevenly: the simulated time to 100 replicas was 1.32 times
    /// the bound instead of 1.23 (4 upload slots each).
    pub peer_requests: usize,
    /// Requests in flight to all peers; covers the time in which a peer serves its other slots.
    pub all_requests: usize,
    /// Requests in flight to the origin.
    pub origin_requests: usize,
    /// Chunks that leaders of all hosts may fetch from the origin at once. The origin shares its link between them, so
    /// a large window delays the first complete chunk, and a small one leaves the link idle until news has spread:
    /// simulated times to 200 replicas were 1.45 times the bound with 12, 1.11 with 24, 1.16 with 40.
    pub seed_window: usize,
    /// Longest time that leaders wait at the start for the first reports of all neighbours, so that a host that joins
    /// late does not fetch from the origin what the others have.
    pub report_wait: Millis,
    /// Time without progress after which the next rank takes over, and after which a request may be duplicated.
    pub stall_timeout: Millis,
    /// Time for which a busy peer is not asked again.
    pub busy_backoff: Millis,
    /// Time for which a peer that failed once is not asked again; doubles with each further failure.
    pub backoff: Millis,
    /// Longest time for which a failed source is not asked again.
    pub backoff_max: Millis,
}

/// Shortest stall delay; connections are replaced within about one second.
const STALL_MIN: Millis = Millis(2000);

/// Longest back-off after failures.
const BACKOFF_MAX: Millis = Millis(4000);

impl Config {
    /// Chooses limits for a chunk size and the host's download rate.
    pub fn new(prefer: Prefer, chunk: Size, down: Rate) -> Self {
        let chunk_ms = Millis(chunk.0.saturating_mul(1000) / down.0.max(1));
        Self {
            prefer,
            cross_region: None,
            chunk,
            peer_requests: 1,
            all_requests: 8,
            origin_requests: 2,
            seed_window: 24,
            report_wait: Millis(500),
            stall_timeout: STALL_MIN.max(chunk_ms.times(32)),
            busy_backoff: Millis((chunk_ms.0 / 2).clamp(5, 200)),
            backoff: Millis(500),
            backoff_max: BACKOFF_MAX,
        }
    }
}
