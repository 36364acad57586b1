//! Chunks that this host holds with the digest of their manifest: staged at the endpoint or buffered in memory.

use std::{cell::RefCell, rc::Rc};

use bytes::Bytes;
use sha2::{Digest as _, Sha256};
use tokio::sync::Notify;

use super::Manifest;
use crate::{
    base::{Digest, HashMap},
    decide::chunk::{Bitmap, Progress},
    gateway::WeightVersion,
};

/// Returns whether a chunk matches its SHA-256 digest.
pub(super) fn is_intact(data: &[u8], digest: &Digest) -> bool {
    Sha256::digest(data)[..] == digest.0
}

/// Chunks of a version that is being copied or is complete.
#[derive(Debug)]
struct Current {
    model: Rc<str>,
    manifest: Rc<Manifest>,
    /// Chunks whose digests were checked.
    held: Bitmap,
    /// Chunks in the order of arrival; chunks that were lost later remain listed.
    log: Vec<u32>,
    /// Content of chunks that are not yet staged at the endpoint, by index.
    buffered: HashMap<u32, Bytes>,
    /// Number of chunks that this host or a neighbour was last known to hold.
    known: u32,
}

/// Chunks of this host that other hosts may copy.
#[derive(Debug, Default)]
pub(super) struct ChunkInventory {
    current: RefCell<Option<Current>>,
    /// Previous version, while it is staged at the endpoint and waits for its load, or as far as the current one has not
    /// replaced its chunks there. Other hosts may still copy it.
    previous: RefCell<Option<Current>>,
    changes: Notify,
}

impl ChunkInventory {
    /// Makes a version the current one, without chunks; does nothing if it already is.
    pub(super) fn begin(&self, model: &Rc<str>, manifest: &Rc<Manifest>) {
        let mut current = self.current.borrow_mut();
        if let Some(c) = &*current {
            if c.model == *model && c.manifest.version == manifest.version {
                return;
            }
        }
        let new = Current {
            model: model.clone(),
            held: Bitmap::new(manifest.digests.len() as u32),
            manifest: manifest.clone(),
            log: Vec::new(),
            buffered: HashMap::default(),
            known: 0,
        };
        *self.previous.borrow_mut() = current.replace(new);
        self.changes.notify_waiters();
    }

    /// Removes all chunks, because the endpoint may have lost them.
    pub(super) fn clear(&self) {
        *self.current.borrow_mut() = None;
        self.drop_previous();
        self.changes.notify_waiters();
    }

    /// Calls `f` with the current or previous version if it is the given one.
    fn with_version<T>(
        &self,
        model: &str,
        version: WeightVersion,
        f: impl FnOnce(&mut Current) -> T,
    ) -> Option<T> {
        let matches = |c: &&mut Current| *c.model == *model && c.manifest.version == version;
        let mut current = self.current.borrow_mut();
        let mut previous = self.previous.borrow_mut();
        let found = current.as_mut().filter(matches);
        found.or(previous.as_mut().filter(matches)).map(f)
    }

    /// Removes the previous version, because its chunks at the endpoint are about to be replaced.
    pub(super) fn drop_previous(&self) {
        *self.previous.borrow_mut() = None;
    }

    /// Buffers the content of a checked chunk until it can be staged; [`Self::insert`] marks the chunk as held.
    pub(super) fn buffer(&self, model: &str, version: WeightVersion, chunk: u32, data: Bytes) {
        self.with_version(model, version, |c| c.buffered.insert(chunk, data));
    }

    /// Returns the content of a chunk that is buffered in memory.
    pub(super) fn buffered(
        &self,
        model: &str,
        version: WeightVersion,
        chunk: u32,
    ) -> Option<Bytes> {
        self.with_version(model, version, |c| c.buffered.get(&chunk).cloned())?
    }

    /// Returns the index and content of any chunk that is buffered and has to be staged.
    pub(super) fn next_unstaged(
        &self,
        model: &str,
        version: WeightVersion,
    ) -> Option<(u32, Bytes)> {
        self.with_version(model, version, |c| {
            c.buffered.iter().next().map(|(n, data)| (*n, data.clone()))
        })?
    }

    /// Drops the buffered content of a chunk that was staged at the endpoint.
    pub(super) fn set_staged(&self, model: &str, version: WeightVersion, chunk: u32) {
        self.with_version(model, version, |c| c.buffered.remove(&chunk));
    }

    /// Marks a chunk as held after its digest was checked, and notifies waiting tasks if it is new.
    pub(super) fn insert(&self, model: &str, version: WeightVersion, chunk: u32) {
        let new = self.with_version(model, version, |c| {
            let new = c.held.insert(chunk);
            if new {
                c.log.push(chunk);
            }
            new
        });
        if new == Some(true) {
            self.changes.notify_waiters();
        }
    }

    /// Marks a chunk as not held, because it is missing or corrupt at the endpoint.
    pub(super) fn remove(&self, model: &str, version: WeightVersion, chunk: u32) {
        self.with_version(model, version, |c| c.held.remove(chunk));
    }

    /// Returns the digest of a held chunk.
    pub(super) fn digest(&self, model: &str, version: WeightVersion, chunk: u32) -> Option<Digest> {
        self.with_version(model, version, |c| {
            let held = c.held.contains(chunk);
            held.then(|| c.manifest.digests[chunk as usize])
        })?
    }

    /// Returns the manifest of a version if it is the current or the previous one.
    pub(super) fn manifest(&self, model: &str, version: WeightVersion) -> Option<Rc<Manifest>> {
        self.with_version(model, version, |c| c.manifest.clone())
    }

    /// Records how many chunks of a version this host or a neighbour is known to hold.
    pub(super) fn set_known(&self, model: &str, version: WeightVersion, known: u32) {
        self.with_version(model, version, |c| c.known = known);
    }

    /// Returns what is known of the chunks of the current version.
    pub(super) fn progress(&self) -> Progress {
        let current = self.current.borrow();
        let c = current.as_ref();
        c.map_or_else(Progress::default, |c| Progress {
            known: c.known.max(c.held.count()),
            chunks: c.manifest.digests.len() as u32,
        })
    }

    /// Marks a chunk of the previous version as not held, because the endpoint stages one of the current version in its
    /// place.
    pub(super) fn replace_staged(&self, chunk: u32) {
        if let Some(previous) = &mut *self.previous.borrow_mut() {
            if !previous.buffered.contains_key(&chunk) {
                previous.held.remove(chunk);
            }
        }
    }

    /// Returns the size of a chunk of the current version in bytes; 0 if there is no version.
    pub(super) fn chunk_size(&self) -> usize {
        let current = self.current.borrow();
        current.as_ref().map_or(0, |c| c.manifest.chunk.0 as usize)
    }

    /// Returns the indexes of the held chunks of a version.
    pub(super) fn held(&self, model: &str, version: WeightVersion) -> Vec<u32> {
        self.with_version(model, version, |c| c.held.iter().collect())
            .unwrap_or_default()
    }

    /// Returns the chunks from a position on in the order of arrival; `None` for a version that is neither the current
    /// nor the previous one.
    pub(super) fn arrived_since(
        &self,
        model: &str,
        version: WeightVersion,
        from: usize,
    ) -> Option<Vec<u32>> {
        self.with_version(model, version, |c| {
            c.log.get(from..).unwrap_or_default().to_vec()
        })
    }

    /// Waits for the next change of the version or its held chunks.
    pub(super) async fn changed(&self) {
        self.changes.notified().await;
    }
}
