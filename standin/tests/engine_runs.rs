//! Requests at the simulated engine.

use std::time::{Duration, Instant};

use reqwest::{Client, Response};
use serde_json::{json, Value};
use sesamewing::base::{Digest, Millis};
use sesamewing_standin::{answer_text, prefixes, token_text, Endpoint, EndpointOptions, Server};

fn options() -> EndpointOptions {
    EndpointOptions {
        capacity: 2,
        speed: 2000,
        prefill: Millis(5),
        lag: Millis::ZERO,
        version: Some(("v1".parse().expect("name"), Digest::of(b"v1"))),
        ..EndpointOptions::default()
    }
}

struct Engine {
    server: Server,
    client: Client,
}

impl Engine {
    async fn start(options: EndpointOptions) -> Self {
        Self {
            server: Endpoint::start(options).await.expect("starts"),
            client: Client::new(),
        }
    }

    async fn post(&self, path: &str, body: &Value) -> Response {
        let url = format!("{}{path}", self.server.url());
        let req = self.client.post(url).json(body);
        req.send().await.expect("answer")
    }

    async fn get(&self, path: &str) -> Value {
        let url = format!("{}{path}", self.server.url());
        let resp = self.client.get(url).send().await.expect("answer");
        resp.json().await.expect("json")
    }

    async fn cancel(&self, id: &str) -> u16 {
        let url = format!("{}/v1/requests/{id}", self.server.url());
        let resp = self.client.delete(url).send().await.expect("answer");
        resp.status().as_u16()
    }

    /// Waits for a load; the status changes shortly after the event that causes it.
    async fn wait_for_load(&self, running: u32, waiting: u32) {
        loop {
            let status = self.get("/status").await;
            if status["running"] == running && status["waiting"] == waiting {
                return;
            }
        }
    }
}

fn request(id: &str, tokens: u32, stream: bool) -> Value {
    json!({"id": id, "prompt": "hello", "max_tokens": tokens, "stream": stream})
}

/// Returns the text of a stream and its last event, if that is a `done` event.
async fn collect(resp: Response) -> (String, Option<Value>) {
    let body = resp.text().await.expect("body");
    let mut text = String::new();
    for event in body.split("\n\n").filter(|e| !e.is_empty()) {
        let data = event.strip_prefix("data:").expect("data");
        let event: Value = serde_json::from_str(data).expect("json");
        if event["done"] == true {
            return (text, Some(event));
        }
        text.push_str(event["text"].as_str().expect("text"));
    }
    (text, None)
}

/// Guards against answers that a caller cannot tell from those of another request or version.
#[tokio::test]
async fn text_is_deterministic() {
    let engine = Engine::start(options()).await;
    let resp = engine
        .post("/v1/completions", &request("a", 10, true))
        .await;
    assert_eq!(resp.headers()["Engine-Version"], "v1");
    let (text, done) = collect(resp).await;
    assert_eq!(text, answer_text("v1", "a", 10));
    let done = done.expect("done event");
    assert_eq!(done, json!({"done": true, "tokens": 10, "version": "v1"}));
    let resp = engine
        .post("/v1/completions", &request("b", 10, false))
        .await;
    let whole: Value = resp.json().await.expect("json");
    assert_eq!(whole["text"], answer_text("v1", "b", 10));
}

/// Guards against an engine that gives tokens away faster than its pace.
#[tokio::test]
async fn tokens_keep_the_pace() {
    let engine = Engine::start(options()).await;
    let start = Instant::now();
    let resp = engine
        .post("/v1/completions", &request("a", 101, true))
        .await;
    collect(resp).await;
    // 100 intervals of 2 / 2000 s and 5 ms prefill.
    assert!(start.elapsed() >= Duration::from_millis(105));
}

/// Guards against a resumed stream that repeats or loses tokens, also after the first reader left.
#[tokio::test]
async fn resume_continues_at_a_token() {
    let engine = Engine::start(options()).await;
    let mut resp = engine
        .post("/v1/completions", &request("a", 50, true))
        .await;
    resp.chunk().await.expect("body").expect("first event");
    drop(resp);
    let resume = json!({"id": "a", "from": 20});
    let resp = engine.post("/v1/resume", &resume).await;
    assert_eq!(resp.headers()["Engine-Version"], "v1");
    let (text, done) = collect(resp).await;
    let rest: String = (20..50).map(|i| token_text("v1", "a", i)).collect();
    assert_eq!(text, rest);
    assert!(done.is_some());
    let unknown = engine
        .post("/v1/resume", &json!({"id": "b", "from": 0}))
        .await;
    assert_eq!(unknown.status(), 404);
}

/// Guards against a request that cannot move to another engine of its version, or that moves to a different version.
#[tokio::test]
async fn export_resumes_on_the_same_version_only() {
    let first = Engine::start(options()).await;
    let second = Engine::start(options()).await;
    let other = Engine::start(EndpointOptions {
        version: Some(("v2".parse().expect("name"), Digest::of(b"v2"))),
        ..options()
    })
    .await;
    let resp = first.post("/v1/completions", &request("a", 40, true)).await;
    drop(resp);
    let state = first.get("/cache/a").await;
    let mut status = Vec::new();
    for target in [&second, &other] {
        let url = format!("{}/cache/a", target.server.url());
        let put = target.client.put(url).json(&state).send().await;
        status.push(put.expect("answer").status().as_u16());
    }
    assert_eq!(status, [200, 409]);
    let resp = second
        .post("/v1/resume", &json!({"id": "a", "from": 7}))
        .await;
    let rest: String = (7..40).map(|i| token_text("v1", "a", i)).collect();
    assert_eq!(collect(resp).await.0, rest);
}

/// Guards against cancelled requests that keep their place in the batch or look complete.
#[tokio::test]
async fn cancel_frees_the_slot() {
    let engine = Engine::start(options()).await;
    let mut streams = Vec::new();
    for id in ["a", "b", "c"] {
        streams.push(
            engine
                .post("/v1/completions", &request(id, 1_000_000, true))
                .await,
        );
    }
    engine.wait_for_load(2, 1).await;
    assert_eq!(engine.cancel("a").await, 200);
    engine.wait_for_load(2, 0).await;
    assert_eq!(engine.cancel("c").await, 200);
    engine.wait_for_load(1, 0).await;
    assert_eq!(engine.cancel("unknown").await, 404);
    assert_eq!(engine.cancel("b").await, 200);
    engine.wait_for_load(0, 0).await;
    for resp in streams {
        assert_eq!(collect(resp).await.1, None);
    }
}

/// Guards against a queue that ignores the priority.
#[tokio::test]
async fn higher_priority_starts_first() {
    let engine = Engine::start(EndpointOptions {
        capacity: 1,
        ..options()
    })
    .await;
    let mut streams = Vec::new();
    for (id, priority) in [("first", 0), ("low", 1), ("high", 9)] {
        let mut body = request(id, 1_000_000, true);
        body["priority"] = priority.into();
        streams.push(engine.post("/v1/completions", &body).await);
    }
    engine.wait_for_load(1, 2).await;
    engine.cancel("first").await;
    engine.wait_for_load(1, 1).await;
    let first = streams[2].chunk().await.expect("body");
    assert!(first.is_some());
    engine.cancel("low").await;
    engine.wait_for_load(1, 0).await;
    assert_eq!(collect(streams.remove(1)).await, (String::new(), None));
}

/// Guards against a second run under the same id while the first one is in progress.
#[tokio::test]
async fn id_in_use_is_refused() {
    let engine = Engine::start(options()).await;
    let body = request("a", 1_000_000, true);
    let _first = engine.post("/v1/completions", &body).await;
    assert_eq!(engine.post("/v1/completions", &body).await.status(), 409);
    let none = engine.post("/v1/completions", &request("b", 0, true)).await;
    assert_eq!(none.status(), 400);
}

/// Guards against a prefix memory that does not shorten the prefill, and against events without gaps.
#[tokio::test]
async fn cached_prefixes_shorten_the_prefill() {
    let engine = Engine::start(EndpointOptions {
        prefill: Millis(20_000),
        ..options()
    })
    .await;
    let prompt = "x".repeat(64 * 39);
    let body = |id| json!({"id": id, "prompt": prompt, "max_tokens": 1, "stream": true});
    engine.post("/v1/completions", &body("a")).await;
    assert_eq!(engine.cancel("a").await, 200);
    let start = Instant::now();
    let resp = engine.post("/v1/completions", &body("b")).await;
    assert!(collect(resp).await.1.is_some());
    // One block of 40 remains.
    assert!(start.elapsed() >= Duration::from_millis(500));
    assert!(start.elapsed() < Duration::from_millis(20_000));
    let events = engine.get("/cache/events?from=0").await;
    let events = events["events"].as_array().expect("events").clone();
    let reported: Vec<_> = events.iter().filter_map(|e| e["prefix"].as_u64()).collect();
    let known = prefixes(&prompt);
    assert!(reported.iter().all(|p| known.contains(p)));
    // Events 16 and 32 of 39 are lost.
    assert_eq!((known.len(), reported.len()), (39, 37));
}

/// Guards against a planned stop that cuts a stream in progress.
#[tokio::test]
async fn stop_lets_streams_end() {
    let engine = Engine::start(options()).await;
    let mut resp = engine
        .post("/v1/completions", &request("a", 200, true))
        .await;
    resp.chunk().await.expect("body").expect("first event");
    let (rest, ()) = tokio::join!(resp.text(), engine.server.stop());
    assert!(rest.expect("body").contains("\"done\":true"));
}
