//! Snapshots of the kernel state, split into log records.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::{Kernel, SCHEMA};
use crate::base::{Digest, Offset};

/// Largest encoded state, in bytes.
pub const SNAPSHOT_MAX: usize = 48 << 20;

/// Size of each chunk except the last, in bytes; well below the largest record.
const CHUNK: usize = 128 * 1024;

/// Snapshots that may be incomplete at once; with more, the one with the lowest offset is dropped.
const PARTIAL_MAX: usize = 4;

/// A part of an encoded snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// Hash over the whole encoded state; chunks of different states differ in it.
    pub digest: Digest,
    /// Offset of the last record in the state.
    pub applied: Offset,
    /// Position of this chunk; less than `total`.
    pub index: u32,
    /// Number of chunks.
    pub total: u32,
    /// Content.
    pub data: Bytes,
}

/// An encoded kernel state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// Offset of the last record in the state.
    pub applied: Offset,
    /// Schema (big-endian) and encoded state.
    pub data: Bytes,
}

impl Snapshot {
    /// Encodes a kernel state.
    pub fn of(kernel: &Kernel) -> Self {
        let mut data = SCHEMA.to_be_bytes().to_vec();
        data.extend(postcard::to_stdvec(kernel).unwrap_or_default());
        Self {
            applied: kernel.applied(),
            data: data.into(),
        }
    }

    /// Decodes the state; `None` if the bytes are not a state of this schema with the stated offset.
    pub fn kernel(&self) -> Option<Kernel> {
        if self.data.len() > SNAPSHOT_MAX {
            return None;
        }
        let state = self.data.strip_prefix(&SCHEMA.to_be_bytes())?;
        match postcard::take_from_bytes::<Kernel>(state) {
            Ok((kernel, [])) if kernel.applied() == self.applied => Some(kernel),
            _ => None,
        }
    }

    /// Splits the snapshot into chunks for the log.
    pub fn split(&self) -> Vec<SnapshotChunk> {
        let digest = Digest::of(&self.data);
        let total = self.data.len().div_ceil(CHUNK).max(1) as u32;
        let part = |index: u32| {
            let start = index as usize * CHUNK;
            self.data.slice(start..self.data.len().min(start + CHUNK))
        };
        (0..total)
            .map(|index| SnapshotChunk {
                digest,
                applied: self.applied,
                index,
                total,
                data: part(index),
            })
            .collect()
    }
}

impl SnapshotChunk {
    /// Encodes the chunk as a record of the snapshot stream.
    pub fn encode(&self) -> Bytes {
        postcard::to_stdvec(self).unwrap_or_default().into()
    }

    /// Decodes a record of the snapshot stream; `None` if it is not a chunk.
    pub fn decode(data: &[u8]) -> Option<Self> {
        match postcard::take_from_bytes::<Self>(data) {
            Ok((chunk, [])) if chunk.index < chunk.total => Some(chunk),
            _ => None,
        }
    }
}

/// Collects chunks, which may come twice, out of order and mixed, until a snapshot is complete.
#[derive(Clone, Debug, Default)]
pub struct Assembler {
    /// Chunks by snapshot and index; at most [`PARTIAL_MAX`] snapshots of [`SNAPSHOT_MAX`] bytes.
    partial: BTreeMap<(Offset, Digest), BTreeMap<u32, Bytes>>,
}

impl Assembler {
    /// Adds a chunk and returns the snapshot that it completes.
    ///
    /// A snapshot is returned only if the hash over the whole holds.
    pub fn add(&mut self, chunk: SnapshotChunk) -> Option<Snapshot> {
        if chunk.total as usize > SNAPSHOT_MAX / CHUNK + 1 || chunk.data.len() > CHUNK {
            return None;
        }
        let key = (chunk.applied, chunk.digest);
        let parts = self.partial.entry(key).or_default();
        parts.insert(chunk.index, chunk.data);
        if parts.len() as u32 == chunk.total {
            let data: Vec<u8> = parts.values().flatten().copied().collect();
            self.partial.remove(&key);
            let whole = Digest::of(&data) == chunk.digest;
            return whole.then(|| Snapshot {
                applied: chunk.applied,
                data: data.into(),
            });
        }
        if self.partial.len() > PARTIAL_MAX {
            self.partial.pop_first();
        }
        None
    }
}
