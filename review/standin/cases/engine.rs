//! Stand-in of a model runner with staged weights.

use super::super::*;

/// A piece that lies at the runner.
#[derive(Clone)]
pub struct Piece {
    pub data: Vec<u8>,
    /// When it turned bad.
    pub spoilt: Option<u64>,
}

#[derive(Default)]
pub struct State {
    pub staged: BTreeMap<u32, Piece>,
    /// Version of the layers in use; `None` while it loads.
    pub loaded: Option<u64>,
    pub busy: bool,
    pub sequence: u64,
    pub running: u32,
    /// Pieces that were bad, missing or of another version when the layers in use were taken; text for the record.
    pub taint: Vec<String>,
    /// Reads of pieces since the last piece was staged, and when the first of these was.
    pub reads: u32,
    pub first_read: Option<u64>,
    /// Pieces that were read since then.
    pub checked: Vec<u32>,
    /// Events that were made with tainted layers.
    pub bad_events: Vec<String>,
}

pub struct Engine {
    pub id: String,
    pub service: String,
    pub addr: SocketAddr,
    pub born: u64,
    pub state: Mutex<State>,
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    /// Time that the answer to a read of a piece takes, in milliseconds.
    pub read_ms: u64,
    /// Time until which the runner is silent: it reads, sends and does nothing.
    pub silent_until: AtomicU64,
}

/// A piece may have turned bad within this time before the order.
const EXCUSED_MS: u64 = 3000;

impl Engine {
    /// Starts a runner that holds version 1, which is staged as well.
    pub fn start(run: &Run, id: &str, service: &str, addr: SocketAddr, read_ms: u64) -> Arc<Self> {
        let state = State {
            staged: (0..CHUNKS).map(|i| (i, Piece { data: chunk(1, i), spoilt: None })).collect(),
            loaded: Some(1),
            ..State::default()
        };
        let engine = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            addr,
            born: wall_ms(),
            state: Mutex::new(state),
            record: run.record.clone(),
            store: run.store.clone(),
            read_ms,
            silent_until: AtomicU64::new(0),
        });
        let own = engine.clone();
        serve(addr, move |wire| own.connection(wire));
        let own = engine.clone();
        thread::spawn(move || loop {
            own.beat();
            sleep_ms(1200);
        });
        engine
    }

    /// Falls silent for a time.
    pub fn fall_silent(&self, ms: u64) {
        self.silent_until.store(self.record.now() + ms, Ordering::SeqCst);
        self.record.note(format!("{} is silent for {ms} ms", self.id));
    }

    /// Waits while the runner is silent.
    fn pause(&self) {
        while self.record.now() < self.silent_until.load(Ordering::SeqCst) {
            sleep_ms(2);
        }
    }

    fn models(state: &State) -> String {
        state.loaded.map_or(String::new(), |v| {
            format!("{{\"name\":\"{MODEL}\",\"version\":{v},\"adapters\":[]}}")
        })
    }

    fn beat(&self) {
        let mut state = self.state.lock().unwrap();
        state.sequence += 1;
        let value = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{ZONE}\",\"version\":\"v1\",\"slots\":16,\"state\":\"ready\",\
             \"cold_remaining_ms\":0,\"stage\":\"both\",\"models\":[{}],\"sequence\":{},\"born\":{}}}",
            self.service,
            self.addr,
            Self::models(&state),
            state.sequence,
            self.born
        );
        self.store.append("keyed.servers", &self.id, &value);
    }

    fn connection(self: &Arc<Self>, mut wire: Wire) {
        while let Some(head) = wire.head() {
            let Some(body) = wire.body(&head) else { return };
            self.pause();
            let path = head.path().to_owned();
            let sound = if path == "/sesamewing/report" {
                let state = self.state.lock().unwrap();
                let out = format!(
                    "{{\"stage\":\"both\",\"models\":[{}],\"busy\":{},\"sequence\":{},\"queued\":0,\"active\":{},\
                     \"kv_used_tokens\":0,\"kv_total_tokens\":1640000,\"kv_handles\":0,\"born\":{}}}",
                    Self::models(&state),
                    state.busy,
                    state.sequence,
                    state.running,
                    self.born
                );
                drop(state);
                wire.respond("200 OK", "Content-Type: application/json\r\n", out.as_bytes())
            } else if path.starts_with("/sesamewing/stage-put/") {
                self.put(&mut wire, &head, body)
            } else if path.starts_with("/sesamewing/stage-get/") {
                self.get(&mut wire, &head)
            } else if path == "/sesamewing/order" {
                self.order(&mut wire, &body)
            } else {
                self.run(&mut wire, &head)
            };
            if !sound {
                return;
            }
        }
    }

    fn put(&self, wire: &mut Wire, head: &Head, body: Vec<u8>) -> bool {
        let index: u32 = head.query("sample_size").and_then(|n| n.parse().ok()).unwrap_or(0);
        let mut state = self.state.lock().unwrap();
        state.staged.insert(index, Piece { data: body, spoilt: None });
        (state.reads, state.first_read) = (0, None);
        state.checked.clear();
        drop(state);
        wire.respond("200 OK", "", b"")
    }

    fn get(&self, wire: &mut Wire, head: &Head) -> bool {
        let Some(index) = head.query("sample_size").and_then(|n| n.parse::<u32>().ok()) else {
            let state = self.state.lock().unwrap();
            let held: Vec<_> = state.staged.keys().map(u32::to_string).collect();
            drop(state);
            let out = format!("{{\"held\":[{}]}}", held.join(","));
            return wire.respond("200 OK", "Content-Type: application/json\r\n", out.as_bytes());
        };
        sleep_ms(self.read_ms);
        self.pause();
        let mut state = self.state.lock().unwrap();
        state.reads += 1;
        let now = self.record.now();
        state.first_read.get_or_insert(now);
        state.checked.push(index);
        let data = state.staged.get(&index).map(|p| p.data.clone());
        drop(state);
        match data {
            Some(data) => wire.respond("200 OK", "", &data),
            None => wire.respond("404 Not Found", "", b""),
        }
    }

    /// Takes the pieces as they lie there when the order is accepted, and loads them once running requests have ended.
    fn order(self: &Arc<Self>, wire: &mut Wire, body: &[u8]) -> bool {
        let text = String::from_utf8_lossy(body).into_owned();
        let version = text.split("\"version\":").nth(1).and_then(|v| {
            let digits: String = v.trim().chars().take_while(char::is_ascii_digit).collect();
            digits.parse::<u64>().ok()
        });
        let Some(version) = version else {
            return wire.respond("400 Bad Request", "", b"");
        };
        let mut state = self.state.lock().unwrap();
        if state.busy {
            drop(state);
            return wire.respond("409 Conflict", "", b"");
        }
        if state.loaded == Some(version) {
            drop(state);
            return wire.respond("200 OK", "", b"");
        }
        let now = self.record.now();
        let mut taint = Vec::new();
        for i in 0..CHUNKS {
            match state.staged.get(&i) {
                None => taint.push(format!("piece {i} is missing")),
                Some(p) if p.data == chunk(version, i) => {}
                Some(Piece { spoilt: Some(at), .. }) if now - at > EXCUSED_MS => {
                    taint.push(format!("piece {i} turned bad {} ms before", now - at));
                }
                Some(Piece { spoilt: Some(_), .. }) => {}
                Some(_) => taint.push(format!("piece {i} is of another version")),
            }
        }
        self.record.note(format!("{} accepts the order to load version {version}; pieces at fault: {taint:?}", self.id));
        state.busy = true;
        state.sequence += 1;
        drop(state);
        let own = self.clone();
        thread::spawn(move || {
            while own.state.lock().unwrap().running > 0 {
                sleep_ms(10);
            }
            own.state.lock().unwrap().loaded = None;
            own.beat();
            sleep_ms(300);
            {
                let mut state = own.state.lock().unwrap();
                (state.loaded, state.busy, state.taint) = (Some(version), false, taint);
            }
            own.beat();
            own.record.note(format!("{} has loaded version {version}", own.id));
        });
        wire.respond("202 Accepted", "", b"")
    }

    fn run(&self, wire: &mut Wire, head: &Head) -> bool {
        let id = head.get("Sesamewing-Attempt-Id").unwrap_or("-").to_owned();
        let echo = format!("Sesamewing-Attempt-Id: {id}\r\nSesamewing-Instance-Id: {}\r\n", self.id);
        if head.get("Sesamewing-Expect-Instance").is_some_and(|i| i != self.id) {
            return wire.respond("421 Misdirected Request", &echo, b"");
        }
        let mut state = self.state.lock().unwrap();
        let version = state.loaded;
        let expected = head.get("Sesamewing-Expect-Version").and_then(|v| v.parse::<u64>().ok());
        if expected.is_some() && expected != version {
            drop(state);
            return wire.respond("421 Misdirected Request", &echo, b"");
        }
        let Some(version) = version.filter(|_| !state.busy) else {
            drop(state);
            let headers = format!("{echo}Sesamewing-Not-Executed: 1\r\n");
            return wire.respond("503 Service Unavailable", &headers, b"");
        };
        state.running += 1;
        if !state.taint.is_empty() {
            let text = format!("{} makes tokens of request {id} on layers with {}", self.id, state.taint.join(", "));
            self.record.note(&text);
            state.bad_events.push(text);
        } else {
            self.record.note(format!("{} runs request {id} on version {version}", self.id));
        }
        drop(state);
        let mut sound = wire.send(
            format!(
                "HTTP/1.1 200 OK\r\n{echo}Sesamewing-Runner-Signature: {}.{id}\r\nSesamewing-Weight-Versions: {version}\r\n\
                 Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
                self.id
            )
            .as_bytes(),
        );
        for n in 1..=10 {
            sleep_ms(30);
            self.pause();
            let event = format!("id: {n}\ndata: {id} {n}\n\n");
            sound = sound && wire.send(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes());
        }
        sound = sound && wire.send(b"0\r\n\r\n");
        self.state.lock().unwrap().running -= 1;
        sound
    }

    /// Spoils pieces that were read in the check in progress; returns their indexes.
    pub fn spoil(&self, count: usize) -> Vec<u32> {
        let mut state = self.state.lock().unwrap();
        let now = self.record.now();
        let chosen: Vec<u32> = state.checked.iter().take(count).copied().collect();
        for i in &chosen {
            if let Some(p) = state.staged.get_mut(i) {
                p.data[100] ^= 0x40;
                p.spoilt = Some(now);
            }
        }
        chosen
    }
}
