//! Reads the control stream and the host list from the platform.

use std::sync::Arc;

use super::{
    replica::{Status, STREAM_BLOCKED},
    Replica,
};
use crate::{
    base::{Millis, Offset},
    emit,
    kernel::Refusal,
    platform::{HostList, Log, Page, Stream},
};

/// Longest time that one read waits at the log.
const READ_WAIT: Millis = Millis(1000);

/// Records in one read.
const READ_MAX: usize = 512;

/// Pause after a failed read.
const RETRY_PAUSE: Millis = Millis(300);

/// Time between two reads of the host list.
const HOSTS_INTERVAL: Millis = Millis(1000);

/// Follows the log and the host list until the task is dropped.
pub async fn follow<P: Log + HostList + Clone>(replica: Arc<Replica>, platform: P) {
    tokio::join!(
        follow_log(&replica, &platform),
        follow_hosts(&replica, &platform)
    );
}

async fn follow_log<P: Log>(replica: &Replica, platform: &P) {
    loop {
        let from = replica.applied().next();
        match platform
            .read(Stream::Control, from, READ_MAX, READ_WAIT)
            .await
        {
            Ok(page) => apply_page(replica, from, &page),
            Err(_) => tokio::time::sleep(RETRY_PAUSE.duration()).await,
        }
    }
}

fn apply_page(replica: &Replica, from: Offset, page: &Page) {
    // A log that ends before what was applied was reset or belongs to another deployment.
    if page.next < from {
        block(
            replica,
            format!(
                "the log ends at {}, this process has applied {}",
                page.next,
                replica.applied()
            ),
        );
        return;
    }
    for entry in &page.records {
        match replica.apply(entry) {
            Ok(_) | Err(Refusal::Old { .. }) => {}
            Err(refusal) => return block(replica, refusal.to_string()),
        }
    }
    replica.set_status(Status::default());
}

fn block(replica: &Replica, reason: String) {
    if replica.status().blocked.as_ref() != Some(&reason) {
        emit!(STREAM_BLOCKED, "{reason}");
    }
    replica.set_status(Status {
        blocked: Some(reason),
        isolated: None,
    });
}

async fn follow_hosts<P: HostList>(replica: &Replica, platform: &P) {
    loop {
        if let Ok(hosts) = platform.hosts().await {
            replica.set_hosts(hosts);
        }
        tokio::time::sleep(HOSTS_INTERVAL.duration()).await;
    }
}
