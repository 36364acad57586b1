//! Number of open connections while many callers connect at once.

use std::{
    cell::Cell,
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use sesamewing::{
    decide::shed::Capacity,
    http::{listen, Callers, ServeOptions},
};
use tokio::{net::TcpStream, sync::watch, task::LocalSet, time::sleep};

/// Connections that may be open and closing; one more is accepted before another one ends.
const CONNECTIONS: usize = 8;
const CLOSING: usize = 2;

/// Callers that connect before the first of them is accepted.
const CALLERS: usize = 100;

/// Time for which the process accepts them.
const ACCEPTING: Duration = Duration::from_millis(300);

/// Lets callers wait for a process that is late, and returns the largest number of connections that it had open.
async fn peak() -> usize {
    let callers = Callers::new(Capacity {
        bytes: 64 << 20,
        responses: 1 << 20,
        connections: CONNECTIONS,
        closing: CLOSING,
    });
    let listener = listen(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).expect("a free port");
    let at = listener.addr().expect("an address");
    let mut waiting = Vec::new();
    for _ in 0..CALLERS {
        waiting.push(TcpStream::connect(at).await.expect("a connection"));
    }
    let peak = Rc::new(Cell::new(0));
    let (seen, counted) = (peak.clone(), callers.clone());
    // Read whenever the task of a connection begins.
    let options = move || {
        seen.set(seen.get().max(counted.usage().connections));
        ServeOptions::default()
    };
    let (_open, closing) = watch::channel(false);
    let handler = |_| async { Response::new(Full::new(Bytes::new())) };
    let serving = listener.serve_within(Some(callers.clone()), options, handler, closing);
    let serving = tokio::task::spawn_local(serving);
    sleep(ACCEPTING).await;
    serving.abort();
    assert_eq!(
        callers.usage().connections,
        CONNECTIONS,
        "the rest has ended"
    );
    peak.get()
}

/// Guards against more open descriptors than may be, because many connections are accepted before those that were shed for
/// them have ended.
#[tokio::test(flavor = "current_thread")]
async fn bursts_stay_within_the_bound() {
    let peak = LocalSet::new().run_until(peak()).await;
    assert!(peak <= CONNECTIONS + CLOSING + 1, "{peak} connections");
}
