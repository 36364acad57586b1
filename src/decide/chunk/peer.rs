//! What the scheduler knows about its neighbours.

use super::{Bitmap, PeerId, Place, Source};
use crate::base::Millis;

/// A neighbour.
#[derive(Debug)]
pub(super) struct Peer {
    pub(super) id: PeerId,
    pub(super) place: Place,
    pub(super) has: Bitmap,
    pub(super) flights: usize,
    pub(super) failures: u32,
    /// Not asked before this time.
    pub(super) until: Millis,
}

/// A fetch in progress.
#[derive(Clone, Copy, Debug)]
pub(super) struct Flight {
    pub(super) chunk: u32,
    pub(super) from: Source,
    pub(super) since: Millis,
}
