//! Orders to load weights that lie in the socket of a silent endpoint.

mod copy_support;
mod gateway_support;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use bytes::Bytes;
use copy_support::{report, start_agent};
use gateway_support::{run_local, MemoryStore};
use sesamewing::{
    base::{Clock, Millis, SystemClock},
    gateway::{Topic, WeightVersion},
    staging::{EndpointHost, HostError, HostReport, LoadResponse},
};
use tokio::task::spawn_local;

/// Time after which a desired version is enforced; its load starts at 42 % of that.
const BOUND: Millis = Millis(4000);

/// Longest time until the endpoint has loaded what it was ordered to load.
const LOADED_MAX: Millis = Millis(8000);

/// Silence of the endpoint, which begins as an order reaches its socket.
const SILENCE: Millis = Millis(1950);

/// Longest time that the agent waits for a response of the endpoint.
const TIMEOUT: Millis = Millis(1500);

/// Time after the silence at which the endpoint reads the order, after what other connections brought.
const ORDER_READ: Millis = Millis(15);

/// Time of a call to the endpoint while it is not silent.
const CALL_TIME: Millis = Millis(10);

/// Time after the load of the last version in which no further order may come.
const SETTLED: Millis = Millis(500);

/// Endpoint in memory with one chunk, which is silent once, as the order to load a version arrives.
#[derive(Clone)]
struct Engine(Rc<EngineState>);

struct EngineState {
    clock: SystemClock,
    store: MemoryStore,
    staged: RefCell<Option<Bytes>>,
    loaded: Cell<u64>,
    /// End of the silence.
    silent_until: Cell<Millis>,
    /// Whether there was a silence.
    was_silent: Cell<bool>,
    /// Versions ordered, each with the version of the chunk that was staged as the order was accepted.
    orders: RefCell<Vec<(u64, u64)>>,
}

impl EngineState {
    /// Runs what a call asks for once the endpoint reads it, whether the caller still waits or not.
    async fn call<T: 'static>(
        self: &Rc<Self>,
        delay: Millis,
        work: impl FnOnce(&Self) -> T + 'static,
    ) -> Result<T, HostError> {
        let state = self.clone();
        let run = spawn_local(async move {
            let left = state.silent_until.get() - state.clock.now();
            let time = if left > Millis::ZERO {
                left + delay
            } else {
                CALL_TIME
            };
            tokio::time::sleep(time.duration()).await;
            work(&state)
        });
        let lost = |_| HostError::Lost("no response".to_owned());
        let response = tokio::time::timeout(TIMEOUT.duration(), run).await;
        Ok(response.map_err(lost)?.expect("the call runs"))
    }

    /// Accepts an order, unless a newer version is loaded.
    fn accept(&self, version: u64) -> LoadResponse {
        if version < self.loaded.get() {
            return LoadResponse::Conflict;
        }
        let staged = self.staged.borrow().as_ref().map_or(0, |d| d[0]);
        self.orders.borrow_mut().push((version, staged.into()));
        self.loaded.set(version);
        LoadResponse::Begun
    }
}

impl EndpointHost for Engine {
    async fn report(&self) -> Result<HostReport, HostError> {
        let report = |state: &EngineState| report(state.loaded.get());
        self.0.call(Millis::ZERO, report).await
    }

    async fn staged(&self, _: &str) -> Result<Vec<u32>, HostError> {
        let list = |state: &EngineState| state.staged.borrow().iter().map(|_| 0).collect();
        self.0.call(Millis::ZERO, list).await
    }

    async fn read(&self, _: &str, _: u32) -> Result<Option<Bytes>, HostError> {
        let read = |state: &EngineState| state.staged.borrow().clone();
        self.0.call(Millis::ZERO, read).await
    }

    async fn stage(&self, _: &str, _: u32, data: Bytes) -> Result<(), HostError> {
        let put = |state: &EngineState| {
            state.staged.replace(Some(data));
        };
        self.0.call(Millis::ZERO, put).await
    }

    async fn load(&self, _: &str, version: WeightVersion) -> Result<LoadResponse, HostError> {
        if !self.0.was_silent.replace(true) {
            self.0.silent_until.set(self.0.clock.now() + SILENCE);
            self.0.store.write(Topic::Operator, "m", "3");
        }
        let accept = move |state: &EngineState| state.accept(version.0);
        self.0.call(ORDER_READ, accept).await
    }
}

/// Guards against an endpoint that loads chunks of another version than the ordered one: the order lay unread in its
/// socket, and the agent took it for not sent and staged a newer version.
#[test]
fn staged_chunks_stay_while_an_order_is_unread() {
    run_local(async {
        let store = MemoryStore::default();
        let engine = Engine(Rc::new(EngineState {
            clock: SystemClock::start_late(),
            store: store.clone(),
            staged: RefCell::default(),
            loaded: Cell::new(1),
            silent_until: Cell::default(),
            was_silent: Cell::default(),
            orders: RefCell::default(),
        }));
        start_agent(&store, engine.clone(), 1, BOUND).await;
        store.write(Topic::Operator, "m", "2");
        let loaded = async {
            while engine.0.loaded.get() < 3 {
                tokio::time::sleep(Millis(10).duration()).await;
            }
        };
        let loaded = tokio::time::timeout(LOADED_MAX.duration(), loaded).await;
        tokio::time::sleep(SETTLED.duration()).await;
        let orders = engine.0.orders.borrow().clone();
        println!("(ordered, staged): {orders:?}");
        assert!(loaded.is_ok(), "version 3 is not loaded");
        assert!(
            orders.iter().all(|(ordered, staged)| ordered == staged),
            "(ordered, staged): {orders:?}"
        );
    });
}
