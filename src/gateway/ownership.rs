//! Ownership of endpoints: divides the endpoints of a zone among the entries of the zone.
//!
//! An entry sends most requests to the endpoints that it owns, so that nearly all of their requests are its own: it
//! knows their load without delay and keeps few connections. Entries with the same view of membership and endpoints
//! compute the same division. While views differ, an endpoint may have two owners or none; entries then know its load
//! only from its status headers and from other entries' reports, as that of any endpoint that they do not own.

use std::net::SocketAddr;

use super::endpoint_table::{Endpoint, EndpointId, EndpointTable};
use crate::base::{rendezvous, HashMap, HashSet, Service, Zone};

/// A live entry that takes callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadyEntry {
    /// Address for datagrams of other entries; identifies the entry.
    pub peer: SocketAddr,
    /// Availability zone of the entry.
    pub zone: Zone,
}

/// Endpoints that an entry owns, and those of which it is a home, each with the number of its homes.
pub(super) type Division = (HashSet<EndpointId>, HashMap<EndpointId, u32>);

/// Divides the endpoints of each service and zone, and returns those of the entry `me`. Endpoints in a zone without ready
/// entries are divided among the entries of all zones.
pub(super) fn divide(table: &EndpointTable, entries: &[ReadyEntry], me: SocketAddr) -> Division {
    let mut groups: HashMap<(&Service, &Zone), Vec<&Endpoint>> = HashMap::default();
    for e in table.iter() {
        let group = groups.entry((&e.record.service, &e.record.zone));
        group.or_default().push(e);
    }
    let (mut owned, mut shared) = Division::default();
    for ((_, zone), mut endpoints) in groups {
        let mut owners: Vec<_> = entries
            .iter()
            .filter(|p| p.zone == *zone)
            .map(|p| p.peer)
            .collect();
        if owners.is_empty() {
            owners = entries.iter().map(|p| p.peer).collect();
        }
        owners.sort_unstable();
        let Some(position) = owners.iter().position(|p| *p == me) else {
            continue;
        };
        endpoints.sort_by_cached_key(|e| rendezvous(b"home", e.id.0.as_bytes()));
        let first = position % endpoints.len();
        let homes = owners.iter().skip(first).step_by(endpoints.len()).count();
        let homes = u32::try_from(homes).unwrap_or(u32::MAX);
        for e in endpoints.iter().skip(first).step_by(owners.len()) {
            shared.insert(e.id.clone(), homes);
            if endpoints.len() >= owners.len() {
                owned.insert(e.id.clone());
            }
        }
    }
    (owned, shared)
}

/// Returns the endpoints that the entry `me` owns.
///
/// Endpoints in a zone without ready entries are divided among the entries of all zones. If a service has fewer
/// endpoints in a zone than there are entries to divide them among, these endpoints have no owner.
pub fn owned_endpoints(
    table: &EndpointTable,
    entries: &[ReadyEntry],
    me: SocketAddr,
) -> HashSet<EndpointId> {
    divide(table, entries, me).0
}

/// Returns the endpoints of which the entry `me` is a home, each with the number of its homes. The home of an endpoint with an
/// owner is the owner; where there are more entries than endpoints, each entry is a home of one endpoint.
pub fn home_endpoints(
    table: &EndpointTable,
    entries: &[ReadyEntry],
    me: SocketAddr,
) -> HashMap<EndpointId, u32> {
    divide(table, entries, me).1
}
