//! Hosts that copy the same weights, from the records of their endpoints.

use std::{
    collections::HashMap as RegionMap,
    net::{IpAddr, SocketAddr},
};

use crate::{
    base::{Digest, HashMap, HashSet, Region, Zone},
    decide::{
        chunk::{Member, PeerId, Proximity, Source, Topology},
        rollout::load_order,
    },
    gateway::WeightVersion,
};

/// Other hosts of a service.
#[derive(Clone, Debug)]
pub(super) struct Peers {
    pub(super) topology: Topology,
    own_addr: SocketAddr,
    addrs: HashMap<PeerId, SocketAddr>,
    /// Hosts in the origin's availability zone.
    near_origin: HashSet<IpAddr>,
}

/// Where this host and the origin are.
#[derive(Clone, Debug)]
pub(super) struct Location {
    /// Address of this host's exchange; its port is the same on all hosts.
    pub(super) own_addr: SocketAddr,
    pub(super) zone: Zone,
    /// Region of each zone.
    pub(super) regions: RegionMap<Zone, Region>,
    /// Zone of the origin.
    pub(super) origin: Option<Zone>,
}

fn id(addr: SocketAddr) -> PeerId {
    let text = addr.ip().to_string();
    PeerId(crate::base::rendezvous(b"weights", text.as_bytes()))
}

impl Location {
    fn place(&self, zone: &Zone) -> Proximity {
        let region = |z: &Zone| self.regions.get(z);
        if *zone == self.zone {
            return Proximity::Zone;
        }
        if region(zone) == region(&self.zone) {
            return Proximity::Region;
        }
        let origin = self.origin.as_ref().and_then(region);
        if origin.is_some() && region(zone) == origin {
            Proximity::Store
        } else {
            Proximity::Remote
        }
    }
}

impl Peers {
    /// Finds the other agents of a service from the addresses and zones of its endpoints.
    pub(super) fn new(location: &Location, endpoints: &[(SocketAddr, Zone)]) -> Self {
        let me = id(location.own_addr);
        let mut members = Vec::new();
        let mut addrs = HashMap::default();
        let mut near_origin = HashSet::default();
        if location.origin.as_ref() == Some(&location.zone) {
            near_origin.insert(location.own_addr.ip());
        }
        for (addr, zone) in endpoints {
            let addr = SocketAddr::new(addr.ip(), location.own_addr.port());
            let id = id(addr);
            if location.origin.as_ref() == Some(zone) {
                near_origin.insert(addr.ip());
            }
            members.push(Member {
                id,
                proximity: location.place(zone),
            });
            addrs.insert(id, addr);
        }
        Self {
            topology: Topology::new(me, members),
            own_addr: location.own_addr,
            addrs,
            near_origin,
        }
    }

    /// Returns whether a source is a host of this region.
    pub(super) fn is_local(&self, source: Source) -> bool {
        match source {
            Source::Origin => false,
            Source::Peer(id) => self.topology.proximity(id).is_some_and(Proximity::is_local),
        }
    }

    /// Returns the address of a host's exchange.
    pub(super) fn addr(&self, id: PeerId) -> Option<SocketAddr> {
        self.addrs.get(&id).copied()
    }

    /// Returns the hosts of the region to ask for the manifest of a version, in order; none for the host that asks the
    /// origin for the region.
    pub(super) fn manifest_sources(&self, id: &Digest) -> Vec<SocketAddr> {
        let Some(parent) = self.topology.parent(id) else {
            return Vec::new();
        };
        let members = self.topology.members().iter();
        let local: Vec<_> = members.filter(|m| m.proximity.is_local()).collect();
        let other = local.get(fastrand::usize(..local.len().max(1)));
        let sources = [Some(parent), other.map(|m| m.id)];
        let addrs = sources.into_iter().flatten().filter_map(|id| self.addr(id));
        addrs.collect()
    }

    /// Returns this host's position among all in the turns of a version, and their number.
    pub(super) fn load_rank(&self, version: WeightVersion) -> (usize, usize) {
        let order = |host| load_order(host, self.near_origin.contains(&host), version.0);
        let mine = order(self.own_addr.ip());
        let others = self.addrs.values().filter(|a| a.ip() != self.own_addr.ip());
        let ahead = others.clone().filter(|a| order(a.ip()) < mine);
        (ahead.count(), others.count() + 1)
    }
}
