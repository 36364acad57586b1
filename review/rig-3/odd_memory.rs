//! Another writer leaves so many large entries in the list of runners that an entry that reads them all exceeds its memory. The
//! platform kills a process that does, and starts it again.

use std::{
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    time::Duration,
};

use crate::{
    caller::send,
    node::{addr, wait_ready, Entry, Settings, MEMORY_MB, SIGKILL},
    odd_entries::{config, SERVICE},
    runner::{self, Runs, Spec},
    store::{Front, Store},
    Setup, Verdict,
};

/// Entries that can't be read, their size in bytes, and the pause between two: below `partition_mb_s`.
const ODD: usize = 1100;
const ODD_BYTES: usize = 250_000;
const ODD_PAUSE: u64 = 13;

/// Ends of a process by itself from which on its machine counts, and the least number of such machines.
const ENDS: usize = 3;
const MACHINES: usize = 2;

/// Time after the entries were left, and its last part, in which some request has to be served; in milliseconds.
const AFTER: u64 = 60_000;
const LAST: u64 = 20_000;

/// Time after which the platform starts a process again that has ended.
const START_DELAY: Duration = Duration::from_millis(500);

const ENTRIES: [(u8, &str); 3] = [(10, "cph-a"), (11, "aar-a"), (12, "ode-a")];

pub fn run(setup: &Setup) -> Verdict {
    let record = &setup.record;
    let store = Arc::new(Store::default());
    let address = addr(2, 8007);
    let _front = Front::open(&store, address);
    let runs: Runs = Arc::default();
    for i in 0..3u8 {
        let spec = Spec {
            id: format!("i-{i}"),
            service: SERVICE,
            zone: ENTRIES[usize::from(i)].1,
            addr: addr(100 + i, 8100),
            work: Duration::from_millis(15),
        };
        runner::start(spec, &store, record, &runs);
    }
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
    let callers = entries.each_ref().map(Entry::callers);
    let names = entries.each_ref().map(|e| e.name.clone());
    let ended = Arc::new(AtomicBool::new(false));
    let kills: Arc<Mutex<Vec<usize>>> = Arc::new(Mutex::new(vec![0; entries.len()]));
    let platform: Vec<_> = entries
        .into_iter()
        .enumerate()
        .map(|(i, mut entry)| {
            let (ended, kills, record) = (ended.clone(), kills.clone(), record.clone());
            std::thread::spawn(move || {
                let mut peak = 0;
                while !ended.load(Ordering::SeqCst) {
                    let memory = entry.memory();
                    peak = peak.max(memory);
                    if memory > MEMORY_MB || !entry.runs() {
                        record.note(format!("{} has {memory} MiB of {MEMORY_MB}; it is killed", entry.name));
                        entry.signal(SIGKILL);
                        kills.lock().unwrap()[i] += 1;
                        std::thread::sleep(START_DELAY);
                        entry.start_again();
                    }
                    std::thread::sleep(Duration::from_millis(20));
                }
                record.note(format!("{}: {peak} MiB at the peak", entry.name));
            })
        })
        .collect();
    let served: Arc<Mutex<Vec<(u64, bool)>>> = Arc::default();
    let (offering, offered) = (ended.clone(), served.clone());
    let clock = record.clone();
    let load = std::thread::spawn(move || {
        for next in 0.. {
            if offering.load(Ordering::SeqCst) {
                return;
            }
            let id = format!("{:016x}", 0x5c00_0000u64 + next as u64);
            let sent = clock.now();
            let (status, _) = send(callers[next % callers.len()], "/order/1", &id, "key-1", 1500);
            clock.note(format!("caller of {} gets {status} for {id}", names[next % names.len()]));
            offered.lock().unwrap().push((sent, status == 200));
            std::thread::sleep(Duration::from_millis(100));
        }
    });
    std::thread::sleep(Duration::from_millis(5000));
    for i in 0..ODD {
        if setup.trouble {
            store.put("keyed.servers", &format!("odd-{i:05}"), &[0xfe; ODD_BYTES]);
        }
        std::thread::sleep(Duration::from_millis(ODD_PAUSE));
    }
    if setup.trouble {
        record.note(format!("another writer has left {ODD} entries of {ODD_BYTES} bytes that can't be read"));
    }
    let left = record.now();
    std::thread::sleep(Duration::from_millis(AFTER));
    ended.store(true, Ordering::SeqCst);
    let _ = load.join();
    for thread in platform {
        let _ = thread.join();
    }
    let kills = kills.lock().unwrap().clone();
    let served = served.lock().unwrap();
    let last: Vec<_> = served.iter().filter(|(at, _)| *at > left + AFTER - LAST).collect();
    let good = last.iter().filter(|(_, served)| *served).count();
    record.note(format!(
        "ends of processes over their memory: {kills:?}; of {} requests in the last {LAST} ms, {good} were served",
        last.len()
    ));
    let machines = kills.iter().filter(|n| **n >= ENDS).count();
    if machines >= MACHINES {
        return Verdict::Broken;
    }
    Verdict::Held
}
