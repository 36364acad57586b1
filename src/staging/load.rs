//! Stages a complete version at the endpoint and orders its load when the host's turn comes.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use tokio::task::{spawn_local, AbortHandle};

use super::{
    agent::{Agent, RETRY_DELAY},
    inventory::is_intact,
    log_event,
    run::POLL_INTERVAL,
    EndpointHost, LoadResponse, Manifest, Origin,
};
use crate::{
    base::Millis,
    decide::rollout::HostSchedule,
    emit,
    gateway::{Decode, RecordStore, WeightVersion},
};

/// Time after which an order without an effect is given again.
const ORDER_RETRY: Millis = Millis(1000);

/// State of the load.
#[derive(Debug, Default)]
pub(super) struct Loader {
    /// Whether the endpoint keeps a complete version that it has not taken yet.
    pub(super) staging_reserved: Rc<Cell<bool>>,
    /// Whether the endpoint drains for a load or loads.
    pub(super) loading: Cell<bool>,
    /// Turn of this host, until it loads; a newer version that is complete before takes over the turn.
    scheduled: Cell<Option<Millis>>,
    task: RefCell<Option<AbortHandle>>,
}

impl Loader {
    /// Forgets everything, because the endpoint started anew.
    pub(super) fn reset(&self) {
        self.stop();
        self.loading.set(false);
        self.scheduled.set(None);
    }

    fn stop(&self) {
        if let Some(task) = self.task.take() {
            task.abort();
        }
        self.staging_reserved.set(false);
    }
}

impl<S: RecordStore, D: Decode, H: EndpointHost, O: Origin> Agent<S, D, H, O> {
    /// Stages a version that is held completely and loads it in turn; returns whether it is loaded. The load goes on if
    /// the caller turns to a newer version.
    pub(super) async fn load_scheduled(
        self: &Rc<Self>,
        model: &Rc<str>,
        manifest: &Rc<Manifest>,
    ) -> bool {
        if self.loader.staging_reserved.get() {
            // An older version that still waits for its turn is left out.
            self.loader.stop();
        }
        self.inventory.drop_previous();
        if !self.stage_buffered(model, manifest.version).await {
            return false;
        }
        self.loader.staging_reserved.set(true);
        let task = spawn_local({
            let (agent, model, manifest) = (self.clone(), model.clone(), manifest.clone());
            async move { agent.wait_and_load(&model, &manifest).await }
        });
        *self.loader.task.borrow_mut() = Some(task.abort_handle());
        task.await.unwrap_or(false)
    }

    /// Stages the chunks that were kept in memory; returns whether the endpoint took all.
    async fn stage_buffered(&self, model: &str, version: WeightVersion) -> bool {
        while let Some((chunk, data)) = self.inventory.next_unstaged(model, version) {
            if let Err(e) = self.host.stage(model, chunk, data).await {
                emit!(
                    log_event::CHUNK,
                    "model={model} version={version} chunk={chunk} outcome=not-staged reason=\"{e}\""
                );
                tokio::time::sleep(RETRY_DELAY.duration()).await;
                return false;
            }
            self.inventory.set_staged(model, version, chunk);
        }
        true
    }

    async fn wait_and_load(&self, model: &str, manifest: &Manifest) -> bool {
        while self.loader.loading.get() {
            tokio::time::sleep(POLL_INTERVAL.duration()).await;
        }
        self.wait_for_start(model, manifest).await;
        if self.verify(model, manifest).await < manifest.digests.len() {
            self.loader.staging_reserved.set(false);
            return false;
        }
        self.load(model, manifest.version).await
    }

    /// Reads the staged chunks and checks them; returns how many are held, here or at the endpoint.
    pub(super) async fn verify(&self, model: &str, manifest: &Manifest) -> usize {
        let staged = self.host.staged(model).await.unwrap_or_else(|e| {
            log::debug!("the staged chunks cannot be listed: {e}");
            Vec::new()
        });
        let version = manifest.version;
        for (i, digest) in manifest.digests.iter().enumerate() {
            let chunk = i as u32;
            if self.inventory.buffered(model, version, chunk).is_some() {
                continue;
            }
            let intact = staged.contains(&chunk)
                && match self.host.read(model, chunk).await {
                    Ok(data) => data.is_some_and(|d| is_intact(&d, digest)),
                    Err(e) => {
                        log::debug!("chunk {chunk} cannot be read: {e}");
                        false
                    }
                };
            if intact {
                self.inventory.insert(model, version, chunk);
            } else {
                self.inventory.remove(model, version, chunk);
            }
        }
        self.inventory.held(model, version).len()
    }

    /// Waits for this host's turn to load.
    async fn wait_for_start(&self, model: &str, manifest: &Manifest) {
        let (rank, hosts) = self.peers.borrow().load_rank(manifest.version);
        let rollout = HostSchedule {
            bound: self.settings.bound,
            rank,
            hosts,
        };
        let outdated = self.loaded().and_then(|loaded| {
            let desired = self.desired.borrow();
            desired.get(model)?.superseded_at(loaded)
        });
        let now = self.now();
        let turn = outdated.map_or(now, |at| rollout.start_from(at, now));
        let turn = self
            .loader
            .scheduled
            .get()
            .map_or(turn, |before| before.min(turn));
        self.loader.scheduled.set(Some(turn));
        let wait = turn - now;
        emit!(
            log_event::LOAD,
            "model={model} version={} state=waiting rank={rank} hosts={hosts} ms={}",
            manifest.version,
            wait.0
        );
        tokio::time::sleep(wait.duration()).await;
    }

    /// Orders the load and waits for it; returns whether the version is loaded.
    async fn load(&self, model: &str, version: WeightVersion) -> bool {
        let answer = self.host.load(model, version).await;
        let text = match &answer {
            Ok(answer) => format!("{answer:?}"),
            Err(e) => e.to_string(),
        };
        emit!(
            log_event::LOAD,
            "model={model} version={version} state=ordered answer=\"{text}\""
        );
        // If the endpoint has taken the staged chunks, a newer version may replace them.
        self.loader.staging_reserved.set(false);
        if !matches!(answer, Ok(LoadResponse::Begun | LoadResponse::Done)) {
            tokio::time::sleep(RETRY_DELAY.duration()).await;
            return false;
        }
        self.loader.scheduled.set(None);
        self.loader.loading.set(true);
        self.state_changed.notify_one();
        let loaded = self.wait_loaded(model, version).await;
        self.loader.loading.set(false);
        self.state_changed.notify_one();
        loaded
    }

    /// Waits until a version is loaded; returns `false` if its load seems not to have begun.
    async fn wait_loaded(&self, model: &str, version: WeightVersion) -> bool {
        let mut idle = self.now();
        while self.now() <= idle + ORDER_RETRY {
            tokio::time::sleep(POLL_INTERVAL.duration()).await;
            if self.loaded().is_some_and(|v| v >= version) {
                emit!(
                    log_event::LOAD,
                    "model={model} version={version} state=loaded"
                );
                return true;
            }
            if self.report.borrow().as_ref().is_some_and(|r| r.busy) {
                idle = self.now();
            }
        }
        false
    }
}
