//! Limits of the chunk exchange between the hosts that copy one manifest.

use crate::{
    base::{Millis, Rate, Size},
    settings::Prefer,
};

/// Limits of the chunk exchange on one host; [`Config::new`] sets the defaults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Whether the copy of a version to all hosts should save time or bytes from the origin.
    pub prefer: Prefer,
    /// Rate at which all hosts of this region together may copy chunks from the origin's region; `None` is unlimited.
    pub cross_region: Option<Rate>,
    /// Size of a chunk; the last one may be shorter.
    pub chunk: Size,
    /// Maximum number of requests in flight to one peer. With 2, the upload queues of the peers grow unevenly: the
    /// simulated time to 100 replicas was 1.32 times the bound instead of 1.23 (with 4 upload slots per host).
    pub peer_requests: usize,
    /// Maximum number of requests in flight to all sources, from which on no further one is sent to a peer of the
    /// region. Several are needed because a peer divides its uplink among its upload slots.
    pub all_requests: usize,
    /// Maximum number of requests in flight to the origin and to hosts of other regions.
    pub origin_requests: usize,
    /// Number of hosts of a region that lead all chunks of a manifest. Few leaders hold most chunks early and serve the
    /// others; with too few, their links limit the copy.
    pub leaders: usize,
    /// Number of chunks that the leaders of a region may fetch from the origin at the same time. The origin's link is
    /// shared between them: a large window delays the first complete chunk, and a small one leaves the link idle until
    /// the hosts have learnt which chunks were seeded. Simulated times to 200 replicas were 1.45 times the bound with
    /// 12, 1.11 with 24, 1.16 with 40.
    pub seed_window: usize,
    /// Longest time for which a leader waits at the start for the first reports of all neighbours, so that a host that
    /// joins late does not fetch from the origin the chunks that other hosts hold.
    pub report_wait: Millis,
    /// Time without the chunk after which the host of the next rank seeds it instead of its leader, and after which a
    /// host may request a chunk from a second source.
    pub stall_timeout: Millis,
    /// Time for which no request is sent to a peer that replied that it is busy.
    pub busy_backoff: Millis,
    /// Base of the exponential backoff after failed requests: the first failure of the origin pauses it for this time,
    /// the first one of a peer of the region for twice this time. Requests to other regions always wait this time.
    pub backoff: Millis,
    /// Longest backoff after failed requests to the origin.
    pub backoff_max: Millis,
}

/// Shortest stall timeout; longer than the replacement of a lost connection, which takes about one second.
const STALL_TIMEOUT_MIN: Millis = Millis(2000);

/// Longest backoff after failed requests to the origin.
const BACKOFF_MAX: Millis = Millis(4000);

impl Config {
    /// Chooses the limits for a chunk size and the download rate of the host.
    pub fn new(prefer: Prefer, chunk: Size, down: Rate) -> Self {
        let chunk_ms = Millis(chunk.0.saturating_mul(1000) / down.0.max(1));
        Self {
            prefer,
            cross_region: None,
            chunk,
            peer_requests: 1,
            all_requests: 8,
            origin_requests: 2,
            leaders: usize::MAX,
            seed_window: 24,
            report_wait: Millis(500),
            stall_timeout: STALL_TIMEOUT_MIN.max(chunk_ms.times(32)),
            busy_backoff: Millis((chunk_ms.0 / 2).clamp(5, 200)),
            backoff: Millis(500),
            backoff_max: BACKOFF_MAX,
        }
    }
}
