//! Graceful shutdown of the HTTP server under load.

mod gateway_support;

use std::{io::Write, time::Duration};

use bytes::Bytes;
use gateway_support::{addr, run_local};
use http_body_util::Full;
use hyper::Response;
use sesamewing::{
    base::Millis,
    http::{listen, ServeOptions},
};
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::watch,
};

/// Number of connections of each kind.
const CALLERS: usize = 60;
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nHost: h.example\r\n\r\n";

/// Guards against requests that arrive just before the shutdown begins and get no response: on connections that are not
/// accepted yet, on new ones that are not read yet, and on kept-alive ones.
#[test]
fn arrived_requests_are_answered() {
    run_local(async {
        let at = addr(1, 8100);
        let (closing, closed) = watch::channel(false);
        let handler = |_| async {
            tokio::time::sleep(Millis(20).duration()).await;
            Response::new(Full::new(Bytes::from_static(b"yes")))
        };
        let listener = listen(at).expect("a free address");
        let serving =
            tokio::task::spawn_local(listener.serve(ServeOptions::default, handler, closed));
        let mut callers = Vec::new();
        for _ in 0..CALLERS {
            callers.push(TcpStream::connect(at).await.expect("a connection"));
        }
        // Half of the connections are kept alive after a response.
        for caller in &mut callers[..CALLERS / 2] {
            caller
                .write_all(REQUEST)
                .await
                .expect("the request is sent");
            let mut part = [0; 1024];
            assert!(caller.read(&mut part).await.is_ok_and(|n| n > 0));
        }
        // Written without yielding, so that the server reads none of these before the shutdown begins.
        for caller in &callers {
            let socket = SockRef::from(caller);
            (&*socket).write_all(REQUEST).expect("the request is sent");
        }
        for _ in 0..CALLERS {
            let mut socket = std::net::TcpStream::connect(at).expect("a connection");
            socket.write_all(REQUEST).expect("the request is sent");
            socket
                .set_nonblocking(true)
                .expect("the socket becomes non-blocking");
            callers.push(TcpStream::from_std(socket).expect("a socket"));
        }
        closing.send_replace(true);
        let mut answered = 0;
        for caller in &mut callers {
            let mut out = Vec::new();
            let _ = caller.read_to_end(&mut out).await;
            answered += usize::from(out.ends_with(b"yes"));
        }
        assert_eq!(answered, callers.len());
        serving.await.expect("the server ends");
    });
}

/// Time for which the process gets no processor, within the time in which it still reads after the shutdown began.
const STALL: Duration = Duration::from_millis(200);

/// Guards against requests that are on kept-alive connections when the time to read them is over and get no response,
/// because the process got no processor in that time.
#[test]
fn requests_that_wait_behind_load_are_answered() {
    run_local(async {
        let at = addr(1, 8100);
        let (closing, closed) = watch::channel(false);
        let handler = |_| async { Response::new(Full::new(Bytes::from_static(b"yes"))) };
        let listener = listen(at).expect("a free address");
        tokio::task::spawn_local(listener.serve(ServeOptions::default, handler, closed));
        let mut callers = Vec::new();
        for _ in 0..CALLERS {
            let mut caller = TcpStream::connect(at).await.expect("a connection");
            caller
                .write_all(REQUEST)
                .await
                .expect("the request is sent");
            let mut part = [0; 1024];
            assert!(caller.read(&mut part).await.is_ok_and(|n| n > 0));
            callers.push(caller);
        }
        closing.send_replace(true);
        tokio::time::sleep(Millis(20).duration()).await;
        for caller in &callers {
            let socket = SockRef::from(caller);
            (&*socket).write_all(REQUEST).expect("the request is sent");
        }
        std::thread::sleep(STALL);
        let mut answered = 0;
        for caller in &mut callers {
            let mut out = Vec::new();
            let _ = caller.read_to_end(&mut out).await;
            answered += usize::from(out.ends_with(b"yes"));
        }
        assert_eq!(answered, callers.len());
    });
}
