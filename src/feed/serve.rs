//! Serves the control stream to other processes.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use super::{catch_up, Missing, Replica};
use crate::{
    base::{Millis, Offset},
    decide::feed::DEGREE,
    kernel::Snapshot,
    net::{Call, NetError},
    process::Context,
    wire::{FeedItem, FeedRecord, FeedRequest, Hosts, HostsUpdate},
};

/// Subscriptions served at once: room for the children of a lost sibling and for new processes.
const SUBSCRIBERS_MAX: usize = 4 * DEGREE;

/// Records in one item.
const RECORDS_MAX: usize = 256;

/// Bytes of records in one item, unless one record alone is larger.
const BYTES_MAX: usize = 256 << 10;

/// Bounds of the interval that a subscriber may ask for.
const INTERVAL: (Millis, Millis) = (Millis(100), Millis(5000));

/// Time for a subscriber to read an item.
const SEND_TIMEOUT: Millis = Millis(5000);

/// Serves a subscription until the subscriber leaves; a process that is full closes the stream at once.
pub async fn serve(
    ctx: &Context,
    peer: SocketAddr,
    applied: Offset,
    req: &FeedRequest,
    call: Call,
) {
    let Some(_place) = ctx.replica.place(SUBSCRIBERS_MAX) else {
        return;
    };
    let mut sender = Sender {
        replica: &ctx.replica,
        call,
        next: req.from,
        interval: req.interval.clamp(INTERVAL.0, INTERVAL.1).duration(),
        hosts: None,
    };
    let hosts = ctx.replica.hosts();
    if hosts.digest() == req.hosts {
        sender.hosts = Some(hosts);
    }
    // A subscriber is ahead for example after it has read the log itself.
    let (served, _) = tokio::join!(sender.run(), catch_up(ctx, peer, applied));
    if let Err(e) = served {
        log::debug!("the subscription of {peer} ended: {e}");
    }
}

struct Sender<'a> {
    replica: &'a Replica,
    call: Call,
    /// First offset that the subscriber lacks.
    next: Offset,
    interval: Duration,
    /// Host list as the subscriber has it.
    hosts: Option<Arc<Hosts>>,
}

impl Sender<'_> {
    async fn run(&mut self) -> Result<(), NetError> {
        let (mut applied, mut hosts) = (self.replica.watch(), self.replica.watch_hosts());
        loop {
            applied.mark_unchanged();
            hosts.mark_unchanged();
            let more = self.step().await?;
            if more {
                continue;
            }
            tokio::select! {
                _ = applied.changed() => {}
                _ = hosts.changed() => {}
                () = self.call.tx.closed() => return Ok(()),
                () = tokio::time::sleep(self.interval) => {}
            }
        }
    }

    /// Sends an item; returns whether the subscriber lacks more.
    async fn step(&mut self) -> Result<bool, NetError> {
        let entries = match self.replica.missing(self.next, RECORDS_MAX) {
            Missing::Records(entries) => entries,
            Missing::State(snapshot) => {
                self.send_state(&snapshot).await?;
                return Ok(true);
            }
        };
        let mut bytes = 0;
        let mut item = self.item();
        let count = entries.len();
        for entry in entries {
            bytes += entry.data.len();
            if bytes > BYTES_MAX && !item.records.is_empty() {
                break;
            }
            self.next = entry.offset.next();
            item.records.push(FeedRecord::from(entry));
        }
        let more = count == RECORDS_MAX || item.records.len() < count;
        item.hosts = self.hosts_update();
        self.call.tx.send_within(&item, SEND_TIMEOUT).await?;
        Ok(more)
    }

    async fn send_state(&mut self, snapshot: &Snapshot) -> Result<(), NetError> {
        for chunk in snapshot.split() {
            let item = FeedItem {
                snapshot: Some(chunk),
                ..self.item()
            };
            self.call.tx.send_within(&item, SEND_TIMEOUT).await?;
        }
        self.next = snapshot.applied.next();
        Ok(())
    }

    fn item(&self) -> FeedItem {
        FeedItem {
            applied: self.replica.applied(),
            age: self.replica.age(),
            snapshot: None,
            records: Vec::new(),
            hosts: None,
        }
    }

    fn hosts_update(&mut self) -> Option<HostsUpdate> {
        let now = self.replica.hosts();
        let update = match &self.hosts {
            Some(old) if Arc::ptr_eq(old, &now) => return None,
            Some(old) => HostsUpdate::between(old, &now),
            // A process that knows no host yet tells none.
            None if now.hosts.is_empty() => return None,
            None => HostsUpdate::whole(&now),
        };
        self.hosts = Some(now);
        Some(update)
    }
}
