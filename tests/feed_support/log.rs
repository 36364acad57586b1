//! An in-memory log that can lose its beginning, its end or everything.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
};

use bytes::Bytes;
use sesamewing::{
    backing::{Log, Page, PlatformError, Stream},
    base::{wall_ms, Millis, Offset},
    kernel::{Body, Entry, NodePath, Publish, Record},
};

#[derive(Debug, Default)]
struct State {
    streams: HashMap<Stream, Vec<Entry>>,
    /// First offset still kept.
    first: HashMap<Stream, u64>,
    down: bool,
    reads: usize,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct MemLog(Arc<Mutex<State>>);

/// A change of the root with its own base, so that every one is accepted in order.
pub(crate) fn change(n: u64, base: Offset, size: usize) -> Body {
    let text = format!("{n:0>size$}");
    Body::Publish(Publish {
        author: "test".to_owned(),
        base: vec![(NodePath::Root, base)],
        nodes: vec![(
            NodePath::Root,
            Some([(format!("test.n{n}"), text)].into_iter().collect()),
        )],
    })
}

impl MemLog {
    pub(crate) fn push(&self, stream: Stream, data: Bytes) -> Offset {
        let mut state = self.0.lock().unwrap();
        let records = state.streams.entry(stream).or_default();
        let offset = Offset(records.len() as u64 + 1);
        records.push(Entry {
            offset,
            time: Millis(wall_ms()),
            data,
        });
        offset
    }

    pub(crate) fn publish(&self, n: u64) -> Offset {
        let base = Offset(self.all(Stream::Control).len() as u64);
        let record = Record::new(change(n, base, 1));
        self.push(Stream::Control, record.encode().expect("a small record"))
    }

    /// Publishes one region with long values, so that the state needs several chunks.
    pub(crate) fn publish_large(&self, n: u64) -> Offset {
        let path: NodePath = format!("/r{n}").parse().expect("a path");
        let body = Body::Publish(Publish {
            author: "test".to_owned(),
            base: vec![(path.clone(), Offset(0))],
            nodes: vec![(
                path,
                Some([("k".to_owned(), "x".repeat(8000))].into_iter().collect()),
            )],
        });
        self.push(
            Stream::Control,
            Record::new(body).encode().expect("a record"),
        )
    }

    pub(crate) fn all(&self, stream: Stream) -> Vec<Entry> {
        let state = self.0.lock().unwrap();
        state.streams.get(&stream).cloned().unwrap_or_default()
    }

    /// Drops the records before `first`.
    pub(crate) fn truncate(&self, stream: Stream, first: u64) {
        self.0.lock().unwrap().first.insert(stream, first);
    }

    /// Drops the records after the first `len`.
    pub(crate) fn shorten(&self, stream: Stream, len: usize) {
        let mut state = self.0.lock().unwrap();
        state.streams.entry(stream).or_default().truncate(len);
    }

    /// Empties a stream and returns what was in it.
    pub(crate) fn reset(&self, stream: Stream) -> Vec<Entry> {
        let mut state = self.0.lock().unwrap();
        state.streams.remove(&stream).unwrap_or_default()
    }

    pub(crate) fn replace(&self, stream: Stream, entries: Vec<Entry>) {
        self.0.lock().unwrap().streams.insert(stream, entries);
    }

    /// Appends `n` records that are dropped before anybody reads them.
    pub(crate) fn lose(&self, stream: Stream, n: usize) {
        let mut state = self.0.lock().unwrap();
        let records = state.streams.entry(stream).or_default();
        for _ in 0..n {
            records.push(Entry {
                offset: Offset(records.len() as u64 + 1),
                time: Millis(wall_ms()),
                data: Bytes::new(),
            });
        }
        let first = records.len() as u64 + 1;
        state.first.insert(stream, first);
    }

    /// Returns the number of reads that were answered.
    pub(crate) fn reads(&self) -> usize {
        self.0.lock().unwrap().reads
    }

    pub(crate) fn set_down(&self, down: bool) {
        self.0.lock().unwrap().down = down;
    }
}

impl Log for MemLog {
    async fn append(&self, stream: Stream, data: Bytes) -> Result<Offset, PlatformError> {
        if self.0.lock().unwrap().down {
            return Err(PlatformError::Refused("down".to_owned()));
        }
        Ok(self.push(stream, data))
    }

    async fn read(
        &self,
        stream: Stream,
        from: Offset,
        max: usize,
        wait: Millis,
    ) -> Result<Page, PlatformError> {
        let end = tokio::time::Instant::now() + wait.duration();
        while self.page(stream, from, max)?.records.is_empty() && tokio::time::Instant::now() < end
        {
            tokio::time::sleep(Millis(2).duration()).await;
        }
        self.0.lock().unwrap().reads += 1;
        self.page(stream, from, max)
    }
}

impl MemLog {
    fn page(&self, stream: Stream, from: Offset, max: usize) -> Result<Page, PlatformError> {
        let state = self.0.lock().unwrap();
        if state.down {
            return Err(PlatformError::Refused("down".to_owned()));
        }
        let records = state.streams.get(&stream).map_or(&[][..], |r| r);
        let first = Offset(state.first.get(&stream).copied().unwrap_or(1));
        let kept = records.iter().filter(|e| e.offset >= first.max(from));
        Ok(Page {
            first,
            next: Offset(records.len() as u64 + 1),
            records: kept.take(max).cloned().collect(),
        })
    }
}
