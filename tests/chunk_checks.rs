//! Checks of staged chunks before the order to load them, at endpoints that are slow and silent.

mod copy_support;
mod gateway_support;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use bytes::Bytes;
use copy_support::{content, report, start_agent, CHUNK};
use gateway_support::{run_local, MemoryStore};
use sesamewing::{
    base::{Clock, HashMap, Millis, SystemClock},
    gateway::{Topic, WeightVersion},
    staging::{EndpointHost, HostError, HostReport, LoadResponse},
};

const CHUNKS: u32 = 64;

/// Version that is loaded at the start, and the one that becomes the desired one.
const OLD: u64 = 1;
const NEW: u64 = 2;

/// Time after which a desired version is enforced; its load starts at 42 % of that.
const BOUND: Millis = Millis(4000);

/// Time for which a chunk may have been corrupt before the endpoint loads it.
const CORRUPT_MAX: Millis = Millis(3000);

/// Silences of the endpoint within a check, each shorter than the timeout of a call, and calls between them.
const SILENCES: u32 = 3;
const SILENCE: Millis = Millis(1300);
const CALLS_BETWEEN: u32 = 8;

/// Longest time that the agent waits for a response of the endpoint.
const TIMEOUT: Millis = Millis(1500);

/// Time of a call to a sound endpoint, and of a read of one whose disk is too slow for checks of all chunks.
const CALL_TIME: Millis = Millis(2);
const SLOW_READ: Millis = Millis(400);

/// Time in which an endpoint is observed whose checks take too long, the part of it after the first checks have begun, and
/// the shortest pause before they are repeated.
const OBSERVED: Millis = Millis(14_000);
const CHECKED: Millis = Millis(10_000);
const PAUSE_MIN: Millis = Millis(1500);

/// Endpoint in memory.
#[derive(Clone)]
struct Engine(Rc<EngineState>);

struct EngineState {
    clock: SystemClock,
    staged: RefCell<HashMap<u32, Bytes>>,
    loaded: Cell<u64>,
    read_time: Millis,
    stage_time: Cell<Millis>,
    /// When a chunk was last staged, and when the last order came.
    last_stage: Cell<Millis>,
    last_order: Cell<Millis>,
    /// Whether the first chunk turns bad as soon as it is read once all chunks are staged, and silences follow.
    troubled: Cell<bool>,
    /// When the first chunk turned bad; `None` while it is sound.
    bad_since: Cell<Option<Millis>>,
    silences: Cell<u32>,
    silent_until: Cell<Millis>,
    /// Calls since the last silence.
    calls: Cell<u32>,
    /// Times of the reads of chunks.
    reads: RefCell<Vec<Millis>>,
    /// For each order, how long the first chunk had been corrupt.
    orders: RefCell<Vec<Option<Millis>>>,
}

impl Engine {
    fn new(read_time: Millis, troubled: bool) -> Self {
        Self(Rc::new(EngineState {
            clock: SystemClock::start_late(),
            staged: RefCell::default(),
            loaded: Cell::new(OLD),
            read_time,
            stage_time: Cell::new(CALL_TIME),
            last_stage: Cell::default(),
            last_order: Cell::default(),
            troubled: Cell::new(troubled),
            bad_since: Cell::default(),
            silences: Cell::default(),
            silent_until: Cell::default(),
            calls: Cell::default(),
            reads: RefCell::default(),
            orders: RefCell::default(),
        }))
    }

    /// Waits until the endpoint reads a call, and for the time that it takes.
    async fn respond(&self, time: Millis) -> Result<(), HostError> {
        let state = &self.0;
        let now = state.clock.now();
        let silent = now < state.silent_until.get();
        state.calls.set(state.calls.get() + 1);
        if !silent && state.silences.get() > 0 && state.calls.get() > CALLS_BETWEEN {
            state.silences.set(state.silences.get() - 1);
            state.silent_until.set(now + SILENCE);
            state.calls.set(0);
        }
        let wait = state.silent_until.get() - now + time;
        tokio::time::sleep(wait.min(TIMEOUT).duration()).await;
        if wait >= TIMEOUT {
            return Err(HostError::Lost("no response".to_owned()));
        }
        Ok(())
    }

    /// Returns whether all chunks of the new version are staged.
    fn is_complete(&self) -> bool {
        let staged = self.0.staged.borrow();
        (0..CHUNKS).all(|c| staged.get(&c) == Some(&content(NEW, c)))
    }

    /// Corrupts the first chunk.
    fn spoil(&self) {
        let state = &self.0;
        state.troubled.set(false);
        state.silences.set(SILENCES);
        state.calls.set(0);
        state.bad_since.set(Some(state.clock.now()));
        let bad = Bytes::from(vec![0; CHUNK]);
        state.staged.borrow_mut().insert(0, bad);
    }
}

impl EndpointHost for Engine {
    async fn report(&self) -> Result<HostReport, HostError> {
        Ok(report(self.0.loaded.get()))
    }

    async fn staged(&self, _: &str) -> Result<Vec<u32>, HostError> {
        self.respond(CALL_TIME).await?;
        Ok(self.0.staged.borrow().keys().copied().collect())
    }

    async fn read(&self, _: &str, chunk: u32) -> Result<Option<Bytes>, HostError> {
        self.0.reads.borrow_mut().push(self.0.clock.now());
        self.respond(self.0.read_time).await?;
        let data = self.0.staged.borrow().get(&chunk).cloned();
        if chunk == 0 && self.0.troubled.get() && self.is_complete() {
            self.spoil();
        }
        Ok(data)
    }

    async fn stage(&self, _: &str, chunk: u32, data: Bytes) -> Result<(), HostError> {
        self.respond(self.0.stage_time.get()).await?;
        self.0.last_stage.set(self.0.clock.now());
        self.0.staged.borrow_mut().insert(chunk, data);
        if chunk == 0 {
            self.0.bad_since.set(None);
        }
        Ok(())
    }

    async fn load(&self, _: &str, version: WeightVersion) -> Result<LoadResponse, HostError> {
        self.respond(CALL_TIME).await?;
        let now = self.0.clock.now();
        let age = self.0.bad_since.get().map(|at| now - at);
        self.0.orders.borrow_mut().push(age);
        self.0.last_order.set(now);
        self.0.loaded.set(version.0);
        Ok(LoadResponse::Begun)
    }
}

/// Runs an agent beside an endpoint, names the new version, and waits until it is loaded or `time` has passed.
async fn roll_out(engine: &Engine, time: Millis) {
    roll_out_within(BOUND, engine, time).await;
}

async fn roll_out_within(bound: Millis, engine: &Engine, time: Millis) {
    let store = MemoryStore::default();
    start_agent(&store, engine.clone(), CHUNKS, bound).await;
    store.write(Topic::Operator, "m", &NEW.to_string());
    let loaded = async {
        while engine.0.loaded.get() != NEW {
            tokio::time::sleep(Millis(10).duration()).await;
        }
    };
    let _ = tokio::time::timeout(time.duration(), loaded).await;
}

/// Guards against a load of chunks that turned bad after their check, because the checks of others took seconds.
#[test]
fn silences_do_not_age_checks() {
    run_local(async {
        let engine = Engine::new(CALL_TIME, true);
        roll_out(&engine, Millis(15_000)).await;
        let orders = engine.0.orders.borrow().clone();
        println!("ages of corrupt chunks at the orders: {orders:?}");
        assert!(!engine.0.troubled.get(), "no chunk was corrupted");
        assert_eq!(engine.0.loaded.get(), NEW, "the version is not loaded");
        let old = |age: &Option<Millis>| age.is_some_and(|at| at >= CORRUPT_MAX);
        assert!(!orders.iter().any(old), "{orders:?}");
    });
}

/// Guards against an endpoint that loads chunks although the checks of all of them cannot be recent at once, and against
/// an agent that repeats such checks without a pause.
#[test]
fn slow_checks_give_no_order() {
    run_local(async {
        let engine = Engine::new(SLOW_READ, false);
        roll_out(&engine, OBSERVED).await;
        assert_eq!(engine.0.orders.borrow().len(), 0, "a load was ordered");
        let reads = engine.0.reads.borrow();
        // The first checks are over by then, and the agent no longer waits for its load start.
        let from = engine.0.clock.now() - CHECKED;
        let late: Vec<_> = reads.iter().filter(|at| **at > from).collect();
        let pause = late.windows(2).map(|w| *w[1] - *w[0]).max();
        println!("{} reads, longest pause {pause:?}", reads.len());
        assert!(pause >= Some(PAUSE_MIN), "the checks are repeated at once");
    });
}

/// Guards against a late host that begins to check its chunks when the last one has arrived: the checks took 0.45 s, while
/// no endpoint served.
#[test]
fn late_copy_is_checked_before_its_last_chunk() {
    run_local(async {
        let engine = Engine::new(Millis(20), false);
        engine.0.stage_time.set(Millis(60));
        // The load start has passed when the copy is complete.
        roll_out_within(Millis(2000), &engine, Millis(8000)).await;
        assert_eq!(engine.0.loaded.get(), NEW, "the version is not loaded");
        let (from, to) = (engine.0.last_stage.get(), engine.0.last_order.get());
        let reads = engine.0.reads.borrow();
        let reads = reads.iter().filter(|at| **at >= from && **at <= to).count();
        println!("{reads} reads in {} after the last chunk", to - from);
        assert!(reads > 0 && reads <= CHUNKS as usize / 2, "{reads} reads");
    });
}

/// Guards against additional reads of the endpoint where a copy is complete before the load start.
#[test]
fn early_copy_is_checked_once() {
    run_local(async {
        let engine = Engine::new(CALL_TIME, false);
        roll_out_within(Millis(6000), &engine, Millis(8000)).await;
        assert_eq!(engine.0.loaded.get(), NEW, "the version is not loaded");
        let (from, to) = (engine.0.last_stage.get(), engine.0.last_order.get());
        let reads = engine.0.reads.borrow();
        let reads = reads.iter().filter(|at| **at >= from && **at <= to).count();
        assert_eq!(reads, CHUNKS as usize);
    });
}
