//! WHOLE: pieces turn bad after an agent has checked them, and a sound runner is silent for a while before the agent has
//! checked the others and gives its order.

use super::{super::*, engine::Engine};

const SERVICE: &str = "huvo11a";
const ORIGIN_SERVICE: &str = "kafi81c";

/// Time that the answer to a read of a piece takes: a part of a pass of the engine.
const READ_MS: u64 = 15;

/// Numbers of reads within the last check after which the runner falls silent, and for how long.
const SILENT_AFTER: [u32; 2] = [8, 40];
const SILENT_MS: u64 = 1300;

/// Pieces that turn bad: at most 6 in 100 of 64.
const SPOILT: usize = 3;

fn config(net: Net) -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"r-1\",\"hostname\":\"jepu9.example\",\"path_prefix\":\"/lepu270/\",\
         \"type\":\"streaming\",\"timeout_ms\":6000,\"target_latency_ms\":400,\"priority\":1,\"service\":\"{SERVICE}\",\
         \"max_attempts\":2,\"public\":false,\"session_affinity\":true,\"stream_resume\":true,\"target_gap_ms\":300}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/healthz\",\"max_connections\":274,\"protocol\":\"h1\",\
         \"tls\":false,\"engine\":{{\"slots\":16,\"kv_capacity_tokens\":1640000,\"kv_token_bytes\":163840,\
         \"bandwidth_mbps\":400000.0,\"stride\":6,\"models\":[{{\"name\":\"{MODEL}\",\"pace\":1.0,\"load_s\":4.0,\
         \"warmup_s\":0.3}}],\"size_mb\":282000.0,\"step_ms\":6.73,\"per_seq_ms\":0.0219,\"context_per_k\":0.0068,\
         \"read_per_s\":30600.0,\"pairs_per_m\":0.647,\"chunk\":2048,\"report_lag_ms\":200.0,\"layers\":16,\
         \"layer_mb\":4540.0,\"act_bytes\":16384,\"chunks\":64,\"chunk_bytes\":32768}}}},\
         {{\"name\":\"{ORIGIN_SERVICE}\",\"origin\":\"{}\",\"zone\":\"{ZONE}\",\"bandwidth_mbps\":9.9,\"max_connections\":48}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"bozi300\",\"api_keys\":[\"jnbanfqasnmgkcuyj8pj\"],\"priority\":1}}]}}",
        net.at(200, ORIGIN)
    )
}

/// Sends requests of a client for a time; each answer goes into the record.
fn clients(run: &Run, until: u64) {
    let addr = run.net.entry(0, CALLERS);
    let mut threads = Vec::new();
    while run.record.now() < until {
        let id = format!("{:016x}", random());
        let record = run.record.clone();
        threads.push(thread::spawn(move || {
            let text = format!(
                "POST /lepu270/2f HTTP/1.1\r\nHost: jepu9.example\r\nSesamewing-Attempt-Id: {id}\r\nSesamewing-Model: {MODEL}\r\n\
                 Sesamewing-Token-Usage: 400,60\r\nSesamewing-Prefix-Hash: 5c1e07a2:40,{}:360\r\nSesamewing-Deadline-Ms: 6000\r\n\
                 Sesamewing-Key: jnbanfqasnmgkcuyj8pj\r\nContent-Length: 2\r\n\r\n",
                &id[..8]
            );
            record.note(format!("request {id} is sent"));
            let answer = call(addr, &text, b"{}", 7000);
            let text = answer.map_or("no whole answer".to_owned(), |(h, b)| {
                format!("{} with {} bytes", h.line.get(1).cloned().unwrap_or_default(), b.len())
            });
            record.note(format!("request {id} gets {text}"));
        }));
        sleep_ms(250);
    }
    for t in threads {
        let _ = t.join();
    }
}

pub fn run(run: &Run) -> Vec<String> {
    let newest = Arc::new(AtomicU64::new(1));
    serve_origin(run.net.at(200, ORIGIN), newest.clone());
    run.store.append("keyed.op", "config", &config(run.net));
    let engine = Engine::start(run, "i-7f3a91c2", SERVICE, run.net.host(0, APP), READ_MS);
    let _entry = run.node("entry", 0, 1, "");
    let _agent = run.node("agent", 0, 1, SERVICE);
    run.wait_ready(1);
    // The agent has checked what is staged for version 1 by then.
    sleep_ms(5000);
    newest.store(2, Ordering::SeqCst);
    run.store.append(
        "keyed.op",
        &format!("version/{MODEL}"),
        &format!("{{\"model\":\"{MODEL}\",\"version\":2}}"),
    );
    run.record.note("version 2 is named");
    let named = run.record.now();
    let watch = {
        let (engine, record, trouble) = (engine.clone(), run.record.clone(), run.trouble);
        thread::spawn(move || {
            // The last check: all pieces of version 2 are staged, and pieces are read again.
            for (i, reads) in SILENT_AFTER.into_iter().enumerate() {
                loop {
                    sleep_ms(1);
                    let state = engine.state.lock().unwrap();
                    let complete = (0..CHUNKS).all(|i| state.staged.get(&i).is_some_and(|p| p.data == chunk(2, i) || p.spoilt.is_some()));
                    if complete && state.reads >= reads {
                        break;
                    }
                    if record.now() > named + 20_000 {
                        return;
                    }
                }
                if i == 0 && trouble {
                    let spoilt = engine.spoil(SPOILT);
                    record.note(format!("pieces {spoilt:?} turn bad"));
                }
                engine.fall_silent(SILENT_MS);
            }
        })
    };
    clients(run, named + 16_000);
    let _ = watch.join();
    let state = engine.state.lock().unwrap();
    if state.loaded != Some(2) {
        fail("version 2 was not loaded");
    }
    let lines = state.bad_events.iter().map(|l| format!("WHOLE: {l}"));
    lines.collect()
}
