//! Reads the stream of claims.

use tokio::sync::mpsc;

use super::driver::Event;
use crate::{
    base::{Millis, Offset},
    platform::{Log, Stream},
};

/// Longest time that one read waits at the log.
const READ_WAIT: Millis = Millis(1000);

/// Records in one read.
const READ_MAX: usize = 512;

/// Pause after a failed read.
const RETRY_PAUSE: Millis = Millis(300);

/// Passes on the records of the stream in order until the driver ends.
pub(super) async fn follow<L: Log>(log: L, events: mpsc::Sender<Event>) {
    let mut from = Offset(1);
    // Without a wait until the end was read once, so that the driver soon knows that it is up to date.
    let mut wait = Millis::ZERO;
    loop {
        let event = match log.read(Stream::Claims, from, READ_MAX, wait).await {
            Ok(page) if page.next < from => Event::Blocked(format!(
                "the log ends at {}, this process has read up to {from}",
                page.next
            )),
            Ok(page) => {
                from = page.records.last().map_or(from, |e| e.offset.next());
                Event::Page(page)
            }
            Err(e) => Event::Unreachable(e.to_string()),
        };
        let failed = !matches!(event, Event::Page(_));
        wait = if failed { Millis::ZERO } else { READ_WAIT };
        if events.send(event).await.is_err() {
            return;
        }
        if failed {
            tokio::time::sleep(RETRY_PAUSE.duration()).await;
        }
    }
}
