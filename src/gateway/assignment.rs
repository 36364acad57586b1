//! Assignment of an agent: what it has to load and from where. Entries send it, so that agents need not read the store.

use std::{net::SocketAddr, rc::Rc};

use serde::{Deserialize, Serialize};

use super::{
    context::Context, message::DesiredAge, CatalogVersion, ChunkLayout, OriginSpec, WeightVersion,
};
use crate::base::{rendezvous, Era, Millis, Service, Zone};

/// Path of the assignment of a service's agents at an entry; followed by the service, the agent's zone and the tag of
/// the last reply, separated by slashes.
pub(crate) const ASSIGNMENT_PATH: &str = "/assignment/";

/// Longest time for which a long poll waits for a change.
pub(crate) const ASSIGNMENT_WAIT: Millis = Millis(1500);

/// Largest number of entries in a reply that the agent may query next.
const ENTRIES_MAX: usize = 6;

/// Assignment of the agents of one service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Assignment {
    /// Model that the endpoints of the service load; `None` if they load none.
    pub model: Option<Rc<str>>,
    /// Store from which the weights are copied.
    pub origin: Option<OriginSpec>,
    /// Newest desired version of the model.
    pub newest: Option<WeightVersion>,
    /// Desired versions with known ages.
    pub desired: Vec<DesiredAge>,
    /// Endpoints of the service with their zones.
    pub hosts: Vec<(SocketAddr, Zone)>,
    /// Entries to query next, those of the agent's zone first.
    pub entries: Vec<SocketAddr>,
    /// Entries to notify of the endpoint's state.
    pub readers: Vec<SocketAddr>,
    /// Hash of everything but ages and entries; the agent sends it with its next query. A reply to a query with the
    /// same tag leaves out hosts.
    pub tag: u64,
    /// Version of the catalog from which `model` and `origin` are taken; `None` if the sender's build does not tell it. It
    /// is sent after all else, where builds that do not know it ignore it.
    #[serde(skip)]
    pub catalog: Option<CatalogVersion>,
    /// Era of the store in which the sender knows the hosts; `None` if its build does not tell it. It follows `catalog`.
    #[serde(skip)]
    pub era: Option<Era>,
    /// Chunks of each version of the model by that catalog; `None` if it does not name them, or if the sender's build does not
    /// tell it. It follows `era`.
    #[serde(skip)]
    pub layout: Option<ChunkLayout>,
}

impl Assignment {
    /// Returns the assignment of a service from this entry's state; `entries` and `readers` are left empty.
    fn of(ctx: &Context, service: &Service) -> Self {
        let now = ctx.now();
        let catalog = ctx.catalog.borrow();
        let spec = catalog.as_ref().and_then(|c| c.services.get(service));
        let weights = spec.and_then(|s| s.weights.as_ref());
        let model = weights.and_then(|w| w.models.first().cloned());
        let desired = ctx.desired.borrow();
        let versions = model.as_ref().and_then(|m| desired.get(m));
        let mut hosts: Vec<_> = ctx
            .endpoints
            .borrow()
            .of_service(service)
            .map(|e| (e.record.addr, e.record.zone.clone()))
            .collect();
        hosts.sort_unstable();
        let mut out = Self {
            origin: catalog.as_ref().and_then(|c| c.origin().cloned()),
            newest: versions.and_then(|v| v.newest()),
            hosts,
            catalog: catalog.as_ref().map(|c| c.version),
            era: ctx.store_era.borrow().known(),
            layout: weights.and_then(|w| w.layout),
            ..Self::default()
        };
        if let (Some(model), Some(versions)) = (&model, versions) {
            let age = |(version, age)| DesiredAge::new(model, version, age);
            out.desired = versions.ages(now).map(age).collect();
        }
        out.model = model;
        out.tag = out.hash();
        out
    }

    /// Fills in `entries` and `readers` for an agent of a zone, and encodes the reply.
    fn reply(mut self, ctx: &Context, zone: &str) -> Option<Vec<u8>> {
        let (members, now) = (ctx.members.borrow(), ctx.now());
        self.entries = members.peers(zone, ENTRIES_MAX, now);
        self.readers = members.notify_targets(zone, now);
        self.encode().ok()
    }

    /// Encodes the assignment for an agent.
    ///
    /// # Errors
    ///
    /// Returns an error if it cannot be encoded.
    pub fn encode(&self) -> postcard::Result<Vec<u8>> {
        postcard::to_stdvec(&(self, self.catalog, self.era, self.layout))
    }

    /// Decodes an assignment from an entry, also of a build that does not tell the version of its catalog.
    ///
    /// # Errors
    ///
    /// Returns an error if the data holds no assignment.
    pub fn decode(data: &[u8]) -> postcard::Result<Self> {
        let (assignment, rest): (Self, _) = postcard::take_from_bytes(data)?;
        let (catalog, rest) = postcard::take_from_bytes(rest).unwrap_or_default();
        let (era, rest) = postcard::take_from_bytes(rest).unwrap_or_default();
        Ok(Self {
            catalog,
            era,
            layout: postcard::from_bytes(rest).unwrap_or_default(),
            ..assignment
        })
    }

    /// Returns the hash of the content on which an agent acts.
    fn hash(&self) -> u64 {
        let known: Vec<_> = self.desired.iter().map(|n| n.version).collect();
        let content = (&self.model, &self.origin, self.newest, known, &self.hosts);
        let data = postcard::to_stdvec(&content).unwrap_or_default();
        rendezvous(b"assignment", &data)
    }
}

/// Replies to an agent's query `service/zone/tag`; a long poll if the agent already has the assignment with this tag.
/// `None` if the query is malformed, or this entry has no catalog or endpoint table yet.
pub(super) async fn reply(ctx: &Context, query: &str) -> Option<Vec<u8>> {
    if !ctx.is_informed() {
        return None;
    }
    let mut parts = query.split('/');
    let service: Service = parts.next()?.parse().ok()?;
    let zone = parts.next()?;
    let tag: u64 = parts.next()?.parse().ok()?;
    let end = ctx.now() + ASSIGNMENT_WAIT;
    loop {
        let change = ctx.changed.notified();
        let mut current = Assignment::of(ctx, &service);
        if current.tag != tag {
            return current.reply(ctx, zone);
        }
        let left = end - ctx.now();
        if left == Millis::ZERO {
            // The agent has these already. The ages of versions may have been corrected.
            current.hosts = Vec::new();
            return current.reply(ctx, zone);
        }
        // The timeout has passed or the state has changed: either way the reply is computed again.
        let _ = tokio::time::timeout(left.duration(), change).await;
    }
}
