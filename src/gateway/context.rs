//! State that all requests of an entry share.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use bytes::Bytes;
use tokio::sync::Notify;

use super::{
    balance::Balance,
    catalog::{Catalog, CatalogVersion},
    fleet::{EndpointId, Fleet},
    homes::homes,
    log_event,
    members::{Members, NamedAge},
    metrics::GatewayMetrics,
    named::Named,
    record::WeightVersion,
    turns::Turns,
    view::Outcome,
    Bounds, GatewaySettings, Headers,
};
use crate::{
    base::{Clock, HashMap, HashSet, Millis, Service, SystemClock},
    decide::retry::RetryBudget,
    emit,
    http::Pool,
};

/// Time before the bound of a version from which requests no longer go to endpoints with an older one, and from which
/// they go there only if they begin at once. The rest covers the ways of the record and of the request.
const BEGIN_MARGIN: Millis = Millis(900);
const WAIT_MARGIN: Millis = Millis(2000);

/// Time before the bound of a version at which requests that have not begun on an older one are taken back.
const RECALL_MARGIN: Millis = Millis(150);

/// Newest versions whose turns are foreseen; hosts leave out versions that are older.
const TURN_VERSIONS: usize = 3;

/// Entries among which the deployment's burst of retries is divided at least.
const BUDGET_SHARES: u32 = 8;

/// State of an entry.
#[derive(Debug)]
pub(super) struct Context {
    pub(super) clock: SystemClock,
    pub(super) settings: GatewaySettings,
    /// Promises in force; a reload of the settings changes them.
    pub(super) bounds: Cell<Bounds>,
    pub(super) headers: Headers,
    pub(super) pool: Pool,
    pub(super) metrics: GatewayMetrics,
    pub(super) catalog: RefCell<Option<Rc<Catalog>>>,
    /// Encoded form of the catalog, and its compressed form once another entry asked for it.
    pub(super) raw_catalog: RefCell<Bytes>,
    pub(super) packed_catalog: RefCell<Option<Bytes>>,
    /// Wakes the follower of the operator's records.
    pub(super) news: Notify,
    pub(super) fleet: RefCell<Fleet>,
    pub(super) balance: RefCell<Balance>,
    pub(super) members: RefCell<Members>,
    pub(super) named: RefCell<HashMap<Rc<str>, Named>>,
    /// Turns of each service, for the newest named version and the endpoints at the last change.
    turns: RefCell<HashMap<Service, Rc<Turns>>>,
    budgets: RefCell<HashMap<Service, RetryBudget>>,
    /// Endpoints of which this entry is the home.
    pub(super) homes: RefCell<HashSet<EndpointId>>,
    /// Whether the endpoints were read once.
    pub(super) fleet_known: Cell<bool>,
    /// Whether the table of endpoints changed since that was told.
    pub(super) fleet_changed: Cell<bool>,
    /// Since when this entry reads the store.
    pub(super) reads_since: Cell<Option<Millis>>,
    /// When the next read of the endpoints is due.
    pub(super) read_due: Cell<Millis>,
    /// Wakes those who wait for a change of catalog, named versions or endpoints.
    pub(super) changed: Notify,
    /// Makes the next beat early.
    pub(super) beat_soon: Notify,
    /// Wakes those who take over what other entries have.
    pub(super) heard: Notify,
    /// Start of the process.
    pub(super) started: Millis,
    pub(super) draining: Cell<bool>,
    /// Requests in progress.
    pub(super) running: Cell<u32>,
}

impl Context {
    pub(super) fn new(
        settings: GatewaySettings,
        headers: Headers,
        members: Members,
        metrics: GatewayMetrics,
    ) -> Rc<Self> {
        let clock = SystemClock::start_late();
        Rc::new(Self {
            started: clock.now(),
            clock,
            bounds: Cell::new(settings.bounds),
            settings,
            headers,
            pool: Pool::default(),
            metrics,
            catalog: RefCell::default(),
            raw_catalog: RefCell::default(),
            packed_catalog: RefCell::default(),
            news: Notify::new(),
            fleet: RefCell::default(),
            balance: RefCell::default(),
            members: RefCell::new(members),
            named: RefCell::default(),
            turns: RefCell::default(),
            budgets: RefCell::default(),
            homes: RefCell::default(),
            fleet_known: Cell::default(),
            fleet_changed: Cell::default(),
            reads_since: Cell::default(),
            read_due: Cell::default(),
            changed: Notify::new(),
            beat_soon: Notify::new(),
            heard: Notify::new(),
            draining: Cell::default(),
            running: Cell::default(),
        })
    }

    pub(super) fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Takes over the promises of changed settings; sockets and names stay until a restart.
    pub(super) fn reload(&self, load: &mut impl FnMut() -> eyre::Result<GatewaySettings>) {
        match load() {
            Ok(new) => {
                self.bounds.set(new.bounds);
                emit!(log_event::PROCESS, "state=reloaded");
            }
            Err(e) => emit!(log_event::PROCESS, "state=reload-failed reason=\"{e}\""),
        }
    }

    /// Returns whether callers should be sent here.
    pub(super) fn is_ready(&self) -> bool {
        !self.draining.get() && self.is_informed()
    }

    /// Returns whether this entry knows endpoints and catalog.
    pub(super) fn is_informed(&self) -> bool {
        self.fleet_known.get() && self.catalog.borrow().is_some()
    }

    /// Returns the version of the catalog in force.
    pub(super) fn catalog_version(&self) -> CatalogVersion {
        let catalog = self.catalog.borrow();
        catalog.as_ref().map(|c| c.version).unwrap_or_default()
    }

    /// Puts a catalog in force unless a newer one is; returns whether it did. `raw` is passed on to other entries.
    pub(super) fn set_catalog(&self, catalog: Catalog, raw: Bytes) -> bool {
        let mut current = self.catalog.borrow_mut();
        let known = current.as_ref().map(|c| c.version);
        if known.is_some_and(|v: CatalogVersion| v >= catalog.version) {
            return false;
        }
        *current = Some(Rc::new(catalog));
        *self.raw_catalog.borrow_mut() = raw;
        *self.packed_catalog.borrow_mut() = None;
        drop(current);
        self.tell();
        true
    }

    /// Notes a named version; returns whether it is newer than the known one.
    ///
    /// `found` says that the process started after the version was named.
    pub(super) fn name_version(&self, model: Rc<str>, version: WeightVersion, found: bool) -> bool {
        let now = self.now();
        let newer = {
            let mut named = self.named.borrow_mut();
            named.entry(model).or_default().note(version, found, now)
        };
        if newer {
            self.tell();
        }
        newer
    }

    /// Takes over named versions that another entry told.
    pub(super) fn learn_versions(&self, told: Vec<NamedAge>) {
        let now = self.now();
        for n in told {
            let learned = {
                let mut named = self.named.borrow_mut();
                let versions = named.entry(n.model.as_str().into()).or_default();
                versions.learn(n.version, now - n.age)
            };
            if learned {
                self.tell();
                let (model, version, age) = (n.model, n.version, n.age);
                emit!(
                    log_event::VERSION,
                    "model={model} version={version} age={age} source=entry"
                );
            }
        }
    }

    /// Returns the named versions that may not bind yet at every entry.
    pub(super) fn told_versions(&self) -> Vec<NamedAge> {
        let now = self.now();
        let limit = self.bounds.get().version.times(2);
        let named = self.named.borrow();
        let all = named.iter().flat_map(|(model, versions)| {
            versions.known().map(move |(version, at)| NamedAge {
                model: model.to_string(),
                version,
                age: now - at,
            })
        });
        all.filter(|n| n.age < limit).collect()
    }

    /// Returns the oldest version that a request may begin on now, and the oldest one that may still begin when it has
    /// waited at an endpoint.
    pub(super) fn oldest_versions(&self, named: &Named) -> (WeightVersion, WeightVersion) {
        let bound = self.bounds.get().version;
        let binding = |margin| {
            named
                .binding(bound - margin, self.now())
                .unwrap_or_default()
        };
        (binding(BEGIN_MARGIN), binding(WAIT_MARGIN))
    }

    /// Returns whether an endpoint has yet to load the weights of its service.
    pub(super) fn awaits_weights(&self) -> bool {
        let catalog = self.catalog.borrow();
        let Some(catalog) = &*catalog else {
            return false;
        };
        let named = self.named.borrow();
        self.fleet.borrow().iter().any(|e| {
            let spec = catalog.services.get(&e.record.service);
            let weights = spec.and_then(|s| s.weights.as_ref());
            let models = weights.into_iter().flat_map(|w| &w.models);
            models.into_iter().any(|model| {
                let newest = named.get(model).and_then(Named::newest);
                e.weights(model)
                    .is_none_or(|v| newest.is_some_and(|n| v < n))
            })
        })
    }

    /// Divides the endpoints among the entries that are live now.
    pub(super) fn divide(&self) {
        let members = self.members.borrow();
        let entries = members.places(self.now());
        let mine = homes(&self.fleet.borrow(), &entries, members.me().peer);
        *self.homes.borrow_mut() = mine;
    }

    /// Forgets the turns, because endpoints came or left.
    pub(super) fn reset_turns(&self) {
        self.turns.borrow_mut().clear();
    }

    /// Returns the turns of a service for the newest named versions.
    pub(super) fn turns(&self, service: &Service, named: &Named) -> Rc<Turns> {
        let mut all = self.turns.borrow_mut();
        match all.get(service) {
            Some(turns) if turns.newest() == named.newest() => turns.clone(),
            _ => {
                let versions: Vec<_> = named.latest(TURN_VERSIONS).collect();
                let catalog = self.catalog.borrow();
                let origin = catalog.as_ref().and_then(|c| c.origin()?.zone.as_ref());
                let fleet = self.fleet.borrow();
                let turns = Rc::new(Turns::new(&fleet, service, &versions, origin));
                all.insert(service.clone(), turns.clone());
                turns
            }
        }
    }

    /// Returns when a request that was sent to an endpoint with a version has to have begun.
    pub(super) fn begin_by(&self, named: &Named, version: WeightVersion) -> Option<Millis> {
        let outdated = named.outdated(version)?;
        Some(outdated + self.bounds.get().version - RECALL_MARGIN)
    }

    fn budget<T>(&self, service: &Service, f: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let mut budgets = self.budgets.borrow_mut();
        let bounds = self.bounds.get();
        let shares = BUDGET_SHARES.max(self.members.borrow().count() as u32 * 3 / 2);
        let burst = (bounds.retry_burst / shares).max(1);
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::with_burst(burst));
        f(budget)
    }

    /// Notes a caller's request in the budget of its service.
    pub(super) fn count_request(&self, service: &Service) {
        self.budget(service, |b| b.record_request(self.bounds.get().retries));
    }

    /// Takes a further attempt from the budget of a service; returns whether there was one.
    pub(super) fn take_retry(&self, service: &Service) -> bool {
        let taken = self.budget(service, |b| b.try_take(self.bounds.get().retries));
        if taken {
            self.metrics.retries.inc();
        }
        taken
    }

    /// Notes the end of a request at an endpoint.
    pub(super) fn end(&self, id: &EndpointId, outcome: Outcome) {
        self.balance.borrow_mut().end(id, outcome, self.now());
    }
}

/// Counts a request at an endpoint; without a verdict it ends as abandoned.
#[derive(Debug)]
pub(super) struct InFlight {
    ctx: Rc<Context>,
    id: EndpointId,
    outcome: Outcome,
    /// Prompt tokens that the endpoint has yet to read.
    prompt: u32,
}

impl InFlight {
    /// Counts a request with a prompt of some tokens.
    pub(super) fn begin(ctx: &Rc<Context>, id: EndpointId, prompt: u32) -> Self {
        ctx.balance.borrow_mut().begin(&id, prompt, ctx.now());
        Self {
            ctx: ctx.clone(),
            id,
            outcome: Outcome::Abandoned,
            prompt,
        }
    }

    /// Notes that the endpoint has read the prompt.
    pub(super) fn has_read(&mut self) {
        let prompt = std::mem::take(&mut self.prompt);
        let mut balance = self.ctx.balance.borrow_mut();
        balance.has_read(&self.id, prompt);
    }

    /// Ends the request with a verdict on the endpoint.
    pub(super) fn end(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.has_read();
        self.ctx.end(&self.id, self.outcome);
    }
}

/// Counts a request of a caller.
#[derive(Debug)]
pub(super) struct Running(Rc<Context>);

impl Running {
    pub(super) fn begin(ctx: &Rc<Context>) -> Self {
        ctx.running.set(ctx.running.get() + 1);
        Self(ctx.clone())
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get() - 1);
    }
}
