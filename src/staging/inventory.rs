//! Chunks that this host holds with the digest of their manifest: staged at the endpoint or buffered in memory.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use tokio::sync::Notify;

use super::{EndpointHost, Manifest};
use crate::{
    base::{Digest, HashMap, Millis, Size},
    decide::chunk::{Bitmap, Progress},
    gateway::WeightVersion,
};

/// Longest time for which the copy of a chunk waits for the one that it replaces to be read into memory. Without a limit the
/// reads of an endpoint that takes 0.4 s for each delay the newer copy by seconds.
const KEEP_TIMEOUT: Millis = Millis(150);

/// Returns the SHA-256 digest of a chunk.
pub(super) fn chunk_digest(data: &[u8]) -> Digest {
    Digest(Sha256::digest(data).into())
}

/// Returns whether a chunk matches its SHA-256 digest.
pub(super) fn is_intact(data: &[u8], digest: &Digest) -> bool {
    chunk_digest(data) == *digest
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
    /// When the last check of each chunk began that found it intact at the endpoint, since it was staged.
    checked: HashMap<u32, Millis>,
}

/// Chunks of this host that other hosts may copy.
#[derive(Debug)]
pub(super) struct ChunkInventory {
    /// Memory of this host.
    memory: Size,
    current: RefCell<Option<Current>>,
    /// Previous version, while it is staged at the endpoint and waits for its load, or as far as the current one has not
    /// replaced its chunks there. Other hosts may still copy it.
    previous: RefCell<Option<Current>>,
    /// Model and version that the endpoint has loaded or has begun to load.
    loaded: RefCell<Option<(Rc<str>, WeightVersion)>>,
    /// That version, if it was complete here before the present copy began. Its chunks are read into memory before those of
    /// a newer version replace them at the endpoint.
    kept: RefCell<Option<Current>>,
    /// Whether the endpoint took longer than [`KEEP_TIMEOUT`] for a chunk of it. No more are read then.
    slow_reads: Cell<bool>,
    changes: Notify,
}

/// Chunks of one version that a host holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct HeldVersion {
    pub(super) version: WeightVersion,
    pub(super) held: u32,
    pub(super) chunks: u32,
}

impl HeldVersion {
    pub(super) fn is_complete(&self) -> bool {
        self.chunks > 0 && self.held >= self.chunks
    }
}

impl Current {
    fn is(&self, model: &str, version: WeightVersion) -> bool {
        *self.model == *model && self.manifest.version == version
    }
}

impl ChunkInventory {
    /// Creates an empty inventory of a host with this much memory.
    pub(super) fn new(memory: Size) -> Self {
        Self {
            memory,
            current: RefCell::default(),
            previous: RefCell::default(),
            loaded: RefCell::default(),
            kept: RefCell::default(),
            slow_reads: Cell::default(),
            changes: Notify::new(),
        }
    }

    /// Makes a version the current one, without chunks; does nothing if it already is.
    pub(super) fn begin(&self, model: &Rc<str>, manifest: &Rc<Manifest>) {
        let mut current = self.current.borrow_mut();
        if current
            .as_ref()
            .is_some_and(|c| c.is(model, manifest.version))
        {
            return;
        }
        let resumed = self.previous.take();
        let resumed = resumed.filter(|p| *p.model == **model && p.manifest == *manifest);
        let new = resumed.unwrap_or_else(|| Current {
            model: model.clone(),
            held: Bitmap::new(manifest.digests.len() as u32),
            manifest: manifest.clone(),
            log: Vec::new(),
            buffered: HashMap::default(),
            known: 0,
            checked: HashMap::default(),
        });
        *self.previous.borrow_mut() = current.replace(new);
        self.keep_loaded();
        self.changes.notify_waiters();
    }

    /// Records which version the endpoint has loaded or has begun to load; another one that was kept is dropped.
    pub(super) fn set_loaded(&self, model: &Rc<str>, version: WeightVersion) {
        let new = Some((model.clone(), version));
        if *self.loaded.borrow() == new {
            return;
        }
        *self.loaded.borrow_mut() = new;
        self.drop_kept();
        self.keep_loaded();
    }

    /// Keeps the previous version if the endpoint has loaded it, all its chunks are held and the memory suffices.
    fn keep_loaded(&self) {
        let loaded = self.loaded.borrow();
        let Some((model, version)) = &*loaded else {
            return;
        };
        let mut previous = self.previous.borrow_mut();
        let kept = previous.take_if(|p| {
            let fits = p.manifest.retention(self.memory, None).keeps(Millis::ZERO);
            p.is(model, *version) && p.held.is_full() && fits
        });
        if kept.is_some() {
            *self.kept.borrow_mut() = kept;
            self.slow_reads.set(false);
        }
    }

    /// Drops the chunks of the loaded version, as far as a copy of a newer one replaces them.
    pub(super) fn drop_kept(&self) {
        *self.kept.borrow_mut() = None;
    }

    /// Returns the manifest of the version that is kept.
    pub(super) fn kept(&self) -> Option<(Rc<str>, Rc<Manifest>)> {
        let kept = self.kept.borrow();
        let kept = kept.as_ref()?;
        Some((kept.model.clone(), kept.manifest.clone()))
    }

    /// Returns the digest of a chunk of the kept version whose content is still only at the endpoint.
    fn unread(&self, model: &str, chunk: u32) -> Option<Digest> {
        let kept = self.kept.borrow();
        let kept = kept.as_ref().filter(|k| *k.model == *model)?;
        let unread = !self.slow_reads.get()
            && kept.held.contains(chunk)
            && !kept.buffered.contains_key(&chunk);
        let digest = kept.manifest.digests.get(chunk as usize).copied();
        digest.filter(|_| unread)
    }

    /// Reads the chunk of the kept version, which is about to be replaced at the endpoint, into memory.
    pub(super) async fn read_kept<H: EndpointHost>(&self, host: &H, model: &str, chunk: u32) {
        let Some(digest) = self.unread(model, chunk) else {
            return;
        };
        let read = tokio::time::timeout(KEEP_TIMEOUT.duration(), host.read(model, chunk)).await;
        let data = match read {
            Ok(Ok(data)) => data,
            Ok(Err(e)) => {
                log::debug!("cannot read staged chunk {chunk}, which is replaced: {e}");
                None
            }
            Err(_) => {
                self.slow_reads.set(true);
                None
            }
        };
        let data = data.filter(|d| is_intact(d, &digest));
        // The version may have been dropped during the read, or another one may be kept now.
        let mut kept = self.kept.borrow_mut();
        let same = |k: &&mut Current| k.manifest.digests.get(chunk as usize) == Some(&digest);
        let Some(kept) = kept.as_mut().filter(same) else {
            return;
        };
        match data {
            Some(data) => {
                kept.buffered.insert(chunk, data);
            }
            None => {
                kept.held.remove(chunk);
            }
        }
    }

    /// Returns the versions of a model of which this host holds chunks.
    pub(super) fn versions(&self, model: &str) -> Vec<HeldVersion> {
        let all = [&self.current, &self.previous, &self.kept];
        let held = all.into_iter().filter_map(|entry| {
            let entry = entry.borrow();
            let c = entry.as_ref().filter(|c| *c.model == *model)?;
            Some(HeldVersion {
                version: c.manifest.version,
                held: c.held.count(),
                chunks: c.manifest.digests.len() as u32,
            })
        });
        held.collect()
    }

    /// Removes all chunks, because the endpoint may have lost them.
    pub(super) fn clear(&self) {
        *self.current.borrow_mut() = None;
        *self.loaded.borrow_mut() = None;
        self.drop_kept();
        self.drop_previous();
        self.changes.notify_waiters();
    }

    /// Calls `f` with the current, the previous or the kept version if it is the given one.
    fn with_version<T>(
        &self,
        model: &str,
        version: WeightVersion,
        f: impl FnOnce(&mut Current) -> T,
    ) -> Option<T> {
        let matches = |c: &&mut Current| c.is(model, version);
        let mut current = self.current.borrow_mut();
        let mut previous = self.previous.borrow_mut();
        let mut kept = self.kept.borrow_mut();
        let found = current.as_mut().filter(matches);
        let found = found.or(previous.as_mut().filter(matches));
        found.or(kept.as_mut().filter(matches)).map(f)
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
        self.with_version(model, version, |c| {
            c.checked.remove(&chunk);
            c.held.remove(chunk);
        });
    }

    /// Returns the digest of a held chunk.
    pub(super) fn digest(&self, model: &str, version: WeightVersion, chunk: u32) -> Option<Digest> {
        self.with_version(model, version, |c| {
            let held = c.held.contains(chunk);
            held.then(|| c.manifest.digests[chunk as usize])
        })?
    }

    /// Returns the manifest of a version if it is the current, the previous or the kept one.
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

    /// Marks a chunk of the other versions as not held, as far as it is not in memory, because the endpoint stages one of
    /// the current version in its place.
    pub(super) fn replace_staged(&self, chunk: u32) {
        for other in [&self.previous, &self.kept] {
            if let Some(other) = &mut *other.borrow_mut() {
                if !other.buffered.contains_key(&chunk) {
                    other.held.remove(chunk);
                }
            }
        }
        for entry in [&self.current, &self.previous] {
            if let Some(entry) = &mut *entry.borrow_mut() {
                entry.checked.remove(&chunk);
            }
        }
    }

    /// Records that a chunk was found intact at the endpoint by a check that began at `at`. A chunk that is buffered is not
    /// the one at the endpoint.
    pub(super) fn set_checked(&self, model: &str, version: WeightVersion, chunk: u32, at: Millis) {
        self.with_version(model, version, |c| c.checked.insert(chunk, at));
    }

    /// Returns when the last check of a chunk began that found it intact at the endpoint.
    pub(super) fn checked(
        &self,
        model: &str,
        version: WeightVersion,
        chunk: u32,
    ) -> Option<Millis> {
        self.with_version(model, version, |c| c.checked.get(&chunk).copied())?
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

    /// Returns the chunks from a position on in the order of arrival; `None` for a version that is not the current,
    /// the previous or the kept one.
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
