//! Followers of topics through outages of the store.

mod gateway_support;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use gateway_support::{run_local, MemoryStore};
use sesamewing::{
    base::Millis,
    gateway::{follow, Follower, Record, RecordStore, Records, StoreError, Topic},
};

/// A store that can be away, and that returns one record a read.
#[derive(Clone, Default)]
struct FlakyStore {
    store: MemoryStore,
    away: Rc<Cell<bool>>,
}

impl FlakyStore {
    fn answers(&self) -> Result<(), StoreError> {
        if self.away.get() {
            return Err(StoreError::Refused(429));
        }
        Ok(())
    }
}

impl RecordStore for FlakyStore {
    async fn newest(&self, topic: Topic) -> Result<Records, StoreError> {
        self.answers()?;
        self.store.newest(topic).await
    }

    async fn read(&self, topic: Topic, from: u64, wait: Millis) -> Result<Records, StoreError> {
        self.answers()?;
        let mut all = self.store.read(topic, from, wait).await?;
        all.records.truncate(1);
        all.next = from + all.records.len() as u64;
        Ok(all)
    }

    async fn append(&self, topic: Topic, record: &Record) -> Result<(), StoreError> {
        self.store.append(topic, record).await
    }
}

/// What a follower was told, in order.
#[derive(Default)]
struct Heard(RefCell<Vec<String>>);

impl Heard {
    fn push(&self, text: &str, records: &[Record]) {
        let keys = records.iter().map(|r| String::from_utf8_lossy(&r.key));
        let keys: Vec<_> = keys.collect();
        self.0
            .borrow_mut()
            .push(format!("{text} {}", keys.join(",")));
    }
}

impl Follower for Heard {
    fn apply(&self, record: Record) {
        self.push("take", &[record]);
    }

    fn replace(&self, records: Vec<Record>) {
        self.push("replace", &records);
    }

    fn store_recovered(&self) {
        self.push("regained", &[]);
    }

    fn pause(&self) -> Millis {
        Millis(20)
    }
}

/// Guards against an entry that passes on what it knew before an outage although the store has newer records: pages of
/// the backlog come one after the other, the newest records at once.
#[test]
fn outage_ends_with_newest() {
    run_local(async {
        let store = FlakyStore::default();
        let heard = Rc::new(Heard::default());
        let topic = Topic::Endpoints;
        store.store.write(topic, "a", "1");
        tokio::task::spawn_local(follow(store.clone(), topic, Millis::ZERO, heard.clone()));
        tokio::time::sleep(Millis(60).duration()).await;
        store.away.set(true);
        for key in ["b", "c", "d"] {
            store.store.write(topic, key, "1");
        }
        tokio::time::sleep(Millis(2500).duration()).await;
        store.away.set(false);
        tokio::time::sleep(Millis(600).duration()).await;
        let heard = heard.0.borrow();
        assert_eq!(*heard, ["replace a", "regained ", "replace a,b,c,d"]);
    });
}
