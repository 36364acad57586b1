//! Reads the stream of claims.

use tokio::sync::mpsc;

use super::driver::Event;
use crate::{
    backing::{Log, Page, PlatformError, Stream},
    base::{Millis, Offset},
    kernel::Entry,
};

/// Longest time that one read waits at the log.
const READ_WAIT: Millis = Millis(1000);

/// Records in one read.
const READ_MAX: usize = 512;

/// Pause after a failed read.
const RETRY_PAUSE: Millis = Millis(300);

/// Passes on the records of the stream in order until the driver ends.
///
/// After each loss of contact the last record is compared with the log: one that was reset and has grown since would
/// look like the old one.
pub(super) async fn follow<L: Log>(log: L, events: mpsc::Sender<Event>) {
    let mut from = Offset(1);
    let mut last: Option<Entry> = None;
    let mut verified = true;
    // Without a wait until the end was read once, so that the driver soon knows that it is up to date.
    let mut wait = Millis::ZERO;
    loop {
        let unverified = last.as_ref().filter(|_| !verified);
        let event = match read(&log, from, wait, unverified).await {
            Ok(page) => {
                if let Some(entry) = page.records.last() {
                    from = entry.offset.next();
                    last = Some(entry.clone());
                }
                Event::Page(page)
            }
            Err(event) => event,
        };
        verified = matches!(event, Event::Page(_));
        wait = if verified { READ_WAIT } else { Millis::ZERO };
        if events.send(event).await.is_err() {
            return;
        }
        if !verified {
            tokio::time::sleep(RETRY_PAUSE.duration()).await;
        }
    }
}

/// Reads a page after checking that the log still holds `last`.
async fn read<L: Log>(
    log: &L,
    from: Offset,
    wait: Millis,
    last: Option<&Entry>,
) -> Result<Page, Event> {
    let unreachable = |e: PlatformError| Event::Unreachable(e.to_string());
    if let Some(last) = last {
        let page = log.read(Stream::Claims, last.offset, 1, Millis::ZERO);
        let page = page.await.map_err(unreachable)?;
        let differs = |e: &Entry| e.offset == last.offset && e != last;
        if page.records.iter().any(differs) {
            return Err(Event::Blocked(format!(
                "the log holds another record at offset {}, which this process has read",
                last.offset
            )));
        }
    }
    let page = log.read(Stream::Claims, from, READ_MAX, wait);
    let page = page.await.map_err(unreachable)?;
    if page.next < from {
        return Err(Event::Blocked(format!(
            "the log ends at {}, this process has read up to {from}",
            page.next
        )));
    }
    Ok(page)
}
