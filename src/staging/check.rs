//! Checks of the chunks that are staged at the endpoint.

use futures_util::{stream, StreamExt};

use super::{agent::Agent, inventory::is_intact, EndpointHost, Manifest, Origin};
use crate::{
    base::Millis,
    gateway::{Decode, RecordStore},
};

/// Reads of staged chunks in progress at once.
const READS_MAX: usize = 8;

/// Largest age of a chunk's check when the load is ordered. With the timeout of the order it stays below 3 s, for which a
/// chunk may have been corrupt before the endpoint reads it.
const CHECK_AGE_MAX: Millis = Millis(1200);

/// Time after which checks that an endpoint answers too slowly for [`CHECK_AGE_MAX`] are given up.
const CHECK_TIME_MAX: Millis = Millis(6000);

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
    /// Checks the digests of the staged chunks; returns how many chunks are held, in memory or at the endpoint.
    pub(super) async fn verify(&self, model: &str, manifest: &Manifest) -> usize {
        let staged = self.host.staged(model).await.unwrap_or_else(|e| {
            log::debug!("cannot list the staged chunks: {e}");
            Vec::new()
        });
        let chunks = 0..manifest.digests.len() as u32;
        let (listed, missing) = chunks.partition(|n| staged.contains(n));
        self.check(model, manifest, listed).await;
        for chunk in missing {
            self.drop_unless_buffered(model, manifest, chunk);
        }
        self.inventory.held(model, manifest.version).len()
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
        let mut checked: Vec<Option<Millis>> = vec![None; manifest.digests.len()];
        while self.now() <= begun + CHECK_TIME_MAX {
            let due = due(&checked, self.now());
            if due.is_empty() {
                return Ok(());
            }
            for (chunk, at) in self.check(model, manifest, due).await {
                checked[chunk as usize] = Some(at);
            }
            let held = self.inventory.held(model, manifest.version).len();
            if held < manifest.digests.len() {
                return Err(CheckError::Incomplete(held));
            }
        }
        Err(CheckError::Slow)
    }

    /// Checks chunks, some at once; returns the time at which the check of each began.
    async fn check(
        &self,
        model: &str,
        manifest: &Manifest,
        chunks: Vec<u32>,
    ) -> Vec<(u32, Millis)> {
        let checks = chunks.into_iter().map(|chunk| async move {
            let begun = self.now();
            self.check_chunk(model, manifest, chunk).await;
            (chunk, begun)
        });
        let running = stream::iter(checks).buffer_unordered(READS_MAX);
        running.collect().await
    }

    /// Checks the digest of a chunk at the endpoint and records whether it is held.
    async fn check_chunk(&self, model: &str, manifest: &Manifest, chunk: u32) {
        let version = manifest.version;
        if self.inventory.buffered(model, version, chunk).is_some() {
            return;
        }
        let data = self.host.read(model, chunk).await.unwrap_or_else(|e| {
            log::debug!("cannot read staged chunk {chunk}: {e}");
            None
        });
        let digest = &manifest.digests[chunk as usize];
        if data.is_some_and(|d| is_intact(&d, digest)) {
            self.inventory.insert(model, version, chunk);
        } else {
            self.drop_unless_buffered(model, manifest, chunk);
        }
    }

    fn drop_unless_buffered(&self, model: &str, manifest: &Manifest, chunk: u32) {
        let version = manifest.version;
        if self.inventory.buffered(model, version, chunk).is_none() {
            self.inventory.remove(model, version, chunk);
        }
    }
}

/// Returns the chunks that were not checked within [`CHECK_AGE_MAX`].
fn due(checked: &[Option<Millis>], now: Millis) -> Vec<u32> {
    let recent = |at: Millis| now <= at + CHECK_AGE_MAX;
    let chunks = (0..).zip(checked);
    let old = chunks.filter(|(_, at)| !at.is_some_and(recent));
    old.map(|(chunk, _)| chunk).collect()
}
