//! Non-repeatable requests whose agent is lost.

mod entry_support;

use entry_support::{outcome, reply, whole, World};
use sesamewing::{
    base::{wall_ms, Digest, Millis},
    kernel::Outcome,
    wire::{NotRun, Reply, RunOutcome, RunRequest, SettleReply},
};

fn order(world: &World, id: &str) -> reqwest::RequestBuilder {
    let req = world.request("POST", "/v1/services/orders/new?crew=2");
    req.header("Idempotency-Key", id)
        .header("Content-Type", "text/plain")
        .body("dig")
}

/// A new id whose time lies ahead, so that it counts as new however slow the machine is.
fn fresh() -> String {
    id_at(wall_ms() + 30_000)
}

fn id_at(unix_ms: u64) -> String {
    let time = uuid::Timestamp::from_unix(uuid::NoContext, unix_ms / 1000, 0);
    uuid::Uuid::new_v7(time).to_string()
}

/// Makes the agents lose the first request, and answer settle calls as given.
async fn lose_one(world: &World, settle: Option<SettleReply>) {
    for agent in &world.agents {
        let counts: Vec<_> = world.agents.clone();
        agent.script(move |req: RunRequest, mut call| {
            let first = counts.iter().map(|a| a.runs().len()).sum::<usize>() == 1;
            async move {
                // The first run of all is lost after it was sent.
                if !first {
                    reply(&mut call, whole(req.id, None, 0, &["placed"])).await;
                }
            }
        });
        if let Some(settle) = settle.clone() {
            agent.set_settle(settle);
        }
    }
}

/// Guards against a request that may run only once but passes without an id that shows its age.
#[tokio::test(flavor = "multi_thread")]
async fn key_is_required() {
    let world = World::plain(1).await;
    let bare = world.request("POST", "/v1/services/orders/new").body("dig");
    let v4 = "9b1deb4d-3b7d-4bad-9bdd-2b0d7b3dcb6d";
    let climb = world.request("GET", "/v1/services/orders/..%2fsecret");
    for req in [bare, order(&world, v4), climb] {
        let (status, body) = outcome(req.send().await.unwrap()).await;
        assert_eq!((status, &body["outcome"]), (400, &"refused".into()));
    }
    assert_eq!(world.runs(), 0);
    let id = fresh();
    let resp = order(&world, &id).send().await.unwrap();
    assert_eq!(resp.status(), 200);
    assert_eq!(resp.headers()["Sesamewing-Request"], id);
    let run = world.agents[0].runs().remove(0);
    assert_eq!(run.path, "/new?crew=2");
    assert_eq!((run.id.to_string(), run.attempt.unwrap().0), (id, 1));
}

/// Guards against a form field that turns an order into another method before its key is asked for.
#[tokio::test(flavor = "multi_thread")]
async fn form_cannot_change_the_method() {
    let world = World::plain(1).await;
    let req = world.request("POST", "/v1/services/orders/new");
    let form = "application/x-www-form-urlencoded";
    let resp = req
        .header("Content-Type", form)
        .body("_method=get&x=1")
        .send()
        .await
        .unwrap();
    assert_eq!(resp.status(), 400);
    assert_eq!(world.runs(), 0);
}

/// Guards against an order that runs twice, or is lost, when a void attempt is repeated.
#[tokio::test(flavor = "multi_thread")]
async fn void_attempt_runs_elsewhere() {
    let world = World::plain(2).await;
    lose_one(&world, Some(SettleReply::Void)).await;
    let resp = order(&world, &fresh()).send().await.unwrap();
    assert_eq!(resp.status(), 200);
    assert_eq!(resp.text().await.unwrap(), "placed");
    let mut attempts: Vec<u32> = world
        .agents
        .iter()
        .flat_map(|a| a.runs())
        .map(|r| r.attempt.unwrap().0)
        .collect();
    attempts.sort_unstable();
    assert_eq!(attempts, [1, 2]);
}

/// Guards against another attempt of an order that may have run, and against a false "not run" for it.
#[tokio::test(flavor = "multi_thread")]
async fn unknown_fate_is_told() {
    let claimed = SettleReply::Claimed {
        holder: "agent-0".parse().unwrap(),
    };
    for settle in [Some(claimed), Some(SettleReply::Unknown), None] {
        let world = World::plain(2).await;
        lose_one(&world, settle.clone()).await;
        let resp = order(&world, &fresh()).send().await.unwrap();
        assert_eq!(resp.headers()["Sesamewing-Outcome"], "may_have_run");
        let (status, body) = outcome(resp).await;
        assert_eq!(
            (status, &body["outcome"]),
            (504, &"may_have_run".into()),
            "{settle:?}"
        );
        assert_eq!(world.runs(), 1, "{settle:?}");
        assert_eq!(
            world.agents.iter().map(|a| a.settled()).sum::<u32>(),
            1,
            "{settle:?}"
        );
    }
}

/// Guards against a wait for the deadline when nobody is left who could settle.
#[tokio::test(flavor = "multi_thread")]
async fn without_agents_the_answer_is_immediate() {
    let world = World::plain(1).await;
    lose_one(&world, Some(SettleReply::Void)).await;
    let begun = std::time::Instant::now();
    let (status, body) = outcome(order(&world, &fresh()).send().await.unwrap()).await;
    assert_eq!((status, &body["outcome"]), (504, &"may_have_run".into()));
    // The deadline is 30 s.
    assert!(begun.elapsed().as_secs() < 10);
    assert_eq!(
        world.agents[0].settled(),
        0,
        "the lost agent cannot settle its own attempt"
    );
}

/// Guards against a second run where the first outcome is known.
#[tokio::test(flavor = "multi_thread")]
async fn first_outcome_is_repeated() {
    let world = World::plain(2).await;
    let first = Outcome {
        status: 201,
        media: "text/plain".to_owned(),
        digest: Digest::of(b"order 17"),
        body: Some(b"order 17".to_vec()),
    };
    lose_one(&world, Some(SettleReply::Done(first))).await;
    let resp = order(&world, &fresh()).send().await.unwrap();
    assert_eq!(resp.status(), 201);
    assert_eq!(resp.text().await.unwrap(), "order 17");
    assert_eq!(world.runs(), 1);
}

/// Guards against outcomes of the agent that reach the caller as another one.
#[tokio::test(flavor = "multi_thread")]
async fn outcomes_keep_their_meaning() {
    let holder = "agent-9".parse().unwrap();
    let cases = [
        (RunOutcome::NotRun(NotRun::Digest), 422, "conflict"),
        (RunOutcome::NotRun(NotRun::Expired), 410, "expired"),
        (RunOutcome::InProgress { holder }, 409, "in_progress"),
        (RunOutcome::NotRun(NotRun::Log), 503, "not_run"),
        (RunOutcome::MayHaveRun, 504, "may_have_run"),
    ];
    let world = World::plain(1).await;
    for (given, status, kind) in cases {
        let failed = given.clone();
        world.agents[0].frames(move |req| {
            vec![Reply::Failed {
                id: req.id,
                outcome: failed.clone(),
                retry: Millis(400),
            }]
        });
        let resp = order(&world, &fresh()).send().await.unwrap();
        let again = resp.headers().contains_key("Retry-After");
        assert_eq!(
            again,
            matches!(kind, "in_progress" | "not_run"),
            "{given:?}"
        );
        let (got, body) = outcome(resp).await;
        assert_eq!((got, &body["outcome"]), (status, &kind.into()), "{given:?}");
    }
}

/// Guards against an order that is lost, or sent to the same agent again, after an agent refused it.
#[tokio::test(flavor = "multi_thread")]
async fn refused_attempt_keeps_its_number() {
    let world = World::plain(2).await;
    let counts: Vec<_> = world.agents.clone();
    for agent in &world.agents {
        let counts = counts.clone();
        agent.script(move |req: RunRequest, mut call| {
            let first = counts.iter().map(|a| a.runs().len()).sum::<usize>() == 1;
            async move {
                let refusal = Reply::Failed {
                    id: req.id,
                    outcome: RunOutcome::NotRun(NotRun::Endpoint),
                    retry: Millis(100),
                };
                let frames = if first {
                    vec![refusal]
                } else {
                    whole(req.id, None, 0, &["placed"])
                };
                reply(&mut call, frames).await;
            }
        });
    }
    assert_eq!(order(&world, &fresh()).send().await.unwrap().status(), 200);
    for agent in &world.agents {
        let attempts: Vec<u32> = agent.runs().iter().map(|r| r.attempt.unwrap().0).collect();
        assert_eq!(attempts, [1], "no claim was made, so the number stays");
    }
}

/// Guards against "not run" of an order that an earlier call with the same id may have placed.
#[tokio::test(flavor = "multi_thread")]
async fn repeated_id_is_not_said_not_run() {
    let world = World::plain(1).await;
    world.agents[0].frames(|req| {
        vec![Reply::Failed {
            id: req.id,
            outcome: RunOutcome::NotRun(NotRun::Log),
            retry: Millis(400),
        }]
    });
    let new = order(&world, &fresh());
    let repeated = order(&world, &fresh()).header("Sesamewing-Repeat", "true");
    let old = order(&world, &id_at(wall_ms() - 60_000));
    for (req, status, kind) in [
        (new, 503, "not_run"),
        (repeated, 504, "may_have_run"),
        (old, 504, "may_have_run"),
    ] {
        let (got, body) = outcome(req.send().await.unwrap()).await;
        assert_eq!((got, &body["outcome"]), (status, &kind.into()));
        assert!(body["retry_after_ms"].as_u64().is_some(), "{body}");
    }
}
