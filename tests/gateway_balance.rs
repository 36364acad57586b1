//! Load patterns of the gateway: where requests go and when they are refused.

use std::rc::Rc;

use sesamewing::{
    base::{HashSet, Millis, Zone},
    gateway::{
        DesiredVersions, Endpoint, EndpointId, EndpointQuery, EndpointRecord, EndpointTable,
        LoadBalancer, LoadSchedule, Outcome, PendingLoads, Refusal, Revision, WeightRequirement,
        WeightVersion,
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
fn fleet(count: usize) -> EndpointTable {
    let mut fleet = EndpointTable::default();
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

fn ask<'a>(zone: &'a Zone, homes: &'a HashSet<EndpointId>) -> EndpointQuery<'a> {
    EndpointQuery {
        zone,
        weights: Some(WeightRequirement {
            model: MODEL,
            pending: None,
            oldest: WeightVersion(0),
            oldest_queued: WeightVersion(0),
        }),
        exact: None,
        tried: &[],
        owned: homes,
        read_rate: None,
        retrying: false,
        duration: Millis(1000),
    }
}

/// The same request that must begin on a version or a newer one.
fn beginning_at<'a>(plain: &EndpointQuery<'a>, oldest: WeightVersion) -> EndpointQuery<'a> {
    let wanted = plain.weights.expect("a model is asked for");
    EndpointQuery {
        weights: Some(WeightRequirement { oldest, ..wanted }),
        ..plain.clone()
    }
}

fn all(fleet: &EndpointTable) -> impl Iterator<Item = &Endpoint> {
    fleet.iter()
}

/// Sends requests until one is refused; returns their number.
fn fill(
    balance: &mut LoadBalancer,
    fleet: &EndpointTable,
    ask: &EndpointQuery<'_>,
) -> (u32, Refusal) {
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
    let (mut balance, fleet, home) = (LoadBalancer::default(), fleet(4), zone("a"));
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
    let (mut balance, fleet, home) = (LoadBalancer::default(), fleet(4), zone("a"));
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
    let (mut balance, fleet, home) = (LoadBalancer::default(), fleet(1), zone("a"));
    let none = HashSet::default();
    let e = name(0);
    balance.begin(&e, 0, NOW);
    balance.end(&e, Outcome::Refused, NOW);
    let pick = |b: &mut LoadBalancer, now| b.pick(all(&fleet), &ask(&home, &none), now).is_ok();
    assert!(!pick(&mut balance, NOW + Millis(50)));
    assert!(pick(&mut balance, NOW + Millis(1000)));
    balance.begin(&e, 0, NOW);
    balance.end(&e, Outcome::Refused, NOW);
    balance.clear_backoff(&e);
    assert!(pick(&mut balance, NOW + Millis(1)));
}

/// Pattern: an endpoint fails part of its requests. Guards against a grey endpoint that keeps its share of traffic.
#[test]
fn failing_endpoints_lose_traffic() {
    let (mut balance, fleet, home) = (LoadBalancer::default(), fleet(3), zone("a"));
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
    let (mut balance, fleet, home) = (LoadBalancer::default(), fleet(2), zone("a"));
    let none = HashSet::default();
    let plain = ask(&home, &none);
    let newer = beginning_at(&plain, WeightVersion(2));
    let refused = balance.pick(all(&fleet), &newer, NOW);
    assert!(matches!(refused, Err(Refusal::Unavailable(_))));
    // A response shows the new version before the record does.
    let loaded = name(1);
    balance.begin(&loaded, 0, NOW);
    balance.report(&loaded, None, Some(WeightVersion(2)), NOW);
    let found = balance.pick(all(&fleet), &newer, NOW).map(|e| e.id.clone());
    assert_eq!(found, Ok(loaded));
    let exact = EndpointQuery {
        exact: Some(WeightVersion(1)),
        ..plain
    };
    let found = balance.pick(all(&fleet), &exact, NOW).map(|e| e.id.clone());
    assert_eq!(found, Ok(name(0)));
}

/// A fleet in which a version is named, and the turns of its hosts.
struct Rollout {
    fleet: EndpointTable,
    named: DesiredVersions,
    turns: LoadSchedule,
}

impl Rollout {
    /// Names versions some time apart.
    fn new(hosts: usize, versions: &[(u64, Millis)]) -> Self {
        let fleet = fleet(hosts);
        let mut named = DesiredVersions::default();
        for (version, at) in versions {
            named.set(WeightVersion(*version), *at);
        }
        let all: Vec<_> = versions.iter().map(|v| WeightVersion(v.0)).collect();
        let service = "llm".parse().expect("a valid name");
        let turns = LoadSchedule::new(&fleet, &service, &all, None);
        Self {
            fleet,
            named,
            turns,
        }
    }

    fn turn(&self, e: &Endpoint) -> Millis {
        let turn = self
            .turns
            .load_start(e, WeightVersion(1), &self.named, BOUND);
        turn.expect("the endpoint has yet to load")
    }

    /// The endpoints in the order of their turns.
    fn order(&self) -> Vec<&Endpoint> {
        let mut order: Vec<_> = self.fleet.iter().collect();
        order.sort_by_key(|e| self.turn(e));
        order
    }

    fn ask<'a>(&'a self, plain: EndpointQuery<'a>, duration: Millis) -> EndpointQuery<'a> {
        EndpointQuery {
            weights: Some(WeightRequirement {
                model: MODEL,
                pending: Some(PendingLoads {
                    schedule: &self.turns,
                    desired: &self.named,
                    bound: BOUND,
                }),
                oldest: WeightVersion(0),
                oldest_queued: WeightVersion(0),
            }),
            duration,
            ..plain
        }
    }
}

/// Pattern: a new version is named. Guards against long requests at an endpoint whose turn to load is near: it would
/// stand still with empty slots until the last of them ends.
#[test]
fn long_requests_avoid_endpoints_that_load_soon() {
    let (home, none) = (zone("a"), HashSet::default());
    let rollout = Rollout::new(8, &[(2, NOW)]);
    let order = rollout.order();
    let (first, last) = (order[0], order[7]);
    let now = Millis(rollout.turn(first).0 - 200);
    let mut balance = LoadBalancer::default();
    let mut pick = |duration| {
        let ask = rollout.ask(ask(&home, &none), duration);
        let two = [first, last].into_iter();
        balance.pick(two, &ask, now).map(|e| e.id.clone())
    };
    assert!((0..20).all(|_| pick(Millis(1000)).as_ref() == Ok(&last.id)));
    let short_hits = (0..40).filter(|_| pick(Millis(50)).as_ref() == Ok(&first.id));
    let same_zone = first.record.zone == last.record.zone;
    assert!(short_hits.count() > 0 || !same_zone);
}

/// Pattern: a new version is named while endpoints are loaded to their limit. Guards against a long request that goes to
/// an endpoint whose turn is near because the others are full.
#[test]
fn full_endpoints_do_not_delay_loads() {
    let (home, none) = (zone("a"), HashSet::default());
    let rollout = Rollout::new(2, &[(2, NOW)]);
    let order = rollout.order();
    let now = Millis(rollout.turn(order[0]).0 - 200);
    let mut balance = LoadBalancer::default();
    for _ in 0..SLOTS {
        balance.begin(&order[1].id, 0, now);
    }
    let long = rollout.ask(ask(&home, &none), Millis(3000));
    let refused = balance.pick(rollout.fleet.iter(), &long, now);
    assert!(matches!(refused, Err(Refusal::Overloaded(_))));
}

/// Pattern: copies of a new version are late, because the origin is away. Guards against endpoints that get no long
/// requests although none of them can load.
#[test]
fn stalled_rollouts_keep_endpoints_in_use() {
    let (home, none) = (zone("a"), HashSet::default());
    let rollout = Rollout::new(4, &[(2, NOW)]);
    let order = rollout.order();
    let now = rollout.turn(order[1]) + Millis(900);
    let mut balance = LoadBalancer::default();
    let long = rollout.ask(ask(&home, &none), Millis(4000));
    let near = [order[2], order[3]];
    assert!(balance.pick(near.into_iter(), &long, now).is_err());
    for _ in 0..4 * SLOTS {
        let e = balance.pick(rollout.fleet.iter(), &long, now);
        let id = e
            .expect("a stalled rollout takes no endpoint away")
            .id
            .clone();
        balance.begin(&id, 0, now);
    }
}

/// Pattern: a third version is named while hosts wait to load the second. Guards against turns that are foreseen in the
/// order of the third.
#[test]
fn turns_follow_the_version_that_is_next() {
    let both = Rollout::new(8, &[(2, NOW), (3, NOW + Millis(2000))]);
    let second = Rollout::new(8, &[(2, NOW)]);
    for e in both.fleet.iter() {
        assert_eq!(both.turn(e), second.turn(e));
    }
}

/// Pattern: all endpoints are too old, because copies of a new version are late. Guards against callers that return, for
/// the last time, before any endpoint can have loaded.
#[test]
fn callers_return_when_loads_may_be_done() {
    let (home, none) = (zone("a"), HashSet::default());
    let plain = ask(&home, &none);
    let newer = beginning_at(&plain, WeightVersion(2));
    let mean_wait = |fleet: &EndpointTable| {
        let mut balance = LoadBalancer::default();
        let waits = (0..100).map(|_| match balance.pick(all(fleet), &newer, NOW) {
            Err(Refusal::Unavailable(wait)) => wait.0,
            other => panic!("{other:?}"),
        });
        waits.sum::<u64>() / 100
    };
    let mut loading = fleet(2);
    let mut record = loading.get(&name(0)).expect("a record").record.clone();
    record.models.clear();
    record.revision.sequence = 1;
    loading.apply(&name(0), Some(record), NOW);
    assert!(mean_wait(&loading) + 400 < mean_wait(&fleet(2)));
}

/// Pattern: a new version is named, and a request would outlast the turns of all endpoints. Guards against a caller that
/// is asked to return at no sensible time.
#[test]
fn refused_long_requests_return_soon() {
    let (home, none) = (zone("a"), HashSet::default());
    let rollout = Rollout::new(2, &[(2, NOW)]);
    let long = rollout.ask(ask(&home, &none), Millis(60_000));
    let refused = LoadBalancer::default().pick(rollout.fleet.iter(), &long, NOW);
    assert!(matches!(refused, Err(Refusal::Overloaded(t)) if t < Millis(1000)));
}
