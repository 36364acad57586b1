//! Load patterns of the gateway: where requests go and when they are refused.

use std::rc::Rc;

use sesamewing::{
    base::{HashSet, Millis, Zone},
    gateway::{
        Ask, Balance, Endpoint, EndpointId, EndpointRecord, Fleet, Loads, Named, Outcome, Refusal,
        Revision, Turns, Wanted, WeightVersion,
    },
};

const MODEL: &str = "m";
const SLOTS: u32 = 4;
const NOW: Millis = Millis(100_000);
const BOUND: Millis = Millis(8000);

fn zone(text: &str) -> Zone {
    text.parse().expect("a valid name")
}

fn name(i: usize) -> EndpointId {
    format!("e{i}").parse().expect("any text is an id")
}

/// A fleet of engines with version 1, in zones `a` and `b` by turns.
fn fleet(count: usize) -> Fleet {
    let mut fleet = Fleet::default();
    for i in 0..count {
        let record = EndpointRecord {
            service: "llm".parse().expect("a valid name"),
            addr: format!("10.0.0.{i}:80").parse().expect("a valid address"),
            zone: zone(if i % 2 == 0 { "a" } else { "b" }),
            slots: SLOTS,
            draining: false,
            cold: Millis::ZERO,
            models: vec![(Rc::from(MODEL), WeightVersion(1))],
            revision: Revision::default(),
        };
        fleet.apply(&name(i), Some(record), NOW);
    }
    fleet
}

fn ask<'a>(zone: &'a Zone, homes: &'a HashSet<EndpointId>) -> Ask<'a> {
    Ask {
        zone,
        weights: Some(Wanted {
            model: MODEL,
            loads: None,
            oldest: WeightVersion(0),
            waiting: WeightVersion(0),
        }),
        exact: None,
        tried: &[],
        homes,
        read_rate: None,
        duration: Millis(1000),
    }
}

fn all(fleet: &Fleet) -> impl Iterator<Item = &Endpoint> {
    fleet.iter()
}

/// Sends requests until one is refused; returns their number.
fn fill(balance: &mut Balance, fleet: &Fleet, ask: &Ask<'_>) -> (u32, Refusal) {
    for sent in 0..1000 {
        match balance.pick(all(fleet), ask, NOW) {
            Ok(e) => balance.begin(&e.id.clone(), 0, NOW),
            Err(refusal) => return (sent, refusal),
        }
    }
    panic!("no request was refused");
}

/// Pattern: more requests than can be served in time. Guards against queues in which all requests become late, and
/// against refusals while slots are free.
#[test]
fn overload_is_refused_beyond_the_slots() {
    let (mut balance, fleet, home) = (Balance::default(), fleet(4), zone("a"));
    let none = HashSet::default();
    let (sent, refusal) = fill(&mut balance, &fleet, &ask(&home, &none));
    assert_eq!(sent, 4 * SLOTS);
    let Refusal::Overloaded(retry) = refusal else {
        panic!("{refusal:?}");
    };
    assert!(retry > Millis(100) && retry < Millis(2000), "{retry}");
}

/// Pattern: steady load. Guards against a zone's traffic that crosses to other zones while its own has room.
#[test]
fn light_load_stays_in_the_zone() {
    let (mut balance, fleet, home) = (Balance::default(), fleet(4), zone("a"));
    let none = HashSet::default();
    let near = (0..100).filter(|_| {
        let e = balance.pick(all(&fleet), &ask(&home, &none), NOW);
        e.is_ok_and(|e| e.record.zone == home)
    });
    assert!(near.count() > 80);
}

/// Pattern: an endpoint turns requests away. Guards against a second request to an endpoint that just refused one, and
/// against an endpoint that stays avoided after it said that it takes requests again.
#[test]
fn refusing_endpoints_are_passed_over() {
    let (mut balance, fleet, home) = (Balance::default(), fleet(1), zone("a"));
    let none = HashSet::default();
    let e = name(0);
    balance.begin(&e, 0, NOW);
    balance.end(&e, Outcome::Refused, NOW);
    let pick = |b: &mut Balance, now| b.pick(all(&fleet), &ask(&home, &none), now).is_ok();
    assert!(!pick(&mut balance, NOW + Millis(50)));
    assert!(pick(&mut balance, NOW + Millis(1000)));
    balance.begin(&e, 0, NOW);
    balance.end(&e, Outcome::Refused, NOW);
    balance.recover(&e);
    assert!(pick(&mut balance, NOW + Millis(1)));
}

/// Pattern: an endpoint fails part of its requests. Guards against a grey endpoint that keeps its share of traffic.
#[test]
fn failing_endpoints_lose_traffic() {
    let (mut balance, fleet, home) = (Balance::default(), fleet(3), zone("a"));
    let none = HashSet::default();
    let grey = name(0);
    for i in 0..20 {
        balance.begin(&grey, 0, NOW);
        let outcome = if i % 2 == 0 {
            Outcome::Failed
        } else {
            Outcome::Served
        };
        balance.end(&grey, outcome, NOW);
    }
    let hits = (0..100).filter(|_| {
        let e = balance.pick(all(&fleet), &ask(&home, &none), NOW);
        e.is_ok_and(|e| e.id == grey)
    });
    assert!(hits.count() < 10);
}

/// Guards against requests that begin on a version that must no longer begin, and against streams that continue on
/// another version than they began on.
#[test]
fn versions_bind() {
    let (mut balance, fleet, home) = (Balance::default(), fleet(2), zone("a"));
    let none = HashSet::default();
    let plain = ask(&home, &none);
    let wanted = plain.weights.expect("a model is asked for");
    let newer = Ask {
        weights: Some(Wanted {
            oldest: WeightVersion(2),
            ..wanted
        }),
        ..plain.clone()
    };
    let refused = balance.pick(all(&fleet), &newer, NOW);
    assert!(matches!(refused, Err(Refusal::Unavailable(_))));
    // A response shows the new version before the record does.
    let loaded = name(1);
    balance.begin(&loaded, 0, NOW);
    balance.report(&loaded, None, Some(WeightVersion(2)), NOW);
    let found = balance.pick(all(&fleet), &newer, NOW).map(|e| e.id.clone());
    assert_eq!(found, Ok(loaded));
    let exact = Ask {
        exact: Some(WeightVersion(1)),
        ..plain
    };
    let found = balance.pick(all(&fleet), &exact, NOW).map(|e| e.id.clone());
    assert_eq!(found, Ok(name(0)));
}

/// Pattern: a new version is named. Guards against long requests at an endpoint whose turn to load is near: it would
/// stand still with empty slots until the last of them ends.
#[test]
fn long_requests_avoid_endpoints_that_load_soon() {
    let (mut balance, fleet, home) = (Balance::default(), fleet(8), zone("a"));
    let none = HashSet::default();
    let mut named = Named::default();
    named.name(WeightVersion(2), NOW);
    let turns = Turns::new(
        &fleet,
        &"llm".parse().expect("a valid name"),
        WeightVersion(2),
        None,
    );
    let turn = |e: &Endpoint| {
        turns
            .turn(e, WeightVersion(1), &named, BOUND)
            .expect("a turn")
    };
    let mut order: Vec<_> = fleet.iter().collect();
    order.sort_by_key(|e| turn(e));
    let (first, last) = (order[0], order[7]);
    let now = Millis(turn(first).0 - 200);
    let long = Ask {
        weights: Some(Wanted {
            model: MODEL,
            loads: Some(Loads {
                turns: &turns,
                named: &named,
                bound: BOUND,
            }),
            oldest: WeightVersion(0),
            waiting: WeightVersion(0),
        }),
        ..ask(&home, &none)
    };
    let mut pick = |ask: &Ask<'_>| {
        let two = [first, last].into_iter();
        balance.pick(two, ask, now).map(|e| e.id.clone())
    };
    assert!((0..20).all(|_| pick(&long).as_ref() == Ok(&last.id)));
    let short = Ask {
        duration: Millis(50),
        ..long.clone()
    };
    let short_hits = (0..40).filter(|_| pick(&short).as_ref() == Ok(&first.id));
    let same_zone = first.record.zone == last.record.zone;
    assert!(short_hits.count() > 0 || !same_zone);
}
