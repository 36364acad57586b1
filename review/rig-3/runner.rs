//! Stand-in of a plain runner: it answers each request after some work, and keeps its entry in the store.

use std::{
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex,
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{message, Wire},
    record::Record,
    store::Store,
};

/// Interval at which a runner writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1200);

/// A request that a runner ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub runner: String,
    pub service: String,
    /// When it reached the runner, in milliseconds since the start of the case.
    pub at: u64,
}

/// All runs of a case.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// What a runner is.
#[derive(Clone)]
pub struct Spec {
    pub id: String,
    pub service: &'static str,
    pub zone: &'static str,
    pub addr: SocketAddr,
    pub work: Duration,
}

/// A runner, and its entry in the store.
pub struct Runner {
    spec: Spec,
    store: Arc<Store>,
    born: u128,
    sequence: AtomicU64,
    /// `None` once the entry was removed.
    state: Mutex<Option<&'static str>>,
    exited: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
}

impl Runner {
    fn write(&self) {
        let state = self.state.lock().unwrap();
        let Some(state) = *state else {
            return;
        };
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let spec = &self.spec;
        let text = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":16,\
             \"state\":\"{state}\",\"cold_remaining_ms\":0,\"sequence\":{sequence},\"born\":{}}}",
            spec.service, spec.addr, spec.zone, self.born
        );
        self.store.put("keyed.servers", &spec.id, text.as_bytes());
    }

    /// Reports that the runner drains; the store has accepted the report when this returns.
    pub fn drain(&self) {
        *self.state.lock().unwrap() = Some("draining");
        self.write();
    }

    /// Removes the entry of a runner that leaves without a report.
    pub fn remove(&self) {
        *self.state.lock().unwrap() = None;
        self.store.put("keyed.servers", &self.spec.id, b"");
    }

    /// Ends the runner: nothing listens at its address any more, and open channels end.
    pub fn exit(&self) {
        self.exited.store(true, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Starts a runner.
pub fn start(spec: Spec, store: &Arc<Store>, record: &Arc<Record>, runs: &Runs) -> Arc<Runner> {
    let listener = TcpListener::bind(spec.addr).expect("the address of the runner is free");
    let born = SystemTime::now().duration_since(UNIX_EPOCH);
    let born = born.expect("the time of day is after 1970").as_millis();
    let runner = Arc::new(Runner {
        spec: spec.clone(),
        store: store.clone(),
        born,
        sequence: AtomicU64::new(0),
        state: Mutex::new(Some("ready")),
        exited: AtomicBool::new(false),
        streams: Mutex::default(),
    });
    let writer = runner.clone();
    std::thread::spawn(move || loop {
        writer.write();
        std::thread::sleep(HEARTBEAT);
    });
    let (record, runs, serving) = (record.clone(), runs.clone(), runner.clone());
    listener.set_nonblocking(true).expect("a listener can be polled");
    std::thread::spawn(move || {
        while !serving.exited.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                std::thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            if let Ok(copy) = stream.try_clone() {
                serving.streams.lock().unwrap().push(copy);
            }
            let (spec, record, runs) = (spec.clone(), record.clone(), runs.clone());
            std::thread::spawn(move || serve(&spec, &record, &runs, Wire::new(stream)));
        }
    });
    runner
}

fn serve(spec: &Spec, record: &Record, runs: &Runs, mut wire: Wire) {
    while let Ok(Some(head)) = wire.head() {
        if wire.body(&head, true).is_err() {
            return;
        }
        let id = head.get("sesamewing-attempt-id").unwrap_or_default().to_owned();
        let expected = head.get("sesamewing-expect-instance");
        if expected.is_some_and(|e| e != spec.id) {
            let headers = [("Sesamewing-Attempt-Id", id.as_str()), ("Sesamewing-Instance-Id", &spec.id)];
            if wire.write(&message("HTTP/1.1 421 Misdirected Request", &headers, b"")).is_err() {
                return;
            }
            continue;
        }
        record.note(format!("runner {} ({}) runs {id}", spec.id, spec.service));
        runs.lock().unwrap().push(Run {
            id: id.clone(),
            runner: spec.id.clone(),
            service: spec.service.to_owned(),
            at: record.now(),
        });
        std::thread::sleep(spec.work);
        let proof = format!("{}.{id}", spec.id);
        let headers = [
            ("Sesamewing-Attempt-Id", id.as_str()),
            ("Sesamewing-Runner-Signature", &proof),
            ("Sesamewing-Runner-Load", "1,0,16"),
        ];
        if wire.write(&message("HTTP/1.1 200 OK", &headers, b"done")).is_err() {
            return;
        }
    }
}
