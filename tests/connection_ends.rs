//! Ends of callers' connections by the server: what has arrived by then has its response.

mod gateway_support;

use std::{io::Write, net::SocketAddr, time::Duration};

use bytes::Bytes;
use gateway_support::{addr, run_local};
use http_body_util::Full;
use hyper::Response;
use sesamewing::{
    base::Millis,
    decide::stop::SETTLE,
    http::{listen, ServeOptions},
};
use tokio::{
    io::AsyncReadExt,
    net::TcpStream,
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

/// Starts a server; it closes when the sender says so.
fn start_server(options: ServeOptions) -> (SocketAddr, watch::Sender<bool>) {
    let at = addr(1, PORT);
    let (closing, closed) = watch::channel(false);
    let handler = |_| async { Response::new(Full::new(Bytes::from_static(b"y"))) };
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
        let (at, closing) = start_server(ServeOptions::default());
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
        let (at, _closing) = start_server(options);
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
