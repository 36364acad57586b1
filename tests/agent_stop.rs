//! Planned stops of agents, by signals to the test's own process.

mod copy_support;
mod gateway_support;

use std::{
    cell::{Cell, RefCell},
    future::Future,
    process::Command,
    rc::Rc,
    sync::{Mutex, PoisonError},
};

use bytes::Bytes;
use copy_support::{content, report, settings, start_agent, MemoryOrigin, PORT};
use gateway_support::{addr, run_local, send_request, MemoryStore, TestDecode};
use sesamewing::{
    base::{HashMap, Millis},
    gateway::{Topic, WeightVersion},
    staging::{self, EndpointHost, HostError, HostReport, LoadResponse},
};
use tokio::task::{spawn_local, JoinHandle};

/// Age of a desired version from which it is enforced; its load starts at 42 % of that.
const BOUND: Millis = Millis(3000);

/// Longest time until a copy of one chunk is complete.
const COPY_MAX: Millis = Millis(1000);

/// A signal reaches all agents of the process, so that one test runs at a time.
static ONE_TEST: Mutex<()> = Mutex::new(());

/// Endpoint in memory with one chunk.
#[derive(Clone, Default)]
struct Engine(Rc<EngineState>);

#[derive(Default)]
struct EngineState {
    staged: RefCell<HashMap<u32, Bytes>>,
    loaded: Cell<u64>,
    /// Time that the next read of a chunk takes.
    read_time: Cell<Millis>,
}

impl EndpointHost for Engine {
    async fn report(&self) -> Result<HostReport, HostError> {
        Ok(report(self.0.loaded.get()))
    }

    async fn staged(&self, _: &str) -> Result<Vec<u32>, HostError> {
        Ok(self.0.staged.borrow().keys().copied().collect())
    }

    async fn read(&self, _: &str, chunk: u32) -> Result<Option<Bytes>, HostError> {
        tokio::time::sleep(self.0.read_time.take().duration()).await;
        Ok(self.0.staged.borrow().get(&chunk).cloned())
    }

    async fn stage(&self, _: &str, chunk: u32, data: Bytes) -> Result<(), HostError> {
        self.0.staged.borrow_mut().insert(chunk, data);
        Ok(())
    }

    async fn load(&self, _: &str, version: WeightVersion) -> Result<LoadResponse, HostError> {
        self.0.loaded.set(version.0);
        Ok(LoadResponse::Begun)
    }
}

/// Starts an agent on an endpoint that serves version 1, and makes version 2 desired; returns when the copy is complete,
/// before its load starts.
async fn copied(engine: &Engine) -> JoinHandle<eyre::Result<()>> {
    engine.0.loaded.set(1);
    let store = MemoryStore::default();
    let agent = start_agent(&store, engine.clone(), 1, BOUND).await;
    store.write(Topic::Operator, "m", "2");
    let copied = async {
        while engine.0.staged.borrow().get(&0) != Some(&content(2, 0)) {
            tokio::time::sleep(Millis(10).duration()).await;
        }
    };
    let copied = tokio::time::timeout(COPY_MAX.duration(), copied).await;
    copied.expect("the copy is complete");
    assert_eq!(engine.0.loaded.get(), 1, "the load has not started");
    agent
}

/// Requests the chunk as another agent, from an endpoint that takes some time to read it.
async fn upload(engine: &Engine, time: Millis) -> JoinHandle<String> {
    engine.0.read_time.set(time);
    let upload = spawn_local(async {
        let request = "GET /chunk/m/2/0 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
        send_request(addr(1, PORT), request, 5000).await
    });
    tokio::time::sleep(Millis(100).duration()).await;
    assert_eq!(
        engine.0.read_time.get(),
        Millis::ZERO,
        "the upload is in progress"
    );
    upload
}

/// Sends a signal to this process.
fn raise(signal: &str) {
    let pid = std::process::id().to_string();
    let status = Command::new("kill").args([signal, &pid]).status();
    assert!(status.is_ok_and(|s| s.success()), "the signal is sent");
}

/// Runs one test at a time.
fn run_alone(test: impl Future<Output = ()>) {
    let _one = ONE_TEST.lock().unwrap_or_else(PoisonError::into_inner);
    run_local(test);
}

/// Guards against an agent that orders a load while it stops: the endpoint takes no requests for the load, and no agent
/// is there that tells entries when it takes them again.
#[test]
fn no_load_is_ordered_after_the_signal() {
    run_alone(async {
        let engine = Engine::default();
        let agent = copied(&engine).await;
        let upload = upload(&engine, Millis(1300)).await;
        raise("-TERM");
        let ended = agent.await.expect("the agent ends");
        ended.expect("the agent ends without an error");
        assert_eq!(engine.0.loaded.get(), 1, "version 2 was ordered");
        let response = upload.await.expect("the upload ends");
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    });
}

/// Guards against an agent that ends before an upload for which its receiver still waits, also when it gets further
/// signals meanwhile.
#[test]
fn uploads_end_before_the_agent() {
    run_alone(async {
        let engine = Engine::default();
        let agent = copied(&engine).await;
        // Receivers wait for 2.5 s.
        let upload = upload(&engine, Millis(2300)).await;
        raise("-TERM");
        tokio::time::sleep(Millis(200).duration()).await;
        raise("-TERM");
        raise("-HUP");
        let ended = agent.await.expect("the agent ends");
        ended.expect("the agent ends without an error");
        // The response may be complete and not yet read.
        tokio::time::sleep(Millis(50).duration()).await;
        assert!(upload.is_finished(), "the agent ended before the upload");
        let response = upload.await.expect("the upload ends");
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    });
}

/// Guards against an agent that a SIGHUP ends because its handler is installed only after the sockets are bound.
#[test]
fn early_signals_do_not_kill() {
    run_alone(async {
        let _taken = tokio::net::TcpListener::bind(addr(1, PORT)).await;
        let run = staging::run::<_, TestDecode, _, _>(
            settings(1, BOUND),
            MemoryStore::default(),
            Engine::default(),
            MemoryOrigin(1),
        );
        assert!(run.await.is_err(), "the address is in use");
        raise("-HUP");
        tokio::time::sleep(Millis(50).duration()).await;
    });
}
