//! The requests of all entries to a cold endpoint keep to its cold rate; entries and endpoints on sockets.

mod gateway_support;

use std::{cell::RefCell, rc::Rc, time::Instant};

use gateway_support::{
    addr,
    gateway::{
        catalog, request, respond, start_entry, with_header, with_store, CALLERS, HELD, MODEL,
    },
    header, send_request, MemoryStore, Seen, Step,
};
use sesamewing::{
    base::Millis,
    decide::cold::ColdStart,
    gateway::{Catalog, Topic},
};

/// Entries of the deployment, on hosts 1 to this number.
const ENTRIES: u8 = 3;

/// Interval of the callers' requests at each entry.
const INTERVAL: Millis = Millis(45);

/// Requests per second that a cold endpoint tolerates; without bounds in the settings, also the most in any one second.
const RATE: usize = 10;

/// Time for which requests are counted.
const TIME: Millis = Millis(5000);

/// Time in which the entries learn that the endpoint is cold.
const LEARNING: Millis = Millis(2000);

/// Interval at which the requests that have arrived are counted.
const SAMPLE: Millis = Millis(50);

/// Response to one request, and the time that it took.
type Served = (String, Millis);

fn cold_catalog(per_s: f64) -> Catalog {
    let mut out = catalog();
    for spec in out.services.values_mut() {
        spec.cold = ColdStart::new(30.0, per_s);
    }
    out
}

fn warm() -> Vec<Step> {
    with_header(respond("200 OK", "yes"), "Connection: close")
}

/// Returns the same with a time for which each request occupies a slot, so that endpoints are loaded.
fn busy() -> Vec<Step> {
    let mut script = vec![Step::Pause(100)];
    script.extend(warm());
    script
}

fn cold() -> Vec<Step> {
    with_header(warm(), "X-Endpoint-Cold-Ms: 30000")
}

/// Writes a record of the first endpoint that says for how long it is cold.
fn write_cold(store: &MemoryStore, ms: u64, sequence: u64) {
    let value = format!("plain {} a {MODEL} {HELD} {ms} {sequence}", addr(10, 9000));
    store.write(Topic::Endpoints, "e0", &value);
}

/// Sends requests to an entry at a constant rate until the returned task is aborted.
fn callers(entry: u8, served: Rc<RefCell<Vec<Served>>>) -> tokio::task::JoinHandle<()> {
    tokio::task::spawn_local(async move {
        loop {
            tokio::time::sleep(INTERVAL.duration()).await;
            let served = served.clone();
            tokio::task::spawn_local(async move {
                let start = Instant::now();
                let res = send_request(addr(entry, CALLERS), &request("/safe/x"), 2500).await;
                served.borrow_mut().push((res, start.elapsed().into()));
            });
        }
    })
}

/// Requests that reached the first endpoint: the most in one second, and all.
#[derive(Debug)]
struct Arrivals {
    peak: usize,
    all: usize,
}

/// Counts the requests that reach an endpoint in `time`.
async fn count(seen: &Seen, time: Millis) -> Arrivals {
    let arrived = || seen.requests.borrow().len();
    let mut counts = vec![arrived()];
    let start = Instant::now();
    while start.elapsed() < time.duration() {
        tokio::time::sleep(SAMPLE.duration()).await;
        counts.push(arrived());
    }
    let per_second = (1000 / SAMPLE.0) as usize;
    let windows = counts.windows(per_second);
    Arrivals {
        peak: windows.map(|w| w[per_second - 1] - w[0]).max().unwrap_or(0),
        all: counts[counts.len() - 1] - counts[0],
    }
}

/// Starts the other entries and callers of all.
async fn start(
    store: &MemoryStore,
) -> (Rc<RefCell<Vec<Served>>>, Vec<tokio::task::JoinHandle<()>>) {
    for entry in 2..=ENTRIES {
        start_entry(entry, store.clone()).await;
    }
    let served = Rc::new(RefCell::new(Vec::new()));
    let tasks = (1..=ENTRIES).map(|n| callers(n, served.clone())).collect();
    (served, tasks)
}

fn assert_limited(arrivals: &Arrivals) {
    assert!(
        arrivals.peak <= RATE,
        "{arrivals:?}, {RATE} allowed in a second"
    );
    let least = RATE * TIME.0 as usize / 1000 / 2;
    assert!(
        arrivals.all >= least,
        "{arrivals:?}, the endpoint is starved"
    );
}

/// Guards against entries that each keep to a cold endpoint's rate, or to none, so that the requests of all exceed it; and
/// against callers that are turned away although warm endpoints are free.
#[test]
fn cold_rate_sums_over_entries() {
    let scripts = vec![busy(), busy(), busy()];
    let catalog = cold_catalog(RATE as f64);
    with_store(
        MemoryStore::default(),
        catalog,
        scripts,
        |seen, store| async move {
            write_cold(&store, 60_000, 1);
            let (served, tasks) = start(&store).await;
            tokio::time::sleep(LEARNING.duration()).await;
            let arrivals = count(&seen[0], TIME).await;
            tasks.iter().for_each(|t| t.abort());
            assert_limited(&arrivals);
            for (res, _) in served.borrow().iter() {
                assert!(res.starts_with("HTTP/1.1 200"), "{res}");
            }
        },
    );
}

/// Guards against entries that do not learn from responses that an endpoint is cold, against callers that wait before they
/// are rejected or are not told when to retry, and against a limit that remains when a record says that it is warm.
#[test]
fn lone_cold_endpoint_rejects_above_its_rate() {
    let catalog = cold_catalog(RATE as f64);
    with_store(
        MemoryStore::default(),
        catalog,
        vec![cold()],
        |seen, store| async move {
            let (served, tasks) = start(&store).await;
            tokio::time::sleep(LEARNING.duration()).await;
            served.borrow_mut().clear();
            let arrivals = count(&seen[0], TIME).await;
            assert_limited(&arrivals);
            for (res, time) in served.borrow().iter() {
                if res.starts_with("HTTP/1.1 200") {
                    continue;
                }
                assert!(res.starts_with("HTTP/1.1 503"), "{res}");
                assert!(*time < Millis(500), "rejected after {time}");
                let wait: Option<f64> = header(res, "retry-after").and_then(|v| v.parse().ok());
                assert!(wait.is_some_and(|w| w > 0.0), "{res}");
            }
            tasks.iter().for_each(|t| t.abort());
        },
    );
}

/// Guards against a limit that outlasts the record that says that the endpoint is warm.
#[test]
fn warm_record_ends_the_limit() {
    let catalog = cold_catalog(RATE as f64);
    with_store(
        MemoryStore::default(),
        catalog,
        vec![warm()],
        |seen, store| async move {
            write_cold(&store, 60_000, 1);
            let (_, tasks) = start(&store).await;
            tokio::time::sleep(LEARNING.duration()).await;
            let limited = count(&seen[0], Millis(2000)).await;
            assert!(limited.peak <= RATE, "{limited:?}");
            write_cold(&store, 0, 2);
            tokio::time::sleep(LEARNING.duration()).await;
            let free = count(&seen[0], Millis(2000)).await;
            assert!(free.peak > RATE * 2, "{free:?}");
            tasks.iter().for_each(|t| t.abort());
        },
    );
}

/// Guards against a limit on cold endpoints of a service whose configuration names no cold rate.
#[test]
fn services_without_a_cold_rate_are_not_limited() {
    with_store(
        MemoryStore::default(),
        cold_catalog(0.0),
        vec![cold()],
        |seen, store| async move {
            write_cold(&store, 60_000, 1);
            let (served, tasks) = start(&store).await;
            let free = count(&seen[0], Millis(3000)).await;
            assert!(free.peak > RATE * 2, "{free:?}");
            for (res, _) in served.borrow().iter() {
                assert!(res.starts_with("HTTP/1.1 200"), "{res}");
            }
            tasks.iter().for_each(|t| t.abort());
        },
    );
}
