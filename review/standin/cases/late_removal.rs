//! DRAIN: after a freeze of the entry that reads the store for its zone, the removal of a runner counts late at the other
//! entries of the zone, which were not disturbed.

use super::{super::*, plain::{Arrivals, Plain}};

const SERVICE: &str = "wuno96b";
const ENTRIES: usize = 3;
const DRAIN_MS: u64 = 2000;

/// Time of a freeze, and the time from its end to the removal of a runner's entry.
const FREEZE_MS: u64 = 4000;
const REMOVED_AFTER_MS: u64 = 150;

/// Time for which a runner serves on after `drain_ms`.
const LONGER_MS: u64 = 350;

const WORK_MS: u64 = 60;

fn config() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"r-1\",\"hostname\":\"voka93.example\",\"path_prefix\":\"/filo73/de11/\",\
         \"type\":\"unsafe\",\"timeout_ms\":2000,\"target_latency_ms\":100,\"priority\":2,\"service\":\"{SERVICE}\",\
         \"max_attempts\":1,\"public\":false}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/healthz\",\"max_connections\":110,\"protocol\":\"h1\",\
         \"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"bozi300\",\"api_keys\":[\"jnbanfqasnmgkcuyj8pj\"],\"priority\":1}}]}}"
    )
}

/// What clients sent, by request id: the entry, and the answer.
type Sent = Arc<Mutex<HashMap<String, (usize, Option<String>)>>>;

/// Sends one request and records its answer.
fn send(run: &Run, entry: usize, sent: &Sent) -> thread::JoinHandle<()> {
    let (addr, id) = (run.net.entry(entry, CALLERS), format!("{:016x}", random()));
    let (record, sent) = (run.record.clone(), sent.clone());
    sent.lock().unwrap().insert(id.clone(), (entry, None));
    thread::spawn(move || {
        let text = format!(
            "POST /filo73/de11/2f HTTP/1.1\r\nHost: voka93.example\r\nSesamewing-Attempt-Id: {id}\r\n\
             Sesamewing-Deadline-Ms: 2000\r\nSesamewing-Key: jnbanfqasnmgkcuyj8pj\r\nContent-Length: 5\r\n\r\n"
        );
        record.note(format!("request {id} is sent to entry-{entry}"));
        let answer = call(addr, &text, b"order", 2500);
        let text = answer.map_or("no answer".to_owned(), |(h, _)| h.line.get(1).cloned().unwrap_or_default());
        record.note(format!("request {id} gets {text}"));
        sent.lock().unwrap().get_mut(&id).unwrap().1 = Some(text);
    })
}

/// Sends requests to some entries in turn until a time.
fn clients(run: &Run, entries: &[usize], until: u64, sent: &Sent) {
    let mut threads = Vec::new();
    for entry in entries.iter().cycle() {
        if run.record.now() >= until {
            break;
        }
        threads.push(send(run, *entry, sent));
        sleep_ms(16);
    }
    for t in threads {
        let _ = t.join();
    }
}

pub fn run(run: &Run) -> Vec<String> {
    run.store.append("keyed.op", "config", &config());
    let arrivals = Arrivals::default();
    let runner = |n: usize| Plain::start(run, &format!("i-{n:08x}"), SERVICE, run.net.host(n, APP), WORK_MS, &arrivals);
    // Fewer runners than entries, so that no entry prefers one of them.
    let mut runners: Vec<_> = (0..2).map(runner).collect();
    let nodes: Vec<_> = (0..ENTRIES).map(|i| run.node("entry", i, ENTRIES, "")).collect();
    run.wait_ready(ENTRIES);
    sleep_ms(9000);
    let reads = |i: &usize| run.store.has_read(&format!("entry-{i}"), "keyed.servers", 1500);
    let readers: Vec<usize> = (0..ENTRIES).filter(reads).collect();
    run.record.note(format!("entries that read the list of runners: {readers:?}"));
    let mut out = Vec::new();
    let sent = Sent::default();
    // Each of the readers twice, because it cannot be seen on which one the others rely.
    for (round, frozen) in readers.iter().chain(&readers).copied().enumerate() {
        let calm: Vec<usize> = (0..ENTRIES).filter(|i| *i != frozen).collect();
        let until = run.record.now() + FREEZE_MS + 6000;
        let leaving = runners.remove(0);
        let removed = thread::scope(|scope| {
            scope.spawn(|| clients(run, &calm, until, &sent));
            if run.trouble {
                nodes[frozen].signal(SIGSTOP);
                run.record.note(format!("entry-{frozen} freezes for {FREEZE_MS} ms"));
            }
            sleep_ms(FREEZE_MS);
            if run.trouble {
                nodes[frozen].signal(SIGCONT);
                run.record.note(format!("entry-{frozen} wakes"));
            }
            sleep_ms(REMOVED_AFTER_MS);
            let removed = leaving.leave();
            sleep_ms(DRAIN_MS + LONGER_MS);
            leaving.exit();
            runners.push(runner(2 + round));
            removed
        });
        let all = arrivals.lock().unwrap().clone();
        let sent = sent.lock().unwrap();
        let late = all.iter().filter(|a| a.runner == leaving.id && a.at > removed + DRAIN_MS);
        for a in late {
            let Some((entry, answer)) = sent.get(&a.id) else { continue };
            let lost = if a.answered { "" } else { "; the runner ended before it had answered" };
            out.push(format!(
                "DRAIN: request {} reached runner {} from entry-{entry}, {} ms after its entry was removed{lost}; the client got {}",
                a.id,
                a.runner,
                a.at - removed,
                answer.as_deref().unwrap_or("nothing")
            ));
        }
        drop(sent);
        // The entry that froze is in touch again before the next round.
        sleep_ms(5000);
    }
    out
}
