//! Log lines of silent endpoints.

mod gateway_support;

use std::sync::Mutex;

use gateway_support::{
    addr, endpoint,
    gateway::{catalog_of_engines, route, settings, start_with, CALLERS, HELD, MODEL},
    run_local, send_request, set_catalog, MemoryStore, Step,
};
use log::{LevelFilter, Log, Metadata, Record};
use sesamewing::{
    base::Millis,
    gateway::{Repeat, Topic},
};

/// Time after which a desired version is enforced in these tests.
const BOUND: Millis = Millis(4000);

/// Latency objective of the route, by which the endpoint must have begun before another attempt may begin.
const OBJECTIVE: Millis = Millis(1200);

/// Keeps the lines that were logged.
#[derive(Debug)]
struct Lines(Mutex<Vec<String>>);

static LINES: Lines = Lines(Mutex::new(Vec::new()));

impl Log for Lines {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let line = record.args().to_string();
        self.0.lock().expect("a lock").push(line);
    }

    fn flush(&self) {}
}

/// Guards against two lines for one silent endpoint, the second of which tells of a wait that never was.
#[test]
fn cancelled_attempt_is_logged_once() {
    log::set_logger(&LINES).expect("no other logger");
    log::set_max_level(LevelFilter::Debug);
    run_local(async {
        let mut catalog = catalog_of_engines(1000.0);
        let mut slow = route("/slow/", Repeat::Idempotent);
        slow.timeout = Millis(9000);
        slow.objective = OBJECTIVE;
        catalog.add_route("h.example", slow);
        set_catalog(catalog);
        let store = MemoryStore::default();
        let at = addr(10, 9000);
        let record = format!("plain {at} a {MODEL} {HELD}");
        store.write(Topic::Endpoints, "e10", &record);
        endpoint(at, vec![Step::AwaitClose]).await;
        store.write(Topic::Operator, "config", "1");
        let mut settings = settings();
        settings.bounds.version = BOUND;
        start_with(settings, store.clone()).await;
        store.write(Topic::Operator, MODEL, &(HELD + 1).to_string());
        let text = format!(
            "POST /slow/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r1\r\nX-Deadline-Ms: 8000\r\n\
             X-Workspace-Key: key\r\nX-Model: {MODEL}\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi"
        );
        let got = send_request(addr(1, CALLERS), &text, 5000).await;
        assert!(got.starts_with("HTTP/1.1 502"), "{got}");
    });
    let lines = LINES.0.lock().expect("a lock");
    let silent = lines.iter().filter(|l| l.contains("outcome=silent"));
    let silent: Vec<_> = silent.collect();
    assert_eq!(silent.len(), 1, "{silent:?}");
}
