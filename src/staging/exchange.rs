//! Server and client for chunks and manifests that agents of different hosts fetch from each other.

use std::{net::SocketAddr, rc::Rc};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{body::Incoming, Request, Response, StatusCode};

use super::{
    inventory::{is_intact, ChunkInventory, HeldVersion},
    log_event,
    uploads::Uploads,
    EndpointHost, Manifest,
};
use crate::{
    base::{Clock, Millis, Percent, Rate, Size, SystemClock},
    decide::chunk::{uploads_max, Fault, Requester},
    emit,
    gateway::WeightVersion,
    http::{get, CallError, CallLimit, Pool},
};

/// Share of the host's link that chunk transfers may take in each direction. The endpoint's responses use the same link
/// and are delayed by a chunk that is being sent.
pub(super) const LINK_SHARE: Percent = Percent(88);

/// Longest wait of a long poll for new chunks or a manifest.
const LONG_POLL: Millis = Millis(500);

/// Delay after the first new chunk in which further ones are collected into the same response.
const BATCH_DELAY: Millis = Millis(15);

/// Longest wait for a chunk that another region requests before this host holds it. Hosts of other regions do not follow
/// this host's list of chunks; without the wait they ask again each 100 ms while no host holds the chunk.
const CHUNK_WAIT: Millis = Millis(500);

/// Last segment of the path of a request that waits for its chunk; builds that do not know it respond at once.
const WAIT_SEGMENT: &str = "wait";

/// Last segment of the path of a request from a host that completes its copy before others of its zone; builds that do not
/// know it send the chunk in the order of the requests.
const FIRST_SEGMENT: &str = "first";

/// First segment of the path of a request for the versions that a host holds; builds that do not know it respond with 404.
const VERSIONS: &str = "versions";

/// Time limit of a request beyond the wait of the long poll.
const RESPONSE_TIMEOUT: Millis = Millis(700);

/// Time limit of the transfer of one chunk.
pub(super) const TRANSFER_TIMEOUT: Millis = Millis(2500);

/// Serves the chunks and the manifest of this host to agents of other hosts.
#[derive(Clone, Debug)]
pub(super) struct ChunkServer<H> {
    pub(super) host: H,
    pub(super) inventory: Rc<ChunkInventory>,
    pub(super) uploads: Rc<Uploads>,
    /// Rate at which chunks are uploaded.
    pub(super) rate: Rate,
}

/// Request of another host's agent.
enum PeerRequest<'a> {
    /// Indexes of the chunks after a position in the order of arrival.
    Have(&'a str, WeightVersion, usize),
    /// Content of the chunk with an index; a host of another region waits for it.
    Chunk(&'a str, WeightVersion, u32, Requester),
    /// Manifest of a version.
    Manifest(&'a str, WeightVersion),
    /// Versions of a model of which chunks are held.
    Versions(&'a str),
}

fn parse(path: &str) -> Option<PeerRequest<'_>> {
    let mut parts = path.strip_prefix('/')?.split('/');
    let kind = parts.next()?;
    let model = parts.next()?;
    if kind == VERSIONS {
        return Some(PeerRequest::Versions(model));
    }
    let version = WeightVersion(parts.next()?.parse().ok()?);
    if kind == "manifest" {
        return Some(PeerRequest::Manifest(model, version));
    }
    let number = parts.next()?;
    match kind {
        "have" => Some(PeerRequest::Have(model, version, number.parse().ok()?)),
        "chunk" => {
            let requester = match parts.next() {
                Some(WAIT_SEGMENT) => Requester::Region,
                Some(FIRST_SEGMENT) => Requester::First,
                _ => Requester::Other,
            };
            let chunk = number.parse().ok()?;
            Some(PeerRequest::Chunk(model, version, chunk, requester))
        }
        _ => None,
    }
}

fn respond(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut res = Response::new(Full::new(body));
    *res.status_mut() = status;
    res
}

impl<H: EndpointHost> ChunkServer<H> {
    /// Responds to a request of another host.
    pub(super) async fn handle(self, req: Request<Incoming>) -> Response<Full<Bytes>> {
        match parse(req.uri().path()) {
            Some(PeerRequest::Have(model, version, from)) => self.have(model, version, from).await,
            Some(PeerRequest::Chunk(model, version, chunk, requester)) => {
                if requester == Requester::Region {
                    self.wait_for_chunk(model, version, chunk).await;
                }
                self.chunk(model, version, chunk, requester).await
            }
            Some(PeerRequest::Manifest(model, version)) => self.manifest(model, version).await,
            Some(PeerRequest::Versions(model)) => {
                match postcard::to_stdvec(&self.inventory.versions(model)) {
                    Ok(data) => respond(StatusCode::OK, data.into()),
                    Err(e) => {
                        log::warn!("cannot encode the list of versions: {e}");
                        respond(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
                    }
                }
            }
            None => respond(StatusCode::NOT_FOUND, Bytes::new()),
        }
    }

    /// Responds with the manifest of a version; waits up to [`LONG_POLL`] if this host does not have it yet.
    async fn manifest(&self, model: &str, version: WeightVersion) -> Response<Full<Bytes>> {
        let wait = async {
            loop {
                let changed = self.inventory.changed();
                if let Some(manifest) = self.inventory.manifest(model, version) {
                    return postcard::to_stdvec(&*manifest).ok();
                }
                changed.await;
            }
        };
        match tokio::time::timeout(LONG_POLL.duration(), wait).await {
            Ok(Some(data)) => respond(StatusCode::OK, data.into()),
            _ => respond(StatusCode::NOT_FOUND, Bytes::new()),
        }
    }

    /// Responds with the chunks that arrived after a position; waits up to [`LONG_POLL`] if there is none.
    async fn have(
        &self,
        model: &str,
        version: WeightVersion,
        from: usize,
    ) -> Response<Full<Bytes>> {
        let arrived = || {
            self.inventory
                .arrived_since(model, version, from)
                .unwrap_or_default()
        };
        if arrived().is_empty() {
            let wait = LONG_POLL.duration();
            if tokio::time::timeout(wait, self.inventory.changed())
                .await
                .is_ok()
            {
                tokio::time::sleep(BATCH_DELAY.duration()).await;
            }
        }
        match postcard::to_stdvec(&arrived()) {
            Ok(data) => respond(StatusCode::OK, data.into()),
            Err(e) => {
                log::warn!("cannot encode the list of chunks: {e}");
                respond(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
            }
        }
    }

    /// Waits up to [`CHUNK_WAIT`] until this host holds a chunk.
    async fn wait_for_chunk(&self, model: &str, version: WeightVersion, chunk: u32) {
        let arrived = async {
            loop {
                let changed = self.inventory.changed();
                if self.inventory.digest(model, version, chunk).is_some() {
                    return;
                }
                changed.await;
            }
        };
        // Without the chunk the request is rejected.
        let _ = tokio::time::timeout(CHUNK_WAIT.duration(), arrived).await;
    }

    /// Responds with a chunk that matches its digest: 404 if this host does not hold it, 503 if too many uploads are in
    /// progress or the endpoint cannot be read.
    async fn chunk(
        &self,
        model: &str,
        version: WeightVersion,
        chunk: u32,
        requester: Requester,
    ) -> Response<Full<Bytes>> {
        let Some(digest) = self.inventory.digest(model, version, chunk) else {
            return respond(StatusCode::NOT_FOUND, Bytes::new());
        };
        let size = self.inventory.chunk_size();
        let max = uploads_max(Size(size as u64), self.rate);
        let Some(upload) = self.uploads.begin(requester, max) else {
            return respond(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
        };
        upload.wait_turn(size).await;
        if let Some(data) = self.inventory.buffered(model, version, chunk) {
            return respond(StatusCode::OK, data);
        }
        match self.host.read(model, chunk).await {
            Ok(Some(data)) if is_intact(&data, &digest) => respond(StatusCode::OK, data),
            Ok(_) => {
                if let Some(data) = self.inventory.buffered(model, version, chunk) {
                    // It was read into memory and replaced at the endpoint meanwhile.
                    return respond(StatusCode::OK, data);
                }
                emit!(
                    log_event::CHUNK,
                    "model={model} version={version} chunk={chunk} outcome=spoilt"
                );
                self.inventory.remove(model, version, chunk);
                respond(StatusCode::NOT_FOUND, Bytes::new())
            }
            Err(e) => {
                log::debug!("cannot read chunk {chunk} from the endpoint: {e}");
                respond(StatusCode::SERVICE_UNAVAILABLE, Bytes::new())
            }
        }
    }
}

/// Client of the chunk servers of other hosts.
#[derive(Clone, Debug)]
pub(super) struct PeerClient {
    pool: Pool,
    clock: SystemClock,
}

impl PeerClient {
    pub(super) fn new() -> Self {
        Self {
            pool: Pool::default(),
            clock: SystemClock::start(),
        }
    }

    async fn get(
        &self,
        addr: SocketAddr,
        path: String,
        limit: impl Into<CallLimit>,
    ) -> Result<Response<Bytes>, CallError> {
        get(&self.pool, addr, &path, self.clock.now(), limit).await
    }

    /// Requests the chunks that arrived at another host after a position; a long poll. `None` if the host does not
    /// respond with a list.
    pub(super) async fn have(
        &self,
        addr: SocketAddr,
        model: &str,
        version: WeightVersion,
        from: usize,
    ) -> Option<Vec<u32>> {
        let path = format!("/have/{model}/{version}/{from}");
        let limit = LONG_POLL + BATCH_DELAY + RESPONSE_TIMEOUT;
        match self.get(addr, path, limit).await {
            Ok(res) if res.status() == StatusCode::OK => postcard::from_bytes(res.body()).ok(),
            Ok(res) => {
                log::debug!(
                    "{addr} responded to a request for new chunks with status {}",
                    res.status()
                );
                None
            }
            Err(e) => {
                log::debug!("no list of chunks from {addr}: {e}");
                None
            }
        }
    }

    /// Fetches a manifest from another host, which waits up to [`LONG_POLL`] until it has it.
    pub(super) async fn manifest(
        &self,
        addr: SocketAddr,
        model: &str,
        version: WeightVersion,
    ) -> Option<Manifest> {
        let path = format!("/manifest/{model}/{version}");
        match self.get(addr, path, LONG_POLL + RESPONSE_TIMEOUT).await {
            Ok(res) if res.status() == StatusCode::OK => postcard::from_bytes(res.body()).ok(),
            Ok(_) => None,
            Err(e) => {
                log::debug!("no manifest from {addr}: {e}");
                None
            }
        }
    }

    /// Requests which versions of a model another host holds; empty if it does not respond with a list.
    pub(super) async fn versions(&self, addr: SocketAddr, model: &str) -> Vec<HeldVersion> {
        match self
            .get(addr, format!("/{VERSIONS}/{model}"), RESPONSE_TIMEOUT)
            .await
        {
            Ok(res) if res.status() == StatusCode::OK => {
                postcard::from_bytes(res.body()).unwrap_or_default()
            }
            Ok(_) => Vec::new(),
            Err(e) => {
                log::debug!("no list of versions from {addr}: {e}");
                Vec::new()
            }
        }
    }

    /// Fetches a chunk of a version from another host, at most of the manifest's size, and checks its digest. A host
    /// of another region waits for the chunk, up to [`CHUNK_WAIT`], if it does not hold it yet.
    pub(super) async fn chunk(
        &self,
        addr: SocketAddr,
        model: &str,
        manifest: &Manifest,
        chunk: u32,
        requester: Requester,
    ) -> Result<Bytes, Fault> {
        let limit = CallLimit {
            body: manifest.chunk.0 as usize,
            ..TRANSFER_TIMEOUT.into()
        };
        let digest = &manifest.digests[chunk as usize];
        let mut path = format!("/chunk/{model}/{}/{chunk}", manifest.version);
        let segment = match requester {
            Requester::Region => Some(WAIT_SEGMENT),
            Requester::First => Some(FIRST_SEGMENT),
            Requester::Other => None,
        };
        if let Some(segment) = segment {
            path.push('/');
            path.push_str(segment);
        }
        match self.get(addr, path, limit).await {
            Ok(res) if res.status() == StatusCode::SERVICE_UNAVAILABLE => Err(Fault::Busy),
            Ok(res) if res.status() != StatusCode::OK => Err(Fault::Missing),
            Ok(res) if is_intact(res.body(), digest) => Ok(res.into_body()),
            Ok(_) => Err(Fault::Corrupt),
            Err(CallError::TooLarge(..)) => Err(Fault::Corrupt),
            Err(e) => {
                log::debug!("chunk {chunk} was not received from {addr}: {e}");
                Err(Fault::Lost)
            }
        }
    }
}
