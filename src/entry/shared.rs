//! What all requests of an entry share.

use std::sync::{
    atomic::{AtomicU32, AtomicU64, Ordering},
    Arc, Mutex, MutexGuard,
};

use arc_swap::ArcSwap;
use tokio::sync::Notify;

use super::{gate::Gate, metrics::EntryMetrics};
use crate::{
    base::{lock, Clock, HashMap, Millis, ProcessName, Service},
    decide::{
        member::{Action, Membership, WatchPolicy},
        route::{AgentView, RouteTable, Target},
    },
    process::Context,
    settings::InForce,
    wire::{AgentReport, HostEntry, HostState, Hosts, Role},
};

/// Pause that callers are told to make when no better time is known.
pub(super) const RETRY_PAUSE: Millis = Millis(1000);

/// Time after the start within which the first reports of the agents arrive.
const WARM_TIME: Millis = Millis(2000);

/// Pause between two looks at the agents after the start.
const WARM_PAUSE: Millis = Millis(20);

/// Membership and what belongs to it.
#[derive(Debug)]
struct View {
    members: Membership,
    /// Counts of this entry, by agent.
    slots: HashMap<ProcessName, Arc<AgentView>>,
    /// Last host list that was taken over.
    hosts: Arc<Hosts>,
}

/// What all requests of an entry share.
#[derive(Debug)]
pub(super) struct Shared {
    /// Process context.
    pub(super) ctx: Context,
    /// Metrics.
    pub(super) metrics: EntryMetrics,
    /// Notified when a request waits for admission.
    pub(super) waiting: Notify,
    /// Notified when a share is too small.
    pub(super) shares: Notify,
    view: Mutex<View>,
    tables: ArcSwap<HashMap<Service, Arc<RouteTable>>>,
    gates: Mutex<HashMap<Service, Arc<Gate>>>,
    /// Live entries of the region, this one included.
    entries: AtomicU32,
    running: AtomicU32,
    /// Notified when a request ended.
    idle: Notify,
    /// Time of the process clock at which the last request ended, in milliseconds.
    ended: AtomicU64,
}

/// Counts a request as in progress until it is dropped.
#[derive(Debug)]
pub(super) struct Running(Arc<Shared>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.ended.store(self.0.now().0, Ordering::SeqCst);
        self.0.running.fetch_sub(1, Ordering::SeqCst);
        self.0.metrics.running.dec();
        self.0.idle.notify_one();
    }
}

impl Shared {
    /// Counts a request as in progress.
    pub(super) fn begin(self: &Arc<Self>) -> Running {
        self.running.fetch_add(1, Ordering::SeqCst);
        self.metrics.running.inc();
        Running(self.clone())
    }

    /// Returns the number of requests in progress.
    pub(super) fn running(&self) -> u32 {
        self.running.load(Ordering::SeqCst)
    }

    /// Waits until no request has been in progress for `quiet`.
    pub(super) async fn drained(&self, quiet: Millis) {
        loop {
            while self.running() > 0 {
                self.idle.notified().await;
            }
            let ended = Millis(self.ended.load(Ordering::SeqCst));
            let past = self.now() - ended;
            if ended == Millis::ZERO || past >= quiet {
                return;
            }
            tokio::time::sleep((quiet - past).duration()).await;
        }
    }

    /// Creates the shared state.
    pub(super) fn new(ctx: Context) -> Self {
        let s = &ctx.settings;
        let members = Membership::new(s.name.clone(), s.region.clone(), s.zone.clone());
        Self {
            metrics: EntryMetrics::register(&ctx.metrics),
            waiting: Notify::new(),
            shares: Notify::new(),
            view: Mutex::new(View {
                members,
                slots: HashMap::default(),
                hosts: Arc::default(),
            }),
            tables: ArcSwap::default(),
            gates: Mutex::default(),
            entries: AtomicU32::new(1),
            running: AtomicU32::new(0),
            idle: Notify::new(),
            ended: AtomicU64::new(0),
            ctx,
        }
    }

    fn view(&self) -> MutexGuard<'_, View> {
        lock(&self.view)
    }

    /// Returns the settings in force.
    pub(super) fn settings(&self) -> Arc<InForce> {
        self.ctx.replica.settings()
    }

    /// Returns the time of the process clock.
    pub(super) fn now(&self) -> Millis {
        self.ctx.clock.now()
    }

    /// Returns the number of live entries of the region, this one included.
    pub(super) fn entries(&self) -> u32 {
        self.entries.load(Ordering::Relaxed)
    }

    /// Returns the agents of a service.
    pub(super) fn table(&self, service: &Service) -> Option<Arc<RouteTable>> {
        self.tables.load().get(service).cloned()
    }

    /// Returns whether an agent of the service takes new requests.
    pub(super) fn serves(&self, service: &Service) -> bool {
        let table = self.table(service);
        table.is_some_and(|t| t.accepting().next().is_some())
    }

    /// Returns whether an agent of the service that is not among `tried` is suspect: it reports again soon or is gone.
    pub(super) fn may_return(&self, service: &Service, tried: &[ProcessName]) -> bool {
        let view = self.view();
        let mut peers = view.members.peers();
        peers.any(|p| p.service == *service && p.is_suspect() && !tried.contains(&p.host.name))
    }

    /// Waits shortly after the start for the first agent of a service: callers know the address of an entry that
    /// restarts, and send requests before the reports of the agents have arrived.
    pub(super) async fn warmed(&self, service: &Service) {
        while self.now() < WARM_TIME && !self.serves(service) {
            tokio::time::sleep(WARM_PAUSE.duration()).await;
        }
    }

    /// Returns the admission state of a service that is in the settings.
    pub(super) fn gate(&self, service: &Service) -> Arc<Gate> {
        let mut gates = lock(&self.gates);
        if let Some(gate) = gates.get(service) {
            return gate.clone();
        }
        let gate = Arc::new(Gate::new(self.ctx.clock));
        gates.insert(service.clone(), gate.clone());
        gate
    }

    /// Returns the admission states of all services.
    pub(super) fn gates(&self) -> Vec<(Service, Arc<Gate>)> {
        let gates = lock(&self.gates);
        gates.iter().map(|(s, g)| (s.clone(), g.clone())).collect()
    }

    /// Takes over a report.
    pub(super) fn report(&self, report: AgentReport) {
        let mut view = self.view();
        let name = report.name.clone();
        // What the route tables hold of an agent; its load is read from the slot.
        let known = |v: &View| {
            let peer = v.members.get(&name)?;
            let r = peer.report.as_ref()?;
            Some((
                peer.accepts_requests(),
                r.instance,
                r.capacity,
                r.version.clone(),
            ))
        };
        let before = known(&view);
        if !view.members.apply_report(self.now(), report.clone()) {
            return;
        }
        let after = known(&view);
        let slot = view.slots.entry(name.clone()).or_default().clone();
        if before.as_ref().map(|k| k.1) != Some(report.instance) {
            slot.clear_prefixes();
        }
        slot.apply_report(&report);
        slot.set_reporting(true);
        // Reports come several times a second from each agent; a table for each would cost too much.
        if before != after {
            self.rebuild(&view);
        }
    }

    /// Notes that the reports of an agent broke off.
    pub(super) fn broken(&self, name: &ProcessName) {
        let mut view = self.view();
        view.members.mark_stream_broken(name);
        self.rebuild(&view);
    }

    /// Notes that an agent refused a request because it leaves.
    pub(super) fn leaving(&self, name: &ProcessName) {
        let mut view = self.view();
        view.members.mark_leaving(name);
        self.rebuild(&view);
    }

    /// Applies host list, settings and the passage of time; returns whom to watch.
    pub(super) fn tick(&self) -> Vec<Action> {
        let now = self.now();
        let settings = self.settings();
        let region = &self.ctx.settings.region;
        let hosts = self.ctx.replica.hosts();
        let mut guard = self.view();
        let view = &mut *guard;
        if !Arc::ptr_eq(&view.hosts, &hosts) {
            view.members.apply_hosts(now, &hosts);
            view.hosts = hosts;
            let live = self.live_entries().len().max(1);
            self.entries.store(live as u32, Ordering::Relaxed);
        }
        let (actions, _) = view.members.tick(now, |service| {
            let s = settings.service(region, service)?;
            Some(WatchPolicy {
                subset: s.route.subset as usize,
                cross_region: s.route.across,
                version: s.weights.version.clone(),
            })
        });
        for peer in view.members.peers().filter(|p| p.watched) {
            if let Some(slot) = view.slots.get(&peer.host.name) {
                slot.set_reporting(peer.is_reporting(now));
            }
        }
        let members = &view.members;
        view.slots
            .retain(|name, slot| members.get(name).is_some() || slot.in_flight() > 0);
        self.rebuild(view);
        actions
    }

    /// Builds the route tables and admission windows from the view.
    fn rebuild(&self, view: &View) {
        let settings = self.settings();
        let mut tables = HashMap::default();
        let mut windows = Vec::new();
        for (service, s) in settings.services(&self.ctx.settings.region) {
            let targets: Vec<Target> = view
                .members
                .peers()
                .filter(|p| p.service == *service && p.accepts_requests())
                .filter_map(|p| {
                    let slot = view.slots.get(&p.host.name)?.clone();
                    Some(Target::new(p, p.report.as_ref()?, slot))
                })
                .collect();
            let table = RouteTable::new(targets, &s.weights, &s.route);
            let open = table.accepting().count();
            self.metrics.set_agents(service.as_str(), open);
            windows.push((self.gate(service), table.window(self.entries())));
            tables.insert(service.clone(), Arc::new(table));
        }
        self.tables.store(Arc::new(tables));
        for (gate, window) in windows {
            gate.set_window(window);
        }
    }

    /// Returns the live entries of this region in the host list, this one included.
    pub(super) fn live_entries(&self) -> Vec<HostEntry> {
        let hosts = self.ctx.replica.hosts();
        let own = &self.ctx.settings;
        let mut out: Vec<_> = hosts
            .hosts
            .iter()
            .filter(|h| h.role == Role::Entry && h.state == HostState::Live)
            .filter(|h| h.region == own.region)
            .cloned()
            .collect();
        if out.iter().all(|h| h.name != own.name) {
            out.push(self.ctx.host_entry());
        }
        out
    }

    /// Returns the callers' address of another live entry, nearest first.
    pub(super) fn alternate(&self) -> Option<String> {
        let hosts = self.ctx.replica.hosts();
        let own = &self.ctx.settings;
        let mut entries: Vec<_> = hosts
            .hosts
            .iter()
            .filter(|h| h.role == Role::Entry && h.state == HostState::Live && h.name != own.name)
            .collect();
        fastrand::shuffle(&mut entries);
        entries.sort_by_key(|h| (h.zone != own.zone, h.region != own.region));
        entries
            .iter()
            .find_map(|h| h.callers)
            .map(|a| a.to_string())
    }
}
