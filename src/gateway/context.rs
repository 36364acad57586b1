//! State that all requests of an entry share.

use std::{
    cell::{Cell, OnceCell, RefCell},
    rc::Rc,
};

use bytes::Bytes;
use tokio::{net::UdpSocket, sync::Notify};

use super::{
    catalog::{Catalog, CatalogVersion},
    cold_times::ColdTimes,
    desired::DesiredVersions,
    endpoint_table::{EndpointId, EndpointTable},
    limits::Limits,
    load_balancer::LoadBalancer,
    load_view::Outcome,
    log_event,
    log_view::LogEnds,
    members::Membership,
    message::DesiredAge,
    metrics::GatewayMetrics,
    ownership::divide,
    permit_requests::Permits,
    record::{Incarnation, WeightVersion},
    schedule::LoadSchedule,
    spill::Spills,
    steadiness::Steadiness,
    worth_loads::WorthLoads,
    write_time::WriteAge,
    Bounds, GatewaySettings, Headers,
};
use crate::{
    base::{Clock, HashMap, HashSet, Millis, Service, SystemClock},
    decide::{
        era::StoreEra,
        evacuation::Evacuation,
        explanation_limit::ExplanationLimit,
        priority::PriorityLoad,
        quarantine::Quarantine,
        residency::Residency,
        retry::{RetryBudget, RetryDraw},
        return_times::ReturnTimes,
        returning::Rejections,
        stop::StopPlan,
        supersede::{Expiry, Margins},
    },
    emit,
    http::{Callers, Pool},
};

/// Number of newest desired versions that have a load schedule; hosts skip versions older than these.
const SCHEDULED_VERSIONS: usize = 3;

/// Shared state of an entry.
#[derive(Debug)]
pub(super) struct Context {
    pub(super) clock: SystemClock,
    pub(super) settings: GatewaySettings,
    /// Guaranteed bounds in force; a reload of the settings replaces them.
    pub(super) bounds: Cell<Bounds>,
    pub(super) headers: Headers,
    pub(super) pool: Pool,
    /// Memory and connections for callers.
    pub(super) callers: Rc<Callers>,
    pub(super) metrics: GatewayMetrics,
    pub(super) catalog: RefCell<Option<Rc<Catalog>>>,
    /// Encoded catalog, and its compressed form from the first query of another entry on.
    pub(super) raw_catalog: RefCell<Bytes>,
    pub(super) compressed_catalog: RefCell<Option<Bytes>>,
    /// Wakes the follower of the operator's records.
    pub(super) operator_wake: Notify,
    /// Whether the store responds as soon as usual.
    pub(super) steadiness: RefCell<Steadiness>,
    /// Newest era of the store that is known.
    pub(super) store_era: RefCell<StoreEra>,
    /// Wakes what waits for a new era of the store.
    pub(super) era_changed: Notify,
    pub(super) endpoints: RefCell<EndpointTable>,
    pub(super) balancer: RefCell<LoadBalancer>,
    /// Limits of the request rate that endpoints named.
    pub(super) limits: RefCell<Limits>,
    pub(super) permits: RefCell<Permits>,
    /// Zones whose endpoints get no requests.
    pub(super) evacuation: RefCell<Evacuation>,
    /// Where the operator's log was last known to end.
    pub(super) log_ends: RefCell<LogEnds>,
    /// Cold times that responses of endpoints told.
    pub(super) cold: RefCell<ColdTimes>,
    pub(super) spills: RefCell<Spills>,
    /// Parts of prompts that were in flight when endpoints ended.
    pub(super) quarantine: RefCell<Quarantine>,
    /// Requests that entries rejected and whose callers may return.
    pub(super) rejections: RefCell<Rejections>,
    /// Wakes the requests in flight when a part was quarantined.
    pub(super) quarantined: Notify,
    /// Makes this entry tell others of a change of `quarantine`.
    pub(super) quarantine_news: Notify,
    /// Socket for datagrams to other entries; set before the entry is ready.
    pub(super) socket: OnceCell<Rc<UdpSocket>>,
    pub(super) members: RefCell<Membership>,
    pub(super) desired: RefCell<HashMap<Rc<str>, DesiredVersions>>,
    /// Load schedule of each service, for its newest desired versions and the endpoints since the last change.
    schedules: RefCell<HashMap<Service, Rc<LoadSchedule>>>,
    budgets: RefCell<HashMap<Service, RetryBudget>>,
    /// Requests for engines by priority.
    pub(super) priorities: RefCell<HashMap<Service, PriorityLoad>>,
    /// Requests for engines by what they are worth.
    pub(super) worth: RefCell<WorthLoads>,
    /// When rejected callers return, by service and by where their requests may be served.
    pub(super) return_times: RefCell<HashMap<(Service, Residency), ReturnTimes>>,
    /// Endpoints that this entry owns.
    pub(super) owned: RefCell<HashSet<EndpointId>>,
    /// Endpoints whose memory this entry fills, each with the number of entries that do.
    pub(super) homes: RefCell<HashMap<EndpointId, u32>>,
    /// Whether the endpoint table was loaded, from the store or from another entry.
    pub(super) table_loaded: Cell<bool>,
    /// Whether the endpoint table changed since the last call of [`Context::notify_changed`].
    pub(super) table_changed: Cell<bool>,
    /// Time since which this entry has been a zone reader; `None` while it is not.
    pub(super) reader_since: Cell<Option<Millis>>,
    /// Time at which the next read of the endpoints' records is due.
    pub(super) next_read: Cell<Millis>,
    /// Time since which the endpoints' records have been read without a gap, if they are read now.
    pub(super) read_from: Cell<Millis>,
    /// Wakes the long polls that wait for a change of catalog, desired versions or endpoints.
    pub(super) changed: Notify,
    /// Makes this entry send its next datagram early.
    pub(super) gossip_soon: Notify,
    /// Wakes the tasks that fetch the catalog or the endpoint table from other entries.
    pub(super) peer_ahead: Notify,
    /// Time at which the process started.
    pub(super) started: Millis,
    /// Plan of the stop in progress; `None` until the process is told to stop.
    pub(super) stop: Cell<Option<StopPlan>>,
    /// Wakes the requests without a response shortly before the process exits.
    pub(super) exiting: Notify,
    /// Whether the process ends now, so that its remaining tasks are dropped.
    pub(super) ended: Cell<bool>,
    /// Requests of callers in progress.
    pub(super) running: Cell<u32>,
    /// Limits the explanations that operators ask for.
    pub(super) explanations: RefCell<ExplanationLimit>,
}

impl Context {
    pub(super) fn new(
        settings: GatewaySettings,
        headers: Headers,
        members: Membership,
        metrics: GatewayMetrics,
    ) -> Rc<Self> {
        let clock = SystemClock::start_late();
        Rc::new(Self {
            started: clock.now(),
            clock,
            bounds: Cell::new(settings.bounds),
            callers: Callers::new(settings.host.capacity()),
            settings,
            headers,
            pool: Pool::default(),
            metrics,
            catalog: RefCell::default(),
            raw_catalog: RefCell::default(),
            compressed_catalog: RefCell::default(),
            operator_wake: Notify::new(),
            steadiness: RefCell::default(),
            store_era: RefCell::default(),
            era_changed: Notify::default(),
            endpoints: RefCell::default(),
            balancer: RefCell::default(),
            limits: RefCell::default(),
            permits: RefCell::default(),
            evacuation: RefCell::default(),
            log_ends: RefCell::default(),
            cold: RefCell::default(),
            spills: RefCell::default(),
            quarantine: RefCell::new(Quarantine::new(clock.now())),
            rejections: RefCell::default(),
            quarantined: Notify::new(),
            quarantine_news: Notify::new(),
            socket: OnceCell::new(),
            members: RefCell::new(members),
            desired: RefCell::default(),
            schedules: RefCell::default(),
            budgets: RefCell::default(),
            priorities: RefCell::default(),
            worth: RefCell::default(),
            return_times: RefCell::default(),
            owned: RefCell::default(),
            homes: RefCell::default(),
            table_loaded: Cell::default(),
            table_changed: Cell::default(),
            reader_since: Cell::default(),
            next_read: Cell::default(),
            read_from: Cell::default(),
            changed: Notify::new(),
            gossip_soon: Notify::new(),
            peer_ahead: Notify::new(),
            stop: Cell::default(),
            exiting: Notify::new(),
            ended: Cell::default(),
            running: Cell::default(),
            explanations: RefCell::default(),
        })
    }

    pub(super) fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Replaces the bounds by those of the reloaded settings; sockets and names change only by a restart.
    pub(super) fn reload(&self, load: &mut impl FnMut() -> eyre::Result<GatewaySettings>) {
        match load() {
            Ok(new) => {
                self.bounds.set(new.bounds);
                emit!(log_event::PROCESS, "state=reloaded");
            }
            Err(e) => emit!(log_event::PROCESS, "state=reload-failed reason=\"{e}\""),
        }
    }

    /// Returns whether callers may be sent to this entry.
    pub(super) fn is_ready(&self) -> bool {
        !self.is_stopping() && self.is_informed()
    }

    /// Returns whether the process was told to stop.
    pub(super) fn is_stopping(&self) -> bool {
        self.stop.get().is_some()
    }

    /// Waits until requests without a response must get one, because the process exits soon.
    pub(super) async fn wait_for_exit(&self) {
        loop {
            let woken = self.exiting.notified();
            let plan = self.stop.get();
            if plan.is_some_and(|plan| plan.answer() <= self.now()) {
                return;
            }
            woken.await;
        }
    }

    /// Returns whether this entry has an endpoint table and a catalog, and knows which zones are evacuated.
    pub(super) fn is_informed(&self) -> bool {
        self.table_loaded.get() && self.catalog.borrow().is_some() && self.knows_evacuation()
    }

    /// Returns the version of the catalog in force; zero before the first one.
    pub(super) fn catalog_version(&self) -> CatalogVersion {
        let catalog = self.catalog.borrow();
        catalog.as_ref().map(|c| c.version).unwrap_or_default()
    }

    /// Puts a catalog in force unless it is no newer than the present one; returns whether it did. `raw` is its encoded
    /// form, for other entries.
    pub(super) fn set_catalog(&self, mut catalog: Catalog, raw: Bytes) -> bool {
        let mut current = self.catalog.borrow_mut();
        let known = current.as_ref().map(|c| c.version);
        if known.is_some_and(|v: CatalogVersion| v >= catalog.version) {
            return false;
        }
        catalog.resolve_regions(&self.settings.zones);
        catalog.log_faults();
        *current = Some(Rc::new(catalog));
        *self.raw_catalog.borrow_mut() = raw;
        *self.compressed_catalog.borrow_mut() = None;
        drop(current);
        self.notify_changed();
        true
    }

    /// Records a desired version; returns whether it is newer than the known ones.
    ///
    /// `age` is `None` if the version may have been desired when this process started.
    pub(super) fn record_desired(
        &self,
        model: Rc<str>,
        version: WeightVersion,
        age: Option<WriteAge>,
    ) -> bool {
        let now = self.now();
        let newer = {
            let mut desired = self.desired.borrow_mut();
            desired.entry(model).or_default().record(version, age, now)
        };
        if newer {
            self.notify_changed();
        }
        newer
    }

    /// Merges desired versions that another entry reported.
    pub(super) fn merge_desired(&self, reported: Vec<DesiredAge>) {
        let now = self.now();
        for n in reported {
            let changed = {
                let mut desired = self.desired.borrow_mut();
                let versions = desired.entry(n.model.as_str().into()).or_default();
                versions.merge(n.version, n.write_age(), now)
            };
            if changed {
                self.notify_changed();
                let (model, version, age) = (n.model, n.version, n.age);
                emit!(
                    log_event::VERSION,
                    "model={model} version={version} age={age} source=entry"
                );
            }
        }
    }

    /// Returns the desired versions for gossip: those that may not be enforced yet at every entry, and the ones before.
    pub(super) fn desired_ages(&self) -> Vec<DesiredAge> {
        let now = self.now();
        let limit = self.bounds.get().version.times(2);
        let desired = self.desired.borrow();
        let all = desired.iter().flat_map(|(model, versions)| {
            let recent = versions.recent_ages(limit, now);
            recent.map(move |(version, age)| DesiredAge::new(model, version, age))
        });
        all.collect()
    }

    /// Returns the oldest version on which a request may begin now, and the oldest one on which it may begin after
    /// waiting in an endpoint's queue; `read_time` is the time in which an endpoint reads its prompt.
    pub(super) fn oldest_versions(
        &self,
        desired: &DesiredVersions,
        read_time: Millis,
    ) -> (WeightVersion, WeightVersion) {
        let bound = self.bounds.get().version;
        let margins = Margins::default();
        let binding = |margin| {
            desired
                .enforced(bound - margin, self.now())
                .unwrap_or_default()
        };
        (
            binding(margins.send() + read_time),
            binding(margins.queue() + read_time),
        )
    }

    /// Returns whether an endpoint has no version of its service's weights loaded, or an older one than the newest
    /// desired one.
    pub(super) fn is_load_pending(&self) -> bool {
        let catalog = self.catalog.borrow();
        let Some(catalog) = &*catalog else {
            return false;
        };
        let desired = self.desired.borrow();
        self.endpoints.borrow().iter().any(|e| {
            let spec = catalog.services.get(&e.record.service);
            let weights = spec.and_then(|s| s.weights.as_ref());
            let models = weights.into_iter().flat_map(|w| &w.models);
            models.into_iter().any(|model| {
                let newest = desired.get(model).and_then(DesiredVersions::newest);
                e.weights(model)
                    .is_none_or(|v| newest.is_some_and(|n| v < n))
            })
        })
    }

    /// Recomputes which endpoints this entry owns and of which it is a home, from the entries that are live now.
    pub(super) fn update_ownership(&self) {
        let members = self.members.borrow();
        let entries = members.ready_entries(self.now());
        let (owned, homes) = divide(&self.endpoints.borrow(), &entries, members.me().peer);
        *self.owned.borrow_mut() = owned;
        *self.homes.borrow_mut() = homes;
    }

    /// Discards the load schedules, because endpoints were added or removed.
    pub(super) fn clear_schedules(&self) {
        self.schedules.borrow_mut().clear();
    }

    /// Returns the load schedule of a service for the newest desired versions.
    pub(super) fn load_schedule(
        &self,
        service: &Service,
        desired: &DesiredVersions,
    ) -> Rc<LoadSchedule> {
        let mut all = self.schedules.borrow_mut();
        match all.get(service) {
            Some(schedule) if schedule.newest() == desired.newest() => schedule.clone(),
            _ => {
                let versions: Vec<_> = desired.latest(SCHEDULED_VERSIONS).collect();
                let catalog = self.catalog.borrow();
                let origin = catalog.as_ref().and_then(|c| c.origin()?.zone.as_ref());
                let table = self.endpoints.borrow();
                let schedule = Rc::new(LoadSchedule::new(&table, service, &versions, origin));
                all.insert(service.clone(), schedule.clone());
                schedule
            }
        }
    }

    /// Calls a function and then restores the load schedules that were known before, so that an explanation leaves none
    /// behind.
    pub(super) fn with_schedules_restored<T>(&self, explain: impl FnOnce() -> T) -> T {
        let known = self.schedules.borrow().clone();
        let result = explain();
        self.schedules.replace(known);
        result
    }

    /// Returns by when a request to an endpoint with this version of a model must be sent and must have begun; `None` if
    /// the version is not superseded. `read_time` is the time in which the endpoint reads the prompt.
    pub(super) fn expiry(
        &self,
        model: &str,
        version: WeightVersion,
        read_time: Millis,
    ) -> Option<Expiry> {
        let desired = self.desired.borrow();
        let since = desired.get(model)?.superseded_at(version)?;
        let end = since + self.bounds.get().version;
        Some(Margins::default().expiry(end, read_time))
    }

    fn budget<T>(&self, service: &Service, f: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let mut budgets = self.budgets.borrow_mut();
        let bounds = self.bounds.get();
        let (burst, entries) = (bounds.retry_burst, self.members.borrow().count() as u32);
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::shared(burst, entries));
        budget.share_among(burst, entries);
        f(budget)
    }

    /// Counts a caller's request, which adds to the retry budget of its service.
    pub(super) fn count_request(&self, service: &Service) {
        self.budget(service, |b| b.record_request(self.bounds.get().retries));
    }

    /// Returns whether the budget of a service allows a retry.
    pub(super) fn has_retry(&self, service: &Service, draw: RetryDraw) -> bool {
        self.budget(service, |b| b.allows(self.bounds.get().retries, draw))
    }

    /// Takes a retry from the budget of a service; returns whether there was one left.
    pub(super) fn take_retry(&self, service: &Service, draw: RetryDraw) -> bool {
        let share = self.bounds.get().retries;
        let taken = self.budget(service, |b| b.try_take_drawn(share, draw));
        if taken {
            self.metrics.retries.inc();
        }
        taken
    }

    /// Records the end of a request at a run of an endpoint. The outcome says nothing of a later run.
    pub(super) fn end(&self, id: &EndpointId, run: Incarnation, outcome: Outcome) {
        let outcome = if self.is_current(id, run) {
            outcome
        } else {
            Outcome::Abandoned
        };
        self.balancer.borrow_mut().end(id, outcome, self.now());
    }

    /// Returns the connections that an endpoint of a service accepts from all entries together; 0 if that is not known.
    pub(super) fn connections(&self, service: &Service) -> u32 {
        let catalog = self.catalog.borrow();
        let spec = catalog.as_ref().and_then(|c| c.services.get(service));
        spec.map_or(0, |s| s.connections)
    }

    /// Returns whether what a response says of its endpoint holds now: the endpoint has not started again since the request
    /// was sent, as far as this entry knows.
    pub(super) fn is_current(&self, id: &EndpointId, run: Incarnation) -> bool {
        self.endpoints.borrow().is_current(id, run)
    }
}
