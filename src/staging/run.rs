//! The agent process: sockets, followers of the store and shutdown.

use std::{collections::HashMap as RegionMap, net::SocketAddr, rc::Rc};

use bytes::Bytes;
use eyre::WrapErr;
use tokio::{
    net::UdpSocket,
    signal::unix::{signal, SignalKind},
    sync::watch,
    task::spawn_local,
};

use super::{
    agent::Agent,
    exchange::{Exchange, LINK_SHARE},
    holdings::Holdings,
    log_event, EndpointHost, Origin,
};
use crate::{
    base::{Millis, ProcessName, Rate, Region, Service, Size, SystemClock, Zone},
    emit,
    gateway::{
        follow, Catalog, Decode, OperatorFollower, OperatorSink, RecordStore, Topic, WeightVersion,
    },
    http::{listen, ServeOptions},
    net::Pacer,
};

/// Longest wait of one read of the operator's records.
const WAIT: Millis = Millis(2500);

/// Time between two looks at the endpoint, which answers its own host for free.
pub(super) const REPORT: Millis = Millis(150);

/// Time between two reads of the list of hosts while a copy is in progress.
const PEERS_REFRESH: Millis = Millis(1000);

/// Time that a stopping agent gives to transfers in progress.
const STOP: Millis = Millis(1500);

/// Settings of an agent process.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// Name of the process.
    pub name: ProcessName,
    /// Availability zone.
    pub zone: Zone,
    /// Region of each zone.
    pub regions: RegionMap<Zone, Region>,
    /// Service of the endpoint.
    pub service: Service,
    /// Address for other agents; its port is the same on all hosts.
    pub exchange: SocketAddr,
    /// Time within which requests begin on a newly named version.
    pub bound: Millis,
    /// Rate of the host's link.
    pub link: Rate,
    /// Whether to copy before the endpoint answers. Not when the deployment starts for the first time: its endpoints hold
    /// weights from the start.
    pub prefetch: bool,
}

/// Runs an agent until it is told to stop.
///
/// # Errors
///
/// Returns an error if the socket cannot be bound.
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
    let holdings = Rc::new(Holdings::default());
    let clock = SystemClock::start();
    let rate = settings.link.share(LINK_SHARE);
    let pacer = || Rc::new(Pacer::new(rate, Size(0), clock));
    let exchange = Exchange {
        pacer: pacer(),
        host: host.clone(),
        holdings: holdings.clone(),
        uploads: Rc::default(),
    };
    emit!(
        log_event::COPY,
        "state=start name={} service={}",
        settings.name,
        settings.service
    );
    let addr = settings.exchange;
    let listener = listen(addr)
        .wrap_err_with(|| format!("cannot listen on {addr} for agents; check the settings"))?;
    let (closing, closed) = watch::channel(false);
    let handler = move |req| exchange.clone().answer(req);
    let serving = spawn_local(listener.serve(ServeOptions::default, handler, closed));
    let agent = Rc::new(Agent::<S, D, H, O>::new(
        settings,
        store.clone(),
        host,
        origin,
        holdings,
        pacer(),
    ));
    spawn_local(agent.clone().follow_entries());
    spawn_local(follow(
        store,
        Topic::Operator,
        WAIT,
        Rc::new(OperatorFollower::<D, _>::on_demand(agent.clone())),
    ));
    spawn_local(agent.clone().watch_endpoint());
    let socket = UdpSocket::bind(addr)
        .await
        .wrap_err_with(|| format!("cannot bind {addr} to tell entries; check the settings"))?;
    spawn_local(agent.clone().tell_entries(socket));
    spawn_local(agent.clone().refresh_peers());
    let main = spawn_local(async move {
        loop {
            agent.step().await;
        }
    });
    let mut term = signal(SignalKind::terminate()).wrap_err("cannot handle SIGTERM")?;
    let mut hangup = signal(SignalKind::hangup()).wrap_err("cannot handle SIGHUP")?;
    loop {
        tokio::select! {
            _ = term.recv() => break,
            // Everything that an agent is told holds for the life of its host.
            _ = hangup.recv() => emit!(log_event::COPY, "state=reloaded changed=nothing"),
        }
    }
    emit!(log_event::COPY, "state=stopping");
    main.abort();
    closing.send_replace(true);
    // The other hosts fetch elsewhere what is not sent in time.
    let _ = tokio::time::timeout(STOP.duration(), serving).await;
    Ok(())
}

/// Takes the operator's intents in an agent.
impl<S: RecordStore, D: Decode, H: EndpointHost, O: Origin> OperatorSink for Rc<Agent<S, D, H, O>> {
    fn catalog(&self, catalog: Catalog, _: Bytes) {
        self.set_catalog(&catalog);
    }

    fn weights(&self, model: Rc<str>, version: WeightVersion, found: bool) {
        self.name_version(model, version, found);
    }

    fn malformed(&self, key: &str, reason: &str) {
        emit!(log_event::RECORD, "key={key} reason=\"{reason}\"");
    }

    fn should_read(&self) -> bool {
        self.is_forgotten()
    }
}

impl<S: RecordStore, D: Decode, H: EndpointHost, O: Origin> Agent<S, D, H, O> {
    /// Looks at the endpoint for ever.
    async fn watch_endpoint(self: Rc<Self>) {
        loop {
            self.look().await;
            tokio::time::sleep(REPORT.duration()).await;
        }
    }

    /// Reads the list of hosts while a copy is in progress.
    async fn refresh_peers(self: Rc<Self>) {
        loop {
            tokio::time::sleep(PEERS_REFRESH.duration()).await;
            if self.copying.get() {
                self.read_peers().await;
            }
        }
    }
}
