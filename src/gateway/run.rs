//! The entry process: sockets, followers of the store, beats and shutdown.

use std::{cell::Cell, marker::PhantomData, net::SocketAddr, rc::Rc};

use bytes::Bytes;
use eyre::WrapErr;
use tokio::{
    net::UdpSocket,
    signal::unix::{signal, SignalKind},
    sync::watch,
    task::spawn_local,
};

use super::{
    catalog::{Catalog, CatalogVersion},
    context::Context,
    fleet::{Change, EndpointId},
    follow::{follow, Follower},
    log_event,
    members::{Beat, Datagram, Members, BEAT},
    metrics::GatewayMetrics,
    record::{EndpointRecord, Intent, Record, RecordStore, Topic},
    serve, GatewaySettings, Headers,
};
use crate::{
    base::{wall_ms, HashSet, Millis},
    emit,
    http::{call, listen, ServeOptions},
    observe::LeftOut,
};

/// Longest wait of one read of a topic that seldom changes.
const WAIT: Millis = Millis(5000);

/// Pause between reads of the endpoints, whose records change all the time: for each entry, because the reads of all
/// entries together load the store, and within limits, because an endpoint that leaves has to be known in time.
const ENDPOINTS_PAUSE: Pause = Pause {
    each: Millis(45),
    least: Millis(650),
    most: Millis(1100),
};

/// Pause while endpoints load weights: until its record is read, an endpoint stands idle after its load.
const ENDPOINTS_PAUSE_LOADING: Pause = Pause {
    each: Millis(25),
    least: Millis(350),
    most: Millis(800),
};

/// A pause that grows with the number of entries.
struct Pause {
    each: Millis,
    least: Millis,
    most: Millis,
}

impl Pause {
    fn of(&self, entries: usize) -> Millis {
        self.each.times(entries as u64).clamp(self.least, self.most)
    }
}

/// Time between two looks at what expired.
const UPKEEP: Millis = Millis(250);

/// Time between two tries to announce this entry.
const ANNOUNCE_RETRY: Millis = Millis(700);

/// Time for which a draining entry still accepts connections: three times the time for which callers keep an answer of
/// the directory.
const LINGER: Millis = Millis(3200);

/// Time before the end of the grace period at which the process exits in any case.
const EXIT_MARGIN: Millis = Millis(400);

/// Largest datagram, in bytes.
const DATAGRAM_MAX: usize = 8 << 10;

/// Decodes the platform's records.
pub trait Decode: 'static {
    /// Decodes a record of [`Topic::Operator`]; `None` if it says nothing that concerns an entry or agent.
    ///
    /// # Errors
    ///
    /// Returns why the value cannot be decoded.
    fn intent(key: &[u8], value: &[u8]) -> Result<Option<Intent>, String>;

    /// Decodes the value of a configuration.
    ///
    /// # Errors
    ///
    /// Returns why the value cannot be decoded.
    fn catalog(value: &[u8]) -> Result<Catalog, String>;

    /// Decodes a record of [`Topic::Endpoints`].
    ///
    /// # Errors
    ///
    /// Returns why the value cannot be decoded.
    fn endpoint(value: &[u8]) -> Result<EndpointRecord, String>;
}

/// Follows the operator's records.
struct Intents<D> {
    ctx: Rc<Context>,
    /// Whether the records were read once; what the first read brings was written before this process started.
    read: Cell<bool>,
    _decode: PhantomData<D>,
}

fn apply_catalog(ctx: &Context, catalog: Catalog, raw: Bytes, source: &str) {
    let version = catalog.version;
    let routes: usize = catalog.routes.values().map(Vec::len).sum();
    let keys = catalog.keys.as_ref().map_or(0, |k| k.len());
    let applied = ctx.set_catalog(catalog, raw);
    emit!(
        log_event::CATALOG,
        "version={version} routes={routes} keys={keys} applied={applied} source={source}"
    );
}

impl<D: Decode> Follower for Intents<D> {
    fn take(&self, record: Record) {
        let Some(value) = &record.value else {
            return;
        };
        let key = String::from_utf8_lossy(&record.key);
        match D::intent(&record.key, value) {
            Ok(Some(Intent::Catalog(catalog))) => {
                apply_catalog(&self.ctx, *catalog, value.clone(), "store");
            }
            Ok(Some(Intent::Weights(model, version))) => {
                let found = !self.read.get();
                let newer = self.ctx.name_version(model, version, found);
                emit!(
                    log_event::NAMED,
                    "key={key} version={version} newer={newer} found={found}"
                );
            }
            Ok(None) => {}
            Err(e) => emit!(log_event::RECORD, "key={key} reason=\"{e}\""),
        }
    }

    fn replace(&self, records: Vec<Record>) {
        for record in records {
            self.take(record);
        }
        self.read.set(true);
    }

    fn regained(&self) {}

    async fn interrupted(&self) {
        self.ctx.news.notified().await;
    }
}

/// Follows the endpoints' records.
struct Endpoints<D>(Rc<Context>, PhantomData<D>);

impl<D: Decode> Endpoints<D> {
    fn apply(&self, record: &Record) -> Option<EndpointId> {
        let id = EndpointId(String::from_utf8_lossy(&record.key).into());
        let decoded = match record.value.as_ref().map(|v| D::endpoint(v)) {
            None => None,
            Some(Ok(e)) => Some(e),
            Some(Err(e)) => {
                emit!(log_event::RECORD, "key={id} reason=\"{e}\"");
                return Some(id);
            }
        };
        let now = self.0.now();
        let change = self.0.fleet.borrow_mut().apply(&id, decoded, now);
        if matches!(change, Change::Added | Change::Removed) {
            self.0.reset_turns();
        }
        if change == Change::Updated {
            self.0.balance.borrow_mut().recover(&id);
        }
        if !matches!(change, Change::Renewed | Change::Stale) {
            let fleet = self.0.fleet.borrow();
            let record = fleet.get(&id).map(|e| &e.record);
            let text = record.map_or_else(String::new, |r| {
                let versions: Vec<_> = r.models.iter().map(|m| m.1.to_string()).collect();
                format!(
                    " service={} addr={} draining={} sequence={} weights={}",
                    r.service,
                    r.addr,
                    r.draining,
                    r.revision.sequence,
                    versions.join(",")
                )
            });
            emit!(log_event::ENDPOINT, "endpoint={id} change={change:?}{text}");
        }
        Some(id)
    }
}

impl<D: Decode> Follower for Endpoints<D> {
    fn take(&self, record: Record) {
        self.apply(&record);
    }

    fn replace(&self, records: Vec<Record>) {
        let present: HashSet<_> = records.iter().filter_map(|r| self.apply(r)).collect();
        let missing = self.0.fleet.borrow_mut().retain(&present, self.0.now());
        for id in missing {
            emit!(log_event::ENDPOINT, "endpoint={id} change=missing");
        }
        self.0.fleet_known.set(true);
    }

    fn pause(&self) -> Millis {
        let entries = self.0.members.borrow().len();
        let pause = if self.0.awaits_weights() {
            ENDPOINTS_PAUSE_LOADING
        } else {
            ENDPOINTS_PAUSE
        };
        pause.of(entries)
    }

    fn regained(&self) {
        self.0.fleet.borrow_mut().regained(self.0.now());
        self.0.news.notify_waiters();
    }
}

/// Follows the announcements of entries.
struct Entries(Rc<Context>);

impl Follower for Entries {
    fn take(&self, record: Record) {
        let Some(value) = &record.value else {
            return;
        };
        match postcard::from_bytes::<Beat>(value) {
            Ok(beat) => self.0.members.borrow_mut().announce(beat, self.0.now()),
            Err(e) => emit!(log_event::RECORD, "topic=entries reason=\"{e}\""),
        }
    }

    fn replace(&self, records: Vec<Record>) {
        for record in records {
            self.take(record);
        }
    }

    fn regained(&self) {}
}

/// Runs an entry until it is told to stop; `load` reads the settings, at the start and when SIGHUP asks for it, and
/// `lines` counts the log lines that were left out.
///
/// # Errors
///
/// Returns an error if the settings cannot be read or a socket cannot be bound.
pub async fn run<S: RecordStore, D: Decode>(
    mut load: impl FnMut() -> eyre::Result<GatewaySettings>,
    headers: Headers,
    store: S,
    lines: LeftOut,
) -> eyre::Result<()> {
    let settings = load()?;
    let me = Beat {
        peer: settings.listen.peers,
        callers: settings.listen.callers,
        zone: settings.zone.clone(),
        boot: wall_ms(),
        count: 0,
        ready: false,
        catalog: CatalogVersion::default(),
    };
    emit!(
        log_event::PROCESS,
        "state=start name={} zone={} callers={}",
        settings.name,
        settings.zone,
        settings.listen.callers
    );
    let ctx = Context::new(
        settings,
        headers,
        Members::new(me),
        GatewayMetrics::register(lines),
    );
    let (closing, closed) = watch::channel(false);
    let callers = serve_all(&ctx, &closed)?;
    let intents = Rc::new(Intents::<D> {
        ctx: ctx.clone(),
        read: Cell::new(false),
        _decode: PhantomData,
    });
    let endpoints = Rc::new(Endpoints::<D>(ctx.clone(), PhantomData));
    let entries = Rc::new(Entries(ctx.clone()));
    spawn_local(follow(store.clone(), Topic::Operator, WAIT, intents));
    spawn_local(follow(
        store.clone(),
        Topic::Endpoints,
        Millis::ZERO,
        endpoints,
    ));
    spawn_local(follow(store.clone(), Topic::Entries, WAIT, entries));
    spawn_local(announce(ctx.clone(), store));
    spawn_local(upkeep(ctx.clone()));
    let socket = UdpSocket::bind(ctx.settings.listen.peers)
        .await
        .wrap_err("cannot bind the socket between entries; check the settings")?;
    let socket = Rc::new(socket);
    spawn_local(hear(ctx.clone(), socket.clone()));
    spawn_local(beat(ctx.clone(), socket.clone()));
    spawn_local(follow_peers::<D>(ctx.clone()));
    let mut term = signal(SignalKind::terminate()).wrap_err("cannot handle SIGTERM")?;
    let mut hangup = signal(SignalKind::hangup()).wrap_err("cannot handle SIGHUP")?;
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = hangup.recv() => ctx.reload(&mut load),
        }
    }
    drain(&ctx, &socket, &closing, callers).await;
    Ok(())
}

/// Binds the sockets; returns the task that ends when the callers' connections have ended.
fn serve_all(
    ctx: &Rc<Context>,
    closed: &watch::Receiver<bool>,
) -> eyre::Result<tokio::task::JoinHandle<()>> {
    let listen_on = |addr: SocketAddr| {
        listen(addr).wrap_err_with(|| format!("cannot listen on {addr}; check the settings"))
    };
    let sockets = ctx.settings.listen;
    let callers = listen_on(sockets.callers)?;
    let context = ctx.clone();
    let options = move || {
        let limits = context.catalog.borrow().as_ref().map(|c| c.limits);
        ServeOptions {
            header_max: limits.unwrap_or_default().header_max,
            ..ServeOptions::default()
        }
    };
    let context = ctx.clone();
    let handler = move |req| serve::respond(context.clone(), req);
    let task = spawn_local(callers.serve(options, handler, closed.clone()));
    let context = ctx.clone();
    let handler =
        move |req: hyper::Request<_>| std::future::ready(serve::peer(&context, req.uri().path()));
    let peers = listen_on(sockets.peers)?;
    spawn_local(peers.serve(ServeOptions::default, handler, closed.clone()));
    if let Some(addr) = sockets.readiness {
        let context = ctx.clone();
        let handler = move |req: hyper::Request<_>| {
            std::future::ready(serve::readiness(&context, req.uri().path()))
        };
        let serving = listen_on(addr)?.serve(ServeOptions::default, handler, closed.clone());
        spawn_local(serving);
    }
    if let Some(addr) = sockets.metrics {
        let context = ctx.clone();
        let handler = move |req: hyper::Request<_>| {
            std::future::ready(serve::metrics(&context, req.uri().path()))
        };
        let serving = listen_on(addr)?.serve(ServeOptions::default, handler, closed.clone());
        spawn_local(serving);
    }
    if let Some(addr) = sockets.directory {
        let context = ctx.clone();
        let handler = move |req: hyper::Request<_>| {
            let uri = req.uri();
            let query = uri.query().unwrap_or_default();
            std::future::ready(serve::directory(&context, uri.path(), query))
        };
        let serving = listen_on(addr)?.serve(ServeOptions::default, handler, closed.clone());
        spawn_local(serving);
    }
    Ok(task)
}

/// Announces this entry in the store once.
async fn announce<S: RecordStore>(ctx: Rc<Context>, store: S) {
    loop {
        let beat = ctx.members.borrow().me().clone();
        let record = Record {
            key: Bytes::from(beat.peer.to_string()),
            value: postcard::to_stdvec(&beat).ok().map(Bytes::from),
        };
        match store.append(Topic::Entries, &record).await {
            Ok(()) => return,
            Err(e) => {
                emit!(
                    log_event::STORE,
                    "topic=Entries outcome=not-announced reason=\"{e}\""
                );
                tokio::time::sleep(ANNOUNCE_RETRY.duration()).await;
            }
        }
    }
}

/// Drops what expired.
async fn upkeep(ctx: Rc<Context>) {
    loop {
        tokio::time::sleep(UPKEEP.duration()).await;
        let now = ctx.now();
        let over = ctx.fleet.borrow_mut().expire(now);
        for id in over {
            emit!(log_event::ENDPOINT, "endpoint={id} change=expired");
        }
        ctx.pool.sweep(now);
        let fleet = ctx.fleet.borrow();
        ctx.balance
            .borrow_mut()
            .retain(|id| fleet.get(id).is_some());
    }
}

/// Takes the beats of other entries.
async fn hear(ctx: Rc<Context>, socket: Rc<UdpSocket>) {
    let mut data = vec![0; DATAGRAM_MAX];
    loop {
        let len = match socket.recv_from(&mut data).await {
            Ok((len, _)) => len,
            Err(e) => {
                log::debug!("no datagram: {e}");
                continue;
            }
        };
        let Ok(datagram) = postcard::from_bytes::<Datagram>(&data[..len]) else {
            emit!(log_event::RECORD, "topic=beats reason=malformed");
            continue;
        };
        let now = ctx.now();
        ctx.learn_versions(datagram.named);
        if let Some(sender) = datagram.beats.first() {
            let mut balance = ctx.balance.borrow_mut();
            balance.tell(sender.peer, &datagram.loads, now);
        }
        let mut members = ctx.members.borrow_mut();
        for beat in datagram.beats {
            let (peer, ready) = (beat.peer, beat.ready);
            if members.hear(beat, now) {
                emit!(log_event::MEMBER, "entry={peer} ready={ready}");
            }
        }
    }
}

async fn send_beat(ctx: &Context, socket: &UdpSocket, targets: &[SocketAddr]) {
    let (ready, catalog) = (ctx.is_ready(), ctx.catalog_version());
    let beats = ctx.members.borrow_mut().beat(ready, catalog, ctx.now());
    let datagram = Datagram {
        beats,
        named: ctx.told_versions(),
        loads: ctx.balance.borrow().loads(),
    };
    let data = match postcard::to_stdvec(&datagram) {
        Ok(data) => data,
        Err(e) => {
            log::warn!("cannot encode a beat: {e}");
            return;
        }
    };
    for target in targets {
        if let Err(e) = socket.send_to(&data, target).await {
            log::debug!("no beat to {target}: {e}");
        }
    }
}

async fn beat(ctx: Rc<Context>, socket: Rc<UdpSocket>) {
    send_beat(&ctx, &socket, &ctx.settings.seeds).await;
    loop {
        tokio::time::sleep(BEAT.duration()).await;
        let (targets, all) = {
            let members = ctx.members.borrow();
            (members.targets(ctx.now()), members.sends_to_all())
        };
        ctx.balance.borrow_mut().set_all_told(all);
        send_beat(&ctx, &socket, &targets).await;
    }
}

/// Gets the catalog from another entry that has a newer one, for example while the store turns this host away.
async fn follow_peers<D: Decode>(ctx: Rc<Context>) {
    loop {
        tokio::time::sleep(BEAT.duration()).await;
        let newer = {
            let members = ctx.members.borrow();
            members.newer_catalog(ctx.catalog_version(), ctx.now())
        };
        let Some(peer) = newer else {
            continue;
        };
        let mut req = hyper::Request::new(http_body_util::Full::default());
        *req.uri_mut() = hyper::Uri::from_static(serve::CATALOG_PATH);
        let res = call(&ctx.pool, peer, req, ctx.now(), PEER_ANSWER).await;
        let raw = match res {
            Ok(res) if res.status() == hyper::StatusCode::OK => res.into_body(),
            Ok(res) => {
                log::debug!("{peer} does not pass on its catalog: {}", res.status());
                continue;
            }
            Err(e) => {
                log::debug!("no catalog from {peer}: {e}");
                continue;
            }
        };
        match D::catalog(&raw) {
            Ok(catalog) => apply_catalog(&ctx, catalog, raw, &peer.to_string()),
            Err(e) => emit!(log_event::RECORD, "source={peer} reason=\"{e}\""),
        }
    }
}

/// Longest time for another entry's answer.
const PEER_ANSWER: Millis = Millis(600);

/// Ends the process gracefully: callers are sent elsewhere, then connections end after their responses.
async fn drain(
    ctx: &Rc<Context>,
    socket: &UdpSocket,
    closing: &watch::Sender<bool>,
    mut callers: tokio::task::JoinHandle<()>,
) {
    let start = ctx.now();
    ctx.draining.set(true);
    emit!(
        log_event::PROCESS,
        "state=draining running={}",
        ctx.running.get()
    );
    let targets = ctx.members.borrow().targets(ctx.now());
    send_beat(ctx, socket, &targets).await;
    tokio::time::sleep(LINGER.duration()).await;
    closing.send_replace(true);
    let end = start + ctx.bounds.get().grace - EXIT_MARGIN;
    let left = end - ctx.now();
    let ended = tokio::time::timeout(left.duration(), &mut callers).await;
    emit!(
        log_event::PROCESS,
        "state=stopped running={} whole={}",
        ctx.running.get(),
        ended.is_ok()
    );
}
