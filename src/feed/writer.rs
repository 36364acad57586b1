//! Writes snapshots when they are due and this process's turn has come.

use super::{snapshot, Replica};
use crate::{
    backing::{Log, PlatformError, Stream},
    base::{wall_ms, Millis, Offset, ProcessName},
    decide::feed::{snapshot_rank, SnapshotTimer},
};

/// Time between two looks at the timer.
const INTERVAL: Millis = Millis(1000);

/// Longest time since the log last confirmed the state with which it is written.
const AGE_MAX: Millis = Millis(5000);

/// Writes snapshots until the task is dropped.
///
/// Times are wall-clock times, because the age of a snapshot is known only from the time that the log stamped on it; a
/// skewed clock makes this process write early or late.
pub async fn write_snapshots<L: Log>(replica: &Replica, log: &L, me: &ProcessName) {
    let mut timer = SnapshotTimer::default();
    loop {
        tokio::time::sleep(INTERVAL.duration()).await;
        if replica.status().blocked.is_some() || replica.age() > AGE_MAX {
            continue;
        }
        let now = Millis(wall_ms());
        let retention = replica.settings().log.retention;
        let rank = snapshot_rank(&replica.hosts().hosts, me);
        if !timer.poll(now, replica.applied(), retention, rank) {
            continue;
        }
        if let Err(e) = write_if_due(replica, log, &mut timer, now, retention).await {
            log::debug!("no snapshot was written: {e}");
            timer.failed(now);
        }
    }
}

/// Looks at the stream and writes unless it holds a newer snapshot.
async fn write_if_due<L: Log>(
    replica: &Replica,
    log: &L,
    timer: &mut SnapshotTimer,
    now: Millis,
    retention: Millis,
) -> Result<(), PlatformError> {
    let head = snapshot::head(log).await?;
    let complete = head.and_then(|h| Some((h.applied?, h.time)));
    let (newest, time) = match complete {
        Some(newest) => newest,
        None => (Offset(0), first_time(log).await?),
    };
    timer.record_snapshot(newest, time);
    if !timer.is_due(now, replica.applied(), retention) {
        return Ok(());
    }
    let applied = snapshot::write(log, replica).await?;
    timer.record_snapshot(applied, Millis(wall_ms()));
    Ok(())
}

/// Returns the time of the oldest kept record of the control stream.
async fn first_time<L: Log>(log: &L) -> Result<Millis, PlatformError> {
    let page = log
        .read(Stream::Control, Offset(1), 1, Millis::ZERO)
        .await?;
    // Without a kept record a state exists only in processes and must be written at once.
    let time = page.records.first().map_or(Millis::ZERO, |e| e.time);
    Ok(time)
}
