//! Tells callers that return after a rejection from those at their first attempt, by what this entry and others rejected.

use std::net::SocketAddr;

use tokio::net::UdpSocket;

use super::{
    context::Context, datagram::send_to_all, job::Job, memory, message::Message, priority,
    reply::Reject, worth,
};
use crate::{
    base::Millis,
    decide::returning::{Rejection, RequestKey},
};

/// Largest number of rejections in a datagram; keeps it below the smallest usual packet size.
const REJECTIONS_MAX: usize = 120;

/// Largest number of entries that are told of a rejection.
const TARGETS_MAX: usize = 64;

/// Returns the key of a request: what its caller sends again unchanged when it returns.
fn request_key(ctx: &Context, job: &Job) -> RequestKey {
    let names = &ctx.headers;
    let target = job.uri.path_and_query().map_or("", |p| p.as_str());
    let headers = [
        &names.workspace,
        &names.parts,
        &names.tokens,
        &names.last_event,
    ];
    let headers = headers.map(|name| job.headers.get(name).map_or(&[][..], |v| v.as_bytes()));
    let content = [target.as_bytes(), &job.body];
    RequestKey::new(content.into_iter().chain(headers))
}

/// Returns when the caller of a request was first rejected, if it returns after that. One that resumes a stream doesn't
/// count: the stream has begun, and goes on before others begin.
pub(super) fn rejected_at(ctx: &Context, job: &Job) -> Option<Millis> {
    let deadline = job.caller_deadline.filter(|_| job.last_event.is_none())?;
    // Without overload no request needs its key.
    if job.model.is_none() || ctx.rejections.borrow_mut().is_empty(ctx.now()) {
        return None;
    }
    let key = request_key(ctx, job);
    ctx.rejections.borrow().rejected_at(key, deadline)
}

/// Records a rejected request whose caller was told to return, if it competes with others for slots of an engine.
pub(super) fn record_rejected(ctx: &Context, job: &Job, reject: Reject) {
    let overloaded = matches!(reject, Reject::Overloaded(_) | Reject::Refused(_));
    if matches!(reject, Reject::Overloaded(_)) {
        priority::record(ctx, job, false);
        worth::record(ctx, job, false);
        memory::record_rejected(ctx, job);
    }
    let Some(deadline) = job.caller_deadline.filter(|_| overloaded) else {
        return;
    };
    if job.model.is_none() {
        return;
    }
    let key = request_key(ctx, job);
    let mut rejections = ctx.rejections.borrow_mut();
    rejections.record(key, deadline, ctx.now());
}

/// Merges what another entry rejected.
pub(super) fn merge(ctx: &Context, rejections: &[Rejection]) {
    ctx.rejections.borrow_mut().merge(rejections, ctx.now());
}

/// Chooses the entries that are told of rejections. Callers return to any of them, so that more are told than get other
/// datagrams.
fn targets(ctx: &Context) -> Vec<SocketAddr> {
    let mut peers = ctx.members.borrow().all_peers();
    fastrand::shuffle(&mut peers);
    peers.truncate(TARGETS_MAX);
    peers
}

/// Tells other entries which requests this entry rejected.
pub(super) async fn send_news(ctx: &Context, socket: &UdpSocket) {
    let news = ctx.rejections.borrow_mut().take_news(ctx.now());
    if news.is_empty() {
        return;
    }
    let targets = targets(ctx);
    for part in news.chunks(REJECTIONS_MAX) {
        send_to_all(socket, &Message::Rejections(part.to_vec()), &targets).await;
    }
}
