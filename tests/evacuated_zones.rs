//! Evacuated zones as one process knows them: reads, copies, logs that begin anew, and the share of a zone put back.

use sesamewing::{
    base::{Millis, Zone},
    decide::evacuation::{Evacuation, EvacuationCopy, EvacuationRead, ZoneChange, RAMP_TIME},
};

const NOW: Millis = Millis(100_000);

fn zone(text: &str) -> Zone {
    text.parse().expect("a valid name")
}

/// Returns a read up to a position of all records that are in force.
fn whole(position: u64, zones: &[&str]) -> EvacuationRead {
    EvacuationRead {
        whole: true,
        ..news(position, zones, true)
    }
}

/// Returns a read up to a position of records that evacuate zones or put them back.
fn news(position: u64, zones: &[&str], evacuated: bool) -> EvacuationRead {
    EvacuationRead {
        position,
        age: Some(Millis::ZERO),
        whole: false,
        zones: zones.iter().map(|z| (zone(z), evacuated)).collect(),
    }
}

fn copy(position: u64, zones: &[&str], age: Millis) -> EvacuationCopy {
    EvacuationCopy {
        position,
        age,
        zones: zones.iter().map(|z| zone(z)).collect(),
        restored: Vec::new(),
    }
}

/// Load: steady. Guards against an evacuation that ends with the next unrelated record, or that outlasts the removal of
/// its record.
#[test]
fn zone_stays_until_its_record_is_removed() {
    let mut zones = Evacuation::default();
    assert!(!zones.is_known());
    assert!(zones.apply(whole(3, &[]), NOW).is_empty());
    assert!(zones.is_known());
    let changes = zones.apply(news(4, &["a"], true), NOW);
    assert_eq!(changes, [(zone("a"), ZoneChange::Evacuated)]);
    assert!(zones.apply(news(9, &[], true), NOW).is_empty());
    assert!(zones.contains(&zone("a")) && !zones.contains(&zone("b")));
    let changes = zones.apply(news(10, &["a"], false), NOW);
    assert_eq!(changes, [(zone("a"), ZoneChange::Restored)]);
    assert_eq!(zones.count(), 0);
}

/// Load: after an outage of the store. Guards against a zone that stays evacuated because the read of the newest records
/// does not contain a removed key.
#[test]
fn absent_record_puts_a_zone_back() {
    let mut zones = Evacuation::default();
    zones.apply(whole(3, &["a", "b"]), NOW);
    let changes = zones.apply(whole(7, &["b"]), NOW + Millis(9000));
    assert_eq!(changes, [(zone("a"), ZoneChange::Restored)]);
    assert!(zones.contains(&zone("b")));
}

/// Load: entries that lag behind. Guards against an older copy, or an own read that is behind, which undoes a newer state.
#[test]
fn older_state_never_replaces_a_newer_one() {
    let mut zones = Evacuation::default();
    zones.apply(whole(5, &[]), NOW);
    let changes = zones.merge(copy(6, &["a"], Millis(40)), NOW);
    assert_eq!(changes.len(), 1);
    assert!(zones.merge(copy(5, &[], Millis(40)), NOW).is_empty());
    // Copied long ago and only delivered now.
    let late = NOW + Millis(60_000);
    let old = copy(5, &[], Millis(60_100));
    assert!(zones.merge(old, late).is_empty());
    // A page of a backlog, which does not reach the end of the log.
    let page = EvacuationRead {
        age: None,
        ..news(4, &["c"], false)
    };
    assert!(zones.apply(page, late).is_empty());
    assert!(zones.contains(&zone("a")));
    // Its last page.
    assert!(zones.apply(news(6, &["a"], true), late).is_empty());
    assert!(zones.contains(&zone("a")));
}

/// Load: a store that lost its log. Guards against entries that keep to the old log's zones for good, and against a copy of
/// the old log that comes back from an entry which has not heard yet.
#[test]
fn log_that_begins_anew_replaces_the_old_one() {
    let mut zones = Evacuation::default();
    zones.apply(whole(50, &["a"]), NOW);
    let later = NOW + Millis(20_000);
    let changes = zones.merge(copy(2, &["b"], Millis(100)), later);
    assert_eq!(changes.len(), 2);
    assert!(zones.merge(copy(50, &["a"], Millis(500)), later).is_empty());
    assert!(zones.contains(&zone("b")) && !zones.contains(&zone("a")));
    zones.merge(copy(3, &[], Millis::ZERO), later + Millis(100));
    assert_eq!(zones.count(), 0);
}

/// Load: a zone put back with cold endpoints. Guards against its full share at once, against a ramp that never ends, and
/// against an entry that starts meanwhile and gives the zone its full share.
#[test]
fn share_rises_after_the_zone_is_put_back() {
    let mut zones = Evacuation::default();
    let a = zone("a");
    zones.apply(whole(1, &["a"]), NOW);
    assert_eq!(zones.share(&a, NOW), 0.0);
    zones.apply(news(2, &["a"], false), NOW);
    let share = |ms| zones.share(&a, NOW + Millis(ms));
    assert!(share(0) > 0.0 && share(0) < 0.1, "{}", share(0));
    assert!(share(2000) < share(5000) && share(5000) < 0.6);
    assert_eq!(zones.share(&a, NOW + RAMP_TIME), 1.0);
    assert_eq!(zones.share(&zone("b"), NOW), 1.0);
    let mut other = Evacuation::default();
    other.apply(whole(2, &[]), NOW);
    let sent = zones.copy(NOW + Millis(3000)).expect("a state");
    other.merge(sent, NOW);
    assert_eq!(other.share(&a, NOW), zones.share(&a, NOW + Millis(3000)));
    // Evacuated once more, it gets nothing.
    zones.apply(news(3, &["a"], true), NOW + Millis(4000));
    assert_eq!(zones.share(&a, NOW + Millis(4000)), 0.0);
}

/// Guards against processes that take different zones beyond the bound, by whether they followed the log or read the newest
/// records.
#[test]
fn the_same_zones_are_evacuated_everywhere() {
    let names: Vec<String> = (0..33).map(|i| format!("zone-{i:02}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut follower = Evacuation::default();
    follower.apply(whole(33, &names), NOW);
    follower.apply(news(34, &names[..1], false), NOW);
    let mut starter = Evacuation::default();
    starter.apply(whole(34, &names[1..]), NOW);
    for name in names {
        let zone = zone(name);
        assert_eq!(follower.contains(&zone), starter.contains(&zone), "{name}");
    }
}

/// Load: an operator's tool that writes many records. Guards against datagrams that grow with the number of records until
/// no heartbeat arrives any more.
#[test]
fn number_of_zones_is_bounded() {
    let mut zones = Evacuation::default();
    let names: Vec<String> = (0..40).map(|i| format!("zone-{i}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let changes = zones.apply(whole(40, &names), NOW);
    let ignored = changes.iter().filter(|c| c.1 == ZoneChange::Ignored);
    assert_eq!((zones.count(), ignored.count()), (32, 8));
    let sent = zones.copy(NOW).expect("a state");
    assert!(postcard::to_stdvec(&sent).expect("encoded").len() < 3000);
}
