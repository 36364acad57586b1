//! Load commands at the simulated engine.

use reqwest::{Client, Response};
use serde_json::{json, Value};
use sesamewing::base::{Digest, Millis};
use sesamewing_standin::{answer_text, Endpoint, EndpointOptions, Server};

async fn start(checked: bool) -> Server {
    Endpoint::start(EndpointOptions {
        checked,
        load: Millis(1),
        prefill: Millis(1),
        speed: 2400,
        ..EndpointOptions::default()
    })
    .await
    .expect("starts")
}

async fn load(server: &Server, version: &str, fence: u64, hash: Digest, body: &[u8]) -> u16 {
    let resp = Client::new()
        .put(format!("{}/orders/load", server.url()))
        .header("Order-Version", version)
        .header("Order-Hash", hash.to_string())
        .header("Order-Fence", fence)
        .body(body.to_vec())
        .send();
    resp.await.expect("answer").status().as_u16()
}

async fn get(server: &Server, path: &str) -> Value {
    let url = format!("{}{path}", server.url());
    let resp = Client::new().get(url).send().await.expect("answer");
    resp.json().await.expect("json")
}

async fn complete(server: &Server, id: &str, tokens: u32, stream: bool) -> Response {
    let url = format!("{}/v1/completions", server.url());
    let body = json!({"id": id, "prompt": "p", "max_tokens": tokens, "stream": stream});
    let req = Client::new().post(url).json(&body);
    req.send().await.expect("answer")
}

/// Guards against an engine that serves bytes other than the command names.
#[tokio::test]
async fn corrupt_body_is_refused() {
    let server = start(true).await;
    assert_eq!(complete(&server, "a", 1, false).await.status(), 503);
    let hash = Digest::of(b"weights");
    assert_eq!(load(&server, "v1", 1, hash, b"weightz").await, 422);
    assert_eq!(get(&server, "/status").await["version"], Value::Null);
    assert_eq!(load(&server, "v1", 1, hash, b"weights").await, 200);
    let status = get(&server, "/status").await;
    assert_eq!(status["version"], "v1");
    assert_eq!(status["hash"], hash.to_string());
    let orders = get(&server, "/orders").await["orders"].clone();
    let fates: Vec<_> = orders
        .as_array()
        .expect("orders")
        .iter()
        .map(|o| &o["fate"])
        .collect();
    assert_eq!(fates, ["corrupt", "accepted"]);
    assert_eq!(orders[0]["hash"], Digest::of(b"weightz").to_string());
}

/// Guards against a stale lease holder that replaces the version of its successor.
#[tokio::test]
async fn stale_fence_is_refused_if_checked() {
    for (checked, expected) in [(true, 409), (false, 200)] {
        let server = start(checked).await;
        let (old, new) = (Digest::of(b"old"), Digest::of(b"new"));
        assert_eq!(load(&server, "new", 6, new, b"new").await, 200);
        assert_eq!(load(&server, "new", 6, new, b"new").await, 200);
        assert_eq!(load(&server, "old", 5, old, b"old").await, expected);
        let version = if checked { "new" } else { "old" };
        assert_eq!(get(&server, "/status").await["version"], version);
    }
}

/// Guards against a switch that changes the version of a request in progress.
#[tokio::test]
async fn requests_keep_their_version() {
    let server = start(true).await;
    assert_eq!(load(&server, "v1", 1, Digest::of(b"1"), b"1").await, 200);
    let mut stream = complete(&server, "a", 20, true).await;
    let mut body = stream.chunk().await.expect("body").expect("event").to_vec();
    assert_eq!(load(&server, "v2", 2, Digest::of(b"2"), b"2").await, 200);
    while let Some(chunk) = stream.chunk().await.expect("body") {
        body.extend_from_slice(&chunk);
    }
    let body = String::from_utf8(body).expect("text");
    let text: String = body
        .split("\n\n")
        .filter_map(|e| serde_json::from_str::<Value>(e.strip_prefix("data:")?).ok())
        .filter_map(|e| Some(e["text"].as_str()?.to_owned()))
        .collect();
    assert_eq!(text, answer_text("v1", "a", 20));
    let new = complete(&server, "b", 1, false).await;
    assert_eq!(new.headers()["Engine-Version"], "v2");
}
