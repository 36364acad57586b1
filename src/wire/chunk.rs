//! Messages that exchange weight chunks between agents.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::base::{Digest, Millis};

/// Subscribes to the chunks that an agent holds of a manifest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Have {
    /// Hash of the manifest.
    pub manifest: Digest,
    /// Longest time between two updates.
    pub interval: Millis,
}

/// Chunks that became available since the last update.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HaveUpdate {
    /// Indexes of chunks, relative to the manifest's list.
    pub added: Vec<u32>,
    /// Free upload slots.
    pub slots: u8,
}

/// Asks an agent for content by hash.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChunkRequest {
    /// An encoded manifest.
    Manifest(Digest),
    /// A chunk.
    Chunk(Digest),
}

/// Answer to a [`ChunkRequest`]; the receiver checks the hash before it uses or passes on the bytes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ChunkReply {
    /// The content.
    Data(Bytes),
    /// The agent does not hold the content.
    Missing,
    /// All upload slots are taken; ask later.
    Busy,
}
