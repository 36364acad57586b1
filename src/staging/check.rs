//! Checks of the chunks that are staged at the endpoint.

use futures_util::{stream, StreamExt};

use super::{agent::Agent, inventory::is_intact, EndpointHost, Manifest, Origin};
use crate::{
    base::Millis,
    gateway::{Decode, RecordStore},
};

/// Reads of staged chunks in progress at once.
pub(super) const READS_MAX: usize = 8;

/// Largest age of a chunk's check when the load is ordered. With the timeout of the order it stays below 3 s, for which a
/// chunk may have been corrupt before the endpoint reads it.
pub(super) const CHECK_AGE_MAX: Millis = Millis(1200);

/// Time after which checks that an endpoint answers too slowly for [`CHECK_AGE_MAX`] are given up.
const CHECK_TIME_MAX: Millis = Millis(6000);

/// Share of the chunks that are held when the checks begin for a load that is due as soon as the copy is complete. The origin
/// sends the last eighth in about 0.5 s, in which the others are checked.
const CHECKED_AHEAD: (usize, usize) = (7, 8);

/// Longest time until the load start, as of when few chunks are missing, for which the checks begin before the copy is
/// complete; later they would be older than [`CHECK_AGE_MAX`] at the order.
const AHEAD_MAX: Millis = Millis(CHECK_AGE_MAX.0 / 2);

/// Why a load is not ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum CheckError {
    /// Chunks are missing or corrupt at the endpoint; holds how many are left.
    #[error("only {0} chunks are intact at the endpoint; the others are copied again")]
    Incomplete(usize),
    /// The checks of some chunks were always too old when those of others ended.
    #[error("the endpoint takes over {CHECK_AGE_MAX} for the checks of all chunks; see its load and its disk")]
    Slow,
}

impl<S: RecordStore, D: Decode, H: EndpointHost, O: Origin> Agent<S, D, H, O> {
    /// Checks the digests of the staged chunks, as far as they were not computed within [`CHECK_AGE_MAX`] while the agent
    /// waited for its assignment; returns how many chunks are held, in memory or at the endpoint.
    pub(super) async fn verify(&self, model: &str, manifest: &Manifest) -> usize {
        let staged = self.host.staged(model).await.unwrap_or_else(|e| {
            log::debug!("cannot list the staged chunks: {e}");
            Vec::new()
        });
        let chunks = 0..manifest.digests.len() as u32;
        let (listed, missing): (Vec<_>, Vec<_>) = chunks.partition(|n| staged.contains(n));
        let unread = self.apply_reads(model, manifest, listed);
        self.check(model, manifest, unread).await;
        for chunk in missing {
            self.drop_unless_buffered(model, manifest, chunk);
        }
        self.inventory.held(model, manifest.version).len()
    }

    /// Records the results of recent reads of chunks, which were made before the manifest was known; returns the other chunks.
    fn apply_reads(&self, model: &str, manifest: &Manifest, chunks: Vec<u32>) -> Vec<u32> {
        let reads = self.read_ahead.take(model);
        let now = self.now();
        let mut rest = Vec::new();
        for chunk in chunks {
            let read = reads.get(&chunk);
            let Some(read) = read.filter(|r| now <= r.begun + CHECK_AGE_MAX) else {
                rest.push(chunk);
                continue;
            };
            let intact = read.digest == manifest.digests[chunk as usize];
            self.note_check(model, manifest, chunk, intact, read.begun);
        }
        rest
    }

    /// Checks all staged chunks, so that none of the checks is older than [`CHECK_AGE_MAX`] when this returns.
    ///
    /// # Errors
    ///
    /// Returns an error if a chunk is not intact, or the checks take too long.
    pub(super) async fn check_for_load(
        &self,
        model: &str,
        manifest: &Manifest,
    ) -> Result<(), CheckError> {
        let begun = self.now();
        while self.now() <= begun + CHECK_TIME_MAX {
            let due = self.due(model, manifest);
            if due.is_empty() {
                return Ok(());
            }
            let buffered = |c: &&u32| {
                let data = self.inventory.buffered(model, manifest.version, **c);
                data.is_some()
            };
            let unstaged = due.iter().filter(buffered).count();
            if unstaged > 0 {
                return Err(CheckError::Incomplete(manifest.digests.len() - unstaged));
            }
            self.check(model, manifest, due).await;
            let held = self.inventory.held(model, manifest.version).len();
            if held < manifest.digests.len() {
                return Err(CheckError::Incomplete(held));
            }
        }
        Err(CheckError::Slow)
    }

    /// Checks the chunks that are held once, as soon as few are missing, if their version is to be loaded as soon as the copy
    /// is complete. The checks before the load are then only those of the last chunks.
    pub(super) async fn check_ahead(&self, model: &str, manifest: &Manifest) {
        let (part, whole) = CHECKED_AHEAD;
        let chunks = manifest.digests.len();
        while self.inventory.held(model, manifest.version).len() * whole < chunks * part {
            self.inventory.changed().await;
        }
        if self.load_start(model, manifest) > self.now() + AHEAD_MAX {
            return;
        }
        let due = self.due(model, manifest);
        let held = self.inventory.held(model, manifest.version);
        let due = due.into_iter().filter(|c| held.contains(c)).collect();
        self.check(model, manifest, due).await;
    }

    /// Checks chunks, some at once.
    async fn check(&self, model: &str, manifest: &Manifest, chunks: Vec<u32>) {
        let checks = chunks.into_iter().map(|chunk| async move {
            self.check_chunk(model, manifest, chunk).await;
        });
        let running = stream::iter(checks).buffer_unordered(READS_MAX);
        running.collect::<()>().await;
    }

    /// Returns the chunks that were not found intact at the endpoint within [`CHECK_AGE_MAX`].
    fn due(&self, model: &str, manifest: &Manifest) -> Vec<u32> {
        let now = self.now();
        let chunks = 0..manifest.digests.len() as u32;
        let recent = |chunk: &u32| {
            let at = self.inventory.checked(model, manifest.version, *chunk);
            at.is_some_and(|at| now <= at + CHECK_AGE_MAX)
        };
        chunks.filter(|chunk| !recent(chunk)).collect()
    }

    /// Checks the digest of a chunk at the endpoint and records whether it is held.
    async fn check_chunk(&self, model: &str, manifest: &Manifest, chunk: u32) {
        let version = manifest.version;
        if self.inventory.buffered(model, version, chunk).is_some() {
            return;
        }
        let begun = self.now();
        let data = self.host.read(model, chunk).await.unwrap_or_else(|e| {
            log::debug!("cannot read staged chunk {chunk}: {e}");
            None
        });
        let digest = &manifest.digests[chunk as usize];
        let intact = data.is_some_and(|d| is_intact(&d, digest));
        self.note_check(model, manifest, chunk, intact, begun);
    }

    /// Records whether a check that began at `begun` found a chunk intact at the endpoint. A chunk that is in memory is held
    /// in any case.
    fn note_check(
        &self,
        model: &str,
        manifest: &Manifest,
        chunk: u32,
        intact: bool,
        begun: Millis,
    ) {
        let version = manifest.version;
        if !intact {
            return self.drop_unless_buffered(model, manifest, chunk);
        }
        self.inventory.insert(model, version, chunk);
        self.inventory.set_checked(model, version, chunk, begun);
    }

    fn drop_unless_buffered(&self, model: &str, manifest: &Manifest, chunk: u32) {
        let version = manifest.version;
        if self.inventory.buffered(model, version, chunk).is_none() {
            self.inventory.remove(model, version, chunk);
        }
    }
}
