//! Callers that read a response slowly.

mod gateway_support;

use bytes::Bytes;
use gateway_support::{addr, run_local};
use http_body_util::Full;
use hyper::Response;
use sesamewing::{
    base::Millis,
    http::{listen, ServeOptions},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpSocket,
    sync::watch,
};

/// Size of the response in bytes, and of the caller's receive buffer.
const RESPONSE: usize = 8 << 20;
const BUFFER: u32 = 8 << 10;

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n\r\n";

/// Checks that a caller gets a whole response although it does not read for `pause`, with its receive buffer full.
fn pause_loses_nothing(pause: Millis) {
    run_local(async {
        let at = addr(1, 8100);
        let (_closing, closed) = watch::channel(false);
        let handler = |_| async { Response::new(Full::new(Bytes::from(vec![b'x'; RESPONSE]))) };
        let listener = listen(at).expect("a free address");
        tokio::task::spawn_local(listener.serve(ServeOptions::default, handler, closed));
        let socket = TcpSocket::new_v4().expect("a socket");
        socket
            .set_recv_buffer_size(BUFFER)
            .expect("the buffer has a size");
        let mut caller = socket.connect(at).await.expect("a connection");
        caller
            .write_all(REQUEST)
            .await
            .expect("the request is sent");
        tokio::time::sleep(pause.duration()).await;
        let mut out = Vec::new();
        let read = caller.read_to_end(&mut out).await;
        assert!(read.is_ok(), "{read:?} after {} bytes", out.len());
        let body = out.iter().filter(|b| **b == b'x').count();
        assert_eq!(body, RESPONSE);
    });
}

/// Guards against a connection that ends in the middle of a response because its caller does not read for a while.
#[test]
fn paused_caller_gets_whole_response() {
    pause_loses_nothing(Millis(2500));
}

/// Guards against a limit on a caller's pause that is shorter than the deadline of a request without one of its own.
#[test]
fn pause_within_the_default_deadline_loses_nothing() {
    pause_loses_nothing(Millis(14_000));
}
