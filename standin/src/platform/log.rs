//! Log streams.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use rocket::{data::ToByteUnit, http::Status, serde::json::Json, Data, Route, State};
use serde::Serialize;
use sesamewing::{
    base::{lock, wall_ms, Millis},
    kernel::RECORD_MAX,
};
use tokio::{sync::watch, time::Instant};

/// Stream names of the platform.
const STREAMS: [&str; 3] = ["control", "claims", "snapshots"];

/// Most records in one answer.
const PAGE_MAX: usize = 4096;

/// Longest wait of a long poll.
const WAIT_MAX: Millis = Millis(60_000);

#[derive(Clone, Serialize)]
struct Stored {
    offset: u64,
    time_ms: u64,
    /// Hexadecimal.
    data: String,
}

#[derive(Serialize)]
struct Page {
    first: u64,
    next: u64,
    records: Vec<Stored>,
}

#[derive(Default)]
struct Records {
    /// Consecutive offsets that end at `next - 1`.
    kept: VecDeque<Stored>,
    appends: u64,
    reads: u64,
}

struct LogStream {
    records: Mutex<Records>,
    /// Offset of the next append; changes wake the long polls.
    next: watch::Sender<u64>,
}

impl LogStream {
    fn lock(&self) -> MutexGuard<'_, Records> {
        lock(&self.records)
    }

    fn append(&self, data: &[u8]) -> u64 {
        let mut records = self.lock();
        records.appends += 1;
        let offset = *self.next.borrow();
        records.kept.push_back(Stored {
            offset,
            time_ms: wall_ms(),
            data: hex::encode(data),
        });
        self.next.send_replace(offset + 1);
        offset
    }

    fn read(&self, from: u64, max: usize, retention: Option<Millis>) -> Page {
        let mut records = self.lock();
        if let Some(retention) = retention {
            let oldest = wall_ms().saturating_sub(retention.0);
            while records.kept.front().is_some_and(|r| r.time_ms < oldest) {
                records.kept.pop_front();
            }
        }
        let next = *self.next.borrow();
        let first = records.kept.front().map_or(next, |r| r.offset);
        let skip = from.saturating_sub(first) as usize;
        let records = records.kept.iter().skip(skip);
        Page {
            first,
            next,
            records: records.take(max.min(PAGE_MAX)).cloned().collect(),
        }
    }
}

/// All log streams.
pub(super) struct Logs {
    retention: Option<Millis>,
    append: Millis,
    streams: BTreeMap<&'static str, LogStream>,
}

impl Logs {
    pub(super) fn new(retention: Option<Millis>, append: Millis) -> Self {
        let stream = || LogStream {
            records: Mutex::default(),
            next: watch::Sender::new(1),
        };
        Self {
            retention,
            append,
            streams: STREAMS.iter().map(|name| (*name, stream())).collect(),
        }
    }

    /// Returns the numbers of appends and reads by stream.
    pub(super) fn stats(&self) -> (BTreeMap<&str, u64>, BTreeMap<&str, u64>) {
        let count = |f: fn(&Records) -> u64| {
            let streams = self.streams.iter();
            streams.map(|(name, s)| (*name, f(&s.lock()))).collect()
        };
        (count(|r| r.appends), count(|r| r.reads))
    }
}

#[derive(Serialize)]
struct Appended {
    offset: u64,
}

#[rocket::post("/log/<stream>", data = "<data>")]
async fn append(
    logs: &State<Logs>,
    stream: &str,
    data: Data<'_>,
) -> Result<Json<Appended>, (Status, &'static str)> {
    let stream = logs
        .streams
        .get(stream)
        .ok_or((Status::NotFound, "no such stream"))?;
    let data = data
        .open(RECORD_MAX.bytes())
        .into_bytes()
        .await
        .map_err(|_| (Status::BadRequest, "the body was cut"))?;
    if !data.is_complete() {
        return Err((Status::PayloadTooLarge, "the record is too large"));
    }
    tokio::time::sleep(logs.append.duration()).await;
    let offset = stream.append(&data);
    Ok(Json(Appended { offset }))
}

#[rocket::get("/log/<stream>?<from>&<max>&<wait_ms>")]
async fn read(
    logs: &State<Logs>,
    stream: &str,
    from: u64,
    max: Option<usize>,
    wait_ms: Option<u64>,
    mut shutdown: rocket::Shutdown,
) -> Result<Json<Page>, Status> {
    let stream = logs.streams.get(stream).ok_or(Status::NotFound)?;
    let wait = Millis(wait_ms.unwrap_or(0)).min(WAIT_MAX);
    let end = Instant::now() + Duration::from_millis(wait.0);
    stream.lock().reads += 1;
    let mut next = stream.next.subscribe();
    tokio::select! {
        _ = next.wait_for(|&next| next > from) => {}
        () = tokio::time::sleep_until(end) => {}
        () = &mut shutdown => {}
    }
    let max = max.unwrap_or(PAGE_MAX);
    Ok(Json(stream.read(from, max, logs.retention)))
}

pub(super) fn routes() -> Vec<Route> {
    rocket::routes![append, read]
}
