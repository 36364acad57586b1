//! Reads the control stream and the host list from the platform.

use std::sync::Arc;

use super::{
    replica::{Cause, Replica},
    snapshot,
};
use crate::{
    backing::{HostList, Log, Page, PlatformError, Stream},
    base::{jitter, Millis, Offset},
    kernel::{Entry, Refusal},
};

/// Longest time that one read waits at the log.
pub(super) const READ_WAIT: Millis = Millis(1000);

/// Records in one read.
const READ_MAX: usize = 512;

/// Mean pause after a failed read.
const RETRY_PAUSE: Millis = Millis(300);

/// Time between two reads of the host list.
const HOSTS_INTERVAL: Millis = Millis(1000);

/// Part of the interval for each host: a whole list of 1,600 hosts has some 400 KB.
const HOSTS_FACTOR: Millis = Millis(1);

/// Time between two checks of the last contact.
const CONTACT_INTERVAL: Millis = Millis(250);

/// Follows the log and the host list until the task is dropped.
pub async fn follow<P: Log + HostList + Clone>(replica: Arc<Replica>, platform: P) {
    tokio::join!(
        follow_log(&replica, &platform),
        follow_hosts(&replica, &platform),
        watch_contact(&replica),
    );
}

/// Checks the last contact until the task is dropped.
pub(super) async fn watch_contact(replica: &Replica) {
    loop {
        replica.check_contact();
        tokio::time::sleep(CONTACT_INTERVAL.duration()).await;
    }
}

async fn follow_log<P: Log>(replica: &Replica, platform: &P) {
    let mut reader = LogReader::new(replica, platform);
    loop {
        if reader.poll(READ_WAIT).await != Polled::Current {
            pause(RETRY_PAUSE).await;
        }
    }
}

/// Waits between half and one and a half times `mean`, so that processes that fail together do not retry together.
pub(super) async fn pause(mean: Millis) {
    tokio::time::sleep(jitter(mean).duration()).await;
}

/// Result of one read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Polled {
    /// The log was read and what it returned is applied.
    Current,
    /// The log answered, but does not continue the applied state; an alarm says why.
    Blocked,
    /// The log did not answer.
    Unreachable,
}

/// Reads the control stream into a replica.
#[derive(Debug)]
pub struct LogReader<'a, P> {
    replica: &'a Replica,
    log: &'a P,
    /// Whether the log is known to hold what was applied. A reset is possible whenever contact was lost, and a log
    /// that has grown since would look like the old one.
    verified: bool,
    /// Offset of the log's next append when it was last read.
    next: Offset,
}

impl<'a, P: Log> LogReader<'a, P> {
    /// Creates a reader; the first read verifies that the log holds what was applied.
    pub fn new(replica: &'a Replica, log: &'a P) -> Self {
        Self {
            replica,
            log,
            verified: false,
            next: Offset(1),
        }
    }

    /// Returns whether the log holds records that are not applied.
    pub fn is_behind(&self) -> bool {
        self.replica.applied().next() < self.next
    }

    /// Starts from the newest snapshot, which saves reading the records before it.
    pub async fn start(&self) {
        if let Ok(Some(kernel)) = snapshot::newest(self.log, Offset(1)).await {
            self.replica.restore(kernel);
        }
    }

    /// Reads once, waiting up to `wait` for a record.
    pub async fn poll(&mut self, wait: Millis) -> Polled {
        let polled = self.read(wait).await.unwrap_or(Polled::Unreachable);
        if polled == Polled::Unreachable {
            self.verified = false;
        } else {
            self.replica.reached();
        }
        if polled == Polled::Current {
            self.replica.confirm(Millis::ZERO);
        }
        polled
    }

    async fn read(&mut self, wait: Millis) -> Result<Polled, PlatformError> {
        if !self.verified {
            self.verified = self.verify().await?;
            if !self.verified {
                return Ok(Polled::Blocked);
            }
        }
        let from = self.replica.applied().next();
        let page = self.log.read(Stream::Control, from, READ_MAX, wait).await?;
        self.next = page.next;
        if page.next < from {
            self.verified = false;
            self.shorter(&page);
            return Ok(Polled::Blocked);
        }
        if page.first > from {
            return self.bridge(page.first).await;
        }
        Ok(self.apply(&page))
    }

    fn shorter(&self, page: &Page) {
        let applied = self.replica.applied();
        let text = format!(
            "the log ends before offset {}, this process has applied {applied}",
            page.next
        );
        self.replica.raise(Cause::Reset, text);
    }

    /// Compares the last applied record with the log's.
    async fn verify(&self) -> Result<bool, PlatformError> {
        let Some(last) = self.replica.last() else {
            // The state is empty or comes from a snapshot, which the length of the log is compared with.
            return Ok(true);
        };
        let page = self
            .log
            .read(Stream::Control, last.offset, 1, Millis::ZERO)
            .await?;
        if page.next <= last.offset {
            self.shorter(&page);
            return Ok(false);
        }
        let same =
            |e: &Entry| e.offset != last.offset || (e.data == last.data && e.time == last.time);
        let same = page.records.iter().all(same);
        if same {
            self.replica.clear(Cause::Reset);
        } else {
            let text = format!(
                "the log holds another record at the applied offset {}",
                last.offset
            );
            self.replica.raise(Cause::Reset, text);
        }
        Ok(same)
    }

    fn apply(&self, page: &Page) -> Polled {
        for entry in &page.records {
            match self.replica.apply(entry) {
                Ok(_) | Err(Refusal::Old { .. }) => {}
                Err(refusal @ Refusal::Newer(_)) => {
                    self.replica.raise(Cause::Schema, refusal.to_string());
                    return Polled::Blocked;
                }
                Err(refusal @ Refusal::Gap { .. }) => {
                    self.replica.raise(Cause::Gap, refusal.to_string());
                    return Polled::Blocked;
                }
            }
        }
        for cause in [Cause::Schema, Cause::Reset, Cause::Gap] {
            self.replica.clear(cause);
        }
        Polled::Current
    }

    /// Loads a snapshot that reaches up to the first record of the log.
    async fn bridge(&self, first: Offset) -> Result<Polled, PlatformError> {
        let least = Offset(first.0 - 1);
        if let Some(kernel) = snapshot::newest(self.log, least).await? {
            if self.replica.restore(kernel) {
                self.replica.clear(Cause::Gap);
                return Ok(Polled::Current);
            }
        }
        let text = format!(
            "records from {} up to {first} are gone from the log and no snapshot replaces them",
            self.replica.applied().next()
        );
        self.replica.raise(Cause::Gap, text);
        Ok(Polled::Blocked)
    }
}

/// Reads the host list until the task is dropped.
pub(super) async fn follow_hosts<P: HostList>(replica: &Replica, platform: &P) {
    loop {
        if let Ok(hosts) = platform.hosts().await {
            replica.set_hosts(hosts);
        }
        let size = replica.hosts().hosts.len() as u64;
        pause(HOSTS_INTERVAL + HOSTS_FACTOR.times(size)).await;
    }
}
