//! Weighs requests for engines by whether they can still meet their latency objective, where requests differ.

use super::{context::Context, job::Job, log_event};
use crate::{
    base::Millis,
    decide::worth::{meets_objective, WorthRequest},
    emit,
};

/// Urgency of requests that can't meet their latency objective, while slots are scarce; the lowest.
pub(super) const LATE_URGENCY: u8 = 9;

/// Duration and reading time of a request in its slot; `None` if requests of its service are not weighed.
fn times(ctx: &Context, job: &Job) -> Option<(Millis, Millis)> {
    job.model.as_ref()?;
    let catalog = ctx.catalog.borrow();
    let catalog = catalog.as_ref()?;
    let mut worth = ctx.worth.borrow_mut();
    if !worth.has_classes(catalog, &job.service) {
        return None;
    }
    let engine = catalog.services.get(&job.service)?.engine?;
    let duration = engine.duration(job.prompt_tokens, job.output_max, job.output_hint);
    Some((duration, engine.read_time(job.prompt_tokens)))
}

/// Returns whether a returning caller's request misses its latency objective: the engine is expected to begin it after
/// `wait`.
fn is_late(ctx: &Context, job: &Job, wait: Millis) -> bool {
    job.returning && !meets_objective(ctx.now() - job.first_at, wait, job.route.objective)
}

/// Returns the slots of an engine that a request leaves free to others, `reserve` being those that it leaves to more urgent
/// ones.
pub(super) fn reserve(ctx: &Context, job: &Job, slots: u32, reserve: u32) -> u32 {
    let now = ctx.now();
    let Some((duration, read_time)) = times(ctx, job) else {
        return reserve;
    };
    let all = ctx.worth.borrow();
    let Some(load) = all.get(&job.service).filter(|l| l.is_scarce(now)) else {
        return reserve;
    };
    if load.is_below_floor(&job.groups, now) {
        return 0;
    }
    let request = WorthRequest {
        groups: &job.groups,
        late: is_late(ctx, job, read_time + load.expected_wait()),
        duration,
    };
    reserve.max(load.reserve(request, slots, now))
}

/// Records that the first attempt of a request was sent, or that it was rejected for want of a slot.
pub(super) fn record(ctx: &Context, job: &Job, begun: bool) {
    let Some((duration, read_time)) = times(ctx, job) else {
        return;
    };
    let mut all = ctx.worth.borrow_mut();
    let load = all.loads.entry(job.service.clone()).or_default();
    let request = WorthRequest {
        groups: &job.groups,
        late: is_late(ctx, job, read_time + load.expected_wait()),
        duration,
    };
    load.record(request, begun, ctx.now());
}

/// Records how long the first event of a stream took. Returning callers' requests may have waited behind others, and
/// long prompts may have too.
pub(super) fn record_first_event(ctx: &Context, job: &Job) {
    if job.returning || job.last_event.is_some() {
        return;
    }
    let Some((_, read_time)) = times(ctx, job).filter(|t| t.1 < job.route.objective) else {
        return;
    };
    let mut all = ctx.worth.borrow_mut();
    let load = all.loads.entry(job.service.clone()).or_default();
    load.record_wait(ctx.now() - job.start - read_time);
}

/// Returns the urgency of a request at an engine, `usual` unless it can't meet its objective while slots are scarce. One
/// whose prompt takes longer to read than the objective allows can't either.
pub(super) fn urgency(ctx: &Context, job: &Job, usual: u8) -> u8 {
    let now = ctx.now();
    let Some((_, read_time)) = times(ctx, job).filter(|_| job.last_event.is_none()) else {
        return usual;
    };
    let wait = {
        let all = ctx.worth.borrow();
        let load = all.get(&job.service).filter(|l| l.is_scarce(now));
        let Some(load) = load else {
            return usual;
        };
        read_time + load.expected_wait()
    };
    let is_long = !meets_objective(Millis::ZERO, read_time, job.route.objective);
    if !is_long && !is_late(ctx, job, wait) {
        return usual;
    }
    ctx.metrics.late.inc();
    emit!(
        log_event::LATE,
        "id={} service={} route={} waited={}",
        job.id(),
        job.service,
        job.route.name,
        now - job.first_at
    );
    LATE_URGENCY
}
