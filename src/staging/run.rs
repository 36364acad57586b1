//! The agent process: its sockets, tasks and shutdown.

use std::{collections::HashMap as RegionMap, net::SocketAddr, rc::Rc};

use bytes::Bytes;
use eyre::WrapErr;
use tokio::{net::UdpSocket, sync::watch, task::spawn_local};

use super::{
    agent::Agent,
    exchange::{ChunkServer, LINK_SHARE, TRANSFER_TIMEOUT},
    inventory::ChunkInventory,
    log_event,
    uploads::Uploads,
    EndpointHost, Origin,
};
use crate::{
    base::{Era, Millis, ProcessName, Rate, Region, Service, Size, SystemClock, Zone},
    emit,
    gateway::{
        follow, Catalog, Decode, HostLimits, OperatorFollower, OperatorSink, RecordStore, Topic,
        UnusableReport, WeightVersion, WriteAge,
    },
    http::{listen, Callers, ServeOptions},
    net::Pacer,
    process::Signals,
};

/// Longest wait of one long poll of the operator's records.
const READ_WAIT: Millis = Millis(2500);

/// Interval between two polls of the endpoint. Short, because calls on the same host take nothing from the link.
pub(super) const POLL_INTERVAL: Millis = Millis(150);

/// Interval between two reads of the list of hosts while a copy is in progress.
const PEERS_INTERVAL: Millis = Millis(1000);

/// Longest time that a stopping agent waits for uploads in progress: until the receiver of the last one has given up.
const DRAIN_TIMEOUT: Millis = Millis(TRANSFER_TIMEOUT.0 + ACCEPT_TIME.0);

/// Time for which a stopping agent still accepts uploads, with a margin.
const ACCEPT_TIME: Millis = Millis(300);

/// Settings of an agent process.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// Name of the agent process.
    pub name: ProcessName,
    /// Availability zone of the host.
    pub zone: Zone,
    /// Region of each zone.
    pub regions: RegionMap<Zone, Region>,
    /// Service of the endpoint on this host.
    pub service: Service,
    /// Address at which this agent serves other agents (TCP) and from which it notifies entries (UDP); the port is the
    /// same on all hosts.
    pub peer_addr: SocketAddr,
    /// Age of a desired version from which it is enforced: requests may no longer begin on older ones.
    pub bound: Millis,
    /// Rate of the host's link in each direction.
    pub link_rate: Rate,
    /// Whether to copy before the endpoint responds. False when the deployment starts for the first time, because its
    /// endpoints then hold weights from the start.
    pub prefetch: bool,
    /// Memory and descriptors of the host.
    pub host: HostLimits,
}

/// Runs an agent until it receives SIGTERM.
///
/// # Errors
///
/// Returns an error if a socket cannot be bound or a signal handler cannot be installed.
pub async fn run<S, D, H, O>(
    settings: AgentSettings,
    store: S,
    host: H,
    origin: O,
) -> eyre::Result<()>
where
    S: RecordStore,
    D: Decode,
    H: EndpointHost,
    O: Origin,
{
    run_with::<S, D, H, O>(Signals::install()?, settings, store, host, origin).await
}

/// Runs an agent until it receives SIGTERM, like [`run`], with signals that are handled already.
///
/// # Errors
///
/// Returns an error if a socket cannot be bound.
pub async fn run_with<S, D, H, O>(
    mut signals: Signals,
    settings: AgentSettings,
    store: S,
    host: H,
    origin: O,
) -> eyre::Result<()>
where
    S: RecordStore,
    D: Decode,
    H: EndpointHost,
    O: Origin,
{
    let inventory = Rc::new(ChunkInventory::new(settings.host.memory));
    let clock = SystemClock::start();
    let rate = settings.link_rate.share(LINK_SHARE);
    let pacer = || Rc::new(Pacer::new(rate, Size(0), clock));
    let server = ChunkServer {
        uploads: Rc::new(Uploads::new(pacer(), clock)),
        rate,
        host: host.clone(),
        inventory: inventory.clone(),
    };
    emit!(
        log_event::COPY,
        "state=start name={} service={}",
        settings.name,
        settings.service
    );
    let addr = settings.peer_addr;
    let listener = listen(addr).wrap_err_with(|| {
        format!("cannot listen on {addr} for other agents; check the settings")
    })?;
    let (closing, closed) = watch::channel(false);
    let handler = move |req| server.clone().handle(req);
    let callers = Callers::new(settings.host.capacity());
    let serving = listener.serve_within(Some(callers), ServeOptions::default, handler, closed);
    let serving = spawn_local(serving);
    let agent = Rc::new(Agent::<S, D, H, O>::new(
        settings,
        store.clone(),
        host,
        origin,
        inventory,
        pacer(),
    ));
    spawn_local(agent.clone().poll_assignments());
    spawn_local(follow(
        store,
        Topic::Operator,
        READ_WAIT,
        Rc::new(OperatorFollower::<D, _>::on_demand(agent.clone())),
    ));
    spawn_local(agent.clone().poll_endpoint());
    let socket = UdpSocket::bind(addr).await.wrap_err_with(|| {
        format!("cannot bind UDP {addr} to notify entries; check the settings")
    })?;
    spawn_local(agent.clone().notify_entries(socket));
    spawn_local(agent.clone().refresh_peers());
    spawn_local(agent.clone().choose_first_loads());
    let main = spawn_local({
        let agent = agent.clone();
        async move {
            loop {
                agent.reconcile().await;
            }
        }
    });
    loop {
        tokio::select! {
            _ = signals.term.recv() => break,
            // The settings of an agent do not change while its host runs.
            _ = signals.hangup.recv() => emit!(log_event::COPY, "state=reloaded changed=nothing"),
        }
    }
    emit!(log_event::COPY, "state=stopping");
    main.abort();
    // A load that waits for its start has a task of its own.
    agent.loader.cancel();
    closing.send_replace(true);
    let _ = tokio::time::timeout(DRAIN_TIMEOUT.duration(), serving).await;
    Ok(())
}

/// Applies the operator's records in an agent.
impl<S: RecordStore, D: Decode, H: EndpointHost, O: Origin> OperatorSink for Rc<Agent<S, D, H, O>> {
    fn catalog(&self, catalog: Catalog, _: Bytes) {
        self.set_catalog(&catalog);
    }

    fn weights(&self, model: Rc<str>, version: WeightVersion, age: Option<WriteAge>) {
        self.add_desired(model, version, age);
    }

    fn handover_time(&self) -> Option<Millis> {
        Agent::handover_time(self)
    }

    fn malformed(&self, report: &UnusableReport) {
        emit!(log_event::RECORD, "topic=Operator {report}");
    }

    fn should_read(&self) -> bool {
        self.is_assignment_stale()
    }

    fn note_era(&self, era: Era) {
        self.is_of_older_era(era);
    }

    fn era(&self) -> Option<Era> {
        self.store_era.borrow().known()
    }
}

impl<S: RecordStore, D: Decode, H: EndpointHost, O: Origin> Agent<S, D, H, O> {
    /// Polls the endpoint's report without end.
    async fn poll_endpoint(self: Rc<Self>) {
        loop {
            self.poll_report().await;
            if self.take_begin() {
                spawn_local(self.clone().read_ahead());
            }
            self.note_loaded();
            self.drop_unused();
            tokio::time::sleep(POLL_INTERVAL.duration()).await;
        }
    }

    /// Keeps the list of hosts up to date while a copy is in progress.
    async fn refresh_peers(self: Rc<Self>) {
        loop {
            tokio::time::sleep(PEERS_INTERVAL.duration()).await;
            if self.copying.get() {
                self.read_peers().await;
            }
        }
    }
}
