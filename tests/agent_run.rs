//! An agent before a model engine: weights, requests, drain.

#[path = "common/agent/mod.rs"]
mod common;

use assert_matches::assert_matches;
use common::{
    daemon::{self, Client},
    engine::Engine,
    platform::Platform,
    until, within,
};
use sesamewing::{
    agent,
    backing::Stream,
    base::{Digest, Offset},
    kernel::{Body, LeaseOp},
    process::{Context, EndpointKind, Phase},
    wire::{NotRun, Reply, RunOutcome},
};
use tokio::task::JoinHandle;

struct Rig {
    platform: Platform,
    engine: Engine,
    ctx: Context,
    client: Client,
    agent: JoinHandle<eyre::Result<()>>,
    /// Offset of the last settings change.
    revision: Offset,
    _dir: tempfile::TempDir,
}

impl Rig {
    /// Starts an agent and waits until its engine has version `v1`.
    async fn start() -> Self {
        let (platform, engine) = (Platform::default(), Engine::default());
        let manifest = platform.store("v1", &[7; 4321]);
        let revision = platform.publish("/east/drafts", Offset(0), &version("v1", manifest));
        let dir = tempfile::tempdir().expect("a directory");
        let (platform_at, engine_at) = (platform.serve().await, engine.serve().await);
        let tls = daemon::tls(&dir);
        let kind = EndpointKind::Engine;
        let settings = daemon::settings("a1", kind, platform_at, engine_at, tls);
        let ctx = Context::start(settings).expect("a context");
        let agent = tokio::spawn(agent::run(ctx.clone()));
        let client = Client::new(&ctx);
        let rig = Self {
            platform,
            engine,
            ctx,
            client,
            agent,
            revision,
            _dir: dir,
        };
        rig.wait_version("v1").await;
        rig
    }

    async fn wait_version(&self, name: &str) {
        until("the load", || {
            let status = self.ctx.status.load();
            status.version.as_ref().is_some_and(|v| v.as_str() == name)
        })
        .await;
    }
}

fn version(name: &'static str, manifest: Digest) -> [(&'static str, &'static str); 2] {
    let manifest: &'static str = manifest.to_string().leak();
    [("weights.version", name), ("weights.manifest", manifest)]
}

fn failed(replies: &[Reply]) -> RunOutcome {
    match replies.last() {
        Some(Reply::Failed { outcome, .. }) => outcome.clone(),
        other => panic!("an answer ended with {other:?}"),
    }
}

/// Guards against load commands without a lease, and against answers that are not bound to their length and hash.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_runs_after_weights_are_loaded() {
    let rig = Rig::start().await;
    let req = daemon::request(Some("v1"), 5);
    let replies = rig.client.run(&req).await;
    let text = daemon::text(&replies);
    assert_eq!(text, "w0 w1 w2 w3 w4 ");
    assert_matches!(&replies[0], Reply::Head { id, status: 200, version: Some(v), .. } if *id == req.id && v.as_str() == "v1");
    assert_matches!(replies.last(), Some(Reply::End { id, length, digest, .. })
        if *id == req.id && *length == text.len() as u64 && *digest == Digest::of(text.as_bytes()));
    assert_eq!(rig.engine.state().runs, [req.id.to_string()]);
    // Publish, acquire and release: a fleet in steady state appends nothing.
    until("the release", || {
        let control = rig.platform.log.bodies(Stream::Control);
        matches!(control.last(), Some(Body::Lease(LeaseOp::Release { .. })))
    })
    .await;
    assert_eq!(rig.engine.state().loads, [("v1".to_owned(), 2)]);
}

/// Guards against requests to an agent whose endpoint confirms another version.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn other_version_is_refused_unsent() {
    let rig = Rig::start().await;
    let replies = rig.client.run(&daemon::request(Some("v2"), 5)).await;
    assert_eq!(failed(&replies), RunOutcome::NotRun(NotRun::Version));
    assert_eq!(rig.engine.state().runs.len(), 0);
}

/// Guards against interrupted requests, accepted new work and a stale host list entry during a planned stop.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drain_cuts_nothing() {
    let mut rig = Rig::start().await;
    rig.engine.open.send_replace(2);
    let req = daemon::request(Some("v1"), 5);
    let mut call = rig.client.call(sesamewing::wire::Call::Run(req)).await;
    assert_matches!(daemon::next(&mut call).await, Reply::Head { .. });
    rig.ctx.advance(Phase::Draining);
    let refused = async {
        loop {
            let replies = rig.client.run(&daemon::request(Some("v1"), 0)).await;
            if let Some(Reply::Failed { outcome, .. }) = replies.last() {
                return outcome.clone();
            }
        }
    };
    let outcome = within("a refusal", refused).await;
    assert_eq!(outcome, RunOutcome::NotRun(NotRun::Leaving));
    rig.engine.open.send_replace(u64::MAX);
    let replies = daemon::rest(&mut call).await;
    assert_eq!(daemon::text(&replies), "w0 w1 w2 w3 w4 ");
    assert_matches!(replies.last(), Some(Reply::End { .. }));
    within("the stop", &mut rig.agent)
        .await
        .expect("no panic")
        .expect("no error");
    assert_eq!(rig.ctx.phase(), Phase::Stopped);
    assert_eq!(rig.platform.hosts.lock().unwrap().len(), 0);
}

/// Guards against answers that mix two versions when the endpoint switches in mid-answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn version_change_in_an_answer_fails_it() {
    let rig = Rig::start().await;
    for at in [0, 3, 5] {
        rig.engine.with(|s| s.switch = Some((at, "v2".to_owned())));
        let req = daemon::request(Some("v1"), 5);
        let replies = rig.client.run(&req).await;
        assert_eq!(failed(&replies), RunOutcome::MayHaveRun, "switch at {at}");
        let expected: String = (0..at).map(|i| format!("w{i} ")).collect();
        assert_eq!(daemon::text(&replies), expected);
        until("the cancellation", || {
            rig.engine.state().cancelled.contains(&req.id.to_string())
        })
        .await;
    }
}

/// Guards against truncated answers: a cut stream continues after the last token, without gap or repetition.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn broken_answer_is_resumed_at_the_next_token() {
    let rig = Rig::start().await;
    rig.engine.with(|s| s.cut_after = Some(3));
    let req = daemon::request(Some("v1"), 5);
    let replies = rig.client.run(&req).await;
    assert_eq!(daemon::text(&replies), "w0 w1 w2 w3 w4 ");
    assert_matches!(replies.last(), Some(Reply::End { .. }));
    assert_eq!(rig.engine.state().resumes, [(req.id.to_string(), 3)]);
    // The caller of a resumed request gets only what it lacks.
    let mut req = daemon::request(Some("v1"), 5);
    req.resume = 2;
    let replies = rig.client.run(&req).await;
    assert_eq!(daemon::text(&replies), "w2 w3 w4 ");
}

/// Guards against answers that lack a token in the middle or at the end and are presented as whole.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn missing_tokens_are_asked_for_again() {
    let rig = Rig::start().await;
    for omit in [2, 4] {
        rig.engine.with(|s| s.omit = Some(omit));
        let req = daemon::request(Some("v1"), 5);
        let replies = rig.client.run(&req).await;
        assert_eq!(daemon::text(&replies), "w0 w1 w2 w3 w4 ");
        let resumes = rig.engine.state().resumes;
        assert_eq!(resumes.last(), Some(&(req.id.to_string(), omit)));
    }
}

/// Guards against endless resumption and against an end without an explicit outcome.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answer_that_keeps_breaking_fails_explicitly() {
    let rig = Rig::start().await;
    rig.engine.with(|s| s.always_cut = true);
    let replies = rig.client.run(&daemon::request(Some("v1"), 5)).await;
    assert_eq!(failed(&replies), RunOutcome::MayHaveRun);
    // Without any token there is nothing to resume from: the request is sent again.
    assert_eq!(rig.engine.state().runs.len(), 3);
}

/// Guards against parts of another request's answer that the endpoint delivers late.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn late_part_of_another_request_is_dropped() {
    let rig = Rig::start().await;
    rig.engine.with(|s| s.crossed = true);
    let replies = rig.client.run(&daemon::request(Some("v1"), 3)).await;
    assert_eq!(daemon::text(&replies), "w0 w1 w2 ");
    assert_matches!(replies.last(), Some(Reply::End { .. }));
}

/// Guards against engine work for callers that are gone.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reset_by_the_entry_cancels_at_the_engine() {
    let rig = Rig::start().await;
    rig.engine.open.send_replace(1);
    let req = daemon::request(Some("v1"), 5);
    let open = sesamewing::wire::Call::Run(req.clone());
    let mut call = rig.client.call(open).await;
    assert_matches!(daemon::next(&mut call).await, Reply::Head { .. });
    drop(call);
    until("the cancellation", || {
        rig.engine.state().cancelled == [req.id.to_string()]
    })
    .await;
}

/// Guards against answers that are withheld after the deadline.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn deadline_ends_a_request_explicitly() {
    let rig = Rig::start().await;
    rig.engine.open.send_replace(0);
    let mut req = daemon::request(Some("v1"), 5);
    req.remaining = sesamewing::base::Millis(200);
    let replies = rig.client.run(&req).await;
    assert_eq!(failed(&replies), RunOutcome::MayHaveRun);
    req.remaining = sesamewing::base::Millis(0);
    let replies = rig.client.run(&req).await;
    assert_eq!(failed(&replies), RunOutcome::NotRun(NotRun::Busy));
}

/// Guards against requests that are handled under settings older than the sender's.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn agent_behind_the_sender_refuses_unsent() {
    let mut rig = Rig::start().await;
    rig.client.applied = Offset(1000);
    let replies = rig.client.run(&daemon::request(Some("v1"), 5)).await;
    assert_eq!(failed(&replies), RunOutcome::NotRun(NotRun::Version));
    assert_eq!(rig.engine.state().runs.len(), 0);
}

/// Guards against load commands with partial or corrupted weights, and against a copy that outlives its version.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn corrupted_version_is_not_loaded_and_is_replaced() {
    let rig = Rig::start().await;
    let manifest = rig.platform.store("v2", &[8; 4321]);
    rig.platform.corrupt(Digest::of(&[8; 1000]));
    let values = version("v2", manifest);
    let revision = rig.platform.publish("/east/drafts", rig.revision, &values);
    until("the alarm", || {
        let alarms = &rig.ctx.status.load().alarms;
        alarms.iter().any(|a| a.contains("weights-missing"))
    })
    .await;
    let manifest = rig.platform.store("v3", &[9; 4321]);
    rig.platform
        .publish("/east/drafts", revision, &version("v3", manifest));
    rig.wait_version("v3").await;
    let loads = rig.engine.state().loads;
    let versions: Vec<_> = loads.iter().map(|(v, _)| v.as_str()).collect();
    assert_eq!(versions, ["v1", "v3"]);
    assert!(loads[0].1 < loads[1].1, "tokens grow");
}
