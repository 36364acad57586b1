//! Follows the operator's records, for entries and agents.

use std::{
    cell::{Cell, RefCell},
    future::Future,
    marker::PhantomData,
    rc::Rc,
};

use bytes::Bytes;

use super::{
    catalog::Catalog,
    follow::Follower,
    log_view::LogView,
    record::{check_model_name, EndpointRecord, OperatorRecord, Record, WeightVersion},
    steadiness::ResponseTime,
    unusable::{Unusable, UnusableReport},
    write_time::WriteAge,
};
use crate::{
    base::{Clock, Era, HashMap, Millis, SystemClock, Zone},
    decide::evacuation::EvacuationRead,
};

/// Decodes the records of the platform's store.
pub trait Decode: 'static {
    /// Decodes a record of [`Topic::Operator`](super::Topic::Operator); `None` if the record does not concern entries
    /// or agents.
    ///
    /// # Errors
    ///
    /// Returns why the value cannot be decoded.
    fn operator_record(key: &[u8], value: &[u8]) -> Result<Option<OperatorRecord>, String>;

    /// Returns the name of the zone that a record of [`Topic::Operator`](super::Topic::Operator) with this key evacuates
    /// while it has a value; `None` if records with the key do not evacuate zones.
    fn evacuated_zone(_key: &[u8]) -> Option<&[u8]> {
        None
    }

    /// Decodes the value of a configuration record.
    ///
    /// # Errors
    ///
    /// Returns why the value cannot be decoded.
    fn catalog(value: &[u8]) -> Result<Catalog, String>;

    /// Decodes the value of a record of [`Topic::Endpoints`](super::Topic::Endpoints).
    ///
    /// # Errors
    ///
    /// Returns why the value cannot be decoded.
    fn endpoint(value: &[u8]) -> Result<EndpointRecord, String>;
}

/// Applies decoded records of the operator.
pub trait OperatorSink {
    /// Applies a configuration; `raw` is its encoded form.
    fn catalog(&self, catalog: Catalog, raw: Bytes);

    /// Records the desired version of a model's weights; `age` is `None` if the record may have been written before this
    /// process started.
    fn weights(&self, model: Rc<str>, version: WeightVersion, age: Option<WriteAge>);

    /// Applies what a read of the log says of evacuated zones; called after each read.
    fn evacuation(&self, _read: EvacuationRead) {}

    /// See [`Follower::handover_time`].
    fn handover_time(&self) -> Option<Millis> {
        None
    }

    /// See [`Follower::reported_end`].
    fn reported_end(&self) -> Option<LogView> {
        None
    }

    /// See [`Follower::log_restarted`].
    fn log_restarted(&self) {}

    /// Counts a record that cannot be decoded.
    fn count_malformed(&self, _record: &Record) {}

    /// Reports records that cannot be decoded; called at intervals.
    fn malformed(&self, report: &UnusableReport);

    /// See [`Follower::should_read`].
    fn should_read(&self) -> bool {
        true
    }

    /// See [`Follower::has_other_readers`].
    fn has_other_readers(&self) -> bool {
        false
    }

    /// See [`Follower::is_steady`].
    fn is_steady(&self) -> bool {
        true
    }

    /// See [`Follower::note_response`].
    fn note_response(&self, _response: ResponseTime) {}

    /// See [`Follower::note_era`].
    fn note_era(&self, _era: Era) {}

    /// See [`Follower::era`].
    fn era(&self) -> Option<Era> {
        None
    }

    /// See [`Follower::response_ignored`].
    fn response_ignored(&self) {}

    /// See [`Follower::read_interrupted`].
    fn read_interrupted(&self) -> impl Future<Output = ()> {
        std::future::pending()
    }
}

/// Follower of the operator's records, which decodes them and passes them to a sink.
#[derive(Debug)]
pub struct OperatorFollower<D, T> {
    sink: T,
    clock: SystemClock,
    /// Age of the records that are applied, and the time at which that was noted.
    age: Cell<(Option<WriteAge>, Millis)>,
    /// Newest version of each model that was applied.
    applied: RefCell<HashMap<Rc<str>, WeightVersion>>,
    /// What the read in progress says of evacuated zones.
    evacuation: RefCell<EvacuationRead>,
    unusable: Unusable,
    /// Whether the first read is done.
    read: Cell<bool>,
    /// Whether even the first read waits until the sink's [`OperatorSink::should_read`] is true.
    on_demand: bool,
    _decode: PhantomData<D>,
}

impl<D, T> OperatorFollower<D, T> {
    /// Creates a follower that reads once at the start and from then on while the sink asks for it.
    pub fn new(sink: T) -> Self {
        Self {
            sink,
            clock: SystemClock::start(),
            age: Cell::default(),
            applied: RefCell::default(),
            evacuation: RefCell::default(),
            unusable: Unusable::default(),
            read: Cell::new(false),
            on_demand: false,
            _decode: PhantomData,
        }
    }

    /// Creates a follower for a process that gets the records' content from entries: it reads the store only while the
    /// sink asks for it.
    pub fn on_demand(sink: T) -> Self {
        Self {
            on_demand: true,
            ..Self::new(sink)
        }
    }
}

impl<D, T> OperatorFollower<D, T> {
    /// Returns the age of the records that are applied, which decoding the ones before has increased.
    fn age(&self) -> Option<WriteAge> {
        let (age, noted) = self.age.get();
        let since = self.clock.now() - noted;
        age.map(|a| WriteAge {
            age: a.age + since,
            ..a
        })
    }

    /// Notes a version that is applied; returns whether it is newer than those that were applied before. A record that is
    /// read again tells nothing of its time, nor does an older one, as that of a store restored from an older copy.
    fn note_applied(&self, model: &Rc<str>, version: WeightVersion) -> bool {
        let mut applied = self.applied.borrow_mut();
        if applied.get(model).is_some_and(|known| version <= *known) {
            return false;
        }
        applied.insert(model.clone(), version);
        true
    }
}

impl<D: Decode, T: OperatorSink> OperatorFollower<D, T> {
    fn note_malformed(&self, record: &Record, reason: &str) {
        self.sink.count_malformed(record);
        self.unusable.note(record, reason);
    }

    fn report_unusable(&self) {
        if let Some(report) = self.unusable.report(self.clock.now()) {
            self.sink.malformed(&report);
        }
    }

    /// Notes a record that evacuates a zone, or that puts it back into service because it has no value. Returns whether
    /// the record is such a one.
    fn note_evacuation(&self, record: &Record) -> bool {
        let Some(name) = D::evacuated_zone(&record.key) else {
            return false;
        };
        match String::from_utf8_lossy(name).parse::<Zone>() {
            Ok(zone) => {
                let zones = &mut self.evacuation.borrow_mut().zones;
                zones.push((zone, record.value.is_some()));
            }
            Err(e) => self.note_malformed(record, &e.to_string()),
        }
        true
    }
}

impl<D: Decode, T: OperatorSink> Follower for OperatorFollower<D, T> {
    fn note_age(&self, age: Option<WriteAge>) {
        self.age.set((age, self.clock.now()));
    }

    fn handover_time(&self) -> Option<Millis> {
        self.sink.handover_time()
    }

    fn reported_end(&self) -> Option<LogView> {
        self.sink.reported_end()
    }

    fn log_restarted(&self) {
        self.sink.log_restarted();
    }

    fn apply(&self, record: Record) {
        if self.note_evacuation(&record) {
            return;
        }
        let Some(value) = &record.value else {
            return;
        };
        match D::operator_record(&record.key, value) {
            Ok(Some(OperatorRecord::Catalog(catalog))) => {
                // A copy: the value is a part of the response, which would be kept with it.
                let raw = Bytes::copy_from_slice(value);
                self.sink.catalog(*catalog, raw);
            }
            Ok(Some(OperatorRecord::Weights(model, version))) => {
                if let Err(e) = check_model_name(&model) {
                    self.note_malformed(&record, &e.to_string());
                } else if self.note_applied(&model, version) {
                    self.sink.weights(model, version, self.age());
                }
            }
            Ok(None) => {}
            Err(e) => self.note_malformed(&record, &e),
        }
    }

    fn list_begun(&self) {
        // Zones whose records are absent are in service.
        self.evacuation.replace(EvacuationRead {
            whole: true,
            ..EvacuationRead::default()
        });
    }

    fn list_continued(&self) {
        self.report_unusable();
    }

    fn list_ended(&self) {
        self.read.set(true);
    }

    fn list_dropped(&self) {
        self.evacuation.take();
    }

    fn batch_applied(&self, next: u64, age: Option<Millis>) {
        self.report_unusable();
        let read = self.evacuation.take();
        self.sink.evacuation(EvacuationRead {
            position: next,
            age,
            ..read
        });
    }

    fn store_recovered(&self) {}

    fn should_read(&self) -> bool {
        (!self.on_demand && !self.read.get()) || self.sink.should_read()
    }

    fn has_other_readers(&self) -> bool {
        self.sink.has_other_readers()
    }

    fn is_steady(&self) -> bool {
        self.sink.is_steady()
    }

    fn note_era(&self, era: Era) {
        self.sink.note_era(era);
    }

    fn era(&self) -> Option<Era> {
        self.sink.era()
    }

    fn response_ignored(&self) {
        self.sink.response_ignored();
    }

    fn note_response(&self, response: ResponseTime) {
        self.sink.note_response(response);
    }

    async fn read_interrupted(&self) {
        self.sink.read_interrupted().await;
    }
}
