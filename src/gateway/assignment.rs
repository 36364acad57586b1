//! What entries tell agents, so that agents need not read the store.

use std::{net::SocketAddr, rc::Rc};

use serde::{Deserialize, Serialize};

use super::{context::Context, members::NamedAge, OriginSpec, WeightVersion};
use crate::base::{rendezvous, Millis, Service, Zone};

/// Path at which an entry tells what the agents of a service have to do: followed by the service, the
/// agent's zone and the tag of the last answer.
pub(crate) const ASSIGNMENT_PATH: &str = "/assignment/";

/// Longest time for which a question waits for news.
pub(crate) const ASSIGNMENT_WAIT: Millis = Millis(1500);

/// Entries named to an agent.
const ENTRIES_MAX: usize = 6;

/// Work of the agents of one service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Assignment {
    /// Model that the endpoints of the service load.
    pub model: Option<Rc<str>>,
    /// Where the weights come from.
    pub origin: Option<OriginSpec>,
    /// Newest named version.
    pub newest: Option<WeightVersion>,
    /// Versions with the time since they were named, as far as it is known.
    pub named: Vec<NamedAge>,
    /// Endpoints of the service with their zones.
    pub hosts: Vec<(SocketAddr, Zone)>,
    /// Entries to ask next, those of the agent's zone first.
    pub entries: Vec<SocketAddr>,
    /// Entries to be told of the endpoint.
    pub readers: Vec<SocketAddr>,
    /// Hash of everything but ages and entries; the next question names it. If it is the one of the question, hosts and
    /// versions are left out.
    pub tag: u64,
}

impl Assignment {
    /// Returns the work of a service as an entry knows it, without the entries to ask and to tell.
    fn of(ctx: &Context, service: &Service) -> Self {
        let now = ctx.now();
        let catalog = ctx.catalog.borrow();
        let spec = catalog.as_ref().and_then(|c| c.services.get(service));
        let model = spec.and_then(|s| s.weights.as_ref()?.models.first().cloned());
        let named = ctx.named.borrow();
        let versions = model.as_ref().and_then(|m| named.get(m));
        let mut hosts: Vec<_> = ctx
            .fleet
            .borrow()
            .of(service)
            .map(|e| (e.record.addr, e.record.zone.clone()))
            .collect();
        hosts.sort_unstable();
        let mut out = Self {
            origin: catalog.as_ref().and_then(|c| c.origin().cloned()),
            newest: versions.and_then(|v| v.newest()),
            hosts,
            ..Self::default()
        };
        if let (Some(model), Some(versions)) = (&model, versions) {
            let age = |(version, at)| NamedAge {
                model: model.to_string(),
                version,
                age: now - at,
            };
            out.named = versions.known().map(age).collect();
        }
        out.model = model;
        out.tag = out.hash();
        out
    }

    /// Adds the entries to ask and to tell, and encodes the answer.
    fn encode(mut self, ctx: &Context, zone: &str) -> Option<Vec<u8>> {
        let (members, now) = (ctx.members.borrow(), ctx.now());
        self.entries = members.peers(zone, ENTRIES_MAX, now);
        self.readers = members.told(zone, now);
        postcard::to_stdvec(&self).ok()
    }

    /// Returns the hash of what an agent acts on.
    fn hash(&self) -> u64 {
        let known: Vec<_> = self.named.iter().map(|n| n.version).collect();
        let content = (&self.model, &self.origin, self.newest, known, &self.hosts);
        let data = postcard::to_stdvec(&content).unwrap_or_default();
        rendezvous(b"assignment", &data)
    }
}

/// Answers the question of an agent: waits for news if it has the present answer.
pub(super) async fn answer(ctx: &Context, question: &str) -> Option<Vec<u8>> {
    if !ctx.is_informed() {
        return None;
    }
    let mut parts = question.split('/');
    let service: Service = parts.next()?.parse().ok()?;
    let zone = parts.next()?;
    let tag: u64 = parts.next()?.parse().ok()?;
    let end = ctx.now() + ASSIGNMENT_WAIT;
    loop {
        let news = ctx.changed.notified();
        let mut current = Assignment::of(ctx, &service);
        if current.tag != tag {
            return current.encode(ctx, zone);
        }
        let left = end - ctx.now();
        if left == Millis::ZERO {
            // The agent has these.
            current.hosts = Vec::new();
            current.named = Vec::new();
            return current.encode(ctx, zone);
        }
        // The time is over or something changed: either way the answer is made anew.
        let _ = tokio::time::timeout(left.duration(), news).await;
    }
}
