//! The callers' API of an entry that has just started.

mod entry_support;

use entry_support::{outcome, whole, World, VERSION};
use sesamewing::base::{Clock, Millis};

/// Guards against an entry without settings that refuses valid requests for good, as from an unknown workspace.
#[tokio::test(flavor = "multi_thread")]
async fn no_settings_means_not_run() {
    let world = World::start("drafts", 0, &[]).await;
    let resp = world.completion(false).send().await.unwrap();
    assert!(resp.headers().contains_key("Retry-After"));
    let (status, body) = outcome(resp).await;
    assert_eq!((status, &body["outcome"]), (503, &"not_run".into()));
}

/// Guards against a restarted entry that refuses requests in the moment before the first report of an agent.
#[tokio::test(flavor = "multi_thread")]
async fn first_report_is_awaited() {
    let service = [
        ("weights.version", VERSION),
        ("request.deadline", "60s"),
        ("limit.wait", "30s"),
    ];
    let nodes: [(&str, &[(&str, &str)]); 2] =
        [("/east/drafts", &service), ("/east/drafts/lab", &[])];
    let world = World::start("drafts", 1, &nodes).await;
    world.agents[0].set(|r| r.version = None);
    world.routable(0).await;
    world.agents[0].frames(|req| whole(req.id, Some(VERSION), 0, &["late"]));
    let (resp, ()) = tokio::join!(world.completion(false).send(), async {
        tokio::task::yield_now().await;
        world.agents[0].set(|r| r.version = Some(VERSION.parse().unwrap()));
    });
    let status = resp.unwrap().status();
    // On a machine so slow that the time after the start has passed, the refusal is right.
    assert!(
        status == 200 || world.ctx.clock.now() >= Millis(2000),
        "{status}"
    );
}
