//! Agents that copy, check and load weights, tested with endpoints and an origin in memory.

mod copy_support;
mod gateway_support;

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use copy_support::{
    catalog, content, manifest, report, settings, start_agent, start_assigner, Informed, CHUNK,
    PORT,
};
use gateway_support::{addr, run_local, set_catalog, MemoryStore, TestDecode};
use sesamewing::{
    base::{Digest, HashMap, Millis, Size},
    gateway::{Topic, WeightVersion},
    http::{get, Pool},
    staging::{self, EndpointHost, HostError, HostReport, LoadResponse, Manifest, Origin},
};

const CHUNKS: u32 = 24;

/// Endpoint in memory.
#[derive(Clone, Default)]
struct Engine(Rc<EngineState>);

#[derive(Default)]
struct EngineState {
    staged: RefCell<HashMap<u32, Bytes>>,
    loaded: Cell<u64>,
    /// Chunk whose content is corrupted once, when it is staged.
    corrupts: Cell<Option<u32>>,
    /// Whether the endpoint does not respond.
    down: Cell<bool>,
    /// Number of loads of incomplete, corrupt or mixed chunks.
    bad_loads: Cell<u32>,
    /// Time of a read of a chunk.
    read_time: Cell<Millis>,
}

impl Engine {
    fn check_up(&self) -> Result<(), HostError> {
        if self.0.down.get() {
            return Err(HostError::Lost("the endpoint is down".to_owned()));
        }
        Ok(())
    }
}

impl EndpointHost for Engine {
    async fn report(&self) -> Result<HostReport, HostError> {
        self.check_up()?;
        Ok(report(self.0.loaded.get()))
    }

    async fn staged(&self, _: &str) -> Result<Vec<u32>, HostError> {
        self.check_up()?;
        Ok(self.0.staged.borrow().keys().copied().collect())
    }

    async fn read(&self, _: &str, chunk: u32) -> Result<Option<Bytes>, HostError> {
        let time = self.0.read_time.get();
        if time > Millis::ZERO {
            tokio::time::sleep(time.duration()).await;
        }
        Ok(self.0.staged.borrow().get(&chunk).cloned())
    }

    async fn stage(&self, _: &str, chunk: u32, data: Bytes) -> Result<(), HostError> {
        self.check_up()?;
        let corrupts = self.0.corrupts.get() == Some(chunk);
        let data = if corrupts {
            self.0.corrupts.set(None);
            Bytes::from(vec![0; CHUNK])
        } else {
            data
        };
        self.0.staged.borrow_mut().insert(chunk, data);
        Ok(())
    }

    async fn load(&self, _: &str, version: WeightVersion) -> Result<LoadResponse, HostError> {
        self.check_up()?;
        let staged = self.0.staged.borrow();
        let good = (0..CHUNKS).all(|c| staged.get(&c) == Some(&content(version.0, c)));
        if !good {
            self.0.bad_loads.set(self.0.bad_loads.get() + 1);
        }
        self.0.loaded.set(version.0);
        Ok(LoadResponse::Begun)
    }
}

/// Origin in memory; counts what it sends and corrupts the first chunk.
#[derive(Clone, Default)]
struct MemoryOrigin(Rc<OriginState>);

#[derive(Default)]
struct OriginState {
    /// Number of chunks sent.
    chunks: Cell<u32>,
    /// Number of manifests sent in response to requests for a given version.
    manifests: Cell<u32>,
    /// Whether the next manifest that is requested by version has a wrong digest.
    wrong: Cell<bool>,
    /// Whether requests for chunks fail.
    gone: Cell<bool>,
    /// Version whose manifest is not available.
    hidden: Cell<u64>,
    /// What the next manifest that is requested by version is replaced by.
    odd: RefCell<Option<Manifest>>,
}

impl Origin for MemoryOrigin {
    async fn manifest(
        &self,
        _: SocketAddr,
        _: &str,
        version: Option<WeightVersion>,
    ) -> Result<Manifest, HostError> {
        let by_version = version.is_some();
        let version = version.unwrap_or(WeightVersion(1));
        let mut manifest = manifest(version, CHUNKS);
        if version.0 == self.0.hidden.get() {
            return Err(HostError::Lost("the origin is gone".to_owned()));
        }
        if by_version {
            self.0.manifests.set(self.0.manifests.get() + 1);
            if self.0.wrong.take() {
                manifest.digests[5] = Digest([0; 32]);
            }
            if let Some(odd) = self.0.odd.take() {
                return Ok(odd);
            }
        }
        Ok(manifest)
    }

    async fn chunk(
        &self,
        _: SocketAddr,
        _: &str,
        version: WeightVersion,
        chunk: u32,
        _: Size,
    ) -> Result<Bytes, HostError> {
        tokio::time::sleep(Millis(4).duration()).await;
        if self.0.gone.get() {
            return Err(HostError::Lost("the origin is gone".to_owned()));
        }
        let sent = self.0.chunks.get() + 1;
        self.0.chunks.set(sent);
        if sent == 1 {
            return Ok(Bytes::from(vec![0; CHUNK]));
        }
        Ok(content(version.0, chunk))
    }
}

/// Age of a desired version from which it is enforced.
const BOUND: Millis = Millis(2000);

/// Runs agents with their endpoints until `done`, at most 10 s. Each version becomes desired when the origin has sent
/// as many chunks as the versions before it have.
fn with_agents(
    engines: &[Engine],
    origin: &MemoryOrigin,
    versions: &[u64],
    done: impl Fn() -> bool,
) {
    with_bound(BOUND, engines, origin, versions, done);
}

fn with_bound(
    bound: Millis,
    engines: &[Engine],
    origin: &MemoryOrigin,
    versions: &[u64],
    done: impl Fn() -> bool,
) {
    run_local(async {
        set_catalog(catalog());
        let store = MemoryStore::default();
        store.write(Topic::Operator, "config", "1");
        for (i, engine) in engines.iter().enumerate() {
            let n = i as u8 + 1;
            let at = addr(n, 9000);
            let value = format!("llm {at} a m {}", engine.0.loaded.get());
            store.write(Topic::Endpoints, &format!("e{n}"), &value);
            let (engine, origin) = (engine.clone(), origin.clone());
            let run = staging::run::<_, TestDecode, _, _>(
                settings(n, bound),
                store.clone(),
                engine,
                origin,
            );
            tokio::task::spawn_local(run);
        }
        tokio::time::sleep(Millis(400).duration()).await;
        let mut waited = 0;
        for (i, version) in versions.iter().enumerate() {
            while origin.0.chunks.get() < CHUNKS * i as u32 && waited < 10_000 {
                tokio::time::sleep(Millis(20).duration()).await;
                waited += 20;
            }
            store.write(Topic::Operator, "m", &version.to_string());
        }
        while !done() && waited < 10_000 {
            tokio::time::sleep(Millis(20).duration()).await;
            waited += 20;
        }
    });
    assert!(done(), "not done within 10 s");
}

/// Guards against hosts that all copy from the origin, and against loading chunks whose digests were not checked.
#[test]
fn one_copy_serves_all_hosts() {
    let engines: Vec<Engine> = (0..5).map(|_| Engine::default()).collect();
    engines[2].0.corrupts.set(Some(3));
    let origin = MemoryOrigin::default();
    let loaded = || engines.iter().all(|e| e.0.loaded.get() == 1);
    with_agents(&engines, &origin, &[], loaded);
    assert!(engines.iter().all(|e| e.0.bad_loads.get() == 0));
    let sent = origin.0.chunks.get();
    assert!(sent <= CHUNKS * 3 / 2, "{sent} of {CHUNKS} chunks");
}

/// Guards against a host that never loads the newest version while several become desired in succession.
#[test]
fn newest_version_is_loaded() {
    let engines: Vec<Engine> = (0..3).map(|_| Engine::default()).collect();
    let origin = MemoryOrigin::default();
    let loaded = || engines.iter().all(|e| e.0.loaded.get() == 3);
    with_agents(&engines, &origin, &[2, 3], loaded);
    assert!(engines.iter().all(|e| e.0.bad_loads.get() == 0));
}

/// Guards against giving up a copy for a newer version whose manifest is not available because the origin is
/// unreachable.
#[test]
fn older_copy_continues_without_origin() {
    let engines: Vec<Engine> = (0..3).map(|_| Engine::default()).collect();
    engines.iter().for_each(|e| e.0.loaded.set(1));
    let origin = MemoryOrigin::default();
    // The newer version becomes desired after a quarter of the copy.
    origin.0.chunks.set(CHUNKS * 3 / 4);
    origin.0.hidden.set(3);
    let loaded = || engines.iter().all(|e| e.0.loaded.get() == 2);
    with_agents(&engines, &origin, &[2, 3], loaded);
    assert!(engines.iter().all(|e| e.0.bad_loads.get() == 0));
}

/// Guards against all hosts requesting the manifest from the origin at the same time.
#[test]
fn few_hosts_query_origin() {
    let engines: Vec<Engine> = (0..5).map(|_| Engine::default()).collect();
    let origin = MemoryOrigin::default();
    let loaded = || engines.iter().all(|e| e.0.loaded.get() == 2);
    with_agents(&engines, &origin, &[2], loaded);
    let manifests = origin.0.manifests.get();
    assert!(manifests <= 2, "{manifests} manifests");
}

/// Guards against hosts that wait without end for a chunk because its digest in the manifest was corrupted in transit.
#[test]
fn wrong_manifest_is_replaced() {
    let engines: Vec<Engine> = (0..3).map(|_| Engine::default()).collect();
    let origin = MemoryOrigin::default();
    origin.0.wrong.set(true);
    let loaded = || engines.iter().all(|e| e.0.loaded.get() == 2);
    with_agents(&engines, &origin, &[2], loaded);
    assert!(engines.iter().all(|e| e.0.bad_loads.get() == 0));
}

/// Guards against hosts that load another version, nothing, or never again copy in time, because a number of the manifest
/// was corrupted in transit.
#[test]
fn odd_manifest_is_not_used() {
    let good = manifest(WeightVersion(2), CHUNKS);
    let sized = |bytes| Manifest {
        chunk: Size(bytes),
        ..good.clone()
    };
    let odd = [
        sized(0),
        sized(u64::MAX),
        sized(1 << 40),
        Manifest {
            version: WeightVersion(7),
            ..good.clone()
        },
        Manifest {
            digests: Vec::new(),
            ..good.clone()
        },
    ];
    for odd in odd {
        let text = format!("{odd:?}").chars().take(60).collect::<String>();
        let engines: Vec<Engine> = (0..2).map(|_| Engine::default()).collect();
        engines.iter().for_each(|e| e.0.loaded.set(1));
        let origin = MemoryOrigin::default();
        *origin.0.odd.borrow_mut() = Some(odd);
        let loaded = || {
            assert!(engines.iter().all(|e| e.0.bad_loads.get() == 0), "{text}");
            engines.iter().all(|e| e.0.loaded.get() == 2)
        };
        with_agents(&engines, &origin, &[2], loaded);
    }
}

/// Guards against a host that starts to copy only when its endpoint responds, which may be a second after the agent
/// starts.
#[test]
fn copy_begins_before_endpoint_responds() {
    let engines: Vec<Engine> = (0..3).map(|_| Engine::default()).collect();
    let origin = MemoryOrigin::default();
    engines[1].0.down.set(true);
    let polls = Cell::new(0);
    let done = || {
        let others = engines[0].0.loaded.get() == 2 && engines[2].0.loaded.get() == 2;
        polls.set(polls.get() + u32::from(others));
        if polls.get() == 25 {
            // When the endpoint starts to respond, no chunk can be fetched from any source.
            origin.0.gone.set(true);
            engines[0].0.down.set(true);
            engines[2].0.down.set(true);
            engines[1].0.down.set(false);
        }
        engines.iter().all(|e| e.0.loaded.get() == 2)
    };
    with_agents(&engines, &origin, &[2], done);
    assert!(engines.iter().all(|e| e.0.bad_loads.get() == 0));
}

/// Guards against a restarted agent that treats a version that became desired long ago as new and schedules another load
/// start, although the host's load start has passed, while its endpoint gets no requests.
#[test]
fn version_desired_before_start_loads_at_once() {
    let engines: Vec<Engine> = (0..3).map(|_| Engine::default()).collect();
    engines.iter().for_each(|e| e.0.loaded.set(1));
    let origin = MemoryOrigin::default();
    let loaded = || engines.iter().all(|e| e.0.loaded.get() == 2);
    // The first scheduled load start would come after the end of the test.
    with_bound(Millis(40_000), &engines, &origin, &[2], loaded);
}

/// Guards against agents of other regions that ask again and again for a chunk that no host holds yet, and against a
/// request of another build, which does not ask to wait, that is not rejected at once.
#[test]
fn chunk_is_awaited_for_other_regions() {
    run_local(async {
        let store = MemoryStore::default();
        let engine = Engine::default();
        engine.0.loaded.set(1);
        let agent = start_agent(&store, engine, CHUNKS, Millis(40_000)).await;
        let clock = Instant::now();
        let request = |path: &'static str| async move {
            let pool = Pool::default();
            let peer = addr(1, PORT);
            let res = get(&pool, peer, path, Millis::ZERO, Millis(2000)).await;
            (res.expect("a response").status().as_u16(), clock.elapsed())
        };
        let (status, elapsed) = request("/chunk/m/2/0").await;
        assert_eq!(status, 404);
        assert!(elapsed < Duration::from_millis(300), "{elapsed:?}");
        let (status, _) = request("/chunk/m/2/0/wait").await;
        assert_eq!(status, 404, "the chunk does not come");
        let mut awaited = Box::pin(request("/chunk/m/2/0/wait"));
        let early = tokio::time::timeout(Duration::from_millis(50), &mut awaited).await;
        assert!(
            early.is_err(),
            "the request is answered before the chunk is held"
        );
        store.write(Topic::Operator, "m", "2");
        let mut status = awaited.await.0;
        for _ in 0..3 {
            // On a busy machine the copy begins after the first wait.
            if status == 404 {
                status = request("/chunk/m/2/0/wait").await.0;
            }
        }
        assert_eq!(status, 200);
        agent.abort();
    });
}

/// Time of a read of a staged chunk in the tests of an agent's start: with 8 reads at once, all take 0.45 s.
const READ_TIME: Millis = Millis(150);

/// Runs an agent whose endpoint has loaded version 1 and staged version 2, which the second of two entries assigns `informed`
/// after the start; calls `change` 1 s before. Returns when the load was ordered after the start.
async fn order_time(
    engine: &Engine,
    origin: &MemoryOrigin,
    first: Option<Informed>,
    informed: Millis,
    change: impl FnOnce(),
) -> Duration {
    engine.0.loaded.set(1);
    engine.0.read_time.set(READ_TIME);
    let staged = (0..CHUNKS).map(|c| (c, content(2, c)));
    engine.0.staged.borrow_mut().extend(staged);
    let store = MemoryStore::default();
    let start = tokio::time::Instant::now();
    let at = start + informed.duration();
    start_assigner(&store, 2, "a", 2, first.unwrap_or(Informed::At(at))).await;
    start_assigner(&store, 3, "b", 2, Informed::At(at)).await;
    tokio::task::spawn_local(staging::run::<_, TestDecode, _, _>(
        settings(1, BOUND),
        store,
        engine.clone(),
        origin.clone(),
    ));
    tokio::time::sleep((informed - Millis(1000)).duration()).await;
    change();
    while engine.0.loaded.get() != 2 && start.elapsed() < Duration::from_secs(10) {
        tokio::time::sleep(Millis(5).duration()).await;
    }
    assert_eq!(engine.0.loaded.get(), 2, "the version is not loaded");
    assert_eq!(engine.0.bad_loads.get(), 0);
    start.elapsed()
}

/// Guards against an agent that reads and checks what is staged only when it has its assignment: no endpoint served for
/// 0.45 s after a kill of all processes.
#[test]
fn staged_chunks_are_read_ahead() {
    for informed in [700, 1600, 2200].map(Millis) {
        run_local(async {
            let engine = Engine::default();
            let origin = MemoryOrigin::default();
            let time = order_time(&engine, &origin, None, informed, || ()).await;
            println!("assignment after {informed}, order after {time:?}");
            assert_eq!(origin.0.chunks.get(), 0);
            let late = time.saturating_sub(informed.duration());
            assert!(late < Duration::from_millis(300), "{late:?} later");
        });
    }
}

/// Guards against a load of chunks that were read too long before the order, and of chunks of other versions.
#[test]
fn old_reads_do_not_count() {
    run_local(async {
        let engine = Engine::default();
        let origin = MemoryOrigin::default();
        let state = engine.0.clone();
        // The reads end 3 s after the start.
        order_time(&engine, &origin, None, Millis(5500), || {
            let mut staged = state.staged.borrow_mut();
            staged.insert(3, Bytes::from(vec![0; CHUNK]));
            staged.insert(7, content(1, 7));
            staged.remove(&9);
        })
        .await;
        // The origin corrupts the first chunk that it sends.
        assert_eq!(origin.0.chunks.get(), 4);
    });
}

/// Guards against an agent that waits for an entry which does not respond, because the second one had no assignment yet when
/// it was asked: all entries have just started after a kill of all processes.
#[test]
fn uninformed_entry_is_asked_again() {
    run_local(async {
        let engine = Engine::default();
        let origin = MemoryOrigin::default();
        let informed = Millis(700);
        let first = Some(Informed::Silent);
        let time = order_time(&engine, &origin, first, informed, || ()).await;
        println!("assignment after {informed}, order after {time:?}");
        assert!(time < Duration::from_millis(1300), "{time:?}");
    });
}
