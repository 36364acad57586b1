//! Datagrams between entries, and catalogs from each other.

use std::{net::SocketAddr, rc::Rc};

use tokio::net::UdpSocket;

use super::{
    context::Context,
    followers::apply_catalog,
    intents::Decode,
    log_event,
    members::{Datagram, BEAT},
    serve,
};
use crate::{base::Millis, emit, http::call};

/// Largest datagram, in bytes.
const DATAGRAM_MAX: usize = 8 << 10;

/// Longest time for another entry's answer.
const PEER_ANSWER: Millis = Millis(600);

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
            let (peer, ready) = (beat.peer, beat.ready);
            if members.hear(beat, now) {
                emit!(log_event::MEMBER, "entry={peer} ready={ready}");
            }
        }
    }
}

pub(super) async fn send_beat(ctx: &Context, socket: &UdpSocket, targets: &[SocketAddr]) {
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

pub(super) async fn beat(ctx: Rc<Context>, socket: Rc<UdpSocket>) {
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
pub(super) async fn follow_peers<D: Decode>(ctx: Rc<Context>) {
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
