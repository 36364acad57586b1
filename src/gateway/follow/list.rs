//! Lists of the newest record of each key, which come in pages.

use crate::{
    base::Millis,
    gateway::record::{PageStart, Record, RecordStore, Records, StoreError, Topic},
};

/// Interval of the reads of the log while a list is read, which may take many seconds: drained endpoints and new
/// configurations must take effect in time.
const LOG_INTERVAL: Millis = Millis(300);

/// The same while more has been written than was read.
const LOG_INTERVAL_BEHIND: Millis = Millis(5);

/// A list of which the first page has been read.
#[derive(Clone, Debug)]
pub(super) struct ListProgress {
    /// Start of the next page.
    pub(super) start: PageStart,
    /// Offset before which another process had applied all records when the list began.
    pub(super) known: Option<u64>,
    /// Latest known end of the log. Pages leave out what is in the log from the list's begin on, so that the list is
    /// complete once the log is read up to there.
    end: u64,
    /// Time at or after which the log ended where it has been read; `None` if it held further records then.
    pub(super) made: Option<Millis>,
    /// Time of the next read of the log.
    log_due: Millis,
    /// Whether the log cannot be read from here on.
    unreadable: bool,
}

impl ListProgress {
    /// Begins a list with its first page, which was requested at `begun`.
    pub(super) fn new(page: &Records, known: Option<u64>, begun: Millis, now: Millis) -> Self {
        Self {
            start: PageStart {
                after: page.more.clone(),
                until: Some(page.next),
            },
            known,
            end: page.end,
            made: Some(begun),
            log_due: now + LOG_INTERVAL,
            unreadable: false,
        }
    }

    /// Notes that a further page is applied.
    pub(super) fn page_applied(&mut self, page: &Records) {
        self.start.after.clone_from(&page.more);
        self.end = self.end.max(page.end);
    }

    /// Notes that the log is applied up to its end as of `begun`, or that it holds further records.
    pub(super) fn log_applied(&mut self, caught_up: bool, begun: Millis, now: Millis) {
        self.made = caught_up.then_some(begun);
        let interval = if caught_up {
            LOG_INTERVAL
        } else {
            LOG_INTERVAL_BEHIND
        };
        self.log_due = now + interval;
    }

    /// Notes that the log cannot be read; the pages that are left are read first.
    pub(super) fn log_unreadable(&mut self) {
        self.unreadable = true;
    }

    /// Returns whether further pages follow.
    pub(super) fn has_pages(&self) -> bool {
        self.start.after.is_some()
    }

    /// Returns whether a page is to be read next, and not the log.
    pub(super) fn is_page_next(&self, now: Millis) -> bool {
        self.has_pages() && (self.unreadable || now < self.log_due)
    }

    /// Returns whether all records are applied if the log is applied up to an offset.
    pub(super) fn is_complete(&self, offset: u64) -> bool {
        !self.has_pages() && offset >= self.end
    }
}

/// Reads the newest record of each key of a topic, one page after the other, and passes the records on. Returns what the
/// first page says of the log; records that are written meanwhile may be passed on or not.
///
/// # Errors
///
/// Returns an error if a page cannot be read, or the pages are of two eras of the store or do not continue each other; then
/// what was passed on is not all.
pub async fn read_list<S: RecordStore>(
    store: &S,
    topic: Topic,
    mut apply: impl FnMut(Record),
) -> Result<Records, StoreError> {
    let mut start = PageStart::default();
    let mut first: Option<Records> = None;
    loop {
        let mut page = store.newest(topic, &start).await?;
        let records = std::mem::take(&mut page.records);
        let first = first.get_or_insert_with(|| page.clone());
        if first.era != page.era {
            let text = "pages are of two eras of the store".to_owned();
            return Err(StoreError::Malformed(text));
        }
        let page = start.check(page)?;
        records.into_iter().for_each(&mut apply);
        if page.more.is_none() {
            return Ok(first.clone());
        }
        start.after = page.more;
    }
}
