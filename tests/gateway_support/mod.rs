//! An in-memory store, scripted endpoints and a raw HTTP client for tests of the gateway and of staging.
#![allow(dead_code, unreachable_pub)]

pub mod fragile;
pub mod gateway;
pub mod lines;
pub mod stopping;

use std::{
    cell::{Cell, RefCell},
    future::Future,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    sync::atomic::{AtomicU8, Ordering},
    time::Duration,
};

use bytes::Bytes;
use sesamewing::{
    base::{Era, HashMap, Millis},
    gateway::{
        Catalog, Decode, EndpointRecord, Gossip, Heartbeat, Message, OperatorRecord, PageStart,
        Record, RecordStore, Records, Revision, Status, StoreError, Topic, WeightVersion,
    },
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::Notify,
    task::LocalSet,
};

/// Number of loopback addresses that one test may use.
const HOSTS: u8 = 16;

/// Number of tests of this process that have used loopback addresses.
static TESTS: AtomicU8 = AtomicU8::new(0);

thread_local! {
    static TEST: u8 = TESTS.fetch_add(1, Ordering::Relaxed);
}

/// Returns the loopback address of the test's host `n`, which no other test uses.
pub fn host(n: u8) -> IpAddr {
    let pid = std::process::id();
    let test = TEST.with(|t| t % HOSTS);
    IpAddr::from([
        127,
        100 + (pid >> 8) as u8 % 100,
        pid as u8,
        test * HOSTS + n % HOSTS,
    ])
}

pub fn addr(n: u8, port: u16) -> SocketAddr {
    SocketAddr::new(host(n), port)
}

/// Runs a test's tasks on this thread until its future ends.
pub fn run_local<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, test)
}

thread_local! {
    static CATALOG: RefCell<Option<Catalog>> = const { RefCell::new(None) };
}

/// Sets the catalog that [`TestDecode`] returns for the record `config`.
pub fn set_catalog(catalog: Catalog) {
    CATALOG.set(Some(catalog));
}

/// Decodes the plain-text records of these tests.
pub struct TestDecode;

impl Decode for TestDecode {
    fn operator_record(key: &[u8], value: &[u8]) -> Result<Option<OperatorRecord>, String> {
        if key == b"config" {
            let catalog = Self::catalog(value)?;
            return Ok(Some(OperatorRecord::Catalog(Box::new(catalog))));
        }
        let text = std::str::from_utf8(value).map_err(|e| e.to_string())?;
        let version = text.parse().map_err(|_| "no version".to_owned())?;
        let model = String::from_utf8_lossy(key).into_owned();
        Ok(Some(OperatorRecord::Weights(model.into(), version)))
    }

    fn evacuated_zone(key: &[u8]) -> Option<&[u8]> {
        key.strip_prefix(b"evacuate/")
    }

    fn catalog(_: &[u8]) -> Result<Catalog, String> {
        CATALOG.with_borrow(Clone::clone).ok_or("no catalog".into())
    }

    /// Decodes `service address zone model version`, which `cold-ms sequence` may follow.
    fn endpoint(value: &[u8]) -> Result<EndpointRecord, String> {
        let text = std::str::from_utf8(value).map_err(|e| e.to_string())?;
        let parts: Vec<_> = text.split(' ').collect();
        let [service, addr, zone, model, version, ref rest @ ..] = parts[..] else {
            return Err(format!("`{text}` is no endpoint"));
        };
        let number = |i: usize| rest.get(i).map_or(Ok(0), |n| n.parse::<u64>());
        let cold = number(0).map_err(|e| e.to_string())?;
        let sequence = number(1).map_err(|e| e.to_string())?;
        let born = number(2).map_err(|e| e.to_string())?;
        let version: u64 = version.parse().map_err(|_| "no version".to_owned())?;
        let models = if version > 0 {
            vec![(model.into(), WeightVersion(version))]
        } else {
            Vec::new()
        };
        Ok(EndpointRecord {
            service: service.parse().map_err(|_| "no service".to_owned())?,
            addr: addr.parse().map_err(|_| "no address".to_owned())?,
            zone: zone.parse().map_err(|_| "no zone".to_owned())?,
            slots: 4,
            draining: false,
            cold: Millis(cold),
            models,
            revision: Revision { born, sequence },
        })
    }
}

/// The records of each topic, in the order of the log.
type Logs = HashMap<Topic, Vec<Record>>;

/// An in-memory store: the records of each topic, a wake-up for reads that wait, and how often the store was restored from
/// an older copy.
#[derive(Clone, Default)]
pub struct MemoryStore(Rc<RefCell<Logs>>, Rc<Notify>, Rc<Cell<u64>>);

/// A copy of all topics of a store.
#[derive(Clone)]
pub struct StoreCopy(Logs);

impl StoreCopy {
    /// Removes a topic from the copy.
    pub fn remove(&mut self, topic: Topic) {
        self.0.remove(&topic);
    }
}

impl MemoryStore {
    /// Appends a record; an empty value removes the key.
    pub fn write(&self, topic: Topic, key: &str, value: &str) {
        let record = Record {
            key: Bytes::copy_from_slice(key.as_bytes()),
            value: Some(Bytes::copy_from_slice(value.as_bytes())).filter(|v| !v.is_empty()),
        };
        self.0.borrow_mut().entry(topic).or_default().push(record);
        self.1.notify_waiters();
    }

    /// Returns a copy of the store, to be restored later.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.0.borrow().clone())
    }

    /// Restores the store from an older copy: what was written since is lost, its offsets are used again, and the next
    /// era begins. Reads that wait go on waiting, as at a store that keeps their connections.
    pub fn restore(&self, copy: &StoreCopy) {
        self.0.replace(copy.0.clone());
        self.2.set(self.2.get() + 1);
    }

    /// Returns how many records of a topic have a key.
    pub fn count(&self, topic: Topic, key: &str) -> usize {
        let all = self.0.borrow();
        let list = all.get(&topic).map(Vec::as_slice).unwrap_or_default();
        list.iter().filter(|r| r.key == key).count()
    }

    /// Returns the records from an offset on; fails if the log ends before it.
    fn records_from(&self, topic: Topic, from: u64) -> Result<Vec<Record>, StoreError> {
        let all = self.0.borrow();
        let list = all.get(&topic).map(Vec::as_slice).unwrap_or_default();
        let records = list.get(from as usize..).ok_or(StoreError::Trimmed)?;
        Ok(records.to_vec())
    }
}

impl RecordStore for MemoryStore {
    async fn newest(&self, topic: Topic, _: &PageStart) -> Result<Records, StoreError> {
        let records = self.records_from(topic, 0)?;
        let next = records.len() as u64;
        Ok(Records {
            records,
            next,
            end: next,
            era: Era(self.2.get()),
            ..Records::default()
        })
    }

    async fn read(&self, topic: Topic, from: u64, wait: Millis) -> Result<Records, StoreError> {
        let mut records = self.records_from(topic, from)?;
        if records.is_empty() && wait > Millis::ZERO {
            let _ = tokio::time::timeout(wait.duration(), self.1.notified()).await;
            records = self.records_from(topic, from)?;
        }
        let next = from + records.len() as u64;
        Ok(Records {
            records,
            next,
            end: next,
            era: Era(self.2.get()),
            ..Records::default()
        })
    }

    async fn append(&self, topic: Topic, record: &Record) -> Result<(), StoreError> {
        self.0
            .borrow_mut()
            .entry(topic)
            .or_default()
            .push(record.clone());
        self.1.notify_waiters();
        Ok(())
    }
}

/// Returns a heartbeat of an entry of a zone.
pub fn heartbeat(peer: SocketAddr, zone: &str, count: u64, status: Status) -> Heartbeat {
    Heartbeat {
        peer,
        callers: SocketAddr::new(peer.ip(), gateway::CALLERS),
        zone: zone.parse().expect("a valid name"),
        boot: 1,
        count,
        status,
    }
}

/// Returns a datagram's message that holds one heartbeat and nothing else.
pub fn heartbeat_message(heartbeat: Heartbeat) -> Message {
    Message::Gossip(Gossip {
        heartbeats: vec![heartbeat],
        desired: Vec::new(),
        in_flight: Vec::new(),
        leaving: Vec::new(),
    })
}

/// A step of a scripted response.
#[derive(Clone)]
pub enum Step {
    /// Sends text, in which `{id}` is replaced by the request's id.
    Send(String),
    /// Waits until the peer closes the connection, and counts that.
    AwaitClose,
    /// Waits for some milliseconds.
    Pause(u64),
    /// Resets the connection.
    Reset,
    /// Reads the next request on the connection; `{id}` remains the id of the first one.
    Next,
}

/// Requests and closed connections that a scripted endpoint recorded.
#[derive(Default)]
pub struct Seen {
    pub requests: RefCell<Vec<String>>,
    pub closed: std::cell::Cell<u32>,
}

async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut data = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&data).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|l| {
                l.to_ascii_lowercase()
                    .strip_prefix("content-length: ")?
                    .parse()
                    .ok()
            });
            if body.len() >= length.unwrap_or(0) {
                return Some(text);
            }
        }
        let mut part = [0; 4096];
        match stream.read(&mut part).await {
            Ok(n) if n > 0 => data.extend_from_slice(&part[..n]),
            _ => return None,
        }
    }
}

/// Starts an endpoint that runs a script after the first request of each connection, then closes it.
pub async fn endpoint(addr: SocketAddr, script: Vec<Step>) -> Rc<Seen> {
    endpoint_with(addr, Rc::new(move |_: &str| script.clone())).await
}

/// Like [`endpoint`], with a script that is chosen by the first request of each connection.
pub async fn endpoint_with(
    addr: SocketAddr,
    pick: Rc<impl Fn(&str) -> Vec<Step> + 'static>,
) -> Rc<Seen> {
    let listener = TcpListener::bind(addr).await.expect("a free address");
    let seen = Rc::new(Seen::default());
    let result = seen.clone();
    tokio::task::spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let (seen, pick) = (seen.clone(), pick.clone());
            tokio::task::spawn_local(async move {
                let Some(request) = read_request(&mut stream).await else {
                    return;
                };
                let id = header(&request, "x-request-id").unwrap_or_default();
                let script = pick(&request);
                seen.requests.borrow_mut().push(request);
                for step in script {
                    match step {
                        Step::Send(text) => {
                            let text = text.replace("{id}", &id);
                            if stream.write_all(text.as_bytes()).await.is_err() {
                                return;
                            }
                        }
                        Step::Reset => {
                            let socket = socket2::SockRef::from(&stream);
                            let _ = socket.set_linger(Some(Duration::ZERO));
                            return;
                        }
                        Step::Pause(ms) => tokio::time::sleep(Duration::from_millis(ms)).await,
                        Step::Next => match read_request(&mut stream).await {
                            Some(request) => seen.requests.borrow_mut().push(request),
                            None => return,
                        },
                        Step::AwaitClose => {
                            let mut end = [0; 64];
                            while !matches!(stream.read(&mut end).await, Ok(0) | Err(_)) {}
                            seen.closed.set(seen.closed.get() + 1);
                        }
                    }
                }
            });
        }
    });
    result
}

/// Returns the value of a header of a request or response.
pub fn header(text: &str, name: &str) -> Option<String> {
    let head = text.split("\r\n\r\n").next()?;
    head.lines().find_map(|l| {
        let (key, value) = l.split_once(": ")?;
        key.eq_ignore_ascii_case(name).then(|| value.to_owned())
    })
}

/// Sends a request on a new connection and returns what arrives until the peer closes it or `limit` milliseconds pass;
/// returns an empty text if the connection is refused.
pub async fn send_request(addr: SocketAddr, text: &str, limit: u64) -> String {
    let Ok(mut stream) = TcpStream::connect(addr).await else {
        return String::new();
    };
    stream
        .write_all(text.as_bytes())
        .await
        .expect("the request is sent");
    let mut out = Vec::new();
    let read = stream.read_to_end(&mut out);
    let _ = tokio::time::timeout(Duration::from_millis(limit), read).await;
    String::from_utf8_lossy(&out).into_owned()
}
