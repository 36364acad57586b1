//! State and main loop of the agent, which brings the endpoint on its host to the desired version of its model.

use std::{
    cell::{Cell, RefCell},
    marker::PhantomData,
    net::SocketAddr,
    pin::pin,
    rc::Rc,
};

use tokio::sync::Notify;

use super::{
    copy::{copy, CopyContext},
    exchange::PeerClient,
    inventory::ChunkInventory,
    load::Loader,
    log_event,
    manifest_check::ManifestChecks,
    peers::{Location, Peers},
    read_ahead::ReadAhead,
    run::AgentSettings,
    EndpointHost, HostReport, Manifest, Origin,
};
use crate::{
    base::{jitter, Clock, HashMap, Millis, SystemClock},
    decide::{
        chunk::{Progress, Prospect},
        era::StoreEra,
        supersede::Margins,
    },
    emit,
    gateway::{
        CatalogVersion, ChunkLayout, Decode, DesiredVersions, OriginSpec, RecordStore,
        WeightVersion,
    },
    net::Pacer,
};

/// Mean delay before a failed call to the endpoint, the origin or another host is repeated.
pub(super) const RETRY_DELAY: Millis = Millis(200);

/// Interval at which a copy that a newer version may supersede is compared with it again.
const COMPARE_INTERVAL: Millis = Millis(250);

/// The version of a model that the endpoint should load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Target {
    pub(super) model: Rc<str>,
    /// `None` if the agent knows no desired version; the newest version of the origin is copied then.
    pub(super) version: Option<WeightVersion>,
    /// Whether this is an older version than the desired one. It is copied only from neighbours, because the origin's link
    /// is needed for the desired one.
    pub(super) older: bool,
}

/// State of an agent, shared by its tasks.
pub(super) struct Agent<S, D, H, O> {
    pub(super) settings: AgentSettings,
    pub(super) store: S,
    pub(super) host: H,
    pub(super) origin: O,
    pub(super) clock: SystemClock,
    /// Limits downloads to their share of the host's link while the endpoint serves requests.
    download_pacer: Rc<Pacer>,
    pub(super) inventory: Rc<ChunkInventory>,
    pub(super) client: PeerClient,
    pub(super) peers: Rc<RefCell<Rc<Peers>>>,
    /// Version of the newest catalog from which `model` and `origin_spec` were taken, if it is known.
    pub(super) catalog: Cell<Option<CatalogVersion>>,
    /// Model of this host's service, from the catalog.
    pub(super) model: RefCell<Option<Rc<str>>>,
    /// Address and zone of the origin of weights, from the catalog.
    pub(super) origin_spec: RefCell<Option<OriginSpec>>,
    pub(super) desired: RefCell<HashMap<Rc<str>, DesiredVersions>>,
    /// Newest era of the store that is known.
    pub(super) store_era: RefCell<StoreEra>,
    /// When an entry last responded to a request for this agent's assignment.
    pub(super) last_assigned: Cell<Option<Millis>>,
    /// Entries that read the store and are notified of changes of the endpoint's state.
    pub(super) readers: RefCell<Vec<SocketAddr>>,
    /// Address of the endpoint on this host, from its record in the store.
    pub(super) endpoint: Cell<Option<SocketAddr>>,
    /// When this agent started, on its monotonic clock.
    pub(super) started: Millis,
    /// The endpoint's report at the last poll; `None` if it did not respond.
    pub(super) report: RefCell<Option<HostReport>>,
    /// Start time of the endpoint that last responded, in Unix milliseconds; another one means a restart.
    last_born: Cell<Option<u64>>,
    /// Whether a copy to this host is in progress.
    pub(super) copying: Cell<bool>,
    /// Target that superseded the present copy, with its manifest, which was fetched before the copy was given up.
    pub(super) next_manifest: RefCell<Option<(Target, Manifest)>>,
    /// Older version that is copied before the desired one, because the endpoint has nothing loaded.
    pub(super) first_load: RefCell<Option<Target>>,
    /// Newer version with which the present copy is compared, and when this agent learnt of it.
    compared: Cell<Option<(WeightVersion, Millis)>>,
    /// Chunks of each version, from the catalog.
    pub(super) layout: Cell<Option<ChunkLayout>>,
    pub(super) manifest_checks: RefCell<ManifestChecks>,
    /// Whether the last manifest was not used or refuted, so that the next one is fetched from the origin.
    pub(super) manifest_rejected: Cell<bool>,
    /// Chunks that were read before the first assignment.
    pub(super) read_ahead: ReadAhead,
    pub(super) loader: Loader,
    /// Wakes the main loop when the target version or the endpoint's report has changed.
    pub(super) changed: Notify,
    /// Wakes the task that notifies entries of the endpoint's state.
    pub(super) state_changed: Notify,
    _decode: PhantomData<D>,
}

impl<S: RecordStore, D: Decode, H: EndpointHost, O: Origin> Agent<S, D, H, O> {
    pub(super) fn new(
        settings: AgentSettings,
        store: S,
        host: H,
        origin: O,
        inventory: Rc<ChunkInventory>,
        pacer: Rc<Pacer>,
    ) -> Self {
        let location = Location {
            own_addr: settings.peer_addr,
            zone: settings.zone.clone(),
            regions: settings.regions.clone(),
            origin: None,
        };
        let peers = Peers::new(&location, &[]);
        let clock = SystemClock::start_late();
        Self {
            store,
            host,
            origin,
            clock,
            last_assigned: Cell::default(),
            readers: RefCell::default(),
            endpoint: Cell::default(),
            started: clock.now(),
            download_pacer: pacer,
            inventory,
            client: PeerClient::new(),
            peers: Rc::new(RefCell::new(Rc::new(peers))),
            catalog: Cell::default(),
            model: RefCell::default(),
            origin_spec: RefCell::default(),
            desired: RefCell::default(),
            store_era: RefCell::default(),
            report: RefCell::default(),
            last_born: Cell::default(),
            copying: Cell::default(),
            next_manifest: RefCell::default(),
            first_load: RefCell::default(),
            compared: Cell::default(),
            layout: Cell::default(),
            manifest_checks: RefCell::default(),
            manifest_rejected: Cell::default(),
            read_ahead: ReadAhead::default(),
            loader: Loader::default(),
            changed: Notify::new(),
            state_changed: Notify::new(),
            settings,
            _decode: PhantomData,
        }
    }

    pub(super) fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Reads the endpoint's report. If the endpoint has restarted, discards the list of held chunks and the load state.
    pub(super) async fn poll_report(&self) {
        let report = match self.host.report().await {
            Ok(report) => Some(report),
            Err(e) => {
                log::debug!("cannot read the report of the endpoint: {e}");
                None
            }
        };
        let before = self.report.replace(report.clone());
        if before == report {
            return;
        }
        let born = |r: &Option<HostReport>| r.as_ref().map(|r| r.born);
        emit!(
            log_event::ENDPOINT,
            "answers={} born={} busy={} loaded={}",
            report.is_some(),
            born(&report).unwrap_or_default(),
            report.as_ref().is_some_and(|r| r.busy),
            self.loaded().unwrap_or_default()
        );
        let known = self.last_born.get();
        let restarted = known.is_some() && born(&report).is_some_and(|b| Some(b) != known);
        self.last_born.set(born(&report).or(known));
        if restarted {
            self.inventory.clear();
            self.read_ahead.end();
            self.loader.reset();
        }
        self.changed.notify_one();
        self.state_changed.notify_one();
    }

    /// Returns the version of this host's model that the endpoint has loaded.
    pub(super) fn loaded(&self) -> Option<WeightVersion> {
        let model = self.model.borrow();
        let report = self.report.borrow();
        let models = &report.as_ref()?.models;
        let loaded = models.iter().find(|m| Some(&m.0) == model.as_ref())?;
        Some(loaded.1)
    }

    fn target(&self) -> Option<Target> {
        let model = self.model.borrow().clone()?;
        let first = self.first_load.borrow();
        let first = first.clone().filter(|first| first.model == model);
        if let Some(first) = first.filter(|_| self.is_unloaded()) {
            return Some(first);
        }
        let desired = self.desired.borrow();
        let version = desired.get(&model).and_then(DesiredVersions::newest);
        Some(Target {
            model,
            version,
            older: false,
        })
    }

    /// Waits until the present copy should be given up: another version is the target, or the endpoint has restarted.
    /// A copy that serves callers sooner than the newer one is finished first. A copy also goes on until the newer
    /// version's manifest is available, so that the older copy makes progress while the origin is unreachable.
    async fn wait_superseded(&self, target: &Target) {
        let born = self.born();
        loop {
            let next = self.target().filter(|t| t != target);
            if next.is_some() {
                let wait = COMPARE_INTERVAL.duration();
                let _ = tokio::time::timeout(wait, self.changed.notified()).await;
            } else {
                self.changed.notified().await;
            }
            let next = self.target().filter(|t| t != target);
            let newer = match next.filter(|next| !self.finishes_first(target, next)) {
                Some(next) => self.is_available(&next).await,
                None => false,
            };
            let restarted = born.is_some() && self.born() != born;
            if newer || restarted {
                // Keeps the change signalled for the next round of the main loop.
                self.changed.notify_one();
                return;
            }
        }
    }

    /// Returns whether the manifest of a target is available. If not, waits for the retry delay and signals a change,
    /// so that the caller tries again.
    async fn is_available(&self, target: &Target) -> bool {
        if !self.copying.get() || target.version.is_none() {
            return true;
        }
        let Some(manifest) = self.manifest(target).await else {
            tokio::time::sleep(jitter(RETRY_DELAY).duration()).await;
            self.changed.notify_one();
            return false;
        };
        *self.next_manifest.borrow_mut() = Some((target.clone(), manifest));
        true
    }

    /// Returns whether the copy in progress is finished and loaded before the copy of the next target begins.
    fn finishes_first(&self, target: &Target, next: &Target) -> bool {
        if target.older || next.older {
            // Compared by `choose_first_loads`.
            return false;
        }
        let same_model = target.model == next.model;
        let versions = target.version.zip(next.version).filter(|_| same_model);
        let Some((older, newer)) = versions.filter(|_| self.copying.get()) else {
            return false;
        };
        let desired = self.desired.borrow();
        let Some(desired) = desired.get(&target.model) else {
            return false;
        };
        let bound = self.settings.bound;
        let until =
            |since: Option<Millis>| since.map(|at| at + (bound - Margins::default().send()));
        let Some(older_until) = until(desired.superseded_at(older)) else {
            return false;
        };
        let progress = self.inventory.progress();
        let now = self.now();
        let known = self.compared.get().filter(|compared| compared.0 == newer);
        let learnt = known.map_or(now, |compared| compared.1);
        self.compared.set(Some((newer, learnt)));
        let loaded = self.loaded().and_then(|v| desired.superseded_at(v));
        let prospect = Prospect {
            bound,
            older: progress,
            newer: Progress {
                known: 0,
                ..progress
            },
            older_named: desired.became_desired(older).unwrap_or_default(),
            newer_named: desired.became_desired(newer).unwrap_or_default(),
            learnt,
            loaded_until: until(loaded).unwrap_or_default(),
            older_until,
        };
        let finishes = prospect.finishes_older(now);
        if known.is_none() {
            let (model, Progress { known, chunks }) = (&target.model, progress);
            emit!(
                log_event::COPY,
                "model={model} version={older} state=compared newer={newer} finished={finishes} known={known} of={chunks}"
            );
        }
        finishes
    }

    /// Returns whether the endpoint has responded since the agent started.
    pub(super) fn has_responded(&self) -> bool {
        self.last_born.get().is_some()
    }

    fn born(&self) -> Option<u64> {
        self.report.borrow().as_ref().map(|r| r.born)
    }

    /// Copies and loads the target version until it is superseded; without a target, waits for a change.
    pub(super) async fn reconcile(self: &Rc<Self>) {
        let begins = self.report.borrow().is_some() || self.settings.prefetch;
        let Some(target) = self.target().filter(|_| begins) else {
            self.changed.notified().await;
            return;
        };
        tokio::select! {
            () = self.copy_and_load(&target) => {}
            () = self.wait_superseded(&target) => {
                emit!(log_event::COPY, "model={} state=superseded", target.model);
            }
        }
        self.copying.set(false);
    }

    async fn copy_and_load(self: &Rc<Self>, target: &Target) {
        self.copying.set(true);
        self.read_peers().await;
        let Some(manifest) = self.manifest(target).await else {
            tokio::time::sleep(jitter(RETRY_DELAY).duration()).await;
            return;
        };
        let manifest = Rc::new(manifest);
        self.note_loaded();
        self.inventory.begin(&target.model, &manifest);
        if !self.copy_missing(target, &manifest).await {
            return;
        }
        let is_loaded = self.loaded().is_some_and(|v| v >= manifest.version);
        if is_loaded {
            self.copying.set(false);
        }
        if is_loaded || self.load_scheduled(&target.model, &manifest).await {
            // The target is loaded; the caller drops this future when the target changes.
            std::future::pending::<()>().await;
        }
    }

    /// Copies the chunks that are not held; returns whether the copy is complete.
    async fn copy_missing(&self, target: &Target, manifest: &Rc<Manifest>) -> bool {
        let begun = self.now();
        let (model, version) = (&target.model, manifest.version);
        let kept = self.verify(model, manifest).await;
        let chunks = manifest.digests.len();
        emit!(
            log_event::COPY,
            "model={model} version={version} state=begun kept={kept} of={chunks}"
        );
        if kept == chunks {
            return true;
        }
        let copied = {
            let mut copied = pin!(copy(self.copy_context(target, manifest)));
            tokio::select! {
                copied = &mut copied => copied,
                () = self.check_ahead(model, manifest) => copied.await,
            }
        };
        if let Err(e) = copied {
            emit!(
                log_event::COPY,
                "model={model} version={version} state=restarted reason=\"{e}\""
            );
            self.inventory.clear();
            self.manifest_checks.borrow_mut().refute(manifest);
            if target.older {
                self.first_load.take();
            } else {
                self.manifest_rejected.set(true);
            }
            return false;
        }
        emit!(
            log_event::COPY,
            "model={model} version={version} state=complete ms={}",
            (self.now() - begun).0
        );
        true
    }

    fn copy_context(&self, target: &Target, manifest: &Rc<Manifest>) -> CopyContext<H, O> {
        CopyContext {
            host: self.host.clone(),
            origin: self.origin.clone(),
            origin_addr: self.origin_addr(target),
            client: self.client.clone(),
            inventory: self.inventory.clone(),
            staging_reserved: self.loader.staging_reserved.clone(),
            peers: self.peers.clone(),
            link_rate: self.settings.link_rate,
            pacer: Some(self.download_pacer.clone())
                .filter(|_| self.loaded().is_some() || self.loader.is_pending()),
            clock: self.clock,
            model: target.model.clone(),
            manifest: manifest.clone(),
            requested: target.version.is_some(),
            confirmed: self.manifest_checks.borrow().is_confirmed(manifest),
        }
    }

    pub(super) fn origin_addr(&self, target: &Target) -> Option<SocketAddr> {
        let origin = self.origin_spec.borrow();
        origin.as_ref().filter(|_| !target.older).map(|o| o.addr)
    }
}
