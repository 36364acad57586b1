//! Following the log: gaps, resets, newer records, snapshots and isolation.

mod feed_support;

use bytes::Bytes;
use feed_support::log::MemLog;
use sesamewing::{
    backing::Stream,
    base::{Millis, Offset},
    feed::{snapshot, Cause, LogReader, Polled, Replica},
    kernel::{Kernel, Record},
};

const WINDOW: Millis = Millis::from_secs(3600);

fn replica() -> Replica {
    Replica::new(Kernel::new(WINDOW))
}

async fn poll(replica: &Replica, log: &MemLog) -> Polled {
    LogReader::new(replica, log).poll(Millis::ZERO).await
}

fn digest(r: &Replica) -> sesamewing::base::Digest {
    r.with_kernel(Kernel::digest)
}

/// Guards against records applied across a gap: the state would lack the lost records.
#[tokio::test]
async fn gap_needs_snapshot() {
    let log = MemLog::default();
    let (old, new) = (replica(), replica());
    for n in 0..10 {
        log.publish(n);
    }
    assert_eq!(poll(&old, &log).await, Polled::Current);
    log.publish(10);
    log.truncate(Stream::Control, 8);
    assert_eq!(poll(&new, &log).await, Polled::Blocked);
    assert_eq!(new.applied(), Offset(0));
    assert!(new
        .status()
        .blocked
        .as_ref()
        .is_some_and(|s| s.contains("gone")));
    // A snapshot that ends before the first kept record does not close the gap.
    let early = replica();
    for e in log.all(Stream::Control).iter().take(3) {
        early.apply(e).expect("the next entry");
    }
    snapshot::write(&log, &early).await.expect("it is up");
    assert_eq!(poll(&new, &log).await, Polled::Blocked);
    assert_eq!(new.applied(), Offset(0));
    // The last writer may have been behind.
    snapshot::write(&log, &old).await.expect("it is up");
    snapshot::write(&log, &early).await.expect("it is up");
    assert_eq!(poll(&new, &log).await, Polled::Current);
    assert_eq!(poll(&new, &log).await, Polled::Current);
    assert_eq!(poll(&old, &log).await, Polled::Current);
    assert_eq!(new.applied(), Offset(11));
    assert_eq!(digest(&new), digest(&old));
    assert_eq!(new.status().blocked, None);
}

/// Guards against a state that goes back, and against records of a log that was reset and has grown since.
#[tokio::test]
async fn reset_log_changes_nothing() {
    let log = MemLog::default();
    let r = replica();
    let mut reader = LogReader::new(&r, &log);
    for n in 0..5 {
        log.publish(n);
    }
    assert_eq!(reader.poll(Millis::ZERO).await, Polled::Current);
    let before = digest(&r);
    let saved = log.reset(Stream::Control);
    assert_eq!(reader.poll(Millis::ZERO).await, Polled::Blocked);
    assert!(r.status().blocked.is_some());
    for n in 20..30 {
        log.publish(n);
    }
    assert_eq!(reader.poll(Millis::ZERO).await, Polled::Blocked);
    assert!(r
        .status()
        .blocked
        .as_ref()
        .is_some_and(|s| s.contains("another record")));
    assert_eq!((digest(&r), r.applied()), (before, Offset(5)));
    log.replace(Stream::Control, saved);
    log.publish(5);
    assert_eq!(reader.poll(Millis::ZERO).await, Polled::Current);
    assert_eq!(r.applied(), Offset(6));
    assert_eq!(r.status().blocked, None);
}

/// Guards against a reset during an outage, which the length of the log alone does not show.
#[tokio::test]
async fn reset_during_outage_is_seen() {
    let log = MemLog::default();
    let r = replica();
    let mut reader = LogReader::new(&r, &log);
    log.publish(0);
    assert_eq!(reader.poll(Millis::ZERO).await, Polled::Current);
    log.set_down(true);
    assert_eq!(reader.poll(Millis::ZERO).await, Polled::Unreachable);
    log.reset(Stream::Control);
    for n in 5..9 {
        log.publish(n);
    }
    log.set_down(false);
    assert_eq!(reader.poll(Millis::ZERO).await, Polled::Blocked);
    assert_eq!(r.applied(), Offset(1));
}

/// Guards against skipping a record that newer processes apply.
#[tokio::test]
async fn newer_schema_stops() {
    let log = MemLog::default();
    let r = replica();
    log.publish(0);
    let body = sesamewing::kernel::Body::Claims(Vec::new());
    let mut data = Record::new(body).encode().expect("a record").to_vec();
    data[4..6].copy_from_slice(&(sesamewing::kernel::SCHEMA + 1).to_be_bytes());
    log.push(Stream::Control, Bytes::from(data));
    log.publish(1);
    assert_eq!(poll(&r, &log).await, Polled::Blocked);
    assert_eq!(r.applied(), Offset(1));
    assert!(r
        .status()
        .blocked
        .as_ref()
        .is_some_and(|s| s.contains("schema")));
    assert_eq!(poll(&r, &log).await, Polled::Blocked);
}

/// Guards against an older snapshot that replaces a later state.
#[tokio::test]
async fn older_snapshot_changes_nothing() {
    let log = MemLog::default();
    let (early, late) = (replica(), replica());
    log.publish(0);
    poll(&early, &log).await;
    log.publish(1);
    poll(&late, &log).await;
    let before = digest(&late);
    assert!(!late.restore(early.with_kernel(Clone::clone)));
    assert_eq!(digest(&late), before);
}

/// Guards against an operator who is not told that a process serves on old settings.
#[tokio::test]
async fn isolation_is_reported() {
    let log = MemLog::default();
    let r = replica();
    log.set_down(true);
    let lost = tokio::time::timeout(feed_support::PATIENCE, async {
        while r.status().isolated.is_none() {
            r.check_contact();
            assert_eq!(poll(&r, &log).await, Polled::Unreachable);
            tokio::time::sleep(Millis(20).duration()).await;
        }
    });
    lost.await.expect("isolated");
    log.set_down(false);
    poll(&r, &log).await;
    r.check_contact();
    assert_eq!(r.status().isolated, None);
}

/// Guards against causes that hide each other.
#[test]
fn alarms_clear_one_by_one() {
    let r = replica();
    r.raise(Cause::Gap, "gap".to_owned());
    r.raise(Cause::Peer, "peer".to_owned());
    r.clear(Cause::Gap);
    assert_eq!(r.status().blocked.as_deref(), Some("peer"));
    r.clear(Cause::Peer);
    assert_eq!(r.status().blocked, None);
}

/// Guards against a torn snapshot, of a writer that was killed or of two at once, that hides a complete one.
#[tokio::test]
async fn torn_snapshot_is_passed_over() {
    let log = MemLog::default();
    let r = replica();
    for n in 0..40 {
        log.publish_large(n);
    }
    poll(&r, &log).await;
    snapshot::write(&log, &r).await.expect("it is up");
    let whole = log.all(Stream::Snapshots);
    assert!(whole.len() > 2, "{} chunks", whole.len());
    log.publish(50);
    poll(&r, &log).await;
    snapshot::write(&log, &r).await.expect("it is up");
    let torn = log.all(Stream::Snapshots).len() - 1;
    log.shorten(Stream::Snapshots, torn);
    let kernel = snapshot::newest(&log, Offset(0)).await.expect("it is up");
    assert_eq!(kernel.expect("the older one").applied(), Offset(40));
    let head = snapshot::head(&log).await.expect("it is up");
    assert_eq!(head.expect("a record").applied, None);
}
