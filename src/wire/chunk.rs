//! Messages that exchange weight chunks between agents.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::base::{Digest, Millis, Size};

/// Largest piece of content in one frame, in bytes. Each piece has its own deadline, and pieces of concurrent transfers
/// alternate on the link.
pub const PART_MAX: usize = 32 << 10;

/// Subscribes to the chunks that an agent holds of a manifest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Have {
    /// Hash of the manifest.
    pub manifest: Digest,
    /// Longest time between two updates.
    pub interval: Millis,
}

/// Chunks that became available since the last update; empty updates show that the agent is alive.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HaveUpdate {
    /// Every chunk that is held, lowest bit of the first byte first; sent once the agent knows the manifest.
    All(Bytes),
    /// Indexes of further chunks, relative to the manifest's list.
    Added(Vec<u32>),
}

/// Asks an agent for content by hash.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChunkRequest {
    /// An encoded manifest.
    Manifest(Digest),
    /// A chunk.
    Chunk(Digest),
}

/// Answer to a [`ChunkRequest`]: one of the first three, and after [`ChunkReply::Found`] the parts in order. The
/// receiver checks the hash before it uses or passes on the bytes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ChunkReply {
    /// The agent holds the content and sends this many bytes.
    Found(Size),
    /// The agent does not hold the content.
    Missing,
    /// All upload slots are taken; ask later.
    Busy,
    /// The next at most [`PART_MAX`] bytes.
    Part(Bytes),
}
