//! Attempts of one request at endpoints.

use std::{net::SocketAddr, rc::Rc};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{body::Incoming, header::HeaderValue, http::response::Parts, Request, Response};

use super::{
    accept::Job,
    balance::Refusal,
    catalog::Repeat,
    choose::choose,
    context::{Context, InFlight},
    evaluate::evaluate,
    events::EventId,
    fleet::EndpointId,
    log_event,
    record::WeightVersion,
    reply::Reject,
    view::Outcome,
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
    evaluate(ctx, job, attempts, target, res).await
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
            None => Err(Reject::Refused(crate::base::jitter(TURNED_AWAY))),
        };
    }
}
