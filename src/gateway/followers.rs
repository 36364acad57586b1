//! How an entry applies the records of the store's topics.

use std::{
    cell::{Cell, RefCell},
    marker::PhantomData,
    rc::Rc,
};

use bytes::Bytes;

use super::{
    catalog::Catalog,
    context::Context,
    endpoint_table::{Change, EndpointId, RENEWAL},
    follow::Follower,
    limits::Observation,
    log_event,
    log_view::LogView,
    members::Heartbeat,
    operator_records::{Decode, OperatorSink},
    record::{EndpointRecord, Record, WeightVersion},
    steadiness::ResponseTime,
    unusable::{Unusable, UnusableReport},
    write_time::{LoggedAge, WriteAge},
};
use crate::{
    base::{Era, HashSet, Millis, Size},
    decide::evacuation::EvacuationRead,
    emit,
};

/// Pause between reads of the endpoints, whose records change continually; short, because requests to a draining
/// endpoint must stop in time.
const ENDPOINTS_PAUSE: Millis = Millis(500);

/// Pause between reads of the endpoints while some load weights: after its load, an endpoint gets no requests until its
/// new record is read.
const ENDPOINTS_PAUSE_LOADING: Millis = Millis(300);

/// Number of endpoints from which on a new one is kept only if the configuration names its service.
const UNNAMED_MAX: usize = 2048;

/// Part of the host's memory that endpoints may take, and the memory for one; those that list many models take more.
const TABLE_SHARE: u64 = 8;
const ENDPOINT_SIZE: Size = Size(1 << 10);

/// Time after which the endpoints of a list that are known so far serve requests: the rest may take many seconds, in which
/// callers would be rejected.
const PARTIAL_TABLE_TIME: Millis = Millis(2000);

/// Pause between reads of the announcements of entries; most of their state arrives by heartbeat.
const ENTRIES_PAUSE: Millis = Millis(2000);

/// Longest time from when a zone reader last had the answer of the store to when the entry that takes over reads the
/// operator's records: the zone reader reports for a while that it reads, its last heartbeat counts for a while, and the
/// entry that takes over reads the endpoints first. Used only where no entry reported the end of the log: it is too short
/// if the response to a zone reader was lost.
const HANDOVER_TIME: Millis = Millis(3500);

/// Number of versions of weights in a log line.
const LOGGED_VERSIONS: usize = 8;

/// Puts a catalog in force unless a newer one already is, and logs it. `source` names the store or the sending entry.
pub(super) fn apply_catalog(ctx: &Context, catalog: Catalog, raw: Bytes, source: &str) {
    let version = catalog.version;
    let routes: usize = catalog.routes.values().map(Vec::len).sum();
    let keys = catalog.keys.as_ref().map_or(0, |k| k.len());
    let applied = ctx.set_catalog(catalog, raw);
    emit!(
        log_event::CATALOG,
        "version={version} routes={routes} keys={keys} applied={applied} source={source}"
    );
}

/// Applies the operator's records in an entry.
impl OperatorSink for Rc<Context> {
    fn catalog(&self, catalog: Catalog, raw: Bytes) {
        apply_catalog(self, catalog, raw, "store");
    }

    fn weights(&self, model: Rc<str>, version: WeightVersion, age: Option<WriteAge>) {
        let newer = self.record_desired(model.clone(), version, age);
        let end = self.log_ends.borrow().view(self.now());
        emit!(
            log_event::VERSION,
            "model={model} version={version} newer={newer} {} end={:?} end_age={}",
            LoggedAge(age),
            end.map(|v| v.position),
            end.map_or(Millis::MAX, |v| v.age)
        );
    }

    fn evacuation(&self, read: EvacuationRead) {
        self.note_log_end(read.position, read.age);
        self.apply_evacuation(read);
    }

    fn count_malformed(&self, record: &Record) {
        self.metrics.count_unusable("Operator", record);
    }

    fn malformed(&self, report: &UnusableReport) {
        emit!(log_event::RECORD, "topic=Operator {report}");
    }

    fn should_read(&self) -> bool {
        self.reads_catalog()
    }

    fn handover_time(&self) -> Option<Millis> {
        Some(HANDOVER_TIME)
    }

    fn reported_end(&self) -> Option<LogView> {
        self.log_ends.borrow().reported(self.now())
    }

    fn log_restarted(&self) {
        self.log_ends.borrow_mut().clear();
    }

    fn has_other_readers(&self) -> bool {
        self.members.borrow().count() > 1
    }

    fn is_steady(&self) -> bool {
        // A long poll from the end of the log would delay the release of zones by its wait.
        self.is_store_steady() && !self.evacuation.borrow().is_holding()
    }

    fn note_era(&self, era: Era) {
        self.learn_era(era, "store");
    }

    fn era(&self) -> Option<Era> {
        self.store_era.borrow().known()
    }

    fn response_ignored(&self) {
        self.metrics.outdated_responses.inc();
    }

    fn note_response(&self, response: ResponseTime) {
        self.note_steadiness(response);
    }

    async fn read_interrupted(&self) {
        self.operator_wake.notified().await;
    }
}

/// Follower of the endpoints' records.
pub(super) struct EndpointFollower<D> {
    ctx: Rc<Context>,
    unusable: Unusable,
    /// Endpoints that the list names that is being read; `None` while none is.
    listed: RefCell<Option<HashSet<EndpointId>>>,
    /// Time at which the newest list was begun.
    list_begun: Cell<Millis>,
    _decode: PhantomData<D>,
}

impl<D: Decode> EndpointFollower<D> {
    pub(super) fn new(ctx: Rc<Context>) -> Self {
        Self {
            ctx,
            unusable: Unusable::default(),
            listed: RefCell::default(),
            list_begun: Cell::default(),
            _decode: PhantomData,
        }
    }

    /// Applies a record. One that names no endpoint to use, as another writer may leave it, removes the endpoint that the
    /// record before it named: an entry that starts later does not know that one.
    fn apply_record(&self, record: &Record) {
        let Some(id) = EndpointId::from_key(&record.key) else {
            self.note_unusable(record, "the key is no valid id of an endpoint");
            return;
        };
        let decoded = record.value.as_ref().map(|v| self.decode(v));
        let decoded = decoded.and_then(|result| {
            let admitted = result.and_then(|r| self.admit(&id, r));
            let skipped = |e: &String| self.note_unusable(record, e);
            admitted.inspect_err(skipped).ok()
        });
        let (now, is_present) = (self.ctx.now(), decoded.is_some());
        let change = self.ctx.endpoints.borrow_mut().apply(&id, decoded, now);
        endpoint_changed(&self.ctx, &id, change);
        if is_present {
            self.note_listed(id);
        }
    }

    /// Notes that the list that is being read names an endpoint. No more are noted than the table has.
    fn note_listed(&self, id: EndpointId) {
        let Some(listed) = &mut *self.listed.borrow_mut() else {
            return;
        };
        if self.ctx.endpoints.borrow().get(&id).is_some() {
            listed.insert(id);
        }
    }

    fn decode(&self, value: &[u8]) -> Result<EndpointRecord, String> {
        let record = D::endpoint(value)?;
        record.check().map_err(|e| e.to_string())?;
        let listen = &self.ctx.settings.listen;
        if listen.contains(record.addr) || self.ctx.members.borrow().is_entry(record.addr) {
            return Err("the address is that of an entry".to_owned());
        }
        Ok(record)
    }

    /// Admits a record to the table, unless it names a new endpoint for which there is no room. An endpoint that is refused
    /// because no configuration names its service yet comes with the next renewal of its record.
    fn admit(&self, id: &EndpointId, record: EndpointRecord) -> Result<EndpointRecord, String> {
        let table = self.ctx.endpoints.borrow();
        if table.get(id).is_some() || table.count() < UNNAMED_MAX {
            return Ok(record);
        }
        let catalog = self.ctx.catalog.borrow();
        let names = |c: &Rc<Catalog>| c.services.contains_key(&record.service);
        if !catalog.as_ref().is_some_and(names) {
            return Err("too many endpoints of services that no configuration names".to_owned());
        }
        let memory = self.ctx.settings.host.memory;
        if table.count() as u64 >= memory.0 / TABLE_SHARE / ENDPOINT_SIZE.0 {
            return Err("the memory of the host has no room for more endpoints".to_owned());
        }
        Ok(record)
    }

    fn note_unusable(&self, record: &Record, reason: &str) {
        self.ctx.metrics.count_unusable("Endpoints", record);
        self.unusable.note(record, reason);
    }

    fn report_unusable(&self) {
        if let Some(report) = self.unusable.report(self.ctx.now()) {
            emit!(log_event::RECORD, "topic=Endpoints {report}");
        }
    }
}

/// Updates everything that depends on the endpoint table after a change of an endpoint, and logs the change.
pub(super) fn endpoint_changed(ctx: &Context, id: &EndpointId, change: Change) {
    if matches!(change, Change::Renewed | Change::Stale) {
        return;
    }
    if matches!(change, Change::Added | Change::Removed) {
        ctx.clear_schedules();
    }
    if change == Change::Updated {
        ctx.balancer.borrow_mut().clear_backoff(id);
    }
    if change == Change::Restarted {
        let at = ctx.now();
        let mut limits = ctx.limits.borrow_mut();
        limits.record(id, Observation::Withdrawn { at }, at);
    }
    ctx.table_changed.set(true);
    let fleet = ctx.endpoints.borrow();
    let record = fleet.get(id).map(|e| &e.record);
    let text = record.map_or_else(String::new, |r| {
        let versions = r.models.iter().take(LOGGED_VERSIONS);
        let versions: Vec<_> = versions.map(|m| m.1.to_string()).collect();
        format!(
            " service={} addr={} draining={} sequence={} weights={}",
            r.service,
            r.addr,
            r.draining,
            r.revision.sequence,
            versions.join(",")
        )
    });
    emit!(log_event::ENDPOINT, "endpoint={id} change={change:?}{text}");
}

/// Like [`endpoint_changed`], after the removal of some endpoints.
pub(super) fn endpoints_removed(ctx: &Context, removed: &[EndpointId]) {
    for id in removed {
        endpoint_changed(ctx, id, Change::Removed);
    }
    if !removed.is_empty() {
        ctx.notify_changed();
    }
}

/// Removes the endpoints whose removal was doubted although another entry has read the store all the while.
pub(super) fn end_doubts(ctx: &Context) {
    let now = ctx.now();
    if !ctx.endpoints.borrow().is_doubting(now) {
        return;
    }
    let up_since = ctx.members.borrow().store_up_since(now);
    if let Some(at) = up_since {
        let removed = ctx.endpoints.borrow_mut().end_doubts(at, now);
        endpoints_removed(ctx, &removed);
    }
}

impl<D: Decode> Follower for EndpointFollower<D> {
    fn apply(&self, record: Record) {
        self.apply_record(&record);
    }

    fn applied_until(&self) -> Option<u64> {
        self.ctx.endpoints.borrow().position()
    }

    fn log_restarted(&self) {
        self.ctx.endpoints.borrow_mut().forget_position();
    }

    fn note_era(&self, era: Era) {
        self.ctx.learn_era(era, "store");
    }

    fn era(&self) -> Option<Era> {
        self.ctx.store_era.borrow().known()
    }

    fn response_ignored(&self) {
        self.ctx.metrics.outdated_responses.inc();
    }

    fn batch_applied(&self, next: u64, _age: Option<Millis>) {
        self.report_unusable();
        self.ctx.endpoints.borrow_mut().advance(next);
        if self.ctx.table_changed.get() {
            self.ctx.notify_changed();
        }
    }

    fn list_begun(&self) {
        self.listed.replace(Some(HashSet::default()));
        self.list_begun.set(self.ctx.now());
    }

    fn list_continued(&self) {
        self.report_unusable();
        let overdue = self.ctx.now() >= self.list_begun.get() + PARTIAL_TABLE_TIME;
        if overdue && self.ctx.endpoints.borrow().iter().next().is_some() {
            self.ctx.table_loaded.set(true);
        }
        if self.ctx.table_changed.get() {
            self.ctx.notify_changed();
        }
    }

    fn list_ended(&self) {
        let Some(listed) = self.listed.take() else {
            return;
        };
        let now = self.ctx.now();
        let missing = {
            let mut table = self.ctx.endpoints.borrow_mut();
            table.retain_present(&listed, now)
        };
        for id in missing {
            let gone = self.ctx.endpoints.borrow().get(&id).is_none();
            let change = if gone {
                Change::Removed
            } else {
                Change::Doubted
            };
            endpoint_changed(&self.ctx, &id, change);
        }
        self.ctx.table_loaded.set(true);
        self.ctx.table_changed.set(true);
    }

    fn list_dropped(&self) {
        self.listed.take();
    }

    fn pause(&self) -> Millis {
        if self.ctx.is_load_pending() {
            ENDPOINTS_PAUSE_LOADING
        } else {
            ENDPOINTS_PAUSE
        }
    }

    fn note_response(&self, response: ResponseTime) {
        self.ctx.note_steadiness(response);
    }

    fn read_succeeded(&self) {
        self.ctx.record_read(self.pause());
    }

    fn should_read(&self) -> bool {
        self.ctx.is_zone_reader()
    }

    fn store_recovered(&self) {
        let now = self.ctx.now();
        if self.ctx.members.borrow().store_was_up(RENEWAL, now) {
            emit!(log_event::STORE, "topic=Endpoints outcome=own-outage");
        } else {
            self.ctx.endpoints.borrow_mut().store_recovered(now);
        }
        self.ctx.operator_wake.notify_waiters();
    }
}

/// Follower of the announcements of entries.
pub(super) struct EntryFollower {
    ctx: Rc<Context>,
    /// Whether the announcements were read after the other entries of a common start had time to write theirs.
    read: Cell<bool>,
    unusable: Unusable,
}

impl EntryFollower {
    pub(super) fn new(ctx: Rc<Context>) -> Self {
        Self {
            ctx,
            read: Cell::default(),
            unusable: Unusable::default(),
        }
    }

    fn report_unusable(&self) {
        if let Some(report) = self.unusable.report(self.ctx.now()) {
            emit!(log_event::RECORD, "topic=Entries {report}");
        }
    }
}

impl Follower for EntryFollower {
    fn apply(&self, record: Record) {
        let Some(value) = &record.value else {
            return;
        };
        match postcard::from_bytes::<Heartbeat>(value) {
            Ok(beat) => self.ctx.members.borrow_mut().announce(beat, self.ctx.now()),
            Err(e) => {
                self.ctx.metrics.count_unusable("Entries", &record);
                self.unusable.note(&record, &e.to_string());
            }
        }
    }

    fn list_continued(&self) {
        self.report_unusable();
    }

    fn batch_applied(&self, _next: u64, _age: Option<Millis>) {
        self.report_unusable();
    }

    fn read_succeeded(&self) {
        // Entries that start at the same time may announce themselves only after the first read of this one.
        self.read
            .set(self.ctx.now() > self.ctx.started + ENTRIES_PAUSE);
    }

    fn should_read(&self) -> bool {
        !self.read.get() || self.ctx.is_zone_reader()
    }

    fn note_era(&self, era: Era) {
        self.ctx.learn_era(era, "store");
    }

    fn era(&self) -> Option<Era> {
        self.ctx.store_era.borrow().known()
    }

    fn response_ignored(&self) {
        self.ctx.metrics.outdated_responses.inc();
    }

    async fn read_interrupted(&self) {
        self.ctx.era_changed.notified().await;
    }

    fn pause(&self) -> Millis {
        ENTRIES_PAUSE
    }

    fn store_recovered(&self) {}
}
