//! Tells rejected callers when to return, from what can be served then; for services with engines.

use super::{
    context::Context, job::Job, load_balancer::LOAD_TIME, log_event, metrics::OutcomeLabel,
    reply::Reject,
};
use crate::{
    base::Millis,
    decide::{
        return_times::{RejectedRequest, ReturnTime, ReturnTimes},
        supersede::Margins,
    },
    emit,
};

/// Longest time that the load balancer tells callers to wait if no endpoint is known to take requests later.
const UNKNOWN_MAX: Millis = Millis(375);

/// Part of the latency objective in which a caller must return to meet it; the endpoint needs the rest.
const OBJECTIVE_DIVISOR: u64 = 2;

/// Number of services and lists of regions from which on what is known of them is forgotten: lists of earlier
/// configurations stay otherwise.
const STATES_MAX: usize = 256;

/// Returns whether the request competes with others for slots of engines.
fn needs_engine(ctx: &Context, job: &Job) -> bool {
    let catalog = ctx.catalog.borrow();
    let spec = catalog.as_ref().and_then(|c| c.services.get(&job.service));
    job.model.is_some() && spec.is_some_and(|s| s.engine.is_some())
}

/// Calls `f` with the return times of the endpoints that may serve the request.
fn with_times<T>(ctx: &Context, job: &Job, f: impl FnOnce(&mut ReturnTimes) -> T) -> T {
    let mut all = ctx.return_times.borrow_mut();
    if all.len() >= STATES_MAX {
        all.clear();
    }
    let key = (job.service.clone(), job.residency.clone());
    f(all.entry(key).or_default())
}

/// Records that the first attempt of a request was sent.
pub(super) fn record_begun(ctx: &Context, job: &Job) {
    if needs_engine(ctx, job) {
        with_times(ctx, job, |t| t.record_begun(job.returning, ctx.now()));
    }
}

/// Returns the time after which the first endpoint that may serve the request has loaded newer weights by the load
/// schedule.
fn next_load_end(ctx: &Context, job: &Job) -> Option<Millis> {
    let (model, now) = (job.model.as_deref()?, ctx.now());
    let desired = ctx.desired.borrow();
    let named = desired.get(model)?;
    let schedule = ctx.load_schedule(&job.service, named);
    let bound = ctx.bounds.get().version;
    let table = ctx.endpoints.borrow();
    let evacuation = ctx.evacuation.borrow();
    let ends = table.of_service(&job.service).filter_map(|e| {
        let is_eligible = !e.record.draining
            && job.residency.allows(&e.record.zone)
            && !evacuation.contains(&e.record.zone);
        let loaded = e.weights(model).filter(|_| is_eligible)?;
        let start = schedule.load_start(e, loaded, named, bound, Margins::default())?;
        Some(start + LOAD_TIME)
    });
    let next = ends.filter(|end| *end > now).min()?;
    Some(next - now)
}

/// Returns what the return time of a rejected request depends on; `None` if the rejection keeps its `Retry-After`: it is not
/// for want of a slot, or of an endpoint that can run the request.
fn rejected_request(
    ctx: &Context,
    job: &Job,
    reject: Reject,
    now: Millis,
) -> Option<RejectedRequest> {
    // A caller that resumes a stream returns as soon as it can: the stream has begun, and its gap grows.
    if job.last_event.is_some() || !needs_engine(ctx, job) {
        return None;
    }
    let (available, outage) = match reject {
        Reject::Overloaded(wait) => (Some(wait).filter(|w| *w > UNKNOWN_MAX), false),
        Reject::Refused(_) => (None, false),
        Reject::Unavailable(_) => (next_load_end(ctx, job), true),
        _ => return None,
    };
    let objective = if job.returning {
        Millis::ZERO
    } else {
        Millis(job.route.objective.0 / OBJECTIVE_DIVISOR)
    };
    Some(RejectedRequest {
        left: job.caller_deadline.map(|deadline| deadline - now),
        objective,
        available,
        outage,
    })
}

/// Returns a rejection with another `Retry-After`.
fn with_wait(reject: Reject, wait: Millis) -> Reject {
    match reject {
        Reject::Overloaded(_) => Reject::Overloaded(wait),
        Reject::Refused(_) => Reject::Refused(wait),
        _ => Reject::Unavailable(wait),
    }
}

/// Replaces the `Retry-After` of a rejection for want of a slot, or of an endpoint that can run the request.
pub(super) fn schedule_return(ctx: &Context, job: &Job, reject: Reject) -> Reject {
    let now = ctx.now();
    let Some(request) = rejected_request(ctx, job, reject, now) else {
        return reject;
    };
    let time = with_times(ctx, job, |t| t.schedule(request, now));
    report(ctx, job, time);
    with_wait(reject, time.wait())
}

/// Returns the rejection that [`schedule_return`] would return, without telling a caller to return.
pub(super) fn explain_return(ctx: &Context, job: &Job, reject: Reject) -> Reject {
    let now = ctx.now();
    let Some(request) = rejected_request(ctx, job, reject, now) else {
        return reject;
    };
    let key = (job.service.clone(), job.residency.clone());
    let known = ctx.return_times.borrow().get(&key).cloned();
    let time = known.unwrap_or_default().schedule(request, now);
    with_wait(reject, time.wait())
}

/// Counts the times that callers are told, and logs those who can't be served any more.
fn report(ctx: &Context, job: &Job, time: ReturnTime) {
    let outcome = match time {
        ReturnTime::After(_) => "told",
        ReturnTime::TooLate(_) => "too-late",
    };
    let label = OutcomeLabel { outcome };
    ctx.metrics.returns.get_or_create(&label).inc();
    if let ReturnTime::TooLate(wait) = time {
        emit!(
            log_event::TOO_LATE,
            "id={} service={} late={} wait={wait}",
            job.id(),
            job.service,
            job.returning
        );
    }
}
