//! When snapshots are written, and how processes and commands start from them.

mod feed_support;

use std::{process::Command, sync::atomic::Ordering};

use feed_support::{fleet::Fleet, gate::Gate, log::MemLog, until, PATIENCE};
use sesamewing::{
    backing::{HttpPlatform, Log, Stream},
    base::{Millis, Offset},
    decide::feed::{snapshot_rank, SnapshotTimer, RECORDS_MAX},
    feed::{snapshot, write_snapshots, LogReader, Replica},
    kernel::{Body, Kernel, NodePath, Publish, Record},
};
use sesamewing_standin::PlatformOptions;

const WINDOW: Millis = Millis::from_secs(3600);
const DAY: Millis = Millis::from_secs(24 * 3600);

/// Guards against a fleet that writes at once, and against a snapshot that is never written because the first died.
#[test]
fn later_ranks_wait_longer() {
    let now = Millis(1_000_000);
    let mut timers = [(); 3].map(|()| SnapshotTimer::default());
    let applied = Offset(RECORDS_MAX);
    for t in &mut timers {
        t.record_snapshot(Offset(0), now);
        assert!(
            !t.poll(now, Offset(RECORDS_MAX - 1), DAY, 0),
            "too few records"
        );
    }
    let turns = |timers: &mut [SnapshotTimer; 3], at: Millis| -> Vec<bool> {
        let turns = timers.iter_mut().enumerate();
        turns
            .map(|(rank, t)| t.poll(at, applied, DAY, rank as u64))
            .collect()
    };
    assert_eq!(turns(&mut timers, now), [true, false, false]);
    assert_eq!(
        turns(&mut timers, now + Millis(9_999)),
        [true, false, false]
    );
    assert_eq!(
        turns(&mut timers, now + Millis(10_000)),
        [true, true, false]
    );
    assert_eq!(turns(&mut timers, now + Millis(20_000)), [true, true, true]);
    timers[2].record_snapshot(applied, now + Millis(20_000));
    let last = turns(&mut timers, now + Millis(30_000))[2];
    assert!(!last, "a newer one was seen");
}

/// Guards against a quiet deployment whose only snapshot is older than what the log keeps.
#[test]
fn old_snapshot_is_replaced() {
    let mut t = SnapshotTimer::default();
    assert!(!t.is_due(Millis(0), Offset(0), DAY), "nothing to write");
    assert!(
        t.is_due(Millis(0), Offset(1), DAY),
        "nothing is known of the stream"
    );
    t.record_snapshot(Offset(1), Millis(0));
    let quarter = Millis(DAY.0 / 4);
    assert!(!t.is_due(Millis(quarter.0 - 1), Offset(1), DAY));
    assert!(t.is_due(quarter, Offset(1), DAY));
}

/// Guards against several processes that write the same snapshot, and against one that is not written when due.
#[tokio::test(flavor = "multi_thread")]
async fn one_process_writes() {
    let mut fleet = Fleet::new(PlatformOptions::default()).await;
    fleet.grow(&["east-a", "east-b"], 6).await;
    let mut last = Offset(0);
    for n in 0..RECORDS_MAX {
        let record = Record::new(feed_support::log::change(n % 200, Offset(n), 10));
        let data = record.encode().expect("a small record");
        last = fleet
            .platform
            .append(Stream::Control, data)
            .await
            .expect("it is up");
    }
    fleet.in_force(last).await;
    let newest = tokio::time::timeout(PATIENCE, async {
        loop {
            let head = snapshot::head(&fleet.platform).await.expect("it is up");
            if let Some(applied) = head.and_then(|h| h.applied) {
                return applied;
            }
            tokio::time::sleep(Millis(20).duration()).await;
        }
    });
    assert_eq!(newest.await.expect("a snapshot"), last);
    let all = snapshot::all(&fleet.platform).await.expect("it is up");
    assert_eq!(all.len(), 1);
    let digest = fleet.nodes[0].ctx.replica.with_kernel(Kernel::digest);
    assert_eq!(all[0].digest(), digest);
    let hosts: Vec<_> = fleet.nodes.iter().map(|n| n.entry.clone()).collect();
    let mut ranks: Vec<_> = hosts
        .iter()
        .map(|h| snapshot_rank(&hosts, &h.name))
        .collect();
    ranks.sort_unstable();
    assert_eq!(ranks, [0, 1, 2, 3, 4, 5]);
}

/// Guards against a process that does not know its own state and writes it over a good one.
#[tokio::test]
async fn cut_off_process_does_not_write() {
    let log = MemLog::default();
    let r = Replica::new(Kernel::new(WINDOW));
    log.publish(0);
    LogReader::new(&r, &log).poll(Millis::ZERO).await;
    r.raise(sesamewing::feed::Cause::Reset, "reset".to_owned());
    let name = "east-a-0".parse().expect("a name");
    let written = tokio::time::timeout(Millis(2500).duration(), write_snapshots(&r, &log, &name));
    assert!(written.await.is_err(), "it never ends");
    assert!(log.all(Stream::Snapshots).is_empty());
}

async fn first(platform: &HttpPlatform) -> Offset {
    let page = platform.read(Stream::Control, Offset(1), 1, Millis::ZERO);
    page.await.expect("it is up").first
}

/// Guards against records lost because the log dropped them while a region was cut off.
#[tokio::test(flavor = "multi_thread")]
async fn retention_passes_during_outage() {
    let options = PlatformOptions {
        retention: Some(Millis(2000)),
        ..PlatformOptions::default()
    };
    let mut fleet = Fleet::new(options).await;
    fleet.grow(&["east-a"], 3).await;
    let gate = Gate::start(fleet.server.addr()).await;
    for _ in 0..3 {
        let i = fleet.add("west-a", &gate.url, Vec::new()).await;
        fleet.start(i);
    }
    let offset = fleet.publish(0).await;
    fleet.in_force(offset).await;
    gate.set_open(false);
    fleet.cut.store(true, Ordering::Relaxed);
    let lost = fleet.publish(1).await;
    until("in force in the east", || {
        fleet.nodes[..3].iter().all(|n| n.applied() >= lost)
    })
    .await;
    while first(&fleet.platform).await <= lost {
        tokio::time::sleep(Millis(50).duration()).await;
    }
    assert!(fleet.nodes[3..].iter().all(|n| n.applied() < lost));
    // The regions stay apart, so that only the log can help.
    gate.set_open(true);
    let east = fleet.nodes[0].ctx.replica.clone();
    let healed = async {
        while !fleet.nodes.iter().all(|n| n.applied() >= lost) {
            // The log drops snapshots too; the writer of a deployment replaces them in time.
            snapshot::write(&fleet.platform, &east)
                .await
                .expect("it is up");
            tokio::time::sleep(Millis(500).duration()).await;
        }
    };
    tokio::time::timeout(PATIENCE, healed)
        .await
        .expect("it heals");
    fleet.assert_equal();
    let last = fleet.publish(2).await;
    fleet.in_force(last).await;
    fleet.assert_equal();
    until("no alarm is left", || {
        fleet
            .nodes
            .iter()
            .all(|n| n.ctx.replica.status().blocked.is_none())
    })
    .await;
}

/// Guards against operators who cannot read a log whose beginning is gone.
#[tokio::test(flavor = "multi_thread")]
async fn commands_read_truncated_log() {
    let options = PlatformOptions {
        retention: Some(Millis(4000)),
        ..PlatformOptions::default()
    };
    let fleet = Fleet::new(options).await;
    let path: NodePath = "/east/drafts".parse().expect("a path");
    let values = [("retry.attempts".to_owned(), "7".to_owned())];
    let record = Record::new(Body::Publish(Publish {
        author: "test".to_owned(),
        base: vec![(path.clone(), Offset(0))],
        nodes: vec![(path, Some(values.into_iter().collect()))],
    }));
    let data = record.encode().expect("a small record");
    fleet
        .platform
        .append(Stream::Control, data)
        .await
        .expect("it is up");
    let replica = Replica::new(Kernel::new(WINDOW));
    LogReader::new(&replica, &fleet.platform)
        .poll(Millis::ZERO)
        .await;
    assert_eq!(replica.applied(), Offset(1));
    while first(&fleet.platform).await <= Offset(1) {
        tokio::time::sleep(Millis(50).duration()).await;
    }
    let url = fleet.server.url();
    let show = || {
        let out = Command::new(env!("CARGO_BIN_EXE_sesamewing"))
            .args(["show", "/east/drafts", "--platform", &url])
            .output()
            .expect("it runs");
        (
            out.status.success(),
            String::from_utf8_lossy(&out.stdout).into_owned(),
        )
    };
    assert!(!show().0, "without a snapshot the settings are unknown");
    let shown = async {
        loop {
            // The command may start after the log dropped the snapshot again.
            snapshot::write(&fleet.platform, &replica)
                .await
                .expect("it is up");
            if let (true, text) = show() {
                return text;
            }
        }
    };
    let text = tokio::time::timeout(PATIENCE, shown)
        .await
        .expect("it is shown");
    let line = text.lines().find(|l| l.contains("retry.attempts"));
    assert!(line.is_some_and(|l| l.contains('7')), "{text}");
}
