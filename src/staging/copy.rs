//! The copy of one version: drives the scheduler of chunks.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
};

use bytes::Bytes;
use tokio::{
    sync::mpsc,
    task::{AbortHandle, JoinSet},
};

use super::{
    exchange::Client,
    holdings::{is_intact, Holdings},
    log_event,
    peers::Peers,
    EndpointHost, Manifest, Origin,
};
use crate::{
    base::{Clock, Digest, HashMap, Millis, Rate, SystemClock},
    decide::chunk::{Action, Config, Event, Fault, PeerId, Scheduler, Source},
    emit,
    gateway::WeightVersion,
    net::Pacer,
    settings::Prefer,
};

/// Time between two looks at the list of hosts.
const REFRESH: Millis = Millis(300);

/// Time without progress after which another host takes over a chunk; links carry one in a few tens of milliseconds.
const STALL: Millis = Millis(900);

/// Longest time that leaders wait at the start for reports of their neighbours.
const GRACE: Millis = Millis(150);

/// Time for which a failed source is not asked again; doubles up to the longest. Short, because the bound on old versions
/// runs on while the origin is away.
const BACKOFF: Millis = Millis(150);
const BACKOFF_MAX: Millis = Millis(600);

/// Chunks that leaders of all hosts fetch from the origin at once. All share its link, and connections to it time out
/// behind a long queue of chunks.
const WINDOW: usize = 10;

/// Times that a chunk may arrive with another digest before the manifest is taken to be wrong.
const CORRUPT_MAX: u32 = 2;

/// News that waits for the scheduler.
const NEWS: usize = 64;

/// Returns the key of a version for the choice of neighbours and leaders.
pub(super) fn version_id(model: &str, version: WeightVersion) -> Digest {
    let mut id = Digest::of(model.as_bytes());
    id.0[..8].copy_from_slice(&version.0.to_le_bytes());
    id
}

/// What a copy needs.
#[derive(Clone, Debug)]
pub(super) struct CopyContext<H, O> {
    pub(super) host: H,
    pub(super) origin: O,
    pub(super) origin_addr: Option<SocketAddr>,
    pub(super) client: Client,
    pub(super) holdings: Rc<Holdings>,
    /// Whether the endpoint still keeps another version for its load, so that chunks are kept in memory.
    pub(super) occupied: Rc<Cell<bool>>,
    pub(super) peers: Rc<RefCell<Rc<Peers>>>,
    pub(super) down: Rate,
    /// Leaves a share of the link to the endpoint; `None` if it serves nothing yet.
    pub(super) pacer: Option<Rc<Pacer>>,
    pub(super) clock: SystemClock,
    pub(super) model: Rc<str>,
    pub(super) manifest: Rc<Manifest>,
}

struct Fetched {
    chunk: u32,
    from: Source,
    result: Result<(), Fault>,
}

/// State of a copy; dropping it ends all its tasks.
struct Copy<H, O> {
    ctx: CopyContext<H, O>,
    peers: Rc<Peers>,
    scheduler: Scheduler,
    fetches: JoinSet<Fetched>,
    running: HashMap<(u32, Source), AbortHandle>,
    subscriptions: JoinSet<()>,
    following: HashMap<PeerId, AbortHandle>,
    news: (mpsc::Sender<Event>, mpsc::Receiver<Event>),
    /// Times that each chunk arrived with another digest.
    corrupt: HashMap<u32, u32>,
}

/// The digests of the manifest match no source.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("chunk {0} arrives with another digest from every source; read the manifest again")]
pub(super) struct WrongManifest(u32);

/// Copies all chunks of a version that are not held.
///
/// # Errors
///
/// Returns an error if the manifest seems to be wrong.
pub(super) async fn copy<H: EndpointHost, O: Origin>(
    ctx: CopyContext<H, O>,
) -> Result<(), WrongManifest> {
    let manifest = ctx.manifest.clone();
    let peers = ctx.peers.borrow().clone();
    let mut config = Config::new(Prefer::Origin, manifest.chunk, ctx.down);
    config.stall = STALL;
    config.grace = GRACE;
    config.backoff = BACKOFF;
    config.backoff_max = BACKOFF_MAX;
    config.window = WINDOW;
    let mut scheduler = Scheduler::new(
        config,
        version_id(&ctx.model, manifest.version),
        manifest.digests.clone(),
        peers.topology.clone(),
        fastrand::u64(..),
    );
    for chunk in ctx.holdings.held(&ctx.model, manifest.version) {
        scheduler.handle(ctx.clock.now(), Event::Held(chunk));
    }
    let copy = Copy {
        ctx,
        peers,
        scheduler,
        fetches: JoinSet::new(),
        running: HashMap::default(),
        subscriptions: JoinSet::new(),
        following: HashMap::default(),
        news: mpsc::channel(NEWS),
        corrupt: HashMap::default(),
    };
    copy.run().await
}

impl<H: EndpointHost, O: Origin> Copy<H, O> {
    fn now(&self) -> Millis {
        self.ctx.clock.now()
    }

    async fn run(mut self) -> Result<(), WrongManifest> {
        while let Some(wake) = self.act() {
            self.subscribe();
            let wait = (wake - self.now()).min(REFRESH);
            tokio::select! {
                Some(event) = self.news.1.recv() => {
                    self.take(event);
                    while let Ok(event) = self.news.1.try_recv() {
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
            let wrong = self.corrupt.iter().find(|(_, n)| **n >= CORRUPT_MAX);
            if let Some((chunk, _)) = wrong {
                return Err(WrongManifest(*chunk));
            }
            self.refresh();
        }
        Ok(())
    }

    /// Takes over a changed list of hosts.
    fn refresh(&mut self) {
        let peers = self.ctx.peers.borrow().clone();
        if Rc::ptr_eq(&peers, &self.peers) {
            return;
        }
        let topology = peers.topology.clone();
        self.peers = peers;
        self.take(Event::Members(topology));
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
        let addr = match from {
            Source::Origin => self.ctx.origin_addr,
            Source::Peer(id) => self.peers.addr(id),
        };
        let ctx = self.ctx.clone();
        let task = self.fetches.spawn_local(async move {
            let result = fetch(&ctx, chunk, from, addr).await;
            Fetched {
                chunk,
                from,
                result,
            }
        });
        self.running.insert((chunk, from), task);
    }

    fn finish(&mut self, done: Fetched) {
        if self.running.remove(&(done.chunk, done.from)).is_none() {
            return;
        }
        let event = match done.result {
            Ok(()) => {
                let version = self.ctx.manifest.version;
                self.ctx
                    .holdings
                    .insert(&self.ctx.model, version, done.chunk);
                Event::Arrived(done.chunk, done.from)
            }
            Err(fault) => {
                emit!(
                    log_event::CHUNK,
                    "model={} version={} chunk={} source={:?} outcome={fault:?}",
                    self.ctx.model,
                    self.ctx.manifest.version,
                    done.chunk,
                    done.from
                );
                if fault == Fault::Corrupt {
                    *self.corrupt.entry(done.chunk).or_default() += 1;
                }
                Event::Failed(done.chunk, done.from, fault)
            }
        };
        self.scheduler.handle(self.now(), event);
    }

    /// Keeps asking each neighbour for news.
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
            let Some(addr) = self.peers.addr(id) else {
                continue;
            };
            if self.following.contains_key(&id) {
                continue;
            }
            let task = follow(self.ctx.clone(), id, addr, self.news.0.clone());
            let task = self.subscriptions.spawn_local(task);
            self.following.insert(id, task);
        }
    }
}

/// Fetches a chunk, checks it and stages it, or keeps it until it can be staged.
async fn fetch<H: EndpointHost, O: Origin>(
    ctx: &CopyContext<H, O>,
    chunk: u32,
    from: Source,
    addr: Option<SocketAddr>,
) -> Result<(), Fault> {
    let addr = addr.ok_or(Fault::Lost)?;
    if let Some(pacer) = &ctx.pacer {
        pacer.acquire(ctx.manifest.chunk.0 as usize).await;
    }
    let version = ctx.manifest.version;
    let digest = &ctx.manifest.digests[chunk as usize];
    let data: Bytes = match from {
        Source::Peer(_) => {
            let client = &ctx.client;
            client
                .chunk(addr, &ctx.model, version, chunk, digest)
                .await?
        }
        Source::Origin => {
            let data = ctx.origin.chunk(addr, &ctx.model, version, chunk).await;
            let data = data.map_err(|e| {
                emit!(log_event::ORIGIN, "chunk={chunk} reason=\"{e}\"");
                Fault::Lost
            })?;
            if !is_intact(&data, digest) {
                return Err(Fault::Corrupt);
            }
            data
        }
    };
    if ctx.occupied.get() {
        ctx.holdings.keep(&ctx.model, version, chunk, data);
        return Ok(());
    }
    if let Err(e) = ctx.host.stage(&ctx.model, chunk, data.clone()).await {
        // The endpoint may not be up yet.
        log::debug!("chunk {chunk} cannot be staged yet: {e}");
        ctx.holdings.keep(&ctx.model, version, chunk, data);
    }
    Ok(())
}

/// Passes a neighbour's news to the scheduler until it does not answer.
async fn follow<H: EndpointHost, O: Origin>(
    ctx: CopyContext<H, O>,
    id: PeerId,
    addr: SocketAddr,
    news: mpsc::Sender<Event>,
) {
    let mut from = 0;
    let version = ctx.manifest.version;
    while let Some(chunks) = ctx.client.have(addr, &ctx.model, version, from).await {
        let first = from == 0;
        from += chunks.len();
        if (first || !chunks.is_empty()) && news.send(Event::Has(id, chunks)).await.is_err() {
            return;
        }
    }
    // The receiver is dropped when the copy ends.
    let _ = news.send(Event::Gone(id)).await;
}
