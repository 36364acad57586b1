//! A store whose responses are slow or lost, and entries that read it, for tests of the time of versions.
#![allow(dead_code)]

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Instant};

use sesamewing::{
    base::{rendezvous, Millis},
    gateway::{
        Catalog, PageStart, Record, RecordStore, Records, ServiceWeights, StoreError, Topic,
    },
};
use tokio::task::{spawn_local, AbortHandle, LocalSet};

use crate::gateway_support::{
    addr,
    gateway::{catalog, settings_of, start_stored, HELD, MODEL},
    set_catalog, MemoryStore, TestDecode,
};

/// Time after which an entry has had the answer to a read that waited and brought nothing.
pub(crate) const SETTLED: Millis = Millis(500);

/// A store whose responses to reads of the operator's records are slow, lost, partial or trimmed.
#[derive(Clone, Default)]
pub(crate) struct HarshStore {
    pub(crate) store: MemoryStore,
    pub(crate) state: Rc<Trouble>,
}

/// What the store does to reads of the operator's records.
#[derive(Default)]
pub(crate) struct Trouble {
    /// Time for which the body of a response with a configuration arrives.
    pub(crate) transfer: Cell<Millis>,
    /// Time from which a response is made to its arrival.
    pub(crate) delay: Cell<Millis>,
    /// Whether the response to the read in progress is lost.
    pub(crate) loses: Cell<bool>,
    /// Longest wait of a read, so that a read that is to be rejected begins soon.
    pub(crate) wait_max: Cell<Option<Millis>>,
    /// Whether reads are rejected.
    pub(crate) rejects: Cell<bool>,
    /// Offset before which the log holds no records.
    pub(crate) first: Cell<u64>,
    /// Largest number of records in a response.
    pub(crate) page: Cell<Option<usize>>,
}

fn is_config(records: &Records) -> bool {
    records.records.iter().any(|r| &r.key[..] == b"config")
}

impl HarshStore {
    /// Starts an entry whose endpoints hold a model, and returns the address for queries of its state.
    pub(crate) async fn start_entry(&self) -> SocketAddr {
        set_catalog(weights_catalog());
        self.store.write(Topic::Operator, "config", "1");
        self.store.write(Topic::Operator, MODEL, &HELD.to_string());
        let settings = settings_of(1);
        start_stored::<_, TestDecode>(settings.clone(), self.clone()).await;
        sleep(SETTLED).await;
        settings.listen.peers
    }

    /// Starts the three entries of a zone, whose endpoints hold a model; returns their addresses for queries, and the
    /// handles that end them, in the order in which they read the store for the zone.
    pub(crate) async fn start_zone(&self) -> Vec<(SocketAddr, AbortHandle)> {
        set_catalog(weights_catalog());
        self.store.write(Topic::Operator, "config", "1");
        self.store.write(Topic::Operator, MODEL, &HELD.to_string());
        let mut entries = Vec::new();
        for n in 1..=3 {
            let mut settings = settings_of(n);
            settings.seeds = (1..=3).map(|n| addr(n, 8004)).collect();
            let tasks = LocalSet::new();
            let store = self.clone();
            let peers = settings.listen.peers;
            // The tasks of an entry end with its set.
            let run = spawn_local(async move {
                let entry = start_stored::<_, TestDecode>(settings, store);
                tasks.run_until(entry).await;
                tasks.await;
            });
            entries.push((peers, run.abort_handle()));
        }
        sleep(Millis(4000)).await;
        entries.sort_by_key(|e| rendezvous(b"reader", e.0.to_string().as_bytes()));
        entries
    }

    /// Writes a version of the model and returns the time of the write.
    pub(crate) fn name(&self, version: u64) -> Instant {
        self.store
            .write(Topic::Operator, MODEL, &version.to_string());
        Instant::now()
    }
}

impl RecordStore for HarshStore {
    async fn newest(&self, topic: Topic, start: &PageStart) -> Result<Records, StoreError> {
        if topic != Topic::Operator {
            return self.store.newest(topic, start).await;
        }
        if self.state.rejects.get() {
            return Err(StoreError::Refused(503));
        }
        let mut all = self.store.newest(topic, start).await?;
        let mut newest: Vec<Record> = Vec::new();
        for record in all.records {
            newest.retain(|r| r.key != record.key);
            newest.push(record);
        }
        all.records = newest;
        sleep(self.state.delay.get()).await;
        sleep(self.state.transfer.get()).await;
        all.body_time = self.state.transfer.get();
        Ok(all)
    }

    async fn read(&self, topic: Topic, from: u64, wait: Millis) -> Result<Records, StoreError> {
        if topic != Topic::Operator {
            return self.store.read(topic, from, wait).await;
        }
        let state = &self.state;
        if state.rejects.get() {
            return Err(StoreError::Refused(503));
        }
        if from < state.first.get() {
            return Err(StoreError::Trimmed);
        }
        let wait = wait.min(state.wait_max.get().unwrap_or(wait));
        let mut read = self.store.read(topic, from, wait).await?;
        if let Some(page) = state.page.get() {
            read.records.truncate(page);
            read.next = from + read.records.len() as u64;
        }
        if state.loses.take() {
            sleep(Millis(1000)).await;
            return Err(StoreError::Unknown("the response was lost".to_owned()));
        }
        sleep(state.delay.get()).await;
        if is_config(&read) && state.transfer.get() > Millis::ZERO {
            sleep(state.transfer.get()).await;
            read.body_time = state.transfer.get();
        }
        Ok(read)
    }

    async fn append(&self, topic: Topic, record: &Record) -> Result<(), StoreError> {
        self.store.append(topic, record).await
    }
}

/// Waits for a time.
pub(crate) async fn sleep(time: Millis) {
    tokio::time::sleep(time.duration()).await;
}

/// Returns a catalog whose service has a model.
pub(crate) fn weights_catalog() -> Catalog {
    let mut out = catalog();
    for spec in out.services.values_mut() {
        spec.weights = Some(ServiceWeights {
            models: vec![MODEL.into()],
            layout: None,
        });
    }
    out
}
