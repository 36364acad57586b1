//! Requests that arrive in parts, one behind another or to a slow reader around a stop, with a real signal.

mod gateway_support;

use std::{rc::Rc, time::Duration};

use gateway_support::{
    addr, endpoint_with,
    gateway::{arrivals, catalog, request, respond, CALLERS},
    header, run_local,
    stopping::{arrived, run_entry, signal_self, wait_until_ready},
    Seen, Step,
};
use sesamewing::{
    base::Millis,
    gateway::{Catalog, Repeat},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
};

const GRACE: Millis = Millis(8000);

/// Time after the signal at which all connections without a request are closed.
const CLOSED: Duration = Duration::from_millis(3600);

/// Size of a long response, and of the receive buffer of a caller that reads it slowly.
const LONG: usize = 1 << 20;
const BUFFER: u32 = 8 << 10;

/// Returns a catalog with a route whose requests may last for most of the grace period.
fn long_catalog() -> Catalog {
    let mut out = catalog();
    let mut route = gateway_support::gateway::route("/long/", Repeat::Once);
    route.timeout = Millis(9000);
    out.add_route("h.example", route);
    out.limits.send_time = Millis(8000);
    out
}

fn answer(request: &str) -> Vec<Step> {
    let time = header(request, "x-takes").and_then(|t| t.parse().ok());
    let size = header(request, "x-size").and_then(|t| t.parse().ok());
    let mut out = vec![Step::Pause(time.unwrap_or(20))];
    out.extend(respond("200 OK", &"y".repeat(size.unwrap_or(1))));
    out
}

/// Runs a test against an entry with one endpoint and waits for the end of the entry.
fn with_entry<F: std::future::Future<Output = ()>>(test: impl FnOnce(Rc<Seen>) -> F) {
    run_local(async {
        let at = addr(2, 9000);
        let seen = endpoint_with(at, Rc::new(answer)).await;
        let entry = run_entry(GRACE, long_catalog, &[at]);
        wait_until_ready().await;
        test(seen).await;
        entry.join().expect("the entry ends");
    });
}

async fn connect() -> TcpStream {
    TcpStream::connect(addr(1, CALLERS)).await.expect("one")
}

async fn read_all(stream: &mut TcpStream) -> (String, bool) {
    let mut out = Vec::new();
    let whole = stream.read_to_end(&mut out).await.is_ok();
    (String::from_utf8_lossy(&out).into_owned(), whole)
}

/// Returns a request on a route with a long timeout.
fn text_of(id: &str, deadline: u64) -> String {
    request("/long/x")
        .replace("X-Request-Id: r1", &format!("X-Request-Id: {id}"))
        .replace("2500", &deadline.to_string())
        .replace("Connection: close\r\n", "")
}

/// Guards against a request whose head is read before the signal and whose body comes after the sockets were closed: it is
/// served if it can end before the exit, and else rejected as not run.
#[test]
fn body_after_the_signal_is_answered() {
    with_entry(|seen| async move {
        let mut callers = Vec::new();
        for (id, deadline) in [("early", 6500), ("late", 8500)] {
            let mut stream = connect().await;
            let text = text_of(id, deadline);
            let head = text.strip_suffix("hi").expect("a body").to_owned();
            stream.write_all(head.as_bytes()).await.expect("it is sent");
            callers.push(stream);
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
        signal_self("TERM");
        tokio::time::sleep(CLOSED).await;
        for stream in &mut callers {
            stream.write_all(b"hi").await.expect("it is sent");
        }
        for (stream, status) in callers.iter_mut().zip(["200", "503"]) {
            let (response, whole) = read_all(stream).await;
            let expected = format!("HTTP/1.1 {status}");
            assert!(response.starts_with(&expected) && whole, "{response:?}");
        }
        assert_eq!(arrivals(&[seen]), 1);
    });
}

/// Guards against a stopping entry that asks for the body of a request and ends its connection without a response.
#[test]
fn expected_body_is_answered() {
    with_entry(|seen| async move {
        signal_self("TERM");
        tokio::time::sleep(Duration::from_millis(3000)).await;
        for (id, deadline, status) in [("fits", 2500, " 200 "), ("outlasts", 7000, " 503 ")] {
            let mut stream = connect().await;
            let text = text_of(id, deadline).replace("X-Dead", "Expect: 100-continue\r\nX-Dead");
            let head = text.strip_suffix("hi").expect("a body");
            stream.write_all(head.as_bytes()).await.expect("it is sent");
            let mut part = [0; 256];
            let n = stream.read(&mut part).await.expect("an interim response");
            assert!(part[..n].starts_with(b"HTTP/1.1 100"), "{:?}", &part[..n]);
            stream.write_all(b"hi").await.expect("it is sent");
            let (response, whole) = read_all(&mut stream).await;
            assert!(response.contains(status) && whole, "{response:?}");
            assert_eq!(arrived(std::slice::from_ref(&seen), id), status == " 200 ");
        }
    });
}

/// Guards against a response that is lost because a caller has sent further requests behind its own, which a stopping entry
/// does not read or does not pass on.
#[test]
fn requests_behind_another_do_not_end_its_response() {
    with_entry(|seen| async move {
        signal_self("TERM");
        tokio::time::sleep(Duration::from_millis(500)).await;
        let size = format!("X-Size: {LONG}\r\nX-Takes: 400\r\nX-Deadline");
        let first = text_of("first", 5000).replace("X-Deadline", &size);
        let mut stream = connect().await;
        let text = first + &text_of("second", 5000);
        stream.write_all(text.as_bytes()).await.expect("it is sent");
        tokio::time::sleep(Duration::from_millis(200)).await;
        let more = text_of("third", 5000).replace("Content-Length: 2", "Content-Length: 60000");
        let more = more + &"x".repeat(60_000);
        stream.write_all(more.as_bytes()).await.expect("it is sent");
        tokio::time::sleep(Duration::from_millis(600)).await;
        let (response, whole) = read_all(&mut stream).await;
        let body = response.split_once("\r\n\r\n").map_or(0, |(_, b)| b.len());
        assert!(body >= LONG, "{body} of {LONG} bytes, whole {whole}");
        for id in ["second", "third"] {
            assert!(
                !arrived(std::slice::from_ref(&seen), id),
                "{id} was passed on"
            );
        }
    });
}

/// Guards against a response that a slow caller has not read when the connections of a stopping entry close.
#[test]
fn slow_reader_gets_whole_response() {
    with_entry(|_| async move {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.set_recv_buffer_size(BUFFER).expect("an option");
        let mut stream = socket.connect(addr(1, CALLERS)).await.expect("one");
        let size = format!("X-Size: {LONG}\r\nX-Deadline");
        let text = text_of("slow", 6800).replace("X-Deadline", &size);
        stream.write_all(text.as_bytes()).await.expect("it is sent");
        tokio::time::sleep(Duration::from_millis(200)).await;
        signal_self("TERM");
        tokio::time::sleep(CLOSED).await;
        let mut read = 0;
        let mut part = vec![0; 32 << 10];
        while let Ok(n) = stream.read(&mut part).await {
            if n == 0 {
                break;
            }
            read += n;
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        assert!(read > LONG, "{read} bytes");
    });
}
