//! Events that the chunk scheduler handles, and actions that it returns.

use super::{PeerId, Topology};
use crate::base::Millis;

/// Source of a chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Source {
    /// Weight store that holds each version first.
    Origin,
    /// Agent of another host.
    Peer(PeerId),
}

/// Why a fetch failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// All upload slots of the peer are in use and its queue is full, or the request waited in the queue for too long.
    Busy,
    /// The source does not hold the chunk.
    Missing,
    /// The hash of the bytes differs from the chunk's hash in the manifest.
    Corrupt,
    /// The source could not be reached, or the transfer made no progress.
    Lost,
}

/// Event that the scheduler handles.
#[derive(Clone, Debug)]
pub enum Event {
    /// The host list changed; contains the new one.
    Members(Topology),
    /// A neighbour reported that it holds these chunks; its first report may be empty.
    Has(PeerId, Vec<u32>),
    /// The subscription to a neighbour's reports ended.
    Gone(PeerId),
    /// This host holds a chunk that it did not fetch, for example because an older version contains it.
    Held(u32),
    /// A fetch of this chunk from this source delivered it, and its hash is right.
    Arrived(u32, Source),
    /// A fetch of this chunk from this source failed.
    Failed(u32, Source, Fault),
}

/// Action that the scheduler requests from its driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start to fetch this chunk from this source.
    Fetch(u32, Source),
    /// Stop the fetch of this chunk from this source, because another source delivered it; no event must follow for the
    /// cancelled fetch.
    Cancel(u32, Source),
    /// Poll again after the next event or at this time, whichever comes first.
    Wait(Millis),
    /// This host holds every chunk; the copy is complete.
    Done,
}

/// Number of transfers that were wasted during one copy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Waste {
    /// Chunks that arrived when this host already held them.
    pub duplicates: u32,
    /// Chunks that arrived with a wrong hash.
    pub corrupt: u32,
}
