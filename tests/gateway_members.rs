//! Membership of entries: heartbeats, the directory for callers, and the choice of zone readers.

use std::net::SocketAddr;

use sesamewing::{
    base::Millis,
    decide::residency::EntryScope,
    gateway::{CatalogVersion, Directory, Heartbeat, Membership, ReadTimes, Status, TableDigest},
};

fn addr(host: u8, port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host], port))
}

fn heartbeat(host: u8, zone: &str, count: u64) -> Heartbeat {
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
    let mut members = Membership::new(heartbeat(1, "a", 0));
    members.next_heartbeats(status(0), Millis(0));
    members
}

fn addresses(members: &Membership, zone: &str, now: Millis) -> Vec<SocketAddr> {
    let scope = EntryScope::default();
    let directory = Directory::for_caller(members, zone, &scope, Millis(5000), now);
    let mut out = directory.map(|a| a.addresses).unwrap_or_default();
    out.sort_unstable();
    out
}

/// Guards against callers that are sent to a failed entry, and against a recovered entry that is left out.
#[test]
fn failed_entries_are_left_out() {
    let mut members = members();
    members.merge(heartbeat(2, "a", 1), Millis(100));
    assert_eq!(addresses(&members, "a", Millis(200)).len(), 2);
    // A relayed heartbeat that is no newer does not renew the entry.
    assert!(!members.merge(heartbeat(2, "a", 1), Millis(2000)));
    assert_eq!(addresses(&members, "a", Millis(2100)), [addr(1, 2)]);
    assert!(members.merge(heartbeat(2, "a", 2), Millis(2200)));
    assert_eq!(addresses(&members, "a", Millis(2300)).len(), 2);
}

/// Guards against callers that are sent to an entry that drains.
#[test]
fn draining_entries_are_left_out() {
    let mut members = members();
    members.merge(heartbeat(2, "a", 1), Millis(100));
    let leaving = Heartbeat {
        status: Status::default(),
        ..heartbeat(2, "a", 2)
    };
    assert!(members.merge(leaving, Millis(150)));
    assert_eq!(addresses(&members, "a", Millis(200)), [addr(1, 2)]);
}

/// Guards against traffic between zones while a zone has enough entries, and against callers of a zone that get no
/// entry.
#[test]
fn own_zone_comes_first() {
    let mut members = members();
    members.merge(heartbeat(2, "a", 1), Millis(100));
    members.merge(heartbeat(3, "b", 1), Millis(100));
    assert_eq!(
        addresses(&members, "a", Millis(200)),
        [addr(1, 2), addr(2, 2)]
    );
    assert_eq!(addresses(&members, "b", Millis(200)).len(), 3);
}

/// Guards against an entry that keeps an old configuration although another one has the new one.
#[test]
fn newer_catalogs_are_found() {
    let mut members = members();
    members.merge(heartbeat(2, "a", 7), Millis(100));
    let newer = |than| members.newer_catalog(CatalogVersion(than), false, Millis(200));
    assert_eq!(newer(6), Some(addr(2, 1)));
    assert_eq!(newer(7), None);
}

/// Guards against a number of datagrams that grows with the square of the number of entries.
#[test]
fn many_entries_send_to_few() {
    let mut members = members();
    for host in 2..200 {
        let zone = ["a", "b", "c"][usize::from(host) % 3];
        members.merge(heartbeat(host, zone, 1), Millis(100));
    }
    assert!(members.gossip_targets(Millis(200)).len() <= 16);
    let heartbeats = members.next_heartbeats(status(1), Millis(200));
    assert!(heartbeats.len() <= 17, "{}", heartbeats.len());
}

/// Guards against an entry that starts while the store is away: it knows only its seed, and nobody else knows of it.
#[test]
fn joining_entries_learn_of_the_others() {
    for count in [3, 60] {
        let mut seed = members();
        for host in 2..count {
            seed.merge(heartbeat(host, "a", 1), Millis(100));
        }
        let later = Millis(60_000);
        for host in 2..count {
            seed.merge(heartbeat(host, "a", 2), later);
        }
        let joined = heartbeat(200, "z", 1);
        seed.merge(joined.clone(), later);
        seed.note_sender(joined.peer, later);
        assert!(seed.gossip_targets(later).contains(&joined.peer));
        let sent = seed.next_heartbeats(status(1), later);
        assert!(sent.contains(&joined), "{count}: the others hear of it");
        let others = sent.iter().filter(|h| h.peer != joined.peer);
        assert!(others.count() > 1, "{count}: it hears of the others");
    }
}

fn reader_heartbeat(host: u8, zone: &str, count: u64) -> Heartbeat {
    let status = Status {
        reads_store: true,
        table: TableDigest(count),
        ..status(1)
    };
    Heartbeat {
        status,
        ..heartbeat(host, zone, count)
    }
}

/// Guards against reads of the store that grow with the number of entries, and against a zone without a zone reader.
#[test]
fn two_entries_of_a_zone_read_the_store() {
    let readers = (1..=20).filter(|host| {
        let mut members = Membership::new(reader_heartbeat(*host, "a", 0));
        for other in (1..=20).filter(|o| o != host) {
            members.merge(reader_heartbeat(other, "a", 1), Millis(100));
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
        let mut members = Membership::new(reader_heartbeat(*host, zone(*host), 0));
        for other in (1..=20).filter(|o| o != host) {
            members.merge(reader_heartbeat(other, zone(other), 1), Millis(100));
        }
        members.is_zone_reader(Millis(200))
    });
    assert_eq!(readers.count(), zones.len());
}

/// Pattern: a version is loaded during an outage of the store. Guards against agents that notify no entry, so that
/// entries go on expecting the older version of endpoints that have loaded the new one.
#[test]
fn agents_notify_all_entries_without_zone_readers() {
    let mut members = members();
    for host in 2..20 {
        members.merge(heartbeat(host, "a", 1), Millis(100));
    }
    assert!(members.readers(Millis(200)).is_empty());
    assert_eq!(members.notify_targets("a", Millis(200)).len(), 19);
    members.merge(reader_heartbeat(2, "a", 2), Millis(200));
    assert_eq!(
        members.notify_targets("a", Millis(300)),
        members.readers(Millis(300))
    );
}

/// Guards against an entry that relies on zone readers that timed out or that the store no longer responds to.
#[test]
fn lost_readers_are_replaced() {
    let mut members = members();
    for host in 2..20 {
        members.merge(reader_heartbeat(host, "a", 1), Millis(100));
    }
    assert!(members.zone_reader(Millis(200)).is_some());
    // All time out.
    assert!(members.is_zone_reader(Millis(1000)));
    assert!(members.zone_reader(Millis(1000)).is_none());
    // They send heartbeats again, but the store does not respond to them.
    for host in 2..20 {
        members.merge(heartbeat(host, "a", 2), Millis(1100));
    }
    assert!(members.is_zone_reader(Millis(1200)));
}

/// Guards against repeated queries to a zone reader that does not respond.
#[test]
fn reader_in_backoff_is_skipped() {
    let mut members = members();
    members.merge(reader_heartbeat(2, "a", 1), Millis(100));
    members.merge(reader_heartbeat(3, "b", 1), Millis(100));
    let peer = |m: &Membership| m.zone_reader(Millis(200)).map(|b| b.peer);
    assert_eq!(peer(&members), Some(addr(2, 1)), "the own zone comes first");
    members.back_off(addr(2, 1), Millis(150));
    assert_eq!(peer(&members), Some(addr(3, 1)));
}

/// Guards against an entry that alone lost the store, and takes removals for expired records of endpoints that could not
/// renew them; and against one that drops such records after an outage of the store.
#[test]
fn outage_of_one_entry_is_told_from_that_of_the_store() {
    let reading = |count, reads_store| Heartbeat {
        status: Status {
            reads_store,
            ..status(count)
        },
        ..heartbeat(2, "a", count)
    };
    let outage = Millis(2300);
    let mut members = members();
    for count in 1..=10 {
        members.merge(reading(count, true), Millis(count * 250));
    }
    assert!(members.store_was_up(outage, Millis(2600)));
    // The other entry lost the store too, and has just got it back.
    members.merge(reading(11, false), Millis(2750));
    members.merge(reading(12, true), Millis(3000));
    assert!(!members.store_was_up(outage, Millis(3100)));
    // It may have lost the store while nothing was heard of it.
    for count in 13..=24 {
        members.merge(reading(count, true), Millis(count * 250));
    }
    assert!(members.store_was_up(outage, Millis(6000)));
    assert!(!members.store_was_up(outage, Millis(7000)));
    members.merge(reading(25, true), Millis(7100));
    assert!(!members.store_was_up(outage, Millis(7200)));
}

/// Guards against an entry that was paused, or cut off from all others, and therefore takes a removal for the effect of an
/// outage, although another entry read the store all the while; and against one that believes an entry which has only
/// just got the store back.
#[test]
fn readers_say_for_how_long_they_read() {
    let outage = Millis(2300);
    let mut members = members();
    let (first, second) = (reader_heartbeat(2, "a", 1), reader_heartbeat(2, "a", 20));
    members.merge_timed(first, Some(Millis(9000)), Millis(101_000));
    assert!(members.store_was_up(outage, Millis(101_100)));
    members.merge_timed(second, Some(Millis(14_000)), Millis(106_000));
    assert!(members.store_was_up(outage, Millis(106_100)));
    members.merge_timed(
        reader_heartbeat(2, "a", 21),
        Some(Millis(200)),
        Millis(106_250),
    );
    assert!(!members.store_was_up(outage, Millis(106_300)));
    let all = [members.me().clone(), reader_heartbeat(2, "a", 21)];
    let times = members.read_times(&all, Millis(70_000), Millis(106_350));
    assert_eq!(times.0, [ReadTimes::MAX, Millis(300)]);
}

/// Guards against an entry that takes what lay in its socket for the present state of another: the store may have been away
/// since; and against one that forgets a witness because that did not send its table.
#[test]
fn witnesses_count_from_arrival() {
    let (now, outage) = (Millis(100_000), Millis(2300));
    let mut members = members();
    let time = Some(Millis(9000));
    members.merge_waited(reader_heartbeat(2, "a", 1), time, Millis(900), now);
    assert!(!members.store_was_up(outage, now));
    members.merge_waited(reader_heartbeat(2, "a", 2), time, Millis(100), now);
    assert_eq!(members.store_up_since(now), Some(now - Millis(9100)));
    members.back_off(addr(2, 1), now);
    assert!(members.store_was_up(outage, now));
    assert!(!members.store_was_up(outage, now + Millis(700)));
}

/// Guards against an entry that gets no catalog as long as the entries of its zone that read the store do not send theirs,
/// or do not read catalogs yet.
#[test]
fn catalogs_come_from_other_zones_if_needed() {
    let mut members = members();
    let now = Millis(100_000);
    let newer = |m: &Membership| m.newer_catalog(CatalogVersion(0), false, now);
    members.merge_timed(reader_heartbeat(2, "a", 1), Some(Millis(300)), now);
    members.merge(heartbeat(3, "b", 5), now);
    assert_eq!(newer(&members), Some(addr(3, 1)), "the newest of all zones");
    members.merge_timed(reader_heartbeat(2, "a", 2), Some(Millis(9000)), now);
    assert_eq!(
        newer(&members),
        Some(addr(2, 1)),
        "the own zone has a reader"
    );
    let overdue = members.newer_catalog(CatalogVersion(0), true, now);
    assert_eq!(overdue, Some(addr(3, 1)), "the reader does not pass it on");
    members.back_off_catalog(addr(2, 1), now);
    assert_eq!(newer(&members), Some(addr(3, 1)), "the reader sent none");
}
