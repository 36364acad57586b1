//! One attempt to have a request served by an endpoint.

use std::{
    future::Future,
    net::SocketAddr,
    pin::{pin, Pin},
    rc::Rc,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{header::HeaderValue, Request};

use super::{
    attempt::{Attempt, Attempts, Pass, Target},
    catalog::Repeat,
    choose::{choose, has_room, Choice},
    cold::{limit_in_force, note_refused},
    context::Context,
    dropped::note_dropped,
    ending::{Ending, Progress},
    endpoint_table::EndpointId,
    evaluate::evaluate,
    in_flight::InFlight,
    job::Job,
    load_balancer::Refusal,
    load_view::Outcome,
    log_event, memory,
    permits::{self, Permit},
    priority,
    record::WeightVersion,
    return_times, screen, worth,
};
use crate::{
    base::Millis,
    decide::{numbering::EventId, retry::RetryDraw, supersede::Expiry},
    emit,
    http::Connection,
};

/// Longest time to open a connection to an endpoint.
const CONNECT_TIMEOUT: Millis = Millis(400);

/// Largest number of endpoints for which one attempt asks for a permit.
const PERMIT_REQUESTS_MAX: u32 = 3;

/// Least time before the deadline for another attempt; with less, an endpoint could not finish any request.
const REMAINING_MIN: Millis = Millis(10);

/// Lower bound of the time after which another attempt may begin beside one without a response.
const ATTEMPT_TIMEOUT_MIN: Millis = Millis(350);

/// That time as a multiple of the route's latency objective.
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
    let (id, addr) = (choice.id.clone(), choice.addr);
    attempts.exclude(id.clone());
    let tokens = memory::tokens(job);
    let mut flight = InFlight::begin(ctx, id.clone(), choice.run, job.prompt_tokens, tokens);
    let limit = CONNECT_TIMEOUT.min(job.deadline - now);
    let (connection, reused) = match open(ctx, job, addr, limit).await {
        Ok(opened) => opened,
        Err(e) => {
            emit!(
                log_event::ATTEMPT,
                "id={} endpoint={id} outcome=not-sent reason=\"{e}\"",
                job.id()
            );
            ctx.pool.forget(addr);
            note_refused(ctx, &id, &e);
            flight.end(Outcome::Unreachable);
            return Ok(Attempt::NotSent);
        }
    };
    let screened = pass == Pass::Probe || screen::is_clear(ctx, job);
    let reason = withhold_reason(ctx, job, &choice, &id, permit);
    let reason = reason.or((!screened).then_some("a part of the prompt is quarantined"));
    let reason = reason.map_or_else(|| count_attempt(ctx, job, attempts), Err);
    if let Err(reason) = reason {
        emit!(
            log_event::ATTEMPT,
            "id={} endpoint={id} outcome=not-sent reason=\"{reason}\"",
            job.id()
        );
        if reason == memory::NO_MEMORY {
            attempts.readmit(&id);
        }
        flight.end(Outcome::Abandoned);
        return Ok(Attempt::NotSent);
    }
    permits::count_sent(ctx, job, &id);
    flight.traffic.sent += job.body.len();
    let target = Target {
        id,
        addr,
        flight,
        connection,
        reused,
        idle_max: choice.idle_max,
        sent_at: ctx.now(),
        known: screen::generations(ctx, job),
        probe: pass == Pass::Probe,
        version: choice.version,
        expected: choice.expected,
        run: choice.run,
    };
    Ok(send(ctx, job, attempts, target, last).await)
}

/// Returns the time in which an endpoint of the request's service reads its prompt.
fn read_time(ctx: &Context, job: &Job) -> Millis {
    let catalog = ctx.catalog.borrow();
    let spec = catalog.as_ref().and_then(|c| c.services.get(&job.service));
    let engine = spec.and_then(|s| s.engine);
    engine.map_or(Millis::ZERO, |e| e.read_time(job.prompt_tokens))
}

/// Returns by when a request to an endpoint with this version must be sent and must have begun, by what is known now.
fn expiry(ctx: &Context, job: &Job, version: Option<WeightVersion>) -> Option<Expiry> {
    ctx.expiry(job.model.as_deref()?, version?, read_time(ctx, job))
}

/// Returns why a request must not be sent after all to the endpoint that was chosen for it; `None` if it may be sent.
/// The state can have changed since the choice, because opening a connection takes time or the process was paused.
fn withhold_reason(
    ctx: &Context,
    job: &Job,
    choice: &Choice,
    id: &EndpointId,
    permit: Permit,
) -> Option<&'static str> {
    let now = ctx.now();
    if !permit.allows(limit_in_force(ctx, id), now) {
        return Some("the endpoint limits its request rate");
    }
    if expiry(ctx, job, choice.version).is_some_and(|e| e.send_by <= now) {
        return Some("a newer version of the weights is enforced");
    }
    if ctx.balancer.borrow().is_paused(id, now) {
        return Some("the endpoint is paused");
    }
    match ctx.endpoints.borrow().get(id) {
        None => Some("the endpoint was removed"),
        Some(e) if e.record.draining => Some("the endpoint is draining"),
        Some(e) if !job.residency.allows(&e.record.zone) => {
            Some("the endpoint is in a region that is not allowed")
        }
        Some(e) => {
            let reason = ctx.evacuation_reason(e);
            reason.or_else(|| memory::withhold_reason(ctx, job, id))
        }
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
        if attempts.counted() >= job.route.attempts {
            return Err("the route allows no further attempt");
        }
        if !ctx.take_retry(&job.service, attempts.draw.get()) {
            return Err("the retry budget is empty");
        }
        attempts.draw.set(RetryDraw::random());
    }
    if sent == 0 {
        priority::record(ctx, job, true);
        return_times::record_begun(ctx, job);
        worth::record(ctx, job, true);
    }
    attempts.sent.set(sent + 1);
    Ok(())
}

/// Opens a connection or takes an idle one; also returns whether it was idle.
async fn open(
    ctx: &Context,
    job: &Job,
    addr: SocketAddr,
    limit: Millis,
) -> std::io::Result<(Connection, bool)> {
    // The endpoint may close an idle connection while the request is sent; whether the request ran is then unknown, and
    // this request must not be repeated.
    if job.route.repeat != Repeat::Once {
        if let Some(connection) = ctx.pool.take(addr, ctx.now()) {
            return Ok((connection, true));
        }
    }
    Ok((crate::http::connect(addr, limit).await?, false))
}

/// Builds the request of one attempt.
fn request(
    ctx: &Context,
    job: &Job,
    target: &Target,
    last: Option<EventId>,
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
    if let Some(version) = target.expected {
        headers.insert(&names.version, HeaderValue::from(version.0));
    }
    if let Some(last) = last {
        headers.insert(&names.last_event, HeaderValue::from(last.0));
    }
    if job.model.is_some() {
        let urgency = (4 + job.priority.min(2) + u8::from(job.returning)).min(9);
        let urgency = worth::urgency(ctx, job, urgency);
        headers.insert(&names.priority, HeaderValue::from(u16::from(urgency)));
    }
    req
}

/// Returns how long an endpoint may take to begin its response before another attempt may begin beside it.
fn attempt_timeout(job: &Job) -> Millis {
    let timeout = job.route.objective.times(ATTEMPT_TIMEOUT_OBJECTIVES);
    timeout.max(ATTEMPT_TIMEOUT_MIN)
}

/// Result of waiting for the head of a response.
enum Wait<T> {
    Head(T),
    /// The limit passed.
    LimitPassed,
    /// The endpoint must have begun by now, because its version of the weights ends soon.
    Expired,
}

/// Waits for the head of a response until `limit`, or until the endpoint must have begun. The latter can change
/// meanwhile, because a newer version becomes known.
async fn head_until<T>(
    ctx: &Context,
    job: &Job,
    target: &Target,
    limit: Millis,
    mut response: Pin<&mut impl Future<Output = T>>,
) -> Wait<T> {
    loop {
        let begin_by = expiry(ctx, job, target.version).map(|e| e.begin_by);
        let begin_by = begin_by.unwrap_or(Millis::MAX);
        let wait = limit.min(begin_by) - ctx.now();
        tokio::select! {
            biased;
            head = response.as_mut() => return Wait::Head(head),
            () = tokio::time::sleep(wait.duration()) => {
                return if begin_by <= limit { Wait::Expired } else { Wait::LimitPassed };
            }
            () = ctx.changed.notified() => {}
        }
    }
}

/// Waits for the head of a response until the deadline, or until the endpoint must have begun; `None` then. An endpoint
/// that is silent meanwhile is waited for on, because no other one has begun to respond in its place.
async fn await_head<T>(
    ctx: &Context,
    job: &Job,
    attempts: &Attempts,
    target: &mut Target,
    response: impl Future<Output = T>,
) -> Option<T> {
    let start = ctx.now();
    let patience = attempt_timeout(job);
    let mut response = pin!(response);
    let mut wait = Wait::LimitPassed;
    if job.route.repeat != Repeat::Once && start + patience < job.deadline {
        attempts.schedule(start + patience);
        wait = head_until(ctx, job, target, start + patience, response.as_mut()).await;
        if matches!(wait, Wait::LimitPassed) {
            log_silent(job, target, ctx.now() - start);
            target.flight.set_silent(true);
        }
    }
    if matches!(wait, Wait::LimitPassed) {
        wait = head_until(ctx, job, target, job.deadline, response).await;
    }
    if let Wait::Head(head) = wait {
        return Some(head);
    }
    log_silent(job, target, ctx.now() - start);
    None
}

/// Logs whether a request began at an endpoint with superseded weights, and how much time was left.
fn log_superseded(ctx: &Context, job: &Job, target: &Target, responded: bool) {
    let Some(Expiry { begin_by, .. }) = expiry(ctx, job, target.version) else {
        return;
    };
    let (sent, begun) = (begin_by - target.sent_at, begin_by - ctx.now());
    emit!(
        log_event::SUPERSEDED,
        "id={} endpoint={} responded={responded} sent={sent} begun={begun}",
        job.id(),
        target.id
    );
}

fn log_silent(job: &Job, target: &Target, waited: Millis) {
    emit!(
        log_event::ATTEMPT,
        "id={} endpoint={} outcome=silent waited={waited}",
        job.id(),
        target.id
    );
}

async fn send(
    ctx: &Rc<Context>,
    job: &Job,
    attempts: &Attempts,
    mut target: Target,
    last: Option<EventId>,
) -> Attempt {
    let req = request(ctx, job, &target, last);
    let response = target.connection.send(req);
    let probe = target.probe;
    let sent = tokio::select! {
        sent = await_head(ctx, job, attempts, &mut target, response) => sent,
        () = screen::condemned(ctx, job, probe) => {
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
    log_superseded(ctx, job, &target, sent.is_some());
    let res = match sent {
        Some(Ok(res)) => res,
        Some(Err(mut e)) => {
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
            note_dropped(ctx, job, &target, Progress::Sent, ending);
            if target.reused && !error.is_parse() {
                // The end of an idle connection says nothing of the endpoint, which may get the request once more.
                attempts.readmit(&target.id);
                target.flight.end(Outcome::Abandoned);
                return Attempt::Lost;
            }
            target.flight.end(Outcome::Unreachable);
            return Attempt::Lost;
        }
        None => {
            target.flight.end(Outcome::Failed);
            return if ctx.now() + REMAINING_MIN >= job.deadline {
                Attempt::TimedOut
            } else {
                Attempt::Lost
            };
        }
    };
    target.flight.set_silent(false);
    // The response has begun: no other attempt while the rest of it arrives.
    attempts.schedule(Millis::MAX);
    let supplier = target.supplier();
    let result = evaluate(ctx, job, attempts, target, res).await;
    if matches!(result, Attempt::Streaming(_)) {
        attempts.supplier.replace(Some(supplier));
    }
    result
}

/// Whether another attempt may be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Repetition {
    /// It may be made now.
    Allowed,
    /// No endpoint has room for it.
    NoRoom,
    /// The retry budget is empty.
    NoBudget,
    /// The route or the deadline allows no other attempt.
    Never,
}

/// Returns whether another attempt may be made if an endpoint has room. `ran` says that the request may have run already.
pub(super) fn may_repeat(ctx: &Context, job: &Job, attempts: &Attempts, ran: bool) -> Repetition {
    if ran && job.route.repeat == Repeat::Once {
        return Repetition::Never;
    }
    let sent = attempts.sent.get();
    let none_left = attempts.counted() >= job.route.attempts;
    if none_left || ctx.now() + REMAINING_MIN >= job.deadline {
        return Repetition::Never;
    }
    // The retry budget counts only requests that are sent again after one was sent.
    if sent == 0 || ctx.has_retry(&job.service, attempts.draw.get()) {
        return Repetition::Allowed;
    }
    Repetition::NoBudget
}

/// Returns whether another attempt may be made now beside those in flight, which may have run.
pub(super) fn may_join(ctx: &Context, job: &Job, attempts: &Attempts) -> Repetition {
    let repetition = may_repeat(ctx, job, attempts, true);
    if repetition == Repetition::Allowed && !has_room(ctx, job, attempts) {
        return Repetition::NoRoom;
    }
    repetition
}
