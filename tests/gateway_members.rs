//! Entries that callers are sent to.

use std::net::SocketAddr;

use sesamewing::{
    base::Millis,
    gateway::{CatalogVersion, Directory, Heartbeat, Membership, Status, TableDigest},
};

fn addr(host: u8, port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host], port))
}

fn beat(host: u8, zone: &str, count: u64) -> Heartbeat {
    Heartbeat {
        peer: addr(host, 1),
        callers: addr(host, 2),
        zone: zone.parse().expect("a valid name"),
        boot: 1,
        count,
        status: status(count),
    }
}

fn status(catalog: u64) -> Status {
    Status {
        ready: true,
        catalog: CatalogVersion(catalog),
        ..Status::default()
    }
}

fn members() -> Membership {
    let mut members = Membership::new(beat(1, "a", 0));
    members.next_heartbeats(status(0), Millis(0));
    members
}

fn answer(members: &Membership, zone: &str, now: Millis) -> Vec<SocketAddr> {
    let answer = Directory::for_caller(members, zone, Millis(5000), now);
    let mut out = answer.map(|a| a.addresses).unwrap_or_default();
    out.sort_unstable();
    out
}

/// Guards against callers that are sent to an entry that is gone, and against one that came back and is left out.
#[test]
fn silent_entries_are_left_out() {
    let mut members = members();
    members.merge(beat(2, "a", 1), Millis(100));
    assert_eq!(answer(&members, "a", Millis(200)).len(), 2);
    // A beat that was heard before says nothing, whoever repeats it.
    assert!(!members.merge(beat(2, "a", 1), Millis(2000)));
    assert_eq!(answer(&members, "a", Millis(2100)), [addr(1, 2)]);
    assert!(members.merge(beat(2, "a", 2), Millis(2200)));
    assert_eq!(answer(&members, "a", Millis(2300)).len(), 2);
}

/// Guards against callers that are sent to an entry that drains.
#[test]
fn draining_entries_are_left_out() {
    let mut members = members();
    members.merge(beat(2, "a", 1), Millis(100));
    let leaving = Heartbeat {
        status: Status::default(),
        ..beat(2, "a", 2)
    };
    assert!(members.merge(leaving, Millis(150)));
    assert_eq!(answer(&members, "a", Millis(200)), [addr(1, 2)]);
}

/// Guards against traffic between zones while a zone has entries enough, and against a zone without callers' entries.
#[test]
fn zones_come_first() {
    let mut members = members();
    members.merge(beat(2, "a", 1), Millis(100));
    members.merge(beat(3, "b", 1), Millis(100));
    assert_eq!(answer(&members, "a", Millis(200)), [addr(1, 2), addr(2, 2)]);
    assert_eq!(answer(&members, "b", Millis(200)).len(), 3);
}

/// Guards against an entry that keeps an old configuration although another one has the new one.
#[test]
fn newer_catalogs_are_found() {
    let mut members = members();
    members.merge(beat(2, "a", 7), Millis(100));
    let newer = |than| members.newer_catalog(CatalogVersion(than), Millis(200));
    assert_eq!(newer(6), Some(addr(2, 1)));
    assert_eq!(newer(7), None);
}

/// Guards against messages that grow with the square of a large number of entries.
#[test]
fn many_entries_send_to_few() {
    let mut members = members();
    for host in 2..200 {
        let zone = ["a", "b", "c"][usize::from(host) % 3];
        members.merge(beat(host, zone, 1), Millis(100));
    }
    assert!(members.gossip_targets(Millis(200)).len() <= 16);
    let beats = members.next_heartbeats(status(1), Millis(200));
    assert!(beats.len() <= 17, "{}", beats.len());
}

fn reading(host: u8, zone: &str, count: u64) -> Heartbeat {
    let status = Status {
        reads_store: true,
        table: TableDigest(count),
        ..status(1)
    };
    Heartbeat {
        status,
        ..beat(host, zone, count)
    }
}

/// Guards against reads of the store that grow with the number of entries, and against a zone in which nobody reads.
#[test]
fn two_of_zone_read() {
    let readers = (1..=20).filter(|host| {
        let mut members = Membership::new(reading(*host, "a", 0));
        for other in (1..=20).filter(|o| o != host) {
            members.merge(reading(other, "a", 1), Millis(100));
        }
        members.is_zone_reader(Millis(200))
    });
    assert_eq!(readers.count(), 2);
}

/// Guards against reads of the store that grow with the number of zones.
#[test]
fn one_of_each_zone_reads_where_zones_are_many() {
    let zones = ["a", "b", "c", "d", "e"];
    let zone = |host: u8| zones[usize::from(host) % zones.len()];
    let readers = (1..=20).filter(|host| {
        let mut members = Membership::new(reading(*host, zone(*host), 0));
        for other in (1..=20).filter(|o| o != host) {
            members.merge(reading(other, zone(other), 1), Millis(100));
        }
        members.is_zone_reader(Millis(200))
    });
    assert_eq!(readers.count(), zones.len());
}

/// Pattern: a version is loaded while the store is away. Guards against entries that learn from no agent which endpoints
/// loaded it, and go on naming the older version to them.
#[test]
fn agents_tell_all_entries_while_nobody_reads() {
    let mut members = members();
    for host in 2..20 {
        members.merge(beat(host, "a", 1), Millis(100));
    }
    assert!(members.readers(Millis(200)).is_empty());
    assert_eq!(members.notify_targets("a", Millis(200)).len(), 19);
    members.merge(reading(2, "a", 2), Millis(200));
    assert_eq!(
        members.notify_targets("a", Millis(300)),
        members.readers(Millis(300))
    );
}

/// Guards against an entry that relies on others which no longer get answers from the store, or fell silent.
#[test]
fn lost_readers_are_replaced() {
    let mut members = members();
    for host in 2..20 {
        members.merge(reading(host, "a", 1), Millis(100));
    }
    assert!(members.zone_reader(Millis(200)).is_some());
    // All fall silent.
    assert!(members.is_zone_reader(Millis(1000)));
    assert!(members.zone_reader(Millis(1000)).is_none());
    // They beat again, but the store does not answer them.
    for host in 2..20 {
        members.merge(beat(host, "a", 2), Millis(1100));
    }
    assert!(members.is_zone_reader(Millis(1200)));
}

/// Guards against an entry that asks one that does not answer again and again.
#[test]
fn silent_reader_is_passed_over() {
    let mut members = members();
    members.merge(reading(2, "a", 1), Millis(100));
    members.merge(reading(3, "b", 1), Millis(100));
    let peer = |m: &Membership| m.zone_reader(Millis(200)).map(|b| b.peer);
    assert_eq!(peer(&members), Some(addr(2, 1)), "the own zone comes first");
    members.back_off(addr(2, 1), Millis(150));
    assert_eq!(peer(&members), Some(addr(3, 1)));
}
