//! Claim drivers of several agents before one plain service.

#[path = "common/agent/mod.rs"]
mod common;

use std::sync::Arc;

use assert_matches::assert_matches;
use common::{
    daemon,
    fake::{Fake, Mode},
    log::{Fault, MemLog},
    until, within,
};
use sesamewing::{
    agent::{Board, Claims, Driver, Identity},
    backing::Stream,
    base::{Attempt, Clock, Instance, Millis, SystemClock},
    decide::claim::Verdict,
    feed::Replica,
    kernel::{Body, Kernel},
    process::CLAIM_WINDOW,
    wire::{NotRun, RunOutcome, RunRequest, SettleReply},
};

struct Agent {
    claims: Claims,
    clock: SystemClock,
    task: tokio::task::JoinHandle<()>,
}

impl Agent {
    fn start(n: u64, log: &MemLog, endpoint: &Fake) -> Self {
        let identity = Identity {
            name: format!("agent-{n}").parse().expect("a name"),
            instance: Instance(n),
            region: "east".parse().expect("a name"),
            service: "drafts".parse().expect("a name"),
        };
        let clock = SystemClock::start();
        let replica = Arc::new(Replica::new(Kernel::new(CLAIM_WINDOW)));
        let board = Arc::new(Board::new(Arc::default(), false));
        let (driver, claims) = Driver::new(
            identity,
            endpoint.clone(),
            log.clone(),
            clock,
            replica,
            board,
        );
        let task = tokio::spawn(driver.run());
        Self {
            claims,
            clock,
            task,
        }
    }

    async fn submit(&self, req: &RunRequest, attempt: u32) -> Verdict {
        let deadline = self.clock.now() + req.remaining;
        let verdict = self
            .claims
            .submit(req.clone(), Attempt(attempt), deadline, None);
        within("a verdict", verdict).await
    }

    /// Submits until the agent has read the stream to its end.
    async fn run(&self, req: &RunRequest, attempt: u32) -> Verdict {
        loop {
            let verdict = self.submit(req, attempt).await;
            if verdict != not_run(NotRun::Log) {
                return verdict;
            }
            tokio::time::sleep(Millis(5).duration()).await;
        }
    }

    async fn settle(&self, req: &RunRequest, attempt: u32) -> SettleReply {
        let deadline = self.clock.now() + req.remaining;
        let fate = self.claims.settle(req.id, Attempt(attempt), deadline);
        within("a fate", fate).await
    }
}

fn not_run(reason: NotRun) -> Verdict {
    Verdict::Failed(RunOutcome::NotRun(reason))
}

/// Returns whether the last record of the claims stream is of a kind.
fn last(log: &MemLog, kind: impl Fn(&Body) -> bool) -> bool {
    log.bodies(Stream::Claims).last().is_some_and(kind)
}

fn is_done(v: &Verdict, req: &RunRequest) -> bool {
    matches!(v, Verdict::Done { status: 200, body, .. } if *body == req.id.to_string())
}

/// Guards against two runs of one request that reached two agents at the same time.
#[tokio::test]
async fn two_agents_run_an_attempt_once() {
    let (log, endpoint) = (MemLog::default(), Fake::default());
    let (a, b) = (
        Agent::start(1, &log, &endpoint),
        Agent::start(2, &log, &endpoint),
    );
    a.run(&daemon::request(None, 0), 1).await;
    b.run(&daemon::request(None, 0), 1).await;
    for n in 3..23 {
        let req = daemon::request(None, 0);
        let (x, y) = tokio::join!(a.submit(&req, 1), b.submit(&req, 1));
        assert_eq!(endpoint.runs(), n);
        assert!(is_done(&x, &req) || is_done(&y, &req), "{x:?} {y:?}");
        for v in [x, y] {
            let other = matches!(v, Verdict::Failed(RunOutcome::InProgress { .. }));
            assert!(is_done(&v, &req) || other, "{v:?}");
        }
    }
}

/// Guards against a run after an append whose answer was lost, and against a request that can never run afterwards.
#[tokio::test]
async fn lost_append_answer_is_not_run() {
    for fault in [Fault::LoseAnswer, Fault::LoseRecord, Fault::Late] {
        let (log, endpoint) = (MemLog::default(), Fake::default());
        let (a, b) = (
            Agent::start(1, &log, &endpoint),
            Agent::start(2, &log, &endpoint),
        );
        a.run(&daemon::request(None, 0), 1).await;
        // The fault is for the claim, not for the outcome of the first request.
        until("the outcome", || last(&log, |b| matches!(b, Body::Done(_)))).await;
        let req = daemon::request(None, 0);
        log.fail_next(fault);
        let verdict = a.submit(&req, 1).await;
        // An appended claim may be read back before the loss of the answer is known; then it runs.
        if verdict != not_run(NotRun::Log) {
            assert_eq!(fault, Fault::LoseAnswer);
            assert!(is_done(&verdict, &req));
            continue;
        }
        until("the void", || last(&log, |b| matches!(b, Body::Voids(_)))).await;
        log.deliver();
        assert!(is_done(&b.run(&req, 2).await, &req));
        assert_eq!(endpoint.runs(), 2, "{fault:?}");
    }
}

/// Guards against requests that wait for a log that is down, and against a run without a claim.
#[tokio::test]
async fn log_outage_refuses_at_once() {
    let (log, endpoint) = (MemLog::default(), Fake::default());
    let a = Agent::start(1, &log, &endpoint);
    a.run(&daemon::request(None, 0), 1).await;
    log.set_down(true);
    let req = daemon::request(None, 0);
    assert_eq!(a.submit(&req, 1).await, not_run(NotRun::Log));
    assert_eq!(a.settle(&req, 1).await, SettleReply::Unknown);
    log.set_down(false);
    assert!(is_done(&a.run(&req, 1).await, &req));
    assert_eq!(endpoint.runs(), 2);
}

/// Guards against "not run" for a request that was sent, and "may have run" for one that was not.
#[tokio::test]
async fn unsent_and_unanswered_are_told_apart() {
    let (log, endpoint) = (MemLog::default(), Fake::default());
    let (a, b) = (
        Agent::start(1, &log, &endpoint),
        Agent::start(2, &log, &endpoint),
    );
    let req = daemon::request(None, 0);
    endpoint.set(Mode::Unreachable);
    assert_eq!(a.run(&req, 1).await, not_run(NotRun::Endpoint));
    assert_eq!(endpoint.runs(), 0);
    endpoint.set(Mode::Answer);
    assert!(is_done(&b.run(&req, 2).await, &req));
    for mode in [Mode::Lose, Mode::Crossed] {
        let req = daemon::request(None, 0);
        endpoint.set(mode);
        let unknown = Verdict::Failed(RunOutcome::MayHaveRun);
        assert_eq!(a.submit(&req, 1).await, unknown);
        endpoint.set(Mode::Answer);
        assert_eq!(a.submit(&req, 1).await, unknown);
        assert_matches!(b.settle(&req, 1).await, SettleReply::Claimed { .. });
    }
    assert_eq!(endpoint.runs(), 3);
}

/// Guards against a second run when the caller repeats a request whose agent was lost or answered.
#[tokio::test]
async fn repeats_and_settlements_see_the_first_run() {
    let (log, endpoint) = (MemLog::default(), Fake::default());
    let (a, b) = (
        Agent::start(1, &log, &endpoint),
        Agent::start(2, &log, &endpoint),
    );
    let req = daemon::request(None, 0);
    endpoint.open.send_replace(false);
    let (first, repeat, _) = tokio::join!(a.run(&req, 1), a.run(&req, 1), async {
        until("the run", || endpoint.runs() == 1).await;
        assert_matches!(b.settle(&req, 1).await, SettleReply::Claimed { .. });
        endpoint.open.send_replace(true);
    });
    assert!(is_done(&first, &req) && is_done(&repeat, &req));
    until("the outcome", || last(&log, |b| matches!(b, Body::Done(_)))).await;
    a.task.abort();
    // Another agent has the outcome from the log once it has read it.
    let repeated = async {
        loop {
            let verdict = b.run(&req, 1).await;
            if is_done(&verdict, &req) {
                return;
            }
            assert_matches!(verdict, Verdict::Failed(RunOutcome::InProgress { .. }));
        }
    };
    within("the outcome", repeated).await;
    assert_eq!(endpoint.runs(), 1);
}

/// Guards against a claim of an attempt that was settled as void.
#[tokio::test]
async fn settled_attempt_never_runs() {
    let (log, endpoint) = (MemLog::default(), Fake::default());
    let (a, b) = (
        Agent::start(1, &log, &endpoint),
        Agent::start(2, &log, &endpoint),
    );
    a.run(&daemon::request(None, 0), 1).await;
    b.run(&daemon::request(None, 0), 1).await;
    let req = daemon::request(None, 0);
    assert_eq!(b.settle(&req, 1).await, SettleReply::Void);
    assert_eq!(a.submit(&req, 1).await, not_run(NotRun::Void));
    assert!(is_done(&a.submit(&req, 2).await, &req));
    assert_eq!(endpoint.runs(), 3);
}
