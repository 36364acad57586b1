//! Counts requests for engines by priority, and tells how many slots a request leaves to more urgent ones.

use super::{context::Context, job::Job, log_event};
use crate::emit;

/// Slots of an engine that a request leaves free; `slots` are those of one engine.
pub(super) fn reserve(ctx: &Context, job: &Job, slots: u32) -> u32 {
    let loads = ctx.priorities.borrow();
    let load = loads.get(&job.service);
    load.map_or(0, |l| l.reserve(job.priority, slots, ctx.now()))
}

/// Records that the first attempt of a request was sent, or that the request was rejected for want of a slot.
pub(super) fn record(ctx: &Context, job: &Job, begun: bool) {
    if job.model.is_none() {
        return;
    }
    if !begun {
        report_reserve(ctx, job);
    }
    let mut loads = ctx.priorities.borrow_mut();
    let load = loads.entry(job.service.clone()).or_default();
    load.record(job.priority, begun, ctx.now());
}

/// Logs and counts a rejected request for which slots were kept free of it.
fn report_reserve(ctx: &Context, job: &Job) {
    let engine_slots = {
        let catalog = ctx.catalog.borrow();
        let spec = catalog.as_ref().and_then(|c| c.services.get(&job.service));
        spec.and_then(|s| s.engine).map_or(0, |e| e.slots)
    };
    let reserve = reserve(ctx, job, engine_slots);
    if reserve == 0 {
        return;
    }
    ctx.metrics.reserved.inc();
    emit!(
        log_event::RESERVED,
        "id={} service={} priority={} slots={reserve}",
        job.id(),
        job.service,
        job.priority
    );
}
