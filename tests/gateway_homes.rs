//! Endpoints divided among entries, and what an entry knows of the prompts that its own endpoints have yet to read.

use std::net::SocketAddr;

use sesamewing::{
    base::{HashSet, Millis, Zone},
    gateway::{
        owned_endpoints, EndpointId, EndpointQuery, EndpointRecord, EndpointTable, LoadBalancer,
        ReadyEntry, Revision,
    },
};

const NOW: Millis = Millis(100_000);
const SLOTS: u32 = 8;

fn zone(text: &str) -> Zone {
    text.parse().expect("a valid name")
}

fn entry(n: u8, zone_name: &str) -> ReadyEntry {
    ReadyEntry {
        peer: SocketAddr::from(([10, 0, 1, n], 7)),
        zone: zone(zone_name),
    }
}

/// A fleet with some endpoints in each of some zones.
fn fleet(zones: &[(&str, usize)]) -> EndpointTable {
    let mut fleet = EndpointTable::default();
    for (name, count) in zones {
        for i in 0..*count {
            let record = EndpointRecord {
                service: "llm".parse().expect("a valid name"),
                addr: "10.0.0.1:80".parse().expect("a valid address"),
                zone: zone(name),
                slots: SLOTS,
                draining: false,
                cold: Millis::ZERO,
                models: Vec::new(),
                revision: Revision::default(),
            };
            let id: EndpointId = format!("{name}{i}").parse().expect("any text is an id");
            fleet.apply(&id, Some(record), NOW);
        }
    }
    fleet
}

/// Guards against endpoints with two homes or none while all entries have the same view, and against uneven shares.
#[test]
fn each_endpoint_has_one_home() {
    let fleet = fleet(&[("a", 23), ("b", 10), ("c", 4)]);
    let entries = [
        entry(1, "a"),
        entry(2, "a"),
        entry(3, "a"),
        entry(4, "b"),
        entry(5, "b"),
    ];
    let all: Vec<_> = entries
        .iter()
        .map(|e| owned_endpoints(&fleet, &entries, e.peer))
        .collect();
    let mut seen = HashSet::default();
    for id in all.iter().flatten() {
        assert!(seen.insert(id.clone()), "{id} has two homes");
    }
    let far = seen.iter().filter(|id| id.0.starts_with('c')).count();
    // The four endpoints of the zone without entries are fewer than the five entries.
    assert_eq!((seen.len(), far), (33, 0));
    assert!(all[..3].iter().all(|h| (7..=8).contains(&h.len())));
    assert!(all[3..].iter().all(|h| h.len() == 5));
}

/// Guards against endpoints that keep a lost entry as their home.
#[test]
fn lost_entries_have_no_homes() {
    let fleet = fleet(&[("a", 12)]);
    let entries = [entry(1, "a"), entry(3, "a")];
    assert!(owned_endpoints(&fleet, &entries, entry(2, "a").peer).is_empty());
    let sum: usize = entries
        .iter()
        .map(|e| owned_endpoints(&fleet, &entries, e.peer).len())
        .sum();
    assert_eq!(sum, 12);
}

fn ask<'a>(zone: &'a Zone, homes: &'a HashSet<EndpointId>) -> EndpointQuery<'a> {
    EndpointQuery {
        zone,
        weights: None,
        exact: None,
        tried: &[],
        owned: homes,
        read_rate: Some(20.0),
        retrying: false,
        duration: Millis(1000),
    }
}

/// Pattern: steady load. Guards against requests to endpoints whose load other entries know better.
#[test]
fn steady_load_stays_at_home() {
    let (fleet, home) = (fleet(&[("a", 12)]), zone("a"));
    let entries = [entry(1, "a"), entry(2, "a"), entry(3, "a")];
    let mine = owned_endpoints(&fleet, &entries, entries[0].peer);
    let mut balance = LoadBalancer::default();
    for _ in 0..8 {
        let e = balance.pick(fleet.iter(), &ask(&home, &mine), NOW);
        let id = e.expect("an endpoint has room").id.clone();
        assert!(mine.contains(&id), "{id}");
        balance.begin(&id, 0, NOW);
    }
}

/// Pattern: one entry gets more than its share. Guards against requests that wait at home while others have room.
#[test]
fn excess_load_goes_elsewhere() {
    let (fleet, home) = (fleet(&[("a", 12)]), zone("a"));
    let entries = [entry(1, "a"), entry(2, "a"), entry(3, "a")];
    let mine = owned_endpoints(&fleet, &entries, entries[0].peer);
    let mut balance = LoadBalancer::default();
    let mut away = 0;
    for _ in 0..12 * SLOTS {
        let e = balance.pick(fleet.iter(), &ask(&home, &mine), NOW);
        let id = e.expect("an endpoint has room").id.clone();
        away += u32::from(!mine.contains(&id));
        balance.begin(&id, 0, NOW);
    }
    assert!(away > 6 * SLOTS, "{away} elsewhere");
}

/// Pattern: long prompts that come close together. Guards against a prompt that waits behind another one while an
/// endpoint with as many requests has read all of its prompts.
#[test]
fn unread_prompts_are_passed_over() {
    let (fleet, home) = (fleet(&[("a", 2)]), zone("a"));
    let mine: HashSet<_> = fleet.iter().map(|e| e.id.clone()).collect();
    let mut balance = LoadBalancer::default();
    let ids: Vec<_> = mine.iter().cloned().collect();
    balance.begin(&ids[0], 3000, NOW);
    balance.begin(&ids[1], 3000, NOW);
    balance.prompt_read(&ids[1], 3000);
    for _ in 0..10 {
        let e = balance.pick(fleet.iter(), &ask(&home, &mine), NOW);
        assert_eq!(e.map(|e| e.id.clone()), Ok(ids[1].clone()));
    }
}
