//! What an entry accepts after it was told to stop, with a real signal and the end of its process.

mod gateway_support;

use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use gateway_support::{
    addr, endpoint,
    gateway::{catalog, events, request, with_header, CALLERS},
    header, run_local, send_request,
    stopping::{arrived, run_entry, signal_self, wait_until_ready},
    Step,
};
use sesamewing::base::Millis;
use tokio::task::spawn_local;

/// Time between SIGTERM and SIGKILL.
const GRACE: Millis = Millis(5000);

/// Pause before each event of a stream, and number of events.
const PAUSE: Millis = Millis(450);
const EVENTS: u64 = 4;

/// Number of endpoints.
const ENDPOINTS: u8 = 8;

/// Interval of the requests, and time after the signal for which they are sent.
const INTERVAL: Millis = Millis(50);
const SENT: Millis = Millis(4000);

/// Time after the signal until which requests must be accepted: their deadline of 2.5 s leaves a margin in the grace
/// period.
const ACCEPTED: Millis = Millis(1500);

/// Longest time in which a request that cannot be accepted is rejected.
const AT_ONCE: Millis = Millis(300);

/// A request that a caller sent.
struct Sent {
    id: String,
    /// When it was sent, after the signal.
    at: Duration,
    time: Duration,
    response: String,
}

/// Returns a script that streams events with pauses on a connection that is not kept.
fn slow_stream() -> Vec<Step> {
    let mut steps = events(1..=EVENTS, "0\r\n\r\n");
    let rest = steps.split_off(1);
    let mut out = with_header(steps, "Connection: close");
    for step in rest {
        out.extend([Step::Pause(PAUSE.0), step]);
    }
    out
}

/// Sends requests at a constant rate after the signal, each on a connection of its own.
async fn send_all(signalled: Instant) -> Vec<Sent> {
    let sent = Rc::new(RefCell::new(Vec::new()));
    let mut tasks = Vec::new();
    for i in 0..SENT.0 / INTERVAL.0 {
        let sent = sent.clone();
        tasks.push(spawn_local(async move {
            let id = format!("r{i}");
            let text =
                request("/stream/x").replace("X-Request-Id: r1", &format!("X-Request-Id: {id}"));
            let at = signalled.elapsed();
            let response = send_request(addr(1, CALLERS), &text, 6000).await;
            let time = signalled.elapsed() - at;
            sent.borrow_mut().push(Sent {
                id,
                at,
                time,
                response,
            });
        }));
        tokio::time::sleep(INTERVAL.duration()).await;
    }
    for task in tasks {
        task.await.expect("the request ends");
    }
    sent.take()
}

/// Guards against requests that a stopping entry accepts although their responses can outlast its process, which cuts
/// them.
#[test]
fn accepted_streams_end_whole() {
    run_local(async {
        let endpoints: Vec<_> = (0..ENDPOINTS).map(|n| addr(2 + n, 9000)).collect();
        let mut seen = Vec::new();
        for at in &endpoints {
            seen.push(endpoint(*at, slow_stream()).await);
        }
        let entry = run_entry(GRACE, catalog, &endpoints);
        wait_until_ready().await;
        signal_self("TERM");
        let sent = send_all(Instant::now()).await;
        entry.join().expect("the entry ends");
        let last = format!("id: {EVENTS}\n");
        let whole = |s: &Sent| s.response.contains(&last) && s.response.ends_with("0\r\n\r\n");
        let cut: Vec<_> = sent
            .iter()
            .filter(|s| arrived(&seen, &s.id) && !whole(s))
            .map(|s| format!("{} sent after {:?}", s.id, s.at))
            .collect();
        assert!(cut.is_empty(), "{} streams were cut: {cut:?}", cut.len());
        for s in &sent {
            let rejected = s.response.starts_with("HTTP/1.1 503");
            assert!(
                whole(s) || rejected || s.response.is_empty(),
                "{}: {}",
                s.id,
                s.response
            );
            assert!(
                whole(s) || s.at > ACCEPTED.duration(),
                "{} after {:?}: {}",
                s.id,
                s.at,
                s.response
            );
            if rejected {
                assert!(
                    header(&s.response, "retry-after").is_some(),
                    "{}",
                    s.response
                );
                assert!(s.time < AT_ONCE.duration(), "rejected after {:?}", s.time);
            }
        }
        let rejected = sent
            .iter()
            .filter(|s| s.response.starts_with("HTTP/1.1 503"));
        assert!(rejected.count() > 0, "no request was rejected");
    });
}
