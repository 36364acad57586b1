//! A store that is restored from an older copy, so that offsets are used again.

mod gateway_support;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use gateway_support::{
    addr, endpoint,
    gateway::{arrivals, catalog, request, respond, start_entry, CALLERS, HELD, MODEL},
    run_local, send_request, set_catalog, MemoryStore, Seen, Step,
};
use sesamewing::{
    base::Millis,
    gateway::{
        follow, Follower, PageStart, Record, RecordStore, Records, StoreError, Topic, RENEWAL,
    },
};
use tokio::task::spawn_local;

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

/// Starts the endpoint on host `n`, without a record; it takes a while for each response.
async fn start_endpoint(n: u8) -> Rc<Seen> {
    let mut script = vec![Step::Pause(60)];
    script.extend(respond("200 OK", "x"));
    endpoint(addr(n, 9000), script).await
}

/// Sends requests to the entry on host `n` at once, more than one endpoint would get, and returns how many succeeded.
async fn send_some(n: u8, count: usize) -> usize {
    let send = || async move { send_request(addr(n, CALLERS), &request("/safe/"), 2000).await };
    let sent: Vec<_> = (0..count).map(|_| spawn_local(send())).collect();
    let mut served = 0;
    for answer in sent {
        let answer = answer.await.expect("a response");
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
        assert_eq!(send_some(1, 6).await, 6);
        assert!(count(&new) > 0, "the endpoint at a reused offset is missed");
    });
}

/// Starts an entry with the endpoint on host 10 in its zone, and the one on host 11 in another.
async fn start_zones(store: &MemoryStore) -> (Rc<Seen>, Rc<Seen>) {
    set_catalog(catalog());
    store.write(Topic::Operator, "config", "1");
    let seen = (start_endpoint(10).await, start_endpoint(11).await);
    write_endpoint(store, 10);
    let value = format!("plain {} b {MODEL} {HELD}", addr(11, 9000));
    store.write(Topic::Endpoints, "e11", &value);
    start_entry(1, store.clone()).await;
    seen
}

/// Guards against an endpoint that gets no requests because the restored copy lacks its record, although it is about to
/// rewrite it, and against one that is kept for good.
#[test]
fn missing_endpoints_are_doubted() {
    run_local(async {
        set_catalog(catalog());
        let store = MemoryStore::default();
        store.write(Topic::Operator, "config", "1");
        let copy = store.copy();
        let seen = start_endpoint(10).await;
        write_endpoint(&store, 10);
        start_entry(1, store.clone()).await;
        assert_eq!(send_some(1, 2).await, 2);
        store.restore(&copy);
        pause(READ).await;
        assert_eq!(send_some(1, 2).await, 2, "in doubt");
        pause(RENEWAL).await;
        assert_eq!(send_some(1, 2).await, 0, "its record is gone");
        assert_eq!(count(&seen), 4);
    });
}

/// Guards against a zone that is put back because the restored copy lacks its record, and against one that stays evacuated
/// when the operator does not write the record again.
#[test]
fn evacuated_zone_outlasts_a_restore() {
    run_local(async {
        let store = MemoryStore::default();
        let (near, far) = start_zones(&store).await;
        let copy = store.copy();
        store.write(Topic::Operator, "evacuate/a", "x");
        pause(READ).await;
        assert_eq!(send_some(1, 4).await, 4);
        store.restore(&copy);
        for _ in 0..5 {
            pause(Millis(500)).await;
            assert_eq!(send_some(1, 2).await, 2);
        }
        assert_eq!((count(&near), count(&far)), (0, 14));
        pause(Millis(3500)).await;
        // Its share rises from a twentieth.
        for _ in 0..60 {
            assert_eq!(send_some(1, 4).await, 4);
        }
        assert!(count(&near) > 0, "the record is absent");
    });
}

/// Guards against a zone that stays evacuated for longer than until its removal is read.
#[test]
fn removal_after_a_restore_puts_a_zone_back() {
    run_local(async {
        let store = MemoryStore::default();
        let (near, _) = start_zones(&store).await;
        store.write(Topic::Operator, "evacuate/a", "x");
        let copy = store.copy();
        pause(READ).await;
        store.restore(&copy);
        pause(Millis(1000)).await;
        store.write(Topic::Operator, "evacuate/a", "");
        pause(Millis(800)).await;
        for _ in 0..60 {
            assert_eq!(send_some(1, 4).await, 4);
        }
        assert!(count(&near) > 0, "the removal was read");
    });
}

/// Guards against a long poll of the old era that goes on waiting after the read of another topic showed the new era, and
/// against an announcement that stays lost.
#[test]
fn new_era_ends_long_polls() {
    run_local(async {
        let store = MemoryStore::default();
        let (near, far) = start_zones(&store).await;
        store.write(Topic::Operator, "evacuate/a", "x");
        let mut copy = store.copy();
        copy.remove(Topic::Entries);
        store.write(Topic::Operator, "evacuate/a", "");
        pause(READ).await;
        assert_eq!(send_some(1, 4).await, 4);
        store.restore(&copy);
        pause(Millis(1200)).await;
        let before = (count(&near), count(&far));
        assert_eq!(send_some(1, 4).await, 4);
        let after = (count(&near), count(&far));
        assert_eq!(after, (before.0, before.1 + 4), "the record is there again");
        pause(Millis(1500)).await;
        let key = addr(1, 8004).to_string();
        assert_eq!(store.count(Topic::Entries, &key), 1, "one announcement");
    });
}

/// A store whose next response, if there is one to delay, is of the time when that was set.
#[derive(Clone)]
struct Delayed {
    store: MemoryStore,
    older: Rc<RefCell<Option<MemoryStore>>>,
}

impl RecordStore for Delayed {
    async fn newest(&self, topic: Topic, start: &PageStart) -> Result<Records, StoreError> {
        let older = self.older.take();
        older
            .unwrap_or(self.store.clone())
            .newest(topic, start)
            .await
    }

    async fn read(&self, topic: Topic, from: u64, wait: Millis) -> Result<Records, StoreError> {
        let older = self.older.take();
        let store = older.unwrap_or(self.store.clone());
        store.read(topic, from, wait).await
    }

    async fn append(&self, topic: Topic, record: &Record) -> Result<(), StoreError> {
        self.store.append(topic, record).await
    }
}

/// A follower that keeps the keys of what it is told.
#[derive(Default)]
struct Keys {
    keys: RefCell<Vec<String>>,
    ignored: Cell<u32>,
}

impl Follower for Keys {
    fn apply(&self, record: Record) {
        let key = String::from_utf8_lossy(&record.key).into_owned();
        self.keys.borrow_mut().push(key);
    }

    fn store_recovered(&self) {}

    fn response_ignored(&self) {
        self.ignored.set(self.ignored.get() + 1);
    }

    fn pause(&self) -> Millis {
        Millis(20)
    }
}

/// Guards against a delayed response of an older era whose records are applied, or whose offsets are followed.
#[test]
fn older_responses_are_ignored() {
    run_local(async {
        let store = MemoryStore::default();
        let topic = Topic::Endpoints;
        store.write(topic, "a", "1");
        let copy = store.copy();
        let older = MemoryStore::default();
        for key in ["a", "b", "c"] {
            store.write(topic, key, "1");
            older.write(topic, key, "1");
        }
        let store = Delayed {
            store,
            older: Rc::default(),
        };
        let keys = Rc::new(Keys::default());
        spawn_local(follow(store.clone(), topic, Millis::ZERO, keys.clone()));
        pause(Millis(100)).await;
        store.store.restore(&copy);
        pause(Millis(100)).await;
        assert_eq!(keys.keys.take(), ["a", "a", "b", "c", "a"]);
        store.older.replace(Some(older));
        pause(Millis(700)).await;
        store.store.write(topic, "d", "1");
        pause(Millis(100)).await;
        assert_eq!(keys.keys.take(), ["d"]);
        assert_eq!(keys.ignored.get(), 1);
    });
}
