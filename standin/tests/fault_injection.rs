//! Faults of the stand-ins.

use std::time::{Duration, Instant};

use assert_matches::assert_matches;
use bytes::Bytes;
use reqwest::Client;
use serde_json::{json, Value};
use sesamewing::{
    backing::{HttpPlatform, Log, PlatformError, Stream, WeightStore},
    base::{Digest, Millis, Offset, Size},
};
use sesamewing_standin::{
    weights::{put_weights, Recipe},
    Endpoint, EndpointOptions, Fault, FaultError, Kind, Platform, PlatformOptions, Server,
};

/// Time in which nothing may arrive. A working fault passes on any machine, however slow.
const QUIET: Duration = Duration::from_millis(300);

async fn platform() -> (Server, HttpPlatform) {
    let server = Platform::start(PlatformOptions::default())
        .await
        .expect("starts");
    let client = HttpPlatform::new(&server.url()).expect("client");
    (server, client)
}

async fn engine() -> Server {
    Endpoint::start(EndpointOptions {
        version: Some(("v1".parse().expect("name"), Digest::of(b"v1"))),
        prefill: Millis(1),
        lag: Millis::ZERO,
        ..EndpointOptions::default()
    })
    .await
    .expect("starts")
}

async fn chunk(server: &Server) -> Digest {
    let recipe = Recipe {
        version: "v1".parse().expect("name"),
        size: Size(50_000),
        chunk: Size(50_000),
        seed: 1,
        base: None,
    };
    let (manifest, _) = put_weights(&server.url(), &recipe).await.expect("upload");
    manifest.chunks[0]
}

async fn post(server: &Server, body: &Value) -> (u16, String) {
    let url = format!("{}/faults", server.url());
    let resp = Client::new().post(url).json(body).send().await;
    let resp = resp.expect("answer");
    (resp.status().as_u16(), resp.text().await.expect("text"))
}

/// Guards against misspelt faults that silently do nothing.
#[tokio::test]
async fn unknown_faults_are_refused() {
    let (server, log) = platform().await;
    let (status, text) = post(&server, &json!({"fault": "outtage"})).await;
    assert_eq!(status, 400);
    assert!(
        text.contains("`outtage`") && text.contains("lost-answer"),
        "{text}"
    );
    assert_eq!(post(&server, &json!({"target": "/log"})).await.0, 400);
    let engine = engine().await;
    assert_eq!(
        post(&engine, &json!({"fault": "corrupt-chunk"})).await.0,
        400
    );
    assert_eq!(
        engine.fault(Fault::StalledLink, "", 0),
        Err(FaultError::Unsupported(Fault::StalledLink))
    );
    assert_eq!(
        post(&server, &json!({"fault": "outage", "target": "/log"}))
            .await
            .0,
        200
    );
    let refused = log.append(Stream::Control, Bytes::from_static(b"x")).await;
    assert_matches!(refused, Err(PlatformError::Refused(_)));
    let url = format!("{}/faults", server.url());
    Client::new().delete(url).send().await.expect("answer");
    let offset = log.append(Stream::Control, Bytes::from_static(b"x")).await;
    assert_eq!(offset, Ok(Offset(1)));
}

/// Guards against an outage in which actions take effect, and against one that spreads beyond its target.
#[tokio::test]
async fn outage_has_no_effect() {
    let (server, log) = platform().await;
    for (value, refused) in [(0, true), (1, false)] {
        server
            .fault(Fault::Outage, "/log/claims", value)
            .expect("supported");
        let failed = log.append(Stream::Claims, Bytes::from_static(b"x")).await;
        assert_eq!(matches!(failed, Err(PlatformError::Refused(_))), refused);
        assert_matches!(failed, Err(_));
    }
    let other = log.append(Stream::Control, Bytes::from_static(b"x")).await;
    assert_eq!(other, Ok(Offset(1)));
    server.clear_faults();
    let first = log.append(Stream::Claims, Bytes::from_static(b"x")).await;
    assert_eq!(first, Ok(Offset(1)));
}

/// Guards against an outage that lets a long poll through that began before it.
#[tokio::test]
async fn outage_reaches_long_polls() {
    let (server, log) = platform().await;
    let poll = log.read(Stream::Control, Offset(1), 1, Millis(50_000));
    let outage = async {
        let url = format!("{}/stats", server.url());
        let client = Client::new();
        loop {
            let stats = client.get(&url).send().await.expect("answer");
            let stats: Value = stats.json().await.expect("json");
            if stats["reads"]["control"] == 1 {
                break;
            }
        }
        server.fault(Fault::Outage, "/log", 0).expect("supported");
        // A stop ends the long polls.
        server.stop().await;
    };
    let (page, ()) = tokio::join!(poll, outage);
    assert_matches!(page, Err(PlatformError::Refused(_)));
}

/// Guards against a delay that is not applied.
#[tokio::test]
async fn slow_delays_the_answer() {
    let (server, log) = platform().await;
    server.fault(Fault::Slow, "/log", 100).expect("supported");
    let start = Instant::now();
    log.append(Stream::Control, Bytes::from_static(b"x"))
        .await
        .expect("append");
    assert!(start.elapsed() >= Duration::from_millis(100));
}

/// Guards against a run that is repeated or not done when its answer is lost.
#[tokio::test]
async fn lost_answer_runs_once() {
    let server = Endpoint::start(EndpointOptions {
        kind: Kind::Plain,
        ..EndpointOptions::default()
    })
    .await
    .expect("starts");
    server
        .fault(Fault::LostAnswer, "/tags", 1)
        .expect("supported");
    let client = Client::new();
    let tag = || {
        let req = client.post(format!("{}/tags", server.url()));
        req.header("Request-Id", "a").body("x").send()
    };
    assert_matches!(tag().await, Err(_));
    let runs = client.get(format!("{}/runs", server.url())).send().await;
    let runs: Value = runs.expect("answer").json().await.expect("json");
    assert_eq!(runs["runs"]["a"], 1);
    assert_eq!(tag().await.expect("answer").status(), 200);
}

/// Guards against a corrupt chunk that still has its hash, and against corruption that never ends.
#[tokio::test]
async fn corrupt_chunk_has_another_hash() {
    let (server, store) = platform().await;
    let id = chunk(&server).await;
    server.fault(Fault::CorruptChunk, "", 1).expect("supported");
    let corrupt = store.chunk(id).await.expect("chunk");
    assert_eq!(corrupt.len(), 50_000);
    assert_ne!(Digest::of(&corrupt), id);
    let whole = store.chunk(id).await.expect("chunk");
    assert_eq!(Digest::of(&whole), id);
}

/// Guards against a stalled link that closes the connection or never recovers.
#[tokio::test]
async fn stalled_link_keeps_the_connection() {
    let (server, store) = platform().await;
    let id = chunk(&server).await;
    server.fault(Fault::StalledLink, "", 0).expect("supported");
    let fetch = store.chunk(id);
    tokio::pin!(fetch);
    let stalled = tokio::time::timeout(QUIET, &mut fetch).await;
    assert_matches!(stalled, Err(_));
    server.clear_faults();
    assert_eq!(Digest::of(&fetch.await.expect("chunk")), id);
}

/// Guards against a silent connection that still answers, also in the middle of a stream, or that blocks new ones.
#[tokio::test]
async fn silent_affects_open_connections_only() {
    let server = engine().await;
    let url = server.url();
    let old = Client::new();
    let complete = |client: &Client, id: &str, tokens: u32| {
        let body = json!({"id": id, "prompt": "p", "max_tokens": tokens, "stream": true});
        client
            .post(format!("{url}/v1/completions"))
            .json(&body)
            .send()
    };
    let mut stream = complete(&old, "a", 1_000_000).await.expect("answer");
    stream.chunk().await.expect("body").expect("event");
    // A second connection of the same pool, idle when the fault begins.
    old.get(format!("{url}/status"))
        .send()
        .await
        .expect("answer")
        .text()
        .await
        .expect("text");
    server.fault(Fault::Silent, "", 0).expect("supported");
    let status = old.get(format!("{url}/status")).send();
    assert_matches!(tokio::time::timeout(QUIET, status).await, Err(_));
    let rest = async { while let Ok(Some(_)) = stream.chunk().await {} };
    assert_matches!(tokio::time::timeout(QUIET, rest).await, Err(_));
    let fresh = complete(&Client::new(), "b", 1).await.expect("answer");
    assert!(fresh.text().await.expect("text").contains("done"));
}

/// Guards against reports that go on during the fault.
#[tokio::test]
async fn frozen_reports_repeat_the_last_one() {
    let server = engine().await;
    let client = Client::new();
    let url = server.url();
    let running = || async {
        let resp = client.get(format!("{url}/status")).send().await;
        let status: Value = resp.expect("answer").json().await.expect("json");
        status["running"].clone()
    };
    assert_eq!(running().await, 0);
    server
        .fault(Fault::FreezeReports, "", 0)
        .expect("supported");
    let body = json!({"id": "a", "prompt": "p", "max_tokens": 1_000_000, "stream": true});
    let req = client.post(format!("{url}/v1/completions")).json(&body);
    let mut stream = req.send().await.expect("answer");
    stream.chunk().await.expect("body").expect("event");
    assert_eq!(running().await, 0);
    server.clear_faults();
    assert_eq!(running().await, 1);
}
