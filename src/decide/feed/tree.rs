//! Tree over which the records of the log are distributed within an availability zone.

use crate::{
    base::{rendezvous, HashSet, ProcessName, Zone},
    wire::{HostEntry, HostState},
};

/// Number of processes of a zone that read the log.
pub const READERS: usize = 2;

/// Maximum number of children of a process in the tree.
pub const DEGREE: usize = 16;

/// Number of further candidates after the ancestors, in case a whole branch has failed or is full.
const SPARE_PARENTS: usize = 4;

/// Position of a process in the tree, computed from its host list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Whether the process reads the log.
    pub reader: bool,
    /// Processes to subscribe to, tried in this order, the parent first. A reader subscribes to them only while the log
    /// is unavailable.
    pub candidates: Vec<HostEntry>,
}

/// Sorts the live processes by their rendezvous scores for `key`; `me` counts as live.
fn ranked<'a>(
    key: &str,
    hosts: impl Iterator<Item = &'a HostEntry>,
    me: &ProcessName,
) -> Vec<&'a HostEntry> {
    let live = hosts.filter(|h| h.state == HostState::Live || h.name == *me);
    let mut ranked: Vec<_> = live
        .map(|h| (rendezvous(key.as_bytes(), h.name.as_str().as_bytes()), h))
        .collect();
    ranked.sort_by(|(a, x), (b, y)| (a, &x.name).cmp(&(b, &y.name)));
    ranked.into_iter().map(|(_, h)| h).collect()
}

/// Computes the position of the process `me` of `zone`.
///
/// Other processes than readers subscribe only to processes of lower rank in their zone, so that equal host lists give
/// no cycle. Readers may subscribe to all other readers; a cycle among them shows by the growing age of the items,
/// because no process in it reads the log.
pub fn plan(hosts: &[HostEntry], me: &ProcessName, zone: &Zone) -> Plan {
    let own = ranked("feed", hosts.iter().filter(|h| h.zone == *zone), me);
    let index = own.iter().position(|h| h.name == *me);
    let Some(index) = index.filter(|i| *i >= READERS) else {
        // A process that is not in the host list yet becomes no reader if the zone already has all its readers.
        if index.is_none() && own.len() >= READERS {
            return member(&own, own.len());
        }
        return reader(hosts, me);
    };
    member(&own, index)
}

fn member(own: &[&HostEntry], index: usize) -> Plan {
    let mut order = Vec::new();
    let mut at = index;
    while at >= READERS {
        at = (at - READERS) / DEGREE;
        order.push(at);
    }
    order.extend(0..READERS);
    // Spreads the children of a failed branch over the processes of lower rank instead of over the readers alone.
    order.extend((1..=SPARE_PARENTS).map(|n| index * n / (SPARE_PARENTS + 1)));
    let mut seen = HashSet::default();
    let candidates = order
        .into_iter()
        .filter(|i| *i < index && seen.insert(*i))
        .filter_map(|i| own.get(i).map(|h| (*h).clone()))
        .collect();
    Plan {
        reader: false,
        candidates,
    }
}

fn reader(hosts: &[HostEntry], me: &ProcessName) -> Plan {
    let mut zones: Vec<&Zone> = hosts.iter().map(|h| &h.zone).collect();
    zones.sort();
    zones.dedup();
    let mut candidates: Vec<HostEntry> = zones
        .into_iter()
        .flat_map(|z| {
            let all = ranked("feed", hosts.iter().filter(|h| h.zone == *z), me);
            all.into_iter().take(READERS).cloned().collect::<Vec<_>>()
        })
        .filter(|h| h.name != *me && h.state == HostState::Live)
        .collect();
    // Each reader tries the others in its own order, to spread the load.
    let score = |h: &HostEntry| rendezvous(me.as_str().as_bytes(), h.name.as_str().as_bytes());
    candidates.sort_by_key(score);
    Plan {
        reader: true,
        candidates,
    }
}

/// Returns whether `me` may subscribe to `parent`: a live process of the zone with a lower rank than `me`.
pub fn may_follow(
    hosts: &[HostEntry],
    me: &ProcessName,
    zone: &Zone,
    parent: &ProcessName,
) -> bool {
    let own = ranked("feed", hosts.iter().filter(|h| h.zone == *zone), me);
    let rank = |name: &ProcessName| own.iter().position(|h| h.name == *name);
    rank(parent).is_some_and(|p| rank(me).is_none_or(|m| p < m))
}

/// Returns the rank of a process, starting at 0, in which the live processes of all zones try to write a snapshot.
pub fn snapshot_rank(hosts: &[HostEntry], me: &ProcessName) -> u64 {
    let all = ranked("snapshot", hosts.iter(), me);
    let rank = all.iter().position(|h| h.name == *me);
    rank.unwrap_or(all.len()) as u64
}
