//! Following a topic through an outage of the store.

mod gateway_support;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use gateway_support::{run_local, MemoryStore};
use sesamewing::{
    base::Millis,
    gateway::{follow, Follower, PageStart, Record, RecordStore, Records, StoreError, Topic},
};

/// A store that can be unavailable, and that returns one record per read.
#[derive(Clone, Default)]
struct FlakyStore {
    store: MemoryStore,
    unavailable: Rc<Cell<bool>>,
}

impl FlakyStore {
    fn check_available(&self) -> Result<(), StoreError> {
        if self.unavailable.get() {
            return Err(StoreError::Refused(429));
        }
        Ok(())
    }
}

impl RecordStore for FlakyStore {
    async fn newest(&self, topic: Topic, start: &PageStart) -> Result<Records, StoreError> {
        self.check_available()?;
        self.store.newest(topic, start).await
    }

    async fn read(&self, topic: Topic, from: u64, wait: Millis) -> Result<Records, StoreError> {
        self.check_available()?;
        let mut all = self.store.read(topic, from, wait).await?;
        all.records.truncate(1);
        all.next = from + all.records.len() as u64;
        Ok(all)
    }

    async fn append(&self, topic: Topic, record: &Record) -> Result<(), StoreError> {
        self.store.append(topic, record).await
    }
}

/// A follower that records the calls it gets, in order; those of a list as one.
#[derive(Default)]
struct CallLog {
    calls: RefCell<Vec<String>>,
    /// Keys of the list in progress.
    list: RefCell<Option<Vec<String>>>,
}

impl CallLog {
    fn push(&self, text: &str, keys: &[String]) {
        let call = format!("{text} {}", keys.join(","));
        self.calls.borrow_mut().push(call);
    }
}

impl Follower for CallLog {
    fn apply(&self, record: Record) {
        let key = String::from_utf8_lossy(&record.key).into_owned();
        match &mut *self.list.borrow_mut() {
            Some(list) => list.push(key),
            None => self.push("take", &[key]),
        }
    }

    fn list_begun(&self) {
        self.list.replace(Some(Vec::new()));
    }

    fn list_ended(&self) {
        let keys = self.list.take().expect("a list was begun");
        self.push("replace", &keys);
    }

    fn store_recovered(&self) {
        self.push("regained", &[]);
    }

    fn pause(&self) -> Millis {
        Millis(20)
    }
}

/// Guards against an entry that passes on outdated state after an outage of the store: reading the backlog page by page
/// would apply old records first, so the newest record of each key has to be read at once.
#[test]
fn outage_ends_with_newest() {
    run_local(async {
        let store = FlakyStore::default();
        let calls = Rc::new(CallLog::default());
        let topic = Topic::Endpoints;
        store.store.write(topic, "a", "1");
        tokio::task::spawn_local(follow(store.clone(), topic, Millis::ZERO, calls.clone()));
        tokio::time::sleep(Millis(60).duration()).await;
        store.unavailable.set(true);
        for key in ["b", "c", "d"] {
            store.store.write(topic, key, "1");
        }
        tokio::time::sleep(Millis(2500).duration()).await;
        store.unavailable.set(false);
        tokio::time::sleep(Millis(600).duration()).await;
        let calls = calls.calls.borrow();
        assert_eq!(*calls, ["replace a", "regained ", "replace a,b,c,d"]);
    });
}

/// A store whose log cannot be read from its first record on, although the newest records can be.
#[derive(Clone)]
struct BrokenLog {
    store: MemoryStore,
    error: StoreError,
}

impl RecordStore for BrokenLog {
    async fn newest(&self, topic: Topic, start: &PageStart) -> Result<Records, StoreError> {
        self.store.newest(topic, start).await
    }

    async fn read(&self, topic: Topic, from: u64, wait: Millis) -> Result<Records, StoreError> {
        let read = self.store.read(topic, from, wait).await?;
        if read.records.is_empty() {
            return Ok(read);
        }
        Err(self.error.clone())
    }

    async fn append(&self, topic: Topic, record: &Record) -> Result<(), StoreError> {
        self.store.append(topic, record).await
    }
}

/// Guards against a topic that is no longer followed because the response from one offset on cannot be read: it is
/// malformed, or so large that it does not arrive.
#[test]
fn unreadable_log_is_passed_over() {
    let errors = [
        (StoreError::Malformed("truncated".to_owned()), Millis(800)),
        (StoreError::Unknown("too large".to_owned()), Millis(4000)),
    ];
    for (error, limit) in errors {
        run_local(async {
            let store = BrokenLog {
                store: MemoryStore::default(),
                error,
            };
            let calls = Rc::new(CallLog::default());
            let topic = Topic::Endpoints;
            store.store.write(topic, "a", "1");
            tokio::task::spawn_local(follow(store.clone(), topic, Millis::ZERO, calls.clone()));
            tokio::time::sleep(Millis(60).duration()).await;
            store.store.write(topic, "b", "1");
            tokio::time::sleep(limit.duration()).await;
            let calls = calls.calls.borrow();
            assert_eq!(calls.last().map(String::as_str), Some("replace a,b"));
        });
    }
}

/// A follower that panics at one record.
#[derive(Default)]
struct Panicking(CallLog);

impl Follower for Panicking {
    fn apply(&self, record: Record) {
        let listed = self.0.list.borrow().is_some();
        assert!(listed || record.key != "odd", "an odd record");
        self.0.apply(record);
    }

    fn list_begun(&self) {
        self.0.list_begun();
    }

    fn list_ended(&self) {
        self.0.list_ended();
    }

    fn store_recovered(&self) {}

    fn pause(&self) -> Millis {
        Millis(20)
    }
}

/// Guards against a process that stays alive but no longer follows a topic after a record made its follower panic.
#[test]
fn panic_does_not_end_following() {
    run_local(async {
        let store = MemoryStore::default();
        let calls = Rc::new(Panicking::default());
        let topic = Topic::Endpoints;
        store.write(topic, "a", "1");
        let task = follow(store.clone(), topic, Millis::ZERO, calls.clone());
        tokio::task::spawn_local(task);
        tokio::time::sleep(Millis(60).duration()).await;
        store.write(topic, "odd", "1");
        tokio::time::sleep(Millis(60).duration()).await;
        store.write(topic, "b", "1");
        tokio::time::sleep(Millis(1500).duration()).await;
        store.write(topic, "c", "1");
        tokio::time::sleep(Millis(200).duration()).await;
        let calls = calls.0.calls.borrow();
        let expected = ["replace a", "replace a,odd,b", "take c"];
        assert_eq!(*calls, expected);
    });
}

/// A follower that reads on soon once it knows a record, and counts the reads.
#[derive(Default)]
struct Hurried {
    known: Cell<bool>,
    reads: Cell<u32>,
}

impl Follower for Hurried {
    fn apply(&self, _: Record) {
        self.known.set(true);
    }

    fn store_recovered(&self) {}

    fn read_succeeded(&self) {
        self.reads.set(self.reads.get() + 1);
    }

    fn pause(&self) -> Millis {
        if self.known.get() {
            Millis(20)
        } else {
            Millis(400)
        }
    }
}

/// Guards against a follower that waits for the pause that held before a read, although the read brought a record after
/// which the next one is due sooner.
#[test]
fn pause_follows_what_was_read() {
    run_local(async {
        let store = MemoryStore::default();
        let follower = Rc::new(Hurried::default());
        let topic = Topic::Endpoints;
        tokio::task::spawn_local(follow(store.clone(), topic, Millis::ZERO, follower.clone()));
        tokio::time::sleep(Millis(100).duration()).await;
        store.write(topic, "a", "1");
        while !follower.known.get() {
            tokio::time::sleep(Millis(5).duration()).await;
        }
        let reads = follower.reads.get();
        tokio::time::sleep(Millis(200).duration()).await;
        assert!(follower.reads.get() > reads, "no read within 200 ms");
    });
}
