//! Brings a process up to date: from the log, or from a parent in the tree.

use std::net::SocketAddr;

use super::{
    follow::{self, LogReader, Polled, READ_WAIT},
    subscribe::{Subscription, SILENCE},
    writer::write_snapshots,
};
use crate::{
    backing::{HostList, HttpPlatform},
    base::{Millis, Offset},
    decide::feed::{plan, Plan},
    emit,
    process::Context,
};

crate::events! {
    /// A process replaced its parent.
    PARENT_REPLACED = 105, "feed-parent-replaced", Info,
        "the process that this one receives the control stream from was silent or behind and is replaced", "nothing, unless it repeats";
}

/// Mean pause after the log did not answer.
const RETRY_PAUSE: Millis = Millis(300);

/// Mean pause before a process that is no reader reads the log, so that a zone that lost its readers does not read it
/// at once.
const DIRECT_PAUSE: Millis = Millis(1000);

/// Time since the last confirmation by the log after which a reader without a log tries another peer.
const AGE_MAX: Millis = Millis(3000);

/// Keeps the replica of a process up to date until the task is dropped.
pub async fn run(ctx: Context) {
    let replica = &ctx.replica;
    tokio::join!(
        follow::watch_contact(replica),
        write_snapshots(replica, &ctx.platform, &ctx.settings.name),
        hosts(&ctx),
        control(&ctx),
    );
}

fn current_plan(ctx: &Context) -> Plan {
    plan(
        &ctx.replica.hosts().hosts,
        &ctx.settings.name,
        &ctx.settings.zone,
    )
}

/// Reads the host list while this process is a reader.
async fn hosts(ctx: &Context) {
    loop {
        while !current_plan(ctx).reader {
            let mut changed = ctx.replica.watch_hosts();
            changed.mark_unchanged();
            if !current_plan(ctx).reader && changed.changed().await.is_err() {
                return;
            }
        }
        tokio::select! {
            () = follow::follow_hosts(&ctx.replica, &ctx.platform) => {}
            () = role(ctx, false) => {}
        }
    }
}

/// Waits until this process is, or is no longer, a reader.
async fn role(ctx: &Context, reader: bool) {
    let mut changed = ctx.replica.watch_hosts();
    let wait = changed.wait_for(|hosts| {
        plan(&hosts.hosts, &ctx.settings.name, &ctx.settings.zone).reader == reader
    });
    // The sender lives in the replica, so the channel cannot close.
    let _ = wait.await;
}

async fn control(ctx: &Context) {
    // Without the list every process would take itself for a reader.
    if let Ok(hosts) = ctx.platform.hosts().await {
        ctx.replica.set_hosts(hosts);
    }
    let mut failed: usize = 0;
    loop {
        let plan = current_plan(ctx);
        if plan.reader {
            tokio::select! {
                () = read_log(ctx) => {}
                () = role(ctx, false) => {}
            }
            continue;
        }
        match plan.candidates.get(failed) {
            Some(parent) => {
                let (peer, name) = (parent.peer, parent.name.clone());
                let Some(reason) = follow_parent(ctx, &name, peer).await else {
                    failed = 0;
                    continue;
                };
                emit!(PARENT_REPLACED, "{name}: {reason}");
                failed += 1;
            }
            None => {
                direct(ctx).await;
                failed = 0;
            }
        }
    }
}

/// Receives from a parent until it fails or another role is due; returns why it failed.
async fn follow_parent(
    ctx: &Context,
    name: &crate::base::ProcessName,
    peer: SocketAddr,
) -> Option<String> {
    let receive = async {
        let mut subscription = match Subscription::open(ctx, peer).await {
            Ok(s) => s,
            Err(e) => return e.to_string(),
        };
        loop {
            if let Err(e) = subscription.step().await {
                return e.to_string();
            }
        }
    };
    tokio::select! {
        reason = receive => {
            // The next exchange must not wait on a silent connection.
            ctx.transport.discard(peer);
            Some(reason)
        }
        () = unfit(ctx, name) => None,
    }
}

/// Waits until this process becomes a reader, or a parent is no longer a live host of lower rank.
///
/// A parent is kept although another would follow from a changed list, because each change of the list would otherwise
/// move most subscriptions.
async fn unfit(ctx: &Context, parent: &crate::base::ProcessName) {
    let mut changed = ctx.replica.watch_hosts();
    let wait = changed.wait_for(|hosts| {
        let (me, zone) = (&ctx.settings.name, &ctx.settings.zone);
        plan(&hosts.hosts, me, zone).reader
            || !crate::decide::feed::may_follow(&hosts.hosts, me, zone, parent)
    });
    let _ = wait.await;
}

/// Reads the log and the host list once after a random pause.
async fn direct(ctx: &Context) {
    follow::pause(DIRECT_PAUSE).await;
    let mut reader = LogReader::new(&ctx.replica, &ctx.platform);
    while reader.poll(Millis::ZERO).await == Polled::Current && reader.is_behind() {}
    if let Ok(hosts) = ctx.platform.hosts().await {
        ctx.replica.set_hosts(hosts);
    }
}

/// Reads the log; while it does not answer or continue the applied state, receives from other readers or seeds.
async fn read_log(ctx: &Context) {
    let mut reader = LogReader::new(&ctx.replica, &ctx.platform);
    if ctx.replica.applied() == Offset(0) {
        reader.start().await;
    }
    let mut next = 0;
    loop {
        match reader.poll(READ_WAIT).await {
            Polled::Current => {}
            // Another process may have the records that the log lost.
            Polled::Blocked | Polled::Unreachable => {
                tokio::select! {
                    () = recovers(&mut reader) => {}
                    () = follow_any(ctx, &mut next) => {}
                }
            }
        }
    }
}

/// Waits until the log continues the applied state again.
async fn recovers(reader: &mut LogReader<'_, HttpPlatform>) {
    loop {
        follow::pause(RETRY_PAUSE).await;
        if reader.poll(Millis::ZERO).await == Polled::Current {
            return;
        }
    }
}

/// Receives from one peer after another; `next` is the one to ask.
async fn follow_any(ctx: &Context, next: &mut usize) {
    loop {
        let plan = current_plan(ctx);
        let listed = plan.candidates.iter().map(|h| h.peer);
        let peers: Vec<_> = listed
            .chain(ctx.settings.seeds.iter().copied())
            .filter(|p| *p != ctx.settings.peer)
            .collect();
        if let Some(peer) = peers.get(*next % peers.len().max(1)) {
            follow_once(ctx, *peer).await;
            ctx.transport.discard(*peer);
        }
        *next = next.wrapping_add(1);
        follow::pause(RETRY_PAUSE).await;
    }
}

/// Receives from a peer until it fails or does not learn from the log either.
async fn follow_once(ctx: &Context, peer: SocketAddr) {
    let Ok(mut subscription) = Subscription::open(ctx, peer).await else {
        return;
    };
    let since = tokio::time::Instant::now();
    while let Ok(age) = subscription.step().await {
        // Even a peer without the log may know more than this process at first.
        if age > AGE_MAX && since.elapsed() > SILENCE.duration() {
            return;
        }
    }
}
