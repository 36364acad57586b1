//! Endpoints from records: order of records, outages of the store, removal in doubt.

use sesamewing::{
    base::{HashSet, Millis},
    gateway::{Change, EndpointId, EndpointRecord, Fleet, Revision, RENEWAL},
};

fn id(text: &str) -> EndpointId {
    text.parse().expect("any text is an id")
}

fn record(born: u64, sequence: u64) -> EndpointRecord {
    EndpointRecord {
        service: "llm".parse().expect("a valid name"),
        addr: "10.0.0.1:80".parse().expect("a valid address"),
        zone: "a".parse().expect("a valid name"),
        slots: 4,
        draining: false,
        cold: Millis::ZERO,
        models: Vec::new(),
        revision: Revision { born, sequence },
    }
}

/// Guards against a delayed write that brings back what an endpoint said before.
#[test]
fn older_records_are_stale() {
    let (mut fleet, e) = (Fleet::default(), id("e"));
    let now = Millis(1000);
    assert_eq!(fleet.apply(&e, Some(record(10, 5)), now), Change::Added);
    let draining = EndpointRecord {
        draining: true,
        ..record(10, 6)
    };
    assert_eq!(fleet.apply(&e, Some(draining), now), Change::Updated);
    assert_eq!(fleet.apply(&e, Some(record(10, 5)), now), Change::Stale);
    assert!(fleet.get(&e).is_some_and(|e| e.record.draining));
    let restarted = record(20, 1);
    assert_eq!(fleet.apply(&e, Some(restarted), now), Change::Updated);
    assert_eq!(fleet.apply(&e, Some(record(20, 2)), now), Change::Renewed);
}

/// Guards against an endpoint that left and gets requests again because of a record that was written late.
#[test]
fn removed_endpoints_stay_away() {
    let (mut fleet, e) = (Fleet::default(), id("e"));
    fleet.apply(&e, Some(record(10, 5)), Millis(0));
    assert_eq!(fleet.apply(&e, None, Millis(10)), Change::Removed);
    assert_eq!(
        fleet.apply(&e, Some(record(10, 5)), Millis(20)),
        Change::Stale
    );
    assert_eq!(
        fleet.apply(&e, Some(record(10, 6)), Millis(30)),
        Change::Added
    );
}

/// Guards against an empty table after an outage of the store in which all records expired.
#[test]
fn outage_leaves_time_to_renew() {
    let (mut fleet, live, dead) = (Fleet::default(), id("live"), id("dead"));
    fleet.apply(&live, Some(record(10, 1)), Millis(0));
    fleet.apply(&dead, Some(record(10, 1)), Millis(0));
    let back = Millis(9000);
    fleet.regained(back);
    let missing = fleet.retain(&HashSet::default(), back);
    assert_eq!(missing.len(), 2);
    assert_eq!(fleet.iter().count(), 2, "both may still renew");
    fleet.apply(&live, Some(record(10, 9)), back + Millis(1500));
    assert!(fleet.expire(back + Millis(1600)).is_empty());
    assert_eq!(fleet.expire(back + RENEWAL), vec![dead]);
    assert!(fleet.get(&live).is_some());
}
