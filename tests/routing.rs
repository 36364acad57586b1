//! Routing: distance, load, prefixes, breakers, and the policies under one simulated load.

use std::{collections::VecDeque, sync::Arc};

use assert_matches::assert_matches;
use sesamewing::{
    base::{Digest, Instance, Millis, Offset, ProcessName, VersionName},
    decide::{
        member::Distance,
        route::{
            prefix_hash, AgentView, Breaker, InFlightGuard, RouteQuery, RouteTable, Target,
            FAILURES_MAX, OPEN_MIN,
        },
    },
    settings::{Policy, Route, Weights},
    wire::{AgentReport, AgentState},
};

fn version() -> Option<VersionName> {
    Some("v1".parse().unwrap())
}

fn target(i: usize, distance: Distance) -> Target {
    Target {
        name: format!("agent-{i}").parse().unwrap(),
        peer: format!("127.0.0.1:{}", 10_000 + i).parse().unwrap(),
        distance,
        version: version(),
        capacity: 8,
        seed: prefix_hash(&i.to_le_bytes()),
        view: Arc::default(),
    }
}

fn table(targets: Vec<Target>, policy: Policy) -> RouteTable {
    let route = Route {
        policy,
        ..Route::default()
    };
    RouteTable::new(targets, &weights(false), &route)
}

/// Settings with desired version `v1`.
fn weights(overlap: bool) -> Weights {
    Weights {
        version: version(),
        overlap,
        ..Weights::default()
    }
}

/// A report of an agent that runs `running` requests.
fn report(running: u32, prefixes: Vec<u64>) -> AgentReport {
    AgentReport {
        name: "agent-0".parse().unwrap(),
        instance: Instance(1),
        sequence: 1,
        service: "drafts".parse().unwrap(),
        state: AgentState::Serving,
        version: version(),
        applied: Offset(1),
        running,
        waiting: 0,
        capacity: CAPACITY,
        speed: 0,
        prefixes,
    }
}

fn query(tried: &[ProcessName], random: u64) -> RouteQuery<'_> {
    RouteQuery {
        now: Millis(1000),
        required_version: None,
        prefix: None,
        tried,
        random,
    }
}

const POLICIES: [Policy; 4] = [
    Policy::Affinity,
    Policy::Choices,
    Policy::Random,
    Policy::Reported,
];

/// Guards against requests to distant agents while near ones have room, and against a full zone that blocks the region.
#[test]
fn nearest_agents_with_room_come_first() {
    let distances = [Distance::Zone, Distance::Region, Distance::Remote];
    for policy in POLICIES {
        let targets: Vec<_> = (0..9).map(|i| target(i, distances[i / 3])).collect();
        for (full, want) in [
            (0, Distance::Zone),
            (3, Distance::Region),
            (6, Distance::Remote),
        ] {
            targets[..full]
                .iter()
                .for_each(|t| t.view.apply_report(&report(100, Vec::new())));
            let table = table(targets.clone(), policy);
            for random in 0..50 {
                let got = table.choose(&query(&[], random)).unwrap();
                assert_eq!(got.distance, want, "{policy}");
            }
        }
        targets
            .iter()
            .for_each(|t| t.view.apply_report(&report(100, Vec::new())));
        let got = table(targets, policy);
        let got = got.choose(&query(&[], 1)).unwrap();
        assert!(
            got.distance != Distance::Remote,
            "without room no request crosses regions"
        );
    }
}

/// Guards against agents with another version, and against a second try of an agent while untried ones are left.
#[test]
fn version_and_tried_agents_are_excluded() {
    for policy in POLICIES {
        let mut targets: Vec<_> = (0..4).map(|i| target(i, Distance::Zone)).collect();
        targets[0].version = Some("v0".parse().unwrap());
        let mut tried = Vec::new();
        let table = table(targets, policy);
        for random in 0..3 {
            let got = table.choose(&query(&tried, random)).unwrap();
            assert!(
                !tried.contains(&got.name) && got.version == version(),
                "{policy}"
            );
            tried.push(got.name.clone());
        }
        assert!(table.choose(&query(&tried, 1)).is_none(), "{policy}");
        assert!(table
            .choose(&RouteQuery {
                required_version: Some(&"v9".parse().unwrap()),
                ..query(&[], 1)
            })
            .is_none());
    }
    let only = table(vec![target(0, Distance::Zone)], Policy::Choices);
    let tried = ["agent-0".parse().unwrap()];
    assert!(
        only.choose(&query(&tried, 1)).is_some(),
        "the only agent is tried again"
    );
}

/// Guards against a rollout during which all requests are rejected until the first host has the new version, against
/// overload of that host, and against a stream that continues on another version.
#[test]
fn earlier_version_serves_during_rollout() {
    let mut targets: Vec<_> = (0..4).map(|i| target(i, Distance::Zone)).collect();
    let earlier: VersionName = "v0".parse().unwrap();
    for t in &mut targets {
        t.version = Some(earlier.clone());
    }
    let route = Route::default();
    let none = RouteTable::new(targets.clone(), &weights(false), &route);
    assert!(none.choose(&query(&[], 1)).is_none());
    let all_earlier = RouteTable::new(targets.clone(), &weights(true), &route);
    assert_matches!(all_earlier.choose(&query(&[], 1)), Some(t) if t.version == Some(earlier.clone()));
    targets[0].version = version();
    let mixed = RouteTable::new(targets.clone(), &weights(true), &route);
    let guards: Vec<InFlightGuard> = (0..8)
        .map(|random| {
            let got = mixed.choose(&query(&[], random)).unwrap();
            assert_eq!(
                got.name, targets[0].name,
                "free capacity of the new version is used first"
            );
            got.view.begin(Millis(1000))
        })
        .collect();
    let got = mixed.choose(&query(&[], 9)).unwrap();
    assert_eq!(
        got.version,
        Some(earlier.clone()),
        "the busy host is not overloaded"
    );
    drop(guards);
    let resumed = RouteQuery {
        required_version: Some(&earlier),
        ..query(&[], 1)
    };
    assert_eq!(mixed.choose(&resumed).unwrap().version, Some(earlier));
}

/// Guards against a prefix hash that differs from the one that endpoints report for whole blocks of 64 bytes.
#[test]
fn prefixes_are_whole_blocks() {
    let text = [b'x'; 300];
    let reported = |len: usize| {
        let hash = Digest::of(&text[..len]).0;
        u64::from_le_bytes(hash[..8].try_into().unwrap())
    };
    for (len, block) in [
        (10, 10),
        (64, 64),
        (100, 64),
        (255, 192),
        (256, 256),
        (300, 256),
    ] {
        assert_eq!(prefix_hash(&text[..len]), reported(block), "{len} bytes");
    }
}

/// Guards against changing agents for a prefix that no agent reports, and against a frequent prefix that overloads one
/// agent.
#[test]
fn affinity_is_consistent_and_bounded() {
    let targets: Vec<_> = (0..16).map(|i| target(i, Distance::Zone)).collect();
    let table = table(targets.clone(), Policy::Affinity);
    let prefix = prefix_hash(b"once upon a time");
    let choose = |random| {
        let q = RouteQuery {
            prefix: Some(prefix),
            ..query(&[], random)
        };
        table.choose(&q).unwrap().name.clone()
    };
    let first = choose(0);
    assert!((1..100).all(|random| choose(random) == first));
    // A later report takes precedence over the rendezvous hash.
    let holder = targets.iter().find(|t| t.name != first).unwrap();
    holder.view.apply_report(&report(0, vec![prefix]));
    assert_eq!(choose(0), holder.name);
    let mut guards: Vec<InFlightGuard> = Vec::new();
    let mut most = 0;
    for random in 0..64 {
        let name = choose(random);
        let t = targets.iter().find(|t| t.name == name).unwrap();
        guards.push(t.view.begin(Millis(1)));
        most = most.max(t.view.in_flight());
    }
    // The mean is 4; the slack of 25 % allows 5, plus the request that is being routed.
    assert!(most <= 6, "{most} of 64 at one agent");
}

/// Guards against a failing agent that keeps getting requests, and against one that never gets a probe.
#[test]
fn breaker_opens_and_probes() {
    let mut b = Breaker::default();
    let now = Millis(1000);
    for _ in 0..FAILURES_MAX {
        assert!(b.allows(now));
        b.begin(now);
        b.record_failure(now);
    }
    assert!(!b.allows(now));
    let later = now + OPEN_MIN;
    assert!(
        b.allows(later) && b.begin(later),
        "the first request is the probe"
    );
    assert!(!b.allows(later), "only one probe at a time");
    b.record_failure(later);
    assert!(
        !b.allows(later + OPEN_MIN),
        "a failed probe doubles the time"
    );
    let last = later + OPEN_MIN.times(2);
    assert!(b.begin(last));
    b.release_probe();
    assert!(
        b.begin(last),
        "a probe without success or failure is repeated"
    );
    b.record_success();
    assert!(b.allows(last) && !b.begin(last));
}

/// Guards against an open breaker that is ignored, and against a service that gets no requests when all are open.
#[test]
fn open_breakers_are_avoided() {
    let targets: Vec<_> = (0..2).map(|i| target(i, Distance::Zone)).collect();
    let guard = targets[0].view.begin(Millis(1000));
    (0..FAILURES_MAX).for_each(|_| guard.record_failure(Millis(1000)));
    let table = table(targets.clone(), Policy::Random);
    for random in 0..50 {
        let got = table.choose(&query(&[], random)).unwrap();
        assert_eq!(got.name, targets[1].name);
    }
    let other = targets[1].view.begin(Millis(1000));
    (0..FAILURES_MAX).for_each(|_| other.record_failure(Millis(1000)));
    assert_matches!(table.choose(&query(&[], 1)), Some(_));
}

/// Guards against a window that ignores the load of other entries, or leaves an entry without any room.
#[test]
fn window_follows_reports() {
    let targets: Vec<_> = (0..4).map(|i| target(i, Distance::Zone)).collect();
    // Each agent runs 8 requests at once and has room for 2 more.
    assert_eq!(table(targets.clone(), Policy::Choices).window(4), 40);
    let guards: Vec<_> = targets
        .iter()
        .map(|t| [(); 3].map(|()| t.view.begin(Millis(1))))
        .collect();
    let load = |n| {
        targets
            .iter()
            .for_each(|t| t.view.apply_report(&report(n, Vec::new())))
    };
    load(9);
    assert_eq!(table(targets.clone(), Policy::Choices).window(4), 16);
    drop(guards);
    load(30);
    assert_eq!(
        table(targets, Policy::Choices).window(4),
        10,
        "a quarter of the room remains"
    );
}

/// A simulated endpoint.
#[derive(Default)]
struct Engine {
    /// Ends of the running and waiting requests.
    running: Vec<Millis>,
    /// Cached prefixes, latest last.
    cache: VecDeque<u64>,
    /// Prefixes that were cached since the last report.
    unreported: Vec<u64>,
}

#[derive(Debug)]
struct Results {
    hits: f64,
    p50: u64,
    p95: u64,
}

const ENGINES: usize = 16;
const ENTRIES: usize = 4;
const CAPACITY: u32 = 8;

/// Simulates 30 s of load at about three quarters of the capacity through 4 entries, which get a report of each
/// endpoint every `interval` milliseconds.
fn simulate(policy: Policy, interval: u64, seed: u64) -> Results {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut engines: Vec<Engine> = (0..ENGINES).map(|_| Engine::default()).collect();
    let targets: Vec<Vec<Target>> = (0..ENTRIES)
        .map(|_| (0..ENGINES).map(|i| target(i, Distance::Zone)).collect())
        .collect();
    let mut guards: Vec<(Millis, InFlightGuard)> = Vec::new();
    let (mut times, mut hits) = (Vec::new(), 0_u32);
    for ms in 0..30_000 {
        let now = Millis(ms);
        guards.retain(|(end, _)| *end > now);
        for (e, engine) in engines.iter_mut().enumerate() {
            engine.running.retain(|end| *end > now);
            // The reports of the engines are spread over the interval.
            if ms % interval == interval * e as u64 / ENGINES as u64 {
                let running = engine.running.len() as u32;
                let mut report = report(running, std::mem::take(&mut engine.unreported));
                report.sequence = ms;
                targets.iter().for_each(|t| t[e].view.apply_report(&report));
            }
        }
        // 110 requests per second; a request takes 0.7 s with its prefix cached and 1.1 s without.
        if random.u32(0..1000) < 110 {
            // A few prefixes are frequent, most are rare.
            let prefix = (200.0_f64.powf(random.f64())) as u64;
            let entry = random.usize(0..ENTRIES);
            let table = table(targets[entry].clone(), policy);
            let q = RouteQuery {
                now,
                required_version: None,
                prefix: Some(prefix),
                tried: &[],
                random: random.u64(..),
            };
            let chosen = table.choose(&q).unwrap();
            let e = (0..ENGINES)
                .find(|i| targets[entry][*i].name == chosen.name)
                .unwrap();
            let engine = &mut engines[e];
            let hit = engine.cache.contains(&prefix);
            engine.cache.retain(|p| *p != prefix);
            engine.cache.push_back(prefix);
            if engine.cache.len() > 24 {
                engine.cache.pop_front();
            }
            if !hit {
                engine.unreported.push(prefix);
            }
            hits += u32::from(hit);
            let run = if hit { 700 } else { 1100 };
            // The request starts when at most `CAPACITY - 1` of the earlier ones are still running.
            let mut ends = engine.running.clone();
            ends.sort_unstable();
            let ahead = ends.len().checked_sub(CAPACITY as usize);
            let start = ahead.map_or(now, |i| ends[i].max(now));
            let end = start + Millis(run);
            engine.running.push(end);
            guards.push((end, targets[entry][e].view.begin(now)));
            times.push((end - now).0);
        }
    }
    times.sort_unstable();
    Results {
        hits: f64::from(hits) / times.len() as f64,
        p50: times[times.len() / 2],
        p95: times[times.len() * 95 / 100],
    }
}

/// Guards against a policy that is worse than the simpler ones; prints the results.
#[test]
fn policies_on_one_load() {
    let at = |interval| {
        POLICIES.map(|p| {
            let f = simulate(p, interval, 42);
            let Results { hits, p50, p95 } = f;
            println!("reports every {interval} ms, {p}: prefix hits {hits:.2}, p50 {p50} ms, p95 {p95} ms");
            f
        })
    };
    // The interval of heartbeats alone; agents report changes sooner.
    at(1000);
    let [affinity, choices, random, reported] = at(250);
    assert!(
        affinity.hits > choices.hits,
        "affinity finds more cached prefixes"
    );
    assert!(affinity.p95 <= random.p95 && affinity.p50 <= choices.p50);
    assert!(choices.p95 <= random.p95, "two choices are better than one");
    assert!(
        choices.p95 <= reported.p95,
        "stale reports alone send all requests to one agent"
    );
}

/// Guards against counts that do not fall when requests end.
#[test]
fn in_flight_count_falls_when_requests_end() {
    let view: Arc<AgentView> = Arc::default();
    let guards: Vec<_> = (0..5).map(|_| view.begin(Millis(1))).collect();
    assert_eq!(view.in_flight(), 5);
    drop(guards);
    assert_eq!(view.in_flight(), 0);
}
