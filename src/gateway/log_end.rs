//! Notes where the operator's log ends, and what this entry tells others of it.

use super::{context::Context, log_view::LogView};
use crate::base::{Era, Millis};

/// Time from the start of an entry for which it reports nothing: it may have read versions of whose time it has not
/// heard yet, and others would take them to be written after its report.
const REPORT_DELAY: Millis = Millis(3000);

impl Context {
    /// Notes that this entry read the operator's log up to a position; `age` is the time since the log was known to end
    /// there, `None` if it holds further records.
    pub(super) fn note_log_end(&self, position: u64, age: Option<Millis>) {
        if let Some(age) = age {
            let mut ends = self.log_ends.borrow_mut();
            ends.record(position, self.now() - age);
        }
    }

    /// Returns what this entry knows of the end of the operator's log, for other entries.
    pub(super) fn log_view(&self) -> Option<LogView> {
        let (now, era) = (self.now(), self.store_era.borrow().known());
        let reports = now >= self.started + REPORT_DELAY;
        let view = self.log_ends.borrow().view(now).filter(|_| reports);
        let Some(view) = view else {
            let told = era.filter(|era| *era > Era::default());
            return told.map(LogView::of_era);
        };
        Some(LogView {
            era: era.unwrap_or_default(),
            ..view
        })
    }
}
