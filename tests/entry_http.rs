//! The callers' HTTP API against scripted agents.

mod entry_support;

use std::sync::Arc;

use entry_support::{outcome, reply, until, whole, World, VERSION};
use sesamewing::{
    base::{Digest, RequestId},
    wire::{HostState, NotRun, Reply},
};

/// Guards against an answer whose text, count, hash or headers differ from what the agent sent.
#[tokio::test(flavor = "multi_thread")]
async fn completions_are_answered_whole() {
    let world = World::model(1).await;
    let resp = world.completion(false).send().await.unwrap();
    assert_eq!(resp.headers()["Sesamewing-Version"], VERSION);
    assert_eq!(resp.headers()["Sesamewing-Outcome"], "done");
    let id = resp.headers()["Sesamewing-Request"]
        .to_str()
        .unwrap()
        .to_owned();
    let (status, body) = outcome(resp).await;
    assert_eq!(status, 200);
    assert_eq!(body["text"], "one two three four");
    assert_eq!(body["tokens"], 4);
    assert_eq!(body["id"], id);
    let hash = Digest::of(b"one two three four").to_string();
    assert_eq!(body["hash"], hash);

    let text = world
        .completion(true)
        .send()
        .await
        .unwrap()
        .text()
        .await
        .unwrap();
    let events: Vec<_> = text.split("\n\n").filter(|e| !e.is_empty()).collect();
    assert_eq!(events.len(), 6, "{text}");
    assert!(
        events[0].contains("\"index\":1,\"text\":\"one \""),
        "{text}"
    );
    assert!(
        events[4].contains("\"done\":true") && events[4].contains(&hash),
        "{text}"
    );
    assert_eq!(events[5], "data: [DONE]");
}

/// Guards against requests that pass without the checks, and against errors that do not name a remedy.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_requests_are_refused() {
    let key = Digest::of(b"right-key").to_string();
    let two = format!("{},{key}", Digest::of(b"old-key"));
    let world = World::start(
        "drafts",
        1,
        &[
            (
                "/east/drafts",
                &[("weights.version", VERSION), ("request.body", "200B")],
            ),
            ("/east/drafts/lab", &[]),
            ("/east/drafts/vault", &[("access.keys", &two)]),
        ],
    )
    .await;
    let bare = |body: &str| {
        world
            .request("POST", "/v1/completions")
            .body(body.to_owned())
    };
    let unknown = world
        .http
        .post(format!("http://{}/v1/completions", world.callers));
    let cases = [
        ("no workspace", unknown.try_clone().unwrap(), 400),
        (
            "unknown workspace",
            unknown.header("Sesamewing-Workspace", "nobody").body("{}"),
            404,
        ),
        ("unknown service", bare(r#"{"model":"x","prompt":""}"#), 404),
        ("malformed", bare(r#"{"model":"drafts","prompt":17}"#), 400),
        ("oversized", bare(&"x".repeat(300)), 413),
        (
            "deadline",
            world
                .completion(false)
                .header("Sesamewing-Deadline-Ms", "soon"),
            400,
        ),
        (
            "priority",
            world.completion(false).header("Sesamewing-Priority", "256"),
            400,
        ),
        (
            "key form",
            world
                .completion(false)
                .header("Authorization", "Basic eDp5"),
            400,
        ),
        (
            "id",
            world.completion(false).header("Idempotency-Key", "17"),
            400,
        ),
        (
            "model as plain",
            world.request("GET", "/v1/services/drafts/x"),
            404,
        ),
        ("no such path", world.request("GET", "/v2/x"), 404),
    ];
    for (name, req, want) in cases {
        let (status, body) = outcome(req.send().await.unwrap()).await;
        assert_eq!(status, want, "{name}: {body}");
        assert_eq!(body["outcome"], "refused", "{name}");
        assert!(!body["remedy"].as_str().unwrap().is_empty(), "{name}");
    }
    let vault = |key: Option<&str>| {
        let req = world
            .http
            .post(format!("http://{}/v1/completions", world.callers));
        let req = req
            .header("Sesamewing-Workspace", "vault")
            .body(r#"{"model":"drafts","prompt":"p"}"#);
        match key {
            Some(key) => req.bearer_auth(key),
            None => req,
        }
    };
    for (key, want) in [
        (None, 401),
        (Some("wrong"), 401),
        (Some("old-key"), 200),
        (Some("right-key"), 200),
    ] {
        let status = vault(key).send().await.unwrap().status().as_u16();
        assert_eq!(status, want, "{key:?}");
    }
    assert_eq!(world.runs(), 2);
}

/// Guards against a crossed, cut, altered or mixed reply that reaches a caller as a whole answer.
#[tokio::test(flavor = "multi_thread")]
async fn wrong_replies_are_never_whole() {
    type Spoil = fn(&mut Vec<Reply>);
    let spoils: [(&str, Spoil); 5] = [
        ("cut", |f| f.truncate(3)),
        ("crossed part", |f| {
            if let Reply::Data { id, .. } = &mut f[2] {
                *id = RequestId::now();
            }
        }),
        ("missing part", |f| drop(f.remove(2))),
        ("other version at the end", |f| {
            if let Some(Reply::End { version, .. }) = f.last_mut() {
                *version = Some("v0".parse().unwrap());
            }
        }),
        ("altered part", |f| {
            if let Reply::Data { data, .. } = &mut f[3] {
                *data = "three?".into();
            }
        }),
    ];
    let world = World::start(
        "drafts",
        1,
        &[
            (
                "/east/drafts",
                &[("weights.version", VERSION), ("retry.attempts", "1")],
            ),
            ("/east/drafts/lab", &[]),
        ],
    )
    .await;
    for (name, spoil) in spoils {
        world.agents[0].frames(move |req| {
            let mut frames = whole(
                req.id,
                Some(VERSION),
                0,
                &["one ", "two ", "three ", "four"],
            );
            spoil(&mut frames);
            frames
        });
        let (status, body) = outcome(world.completion(false).send().await.unwrap()).await;
        assert_eq!(
            (status, &body["outcome"]),
            (504, &"may_have_run".into()),
            "{name}: {body}"
        );
        let resp = world.completion(true).send().await.unwrap();
        let text = resp.text().await.unwrap();
        assert!(
            !text.contains("\"done\":true") && !text.contains("[DONE]"),
            "{name}: {text}"
        );
        assert!(text.contains("may_have_run"), "{name}: {text}");
    }
    assert!(world.metric("sesamewing_crossed_frames_total") >= 2);
}

/// Guards against requests cut by a planned stop, and against callers sent back to a leaving entry.
#[tokio::test(flavor = "multi_thread")]
async fn drain_completes_and_refuses() {
    let mut world = World::model(1).await;
    let other = world.other_entry("entry-2", HostState::Live);
    let gone = world.other_entry("entry-3", HostState::Leaving);
    world.list(&[other.clone(), gone]);
    let go = Arc::new(tokio::sync::Notify::new());
    let wait = go.clone();
    world.agents[0].script(move |req, mut call| {
        let wait = wait.clone();
        async move {
            wait.notified().await;
            let frames = whole(req.id, Some(VERSION), 0, &["late"]);
            reply(&mut call, frames).await;
        }
    });
    let running = tokio::spawn(world.completion(false).send());
    until("the run began", || world.runs() == 1).await;
    world.ctx.advance(sesamewing::process::Phase::Draining);
    let resp = world.completion(false).send().await.unwrap();
    assert_eq!(
        resp.headers()["Sesamewing-Entry"],
        other.callers.unwrap().to_string()
    );
    assert!(resp.headers().contains_key("Retry-After"));
    let (status, body) = outcome(resp).await;
    assert_eq!((status, &body["outcome"]), (503, &"not_run".into()));
    let resp = world.request("GET", "/v1/entries").send().await.unwrap();
    let list = resp.text().await.unwrap();
    assert!(list.contains(&other.callers.unwrap().to_string()), "{list}");
    assert_eq!(list.matches("address").count(), 1, "{list}");
    go.notify_one();
    let (status, body) = outcome(running.await.unwrap().unwrap()).await;
    assert_eq!((status, &body["text"]), (200, &"late".into()));
    world.drain().await;
}

/// Guards against new work for an agent that said it leaves, before and after its report arrives.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_agent_gets_no_new_request() {
    let world = World::model(2).await;
    assert_eq!(world.completion(false).send().await.unwrap().status(), 200);
    let first = usize::from(world.agents[0].runs().is_empty());
    let (left, other) = (&world.agents[first], &world.agents[1 - first]);
    // The refusal alone takes the agent out, although its reports still say that it serves.
    left.refuse(NotRun::Leaving);
    for _ in 0..20 {
        assert_eq!(world.completion(false).send().await.unwrap().status(), 200);
    }
    assert_eq!((left.runs().len(), other.runs().len()), (2, 20));
    other.set(|r| r.state = sesamewing::wire::AgentState::Leaving);
    world.routable(0).await;
    let (status, body) = outcome(world.completion(false).send().await.unwrap()).await;
    assert_eq!((status, &body["outcome"]), (503, &"not_run".into()));
    assert_eq!(other.runs().len(), 20);
}

/// Guards against a request that reaches an agent whose endpoint confirms another version than the settings.
#[tokio::test(flavor = "multi_thread")]
async fn stale_version_gets_no_request() {
    let world = World::model(2).await;
    world.publish(
        "/east/drafts",
        &[("weights.version", "v2"), ("weights.overlap", "false")],
    );
    world.routable(0).await;
    let (status, _) = outcome(world.completion(false).send().await.unwrap()).await;
    assert_eq!(status, 503);
    assert_eq!(world.runs(), 0);
    world.agents[1].set(|r| r.version = Some("v2".parse().unwrap()));
    world.agents[1].frames(|req| whole(req.id, Some("v2"), 0, &["new"]));
    world.routable(1).await;
    let resp = world.completion(false).send().await.unwrap();
    assert_eq!(resp.headers()["Sesamewing-Version"], "v2");
    assert_eq!(world.agents[0].runs().len(), 0);
}

/// Guards against a prompt, answer or key in the timeline or in an error.
#[tokio::test(flavor = "multi_thread")]
async fn timeline_holds_no_content() {
    let world = World::model(1).await;
    let req = world.completion(false).bearer_auth("secret-key");
    assert_eq!(req.send().await.unwrap().status(), 200);
    let bad = r#"{"model":"drafts","prompt":secret-prompt}"#;
    let resp = world
        .request("POST", "/v1/completions")
        .body(bad)
        .send()
        .await
        .unwrap();
    let body = resp.text().await.unwrap();
    let moments = format!("{:?}{body}", world.ctx.timeline.select(|_| true));
    assert!(
        moments.contains("request-routed") && moments.contains("request-ended"),
        "{moments}"
    );
    for secret in ["secret", "three"] {
        assert!(!moments.contains(secret), "{moments}");
    }
}

/// Guards against requests that wait for their deadline at an agent that is frozen with open connections.
#[tokio::test(flavor = "multi_thread")]
async fn silent_agent_is_given_up() {
    let world = World::model(2).await;
    assert_eq!(world.completion(false).send().await.unwrap().status(), 200);
    // Affinity sends the same prompt to the same agent.
    let first = usize::from(world.agents[0].runs().is_empty());
    world.agents[first].freeze();
    let begun = std::time::Instant::now();
    assert_eq!(world.completion(false).send().await.unwrap().status(), 200);
    // The deadline is 30 s; suspicion takes 1.5 s.
    assert!(begun.elapsed().as_secs() < 15, "{:?}", begun.elapsed());
    world.routable(1).await;
    assert_eq!(world.agents[first].runs().len(), 2);
    assert_eq!(world.completion(false).send().await.unwrap().status(), 200);
    assert_eq!(
        world.agents[first].runs().len(),
        2,
        "a suspect agent gets no new request"
    );
}

/// Guards against a request that ends with 504 because the reports of the other agents are late for a moment when its own
/// agent is lost, although there is time for another attempt.
#[tokio::test(flavor = "multi_thread")]
async fn late_reports_end_no_request() {
    let world = World::model(2).await;
    assert_eq!(world.completion(false).send().await.unwrap().status(), 200);
    let first = usize::from(world.agents[0].runs().is_empty());
    let other = &world.agents[1 - first];
    other.mute(true);
    world.routable(1).await;
    world.agents[first].freeze();
    let request = tokio::spawn(world.completion(false).send());
    // The first agent is given up after 1.5 s, and the other one 5 s after its last report.
    tokio::time::sleep(std::time::Duration::from_millis(1800)).await;
    other.mute(false);
    let response = request.await.unwrap().unwrap();
    assert_eq!(response.status(), 200);
    assert_eq!(other.runs().len(), 1, "the other agent ran the request");
}

/// Guards against a list of entries that is not nearest first or names no lifetime.
#[tokio::test(flavor = "multi_thread")]
async fn entries_are_listed_nearest_first() {
    let world = World::model(1).await;
    let mut far = world.other_entry("entry-2", HostState::Live);
    far.zone = "east-b".parse().unwrap();
    world.list(&[far.clone()]);
    let list = |zone: &'static str| {
        let req = world
            .request("GET", &format!("/v1/entries?zone={zone}"))
            .send();
        async move { outcome(req.await.unwrap()).await.1 }
    };
    let own = world.callers.to_string();
    let other = far.callers.unwrap().to_string();
    for (zone, want) in [("east-a", [&own, &other]), ("east-b", [&other, &own])] {
        let body = list(zone).await;
        let got: Vec<_> = (0..2)
            .map(|i| body["entries"][i]["address"].as_str().unwrap())
            .collect();
        assert_eq!(got, want, "{zone}");
        assert!(body["lifetime_ms"].as_u64().unwrap() > 0);
    }
}
