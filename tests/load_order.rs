//! Load commands under the lease, the clock check and the guard address.

#[path = "common/agent/mod.rs"]
mod common;

use std::{
    net::{SocketAddr, TcpListener},
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc, Mutex,
    },
};

use bytes::Bytes;
use common::{fake::Fake, log::MemLog, platform::Platform, until};
use sesamewing::{
    agent::{Board, Lessee, Loader},
    backing::{Log, Page, PlatformError, Stream},
    base::{Clock, Digest, Instance, Millis, Offset},
    decide::lease::{LeaseHolder, EXPIRY_MARGIN, LEASE_TERM},
    feed::Replica,
    kernel::{Body, Kernel, LeaseOp, Record},
    observe::{RoleStatus, Timeline},
    process::Fencing,
    weights::{Complete, Source, WeightsError},
};

/// A manual clock that can jump at one of its readings, as if the process was frozen just before.
#[derive(Clone, Debug, Default)]
struct JumpClock {
    now: Arc<AtomicU64>,
    reads: Arc<AtomicU64>,
    /// Reading at which the clock jumps by a term; 0 for never.
    jump: u64,
}

impl JumpClock {
    fn peek(&self) -> Millis {
        Millis(self.now.load(Ordering::SeqCst))
    }
}

impl Clock for JumpClock {
    fn now(&self) -> Millis {
        if self.reads.fetch_add(1, Ordering::SeqCst) + 1 == self.jump {
            self.now.fetch_add(LEASE_TERM.0, Ordering::SeqCst);
        }
        self.peek()
    }
}

/// Notes the time of the last lease operation that was sent.
#[derive(Clone, Debug)]
struct TimedLog {
    log: MemLog,
    clock: JumpClock,
    sent: Arc<Mutex<Millis>>,
}

impl Log for TimedLog {
    async fn append(&self, stream: Stream, data: Bytes) -> Result<Offset, PlatformError> {
        let record = Record::decode(&data).expect("an own record");
        if let Body::Lease(LeaseOp::Acquire { .. } | LeaseOp::Renew { .. }) = record.body {
            *self.sent.lock().unwrap() = self.clock.peek();
        }
        self.log.append(stream, data).await
    }

    async fn read(
        &self,
        stream: Stream,
        from: Offset,
        max: usize,
        wait: Millis,
    ) -> Result<Page, PlatformError> {
        self.log.read(stream, from, max, wait).await
    }
}

/// A source that has every version.
struct Anything;

impl Source for Anything {
    type Error = WeightsError;

    async fn ensure(&self, _: Digest) -> Result<Complete, WeightsError> {
        Ok(Complete {
            version: "v1".parse().expect("a name"),
            whole: Digest::of(b"w"),
            chunks: vec![Bytes::from_static(b"w")],
        })
    }

    fn retain(&self, _: &[Digest]) {}

    fn progress(&self) -> Option<(u32, u32)> {
        None
    }
}

struct Rig {
    platform: Platform,
    endpoint: Fake,
    status: Arc<arc_swap::ArcSwap<RoleStatus>>,
    clock: JumpClock,
    /// When the last acquisition or renewal was sent.
    sent: Arc<Mutex<Millis>>,
    /// Dropped with the rig.
    _tasks: tokio::task::JoinSet<()>,
}

impl Rig {
    /// Starts a loader whose settings name `v1`.
    fn start(platform: Platform, jump: u64, guard: Option<SocketAddr>) -> Self {
        let manifest = Digest::of(b"m").to_string();
        let values = [("weights.version", "v1"), ("weights.manifest", &manifest)];
        platform.publish("/east/drafts", Offset(0), &values);
        let clock = JumpClock {
            jump,
            ..JumpClock::default()
        };
        let log = TimedLog {
            log: platform.log.clone(),
            clock: clock.clone(),
            sent: Arc::default(),
        };
        let (endpoint, sent) = (Fake::default(), log.sent.clone());
        endpoint.state.lock().unwrap().time = clock.now.clone();
        let replica = Arc::new(Replica::new(Kernel::new(Millis(1000))));
        let status = Arc::new(arc_swap::ArcSwap::default());
        let board = Arc::new(Board::new(status.clone(), true));
        board.set_endpoint(Some(Default::default()));
        let name: sesamewing::base::ProcessName = "a1".parse().expect("a name");
        let holder = LeaseHolder::new("endpoint/a1".to_owned(), name.clone(), Instance(1));
        let loader = Loader {
            endpoint: endpoint.clone(),
            source: Anything,
            lessee: Lessee::new(log, clock.clone(), replica.clone(), board.clone(), holder),
            replica: replica.clone(),
            board,
            timeline: Timeline::new(name),
            region: "east".parse().expect("a name"),
            service: "drafts".parse().expect("a name"),
            guard,
            fencing: Fencing::Unchecked,
            burst: Default::default(),
        };
        let mut tasks = tokio::task::JoinSet::new();
        tasks.spawn(loader.run());
        let reader = platform.log.clone();
        tasks.spawn(async move {
            loop {
                let from = replica.applied().next();
                let page = reader.read(Stream::Control, from, 100, Millis(1000)).await;
                for entry in page.expect("a log that is up").records {
                    replica.apply(&entry).expect("the next entry");
                }
            }
        });
        Self {
            platform,
            endpoint,
            status,
            clock,
            sent,
            _tasks: tasks,
        }
    }

    fn loads(&self) -> usize {
        self.endpoint.state.lock().unwrap().loads.len()
    }

    async fn alarm(&self, name: &str) {
        until(name, || {
            let alarms = &self.status.load().alarms;
            alarms.iter().any(|a| a.contains(name))
        })
        .await;
    }
}

/// Guards against a command after the term, wherever between acquisition and command the process was frozen.
#[tokio::test]
async fn frozen_holder_renews_before_the_command() {
    for jump in 1..12 {
        let rig = Rig::start(Platform::default(), jump, None);
        until("the load", || rig.loads() == 1).await;
        let at = Millis(rig.endpoint.state.lock().unwrap().loads[0].2);
        let held = at - *rig.sent.lock().unwrap();
        assert!(
            held < LEASE_TERM,
            "jump at reading {jump}: {held} after the append was sent"
        );
    }
}

/// Guards against commands while an earlier run of the agent may still hold the lease.
#[tokio::test]
async fn lease_of_a_predecessor_is_waited_out() {
    let platform = Platform::default();
    platform.log.put(
        Stream::Control,
        Body::Lease(LeaseOp::Acquire {
            resource: "endpoint/a1".to_owned(),
            holder: "a1".parse().expect("a name"),
            instance: Instance(99),
            term: LEASE_TERM,
        }),
    );
    let rig = Rig::start(platform, 0, None);
    rig.alarm("lease-wait").await;
    rig.clock
        .now
        .store((LEASE_TERM + EXPIRY_MARGIN).0 - 1, Ordering::SeqCst);
    let reads = rig.clock.reads.load(Ordering::SeqCst);
    until("further looks", || {
        rig.clock.reads.load(Ordering::SeqCst) > reads + 4
    })
    .await;
    assert_eq!(rig.loads(), 0);
    rig.clock
        .now
        .store((LEASE_TERM + EXPIRY_MARGIN).0 + 1, Ordering::SeqCst);
    until("the load", || rig.loads() == 1).await;
    let fence = rig.endpoint.state.lock().unwrap().loads[0].1;
    assert!(fence.0 > 1, "the token grows");
}

/// Guards against two agents of one host that command the endpoint at once.
#[tokio::test]
async fn taken_guard_address_holds_back_commands() {
    let other = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = other.local_addr().expect("a bound address");
    let rig = Rig::start(Platform::default(), 0, Some(addr));
    rig.alarm("guard-taken").await;
    assert_eq!(rig.loads(), 0);
    assert!(!rig
        .platform
        .log
        .bodies(Stream::Control)
        .iter()
        .any(|b| matches!(b, Body::Lease(_))));
    drop(other);
    until("the load", || rig.loads() == 1).await;
    assert!(
        TcpListener::bind(addr).is_err(),
        "the agent holds the address"
    );
}
