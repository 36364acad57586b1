//! Digests of the chunks at the endpoint, computed before the agent knows which version it is to load.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use futures_util::{stream, StreamExt};

use super::{
    agent::Agent,
    check::{CHECK_AGE_MAX, READS_MAX},
    inventory::chunk_digest,
    run::POLL_INTERVAL,
    EndpointHost, Origin,
};
use crate::{
    base::{Digest, HashMap, Millis},
    gateway::{Decode, RecordStore},
};

/// Age of a read from which it is repeated while the agent still waits, so that it is within [`CHECK_AGE_MAX`] when the
/// assignment arrives.
const REPEAT_AGE: Millis = Millis(CHECK_AGE_MAX.0 * 2 / 3);

/// Time after the agent's start in which chunks are read ahead. An agent that waits for longer does not burden its endpoint.
const READ_TIME: Millis = Millis(3000);

/// Read of a chunk at the endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct ChunkRead {
    pub(super) digest: Digest,
    /// When the read began.
    pub(super) begun: Millis,
}

/// Chunks that were read at the endpoint since the agent started.
#[derive(Debug, Default)]
pub(super) struct ReadAhead {
    begun: Cell<bool>,
    /// Whether no more reads count: the agent may stage other chunks from now on, or the endpoint has restarted.
    ended: Cell<bool>,
    reads: RefCell<HashMap<Rc<str>, HashMap<u32, ChunkRead>>>,
}

impl ReadAhead {
    /// Returns the reads of a model's chunks; later ones do not count.
    pub(super) fn take(&self, model: &str) -> HashMap<u32, ChunkRead> {
        self.ended.set(true);
        self.reads.take().remove(model).unwrap_or_default()
    }

    /// Forgets all reads, because the endpoint may have lost the chunks.
    pub(super) fn end(&self) {
        self.ended.set(true);
        self.reads.take();
    }

    /// Records a read; `None` if the chunk could not be read.
    fn record(&self, model: &Rc<str>, chunk: u32, read: Option<ChunkRead>) {
        if self.ended.get() {
            return;
        }
        let mut reads = self.reads.borrow_mut();
        let of_model = reads.entry(model.clone()).or_default();
        match read {
            Some(read) => of_model.insert(chunk, read),
            None => of_model.remove(&chunk),
        };
    }

    /// Returns whether a chunk was read after `since`.
    fn is_read(&self, model: &str, chunk: u32, since: Millis) -> bool {
        let reads = self.reads.borrow();
        let read = reads.get(model).and_then(|r| r.get(&chunk));
        read.is_some_and(|r| r.begun > since)
    }
}

impl<S: RecordStore, D: Decode, H: EndpointHost, O: Origin> Agent<S, D, H, O> {
    /// Returns whether to begin reading ahead; true only once, when the endpoint has told a model and the time for it has
    /// not passed.
    pub(super) fn take_begin(&self) -> bool {
        let report = self.report.borrow();
        let known = report.as_ref().is_some_and(|r| !r.models.is_empty());
        known && self.reads_ahead() && !self.read_ahead.begun.replace(true)
    }

    /// Reads the chunks of the models that the endpoint reports until the agent checks those of its assignment.
    pub(super) async fn read_ahead(self: Rc<Self>) {
        while self.reads_ahead() {
            for model in self.reported_models() {
                self.read_staged(&model).await;
            }
            tokio::time::sleep(POLL_INTERVAL.duration()).await;
        }
    }

    fn reads_ahead(&self) -> bool {
        !self.read_ahead.ended.get() && self.now() <= self.started + READ_TIME
    }

    fn reported_models(&self) -> Vec<Rc<str>> {
        let report = self.report.borrow();
        let models = report.iter().flat_map(|r| &r.models);
        models.map(|m| m.0.clone()).collect()
    }

    /// Reads the staged chunks of a model that were not read within [`REPEAT_AGE`].
    async fn read_staged(&self, model: &Rc<str>) {
        let staged = self.host.staged(model).await.unwrap_or_else(|e| {
            log::debug!("cannot list the staged chunks: {e}");
            Vec::new()
        });
        let since = self.now() - REPEAT_AGE;
        let due = staged.into_iter();
        let due = due.filter(|c| !self.read_ahead.is_read(model, *c, since));
        let reads = due.map(|chunk| self.read_digest(model, chunk));
        let running = stream::iter(reads).buffer_unordered(READS_MAX);
        running.collect::<()>().await;
    }

    async fn read_digest(&self, model: &Rc<str>, chunk: u32) {
        if !self.reads_ahead() {
            return;
        }
        let begun = self.now();
        let data = self.host.read(model, chunk).await.unwrap_or_else(|e| {
            log::debug!("cannot read staged chunk {chunk} ahead: {e}");
            None
        });
        let read = data.map(|d| ChunkRead {
            digest: chunk_digest(&d),
            begun,
        });
        self.read_ahead.record(model, chunk, read);
    }
}
