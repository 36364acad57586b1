//! Subscriptions to the reports of agents.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::task::{AbortHandle, JoinSet};

use super::{events::REPORT_FOREIGN, shared::Shared};
use crate::{
    base::{jitter, HashMap, Millis, ProcessName},
    decide::member::{Action, SUSPECT_AFTER},
    emit,
    net::follow_reports,
    wire::{Call, WatchRequest},
};

/// Time between two looks at host list, settings and clocks.
const TICK: Duration = Duration::from_millis(200);

/// Heartbeat interval that agents are asked for.
const INTERVAL: Millis = Millis(1000);

/// First and longest pause before a subscription is opened again.
const PAUSE: (Millis, Millis) = (Millis(50), Millis(2000));

/// Keeps a subscription to each agent that the membership chose.
pub(super) async fn watch(shared: Arc<Shared>) {
    let mut tasks = JoinSet::new();
    let mut watches: HashMap<ProcessName, AbortHandle> = HashMap::default();
    let mut applied = shared.ctx.replica.watch();
    loop {
        for action in shared.tick() {
            match action {
                Action::Watch(name, peer) => {
                    let task = tasks.spawn(subscribe(shared.clone(), name.clone(), peer));
                    if let Some(old) = watches.insert(name, task) {
                        old.abort();
                    }
                }
                Action::Unwatch(name) => {
                    if let Some(task) = watches.remove(&name) {
                        task.abort();
                    }
                }
            }
        }
        while tasks.try_join_next().is_some() {}
        // A settings change is applied at once; the host list is looked at with each tick.
        let _ = tokio::time::timeout(TICK, applied.changed()).await;
    }
}

/// Follows the reports of one agent until the task is aborted.
async fn subscribe(shared: Arc<Shared>, name: ProcessName, peer: SocketAddr) {
    let mut pause = PAUSE.0;
    loop {
        if follow(&shared, &name, peer).await {
            pause = PAUSE.0;
        }
        // The connection may be silent although the agent is alive: the next try uses a fresh one.
        shared.ctx.transport.discard(peer);
        shared.broken(&name);
        tokio::time::sleep(jitter(pause).duration()).await;
        pause = pause.times(2).min(PAUSE.1);
    }
}

/// Takes over reports until the stream ends or is silent; returns whether any arrived.
async fn follow(shared: &Shared, name: &ProcessName, peer: SocketAddr) -> bool {
    let open = shared
        .ctx
        .open(Call::Watch(WatchRequest { interval: INTERVAL }));
    let transport = &shared.ctx.transport;
    let take = |report| shared.report(report);
    let end = follow_reports(transport, peer, &open, name, SUSPECT_AFTER, take).await;
    if let Some(other) = end.foreign {
        emit!(REPORT_FOREIGN, "{other} answers at the address of {name}");
    }
    end.any
}
