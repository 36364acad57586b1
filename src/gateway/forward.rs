//! Attempts to have one request served by endpoints, with retries.

use std::{net::SocketAddr, rc::Rc};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{header::HeaderValue, Request};

use super::{
    accept::Job,
    attempt::{Attempt, Attempts, Pass, Target},
    catalog::Repeat,
    choose::{choose, Choice},
    context::{Context, InFlight},
    dropped::note_dropped,
    ending::{Ending, Progress},
    endpoint_table::EndpointId,
    evaluate::evaluate,
    events::EventId,
    load_balancer::Refusal,
    load_view::Outcome,
    log_event,
    permits::{self, Permit},
    record::WeightVersion,
    reply::Reject,
    screen,
};
use crate::{base::Millis, decide::retry::RetryDraw, emit, http::Connection};

/// Longest time to open a connection to an endpoint.
const CONNECT_TIMEOUT: Millis = Millis(400);

/// Largest number of endpoints for which one attempt asks for a permit.
const PERMIT_REQUESTS_MAX: u32 = 3;

/// Least time before the deadline for another attempt; with less, an endpoint could not finish any request.
const REMAINING_MIN: Millis = Millis(10);

/// Lower bound of the attempt timeout, for attempts that may be repeated.
const ATTEMPT_TIMEOUT_MIN: Millis = Millis(350);

/// Attempt timeout as a multiple of the route's latency objective, for attempts that may be repeated.
const ATTEMPT_TIMEOUT_OBJECTIVES: u64 = 3;

/// Chooses an endpoint and obtains the permit for the request if the endpoint limits its request rate.
///
/// # Errors
///
/// Returns why no endpoint may get the request.
async fn choose_permitted(
    ctx: &Context,
    job: &Job,
    attempts: &Attempts,
) -> Result<(Choice, Permit), Refusal> {
    for _ in 0..PERMIT_REQUESTS_MAX {
        let choice = choose(ctx, job, attempts, ctx.now())?;
        if let Some(permit) = permits::obtain(ctx, job, &choice.id).await {
            return Ok((choice, permit));
        }
    }
    permits::close_limited(ctx, &job.service);
    let choice = choose(ctx, job, attempts, ctx.now())?;
    Ok((choice, Permit::Unlimited))
}

/// Chooses an endpoint and sends the request to it, unless a part of its prompt is quarantined. `last` is the last event
/// of the stream that the caller has, if the endpoint is to continue a stream.
///
/// # Errors
///
/// Returns why no endpoint may get the request.
pub(super) async fn attempt(
    ctx: &Rc<Context>,
    job: &Job,
    attempts: &Attempts,
    last: Option<EventId>,
) -> Result<Attempt, Refusal> {
    let pass = screen::admit(ctx, job, attempts).await?;
    let result = send_to_chosen(ctx, job, attempts, last, pass).await;
    if matches!(result, Ok(Attempt::NotSent)) {
        attempts.pass.set(pass);
    }
    result
}

async fn send_to_chosen(
    ctx: &Rc<Context>,
    job: &Job,
    attempts: &Attempts,
    last: Option<EventId>,
    pass: Pass,
) -> Result<Attempt, Refusal> {
    let (choice, permit) = choose_permitted(ctx, job, attempts).await?;
    let now = ctx.now();
    let (id, addr) = (choice.id, choice.addr);
    attempts.exclude(id.clone());
    let flight = InFlight::begin(ctx, id.clone(), job.prompt_tokens);
    let limit = CONNECT_TIMEOUT.min(job.deadline - now);
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
    let screened = pass == Pass::Probe || screen::is_clear(ctx, job);
    let reason = withhold_reason(ctx, &id, choice.begin_by, permit);
    let reason = reason.or((!screened).then_some("a part of the prompt is quarantined"));
    let reason = reason.map_or_else(|| count_attempt(ctx, job, attempts), Err);
    if let Err(reason) = reason {
        emit!(
            log_event::ATTEMPT,
            "id={} endpoint={id} outcome=not-sent reason=\"{reason}\"",
            job.id()
        );
        flight.end(Outcome::Abandoned);
        return Ok(Attempt::NotSent);
    }
    permits::count_sent(ctx, job, &id);
    let target = Target {
        id,
        addr,
        flight,
        connection,
        idle_max: choice.idle_max,
        sent_at: ctx.now(),
        known: screen::generations(ctx, job),
        probe: pass == Pass::Probe,
        begin_by: choice.begin_by,
    };
    Ok(send(ctx, job, attempts, target, last, choice.expected).await)
}

/// Returns why a request must not be sent after all to the endpoint that was chosen for it; `None` if it may be sent.
/// The state can have changed since the choice, because opening a connection takes time or the process was paused.
fn withhold_reason(
    ctx: &Context,
    id: &EndpointId,
    begin_by: Option<Millis>,
    permit: Permit,
) -> Option<&'static str> {
    let now = ctx.now();
    if !permit.allows(ctx.limits.borrow().get(id), now) {
        return Some("the endpoint limits its request rate");
    }
    if begin_by.is_some_and(|at| at <= now) {
        return Some("a newer version of the weights is enforced");
    }
    if ctx.balancer.borrow().is_paused(id, now) {
        return Some("the endpoint is paused");
    }
    match ctx.endpoints.borrow().get(id) {
        None => Some("the endpoint was removed"),
        Some(e) if e.record.draining => Some("the endpoint is draining"),
        Some(_) => None,
    }
}

/// Counts an attempt that is about to be sent; one beyond the first takes a retry from the budget.
///
/// # Errors
///
/// Returns why the request must not be sent once more.
fn count_attempt(ctx: &Context, job: &Job, attempts: &Attempts) -> Result<(), &'static str> {
    let sent = attempts.sent.get();
    if sent > 0 {
        if sent >= job.route.attempts {
            return Err("the route allows no further attempt");
        }
        if !ctx.take_retry(&job.service, attempts.draw.get()) {
            return Err("the retry budget is empty");
        }
        attempts.draw.set(RetryDraw::random());
    }
    attempts.sent.set(sent + 1);
    Ok(())
}

async fn open(
    ctx: &Context,
    job: &Job,
    addr: SocketAddr,
    limit: Millis,
) -> std::io::Result<Connection> {
    // The endpoint may close an idle connection while the request is sent; whether the request ran is then unknown, and
    // this request must not be repeated.
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
        let urgency = (4 + job.priority.min(2) + u8::from(job.retrying)).min(9);
        headers.insert(&names.priority, HeaderValue::from(u16::from(urgency)));
    }
    req
}

/// Returns the attempt timeout: how long the entry waits for the head of a response.
pub(super) fn attempt_timeout(ctx: &Context, job: &Job, attempts: &Attempts) -> Millis {
    let left = job.deadline - ctx.now();
    let further = job.route.repeat != Repeat::Once && attempts.sent.get() < job.route.attempts;
    if !further {
        return left;
    }
    let timeout = job.route.objective.times(ATTEMPT_TIMEOUT_OBJECTIVES);
    timeout.max(ATTEMPT_TIMEOUT_MIN).min(left)
}

async fn send(
    ctx: &Rc<Context>,
    job: &Job,
    attempts: &Attempts,
    mut target: Target,
    last: Option<EventId>,
    expected: Option<WeightVersion>,
) -> Attempt {
    let req = request(ctx, job, &target, last, expected);
    let now = ctx.now();
    let begin_limit = target.begin_by.map_or(Millis::MAX, |at| at - now);
    let limit = attempt_timeout(ctx, job, attempts).min(begin_limit);
    let sent = tokio::time::timeout(limit.duration(), target.connection.try_send_request(req));
    let sent = tokio::select! {
        sent = sent => sent,
        () = screen::condemned(ctx, job, target.probe) => {
            emit!(
                log_event::ATTEMPT,
                "id={} endpoint={} outcome=cancelled reason=\"a part of the prompt is quarantined\"",
                job.id(),
                target.id
            );
            target.flight.end(Outcome::Abandoned);
            return Attempt::Lost;
        }
    };
    let res = match sent {
        Ok(Ok(res)) => res,
        Ok(Err(mut e)) => {
            let unsent = e.take_message().is_some();
            let error = e.into_error();
            let text = error.to_string();
            let outcome = if unsent { "not-sent" } else { "lost" };
            emit!(
                log_event::ATTEMPT,
                "id={} endpoint={} outcome={outcome} reason=\"{text}\"",
                job.id(),
                target.id
            );
            ctx.pool.forget(target.addr);
            if unsent {
                attempts.sent.set(attempts.sent.get() - 1);
                attempts.readmit(&target.id);
                target.flight.end(Outcome::Abandoned);
                return Attempt::NotSent;
            }
            let ending = Ending::of(&error);
            note_dropped(ctx, job, &target.id, &target.known, Progress::Sent, ending);
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
            return if ctx.now() + REMAINING_MIN >= job.deadline {
                Attempt::TimedOut
            } else {
                Attempt::Lost
            };
        }
    };
    evaluate(ctx, job, attempts, target, res).await
}

/// Returns whether another attempt may follow one without a usable response. `ran` says that the request may have run
/// already.
pub(super) fn may_repeat(ctx: &Context, job: &Job, attempts: &Attempts, ran: bool) -> bool {
    if ran && job.route.repeat == Repeat::Once {
        return false;
    }
    let sent = attempts.sent.get();
    if sent >= job.route.attempts || ctx.now() + REMAINING_MIN >= job.deadline {
        return false;
    }
    // The retry budget counts only requests that are sent again after one was sent.
    sent == 0 || ctx.has_retry(&job.service, attempts.draw.get())
}

/// Mean `Retry-After` of the entry's response if endpoints refused the request or could not be reached.
const REFUSED_RETRY_AFTER: Millis = Millis(300);

/// Largest number of attempts of one request that end before the request is sent.
const UNSENT_MAX: usize = 4;

/// Sends a request to endpoints until one of them responds or no further attempt is allowed.
///
/// # Errors
///
/// Returns the rejection with which the entry responds if it has no endpoint's response to forward.
pub(super) async fn forward(
    ctx: &Rc<Context>,
    job: &Job,
    attempts: &Attempts,
) -> Result<Attempt, Reject> {
    let mut ran = false;
    let mut unsent = 0;
    loop {
        let result = match attempt(ctx, job, attempts, job.last_event).await {
            Ok(result) => result,
            Err(_) if ran => return Err(Reject::Lost),
            Err(refusal) => return Err(refusal.into()),
        };
        let fallback = match result {
            Attempt::Streaming(_) | Attempt::Complete(_) => return Ok(result),
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
        return match fallback {
            Some(res) => Ok(Attempt::Failed(res)),
            None if ran => Err(Reject::Lost),
            None => Err(Reject::Refused(crate::base::jitter(REFUSED_RETRY_AFTER))),
        };
    }
}
