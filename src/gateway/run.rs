//! The entry process: sockets, followers of the store's topics, heartbeats and shutdown.

use std::{net::SocketAddr, rc::Rc};

use bytes::Bytes;
use eyre::WrapErr;
use tokio::{net::UdpSocket, sync::watch, task::spawn_local};

use super::{
    context::Context,
    follow::follow,
    followers::{end_doubts, endpoints_removed, EndpointFollower, EntryFollower},
    gossip::{follow_peers, receive, send_gossip, send_periodically},
    log_event,
    members::{Heartbeat, Membership, Status},
    metrics::GatewayMetrics,
    mirror::mirror_table,
    operator_records::{Decode, OperatorFollower},
    permits::expire_limits,
    record::{Record, RecordStore, Topic},
    screen::send_news,
    serve,
    store_era::ANNOUNCE_DELAY,
    GatewaySettings, Headers,
};
use crate::{
    base::{jitter, wall_ms, Millis},
    decide::stop::StopPlan,
    emit,
    http::{listen, Listener, ServeOptions},
    observe::LeftOut,
    process::Signals,
};

/// Longest wait of one read (long poll) of the operator's records. The time of a version whose response is lost is known
/// only to within this wait.
const OPERATOR_WAIT: Millis = Millis(3500);

/// Longest wait of one read of the announcements of entries. With it, both topics take 0.336 reads per second while
/// nothing is written; with waits of 5 s each they took 0.343.
const ENTRIES_WAIT: Millis = Millis(18_000);

/// Largest head of a request, in bytes, on a connection that may last beyond the catalog with which it is accepted. The
/// limit of the catalog in force is applied to each request.
const HEAD_MAX: usize = 64 << 10;

/// Interval at which expired state is removed.
const EXPIRY_INTERVAL: Millis = Millis(250);

/// Time after a pause of this process in which it reads what was written and sent meanwhile: its next read of the
/// endpoints' records begins within 500 ms.
const CATCH_UP_TIME: Millis = Millis(750);

/// Interval between attempts to announce this entry in the store.
const ANNOUNCE_RETRY: Millis = Millis(700);

/// Runs an entry until SIGTERM. `load` reads the settings at the start and on each SIGHUP, and `lines` counts the log
/// lines that were left out under load.
///
/// # Errors
///
/// Returns an error if the settings cannot be read or a socket cannot be bound.
pub async fn run<S: RecordStore, D: Decode>(
    load: impl FnMut() -> eyre::Result<GatewaySettings>,
    headers: Headers,
    store: S,
    lines: LeftOut,
) -> eyre::Result<()> {
    run_with::<S, D>(Signals::install()?, load, headers, store, lines).await
}

/// Runs an entry until SIGTERM, like [`run`], with signals that are handled already.
///
/// # Errors
///
/// Returns an error if the settings cannot be read or a socket cannot be bound.
pub async fn run_with<S: RecordStore, D: Decode>(
    mut signals: Signals,
    mut load: impl FnMut() -> eyre::Result<GatewaySettings>,
    headers: Headers,
    store: S,
    lines: LeftOut,
) -> eyre::Result<()> {
    let settings = load()?;
    let me = Heartbeat {
        peer: settings.listen.peers,
        callers: settings.listen.callers,
        zone: settings.zone.clone(),
        boot: wall_ms(),
        count: 0,
        status: Status::default(),
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
        Membership::new(me),
        GatewayMetrics::register(lines),
    );
    ctx.log_routing_faults();
    let (closing, closed) = watch::channel(false);
    // Other entries and agents are served until the process ends.
    let (_ending, ended) = watch::channel(false);
    serve_peers(&ctx, ended)?;
    let callers = serve_all(&ctx, &closed)?;
    let intents = Rc::new(OperatorFollower::<D, _>::new(ctx.clone()));
    let endpoints = Rc::new(EndpointFollower::<D>::new(ctx.clone()));
    let entries = Rc::new(EntryFollower::new(ctx.clone()));
    spawn_local(follow(
        store.clone(),
        Topic::Operator,
        OPERATOR_WAIT,
        intents,
    ));
    spawn_local(follow(
        store.clone(),
        Topic::Endpoints,
        Millis::ZERO,
        endpoints,
    ));
    spawn_local(follow(store.clone(), Topic::Entries, ENTRIES_WAIT, entries));
    spawn_local(announce(ctx.clone(), store));
    spawn_local(remove_expired(ctx.clone()));
    let socket = UdpSocket::bind(ctx.settings.listen.peers)
        .await
        .wrap_err("cannot bind the gossip socket; check the settings")?;
    let socket = ctx.socket.get_or_init(|| Rc::new(socket)).clone();
    spawn_local(receive(ctx.clone(), socket.clone()));
    spawn_local(send_periodically(ctx.clone(), socket.clone()));
    spawn_local(send_news(ctx.clone(), socket.clone()));
    spawn_local(follow_peers::<D>(ctx.clone()));
    spawn_local(mirror_table(ctx.clone()));
    loop {
        tokio::select! {
            _ = signals.term.recv() => break,
            _ = signals.hangup.recv() => ctx.reload(&mut load),
        }
    }
    stop(&ctx, &socket, &closing, callers).await;
    Ok(())
}

/// Binds an HTTP socket.
fn listen_on(addr: SocketAddr) -> eyre::Result<Listener> {
    listen(addr).wrap_err_with(|| format!("cannot listen on {addr}; check the settings"))
}

/// Binds the socket for other entries and agents, and serves it.
fn serve_peers(ctx: &Rc<Context>, ended: watch::Receiver<bool>) -> eyre::Result<()> {
    let context = ctx.clone();
    let handler = move |req: hyper::Request<_>| {
        let (context, path) = (context.clone(), req.uri().path().to_owned());
        async move { serve::peer(&context, &path).await }
    };
    let peers = listen_on(ctx.settings.listen.peers)?;
    spawn_local(peers.serve(ServeOptions::default, handler, ended));
    Ok(())
}

/// Binds the other HTTP sockets and serves them; returns the task that ends when the callers' connections have ended.
fn serve_all(
    ctx: &Rc<Context>,
    closed: &watch::Receiver<bool>,
) -> eyre::Result<tokio::task::JoinHandle<()>> {
    let sockets = ctx.settings.listen;
    let callers = listen_on(sockets.callers)?;
    let context = ctx.clone();
    let options = move || {
        let limits = context.catalog.borrow().as_ref().map(|c| c.limits);
        let (limits, least) = (limits.unwrap_or_default(), ServeOptions::default());
        ServeOptions {
            header_max: limits.header_max.max(HEAD_MAX),
            // Callers use a connection again that has been idle for less than that.
            header_timeout: limits.idle_time.max(least.header_timeout),
        }
    };
    let context = ctx.clone();
    let handler = move |req| serve::respond(context.clone(), req);
    let task = spawn_local(callers.serve_within(
        Some(ctx.callers.clone()),
        options,
        handler,
        closed.clone(),
    ));
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
        let handler = move |req| {
            let context = context.clone();
            async move { serve::operator(&context, req).await }
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
        let listener = listen_on(addr)?;
        let within = Some(ctx.callers.clone());
        let serving = listener.serve_within(within, ServeOptions::default, handler, closed.clone());
        spawn_local(serving);
    }
    Ok(task)
}

/// Announces this entry in the store, with retries until the record is written, and again whenever the store was restored
/// from an older copy, which may lack the announcement.
async fn announce<S: RecordStore>(ctx: Rc<Context>, store: S) {
    loop {
        let era = ctx.store_era.borrow().known();
        write_announcement(&ctx, &store).await;
        ctx.store_restored(era).await;
        tokio::time::sleep(jitter(ANNOUNCE_DELAY).duration()).await;
    }
}

async fn write_announcement<S: RecordStore>(ctx: &Context, store: &S) {
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

/// Removes expired endpoints, connections and loads at regular intervals, and reassigns the ownership of endpoints.
async fn remove_expired(ctx: Rc<Context>) {
    let mut last = ctx.now();
    loop {
        tokio::time::sleep(EXPIRY_INTERVAL.duration()).await;
        let now = ctx.now();
        if now >= last + EXPIRY_INTERVAL + EXPIRY_INTERVAL {
            let mut table = ctx.endpoints.borrow_mut();
            table.defer_removals(now + CATCH_UP_TIME);
        }
        last = now;
        remove_endpoints(&ctx, now);
        ctx.update_ownership();
        ctx.pool.sweep(now);
        expire_limits(&ctx);
        ctx.update_spills();
        ctx.update_slow_endpoints();
        ctx.quarantine.borrow_mut().expire(now);
        let fleet = ctx.endpoints.borrow();
        ctx.balancer
            .borrow_mut()
            .retain(|id| fleet.get(id).is_some());
    }
}

/// Removes the endpoints whose tentative removal takes effect.
fn remove_endpoints(ctx: &Context, now: Millis) {
    let removed = ctx.endpoints.borrow_mut().expire(now);
    endpoints_removed(ctx, &removed);
    end_doubts(ctx);
}

/// Stops the process: other entries stop naming it to callers, then connections close after their responses.
async fn stop(
    ctx: &Rc<Context>,
    socket: &UdpSocket,
    closing: &watch::Sender<bool>,
    mut callers: tokio::task::JoinHandle<()>,
) {
    let now = ctx.now();
    let plan = StopPlan::new(ctx.bounds.get().grace, now);
    ctx.stop.set(Some(plan));
    emit!(
        log_event::PROCESS,
        "state=draining running={} close={} exit={}",
        ctx.running.get(),
        plan.close() - now,
        plan.exit() - now
    );
    // All at once: each entry that does not know of the stop goes on sending callers here.
    let targets = ctx.members.borrow().all_peers();
    send_gossip(ctx, socket, &targets).await;
    tokio::time::sleep((plan.close() - ctx.now()).duration()).await;
    closing.send_replace(true);
    let left = plan.answer() - ctx.now();
    let mut ended = tokio::time::timeout(left.duration(), &mut callers).await;
    if ended.is_err() {
        ctx.exiting.notify_waiters();
        let left = plan.exit() - ctx.now();
        ended = tokio::time::timeout(left.duration(), &mut callers).await;
    }
    ctx.ended.set(true);
    emit!(
        log_event::PROCESS,
        "state=stopped running={} whole={}",
        ctx.running.get(),
        ended.is_ok()
    );
}
