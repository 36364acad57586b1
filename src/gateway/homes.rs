//! Divides the endpoints of a zone among its entries.
//!
//! An entry sends mostly to the endpoints that it is the home of, so that nearly all of their requests are its own: it
//! knows their load without delay, and keeps few connections. Entries with the same view divide alike; while views
//! differ, an endpoint has two homes or none for a moment, and its load is known as that of any other endpoint.

use std::net::SocketAddr;

use super::fleet::{Endpoint, EndpointId, Fleet};
use crate::base::{rendezvous, HashMap, HashSet, Service, Zone};

/// A live entry that takes callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// Datagram address; identifies the host.
    pub peer: SocketAddr,
    /// Availability zone.
    pub zone: Zone,
}

/// Returns the endpoints of which the entry `me` is the home.
///
/// An endpoint in a zone without entries has its home among all. The endpoints of a service and zone that are fewer than
/// the zone's entries have no home.
pub fn homes(fleet: &Fleet, entries: &[Place], me: SocketAddr) -> HashSet<EndpointId> {
    let mut groups: HashMap<(&Service, &Zone), Vec<&Endpoint>> = HashMap::default();
    for e in fleet.iter() {
        let group = groups.entry((&e.record.service, &e.record.zone));
        group.or_default().push(e);
    }
    let mut out = HashSet::default();
    for ((_, zone), mut endpoints) in groups {
        let mut owners: Vec<_> = entries
            .iter()
            .filter(|p| p.zone == *zone)
            .map(|p| p.peer)
            .collect();
        if owners.is_empty() {
            owners = entries.iter().map(|p| p.peer).collect();
        }
        if endpoints.len() < owners.len() {
            continue;
        }
        owners.sort_unstable();
        let Some(mine) = owners.iter().position(|p| *p == me) else {
            continue;
        };
        endpoints.sort_by_cached_key(|e| rendezvous(b"home", e.id.0.as_bytes()));
        let own = endpoints.iter().skip(mine).step_by(owners.len());
        out.extend(own.map(|e| e.id.clone()));
    }
    out
}
