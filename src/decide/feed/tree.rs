//! The tree in which records spread within a zone.

use crate::{
    base::{rendezvous, HashSet, ProcessName, Zone},
    wire::{HostEntry, HostState},
};

/// Processes of a zone that read the log.
pub const READERS: usize = 2;

/// Children of a process.
pub const DEGREE: usize = 16;

/// Further candidates after the ancestors, in case a whole branch is gone or full.
const SPARES: usize = 4;

/// What a process does according to its host list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Whether the process reads the log.
    pub reader: bool,
    /// Processes to ask in order, the parent first. For readers these serve while the log is down.
    pub candidates: Vec<HostEntry>,
}

/// Sorts the live hosts by rendezvous rank; `me` counts as live.
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

/// Decides what the process `me` of `zone` does.
///
/// A process asks only processes of lower rank in its zone, so that equal lists give no cycles. Readers ask all other
/// readers; the age in their items shows a cycle, because nobody in it reads the log.
pub fn plan(hosts: &[HostEntry], me: &ProcessName, zone: &Zone) -> Plan {
    let own = ranked("feed", hosts.iter().filter(|h| h.zone == *zone), me);
    let index = own.iter().position(|h| h.name == *me);
    let Some(index) = index.filter(|i| *i >= READERS) else {
        // A process that the list does not name yet joins a zone that has its readers.
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
    // Spread the children of a lost branch over those before them instead of the readers alone.
    order.extend((1..=SPARES).map(|n| index * n / (SPARES + 1)));
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
    // Each reader starts with another one.
    let score = |h: &HostEntry| rendezvous(me.as_str().as_bytes(), h.name.as_str().as_bytes());
    candidates.sort_by_key(score);
    Plan {
        reader: true,
        candidates,
    }
}

/// Returns whether `parent` is a live host of the zone with a lower rank than `me`.
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

/// Returns the rank of a process among the live hosts for writing snapshots.
pub fn snapshot_rank(hosts: &[HostEntry], me: &ProcessName) -> u64 {
    let all = ranked("snapshot", hosts.iter(), me);
    let rank = all.iter().position(|h| h.name == *me);
    rank.unwrap_or(all.len()) as u64
}
