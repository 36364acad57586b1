//! The drain of a region's hosts before its credits end.

mod burst_support;

use burst_support::{
    common::{daemon::tls, engine::Engine, platform::Platform, until, within},
    name, place, ranked, start,
};
use sesamewing::{
    agent,
    base::{Millis, Offset},
    decide::burst::{CreditDrain, DrainStage},
    process::Phase,
    settings::Tree,
};

/// Guards against hosts that drain all at the same time, later than half the lead, or earlier because ranks shift when
/// other hosts leave.
#[test]
fn credit_end_spreads_the_drains() {
    let (ends, lead) = (Millis(10_000_000), Millis(600_000));
    let mut live = ranked(20);
    let mut agents: Vec<_> = live
        .iter()
        .map(|a| (a.clone(), CreditDrain::default()))
        .collect();
    let mut left = Vec::new();
    for now in (8_700_000..ends.0).step_by(1000) {
        let view = live.clone();
        agents.retain_mut(|(a, c)| {
            let stage = c.tick(Millis(now), ends, lead, Some(&place(a, &view)));
            let wanted = now >= ends.0 - 2 * lead.0;
            assert_eq!(stage != DrainStage::Far, wanted, "{now}");
            if stage == DrainStage::Drain {
                left.push(now);
                live.retain(|l| l != a);
            }
            stage != DrainStage::Drain
        });
    }
    let want: Vec<_> = (0..20).map(|i| 9_400_000 + i * 15_000).collect();
    assert_eq!(left, want);
}

/// Guards against a drain although the credits do not end, against hosts that do not drain because the host list lacks
/// them, and against an end that was moved without effect.
#[test]
fn credit_end_follows_the_settings() {
    let (ends, lead) = (Millis(10_000_000), Millis(600_000));
    let mut c = CreditDrain::default();
    assert_eq!(
        c.tick(Millis::MAX, Millis::ZERO, lead, None),
        DrainStage::Far
    );
    assert_eq!(
        c.tick(Millis(9_699_999), ends, lead, None),
        DrainStage::Announced
    );
    assert_eq!(
        c.tick(Millis(9_700_000), ends, lead, None),
        DrainStage::Drain
    );
    let later = ends + lead.times(4);
    assert_eq!(
        c.tick(Millis(9_700_000), later, lead, None),
        DrainStage::Far
    );
}

/// Guards against settings under which every host would drain at once.
#[test]
fn past_end_of_credits_is_rejected() {
    let text = |ends: u32| {
        format!("regions:\n  east:\n    settings:\n      burst.ends: {ends}\n    services:\n      drafts: {{}}\n")
    };
    let found =
        Tree::parse(&text(1_700_000_000)).expect_err("an end of credits in the past is rejected");
    assert_eq!(found.len(), 1, "{found:?}");
    assert!(found[0].reason.contains("in the past"), "{found:?}");
    for ends in [0, u32::MAX] {
        Tree::parse(&text(ends)).expect("no end of credits, or one in the future, is accepted");
    }
}

/// Guards against an agent that does not drain before the credits of its region end.
#[tokio::test]
async fn agent_drains_before_credits_end() {
    let platform = Platform::default();
    let at = platform.serve().await;
    let dir = tempfile::tempdir().expect("a directory");
    let files = tls(&dir);
    let engine = Engine::default();
    let ctx = start(&name(0), at, engine.serve().await, &files);
    let run = tokio::spawn(agent::run(ctx.clone()));
    until("the list", || ctx.replica.hosts().hosts.len() == 1).await;
    // The lead begins in an hour, so that the test does not reach it on a slow machine either.
    let soon = sesamewing::base::wall_ms() / 1000 + 7 * 86_400 + 3600;
    platform.publish(
        "/east",
        Offset(0),
        &[("burst.ends", &soon.to_string()), ("burst.lead", "7d")],
    );
    let service = platform.publish("/east/drafts", Offset(0), &[]);
    until("the settings", || ctx.replica.applied() >= service).await;
    until("the alarm", || {
        let alarms = &ctx.status.load().alarms;
        alarms.iter().any(|a| a.contains("SW520"))
    })
    .await;
    assert_eq!(ctx.phase(), Phase::Serving);
    let over = (sesamewing::base::wall_ms() / 1000 + 3600).to_string();
    platform.publish(
        "/east",
        Offset(1),
        &[("burst.ends", &over), ("burst.lead", "7d")],
    );
    within("the end", run)
        .await
        .expect("no panic")
        .expect("no error");
    assert_eq!(ctx.phase(), Phase::Stopped);
}
