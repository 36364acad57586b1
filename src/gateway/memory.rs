//! Keeps requests within the memory of endpoints, where the catalog names one.

use super::{
    context::Context, endpoint_query::MemoryQuery, endpoint_table::EndpointId, job::Job, log_event,
    peer_tokens::PeerTokens, reply::Reject, EndpointHash,
};
use crate::{
    decide::memory::{MemoryDemand, Tokens},
    emit,
};

/// Returns the tokens that a request may need at its endpoint.
pub(super) fn tokens(job: &Job) -> Tokens {
    Tokens::of_request(job.prompt_tokens, job.output_max)
}

/// Returns what a request needs of an endpoint's memory; `None` if that is not limited.
pub(super) fn demand(ctx: &Context, job: &Job) -> Option<MemoryDemand> {
    let catalog = ctx.catalog.borrow();
    let spec = catalog.as_ref().and_then(|c| c.services.get(&job.service));
    MemoryDemand::new(spec.and_then(|s| s.memory), tokens(job))
}

/// Returns the number of entries that share the memory of endpoints.
pub(super) fn entries(ctx: &Context) -> u32 {
    u32::try_from(ctx.members.borrow().count()).unwrap_or(u32::MAX)
}

/// Rejects a request that is larger than the memory of each endpoint of its service.
///
/// # Errors
///
/// Returns the rejection of the request, which was not run.
pub(super) fn check(ctx: &Context, job: &Job) -> Result<(), Reject> {
    match demand(ctx, job) {
        Some(demand) if demand.is_too_large() => Err(Reject::TooLong),
        _ => Ok(()),
    }
}

/// Returns why a request that counts already at an endpoint must not be sent there after all: others told meanwhile that
/// they have more in flight there.
pub(super) fn withhold_reason(ctx: &Context, job: &Job, id: &EndpointId) -> Option<&'static str> {
    let demand = demand(ctx, job)?;
    if !ctx.balancer.borrow().exceeds_memory(id, demand, ctx.now()) {
        return None;
    }
    ctx.metrics.memory_withheld.inc();
    Some(NO_MEMORY)
}

/// Reason for which a request is not sent to an endpoint whose memory is used up; after it the endpoint may be chosen
/// again.
pub(super) const NO_MEMORY: &str = "the endpoint has too little memory for it";

/// Logs and counts a request that was rejected while endpoints had too little memory for it.
pub(super) fn record_rejected(ctx: &Context, job: &Job) {
    let Some(demand) = demand(ctx, job) else {
        return;
    };
    let now = ctx.now();
    let lacking = {
        let homes = ctx.homes.borrow();
        let memory = MemoryQuery {
            demand,
            begun: false,
            entries: entries(ctx),
            homes: &homes,
        };
        let (balancer, table) = (ctx.balancer.borrow(), ctx.endpoints.borrow());
        let endpoints = table.of_service(&job.service);
        let lacking = endpoints.filter(|e| balancer.lacks_memory(e, memory, now));
        lacking.count()
    };
    if lacking == 0 {
        return;
    }
    ctx.metrics.memory_rejected.inc();
    emit!(
        log_event::MEMORY,
        "id={} service={} tokens={} endpoints={lacking}",
        job.id(),
        job.service,
        tokens(job)
    );
}

/// Returns the tokens in flight for other entries; `None` if the memory of no endpoint is limited.
pub(super) fn report(ctx: &Context, loads: &[(EndpointHash, u16)]) -> Option<PeerTokens> {
    let limited = ctx
        .catalog
        .borrow()
        .as_ref()
        .is_some_and(|c| c.limits_memory());
    limited.then(|| ctx.balancer.borrow().tokens_in_flight(loads))
}
