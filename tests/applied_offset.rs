//! The applied offset never goes back, whatever a peer offers.

mod feed_support;

use feed_support::{fleet::Fleet, until};
use sesamewing::{
    backing::{Log, Stream},
    base::{wall_ms, Millis, Offset},
    feed,
    kernel::{Entry, Kernel, Record},
};
use sesamewing_standin::PlatformOptions;

/// Guards against a peer with an older state that is followed silently or takes a change back.
#[tokio::test(flavor = "multi_thread")]
async fn older_peer_changes_nothing() {
    let mut fleet = Fleet::new(PlatformOptions::default()).await;
    let url = fleet.server.url();
    for _ in 0..3 {
        fleet.add("east-a", &url, Vec::new()).await;
    }
    let member = (0..3).find(|i| !fleet.plan(*i).reader).expect("a member");
    let data = Record::new(feed_support::log::change(0, Offset(0), 1)).encode();
    let data = data.expect("a small record");
    let ahead = fleet.nodes[member].ctx.clone();
    let entry = Entry {
        offset: Offset(1),
        time: Millis(wall_ms()),
        data: data.clone(),
    };
    ahead.replica.apply(&entry).expect("the next entry");
    let before = ahead.replica.with_kernel(Kernel::digest);
    // It serves nobody, so that the others cannot catch up from it.
    let task = tokio::spawn(feed::run(ahead.clone()));
    (0..3).filter(|i| *i != member).for_each(|i| fleet.start(i));
    until("an alarm", || ahead.replica.status().blocked.is_some()).await;
    assert_eq!(ahead.replica.applied(), Offset(1));
    assert_eq!(ahead.replica.with_kernel(Kernel::digest), before);
    fleet
        .platform
        .append(Stream::Control, data)
        .await
        .expect("it is up");
    fleet.in_force(Offset(1)).await;
    until("the alarm is cleared", || {
        ahead.replica.status().blocked.is_none()
    })
    .await;
    task.abort();
}

/// Guards against a state that mixes records of several sources: equal offsets must mean equal states.
#[tokio::test(flavor = "multi_thread")]
async fn sources_do_not_mix() {
    let mut fleet = Fleet::new(PlatformOptions::default()).await;
    fleet.grow(&["east-a", "west-a"], 6).await;
    let mut last = Offset(0);
    for n in 0..100 {
        last = fleet.publish(n).await;
        let (from, to) = (n as usize % 6, (n as usize + 1) % 6);
        let (from, to) = (&fleet.nodes[from], &fleet.nodes[to]);
        // Pulls compete with the feed; both may bring the same records.
        feed::catch_up(&to.ctx, from.entry.peer, from.applied()).await;
    }
    fleet.in_force(last).await;
    fleet.assert_equal();
    assert!(fleet
        .nodes
        .iter()
        .all(|n| n.ctx.replica.status().blocked.is_none()));
}
