//! Records of the store that cannot be used, as another writer may leave them: counted, and told in few lines.

use std::{cell::RefCell, fmt};

use super::record::Record;
use crate::base::{Excerpt, Millis};

/// Shortest time between two reports on a topic.
const REPORT_INTERVAL: Millis = Millis(10_000);

/// Records of a topic since the last report that cannot be used.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UnusableReport {
    /// Number of records.
    pub records: u64,
    /// Size of their keys and values, in bytes.
    pub bytes: u64,
    /// Key of the first one, and why it cannot be used; shortened.
    first: Option<(String, String)>,
}

impl fmt::Display for UnusableReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "unusable={} bytes={}", self.records, self.bytes)?;
        if let Some((key, reason)) = &self.first {
            write!(f, " key={key} reason=\"{reason}\"")?;
        }
        Ok(())
    }
}

/// Counts the records of a topic that cannot be used.
#[derive(Debug, Default)]
pub(super) struct Unusable {
    since: RefCell<UnusableReport>,
    /// Time of the last report.
    reported: RefCell<Option<Millis>>,
}

impl Unusable {
    /// Counts a record.
    pub(super) fn note(&self, record: &Record, reason: &str) {
        let mut since = self.since.borrow_mut();
        since.records += 1;
        since.bytes += record.size();
        since.first.get_or_insert_with(|| {
            let key = String::from_utf8_lossy(&record.key);
            (Excerpt(&key).to_string(), Excerpt(reason).to_string())
        });
    }

    /// Returns what was counted since the last report, if that is due.
    pub(super) fn report(&self, now: Millis) -> Option<UnusableReport> {
        let last = *self.reported.borrow();
        let due = last.is_none_or(|at| now >= at + REPORT_INTERVAL);
        if !due || self.since.borrow().records == 0 {
            return None;
        }
        self.reported.replace(Some(now));
        Some(self.since.take())
    }
}
