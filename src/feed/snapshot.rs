//! Reads and writes the snapshot stream.

use super::Replica;
use crate::{
    backing::{Log, PlatformError, Stream},
    base::{Millis, Offset},
    kernel::{Assembler, Entry, Kernel, Snapshot, SnapshotChunk},
};

/// Chunks in one read.
const READ_MAX: usize = 16;

/// The end of the snapshot stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    /// Offset of the state, if the last record ends a snapshot.
    pub applied: Option<Offset>,
    /// Time that the log stamped on the last record.
    pub time: Millis,
}

async fn last<L: Log>(log: &L) -> Result<Option<(Entry, SnapshotChunk)>, PlatformError> {
    let read = |from| log.read(Stream::Snapshots, from, 1, Millis::ZERO);
    // A read beyond the end returns no record, only the end itself.
    let end = read(Offset(u64::MAX >> 1)).await?.next;
    if end <= Offset(1) {
        return Ok(None);
    }
    let page = read(Offset(end.0 - 1)).await?;
    let entry = page.records.into_iter().next_back();
    Ok(entry.and_then(|e| SnapshotChunk::decode(&e.data).map(|c| (e, c))))
}

/// Looks at the last record of the stream only.
///
/// # Errors
///
/// Returns an error if the log cannot be reached.
pub async fn head<L: Log>(log: &L) -> Result<Option<Head>, PlatformError> {
    Ok(last(log).await?.map(|(entry, chunk)| Head {
        applied: (chunk.index + 1 == chunk.total).then_some(chunk.applied),
        time: entry.time,
    }))
}

/// Loads the newest complete state in the stream, provided that it has applied `least`.
///
/// The chunks of a snapshot usually are the last records, so that the whole stream is read only if its writer was
/// interrupted, two writers were active, or the last writer was behind.
///
/// # Errors
///
/// Returns an error if the log cannot be reached.
pub async fn newest<L: Log>(log: &L, least: Offset) -> Result<Option<Kernel>, PlatformError> {
    let Some((entry, chunk)) = last(log).await? else {
        return Ok(None);
    };
    let start = Offset(entry.offset.0.saturating_sub(chunk.index.into()));
    let enough = |k: &Kernel| k.applied() >= least;
    if let Some(kernel) = from(log, start).await?.pop().filter(enough) {
        return Ok(Some(kernel));
    }
    Ok(from(log, Offset(1)).await?.pop().filter(enough))
}

/// Loads all complete states in the stream, the oldest first.
///
/// # Errors
///
/// Returns an error if the log cannot be reached.
pub async fn all<L: Log>(log: &L) -> Result<Vec<Kernel>, PlatformError> {
    from(log, Offset(1)).await
}

async fn from<L: Log>(log: &L, mut from: Offset) -> Result<Vec<Kernel>, PlatformError> {
    let mut assembler = Assembler::default();
    let mut kernels = Vec::new();
    loop {
        let page = log
            .read(Stream::Snapshots, from, READ_MAX, Millis::ZERO)
            .await?;
        for entry in &page.records {
            let whole = SnapshotChunk::decode(&entry.data).and_then(|c| assembler.add(c));
            kernels.extend(whole.and_then(|s| s.kernel()));
            from = entry.offset.next();
        }
        if page.records.is_empty() || from >= page.next {
            kernels.sort_by_key(Kernel::applied);
            return Ok(kernels);
        }
    }
}

/// Writes a snapshot of the applied state.
///
/// # Errors
///
/// Returns an error if an append fails; the chunks written so far are ignored by readers.
pub async fn write<L: Log>(log: &L, replica: &Replica) -> Result<Offset, PlatformError> {
    let snapshot = replica.with_kernel(Snapshot::of);
    for chunk in snapshot.split() {
        log.append(Stream::Snapshots, chunk.encode()).await?;
    }
    Ok(snapshot.applied)
}
