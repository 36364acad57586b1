//! A store that is restored from an older copy, so that offsets are used again.

mod gateway_support;

use std::rc::Rc;

use gateway_support::{
    addr, endpoint,
    gateway::{
        arrivals, catalog, request, respond, start_entry, with_header, CALLERS, HELD, MODEL,
    },
    run_local, send_request, set_catalog, MemoryStore, Seen,
};
use sesamewing::{base::Millis, gateway::Topic};

/// Time in which an entry has read what was written to the store.
const READ: Millis = Millis(1500);

async fn pause(time: Millis) {
    tokio::time::sleep(time.duration()).await;
}

/// Writes the record of the endpoint on host `n`.
fn write_endpoint(store: &MemoryStore, n: u8) {
    let value = format!("plain {} a {MODEL} {HELD}", addr(n, 9000));
    store.write(Topic::Endpoints, &format!("e{n}"), &value);
}

/// Starts the endpoint on host `n`, without a record.
async fn start_endpoint(n: u8) -> Rc<Seen> {
    let script = with_header(respond("200 OK", "x"), "Connection: close");
    endpoint(addr(n, 9000), script).await
}

/// Sends requests to the entry on host `n` and returns how many succeeded.
async fn send_some(n: u8, count: usize) -> usize {
    let mut served = 0;
    for _ in 0..count {
        let answer = send_request(addr(n, CALLERS), &request("/safe/"), 2000).await;
        served += usize::from(answer.contains(" 200 "));
    }
    served
}

fn count(seen: &Rc<Seen>) -> usize {
    arrivals(std::slice::from_ref(seen))
}

/// Guards against an entry that misses the records between the copy and its position for good, because the log has grown
/// past that position again by the next read.
#[test]
fn records_at_reused_offsets_are_read() {
    run_local(async {
        set_catalog(catalog());
        let store = MemoryStore::default();
        store.write(Topic::Operator, "config", "1");
        let (old, new) = (start_endpoint(10).await, start_endpoint(11).await);
        write_endpoint(&store, 10);
        let copy = store.copy();
        store.write(Topic::Endpoints, "other", "");
        start_entry(1, store.clone()).await;
        assert_eq!(send_some(1, 4).await, 4);
        assert_eq!((count(&old), count(&new)), (4, 0));
        store.restore(&copy);
        write_endpoint(&store, 11);
        store.write(Topic::Endpoints, "other", "");
        store.write(Topic::Endpoints, "other", "");
        pause(READ).await;
        assert_eq!(send_some(1, 30).await, 30);
        assert!(count(&new) > 0, "the endpoint at a reused offset is missed");
    });
}
