//! The claims stream after a reset and with its beginning gone, through the driver of an agent.

mod feed_support;

use std::sync::Arc;

use feed_support::log::MemLog;
use sesamewing::{
    agent::{Board, Claims, Driver, Identity},
    backing::Stream,
    base::{Attempt, Clock, Instance, Millis, Offset, RequestId, SystemClock},
    decide::claim::Verdict,
    endpoint::Plain,
    feed::Replica,
    kernel::Kernel,
    wire::{NotRun, RunOutcome, RunRequest},
};
use sesamewing_standin::{Endpoint, EndpointOptions, Kind, Server};

struct Agent {
    claims: Claims,
    clock: SystemClock,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for Agent {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Agent {
    fn start(log: &MemLog, service: &Server, instance: u64) -> Self {
        let clock = SystemClock::start();
        let identity = Identity {
            name: "a1".parse().expect("a name"),
            instance: Instance(instance),
            region: "east".parse().expect("a name"),
            service: "orders".parse().expect("a name"),
        };
        let replica = Arc::new(Replica::new(Kernel::new(Millis::from_secs(3600))));
        let board = Arc::new(Board::new(Arc::default(), false));
        let endpoint = Plain::new(&service.url()).expect("an endpoint");
        let (driver, claims) = Driver::new(identity, endpoint, log.clone(), clock, replica, board);
        Self {
            claims,
            clock,
            task: tokio::spawn(driver.run()),
        }
    }

    async fn submit(&self, id: RequestId) -> Verdict {
        let remaining = Millis(20_000);
        let req = RunRequest {
            id,
            service: "orders".parse().expect("a name"),
            workspace: "ws".parse().expect("a name"),
            method: "POST".to_owned(),
            path: "/new".to_owned(),
            media: "text/plain".to_owned(),
            body: "dig".into(),
            version: None,
            remaining,
            priority: 1,
            attempt: Some(Attempt(1)),
            resume: 0,
        };
        let deadline = self.clock.now() + remaining;
        self.claims.submit(req, Attempt(1), deadline, None).await
    }

    /// Submits until the answer is not that the log cannot be used, which it is at first.
    async fn settled(&self, id: RequestId) -> Verdict {
        let wait = async {
            loop {
                match self.submit(id).await {
                    v if v == refused(NotRun::Log) => {
                        tokio::time::sleep(Millis(10).duration()).await;
                    }
                    verdict => return verdict,
                }
            }
        };
        tokio::time::timeout(feed_support::PATIENCE, wait)
            .await
            .expect("a verdict")
    }
}

fn refused(reason: NotRun) -> Verdict {
    Verdict::Failed(RunOutcome::NotRun(reason))
}

async fn service() -> Server {
    let options = EndpointOptions {
        kind: Kind::Plain,
        ..EndpointOptions::default()
    };
    Endpoint::start(options).await.expect("it starts")
}

async fn runs(service: &Server) -> usize {
    let body = reqwest::get(format!("{}/runs", service.url()))
        .await
        .expect("an answer");
    let runs: serde_json::Value = body.json().await.expect("JSON");
    let runs = runs["runs"].as_object().expect("a map");
    runs.values()
        .map(|n| n.as_u64().expect("a number") as usize)
        .sum()
}

/// Waits until the stream has `n` records.
async fn records(log: &MemLog, n: usize) {
    feed_support::until("records", || log.all(Stream::Claims).len() >= n).await;
}

/// Guards against a second run by an agent that starts after the log dropped the claim.
#[tokio::test(flavor = "multi_thread")]
async fn dropped_claim_does_not_run_again() {
    let (log, service) = (MemLog::default(), service().await);
    let (lost, kept) = (RequestId::now(), RequestId::now());
    let first = Agent::start(&log, &service, 1);
    assert!(matches!(first.settled(lost).await, Verdict::Done { .. }));
    // A claim and its outcome.
    records(&log, 2).await;
    assert!(matches!(first.settled(kept).await, Verdict::Done { .. }));
    records(&log, 4).await;
    drop(first);
    log.truncate(Stream::Claims, 3);
    let second = Agent::start(&log, &service, 2);
    assert_eq!(second.settled(lost).await, refused(NotRun::Expired));
    assert_eq!(runs(&service).await, 2);
}

/// Guards against records that were dropped before a running agent read them.
#[tokio::test(flavor = "multi_thread")]
async fn gap_refuses_requests() {
    let (log, service) = (MemLog::default(), service().await);
    let agent = Agent::start(&log, &service, 1);
    assert!(matches!(
        agent.settled(RequestId::now()).await,
        Verdict::Done { .. }
    ));
    records(&log, 2).await;
    log.lose(Stream::Claims, 3);
    feed_support::until_async("refused", || async {
        agent.submit(RequestId::now()).await == refused(NotRun::Log)
    })
    .await;
    let before = runs(&service).await;
    assert_eq!(agent.submit(RequestId::now()).await, refused(NotRun::Log));
    assert_eq!(runs(&service).await, before);
}

/// Guards against claims read from a log that was reset and has grown since.
#[tokio::test(flavor = "multi_thread")]
async fn reset_stream_refuses_requests() {
    let (log, service) = (MemLog::default(), service().await);
    let agent = Agent::start(&log, &service, 1);
    assert!(matches!(
        agent.settled(RequestId::now()).await,
        Verdict::Done { .. }
    ));
    records(&log, 2).await;
    // The reset happens while the log is out of reach.
    log.set_down(true);
    feed_support::until_async("noticed", || async {
        agent.submit(RequestId::now()).await == refused(NotRun::Log)
    })
    .await;
    let saved = log.reset(Stream::Claims);
    for n in 0..10 {
        let body = feed_support::log::change(n, Offset(0), 1);
        let record = sesamewing::kernel::Record::new(body).encode();
        log.push(Stream::Claims, record.expect("a record"));
    }
    let reads = log.reads();
    log.set_down(false);
    feed_support::until("the reset log was read", || log.reads() > reads + 2).await;
    assert_eq!(agent.submit(RequestId::now()).await, refused(NotRun::Log));
    assert_eq!(runs(&service).await, 1);
    log.replace(Stream::Claims, saved);
    assert!(matches!(
        agent.settled(RequestId::now()).await,
        Verdict::Done { .. }
    ));
    assert_eq!(runs(&service).await, 2);
}
