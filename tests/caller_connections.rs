//! Connections of callers: they outlive changes of the limits, and each request on them has a response.

mod gateway_support;

use std::{cell::Cell, future::Future, rc::Rc, time::Duration};

use bytes::Bytes;
use gateway_support::{
    addr,
    gateway::{catalog, request, respond, with_store, CALLERS},
    run_local, send_request, set_catalog, MemoryStore,
};
use http_body_util::Full;
use hyper::Response;
use sesamewing::{
    base::Millis,
    gateway::{Catalog, CatalogVersion, Topic},
    http::{listen, ServeOptions},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::watch,
    time::{sleep, timeout},
};

/// Longest time that a test waits for a response that must come.
const PATIENCE: Duration = Duration::from_secs(4);

/// Time after which a catalog that was written is in force.
const APPLIED: Duration = Duration::from_millis(200);

/// Number of chunks of a body, and the pause before each.
const CHUNKS: usize = 4;
const CHUNK_PAUSE: Duration = Duration::from_millis(30);

fn limited(version: u64, header_max: usize) -> Catalog {
    let mut out = catalog();
    out.version = CatalogVersion(version);
    out.limits.header_max = header_max;
    out
}

/// Runs a test against an entry whose catalog allows heads of `header_max` bytes.
fn with_head_limit<F: Future<Output = ()>>(header_max: usize, test: impl FnOnce(MemoryStore) -> F) {
    let scripts = vec![respond("200 OK", "yes")];
    let store = MemoryStore::default();
    with_store(store, limited(1, header_max), scripts, |_, store| {
        test(store)
    });
}

/// Puts a catalog in force that allows heads of `header_max` bytes.
async fn allow_heads(store: &MemoryStore, header_max: usize) {
    set_catalog(limited(2, header_max));
    store.write(Topic::Operator, "config", "2");
    sleep(APPLIED).await;
}

/// Returns a request with a head of more than `size` bytes, on a connection that is kept.
fn kept_request(size: usize) -> String {
    let filler = format!("X-Filler: {}", "f".repeat(size));
    request("/once/x").replace("Connection: close", &filler)
}

/// Sends a request and returns the response, or what comes of it before the connection closes.
async fn exchange(stream: &mut TcpStream, text: &str) -> String {
    let sent = stream.write_all(text.as_bytes()).await;
    sent.expect("the request is sent");
    let mut out = Vec::new();
    let mut part = [0; 4096];
    while !out.ends_with(b"yes") {
        match timeout(PATIENCE, stream.read(&mut part)).await {
            Ok(Ok(len)) if len > 0 => out.extend_from_slice(&part[..len]),
            _ => break,
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

async fn connect(port: u16) -> TcpStream {
    let stream = TcpStream::connect(addr(1, port)).await;
    stream.expect("a connection")
}

/// Guards against a rejection of a request on a kept connection whose head is longer than an earlier catalog allowed.
#[test]
fn kept_connections_take_longer_heads() {
    with_head_limit(8 << 10, |store| async move {
        let mut stream = connect(CALLERS).await;
        let got = exchange(&mut stream, &kept_request(10)).await;
        assert!(got.ends_with("yes"), "`{got}`");
        allow_heads(&store, 40 << 10).await;
        let got = exchange(&mut stream, &kept_request(30 << 10)).await;
        assert!(got.ends_with("yes"), "`{got}`");
    });
}

/// Guards against heads above the limit of the catalog in force, also on connections from before it.
#[test]
fn heads_above_the_limit_are_rejected() {
    with_head_limit(40 << 10, |store| async move {
        let mut stream = connect(CALLERS).await;
        let long = kept_request(30 << 10);
        let got = exchange(&mut stream, &long).await;
        assert!(got.ends_with("yes"), "`{got}`");
        allow_heads(&store, 20 << 10).await;
        let last = long.replace("X-Filler", "Connection: close\r\nX-Filler");
        for mut stream in [stream, connect(CALLERS).await] {
            let got = exchange(&mut stream, &last).await;
            assert!(got.contains(" 431 "), "`{got}`");
        }
    });
}

/// Guards against a rejection before the end of a body that arrives in chunks, or that its caller holds back until it is
/// asked for.
#[test]
fn rejected_bodies_in_chunks_are_read() {
    with_head_limit(8 << 10, |_| async {
        for expect in ["", "Expect: 100-continue\r\n"] {
            let head = request("/gone/x").replace(
                "Content-Length: 2\r\nConnection: close\r\n\r\nhi",
                &format!("Transfer-Encoding: chunked\r\n{expect}\r\n"),
            );
            let mut stream = connect(CALLERS).await;
            let sent = stream.write_all(head.as_bytes()).await;
            sent.expect("the head is sent");
            if !expect.is_empty() {
                let mut part = [0; 1024];
                let len = stream.read(&mut part).await.expect("it goes on");
                let got = String::from_utf8_lossy(&part[..len]);
                assert!(got.contains(" 100 "), "`{got}`");
            }
            for _ in 0..CHUNKS {
                sleep(CHUNK_PAUSE).await;
                let sent = stream.write_all(b"2\r\nhi\r\n").await;
                sent.expect("a chunk is sent");
            }
            let sent = stream.write_all(b"0\r\n\r\n").await;
            sent.expect("the last chunk is sent");
            let mut part = [0; 1024];
            let len = stream.read(&mut part).await.expect("a response");
            let got = String::from_utf8_lossy(&part[..len]);
            assert!(got.contains(" 404 "), "`{got}`");
        }
    });
}

/// Guards against a closed connection without a response when the handler of a request panics.
#[test]
fn panic_of_a_handler_is_answered() {
    let mut broken = catalog();
    // A route without services breaks what the gateway relies on; no decoder makes one.
    for route in broken.routes.values_mut().flatten() {
        Rc::make_mut(route).targets.clear();
    }
    let scripts = vec![respond("200 OK", "yes")];
    with_store(MemoryStore::default(), broken, scripts, |_, _| async {
        let got = send_request(addr(1, CALLERS), &request("/once/x"), 2000).await;
        assert!(got.contains(" 500 "), "`{got}`");
    });
}

/// Guards against an idle connection that is closed although a newer catalog allows more idle time than the one in force
/// when it was accepted, and against one that is kept for longer than the catalog in force allows.
#[test]
fn idle_connections_follow_the_limits() {
    run_local(async {
        let at = addr(1, 8100);
        let (_closing, closed) = watch::channel(false);
        let handler = |_| async { Response::new(Full::new(Bytes::from_static(b"yes"))) };
        let allowed = Rc::new(Cell::new(Millis(300)));
        let limits = allowed.clone();
        let options = move || ServeOptions {
            header_timeout: limits.get(),
            ..ServeOptions::default()
        };
        let listener = listen(at).expect("a free address");
        tokio::task::spawn_local(listener.serve(options, handler, closed));
        let text = "GET / HTTP/1.1\r\nHost: h.example\r\n\r\n";
        let mut stream = connect(8100).await;
        assert!(exchange(&mut stream, text).await.ends_with("yes"));
        allowed.set(Millis(1500));
        sleep(Duration::from_millis(900)).await;
        let got = exchange(&mut stream, text).await;
        assert!(got.ends_with("yes"), "`{got}`");
        allowed.set(Millis(300));
        let read = timeout(PATIENCE, stream.read(&mut [0; 16])).await;
        assert!(matches!(read, Ok(Ok(0))), "it is closed: {read:?}");
    });
}
