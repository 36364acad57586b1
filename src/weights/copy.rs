//! The copy of one manifest.

use std::{convert::Infallible, sync::Arc};

use bytes::Bytes;
use tokio::{
    sync::mpsc,
    task::{AbortHandle, JoinSet},
};

use super::{
    distribution::Shared,
    driver::{Driver, Fetched, Transfer},
    fetch::Content,
    hosts::{crossing, settings, Peers},
    Version, WeightsError,
};
use crate::{
    backing::WeightStore,
    base::{lock, Clock, Digest, Millis, Rate},
    decide::chunk::{Bitmap, Config, Event, Fault, PeerId, Scheduler, Source, Topology},
    wire::{Call, Have, HaveUpdate},
};

/// Longest time between two updates of a subscription.
const HAVE_INTERVAL: Millis = Millis(500);

/// Time without an update after which a subscription counts as lost.
const HAVE_TIMEOUT: Millis = Millis(2000);

/// Largest update in bytes; a manifest of 4 MiB names at most 65,536 chunks.
const UPDATE_MAX: usize = 64 << 10;

/// Time between two attempts to get a manifest; doubles up to the longest one.
const MANIFEST_RETRY: Millis = Millis(20);
const MANIFEST_RETRY_MAX: Millis = Millis(500);

/// Time after which the next rank fetches the manifest into the region.
const MANIFEST_STALL: Millis = Millis(2000);

/// Fetches all chunks of a manifest.
pub(super) async fn run<S: WeightStore>(
    shared: &Arc<Shared<S>>,
    manifest: Digest,
) -> Result<Arc<Version>, WeightsError> {
    let known = shared.chunks().version(&manifest);
    let version = match known {
        Some(version) => version,
        None => obtain(shared, manifest).await?,
    };
    shared.chunks().admit(version.clone())?;
    shared.changes.send_replace(());
    match Copy::driver(shared, version.clone()).run().await {
        Ok(()) => Ok(version),
    }
}

/// Gets a manifest: the leader of the region brings it in, the others ask along a tree.
async fn obtain<S: WeightStore>(
    shared: &Arc<Shared<S>>,
    id: Digest,
) -> Result<Arc<Version>, WeightsError> {
    let start = shared.ctx.clock.now();
    let mut retry = MANIFEST_RETRY;
    for attempt in 0.. {
        let peers = Peers::read(&shared.ctx);
        let source = manifest_source(&peers, &id, attempt, shared.ctx.clock.now() - start);
        let result = match source {
            Some(source) => shared.fetch(Content::Manifest(id), source, &peers).await,
            None => Err(Fault::Missing),
        };
        match (result, source) {
            (Ok(data), _) => return Ok(Arc::new(Version::decode(data, id)?)),
            (Err(Fault::Corrupt), Some(Source::Peer(peer))) => {
                lock(&shared.corrupt).insert(peer);
            }
            _ => {}
        }
        tokio::time::sleep(retry.duration()).await;
        retry = retry.times(2).min(MANIFEST_RETRY_MAX);
    }
    unreachable!("the loop has no end")
}

/// Chooses whom to ask for a manifest at an attempt.
fn manifest_source(peers: &Peers, id: &Digest, attempt: usize, waited: Millis) -> Option<Source> {
    let topology = &peers.topology;
    let leads = waited >= MANIFEST_STALL.times(topology.rank(id) as u64);
    if leads && attempt.is_multiple_of(2) {
        let sources = topology.sources(id, 3);
        let source = sources.get(attempt / 2 % sources.len().max(1)).copied();
        return Some(source.map_or(Source::Origin, Source::Peer));
    }
    if attempt % 4 == 3 {
        let any = topology.neighbours(id, &Default::default());
        return any
            .get(fastrand::usize(0..any.len().max(1)))
            .copied()
            .map(Source::Peer);
    }
    topology.parent(id).map(Source::Peer)
}

/// Transfers of a copy between agents.
struct Copy<S> {
    shared: Arc<Shared<S>>,
    version: Arc<Version>,
    peers: Arc<Peers>,
}

impl<S: WeightStore> Copy<S> {
    fn driver(shared: &Arc<Shared<S>>, version: Arc<Version>) -> Driver<Self> {
        let now = shared.ctx.clock.now();
        let peers = Arc::new(Peers::read(&shared.ctx));
        let weights = settings(&shared.ctx);
        let mut config = Config::new(weights.prefer, version.manifest.chunk, shared.down_rate());
        config.cross_region = Some(crossing(&weights)).filter(|r| *r > Rate(0));
        let mut scheduler = Scheduler::new(
            config,
            version.id,
            version.manifest.chunks.clone(),
            peers.topology.clone(),
            fastrand::u64(..),
        );
        for &peer in &*lock(&shared.corrupt) {
            scheduler.avoid(now, peer);
        }
        let held = shared.chunks().held(&version.id).cloned();
        for chunk in held.iter().flat_map(Bitmap::iter) {
            scheduler.handle(now, Event::Held(chunk));
        }
        let copy = Self {
            shared: shared.clone(),
            version,
            peers,
        };
        Driver::new(copy, scheduler)
    }
}

impl<S: WeightStore> Transfer for Copy<S> {
    type Content = Bytes;
    type Error = Infallible;

    const REFRESH: Millis = Millis(500);

    fn now(&self) -> Millis {
        self.shared.ctx.clock.now()
    }

    fn refresh(&mut self) -> Option<Topology> {
        let peers = self.peers.refresh(&self.shared.ctx)?;
        let topology = peers.topology.clone();
        self.peers = Arc::new(peers);
        Some(topology)
    }

    fn fetch(&self, tasks: &mut JoinSet<Fetched<Bytes>>, chunk: u32, from: Source) -> AbortHandle {
        let (shared, peers) = (self.shared.clone(), self.peers.clone());
        let manifest = &self.version.manifest;
        let id = manifest.chunks[chunk as usize];
        let content = Content::Chunk(id, manifest.chunk_size(chunk as usize));
        tasks.spawn(async move {
            let result = shared.fetch(content, from, &peers).await;
            Fetched {
                chunk,
                from,
                result,
            }
        })
    }

    fn subscribe(
        &self,
        tasks: &mut JoinSet<()>,
        id: PeerId,
        events: mpsc::Sender<Event>,
    ) -> Option<AbortHandle> {
        let addr = self.peers.host(id)?.peer;
        let (shared, version) = (self.shared.clone(), self.version.clone());
        Some(tasks.spawn(follow(shared, id, addr, version, events)))
    }

    fn finish(
        &mut self,
        scheduler: &mut Scheduler,
        done: Fetched<Bytes>,
    ) -> Result<(), Infallible> {
        let (chunk, from, now) = (done.chunk, done.from, self.now());
        let data = match done.result {
            Ok(data) => data,
            Err(fault) => {
                if let (Fault::Corrupt, Source::Peer(peer)) = (fault, from) {
                    lock(&self.shared.corrupt).insert(peer);
                }
                scheduler.handle(now, Event::Failed(chunk, from, fault));
                return Ok(());
            }
        };
        if scheduler.held().contains(chunk) {
            self.shared.counters.duplicate_chunks.inc();
        }
        let id = self.version.manifest.chunks[chunk as usize];
        self.shared.chunks().insert(id, data);
        self.shared.changes.send_replace(());
        scheduler.handle(now, Event::Arrived(chunk, from));
        for &same in self.version.positions(&id) {
            scheduler.handle(now, Event::Held(same));
        }
        Ok(())
    }
}

/// Passes a neighbour's updates to the scheduler until the subscription ends.
async fn follow<S: WeightStore>(
    shared: Arc<Shared<S>>,
    id: PeerId,
    addr: std::net::SocketAddr,
    version: Arc<Version>,
    updates: mpsc::Sender<Event>,
) {
    let have = Have {
        manifest: version.id,
        interval: HAVE_INTERVAL,
    };
    let open = shared.ctx.open(Call::Have(have));
    match shared.ctx.transport.call(addr, &open).await {
        Ok(mut call) => {
            for count in 0.. {
                let update = call.rx.next(UPDATE_MAX, HAVE_TIMEOUT).await;
                let chunks: Vec<u32> = match update {
                    Ok(HaveUpdate::All(bits)) => {
                        Bitmap::from_bytes(&bits, version.len()).iter().collect()
                    }
                    Ok(HaveUpdate::Added(chunks)) => chunks,
                    Err(e) => {
                        log::debug!("the subscription to {addr} ended: {e}");
                        break;
                    }
                };
                let useful = count == 0 || !chunks.is_empty();
                if useful && updates.send(Event::Has(id, chunks)).await.is_err() {
                    return;
                }
            }
        }
        Err(e) => log::debug!("no subscription to {addr}: {e}"),
    }
    // The receiver is dropped when the copy ends.
    let _ = updates.send(Event::Gone(id)).await;
}
