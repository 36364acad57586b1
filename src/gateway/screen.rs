//! Screens requests by the parts of their prompts: reports parts that were in flight when endpoints ended, rejects
//! requests with quarantined parts, and obtains permission for probes of them.

use std::{net::SocketAddr, rc::Rc};

use tokio::net::UdpSocket;

use super::{
    attempt::{Attempts, Pass, Target},
    choose::choose,
    context::Context,
    datagram::send_to_all,
    ending::{Ending, Progress},
    issuer::{Grant, PermitReply},
    job::Job,
    load_balancer::Refusal,
    log_event,
    message::{Message, ProbeRequest},
    permits,
};
use crate::{
    base::{rendezvous, wall_ms, Millis},
    decide::quarantine::{
        Change, ChangeKind, EndId, Generation, PartKey, PartReport, ProbeGrant, Strength, Verdict,
    },
    emit,
};

/// Shortest interval of datagrams about changes.
const NEWS_INTERVAL: Millis = Millis(40);

/// Largest number of parts in a datagram; keeps it below the smallest usual packet size.
const REPORTS_MAX: usize = 6;

/// Time after which permission for a probe may be asked for again, if the entry that was asked did not reply or does
/// not know of the quarantine yet.
const PROBE_RETRY: Millis = Millis(250);

/// Shortest `Retry-After` of a request with a quarantined part.
const RETRY_AFTER_MIN: Millis = Millis(1000);

/// Returns the newest ends that are known of the parts of a request's prompt.
pub(super) fn generations(ctx: &Context, job: &Job) -> Vec<Generation> {
    ctx.quarantine.borrow().generations(&job.parts)
}

/// Returns whether a request may be sent without being a probe.
pub(super) fn is_clear(ctx: &Context, job: &Job) -> bool {
    let verdict = ctx.quarantine.borrow_mut().judge(&job.parts, ctx.now());
    verdict == Verdict::Allowed
}

/// Waits until a request in flight should be cancelled, because a part of its prompt was quarantined; never returns for a
/// probe.
pub(super) async fn condemned(ctx: &Context, job: &Job, probe: bool) {
    if probe || job.parts.is_empty() {
        return std::future::pending().await;
    }
    loop {
        let changed = ctx.quarantined.notified();
        if ctx.quarantine.borrow().condemns(&job.parts) {
            return;
        }
        changed.await;
    }
}

/// Decides whether a request may be sent to an endpoint.
///
/// # Errors
///
/// Returns the refusal of a request with a quarantined part, unless it becomes a probe of it. A request that could be a
/// probe is refused without one if no endpoint would take it.
pub(super) async fn admit(ctx: &Context, job: &Job, attempts: &Attempts) -> Result<Pass, Refusal> {
    // A probe that was not sent is still to be sent.
    if attempts.pass.replace(Pass::Clear) == Pass::Probe {
        return Ok(Pass::Probe);
    }
    let verdict = ctx.quarantine.borrow_mut().judge(&job.parts, ctx.now());
    apply_changes(ctx, "settled");
    let (part, wait) = match verdict {
        Verdict::Allowed => return Ok(Pass::Clear),
        Verdict::Quarantined { part, wait } => (part, wait),
        Verdict::ProbeDue(part) => {
            choose(ctx, job, attempts, ctx.now())?;
            match obtain_probe(ctx, job, part).await {
                Ok(()) => return Ok(Pass::Probe),
                Err(wait) => (part, wait),
            }
        }
    };
    ctx.metrics.quarantined.inc();
    emit!(
        log_event::SCREENED,
        "id={} part={} service={} outcome=rejected wait={wait}",
        job.id(),
        part.part,
        job.service
    );
    Err(Refusal::Quarantined(wait.max(RETRY_AFTER_MIN)))
}

/// Obtains permission to send a request as a probe of a part.
///
/// # Errors
///
/// Returns the time until the next probe if permission was denied.
async fn obtain_probe(ctx: &Context, job: &Job, part: PartKey) -> Result<(), Millis> {
    let start = ctx.now();
    let coordinator = ctx.members.borrow().coordinator(part.rank(), start);
    let me = ctx.settings.listen.peers;
    let report = ctx.quarantine.borrow().report(part);
    let grant = match report {
        _ if coordinator == me => Some(decide(ctx, part)),
        None => None,
        Some(report) => {
            let ask = |id| Message::ProbeRequest(ProbeRequest { id, report });
            permits::ask(ctx, coordinator, ask).await
        }
    };
    let name = grant.map_or("none", Grant::name);
    ctx.metrics.count_probe(name);
    emit!(
        log_event::SCREENED,
        "id={} part={} service={} outcome=probe grant={name} coordinator={coordinator}",
        job.id(),
        part.part,
        job.service
    );
    let wait = match grant {
        Some(Grant::Granted) => {
            if coordinator != me {
                ctx.quarantine.borrow_mut().note_granted(part, ctx.now());
            }
            return Ok(());
        }
        Some(Grant::Denied { wait, .. }) => wait,
        Some(Grant::NotIssuer) | None => crate::base::jitter(PROBE_RETRY),
    };
    let until = ctx.now() + wait;
    ctx.quarantine.borrow_mut().postpone_probe(part, until);
    Err(wait)
}

/// Decides on a request for a probe, as the entry that grants the probes of the part if this entry is that.
fn decide(ctx: &Context, part: PartKey) -> Grant {
    let now = ctx.now();
    let coordinator = ctx.members.borrow().coordinator(part.rank(), now);
    if coordinator != ctx.settings.listen.peers {
        return Grant::NotIssuer;
    }
    let grant = ctx.quarantine.borrow_mut().grant_probe(part, now);
    wake_gossip(ctx);
    let denied = |wait| Grant::Denied {
        wait,
        interval: Millis::ZERO,
    };
    match grant {
        ProbeGrant::Granted => Grant::Granted,
        ProbeGrant::Denied { wait } => denied(wait),
        // One of the two entries lacks what the other knows; gossip tells it.
        ProbeGrant::NotQuarantined => denied(PROBE_RETRY),
    }
}

/// Answers another entry's request for a probe.
pub(super) async fn answer(
    ctx: &Context,
    socket: &UdpSocket,
    request: ProbeRequest,
    from: SocketAddr,
) {
    merge(ctx, std::slice::from_ref(&request.report));
    let reply = Message::PermitReply(PermitReply {
        id: request.id,
        grant: decide(ctx, request.report.part),
    });
    send_to_all(socket, &reply, &[from]).await;
}

/// Records that the connection of a request in flight ended.
pub(super) fn record_end(
    ctx: &Context,
    job: &Job,
    target: &Target,
    progress: Progress,
    ending: Ending,
) {
    let strength = match progress {
        Progress::Head => Strength::Strong,
        Progress::Sent | Progress::Event => Strength::Weak,
        Progress::Body => return,
    };
    if job.parts.is_empty() || ending == Ending::Silent {
        return;
    }
    let now = ctx.now();
    let id = end_id(ctx, target);
    let mut quarantine = ctx.quarantine.borrow_mut();
    if let Some(id) = id {
        quarantine.record_end(id, &job.parts, &target.known, strength, wall_ms(), now);
    }
    if target.probe {
        quarantine.record_failed_probe(&job.parts, now);
    }
    drop(quarantine);
    apply_changes(ctx, "here");
    wake_gossip(ctx);
}

/// Returns the id of the end of the run to which a request was sent; `None` if the endpoint was removed or the run was
/// draining, so that its end accuses nothing.
fn end_id(ctx: &Context, target: &Target) -> Option<EndId> {
    let leaving = ctx.endpoints.borrow().is_leaving(&target.id, target.run)?;
    if leaving {
        return None;
    }
    let run = target.run.0.to_le_bytes();
    Some(EndId(rendezvous(target.id.0.as_bytes(), &run) as u32))
}

/// Records that a request was answered. `known` are the generations from the time at which the answer began.
pub(super) fn record_served(ctx: &Context, job: &Job, known: &[Generation]) {
    if job.parts.is_empty() {
        return;
    }
    let now = ctx.now();
    let mut quarantine = ctx.quarantine.borrow_mut();
    quarantine.record_served(&job.parts, known, now);
    drop(quarantine);
    if !known.is_empty() {
        apply_changes(ctx, "here");
        wake_gossip(ctx);
    }
}

/// Merges what another entry reported.
pub(super) fn merge(ctx: &Context, reports: &[PartReport]) {
    let now = ctx.now();
    for report in reports {
        ctx.quarantine.borrow_mut().merge(report, now);
    }
    apply_changes(ctx, "entry");
    wake_gossip(ctx);
}

/// Logs the parts that were quarantined or released, and cancels requests in flight with the former. `source` says how
/// this entry learned of it.
fn apply_changes(ctx: &Context, source: &str) {
    let changes = ctx.quarantine.borrow_mut().take_changes();
    for Change {
        part,
        kind,
        ends,
        served,
    } in changes
    {
        let kind = match kind {
            ChangeKind::Quarantined => {
                ctx.quarantined.notify_waiters();
                "quarantined"
            }
            ChangeKind::Released => "released",
        };
        ctx.metrics.count_quarantine(kind);
        emit!(
            log_event::QUARANTINE,
            "part={} service={} change={kind} ends={ends} served={served} source={source}",
            part.part,
            service_name(ctx, part)
        );
    }
}

/// Returns the name of a part's service; `?` if the catalog does not list it.
fn service_name(ctx: &Context, part: PartKey) -> String {
    let catalog = ctx.catalog.borrow();
    let services = catalog.iter().flat_map(|c| c.services.keys());
    let mut named = services.filter(|s| PartKey::new(s, part.part) == part);
    named.next().map_or("?".to_owned(), ToString::to_string)
}

/// Makes this entry tell others at once what it has learned.
fn wake_gossip(ctx: &Context) {
    if ctx.quarantine.borrow().has_news(NEWS_INTERVAL, ctx.now()) {
        ctx.quarantine_news.notify_one();
    }
}

/// Tells other entries of changes as soon as they happen: until they know, they may send requests that end endpoints.
pub(super) async fn send_news(ctx: Rc<Context>, socket: Rc<UdpSocket>) {
    loop {
        ctx.quarantine_news.notified().await;
        let targets = ctx.members.borrow().random_targets(ctx.now());
        send_reports(&ctx, &socket, &targets).await;
        tokio::time::sleep(NEWS_INTERVAL.duration()).await;
    }
}

/// Sends what other entries may not know of suspected and quarantined parts.
pub(super) async fn send_reports(ctx: &Context, socket: &UdpSocket, targets: &[SocketAddr]) {
    let reports = ctx.quarantine.borrow_mut().reports(ctx.now());
    for part in reports.chunks(REPORTS_MAX) {
        send_to_all(socket, &Message::Parts(part.to_vec()), targets).await;
    }
}
