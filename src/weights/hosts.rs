//! The host list as the exchange sees it.

use std::sync::Arc;

use crate::{
    base::{HashMap, Rate, Region},
    decide::chunk::{Member, PeerId, Place, Topology},
    process::Context,
    settings::Weights,
    wire::{HostEntry, HostState, Hosts, Role},
};

/// Agents of the same service.
#[derive(Debug)]
pub(super) struct Peers {
    /// The list that this view was made from.
    list: Arc<Hosts>,
    store: Option<Region>,
    pub(super) topology: Topology,
    by_id: HashMap<PeerId, HostEntry>,
}

/// Returns the weight settings in force for this agent's service.
pub(super) fn settings(ctx: &Context) -> Weights {
    let Some(endpoint) = &ctx.settings.endpoint else {
        return Weights::default();
    };
    ctx.replica
        .settings()
        .service(&ctx.settings.region, &endpoint.service)
        .map(|s| s.weights.clone())
        .unwrap_or_default()
}

/// Returns the rate at which weights may enter this region.
pub(super) fn crossing(weights: &Weights) -> Rate {
    weights.link.share(weights.crossing)
}

impl Peers {
    pub(super) fn read(ctx: &Context) -> Self {
        let list = ctx.replica.hosts();
        let store = settings(ctx).store;
        let own = &ctx.settings;
        let service = own.endpoint.as_ref().map(|e| &e.service);
        let mut by_id = HashMap::default();
        let mut members = Vec::new();
        for host in &list.hosts {
            let same = host.role == Role::Agent && host.service.as_ref() == service;
            if !same || host.state != HostState::Live || host.name == own.name {
                continue;
            }
            let id = PeerId::from(&host.name);
            let place = match &store {
                _ if host.zone == own.zone && host.region == own.region => Place::Zone,
                _ if host.region == own.region => Place::Region,
                Some(region) if host.region == *region => Place::Store,
                _ => Place::Remote,
            };
            members.push(Member { id, place });
            by_id.insert(id, host.clone());
        }
        Self {
            list,
            store,
            topology: Topology::new(PeerId::from(&own.name), members),
            by_id,
        }
    }

    /// Returns a new view if the list or the store's region changed.
    pub(super) fn refresh(&self, ctx: &Context) -> Option<Self> {
        let same = Arc::ptr_eq(&self.list, &ctx.replica.hosts());
        if same && self.store == settings(ctx).store {
            return None;
        }
        Some(Self::read(ctx))
    }

    pub(super) fn host(&self, id: PeerId) -> Option<&HostEntry> {
        self.by_id.get(&id)
    }
}
