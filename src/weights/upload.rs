//! Answers to peers.

use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use tokio::sync::Semaphore;

use super::distribution::Shared;
use crate::{
    backing::WeightStore,
    base::{Digest, Millis, Size},
    decide::chunk::Bitmap,
    net::{Call, NetError},
    wire::{encode, ChunkReply, ChunkRequest, Have, HaveUpdate, PART_MAX},
};

/// Chunks that are sent at once: one for each neighbour. With 4 slots, uploads went to fewer hosts than downloads
/// needed, and the simulated time to 25 replicas was 1.19 times the bound instead of 1.07.
const SLOTS: usize = 8;

/// Requests that wait for a slot; further ones are refused, so that the peer asks elsewhere.
const QUEUE: usize = 4;

/// Longest wait for a slot.
const QUEUE_TIMEOUT: Millis = Millis(1000);

/// Time for a peer to read a frame.
const SEND_TIMEOUT: Millis = Millis(2000);

/// Time between two updates to a subscriber, so that chunks that arrive together are reported together.
const COALESCE: Millis = Millis(10);

/// Added positions above which a bitmap is sent instead; a bitmap of 4,096 chunks has 512 bytes.
const ADDED_MAX: usize = 256;

/// Upload slots of a host.
#[derive(Debug)]
pub(super) struct Slots {
    active: Semaphore,
    /// Requests that hold or wait for a slot.
    requests: AtomicUsize,
}

impl Default for Slots {
    fn default() -> Self {
        Self {
            active: Semaphore::new(SLOTS),
            requests: AtomicUsize::new(0),
        }
    }
}

/// Counts a request while it lives.
struct Request<'a>(&'a AtomicUsize);

impl<'a> Request<'a> {
    fn enter(count: &'a AtomicUsize) -> Option<Self> {
        let guard = Self(count);
        (count.fetch_add(1, Ordering::Relaxed) < SLOTS + QUEUE).then_some(guard)
    }
}

impl Drop for Request<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl<S: WeightStore> Shared<S> {
    /// Answers a request for content.
    pub(super) async fn serve_chunk(&self, request: ChunkRequest, mut call: Call) {
        let result = match request {
            ChunkRequest::Manifest(id) => {
                let version = self.chunks().version(&id);
                self.send_content(version.map(|v| v.encoded.clone()), &mut call)
                    .await
            }
            ChunkRequest::Chunk(id) => self.send_chunk(id, &mut call).await,
        };
        match result {
            Ok(()) => call.tx.finish(),
            Err(e) => log::debug!("an upload ended early: {e}"),
        }
    }

    async fn send_chunk(&self, id: Digest, call: &mut Call) -> Result<(), NetError> {
        let slots = &self.slots;
        let Some(_request) = Request::enter(&slots.requests) else {
            return self.send_busy(call).await;
        };
        let slot = tokio::time::timeout(QUEUE_TIMEOUT.duration(), slots.active.acquire());
        let Ok(_slot) = slot.await else {
            return self.send_busy(call).await;
        };
        let data = self.chunks().chunk(&id);
        self.send_content(data, call).await
    }

    async fn send_busy(&self, call: &mut Call) -> Result<(), NetError> {
        self.counters.busy_replies.inc();
        call.tx.send_within(&ChunkReply::Busy, SEND_TIMEOUT).await
    }

    async fn send_content(&self, data: Option<Bytes>, call: &mut Call) -> Result<(), NetError> {
        let Some(data) = data else {
            return call
                .tx
                .send_within(&ChunkReply::Missing, SEND_TIMEOUT)
                .await;
        };
        let found = ChunkReply::Found(Size(data.len() as u64));
        call.tx.send_within(&found, SEND_TIMEOUT).await?;
        for start in (0..data.len()).step_by(PART_MAX) {
            let part = data.slice(start..data.len().min(start + PART_MAX));
            let size = part.len();
            self.up.acquire(size).await;
            call.tx
                .send_within(&ChunkReply::Part(part), SEND_TIMEOUT)
                .await?;
            self.counters.upload_bytes.inc_by(size as u64);
        }
        Ok(())
    }

    /// Reports held chunks to a subscriber until it leaves or the version is dropped.
    pub(super) async fn serve_have(&self, have: Have, mut call: Call) {
        let mut changes = self.changes.subscribe();
        let mut sent: Option<Bitmap> = None;
        let interval = Millis(have.interval.0.clamp(50, 5000));
        loop {
            changes.borrow_and_update();
            let held = self.chunks().held(&have.manifest).cloned();
            let update = match (&sent, &held) {
                (Some(_), None) => return,
                (None, None) => HaveUpdate::Added(Vec::new()),
                (None, Some(held)) => HaveUpdate::All(held.to_bytes().into()),
                (Some(sent), Some(held)) => difference(sent, held),
            };
            sent = held;
            let size = encode(&update).map_or(0, |frame| frame.len());
            self.counters.report_bytes.inc_by(size as u64);
            if call.tx.send_within(&update, SEND_TIMEOUT).await.is_err() {
                return;
            }
            tokio::time::sleep(COALESCE.duration()).await;
            tokio::select! {
                () = call.tx.closed() => return,
                changed = changes.changed() => if changed.is_err() { return },
                () = tokio::time::sleep(interval.duration()) => {}
            }
        }
    }
}

fn difference(sent: &Bitmap, held: &Bitmap) -> HaveUpdate {
    if sent == held {
        return HaveUpdate::Added(Vec::new());
    }
    let added: Vec<u32> = held.iter().filter(|&i| !sent.contains(i)).collect();
    if added.len() > ADDED_MAX {
        return HaveUpdate::All(held.to_bytes().into());
    }
    HaveUpdate::Added(added)
}
