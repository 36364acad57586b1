//! What a stopping entry does for the other entries until its process ends, with a real signal.

mod gateway_support;

use std::{net::SocketAddr, time::Duration};

use gateway_support::{
    addr, endpoint,
    gateway::{catalog, request, route, CALLERS},
    heartbeat, heartbeat_message, run_local, send_request,
    stopping::{run_entry, signal_self, wait_until_ready},
    Step,
};
use sesamewing::{
    base::Millis,
    gateway::{Catalog, CatalogVersion, Message, Repeat, Route, Status},
};
use tokio::{net::UdpSocket, task::spawn_local, time::timeout};

const GRACE: Millis = Millis(8000);

/// Time after the signal by which the entry accepts no callers any more.
const CLOSED: Millis = Millis(3700);

/// Time within which the entry tells the others that it stops.
const NOTICE: Duration = Duration::from_millis(600);

/// Time for which a request is in progress, nearly until the end of the grace period.
const TIMEOUT: Millis = Millis(7000);

fn long_catalog() -> Catalog {
    let mut out = catalog();
    let long = Route {
        timeout: TIMEOUT,
        ..route("/long/", Repeat::Once)
    };
    out.add_route("h.example", long);
    out
}

/// Tells the entry of another one, which then gets its heartbeats.
async fn join(socket: &UdpSocket, peer: SocketAddr) {
    let status = Status {
        catalog: CatalogVersion(1),
        ..Status::default()
    };
    let message = heartbeat_message(heartbeat(peer, "a", 1, status));
    let data = postcard::to_stdvec(&message).expect("encoded");
    socket.send_to(&data, addr(1, 8004)).await.expect("sent");
}

/// Returns the status in the next heartbeat of the entry.
async fn next_status(socket: &UdpSocket) -> Status {
    let mut data = vec![0; 8 << 10];
    loop {
        let len = socket.recv(&mut data).await.expect("a datagram");
        if let Ok(Message::Gossip(gossip)) = postcard::from_bytes(&data[..len]) {
            return gossip.heartbeats[0].status;
        }
    }
}

async fn peer_serves(path: &str) -> bool {
    let text = format!("GET {path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    let got = send_request(addr(1, 8004), &text, 500).await;
    got.starts_with("HTTP/1.1 200")
}

/// Guards against entries that rely on a stopping one which refuses their queries: they would get no configuration and no
/// removal of an endpoint until its last request ends.
#[test]
fn duties_end_with_the_process() {
    run_local(async {
        let at = addr(3, 9000);
        endpoint(at, vec![Step::AwaitClose]).await;
        let entry = run_entry(GRACE, long_catalog, &[at]);
        wait_until_ready().await;
        let peer = addr(2, 8004);
        let socket = UdpSocket::bind(peer).await.expect("a socket");
        join(&socket, peer).await;
        while !next_status(&socket).await.reads_store {}
        let text =
            request("/long/x").replace("Deadline-Ms: 2500", &format!("Deadline-Ms: {}", TIMEOUT.0));
        spawn_local(async move { send_request(addr(1, CALLERS), &text, 9000).await });
        tokio::time::sleep(Duration::from_millis(50)).await;
        signal_self("TERM");
        let told = timeout(NOTICE, async {
            while next_status(&socket).await.reads_store {}
        });
        assert!(told.await.is_ok(), "it says that it reads for the zone");
        tokio::time::sleep(CLOSED.duration()).await;
        assert!(!entry.is_finished(), "a request is in progress");
        for path in ["/catalog", "/fleet/0/-"] {
            assert!(peer_serves(path).await, "{path}");
        }
        entry.join().expect("the entry ends");
    });
}
