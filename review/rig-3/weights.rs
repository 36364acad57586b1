//! Stand-ins of model runners, with their staging areas, and of the origin of weights.

use std::{
    collections::BTreeMap,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{field, message, response, Head, Wire},
    record::Record,
    sha256::hex_digest,
    store::Store,
};

pub const MODEL: &str = "m1";
pub const CHUNKS: u32 = 64;
pub const CHUNK_BYTES: usize = 32_768;

/// Time that the origin takes for one piece: about that of its link of 9.9 Mbit/s, which all calls share.
const PIECE_TIME: Duration = Duration::from_millis(26);

/// Time of a load.
const LOAD_TIME: Duration = Duration::from_millis(300);

const HEARTBEAT: Duration = Duration::from_millis(1200);

/// Returns a piece of a version.
pub fn piece(version: u64, index: u32) -> Vec<u8> {
    let text = format!("{MODEL} {version} {index};");
    text.bytes().cycle().take(CHUNK_BYTES).collect()
}

/// An address that serves HTTP until it is closed.
struct Served {
    closed: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
}

impl Served {
    /// Serves an address. `respond` gets a request, and returns the whole response.
    fn open(addr: SocketAddr, respond: impl Fn(&Head, Vec<u8>) -> Vec<u8> + Send + Sync + 'static) -> Arc<Self> {
        let listener = TcpListener::bind(addr).expect("the address of the stand-in is free");
        listener.set_nonblocking(true).expect("a listener can be polled");
        let served = Arc::new(Self {
            closed: AtomicBool::new(false),
            streams: Mutex::default(),
        });
        let (serving, respond) = (served.clone(), Arc::new(respond));
        std::thread::spawn(move || {
            while !serving.closed.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    std::thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                if let Ok(copy) = stream.try_clone() {
                    serving.streams.lock().unwrap().push(copy);
                }
                let respond = respond.clone();
                std::thread::spawn(move || {
                    let mut wire = Wire::new(stream);
                    while let Ok(Some(head)) = wire.head() {
                        let Ok(body) = wire.body(&head, true) else {
                            return;
                        };
                        if wire.write(&respond(&head, body)).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        served
    }

    fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// The origin of weights at one address.
pub struct Origin {
    served: Arc<Served>,
    /// Pieces that were sent.
    pub sent: Arc<Mutex<usize>>,
}

impl Origin {
    pub fn open(addr: SocketAddr) -> Self {
        let sent: Arc<Mutex<usize>> = Arc::default();
        let count = sent.clone();
        let served = Served::open(addr, move |head, _| {
            let (_, path, query) = head.target();
            let number = |name| field(&query, name).and_then(|v| v.parse::<u64>().ok());
            let version = number("version").unwrap_or(2);
            if path.starts_with("/sesamewing/manifest/") {
                let digests = (0..CHUNKS).map(|i| format!("\"{}\"", hex_digest(&piece(version, i))));
                let digests = digests.collect::<Vec<_>>().join(",");
                let text = format!(
                    "{{\"model\":\"{MODEL}\",\"version\":{version},\"chunk_bytes\":{CHUNK_BYTES},\"layers\":16,\
                     \"digests\":[{digests}]}}"
                );
                return response(200, text.as_bytes());
            }
            // One after another, over one link.
            let mut sent = count.lock().unwrap();
            std::thread::sleep(PIECE_TIME);
            *sent += 1;
            response(200, &piece(version, number("sample_size").unwrap_or(0) as u32))
        });
        Self { served, sent }
    }

    /// Ends the origin at this address for good.
    pub fn close(&self) {
        self.served.close();
    }
}

struct State {
    staged: BTreeMap<u32, Vec<u8>>,
    version: u64,
    loading: Option<(u64, Instant)>,
    sequence: u64,
}

/// A model runner that has version 1 loaded and staged.
pub struct ModelRunner {
    id: String,
    state: Mutex<State>,
    born: u128,
}

impl ModelRunner {
    pub fn start(
        id: &str,
        service: &'static str,
        zone: &'static str,
        addr: SocketAddr,
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let runner = Arc::new(Self {
            id: id.to_owned(),
            state: Mutex::new(State {
                staged: (0..CHUNKS).map(|i| (i, piece(1, i))).collect(),
                version: 1,
                loading: None,
                sequence: 0,
            }),
            born: born.expect("the time of day is after 1970").as_millis(),
        });
        let (serving, log) = (runner.clone(), record.clone());
        Served::open(addr, move |head, body| serving.respond(head, body, &log));
        let (writer, store) = (runner.clone(), store.clone());
        std::thread::spawn(move || {
            for sequence in 1u64.. {
                let models = writer.models();
                let text = format!(
                    "{{\"service\":\"{service}\",\"address\":\"{addr}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":16,\
                     \"state\":\"ready\",\"cold_remaining_ms\":0,\"stage\":\"both\",\"models\":{models},\
                     \"sequence\":{sequence},\"born\":{}}}",
                    writer.born
                );
                store.put("keyed.servers", &writer.id, text.as_bytes());
                std::thread::sleep(HEARTBEAT);
            }
        });
        runner
    }

    /// Returns the version that is loaded.
    pub fn version(&self) -> u64 {
        let mut state = self.state.lock().unwrap();
        if let Some((version, at)) = state.loading.filter(|l| l.1 <= Instant::now()) {
            let _ = at;
            state.version = version;
            state.loading = None;
        }
        state.version
    }

    fn models(&self) -> String {
        format!("[{{\"name\":\"{MODEL}\",\"version\":{},\"adapters\":[]}}]", self.version())
    }

    fn respond(&self, head: &Head, body: Vec<u8>, record: &Record) -> Vec<u8> {
        let (method, path, query) = head.target();
        let index = field(&query, "sample_size").and_then(|v| v.parse::<u32>().ok());
        if path == "/sesamewing/report" {
            let models = self.models();
            let state = self.state.lock().unwrap();
            let text = format!(
                "{{\"stage\":\"both\",\"models\":{models},\"busy\":{},\"sequence\":{},\"queued\":0,\"active\":0,\
                 \"kv_used_tokens\":0,\"kv_total_tokens\":1640000,\"kv_handles\":0,\"born\":{}}}",
                state.loading.is_some(),
                state.sequence,
                self.born
            );
            return response(200, text.as_bytes());
        }
        if path.starts_with("/sesamewing/stage-put/") {
            self.state.lock().unwrap().staged.insert(index.unwrap_or(0), body);
            return response(200, b"");
        }
        if path.starts_with("/sesamewing/stage-get/") {
            let state = self.state.lock().unwrap();
            let Some(index) = index else {
                let held = state.staged.keys().map(u32::to_string).collect::<Vec<_>>().join(",");
                return response(200, format!("{{\"held\":[{held}]}}").as_bytes());
            };
            return match state.staged.get(&index) {
                Some(data) => response(200, data),
                None => response(404, b""),
            };
        }
        if path == "/sesamewing/order" {
            let text = String::from_utf8_lossy(&body);
            let version = text.split("\"version\":").nth(1).unwrap_or_default();
            let version: String = version.chars().take_while(char::is_ascii_digit).collect();
            let version = version.parse().unwrap_or(0);
            let mut state = self.state.lock().unwrap();
            state.sequence += 1;
            state.loading = Some((version, Instant::now() + LOAD_TIME));
            record.note(format!("runner {} takes the order to load version {version}", self.id));
            return response(202, b"");
        }
        let id = head.get("sesamewing-attempt-id").unwrap_or_default();
        let version = self.version().to_string();
        let other = head.get("sesamewing-expect-version").is_some_and(|v| v != version);
        if other || head.get("sesamewing-expect-instance").is_some_and(|i| i != self.id) {
            let headers = [("Sesamewing-Attempt-Id", id), ("Sesamewing-Weight-Versions", &version)];
            return message("HTTP/1.1 421 Misdirected Request", &headers, b"");
        }
        record.note(format!("runner {} runs {method} {id} on version {version}", self.id));
        std::thread::sleep(Duration::from_millis(20));
        let proof = format!("{}.{id}", self.id);
        let headers = [
            ("Sesamewing-Attempt-Id", id),
            ("Sesamewing-Runner-Signature", &proof),
            ("Sesamewing-Runner-Load", "1,0,16"),
            ("Sesamewing-Weight-Versions", &version),
        ];
        message("HTTP/1.1 200 OK", &headers, b"done")
    }
}
