//! Permits for requests to endpoints that limit their request rate: asks the issuer of an endpoint's permits, and issues
//! those of the endpoints for which this entry is the issuer.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use tokio::{net::UdpSocket, sync::oneshot};

use super::{
    context::Context,
    endpoint_table::EndpointId,
    gossip::send_to_all,
    limits::{Limit, LimitReport},
    log_event,
    members::{EndpointHash, Membership, Message},
};
use crate::{
    base::{HashMap, Millis, Service},
    decide::permit::{PermitDecision, PermitIssuer},
    emit,
};

/// Time after which an issuer that has not answered is not waited for.
const REPLY_TIMEOUT: Millis = Millis(80);

/// Time for which an endpoint gets no requests of this entry after its issuer did not answer or was not the issuer: time
/// for a heartbeat to change the view of one of them.
const ISSUER_RETRY: Millis = Millis(250);

/// Time for which the other endpoints with limits get no requests of this entry after one request was denied several
/// permits.
const DENIED_RETRY: Millis = Millis(100);

/// Time from the request for a permit in which it must be used.
const LIFETIME: Millis = Millis(1000);

/// Number of a permit request. It is random, so that a late reply to an earlier process of the same host matches none.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PermitId(pub u64);

/// Request of an entry for a permit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Number of the request.
    pub id: PermitId,
    /// Limit of the endpoint as the entry knows it.
    pub limit: LimitReport,
}

/// Reply of an issuer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitReply {
    /// Number of the request.
    pub id: PermitId,
    /// Decision on it.
    pub grant: Grant,
}

/// Decision of an issuer on a request for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Grant {
    /// One request may be sent.
    Granted,
    /// No permit is left.
    Denied {
        /// Time after which the entry may ask again.
        wait: Millis,
        /// Mean time between two permits for one entry.
        interval: Millis,
    },
    /// The entry that was asked does not issue the endpoint's permits.
    NotIssuer,
}

impl From<PermitDecision> for Grant {
    fn from(decision: PermitDecision) -> Self {
        match decision {
            PermitDecision::Granted => Self::Granted,
            PermitDecision::Denied { wait, interval } => Self::Denied { wait, interval },
        }
    }
}

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
    pub(super) fn allows(self, limit: Option<Limit>, now: Millis) -> bool {
        match self {
            Self::Unlimited => limit.is_none(),
            Self::Granted { until } => now < until,
        }
    }
}

/// Issuers of one entry, by the hashes of the endpoints' ids.
#[derive(Debug, Default)]
pub struct Issuers(HashMap<EndpointHash, PermitIssuer>);

impl Issuers {
    /// Decides on a request of an entry for a permit under the `limit` that this entry knows.
    pub fn decide(
        &mut self,
        endpoint: EndpointHash,
        limit: Option<Limit>,
        members: &Membership,
        from: SocketAddr,
        now: Millis,
    ) -> Grant {
        if members.issuer(endpoint, now) != members.me().peer {
            return Grant::NotIssuer;
        }
        // The limit was withdrawn after what the other entry knows; the next gossip tells it.
        let Some(limit) = limit else {
            return Grant::Granted;
        };
        let issuer = self
            .0
            .entry(endpoint)
            .or_insert_with(|| PermitIssuer::new(now));
        issuer
            .request(from, limit.rate, members.fleet(now), now)
            .into()
    }

    /// Drops the issuers of endpoints that have no limit.
    pub fn retain(&mut self, limited: impl Fn(EndpointHash) -> bool) {
        self.0.retain(|endpoint, _| limited(*endpoint));
    }
}

/// Issuers of this entry, and its requests for permits that have no reply yet.
#[derive(Debug, Default)]
pub(super) struct Permits {
    pub(super) issuers: Issuers,
    pending: HashMap<PermitId, oneshot::Sender<Grant>>,
}

impl Permits {
    /// Registers a request for a permit; the receiver gets the reply.
    fn register(&mut self) -> (PermitId, oneshot::Receiver<Grant>) {
        let id = PermitId(fastrand::u64(..));
        let (sender, receiver) = oneshot::channel();
        self.pending.insert(id, sender);
        (id, receiver)
    }

    /// Passes a reply to the request that waits for it; ignored if none does.
    pub(super) fn resolve(&mut self, reply: &PermitReply) {
        if let Some(sender) = self.pending.remove(&reply.id) {
            let _ = sender.send(reply.grant);
        }
    }
}

/// Obtains a permit for one request to an endpoint; `None` if the endpoint takes no request now. The endpoint is then
/// closed for this entry until it may ask again.
pub(super) async fn obtain(ctx: &Context, id: &EndpointId) -> Option<Permit> {
    let Some(limit) = ctx.limits.borrow().get(id) else {
        return Some(Permit::Unlimited);
    };
    let start = ctx.now();
    let endpoint = id.hash();
    let issuer = ctx.members.borrow().issuer(endpoint, start);
    let me = ctx.settings.listen.peers;
    let grant = if issuer == me {
        Some(decide(ctx, endpoint, me))
    } else {
        request(ctx, issuer, endpoint, limit).await
    };
    ctx.metrics.count_permit(grant.map_or("none", Grant::name));
    let (wait, interval) = match grant {
        Some(Grant::Granted) => {
            let until = start + LIFETIME;
            return Some(Permit::Granted { until });
        }
        Some(Grant::Denied { wait, interval }) => (wait, interval),
        Some(Grant::NotIssuer) | None => (crate::base::jitter(ISSUER_RETRY), Millis::ZERO),
    };
    let now = ctx.now();
    ctx.balancer.borrow_mut().close(id, now + wait, interval);
    emit!(
        log_event::DENIED,
        "endpoint={id} limit={} age={} issuer={issuer} grant={} wait={wait}",
        limit.rate,
        now - limit.at,
        grant.map_or("none", Grant::name)
    );
    None
}

/// Closes all endpoints of a service that have a limit, because one request was denied permits several times.
pub(super) fn close_limited(ctx: &Context, service: &Service) {
    let until = ctx.now() + DENIED_RETRY;
    let limits = ctx.limits.borrow();
    let table = ctx.endpoints.borrow();
    let limited = table
        .of_service(service)
        .filter(|e| limits.get(&e.id).is_some());
    for e in limited {
        let mut balancer = ctx.balancer.borrow_mut();
        balancer.close(&e.id, until, Millis::ZERO);
    }
}

impl Grant {
    /// Returns the name for logs.
    fn name(self) -> &'static str {
        match self {
            Self::Granted => "granted",
            Self::Denied { .. } => "denied",
            Self::NotIssuer => "not-issuer",
        }
    }
}

/// Asks another entry for a permit; `None` if it does not reply in time.
async fn request(
    ctx: &Context,
    issuer: SocketAddr,
    endpoint: EndpointHash,
    limit: Limit,
) -> Option<Grant> {
    let socket = ctx.socket.get()?.clone();
    let (id, reply) = ctx.permits.borrow_mut().register();
    let message = Message::PermitRequest(PermitRequest {
        id,
        limit: LimitReport {
            endpoint,
            rate: Some(limit.rate),
            age: ctx.now() - limit.at,
        },
    });
    send_to_all(&socket, &message, &[issuer]).await;
    let grant = tokio::time::timeout(REPLY_TIMEOUT.duration(), reply).await;
    ctx.permits.borrow_mut().pending.remove(&id);
    grant.ok()?.ok()
}

/// Answers another entry's request for a permit.
pub(super) async fn answer(
    ctx: &Context,
    socket: &UdpSocket,
    request: PermitRequest,
    from: SocketAddr,
) {
    ctx.merge_limits(std::slice::from_ref(&request.limit));
    let grant = decide(ctx, request.limit.endpoint, from);
    let reply = Message::PermitReply(PermitReply {
        id: request.id,
        grant,
    });
    send_to_all(socket, &reply, &[from]).await;
}

/// Decides on a request for a permit, as the issuer of the endpoint's permits if this entry is that.
fn decide(ctx: &Context, endpoint: EndpointHash, from: SocketAddr) -> Grant {
    let limit = ctx.limits.borrow().by_hash(endpoint);
    let members = ctx.members.borrow();
    let mut permits = ctx.permits.borrow_mut();
    permits
        .issuers
        .decide(endpoint, limit, &members, from, ctx.now())
}
