//! Copies of the evacuated zones between entries: how soon all have them, and datagrams of older and newer builds.

mod gateway_support;

use std::net::SocketAddr;

use gateway_support::{heartbeat, heartbeat_message};
use sesamewing::{
    base::{HashMap, Millis, Zone},
    decide::evacuation::{Evacuation, EvacuationCopy, EvacuationRead},
    gateway::{
        Appended, CatalogVersion, Heartbeat, Membership, Message, ReadTimes, Status, TableDigest,
    },
};

const START: Millis = Millis(100_000);

/// Time from which no entry counts as one that joined lately.
const SETTLED: Millis = Millis(START.0 + 3000);

/// Interval of the datagrams.
const INTERVAL: Millis = Millis(250);

/// Time after which all entries must know; the bound is 5 s.
const LIMIT: Millis = Millis(2500);

fn zone(text: &str) -> Zone {
    text.parse().expect("a valid name")
}

fn status() -> Status {
    Status {
        ready: true,
        catalog: CatalogVersion(1),
        reads_store: false,
        table: TableDigest(1),
    }
}

fn peer(i: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (i / 200) as u8, (i % 200) as u8], 80))
}

fn beat(i: usize, count: u64) -> Heartbeat {
    heartbeat(peer(i), ["a", "b", "c"][i % 3], count, status())
}

fn whole(position: u64, names: &[&str]) -> EvacuationRead {
    EvacuationRead {
        position,
        age: Some(Millis::ZERO),
        whole: true,
        zones: names.iter().map(|z| (zone(z), true)).collect(),
    }
}

/// Returns the time until all of `entries` entries know of an evacuation that one of them read, while one datagram in five
/// is lost.
fn spread_time(entries: usize) -> Millis {
    let index: HashMap<_, _> = (0..entries).map(|i| (peer(i), i)).collect();
    let mut members: Vec<_> = (0..entries).map(|i| Membership::new(beat(i, 1))).collect();
    let mut zones: Vec<_> = (0..entries).map(|_| Evacuation::default()).collect();
    for (i, own) in members.iter_mut().enumerate() {
        for other in (0..entries).filter(|other| *other != i) {
            own.merge(beat(other, 1), START);
        }
        zones[i].apply(whole(1, &[]), START);
    }
    let mut now = START;
    // Heartbeats of entries that joined lately are relayed to more entries.
    while now < SETTLED {
        now += INTERVAL;
        exchange(&mut members, &mut zones, &index, now);
    }
    zones[0].apply(whole(2, &["a"]), now);
    while zones.iter().any(|z| z.count() == 0) {
        now += INTERVAL;
        assert!(now <= SETTLED + LIMIT, "{entries} entries");
        exchange(&mut members, &mut zones, &index, now);
    }
    now - SETTLED
}

/// Makes each entry send a datagram; each one leaves before any of the others arrives.
fn exchange(
    members: &mut [Membership],
    zones: &mut [Evacuation],
    index: &HashMap<SocketAddr, usize>,
    now: Millis,
) {
    let mut sent = Vec::new();
    for (own, zones) in members.iter_mut().zip(&*zones) {
        let copy = zones.copy(now).expect("a state");
        sent.push((
            copy,
            own.next_heartbeats(status(), now),
            own.gossip_targets(now),
        ));
    }
    for (copy, beats, targets) in sent {
        for target in targets.into_iter().filter(|_| fastrand::u8(..5) > 0) {
            let to = index[&target];
            zones[to].merge(copy.clone(), now);
            for beat in &beats {
                members[to].merge(beat.clone(), now);
            }
        }
    }
}

/// Load: one entry alone has read the record, and datagrams are lost. Guards against entries that learn of an evacuation
/// after the bound where heartbeats do not go to all.
#[test]
fn copies_reach_all_entries() {
    for entries in [1, 9, 48, 410] {
        let time = spread_time(entries);
        println!("{entries} entries: {time}");
    }
}

fn copy() -> EvacuationCopy {
    let mut zones = Evacuation::default();
    zones.apply(whole(7, &["a", "b"]), START);
    zones.copy(START).expect("a state")
}

/// Guards against a datagram that an older build rejects, or takes for other times, because of what follows them.
#[test]
fn older_builds_read_new_datagrams() {
    let message = heartbeat_message(beat(0, 1));
    let times = ReadTimes(vec![Millis(400)]);
    let data = postcard::to_stdvec(&(message.clone(), &times, copy())).expect("encoded");
    // An older build decodes a message, then the times from all that follows.
    let (found, rest) = postcard::take_from_bytes::<Message>(&data).expect("a message");
    assert_eq!(found, message);
    assert_eq!(postcard::from_bytes::<ReadTimes>(rest), Ok(times));
}

/// Guards against a datagram of an older build that counts as one without evacuated zones, so that it ends evacuations.
#[test]
fn older_datagrams_say_nothing_of_zones() {
    let message = heartbeat_message(beat(0, 1));
    let times = ReadTimes(vec![Millis(400)]);
    let data = postcard::to_stdvec(&(&message, &times)).expect("encoded");
    let (_, appended) = Message::decode(&data).expect("a message");
    assert_eq!((appended.times, appended.evacuation), (times.clone(), None));
    let data = postcard::to_stdvec(&message).expect("encoded");
    let (_, appended) = Message::decode(&data).expect("a message");
    assert_eq!(appended, Appended::default());
    let data = postcard::to_stdvec(&(&message, &times, copy())).expect("encoded");
    let (_, appended) = Message::decode(&data).expect("a message");
    assert_eq!((appended.times, appended.evacuation), (times, Some(copy())));
}

/// Guards against a copy of all zones that makes datagrams costly: they go out four times a second to up to 16 entries.
#[test]
fn copies_are_small() {
    let size = |names: &[&str]| {
        let mut zones = Evacuation::default();
        zones.apply(whole(1_000_000, names), START);
        let copy = zones.copy(START + Millis(5000)).expect("a state");
        postcard::to_stdvec(&copy).expect("encoded").len()
    };
    assert!(size(&[]) <= 8, "{}", size(&[]));
    let one = size(&["region-a-1"]) - size(&[]);
    assert!(one <= 11, "{one}");
}
