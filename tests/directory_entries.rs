//! Entries that the directory names: those in regions that the host's routes allow, and none that is gone.

mod gateway_support;

use std::{net::SocketAddr, thread, time::Duration};

use gateway_support::{
    addr,
    gateway::{catalog, settings, start_with, CALLERS},
    heartbeat, heartbeat_message, run_local, send_request, set_catalog, MemoryStore,
};
use sesamewing::{
    base::{Millis, Region, Zone},
    decide::residency::{AllowedRegions, EntryScope, ZoneRegions},
    gateway::{Catalog, CatalogVersion, DirectoryQuery, Heartbeat, Membership, Status, Topic},
};
use tokio::net::UdpSocket;

/// Time for which a process is held up: longer than callers may be sent to an entry after its end, and than the largest
/// age of a heartbeat.
const HELD: Duration = Duration::from_millis(4500);

fn region(name: &str) -> Region {
    name.parse().expect("a valid name")
}

fn zones() -> ZoneRegions {
    let pair =
        |(z, r): (&str, &str)| -> (Zone, Region) { (z.parse().expect("a valid name"), region(r)) };
    let pairs = [("a", "east"), ("a2", "east"), ("b", "west"), ("c", "north")];
    pairs.into_iter().map(pair).collect()
}

fn list(names: &[&str]) -> AllowedRegions {
    names.iter().map(|n| region(n)).collect()
}

fn ready() -> Status {
    Status {
        ready: true,
        catalog: CatalogVersion(1),
        ..Status::default()
    }
}

fn entry(n: u8, zone: &str, count: u64) -> Heartbeat {
    let peer = SocketAddr::from(([10, 0, 0, n], 1));
    heartbeat(peer, zone, count, ready())
}

/// Returns a membership with one entry each in the zones `a`, `a2`, `b`, `c` and `x`, which has no region.
fn members() -> Membership {
    let mut out = Membership::new(entry(1, "a", 0));
    out.next_heartbeats(ready(), Millis(0));
    for (n, zone) in (2..).zip(["a2", "b", "c", "x"]) {
        out.merge(entry(n, zone, 1), Millis(100));
    }
    out
}

/// Returns the numbers of the entries that are named.
fn named(members: &Membership, zone: &str, scope: &EntryScope<'_>, now: Millis) -> Vec<u8> {
    let addresses = members.addresses_within(zone, scope, 64, now);
    let number = |a: &SocketAddr| match a.ip() {
        std::net::IpAddr::V4(ip) => ip.octets()[3],
        std::net::IpAddr::V6(_) => 0,
    };
    let mut out: Vec<_> = addresses.iter().map(number).collect();
    out.sort_unstable();
    out
}

/// Guards against callers of a restricted host that are sent to a region that a route does not allow, and against callers
/// of other hosts that get fewer entries than before.
#[test]
fn restricted_hosts_get_allowed_entries() {
    let (map, members, now) = (zones(), members(), Millis(200));
    let (west, two, none) = (list(&["west"]), list(&["west", "north"]), list(&[]));
    let of = |home, zone, lists: &[&AllowedRegions]| {
        let scope = EntryScope::new(&map, home, zone, Some(lists.to_vec()));
        named(&members, zone, &scope, now)
    };
    assert_eq!(of("west", "b", &[]), [1, 2, 3, 4, 5]);
    assert_eq!(of("west", "b", &[&west]), [3]);
    assert_eq!(of("north", "c", &[&west]), [3, 4]);
    assert_eq!(of("north", "c", &[&two]), [3, 4]);
    assert_eq!(of("north", "c", &[&two, &west]), [3, 4]);
    assert_eq!(of("west", "b", &[&two]), [3, 4]);
    assert_eq!(of("west", "b", &[&two, &none]), [3]);
    // The own region has enough.
    assert_eq!(of("east", "a", &[&two]), [1, 2]);
    assert_eq!(of("", "a", &[&two]), [1, 2]);
    // A caller of an unknown region, or of none, gets what all routes allow.
    assert_eq!(of("moon", "m", &[&west]), [3]);
    assert_eq!(of("", "x", &[&two]), [3, 4]);
    assert_eq!(of("", "", &[&none]), [] as [u8; 0]);
}

/// Guards against an entry that has no catalog yet, so that it knows of no restriction, and sends callers elsewhere.
#[test]
fn unknown_routes_prefer_the_own_region() {
    let (map, members, now) = (zones(), members(), Millis(200));
    let of = |home, zone| {
        let scope = EntryScope::new(&map, home, zone, None);
        named(&members, zone, &scope, now)
    };
    assert_eq!(of("east", "a"), [1, 2]);
    assert_eq!(of("moon", "m"), [1, 2, 3, 4, 5]);
}

/// Guards against a query of which a part is lost.
#[test]
fn queries_are_parsed() {
    let full = DirectoryQuery {
        host: "h.example",
        region: "east",
        zone: "a",
    };
    let parse = DirectoryQuery::parse;
    assert_eq!(parse("name=h.example&region=east&zone=a"), full);
    assert_eq!(parse("zone=a&x&more=1&name=h.example&region=east"), full);
    let zone = DirectoryQuery {
        zone: "a",
        ..DirectoryQuery::default()
    };
    assert_eq!(parse("zone=a&zone=b&rename=h"), zone);
    assert_eq!(parse(""), DirectoryQuery::default());
}

/// Guards against callers that are sent to an entry that is gone but announced: the store keeps the announcement of an
/// entry that ended, and an entry that starts reads it.
#[test]
fn announcements_do_not_suffice() {
    let mut members = members();
    members.announce(entry(9, "a", 7), Millis(150));
    let any = EntryScope::default();
    assert!(!named(&members, "b", &any, Millis(200)).contains(&9));
    members.merge(entry(9, "a", 8), Millis(250));
    assert!(named(&members, "b", &any, Millis(300)).contains(&9));
}

/// Guards against callers that are sent to an entry that ended while this process was held up, because its heartbeats lay
/// in the socket, and against other entries that learn of it from this one.
#[test]
fn old_heartbeats_do_not_suffice() {
    let mut members = Membership::new(entry(1, "a", 0));
    let now = Millis(20_000);
    members.merge_waited(entry(2, "b", 1), None, Millis(9000), now);
    members.merge_waited(entry(3, "b", 1), None, Millis(100), now);
    members.merge_waited(entry(4, "b", 1), None, Millis(2500), now);
    let any = EntryScope::default();
    assert_eq!(named(&members, "b", &any, now), [3, 4]);
    let relayed = members.next_heartbeats(ready(), now);
    let relayed: Vec<_> = relayed.iter().map(|h| h.peer).collect();
    assert_eq!(relayed, [entry(1, "a", 0).peer, entry(3, "b", 1).peer]);
    members.merge(entry(2, "b", 2), now + Millis(100));
    assert!(named(&members, "b", &any, now + Millis(200)).contains(&2));
}

/// Returns a catalog of which all routes of `h.example` allow one region, and those of `free.example` all.
fn restricted() -> Catalog {
    let mut out = catalog();
    let free = out.routes.values().flatten().next().cloned();
    for r in out.routes.values_mut().flatten() {
        let west = std::rc::Rc::new(list(&["west"]));
        std::rc::Rc::make_mut(r).allowed_regions = Some(west);
    }
    out.add_route("free.example", (*free.expect("a route")).clone());
    out
}

async fn start() {
    set_catalog(restricted());
    let store = MemoryStore::default();
    store.write(Topic::Operator, "config", "1");
    let mut settings = settings();
    settings.zones = zones();
    start_with(settings, store).await;
}

/// Asks the directory; returns whether it names the entries of each host.
async fn ask(query: &str, hosts: &[u8]) -> Vec<bool> {
    let text = format!("GET /where?{query} HTTP/1.0\r\n\r\n");
    let response = send_request(addr(1, 8003), &text, 1000).await;
    let names = |n: &u8| response.contains(&addr(*n, CALLERS).to_string());
    hosts.iter().map(names).collect()
}

/// Sends a heartbeat of the entry on host `n` to the first entry.
async fn beat(n: u8, zone: &str, count: u64) {
    let socket = UdpSocket::bind(addr(n, 0)).await.expect("a socket");
    let message = heartbeat_message(heartbeat(addr(n, 8004), zone, count, ready()));
    let data = postcard::to_stdvec(&message).expect("encoded");
    socket.send_to(&data, addr(1, 8004)).await.expect("sent");
}

/// Guards against a directory that does not see the host, or the region, in the query.
#[test]
fn directory_follows_the_host() {
    run_local(async {
        start().await;
        for (n, zone) in [(2, "b"), (3, "b"), (4, "c")] {
            beat(n, zone, 1).await;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
        let all = [1, 2, 3, 4];
        let west = ask("name=h.example&region=west&zone=b", &all).await;
        assert_eq!(west, [false, true, true, false]);
        let north = ask("name=H.example:80&region=north&zone=n", &all).await;
        assert_eq!(north, [false, true, true, true]);
        for host in ["free.example", "nobody.example", ""] {
            let query = format!("name={host}&region=north&zone=n");
            assert_eq!(ask(&query, &all).await, [true; 4], "{host}");
        }
    });
}

/// Guards against an entry that ended while the process was held up and that is named afterwards.
#[test]
fn gone_entries_are_not_named_after_a_pause() {
    run_local(async {
        start().await;
        beat(2, "a", 1).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert_eq!(ask("zone=a", &[1, 2]).await, [true, true]);
        beat(2, "a", 2).await;
        thread::sleep(HELD);
        for _ in 0..20 {
            assert_eq!(ask("zone=a", &[1, 2]).await, [true, false]);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    });
}
