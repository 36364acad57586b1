//! Lists of a topic that come in many pages, beside a log that is written meanwhile.

mod gateway_support;

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};

use gateway_support::{run_local, MemoryStore};
use sesamewing::{
    base::{Era, Millis},
    gateway::{
        follow, read_list, Follower, PageStart, Record, RecordStore, Records, StoreError, Topic,
    },
};
use tokio::{task::spawn_local, time::sleep};

const TOPIC: Topic = Topic::Endpoints;

/// Keys in a page, number of keys at the start, and the time that each page takes; the whole list takes 3 s.
const PAGE: usize = 2;
const KEYS: usize = 40;
const PAGE_TIME: Millis = Millis(150);

/// Time in which a list is half read, and one in which it is read.
const HALF: Millis = Millis(1500);
const WHOLE: Millis = Millis(4500);

/// Longest time from a write to its effect while a list is read.
const EFFECT: Millis = Millis(1000);

/// A store that answers pages slowly.
#[derive(Clone, Default)]
struct PagedStore {
    store: MemoryStore,
    fails: Rc<Cell<bool>>,
    era: Rc<Cell<u64>>,
    /// Keys after which pages were asked for.
    pages: Rc<RefCell<Vec<Option<String>>>>,
}

fn key(i: usize) -> String {
    format!("k{i:03}")
}

impl PagedStore {
    fn new() -> Self {
        let out = Self::default();
        (0..KEYS).for_each(|i| out.store.write(TOPIC, &key(i), "1"));
        out
    }

    /// Returns the newest record of each key that has one, with its offset.
    async fn present(&self, topic: Topic) -> Result<BTreeMap<String, (u64, Record)>, StoreError> {
        let all = self.store.newest(topic, &PageStart::default()).await?;
        let mut out = BTreeMap::new();
        for (offset, record) in (0..).zip(all.records) {
            let key = String::from_utf8_lossy(&record.key).into_owned();
            match record.value {
                Some(_) => drop(out.insert(key, (offset, record))),
                None => drop(out.remove(&key)),
            }
        }
        Ok(out)
    }
}

impl RecordStore for PagedStore {
    async fn newest(&self, topic: Topic, start: &PageStart) -> Result<Records, StoreError> {
        if self.fails.get() {
            return Err(StoreError::Refused(503));
        }
        let after = start.after.as_deref().map(String::from_utf8_lossy);
        let asked = after.clone().map(String::from);
        self.pages.borrow_mut().push(asked);
        sleep(PAGE_TIME.duration()).await;
        let end = self.store.read(topic, 0, Millis::ZERO).await?.end;
        let mut left = self.present(topic).await?;
        left.retain(|key, _| after.as_ref().is_none_or(|a| key.as_str() > a.as_ref()));
        let page: Vec<_> = left.values().take(PAGE).cloned().collect();
        let last = page.last().map(|(_, r)| r.key.clone());
        let until = start.until.unwrap_or(u64::MAX);
        let kept = page.into_iter().filter(|(offset, _)| *offset < until);
        Ok(Records {
            records: kept.map(|(_, r)| r).collect(),
            next: end,
            end,
            era: Era(self.era.get()),
            more: last.filter(|_| left.len() > PAGE),
            ..Records::default()
        })
    }

    async fn read(&self, topic: Topic, from: u64, wait: Millis) -> Result<Records, StoreError> {
        if self.fails.get() {
            return Err(StoreError::Refused(503));
        }
        let read = self.store.read(topic, from, wait).await?;
        Ok(Records {
            era: Era(self.era.get()),
            ..read
        })
    }

    async fn append(&self, topic: Topic, record: &Record) -> Result<(), StoreError> {
        self.store.append(topic, record).await
    }
}

/// A follower that keeps the keys that are present.
#[derive(Default)]
struct Keys {
    keys: RefCell<BTreeSet<String>>,
    listed: RefCell<BTreeSet<String>>,
    /// Offset before which another process passed on all records.
    copied: Cell<Option<u64>>,
    begun: Cell<u32>,
    ended: Cell<u32>,
    dropped: Cell<u32>,
    reads: Cell<u32>,
}

impl Keys {
    fn has(&self, key: &str) -> bool {
        self.keys.borrow().contains(key)
    }
}

impl Follower for Keys {
    fn apply(&self, record: Record) {
        let key = String::from_utf8_lossy(&record.key).into_owned();
        if record.value.is_none() {
            self.keys.borrow_mut().remove(&key);
            return;
        }
        self.listed.borrow_mut().insert(key.clone());
        self.keys.borrow_mut().insert(key);
    }

    fn list_begun(&self) {
        self.listed.take();
        self.begun.set(self.begun.get() + 1);
    }

    fn list_ended(&self) {
        let listed = self.listed.borrow();
        self.keys.borrow_mut().retain(|key| listed.contains(key));
        self.ended.set(self.ended.get() + 1);
    }

    fn list_dropped(&self) {
        self.dropped.set(self.dropped.get() + 1);
    }

    fn read_succeeded(&self) {
        self.reads.set(self.reads.get() + 1);
    }

    fn store_recovered(&self) {}

    fn applied_until(&self) -> Option<u64> {
        self.copied.get()
    }

    fn pause(&self) -> Millis {
        Millis(20)
    }
}

fn start(store: &PagedStore) -> Rc<Keys> {
    let keys = Rc::new(Keys::default());
    spawn_local(follow(store.clone(), TOPIC, Millis::ZERO, keys.clone()));
    keys
}

async fn pause(time: Millis) {
    sleep(time.duration()).await;
}

/// Guards against drains and removals that take effect only when a list of many pages has been read, and against new keys
/// that then count as removed.
#[test]
fn log_is_read_beside_a_list() {
    run_local(async {
        let store = PagedStore::new();
        let keys = start(&store);
        pause(HALF).await;
        assert!(keys.has(&key(0)) && !keys.has(&key(KEYS - 1)));
        store.store.write(TOPIC, &key(0), "");
        store.store.write(TOPIC, "a-new", "1");
        store.store.write(TOPIC, "z-new", "1");
        pause(EFFECT).await;
        assert_eq!(keys.ended.get(), 0, "the list is still being read");
        assert!(!keys.has(&key(0)), "removed");
        assert!(keys.has("a-new") && keys.has("z-new"), "added");
        pause(WHOLE - HALF - EFFECT).await;
        assert_eq!((keys.begun.get(), keys.ended.get()), (1, 1));
        let expected: BTreeSet<_> = (1..KEYS).map(key).collect();
        let added = ["a-new", "z-new"].map(String::from);
        let expected: BTreeSet<_> = expected.into_iter().chain(added).collect();
        assert_eq!(*keys.keys.borrow(), expected);
    });
}

/// Guards against a key that is renewed just before its page is read, and counts as removed because the page leaves its
/// record to the log.
#[test]
fn renewed_keys_stay() {
    run_local(async {
        let store = PagedStore::new();
        let keys = start(&store);
        let writing = store.store.clone();
        spawn_local(async move {
            for i in (0..KEYS).cycle() {
                writing.write(TOPIC, &key(i), "2");
                pause(Millis(3)).await;
            }
        });
        pause(WHOLE).await;
        assert!(keys.ended.get() > 0, "the list has ended");
        let expected: BTreeSet<_> = (0..KEYS).map(key).collect();
        assert_eq!(*keys.keys.borrow(), expected);
    });
}

/// Guards against keys that count as removed because a list could be read only in part, and against a list that begins
/// anew with each response that is lost.
#[test]
fn rest_of_a_list_is_read_later() {
    run_local(async {
        let store = PagedStore::new();
        let keys = start(&store);
        pause(HALF).await;
        let known = keys.keys.borrow().len();
        store.fails.set(true);
        pause(Millis(700)).await;
        assert_eq!(keys.ended.get(), 0);
        assert!(keys.keys.borrow().len() >= known);
        store.fails.set(false);
        pause(WHOLE).await;
        assert_eq!((keys.begun.get(), keys.ended.get()), (1, 1));
        assert_eq!(keys.keys.borrow().len(), KEYS);
        let firsts = store.pages.borrow().iter().filter(|p| p.is_none()).count();
        assert_eq!(firsts, 1, "{:?}", store.pages.borrow());
    });
}

/// Guards against a process that others rely on although it has read a part of a list only.
#[test]
fn half_a_list_is_no_read() {
    run_local(async {
        let store = PagedStore::new();
        let keys = start(&store);
        pause(HALF).await;
        assert_eq!(keys.reads.get(), 0);
        pause(WHOLE - HALF).await;
        assert!(keys.reads.get() > 0);
    });
}

/// Guards against a list that takes away what another process passed on while it was read.
#[test]
fn copies_replace_a_list() {
    run_local(async {
        let store = PagedStore::new();
        let keys = start(&store);
        pause(HALF).await;
        let copied = store.store.read(TOPIC, 0, Millis::ZERO).await;
        keys.keys.borrow_mut().insert("copied".to_owned());
        keys.copied.set(Some(copied.expect("the log").end));
        store.store.write(TOPIC, "later", "1");
        pause(EFFECT).await;
        assert!(keys.has("later"));
        pause(WHOLE).await;
        assert!(keys.has("copied"));
        assert_eq!((keys.ended.get(), keys.dropped.get()), (0, 1));
    });
}

/// Guards against pages of two eras of the store that are taken for one list.
#[test]
fn new_era_begins_a_new_list() {
    run_local(async {
        let store = PagedStore::new();
        let keys = start(&store);
        pause(HALF).await;
        store.store.write(TOPIC, &key(0), "");
        store.era.set(1);
        pause(WHOLE).await;
        assert_eq!((keys.begun.get(), keys.ended.get()), (2, 1));
        assert!(!keys.has(&key(0)));
        assert_eq!(keys.keys.borrow().len(), KEYS - 1);
    });
}

/// Guards against pages of two eras, or an endless list, where a list is read once.
#[test]
fn single_lists_are_of_one_era() {
    run_local(async {
        let store = PagedStore::new();
        let era = store.era.clone();
        spawn_local(async move {
            pause(HALF).await;
            era.set(1);
        });
        let mut count = 0;
        let list = read_list(&store, TOPIC, |_| count += 1).await;
        assert!(matches!(list, Err(StoreError::Malformed(_))), "{list:?}");
        let mut count = 0;
        let list = read_list(&store, TOPIC, |_| count += 1).await;
        let list = list.expect("a list");
        assert_eq!((count, list.next, list.era), (KEYS, KEYS as u64, Era(1)));
    });
}
