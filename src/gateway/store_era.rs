//! The era of the store at an entry: what it does when the store was restored from an older copy.

use super::{context::Context, endpoint_table::TableDelta, log_event};
use crate::{
    base::{Era, Millis},
    decide::era::EraChange,
    emit,
};

/// Mean time after which an entry announces itself again, so that the entries of a large deployment do not all write at
/// once.
pub(super) const ANNOUNCE_DELAY: Millis = Millis(1000);

impl Context {
    /// Notes an era of the store, in a response or in what another process sent. If it is newer than the known one, what
    /// was known of offsets is forgotten, and all topics are read again. `source` names the store or the sender.
    pub(super) fn learn_era(&self, era: Era, source: &str) {
        let now = self.now();
        let change = self.store_era.borrow_mut().observe(era, now);
        let before = match change {
            EraChange::Same | EraChange::Older => return,
            EraChange::First => None,
            EraChange::Restored(before) => Some(before),
        };
        self.metrics.store_era.set(era.0 as i64);
        self.era_changed.notify_waiters();
        if era == Era::default() {
            return;
        }
        self.evacuation.borrow_mut().begin_era(now);
        self.log_ends.borrow_mut().clear();
        let mut table = self.endpoints.borrow_mut();
        table.forget_position();
        let Some(before) = before else {
            return;
        };
        table.store_restored(now);
        drop(table);
        self.metrics.store_restores.inc();
        emit!(
            log_event::RESTORED,
            "era={era} before={before} source={source}"
        );
        self.operator_wake.notify_waiters();
        self.gossip_soon.notify_one();
    }

    /// Waits until the store was restored from an older copy since its era was `era`. The first era that this entry learns
    /// counts as that of before.
    pub(super) async fn store_restored(&self, mut era: Option<Era>) {
        loop {
            let known = self.store_era.borrow().known();
            era = era.or(known);
            if known > era {
                return;
            }
            self.era_changed.notified().await;
        }
    }

    /// Returns whether the table that another entry sent is of an older era of the store, or not known to be of the present
    /// one, so that its offsets tell nothing.
    pub(super) fn is_of_older_era(&self, delta: &TableDelta) -> bool {
        let era = delta.view.era;
        if !self.store_era.borrow().admits(era, self.now()) {
            return true;
        }
        // The sender has learned the era from others, and not yet read the store in it.
        let unread = era > Some(Era::default()) && delta.view.position.is_none();
        unread && self.table_loaded.get()
    }
}
