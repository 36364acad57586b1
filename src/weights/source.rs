//! Where an agent gets complete versions from.

use std::{
    future::Future,
    sync::atomic::{AtomicU64, Ordering},
};

use bytes::Bytes;
use futures_util::{stream, StreamExt, TryStreamExt};

use super::{Manifest, ManifestError};
use crate::{
    base::{Digest, Size, VersionName},
    platform::{PlatformError, WeightStore},
};

/// Chunks fetched at once.
const PARALLEL: usize = 4;

/// Complete verified content of a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Complete {
    /// Name of the version.
    pub version: VersionName,
    /// Hash over the whole content.
    pub whole: Digest,
    /// Content in order.
    pub chunks: Vec<Bytes>,
}

/// Why a version could not be obtained.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SourceError {
    /// The origin did not answer.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// The manifest cannot be used.
    #[error(transparent)]
    Manifest(#[from] ManifestError),
    /// Content differs from its hash.
    #[error("content {0} is corrupted; it is fetched again")]
    Corrupt(Digest),
    /// The version does not fit.
    #[error("the version has {size}, `links.memory` is {memory}; use a larger host")]
    TooLarge {
        /// Size of the version.
        size: Size,
        /// Memory for weights.
        memory: Size,
    },
}

/// A source of complete versions.
pub trait Source: Send + Sync + 'static {
    /// Obtains all content of a manifest and verifies each chunk and the whole.
    ///
    /// Dropping the future abandons the copy.
    ///
    /// # Errors
    ///
    /// Returns an error if the content cannot be obtained; a later call may succeed.
    fn ensure(
        &self,
        manifest: Digest,
    ) -> impl Future<Output = Result<Complete, SourceError>> + Send;

    /// Returns the chunks held and needed of the version that was last asked for.
    fn progress(&self) -> Option<(u32, u32)>;
}

/// Fetches all content from the origin.
#[derive(Debug)]
pub struct OriginSource<W> {
    store: W,
    memory: Size,
    /// Chunks held (upper half) and needed (lower half).
    progress: AtomicU64,
}

impl<W: WeightStore> OriginSource<W> {
    /// Creates a source that holds versions of at most `memory`.
    pub fn new(store: W, memory: Size) -> Self {
        Self {
            store,
            memory,
            progress: AtomicU64::new(0),
        }
    }

    async fn chunk(&self, id: Digest, size: Size) -> Result<Bytes, SourceError> {
        let data = self.store.chunk(id).await?;
        if data.len() as u64 != size.0 || Digest::of(&data) != id {
            return Err(SourceError::Corrupt(id));
        }
        self.progress.fetch_add(1 << 32, Ordering::Relaxed);
        Ok(data)
    }
}

impl<W: WeightStore> Source for OriginSource<W> {
    async fn ensure(&self, manifest: Digest) -> Result<Complete, SourceError> {
        let m = Manifest::decode(&self.store.manifest(manifest).await?, manifest)?;
        if m.size > self.memory {
            return Err(SourceError::TooLarge {
                size: m.size,
                memory: self.memory,
            });
        }
        self.progress
            .store(m.chunks.len() as u64, Ordering::Relaxed);
        let wanted = m.chunks.iter().enumerate();
        let fetches: Vec<_> = wanted
            .map(|(i, id)| self.chunk(*id, m.chunk_size(i)))
            .collect();
        let chunks: Vec<Bytes> = stream::iter(fetches)
            .buffered(PARALLEL)
            .try_collect()
            .await?;
        let mut hasher = blake3::Hasher::new();
        for c in &chunks {
            hasher.update(c);
        }
        if Digest(*hasher.finalize().as_bytes()) != m.whole {
            return Err(SourceError::Corrupt(m.whole));
        }
        Ok(Complete {
            version: m.version,
            whole: m.whole,
            chunks,
        })
    }

    fn progress(&self) -> Option<(u32, u32)> {
        let p = self.progress.load(Ordering::Relaxed);
        (p != 0).then_some(((p >> 32) as u32, p as u32))
    }
}
