//! The part of an agent that holds, fetches and passes on weights.

use std::sync::{Arc, Mutex, MutexGuard};

use bytes::Bytes;
use tokio::sync::watch;

use super::{
    copy::run, counters::Counters, upload::Slots, ChunkStore, Totals, WeightsError, COPY_COMPLETE,
    COPY_REPLACED,
};
use crate::{
    backing::{HttpPlatform, WeightStore},
    base::{lock, Digest, HashSet, Rate, Size, VersionName},
    decide::chunk::PeerId,
    emit,
    net::{Incoming, Pacer},
    process::Context,
    wire::{Call, PART_MAX},
};

/// Bytes that may be transferred without pacing after an idle period.
const BURST: Size = Size(4 * PART_MAX as u64);

/// A complete and verified version.
#[derive(Clone, Debug)]
pub struct Complete {
    /// Name of the version.
    pub version: VersionName,
    /// Hash over the whole content.
    pub whole: Digest,
    /// The content in order; shares the memory of the chunk store.
    pub chunks: Vec<Bytes>,
}

/// State that the tasks of a distribution share.
#[derive(Debug)]
pub(super) struct Shared<S> {
    pub(super) ctx: Context,
    pub(super) store: S,
    chunks: Mutex<ChunkStore>,
    /// Notified when the held chunks or the known versions change.
    pub(super) changes: watch::Sender<()>,
    /// Manifest of the latest call of `ensure`.
    wanted: watch::Sender<Option<Digest>>,
    /// Manifests whose whole hash was checked against the chunks in the store.
    verified: Mutex<HashSet<Digest>>,
    /// Peers that sent corrupt content to this process.
    pub(super) corrupt: Mutex<HashSet<PeerId>>,
    /// Held by the copy in progress.
    running: tokio::sync::Mutex<()>,
    /// Manifest of the copy in progress.
    active: Mutex<Option<Digest>>,
    pub(super) slots: Slots,
    pub(super) up: Pacer,
    pub(super) down: Pacer,
    pub(super) counters: Counters,
}

impl<S> Shared<S> {
    pub(super) fn chunks(&self) -> MutexGuard<'_, ChunkStore> {
        lock(&self.chunks)
    }

    pub(super) fn down_rate(&self) -> Rate {
        let links = &self.ctx.settings.links;
        links.down.share(links.weights)
    }
}

/// Marks the copy in progress while it lives.
struct Active<'a>(&'a Mutex<Option<Digest>>);

impl<'a> Active<'a> {
    fn enter(active: &'a Mutex<Option<Digest>>, manifest: Digest) -> Self {
        *lock(active) = Some(manifest);
        Self(active)
    }
}

impl Drop for Active<'_> {
    fn drop(&mut self) {
        *lock(self.0) = None;
    }
}

/// Weights of one agent: chunks in memory, the copy in progress, and uploads to peers.
#[derive(Debug)]
pub struct Distribution<S = HttpPlatform> {
    shared: Arc<Shared<S>>,
}

impl Distribution {
    /// Starts with an empty store and the platform's weight store as origin.
    pub fn start(ctx: Context) -> Arc<Self> {
        let platform = ctx.platform.clone();
        Self::with_store(ctx, platform)
    }
}

impl<S: WeightStore> Distribution<S> {
    /// Starts with an empty store and another origin.
    pub fn with_store(ctx: Context, store: S) -> Arc<Self> {
        let links = ctx.settings.links;
        let counters = Counters::default();
        counters.register(&ctx.metrics);
        let pacer = |rate: Rate| Pacer::new(rate.share(links.weights), BURST, ctx.clock);
        Arc::new(Self {
            shared: Arc::new(Shared {
                store,
                chunks: Mutex::new(ChunkStore::new(links.memory)),
                changes: watch::Sender::new(()),
                wanted: watch::Sender::new(None),
                verified: Mutex::default(),
                corrupt: Mutex::default(),
                running: tokio::sync::Mutex::default(),
                active: Mutex::default(),
                slots: Slots::default(),
                up: pacer(links.up),
                down: pacer(links.down),
                counters,
                ctx,
            }),
        })
    }

    /// Fetches until every chunk and the whole hash hold.
    ///
    /// Dropping the future or calling with another manifest abandons the copy; its chunks stay in the store until
    /// [`Distribution::retain`] or until a later copy needs their memory.
    ///
    /// # Errors
    ///
    /// Returns [`WeightsError::Replaced`] if another manifest was asked for meanwhile, [`WeightsError::Memory`] if the
    /// version does not fit the memory budget, and other errors if the manifest cannot be used. Failures of peers and
    /// of the origin are retried without limit.
    pub async fn ensure(&self, manifest: Digest) -> Result<Complete, WeightsError> {
        let shared = &self.shared;
        let mut wanted = shared.wanted.subscribe();
        shared.wanted.send_replace(Some(manifest));
        tokio::select! {
            biased;
            _ = wanted.wait_for(|w| *w != Some(manifest)) => {
                emit!(COPY_REPLACED, "manifest {manifest}");
                Err(WeightsError::Replaced(manifest))
            }
            result = self.complete(manifest) => result,
        }
    }

    async fn complete(&self, manifest: Digest) -> Result<Complete, WeightsError> {
        let shared = &self.shared;
        let _running = shared.running.lock().await;
        let _active = Active::enter(&shared.active, manifest);
        loop {
            let version = run(shared, manifest).await?;
            // `retain` may have dropped the version meanwhile; then it is fetched again.
            let Some(chunks) = shared.chunks().assemble(&version) else {
                continue;
            };
            if !lock(&shared.verified).contains(&manifest) {
                let parts = chunks.clone();
                let hash = tokio::task::spawn_blocking(move || hash_parts(&parts)).await;
                if hash.ok() != Some(version.manifest.whole) {
                    return Err(WeightsError::Whole(manifest));
                }
                lock(&shared.verified).insert(manifest);
                emit!(COPY_COMPLETE, "version {}", version.manifest.version);
            }
            return Ok(Complete {
                version: version.manifest.version.clone(),
                whole: version.manifest.whole,
                chunks,
            });
        }
    }

    /// Answers [`Call::Have`] and [`Call::Chunk`]; other calls are dropped.
    pub async fn handle(&self, incoming: Incoming) {
        match incoming.open.call {
            Call::Have(have) => self.shared.serve_have(have, incoming.call).await,
            Call::Chunk(request) => self.shared.serve_chunk(request, incoming.call).await,
            _ => {}
        }
    }

    /// Returns the chunks held and needed of the version last asked for, once its manifest is known.
    pub fn progress(&self) -> Option<(u32, u32)> {
        let wanted = (*self.shared.wanted.borrow())?;
        let chunks = self.shared.chunks();
        let held = chunks.held(&wanted)?.count();
        Some((held, chunks.version(&wanted)?.len()))
    }

    /// Gives back the memory of versions that are neither named nor being copied.
    pub fn retain(&self, manifests: &[Digest]) {
        let active = *lock(&self.shared.active);
        let keep = |id: &Digest| manifests.contains(id) || active == Some(*id);
        self.shared.chunks().retain(keep);
        lock(&self.shared.verified).retain(keep);
        self.shared.changes.send_replace(());
    }

    /// Returns the bytes of weights in memory.
    pub fn used(&self) -> Size {
        self.shared.chunks().used()
    }

    /// Reads the counters of the exchange.
    pub fn totals(&self) -> Totals {
        self.shared.counters.totals()
    }
}

fn hash_parts(parts: &[Bytes]) -> Digest {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(part);
    }
    Digest(*hasher.finalize().as_bytes())
}
