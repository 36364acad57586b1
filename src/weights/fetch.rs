//! Fetches from one source.

use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};

use super::{distribution::Shared, hosts::Peers, ORIGIN_CORRUPT, ORIGIN_FAILED, PEER_CORRUPT};
use crate::{
    backing::{PlatformError, WeightStore},
    base::{Digest, Millis, Size},
    decide::chunk::{Fault, Proximity, Source},
    emit,
    net::NetError,
    wire::{Call, ChunkReply, ChunkRequest, PART_MAX},
};

/// Time for the first frame of an answer; longer than a request may wait for an upload slot.
const ANSWER_TIMEOUT: Millis = Millis(2500);

/// Time for each further part. A peer shares its link between eight slots, which delays a 32 KiB part by 131 ms at
/// 16 Mbit/s.
const PART_TIMEOUT: Millis = Millis(2000);

/// Shortest time for a chunk from the origin, which shares its link between the chunks of all leaders.
const ORIGIN_TIMEOUT_MIN: Millis = Millis(10_000);

/// Largest frame of an answer, in bytes.
const REPLY_MAX: usize = PART_MAX + 64;

/// Size that a manifest may have at most, in bytes.
const MANIFEST_MAX: usize = 4 << 20;

/// What a fetch is for.
#[derive(Clone, Copy, Debug)]
pub(super) enum Content {
    /// A manifest of any size.
    Manifest(Digest),
    /// A chunk of a known size.
    Chunk(Digest, Size),
}

impl Content {
    fn digest(self) -> Digest {
        match self {
            Self::Manifest(id) | Self::Chunk(id, _) => id,
        }
    }

    fn accepts(self, size: usize) -> bool {
        match self {
            Self::Manifest(_) => size <= MANIFEST_MAX,
            Self::Chunk(_, expected) => size as u64 == expected.0,
        }
    }
}

impl<S: WeightStore> Shared<S> {
    /// Fetches content and checks its hash.
    pub(super) async fn fetch(
        &self,
        content: Content,
        from: Source,
        peers: &Peers,
    ) -> Result<Bytes, Fault> {
        let result = match from {
            Source::Origin => self.fetch_origin(content).await,
            Source::Peer(id) => match peers.host(id) {
                Some(host) => {
                    let place = peers.topology.proximity(id).unwrap_or(Proximity::Remote);
                    let result = self.fetch_peer(content, host.peer, place).await;
                    if let Err(Fault::Corrupt) = result {
                        emit!(PEER_CORRUPT, "{} sent {}", host.name, content.digest());
                    }
                    result
                }
                None => Err(Fault::Lost),
            },
        };
        match result {
            Err(Fault::Corrupt) => drop(self.counters.corrupt_chunks.inc()),
            Err(Fault::Lost) => drop(self.counters.failed_fetches.inc()),
            _ => {}
        }
        result
    }

    async fn fetch_origin(&self, content: Content) -> Result<Bytes, Fault> {
        let result = match content {
            Content::Manifest(id) => {
                let fetch = self.store.manifest(id);
                tokio::time::timeout(ORIGIN_TIMEOUT_MIN.duration(), fetch).await
            }
            Content::Chunk(id, size) => {
                self.down.acquire(size.0 as usize).await;
                // 64 times the duration at this host's own rate leaves room for the chunks of other leaders.
                let share = Millis(size.0 * 64_000 / self.down_rate().0.max(1));
                let timeout = ORIGIN_TIMEOUT_MIN.max(share);
                tokio::time::timeout(timeout.duration(), self.store.chunk(id)).await
            }
        };
        let id = content.digest();
        let data = match result {
            Ok(Ok(data)) => data,
            Ok(Err(e)) => {
                emit!(ORIGIN_FAILED, "{id}: {e}");
                return Err(match e {
                    PlatformError::Missing(_) => Fault::Missing,
                    _ => Fault::Lost,
                });
            }
            Err(_) => {
                emit!(ORIGIN_FAILED, "{id}: no answer in time");
                return Err(Fault::Lost);
            }
        };
        self.counters.origin_bytes.inc_by(data.len() as u64);
        if !content.accepts(data.len()) || !verify(id, data.clone()).await {
            emit!(ORIGIN_CORRUPT, "{id}");
            return Err(Fault::Corrupt);
        }
        Ok(data)
    }

    async fn fetch_peer(
        &self,
        content: Content,
        addr: SocketAddr,
        place: Proximity,
    ) -> Result<Bytes, Fault> {
        let lost = |e: NetError| {
            log::debug!("a fetch from {addr} failed: {e}");
            if matches!(e, NetError::Timeout(_)) {
                // An unresponsive connection is not used again.
                self.ctx.transport.discard(addr);
            }
            Fault::Lost
        };
        let request = match content {
            Content::Manifest(id) => ChunkRequest::Manifest(id),
            Content::Chunk(id, _) => ChunkRequest::Chunk(id),
        };
        let open = self.ctx.open(Call::Chunk(request));
        let mut call = self.ctx.transport.call(addr, &open).await.map_err(lost)?;
        let first = call.rx.next(REPLY_MAX, ANSWER_TIMEOUT).await;
        let size = match first.map_err(lost)? {
            ChunkReply::Found(size) => size.0 as usize,
            ChunkReply::Missing => return Err(Fault::Missing),
            ChunkReply::Busy => return Err(Fault::Busy),
            ChunkReply::Part(_) => return Err(Fault::Corrupt),
        };
        if !content.accepts(size) {
            return Err(Fault::Corrupt);
        }
        let mut data = BytesMut::with_capacity(size);
        while data.len() < size {
            let part = call.rx.next(REPLY_MAX, PART_TIMEOUT).await;
            let ChunkReply::Part(part) = part.map_err(lost)? else {
                return Err(Fault::Corrupt);
            };
            if part.is_empty() || data.len() + part.len() > size {
                return Err(Fault::Corrupt);
            }
            // Not reading on fills the stream's window, which slows the sender down.
            self.down.acquire(part.len()).await;
            data.extend_from_slice(&part);
        }
        let data = data.freeze();
        self.counters.add_peer(place, size);
        if !verify(content.digest(), data.clone()).await {
            return Err(Fault::Corrupt);
        }
        Ok(data)
    }
}

/// Content up to this size is hashed in place, which takes about 0.1 ms.
const INLINE_MAX: usize = 256 << 10;

async fn verify(id: Digest, data: Bytes) -> bool {
    if data.len() <= INLINE_MAX {
        return Digest::of(&data) == id;
    }
    let hash = tokio::task::spawn_blocking(move || Digest::of(&data));
    hash.await.is_ok_and(|found| found == id)
}
