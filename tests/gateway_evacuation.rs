//! Zone evacuation over sockets: which endpoints get requests while the operator's record of a zone is there.

mod gateway_support;

use std::{cell::Cell, rc::Rc};

use gateway_support::{
    addr, endpoint,
    gateway::{
        arrivals, catalog, events, request, respond, route, settings_of, start_entry, start_stored,
        CALLERS, HELD, MODEL,
    },
    header, run_local, send_request, set_catalog, MemoryStore, Seen, Step, TestDecode,
};
use sesamewing::{
    base::Millis,
    gateway::{PageStart, Record, RecordStore, Records, Repeat, StoreError, Topic},
};

/// Time in which a record takes effect at all entries of a test; well below the bound of 5 s.
const EFFECT: Millis = Millis(1000);

/// Time after the end of an evacuation in which a zone gets well below three quarters of its requests: its share rises for
/// 10 s.
const RISE: Millis = Millis(6000);

/// Number of requests below which a share of them tells nothing.
const EARLY_MIN: usize = 20;

/// Key of the record that evacuates the zone of the entries.
const KEY: &str = "evacuate/a";

/// A store that can refuse all calls.
#[derive(Clone, Default)]
struct Unstable {
    store: MemoryStore,
    away: Rc<Cell<bool>>,
}

impl Unstable {
    fn check(&self) -> Result<(), StoreError> {
        if self.away.get() {
            return Err(StoreError::Refused(503));
        }
        Ok(())
    }
}

impl RecordStore for Unstable {
    async fn newest(&self, topic: Topic, start: &PageStart) -> Result<Records, StoreError> {
        self.check()?;
        self.store.newest(topic, start).await
    }

    async fn read(&self, topic: Topic, from: u64, wait: Millis) -> Result<Records, StoreError> {
        self.check()?;
        let records = self.store.read(topic, from, wait).await?;
        self.check()?;
        Ok(records)
    }

    async fn append(&self, topic: Topic, record: &Record) -> Result<(), StoreError> {
        self.check()?;
        self.store.append(topic, record).await
    }
}

/// Starts an endpoint on host `n` in a zone.
async fn start_endpoint(store: &MemoryStore, n: u8, zone: &str, script: Vec<Step>) -> Rc<Seen> {
    let at = addr(n, 9000);
    let value = format!("plain {at} {zone} {MODEL} {HELD}");
    store.write(Topic::Endpoints, &format!("e{n}"), &value);
    endpoint(at, script).await
}

/// Returns a store with a catalog and no endpoint.
fn new_store() -> MemoryStore {
    let mut catalog = catalog();
    let mut stream = route("/stream/", Repeat::Resume);
    stream.attempts = 4;
    catalog.add_route("h.example", stream);
    set_catalog(catalog);
    let store = MemoryStore::default();
    store.write(Topic::Operator, "config", "1");
    store
}

/// Starts an entry on host `n` that knows the first one.
async fn start_other(n: u8, store: impl RecordStore) {
    let mut settings = settings_of(n);
    settings.seeds = vec![addr(1, 8004)];
    start_stored::<_, TestDecode>(settings, store).await;
}

async fn pause(time: Millis) {
    tokio::time::sleep(time.duration()).await;
}

/// Sends requests to an entry and returns how many succeeded; prints the other answers.
async fn send_some(n: u8, count: usize) -> usize {
    let mut served = 0;
    for _ in 0..count {
        let answer = send_request(addr(n, CALLERS), &request("/safe/"), 2000).await;
        if answer.contains(" 200 ") {
            served += 1;
        } else {
            eprintln!("entry {n}: `{answer}`");
        }
    }
    served
}

fn count(seen: &Rc<Seen>) -> usize {
    arrivals(std::slice::from_ref(seen))
}

/// Guards against an entry that goes on sending requests to an evacuated zone, and against a zone that gets none after the
/// record was removed.
#[test]
fn takes_effect_at_all_entries() {
    run_local(async {
        let store = new_store();
        let a = start_endpoint(&store, 10, "a", respond("200 OK", "x")).await;
        let b = start_endpoint(&store, 11, "b", respond("200 OK", "x")).await;
        start_entry(1, store.clone()).await;
        start_other(2, store.clone()).await;
        assert_eq!(send_some(1, 3).await + send_some(2, 3).await, 6);
        assert_eq!(count(&a), 6, "the zone of the entries is near");
        store.write(Topic::Operator, KEY, "x");
        pause(EFFECT).await;
        assert_eq!(send_some(1, 10).await + send_some(2, 10).await, 20);
        assert_eq!((count(&a), count(&b)), (6, 20));
        let ended = tokio::time::Instant::now();
        store.write(Topic::Operator, KEY, "");
        pause(EFFECT).await;
        // Requests sent while the share rises, and those of them that the zone got. A busy machine takes longer for all.
        let (mut early, mut early_back) = (0, 0);
        for _ in 0..80 {
            assert_eq!(send_some(1, 1).await + send_some(2, 1).await, 2);
            if ended.elapsed() < RISE.duration() {
                (early, early_back) = (early + 2, count(&a) - 6);
            }
            pause(Millis(50)).await;
        }
        let back = count(&a) - 6;
        assert!(back >= 5, "{back} of 160");
        assert!(
            4 * early_back < 3 * early.max(EARLY_MIN),
            "{early_back} of {early} in some seconds"
        );
    });
}

/// Guards against an entry that takes its first request before it knows that a zone is evacuated, and against one that
/// takes a removed record for one in force.
#[test]
fn state_is_known_at_the_start() {
    run_local(async {
        let store = new_store();
        let a = start_endpoint(&store, 10, "a", respond("200 OK", "x")).await;
        let b = start_endpoint(&store, 11, "b", respond("200 OK", "x")).await;
        store.write(Topic::Operator, KEY, "x");
        store.write(Topic::Operator, "evacuate/b", "x");
        store.write(Topic::Operator, "evacuate/b", "");
        start_entry(1, store.clone()).await;
        assert_eq!(send_some(1, 8).await, 8);
        assert_eq!((count(&a), count(&b)), (0, 8));
    });
}

/// Guards against an entry that can't reach the store, or isn't a reader of its zone, and doesn't learn of an evacuation
/// or its end from others, at its start and later.
#[test]
fn entries_without_the_store_get_copies() {
    run_local(async {
        let store = new_store();
        let a = start_endpoint(&store, 10, "a", respond("200 OK", "x")).await;
        let b = start_endpoint(&store, 11, "b", respond("200 OK", "x")).await;
        store.write(Topic::Operator, KEY, "x");
        start_entry(1, store.clone()).await;
        let away = Unstable::default();
        away.away.set(true);
        start_other(2, away).await;
        assert_eq!(send_some(2, 8).await, 8);
        assert_eq!((count(&a), count(&b)), (0, 8));
        store.write(Topic::Operator, KEY, "");
        store.write(Topic::Operator, "evacuate/b", "x");
        pause(EFFECT).await;
        assert_eq!(send_some(2, 8).await, 8);
        assert_eq!((count(&a), count(&b)), (8, 8));
    });
}

/// Guards against an entry that reads the store again after an outage and misses what was written meanwhile.
#[test]
fn state_is_known_after_an_outage() {
    run_local(async {
        let unstable = Unstable {
            store: new_store(),
            ..Unstable::default()
        };
        let store = &unstable.store;
        let a = start_endpoint(store, 10, "a", respond("200 OK", "x")).await;
        let _b = start_endpoint(store, 11, "b", respond("200 OK", "x")).await;
        start_stored::<_, TestDecode>(settings_of(1), unstable.clone()).await;
        assert_eq!(send_some(1, 2).await, 2);
        unstable.away.set(true);
        store.write(Topic::Operator, KEY, "x");
        pause(Millis(7500)).await;
        unstable.away.set(false);
        pause(EFFECT).await;
        assert_eq!(send_some(1, 8).await, 8);
        assert_eq!(count(&a), 2);
    });
}

/// Guards against the evacuation of a zone that doesn't exist, or has no valid name, which changes anything for callers.
#[test]
fn unknown_zone_changes_nothing() {
    gateway_support::lines::collect_lines();
    run_local(async {
        let store = new_store();
        let a = start_endpoint(&store, 10, "a", respond("200 OK", "x")).await;
        start_entry(1, store.clone()).await;
        store.write(Topic::Operator, "evacuate/nowhere", "x");
        store.write(Topic::Operator, "evacuate/not a zone", "x");
        pause(EFFECT).await;
        assert_eq!(send_some(1, 8).await, 8);
        assert_eq!(count(&a), 8);
        let lines = gateway_support::lines::take_lines();
        for name in ["zone=nowhere", "evacuate/not"] {
            let named = lines.iter().filter(|l| l.contains(name)).count();
            assert_eq!(named, 1, "{name}: {lines:?}");
        }
    });
}

/// Guards against a request that is held until its deadline although no endpoint outside the zone exists.
#[test]
fn rejected_at_once_without_other_endpoints() {
    run_local(async {
        let store = new_store();
        let a = start_endpoint(&store, 10, "a", respond("200 OK", "x")).await;
        store.write(Topic::Operator, KEY, "x");
        start_entry(1, store.clone()).await;
        for path in ["/once/", "/safe/", "/stream/"] {
            let begun = tokio::time::Instant::now();
            let answer = send_request(addr(1, CALLERS), &request(path), 2000).await;
            assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
            let wait = header(&answer, "retry-after").expect("a time");
            assert!(wait.parse::<f64>().is_ok_and(|s| s > 0.0), "{wait}");
            assert!(begun.elapsed() < Millis(400).duration());
        }
        assert_eq!(count(&a), 0);
    });
}

/// Guards against a further attempt, beside a silent one, that goes to a zone evacuated since the
/// first.
#[test]
fn waiting_requests_avoid_the_zone() {
    run_local(async {
        let store = new_store();
        let silent = || vec![Step::Pause(1500), Step::Reset];
        let first = [
            start_endpoint(&store, 10, "a", silent()).await,
            start_endpoint(&store, 11, "a", silent()).await,
        ];
        let b = start_endpoint(&store, 12, "b", respond("200 OK", "x")).await;
        start_entry(1, store.clone()).await;
        let text = request("/safe/");
        let answer = send_request(addr(1, CALLERS), &text, 2500);
        let evacuate = async {
            pause(Millis(100)).await;
            store.write(Topic::Operator, KEY, "x");
        };
        let (answer, ()) = tokio::join!(answer, evacuate);
        assert!(answer.contains(" 200 "), "{answer}");
        assert_eq!((arrivals(&first), count(&b)), (1, 1));
    });
}

/// Guards against a stream that is resumed in the evacuated zone after its endpoint there broke it off, and against an
/// evacuation that cancels streams in flight.
#[test]
fn streams_drain_and_resume_elsewhere() {
    run_local(async {
        let store = new_store();
        let mut cut = events(1..=2, "");
        cut.push(Step::Pause(600));
        cut.push(Step::Reset);
        let first = [
            start_endpoint(&store, 10, "a", cut.clone()).await,
            start_endpoint(&store, 11, "a", cut).await,
        ];
        let b = start_endpoint(&store, 12, "b", events(3..=4, "0\r\n\r\n")).await;
        start_entry(1, store.clone()).await;
        let text = request("/stream/");
        let answer = send_request(addr(1, CALLERS), &text, 2500);
        let evacuate = async {
            pause(Millis(100)).await;
            store.write(Topic::Operator, KEY, "x");
            pause(Millis(300)).await;
            assert_eq!(count(&b), 0, "the stream in flight goes on");
        };
        let (answer, ()) = tokio::join!(answer, evacuate);
        for id in 1..=4 {
            assert_eq!(
                answer.matches(&format!("id: {id}\n")).count(),
                1,
                "{answer}"
            );
        }
        assert_eq!((arrivals(&first), count(&b)), (1, 1));
    });
}
