//! Evaluates an endpoint's response to an attempt, and returns its connection to the pool or closes it.

use std::{net::SocketAddr, rc::Rc};

use http_body_util::{BodyExt, Full};
use hyper::{
    body::{Body, Incoming},
    header::{
        HeaderMap, CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH, CONTENT_TYPE, RETRY_AFTER,
        TRANSFER_ENCODING,
    },
    http::response::Parts,
    Response, StatusCode,
};

use super::{
    attempt::{Attempt, Attempts, StreamingResponse, Target},
    buffers::{self, BufferError, Held},
    cold::record_cold,
    context::Context,
    desired::DesiredVersions,
    dropped::note_dropped,
    ending::{Ending, Progress},
    endpoint_table::{Change, EndpointId},
    followers::endpoint_changed,
    headers::text,
    job::Job,
    limits::Observation,
    load_view::Outcome,
    log_event,
    record::WeightVersion,
    reported_load::ReportedLoad,
    reported_version::VersionReport,
    screen,
};
use crate::{
    base::Millis,
    emit,
    http::{has_unknown_coding, is_final, Connection},
};

/// Largest response body, in bytes, that is buffered until it is complete.
pub(super) const RESPONSE_MAX: usize = 2 << 20;

/// Longest time, in seconds, for which one `Retry-After` pauses an endpoint; an endpoint that needs longer sends it
/// again.
const PAUSE_MAX_S: f64 = 60.0;

/// Longest time for which an idle connection to an endpoint stays in the pool.
const IDLE_TIMEOUT: Millis = Millis(3000);

/// Largest body of a refusal, in bytes, that is read so that its connection can be reused.
const REFUSAL_BODY_MAX: u64 = 4096;

/// Longest time for reading the body of a refusal.
const REFUSAL_READ_TIMEOUT: Millis = Millis(20);

/// Content type of a stream of events.
const EVENT_STREAM: &str = "text/event-stream";

/// Returns whether a response belongs to the request, by the echoed request id. On a reused connection, a late
/// duplicate of an earlier response can arrive; it does not belong to the request even if it says "not run". Without an
/// id, a refusal is taken for that of the request only if the connection has carried no other.
fn matches_request(
    ctx: &Context,
    job: &Job,
    head: &HeaderMap,
    refused: bool,
    reused: bool,
) -> bool {
    match head.get(&ctx.headers.request_id) {
        Some(id) => *id == job.id,
        None => refused && !reused,
    }
}

/// Returns whether a successful response is the endpoint's own, unchanged: it bears the proof and is not encoded.
fn is_genuine(ctx: &Context, headers: &HeaderMap) -> bool {
    headers.contains_key(&ctx.headers.proof) && !headers.contains_key(CONTENT_ENCODING)
}

/// Returns whether a response is a stream of events. Without a content type, it is one on routes of streams.
fn is_event_stream(job: &Job, head: &Parts) -> bool {
    let kind = text(&head.headers, CONTENT_TYPE).map(|t| t.split(';').next().unwrap_or(t).trim());
    let events = kind.map_or(job.route.streaming, |k| {
        k.eq_ignore_ascii_case(EVENT_STREAM)
    });
    head.status == StatusCode::OK && events
}

/// Applies the status headers in which a run of an endpoint reports that it is draining or accepts no requests for a while.
fn apply_status_headers(ctx: &Rc<Context>, target: &Target, head: &Parts) {
    let names = &ctx.headers;
    let (id, now) = (&target.id, ctx.now());
    let leaving = head.headers.contains_key(&names.leaving);
    if leaving && ctx.endpoints.borrow_mut().mark_leaving(id, target.run, now) {
        endpoint_changed(ctx, id, Change::Left);
        ctx.notify_changed();
    }
    let seconds = text(&head.headers, RETRY_AFTER).and_then(|v| v.trim().parse::<f64>().ok());
    if let Some(seconds) = seconds.filter(|_| head.status == StatusCode::SERVICE_UNAVAILABLE) {
        let wait = Millis((seconds.clamp(0.0, PAUSE_MAX_S) * 1000.0) as u64);
        ctx.balancer.borrow_mut().pause(id, now + wait);
        emit!(
            log_event::ENDPOINT,
            "endpoint={id} change=Held ms={}",
            wait.0
        );
    }
}

/// Records the limit of the request rate that a response names, or that it shows to be withdrawn.
fn record_limit(ctx: &Context, target: &Target, head: &Parts) {
    let names = &ctx.headers;
    let observation = match text(&head.headers, &names.limit).map(str::parse) {
        Some(Ok(rate)) => Observation::Named {
            rate,
            at: ctx.now(),
        },
        // Only a response of the endpoint itself can show that it no longer names a limit.
        None if head.status.is_success() && head.headers.contains_key(&names.proof) => {
            Observation::Withdrawn { at: target.sent_at }
        }
        None => return,
        Some(Err(e)) => {
            emit!(log_event::RECORD, "endpoint={} reason=\"{e}\"", target.id);
            return;
        }
    };
    let now = ctx.now();
    let changed = ctx.limits.borrow_mut().record(&target.id, observation, now);
    if changed {
        emit!(
            log_event::LIMIT,
            "endpoint={} {observation} source=response",
            target.id
        );
    }
}

/// Records the load and the version that a response reports. A load beyond the connections that the endpoint accepts cannot be
/// true.
fn record_load(
    ctx: &Context,
    job: &Job,
    target: &Target,
    load: Option<&str>,
    version: Option<WeightVersion>,
) {
    let load = load.and_then(|v| v.parse::<ReportedLoad>().ok());
    let load = load.filter(|l| l.fits(ctx.connections(&job.service)));
    let version = version.map(|version| VersionReport {
        version,
        newest: newest_version(ctx, job, &target.id),
        sent: target.sent_at,
    });
    let mut balancer = ctx.balancer.borrow_mut();
    balancer.report(&target.id, load, version, ctx.now());
}

/// Returns the newest version of a request's model that an endpoint may have, as far as it is known.
fn newest_version(ctx: &Context, job: &Job, id: &EndpointId) -> WeightVersion {
    let Some(model) = job.model.as_deref() else {
        return WeightVersion::default();
    };
    let table = ctx.endpoints.borrow();
    let recorded = table.get(id).and_then(|e| e.weights(model));
    let desired = ctx.desired.borrow();
    let desired = desired.get(model).and_then(DesiredVersions::newest);
    recorded.max(desired).unwrap_or_default()
}

/// Notes that an endpoint rejected a request. If the request expected a version that only responses reported, that one was
/// wrong, or is no longer loaded.
fn note_misdirected(ctx: &Context, target: &Target, version: Option<WeightVersion>) {
    let Some(expected) = target
        .expected
        .filter(|expected| version != Some(*expected))
    else {
        return;
    };
    ctx.balancer.borrow_mut().refute_version(&target.id);
    emit!(
        log_event::ENDPOINT,
        "endpoint={} change=Misdirected expected={expected} reported={}",
        target.id,
        version.map_or("-".to_owned(), |v| v.to_string())
    );
}

/// Evaluates the response to an attempt and records the load and version that the endpoint reports in it.
pub(super) async fn evaluate(
    ctx: &Rc<Context>,
    job: &Job,
    attempts: &Attempts,
    target: Target,
    res: Response<Incoming>,
) -> Attempt {
    let (head, body) = res.into_parts();
    let names = &ctx.headers;
    let status = head.status;
    let refused =
        head.headers.contains_key(&names.not_run) || status == StatusCode::MISDIRECTED_REQUEST;
    let reused = target.connection.is_reused();
    if !matches_request(ctx, job, &head.headers, refused, reused) {
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
    // Nothing that such a response says is used, not even that the request did not run. No request asks for an upgrade, and
    // hyper skips all other informational responses.
    if !is_final(status) {
        return discard(job, target, status);
    }
    let load_text = text(&head.headers, &names.load);
    let version = text(&head.headers, &names.versions).and_then(|v| v.trim().parse().ok());
    // An endpoint runs a request that expects a version on that one only, whatever the header says.
    let version = target.expected.filter(|_| status.is_success()).or(version);
    if ctx.is_current(&target.id, target.run) {
        apply_status_headers(ctx, &target, &head);
        record_limit(ctx, &target, &head);
        record_cold(ctx, &target.id, &head);
        if status == StatusCode::MISDIRECTED_REQUEST {
            note_misdirected(ctx, &target, version);
        }
        record_load(ctx, job, &target, load_text, version);
    }
    if refused {
        emit!(
            log_event::ATTEMPT,
            "id={} endpoint={} outcome=refused status={} load={}",
            job.id(),
            target.id,
            status.as_u16(),
            load_text.unwrap_or("-")
        );
        finish_refusal(ctx, target, &head, body).await;
        return Attempt::NotRun;
    }
    if status.is_success() && !is_genuine(ctx, &head.headers) {
        target.flight.end(Outcome::Failed);
        return Attempt::Lost;
    }
    if has_unknown_coding(&head.headers) {
        return discard(job, target, status);
    }
    let streams = is_event_stream(job, &head);
    let other_version = attempts
        .version
        .get()
        .zip(version)
        .is_some_and(|(a, b)| a != b);
    if attempts.streaming.get() && (!streams || other_version) {
        return discard(job, target, status);
    }
    if streams {
        attempts.version.set(attempts.version.get().or(version));
        attempts.streaming.set(true);
        return Attempt::Streaming(Box::new(StreamingResponse { target, head, body }));
    }
    let id = target.id.clone();
    let result = read_response(ctx, job, target, head, body).await;
    if matches!(result, Attempt::Complete(_) | Attempt::Failed(_)) {
        attempts.answered.replace(Some(id));
    }
    result
}

/// Closes the connection of a response to the request that cannot be forwarded.
fn discard(job: &Job, target: Target, status: StatusCode) -> Attempt {
    emit!(
        log_event::ATTEMPT,
        "id={} endpoint={} outcome=unfit status={}",
        job.id(),
        target.id,
        status.as_u16()
    );
    target.flight.end(Outcome::Failed);
    Attempt::Lost
}

/// Reads the body of a refusal, if it is short, and returns its connection to the pool.
async fn finish_refusal(ctx: &Context, target: Target, head: &Parts, body: Incoming) {
    let idle = target.end(Outcome::Refused);
    let small = body
        .size_hint()
        .upper()
        .is_some_and(|n| n <= REFUSAL_BODY_MAX);
    let read = tokio::time::timeout(REFUSAL_READ_TIMEOUT.duration(), body.collect());
    if small && read.await.is_ok_and(|r| r.is_ok()) {
        keep_connection(ctx, idle, &head.headers);
    }
}

/// Returns a connection to the pool, unless the endpoint asked to close it.
pub(super) fn keep_connection(ctx: &Context, target: IdleConnection, headers: &HeaderMap) {
    if text(headers, CONNECTION).is_some_and(|v| v.eq_ignore_ascii_case("close")) {
        return;
    }
    let seconds = text(headers, "keep-alive")
        .and_then(|v| v.split("timeout=").nth(1))
        .and_then(|v| v.split(',').next()?.trim().parse::<u64>().ok());
    // The endpoint closes the connection after the time that it states; the entry stops using it at 70 % of that, so
    // that no request is under way when it closes.
    let time = seconds.map_or(IDLE_TIMEOUT, |s| Millis(s).times(700).min(IDLE_TIMEOUT));
    let expires = ctx.now() + time;
    ctx.pool
        .put(target.addr, target.connection, expires, target.idle_max);
}

/// A connection without a request in progress.
#[derive(Debug)]
pub(super) struct IdleConnection {
    addr: SocketAddr,
    connection: Connection,
    /// Largest number of idle connections to the endpoint.
    idle_max: usize,
}

impl Target {
    /// Records the outcome of the request at the endpoint and returns the connection.
    pub(super) fn end(self, outcome: Outcome) -> IdleConnection {
        self.flight.end(outcome);
        IdleConnection {
            addr: self.addr,
            connection: self.connection,
            idle_max: self.idle_max,
        }
    }
}

/// Reads the rest of a response that is forwarded only when it is complete.
async fn read_response(
    ctx: &Rc<Context>,
    job: &Job,
    mut target: Target,
    head: Parts,
    body: Incoming,
) -> Attempt {
    let known = screen::generations(ctx, job);
    let left = job.deadline - ctx.now();
    let mut held = Held::new(&ctx.callers);
    let read = buffers::collect(body, RESPONSE_MAX, &mut held);
    let body = match tokio::time::timeout(left.duration(), read).await {
        Ok(Ok(body)) => body,
        Ok(Err(e)) => {
            emit!(
                log_event::ATTEMPT,
                "id={} endpoint={} outcome=cut reason=\"{e}\"",
                job.id(),
                target.id
            );
            if let BufferError::Connection(e) = &e {
                let ending = Ending::of(e);
                note_dropped(ctx, job, &target, Progress::Body, ending);
            }
            target.flight.end(Outcome::Failed);
            return Attempt::Lost;
        }
        Err(_) => {
            target.flight.end(Outcome::Failed);
            return Attempt::TimedOut;
        }
    };
    target.flight.traffic.received += body.len();
    let status = head.status;
    if status.is_success() {
        screen::record_served(ctx, job, &known);
    }
    let mut res = Response::new(Full::new(body));
    *res.status_mut() = status;
    *res.headers_mut() = response_headers(&head.headers);
    // Callers take these statuses to mean that the request did not run, but only the endpoint's "not run" header says
    // so.
    let implies_not_run = [
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::REQUEST_TIMEOUT,
    ];
    let failed = implies_not_run.contains(&status) || status.is_server_error();
    let outcome = if failed {
        Outcome::Failed
    } else {
        Outcome::Served
    };
    keep_connection(ctx, target.end(outcome), &head.headers);
    if implies_not_run.contains(&status) {
        return Attempt::Lost;
    }
    if failed {
        return Attempt::Failed(res);
    }
    Attempt::Complete(res)
}

/// Returns an endpoint's response headers without those that concern only its connection.
pub(super) fn response_headers(headers: &HeaderMap) -> HeaderMap {
    let mut out = headers.clone();
    out.remove(CONNECTION);
    out.remove(TRANSFER_ENCODING);
    out.remove(CONTENT_LENGTH);
    out.remove("keep-alive");
    out
}
