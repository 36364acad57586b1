//! Datagrams between entries, and catalogs from each other.

use std::{net::SocketAddr, rc::Rc};

use bytes::Bytes;
use tokio::net::UdpSocket;

use super::{
    context::Context,
    fleet::{Change, EndpointNews, FleetDigest, FleetNews},
    followers::{apply_catalog, endpoint_changed},
    log_event,
    members::{Datagram, EndpointHash, Message, BEAT},
    operator_records::Decode,
    packed::unpack,
    serve,
};
use crate::{base::Millis, emit, http::get};

/// Largest datagram, in bytes.
const DATAGRAM_MAX: usize = 8 << 10;

/// Longest time for another entry's answer; a large catalog takes a while where many ask for it.
const PEER_ANSWER: Millis = Millis(1000);

/// Time between two datagrams to the same entries at least.
const BEAT_MIN: Millis = Millis(60);

/// Takes the beats of other entries.
pub(super) async fn hear(ctx: Rc<Context>, socket: Rc<UdpSocket>) {
    let mut data = vec![0; DATAGRAM_MAX];
    loop {
        let len = match socket.recv_from(&mut data).await {
            Ok((len, _)) => len,
            Err(e) => {
                log::debug!("no datagram: {e}");
                continue;
            }
        };
        let datagram = match postcard::from_bytes::<Message>(&data[..len]) {
            Ok(Message::Beat(datagram)) => datagram,
            Ok(Message::Endpoint(news)) => {
                hear_endpoint(&ctx, &news);
                continue;
            }
            Err(e) => {
                emit!(log_event::RECORD, "topic=beats reason=\"{e}\"");
                continue;
            }
        };
        let now = ctx.now();
        ctx.learn_versions(datagram.named);
        if let Some(sender) = datagram.beats.first() {
            let mut balance = ctx.balance.borrow_mut();
            balance.tell(sender.peer, &datagram.loads, now);
        }
        hear_leaving(&ctx, &datagram.leaving);
        let mut members = ctx.members.borrow_mut();
        for beat in datagram.beats {
            let (peer, status) = (beat.peer, beat.status);
            if members.hear(beat, now) {
                emit!(log_event::MEMBER, "entry={peer} ready={}", status.ready);
            }
            if ctx.is_ahead(&status) {
                ctx.heard.notify_waiters();
            }
        }
    }
}

pub(super) async fn send_beat(ctx: &Context, socket: &UdpSocket, targets: &[SocketAddr]) {
    let beats = ctx.members.borrow_mut().beat(ctx.status(), ctx.now());
    let datagram = Datagram {
        beats,
        named: ctx.told_versions(),
        loads: ctx.balance.borrow().loads(),
        leaving: ctx.fleet.borrow().leaving(ctx.now()),
    };
    let data = match postcard::to_stdvec(&Message::Beat(datagram)) {
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

pub(super) async fn beat(ctx: Rc<Context>, socket: Rc<UdpSocket>) {
    send_beat(&ctx, &socket, &ctx.settings.seeds).await;
    loop {
        tokio::time::sleep(BEAT_MIN.duration()).await;
        let rest = (BEAT - BEAT_MIN).duration();
        if ctx.follows() {
            // The others of the zone wait for what this entry reads.
            let _ = tokio::time::timeout(rest, ctx.beat_soon.notified()).await;
        } else {
            tokio::time::sleep(rest).await;
        }
        let (targets, all) = {
            let members = ctx.members.borrow();
            (members.targets(ctx.now()), members.sends_to_all())
        };
        ctx.balance.borrow_mut().set_all_told(all);
        send_beat(&ctx, &socket, &targets).await;
    }
}

/// Gets the catalog from another entry that has a newer one, for example while the store turns this host away.
pub(super) async fn follow_peers<D: Decode>(ctx: Rc<Context>) {
    loop {
        wait_for_news(&ctx).await;
        let newer = {
            let members = ctx.members.borrow();
            members.newer_catalog(ctx.catalog_version(), ctx.now())
        };
        let Some(peer) = newer else {
            continue;
        };
        let Some(data) = ask(&ctx, peer, serve::CATALOG_PATH).await else {
            continue;
        };
        let raw = match unpack(&data) {
            Ok(raw) => raw,
            Err(e) => {
                emit!(log_event::RECORD, "source={peer} reason=\"{e}\"");
                continue;
            }
        };
        match D::catalog(&raw) {
            Ok(catalog) => apply_catalog(&ctx, catalog, raw, &peer.to_string()),
            Err(e) => emit!(log_event::RECORD, "source={peer} reason=\"{e}\""),
        }
    }
}

/// Waits until another entry seems to have something that this one lacks, or for the time between two beats.
async fn wait_for_news(ctx: &Context) {
    let _ = tokio::time::timeout(BEAT.duration(), ctx.heard.notified()).await;
}

/// Asks another entry for what is at a path.
async fn ask(ctx: &Context, peer: SocketAddr, path: &str) -> Option<Bytes> {
    match get(&ctx.pool, peer, path, ctx.now(), PEER_ANSWER).await {
        Ok(res) if res.status() == hyper::StatusCode::OK => Some(res.into_body()),
        Ok(res) => {
            log::debug!("{peer} does not pass on {path}: {}", res.status());
            None
        }
        Err(e) => {
            log::debug!("no {path} from {peer}: {e}");
            None
        }
    }
}

/// What was taken over from an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Mirrored {
    peer: SocketAddr,
    /// Start of the entry's process.
    boot: u64,
    /// Hash of its table that led to the last question.
    digest: FleetDigest,
    /// Count of its changes that are taken over.
    count: u64,
}

/// Takes over the endpoints from an entry that reads the store, while this one does not.
pub(super) async fn mirror_fleet(ctx: Rc<Context>) {
    let mut mirrored: Option<Mirrored> = None;
    loop {
        wait_for_news(&ctx).await;
        if ctx.follows() {
            mirrored = None;
            continue;
        }
        let reader = ctx.members.borrow().reader(ctx.now()).cloned();
        let Some(reader) = reader else {
            continue;
        };
        let (peer, boot, digest) = (reader.peer, reader.boot, reader.status.fleet);
        let before = mirrored.filter(|m| m.peer == peer && m.boot == boot);
        if before.is_some_and(|m| m.digest == digest) {
            continue;
        }
        let count = before.map_or_else(|| "-".to_owned(), |m| m.count.to_string());
        let path = format!("{}{boot}/{count}", serve::TABLE_PATH);
        let data = ask(&ctx, peer, &path).await;
        let news = data.and_then(|data| postcard::from_bytes::<FleetNews>(&data).ok());
        let Some(news) = news else {
            emit!(log_event::MEMBER, "entry={peer} outcome=no-table");
            ctx.members.borrow_mut().distrust(peer, ctx.now());
            continue;
        };
        if before.is_none() {
            let (whole, records) = (news.whole, news.records.len());
            emit!(
                log_event::READER,
                "source={peer} whole={whole} records={records}"
            );
        }
        mirrored = Some(Mirrored {
            peer,
            boot,
            digest,
            count: news.count,
        });
        let changes = ctx.fleet.borrow_mut().mirror(news, ctx.now());
        for (id, change) in &changes {
            endpoint_changed(&ctx, id, *change);
        }
        ctx.fleet_known.set(true);
        if !changes.is_empty() {
            ctx.tell();
        }
    }
}

/// Takes that endpoints leave, which another entry heard from them.
fn hear_leaving(ctx: &Context, told: &[EndpointHash]) {
    let left = ctx.fleet.borrow_mut().leave_told(told, ctx.now());
    for id in &left {
        endpoint_changed(ctx, id, Change::Left);
    }
    if !left.is_empty() {
        ctx.tell();
    }
}

/// Takes what an agent says of its endpoint.
fn hear_endpoint(ctx: &Context, news: &EndpointNews) {
    let heard = ctx.fleet.borrow_mut().hear(news, ctx.now());
    if let Some(id) = heard {
        endpoint_changed(ctx, &id, Change::Updated);
        ctx.tell();
    }
}
