//! Datagrams between entries, and catalogs from each other.

use std::{net::SocketAddr, rc::Rc};

use bytes::Bytes;
use tokio::net::UdpSocket;

use super::{
    context::Context,
    fleet::{EndpointId, FleetDigest},
    followers::{apply_catalog, endpoint_changed},
    intents::Decode,
    log_event,
    members::{Datagram, BEAT},
    record::EndpointRecord,
    serve,
};
use crate::{base::Millis, emit, http::call};

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
        let Some(raw) = ask(&ctx, peer, serve::CATALOG_PATH).await else {
            continue;
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
async fn ask(ctx: &Context, peer: SocketAddr, path: &'static str) -> Option<Bytes> {
    let mut req = hyper::Request::new(http_body_util::Full::default());
    *req.uri_mut() = hyper::Uri::from_static(path);
    match call(&ctx.pool, peer, req, ctx.now(), PEER_ANSWER).await {
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

/// Takes over the endpoints from an entry that reads the store, while this one does not.
pub(super) async fn mirror_fleet(ctx: Rc<Context>) {
    let mut mirrored: Option<FleetDigest> = None;
    loop {
        wait_for_news(&ctx).await;
        if ctx.follows() {
            mirrored = None;
            continue;
        }
        let reader = ctx.members.borrow().reader(ctx.now());
        let Some((peer, digest)) = reader.filter(|r| mirrored != Some(r.1)) else {
            continue;
        };
        let table = ask(&ctx, peer, serve::FLEET_PATH).await;
        let told = table
            .and_then(|data| postcard::from_bytes::<Vec<(EndpointId, EndpointRecord)>>(&data).ok());
        let Some(told) = told else {
            emit!(log_event::MEMBER, "entry={peer} outcome=no-table");
            ctx.members.borrow_mut().distrust(peer, ctx.now());
            continue;
        };
        let changes = ctx.fleet.borrow_mut().mirror(told, ctx.now());
        for (id, change) in &changes {
            endpoint_changed(&ctx, id, *change);
        }
        mirrored = Some(digest);
        ctx.fleet_known.set(true);
        if !changes.is_empty() {
            ctx.tell();
        }
    }
}
