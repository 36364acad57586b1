//! Brings the endpoint on this host to the version that the operator named.

use std::{
    cell::{Cell, RefCell},
    marker::PhantomData,
    net::SocketAddr,
    rc::Rc,
};

use tokio::sync::Notify;

use super::{
    copy::{copy, version_id, CopyContext},
    exchange::Client,
    holdings::{is_intact, Holdings},
    log_event,
    peers::{Location, Peers},
    run::{AgentSettings, REPORT},
    EndpointHost, HostReport, LoadAnswer, Manifest, Origin,
};
use crate::{
    base::{jitter, Clock, HashMap, Millis, SystemClock, Zone},
    decide::{chunk::Topology, rollout::Rollout},
    emit,
    gateway::{Assignment, Catalog, Decode, Named, OriginSpec, RecordStore, Topic, WeightVersion},
    net::Pacer,
};

/// Time without news from any entry after which the store is read instead.
const FORGOTTEN: Millis = Millis(2500);

/// Time after a failed call.
const RETRY: Millis = Millis(200);

/// Time after which an order without an effect is given again.
const ORDER_RETRY: Millis = Millis(1000);

/// Share of the chunks from which a copy is completed although a newer version was named.
const NEARLY: (u32, u32) = (3, 4);

/// A version of a model.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Target {
    model: Rc<str>,
    /// `None` before the operator named one: the newest of the origin.
    version: Option<WeightVersion>,
}

/// State of an agent.
pub(super) struct Agent<S, D, H, O> {
    pub(super) settings: AgentSettings,
    store: S,
    host: H,
    origin: O,
    clock: SystemClock,
    /// Keeps downloads within their share of the link.
    down_pacer: Rc<Pacer>,
    holdings: Rc<Holdings>,
    client: Client,
    peers: Rc<RefCell<Rc<Peers>>>,
    /// Own model and the origin, from the catalog.
    model: RefCell<Option<Rc<str>>>,
    origin_spec: RefCell<Option<OriginSpec>>,
    named: RefCell<HashMap<Rc<str>, Named>>,
    /// When an entry last told the work, and when this agent started.
    told: Cell<Option<Millis>>,
    started: Millis,
    report: RefCell<Option<HostReport>>,
    /// Whether a copy is in progress.
    pub(super) copying: Cell<bool>,
    /// Whether the last manifest was wrong, so that the next one comes from the origin.
    doubted: Cell<bool>,
    /// Whether a complete version waits for its turn or loads.
    loading: Cell<bool>,
    /// Wakes the main loop when the target or the endpoint changed.
    changed: Notify,
    _decode: PhantomData<D>,
}

impl<S: RecordStore, D: Decode, H: EndpointHost, O: Origin> Agent<S, D, H, O> {
    pub(super) fn new(
        settings: AgentSettings,
        store: S,
        host: H,
        origin: O,
        holdings: Rc<Holdings>,
        pacer: Rc<Pacer>,
    ) -> Self {
        let location = Location {
            me: settings.exchange,
            zone: settings.zone.clone(),
            regions: settings.regions.clone(),
            origin: None,
        };
        let peers = Peers::new(&location, &[]);
        let clock = SystemClock::start();
        Self {
            store,
            host,
            origin,
            clock,
            told: Cell::default(),
            started: clock.now(),
            down_pacer: pacer,
            holdings,
            client: Client::new(),
            peers: Rc::new(RefCell::new(Rc::new(peers))),
            model: RefCell::default(),
            origin_spec: RefCell::default(),
            named: RefCell::default(),
            report: RefCell::default(),
            copying: Cell::default(),
            doubted: Cell::default(),
            loading: Cell::default(),
            changed: Notify::new(),
            settings,
            _decode: PhantomData,
        }
    }

    fn now(&self) -> Millis {
        self.clock.now()
    }

    pub(super) fn set_catalog(&self, catalog: &Catalog) {
        let spec = catalog.services.get(&self.settings.service);
        let model = spec.and_then(|s| s.weights.as_ref()?.models.first().cloned());
        *self.origin_spec.borrow_mut() = catalog.origin().cloned();
        let before = self.model.replace(model.clone());
        if before != model {
            self.changed.notify_one();
        }
    }

    pub(super) fn name_version(&self, model: Rc<str>, version: WeightVersion, found: bool) {
        let now = self.now();
        let newer = {
            let mut named = self.named.borrow_mut();
            let versions = named.entry(model.clone()).or_default();
            versions.note(version, found, now)
        };
        emit!(
            log_event::NAMED,
            "model={model} version={version} newer={newer} found={found}"
        );
        if newer {
            self.changed.notify_one();
        }
    }

    /// Reads the endpoint's report.
    pub(super) async fn look(&self) {
        let report = match self.host.report().await {
            Ok(report) => Some(report),
            Err(e) => {
                log::debug!("no report of the endpoint: {e}");
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
        let restarted = report.is_some() && born(&before).is_some_and(|b| Some(b) != born(&report));
        if restarted || before.is_none() {
            self.holdings.clear();
        }
        self.changed.notify_one();
    }

    /// Returns the loaded version of the own model.
    fn loaded(&self) -> Option<WeightVersion> {
        let model = self.model.borrow();
        let report = self.report.borrow();
        let models = &report.as_ref()?.models;
        let loaded = models.iter().find(|m| Some(&m.0) == model.as_ref())?;
        Some(loaded.1)
    }

    fn target(&self) -> Option<Target> {
        let model = self.model.borrow().clone()?;
        let named = self.named.borrow();
        let version = named.get(&model).and_then(Named::newest);
        Some(Target { model, version })
    }

    /// Waits until the target is another one, or the endpoint restarts. A newer version waits until a complete one is
    /// loaded: the staged chunks would be lost, and all hosts would have to load the newer one at the same time.
    async fn superseded(&self, target: &Target) {
        let born = self.born();
        loop {
            self.changed.notified().await;
            let newer = self.target().as_ref() != Some(target) && !self.is_nearly_loaded();
            if newer || self.born() != born {
                // The next step looks at the change too.
                self.changed.notify_one();
                return;
            }
        }
    }

    /// Returns whether the present version is loaded sooner than a newer one could be copied.
    fn is_nearly_loaded(&self) -> bool {
        let (held, chunks) = self.holdings.progress();
        self.loading.get() || (self.copying.get() && held * NEARLY.1 >= chunks * NEARLY.0)
    }

    fn born(&self) -> Option<u64> {
        self.report.borrow().as_ref().map(|r| r.born)
    }

    /// Takes what an entry tells.
    pub(super) fn assign(&self, told: &Assignment) {
        let now = self.now();
        self.told.set(Some(now));
        *self.origin_spec.borrow_mut() = told.origin.clone();
        self.set_hosts(&told.hosts);
        let Some(model) = &told.model else {
            return;
        };
        if self.model.replace(Some(model.clone())).as_ref() != Some(model) {
            self.changed.notify_one();
        }
        for n in &told.named {
            let mut named = self.named.borrow_mut();
            let versions = named.entry(model.clone()).or_default();
            let before = versions.newest();
            if versions.learn(n.version, now - n.age) {
                let (version, age) = (n.version, n.age);
                emit!(
                    log_event::NAMED,
                    "model={model} version={version} age={age} source=entry"
                );
            }
            if versions.newest() != before {
                self.changed.notify_one();
            }
        }
        let known = self.named.borrow().get(model).and_then(Named::newest);
        if let Some(newest) = told.newest.filter(|n| known < Some(*n)) {
            self.name_version(model.clone(), newest, true);
        }
    }

    /// Returns whether no entry told anything for a while, so that the store has to be read.
    pub(super) fn is_forgotten(&self) -> bool {
        let told = self.told.get().unwrap_or(self.started);
        self.now() > told + FORGOTTEN
    }

    fn set_hosts(&self, hosts: &[(SocketAddr, Zone)]) {
        let origin = self.origin_spec.borrow();
        let location = Location {
            me: self.settings.exchange,
            zone: self.settings.zone.clone(),
            regions: self.settings.regions.clone(),
            origin: origin.as_ref().and_then(|o| o.zone.clone()),
        };
        let peers = Peers::new(&location, hosts);
        let same = |a: &Topology, b: &Topology| a.members() == b.members();
        let changed = !same(&peers.topology, &self.peers.borrow().topology);
        if changed {
            *self.peers.borrow_mut() = Rc::new(peers);
        }
    }

    /// Reads the hosts of the service from the store, if no entry tells them.
    pub(super) async fn read_peers(&self) {
        if !self.is_forgotten() {
            return;
        }
        let records = match self.store.newest(Topic::Endpoints).await {
            Ok(records) => records.records,
            Err(e) => {
                log::debug!("the list of hosts cannot be read: {e}");
                return;
            }
        };
        let values = records.iter().filter_map(|r| r.value.as_ref());
        let endpoints = values.filter_map(|v| D::endpoint(v).ok());
        let own = endpoints.filter(|e| e.service == self.settings.service);
        let hosts: Vec<_> = own.map(|e| (e.addr, e.zone)).collect();
        self.set_hosts(&hosts);
    }

    /// Brings the endpoint to the target, or waits for a change.
    pub(super) async fn step(&self) {
        let target = self.target().filter(|_| self.report.borrow().is_some());
        let Some(target) = target else {
            self.changed.notified().await;
            return;
        };
        tokio::select! {
            () = self.bring(&target) => {}
            () = self.superseded(&target) => {
                emit!(log_event::COPY, "model={} state=superseded", target.model);
            }
        }
        self.copying.set(false);
        self.loading.set(false);
    }

    async fn bring(&self, target: &Target) {
        self.copying.set(true);
        self.read_peers().await;
        let Some(manifest) = self.manifest(target).await else {
            tokio::time::sleep(jitter(RETRY).duration()).await;
            return;
        };
        let manifest = Rc::new(manifest);
        self.holdings.begin(&target.model, &manifest);
        let begun = self.now();
        let kept = self.check(&target.model, &manifest).await;
        emit!(
            log_event::COPY,
            "model={} version={} state=begun kept={kept} of={}",
            target.model,
            manifest.version,
            manifest.digests.len()
        );
        if kept < manifest.digests.len() {
            if let Err(e) = copy(self.copy_context(target, &manifest)).await {
                emit!(
                    log_event::COPY,
                    "model={} version={} state=restarted reason=\"{e}\"",
                    target.model,
                    manifest.version
                );
                self.holdings.clear();
                self.doubted.set(true);
                return;
            }
            emit!(
                log_event::COPY,
                "model={} version={} state=complete ms={}",
                target.model,
                manifest.version,
                (self.now() - begun).0
            );
        }
        self.loading.set(true);
        self.copying.set(false);
        if self.loaded().is_some_and(|v| v >= manifest.version) {
            self.loading.set(false);
            // Complete: nothing to do before the next change.
            std::future::pending::<()>().await;
        }
        self.wait_turn(target, &manifest).await;
        if self.check(&target.model, &manifest).await == manifest.digests.len() {
            self.load(target, manifest.version).await;
        }
    }

    fn copy_context(&self, target: &Target, manifest: &Rc<Manifest>) -> CopyContext<H, O> {
        CopyContext {
            host: self.host.clone(),
            origin: self.origin.clone(),
            origin_addr: self.origin_spec.borrow().as_ref().map(|o| o.addr),
            client: self.client.clone(),
            holdings: self.holdings.clone(),
            peers: self.peers.clone(),
            down: self.settings.link,
            pacer: self.down_pacer.clone(),
            clock: self.clock,
            model: target.model.clone(),
            manifest: manifest.clone(),
        }
    }

    async fn manifest(&self, target: &Target) -> Option<Manifest> {
        let version = target.version.filter(|_| !self.doubted.replace(false));
        if let Some(version) = version {
            if let Some(known) = self.holdings.manifest(&target.model, version) {
                return Some((*known).clone());
            }
            if let Some(told) = self.told_manifest(&target.model, version).await {
                return Some(told);
            }
        }
        let addr = self.origin_spec.borrow().as_ref().map(|o| o.addr)?;
        match self
            .origin
            .manifest(addr, &target.model, target.version)
            .await
        {
            Ok(manifest) => Some(manifest),
            Err(e) => {
                emit!(log_event::ORIGIN, "model={} reason=\"{e}\"", target.model);
                None
            }
        }
    }

    /// Asks other hosts for a manifest, so that few ask the origin.
    async fn told_manifest(&self, model: &str, version: WeightVersion) -> Option<Manifest> {
        let id = version_id(model, version);
        let sources = self.peers.borrow().manifest_sources(&id);
        for addr in sources {
            let told = self.client.manifest(addr, model, version).await;
            if told.is_some() {
                return told;
            }
        }
        None
    }

    /// Reads the staged chunks and checks them; returns how many are held.
    async fn check(&self, model: &str, manifest: &Manifest) -> usize {
        let staged = self.host.staged(model).await.unwrap_or_else(|e| {
            log::debug!("the staged chunks cannot be listed: {e}");
            Vec::new()
        });
        for (i, digest) in manifest.digests.iter().enumerate() {
            let chunk = i as u32;
            let intact = staged.contains(&chunk)
                && match self.host.read(model, chunk).await {
                    Ok(data) => data.is_some_and(|d| is_intact(&d, digest)),
                    Err(e) => {
                        log::debug!("chunk {chunk} cannot be read: {e}");
                        false
                    }
                };
            if intact {
                self.holdings.insert(model, manifest.version, chunk);
            } else {
                self.holdings.remove(model, manifest.version, chunk);
            }
        }
        self.holdings.held(model, manifest.version).len()
    }

    /// Waits for this host's turn to load.
    async fn wait_turn(&self, target: &Target, manifest: &Manifest) {
        let (rank, hosts) = self.peers.borrow().turn(manifest.version);
        let turn = Rollout {
            bound: self.settings.bound,
            rank,
            hosts,
        };
        let outdated = self.loaded().and_then(|loaded| {
            let named = self.named.borrow();
            named.get(&target.model)?.outdated(loaded)
        });
        let now = self.now();
        let wait = outdated.map_or(Millis::ZERO, |at| turn.start(at) - now);
        emit!(
            log_event::LOAD,
            "model={} version={} state=waiting rank={rank} hosts={hosts} ms={}",
            target.model,
            manifest.version,
            wait.0
        );
        tokio::time::sleep(wait.duration()).await;
    }

    /// Orders the load and waits for it.
    async fn load(&self, target: &Target, version: WeightVersion) {
        let answer = self.host.load(&target.model, version).await;
        let text = match &answer {
            Ok(answer) => format!("{answer:?}"),
            Err(e) => e.to_string(),
        };
        emit!(
            log_event::LOAD,
            "model={} version={version} state=ordered answer=\"{text}\"",
            target.model
        );
        if !matches!(answer, Ok(LoadAnswer::Begun | LoadAnswer::Done)) {
            tokio::time::sleep(RETRY.duration()).await;
            return;
        }
        // The endpoint has taken the staged chunks, so a newer version may replace them.
        self.loading.set(false);
        self.changed.notify_one();
        let mut idle = self.now();
        loop {
            tokio::time::sleep(REPORT.duration()).await;
            if self.loaded().is_some_and(|v| v >= version) {
                emit!(
                    log_event::LOAD,
                    "model={} version={version} state=loaded",
                    target.model
                );
                return;
            }
            if self.report.borrow().as_ref().is_some_and(|r| r.busy) {
                idle = self.now();
            }
            if self.now() > idle + ORDER_RETRY {
                return;
            }
        }
    }
}
