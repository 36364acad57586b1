//! The copy of one manifest: drives the scheduler.

use std::sync::Arc;

use bytes::Bytes;
use tokio::{
    sync::mpsc,
    task::{AbortHandle, JoinSet},
};

use super::{
    distribution::Shared,
    fetch::Content,
    hosts::{crossing, settings, Peers},
    Version, WeightsError,
};
use crate::{
    backing::WeightStore,
    base::{lock, Clock, Digest, HashMap, Millis, Rate},
    decide::chunk::{Action, Bitmap, Config, Event, Fault, PeerId, Scheduler, Source},
    wire::{Call, Have, HaveUpdate},
};

/// Time between two looks at the host list.
const REFRESH: Millis = Millis(500);

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

/// Updates that wait for the scheduler; a subscription pauses when they are not taken.
const UPDATES: usize = 64;

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
    let mut copy = Copy::new(shared, version.clone());
    copy.run().await;
    Ok(version)
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

/// Result of a fetch task.
struct Fetched {
    chunk: u32,
    from: Source,
    result: Result<Bytes, Fault>,
}

/// State of a copy; dropping it ends all its tasks.
struct Copy<S> {
    shared: Arc<Shared<S>>,
    version: Arc<Version>,
    peers: Arc<Peers>,
    scheduler: Scheduler,
    fetches: JoinSet<Fetched>,
    /// Handles of `fetches`.
    running: HashMap<(u32, Source), AbortHandle>,
    subscriptions: JoinSet<()>,
    /// Handles of `subscriptions`.
    following: HashMap<PeerId, AbortHandle>,
    updates: (mpsc::Sender<Event>, mpsc::Receiver<Event>),
}

impl<S: WeightStore> Copy<S> {
    fn new(shared: &Arc<Shared<S>>, version: Arc<Version>) -> Self {
        let now = shared.ctx.clock.now();
        let peers = Arc::new(Peers::read(&shared.ctx));
        let weights = settings(&shared.ctx);
        let mut config = Config::new(weights.prefer, version.manifest.chunk, shared.down_rate());
        config.crossing = Some(crossing(&weights)).filter(|r| *r > Rate(0));
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
        Self {
            shared: shared.clone(),
            version,
            peers,
            scheduler,
            fetches: JoinSet::new(),
            running: HashMap::default(),
            subscriptions: JoinSet::new(),
            following: HashMap::default(),
            updates: mpsc::channel(UPDATES),
        }
    }

    fn now(&self) -> Millis {
        self.shared.ctx.clock.now()
    }

    async fn run(&mut self) {
        loop {
            let Some(wake) = self.act() else {
                return;
            };
            self.subscribe();
            let wait = (wake - self.now()).min(REFRESH);
            tokio::select! {
                Some(event) = self.updates.1.recv() => {
                    self.take(event);
                    while let Ok(event) = self.updates.1.try_recv() {
                        self.take(event);
                    }
                }
                Some(done) = self.fetches.join_next() => {
                    // Aborted tasks were cancelled by the scheduler, which expects no event for them.
                    if let Ok(done) = done {
                        self.finish(done);
                    }
                }
                () = tokio::time::sleep(wait.duration()) => {}
            }
            if let Some(peers) = self.peers.refresh(&self.shared.ctx) {
                let topology = peers.topology.clone();
                self.peers = Arc::new(peers);
                self.take(Event::Members(topology));
            }
        }
    }

    fn take(&mut self, event: Event) {
        if let Event::Gone(peer) = event {
            self.following.remove(&peer);
        }
        self.scheduler.handle(self.now(), event);
    }

    /// Does what the scheduler decides; returns the time of its next decision, or `None` when all chunks are held.
    fn act(&mut self) -> Option<Millis> {
        loop {
            match self.scheduler.poll(self.now()) {
                Action::Fetch(chunk, from) => self.fetch(chunk, from),
                Action::Cancel(chunk, from) => {
                    if let Some(task) = self.running.remove(&(chunk, from)) {
                        task.abort();
                    }
                }
                Action::Wait(at) => return Some(at),
                Action::Done => return None,
            }
        }
    }

    fn fetch(&mut self, chunk: u32, from: Source) {
        let (shared, peers) = (self.shared.clone(), self.peers.clone());
        let manifest = &self.version.manifest;
        let id = manifest.chunks[chunk as usize];
        let content = Content::Chunk(id, manifest.chunk_size(chunk as usize));
        let task = self.fetches.spawn(async move {
            let result = shared.fetch(content, from, &peers).await;
            Fetched {
                chunk,
                from,
                result,
            }
        });
        self.running.insert((chunk, from), task);
    }

    fn finish(&mut self, done: Fetched) {
        let (chunk, from) = (done.chunk, done.from);
        if self.running.remove(&(chunk, from)).is_none() {
            return;
        }
        let now = self.now();
        let data = match done.result {
            Ok(data) => data,
            Err(fault) => {
                if let (Fault::Corrupt, Source::Peer(peer)) = (fault, from) {
                    lock(&self.shared.corrupt).insert(peer);
                }
                let event = Event::Failed(chunk, from, fault);
                return self.scheduler.handle(now, event);
            }
        };
        if self.scheduler.held().contains(chunk) {
            self.shared.counters.duplicate_chunks.inc();
        }
        let id = self.version.manifest.chunks[chunk as usize];
        self.shared.chunks().insert(id, data);
        self.shared.changes.send_replace(());
        self.scheduler.handle(now, Event::Arrived(chunk, from));
        for &same in self.version.positions(&id) {
            self.scheduler.handle(now, Event::Held(same));
        }
    }

    /// Keeps one subscription to each neighbour.
    fn subscribe(&mut self) {
        let wanted: Vec<_> = self.scheduler.neighbours().collect();
        self.following.retain(|id, task| {
            let keep = wanted.contains(id);
            if !keep {
                task.abort();
            }
            keep
        });
        while self.subscriptions.try_join_next().is_some() {}
        for id in wanted {
            let Some(host) = self.peers.host(id) else {
                continue;
            };
            if self.following.contains_key(&id) {
                continue;
            }
            let task = follow(
                self.shared.clone(),
                id,
                host.peer,
                self.version.clone(),
                self.updates.0.clone(),
            );
            let task = self.subscriptions.spawn(task);
            self.following.insert(id, task);
        }
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
