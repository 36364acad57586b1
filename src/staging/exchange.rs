//! Serves the endpoint's staged chunks to other hosts, and fetches theirs.

use std::{cell::Cell, net::SocketAddr, rc::Rc};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{body::Incoming, Request, Response, StatusCode};

use super::{inventory::is_intact, inventory::ChunkInventory, log_event, EndpointHost, Manifest};
use crate::{
    base::{Clock, Digest, Millis, Percent, SystemClock},
    decide::chunk::Fault,
    emit,
    gateway::WeightVersion,
    http::{get, CallError, Pool},
    net::Pacer,
};

/// Uploads that wait for the link or are sent; further ones are refused, so that the peer asks elsewhere.
const UPLOADS_MAX: u32 = 3;

/// Share of the host's link that chunks may take. The endpoint's live responses use the same link, and a chunk that is
/// being sent delays them.
pub(super) const LINK_SHARE: Percent = Percent(88);

/// Longest time for which a question for news waits.
const LONG_POLL: Millis = Millis(500);

/// Time in which further news is collected before an answer.
const BATCH_DELAY: Millis = Millis(15);

/// Time for an answer beyond the wait for news.
const RESPONSE_TIMEOUT: Millis = Millis(700);

/// Longest time of a chunk's transfer.
const TRANSFER_TIMEOUT: Millis = Millis(2500);

/// Serves other hosts.
#[derive(Clone, Debug)]
pub(super) struct ChunkServer<H> {
    pub(super) host: H,
    pub(super) inventory: Rc<ChunkInventory>,
    pub(super) uploads: Rc<Cell<u32>>,
    /// Keeps uploads within their share of the link.
    pub(super) pacer: Rc<Pacer>,
}

/// What another host asks for.
enum PeerRequest<'a> {
    /// Chunks after a position of the arrival order.
    Have(&'a str, WeightVersion, usize),
    /// A chunk.
    Chunk(&'a str, WeightVersion, u32),
    /// The manifest.
    Manifest(&'a str, WeightVersion),
}

fn parse(path: &str) -> Option<PeerRequest<'_>> {
    let mut parts = path.strip_prefix('/')?.split('/');
    let kind = parts.next()?;
    let model = parts.next()?;
    let version = WeightVersion(parts.next()?.parse().ok()?);
    if kind == "manifest" {
        return Some(PeerRequest::Manifest(model, version));
    }
    let number = parts.next()?;
    match kind {
        "have" => Some(PeerRequest::Have(model, version, number.parse().ok()?)),
        "chunk" => Some(PeerRequest::Chunk(model, version, number.parse().ok()?)),
        _ => None,
    }
}

fn respond(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut res = Response::new(Full::new(body));
    *res.status_mut() = status;
    res
}

impl<H: EndpointHost> ChunkServer<H> {
    /// Answers another host.
    pub(super) async fn answer(self, req: Request<Incoming>) -> Response<Full<Bytes>> {
        match parse(req.uri().path()) {
            Some(PeerRequest::Have(model, version, from)) => self.have(model, version, from).await,
            Some(PeerRequest::Chunk(model, version, chunk)) => {
                self.chunk(model, version, chunk).await
            }
            Some(PeerRequest::Manifest(model, version)) => self.manifest(model, version).await,
            None => respond(StatusCode::NOT_FOUND, Bytes::new()),
        }
    }

    /// Answers with the manifest of a version; waits for it if this host does not have it yet.
    async fn manifest(&self, model: &str, version: WeightVersion) -> Response<Full<Bytes>> {
        let wait = async {
            loop {
                let news = self.inventory.changed();
                if let Some(manifest) = self.inventory.manifest(model, version) {
                    return postcard::to_stdvec(&*manifest).ok();
                }
                news.await;
            }
        };
        match tokio::time::timeout(LONG_POLL.duration(), wait).await {
            Ok(Some(data)) => respond(StatusCode::OK, data.into()),
            _ => respond(StatusCode::NOT_FOUND, Bytes::new()),
        }
    }

    async fn have(
        &self,
        model: &str,
        version: WeightVersion,
        from: usize,
    ) -> Response<Full<Bytes>> {
        let news = || {
            self.inventory
                .arrived_since(model, version, from)
                .unwrap_or_default()
        };
        if news().is_empty() {
            let wait = LONG_POLL.duration();
            if tokio::time::timeout(wait, self.inventory.changed())
                .await
                .is_ok()
            {
                tokio::time::sleep(BATCH_DELAY.duration()).await;
            }
        }
        match postcard::to_stdvec(&news()) {
            Ok(data) => respond(StatusCode::OK, data.into()),
            Err(e) => {
                log::warn!("cannot encode the list of chunks: {e}");
                respond(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
            }
        }
    }

    async fn chunk(
        &self,
        model: &str,
        version: WeightVersion,
        chunk: u32,
    ) -> Response<Full<Bytes>> {
        let Some(digest) = self.inventory.digest(model, version, chunk) else {
            return respond(StatusCode::NOT_FOUND, Bytes::new());
        };
        if self.uploads.get() >= UPLOADS_MAX {
            return respond(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
        }
        let _upload = UploadGuard::begin(&self.uploads);
        self.pacer.acquire(self.inventory.chunk_size()).await;
        if let Some(data) = self.inventory.buffered(model, version, chunk) {
            return respond(StatusCode::OK, data);
        }
        match self.host.read(model, chunk).await {
            Ok(Some(data)) if is_intact(&data, &digest) => respond(StatusCode::OK, data),
            Ok(_) => {
                emit!(
                    log_event::CHUNK,
                    "model={model} version={version} chunk={chunk} outcome=spoilt"
                );
                self.inventory.remove(model, version, chunk);
                respond(StatusCode::NOT_FOUND, Bytes::new())
            }
            Err(e) => {
                log::debug!("chunk {chunk} cannot be read from the endpoint: {e}");
                respond(StatusCode::SERVICE_UNAVAILABLE, Bytes::new())
            }
        }
    }
}

/// Counts an upload.
struct UploadGuard(Rc<Cell<u32>>);

impl UploadGuard {
    fn begin(count: &Rc<Cell<u32>>) -> Self {
        count.set(count.get() + 1);
        Self(count.clone())
    }
}

impl Drop for UploadGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// PeerClient of other hosts' exchanges.
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
        limit: Millis,
    ) -> Result<Response<Bytes>, CallError> {
        get(&self.pool, addr, &path, self.clock.now(), limit).await
    }

    /// Asks which chunks arrived after a position; waits for news.
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
                log::debug!("{addr} answers a question for news with {}", res.status());
                None
            }
            Err(e) => {
                log::debug!("no news from {addr}: {e}");
                None
            }
        }
    }

    /// Fetches a manifest; waits until the other host has it.
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

    /// Fetches a chunk and checks it.
    pub(super) async fn chunk(
        &self,
        addr: SocketAddr,
        model: &str,
        version: WeightVersion,
        chunk: u32,
        digest: &Digest,
    ) -> Result<Bytes, Fault> {
        let path = format!("/chunk/{model}/{version}/{chunk}");
        match self.get(addr, path, TRANSFER_TIMEOUT).await {
            Ok(res) if res.status() == StatusCode::SERVICE_UNAVAILABLE => Err(Fault::Busy),
            Ok(res) if res.status() != StatusCode::OK => Err(Fault::Missing),
            Ok(res) if is_intact(res.body(), digest) => Ok(res.into_body()),
            Ok(_) => Err(Fault::Corrupt),
            Err(e) => {
                log::debug!("chunk {chunk} did not arrive from {addr}: {e}");
                Err(Fault::Lost)
            }
        }
    }
}
