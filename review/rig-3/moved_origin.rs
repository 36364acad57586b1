//! The origin of weights is lost for good while a new version is copied from it. The operator's next configuration names the
//! address of the one that takes its place.

use std::{
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    time::Duration,
};

use crate::{
    caller::send_with,
    http::wait_until,
    node::{addr, wait_ready, Agent, Entry, Settings},
    runner::{self, Runs, Spec},
    store::{Front, Store},
    weights::{ModelRunner, Origin, CHUNKS, CHUNK_BYTES, MODEL},
    Setup, Verdict,
};

/// Pieces that the origin has sent when it is lost.
const SENT: usize = 24;

/// Time from the loss of the origin until the configuration names the other one, and from there until one adds a route.
const REPLACED: u64 = 2000;
const ADDED: u64 = 14_000;

/// Time in which the added route is judged, and the bound of the settings after which that begins.
const JUDGED: u64 = 15_000;
const CONFIG_APPLY: u64 = 2000;

const ENTRIES: [(u8, &str); 3] = [(10, "cph-a"), (11, "aar-a"), (12, "ode-a")];

fn config(version: u64, origin: std::net::SocketAddr, added: bool) -> String {
    let route = |name: &str, kind: &str, service: &str| {
        format!(
            "{{\"name\":\"r-{name}\",\"hostname\":\"one.example\",\"path_prefix\":\"/{name}/\",\"type\":\"{kind}\",\
             \"timeout_ms\":1500,\"target_latency_ms\":300,\"priority\":1,\"service\":\"{service}\",\"max_attempts\":2,\
             \"public\":false}}"
        )
    };
    let mut routes = vec![route("order", "unsafe", "gateway-a"), route("draft", "safe", "pool")];
    if added {
        routes.push(route("new-draft", "safe", "pool"));
    }
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"gateway-a\",\"health_path\":\"/healthz\",\
         \"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}},{{\"name\":\"pool\",\"health_path\":\"/healthz\",\
         \"max_connections\":274,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":16,\
         \"kv_capacity_tokens\":1640000,\"kv_token_bytes\":163840,\"bandwidth_mbps\":400000.0,\"stride\":6,\
         \"models\":[{{\"name\":\"{MODEL}\",\"pace\":1.0,\"load_s\":4.0,\"warmup_s\":0.3}}],\"size_mb\":282000.0,\
         \"step_ms\":6.73,\"per_seq_ms\":0.0219,\"context_per_k\":0.0068,\"read_per_s\":30600.0,\"pairs_per_m\":0.647,\
         \"chunk\":2048,\"report_lag_ms\":200.0,\"layers\":16,\"layer_mb\":4540.0,\"act_bytes\":16384,\
         \"chunks\":{CHUNKS},\"chunk_bytes\":{CHUNK_BYTES}}}}},{{\"name\":\"portal\",\"origin\":\"{origin}\",\
         \"zone\":\"cph-a\",\"bandwidth_mbps\":9.9,\"max_connections\":48}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"wa\",\"api_keys\":[\"key-1\"],\"priority\":1}}]}}",
        routes.join(",")
    )
}

/// A request: when it was sent, on which route, and whether it was served.
type Sent = (u64, &'static str, bool);

pub fn run(setup: &Setup) -> Verdict {
    let record = &setup.record;
    let store = Arc::new(Store::default());
    let address = addr(2, 8007);
    let _front = Front::open(&store, address);
    let (first, second) = (addr(4, 8006), addr(5, 8006));
    let origin = Origin::open(first);
    let runs: Runs = Arc::default();
    let spec = Spec {
        id: "i-order".to_owned(),
        service: "gateway-a",
        zone: "cph-a",
        addr: addr(100, 8100),
        work: Duration::from_millis(15),
    };
    runner::start(spec, &store, record, &runs);
    store.put("keyed.op", "config", config(3, first, false).as_bytes());
    store.put("keyed.op", &format!("version/{MODEL}"), format!("{{\"model\":\"{MODEL}\",\"version\":1}}").as_bytes());
    let settings = |bootstrap| Settings {
        store: address,
        seeds: &[10, 11, 12],
        bootstrap,
    };
    let (program, folder) = (&setup.program, &setup.folder);
    let entries = ENTRIES.map(|(host, zone)| Entry::start(program, folder, host, zone, settings(true)));
    let runners: Vec<_> = (0..2u8)
        .map(|i| {
            let (zone, app) = (ENTRIES[usize::from(i)].1, addr(101 + i, 8100));
            let runner = ModelRunner::start(&format!("i-m{i}"), "pool", zone, app, &store, record);
            (runner, Agent::start(program, folder, app, "pool", zone, settings(true)))
        })
        .collect();
    if !wait_ready(&entries) {
        return Verdict::NotRun("the entries are not ready within 15 s".to_owned());
    }
    let (ended, with_added) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let callers = entries.each_ref().map(Entry::callers);
    let load = {
        let (ended, with_added, sent, record) = (ended.clone(), with_added.clone(), sent.clone(), record.clone());
        std::thread::spawn(move || {
            for next in 0usize.. {
                if ended.load(Ordering::SeqCst) {
                    return;
                }
                let count = if with_added.load(Ordering::SeqCst) { 3 } else { 2 };
                let route = ["order", "draft", "new-draft"][next % count];
                let (id, entry) = (format!("{:016x}", 0x5d00_0000 + next), callers[next / count % callers.len()]);
                let (sent, record) = (sent.clone(), record.clone());
                std::thread::spawn(move || {
                    let at = record.now();
                    let model = [("Sesamewing-Model", MODEL), ("Sesamewing-Token-Usage", "100,60")];
                    let more = if route == "order" { &[][..] } else { &model[..] };
                    let (status, _) = send_with(entry, &format!("/{route}/1"), &id, "key-1", 1500, more);
                    record.note(format!("caller gets {status} for {id} on /{route}/"));
                    sent.lock().unwrap().push((at, route, status == 200));
                });
                std::thread::sleep(Duration::from_millis(30));
            }
        })
    };
    let pause = |ms| std::thread::sleep(Duration::from_millis(ms));
    pause(5000);
    store.put("keyed.op", &format!("version/{MODEL}"), format!("{{\"model\":\"{MODEL}\",\"version\":2}}").as_bytes());
    record.note("operator: version 2 of the weights");
    let begun = wait_until(Duration::from_secs(8), || *origin.sent.lock().unwrap() >= SENT);
    let mut other = None;
    if setup.trouble {
        origin.close();
        record.note(format!("the origin at {first} is lost, {} pieces are sent", origin.sent.lock().unwrap()));
    }
    pause(REPLACED);
    if setup.trouble {
        other = Some(Origin::open(second));
        store.put("keyed.op", "config", config(9, second, false).as_bytes());
        record.note(format!("operator: version 9 of the configuration, the origin is at {second}"));
    }
    pause(ADDED);
    let origin_now = if setup.trouble { second } else { first };
    store.put("keyed.op", "config", config(12, origin_now, true).as_bytes());
    let added = record.now();
    with_added.store(true, Ordering::SeqCst);
    record.note("operator: version 12 of the configuration adds /new-draft/");
    pause(JUDGED);
    ended.store(true, Ordering::SeqCst);
    let _ = load.join();
    pause(1700);
    for (i, (runner, _)) in runners.iter().enumerate() {
        record.note(format!("runner i-m{i} has version {}", runner.version()));
    }
    if let Some(other) = &other {
        record.note(format!("the origin at {second} has sent {} pieces", other.sent.lock().unwrap()));
    }
    let sent = sent.lock().unwrap();
    let judged = sent.iter().filter(|s| s.0 > added + CONFIG_APPLY);
    let (mut new, mut old) = ((0u32, 0u32), (0u32, 0u32));
    for (_, route, served) in judged {
        let share = if *route == "new-draft" { &mut new } else { &mut old };
        share.0 += 1;
        share.1 += u32::from(*served);
    }
    record.note(format!(
        "later than {CONFIG_APPLY} ms after that, {} of {} requests on the added route were served, {} of {} on the first ones",
        new.1, new.0, old.1, old.0
    ));
    if !begun || new.0 < 20 || old.1 == 0 {
        return Verdict::NotRun("too little was sent or served".to_owned());
    }
    if new.1 * old.0 * 4 < old.1 * new.0 {
        return Verdict::Broken;
    }
    Verdict::Held
}
