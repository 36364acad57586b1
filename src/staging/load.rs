//! Stages a complete version at the endpoint and orders its load at this host's scheduled load start.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use tokio::task::{spawn_local, AbortHandle};

use super::{
    agent::{Agent, RETRY_DELAY},
    check::CheckError,
    log_event,
    run::POLL_INTERVAL,
    EndpointHost, LoadResponse, Manifest, Origin,
};
use crate::{
    base::Millis,
    decide::{rollout::HostSchedule, supersede::Margins},
    emit,
    gateway::{Decode, RecordStore, WeightVersion},
};

/// Time without a loaded version or a busy endpoint after which a load counts as not begun and is ordered again.
const ORDER_RETRY: Millis = Millis(1000);

/// Pause after checks that the endpoint answered too slowly.
const CHECK_RETRY: Millis = Millis(2000);

/// Interval at which the scheduled load start is computed again while a host waits for it.
const START_REVIEW: Millis = Millis(200);

/// State of the load of a complete version.
#[derive(Debug, Default)]
pub(super) struct Loader {
    /// Whether the endpoint's staging area holds a complete version that waits for its load and must not be
    /// overwritten.
    pub(super) staging_reserved: Rc<Cell<bool>>,
    /// Whether an order was sent that the endpoint may still have to read: it loads what is staged when it reads it.
    ordering: Cell<bool>,
    /// Whether a load was ordered and is not complete: the endpoint drains its requests or loads.
    pub(super) loading: Cell<bool>,
    /// Scheduled load start of this host, until a load begins. A newer version that is complete before then takes it
    /// over.
    scheduled: Cell<Option<Millis>>,
    /// Task that waits for the scheduled load start and loads.
    task: RefCell<Option<AbortHandle>>,
}

impl Loader {
    /// Returns whether a complete version waits for its load, or a load is in progress.
    pub(super) fn is_pending(&self) -> bool {
        self.staging_reserved.get() || self.ordering.get() || self.loading.get()
    }

    /// Cancels the load and clears its state, because the endpoint has restarted.
    pub(super) fn reset(&self) {
        self.cancel();
        self.loading.set(false);
        self.scheduled.set(None);
    }

    /// Ends the task that loads; an order that was sent stays in force.
    pub(super) fn cancel(&self) {
        if let Some(task) = self.task.take() {
            task.abort();
        }
        self.ordering.set(false);
        self.staging_reserved.set(false);
    }
}

impl<S: RecordStore, D: Decode, H: EndpointHost, O: Origin> Agent<S, D, H, O> {
    /// Stages a version of which all chunks are held and loads it at the scheduled load start; returns whether it is
    /// loaded. The load continues in a task of its own if the caller drops this future for a newer version.
    pub(super) async fn load_scheduled(
        self: &Rc<Self>,
        model: &Rc<str>,
        manifest: &Rc<Manifest>,
    ) -> bool {
        while self.loader.ordering.get() {
            tokio::time::sleep(POLL_INTERVAL.duration()).await;
        }
        if self.loader.staging_reserved.get() {
            // An older version that still waits for its scheduled load start is skipped.
            self.loader.cancel();
        }
        self.inventory.drop_previous();
        if !self.stage_buffered(model, manifest.version).await {
            return false;
        }
        // From here on a newer version may be copied: the load goes on without the caller.
        self.copying.set(false);
        self.loader.staging_reserved.set(true);
        self.changed.notify_one();
        let task = spawn_local({
            let (agent, model, manifest) = (self.clone(), model.clone(), manifest.clone());
            async move { agent.wait_and_load(&model, &manifest).await }
        });
        *self.loader.task.borrow_mut() = Some(task.abort_handle());
        task.await.unwrap_or(false)
    }

    /// Stages the chunks that are buffered in memory; returns whether the endpoint accepted all.
    async fn stage_buffered(&self, model: &str, version: WeightVersion) -> bool {
        while let Some((chunk, data)) = self.inventory.next_unstaged(model, version) {
            self.inventory.read_kept(&self.host, model, chunk).await;
            self.inventory.replace_staged(chunk);
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

    async fn wait_and_load(&self, model: &Rc<str>, manifest: &Manifest) -> bool {
        while self.loader.loading.get() {
            tokio::time::sleep(POLL_INTERVAL.duration()).await;
        }
        self.wait_for_start(model, manifest).await;
        if let Err(e) = self.check_for_load(model, manifest).await {
            emit!(
                log_event::LOAD,
                "model={model} version={} state=unchecked reason=\"{e}\"",
                manifest.version
            );
            self.loader.staging_reserved.set(false);
            if e == CheckError::Slow {
                tokio::time::sleep(CHECK_RETRY.duration()).await;
            }
            return false;
        }
        self.load(model, manifest.version).await
    }

    /// Returns the load start of this host for a version that is complete now, which may have passed.
    pub(super) fn load_start(&self, model: &str, manifest: &Manifest) -> Millis {
        let (rank, hosts) = self.peers.borrow().load_rank(manifest.version);
        let schedule = HostSchedule {
            bound: self.settings.bound,
            margins: Margins::default(),
            rank,
            hosts,
        };
        let superseded = self.loaded().and_then(|loaded| {
            let desired = self.desired.borrow();
            desired.get(model)?.superseded(loaded)
        });
        let now = self.now();
        let start = superseded.map_or(now, |s| schedule.start_from(s, now));
        let scheduled = self.loader.scheduled.get();
        scheduled.map_or(start, |earlier| earlier.min(start))
    }

    /// Waits for the scheduled load start of this host, which is earlier once a newer version becomes desired.
    async fn wait_for_start(&self, model: &str, manifest: &Manifest) {
        let (rank, hosts) = self.peers.borrow().load_rank(manifest.version);
        let wait = self.time_to_start(model, manifest);
        emit!(
            log_event::LOAD,
            "model={model} version={} state=waiting rank={rank} hosts={hosts} ms={}",
            manifest.version,
            wait.0
        );
        let mut left = wait;
        while left > Millis::ZERO {
            tokio::time::sleep(left.min(START_REVIEW).duration()).await;
            left = self.time_to_start(model, manifest);
        }
    }

    /// Returns the time until the scheduled load start, which is kept: it becomes no later.
    fn time_to_start(&self, model: &str, manifest: &Manifest) -> Millis {
        let start = self.load_start(model, manifest);
        self.loader.scheduled.set(Some(start));
        start - self.now()
    }

    /// Orders the load and waits until it is complete; returns whether the version is loaded.
    async fn load(&self, model: &Rc<str>, version: WeightVersion) -> bool {
        self.loader.ordering.set(true);
        let response = self.host.load(model, version).await;
        let text = match &response {
            Ok(response) => format!("{response:?}"),
            Err(e) => e.to_string(),
        };
        emit!(
            log_event::LOAD,
            "model={model} version={version} state=ordered answer=\"{text}\""
        );
        let accepted = match response {
            Ok(response) => matches!(response, LoadResponse::Begun | LoadResponse::Done),
            Err(_) => self.wait_order_read(model, version).await,
        };
        if accepted {
            self.inventory.set_loaded(model, version);
        }
        // Once the endpoint has read the order, a newer version may replace the staged chunks.
        self.loader.ordering.set(false);
        self.loader.staging_reserved.set(false);
        if !accepted {
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

    /// Waits until an endpoint that did not respond to an order responds again, so that it has read the order if it got
    /// it; returns whether it has accepted it.
    async fn wait_order_read(&self, model: &str, version: WeightVersion) -> bool {
        while self.host.report().await.is_err() {
            tokio::time::sleep(POLL_INTERVAL.duration()).await;
        }
        // What arrived before the report is read by then.
        tokio::time::sleep(RETRY_DELAY.duration()).await;
        let Ok(report) = self.host.report().await else {
            return false;
        };
        let loaded = report.models.iter().find(|m| *m.0 == *model);
        report.busy || loaded.is_some_and(|m| m.1 >= version)
    }

    /// Waits until a version is loaded; returns `false` if the endpoint was not busy for [`ORDER_RETRY`].
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
