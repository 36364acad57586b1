//! The host list as the exchange sees it.

use std::sync::Arc;

use crate::{
    base::{HashMap, HashSet, ProcessName, Rate, Region, Service},
    decide::{
        burst::{first_ranks, ALL_HOSTS},
        chunk::{Member, PeerId, Proximity, Topology},
    },
    process::Context,
    settings::{InForce, Weights},
    wire::{HostEntry, HostState, Hosts, Role},
};

/// Agents of the same service.
#[derive(Debug)]
pub(super) struct Peers {
    /// The list and the settings that this view was made from.
    list: Arc<Hosts>,
    settings: Arc<InForce>,
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

/// Returns the agents of a service that copy its version, whatever the load.
///
/// Chunks are assigned to hosts by rank, and a host that waits for load would leave its chunks to the next ranks.
fn copying(service: &Service, list: &Hosts, settings: &InForce) -> HashSet<ProcessName> {
    let mut regions: HashMap<&Region, Vec<ProcessName>> = HashMap::default();
    let live = |h: &&HostEntry| h.role == Role::Agent && h.state == HostState::Live;
    for host in list.hosts.iter().filter(live) {
        if host.service.as_ref() == Some(service) {
            regions
                .entry(&host.region)
                .or_default()
                .push(host.name.clone());
        }
    }
    let first = regions.into_iter().flat_map(|(region, agents)| {
        let replicas = settings
            .service(region, service)
            .map_or(ALL_HOSTS, |s| s.burst.replicas);
        first_ranks(service, agents, replicas)
    });
    first.collect()
}

impl Peers {
    pub(super) fn read(ctx: &Context) -> Self {
        let list = ctx.replica.hosts();
        let in_force = ctx.replica.settings();
        let store = settings(ctx).store;
        let own = &ctx.settings;
        let mut by_id = HashMap::default();
        let mut members = Vec::new();
        let service = own.endpoint.as_ref().map(|e| &e.service);
        let copying = service.map_or_else(HashSet::default, |s| copying(s, &list, &in_force));
        for host in list.hosts.iter().filter(|h| copying.contains(&h.name)) {
            if host.name == own.name {
                continue;
            }
            let id = PeerId::from(&host.name);
            let place = match &store {
                _ if host.zone == own.zone && host.region == own.region => Proximity::Zone,
                _ if host.region == own.region => Proximity::Region,
                Some(region) if host.region == *region => Proximity::Store,
                _ => Proximity::Remote,
            };
            members.push(Member {
                id,
                proximity: place,
            });
            by_id.insert(id, host.clone());
        }
        Self {
            topology: Topology::new(PeerId::from(&own.name), members),
            settings: in_force,
            list,
            by_id,
        }
    }

    /// Returns a new view if the list or the settings changed.
    pub(super) fn refresh(&self, ctx: &Context) -> Option<Self> {
        let same = Arc::ptr_eq(&self.list, &ctx.replica.hosts());
        if same && Arc::ptr_eq(&self.settings, &ctx.replica.settings()) {
            return None;
        }
        Some(Self::read(ctx))
    }

    pub(super) fn host(&self, id: PeerId) -> Option<&HostEntry> {
        self.by_id.get(&id)
    }
}
