//! Hosts that copy the same weights, derived from the records of their endpoints.

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

/// Other hosts of a service, with their places relative to this host.
#[derive(Clone, Debug)]
pub(super) struct Peers {
    pub(super) topology: Topology,
    own_addr: SocketAddr,
    /// Addresses of the agents on the other hosts.
    addrs: HashMap<PeerId, SocketAddr>,
    /// Hosts in the origin's availability zone.
    near_origin: HashSet<IpAddr>,
}

/// Location of this host and of the origin.
#[derive(Clone, Debug)]
pub(super) struct Location {
    /// Address at which this agent serves other agents; the port is the same on all hosts.
    pub(super) own_addr: SocketAddr,
    /// Zone of this host.
    pub(super) zone: Zone,
    /// Region of each zone.
    pub(super) regions: RegionMap<Zone, Region>,
    /// Zone of the origin, if it is known.
    pub(super) origin: Option<Zone>,
}

fn peer_id(addr: SocketAddr) -> PeerId {
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
    /// Derives the agents of a service from the addresses and zones of its endpoints: each runs on its endpoint's host.
    pub(super) fn new(location: &Location, endpoints: &[(SocketAddr, Zone)]) -> Self {
        let me = peer_id(location.own_addr);
        let mut members = Vec::new();
        let mut addrs = HashMap::default();
        let mut near_origin = HashSet::default();
        if location.origin.as_ref() == Some(&location.zone) {
            near_origin.insert(location.own_addr.ip());
        }
        for (addr, zone) in endpoints {
            let addr = SocketAddr::new(addr.ip(), location.own_addr.port());
            let id = peer_id(addr);
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

    /// Returns whether a source is a host in this region; the origin is not.
    pub(super) fn is_local(&self, source: Source) -> bool {
        match source {
            Source::Origin => false,
            Source::Peer(id) => self.topology.proximity(id).is_some_and(Proximity::is_local),
        }
    }

    /// Returns the address of the agent on a host.
    pub(super) fn addr(&self, id: PeerId) -> Option<SocketAddr> {
        self.addrs.get(&id).copied()
    }

    /// Returns the addresses of up to `count` random hosts of the region.
    pub(super) fn random_local(&self, count: usize) -> Vec<SocketAddr> {
        let local = self.topology.members().iter();
        let local = local.filter(|m| m.proximity.is_local());
        let mut addrs: Vec<_> = local.filter_map(|m| self.addr(m.id)).collect();
        fastrand::shuffle(&mut addrs);
        addrs.truncate(count);
        addrs
    }

    /// Returns the hosts of the region from which to request the manifest of a version, in order: the parent of this
    /// host in the distribution tree of the version and a random one. Empty for the host that requests it from the
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

    /// Returns this host's position, from 0, in the load order of a version, and the number of hosts.
    pub(super) fn load_rank(&self, version: WeightVersion) -> (usize, usize) {
        let order = |host| load_order(host, self.near_origin.contains(&host), version.0);
        let own = order(self.own_addr.ip());
        let others = self.addrs.values().filter(|a| a.ip() != self.own_addr.ip());
        let ahead = others.clone().filter(|a| order(a.ip()) < own);
        (ahead.count(), others.count() + 1)
    }
}
