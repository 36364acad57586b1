//! An entry that was paused, and removals of endpoints that it reads afterwards.

mod gateway_support;

use std::{
    cell::Cell,
    net::{SocketAddr, UdpSocket},
    rc::Rc,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    thread::{sleep, spawn},
    time::Duration,
};

use gateway_support::{
    addr, endpoint,
    gateway::{
        catalog, request, respond, settings, start_stored, with_store, CALLERS, HELD, MODEL,
    },
    heartbeat, heartbeat_message,
    lines::{collect_lines, take_lines},
    run_local, send_request, set_catalog, MemoryStore, TestDecode,
};
use sesamewing::{
    base::Millis,
    gateway::{
        CatalogVersion, PageStart, Record, RecordStore, Records, Status, StoreError, TableDigest,
        Topic,
    },
};

/// Time for which the process is paused: longer than the reads of the store may be overdue.
const PAUSE: Duration = Duration::from_secs(4);

/// Time after the pause in which the entry reads the store, and until which a doubted removal would still be tentative.
const READ_TIME: Millis = Millis(1200);

/// Time for which the other entry says that it has read the store.
const READ_FOR: Millis = Millis(10_000);

/// Interval of the other entry's heartbeats.
const INTERVAL: Duration = Duration::from_millis(100);

/// Time after the pause in which no heartbeat arrives, though the store answers.
const LATE: Millis = Millis(300);

/// Another entry, of another zone, that reads the store; its process is not paused.
#[derive(Default)]
struct Other {
    /// Whether its heartbeats are lost.
    cut: AtomicBool,
    ended: AtomicBool,
}

impl Other {
    /// Sends heartbeats until the end.
    fn run(&self, to: SocketAddr, peer: SocketAddr) {
        let socket = UdpSocket::bind(peer).expect("a socket");
        let status = Status {
            ready: true,
            catalog: CatalogVersion(1),
            reads_store: true,
            table: TableDigest(1),
        };
        for count in 1.. {
            if self.ended.load(Ordering::Relaxed) {
                return;
            }
            let message = heartbeat_message(heartbeat(peer, "b", count, status));
            let data = (message, vec![READ_FOR]);
            let data = postcard::to_stdvec(&data).expect("encoded");
            if !self.cut.load(Ordering::Relaxed) {
                socket.send_to(&data, to).expect("it is sent");
            }
            sleep(INTERVAL);
        }
    }
}

/// Removes an endpoint while an entry is paused, and returns the answer to a request to it [`READ_TIME`] later. If `late`,
/// the heartbeats of the other entry are lost from the start of the pause to [`LATE`] after its end.
async fn answer_after_pause(store: MemoryStore, peer: SocketAddr, late: bool) -> String {
    let to = addr(1, 8004);
    let other = Arc::new(Other::default());
    let sender = other.clone();
    let thread = spawn(move || sender.run(to, peer));
    tokio::time::sleep(Millis(1500).duration()).await;
    let before = send_request(addr(1, CALLERS), &request("/once/x"), 1000).await;
    assert!(before.ends_with("yes"), "`{before}`");
    other.cut.store(late, Ordering::Relaxed);
    store.write(Topic::Endpoints, "e0", "");
    sleep(PAUSE);
    tokio::time::sleep(LATE.duration()).await;
    other.cut.store(false, Ordering::Relaxed);
    tokio::time::sleep((READ_TIME - LATE).duration()).await;
    let after = send_request(addr(1, CALLERS), &request("/once/x"), 1000).await;
    other.ended.store(true, Ordering::Relaxed);
    thread.join().expect("it ends");
    after
}

fn check_pause(late: bool) {
    let catalog = catalog();
    let scripts = vec![respond("200 OK", "yes")];
    with_store(
        MemoryStore::default(),
        catalog,
        scripts,
        |_, store| async move {
            let after = answer_after_pause(store, addr(2, 8004), late).await;
            assert!(
                !after.ends_with("yes"),
                "the removed endpoint got a request"
            );
        },
    );
}

/// Guards against an entry that takes its own pause for an outage of the store: it would keep an endpoint that was
/// removed meanwhile, and send requests to it until it exits.
#[test]
fn pause_is_no_outage() {
    check_pause(false);
}

/// Guards against a doubt that outlasts the news that the store was not away, because the store answered the paused entry
/// before another entry was heard again.
#[test]
fn late_witness_ends_the_doubt() {
    check_pause(true);
}

/// Interval at which a test looks for an event.
const POLL: Millis = Millis(5);

/// Longest time in which an expected event of a test comes.
const EVENT_TIME: Millis = Millis(1200);

/// Time in which the entry applies a response of the store; well below the time for which it does not query an entry that
/// did not send its table (1.5 s), and for which it would doubt a removal (2.3 s).
const APPLY_TIME: Millis = Millis(100);

/// Time after the begin of the pause until which heartbeats of the other entry arrive.
const HEARD: Duration = Duration::from_millis(300);

/// Time in which the entry looks for removals that are due.
const EXPIRY_TIME: Millis = Millis(300);

/// A store whose responses are held while it is closed.
#[derive(Clone, Default)]
struct Gated {
    store: MemoryStore,
    closed: Rc<Cell<bool>>,
}

impl Gated {
    async fn opened(&self) {
        while self.closed.get() {
            pause(POLL).await;
        }
    }
}

impl RecordStore for Gated {
    async fn newest(&self, topic: Topic, start: &PageStart) -> Result<Records, StoreError> {
        self.opened().await;
        self.store.newest(topic, start).await
    }

    async fn read(&self, topic: Topic, from: u64, wait: Millis) -> Result<Records, StoreError> {
        let records = self.store.read(topic, from, wait).await?;
        if !self.closed.get() {
            return Ok(records);
        }
        self.opened().await;
        self.store.read(topic, from, Millis::ZERO).await
    }

    async fn append(&self, topic: Topic, record: &Record) -> Result<(), StoreError> {
        self.store.append(topic, record).await
    }
}

async fn pause(time: Millis) {
    tokio::time::sleep(time.duration()).await;
}

/// Waits until the entry logs a line that contains a text.
async fn await_line(text: &str) {
    let begun = tokio::time::Instant::now();
    while !take_lines().iter().any(|l| l.contains(text)) {
        assert!(begun.elapsed() < EVENT_TIME.duration(), "no `{text}`");
        pause(POLL).await;
    }
}

async fn ask() -> String {
    send_request(addr(1, CALLERS), &request("/once/x"), 1000).await
}

/// Runs a test against an entry with one endpoint, `e0`, and a store whose responses can be held.
fn with_gated<F: std::future::Future<Output = ()>>(test: impl FnOnce(Gated) -> F) {
    collect_lines();
    run_local(async {
        set_catalog(catalog());
        let gated = Gated::default();
        let at = addr(10, 9000);
        let value = format!("plain {at} a {MODEL} {HELD}");
        gated.store.write(Topic::Endpoints, "e0", &value);
        gated.store.write(Topic::Operator, "config", "1");
        let _seen = endpoint(at, respond("200 OK", "yes")).await;
        start_stored::<_, TestDecode>(settings(), gated.clone()).await;
        test(gated).await;
    });
}

/// Like [`with_gated`], beside another entry that is heard.
fn with_other<F: std::future::Future<Output = ()>>(test: impl FnOnce(Gated, Arc<Other>) -> F) {
    with_gated(|gated| async move {
        let other = Arc::new(Other::default());
        let (sender, to, peer) = (other.clone(), addr(1, 8004), addr(2, 8004));
        let thread = spawn(move || sender.run(to, peer));
        pause(Millis(1500)).await;
        test(gated, other.clone()).await;
        other.ended.store(true, Ordering::Relaxed);
        thread.join().expect("it ends");
    });
}

/// Removes the record of the endpoint, holds the store's responses, and holds the process up by `hold`.
async fn remove_in_pause(gated: &Gated, hold: impl FnOnce()) {
    let before = ask().await;
    assert!(before.ends_with("yes"), "`{before}`");
    gated.store.write(Topic::Endpoints, "e0", "");
    gated.closed.set(true);
    take_lines();
    hold();
}

/// Guards against an entry that no longer takes another one for a witness of the store because that one did not send its
/// table: it would then take its own pause for an outage of the store, and keep an endpoint that was removed meanwhile.
///
/// Heartbeats are read first after the pause, then the query of the table fails, and then the store's response is read.
#[test]
fn silent_table_is_no_outage() {
    with_other(|gated, _| async move {
        remove_in_pause(&gated, || sleep(PAUSE)).await;
        await_line("outcome=no-table").await;
        gated.closed.set(false);
        pause(APPLY_TIME).await;
        let after = ask().await;
        assert!(
            !after.ends_with("yes"),
            "the removed endpoint got a request"
        );
    });
}

/// Guards against an entry that takes a heartbeat which lay in its socket for one of the present: the store was away
/// meanwhile, and an endpoint that could not renew its record would be dropped.
///
/// The heartbeats, which arrived at the begin of the pause, are read before the store's response.
#[test]
fn held_heartbeats_are_no_witness() {
    with_other(|gated, other| async move {
        remove_in_pause(&gated, || {
            sleep(HEARD);
            other.cut.store(true, Ordering::Relaxed);
            sleep(PAUSE - HEARD);
        })
        .await;
        await_line("ready=true").await;
        gated.closed.set(false);
        pause(APPLY_TIME).await;
        let after = ask().await;
        assert!(after.ends_with("yes"), "`{after}`");
    });
}

/// Guards against requests to a removed endpoint after another entry was heard that read the store all the while.
///
/// The store's response is read first after the pause, and then a heartbeat.
#[test]
fn doubt_ends_with_the_heartbeat() {
    with_other(|gated, other| async move {
        other.cut.store(true, Ordering::Relaxed);
        remove_in_pause(&gated, || sleep(PAUSE)).await;
        gated.closed.set(false);
        await_line("change=Doubted").await;
        other.cut.store(false, Ordering::Relaxed);
        await_line("ready=true").await;
        let after = ask().await;
        assert!(
            !after.ends_with("yes"),
            "the removed endpoint got a request"
        );
    });
}

/// Guards against an endpoint that is dropped after a pause because the time to renew its record passed meanwhile, although
/// it renewed the record in time: the renewal is in a response of the store that is not read yet.
#[test]
fn unread_renewal_keeps_the_endpoint() {
    with_gated(|gated| async move {
        pause(Millis(700)).await;
        remove_in_pause(&gated, || ()).await;
        // An outage of the store, in which the record expires.
        pause(Millis(3000)).await;
        gated.closed.set(false);
        await_line("change=Doubted").await;
        gated.closed.set(true);
        let value = format!("plain {} a {MODEL} {HELD} 0 1", addr(10, 9000));
        gated.store.write(Topic::Endpoints, "e0", &value);
        sleep(PAUSE);
        pause(EXPIRY_TIME).await;
        let held = ask().await;
        gated.closed.set(false);
        pause(Millis(2500)).await;
        let after = ask().await;
        assert!(held.ends_with("yes"), "`{held}`");
        assert!(after.ends_with("yes"), "`{after}`");
    });
}
