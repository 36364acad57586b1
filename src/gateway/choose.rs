//! Chooses the endpoint of an attempt from the catalog, the endpoint table and the load of endpoints.

use std::net::SocketAddr;

use super::{
    attempt::Attempts,
    context::Context,
    endpoint_query::{EndpointQuery, MemoryQuery, PendingLoads, WeightRequirement},
    endpoint_table::{EndpointId, EndpointTable},
    job::Job,
    load_balancer::{ExplainedChoice, LoadBalancer, Refusal},
    memory, priority,
    record::{Incarnation, WeightVersion},
    spill::SpillDraw,
    worth,
};
use crate::{
    base::Millis,
    decide::{numbering::Sender, supersede::Margins},
};

/// Largest number of idle connections that this entry keeps to one endpoint.
const IDLE_CONNECTIONS_MAX: usize = 24;

/// Returns how many idle connections one of `entries` entries may keep to an endpoint that accepts `connections` in
/// all.
///
/// Half of the endpoint's connections stay free for requests in progress.
fn idle_max(connections: u32, entries: usize) -> usize {
    (connections as usize / 2 / entries.max(1)).clamp(1, IDLE_CONNECTIONS_MAX)
}

/// The endpoint chosen for an attempt, and the conditions for sending the request there.
pub(super) struct Choice {
    pub(super) id: EndpointId,
    pub(super) run: Incarnation,
    pub(super) addr: SocketAddr,
    /// Version of the weights that the endpoint is known to hold; `None` for services without engines.
    pub(super) version: Option<WeightVersion>,
    /// Version of the weights that the request asks the endpoint for; set if a desired version is enforced. Endpoints
    /// run the request on exactly this version, so it is the one that the endpoint is known to hold, not the oldest one
    /// that is allowed.
    pub(super) expected: Option<WeightVersion>,
    /// Idle connections to the endpoint that this entry may keep.
    pub(super) idle_max: usize,
}

/// Returns whether an endpoint may get a further attempt now. A request that asks this while it waits does not count as
/// one that was turned away.
pub(super) fn has_room(ctx: &Context, job: &Job, attempts: &Attempts) -> bool {
    consult(ctx, job, attempts, |balancer, query, _| {
        let table = ctx.endpoints.borrow();
        let others = other_senders(balancer, &table, job, attempts);
        let endpoints = table.of_service(&job.service);
        let endpoints = endpoints.filter(|e| !others.contains(&e.id));
        balancer.has_room(endpoints, query, ctx.now())
    })
}

/// Returns the endpoints that number events otherwise than the one which sent those that the caller has. Learns the numbering
/// of these events if it follows from the caller's last one.
fn other_senders(
    balancer: &LoadBalancer,
    table: &EndpointTable,
    job: &Job,
    attempts: &Attempts,
) -> Vec<EndpointId> {
    let endpoints = || table.of_service(&job.service);
    let sender = match (attempts.numbering.get(), job.last_event) {
        (Some(stream), _) => Sender::Like(stream),
        (None, Some(last)) => Sender::find(&balancer.numberings(endpoints()), last),
        (None, None) => return Vec::new(),
    };
    if let Sender::Like(numbering) = sender {
        attempts.numbering.set(Some(numbering));
    }
    balancer.other_senders(endpoints(), sender)
}

/// Chooses the endpoint of an attempt.
///
/// # Errors
///
/// Returns why no endpoint may get the request.
pub(super) fn choose(
    ctx: &Context,
    job: &Job,
    attempts: &Attempts,
    now: Millis,
) -> Result<Choice, Refusal> {
    consult(ctx, job, attempts, |balancer, query, connections| {
        let table = ctx.endpoints.borrow();
        let others = other_senders(balancer, &table, job, attempts);
        let endpoints = table.of_service(&job.service);
        let endpoints = endpoints.filter(|e| !others.contains(&e.id));
        let e = balancer.pick(endpoints, query, now)?;
        let model = query.weights.map(|w| w.model);
        let version = model.and_then(|m| balancer.version(e, m));
        let oldest = query.weights.map(|w| w.oldest).unwrap_or_default();
        let expected = version.filter(|_| oldest > WeightVersion::default());
        Ok(Choice {
            id: e.id.clone(),
            run: e.incarnation(),
            addr: e.record.addr,
            version,
            expected,
            idle_max: idle_max(connections, ctx.members.borrow().count()),
        })
    })
}

/// Calls `describe` with the explained choice for the first attempt of a request and with its query; see [`choose`].
pub(super) fn explain<T>(
    ctx: &Context,
    job: &Job,
    now: Millis,
    describe: impl FnOnce(&ExplainedChoice<'_>, &EndpointQuery<'_>) -> T,
) -> T {
    consult(ctx, job, &Attempts::new(), |balancer, query, _| {
        let table = ctx.endpoints.borrow();
        let endpoints = table.of_service(&job.service);
        describe(&balancer.explain(endpoints, query, now), query)
    })
}

/// Calls `ask` with the load balancer, the request's query, and the connections that an endpoint of its service accepts.
fn consult<T>(
    ctx: &Context,
    job: &Job,
    attempts: &Attempts,
    ask: impl FnOnce(&mut LoadBalancer, &EndpointQuery<'_>, u32) -> T,
) -> T {
    let (engine, connections, limits_cold) = {
        let catalog = ctx.catalog.borrow();
        let spec = catalog.as_ref().and_then(|c| c.services.get(&job.service));
        (
            spec.and_then(|s| s.engine),
            spec.map_or(0, |s| s.connections),
            spec.is_some_and(|s| s.cold.is_some()),
        )
    };
    let all = ctx.desired.borrow();
    let model = job.model.as_deref().filter(|_| engine.is_some());
    let named = model.and_then(|m| all.get(m));
    let schedule = named.map(|n| ctx.load_schedule(&job.service, n));
    let weights = model.map(|model| {
        let read_time = engine.map_or(Millis::ZERO, |e| e.read_time(job.prompt_tokens));
        let oldest = named.map(|n| ctx.oldest_versions(n, read_time));
        let (oldest, oldest_queued) = oldest.unwrap_or_default();
        let bound = ctx.bounds.get().version;
        let pending = schedule
            .as_deref()
            .zip(named)
            .map(|(schedule, desired)| PendingLoads {
                schedule,
                desired,
                bound,
                margins: Margins::default(),
            });
        WeightRequirement {
            model,
            pending,
            oldest,
            oldest_queued,
        }
    });
    let owned = ctx.owned.borrow();
    let homes = ctx.homes.borrow();
    let evacuation = ctx.evacuation.borrow();
    let cold = ctx.cold.borrow();
    let spills = ctx.spills.borrow();
    let tried = attempts.tried();
    let query = EndpointQuery {
        zone: &ctx.settings.zone,
        residency: Some(&job.residency),
        weights,
        exact: attempts.version.get(),
        evacuation: Some(&evacuation),
        tried: &tried,
        owned: &owned,
        // Of a request that was sent, something may have begun that only another endpoint can finish.
        returning: job.returning && attempts.sent.get() == 0,
        reserve: if attempts.sent.get() == 0 {
            engine.map_or(0, |e| {
                let reserve = priority::reserve(ctx, job, e.slots);
                worth::reserve(ctx, job, e.slots, reserve)
            })
        } else {
            0
        },
        read_rate: engine.map(|e| e.prompt_rate),
        duration: engine.map_or(Millis::ZERO, |e| {
            e.duration(job.prompt_tokens, job.output_max, job.output_hint)
        }),
        cold: limits_cold.then_some(&cold),
        memory: memory::demand(ctx, job).map(|demand| MemoryQuery {
            demand,
            begun: attempts.sent.get() > 0 || job.last_event.is_some(),
            entries: memory::entries(ctx),
            homes: &homes,
        }),
        spill: spills.services.get(&job.service).map(|spill| SpillDraw {
            spill,
            draw: fastrand::f64(),
        }),
    };
    ask(&mut ctx.balancer.borrow_mut(), &query, connections)
}
