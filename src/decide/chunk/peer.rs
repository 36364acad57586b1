//! State that the scheduler keeps for each neighbour and each fetch in progress.

use super::{Bitmap, PeerId, Proximity, Source};
use crate::base::Millis;

/// Neighbour with which this host exchanges chunks.
#[derive(Debug)]
pub(super) struct Peer {
    pub(super) id: PeerId,
    pub(super) proximity: Proximity,
    /// Chunks that the neighbour reported to hold.
    pub(super) has: Bitmap,
    /// Number of fetches from it in progress.
    pub(super) flights: usize,
    /// Whether the neighbour has sent its first report, which may list no chunk.
    pub(super) reported: bool,
    /// Failed fetches since the last chunk that arrived from it.
    pub(super) failures: u32,
    /// End of the backoff, before which no request is sent to it.
    pub(super) backoff_until: Millis,
}

impl Peer {
    pub(super) fn new(id: PeerId, proximity: Proximity, chunks: u32, flights: usize) -> Self {
        Self {
            id,
            proximity,
            has: Bitmap::new(chunks),
            flights,
            reported: false,
            failures: 0,
            backoff_until: Millis::ZERO,
        }
    }
}

/// Fetch in progress.
#[derive(Clone, Copy, Debug)]
pub(super) struct Flight {
    pub(super) chunk: u32,
    pub(super) from: Source,
    pub(super) since: Millis,
}
