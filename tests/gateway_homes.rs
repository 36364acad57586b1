//! Ownership of endpoints, and the choice between owned and other endpoints.

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

/// Returns a table with a number of endpoints in each zone.
fn table(zones: &[(&str, usize)]) -> EndpointTable {
    let mut table = EndpointTable::default();
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
            table.apply(&id, Some(record), NOW);
        }
    }
    table
}

/// Guards against endpoints with two owners or none while all entries have the same view, and against uneven shares.
#[test]
fn each_endpoint_has_one_owner() {
    let table = table(&[("a", 23), ("b", 10), ("c", 4)]);
    let entries = [
        entry(1, "a"),
        entry(2, "a"),
        entry(3, "a"),
        entry(4, "b"),
        entry(5, "b"),
    ];
    let all: Vec<_> = entries
        .iter()
        .map(|e| owned_endpoints(&table, &entries, e.peer))
        .collect();
    let mut seen = HashSet::default();
    for id in all.iter().flatten() {
        assert!(seen.insert(id.clone()), "{id} has two owners");
    }
    let far = seen.iter().filter(|id| id.0.starts_with('c')).count();
    // The four endpoints of the zone without entries are fewer than the five entries.
    assert_eq!((seen.len(), far), (33, 0));
    assert!(all[..3].iter().all(|h| (7..=8).contains(&h.len())));
    assert!(all[3..].iter().all(|h| h.len() == 5));
}

/// Guards against endpoints that stay owned by a failed entry.
#[test]
fn failed_entries_own_nothing() {
    let table = table(&[("a", 12)]);
    let entries = [entry(1, "a"), entry(3, "a")];
    assert!(owned_endpoints(&table, &entries, entry(2, "a").peer).is_empty());
    let sum: usize = entries
        .iter()
        .map(|e| owned_endpoints(&table, &entries, e.peer).len())
        .sum();
    assert_eq!(sum, 12);
}

fn query<'a>(zone: &'a Zone, owned: &'a HashSet<EndpointId>) -> EndpointQuery<'a> {
    EndpointQuery {
        zone,
        residency: None,
        cold: None,
        weights: None,
        exact: None,
        evacuation: None,
        tried: &[],
        owned,
        read_rate: Some(20.0),
        returning: false,
        reserve: 0,
        duration: Millis(1000),
        memory: None,
        spill: None,
    }
}

/// Pattern: steady load. Guards against requests to endpoints that other entries own and know the load of better.
#[test]
fn steady_load_stays_on_owned_endpoints() {
    let (table, own_zone) = (table(&[("a", 12)]), zone("a"));
    let entries = [entry(1, "a"), entry(2, "a"), entry(3, "a")];
    let owned = owned_endpoints(&table, &entries, entries[0].peer);
    let mut balancer = LoadBalancer::default();
    for _ in 0..8 {
        let e = balancer.pick(table.iter(), &query(&own_zone, &owned), NOW);
        let id = e.expect("an endpoint has room").id.clone();
        assert!(owned.contains(&id), "{id}");
        balancer.begin(&id, 0, NOW);
    }
}

/// Pattern: one entry gets more than its share. Guards against requests that wait at owned endpoints while others have
/// free slots.
#[test]
fn excess_load_goes_to_other_endpoints() {
    let (table, own_zone) = (table(&[("a", 12)]), zone("a"));
    let entries = [entry(1, "a"), entry(2, "a"), entry(3, "a")];
    let owned = owned_endpoints(&table, &entries, entries[0].peer);
    let mut balancer = LoadBalancer::default();
    let mut not_owned = 0;
    for _ in 0..12 * SLOTS {
        let e = balancer.pick(table.iter(), &query(&own_zone, &owned), NOW);
        let id = e.expect("an endpoint has room").id.clone();
        not_owned += u32::from(!owned.contains(&id));
        balancer.begin(&id, 0, NOW);
    }
    assert!(
        not_owned > 6 * SLOTS,
        "{not_owned} sent to endpoints of other entries"
    );
}

/// Pattern: long prompts that come close together. Guards against a prompt that waits behind another one while an
/// endpoint with as many requests has read all of its prompts.
#[test]
fn endpoints_with_unread_prompts_are_avoided() {
    let (table, own_zone) = (table(&[("a", 2)]), zone("a"));
    let owned: HashSet<_> = table.iter().map(|e| e.id.clone()).collect();
    let mut balancer = LoadBalancer::default();
    let ids: Vec<_> = owned.iter().cloned().collect();
    balancer.begin(&ids[0], 3000, NOW);
    balancer.begin(&ids[1], 3000, NOW);
    balancer.prompt_read(&ids[1], 3000);
    for _ in 0..10 {
        let e = balancer.pick(table.iter(), &query(&own_zone, &owned), NOW);
        assert_eq!(e.map(|e| e.id.clone()), Ok(ids[1].clone()));
    }
}
