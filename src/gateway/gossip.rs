//! Gossip between entries, and replication of the catalog from one entry to another.

use std::{net::SocketAddr, rc::Rc};

use bytes::Bytes;
use tokio::net::UdpSocket;

use super::{
    arrival::{Datagram, Inbox},
    catalog::{Catalog, CatalogVersion},
    cold,
    cold_times::ColdNews,
    compression::decompress,
    context::Context,
    datagram::send_to_all,
    endpoint_loads::EndpointLoads,
    endpoint_table::{Change, EndpointHash, EndpointUpdate},
    followers::{apply_catalog, end_doubts, endpoint_changed},
    log_event,
    members::HEARTBEAT_INTERVAL,
    memory,
    message::{Appended, Gossip, Message},
    operator_records::Decode,
    permits, returning, screen, serve,
};
use crate::{base::Millis, emit, http::get, observe::LineRate};

/// Largest number of limits in a datagram; keeps it below the smallest usual packet size.
const LIMITS_MAX: usize = 80;

/// Timeout of a query to another entry; a large catalog takes a while to arrive where many entries query it.
const QUERY_TIMEOUT: Millis = Millis(1000);

/// Time that the readers of the own zone have to pass on a catalog that entries of other zones have. They may wait for a
/// response of the store that is lost, or stand still.
const ZONE_TIME: Millis = Millis(600);

/// Log lines in a second about datagrams that cannot be decoded.
const IGNORED_LINES: u32 = 5;

/// Shortest interval of the datagrams to other entries.
const INTERVAL_MIN: Millis = Millis(60);

/// Receives the datagrams of other entries and of agents, and merges their content.
pub(super) async fn receive(ctx: Rc<Context>, socket: Rc<UdpSocket>) {
    let mut inbox = Inbox::new(socket.clone());
    let lines = LineRate::new(IGNORED_LINES);
    loop {
        let Datagram { data, from, waited } = match inbox.receive().await {
            Ok(received) => received,
            Err(e) => {
                log::debug!("cannot receive a datagram: {e}");
                continue;
            }
        };
        let (message, appended) = match Message::decode(data) {
            Ok(decoded) => decoded,
            Err(e) => {
                ctx.metrics.ignored_datagrams.inc();
                if lines.admits() {
                    emit!(
                        log_event::RECORD,
                        "topic=beats source={from} reason=\"{e}\""
                    );
                }
                continue;
            }
        };
        let news = ColdNews::decode(&message, data);
        cold::merge_cold(&ctx, &news.reports, waited);
        let message = message.aged(waited);
        match message {
            Message::Gossip(datagram) => {
                merge_evacuation(&ctx, &datagram, &appended, waited);
                merge_loads(&ctx, appended.loads.as_ref(), waited);
                let newest = is_newest(&ctx, &datagram);
                merge_gossip(&ctx, datagram, &appended, waited);
                // Before the next request, which must not go to an endpoint that the store was right to remove.
                end_doubts(&ctx);
                // After the versions, which were written before the log ended there.
                let era = ctx.store_era.borrow().known();
                let end = appended.log.filter(|log| newest && log.is_of(era));
                if let Some(view) = end {
                    let mut ends = ctx.log_ends.borrow_mut();
                    ends.merge(view, waited, ctx.now());
                }
            }
            Message::Endpoint(update) => apply_update(&ctx, &update),
            Message::Limits(reports) => permits::merge_limits(&ctx, &reports),
            Message::PermitRequest(_) | Message::ProbeRequest(_)
                if waited >= permits::REPLY_TIMEOUT =>
            {
                log::debug!("{from} no longer waits for a reply: it asked {waited} ago");
            }
            Message::PermitRequest(request) => {
                permits::answer(&ctx, &socket, request, news.rate, from).await;
            }
            Message::PermitReply(reply) => ctx.permits.borrow_mut().resolve(&reply),
            Message::Parts(reports) => screen::merge(&ctx, &reports),
            Message::ProbeRequest(request) => {
                screen::answer(&ctx, &socket, request, from).await;
            }
            Message::Rejections(rejections) => returning::merge(&ctx, &rejections),
        }
    }
}

/// Returns whether no newer datagram of the same sender has arrived.
fn is_newest(ctx: &Context, datagram: &Gossip) -> bool {
    let sender = datagram.heartbeats.first();
    sender.is_some_and(|h| ctx.members.borrow().is_newest(h))
}

/// Merges what the sender of a datagram knows of the era of the store and of evacuated zones; the datagram has lain in the
/// socket for a time.
fn merge_evacuation(ctx: &Context, datagram: &Gossip, appended: &Appended, waited: Millis) {
    let Some(sender) = datagram.heartbeats.first() else {
        return;
    };
    let era = appended.log.map(|log| log.era);
    if let Some(era) = era {
        ctx.learn_era(era, &sender.peer.to_string());
    }
    let admitted = ctx.store_era.borrow().admits(era, ctx.now());
    let Some(mut copy) = appended.evacuation.clone().filter(|_| admitted) else {
        return;
    };
    copy.add_age(waited);
    if !ctx.members.borrow().is_newest(sender) {
        // It was overtaken, so that its position says nothing of the present end of the log.
        copy.age = Millis::MAX;
    }
    ctx.merge_evacuation(copy, &sender.peer.to_string());
}

/// Merges the loads that the sender of a datagram knows of its endpoints; the datagram has lain in the socket for a time.
fn merge_loads(ctx: &Context, loads: Option<&EndpointLoads>, waited: Millis) {
    if let Some(loads) = loads {
        let mut balancer = ctx.balancer.borrow_mut();
        balancer.merge_loads(loads, waited, ctx.now());
    }
}

/// Merges a datagram of another entry and what it appended; `waited` is the time for which it lay in the
/// socket.
fn merge_gossip(ctx: &Context, datagram: Gossip, appended: &Appended, waited: Millis) {
    let now = ctx.now();
    ctx.merge_desired(datagram.desired);
    let sender = datagram.heartbeats.first().map(|h| h.peer);
    if let Some(sender) = sender {
        let mut balance = ctx.balancer.borrow_mut();
        balance.merge_peer_load(sender, &datagram.in_flight, now);
        if let Some(tokens) = &appended.tokens {
            balance.merge_peer_tokens(sender, &datagram.in_flight, tokens);
        }
    }
    merge_leaving(ctx, &datagram.leaving);
    let mut members = ctx.members.borrow_mut();
    for (i, heartbeat) in datagram.heartbeats.into_iter().enumerate() {
        let (peer, status) = (heartbeat.peer, heartbeat.status);
        let time = appended.times.0.get(i).copied();
        if members.merge_waited(heartbeat, time, waited, now) {
            emit!(log_event::MEMBER, "entry={peer} ready={}", status.ready);
        }
        if ctx.is_ahead(&status) {
            ctx.peer_ahead.notify_waiters();
        }
    }
    if let Some(sender) = sender {
        members.note_sender(sender, now);
    }
}

pub(super) async fn send_gossip(ctx: &Context, socket: &UdpSocket, targets: &[SocketAddr]) {
    let (heartbeats, times) = {
        let (status, now) = (ctx.status(), ctx.now());
        let mut members = ctx.members.borrow_mut();
        let heartbeats = members.next_heartbeats(status, now);
        let times = members.read_times(&heartbeats, ctx.read_time(), now);
        (heartbeats, times)
    };
    let datagram = Gossip {
        heartbeats,
        desired: ctx.desired_ages(),
        in_flight: ctx.balancer.borrow().in_flight(),
        leaving: ctx.endpoints.borrow().leaving(ctx.now()),
    };
    let tokens = memory::report(ctx, &datagram.in_flight);
    let message = Message::Gossip(datagram);
    let copy = ctx.evacuation.borrow().copy(ctx.now());
    let loads = {
        let owned = ctx.owned.borrow();
        ctx.balancer.borrow().loads(&owned, ctx.now())
    };
    match (copy, tokens) {
        (Some(copy), None) => {
            let appended = (times, copy, ctx.log_view(), loads);
            send_to_all(socket, &(message, appended), targets).await;
        }
        (Some(copy), tokens) => {
            let appended = (times, copy, ctx.log_view(), loads, tokens);
            send_to_all(socket, &(message, appended), targets).await;
        }
        (None, _) => send_to_all(socket, &(message, times), targets).await,
    }
}

pub(super) async fn send_periodically(ctx: Rc<Context>, socket: Rc<UdpSocket>) {
    send_gossip(&ctx, &socket, &ctx.settings.seeds).await;
    loop {
        tokio::time::sleep(INTERVAL_MIN.duration()).await;
        let remaining = (HEARTBEAT_INTERVAL - INTERVAL_MIN).duration();
        if ctx.is_reading() {
            // A zone reader sends early after a change, because the others of its zone depend on what it reads.
            let _ = tokio::time::timeout(remaining, ctx.gossip_soon.notified()).await;
        } else {
            tokio::time::sleep(remaining).await;
        }
        let (targets, all) = {
            let mut members = ctx.members.borrow_mut();
            (members.gossip_targets(ctx.now()), members.sends_to_all())
        };
        ctx.balancer.borrow_mut().set_peers_complete(all);
        send_gossip(&ctx, &socket, &targets).await;
        send_limits(&ctx, &socket, &targets).await;
        cold::send_reports(&ctx, &socket, &targets).await;
        screen::send_reports(&ctx, &socket, &targets).await;
        returning::send_news(&ctx, &socket).await;
    }
}

/// Tells other entries which limits endpoints named or withdrew.
async fn send_limits(ctx: &Context, socket: &UdpSocket, targets: &[SocketAddr]) {
    let reports = ctx.limits.borrow_mut().reports(ctx.now());
    for part in reports.chunks(LIMITS_MAX) {
        send_to_all(socket, &Message::Limits(part.to_vec()), targets).await;
    }
}

/// Fetches the catalog from an entry that has a newer one, for example while the store rejects the reads of this host.
pub(super) async fn follow_peers<D: Decode>(ctx: Rc<Context>) {
    // Catalog of this entry, and the time since which others have had a newer one.
    let mut behind: Option<(CatalogVersion, Millis)> = None;
    loop {
        wait_for_change(&ctx).await;
        let (own, now) = (ctx.catalog_version(), ctx.now());
        if ctx.members.borrow().newest_catalog(now) <= own {
            behind = None;
            continue;
        }
        let since = behind.filter(|b| b.0 == own).map_or(now, |b| b.1);
        behind = Some((own, since));
        let overdue = now >= since + ZONE_TIME;
        let newer = ctx.members.borrow().newer_catalog(own, overdue, now);
        let Some(peer) = newer else {
            continue;
        };
        match query_catalog::<D>(&ctx, peer).await {
            Ok((catalog, raw)) => apply_catalog(&ctx, catalog, raw, &peer.to_string()),
            Err(reason) => {
                emit!(log_event::RECORD, "source={peer} reason=\"{reason}\"");
                let mut members = ctx.members.borrow_mut();
                members.back_off_catalog(peer, ctx.now());
            }
        }
    }
}

/// Queries another entry for its catalog; returns it with its encoded form, or why there is none.
async fn query_catalog<D: Decode>(
    ctx: &Context,
    peer: SocketAddr,
) -> Result<(Catalog, Bytes), String> {
    let data = query(ctx, peer, serve::CATALOG_PATH).await;
    let data = data.ok_or_else(|| "the entry did not send its catalog".to_owned())?;
    let raw = decompress(&data).map_err(|e| e.to_string())?;
    let catalog = D::catalog(&raw)?;
    Ok((catalog, raw))
}

/// Waits until the status of another entry shows that this one lacks something, or for a gossip interval.
pub(super) async fn wait_for_change(ctx: &Context) {
    let _ = tokio::time::timeout(HEARTBEAT_INTERVAL.duration(), ctx.peer_ahead.notified()).await;
}

/// Queries another entry; `None` if it does not respond or has no data for the path.
pub(super) async fn query(ctx: &Context, peer: SocketAddr, path: &str) -> Option<Bytes> {
    match get(&ctx.pool, peer, path, ctx.now(), QUERY_TIMEOUT).await {
        Ok(res) if res.status() == hyper::StatusCode::OK => Some(res.into_body()),
        Ok(res) => {
            log::debug!("{peer} has no {path}: HTTP status {}", res.status());
            None
        }
        Err(e) => {
            log::debug!("query of {peer} for {path} failed: {e}");
            None
        }
    }
}

/// Marks endpoints as leaving that another entry reports so.
fn merge_leaving(ctx: &Context, leaving: &[EndpointHash]) {
    let left = ctx.endpoints.borrow_mut().merge_leaving(leaving, ctx.now());
    for id in &left {
        endpoint_changed(ctx, id, Change::Left);
    }
    if !left.is_empty() {
        ctx.notify_changed();
    }
}

/// Applies an agent's report of its endpoint.
fn apply_update(ctx: &Context, update: &EndpointUpdate) {
    let changed = ctx.endpoints.borrow_mut().apply_update(update, ctx.now());
    if let Some(id) = changed {
        endpoint_changed(ctx, &id, Change::Updated);
        ctx.notify_changed();
    }
}
