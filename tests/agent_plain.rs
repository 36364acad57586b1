//! An agent before a plain service, over the network.

#[path = "common/agent/mod.rs"]
mod common;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use assert_matches::assert_matches;
use common::{
    daemon::{self, Client},
    http,
    platform::Platform,
    until, within,
};
use sesamewing::{
    agent,
    base::{Attempt, Millis, RequestId},
    process::{Context, EndpointKind, Phase},
    wire::{
        AgentReport, AgentState, Call, NotRun, Reply, RunOutcome, SettleReply, SettleRequest,
        WatchRequest, FRAME_MAX,
    },
};
use tokio::{net::TcpStream, sync::watch, task::JoinHandle};

/// A plain service that counts runs; `/cut` ends the connection, `/wait` answers when told.
#[derive(Clone)]
struct Plain {
    runs: Arc<Mutex<Vec<String>>>,
    open: Arc<watch::Sender<bool>>,
}

impl Plain {
    async fn serve(&self) -> SocketAddr {
        let this = self.clone();
        http::serve(move |req, stream| {
            let this = this.clone();
            async move { this.handle(req, stream).await }
        })
        .await
    }

    async fn handle(&self, req: http::Request, mut out: TcpStream) {
        let id = req.header("request-id").expect("an id").to_owned();
        self.runs.lock().unwrap().push(id.clone());
        match req.path.as_str() {
            "/cut" => {}
            "/invalid" => http::head(&mut out, 600, &[("Content-Length", "0")]).await,
            "/redirect" => {
                http::head(
                    &mut out,
                    307,
                    &[("Location", "/book"), ("Content-Length", "0")],
                )
                .await
            }
            "/wait" => {
                let _ = self.open.subscribe().wait_for(|o| *o).await;
                http::respond(&mut out, 200, id.as_bytes()).await;
            }
            _ => http::respond(&mut out, 201, id.as_bytes()).await,
        }
    }

    fn runs(&self) -> usize {
        self.runs.lock().unwrap().len()
    }
}

struct Rig {
    plain: Plain,
    ctx: Context,
    client: Client,
    agent: JoinHandle<eyre::Result<()>>,
    _dir: tempfile::TempDir,
}

impl Rig {
    async fn start() -> Self {
        let plain = Plain {
            runs: Arc::default(),
            open: Arc::new(watch::Sender::new(false)),
        };
        let dir = tempfile::tempdir().expect("a directory");
        let (platform, addr) = (Platform::default().serve().await, plain.serve().await);
        let tls = daemon::tls(&dir);
        let settings = daemon::settings("a1", EndpointKind::Plain, platform, addr, tls);
        let ctx = Context::start(settings).expect("a context");
        let agent = tokio::spawn(agent::run(ctx.clone()));
        let client = Client::new(&ctx);
        let rig = Self {
            plain,
            ctx,
            client,
            agent,
            _dir: dir,
        };
        within("readiness", async {
            while refused(&rig.client.run(&daemon::request(None, 0)).await) {}
        })
        .await;
        rig
    }
}

fn refused(replies: &[Reply]) -> bool {
    let last = replies.last();
    matches!(
        last,
        Some(Reply::Failed {
            outcome: RunOutcome::NotRun(_),
            ..
        })
    )
}

fn failed(replies: &[Reply]) -> &RunOutcome {
    match replies.last() {
        Some(Reply::Failed { outcome, .. }) => outcome,
        other => panic!("an answer ended with {other:?}"),
    }
}

/// Guards against a second run of a repeated, cut or redirected request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn claimed_request_runs_once() {
    let rig = Rig::start().await;
    let before = rig.plain.runs();
    let req = daemon::request(None, 0);
    let first = rig.client.run(&req).await;
    assert_matches!(
        &first[0],
        Reply::Head {
            status: 201,
            version: None,
            ..
        }
    );
    assert_eq!(daemon::text(&first), req.id.to_string());
    assert_eq!(rig.client.run(&req).await, first);
    let mut cut = daemon::request(None, 0);
    cut.path = "/cut".to_owned();
    for _ in 0..2 {
        assert_eq!(failed(&rig.client.run(&cut).await), &RunOutcome::MayHaveRun);
    }
    let mut invalid = daemon::request(None, 0);
    invalid.path = "/invalid".to_owned();
    assert_eq!(
        failed(&rig.client.run(&invalid).await),
        &RunOutcome::MayHaveRun
    );
    let mut redirect = daemon::request(None, 0);
    redirect.path = "/redirect".to_owned();
    assert_matches!(
        rig.client.run(&redirect).await[0],
        Reply::Head { status: 307, .. }
    );
    assert_eq!(rig.plain.runs(), before + 4);
}

/// Guards against a run of an attempt that was settled, and of a request that only an outdated entry takes as
/// repeatable.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn settled_and_unclaimed_requests_do_not_run() {
    let rig = Rig::start().await;
    let before = rig.plain.runs();
    let req = daemon::request(None, 0);
    let settle = SettleRequest {
        id: req.id,
        attempt: Attempt(1),
        remaining: Millis(10_000),
    };
    let mut call = rig.client.call(Call::Settle(settle)).await;
    let fate = call.rx.next(FRAME_MAX, Millis(30_000)).await;
    assert_eq!(fate, Ok(SettleReply::Void));
    let outcome = RunOutcome::NotRun(NotRun::Void);
    assert_eq!(failed(&rig.client.run(&req).await), &outcome);
    let mut unclaimed = daemon::request(None, 0);
    unclaimed.attempt = None;
    assert!(refused(&rig.client.run(&unclaimed).await));
    assert_eq!(rig.plain.runs(), before);
    unclaimed.method = "GET".to_owned();
    unclaimed.id = RequestId::now();
    assert_matches!(
        rig.client.run(&unclaimed).await.last(),
        Some(Reply::End { .. })
    );
}

/// Guards against a drain that cuts a claimed request, and against a late or missing leaving report.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drain_completes_claimed_requests_and_is_reported() {
    let mut rig = Rig::start().await;
    let before = rig.plain.runs();
    let interval = Millis(1000);
    let mut reports = rig
        .client
        .call(Call::Watch(WatchRequest { interval }))
        .await;
    let mut req = daemon::request(None, 0);
    req.path = "/wait".to_owned();
    let mut call = rig.client.call(Call::Run(req.clone())).await;
    until("the run", || rig.plain.runs() == before + 1).await;
    rig.ctx.advance(Phase::Draining);
    let leaving = async {
        let mut last = None;
        loop {
            let report: AgentReport = reports
                .rx
                .next(FRAME_MAX, Millis(30_000))
                .await
                .expect("a report");
            assert!(last < Some(report.sequence), "reports are in order");
            last = Some(report.sequence);
            if report.state == AgentState::Leaving {
                return report;
            }
        }
    };
    assert_eq!(within("the report", leaving).await.running, 1);
    assert!(!rig.agent.is_finished());
    rig.plain.open.send_replace(true);
    assert_eq!(
        daemon::text(&daemon::rest(&mut call).await),
        req.id.to_string()
    );
    within("the stop", &mut rig.agent)
        .await
        .expect("no panic")
        .expect("no error");
}
