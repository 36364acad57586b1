//! Attempts of one request at endpoints.

use std::{net::SocketAddr, rc::Rc};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    body::{Body, Incoming},
    header::{
        HeaderMap, HeaderValue, CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, RETRY_AFTER,
        TRANSFER_ENCODING,
    },
    http::response::Parts,
    Request, Response, StatusCode,
};

use super::{
    accept::Job,
    balance::{Load, Outcome, Refusal},
    catalog::Repeat,
    choose::choose,
    context::{Context, InFlight},
    events::EventId,
    fleet::{Change, EndpointId},
    followers::endpoint_changed,
    log_event,
    record::WeightVersion,
    reply::Reject,
};
use crate::{base::Millis, emit, http::Connection};

/// Longest time to open a connection to an endpoint.
const CONNECT: Millis = Millis(400);

/// Least time that an attempt is given; with less, an endpoint could not finish anything.
const ATTEMPT_MIN: Millis = Millis(10);

/// Least time without a sign of progress after which an attempt that may be repeated is given up.
const PATIENCE_MIN: Millis = Millis(350);

/// Objectives that pass without a sign of progress before an attempt that may be repeated is given up.
const PATIENCE_OBJECTIVES: u64 = 3;

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

/// An endpoint that has a request, and the connection to it.
#[derive(Debug)]
pub(super) struct Target {
    pub(super) id: EndpointId,
    pub(super) addr: SocketAddr,
    pub(super) flight: InFlight,
    pub(super) connection: Connection,
    /// Idle connections to the endpoint that may be kept.
    pub(super) idle_max: usize,
    /// When the response has to have begun, because a newer version of the weights binds then.
    pub(super) begin_by: Option<Millis>,
}

/// A response whose body is still to come.
#[derive(Debug)]
pub(super) struct Begun {
    pub(super) target: Target,
    pub(super) head: Parts,
    pub(super) body: Incoming,
}

/// What an attempt came to.
#[derive(Debug)]
pub(super) enum Attempt {
    /// A response that belongs to the request; its endpoint ran it.
    Begun(Box<Begun>),
    /// A whole response.
    Whole(Response<Full<Bytes>>),
    /// The endpoint did not run the request.
    NotRun,
    /// The request was not sent.
    NotSent,
    /// The request was sent, and no usable response came.
    Lost,
    /// The deadline passed after the request was sent.
    TimedOut,
    /// A whole response that says that the endpoint failed.
    Failed(Response<Full<Bytes>>),
}

/// Progress of a request over its attempts.
#[derive(Debug)]
pub(super) struct Attempts {
    pub(super) tried: Vec<EndpointId>,
    /// Attempts that were sent.
    pub(super) sent: u32,
    /// Version that the response began on.
    pub(super) version: Option<WeightVersion>,
}

impl Attempts {
    pub(super) fn new() -> Self {
        Self {
            tried: Vec::new(),
            sent: 0,
            version: None,
        }
    }
}

/// Sends a request once.
pub(super) async fn attempt(
    ctx: &Rc<Context>,
    job: &Job,
    attempts: &mut Attempts,
    last: Option<EventId>,
) -> Result<Attempt, Refusal> {
    let now = ctx.now();
    let choice = choose(ctx, job, attempts, now)?;
    let (id, addr) = (choice.id, choice.addr);
    attempts.tried.push(id.clone());
    let flight = InFlight::begin(ctx, id.clone(), job.prompt);
    let limit = CONNECT.min(job.deadline - now);
    let connection = match open(ctx, job, addr, limit).await {
        Ok(connection) => connection,
        Err(e) => {
            emit!(
                log_event::ATTEMPT,
                "id={} endpoint={id} outcome=not-sent reason=\"{e}\"",
                job.id()
            );
            ctx.pool.forget(addr);
            flight.end(Outcome::Unreachable);
            return Ok(Attempt::NotSent);
        }
    };
    if let Some(reason) = withheld(ctx, &id, choice.begin_by) {
        emit!(
            log_event::ATTEMPT,
            "id={} endpoint={id} outcome=not-sent reason=\"{reason}\"",
            job.id()
        );
        flight.end(Outcome::Abandoned);
        return Ok(Attempt::NotSent);
    }
    attempts.sent += 1;
    let target = Target {
        id,
        addr,
        flight,
        connection,
        idle_max: choice.idle_max,
        begin_by: choice.begin_by,
    };
    Ok(send(ctx, job, attempts, target, last, choice.expected).await)
}

/// Returns why a request must no longer go to an endpoint that was chosen for it: the connection took time to open, or
/// the process was paused meanwhile.
fn withheld(ctx: &Context, id: &EndpointId, begin_by: Option<Millis>) -> Option<&'static str> {
    let now = ctx.now();
    if begin_by.is_some_and(|at| at <= now) {
        return Some("a newer version of the weights binds");
    }
    if ctx.balance.borrow().is_held(id, now) {
        return Some("the endpoint wants no requests for now");
    }
    match ctx.fleet.borrow().get(id) {
        None => Some("the endpoint is gone"),
        Some(e) if e.record.draining => Some("the endpoint leaves"),
        Some(_) => None,
    }
}

async fn open(
    ctx: &Context,
    job: &Job,
    addr: SocketAddr,
    limit: Millis,
) -> std::io::Result<Connection> {
    // The endpoint may have closed an idle connection, and then nobody could tell whether the request ran.
    if job.route.repeat == Repeat::Once {
        return crate::http::connect(addr, limit).await;
    }
    ctx.pool.checkout(addr, ctx.now(), limit).await
}

/// Builds the request of one attempt.
fn request(
    ctx: &Context,
    job: &Job,
    target: &Target,
    last: Option<EventId>,
    expected: Option<WeightVersion>,
) -> Request<Full<Bytes>> {
    let names = &ctx.headers;
    let mut req = Request::new(Full::new(job.body.clone()));
    *req.method_mut() = job.method.clone();
    *req.uri_mut() = job.uri.clone();
    *req.headers_mut() = job.headers.clone();
    let headers = req.headers_mut();
    let left = job.deadline - ctx.now();
    headers.insert(&names.deadline, HeaderValue::from(left.0));
    if let Ok(id) = HeaderValue::from_str(&target.id.0) {
        headers.insert(&names.instance, id);
    }
    if let Some(version) = expected {
        headers.insert(&names.version, HeaderValue::from(version.0));
    }
    if let Some(last) = last {
        headers.insert(&names.last_event, HeaderValue::from(last.0));
    }
    if job.model.is_some() {
        let urgency = (4 + job.priority.min(2) + u8::from(job.late)).min(9);
        headers.insert(&names.priority, HeaderValue::from(u16::from(urgency)));
    }
    req
}

/// Returns how long an attempt may show no progress.
pub(super) fn patience(ctx: &Context, job: &Job, attempts: &Attempts) -> Millis {
    let left = job.deadline - ctx.now();
    let further = job.route.repeat != Repeat::Once && attempts.sent < job.route.attempts;
    if !further {
        return left;
    }
    let patience = job.route.objective.times(PATIENCE_OBJECTIVES);
    patience.max(PATIENCE_MIN).min(left)
}

async fn send(
    ctx: &Rc<Context>,
    job: &Job,
    attempts: &mut Attempts,
    mut target: Target,
    last: Option<EventId>,
    expected: Option<WeightVersion>,
) -> Attempt {
    let req = request(ctx, job, &target, last, expected);
    let now = ctx.now();
    let recall = target.begin_by.map_or(Millis::MAX, |at| at - now);
    let limit = patience(ctx, job, attempts).min(recall);
    let sent =
        tokio::time::timeout(limit.duration(), target.connection.try_send_request(req)).await;
    let res = match sent {
        Ok(Ok(res)) => res,
        Ok(Err(mut e)) => {
            let unsent = e.take_message().is_some();
            let text = e.into_error().to_string();
            let outcome = if unsent { "not-sent" } else { "lost" };
            emit!(
                log_event::ATTEMPT,
                "id={} endpoint={} outcome={outcome} reason=\"{text}\"",
                job.id(),
                target.id
            );
            ctx.pool.forget(target.addr);
            if unsent {
                attempts.sent -= 1;
                attempts.tried.retain(|id| *id != target.id);
                target.flight.end(Outcome::Abandoned);
                return Attempt::NotSent;
            }
            target.flight.end(Outcome::Unreachable);
            return Attempt::Lost;
        }
        Err(_) => {
            emit!(
                log_event::ATTEMPT,
                "id={} endpoint={} outcome=silent waited={limit}",
                job.id(),
                target.id
            );
            target.flight.end(Outcome::Failed);
            return if ctx.now() + ATTEMPT_MIN >= job.deadline {
                Attempt::TimedOut
            } else {
                Attempt::Lost
            };
        }
    };
    judge(ctx, job, attempts, target, res).await
}

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
    let text = |name| head.headers.get(name).and_then(|v| v.to_str().ok());
    let seconds = text(&RETRY_AFTER).and_then(|v| v.trim().parse::<f64>().ok());
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

async fn judge(
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
    let text = |name| head.headers.get(name).and_then(|v| v.to_str().ok());
    let load = text(&names.load).and_then(|v| v.parse::<Load>().ok());
    let version = text(&names.versions).and_then(|v| v.trim().parse().ok());
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
            text(&names.load).unwrap_or("-")
        );
        finish(ctx, target, &head, body).await;
        return Attempt::NotRun;
    }
    if status.is_success() && !head.headers.contains_key(&names.proof) {
        target.flight.end(Outcome::Failed);
        return Attempt::Lost;
    }
    let events = text(&CONTENT_TYPE).is_some_and(|t| t.starts_with("text/event-stream"));
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
    let text = |name: &str| headers.get(name).and_then(|v| v.to_str().ok());
    if text("connection").is_some_and(|v| v.eq_ignore_ascii_case("close")) {
        return;
    }
    let seconds = text("keep-alive")
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

/// Decides whether a further attempt follows one that brought nothing, and takes it from the budget.
pub(super) fn may_repeat(ctx: &Context, job: &Job, attempts: &Attempts, ran: bool) -> bool {
    if ran && job.route.repeat == Repeat::Once {
        return false;
    }
    if attempts.sent >= job.route.attempts || ctx.now() + ATTEMPT_MIN >= job.deadline {
        return false;
    }
    // The first request that reaches an endpoint is no retry.
    attempts.sent == 0 || ctx.take_retry(&job.service)
}

/// Mean time after which a caller returns whose request was turned away by endpoints.
const TURNED_AWAY: Millis = Millis(300);

/// Connections that may fail to open for one request.
const UNSENT_MAX: usize = 4;

/// Sends a request until it has a response or is given up.
///
/// # Errors
///
/// Returns the entry's own answer if no endpoint's can be passed on.
pub(super) async fn forward(
    ctx: &Rc<Context>,
    job: &Job,
    attempts: &mut Attempts,
) -> Result<Attempt, Reject> {
    let mut ran = false;
    let mut unsent = 0;
    loop {
        let result = match attempt(ctx, job, attempts, job.last).await {
            Ok(result) => result,
            Err(_) if ran => return Err(Reject::Lost),
            Err(refusal) => return Err(refusal.into()),
        };
        let spare = match result {
            Attempt::Begun(_) | Attempt::Whole(_) => return Ok(result),
            Attempt::TimedOut => return Err(Reject::TimedOut),
            Attempt::NotSent => {
                unsent += 1;
                None
            }
            Attempt::NotRun => None,
            Attempt::Lost => {
                ran = true;
                None
            }
            Attempt::Failed(res) => {
                ran = true;
                Some(res)
            }
        };
        if unsent < UNSENT_MAX && may_repeat(ctx, job, attempts, ran) {
            continue;
        }
        return match spare {
            Some(res) => Ok(Attempt::Failed(res)),
            None if ran => Err(Reject::Lost),
            None => Err(Reject::TurnedAway(crate::base::jitter(TURNED_AWAY))),
        };
    }
}
