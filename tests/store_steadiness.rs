//! Steadiness of the store, and configurations that are written while it is slow or loses responses.

mod gateway_support;

use std::{cell::Cell, rc::Rc, time::Instant};

use gateway_support::{
    addr,
    gateway::{catalog, request, settings_of, start_stored, CALLERS},
    run_local, send_request, set_catalog, MemoryStore, TestDecode,
};
use sesamewing::{
    base::Millis,
    gateway::{
        CatalogVersion, PageStart, Record, RecordStore, Records, ResponseTime, Steadiness,
        StoreError, Topic,
    },
};

/// Time of a response in calm.
const QUICK: Millis = Millis(14);

/// Time of a response while the store is slow.
const SLOW: Millis = Millis(200);

/// Longest time from the write of a configuration to its effect, as the platform promises it.
const APPLY_MAX: Millis = Millis(2000);

/// Time after which an entry does not get a response that was lost.
const LOST: Millis = Millis(6500);

async fn sleep(time: Millis) {
    tokio::time::sleep(time.duration()).await;
}

/// What the store does to the reads of some entries.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum Trouble {
    #[default]
    None,
    /// Responses are slow, and a long poll that begins meanwhile does not end with a record.
    Slow,
    /// Responses to long polls are lost.
    Lost,
}

#[derive(Clone, Default)]
struct Store {
    records: MemoryStore,
    trouble: Rc<Cell<Trouble>>,
    /// Reads of the operator's records.
    reads: Rc<Cell<u32>>,
}

impl Store {
    /// Returns the same store as another entry reads it.
    fn share(&self) -> Self {
        Self {
            records: self.records.clone(),
            ..Self::default()
        }
    }

    /// Writes a configuration with or without the route of the test.
    fn write(&self, version: u64, with_route: bool) {
        let mut next = catalog();
        next.version = CatalogVersion(version);
        if !with_route {
            next.routes.clear();
        }
        set_catalog(next);
        let text = version.to_string();
        self.records.write(Topic::Operator, "config", &text);
    }

    async fn delay(&self) {
        let slow = self.trouble.get() == Trouble::Slow;
        sleep(if slow { SLOW } else { QUICK }).await;
    }
}

impl RecordStore for Store {
    async fn newest(&self, topic: Topic, start: &PageStart) -> Result<Records, StoreError> {
        self.delay().await;
        self.records.newest(topic, start).await
    }

    async fn read(&self, topic: Topic, from: u64, wait: Millis) -> Result<Records, StoreError> {
        if topic == Topic::Operator {
            self.reads.set(self.reads.get() + 1);
        }
        let polls = wait > Millis::ZERO;
        let begun = self.trouble.get();
        if polls && begun == Trouble::Slow {
            sleep(wait).await;
        }
        self.delay().await;
        let read = self.records.read(topic, from, wait).await;
        if polls && begun != Trouble::Slow && self.trouble.get() == Trouble::Lost {
            sleep(LOST).await;
            return Err(StoreError::Unknown("the response was lost".to_owned()));
        }
        read
    }

    async fn append(&self, topic: Topic, record: &Record) -> Result<(), StoreError> {
        self.records.append(topic, record).await
    }
}

/// Waits until entry `n` rejects requests to the route that a configuration drops, and asserts that this is in time.
async fn check_applied(n: u8, written: Instant) {
    let host = addr(n, CALLERS);
    while !send_request(host, &request("/once/x"), 500)
        .await
        .contains(" 404 ")
    {
        let late = Millis::from(written.elapsed());
        assert!(late <= APPLY_MAX, "entry {n} has an older configuration");
        sleep(Millis(20)).await;
    }
}

/// Guards against a slow store that counts as steady, and against one far away that never does.
#[test]
fn slow_is_relative() {
    let mut near = Steadiness::default();
    let mut now = Millis(1000);
    near.record(ResponseTime::Taken(QUICK), now);
    assert!(near.is_steady(now));
    near.record(ResponseTime::Taken(SLOW), now);
    assert!(!near.is_steady(now + Millis(900)));
    assert!(near.is_steady(now + Millis(1000)));
    let mut far = Steadiness::default();
    far.record(ResponseTime::Taken(SLOW), now);
    assert!(!far.is_steady(now), "nothing quicker is known yet");
    for _ in 0..8 {
        now += Millis(500);
        far.record(ResponseTime::Taken(SLOW), now);
    }
    assert!(far.is_steady(now));
    far.record(ResponseTime::Failed, now);
    assert!(!far.is_steady(now));
}

/// Guards against a read without a response that counts only when it has failed.
#[test]
fn late_is_slow() {
    let mut store = Steadiness::default();
    let now = Millis(1000);
    store.record(ResponseTime::Taken(QUICK), now);
    store.record(ResponseTime::Pending(Millis(50)), now);
    assert!(store.is_steady(now));
    store.record(ResponseTime::Pending(Millis(100)), now);
    assert!(!store.is_steady(now));
}

/// Guards against a configuration that counts only up to 5 s after its write, because the long poll for it began while
/// the store was slow and ends with its wait; and against more reads in calm.
#[test]
fn poll_of_a_slow_store() {
    run_local(async {
        let store = Store::default();
        store.write(1, true);
        start_stored::<_, TestDecode>(settings_of(1), store.clone()).await;
        sleep(Millis(1500)).await;
        let reads = store.reads.get();
        sleep(Millis(4000)).await;
        assert!(store.reads.get() <= reads + 1, "long polls in calm");
        store.trouble.set(Trouble::Slow);
        sleep(Millis(1500)).await;
        store.write(2, true);
        sleep(Millis(400)).await;
        store.write(3, false);
        let written = Instant::now();
        sleep(Millis(300)).await;
        store.trouble.set(Trouble::None);
        check_applied(1, written).await;
    });
}

/// Guards against entries that wait for a reader of their zone whose response is lost, although another zone has the
/// configuration.
#[test]
fn lost_polls_of_a_zone() {
    run_local(async {
        let near = Store::default();
        let far = near.share();
        near.write(1, true);
        for n in 1..=3 {
            let mut settings = settings_of(n);
            settings.seeds = (1..=3).map(|n| addr(n, 8004)).collect();
            let store = if n == 3 { &far } else { &near };
            if n == 3 {
                settings.zone = "b".parse().expect("a valid name");
            }
            start_stored::<_, TestDecode>(settings, store.clone()).await;
        }
        sleep(Millis(4000)).await;
        near.trouble.set(Trouble::Lost);
        near.write(2, false);
        let written = Instant::now();
        for n in 1..=3 {
            check_applied(n, written).await;
        }
    });
}
