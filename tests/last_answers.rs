//! What callers get whose requests are in progress when a stopping entry exits, with a real signal.

mod gateway_support;

use std::{net::SocketAddr, rc::Rc, time::Duration};

use gateway_support::{
    addr, endpoint, endpoint_with,
    gateway::{arrivals, catalog, events, request, CALLERS},
    header, run_local, send_request,
    stopping::{run_entry, signal_self, wait_until_ready},
    Step,
};
use sesamewing::base::Millis;
use socket2::{Domain, Socket, Type};
use tokio::{net::TcpStream, task::spawn_local};

const GRACE: Millis = Millis(2000);

/// Grace period that ends while connections to endpoints that accept none are still opened.
const SHORT_GRACE: Millis = Millis(1000);

/// Time between a request and the signal, and longest time that a test waits for a response.
const BEFORE: Duration = Duration::from_millis(50);
const WAIT: u64 = 4000;

/// Number of requests whose deadlines are around the exit.
const DEADLINES: u64 = 40;

fn is_complete(response: &str) -> bool {
    let length = header(response, "content-length").and_then(|n| n.parse::<usize>().ok());
    let body = response.split_once("\r\n\r\n").map(|(_, body)| body.len());
    length.is_some() && length == body
}

fn without_deadline(path: &str) -> String {
    request(path).replace("X-Deadline-Ms: 2500\r\n", "")
}

/// Guards against a request whose endpoint is still at work when the process exits, and whose connection ends without a
/// response.
#[test]
fn request_at_work_is_answered_before_the_exit() {
    run_local(async {
        let at = addr(2, 9000);
        let seen = endpoint(at, vec![Step::AwaitClose]).await;
        let entry = run_entry(GRACE, catalog, &[at]);
        wait_until_ready().await;
        let send = |path| {
            spawn_local(async move {
                send_request(addr(1, CALLERS), &without_deadline(path), WAIT).await
            })
        };
        let sent = [send("/once/x"), send("/safe/x")];
        tokio::time::sleep(BEFORE).await;
        signal_self("TERM");
        for response in sent {
            let response = response.await.expect("it ends");
            assert!(response.starts_with("HTTP/1.1 502"), "{response:?}");
            assert!(is_complete(&response), "{response:?}");
        }
        entry.join().expect("the entry ends");
        assert_eq!(arrivals(&[seen]), 2);
    });
}

/// Guards against a stream whose endpoint has sent no event, or not all to a caller that gets them at once, when the process
/// exits, and whose connection ends without a response.
#[test]
fn awaited_stream_is_answered_before_the_exit() {
    run_local(async {
        let at = addr(2, 9000);
        let pick = |request: &str| {
            let last = if request.contains("/stream/some") {
                2
            } else {
                0
            };
            let mut script = events(1..=last, "");
            script.push(Step::AwaitClose);
            script
        };
        endpoint_with(at, Rc::new(pick)).await;
        let entry = run_entry(GRACE, catalog, &[at]);
        wait_until_ready().await;
        let none = without_deadline("/stream/none");
        let some = without_deadline("/stream/some").replace("HTTP/1.1", "HTTP/1.0");
        let send = |text: String| {
            spawn_local(async move { send_request(addr(1, CALLERS), &text, WAIT).await })
        };
        let sent = [send(none), send(some)];
        tokio::time::sleep(BEFORE).await;
        signal_self("TERM");
        for response in sent {
            let response = response.await.expect("it ends");
            assert!(response.contains(" 502 "), "{response:?}");
            assert!(is_complete(&response), "{response:?}");
        }
        entry.join().expect("the entry ends");
    });
}

/// Binds a socket that takes no more connections, and returns it with the connections that fill it.
async fn full_listener(at: SocketAddr) -> (Socket, Vec<TcpStream>) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_reuse_address(true).expect("an option");
    socket.bind(&at.into()).expect("a free address");
    socket.listen(0).expect("it listens");
    let mut streams = Vec::new();
    while let Ok(Ok(stream)) = tokio::time::timeout(BEFORE, TcpStream::connect(at)).await {
        streams.push(stream);
    }
    (socket, streams)
}

/// Guards against a request that was not sent to an endpoint when the process exits, and whose connection ends without a
/// response.
#[test]
fn unsent_request_is_rejected_before_the_exit() {
    run_local(async {
        let at: Vec<_> = (2..8).map(|n| addr(n, 9000)).collect();
        let mut full = Vec::new();
        for at in &at {
            full.push(full_listener(*at).await);
        }
        let entry = run_entry(SHORT_GRACE, catalog, &at);
        wait_until_ready().await;
        let sent = spawn_local(async {
            send_request(addr(1, CALLERS), &without_deadline("/once/x"), WAIT).await
        });
        tokio::time::sleep(BEFORE).await;
        signal_self("TERM");
        let response = sent.await.expect("it ends");
        entry.join().expect("the entry ends");
        assert!(response.starts_with("HTTP/1.1 503"), "{response:?}");
        assert!(
            is_complete(&response) && header(&response, "retry-after").is_some(),
            "{response:?}"
        );
    });
}

/// Guards against an accepted request whose deadline is about the moment of the exit, and whose connection ends without a
/// response.
#[test]
fn deadlines_about_the_exit_are_answered() {
    run_local(async {
        let at: Vec<_> = (2..14).map(|n| addr(n, 9000)).collect();
        for at in &at {
            endpoint(*at, vec![Step::AwaitClose]).await;
        }
        let entry = run_entry(GRACE, catalog, &at);
        wait_until_ready().await;
        signal_self("TERM");
        tokio::time::sleep(Duration::from_millis(500)).await;
        let mut sent = Vec::new();
        for i in 0..DEADLINES {
            // From 1.55 to 1.9 s after the signal.
            let left = format!("X-Deadline-Ms: {}", 1050 + 9 * i);
            let text = request("/once/x").replace("X-Deadline-Ms: 2500", &left);
            sent.push(spawn_local(async move {
                send_request(addr(1, CALLERS), &text, WAIT).await
            }));
        }
        for (i, response) in sent.into_iter().enumerate() {
            let response = response.await.expect("it ends");
            assert!(is_complete(&response), "request {i}: {response:?}");
        }
        entry.join().expect("the entry ends");
    });
}
