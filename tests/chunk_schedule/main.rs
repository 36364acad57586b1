//! Simulation of the chunk scheduler: time until N hosts hold a version, relative to the lower bound that the links
//! give, and the number of copies that the origin sends.
//!
//! The links are those of the design's target: in the time T each host's link carries two copies and the origin's four.

mod baseline;
mod swarm;

use baseline::RandomPolicy;
use sesamewing::{
    base::{Millis, Rate},
    decide::chunk::{Action, Event, Fault, Scheduler, Source},
    settings::Prefer,
};
use swarm::{leads, scheduler, Outcome, Setup, Swarm, HOST};

/// Runs a setup with the seeds 1 to `seeds` and returns the worst value of each figure.
fn worst(mut setup: Setup, seeds: u64) -> Outcome {
    let mut all = Outcome::default();
    for seed in 1..=seeds {
        setup.seed = seed;
        let out = Swarm::new(setup.clone(), scheduler).run();
        all.ratio = all.ratio.max(out.ratio);
        all.copies = all.copies.max(out.copies);
        all.crossed = all.crossed.max(out.crossed);
        all.duplicates = all.duplicates.max(out.duplicates);
        all.busy = all.busy.max(out.busy);
    }
    all
}

fn check(n: usize, prefer: Prefer, ratio: f64) {
    let out = worst(Setup::new(n, prefer), 3);
    println!("n={n} prefer={prefer} {out:?}");
    let copies = match prefer {
        Prefer::Origin => 1.05,
        Prefer::Time => 4.0,
    };
    assert!(out.ratio <= ratio, "time to {n} replicas: {out:?}");
    assert!(out.copies <= copies, "copies from the origin: {out:?}");
}

/// Guards against scheduling that leaves links idle or sends too many requests to the origin; the limits are those of
/// the design's target.
#[test]
fn bound_with_25_hosts() {
    check(25, Prefer::Origin, 1.25);
    check(25, Prefer::Time, 1.25);
}

#[test]
fn bound_with_50_hosts() {
    check(50, Prefer::Origin, 1.25);
    check(50, Prefer::Time, 1.25);
}

#[test]
fn bound_with_100_hosts() {
    check(100, Prefer::Origin, 1.25);
    check(100, Prefer::Time, 1.25);
}

#[test]
fn bound_with_200_hosts_from_origin() {
    check(200, Prefer::Origin, 1.35);
}

#[test]
fn bound_with_200_hosts_in_time() {
    check(200, Prefer::Time, 1.35);
}

/// Guards against a preference for time that has no effect: with slow uplinks, further copies from the origin save
/// time.
#[test]
fn preferring_time_uses_the_origin() {
    let mut setup = Setup::new(10, Prefer::Origin);
    setup.up = Rate(HOST.0 / 2);
    let origin = worst(setup.clone(), 3);
    setup.prefer = Prefer::Time;
    let time = worst(setup, 3);
    println!("origin {origin:?}, time {time:?}");
    assert!(time.ratio < origin.ratio);
    assert!(time.copies <= 4.0 && origin.copies <= 1.05);
}

/// Guards against scheduling that is no better than fetching everything from the origin or choosing at random.
#[test]
fn scheduler_is_faster_than_baselines() {
    let setup = Setup::new(50, Prefer::Origin);
    let ours = Swarm::new(setup.clone(), scheduler).run();
    let origin = Swarm::new(setup.clone(), |s, i| RandomPolicy::new(s, i, 0)).run();
    let random = Swarm::new(setup, |s, i| RandomPolicy::new(s, i, 8)).run();
    println!("ours {ours:?}");
    println!("all from the origin {origin:?}");
    println!("random peer and chunk {random:?}");
    assert!(ours.ratio < random.ratio && random.ratio < origin.ratio);
    assert!(ours.copies < random.copies);
}

/// Guards against a random baseline that is faster than the scheduler at the number of hosts in `BASELINE_HOSTS`, which
/// the benchmark sets; prints both figures.
#[test]
fn baseline_at_size() {
    let hosts =
        std::env::var("BASELINE_HOSTS").map_or(10, |n| n.parse().expect("a number of hosts"));
    let setup = Setup::new(hosts, Prefer::Origin);
    let ours = Swarm::new(setup.clone(), scheduler).run();
    let random = Swarm::new(setup, |s, i| RandomPolicy::new(s, i, 8)).run();
    println!(
        "simulated hosts={hosts} ours={:.3} random={:.3}",
        ours.ratio, random.ratio
    );
    assert!(ours.ratio < random.ratio);
}

/// Guards against more than one copy over the link between the regions, and against leaders that together exceed the
/// configured share of that link.
#[test]
fn one_copy_crosses_regions() {
    for hosts in [6, 100] {
        let mut setup = Setup::new(hosts, Prefer::Origin);
        setup.sites = (0..hosts).map(|i| (i % 2, i / 2 % 4)).collect();
        // Half of 20 Mbit/s.
        setup.crossing = Some(Rate(1_250_000));
        let out = worst(setup, 3);
        println!("hosts={hosts} {out:?}");
        assert!(out.crossed <= 1.05 && out.copies <= 1.05, "{out:?}");
        assert!((0.95..=1.25).contains(&out.ratio), "{out:?}");
    }
}

/// Guards against chunks that no host seeds because their leader has failed but is still in the host list.
#[test]
fn dead_leaders_are_replaced() {
    let mut setup = Setup::new(100, Prefer::Origin);
    setup.dead = (0..8).collect();
    let out = worst(setup, 3);
    println!("{out:?}");
    assert!(out.ratio <= 1.5 && out.copies <= 1.25, "{out:?}");
}

/// Guards against chunks that no host seeds because a region has few leaders and some of them have failed.
#[test]
fn dead_leaders_among_few_are_replaced() {
    for seed in 1..=3 {
        let mut setup = Setup::new(50, Prefer::Origin);
        setup.seed = seed;
        setup.leaders = 14;
        let leaders: Vec<_> = (0..50).filter(|&i| leads(&setup, i)).collect();
        assert_eq!(leaders.len(), 14);
        setup.dead = leaders[..5].to_vec();
        let out = Swarm::new(setup, scheduler).run();
        println!("{out:?}");
        assert!(out.ratio <= 1.8 && out.copies <= 1.25, "{out:?}");
    }
}

/// Guards against a copy that does not recover after the origin failed for 10 s, and against hosts of all ranks that
/// then fetch the same chunks from it.
#[test]
fn origin_outage_costs_few_copies() {
    let mut setup = Setup::new(50, Prefer::Origin);
    setup.outage = (10_000, 20_000);
    let out = worst(setup.clone(), 3);
    println!("{out:?}");
    let outage = 10_000.0 / setup.bound();
    assert!(out.ratio <= 1.25 + outage && out.copies <= 1.25, "{out:?}");
}

/// Guards against fetching chunks that the host already holds from an older version.
#[test]
fn shared_chunks_are_not_fetched() {
    let mut setup = Setup::new(50, Prefer::Origin);
    setup.shared = 230;
    let out = worst(setup, 3);
    println!("{out:?}");
    assert!(out.copies <= 1.05, "{out:?}");
}

/// Guards against leaders that wait for ever because a host falsely reports that it holds every chunk.
#[test]
fn false_reports_do_not_stop_leaders() {
    let setup = Setup::new(2, Prefer::Origin);
    let mut node = scheduler(&setup, 0);
    let peer = node.neighbours().next().expect("the other host");
    let claim = |node: &mut Scheduler, now| {
        node.handle(now, Event::Has(peer, (0..swarm::CHUNKS as u32).collect()));
    };
    let mut now = Millis::ZERO;
    claim(&mut node, now);
    while now < Millis::from_secs(60) {
        match node.poll(now) {
            Action::Fetch(_, Source::Origin) => return,
            Action::Fetch(chunk, from) => {
                now += Millis(2000);
                node.handle(now, Event::Failed(chunk, from, Fault::Lost));
            }
            Action::Wait(at) => {
                now = at;
                claim(&mut node, now);
            }
            other => panic!("unexpected {other:?}"),
        }
    }
    panic!("the leader never fetched from the origin");
}

/// Guards against a fetch that is not cancelled although another source delivered its chunk, and against duplicates
/// that are not counted.
#[test]
fn late_fetches_are_cancelled() {
    let setup = Setup::new(3, Prefer::Origin);
    let mut node = scheduler(&setup, 0);
    let peers: Vec<_> = node.neighbours().collect();
    let (from, other) = (Source::Peer(peers[0]), Source::Peer(peers[1]));
    for c in 0..swarm::CHUNKS as u32 {
        let event = if c == 0 {
            Event::Has(peers[0], vec![0])
        } else {
            Event::Held(c)
        };
        node.handle(Millis(0), event);
    }
    assert_eq!(node.poll(Millis(0)), Action::Fetch(0, from));
    node.handle(Millis(10), Event::Has(peers[1], vec![0]));
    let Action::Wait(at) = node.poll(Millis(10)) else {
        panic!("the chunk was requested from a second source before the stall timeout");
    };
    assert_eq!(node.poll(at), Action::Fetch(0, other));
    node.handle(at, Event::Arrived(0, other));
    assert_eq!(node.poll(at), Action::Cancel(0, from));
    assert_eq!(node.poll(at), Action::Done);
    assert_eq!(node.waste().duplicates, 0);
    node.handle(at, Event::Arrived(0, from));
    assert_eq!(node.waste().duplicates, 1);
}
