//! Tables of other entries that are older than what an entry knows already.

mod gateway_support;

use std::{
    cell::Cell,
    net::{SocketAddr, UdpSocket},
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use gateway_support::{
    addr, endpoint,
    gateway::{catalog, request, respond, settings_of, start_stored, CALLERS, HELD, MODEL},
    heartbeat, heartbeat_message, run_local, send_request, set_catalog, MemoryStore, TestDecode,
};
use http_body_util::Full;
use hyper::Response;
use sesamewing::{
    base::{rendezvous, Millis},
    gateway::{
        CatalogVersion, Decode, EndpointId, PageStart, Record, RecordStore, Records, Status,
        StoreError, TableDelta, TableDigest, Topic,
    },
    http::{listen, ServeOptions},
};
use tokio::{sync::watch, task::spawn_local, time::sleep};

/// Interval of the heartbeats of the other entries.
const INTERVAL: Duration = Duration::from_millis(30);

/// Time that the store takes for its first answer, and another entry for its table, which therefore comes last.
const STORE_TIME: Millis = Millis(600);
const TABLE_TIME: Millis = Millis(900);

/// Time after which all answers have arrived.
const SETTLED: Millis = Millis(2500);

/// A store whose first answer on endpoints takes a time, after which it no longer is its present state.
#[derive(Clone)]
struct SlowStore {
    store: MemoryStore,
    delay: Millis,
}

impl RecordStore for SlowStore {
    async fn newest(&self, topic: Topic, start: &PageStart) -> Result<Records, StoreError> {
        let state = self.store.newest(topic, start).await;
        if topic == Topic::Endpoints {
            sleep(self.delay.duration()).await;
        }
        state
    }

    async fn read(&self, topic: Topic, from: u64, wait: Millis) -> Result<Records, StoreError> {
        self.store.read(topic, from, wait).await
    }

    async fn append(&self, topic: Topic, record: &Record) -> Result<(), StoreError> {
        self.store.append(topic, record).await
    }
}

/// An entry of the same zone that says that it reads the store, and serves a table with one endpoint.
struct Reader {
    addr: SocketAddr,
    reads: Rc<Cell<bool>>,
}

fn text(at: SocketAddr) -> String {
    format!("plain {at} a {MODEL} {HELD}")
}

/// Encodes a table that holds one endpoint, at a position in the log if the sender's build says so.
fn encode_table(at: SocketAddr, position: Option<u64>) -> Vec<u8> {
    let id: EndpointId = format!("e-{at}").parse().expect("any text is an id");
    let record = TestDecode::endpoint(text(at).as_bytes()).expect("a record");
    let delta = TableDelta {
        count: 1,
        full: true,
        records: vec![(id, record)],
        ..TableDelta::default()
    };
    let mut data = postcard::to_stdvec(&delta).expect("encoded");
    if let Some(position) = position {
        let view = (Vec::<EndpointId>::new(), Some(position));
        data.extend(postcard::to_stdvec(&view).expect("encoded"));
    }
    data
}

impl Reader {
    /// Starts the entry on host `n`, which sends its heartbeats to `entry` and serves `table` after `delay`.
    fn start(n: u8, entry: SocketAddr, table: Vec<u8>, delay: Millis) -> Self {
        let at = addr(n, 8004);
        let handler = move |_| {
            let table = Bytes::from(table.clone());
            async move {
                sleep(delay.duration()).await;
                Response::new(Full::new(table))
            }
        };
        let (open, closed) = watch::channel(false);
        let listener = listen(at).expect("a free address");
        let serving = listener.serve(ServeOptions::default, handler, closed);
        spawn_local(serving);
        let reads = Rc::new(Cell::new(true));
        let says = reads.clone();
        spawn_local(async move {
            let _open = open;
            let socket = UdpSocket::bind(at).expect("a socket");
            for count in 1.. {
                let data = datagram(at, count, says.get());
                let _ = socket.send_to(&data, entry);
                sleep(INTERVAL).await;
            }
        });
        Self { addr: at, reads }
    }
}

fn datagram(peer: SocketAddr, count: u64, reads_store: bool) -> Vec<u8> {
    let status = Status {
        ready: true,
        catalog: CatalogVersion(0),
        reads_store,
        table: TableDigest(rendezvous(b"table", peer.to_string().as_bytes())),
    };
    let message = heartbeat_message(heartbeat(peer, "a", count, status));
    postcard::to_stdvec(&message).expect("encoded")
}

/// Starts the endpoints of the newer and the older table, and returns their addresses.
async fn endpoints() -> (SocketAddr, SocketAddr) {
    let (new, old) = (addr(10, 9000), addr(11, 9000));
    endpoint(new, respond("200 OK", "new")).await;
    endpoint(old, respond("200 OK", "old")).await;
    (new, old)
}

async fn start(n: u8, store: MemoryStore, delay: Millis) {
    set_catalog(catalog());
    store.write(Topic::Operator, "config", "1");
    start_stored::<_, TestDecode>(settings_of(n), SlowStore { store, delay }).await;
}

async fn answer(n: u8) -> String {
    send_request(addr(n, CALLERS), &request("/once/x"), 1500).await
}

/// Starts an entry while another one's table, which holds a removed endpoint, arrives after the store's answer.
async fn check_late_table(position: Option<u64>) {
    let (new, old) = endpoints().await;
    let store = MemoryStore::default();
    store.write(Topic::Endpoints, "gone", &text(old));
    store.write(Topic::Endpoints, "gone", "");
    store.write(Topic::Endpoints, "e", &text(new));
    let table = encode_table(old, position);
    let _reader = Reader::start(2, addr(1, 8004), table, TABLE_TIME);
    start(1, store, STORE_TIME).await;
    sleep(SETTLED.duration()).await;
    let got = answer(1).await;
    assert!(got.ends_with("new"), "`{got}`");
}

/// Guards against an entry that starts and takes a removed endpoint for good from the older table of another entry, whose
/// answer arrives after that of the store.
#[test]
fn late_table_does_not_replace_the_store() {
    run_local(check_late_table(Some(1)));
}

/// Guards against the same beside an entry of a build that does not say at which position of the log its table stands.
#[test]
fn late_table_without_position() {
    run_local(check_late_table(None));
}

/// Guards against an entry that does not read the store and goes back to the table of one that has read less of it.
#[test]
fn older_table_does_not_replace_a_newer_one() {
    run_local(async {
        let (new, old) = endpoints().await;
        let mut hosts = [1, 2, 3, 4];
        // The entries of the lowest ranks read the store for the zone.
        hosts.sort_by_key(|n| rendezvous(b"reader", addr(*n, 8004).to_string().as_bytes()));
        let [first, second, third, own] = hosts;
        let entry = addr(own, 8004);
        let newer = encode_table(new, Some(20));
        let first = Reader::start(first, entry, newer, Millis::ZERO);
        for n in [second, third] {
            let older = encode_table(old, Some(10));
            Reader::start(n, entry, older, Millis::ZERO);
        }
        start(own, MemoryStore::default(), Millis::from_secs(60)).await;
        sleep(SETTLED.duration()).await;
        let got = answer(own).await;
        assert!(got.ends_with("new"), "`{got}` beside {}", first.addr);
        first.reads.set(false);
        sleep(SETTLED.duration()).await;
        let got = answer(own).await;
        assert!(got.ends_with("new"), "`{got}` after {}", first.addr);
    });
}

/// Guards against an entry that starts and sends requests to a removed endpoint, because an answer of the store that was
/// long under way replaces the newer table of another entry.
#[test]
fn late_answer_does_not_replace_a_newer_table() {
    run_local(async {
        let (new, old) = endpoints().await;
        let store = MemoryStore::default();
        store.write(Topic::Endpoints, "gone", &text(old));
        let later = store.clone();
        spawn_local(async move {
            sleep(INTERVAL).await;
            later.write(Topic::Endpoints, "gone", "");
            later.write(Topic::Endpoints, &format!("e-{new}"), &text(new));
        });
        let table = encode_table(new, Some(3));
        let _reader = Reader::start(2, addr(1, 8004), table, Millis::ZERO);
        start(1, store, STORE_TIME).await;
        let end = Instant::now() + STORE_TIME.times(2).duration();
        while Instant::now() < end {
            let got = answer(1).await;
            assert!(got.ends_with("new"), "`{got}`");
            sleep(INTERVAL).await;
        }
    });
}
