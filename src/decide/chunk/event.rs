//! Input and output of the scheduler.

use super::{PeerId, Topology};
use crate::base::Millis;

/// Where a chunk comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Source {
    /// The weight store.
    Origin,
    /// Another agent.
    Peer(PeerId),
}

/// Why a fetch failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// All upload slots are taken.
    Busy,
    /// The source does not hold the chunk.
    Missing,
    /// The bytes do not have the chunk's hash.
    Corrupt,
    /// No connection, or no progress.
    Lost,
}

/// Input of the scheduler.
#[derive(Clone, Debug)]
pub enum Event {
    /// The host list changed.
    Members(Topology),
    /// A neighbour holds these chunks; the first report may be empty.
    Has(PeerId, Vec<u32>),
    /// The subscription to a neighbour ended.
    Gone(PeerId),
    /// A chunk is held without a fetch, for example because an older version has it.
    Held(u32),
    /// A fetch delivered a verified chunk.
    Arrived(u32, Source),
    /// A fetch ended without the chunk.
    Failed(u32, Source, Fault),
}

/// Output of the scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start to fetch a chunk.
    Fetch(u32, Source),
    /// Stop a fetch whose chunk came from elsewhere; no event follows for it.
    Cancel(u32, Source),
    /// Nothing to do before the next event or this time.
    Wait(Millis),
    /// Every chunk is held.
    Done,
}

/// Transfers that were of no use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Waste {
    /// Chunks that arrived although they were held.
    pub duplicates: u32,
    /// Chunks with a wrong hash.
    pub corrupt: u32,
}
