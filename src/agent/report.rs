//! Reports to the entries that watch this agent.

use std::sync::atomic::{AtomicU64, Ordering};

use super::board::{Board, View};
use crate::{
    base::{Millis, Service, VersionName},
    net::Call,
    process::Context,
    wire::{AgentReport, AgentState, WatchRequest},
};

/// Shortest time between two reports that differ only in load, so that each request does not cause a report to each
/// watcher. Every report costs the watcher some 80 B and as much again for packets and acknowledgements; the requests
/// that a watcher itself adds between two reports are known to it.
const SPACING: Millis = Millis(250);

/// Longest time between two reports, whatever the watcher asks for.
const INTERVAL_MAX: Millis = Millis(1000);

/// Time for the watcher to read a report.
const SEND_TIMEOUT: Millis = Millis(2000);

/// Returns what a watcher must learn at once: it changes with drains and status calls to the endpoint, not with requests.
fn admits(v: &View) -> (AgentState, Option<&VersionName>, u32) {
    (v.state(), v.endpoint.version.as_ref(), v.endpoint.capacity)
}

/// Numbers the reports of this run of the process.
#[derive(Debug, Default)]
pub(super) struct Reporter {
    sequence: AtomicU64,
}

impl Reporter {
    /// Sends reports on change and regularly until the watcher closes the stream.
    pub(super) async fn serve(
        &self,
        ctx: &Context,
        service: &Service,
        board: &Board,
        req: WatchRequest,
        mut call: Call,
    ) {
        let interval = req.interval.clamp(SPACING, INTERVAL_MAX);
        let mut changes = board.watch();
        let (mut from, _) = board.prefixes(u64::MAX);
        loop {
            let sent = changes.borrow_and_update().clone();
            let (next, prefixes) = board.prefixes(from);
            from = next;
            let report = self.report(ctx, service, board, prefixes);
            if call.tx.send_within(&report, SEND_TIMEOUT).await.is_err() {
                return;
            }
            let changed = async {
                // What decides whether requests may be sent here is not held back.
                let urgent = changes.wait_for(|v| admits(v) != admits(&sent));
                let held = tokio::time::timeout(SPACING.duration(), urgent)
                    .await
                    .is_err();
                if held {
                    // Compares states, because the wait before takes note of changes without reporting them.
                    let _ = changes.wait_for(|v| *v != sent).await;
                }
            };
            tokio::select! {
                _ = tokio::time::timeout(interval.duration(), changed) => {}
                () = call.tx.closed() => return,
            }
        }
    }

    fn report(
        &self,
        ctx: &Context,
        service: &Service,
        board: &Board,
        prefixes: Vec<u64>,
    ) -> AgentReport {
        let view = board.view();
        AgentReport {
            name: ctx.settings.name.clone(),
            instance: ctx.instance,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed),
            service: service.clone(),
            state: view.state(),
            version: view.endpoint.version.clone(),
            applied: ctx.replica.applied(),
            running: view.running,
            waiting: view.endpoint.waiting,
            capacity: view.endpoint.capacity,
            speed: view.endpoint.speed,
            prefixes,
        }
    }
}
