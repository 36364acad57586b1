//! Streams that break, stall or lose their caller.

mod entry_support;

use std::sync::Arc;

use assert_matches::assert_matches;
use entry_support::{reply, until, whole, World, VERSION};
use sesamewing::{
    base::{Digest, RequestId},
    wire::Reply,
};

/// Guards against a broken stream that restarts, repeats or skips tokens instead of continuing.
#[tokio::test(flavor = "multi_thread")]
async fn broken_stream_continues_elsewhere() {
    let world = World::model(2).await;
    for agent in &world.agents {
        agent.frames(|req| {
            let texts = ["one ", "two ", "three ", "four"];
            let mut frames = whole(
                req.id,
                Some(VERSION),
                req.resume,
                &texts[req.resume as usize..],
            );
            if req.resume == 0 {
                frames.truncate(3);
            }
            frames
        });
    }
    let text = world
        .completion(true)
        .send()
        .await
        .unwrap()
        .text()
        .await
        .unwrap();
    for (i, part) in ["one ", "two ", "three ", "four"].iter().enumerate() {
        let token = format!("\"index\":{},\"text\":\"{part}\"", i + 1);
        assert_eq!(text.matches(&token).count(), 1, "{text}");
    }
    assert!(
        text.contains(&Digest::of(b"one two three four").to_string()),
        "{text}"
    );
    let resumed: Vec<u32> = world
        .agents
        .iter()
        .flat_map(|a| a.runs())
        .map(|r| r.resume)
        .collect();
    assert_eq!(world.agents[0].runs().len(), 1, "each agent is used once");
    assert!(resumed.contains(&0) && resumed.contains(&2), "{resumed:?}");
}

/// Guards against work that goes on at the agent after the caller has gone.
#[tokio::test(flavor = "multi_thread")]
async fn disconnect_cancels_the_run() {
    let world = World::model(1).await;
    let cancelled = Arc::new(tokio::sync::Notify::new());
    let seen = cancelled.clone();
    world.agents[0].script(move |req, mut call| {
        let seen = seen.clone();
        async move {
            let head = whole(req.id, Some(VERSION), 0, &[]).remove(0);
            call.tx.send(&head).await.unwrap();
            for index in 1.. {
                let data = Reply::Data {
                    id: req.id,
                    index,
                    data: "x".into(),
                };
                if call.tx.send(&data).await.is_err() {
                    seen.notify_one();
                    return;
                }
                tokio::time::sleep(std::time::Duration::from_millis(5)).await;
            }
        }
    });
    let mut resp = world.completion(true).send().await.unwrap();
    assert_matches!(resp.chunk().await, Ok(Some(_)));
    drop(resp);
    tokio::time::timeout(entry_support::WAIT_MAX, cancelled.notified())
        .await
        .unwrap();
    until("nothing in progress", || {
        world.metric("sesamewing_running") == 0
    })
    .await;
}

/// Guards against a stream of an earlier version that ends, or continues on the new one, when the settings change.
#[tokio::test(flavor = "multi_thread")]
async fn stream_continues_on_its_own_version() {
    let world = World::model(3).await;
    let go = Arc::new(tokio::sync::Notify::new());
    for agent in &world.agents {
        let wait = go.clone();
        agent.script(move |req, mut call| {
            let wait = wait.clone();
            async move {
                let texts = ["one ", "two ", "three ", "four"];
                let rest = &texts[req.resume as usize..];
                let mut frames = whole(req.id, Some(VERSION), req.resume, rest);
                if req.resume == 0 {
                    frames.truncate(2);
                    for frame in frames.drain(..) {
                        call.tx.send(&frame).await.unwrap();
                    }
                    wait.notified().await;
                }
                reply(&mut call, frames).await;
            }
        });
    }
    let mut resp = world.completion(true).send().await.unwrap();
    let mut text = resp.chunk().await.unwrap().unwrap().to_vec();
    world.publish(
        "/east/drafts",
        &[("weights.version", "v2"), ("weights.overlap", "false")],
    );
    world.routable(0).await;
    go.notify_one();
    while let Some(part) = resp.chunk().await.unwrap() {
        text.extend_from_slice(&part);
    }
    let text = String::from_utf8(text).unwrap();
    assert!(
        text.contains("\"done\":true") && text.ends_with("[DONE]\n\n"),
        "{text}"
    );
    assert!(!text.contains("v2"), "{text}");
}

/// Guards against a stream that hangs at a stalled agent whose reports still arrive.
#[tokio::test(flavor = "multi_thread")]
async fn stalled_stream_continues_elsewhere() {
    let world = World::start(
        "drafts",
        2,
        &[
            (
                "/east/drafts",
                &[("weights.version", VERSION), ("request.stall", "1s")],
            ),
            ("/east/drafts/lab", &[]),
        ],
    )
    .await;
    for agent in &world.agents {
        agent.script(|req, mut call| async move {
            let texts = ["one ", "two ", "three ", "four"];
            let rest = &texts[req.resume as usize..];
            let mut frames = whole(req.id, Some(VERSION), req.resume, rest);
            if req.resume == 0 {
                frames.truncate(2);
                for frame in frames {
                    call.tx.send(&frame).await.unwrap();
                }
                std::future::pending::<()>().await;
            } else {
                reply(&mut call, frames).await;
            }
        });
    }
    let text = world
        .completion(true)
        .send()
        .await
        .unwrap()
        .text()
        .await
        .unwrap();
    assert!(
        text.contains("\"tokens\":4") && text.ends_with("[DONE]\n\n"),
        "{text}"
    );
    assert_eq!(
        world
            .agents
            .iter()
            .map(|a| a.runs().len())
            .collect::<Vec<_>>(),
        [1, 1]
    );
}

/// Guards against a continued stream with a hole where a frame of another request took the place of a part.
#[tokio::test(flavor = "multi_thread")]
async fn stream_with_a_hole_is_not_continued() {
    let world = World::model(2).await;
    for agent in &world.agents {
        agent.frames(|req| {
            let texts = ["one ", "two ", "three ", "four"];
            let rest = &texts[req.resume as usize..];
            let mut frames = whole(req.id, Some(VERSION), req.resume, rest);
            if req.resume == 0 {
                if let Reply::Data { id, .. } = &mut frames[2] {
                    *id = RequestId::now();
                }
                frames.truncate(4);
            }
            frames
        });
    }
    let resp = world.completion(true).send().await.unwrap();
    let text = resp.text().await.unwrap();
    assert!(
        text.contains("event: error") && text.contains("may_have_run"),
        "{text}"
    );
    assert!(!text.contains("[DONE]"), "{text}");
    assert_eq!(world.runs(), 1);
}

/// Guards against the text of an error of a second endpoint in the middle of a stream, and against a stream that seems
/// to end with it.
#[tokio::test(flavor = "multi_thread")]
async fn errors_do_not_continue_a_stream() {
    for error in [500, 404, 302, 204] {
        let world = World::model(2).await;
        for agent in &world.agents {
            agent.frames(move |req| {
                let resumed = req.resume > 0;
                let text: &[&str] = if resumed {
                    &["boom"]
                } else {
                    &["one ", "two "]
                };
                let mut frames = whole(req.id, Some(VERSION), req.resume, text);
                if !resumed {
                    frames.truncate(3);
                } else if let Reply::Head {
                    status, version, ..
                } = &mut frames[0]
                {
                    *status = error;
                    *version = version.take().filter(|_| error < 400);
                }
                frames
            });
        }
        let resp = world.completion(true).send().await.unwrap();
        let text = resp.text().await.unwrap();
        assert!(text.contains("\"text\":\"two \""), "{error}: {text}");
        assert!(text.contains("event: error"), "{error}: {text}");
        assert!(!text.contains("boom"), "{error}: {text}");
        assert!(!text.contains("[DONE]"), "{error}: {text}");
    }
}
