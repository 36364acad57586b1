//! Decides what a response of an endpoint is worth, and what becomes of its connection.

use std::{net::SocketAddr, rc::Rc};

use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    body::{Body, Incoming},
    header::{HeaderMap, CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, RETRY_AFTER, TRANSFER_ENCODING},
    http::response::Parts,
    Response, StatusCode,
};

use super::{
    accept::Job,
    context::Context,
    fleet::{Change, EndpointId},
    followers::endpoint_changed,
    forward::{Attempt, Attempts, Begun, Target},
    headers::text,
    log_event,
    view::{Load, Outcome},
};
use crate::{base::Millis, emit, http::Connection};

/// Largest response that is held until it is complete, in bytes.
const RESPONSE_MAX: usize = 2 << 20;

/// Longest time for which an endpoint is passed over at its word, in seconds; an endpoint that wants more soon says so
/// again.
const HOLD_MAX_S: f64 = 60.0;

/// Time for which an idle connection to an endpoint is kept.
const IDLE: Millis = Millis(3000);

/// Largest body of a refusal that is read to use its connection again, in bytes, and the time for that.
const REFUSAL_MAX: u64 = 4096;
const REFUSAL_TIME: Millis = Millis(20);

/// Returns whether a response belongs to the request. A late second copy of another response on a connection that is
/// used again does not, also if it says that its request did not run.
fn belongs(ctx: &Context, job: &Job, head: &HeaderMap, refused: bool) -> bool {
    match head.get(&ctx.headers.request_id) {
        Some(id) => *id == job.id,
        None => refused,
    }
}

/// Takes what an endpoint says of itself in the head of a response.
fn take_word(ctx: &Rc<Context>, id: &EndpointId, head: &Parts) {
    let names = &ctx.headers;
    let now = ctx.now();
    if head.headers.contains_key(&names.leaving) && ctx.fleet.borrow_mut().leave(id, now) {
        endpoint_changed(ctx, id, Change::Left);
        ctx.tell();
    }
    let seconds = text(&head.headers, RETRY_AFTER).and_then(|v| v.trim().parse::<f64>().ok());
    if let Some(seconds) = seconds.filter(|_| head.status == StatusCode::SERVICE_UNAVAILABLE) {
        let wait = Millis((seconds.clamp(0.0, HOLD_MAX_S) * 1000.0) as u64);
        ctx.balance.borrow_mut().hold(id, now + wait);
        emit!(
            log_event::ENDPOINT,
            "endpoint={id} change=Held ms={}",
            wait.0
        );
    }
}

/// Decides what the response of an attempt is worth.
pub(super) async fn evaluate(
    ctx: &Rc<Context>,
    job: &Job,
    attempts: &mut Attempts,
    target: Target,
    res: Response<Incoming>,
) -> Attempt {
    let (head, body) = res.into_parts();
    let names = &ctx.headers;
    let status = head.status;
    let refused =
        head.headers.contains_key(&names.not_run) || status == StatusCode::MISDIRECTED_REQUEST;
    if !belongs(ctx, job, &head.headers, refused) {
        emit!(
            log_event::ATTEMPT,
            "id={} endpoint={} outcome=crossed status={}",
            job.id(),
            target.id,
            status.as_u16()
        );
        target.flight.end(Outcome::Failed);
        return Attempt::Lost;
    }
    take_word(ctx, &target.id, &head);
    let load_text = text(&head.headers, &names.load);
    let load = load_text.and_then(|v| v.parse::<Load>().ok());
    let version = text(&head.headers, &names.versions).and_then(|v| v.trim().parse().ok());
    ctx.balance
        .borrow_mut()
        .report(&target.id, load, version, ctx.now());
    if refused {
        emit!(
            log_event::ATTEMPT,
            "id={} endpoint={} outcome=refused status={} load={}",
            job.id(),
            target.id,
            status.as_u16(),
            load_text.unwrap_or("-")
        );
        finish(ctx, target, &head, body).await;
        return Attempt::NotRun;
    }
    if status.is_success() && !head.headers.contains_key(&names.proof) {
        target.flight.end(Outcome::Failed);
        return Attempt::Lost;
    }
    let events =
        text(&head.headers, CONTENT_TYPE).is_some_and(|t| t.starts_with("text/event-stream"));
    if status.is_success() && (job.route.streaming || events) {
        attempts.version = attempts.version.or(version);
        return Attempt::Begun(Box::new(Begun { target, head, body }));
    }
    whole(ctx, job, target, head, body).await
}

/// Reads the rest of a refusal, so that its connection can be used again.
async fn finish(ctx: &Context, target: Target, head: &Parts, body: Incoming) {
    let idle = target.end(Outcome::Refused);
    let small = body.size_hint().upper().is_some_and(|n| n <= REFUSAL_MAX);
    let read = tokio::time::timeout(REFUSAL_TIME.duration(), body.collect());
    if small && read.await.is_ok_and(|r| r.is_ok()) {
        keep(ctx, idle, &head.headers);
    }
}

/// Returns a connection to the pool.
pub(super) fn keep(ctx: &Context, target: Idle, headers: &HeaderMap) {
    if text(headers, CONNECTION).is_some_and(|v| v.eq_ignore_ascii_case("close")) {
        return;
    }
    let seconds = text(headers, "keep-alive")
        .and_then(|v| v.split("timeout=").nth(1))
        .and_then(|v| v.split(',').next()?.trim().parse::<u64>().ok());
    // The endpoint closes at the stated time; a request must not cross that.
    let time = seconds.map_or(IDLE, |s| Millis(s * 700).min(IDLE));
    let expires = ctx.now() + time;
    ctx.pool
        .put(target.addr, target.connection, expires, target.max);
}

/// A connection without a request.
#[derive(Debug)]
pub(super) struct Idle {
    addr: SocketAddr,
    connection: Connection,
    max: usize,
}

impl Target {
    /// Ends the request at the endpoint and returns its connection.
    pub(super) fn end(self, outcome: Outcome) -> Idle {
        self.flight.end(outcome);
        Idle {
            addr: self.addr,
            connection: self.connection,
            max: self.idle_max,
        }
    }
}

/// Reads a whole response.
async fn whole(
    ctx: &Rc<Context>,
    job: &Job,
    target: Target,
    head: Parts,
    body: Incoming,
) -> Attempt {
    let left = job.deadline - ctx.now();
    let read = Limited::new(body, RESPONSE_MAX).collect();
    let body = match tokio::time::timeout(left.duration(), read).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(e)) => {
            emit!(
                log_event::ATTEMPT,
                "id={} endpoint={} outcome=cut reason=\"{e}\"",
                job.id(),
                target.id
            );
            target.flight.end(Outcome::Failed);
            return Attempt::Lost;
        }
        Err(_) => {
            target.flight.end(Outcome::Failed);
            return Attempt::TimedOut;
        }
    };
    let status = head.status;
    let mut res = Response::new(Full::new(body));
    *res.status_mut() = status;
    *res.headers_mut() = response_headers(&head.headers);
    // These statuses promise that the request did not run, which only the mark of the endpoint can.
    let promise = [
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::REQUEST_TIMEOUT,
    ];
    let failed = promise.contains(&status) || status.is_server_error();
    let outcome = if failed {
        Outcome::Failed
    } else {
        Outcome::Served
    };
    keep(ctx, target.end(outcome), &head.headers);
    if promise.contains(&status) {
        return Attempt::Lost;
    }
    if failed {
        return Attempt::Failed(res);
    }
    Attempt::Whole(res)
}

/// Returns the headers of an endpoint's response that concern the caller.
pub(super) fn response_headers(headers: &HeaderMap) -> HeaderMap {
    let mut out = headers.clone();
    out.remove(CONNECTION);
    out.remove(TRANSFER_ENCODING);
    out.remove(CONTENT_LENGTH);
    out.remove("keep-alive");
    out
}
