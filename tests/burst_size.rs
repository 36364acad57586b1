//! Scaling under load: how many hosts load a version, and which of them keep the copy.

mod burst_support;

use std::time::{Duration, Instant as Clock};

use burst_support::{
    common::{
        daemon::{request, tls, Client},
        engine::Engine,
        platform::Platform,
        until,
    },
    place, ranked, service, start,
};
use sesamewing::{
    agent,
    base::{Instance, Millis, Offset, Percent, ProcessName, VersionName},
    decide::burst::{
        AgentRank, CopyDecision, ReplicaScaler, ScalingRule, ALL_HOSTS, SUSTAINED_LOAD,
    },
    process::Phase,
    settings::Burst,
    wire::{AgentReport, AgentState, Call},
};

fn v1() -> VersionName {
    "v1".parse().expect("a name")
}

fn rule(replicas: u32, ceiling: u32, seeds: u32) -> ScalingRule {
    ScalingRule {
        replicas,
        ceiling,
        seeds,
        threshold: Percent(70),
        version: Some(v1()),
    }
}

/// Returns a report of an agent that serves `version` with `load` requests at a capacity of 10.
fn report(
    agent: &ProcessName,
    sequence: u64,
    load: u32,
    version: Option<VersionName>,
) -> AgentReport {
    AgentReport {
        name: agent.clone(),
        instance: Instance(1),
        sequence,
        service: service(),
        state: match version {
            Some(_) => AgentState::Serving,
            None => AgentState::Starting,
        },
        version,
        applied: Offset(0),
        running: load / 2,
        waiting: load - load / 2,
        capacity: 10,
        speed: 0,
        prefixes: Vec::new(),
    }
}

/// Reports the loads of the agents of the ranks before at `now`, then decides for an agent without a version.
fn step(
    g: &mut ReplicaScaler,
    p: &AgentRank,
    r: &ScalingRule,
    now: u64,
    loads: &[u32],
) -> CopyDecision {
    for (agent, load) in p.ahead.iter().zip(loads) {
        g.report(Millis(now), report(agent, now, *load, Some(v1())));
    }
    g.tick(Millis(now), Some(p), r, None)
}

/// Guards against defaults under which some hosts of a deployment without settings would not load or keep the version.
#[test]
fn defaults_load_and_keep_everywhere() {
    let b = Burst::default();
    assert_eq!(
        (b.replicas, b.ceiling, b.seeds),
        (ALL_HOSTS, ALL_HOSTS, ALL_HOSTS)
    );
    let r = rule(b.replicas, b.ceiling, b.seeds);
    let all = ranked(200);
    let last = place(&all[199], &all);
    for p in [None, Some(&last)] {
        for held in [None, Some(&v1())] {
            let got = ReplicaScaler::default().tick(Millis(0), p, &r, held);
            assert!(got.load && got.keep && got.watch.is_empty(), "{got:?}");
        }
    }
}

/// Guards against a host that loads the version although it does not know its rank yet.
#[test]
fn unlisted_agent_waits_for_its_rank() {
    let got = ReplicaScaler::default().tick(Millis(0), None, &rule(1, 3, ALL_HOSTS), None);
    assert_eq!((got.load, got.watch.len()), (false, 0));
}

/// Guards against scaling that skips ranks, exceeds the ceiling, or watches more than two agents.
#[test]
fn replicas_are_added_rank_by_rank_up_to_the_ceiling() {
    let (all, r) = (ranked(8), rule(2, 5, ALL_HOSTS));
    let mut agents: Vec<_> = all
        .iter()
        .map(|a| (place(a, &all), ReplicaScaler::default()))
        .collect();
    let mut held = [false; 8];
    let mut order = Vec::new();
    for now in (0..60_000).step_by(200) {
        for i in 0..8 {
            let (p, g) = &mut agents[i];
            for ahead in &p.ahead {
                let rank = all.iter().position(|a| a == ahead).expect("listed");
                let version = held[rank].then(v1);
                g.report(Millis(now), report(ahead, now, 10, version));
            }
            let own = held[i].then(v1);
            let got = g.tick(Millis(now), Some(p), &r, own.as_ref());
            assert!(got.watch.len() <= 2);
            if got.load && !held[i] {
                held[i] = true;
                order.push((now, i));
            }
        }
    }
    let ranks: Vec<_> = order.iter().map(|(_, i)| *i).collect();
    assert_eq!(ranks, [0, 1, 2, 3, 4]);
    for pair in order[1..].windows(2) {
        assert!(pair[1].0 - pair[0].0 >= SUSTAINED_LOAD.0, "{order:?}");
    }
}

/// Guards against copies that start for a short peak, when only one of the two watched agents is under load, or when
/// reports are stale or missing.
#[test]
fn only_sustained_load_of_both_starts_a_copy() {
    let (all, r) = (ranked(4), rule(2, 4, ALL_HOSTS));
    let p = place(&all[2], &all);
    assert_eq!(p.ahead, [all[1].clone(), all[0].clone()]);
    let mut dip = ReplicaScaler::default();
    let mut one = ReplicaScaler::default();
    let mut steady = ReplicaScaler::default();
    for now in (0..=SUSTAINED_LOAD.0).step_by(200) {
        let loads = if now == 1000 { [7, 6] } else { [7, 7] };
        assert!(!step(&mut dip, &p, &r, now, &loads).load, "{now}");
        assert!(!step(&mut one, &p, &r, now, &[10, 0]).load, "{now}");
        let got = step(&mut steady, &p, &r, now, &[7, 7]);
        assert_eq!(got.load, now == SUSTAINED_LOAD.0, "{now}");
        assert_eq!(got.scaled_up, got.load);
    }
    // A drop of the load between two decisions restarts the measurement as well.
    let mut between = ReplicaScaler::default();
    for now in (0..=SUSTAINED_LOAD.0).step_by(200) {
        assert!(!step(&mut between, &p, &r, now, &[7, 7]).load || now == SUSTAINED_LOAD.0);
        if now == 1800 {
            between.report(Millis(1900), report(&all[0], 1900, 0, Some(v1())));
        }
    }
    assert!(!between.tick(Millis(2100), Some(&p), &r, None).load);
    let mut silent = ReplicaScaler::default();
    step(&mut silent, &p, &r, 0, &[7, 7]);
    step(&mut silent, &p, &r, 200, &[7, 7]);
    assert!(!silent.tick(Millis(4000), Some(&p), &r, None).load);
}

/// Guards against a started copy that is abandoned when the load drops, and against a host that goes on to serve an old
/// version because there is no load.
#[test]
fn started_host_goes_on_without_load() {
    let (all, r) = (ranked(4), rule(1, 3, ALL_HOSTS));
    let p = place(&all[1], &all);
    let mut g = ReplicaScaler::default();
    for now in (0..=SUSTAINED_LOAD.0).step_by(200) {
        step(&mut g, &p, &r, now, &[7]);
    }
    let got = step(&mut g, &p, &r, 2200, &[0]);
    assert!(got.load && !got.scaled_up, "{got:?}");
    let next = ScalingRule {
        version: Some("v2".parse().expect("a name")),
        ..r.clone()
    };
    assert!(g.tick(Millis(9000), Some(&p), &next, Some(&v1())).load);
    let restarted = ReplicaScaler::default().tick(Millis(0), Some(&p), &next, Some(&v1()));
    assert!(
        restarted.load,
        "the endpoint serves a version from before the agent restarted"
    );
    let above = place(&all[3], &all);
    assert!(
        !ReplicaScaler::default()
            .tick(Millis(0), Some(&above), &next, Some(&v1()))
            .load
    );
}

/// Guards against scaling because of watched agents that serve another version or whose load is unknown.
#[test]
fn other_versions_and_unknown_capacity_do_not_count() {
    let (all, r) = (ranked(3), rule(1, 3, ALL_HOSTS));
    let p = place(&all[1], &all);
    let (mut old, mut blind) = (ReplicaScaler::default(), ReplicaScaler::default());
    for now in (0..10_000).step_by(200) {
        let other = "v0".parse().expect("a name");
        old.report(Millis(now), report(&all[0], now, 10, Some(other)));
        assert!(!old.tick(Millis(now), Some(&p), &r, None).load);
        let unknown = AgentReport {
            capacity: 0,
            ..report(&all[0], now, 10, Some(v1()))
        };
        blind.report(Millis(now), unknown);
        assert!(!blind.tick(Millis(now), Some(&p), &r, None).load);
    }
}

/// Guards against host lists that differ by one host and so cause more than one extra copy, or one copy too few.
#[test]
fn host_lists_that_differ_by_one_host_cost_one_copy() {
    let all = ranked(12);
    for replicas in 1..=6 {
        for missing in &all {
            let without: Vec<_> = all.iter().filter(|a| *a != missing).cloned().collect();
            let loads = |a: &ProcessName, view: &[ProcessName]| place(a, view).rank < replicas;
            // Each agent may have either list: the fewest agents load the version if only those do that would with both
            // lists, the most if all do that would with one of them.
            let fewest = all.iter().filter(|a| loads(a, &all) && loads(a, &without));
            let most = all.iter().filter(|a| loads(a, &all) || loads(a, &without));
            assert_eq!(fewest.count(), replicas, "{missing}");
            assert!(most.count() <= replicas + 1, "{replicas} {missing}");
        }
    }
}

/// Guards against copies that are released while hosts of the ranks before do not serve the version, and against an
/// agent that becomes a seed and does not keep the copy again.
#[test]
fn only_seeds_keep_the_copy() {
    let (all, r) = (ranked(5), rule(ALL_HOSTS, ALL_HOSTS, 2));
    let held = v1();
    let seed = place(&all[1], &all);
    assert!(
        ReplicaScaler::default()
            .tick(Millis(0), Some(&seed), &r, Some(&held))
            .keep
    );
    let p = place(&all[2], &all);
    let mut g = ReplicaScaler::default();
    let tick =
        |g: &mut ReplicaScaler, now, p: &AgentRank, held| g.tick(Millis(now), Some(p), &r, held);
    assert!(
        tick(&mut g, 0, &p, None).keep,
        "the endpoint has not reported the version"
    );
    let got = tick(&mut g, 200, &p, Some(&held));
    assert!(got.keep && got.watch == p.ahead, "{got:?}");
    g.report(Millis(300), report(&all[1], 1, 0, Some(v1())));
    g.report(Millis(300), report(&all[0], 1, 0, None));
    assert!(
        tick(&mut g, 400, &p, Some(&held)).keep,
        "one seed does not serve the version"
    );
    g.report(Millis(500), report(&all[0], 2, 0, Some(v1())));
    let got = tick(&mut g, 600, &p, Some(&held));
    assert!(!got.keep && got.watch.is_empty(), "{got:?}");
    assert!(
        !tick(&mut g, 60_000, &p, Some(&held)).keep,
        "a release is final while ranks do not change"
    );
    let fewer = place(&all[2], &all[1..]);
    assert!(
        tick(&mut g, 60_200, &fewer, Some(&held)).keep,
        "the agent became a seed"
    );
}

/// Guards against a host beyond `burst.replicas` that loads the version without load or does not load it under load,
/// and against a host that keeps its copy although it is no seed, or does not restore it when it becomes one.
#[tokio::test]
async fn further_agent_loads_under_load_only() {
    let platform = Platform::default();
    let at = platform.serve().await;
    let dir = tempfile::tempdir().expect("a directory");
    let files = tls(&dir);
    let all = ranked(2);
    let engines = [Engine::default(), Engine::default()];
    let mut agents = Vec::new();
    for (agent, engine) in all.iter().zip(&engines) {
        let ctx = start(agent, at, engine.serve().await, &files);
        tokio::spawn(agent::run(ctx.clone()));
        agents.push(ctx);
    }
    until("both in the lists", || {
        agents.iter().all(|c| c.replica.hosts().hosts.len() == 2)
    })
    .await;
    let manifest = platform.store("v1", &[7; 5000]).to_string();
    let values = [
        ("weights.version", "v1"),
        ("weights.manifest", &manifest),
        ("burst.replicas", "1"),
        ("burst.ceiling", "2"),
        ("burst.threshold", "10%"),
        ("burst.seeds", "1"),
    ];
    platform.publish("/east/drafts", Offset(0), &values);
    until("the first load", || engines[0].state().loads.len() == 1).await;
    until("the second agent's settings", || {
        agents[1].replica.applied() >= Offset(1)
    })
    .await;
    assert!(engines[1].state().loads.is_empty());
    // One of eight slots is in use while the engine holds its response back.
    engines[0].open.send_replace(0);
    let client = Client::new(&agents[0]);
    let began = Clock::now();
    let call = client.call(Call::Run(request(Some("v1"), 3))).await;
    until("the second load", || engines[1].state().loads.len() == 1).await;
    assert!(
        began.elapsed() >= Duration::from_millis(SUSTAINED_LOAD.0),
        "{:?}",
        began.elapsed()
    );
    drop(call);
    engines[0].open.send_replace(u64::MAX);
    assert_eq!(engines[0].state().loads.len(), 1);
    // The second agent is no seed until the first one drains.
    until("the release", || agents[1].status.load().chunks.is_none()).await;
    assert_eq!(agents[0].status.load().chunks, Some((5, 5)));
    agents[0].advance(Phase::Draining);
    until("the restored copy", || {
        agents[1].status.load().chunks == Some((5, 5))
    })
    .await;
    assert_eq!(
        engines[1].state().loads.len(),
        1,
        "the endpoint kept the version"
    );
}
