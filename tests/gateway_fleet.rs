//! Endpoints from records: order of records, outages of the store, removal in doubt.

use sesamewing::{
    base::{HashSet, Millis},
    gateway::{
        Change, EndpointId, EndpointRecord, EndpointTable, EndpointUpdate, Revision, WeightVersion,
        RENEWAL,
    },
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
    let (mut fleet, e) = (EndpointTable::default(), id("e"));
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
    let (mut fleet, e) = (EndpointTable::default(), id("e"));
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
    let (mut fleet, live, dead) = (EndpointTable::default(), id("live"), id("dead"));
    fleet.apply(&live, Some(record(10, 1)), Millis(0));
    fleet.apply(&dead, Some(record(10, 1)), Millis(0));
    let back = Millis(9000);
    fleet.store_recovered(back);
    let missing = fleet.retain_present(&HashSet::default(), back);
    assert_eq!(missing.len(), 2);
    assert_eq!(fleet.iter().count(), 2, "both may still renew");
    fleet.apply(&live, Some(record(10, 9)), back + Millis(1500));
    assert!(fleet.expire(back + Millis(1600)).is_empty());
    assert_eq!(fleet.expire(back + RENEWAL), vec![dead]);
    assert!(fleet.get(&live).is_some());
}

fn loaded(sequence: u64, version: Option<u64>) -> EndpointRecord {
    let models = version.map(|v| ("m".into(), WeightVersion(v)));
    EndpointRecord {
        models: models.into_iter().collect(),
        ..record(10, sequence)
    }
}

fn news(born: u64, version: Option<u64>) -> EndpointUpdate {
    let record = loaded(0, version);
    EndpointUpdate {
        addr: record.addr,
        born,
        models: record.models,
    }
}

fn version(fleet: &EndpointTable) -> Option<WeightVersion> {
    fleet.get(&id("e"))?.weights("m")
}

/// Guards against entries whose table differs from that of the entry that reads the store for them.
#[test]
fn changes_are_mirrored() {
    let now = Millis(0);
    let (mut fleet, mut copy) = (EndpointTable::default(), EndpointTable::default());
    for (name, born) in [("a", 1), ("b", 2), ("c", 3)] {
        fleet.apply(&id(name), Some(record(born, 1)), now);
    }
    let whole = fleet.delta_since(None);
    let count = whole.count;
    assert_eq!(copy.apply_delta(whole, now).len(), 3);
    assert_eq!(copy.digest(), fleet.digest());
    fleet.apply(&id("a"), None, now);
    fleet.apply(&id("b"), Some(record(2, 2)), now);
    assert_eq!(
        copy.apply_delta(fleet.delta_since(Some(count)), now).len(),
        1
    );
    fleet.apply(&id("d"), Some(record(4, 1)), now);
    let later = fleet.delta_since(Some(fleet.delta_since(None).count - 1));
    assert_eq!((later.records.len(), later.removed.len()), (1, 0));
    copy.apply_delta(later, now);
    assert_eq!(copy.digest(), fleet.digest());
    // Another entry's whole table replaces everything.
    let other = EndpointTable::default().delta_since(None);
    assert_eq!(copy.apply_delta(other, now).len(), 3);
}

/// Guards against requests to an endpoint that drains for a load although its record does not say so yet, and against
/// an endpoint that stands idle after its load until the record is read.
#[test]
fn agents_are_faster_than_records() {
    let mut fleet = EndpointTable::default();
    fleet.apply(&id("e"), Some(loaded(1, Some(1))), Millis(0));
    assert!(fleet.apply_update(&news(10, None), Millis(100)).is_some());
    // The record still names the version until the drain ends.
    fleet.apply(&id("e"), Some(loaded(2, Some(1))), Millis(600));
    assert_eq!(version(&fleet), None);
    assert!(fleet
        .apply_update(&news(10, Some(2)), Millis(1500))
        .is_some());
    assert_eq!(version(&fleet), Some(WeightVersion(2)));
    fleet.apply(&id("e"), Some(loaded(3, None)), Millis(1600));
    assert_eq!(version(&fleet), Some(WeightVersion(2)));
    fleet.apply(&id("e"), Some(loaded(4, Some(2))), Millis(1700));
    assert_eq!(version(&fleet), Some(WeightVersion(2)));
}

/// Guards against an endpoint that stays unused because its agent ended after it said that a load begins.
#[test]
fn silent_agent_is_outlived() {
    let mut fleet = EndpointTable::default();
    fleet.apply(&id("e"), Some(loaded(1, Some(1))), Millis(0));
    fleet.apply_update(&news(10, None), Millis(100));
    fleet.apply(&id("e"), Some(loaded(2, Some(1))), Millis(9000));
    assert_eq!(version(&fleet), Some(WeightVersion(1)));
    // News of an earlier run of the endpoint says nothing.
    assert!(fleet.apply_update(&news(9, None), Millis(9100)).is_none());
}

/// Guards against a record from before the endpoint's word that makes it usable again, and against a restarted endpoint
/// that stays left out.
#[test]
fn records_do_not_undo_leaving() {
    let id = id("e");
    let now = Millis(1000);
    let (mut fleet, mut other) = (EndpointTable::default(), EndpointTable::default());
    fleet.apply(&id, Some(record(1, 1)), now);
    other.apply(&id, Some(record(1, 1)), now);
    assert!(fleet.mark_leaving(&id, now));
    assert!(!fleet.mark_leaving(&id, now), "once is enough");
    let draining = |f: &EndpointTable| f.get(&id).is_some_and(|e| e.record.draining);
    fleet.apply(&id, Some(record(1, 2)), now);
    assert!(draining(&fleet));
    // Other entries learn it from a datagram.
    let told = other.merge_leaving(&fleet.leaving(now), now);
    assert!(told.len() == 1 && told[0] == id);
    assert!(draining(&other));
    fleet.apply(&id, Some(record(2, 1)), now);
    assert!(!draining(&fleet));
}
