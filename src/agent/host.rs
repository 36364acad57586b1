//! The agent's entry in the host list, and its drain.

use tokio::sync::oneshot;

use super::{board::Board, claims::Claims, event::DRAINING};
use crate::{
    backing::HostList,
    base::{Clock, Millis},
    emit,
    process::{Context, Phase},
};

/// Time between two announcements; the list may forget a silent process.
const ANNOUNCE_INTERVAL: Millis = Millis(3000);

/// Pause after a failed announcement.
const RETRY_PAUSE: Millis = Millis(500);

/// Time to remove the entry; after that the list is left to forget it.
const REMOVE_TIMEOUT: Millis = Millis(2000);

/// Time to append outcomes that were answered already; without them repeated ids get `MayHaveRun`.
const RECORD_TIME: Millis = Millis(5000);

/// Pause between two looks at the work in progress during a drain.
const DRAIN_PAUSE: Millis = Millis(20);

/// Announces this process on each change of phase and regularly, and removes it from the list at the end.
///
/// One task does both, so that no announcement arrives after the removal.
pub(super) async fn announce(ctx: Context, mut end: oneshot::Receiver<()>) {
    let mut phase = ctx.phase.subscribe();
    loop {
        phase.mark_unchanged();
        let pause = match ctx.platform.announce(&ctx.host_entry()).await {
            Ok(()) => ANNOUNCE_INTERVAL,
            Err(_) => RETRY_PAUSE,
        };
        tokio::select! {
            _ = tokio::time::timeout(pause.duration(), phase.changed()) => {}
            _ = &mut end => break,
        }
    }
    let remove = ctx.platform.remove(&ctx.settings.name);
    // The list also drops processes that it has not heard of.
    let _ = tokio::time::timeout(REMOVE_TIMEOUT.duration(), remove).await;
}

/// Waits for the drain and completes the work in progress.
pub(super) async fn drain(ctx: &Context, board: &Board, claims: Option<&Claims>) {
    ctx.reached(Phase::Draining).await;
    board.begin_drain(ctx.clock.now());
    emit!(DRAINING, "{} requests in progress", board.view().running);
    while !board.is_drained(ctx.clock.now()) && ctx.phase() < Phase::Stopped {
        tokio::time::sleep(DRAIN_PAUSE.duration()).await;
    }
    let end = ctx.clock.now() + RECORD_TIME;
    let pending = || claims.is_some_and(|c| c.pending() > 0);
    while pending() && ctx.clock.now() < end && ctx.phase() < Phase::Stopped {
        tokio::time::sleep(DRAIN_PAUSE.duration()).await;
    }
}
