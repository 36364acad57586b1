//! Chooses the endpoint of an attempt from what the entry knows.

use std::net::SocketAddr;

use super::{
    accept::Job,
    balance::{Ask, Loads, Refusal, Wanted},
    context::Context,
    fleet::EndpointId,
    forward::Attempts,
    record::WeightVersion,
};
use crate::base::Millis;

/// Idle connections to one endpoint at most.
const IDLE_MAX: usize = 24;

/// Returns how many idle connections one of some entries may keep to an endpoint that accepts a number from all.
///
/// Half of them stay free for requests in progress.
fn idle_max(connections: u32, entries: usize) -> usize {
    (connections as usize / 2 / entries.max(1)).clamp(1, IDLE_MAX)
}

/// Endpoint of an attempt.
pub(super) struct Choice {
    pub(super) id: EndpointId,
    pub(super) addr: SocketAddr,
    /// When the request has to have begun, because a newer version of the weights binds then.
    pub(super) begin_by: Option<Millis>,
    /// Version of the weights that the endpoint has to hold, if a named one binds. Endpoints take this as the only
    /// version, so it is the one that they are known to hold, not the oldest one that will do.
    pub(super) expected: Option<WeightVersion>,
    /// Idle connections to the endpoint that this entry may keep.
    pub(super) idle_max: usize,
}

/// Chooses the endpoint of an attempt.
///
/// # Errors
///
/// Returns why the request is sent nowhere.
pub(super) fn choose(
    ctx: &Context,
    job: &Job,
    attempts: &Attempts,
    now: Millis,
) -> Result<Choice, Refusal> {
    let (engine, connections) = {
        let catalog = ctx.catalog.borrow();
        let spec = catalog.as_ref().and_then(|c| c.services.get(&job.service));
        (
            spec.and_then(|s| s.engine),
            spec.map_or(0, |s| s.connections),
        )
    };
    let all = ctx.named.borrow();
    let model = job.model.as_deref().filter(|_| engine.is_some());
    let named = model.and_then(|m| all.get(m));
    let turns = named.map(|n| ctx.turns(&job.service, n));
    let weights = model.map(|model| {
        let (oldest, waiting) = named.map(|n| ctx.oldest_versions(n)).unwrap_or_default();
        let bound = ctx.bounds.get().version;
        let loads = turns.as_deref().zip(named).map(|(turns, named)| Loads {
            turns,
            named,
            bound,
        });
        Wanted {
            model,
            loads,
            oldest,
            waiting,
        }
    });
    let homes = ctx.homes.borrow();
    let ask = Ask {
        zone: &ctx.settings.zone,
        weights,
        exact: attempts.version,
        tried: &attempts.tried,
        homes: &homes,
        returning: job.late,
        read_rate: engine.map(|e| e.prompt_rate),
        duration: engine.map_or(Millis::ZERO, |e| {
            e.duration(job.prompt, job.output, job.hint)
        }),
    };
    let fleet = ctx.fleet.borrow();
    let mut balance = ctx.balance.borrow_mut();
    let e = balance.pick(fleet.of(&job.service), &ask, now)?;
    let version = model.and_then(|m| balance.version(e, m));
    let begin_by = version.and_then(|v| ctx.begin_by(named?, v));
    let binds = weights.is_some_and(|w| w.oldest > WeightVersion::default());
    let expected = version.filter(|_| binds);
    Ok(Choice {
        id: e.id.clone(),
        addr: e.record.addr,
        begin_by,
        expected,
        idle_max: idle_max(connections, ctx.members.borrow().count()),
    })
}
