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

/// Returns the endpoints that the entry `me` owns.
///
/// Endpoints in a zone without ready entries are divided among the entries of all zones. If a service has fewer
/// endpoints in a zone than there are entries to divide them among, these endpoints have no owner.
pub fn owned_endpoints(
    table: &EndpointTable,
    entries: &[ReadyEntry],
    me: SocketAddr,
) -> HashSet<EndpointId> {
    let mut groups: HashMap<(&Service, &Zone), Vec<&Endpoint>> = HashMap::default();
    for e in table.iter() {
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
        let Some(position) = owners.iter().position(|p| *p == me) else {
            continue;
        };
        endpoints.sort_by_cached_key(|e| rendezvous(b"home", e.id.0.as_bytes()));
        let owned = endpoints.iter().skip(position).step_by(owners.len());
        out.extend(owned.map(|e| e.id.clone()));
    }
    out
}
