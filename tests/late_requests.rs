//! Requests that come late in the grace period of an entry in calm, on kept and on new connections, with a real signal and
//! the end of its process.

mod gateway_support;

use std::{
    cell::RefCell,
    collections::VecDeque,
    rc::Rc,
    time::{Duration, Instant},
};

use gateway_support::{
    addr, endpoint_with,
    gateway::{catalog, request, respond, CALLERS},
    header, run_local,
    stopping::{arrived, run_entry, signal_self, wait_until_ready},
    Seen, Step,
};
use sesamewing::base::Millis;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::spawn_local,
};

const ENDPOINTS: u8 = 12;

/// Times that endpoints take, in milliseconds; less than the deadline of each request.
const TIMES: [u64; 8] = [20, 40, 80, 150, 300, 600, 1200, 2000];

/// Interval of the requests, and time before the first signal from which they are sent.
const INTERVAL: Millis = Millis(20);
const BEFORE: Millis = Millis(1000);

/// Signals to the process and when they are sent, after the first request. Those after the first must change nothing.
const SIGNALS: [(Millis, &str); 3] = [
    (BEFORE, "TERM"),
    (Millis(1300), "HUP"),
    (Millis(1600), "TERM"),
];

/// Connections that are kept and idle when the signal arrives.
const KEPT: usize = 150;

/// Longest time in which a request that is not accepted is rejected.
const AT_ONCE: Millis = Millis(300);

/// A request that a caller sent.
struct Sent {
    id: String,
    /// When it was sent, after the first request.
    at: Duration,
    time: Duration,
    response: String,
}

impl Sent {
    fn is_whole(&self) -> bool {
        self.response.starts_with("HTTP/1.1 200") && self.response.ends_with("\r\n\r\nyes")
    }

    fn is_lost(&self) -> bool {
        self.response.starts_with("HTTP/1.1 502") && is_complete(&self.response)
    }

    fn is_rejected(&self) -> bool {
        self.response.starts_with("HTTP/1.1 503") && is_complete(&self.response)
    }
}

/// Returns whether a response has its whole body.
fn is_complete(response: &str) -> bool {
    let length = header(response, "content-length").and_then(|n| n.parse::<usize>().ok());
    let body = response.split_once("\r\n\r\n").map(|(_, body)| body.len());
    length.is_some_and(|n| body.is_some_and(|found| found >= n))
}

/// Sends a request and reads its response, or what there is of it when the connection ends.
async fn exchange(stream: &mut TcpStream, text: &str) -> String {
    if stream.write_all(text.as_bytes()).await.is_err() {
        return String::new();
    }
    let mut out = String::new();
    let mut part = [0; 4096];
    while !is_complete(&out) {
        match stream.read(&mut part).await {
            Ok(n) if n > 0 => out += &String::from_utf8_lossy(&part[..n]),
            _ => break,
        }
    }
    out
}

/// Returns request `i`: every other one must not be repeated, and a third has no deadline of its own.
fn text_of(i: u64, id: &str) -> String {
    let path = if i.is_multiple_of(2) {
        "/once/x"
    } else {
        "/safe/x"
    };
    let time = TIMES[(i / 2) as usize % TIMES.len()];
    let mut text = request(path)
        .replace("X-Request-Id: r1", &format!("X-Request-Id: {id}"))
        .replace("Connection: close", &format!("X-Takes: {time}"));
    if i.is_multiple_of(3) {
        text = text.replace("X-Deadline-Ms: 2500\r\n", "");
    }
    text
}

/// Returns a script that takes the time that the request names.
fn answer(request: &str) -> Vec<Step> {
    let time = header(request, "x-takes").and_then(|t| t.parse().ok());
    let mut out = vec![Step::Pause(time.unwrap_or(0))];
    out.extend(respond("200 OK", "yes"));
    out
}

async fn endpoints() -> Vec<Rc<Seen>> {
    let mut seen = Vec::new();
    for n in 0..ENDPOINTS {
        seen.push(endpoint_with(addr(2 + n, 9000), Rc::new(answer)).await);
    }
    seen
}

/// Opens connections and has one request answered on each.
async fn kept_connections() -> VecDeque<TcpStream> {
    let mut out = VecDeque::new();
    for i in 0..KEPT {
        let mut stream = TcpStream::connect(addr(1, CALLERS)).await.expect("one");
        let response = exchange(&mut stream, &text_of(1, &format!("first{i}"))).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        out.push_back(stream);
    }
    out
}

/// Sends requests at a constant rate for `time`, in turn on kept connections and on new ones, and the signals between them.
/// Returns the requests, and when the first signal was sent.
async fn send_all(kept: VecDeque<TcpStream>, time: Millis) -> (Vec<Sent>, Duration) {
    let kept = Rc::new(RefCell::new(kept));
    let sent = Rc::new(RefCell::new(Vec::new()));
    let mut tasks = Vec::new();
    let mut i = 0;
    let start = Instant::now();
    let mut signals = SIGNALS.iter().peekable();
    let mut signalled = None;
    while start.elapsed() < time.duration() {
        if let Some((_, name)) = signals.next_if(|(at, _)| start.elapsed() >= at.duration()) {
            signal_self(name);
            signalled.get_or_insert(start.elapsed());
            // No request crosses the signal.
            tokio::time::sleep(INTERVAL.duration()).await;
        }
        let (sent, kept) = (sent.clone(), kept.clone());
        tasks.push(spawn_local(async move {
            let id = format!("r{i}");
            let old = if i % 4 < 2 {
                kept.borrow_mut().pop_front()
            } else {
                None
            };
            let at = start.elapsed();
            let stream = match old {
                Some(stream) => Ok(stream),
                None => TcpStream::connect(addr(1, CALLERS)).await,
            };
            let mut response = String::new();
            if let Ok(mut stream) = stream {
                response = exchange(&mut stream, &text_of(i, &id)).await;
            }
            let time = start.elapsed() - at;
            sent.borrow_mut().push(Sent {
                id,
                at,
                time,
                response,
            });
        }));
        i += 1;
        tokio::time::sleep(INTERVAL.duration()).await;
    }
    for task in tasks {
        task.await.expect("the request ends");
    }
    (sent.take(), signalled.expect("the signal is sent"))
}

/// Stops an entry with a grace period and checks that each request is answered, or neither read nor passed on.
fn nothing_is_cut(grace: Millis) {
    run_local(async {
        let seen = endpoints().await;
        let at: Vec<_> = (0..ENDPOINTS).map(|n| addr(2 + n, 9000)).collect();
        let entry = run_entry(grace, catalog, &at);
        wait_until_ready().await;
        let kept = kept_connections().await;
        let (sent, signalled) = send_all(kept, grace + BEFORE).await;
        entry.join().expect("the entry ends");
        let cut: Vec<_> = sent
            .iter()
            .filter(|s| (s.is_lost() || arrived(&seen, &s.id)) && !s.is_whole())
            // What was at work before the signal may last longer than the process; its caller is told.
            .filter(|s| s.at > signalled || !s.is_lost())
            .map(|s| format!("{} sent {:?} got {:?}", s.id, s.at, s.response))
            .collect();
        assert!(cut.is_empty(), "{} requests were cut: {cut:#?}", cut.len());
        for s in sent.iter().filter(|s| !s.is_whole() && !s.is_lost()) {
            let seen = format!("{} sent {:?}: {:?}", s.id, s.at, s.response);
            assert!(s.is_rejected() || s.response.is_empty(), "{seen}");
            assert!(s.at > signalled, "{seen}");
            assert!(s.time < AT_ONCE.duration(), "{seen} after {:?}", s.time);
        }
        let count = |test: fn(&Sent) -> bool| sent.iter().filter(|s| test(s)).count();
        println!(
            "whole {} lost {} rejected {} closed {}",
            count(Sent::is_whole),
            count(Sent::is_lost),
            count(Sent::is_rejected),
            count(|s| s.response.is_empty())
        );
        assert!(count(Sent::is_rejected) > 0, "no request was rejected");
    });
}

/// Guards against requests that a stopping entry in calm takes late in its grace period, passes on, and cuts at the end of
/// its process.
#[test]
fn late_requests_are_answered() {
    nothing_is_cut(Millis(5000));
}

/// Guards against the same with a grace period that ends before the sockets would be closed.
#[test]
fn late_requests_are_answered_in_a_short_grace_period() {
    nothing_is_cut(Millis(2000));
}
