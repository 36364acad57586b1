//! An in-memory log with faults.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex},
};

use bytes::Bytes;
use sesamewing::{
    backing::{Log, Page, PlatformError, Stream},
    base::{wall_ms, Millis, Offset},
    kernel::{Body, Entry, Record},
};
use tokio::sync::watch;

/// What happens to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The record is not appended and the caller is told so.
    Refuse,
    /// The record is appended and the answer is lost.
    LoseAnswer,
    /// The record is lost and no answer comes.
    LoseRecord,
    /// The record is appended only when [`MemLog::deliver`] is called, and the answer is lost.
    Late,
}

#[derive(Debug, Default)]
struct State {
    streams: std::collections::HashMap<Stream, Vec<(u64, Bytes)>>,
    /// Faults of the next appends in order.
    faults: VecDeque<Fault>,
    /// Refuses all appends and reads.
    down: bool,
    late: Vec<(Stream, Bytes)>,
}

#[derive(Clone, Debug)]
pub(crate) struct MemLog {
    state: Arc<Mutex<State>>,
    changed: Arc<watch::Sender<u64>>,
}

impl Default for MemLog {
    fn default() -> Self {
        Self {
            state: Arc::default(),
            changed: Arc::new(watch::Sender::new(0)),
        }
    }
}

impl MemLog {
    pub(crate) fn fail_next(&self, fault: Fault) {
        self.state.lock().unwrap().faults.push_back(fault);
    }

    pub(crate) fn set_down(&self, down: bool) {
        self.state.lock().unwrap().down = down;
        self.changed.send_modify(|n| *n += 1);
    }

    /// Appends the records that were held back.
    pub(crate) fn deliver(&self) {
        let late = std::mem::take(&mut self.state.lock().unwrap().late);
        for (stream, data) in late {
            self.push(stream, data);
        }
    }

    pub(crate) fn push(&self, stream: Stream, data: Bytes) -> Offset {
        let mut state = self.state.lock().unwrap();
        let records = state.streams.entry(stream).or_default();
        records.push((wall_ms(), data));
        let offset = Offset(records.len() as u64);
        drop(state);
        self.changed.send_modify(|n| *n += 1);
        offset
    }

    pub(crate) fn put(&self, stream: Stream, body: Body) -> Offset {
        self.push(stream, Record::new(body).encode().expect("a small record"))
    }

    /// Returns all records of a stream.
    pub(crate) fn bodies(&self, stream: Stream) -> Vec<Body> {
        let state = self.state.lock().unwrap();
        let records = state.streams.get(&stream).into_iter().flatten();
        records
            .map(|(_, data)| Record::decode(data).expect("own records").body)
            .collect()
    }

    fn page(&self, stream: Stream, from: Offset, max: usize) -> Result<Page, PlatformError> {
        let state = self.state.lock().unwrap();
        if state.down {
            return Err(PlatformError::Refused("down".to_owned()));
        }
        let records = state.streams.get(&stream).map_or(&[][..], |r| r);
        let entries = records.iter().enumerate().map(|(i, (time, data))| Entry {
            offset: Offset(i as u64 + 1),
            time: Millis(*time),
            data: data.clone(),
        });
        Ok(Page {
            first: Offset(1),
            next: Offset(records.len() as u64 + 1),
            records: entries.filter(|e| e.offset >= from).take(max).collect(),
        })
    }
}

impl Log for MemLog {
    async fn append(&self, stream: Stream, data: Bytes) -> Result<Offset, PlatformError> {
        let fault = {
            let mut state = self.state.lock().unwrap();
            if state.down {
                return Err(PlatformError::Refused("down".to_owned()));
            }
            state.faults.pop_front()
        };
        let lost = || Err(PlatformError::Unknown("lost".to_owned()));
        match fault {
            None => Ok(self.push(stream, data)),
            Some(Fault::Refuse) => Err(PlatformError::Refused("fault".to_owned())),
            Some(Fault::LoseRecord) => lost(),
            Some(Fault::LoseAnswer) => {
                self.push(stream, data);
                lost()
            }
            Some(Fault::Late) => {
                self.state.lock().unwrap().late.push((stream, data));
                lost()
            }
        }
    }

    async fn read(
        &self,
        stream: Stream,
        from: Offset,
        max: usize,
        wait: Millis,
    ) -> Result<Page, PlatformError> {
        let mut changed = self.changed.subscribe();
        let deadline = tokio::time::Instant::now() + wait.duration();
        loop {
            changed.mark_unchanged();
            let page = self.page(stream, from, max)?;
            if !page.records.is_empty()
                || tokio::time::timeout_at(deadline, changed.changed())
                    .await
                    .is_err()
            {
                return Ok(page);
            }
        }
    }
}
