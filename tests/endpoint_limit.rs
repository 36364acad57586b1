//! Limits of the request rate that endpoints name hold over all entries together.

mod gateway_support;

use std::{cell::RefCell, rc::Rc, time::Instant};

use gateway_support::{
    addr,
    gateway::{catalog, request, respond, start_entry, with_header, with_store, CALLERS},
    header, send_request, MemoryStore, Seen, Step,
};
use sesamewing::base::Millis;

/// Entries of the deployment, on hosts 1 to this number.
const ENTRIES: u8 = 3;

/// Interval of the callers' requests at each entry.
const INTERVAL: Millis = Millis(60);

/// Requests per second that the limited endpoint takes.
const LIMIT: usize = 2;

/// Length in seconds of the window in which requests are counted.
const WINDOW_S: usize = 4;

/// Time in which the entries learn of the limit.
const LEARNING: Millis = Millis(1500);

/// Requests that the endpoint may get in a window.
const ALLOWED: usize = LIMIT * WINDOW_S * 3 / 2 + 5;

/// Requests that the endpoint gets in a window at least, so that it is not starved: half of what it takes.
const USED: usize = LIMIT * WINDOW_S / 2;

/// Response to one request, and the time that it took.
type Served = (String, Millis);

fn limited() -> Vec<Step> {
    let script = with_header(respond("200 OK", "yes"), "Connection: close");
    with_header(script, &format!("X-Endpoint-Limit: {LIMIT}"))
}

fn unlimited() -> Vec<Step> {
    with_header(respond("200 OK", "yes"), "Connection: close")
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

/// Runs entries and callers; returns the requests that reached the first endpoint in one window, and what the callers
/// got.
async fn count_window(seen: &[Rc<Seen>], store: MemoryStore) -> (usize, Vec<Served>) {
    for entry in 2..=ENTRIES {
        start_entry(entry, store.clone()).await;
    }
    let served = Rc::new(RefCell::new(Vec::new()));
    let tasks: Vec<_> = (1..=ENTRIES).map(|n| callers(n, served.clone())).collect();
    tokio::time::sleep(LEARNING.duration()).await;
    let arrived = || seen[0].requests.borrow().len();
    let before = arrived();
    tokio::time::sleep(Millis::from_secs(WINDOW_S as u64).duration()).await;
    let count = arrived() - before;
    for task in tasks {
        task.abort();
    }
    let served = served.borrow().clone();
    (count, served)
}

/// Guards against entries that each keep to an endpoint's limit, or to none, so that the requests of all of them exceed
/// it, and against requests above the limit that fail although other endpoints are free.
#[test]
fn limit_sums_over_entries() {
    let scripts = vec![limited(), unlimited(), unlimited()];
    let store = MemoryStore::default();
    with_store(store, catalog(), scripts, |seen, store| async move {
        let (count, served) = count_window(&seen, store).await;
        assert!(count <= ALLOWED, "{count} requests, {ALLOWED} allowed");
        assert!(count >= USED, "{count} requests, the endpoint is starved");
        for (res, _) in served {
            assert!(res.starts_with("HTTP/1.1 200"), "{res}");
        }
    });
}

/// Guards against a service with one endpoint that gets requests above its limit, and against callers that wait before
/// they are rejected or are not told when to retry.
#[test]
fn lone_endpoint_rejects_above_limit() {
    let store = MemoryStore::default();
    with_store(
        store,
        catalog(),
        vec![limited()],
        |seen, store| async move {
            let (count, served) = count_window(&seen, store).await;
            assert!(count <= ALLOWED, "{count} requests, {ALLOWED} allowed");
            assert!(count >= USED, "{count} requests, the endpoint is starved");
            for (res, time) in served {
                if res.starts_with("HTTP/1.1 200") {
                    continue;
                }
                assert!(res.starts_with("HTTP/1.1 503"), "{res}");
                assert!(time < Millis(500), "rejected after {time}");
                let wait: Option<f64> = header(&res, "retry-after").and_then(|v| v.parse().ok());
                assert!(wait.is_some_and(|w| w > 0.0), "{res}");
            }
        },
    );
}
