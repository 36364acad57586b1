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
    heartbeat, heartbeat_message, send_request, MemoryStore,
};
use sesamewing::{
    base::Millis,
    gateway::{CatalogVersion, Status, TableDigest, Topic},
};

/// Time for which the process is paused: longer than the reads of the store may be overdue.
const PAUSE: Duration = Duration::from_secs(4);

/// Time after the pause in which the entry reads the store, and until which a doubted removal would still be tentative.
const READ_TIME: Millis = Millis(1200);

/// Time for which the other entry says that it has read the store.
const READ_FOR: Millis = Millis(10_000);

/// Interval of the other entry's heartbeats.
const INTERVAL: Duration = Duration::from_millis(100);

/// Time after the pause in which no heartbeat arrives, though the store answers.
const LATE: Millis = Millis(300);

/// Another entry, of another zone, that reads the store; its process is not paused.
#[derive(Default)]
struct Other {
    /// Whether its heartbeats are lost.
    cut: AtomicBool,
    ended: AtomicBool,
}

impl Other {
    /// Sends heartbeats until the end.
    fn run(&self, to: SocketAddr, peer: SocketAddr) {
        let socket = UdpSocket::bind(peer).expect("a socket");
        let status = Status {
            ready: true,
            catalog: CatalogVersion(1),
            reads_store: true,
            table: TableDigest(1),
        };
        for count in 1.. {
            if self.ended.load(Ordering::Relaxed) {
                return;
            }
            let message = heartbeat_message(heartbeat(peer, "b", count, status));
            let data = (message, vec![READ_FOR]);
            let data = postcard::to_stdvec(&data).expect("encoded");
            if !self.cut.load(Ordering::Relaxed) {
                socket.send_to(&data, to).expect("it is sent");
            }
            sleep(INTERVAL);
        }
    }
}

/// Removes an endpoint while an entry is paused, and returns the answer to a request to it [`READ_TIME`] later. If `late`,
/// the heartbeats of the other entry are lost from the start of the pause to [`LATE`] after its end.
async fn answer_after_pause(store: MemoryStore, peer: SocketAddr, late: bool) -> String {
    let to = addr(1, 8004);
    let other = Arc::new(Other::default());
    let sender = other.clone();
    let thread = spawn(move || sender.run(to, peer));
    tokio::time::sleep(Millis(1500).duration()).await;
    let before = send_request(addr(1, CALLERS), &request("/once/x"), 1000).await;
    assert!(before.ends_with("yes"), "`{before}`");
    other.cut.store(late, Ordering::Relaxed);
    store.write(Topic::Endpoints, "e0", "");
    sleep(PAUSE);
    tokio::time::sleep(LATE.duration()).await;
    other.cut.store(false, Ordering::Relaxed);
    tokio::time::sleep((READ_TIME - LATE).duration()).await;
    let after = send_request(addr(1, CALLERS), &request("/once/x"), 1000).await;
    other.ended.store(true, Ordering::Relaxed);
    thread.join().expect("it ends");
    after
}

fn check_pause(late: bool) {
    let catalog = gateway_support::gateway::catalog();
    let scripts = vec![respond("200 OK", "yes")];
    with_store(
        MemoryStore::default(),
        catalog,
        scripts,
        |_, store| async move {
            let after = answer_after_pause(store, addr(2, 8004), late).await;
            assert!(
                !after.ends_with("yes"),
                "the removed endpoint got a request"
            );
        },
    );
}

/// Guards against an entry that takes its own pause for an outage of the store: it would keep an endpoint that was
/// removed meanwhile, and send requests to it until it exits.
#[test]
fn pause_is_no_outage() {
    check_pause(false);
}

/// Guards against a doubt that outlasts the news that the store was not away, because the store answered the paused entry
/// before another entry was heard again.
#[test]
fn late_witness_ends_the_doubt() {
    check_pause(true);
}
