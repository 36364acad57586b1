//! An entry that was paused, and removals of endpoints that it reads afterwards.

mod gateway_support;

use std::{
    net::{SocketAddr, UdpSocket},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    thread::{sleep, spawn},
    time::Duration,
};

use gateway_support::{
    addr,
    gateway::{request, respond, with_store, CALLERS},
    heartbeat_message, send_request, MemoryStore,
};
use sesamewing::{
    base::Millis,
    gateway::{CatalogVersion, Heartbeat, Status, TableDigest, Topic},
};

/// Time for which the process is paused: longer than the reads of the store may be overdue.
const PAUSE: Duration = Duration::from_secs(4);

/// Time after the pause in which the entry reads the store, and until which a doubted removal would still be tentative.
const READ_TIME: Millis = Millis(1200);

/// Time for which the other entry says that it has read the store.
const READ_FOR: Millis = Millis(10_000);

/// Interval of the other entry's heartbeats.
const INTERVAL: Duration = Duration::from_millis(100);

fn heartbeat(peer: SocketAddr, count: u64) -> Heartbeat {
    Heartbeat {
        peer,
        callers: SocketAddr::new(peer.ip(), CALLERS),
        zone: "b".parse().expect("a valid name"),
        boot: 1,
        count,
        status: Status {
            ready: true,
            catalog: CatalogVersion(1),
            reads_store: true,
            table: TableDigest(1),
        },
    }
}

/// Sends the heartbeats of an entry of another zone that reads the store, from a process that is not paused.
fn send_heartbeats(to: SocketAddr, peer: SocketAddr, ended: Arc<AtomicBool>) {
    let socket = UdpSocket::bind(peer).expect("a socket");
    for count in 1.. {
        if ended.load(Ordering::Relaxed) {
            return;
        }
        let data = (heartbeat_message(heartbeat(peer, count)), vec![READ_FOR]);
        let data = postcard::to_stdvec(&data).expect("encoded");
        socket.send_to(&data, to).expect("it is sent");
        sleep(INTERVAL);
    }
}

/// Guards against an entry that takes its own pause for an outage of the store: it would keep an endpoint that was
/// removed meanwhile, and send requests to it until it exits.
#[test]
fn pause_is_no_outage() {
    let store = MemoryStore::default();
    let ended = Arc::new(AtomicBool::new(false));
    let scripts = vec![respond("200 OK", "yes")];
    with_store(
        store,
        gateway_support::gateway::catalog(),
        scripts,
        |_, store| async move {
            let (to, peer, stop) = (addr(1, 8004), addr(2, 8004), ended.clone());
            let other = spawn(move || send_heartbeats(to, peer, stop));
            tokio::time::sleep(Millis(1500).duration()).await;
            let before = send_request(addr(1, CALLERS), &request("/once/x"), 1000).await;
            assert!(before.ends_with("yes"), "`{before}`");
            store.write(Topic::Endpoints, "e0", "");
            sleep(PAUSE);
            tokio::time::sleep(READ_TIME.duration()).await;
            let after = send_request(addr(1, CALLERS), &request("/once/x"), 1000).await;
            ended.store(true, Ordering::Relaxed);
            other.join().expect("it ends");
            assert!(
                !after.ends_with("yes"),
                "the removed endpoint got a request"
            );
        },
    );
}
