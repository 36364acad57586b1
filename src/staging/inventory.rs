//! Checked chunks of one version at the endpoint.

use std::{cell::RefCell, rc::Rc};

use bytes::Bytes;
use sha2::{Digest as _, Sha256};
use tokio::sync::Notify;

use super::Manifest;
use crate::{
    base::{Digest, HashMap},
    decide::chunk::Bitmap,
    gateway::WeightVersion,
};

/// Returns whether a chunk has its digest.
pub(super) fn is_intact(data: &[u8], digest: &Digest) -> bool {
    Sha256::digest(data)[..] == digest.0
}

/// A version that is copied or held.
#[derive(Debug)]
struct Current {
    model: Rc<str>,
    manifest: Rc<Manifest>,
    held: Bitmap,
    /// Chunks in the order in which they arrived; chunks that were lost later stay in it.
    log: Vec<u32>,
    /// Content of chunks that are not staged at the endpoint.
    buffered: HashMap<u32, Bytes>,
}

/// Chunks that other hosts may copy from here.
#[derive(Debug, Default)]
pub(super) struct ChunkInventory {
    current: RefCell<Option<Current>>,
    /// The version before, while it is staged at the endpoint and waits for its load.
    previous: RefCell<Option<Current>>,
    changes: Notify,
}

impl ChunkInventory {
    /// Starts a version without chunks, unless it is the present one; `waiting` says that the endpoint keeps the one
    /// before until it is loaded.
    pub(super) fn begin(&self, model: &Rc<str>, manifest: &Rc<Manifest>, waiting: bool) {
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
        };
        let old = current.replace(new);
        if let Some(old) = old.filter(|old| waiting && old.buffered.is_empty()) {
            *self.previous.borrow_mut() = Some(old);
        }
        self.changes.notify_waiters();
    }

    /// Forgets all chunks, because the endpoint may have lost them.
    pub(super) fn clear(&self) {
        *self.current.borrow_mut() = None;
        self.drop_previous();
        self.changes.notify_waiters();
    }

    fn with_version<T>(
        &self,
        model: &str,
        version: WeightVersion,
        f: impl FnOnce(&mut Current) -> T,
    ) -> Option<T> {
        let is_meant = |c: &&mut Current| *c.model == *model && c.manifest.version == version;
        let mut current = self.current.borrow_mut();
        let mut previous = self.previous.borrow_mut();
        let found = current.as_mut().filter(is_meant);
        found.or(previous.as_mut().filter(is_meant)).map(f)
    }

    /// Forgets the version before, because its chunks at the endpoint are about to be replaced.
    pub(super) fn drop_previous(&self) {
        *self.previous.borrow_mut() = None;
    }

    /// Notes a checked chunk and keeps its content until it can be staged.
    pub(super) fn buffer(&self, model: &str, version: WeightVersion, chunk: u32, data: Bytes) {
        self.with_version(model, version, |c| c.buffered.insert(chunk, data));
    }

    /// Returns the content of a chunk that is not staged.
    pub(super) fn buffered(
        &self,
        model: &str,
        version: WeightVersion,
        chunk: u32,
    ) -> Option<Bytes> {
        self.with_version(model, version, |c| c.buffered.get(&chunk).cloned())?
    }

    /// Returns a chunk that is kept here until it is staged.
    pub(super) fn next_unstaged(
        &self,
        model: &str,
        version: WeightVersion,
    ) -> Option<(u32, Bytes)> {
        self.with_version(model, version, |c| {
            c.buffered.iter().next().map(|(n, data)| (*n, data.clone()))
        })?
    }

    /// Notes that a chunk is staged.
    pub(super) fn set_staged(&self, model: &str, version: WeightVersion, chunk: u32) {
        self.with_version(model, version, |c| c.buffered.remove(&chunk));
    }

    /// Notes a checked chunk.
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

    /// Notes that a chunk is missing or spoilt.
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

    /// Returns the manifest of a version, if it is the present one.
    pub(super) fn manifest(&self, model: &str, version: WeightVersion) -> Option<Rc<Manifest>> {
        self.with_version(model, version, |c| c.manifest.clone())
    }

    /// Returns the number of held chunks and of all.
    pub(super) fn progress(&self) -> (u32, u32) {
        let current = self.current.borrow();
        let c = current.as_ref();
        c.map_or((0, 0), |c| {
            (c.held.count(), c.manifest.digests.len() as u32)
        })
    }

    /// Returns the size of a chunk, in bytes.
    pub(super) fn chunk_size(&self) -> usize {
        let current = self.current.borrow();
        current.as_ref().map_or(0, |c| c.manifest.chunk.0 as usize)
    }

    /// Returns the held chunks.
    pub(super) fn held(&self, model: &str, version: WeightVersion) -> Vec<u32> {
        self.with_version(model, version, |c| c.held.iter().collect())
            .unwrap_or_default()
    }

    /// Returns the chunks that arrived after a position of the arrival order; `None` for another version.
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

    /// Waits for the next change.
    pub(super) async fn changed(&self) {
        self.changes.notified().await;
    }
}
