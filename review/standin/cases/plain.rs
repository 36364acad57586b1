//! Stand-in of a runner of a plain service.

use super::super::*;

/// Prefix of paths whose answers are streams.
pub const STREAMS: &str = "/lepu270/";

/// Events of a stream, and the pause between them.
const EVENTS: u32 = 60;
const PAUSE_MS: u64 = 95;

/// A request that reached a runner.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub id: String,
    pub at: u64,
    pub runner: String,
    /// Whether it was answered before the runner ended.
    pub answered: bool,
}

/// Requests that reached any runner, in the order of arrival.
pub type Arrivals = Arc<Mutex<Vec<Arrival>>>;

pub struct Plain {
    pub id: String,
    pub service: String,
    pub addr: SocketAddr,
    born: u64,
    sequence: AtomicU64,
    running: AtomicU64,
    /// Whether it writes its entry no more.
    left: AtomicBool,
    work_ms: u64,
    arrivals: Arrivals,
    record: Arc<Record>,
    store: Arc<Store>,
    listener: Mutex<Option<Arc<Service>>>,
}

impl Plain {
    pub fn start(run: &Run, id: &str, service: &str, addr: SocketAddr, work_ms: u64, arrivals: &Arrivals) -> Arc<Self> {
        let runner = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            addr,
            born: wall_ms(),
            sequence: AtomicU64::new(0),
            running: AtomicU64::new(0),
            left: AtomicBool::new(false),
            work_ms,
            arrivals: arrivals.clone(),
            record: run.record.clone(),
            store: run.store.clone(),
            listener: Mutex::default(),
        });
        let own = runner.clone();
        *runner.listener.lock().unwrap() = Some(serve(addr, move |wire| own.connection(wire)));
        let own = runner.clone();
        thread::spawn(move || {
            while !own.left.load(Ordering::SeqCst) {
                own.beat();
                sleep_ms(1200);
            }
        });
        runner.record.note(format!("runner {id} starts"));
        runner
    }

    fn beat(&self) {
        let sequence = 1 + self.sequence.fetch_add(1, Ordering::SeqCst);
        let value = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{ZONE}\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\
             \"cold_remaining_ms\":0,\"sequence\":{sequence},\"born\":{}}}",
            self.service, self.addr, self.born
        );
        self.store.append("keyed.servers", &self.id, &value);
    }

    /// Leaves without a report: its entry is removed. Returns when the store has accepted that.
    pub fn leave(&self) -> u64 {
        self.left.store(true, Ordering::SeqCst);
        self.store.append("keyed.servers", &self.id, "");
        let at = self.record.now();
        self.record.note(format!("the entry of runner {} is removed", self.id));
        at
    }

    /// Ends its process.
    pub fn exit(&self) {
        self.record.note(format!("runner {} exits", self.id));
        if let Some(listener) = self.listener.lock().unwrap().take() {
            listener.exit();
        }
    }

    fn connection(&self, mut wire: Wire) {
        while let Some(head) = wire.head() {
            let Some(_) = wire.body(&head) else { return };
            if head.path() == "/healthz" {
                let own = format!("Sesamewing-Instance-Id: {}\r\n", self.id);
                wire.respond("200 OK", &own, b"");
                continue;
            }
            let id = head.get("Sesamewing-Attempt-Id").unwrap_or("-").to_owned();
            let echo = format!("Sesamewing-Attempt-Id: {id}\r\nSesamewing-Instance-Id: {}\r\n", self.id);
            if head.get("Sesamewing-Expect-Instance").is_some_and(|i| i != self.id) {
                wire.respond("421 Misdirected Request", &echo, b"");
                continue;
            }
            let at = self.record.now();
            self.record.note(format!("request {id} reaches runner {}", self.id));
            let index = {
                let mut all = self.arrivals.lock().unwrap();
                all.push(Arrival {
                    id: id.clone(),
                    at,
                    runner: self.id.clone(),
                    answered: false,
                });
                all.len() - 1
            };
            if head.path().starts_with(STREAMS) {
                if !self.stream(&mut wire, &echo, &id) {
                    return;
                }
                self.arrivals.lock().unwrap()[index].answered = true;
                continue;
            }
            let running = 1 + self.running.fetch_add(1, Ordering::SeqCst);
            sleep_ms(self.work_ms);
            self.running.fetch_sub(1, Ordering::SeqCst);
            let headers = format!(
                "{echo}Sesamewing-Runner-Signature: {}.{id}\r\nSesamewing-Runner-Load: {running},0,6\r\n",
                self.id
            );
            let sound = wire.respond("200 OK", &headers, format!("order {id} is placed").as_bytes());
            self.arrivals.lock().unwrap()[index].answered = sound;
            if !sound {
                return;
            }
        }
    }

    /// Answers with a long stream.
    fn stream(&self, wire: &mut Wire, echo: &str, id: &str) -> bool {
        let head = format!(
            "HTTP/1.1 200 OK\r\n{echo}Sesamewing-Runner-Signature: {}.{id}\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        let mut sound = wire.send(head.as_bytes());
        for n in 1..=EVENTS {
            let event = format!("id: {n}\ndata: {id} {n}\n\n");
            sound = sound && wire.send(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes());
            sleep_ms(PAUSE_MS);
        }
        sound && wire.send(b"0\r\n\r\n")
    }
}
