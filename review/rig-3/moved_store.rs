//! The platform's store gets another address: the settings files change, and SIGHUP says so. The old address answers on
//! for 6 s and is then closed. Later the operator moves a route to another service and takes a key away.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use crate::{
    caller::{send, Attempt},
    node::{addr, wait_ready, Entry, Settings, SIGHUP},
    runner::{self, Runs, Spec},
    store::{Front, Store},
    Setup, Verdict,
};

/// Bounds of the settings, in milliseconds.
const CONFIG_APPLY: u64 = 2000;
const STABLE_WINDOW: u64 = 3000;

/// Entries, by host number and zone.
const ENTRIES: [(u8, &str); 5] =
    [(10, "cph-a"), (11, "cph-a"), (12, "aar-a"), (13, "aar-a"), (14, "ode-a")];

/// Entries that get SIGHUP: three of five, as the largest share (0.6) of `hup` allows, over 2 s.
const HUPS: usize = 3;
const HUP_GAP: Duration = Duration::from_millis(1000);

fn config(version: u64, service: &str, keys: &str) -> String {
    let service_of = |name: &str| {
        format!("{{\"name\":\"{name}\",\"health_path\":\"/healthz\",\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}}")
    };
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-order\",\"hostname\":\"one.example\",\"path_prefix\":\"/order/\",\
         \"type\":\"unsafe\",\"timeout_ms\":1500,\"target_latency_ms\":300,\"priority\":1,\"service\":\"{service}\",\
         \"max_attempts\":1,\"public\":false}}],\"services\":[{},{}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"wa\",\"api_keys\":[{keys}],\"priority\":1}}]}}",
        service_of("gateway-a"),
        service_of("gateway-b")
    )
}

pub fn run(setup: &Setup) -> Verdict {
    let record = &setup.record;
    let store = Arc::new(Store::default());
    let (old, new) = (addr(2, 8007), addr(3, 8017));
    let old_front = Front::open(&store, old);
    let runs: Runs = Arc::default();
    for (i, service) in ["gateway-a", "gateway-a", "gateway-b", "gateway-b"].into_iter().enumerate() {
        let spec = Spec {
            id: format!("i-{service}-{i}"),
            service,
            zone: ENTRIES[i].1,
            addr: addr(100 + i as u8, 8100),
            work: Duration::from_millis(15),
        };
        runner::start(spec, &store, record, &runs);
    }
    store.put("keyed.op", "config", config(3, "gateway-a", "\"key-1\",\"key-2\"").as_bytes());
    record.note("operator: version 3, /order/ to gateway-a, keys key-1 and key-2");
    let settings = |store, bootstrap| Settings {
        store,
        seeds: &[10, 12, 14],
        bootstrap,
    };
    let entries = ENTRIES.map(|(host, zone)| {
        Entry::start(&setup.program, &setup.folder, host, zone, settings(old, true))
    });
    if !wait_ready(&entries) {
        return Verdict::NotRun("the entries are not ready within 15 s".to_owned());
    }
    let attempts: Arc<Mutex<Vec<Attempt>>> = Arc::default();
    let pause = |ms| std::thread::sleep(Duration::from_millis(ms));
    let mut next = 0;
    let mut offer = |ms: u64| {
        let end = record.now() + ms;
        while record.now() < end {
            let entry = &entries[next % entries.len()];
            let key = ["key-1", "key-2"][next / entries.len() % 2];
            let id = format!("{:016x}", 0x5a00_0000 + next);
            next += 1;
            let (record, attempts) = (record.clone(), attempts.clone());
            let (addr, name) = (entry.callers(), entry.name.clone());
            std::thread::spawn(move || {
                let sent = record.now();
                record.note(format!("caller sends {id} with {key} to {name}"));
                let (status, proof) = send(addr, "/order/1", &id, key, 1500);
                record.note(format!("caller gets {status} for {id} {proof}"));
                let entry = name;
                attempts.lock().unwrap().push(Attempt { id, entry, key, sent, status, proof });
            });
            pause(20);
        }
    };
    offer(3000);
    let mut new_front = None;
    if setup.trouble {
        new_front = Some(Front::open(&store, new));
        for entry in &entries {
            entry.change_settings(settings(new, false));
        }
        record.note(format!("the store answers at {new} too; the settings files name that address"));
        for entry in &entries[..HUPS] {
            record.note(format!("SIGHUP to {}", entry.name));
            entry.signal(SIGHUP);
            pause(HUP_GAP.as_millis() as u64 * 2 / HUPS as u64);
        }
    }
    offer(6000);
    if setup.trouble {
        old_front.close();
        record.note(format!("nothing answers at {old} any more"));
    }
    // The machines are in touch and the store is stable from here on.
    offer(STABLE_WINDOW + 2000);
    store.put("keyed.op", "config", config(9, "gateway-b", "\"key-1\"").as_bytes());
    let acked = record.now();
    record.note("operator: version 9 is acknowledged, /order/ to gateway-b, key key-1 alone");
    offer(CONFIG_APPLY + 6000);
    pause(1600);
    drop(new_front);
    let judged: Vec<String> = entries[..HUPS].iter().map(|e| e.name.clone()).collect();
    let attempts = attempts.lock().unwrap().clone();
    judge(setup, &attempts, &runs, &judged, acked)
}

/// Checks the requests that were sent later than the bound after the acknowledgement.
fn judge(setup: &Setup, all: &[Attempt], runs: &Runs, judged: &[String], acked: u64) -> Verdict {
    let record = &setup.record;
    let runs = runs.lock().unwrap();
    let late = |a: &&Attempt| a.sent > acked + CONFIG_APPLY && judged.contains(&a.entry);
    let (mut count, mut withdrawn, mut revoked, mut moved) = (0, 0, 0, 0);
    for a in all.iter().filter(late) {
        count += 1;
        let Some(run) = runs.iter().find(|r| r.id == a.id) else {
            continue;
        };
        match (run.service.as_str(), a.key) {
            (_, "key-2") => revoked += 1,
            ("gateway-a", _) => withdrawn += 1,
            _ => moved += 1,
        }
    }
    record.note(format!(
        "of {count} requests sent over {CONFIG_APPLY} ms after the acknowledgement, at entries that got SIGHUP: \
         {withdrawn} ran at the service of the older version, {revoked} with the key that was taken away, {moved} as the \
         newer version says"
    ));
    if count == 0 || withdrawn + revoked + moved == 0 {
        return Verdict::NotRun("no request ran after the bound".to_owned());
    }
    if withdrawn + revoked > 0 {
        return Verdict::Broken;
    }
    Verdict::Held
}
