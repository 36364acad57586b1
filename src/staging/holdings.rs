//! Checked chunks of one version at the endpoint.

use std::{cell::RefCell, rc::Rc};

use sha2::{Digest as _, Sha256};
use tokio::sync::Notify;

use super::Manifest;
use crate::{base::Digest, decide::chunk::Bitmap, gateway::WeightVersion};

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
}

/// Chunks that other hosts may copy from here.
#[derive(Debug, Default)]
pub(super) struct Holdings {
    current: RefCell<Option<Current>>,
    news: Notify,
}

impl Holdings {
    /// Starts a version without chunks, unless it is the present one.
    pub(super) fn begin(&self, model: &Rc<str>, manifest: &Rc<Manifest>) {
        let mut current = self.current.borrow_mut();
        if let Some(c) = &*current {
            if c.model == *model && c.manifest.version == manifest.version {
                return;
            }
        }
        *current = Some(Current {
            model: model.clone(),
            held: Bitmap::new(manifest.digests.len() as u32),
            manifest: manifest.clone(),
            log: Vec::new(),
        });
        self.news.notify_waiters();
    }

    /// Forgets all chunks, because the endpoint may have lost them.
    pub(super) fn clear(&self) {
        *self.current.borrow_mut() = None;
        self.news.notify_waiters();
    }

    fn with<T>(
        &self,
        model: &str,
        version: WeightVersion,
        f: impl FnOnce(&mut Current) -> T,
    ) -> Option<T> {
        let mut current = self.current.borrow_mut();
        let c = current.as_mut()?;
        (*c.model == *model && c.manifest.version == version).then(|| f(c))
    }

    /// Notes a checked chunk.
    pub(super) fn insert(&self, model: &str, version: WeightVersion, chunk: u32) {
        let new = self.with(model, version, |c| {
            let new = c.held.insert(chunk);
            if new {
                c.log.push(chunk);
            }
            new
        });
        if new == Some(true) {
            self.news.notify_waiters();
        }
    }

    /// Notes that a chunk is missing or spoilt.
    pub(super) fn remove(&self, model: &str, version: WeightVersion, chunk: u32) {
        self.with(model, version, |c| c.held.remove(chunk));
    }

    /// Returns the digest of a held chunk.
    pub(super) fn digest(&self, model: &str, version: WeightVersion, chunk: u32) -> Option<Digest> {
        self.with(model, version, |c| {
            let held = c.held.contains(chunk);
            held.then(|| c.manifest.digests[chunk as usize])
        })?
    }

    /// Returns the manifest of a version, if it is the present one.
    pub(super) fn manifest(&self, model: &str, version: WeightVersion) -> Option<Rc<Manifest>> {
        self.with(model, version, |c| c.manifest.clone())
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
        self.with(model, version, |c| c.held.iter().collect())
            .unwrap_or_default()
    }

    /// Returns the chunks that arrived after a position of the arrival order; `None` for another version.
    pub(super) fn since(
        &self,
        model: &str,
        version: WeightVersion,
        from: usize,
    ) -> Option<Vec<u32>> {
        self.with(model, version, |c| {
            c.log.get(from..).unwrap_or_default().to_vec()
        })
    }

    /// Waits for the next change.
    pub(super) async fn changed(&self) {
        self.news.notified().await;
    }
}
