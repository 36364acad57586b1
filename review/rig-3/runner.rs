//! Stand-in of a plain runner: it answers each request after some work, and keeps its entry in the store.

use std::{
    net::{SocketAddr, TcpListener},
    sync::{Arc, Mutex},
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

/// Starts a runner.
pub fn start(spec: Spec, store: &Arc<Store>, record: &Arc<Record>, runs: &Runs) {
    let listener = TcpListener::bind(spec.addr).expect("the address of the runner is free");
    let born = SystemTime::now().duration_since(UNIX_EPOCH);
    let born = born.expect("the time of day is after 1970").as_millis();
    let (writer, own) = (store.clone(), spec.clone());
    std::thread::spawn(move || {
        for sequence in 1u64.. {
            let text = format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":16,\
                 \"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":{sequence},\"born\":{born}}}",
                own.service, own.addr, own.zone
            );
            writer.put("keyed.servers", &own.id, text.as_bytes());
            std::thread::sleep(HEARTBEAT);
        }
    });
    let (record, runs) = (record.clone(), runs.clone());
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (spec, record, runs) = (spec.clone(), record.clone(), runs.clone());
            std::thread::spawn(move || serve(&spec, &record, &runs, Wire::new(stream)));
        }
    });
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
