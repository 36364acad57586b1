//! Permits for requests to endpoints that limit their request rate: asks the issuer of an endpoint's permits, and issues
//! those of the endpoints for which this entry is the issuer.

use std::net::SocketAddr;

use serde::Serialize;
use tokio::net::UdpSocket;

use super::{
    cold::{limit_in_force, LimitInForce},
    cold_times::ColdNews,
    context::Context,
    datagram::send_to_all,
    endpoint_table::{EndpointHash, EndpointId},
    issuer::{Grant, PermitId, PermitReply, PermitRequest, PermitTerms},
    job::Job,
    limits::LimitReport,
    log_event,
    message::Message,
};
use crate::{
    base::{HashSet, Millis, RequestRate, Service},
    decide::cold::PERMIT_LIFETIME,
    emit,
};

/// Time after which an issuer that has not answered is not waited for.
pub(super) const REPLY_TIMEOUT: Millis = Millis(80);

/// Time for which an endpoint gets no requests of this entry after its issuer did not answer or was not the issuer: time
/// for a heartbeat to change the view of one of them.
const ISSUER_RETRY: Millis = Millis(250);

/// Time for which the other endpoints with limits get no requests of this entry after one request was denied several
/// permits.
const DENIED_RETRY: Millis = Millis(100);

/// Like [`DENIED_RETRY`], for endpoints that have a limit only because they are cold. After a common start all are, and a
/// longer time would leave their permits unused.
const COLD_DENIED_RETRY: Millis = Millis(10);

/// Age of the withdrawal that stands for a limit which the endpoint did not name; older than any limit in force.
const UNNAMED_AGE: Millis = Millis(1 << 40);

/// Time from the request for a permit in which it must be used.
const LIFETIME: Millis = Millis(1000);

/// Why a request may be sent to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Permit {
    /// The endpoint had no limit.
    Unlimited,
    /// The issuer granted a permit.
    Granted {
        /// Time until which it must be used.
        until: Millis,
    },
}

impl Permit {
    /// Returns whether a request may be sent now to an endpoint that has this limit.
    pub(super) fn allows(self, limit: LimitInForce, now: Millis) -> bool {
        match self {
            Self::Unlimited => !limit.is_limited(),
            Self::Granted { until } => now < until,
        }
    }
}

/// Obtains a permit for one request to an endpoint; `None` if the endpoint takes no request now. The endpoint is then
/// closed for this entry until it may ask again.
pub(super) async fn obtain(ctx: &Context, job: &Job, id: &EndpointId) -> Option<Permit> {
    let limit = limit_in_force(ctx, id);
    let Some(rate) = limit.rate() else {
        return Some(Permit::Unlimited);
    };
    let start = ctx.now();
    let endpoint = id.hash();
    let issuer = ctx.members.borrow().issuer(endpoint, start);
    let me = ctx.settings.listen.peers;
    let grant = if issuer == me {
        Some(decide(ctx, endpoint, limit.cold, me))
    } else {
        let report = limit_report(endpoint, limit, start);
        let news = ColdNews {
            reports: Vec::new(),
            rate: limit.cold,
        };
        let request = |id| {
            let request = PermitRequest { id, limit: report };
            (Message::PermitRequest(request), news)
        };
        ask(ctx, issuer, request).await
    };
    ctx.metrics.count_permit(grant.map_or("none", Grant::name));
    let (wait, interval) = match grant {
        Some(Grant::Granted) => {
            let lifetime = limit.cold.map_or(LIFETIME, |_| PERMIT_LIFETIME);
            let until = start + lifetime;
            return Some(Permit::Granted { until });
        }
        Some(Grant::Denied { wait, interval }) => (wait, interval),
        Some(Grant::NotIssuer) | None => (crate::base::jitter(ISSUER_RETRY), Millis::ZERO),
    };
    let now = ctx.now();
    ctx.balancer.borrow_mut().close(id, now + wait, interval);
    emit!(
        log_event::DENIED,
        "id={} endpoint={id} limit={} age={} issuer={issuer} grant={} wait={wait}",
        job.id(),
        rate,
        limit.age(now),
        grant.map_or("none", Grant::name)
    );
    None
}

/// Returns the report of a limit for the issuer. One that the endpoint did not name is reported as withdrawn long ago,
/// so that it changes nothing of what the issuer knows.
fn limit_report(endpoint: EndpointHash, limit: LimitInForce, now: Millis) -> LimitReport {
    LimitReport {
        endpoint,
        rate: limit.named.map(|l| l.rate),
        age: limit.named.map_or(UNNAMED_AGE, |l| now - l.at),
    }
}

/// Closes all endpoints of a service that have a limit, because one request was denied permits several times.
pub(super) fn close_limited(ctx: &Context, service: &Service) {
    let now = ctx.now();
    let table = ctx.endpoints.borrow();
    for e in table.of_service(service) {
        let limit = limit_in_force(ctx, &e.id);
        let retry = match limit.named {
            Some(_) => DENIED_RETRY,
            None if limit.is_limited() => COLD_DENIED_RETRY,
            None => continue,
        };
        let mut balancer = ctx.balancer.borrow_mut();
        balancer.close(&e.id, now + retry, Millis::ZERO);
    }
}

/// Logs and counts a request that is sent to an endpoint with a limit of its request rate.
pub(super) fn count_sent(ctx: &Context, job: &Job, id: &EndpointId) {
    let limit = limit_in_force(ctx, id);
    let Some(rate) = limit.rate() else {
        return;
    };
    ctx.metrics.limited.inc();
    if limit.cold.is_some() {
        ctx.metrics.cold.inc();
    }
    emit!(
        log_event::LIMITED,
        "id={} endpoint={id} limit={} age={}",
        job.id(),
        rate,
        limit.age(ctx.now())
    );
}

/// Sends a request to another entry and waits for its decision; `None` if it does not reply in time.
pub(super) async fn ask<T: Serialize>(
    ctx: &Context,
    to: SocketAddr,
    request: impl FnOnce(PermitId) -> T,
) -> Option<Grant> {
    let socket = ctx.socket.get()?.clone();
    let (id, reply) = ctx.permits.borrow_mut().register();
    send_to_all(&socket, &request(id), &[to]).await;
    let grant = tokio::time::timeout(REPLY_TIMEOUT.duration(), reply).await;
    ctx.permits.borrow_mut().withdraw(id);
    grant.ok()?.ok()
}

/// Answers another entry's request for a permit; `cold` is the rate that the endpoint tolerates if the other entry knows
/// it as cold.
pub(super) async fn answer(
    ctx: &Context,
    socket: &UdpSocket,
    request: PermitRequest,
    cold: Option<RequestRate>,
    from: SocketAddr,
) {
    if request.limit.age < UNNAMED_AGE {
        merge_limits(ctx, std::slice::from_ref(&request.limit));
    }
    let grant = decide(ctx, request.limit.endpoint, cold, from);
    let reply = Message::PermitReply(PermitReply {
        id: request.id,
        grant,
    });
    send_to_all(socket, &reply, &[from]).await;
}

/// Decides on a request for a permit, as the issuer of the endpoint's permits if this entry is that.
fn decide(
    ctx: &Context,
    endpoint: EndpointHash,
    cold: Option<RequestRate>,
    from: SocketAddr,
) -> Grant {
    let terms = PermitTerms {
        limit: ctx.limits.borrow().by_hash(endpoint),
        cold,
        bound: ctx.bounds.get().cold,
    };
    let members = ctx.members.borrow();
    let mut permits = ctx.permits.borrow_mut();
    permits
        .issuers
        .decide(endpoint, terms, &members, from, ctx.now())
}

/// Merges limits of endpoints that another entry reported.
pub(super) fn merge_limits(ctx: &Context, reports: &[LimitReport]) {
    let now = ctx.now();
    for report in reports {
        if !ctx.limits.borrow_mut().merge(report, now) {
            continue;
        }
        let limit = report.rate.map_or("none".to_owned(), |r| r.to_string());
        let table = ctx.endpoints.borrow();
        let known = table.iter().find(|e| e.id.hash() == report.endpoint);
        let endpoint = known.map_or("?", |e| &e.id.0);
        emit!(
            log_event::LIMIT,
            "endpoint={endpoint} limit={limit} age={} source=entry",
            report.age
        );
    }
}

/// Drops limits, issuers and requests for permits that are no longer needed.
pub(super) fn expire_limits(ctx: &Context) {
    ctx.permits.borrow_mut().drop_abandoned();
    let now = ctx.now();
    ctx.cold.borrow_mut().expire(now);
    let mut limits = ctx.limits.borrow_mut();
    if !limits.is_empty() {
        let table = ctx.endpoints.borrow();
        let present: HashSet<_> = table.iter().map(|e| e.id.hash()).collect();
        limits.expire(|endpoint| present.contains(&endpoint), now);
    }
    let mut permits = ctx.permits.borrow_mut();
    let limited = |endpoint| limits.by_hash(endpoint).is_some();
    permits.issuers.retain(limited, &ctx.members.borrow(), now);
}
