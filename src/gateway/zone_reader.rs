//! Zone reader: whether this entry reads the store for the others of its zone, and the status that it reports to them.

use bytes::Bytes;

use super::{
    compression::compress, context::Context, log_event, members::Status, steadiness::ResponseTime,
};
use crate::{base::Millis, emit};

/// Time by which a read of the store may be overdue before this entry no longer reports that it reads the store.
const READ_SLACK: Millis = Millis(500);

/// Time for which an entry has to be a zone reader before it reads the configuration as well as the endpoints.
pub(super) const SETTLE_TIME: Millis = Millis(1200);

impl Context {
    /// Returns whether this entry is a zone reader; logs each change and records its time.
    pub(super) fn is_zone_reader(&self) -> bool {
        let now = self.now();
        let reads = self.members.borrow().is_zone_reader(now);
        let before = self.reader_since.get();
        if reads != before.is_some() {
            let readers = self.members.borrow().readers(now).len();
            emit!(log_event::READER, "reads={reads} readers={readers}");
        }
        self.reader_since
            .set(reads.then_some(before.unwrap_or(now)));
        reads
    }

    /// Returns whether this entry reads the configuration from the store. An entry that has only just become a zone
    /// reader does not, because a catalog may be large and any other entry can pass it on; right after its start an
    /// entry does.
    pub(super) fn reads_catalog(&self) -> bool {
        let now = self.now();
        let settled = |since| now >= since + SETTLE_TIME || since <= self.started + SETTLE_TIME;
        self.is_zone_reader() && self.reader_since.get().is_some_and(settled)
    }

    /// Returns whether this entry reads the store, and the store responds.
    pub(super) fn is_reading(&self) -> bool {
        self.now() < self.next_read.get() + READ_SLACK
    }

    /// Records a read of the endpoints' records that succeeded; the next one is due after `pause`.
    pub(super) fn record_read(&self, pause: Millis) {
        let now = self.now();
        if !self.is_reading() {
            self.read_from.set(now);
        }
        self.next_read.set(now + pause);
    }

    /// Returns the time for which this entry has read the store without a gap; zero while it does not.
    pub(super) fn read_time(&self) -> Millis {
        if !self.is_reading() {
            return Millis::ZERO;
        }
        self.now() - self.read_from.get()
    }

    /// Returns whether the store responds as soon as usual.
    pub(super) fn is_store_steady(&self) -> bool {
        self.steadiness.borrow().is_steady(self.now())
    }

    /// Notes what is known of a response of the store, and abandons the long poll in progress if the store turns out to be
    /// unsteady.
    pub(super) fn note_steadiness(&self, response: ResponseTime) {
        let (now, before) = (self.now(), self.is_store_steady());
        self.steadiness.borrow_mut().record(response, now);
        if before && !self.is_store_steady() {
            emit!(log_event::STORE, "topic=Operator outcome=unsteady");
            self.operator_wake.notify_waiters();
        }
    }

    /// Returns this entry's status for its next heartbeat. A stopping entry goes on reading for its own requests, but no
    /// other one is to rely on it.
    pub(super) fn status(&self) -> Status {
        Status {
            ready: self.is_ready(),
            catalog: self.catalog_version(),
            reads_store: self.is_reading() && !self.is_stopping(),
            table: self.endpoints.borrow().digest(),
        }
    }

    /// Wakes everything that waits for a change of catalog, desired versions or endpoints.
    pub(super) fn notify_changed(&self) {
        self.table_changed.set(false);
        self.changed.notify_waiters();
        self.gossip_soon.notify_one();
    }

    /// Returns whether the status of another entry shows a catalog or endpoint table that this entry lacks.
    pub(super) fn is_ahead(&self, status: &Status) -> bool {
        let newer = status.catalog > self.catalog_version();
        let table = self.endpoints.borrow().digest();
        newer || (status.reads_store && status.table != table && !self.is_reading())
    }

    /// Returns the compressed catalog for another entry; `None` if this entry has no catalog.
    pub(super) fn compressed_catalog(&self) -> Option<Bytes> {
        let raw = self.raw_catalog.borrow();
        if raw.is_empty() {
            return None;
        }
        let mut compressed = self.compressed_catalog.borrow_mut();
        if compressed.is_none() {
            match compress(&raw) {
                Ok(data) => *compressed = Some(data),
                Err(e) => emit!(
                    log_event::RECORD,
                    "key=catalog reason=\"cannot compress: {e}\""
                ),
            }
        }
        compressed.clone()
    }
}
