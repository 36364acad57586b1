//! What an entry takes from the store's topics.

use std::{marker::PhantomData, rc::Rc};

use bytes::Bytes;

use super::{
    catalog::Catalog,
    context::Context,
    fleet::{Change, EndpointId},
    follow::Follower,
    intents::{Decode, IntentSink},
    log_event,
    members::Beat,
    record::{Record, WeightVersion},
};
use crate::{
    base::{HashSet, Millis},
    emit,
};

/// Pause between reads of the endpoints, whose records change all the time: for each entry, because the reads of all
/// entries together load the store, and within limits, because an endpoint that leaves has to be known in time.
const ENDPOINTS_PAUSE: Pause = Pause {
    each: Millis(45),
    least: Millis(650),
    most: Millis(1100),
};

/// Pause while endpoints load weights: until its record is read, an endpoint stands idle after its load.
const ENDPOINTS_PAUSE_LOADING: Pause = Pause {
    each: Millis(25),
    least: Millis(350),
    most: Millis(800),
};

/// A pause that grows with the number of entries.
struct Pause {
    each: Millis,
    least: Millis,
    most: Millis,
}

impl Pause {
    fn of(&self, entries: usize) -> Millis {
        self.each.times(entries as u64).clamp(self.least, self.most)
    }
}

/// Puts a catalog in force and logs it.
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

/// Takes the operator's intents in an entry.
impl IntentSink for Rc<Context> {
    fn catalog(&self, catalog: Catalog, raw: Bytes) {
        apply_catalog(self, catalog, raw, "store");
    }

    fn weights(&self, model: Rc<str>, version: WeightVersion, found: bool) {
        let newer = self.name_version(model.clone(), version, found);
        emit!(
            log_event::NAMED,
            "model={model} version={version} newer={newer} found={found}"
        );
    }

    fn malformed(&self, key: &str, reason: &str) {
        emit!(log_event::RECORD, "key={key} reason=\"{reason}\"");
    }

    async fn interrupted(&self) {
        self.news.notified().await;
    }
}

/// Follows the endpoints' records.
pub(super) struct Endpoints<D>(pub(super) Rc<Context>, pub(super) PhantomData<D>);

impl<D: Decode> Endpoints<D> {
    fn apply(&self, record: &Record) -> Option<EndpointId> {
        let id = EndpointId(String::from_utf8_lossy(&record.key).into());
        let decoded = match record.value.as_ref().map(|v| D::endpoint(v)) {
            None => None,
            Some(Ok(e)) => Some(e),
            Some(Err(e)) => {
                emit!(log_event::RECORD, "key={id} reason=\"{e}\"");
                return Some(id);
            }
        };
        let now = self.0.now();
        let change = self.0.fleet.borrow_mut().apply(&id, decoded, now);
        if matches!(change, Change::Added | Change::Removed) {
            self.0.reset_turns();
        }
        if change == Change::Updated {
            self.0.balance.borrow_mut().recover(&id);
        }
        if !matches!(change, Change::Renewed | Change::Stale) {
            let fleet = self.0.fleet.borrow();
            let record = fleet.get(&id).map(|e| &e.record);
            let text = record.map_or_else(String::new, |r| {
                let versions: Vec<_> = r.models.iter().map(|m| m.1.to_string()).collect();
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
        Some(id)
    }
}

impl<D: Decode> Follower for Endpoints<D> {
    fn take(&self, record: Record) {
        self.apply(&record);
    }

    fn replace(&self, records: Vec<Record>) {
        let present: HashSet<_> = records.iter().filter_map(|r| self.apply(r)).collect();
        let missing = self.0.fleet.borrow_mut().retain(&present, self.0.now());
        for id in missing {
            emit!(log_event::ENDPOINT, "endpoint={id} change=missing");
        }
        self.0.fleet_known.set(true);
    }

    fn pause(&self) -> Millis {
        let entries = self.0.members.borrow().count();
        let pause = if self.0.awaits_weights() {
            ENDPOINTS_PAUSE_LOADING
        } else {
            ENDPOINTS_PAUSE
        };
        pause.of(entries)
    }

    fn regained(&self) {
        self.0.fleet.borrow_mut().regained(self.0.now());
        self.0.news.notify_waiters();
    }
}

/// Follows the announcements of entries.
pub(super) struct Entries(pub(super) Rc<Context>);

impl Follower for Entries {
    fn take(&self, record: Record) {
        let Some(value) = &record.value else {
            return;
        };
        match postcard::from_bytes::<Beat>(value) {
            Ok(beat) => self.0.members.borrow_mut().announce(beat, self.0.now()),
            Err(e) => emit!(log_event::RECORD, "topic=entries reason=\"{e}\""),
        }
    }

    fn replace(&self, records: Vec<Record>) {
        for record in records {
            self.take(record);
        }
    }

    fn regained(&self) {}
}
