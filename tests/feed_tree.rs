//! The tree that spreads the control stream, over real connections.

mod feed_support;

use std::{sync::atomic::Ordering, time::Instant};

use feed_support::{
    fleet::{Fleet, Node},
    gate::Gate,
    until,
};
use sesamewing::{
    backing::HostList,
    base::{Millis, Offset},
    decide::feed::DEGREE,
    feed,
};
use sesamewing_standin::{Fault, PlatformOptions};

/// Time in which an accepted change takes effect everywhere.
const IN_FORCE: Millis = Millis::from_secs(6);

/// Control traffic of a process, in bytes a second.
const CONTROL_RATE: f64 = 13_000.0;

/// Time over which idle traffic is measured.
const QUIET: Millis = Millis(3000);

const PUBLISHES: u64 = 10;

/// Guards against processes other than the readers that poll the log, and against slow or lost changes.
async fn spread(size: usize) {
    let mut fleet = Fleet::new(PlatformOptions::default()).await;
    fleet.grow(&["east-a", "east-b"], size).await;
    let first = fleet.publish(0).await;
    fleet.in_force(first).await;
    let readers = fleet.readers() as u64;
    // Until every process has the list, some may still take themselves for readers.
    until("all know all", || {
        fleet
            .nodes
            .iter()
            .all(|n| n.ctx.replica.hosts().hosts.len() == size)
    })
    .await;
    let (start, reads) = (Instant::now(), fleet.reads().await);
    let traffic = |f: &Fleet| -> u64 {
        let both = |n: &Node| n.ctx.transport.traffic();
        f.nodes.iter().map(both).map(|(a, b)| a + b).sum()
    };
    let bytes = traffic(&fleet);
    let mut times = Vec::new();
    for n in 1..=PUBLISHES {
        let (offset, appended) = fleet.publish_timed(n).await;
        fleet.in_force(offset).await;
        times.push(appended.elapsed());
    }
    let seconds = start.elapsed().as_secs_f64();
    let per_replica = (traffic(&fleet) - bytes) / size as u64;
    let reads = fleet.reads().await - reads;
    times.sort();
    let (quiet, before) = (Instant::now(), traffic(&fleet));
    tokio::time::sleep(QUIET.duration()).await;
    let links = size as u64 - readers;
    let idle = (traffic(&fleet) - before) as f64 / quiet.elapsed().as_secs_f64() / links as f64;
    let (median, max) = (times[times.len() / 2], times[times.len() - 1]);
    println!(
        "{size} replicas, {readers} readers: in force median {median:.1?} max {max:.1?}, {reads} control reads and \
         {per_replica} bytes per replica for {PUBLISHES} changes; {idle:.0} bytes/s idle on each link"
    );
    fleet.assert_equal();
    assert!(max <= IN_FORCE.duration(), "{times:?}");
    // A parent has a link to each child and one to its own parent.
    let load = idle * (DEGREE + 1) as f64;
    assert!(load <= CONTROL_RATE, "{load} bytes/s");
    // A reader's poll ends with each record, and each second without one; each publish reads once to find its base.
    let polls = readers * (PUBLISHES + seconds as u64 + 2) + PUBLISHES;
    assert!(
        reads <= polls,
        "{reads} reads, {polls} expected of {readers} readers"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn spreads_to_10() {
    spread(10).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn spreads_to_20() {
    spread(20).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn spreads_to_40() {
    spread(40).await;
}

/// Guards against a branch or a zone that stands still after its parent or reader was killed.
#[tokio::test(flavor = "multi_thread")]
async fn survives_killed_parent_and_reader() {
    let mut fleet = Fleet::new(PlatformOptions::default()).await;
    fleet.grow(&["east-a"], 40).await;
    let offset = fleet.publish(0).await;
    fleet.in_force(offset).await;
    let parents: Vec<_> = (0..40)
        .filter(|i| !fleet.plan(*i).reader)
        .map(|i| fleet.plan(i).candidates[0].name.clone())
        .collect();
    let is_reader = |name| {
        let i = fleet.nodes.iter().position(|n| n.entry.name == name);
        fleet.plan(i.expect("listed")).reader
    };
    let inner = parents.iter().find(|p| !is_reader((*p).clone())).cloned();
    let reader = parents.iter().find(|p| is_reader((*p).clone())).cloned();
    let inner = inner.expect("40 processes need a second level");
    fleet.kill(&inner);
    let offset = fleet.publish(1).await;
    let parent = fleet.in_force(offset).await;
    fleet.kill(&reader.expect("a reader"));
    let offset = fleet.publish(2).await;
    let reader = fleet.in_force(offset).await;
    println!("in force after a killed parent: {parent}, after a killed reader: {reader}");
    // One second of silence for each of at most two levels, then the next candidate.
    assert!(parent <= IN_FORCE && reader <= IN_FORCE);
    fleet.assert_equal();
}

/// Guards against a region that does not catch up after it was cut off, or does not say that it is.
#[tokio::test(flavor = "multi_thread")]
async fn cut_region_catches_up() {
    let mut fleet = Fleet::new(PlatformOptions::default()).await;
    fleet.grow(&["east-a"], 6).await;
    let gate = Gate::start(fleet.server.addr()).await;
    for _ in 0..6 {
        let i = fleet.add("west-a", &gate.url, Vec::new()).await;
        fleet.start(i);
    }
    let before = fleet.publish(0).await;
    fleet.in_force(before).await;
    gate.set_open(false);
    fleet.cut.store(true, Ordering::Relaxed);
    let west: Vec<usize> = (6..12).collect();
    let stale = |i: &usize| fleet.nodes[*i].ctx.replica.age() > Millis(2000);
    until("the west knows that it is cut off", || {
        west.iter().all(stale)
    })
    .await;
    let offset = fleet.publish(1).await;
    until("in force in the east", || {
        fleet.nodes[..6].iter().all(|n| n.applied() >= offset)
    })
    .await;
    assert!(west.iter().all(|i| fleet.nodes[*i].applied() == before));
    gate.set_open(true);
    fleet.cut.store(false, Ordering::Relaxed);
    println!(
        "healed region in force after {}",
        fleet.in_force(offset).await
    );
    fleet.assert_equal();
    assert!(fleet
        .nodes
        .iter()
        .all(|n| n.ctx.replica.status().blocked.is_none()));
}

/// Guards against readers of one zone that wait for their log although other zones know more.
#[tokio::test(flavor = "multi_thread")]
async fn zone_without_log_asks_another() {
    let mut fleet = Fleet::new(PlatformOptions::default()).await;
    fleet.grow(&["east-a"], 4).await;
    let gate = Gate::start(fleet.server.addr()).await;
    for _ in 0..4 {
        let i = fleet.add("east-b", &gate.url, Vec::new()).await;
        fleet.start(i);
    }
    let offset = fleet.publish(0).await;
    fleet.in_force(offset).await;
    gate.set_open(false);
    for n in 1..4 {
        let offset = fleet.publish(n).await;
        fleet.in_force(offset).await;
    }
    fleet.assert_equal();
}

/// Guards against a process that cannot start while the log is down, and against one that stays isolated afterwards.
#[tokio::test(flavor = "multi_thread")]
async fn joins_from_peer_during_outage() {
    let mut fleet = Fleet::new(PlatformOptions::default()).await;
    fleet.grow(&["east-a"], 5).await;
    let offset = fleet.publish(0).await;
    fleet.in_force(offset).await;
    fleet
        .server
        .fault(Fault::Outage, "/", 0)
        .expect("supported");
    let seed = fleet.nodes[3].entry.peer;
    let url = fleet.server.url();
    let new = fleet.add("east-a", &url, vec![seed]).await;
    fleet.start(new);
    fleet.in_force(offset).await;
    until("the new process knows the others", || {
        fleet.nodes[new].ctx.replica.hosts().hosts.len() == 5
    })
    .await;
    fleet.server.clear_faults();
    let offset = fleet.publish(1).await;
    fleet.in_force(offset).await;
    fleet.assert_equal();
    until("nobody is isolated", || {
        fleet
            .nodes
            .iter()
            .all(|n| n.ctx.replica.status().isolated.is_none())
    })
    .await;
}

/// Guards against a lone process that does not say that it reaches nobody.
#[tokio::test(flavor = "multi_thread")]
async fn reports_isolation() {
    let mut fleet = Fleet::new(PlatformOptions::default()).await;
    fleet.grow(&["east-a"], 1).await;
    let offset = fleet.publish(0).await;
    fleet.in_force(offset).await;
    fleet
        .server
        .fault(Fault::Outage, "/", 0)
        .expect("supported");
    let status = || fleet.nodes[0].ctx.replica.status();
    until("isolated", || status().isolated.is_some()).await;
    fleet.server.clear_faults();
    until("connected", || status().isolated.is_none()).await;
}

/// Guards against a receiver that waits for the feed although the sender has what it lacks.
#[tokio::test(flavor = "multi_thread")]
async fn catches_up_from_sender() {
    let mut fleet = Fleet::new(PlatformOptions::default()).await;
    fleet.grow(&["east-a"], 1).await;
    let offset = fleet.publish(0).await;
    fleet.in_force(offset).await;
    let url = fleet.server.url();
    // Not started, so that nothing but the sender can bring it up to date.
    let new = fleet.add("east-b", &url, Vec::new()).await;
    let ctx = fleet.nodes[new].ctx.clone();
    let sender = fleet.nodes[0].entry.peer;
    assert!(feed::catch_up(&ctx, sender, offset).await);
    fleet.assert_equal();
    let start = Instant::now();
    assert!(!feed::catch_up(&ctx, sender, Offset(u64::MAX)).await);
    // 500 ms by design; the rest is for a busy machine.
    assert!(start.elapsed() < Millis(3000).duration());
    assert_eq!(ctx.replica.applied(), offset);
}

/// Guards against a fleet that takes over the records of an emptied log, or reads it from every process.
#[tokio::test(flavor = "multi_thread")]
async fn reset_log_stops_the_feed() {
    let mut fleet = Fleet::new(PlatformOptions::default()).await;
    fleet.grow(&["east-a"], 8).await;
    for n in 0..3 {
        let offset = fleet.publish(n).await;
        fleet.in_force(offset).await;
    }
    until("all know all", || {
        let known = |n: &Node| n.ctx.replica.hosts().hosts.len() == 8;
        fleet.nodes.iter().all(known)
    })
    .await;
    fleet.restart_empty().await;
    let blocked = |f: &Fleet| {
        let blocked = |n: &&Node| n.ctx.replica.status().blocked.is_some();
        f.nodes.iter().filter(blocked).count()
    };
    until("the readers raise an alarm", || blocked(&fleet) == 2).await;
    for n in 10..20 {
        fleet.publish(n).await;
    }
    let reads = fleet.reads().await;
    while fleet.reads().await < reads + 10 {
        tokio::time::sleep(Millis(20).duration()).await;
    }
    assert!(fleet.nodes.iter().all(|n| n.applied() == Offset(3)));
    fleet.assert_equal();
    assert_eq!(blocked(&fleet), 2);
}

/// Guards against the host list staying as first sent, and against hosts that come back after their removal.
#[tokio::test(flavor = "multi_thread")]
async fn spreads_host_changes() {
    let mut fleet = Fleet::new(PlatformOptions::default()).await;
    fleet.grow(&["east-a"], 6).await;
    let count = |f: &Fleet, n: usize| {
        f.nodes
            .iter()
            .all(|x| x.ctx.replica.hosts().hosts.len() == n)
    };
    until("six hosts", || count(&fleet, 6)).await;
    let gone = fleet.nodes[5].entry.name.clone();
    fleet.platform.remove(&gone).await.expect("it is up");
    until("five hosts", || count(&fleet, 5)).await;
}
