//! Responses on connections on which more arrives than is read.

mod gateway_support;

use std::time::Duration;

use gateway_support::{
    addr,
    gateway::{request, respond, with_gateway, CALLERS},
    run_local,
};
use sesamewing::http::{listen, ServeOptions};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::watch,
};

/// Size of a body that is not read, below the limit of request bodies.
const BODY: usize = 512 << 10;

/// Parts in which it is sent, and pause after each.
const PARTS: usize = 8;
const PAUSE: Duration = Duration::from_millis(20);

/// Longest time for which a connection may stay open after its response if its caller does not close it.
const CLOSED: Duration = Duration::from_millis(1500);

/// Sends a request in parts and returns what arrives, and whether the connection ended in order.
async fn exchange(text: &str) -> (String, bool) {
    let mut stream = TcpStream::connect(addr(1, CALLERS)).await.expect("one");
    let (head, body) = text.split_at(text.len() - BODY);
    let mut sent = stream.write_all(head.as_bytes()).await.is_ok();
    for part in body.as_bytes().chunks(BODY / PARTS) {
        sent &= stream.write_all(part).await.is_ok();
        tokio::time::sleep(PAUSE).await;
    }
    let mut out = Vec::new();
    let whole = stream.read_to_end(&mut out).await.is_ok();
    (String::from_utf8_lossy(&out).into_owned(), sent && whole)
}

/// Guards against a rejection that is lost because the body of its request is not read.
#[test]
fn rejection_arrives_while_the_body_is_sent() {
    with_gateway(vec![respond("200 OK", "yes")], |_| async {
        let length = format!("Content-Length: {BODY}");
        let long = |text: String| {
            let text = text.replace("Content-Length: 2", &length);
            text.strip_suffix("hi").expect("a body").to_owned() + &"x".repeat(BODY)
        };
        let other_key = request("/safe/x").replace("Key: key", "Key: other");
        for (text, status) in [(request("/none/x"), "404"), (other_key, "401")] {
            let (response, whole) = exchange(&long(text)).await;
            let expected = format!("HTTP/1.1 {status} ");
            assert!(response.starts_with(&expected), "{response:?}");
            assert!(whole, "the connection was reset after {response:?}");
        }
    });
}

/// Guards against connections that stay open because their callers do not close them.
#[test]
fn open_callers_do_not_hold_the_server() {
    run_local(async {
        let at = addr(1, 8100);
        let (closing, closed) = watch::channel(false);
        let handler =
            |_| async { hyper::Response::new(http_body_util::Full::<bytes::Bytes>::default()) };
        let listener = listen(at).expect("a free address");
        let serving =
            tokio::task::spawn_local(listener.serve(ServeOptions::default, handler, closed));
        let mut caller = TcpStream::connect(at).await.expect("a connection");
        let text = b"GET / HTTP/1.1\r\nHost: h.example\r\n\r\n";
        caller.write_all(text).await.expect("it is sent");
        let mut part = [0; 1024];
        assert!(caller.read(&mut part).await.is_ok_and(|n| n > 0));
        closing.send_replace(true);
        assert_eq!(caller.read(&mut part).await.expect("an end"), 0);
        let ended = tokio::time::timeout(CLOSED, serving).await;
        ended.expect("the server ends").expect("it does not panic");
    });
}
