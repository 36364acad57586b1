//! Tasks beside the requests: admission of waiting requests, status, warnings and draining.

use std::{sync::Arc, time::Duration};

use super::{
    events::{DRAINED, DRAINING, WORKSPACE_OPEN},
    shared::Shared,
};
use crate::{
    base::{Millis, Offset},
    emit,
    observe::{RoleState, RoleStatus},
    process::Phase,
};

/// Interval at which requests that wait for a token of their rate are looked at.
const DISPATCH: Duration = Duration::from_millis(5);

/// Interval of the status.
const STATUS: Duration = Duration::from_millis(500);

/// Shortest time of draining: other entries and callers learn within it that this entry leaves, and are told of
/// another one instead of finding a closed port.
const DRAIN_MIN: Duration = Duration::from_secs(1);

/// Time for which the last bytes of an answer may be on their way to a slow caller: the HTTP library buffers some
/// 400 KB, which take 160 ms at 20 Mbit/s.
const FLUSH: Millis = Millis(1000);

/// Admits waiting requests as tokens of their rates arrive.
pub(super) async fn admission(shared: Arc<Shared>) {
    loop {
        shared.waiting.notified().await;
        loop {
            tokio::time::sleep(DISPATCH).await;
            let waiting = shared.gates().iter().filter(|(_, g)| g.dispatch()).count();
            if waiting == 0 {
                break;
            }
        }
    }
}

/// Keeps the status of the role current.
pub(super) async fn status(shared: Arc<Shared>) {
    let mut phase = shared.ctx.phase.subscribe();
    loop {
        let draining = *phase.borrow_and_update() != Phase::Serving;
        let state = match shared.settings().offset {
            _ if draining => RoleState::Draining,
            Offset(0) => RoleState::Starting,
            _ => RoleState::Serving,
        };
        let mut alarms = Vec::new();
        if state == RoleState::Serving {
            for (service, _) in shared.settings().services(&shared.ctx.settings.region) {
                if !shared.serves(service) {
                    alarms.push(format!("no agent of {service} takes requests"));
                }
            }
        }
        shared.ctx.status.store(Arc::new(RoleStatus {
            state,
            running: shared.running(),
            alarms,
            ..RoleStatus::default()
        }));
        let _ = tokio::time::timeout(STATUS, phase.changed()).await;
    }
}

/// Warns of workspaces without keys, once for each revision of the settings.
pub(super) async fn warnings(shared: Arc<Shared>) {
    let mut applied = shared.ctx.replica.watch();
    let mut warned = Offset(0);
    loop {
        applied.borrow_and_update();
        let settings = shared.settings();
        if settings.offset != warned {
            warned = settings.offset;
            for (service, s) in settings.services(&shared.ctx.settings.region) {
                let open = s
                    .workspaces
                    .iter()
                    .filter(|(_, w)| w.access.keys.is_empty());
                for (workspace, _) in open {
                    emit!(WORKSPACE_OPEN, "workspace {workspace} of service {service}");
                }
            }
        }
        if applied.changed().await.is_err() {
            return;
        }
    }
}

/// Ends the process once a drain was asked for and nothing is in progress.
pub(super) async fn drain(shared: Arc<Shared>) {
    shared.ctx.reached(Phase::Draining).await;
    emit!(DRAINING, "{} requests in progress", shared.running());
    tokio::time::sleep(DRAIN_MIN).await;
    shared.drained(FLUSH).await;
    emit!(DRAINED, "all requests have ended");
    shared.ctx.advance(Phase::Stopped);
}
