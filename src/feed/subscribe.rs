//! Receives the control stream from another process.

use std::{net::SocketAddr, sync::Arc};

use super::{Cause, Replica};
use crate::{
    base::{Clock, Millis, Offset},
    kernel::{Assembler, Entry, Refusal},
    net::{self, NetError},
    process::Context,
    wire::{Call, FeedItem, FeedRequest, Hosts},
};

/// Time without an item after which a parent counts as silent.
pub(super) const SILENCE: Millis = Millis(1000);

/// Interval asked for, so that one lost packet does not make a parent silent.
const INTERVAL: Millis = Millis(350);

/// Time for which a parent may be behind, for example because a restarted process is still catching up.
const BEHIND_MAX: Millis = Millis(2000);

/// Time to catch up with a sender that is ahead.
const CATCH_UP: Millis = Millis(500);

/// Largest item, in bytes: records up to 512 KiB, and a whole host list of ten times the target size.
const ITEM_MAX: usize = 4 << 20;

/// Why a subscription ended.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum End {
    /// The peer is silent or refused.
    #[error(transparent)]
    Lost(#[from] NetError),
    /// The peer has applied less than this process for too long.
    #[error("the peer has applied {found}, this process {applied}")]
    Behind {
        /// Offset of the peer.
        found: Offset,
        /// Offset of this process.
        applied: Offset,
    },
    /// The next item does not continue the applied state.
    #[error("{0}")]
    Refused(Refusal),
}

/// A subscription to one peer.
#[derive(Debug)]
pub(super) struct Subscription<'a> {
    ctx: &'a Context,
    call: net::Call,
    assembler: Assembler,
    /// Host list that the updates of this subscription build on.
    hosts: Arc<Hosts>,
    /// Time since which the peer is behind.
    behind: Option<Millis>,
}

impl<'a> Subscription<'a> {
    /// Opens a subscription.
    pub(super) async fn open(ctx: &'a Context, peer: SocketAddr) -> Result<Self, NetError> {
        let hosts = ctx.replica.hosts();
        let request = Call::Feed(FeedRequest {
            from: ctx.replica.applied().next(),
            interval: INTERVAL,
            hosts: hosts.digest(),
        });
        let open = ctx.open(request);
        let call = tokio::time::timeout(SILENCE.duration(), ctx.transport.call(peer, &open));
        let call = call.await.map_err(|_| NetError::Timeout(SILENCE))??;
        Ok(Self {
            ctx,
            call,
            assembler: Assembler::default(),
            hosts,
            behind: None,
        })
    }

    /// Receives and applies one item; returns the time since the log confirmed the sender's state.
    pub(super) async fn step(&mut self) -> Result<Millis, End> {
        let item: FeedItem = self.call.rx.next(ITEM_MAX, SILENCE).await?;
        let replica = &self.ctx.replica;
        replica.reached();
        let age = item.age;
        let found = item.applied;
        if let Some(update) = item.hosts {
            self.hosts = Arc::new(update.apply(&self.hosts));
            replica.set_hosts(Hosts::clone(&self.hosts));
        }
        if let Some(snapshot) = item.snapshot.and_then(|c| self.assembler.add(c)) {
            if let Some(kernel) = snapshot.kernel() {
                replica.restore(kernel);
            }
        }
        for record in item.records {
            apply(replica, &Entry::from(record))?;
        }
        self.compare(found)?;
        if replica.applied() == found {
            replica.confirm(age);
            replica.clear_refuted(age);
        }
        Ok(age)
    }

    /// Raises an alarm if the peer stays behind.
    fn compare(&mut self, found: Offset) -> Result<(), End> {
        let replica = &self.ctx.replica;
        let applied = replica.applied();
        if found >= applied {
            self.behind = None;
            replica.clear(Cause::Peer);
            return Ok(());
        }
        let now = self.ctx.clock.now();
        if now < *self.behind.get_or_insert(now) + BEHIND_MAX {
            return Ok(());
        }
        let end = End::Behind { found, applied };
        replica.raise(Cause::Peer, end.to_string());
        Err(end)
    }
}

fn apply(replica: &Replica, entry: &Entry) -> Result<(), End> {
    match replica.apply(entry) {
        Ok(_) => {
            replica.clear(Cause::Schema);
            Ok(())
        }
        Err(Refusal::Old { .. }) => Ok(()),
        Err(refusal) => {
            if matches!(refusal, Refusal::Newer(_)) {
                replica.raise(Cause::Schema, refusal.to_string());
            }
            Err(End::Refused(refusal))
        }
    }
}

/// Catches up with a sender that has applied `offset`; returns whether that happened within 500 ms.
///
/// Of several calls at once one asks its sender, the others wait.
pub async fn catch_up(ctx: &Context, sender: SocketAddr, offset: Offset) -> bool {
    if ctx.replica.applied() >= offset {
        return true;
    }
    let wait = ctx.replica.wait_for(offset, CATCH_UP);
    let ask = async {
        let Some(_guard) = ctx.replica.catching() else {
            return std::future::pending().await;
        };
        if let Ok(mut subscription) = Subscription::open(ctx, sender).await {
            while ctx.replica.applied() < offset && subscription.step().await.is_ok() {}
        }
        std::future::pending().await
    };
    tokio::select! {
        done = wait => done,
        never = ask => never,
    }
}
