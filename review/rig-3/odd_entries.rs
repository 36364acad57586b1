//! Another writer leaves entries in the list of runners that can't be read. Right after, one runner reports that it drains, and
//! the entry of another one that leaves is removed.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use crate::{
    caller::{send, Attempt},
    node::{addr, wait_ready, Entry, Settings},
    runner::{self, Run, Runs, Spec},
    store::{Front, Store},
    Setup, Verdict,
};

/// Bound of the settings, in milliseconds.
const DRAIN: u64 = 2000;

/// Time for which the runners serve beyond it, and then end, in milliseconds.
const LINGER: u64 = 1000;

/// Work of a request.
const WORK: Duration = Duration::from_millis(200);

/// Entries that can't be read, and their size in bytes: below `record_bytes` of the settings.
const ODD: usize = 40;
const ODD_BYTES: usize = 250_000;

const ENTRIES: [(u8, &str); 3] = [(10, "cph-a"), (11, "aar-a"), (12, "ode-a")];
pub const SERVICE: &str = "gateway-a";

/// Returns a configuration with one route to one service.
pub fn config() -> String {
    format!(
        "{{\"version\":3,\"routes\":[{{\"name\":\"r-order\",\"hostname\":\"one.example\",\"path_prefix\":\"/order/\",\
         \"type\":\"unsafe\",\"timeout_ms\":1500,\"target_latency_ms\":300,\"priority\":1,\"service\":\"{SERVICE}\",\
         \"max_attempts\":1,\"public\":false}}],\"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/healthz\",\
         \"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"wa\",\"api_keys\":[\"key-1\"],\"priority\":1}}]}}"
    )
}

pub fn run(setup: &Setup) -> Verdict {
    let record = &setup.record;
    let store = Arc::new(Store::default());
    let address = addr(2, 8007);
    let _front = Front::open(&store, address);
    let runs: Runs = Arc::default();
    let runners: Vec<_> = (0..3u8)
        .map(|i| {
            let spec = Spec {
                id: format!("i-{i}"),
                service: SERVICE,
                zone: ENTRIES[usize::from(i)].1,
                addr: addr(100 + i, 8100),
                work: WORK,
            };
            runner::start(spec, &store, record, &runs)
        })
        .collect();
    store.put("keyed.op", "config", config().as_bytes());
    let entries = ENTRIES.map(|(host, zone)| {
        let settings = Settings {
            store: address,
            seeds: &[10, 11, 12],
            bootstrap: true,
        };
        Entry::start(&setup.program, &setup.folder, host, zone, settings)
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
            let id = format!("{:016x}", 0x5b00_0000 + next);
            next += 1;
            let (record, attempts) = (record.clone(), attempts.clone());
            let (addr, name) = (entry.callers(), entry.name.clone());
            std::thread::spawn(move || {
                let sent = record.now();
                record.note(format!("caller sends {id} to {name}"));
                let (status, proof) = send(addr, "/order/1", &id, "key-1", 1500);
                record.note(format!("caller gets {status} for {id} {proof}"));
                let (entry, key) = (name, "key-1");
                attempts.lock().unwrap().push(Attempt { id, entry, key, sent, status, proof });
            });
            pause(20);
        }
    };
    // The machines are in touch and the store is stable from here on.
    offer(5000);
    if setup.trouble {
        for i in 0..ODD {
            store.put("keyed.servers", &format!("odd-{i}"), &[0xfe; ODD_BYTES]);
        }
        record.note(format!("another writer has left {ODD} entries of {ODD_BYTES} bytes that can't be read"));
    }
    runners[0].drain();
    runners[1].remove();
    let acked = record.now();
    record.note("runner i-0 reports that it drains, and the entry of runner i-1 is removed; the store has accepted both");
    offer(DRAIN + LINGER);
    runners[0].exit();
    runners[1].exit();
    record.note("runners i-0 and i-1 end");
    offer(2000);
    pause(1600);
    let runs = runs.lock().unwrap();
    let sent = |id: &str| attempts.lock().unwrap().iter().find(|a| a.id == id).map(|a| a.sent);
    let leaving = |r: &&Run| r.runner != "i-2" && sent(&r.id).is_some_and(|at| at > acked);
    let after: Vec<_> = runs.iter().filter(|r| r.at > acked + DRAIN).collect();
    let late: Vec<_> = after.iter().copied().filter(leaving).collect();
    for id in ["i-0", "i-1"] {
        let own: Vec<_> = late.iter().filter(|r| r.runner == id).collect();
        let last = own.iter().map(|r| r.at - acked).max().unwrap_or(0);
        record.note(format!(
            "of {} requests that ran over {DRAIN} ms after the acknowledgement, {} ran at {id}, the last one {last} ms after it",
            after.len(),
            own.len()
        ));
    }
    let lost = |r: &&&Run| attempts.lock().unwrap().iter().any(|a| a.id == r.id && a.status != 200);
    record.note(format!("of these, {} were not answered by their runner", late.iter().filter(lost).count()));
    if after.is_empty() {
        return Verdict::NotRun("no request ran after the bound".to_owned());
    }
    if late.is_empty() {
        return Verdict::Held;
    }
    Verdict::Broken
}
