//! Copy of one version's chunks to the endpoint on this host.

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
    exchange::PeerClient,
    inventory::{is_intact, ChunkInventory},
    log_event,
    peers::Peers,
    EndpointHost, HostError, Manifest, Origin,
};
use crate::{
    base::{Clock, Digest, HashMap, Millis, Rate, Size, SystemClock},
    decide::chunk::{Config, Event, Fault, PeerId, Requester, Scheduler, Source, Topology},
    emit,
    gateway::WeightVersion,
    net::Pacer,
    settings::Prefer,
    weights::{Driver, Fetched, Transfer},
};

/// Time without progress after which another host takes over a chunk; a link carries a chunk in a few tens of
/// milliseconds.
const STALL_TIMEOUT: Millis = Millis(900);

/// Longest time that the leader of a chunk waits at the start of a copy for the reports of its neighbours before it
/// fetches the chunk from the origin.
const START_GRACE: Millis = Millis(150);

/// Backoff after the first failure of a source; doubles with each failure up to [`BACKOFF_MAX`]. Short, because the
/// time until the desired version is enforced also elapses while the origin is unreachable. With 600 ms, the origin's link
/// stayed idle for longer after an outage: in the simulation half of 60 hosts were complete 0.1 to 0.3 s later.
const BACKOFF: Millis = Millis(150);
const BACKOFF_MAX: Millis = Millis(300);

/// Requests of one host in flight to the origin and to other regions. With 2, chunks that the origin sends at the same
/// time all arrive late: in the simulation half of 60 hosts were complete 0.3 s later. A region with few hosts needs 2, so
/// that the link is not idle between two requests: with 1 and seven hosts, the last chunk came more than 0.4 s later.
const ORIGIN_REQUESTS: usize = 1;
const ORIGIN_REQUESTS_FEW: usize = 2;

/// Number of other hosts in the region from which on their requests keep the origin's link busy, also while the last chunks
/// are fetched, of which some hosts have none to fetch.
const REQUESTERS_MIN: usize = ORIGIN_WINDOW;

/// Hosts of a region that seed chunks. They hold most chunks early and serve the others: in the simulation of 400 hosts in
/// three regions the first copies are complete 0.8 s earlier after an outage of the origin. With 8, their links limit the
/// copy of 20 hosts.
const LEADERS: usize = 14;

/// Chunks that the leaders on all hosts together fetch from the origin at once. All fetches share the origin's link,
/// and connections to the origin time out behind a long queue of chunks.
const ORIGIN_WINDOW: usize = 10;

/// Number of deliveries of one chunk that do not match the manifest after which the manifest is taken to be wrong.
const CORRUPT_MAX: u32 = 2;

/// Returns the hash key of a version from which neighbours and leaders of chunks are chosen.
pub(super) fn version_id(model: &str, version: WeightVersion) -> Digest {
    let mut id = Digest::of(model.as_bytes());
    id.0[..8].copy_from_slice(&version.0.to_le_bytes());
    id
}

/// Parameters and shared state of a copy.
#[derive(Clone, Debug)]
pub(super) struct CopyContext<H, O> {
    pub(super) host: H,
    pub(super) origin: O,
    pub(super) origin_addr: Option<SocketAddr>,
    pub(super) client: PeerClient,
    pub(super) inventory: Rc<ChunkInventory>,
    /// Whether another complete version waits at the endpoint for its load, so that chunks are buffered in memory.
    pub(super) staging_reserved: Rc<Cell<bool>>,
    pub(super) peers: Rc<RefCell<Rc<Peers>>>,
    /// Rate of the host's link in each direction.
    pub(super) link_rate: Rate,
    /// Limits downloads, so that a share of the link is left to the endpoint; `None` while the endpoint has not loaded
    /// the model and serves nothing.
    pub(super) pacer: Option<Rc<Pacer>>,
    pub(super) clock: SystemClock,
    pub(super) model: Rc<str>,
    pub(super) manifest: Rc<Manifest>,
    /// Whether the version was requested by its number, so that the manifest is not all that names it.
    pub(super) requested: bool,
    /// Whether the origin has repeated the manifest although chunks differ from it.
    pub(super) confirmed: bool,
}

impl<H, O> CopyContext<H, O> {
    /// Returns as what this host requests a chunk. Only neighbours, which are in its region, tell which chunks they hold;
    /// others are asked to wait for them.
    fn requester(&self, from: Source) -> Requester {
        let peers = self.peers.borrow();
        if !peers.is_local(from) {
            return Requester::Region;
        }
        let id = version_id(&self.model, self.manifest.version);
        if peers.topology.completes_first(&id) {
            Requester::First
        } else {
            Requester::Other
        }
    }
}

/// Chunk transfers of one copy to the endpoint on this host.
struct Copy<H, O> {
    ctx: CopyContext<H, O>,
    peers: Rc<Peers>,
    /// Number of deliveries that did not match the manifest, by chunk.
    corrupt: HashMap<u32, u32>,
}

/// Why a manifest is taken to be wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum WrongManifest {
    /// A chunk was received [`CORRUPT_MAX`] times with another digest or more bytes than the manifest names, or the origin
    /// does not know the version.
    #[error("chunk {0} did not match the manifest {CORRUPT_MAX} times; read the manifest again")]
    Chunk(u32),
    /// A chunk with the manifest's digest has another size.
    #[error("chunk {0} has the manifest's digest and {1}; read the manifest again")]
    Size(u32, Size),
}

/// Copies all chunks of a version that are not held.
///
/// # Errors
///
/// Returns an error if chunks show that the manifest is wrong.
pub(super) async fn copy<H: EndpointHost, O: Origin>(
    ctx: CopyContext<H, O>,
) -> Result<(), WrongManifest> {
    let manifest = ctx.manifest.clone();
    let peers = ctx.peers.borrow().clone();
    let mut config = Config::new(Prefer::Origin, manifest.chunk, ctx.link_rate);
    config.stall_timeout = STALL_TIMEOUT;
    config.report_wait = START_GRACE;
    config.backoff = BACKOFF;
    config.backoff_max = BACKOFF_MAX;
    config.seed_window = ORIGIN_WINDOW;
    config.leaders = LEADERS;
    config.origin_requests = if peers.topology.local_count() < REQUESTERS_MIN {
        ORIGIN_REQUESTS_FEW
    } else {
        ORIGIN_REQUESTS
    };
    let mut scheduler = Scheduler::new(
        config,
        version_id(&ctx.model, manifest.version),
        manifest.digests.clone(),
        peers.topology.clone(),
        fastrand::u64(..),
    );
    for chunk in ctx.inventory.held(&ctx.model, manifest.version) {
        scheduler.handle(ctx.clock.now(), Event::Held(chunk));
    }
    let copy = Copy {
        ctx,
        peers,
        corrupt: HashMap::default(),
    };
    Driver::new(copy, scheduler).run().await
}

impl<H: EndpointHost, O: Origin> Transfer for Copy<H, O> {
    /// Size of the chunk.
    type Content = Size;
    type Error = WrongManifest;

    const REFRESH: Millis = Millis(300);

    fn now(&self) -> Millis {
        self.ctx.clock.now()
    }

    fn refresh(&mut self) -> Option<Topology> {
        let peers = self.ctx.peers.borrow().clone();
        if Rc::ptr_eq(&peers, &self.peers) {
            return None;
        }
        self.peers = peers;
        Some(self.peers.topology.clone())
    }

    fn fetch(&self, tasks: &mut JoinSet<Fetched<Size>>, chunk: u32, from: Source) -> AbortHandle {
        let addr = match from {
            Source::Origin => self.ctx.origin_addr,
            Source::Peer(id) => self.peers.addr(id),
        };
        let ctx = self.ctx.clone();
        tasks.spawn_local(async move {
            let result = fetch(&ctx, chunk, from, addr).await;
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
        let addr = self.peers.addr(id)?;
        Some(tasks.spawn_local(follow_peer(self.ctx.clone(), id, addr, events)))
    }

    fn note_known(&self, known: u32) {
        let (model, version) = (&self.ctx.model, self.ctx.manifest.version);
        self.ctx.inventory.set_known(model, version, known);
    }

    fn finish(
        &mut self,
        scheduler: &mut Scheduler,
        done: Fetched<Size>,
    ) -> Result<(), WrongManifest> {
        let (chunk, from, now) = (done.chunk, done.from, self.now());
        let (model, version) = (&self.ctx.model, self.ctx.manifest.version);
        let fault = match done.result {
            Ok(size) => {
                self.ctx.inventory.insert(model, version, chunk);
                scheduler.handle(now, Event::Arrived(chunk, from));
                if size != self.ctx.manifest.chunk && !self.ctx.confirmed {
                    return Err(WrongManifest::Size(chunk, size));
                }
                return Ok(());
            }
            Err(fault) => fault,
        };
        emit!(
            log_event::CHUNK,
            "model={model} version={version} chunk={chunk} source={from:?} outcome={fault:?}"
        );
        scheduler.handle(now, Event::Failed(chunk, from, fault));
        if fault == Fault::Corrupt {
            let count = self.corrupt.entry(chunk).or_default();
            *count += 1;
            if *count >= CORRUPT_MAX {
                return Err(WrongManifest::Chunk(chunk));
            }
        }
        Ok(())
    }
}

/// Returns what a failed request to the origin says of the chunk.
fn origin_fault(e: &HostError, requested: bool) -> Fault {
    match e {
        HostError::TooLarge(_) => Fault::Corrupt,
        // The manifest may name a version that does not exist.
        HostError::Refused(_) if !requested => Fault::Corrupt,
        _ => Fault::Lost,
    }
}

/// Fetches a chunk, checks its digest and stages it, or buffers it in memory until it can be staged. Returns its size.
async fn fetch<H: EndpointHost, O: Origin>(
    ctx: &CopyContext<H, O>,
    chunk: u32,
    from: Source,
    addr: Option<SocketAddr>,
) -> Result<Size, Fault> {
    let addr = addr.ok_or(Fault::Lost)?;
    if let Some(pacer) = &ctx.pacer {
        let bytes = ctx.manifest.chunk.0 as usize;
        if ctx.peers.borrow().is_local(from) {
            pacer.acquire(bytes).await;
        } else {
            // Charged without a wait, because many hosts wait for a chunk that this one fetches into the region.
            pacer.charge(bytes);
        }
    }
    let version = ctx.manifest.version;
    let digest = &ctx.manifest.digests[chunk as usize];
    let data: Bytes = match from {
        Source::Peer(_) => {
            let client = &ctx.client;
            let requester = ctx.requester(from);
            client
                .chunk(addr, &ctx.model, &ctx.manifest, chunk, requester)
                .await?
        }
        Source::Origin => {
            let size = ctx.manifest.chunk;
            let origin = &ctx.origin;
            let data = origin.chunk(addr, &ctx.model, version, chunk, size).await;
            let data = data.map_err(|e| {
                emit!(log_event::ORIGIN, "chunk={chunk} reason=\"{e}\"");
                origin_fault(&e, ctx.requested)
            })?;
            if !is_intact(&data, digest) {
                return Err(Fault::Corrupt);
            }
            data
        }
    };
    let size = Size(data.len() as u64);
    if ctx.staging_reserved.get() {
        ctx.inventory.buffer(&ctx.model, version, chunk, data);
        return Ok(size);
    }
    ctx.inventory.read_kept(&ctx.host, &ctx.model, chunk).await;
    if ctx.staging_reserved.get() {
        // The load of another version became due during the read.
        ctx.inventory.buffer(&ctx.model, version, chunk, data);
        return Ok(size);
    }
    ctx.inventory.replace_staged(chunk);
    if let Err(e) = ctx.host.stage(&ctx.model, chunk, data.clone()).await {
        // The endpoint may not have started yet.
        log::debug!("chunk {chunk} cannot be staged yet: {e}");
        ctx.inventory.buffer(&ctx.model, version, chunk, data);
    }
    Ok(size)
}

/// Reports the chunks of a neighbour to the scheduler until the neighbour does not respond.
async fn follow_peer<H: EndpointHost, O: Origin>(
    ctx: CopyContext<H, O>,
    id: PeerId,
    addr: SocketAddr,
    events: mpsc::Sender<Event>,
) {
    let mut from = 0;
    let version = ctx.manifest.version;
    while let Some(chunks) = ctx.client.have(addr, &ctx.model, version, from).await {
        let first = from == 0;
        from += chunks.len();
        if (first || !chunks.is_empty()) && events.send(Event::Has(id, chunks)).await.is_err() {
            return;
        }
    }
    // Sending fails only if the copy has ended and dropped the receiver.
    let _ = events.send(Event::Gone(id)).await;
}
