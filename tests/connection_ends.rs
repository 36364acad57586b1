//! Ends of callers' connections by the server: what has arrived by then has its response.

mod gateway_support;

use std::{io::Write, net::SocketAddr, time::Duration};

use bytes::Bytes;
use gateway_support::{
    addr,
    lines::{collect_lines, take_lines},
    run_local,
};
use http_body_util::Full;
use hyper::Response;
use sesamewing::{
    base::Millis,
    decide::stop::SETTLE,
    http::{listen, ServeOptions},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    sync::watch,
    task::spawn_local,
    time::{sleep, timeout},
};

/// Port of the server.
const PORT: u16 = 8100;

/// A whole request.
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nHost: h.example\r\n\r\n";

/// Longest time that a test waits for a response that must come.
const PATIENCE: Duration = Duration::from_secs(4);

/// Number of connections that wait to be accepted when the server closes.
const WAITING: usize = 20;

/// Time before the end of the shutdown's first step at which they are opened, and for which the only thread is kept.
const BEFORE: Duration = Duration::from_millis(30);
const KEPT: Duration = Duration::from_millis(80);

/// Longest pause before a request on a kept connection.
const IDLE: Millis = Millis(300);

/// Size of a long response, and of the receive buffer of a caller that reads it slowly.
const LONG: usize = 1 << 20;
const BUFFER: u32 = 8 << 10;

/// Returns the collected lines of ends of connections, and forgets them.
fn ends() -> Vec<String> {
    let mut lines = take_lines();
    lines.retain(|line| line.starts_with("SW700 "));
    lines
}

/// Starts a server whose responses have `size` bytes; it closes when the sender says so.
fn start_server(size: usize, options: ServeOptions) -> (SocketAddr, watch::Sender<bool>) {
    let at = addr(1, PORT);
    let (closing, closed) = watch::channel(false);
    let body = Bytes::from(vec![b'y'; size]);
    let handler = move |_| {
        let body = body.clone();
        async move { Response::new(Full::new(body)) }
    };
    let listener = listen(at).expect("a free address");
    spawn_local(listener.serve(move || options, handler, closed));
    (at, closing)
}

/// Reads until the peer closes the connection; also returns whether it did so in order.
async fn read_all(stream: &mut TcpStream) -> (String, bool) {
    let mut out = Vec::new();
    let read = timeout(PATIENCE, stream.read_to_end(&mut out)).await;
    let whole = matches!(read, Ok(Ok(_)));
    (String::from_utf8_lossy(&out).into_owned(), whole)
}

/// Opens a connection and sends a whole request on it, without a turn of the runtime.
fn send_at_once(at: SocketAddr) -> std::net::TcpStream {
    let mut stream = std::net::TcpStream::connect(at).expect("a connection");
    stream.write_all(REQUEST).expect("it is sent");
    stream
}

/// Guards against a reset of connections that wait to be accepted, with whole requests in them, when a server that is busy
/// at that moment closes its socket.
#[test]
fn waiting_connections_are_served() {
    run_local(async {
        let (at, closing) = start_server(1, ServeOptions::default());
        closing.send_replace(true);
        sleep(SETTLE.duration() - BEFORE).await;
        let waiting: Vec<_> = (0..WAITING).map(|_| send_at_once(at)).collect();
        std::thread::sleep(KEPT);
        let mut answered = 0;
        for stream in waiting {
            stream.set_nonblocking(true).expect("an option");
            let mut stream = TcpStream::from_std(stream).expect("a stream");
            let (got, whole) = read_all(&mut stream).await;
            answered += usize::from(whole && got.ends_with('y'));
        }
        assert_eq!(answered, WAITING);
    });
}

/// Guards against an idle timer that closes a connection in which a whole request lies unread, because the only thread is
/// kept by something else while the timer ends.
#[test]
fn request_before_the_idle_timer_is_answered() {
    run_local(async {
        let options = ServeOptions {
            header_timeout: IDLE,
            ..ServeOptions::default()
        };
        let (at, _closing) = start_server(1, options);
        let mut stream = TcpStream::connect(at).await.expect("a connection");
        for _ in 0..2 {
            sleep(IDLE.duration() - BEFORE).await;
            let sent = stream.try_write(REQUEST).expect("it is sent");
            assert_eq!(sent, REQUEST.len());
            std::thread::sleep(KEPT);
            let mut part = [0; 1024];
            let read = timeout(PATIENCE, stream.read(&mut part)).await;
            let len = read.expect("in time").expect("a response");
            assert!(part[..len].ends_with(b"y"), "{len} bytes");
        }
    });
}

/// Guards against a reset that takes the rest of a response from a slow reader, because its caller offered another protocol
/// in the request and sent further requests behind it.
#[test]
fn upgrade_offer_keeps_the_response() {
    run_local(async {
        let (at, _closing) = start_server(LONG, ServeOptions::default());
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.set_recv_buffer_size(BUFFER).expect("an option");
        let mut stream = socket.connect(at).await.expect("a connection");
        let offer = b"GET / HTTP/1.1\r\nHost: h.example\r\nConnection: Upgrade, close\r\nUpgrade: h2c\r\n\r\n";
        for text in [&offer[..], REQUEST, REQUEST] {
            stream.write_all(text).await.expect("it is sent");
            sleep(BEFORE).await;
        }
        let (got, whole) = read_all(&mut stream).await;
        let body = got.split_once("\r\n\r\n").map_or(0, |(_, b)| b.len());
        assert!(
            body == LONG && whole,
            "{body} of {LONG} bytes, whole {whole}"
        );
    });
}

/// Guards against an end of a connection without a response that the log does not show, and against lines for connections
/// on which everything was answered.
#[test]
fn ends_without_response_are_logged() {
    run_local(async {
        collect_lines();
        let at = addr(1, PORT);
        let (_closing, closed) = watch::channel(false);
        let options = || ServeOptions {
            header_timeout: IDLE,
            ..ServeOptions::default()
        };
        let handler = |req: hyper::Request<_>| async move {
            if req.uri().path() == "/never" {
                std::future::pending::<()>().await;
            }
            Response::new(Full::new(Bytes::from_static(b"y")))
        };
        let listener = listen(at).expect("a free address");
        spawn_local(listener.serve(options, handler, closed));
        let last = "GET / HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n\r\n";
        let never = "GET /never HTTP/1.1\r\nHost: h.example\r\n\r\n";
        let cases = [
            ("answered", last.to_owned(), None),
            (
                "behind the last",
                last.repeat(2),
                Some(("1 answers=1 unread=", "closed")),
            ),
            (
                "left",
                never.to_owned(),
                Some(("1 answers=0 unread=0 ", "message completed")),
            ),
            (
                "half a head",
                "GET / HTT".to_owned(),
                Some(("0 answers=0 unread=9 ", "timeout")),
            ),
        ];
        for (name, text, line) in cases {
            let mut stream = TcpStream::connect(at).await.expect("a connection");
            stream.write_all(text.as_bytes()).await.expect("it is sent");
            if name == "left" {
                sleep(BEFORE).await;
                drop(stream);
            } else {
                read_all(&mut stream).await;
                drop(stream);
            }
            sleep(BEFORE).await;
            let lines = ends();
            let Some((counts, reason)) = line else {
                assert_eq!(lines, Vec::<String>::new(), "{name}");
                continue;
            };
            let [line] = &lines[..] else {
                panic!("{name}: {lines:?}");
            };
            assert!(
                line.contains(&format!("requests={counts}")),
                "{name}: `{line}`"
            );
            assert!(line.contains(reason), "{name}: `{line}`");
        }
    });
}
