//! CONFIG: the two entries that read the store for their zone stop in turn. While they end their last requests they serve
//! no other entry any more, but the rest of the zone goes on relying on them and learns of no configuration.

use super::{
    super::*,
    plain::{Arrivals, Plain},
};

/// Service of the route before and after the change.
const OLD: &str = "wuno96b";
const NEW: &str = "xano55b";
const STREAM: &str = "dele69a";

/// Entries: three in one zone, one in another.
const ENTRIES: usize = 4;

/// Pause between the two stops, and the time from the second one to the change.
const GAP_MS: u64 = 1000;
const CHANGED_AFTER_MS: u64 = 3500;

const CONFIG_APPLY_MS: u64 = 2000;
const KEY: &str = "jnbanfqasnmgkcuyj8pj";

fn config(version: u64, service: &str) -> String {
    let route = |name: &str, prefix: &str, kind: &str, timeout: u64, service: &str, rest: &str| {
        format!(
            "{{\"name\":\"{name}\",\"hostname\":\"voka93.example\",\"path_prefix\":\"{prefix}\",\"type\":\"{kind}\",\
             \"timeout_ms\":{timeout},\"target_latency_ms\":400,\"priority\":1,\"service\":\"{service}\",\"public\":false{rest}}}"
        )
    };
    let service_of = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"health_path\":\"/healthz\",\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}}"
        )
    };
    let streams = ",\"max_attempts\":2,\"stream_resume\":true,\"target_gap_ms\":300";
    format!(
        "{{\"version\":{version},\"routes\":[{},{}],\"services\":[{},{},{}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"bozi300\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}",
        route("r-1", "/filo73/de11/", "unsafe", 2000, service, ",\"max_attempts\":1"),
        route("r-2", "/lepu270/", "streaming", 6000, STREAM, streams),
        service_of(OLD),
        service_of(NEW),
        service_of(STREAM)
    )
}

/// A request that a client sent.
struct Sent {
    id: String,
    entry: usize,
    at: u64,
}

/// Sends a request and records its answer.
fn send(run: &Run, entry: usize, path: &str, deadline: u64) -> (Sent, thread::JoinHandle<()>) {
    let (addr, id) = (run.net.entry(entry, CALLERS), format!("{:016x}", random()));
    let (record, own, path) = (run.record.clone(), id.clone(), path.to_owned());
    let at = run.record.now();
    let handle = thread::spawn(move || {
        let text = format!(
            "POST {path} HTTP/1.1\r\nHost: voka93.example\r\nSesamewing-Attempt-Id: {own}\r\n\
             Sesamewing-Deadline-Ms: {deadline}\r\nSesamewing-Key: {KEY}\r\nContent-Length: 5\r\n\r\n"
        );
        record.note(format!("request {own} ({path}) is sent to entry-{entry}"));
        let answer = call(addr, &text, b"order", deadline + 1000);
        let text = answer.map_or("no whole answer".to_owned(), |(h, b)| {
            format!("{} with {} bytes", h.line.get(1).cloned().unwrap_or_default(), b.len())
        });
        record.note(format!("request {own} gets {text}"));
    });
    (Sent { id, entry, at }, handle)
}

pub fn run(run: &Run) -> Vec<String> {
    run.store.append("keyed.op", "config", &config(3, OLD));
    let arrivals = Arrivals::default();
    for (n, service) in [OLD, NEW, STREAM, STREAM].into_iter().enumerate() {
        Plain::start(run, &format!("i-{service}-{n}"), service, run.net.host(n, APP), 15, &arrivals);
    }
    let nodes: Vec<_> = (0..ENTRIES).map(|i| run.node("entry", i, ENTRIES, "")).collect();
    run.wait_ready(ENTRIES);
    sleep_ms(9000);
    let reads = |i: &usize| run.store.has_read(&format!("entry-{i}"), "keyed.servers", 1500);
    let (readers, rest): (Vec<usize>, Vec<usize>) = (0..3).partition(reads);
    run.record.note(format!("entries of the zone that read the store: {readers:?}; the rest: {rest:?}"));
    if readers.len() != 2 {
        fail("two entries of the zone should read the store");
    }
    let (mut sent, mut threads) = (Vec::new(), Vec::new());
    for (i, reader) in readers.iter().enumerate() {
        // A client's long stream is in progress when its entry is told to stop.
        threads.push(send(run, *reader, "/lepu270/2f", 6000).1);
        sleep_ms(100);
        if run.trouble {
            nodes[*reader].signal(SIGTERM);
            run.record.note(format!("entry-{reader} gets SIGTERM; its machine leaves"));
        }
        if i == 0 {
            sleep_ms(GAP_MS - 100);
        }
    }
    sleep_ms(CHANGED_AFTER_MS);
    run.store.append("keyed.op", "config", &config(8, NEW));
    let acked = run.record.now();
    run.record.note(format!("configuration 8 moves the route from {OLD} to {NEW}: acknowledged"));
    while run.record.now() < acked + 6000 {
        for entry in [rest[0], 3] {
            let (request, thread) = send(run, entry, "/filo73/de11/2f", 2000);
            sent.push(request);
            threads.push(thread);
        }
        sleep_ms(50);
    }
    for t in threads {
        let _ = t.join();
    }
    let all = arrivals.lock().unwrap();
    let old = format!("i-{OLD}-");
    let late = sent.iter().filter(|s| s.at > acked + CONFIG_APPLY_MS);
    let ran = late.filter(|s| all.iter().any(|a| a.id == s.id && a.runner.starts_with(&old)));
    ran.map(|s| {
        format!(
            "CONFIG: request {} was sent to entry-{} {} ms after configuration 8 was acknowledged, and the service ran it that only \
             configuration 3 allows",
            s.id,
            s.entry,
            s.at - acked
        )
    })
    .collect()
}
