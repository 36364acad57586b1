//! Stand-in of the platform's store: compacted topics, which several addresses can serve.

use std::{
    collections::BTreeMap,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Condvar, Mutex,
    },
    time::{Duration, Instant},
};

use crate::http::{field, response, Wire};

/// Largest page of newest records.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1 << 20;

#[derive(Default)]
struct Topic {
    log: Vec<(String, Vec<u8>)>,
    newest: BTreeMap<String, (Vec<u8>, usize)>,
}

/// Records of all topics.
#[derive(Default)]
pub struct Store {
    topics: Mutex<BTreeMap<String, Topic>>,
    changed: Condvar,
}

impl Store {
    /// Appends a record; an empty value removes the key.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut topics = self.topics.lock().unwrap();
        let topic = topics.entry(topic.to_owned()).or_default();
        let offset = topic.log.len();
        topic.log.push((key.to_owned(), value.to_vec()));
        if value.is_empty() {
            topic.newest.remove(key);
        } else {
            topic.newest.insert(key.to_owned(), (value.to_vec(), offset));
        }
        self.changed.notify_all();
    }

    fn append(&self, topic: &str, mut data: &[u8]) -> (u16, Vec<u8>) {
        if topic == "keyed.op" || topic == "keyed.servers" {
            return (403, Vec::new());
        }
        let mut records = Vec::new();
        while data.len() >= 5 {
            let length = u32::from_be_bytes([data[0], data[1], data[2], data[3]]) as usize;
            let key = usize::from(data[4]);
            if data.len() < 4 + length || key + 1 > length {
                return (400, Vec::new());
            }
            let record = &data[5..4 + length];
            let name = String::from_utf8_lossy(&record[..key]).into_owned();
            records.push((name, record[key..].to_vec()));
            data = &data[4 + length..];
        }
        for (key, value) in &records {
            self.put(topic, key, value);
        }
        let topics = self.topics.lock().unwrap();
        let end = topics.get(topic).map_or(0, |t| t.log.len());
        let first = end - records.len();
        let text = format!("{{\"offset\":{first},\"end_offset\":{end}}}");
        (200, text.into_bytes())
    }

    fn read(&self, query: &str, open: impl Fn() -> bool) -> Vec<u8> {
        let number = |name| field(query, name).and_then(|v| v.parse::<u64>().ok());
        let topic = field(query, "topic").unwrap_or_default();
        let from = number("from").unwrap_or(0) as usize;
        let most = number("max_size").unwrap_or(1024) as usize;
        let end = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0).min(30_000));
        let mut topics = self.topics.lock().unwrap();
        while topics.get(topic).map_or(0, |t| t.log.len()) <= from && Instant::now() < end && open() {
            let wait = Duration::from_millis(100).min(end - Instant::now());
            topics = self.changed.wait_timeout(topics, wait).unwrap().0;
        }
        let log = topics.get(topic).map_or(&[][..], |t| &t.log);
        let mut out = (log.len() as u64).to_be_bytes().to_vec();
        out.extend_from_slice(&0u64.to_be_bytes());
        for (key, value) in log.iter().skip(from).take(most) {
            out.extend_from_slice(&((1 + key.len() + value.len()) as u32).to_be_bytes());
            out.push(key.len() as u8);
            out.extend_from_slice(key.as_bytes());
            out.extend_from_slice(value);
        }
        out
    }

    /// Returns a page of the newest records, which follow the key `after`.
    fn newest(&self, topic: &str, after: &str) -> Vec<u8> {
        let topics = self.topics.lock().unwrap();
        let none = Topic::default();
        let topic = topics.get(topic).unwrap_or(&none);
        let (mut items, mut size, mut more) = (Vec::new(), 0, false);
        for (key, (value, offset)) in topic.newest.iter().filter(|(k, _)| k.as_str() > after) {
            let value = base64(value);
            let item = format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}");
            if items.len() == PAGE_ITEMS || (size + item.len() > PAGE_BYTES && !items.is_empty()) {
                more = true;
                break;
            }
            size += item.len();
            items.push(item);
        }
        let (items, end) = (items.join(","), topic.log.len());
        format!("{{\"items\":[{items}],\"has_more\":{more},\"end_offset\":{end}}}").into_bytes()
    }
}

fn base64(data: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in data.chunks(3) {
        let mut bits = 0u32;
        for i in 0..3 {
            bits = bits << 8 | u32::from(*part.get(i).unwrap_or(&0));
        }
        for i in 0..4 {
            if i <= part.len() {
                out.push(char::from(DIGITS[(bits >> (18 - 6 * i)) as usize & 63]));
            } else {
                out.push('=');
            }
        }
    }
    out
}

/// An address at which the store answers.
pub struct Front {
    store: Arc<Store>,
    closed: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
}

impl Front {
    /// Serves the store at an address.
    pub fn open(store: &Arc<Store>, addr: SocketAddr) -> Arc<Self> {
        let front = Arc::new(Self {
            store: store.clone(),
            closed: AtomicBool::new(false),
            streams: Mutex::default(),
        });
        let listener = TcpListener::bind(addr).expect("the address of the store is free");
        listener.set_nonblocking(true).expect("a listener can be polled");
        let serving = front.clone();
        std::thread::spawn(move || {
            while !serving.closed.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    std::thread::sleep(Duration::from_millis(2));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                if let Ok(copy) = stream.try_clone() {
                    serving.streams.lock().unwrap().push(copy);
                }
                let front = serving.clone();
                std::thread::spawn(move || front.serve(Wire::new(stream)));
            }
        });
        front
    }

    /// Closes the address: nothing listens there any more, and open channels end.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, mut wire: Wire) {
        while let Ok(Some(head)) = wire.head() {
            let Ok(body) = wire.body(&head, true) else {
                return;
            };
            let (_, path, query) = head.target();
            let topic = field(&query, "topic").unwrap_or_default();
            let open = || !self.closed.load(Ordering::SeqCst);
            let (status, body) = match path.as_str() {
                "/sesamewing/log-append" => self.store.append(topic, &body),
                "/sesamewing/log-read" => (200, self.store.read(&query, open)),
                "/sesamewing/log-newest" => {
                    let after = field(&query, "after").unwrap_or_default();
                    (200, self.store.newest(topic, after))
                }
                _ => (404, Vec::new()),
            };
            if !open() || wire.write(&response(status, &body)).is_err() {
                return;
            }
        }
    }
}
