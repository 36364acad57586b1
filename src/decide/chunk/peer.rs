//! What the scheduler knows about its neighbours.

use super::{Bitmap, PeerId, Proximity, Source};
use crate::base::Millis;

/// A neighbour.
#[derive(Debug)]
pub(super) struct Peer {
    pub(super) id: PeerId,
    pub(super) proximity: Proximity,
    pub(super) has: Bitmap,
    pub(super) flights: usize,
    /// Whether it reported its chunks, even if it has none.
    pub(super) reported: bool,
    pub(super) failures: u32,
    /// Not asked before this time.
    pub(super) until: Millis,
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
            until: Millis::ZERO,
        }
    }
}

/// A fetch in progress.
#[derive(Clone, Copy, Debug)]
pub(super) struct Flight {
    pub(super) chunk: u32,
    pub(super) from: Source,
    pub(super) since: Millis,
}
