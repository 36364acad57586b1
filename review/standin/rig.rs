//! Stand-ins of the platform's store, the runners, the origin of weights and the clients, in one process, and control of
//! the project's own processes. Standard library only. Each case is a function; see `main`.

use std::{
    collections::{BTreeMap, HashMap},
    fs::{self, File, OpenOptions},
    io::{self, Read, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Condvar, Mutex,
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

// ---------------------------------------------------------------------------------------------------------------------
// Signals

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: i32 = 9;
const SIGTERM: i32 = 15;
const SIGSTOP: i32 = 19;
const SIGCONT: i32 = 18;

fn signal(pid: u32, number: i32) {
    // SAFETY: sends a signal to a child that this process started and has not waited for.
    unsafe { kill(pid as i32, number) };
}

// ---------------------------------------------------------------------------------------------------------------------
// Record of the run

/// What was sent, answered and run, with milliseconds since the start.
struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    fn new(path: &Path) -> Arc<Self> {
        Arc::new(Self {
            start: Instant::now(),
            file: Mutex::new(File::create(path).expect("record.txt can be written")),
        })
    }

    /// Milliseconds since the start.
    fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    fn note(&self, text: impl AsRef<str>) {
        let line = format!("{:8} ms  {}\n", self.now(), text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// A small generator of random numbers.
fn random() -> u64 {
    static STATE: AtomicU64 = AtomicU64::new(0);
    let seed = wall_ms() ^ (u64::from(std::process::id()) << 32);
    let _ = STATE.compare_exchange(0, seed | 1, Ordering::SeqCst, Ordering::SeqCst);
    let mut x = STATE.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::SeqCst);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

// ---------------------------------------------------------------------------------------------------------------------
// SHA-256 and base64

const K: [u32; 64] = [
    0x428a2f98, 0x71374491, 0xb5c0fbcf, 0xe9b5dba5, 0x3956c25b, 0x59f111f1, 0x923f82a4, 0xab1c5ed5, 0xd807aa98,
    0x12835b01, 0x243185be, 0x550c7dc3, 0x72be5d74, 0x80deb1fe, 0x9bdc06a7, 0xc19bf174, 0xe49b69c1, 0xefbe4786,
    0x0fc19dc6, 0x240ca1cc, 0x2de92c6f, 0x4a7484aa, 0x5cb0a9dc, 0x76f988da, 0x983e5152, 0xa831c66d, 0xb00327c8,
    0xbf597fc7, 0xc6e00bf3, 0xd5a79147, 0x06ca6351, 0x14292967, 0x27b70a85, 0x2e1b2138, 0x4d2c6dfc, 0x53380d13,
    0x650a7354, 0x766a0abb, 0x81c2c92e, 0x92722c85, 0xa2bfe8a1, 0xa81a664b, 0xc24b8b70, 0xc76c51a3, 0xd192e819,
    0xd6990624, 0xf40e3585, 0x106aa070, 0x19a4c116, 0x1e376c08, 0x2748774c, 0x34b0bcb5, 0x391c0cb3, 0x4ed8aa4a,
    0x5b9cca4f, 0x682e6ff3, 0x748f82ee, 0x78a5636f, 0x84c87814, 0x8cc70208, 0x90befffa, 0xa4506ceb, 0xbef9a3f7,
    0xc67178f2,
];

fn sha256(data: &[u8]) -> String {
    let mut h: [u32; 8] = [
        0x6a09e667, 0xbb67ae85, 0x3c6ef372, 0xa54ff53a, 0x510e527f, 0x9b05688c, 0x1f83d9ab, 0x5be0cd19,
    ];
    let mut message = data.to_vec();
    message.push(0x80);
    while message.len() % 64 != 56 {
        message.push(0);
    }
    message.extend_from_slice(&((data.len() as u64) * 8).to_be_bytes());
    for block in message.chunks(64) {
        let mut w = [0u32; 64];
        for (i, word) in block.chunks(4).enumerate() {
            w[i] = u32::from_be_bytes([word[0], word[1], word[2], word[3]]);
        }
        for i in 16..64 {
            let s0 = w[i - 15].rotate_right(7) ^ w[i - 15].rotate_right(18) ^ (w[i - 15] >> 3);
            let s1 = w[i - 2].rotate_right(17) ^ w[i - 2].rotate_right(19) ^ (w[i - 2] >> 10);
            w[i] = w[i - 16].wrapping_add(s0).wrapping_add(w[i - 7]).wrapping_add(s1);
        }
        let mut v = h;
        for i in 0..64 {
            let s1 = v[4].rotate_right(6) ^ v[4].rotate_right(11) ^ v[4].rotate_right(25);
            let ch = (v[4] & v[5]) ^ (!v[4] & v[6]);
            let t1 = v[7].wrapping_add(s1).wrapping_add(ch).wrapping_add(K[i]).wrapping_add(w[i]);
            let s0 = v[0].rotate_right(2) ^ v[0].rotate_right(13) ^ v[0].rotate_right(22);
            let maj = (v[0] & v[1]) ^ (v[0] & v[2]) ^ (v[1] & v[2]);
            let t2 = s0.wrapping_add(maj);
            v = [t1.wrapping_add(t2), v[0], v[1], v[2], v[3].wrapping_add(t1), v[4], v[5], v[6]];
        }
        for i in 0..8 {
            h[i] = h[i].wrapping_add(v[i]);
        }
    }
    h.iter().map(|x| format!("{x:08x}")).collect()
}

fn base64(data: &[u8]) -> String {
    const SET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in data.chunks(3) {
        let n = (u32::from(part[0]) << 16)
            | (u32::from(*part.get(1).unwrap_or(&0)) << 8)
            | u32::from(*part.get(2).unwrap_or(&0));
        for i in 0..4 {
            if i <= part.len() {
                out.push(char::from(SET[(n >> (18 - 6 * i)) as usize & 63]));
            } else {
                out.push('=');
            }
        }
    }
    out
}

// ---------------------------------------------------------------------------------------------------------------------
// HTTP/1.1

#[derive(Clone, Debug, Default)]
struct Head {
    /// First line, split at spaces.
    line: Vec<String>,
    headers: Vec<(String, String)>,
}

impl Head {
    fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }

    fn path(&self) -> &str {
        self.line.get(1).map_or("", String::as_str)
    }

    /// Returns a field of the query.
    fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.path().split_once('?')?;
        query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('='))
    }
}

/// A connection with a buffer of what was read ahead.
struct Wire {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Wire {
    fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut part = [0; 16384];
        let n = self.stream.read(&mut part)?;
        self.buffer.extend_from_slice(&part[..n]);
        Ok(n)
    }

    fn line(&mut self) -> Option<String> {
        loop {
            if let Some(i) = self.buffer.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=i).collect();
                return Some(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            if self.fill().ok()? == 0 {
                return None;
            }
        }
    }

    /// Reads the head of a request or a response; `None` at the end of the connection.
    fn head(&mut self) -> Option<Head> {
        let first = self.line()?;
        let mut head = Head {
            line: first.split(' ').map(str::to_owned).collect(),
            headers: Vec::new(),
        };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Some(head);
            }
            let (name, value) = line.split_once(':')?;
            head.headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }

    fn exactly(&mut self, n: usize) -> Option<Vec<u8>> {
        while self.buffer.len() < n {
            if self.fill().ok()? == 0 {
                return None;
            }
        }
        Some(self.buffer.drain(..n).collect())
    }

    /// Reads one chunk; empty at the last one.
    fn chunk(&mut self) -> Option<Vec<u8>> {
        let size = self.line()?;
        let size = usize::from_str_radix(size.split(';').next()?.trim(), 16).ok()?;
        let data = self.exactly(size)?;
        self.line()?;
        Some(data)
    }

    /// Reads a body; `None` if it is cut.
    fn body(&mut self, head: &Head) -> Option<Vec<u8>> {
        if head.get("transfer-encoding").is_some() {
            let mut out = Vec::new();
            loop {
                let chunk = self.chunk()?;
                if chunk.is_empty() {
                    return Some(out);
                }
                out.extend_from_slice(&chunk);
            }
        }
        let n = head.get("content-length").and_then(|n| n.parse().ok()).unwrap_or(0);
        self.exactly(n)
    }

    fn send(&mut self, data: &[u8]) -> bool {
        self.stream.write_all(data).is_ok()
    }

    fn respond(&mut self, status: &str, headers: &str, body: &[u8]) -> bool {
        let mut out = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
        out.extend_from_slice(body);
        self.send(&out)
    }
}

/// Serves each connection in a thread until `closed`; returns a handle that ends it.
fn serve(addr: SocketAddr, handler: impl Fn(Wire) + Send + Sync + 'static) -> Arc<Service> {
    let listener = TcpListener::bind(addr).unwrap_or_else(|e| fail(&format!("cannot bind {addr}: {e}")));
    let service = Arc::new(Service {
        addr,
        closed: AtomicBool::new(false),
        open: Mutex::default(),
    });
    let (handler, own) = (Arc::new(handler), service.clone());
    thread::spawn(move || {
        for stream in listener.incoming() {
            if own.closed.load(Ordering::SeqCst) {
                return;
            }
            let Ok(stream) = stream else { continue };
            if let Ok(copy) = stream.try_clone() {
                own.open.lock().unwrap().push(copy);
            }
            let handler = handler.clone();
            thread::spawn(move || handler(Wire::new(stream)));
        }
    });
    service
}

/// A listening stand-in.
struct Service {
    addr: SocketAddr,
    closed: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
}

impl Service {
    /// Ends it like an exit of its process: nothing listens, and all connections are closed.
    fn exit(&self) {
        self.closed.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.addr);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

/// Sends a request on a new connection and reads the whole response; `None` if there is none or it is cut.
fn call(addr: SocketAddr, text: &str, body: &[u8], limit: u64) -> Option<(Head, Vec<u8>)> {
    let stream = TcpStream::connect_timeout(&addr, Duration::from_millis(limit.min(1000))).ok()?;
    let _ = stream.set_read_timeout(Some(Duration::from_millis(limit)));
    let mut wire = Wire::new(stream);
    let mut out = text.as_bytes().to_vec();
    out.extend_from_slice(body);
    if !wire.send(&out) {
        return None;
    }
    let head = wire.head()?;
    let body = wire.body(&head)?;
    Some((head, body))
}

// ---------------------------------------------------------------------------------------------------------------------
// Store

#[derive(Default)]
struct Topic {
    log: Vec<(Vec<u8>, Vec<u8>)>,
    newest: BTreeMap<Vec<u8>, (Vec<u8>, u64)>,
}

/// The platform's store. Each process has an address of its own for it, by which its calls are told apart.
struct Store {
    topics: Mutex<HashMap<String, Topic>>,
    changed: Condvar,
    /// When a process last read a topic, by `PROCESS TOPIC`, in milliseconds of the record.
    reads: Mutex<HashMap<String, u64>>,
    record: Arc<Record>,
}

impl Store {
    fn new(record: &Arc<Record>) -> Arc<Self> {
        Arc::new(Self {
            topics: Mutex::default(),
            changed: Condvar::new(),
            reads: Mutex::default(),
            record: record.clone(),
        })
    }

    /// Appends a record; an empty value drops the key.
    fn append(&self, topic: &str, key: &str, value: &str) {
        let mut topics = self.topics.lock().unwrap();
        let t = topics.entry(topic.to_owned()).or_default();
        Self::add(t, key.as_bytes().to_vec(), value.as_bytes().to_vec());
        self.changed.notify_all();
    }

    fn add(t: &mut Topic, key: Vec<u8>, value: Vec<u8>) {
        let offset = t.log.len() as u64;
        t.log.push((key.clone(), value.clone()));
        if value.is_empty() {
            t.newest.remove(&key);
        } else {
            t.newest.insert(key, (value, offset));
        }
    }

    fn serve(self: &Arc<Self>, addr: SocketAddr, process: &str) {
        let (store, process) = (self.clone(), process.to_owned());
        serve(addr, move |mut wire| {
            while let Some(head) = wire.head() {
                let Some(body) = wire.body(&head) else { return };
                if !store.handle(&mut wire, &head, &body, &process) {
                    return;
                }
            }
        });
    }

    fn handle(&self, wire: &mut Wire, head: &Head, body: &[u8], process: &str) -> bool {
        // A call takes 4 ms.
        sleep_ms(4);
        let topic = head.query("topic").unwrap_or_default().to_owned();
        let path = head.path().split('?').next().unwrap_or_default().to_owned();
        let json = "Content-Type: application/json\r\n";
        match path.as_str() {
            "/sesamewing/log-append" => {
                let mut topics = self.topics.lock().unwrap();
                let t = topics.entry(topic).or_default();
                let (first, mut rest) = (t.log.len(), body);
                while rest.len() >= 5 {
                    let n = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
                    let (record, tail) = rest[4..].split_at(n);
                    let k = usize::from(record[0]);
                    Self::add(t, record[1..=k].to_vec(), record[1 + k..].to_vec());
                    rest = tail;
                }
                let out = format!("{{\"offset\":{first},\"end_offset\":{}}}", t.log.len());
                self.changed.notify_all();
                drop(topics);
                wire.respond("200 OK", json, out.as_bytes())
            }
            "/sesamewing/log-newest" => {
                self.note_read(process, &topic);
                let mut topics = self.topics.lock().unwrap();
                let t = topics.entry(topic).or_default();
                let items: Vec<_> = t
                    .newest
                    .iter()
                    .map(|(k, (v, o))| {
                        let key = String::from_utf8_lossy(k);
                        format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{o}}}", base64(v))
                    })
                    .collect();
                let out = format!(
                    "{{\"items\":[{}],\"has_more\":false,\"end_offset\":{}}}",
                    items.join(","),
                    t.log.len()
                );
                drop(topics);
                wire.respond("200 OK", json, out.as_bytes())
            }
            "/sesamewing/log-read" => {
                self.note_read(process, &topic);
                let number = |name| head.query(name).and_then(|n| n.parse::<u64>().ok()).unwrap_or(0);
                let (from, wait) = (number("from") as usize, number("wait_ms"));
                let end = Instant::now() + Duration::from_millis(wait);
                let mut topics = self.topics.lock().unwrap();
                loop {
                    let now = Instant::now();
                    if topics.entry(topic.clone()).or_default().log.len() > from || now >= end {
                        break;
                    }
                    topics = self.changed.wait_timeout(topics, end - now).unwrap().0;
                }
                let t = &topics[&topic];
                let mut out = (t.log.len() as u64).to_be_bytes().to_vec();
                out.extend_from_slice(&0u64.to_be_bytes());
                for (key, value) in t.log.iter().skip(from).take(1000) {
                    out.extend_from_slice(&((1 + key.len() + value.len()) as u32).to_be_bytes());
                    out.push(key.len() as u8);
                    out.extend_from_slice(key);
                    out.extend_from_slice(value);
                }
                drop(topics);
                wire.respond("200 OK", "", &out)
            }
            _ => wire.respond("404 Not Found", "", b""),
        }
    }

    fn note_read(&self, process: &str, topic: &str) {
        self.reads.lock().unwrap().insert(format!("{process} {topic}"), self.record.now());
    }

    /// Returns whether a process has read a topic within a time.
    fn has_read(&self, process: &str, topic: &str, within: u64) -> bool {
        let reads = self.reads.lock().unwrap();
        reads.get(&format!("{process} {topic}")).is_some_and(|at| at + within > self.record.now())
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// Addresses

/// A block of loopback addresses on which all ports that a run needs are free.
#[derive(Clone, Copy)]
struct Net(u8, u8);

const CALLERS: u16 = 8005;
const READY: u16 = 8002;
const CONTROL: u16 = 8000;
const DIRECTORY: u16 = 8009;
const METRICS: u16 = 9464;
const APP: u16 = 8001;
const STORE: u16 = 8007;
const ORIGIN: u16 = 8006;

impl Net {
    fn find() -> Self {
        loop {
            let net = Net(16 + (random() % 200) as u8, (random() % 250) as u8);
            let free = |host, port| TcpListener::bind(net.at(host, port)).is_ok();
            let entries = (10..16).all(|h| [CALLERS, READY, CONTROL, DIRECTORY, METRICS].iter().all(|p| free(h, *p)));
            if entries && (60..100).all(|h| free(h, APP)) && (150..200).all(|h| free(h, STORE)) && free(200, ORIGIN) {
                return net;
            }
        }
    }

    fn at(self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, self.0, self.1, host)), port)
    }

    fn entry(self, i: usize, port: u16) -> SocketAddr {
        self.at(10 + i as u8, port)
    }

    fn host(self, i: usize, port: u16) -> SocketAddr {
        self.at(60 + i as u8, port)
    }

    fn store(self, process: usize) -> SocketAddr {
        self.at(150 + process as u8, STORE)
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// Processes of the project

/// Bounds, limits and further fields of the settings are those of a small deployment.
struct Node {
    name: String,
    role: &'static str,
    child: Mutex<Child>,
    settings: PathBuf,
    log: PathBuf,
    program: PathBuf,
}

const ZONE: &str = "cph-a";

/// Returns zone and region of an entry: the first three are in one zone.
fn place(entry: usize) -> (&'static str, &'static str) {
    if entry < 3 {
        return (ZONE, "dk-east");
    }
    ("aar-a", "dk-west")
}

fn settings(net: Net, role: &str, i: usize, entries: usize, service: &str, store: SocketAddr, first: bool) -> String {
    let (zone, region) = if role == "entry" { place(i) } else { place(0) };
    let seeds: Vec<_> = (0..entries.min(3)).map(|i| format!("\"{}\"", net.entry(i, CONTROL))).collect();
    let (ip, class, serves, own, listen, memory, rate, quota) = if role == "entry" {
        let listen = format!(
            "frontend = \"{}\"\nreadiness = \"{}\"\ncontrol_plane = \"{}\"\ndirectory_addr = \"{}\"\n",
            net.entry(i, CALLERS),
            net.entry(i, READY),
            net.entry(i, CONTROL),
            net.entry(i, DIRECTORY)
        );
        let serves = "[\"edge\",\"control\",\"registry\"]";
        (net.entry(i, 0).ip(), "edge", serves, String::new(), listen, 260, "1000.0", "0.25")
    } else {
        let own = format!("app = \"{}\"\nservice = \"{service}\"\n", net.host(i, APP));
        (net.host(i, 0).ip(), "side", "[\"side\"]", own, String::new(), 128, "7.6", "0.3")
    };
    format!(
        "node_name = \"{class}-{zone}-{}\"\nrole = \"{role}\"\nmachine_class = \"{class}\"\nserves = {serves}\n\
         ip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"{region}\"\nport_range = [7700,7715]\nseed_nodes = [{}]\n\
         bootstrap = {first}\ncounts_as_loss = false\ndiscovery = \"platform\"\nentry = \"registry\"\n\
         heartbeat_ms = 1200\n{own}[zones]\ncph-a = \"dk-east\"\naar-a = \"dk-west\"\node-a = \"dk-funen\"\n\
         [listen]\n{listen}[limits]\ncpu_quota = {quota}\ncpu_speedup = 1\nmemory_mb = {memory}\nmax_fds = 4100\n\
         bandwidth_mbps = {rate}\ndisk_mb = 0\n[fault_tolerance]\nmachines = 2\nzones = 0\nregions = 0\n\
         [bounds]\nseed_lag_s = 3\nreuse_after_s = 2\nstable_window_ms = 3000\nack_ms = 4000\ncatch_up_s = 4\n\
         drain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\nconfig_apply_ms = 2000\ndowngrade_slack_ms = 250\n\
         partition_bound_ms = 5000\nrevoke_fail_closed = false\nrevoke_ms = 5000\nretry_budget_ratio = 0.2\n\
         retry_window_s = 10\nretry_slack = 106\nrecovery_s = 12\niteration_ms = 120\nretry_after_s = 0\n\
         version_ms = 8000\nversion_all_ms = 0\nttl_max_s = 5\n\
         [platform]\naddress = \"{store}\"\nform = \"log\"\nwrites_per_s = 400\nreads_per_s = 2000\nparts = 24\n",
        i + 1,
        seeds.join(","),
    )
}

impl Node {
    fn start(program: &Path, folder: &Path, role: &'static str, i: usize, text: &str, record: &Arc<Record>) -> Arc<Self> {
        let name = format!("{role}-{i}");
        let settings = folder.join(format!("{name}.toml"));
        let log = folder.join(format!("{name}.log"));
        fs::write(&settings, text).unwrap_or_else(|e| fail(&format!("cannot write settings: {e}")));
        let child = Self::spawn(program, role, &settings, &log);
        record.note(format!("{name} starts"));
        Arc::new(Self {
            name,
            role,
            child: Mutex::new(child),
            settings,
            log,
            program: program.to_owned(),
        })
    }

    fn spawn(program: &Path, role: &str, settings: &Path, log: &Path) -> Child {
        let log = OpenOptions::new().create(true).append(true).open(log).expect("a log can be written");
        let errors = log.try_clone().expect("a log can be written");
        let mut command = Command::new(program);
        // SAFETY: a single system call; the process ends if this one does.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        command
            .arg(role)
            .env("SESAMEWING_SETTINGS", settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .unwrap_or_else(|e| fail(&format!("cannot start {}: {e}", program.display())))
    }

    fn signal(&self, number: i32) {
        signal(self.child.lock().unwrap().id(), number);
    }

    #[allow(dead_code)]
    fn restart(&self, text: &str) {
        let mut child = self.child.lock().unwrap();
        let _ = child.kill();
        let _ = child.wait();
        fs::write(&self.settings, text).expect("settings can be written");
        *child = Self::spawn(&self.program, self.role, &self.settings, &self.log);
    }

    fn has_ended(&self) -> bool {
        self.child.lock().unwrap().try_wait().ok().flatten().is_some()
    }

    fn end(&self) {
        self.signal(SIGCONT);
        let mut child = self.child.lock().unwrap();
        let _ = child.kill();
        let _ = child.wait();
    }
}

fn is_ready(net: Net, entry: usize) -> bool {
    let addr = net.entry(entry, READY);
    let text = format!("GET /sesamewing/readyz HTTP/1.1\r\nHost: {addr}\r\nConnection: close\r\n\r\n");
    call(addr, &text, b"", 500).is_some_and(|(h, _)| h.line.get(1).is_some_and(|s| s == "200"))
}

fn fail(text: &str) -> ! {
    eprintln!("the case could not run: {text}");
    CHILDREN.lock().unwrap().iter().for_each(|n| n.end());
    std::process::exit(2);
}

/// Processes that the run started.
static CHILDREN: Mutex<Vec<Arc<Node>>> = Mutex::new(Vec::new());

// ---------------------------------------------------------------------------------------------------------------------
// Weights

const MODEL: &str = "daka510000";
const CHUNKS: u32 = 64;
const CHUNK_BYTES: usize = 32768;

fn chunk(version: u64, index: u32) -> Vec<u8> {
    let mut x = version.wrapping_mul(0x9e37_79b9) ^ u64::from(index).wrapping_mul(0x85eb_ca6b) | 1;
    let mut out = Vec::with_capacity(CHUNK_BYTES);
    while out.len() < CHUNK_BYTES {
        x ^= x << 13;
        x ^= x >> 7;
        x ^= x << 17;
        out.extend_from_slice(&x.to_le_bytes());
    }
    out
}

/// Serves manifests and pieces.
fn serve_origin(addr: SocketAddr, newest: Arc<AtomicU64>) {
    serve(addr, move |mut wire| {
        while let Some(head) = wire.head() {
            let version = head.query("version").and_then(|v| v.parse().ok());
            let version: u64 = version.unwrap_or(newest.load(Ordering::SeqCst));
            if head.path().starts_with("/sesamewing/manifest/") {
                let digests: Vec<_> = (0..CHUNKS).map(|i| format!("\"{}\"", sha256(&chunk(version, i)))).collect();
                let out = format!(
                    "{{\"model\":\"{MODEL}\",\"version\":{version},\"chunk_bytes\":{CHUNK_BYTES},\"layers\":16,\"digests\":[{}]}}",
                    digests.join(",")
                );
                wire.respond("200 OK", "Content-Type: application/json\r\n", out.as_bytes());
            } else {
                let index = head.query("sample_size").and_then(|n| n.parse().ok()).unwrap_or(0);
                // The origin has 9.9 Mbit/s.
                sleep_ms(26);
                wire.respond("200 OK", "", &chunk(version, index));
            }
        }
    });
}

// ---------------------------------------------------------------------------------------------------------------------
// Main

mod cases;

/// What all cases share.
pub struct Run {
    folder: PathBuf,
    program: PathBuf,
    record: Arc<Record>,
    net: Net,
    store: Arc<Store>,
    /// Whether the disruption happens.
    trouble: bool,
}

impl Run {
    /// Starts a process; `process` numbers the addresses of the store.
    fn node(&self, role: &'static str, i: usize, entries: usize, service: &str) -> Arc<Node> {
        let process = if role == "entry" { i } else { 10 + i };
        let addr = self.net.store(process);
        self.store.serve(addr, &format!("{role}-{i}"));
        let text = settings(self.net, role, i, entries, service, addr, true);
        let node = Node::start(&self.program, &self.folder, role, i, &text, &self.record);
        CHILDREN.lock().unwrap().push(node.clone());
        node
    }

    fn wait_ready(&self, entries: usize) {
        for _ in 0..200 {
            if (0..entries).all(|i| is_ready(self.net, i)) {
                self.record.note("all entries are ready");
                return;
            }
            sleep_ms(100);
        }
        fail("an entry is not ready after 20 s");
    }
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    if args.len() != 4 {
        eprintln!("usage: rig CASE PROGRAM RECORD");
        std::process::exit(2);
    }
    // A fault of a stand-in ends the run.
    let hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        hook(info);
        std::process::exit(2);
    }));
    let record = Record::new(Path::new(&args[3]));
    let folder = std::env::temp_dir().join(format!("review-{}-{:x}", std::process::id(), random()));
    fs::create_dir_all(&folder).unwrap_or_else(|e| fail(&format!("no temporary folder: {e}")));
    let run = Run {
        folder: folder.clone(),
        program: PathBuf::from(&args[2]),
        net: Net::find(),
        store: Store::new(&record),
        trouble: std::env::var("TROUBLE").map_or(true, |t| t != "0"),
        record: record.clone(),
    };
    record.note(format!("case {} with TROUBLE={}", args[1], u8::from(run.trouble)));
    let broken = cases::run(&args[1], &run);
    let ended: Vec<_> = CHILDREN.lock().unwrap().iter().filter(|n| n.has_ended()).map(|n| n.name.clone()).collect();
    if !ended.is_empty() {
        record.note(format!("ended by themselves: {}", ended.join(", ")));
    }
    CHILDREN.lock().unwrap().iter().for_each(|n| n.end());
    if std::env::var("KEEP").is_ok() {
        eprintln!("logs in {}", folder.display());
    } else {
        let _ = fs::remove_dir_all(&folder);
    }
    for line in &broken {
        println!("{line}");
        record.note(format!("BROKEN: {line}"));
    }
    let _ = SIGTERM + SIGKILL + SIGSTOP;
    println!("{}", if broken.is_empty() { "the rule held" } else { "the rule was broken" });
    std::process::exit(i32::from(!broken.is_empty()));
}
