//! Replication of an endpoint table: what one entry sends of its table, and what another applies of it.

use serde::{Deserialize, Serialize};

use super::{Change, EndpointId, EndpointTable, RENEWAL};
use crate::{
    base::{Era, HashSet, Millis},
    gateway::record::EndpointRecord,
};

/// Time without a renewal of a record after which an older one replaces it in a copy of a table, which gets a record
/// later than the table that it copies; shorter than that of a table that is read from the store.
const REVISION_TIMEOUT_COPY: Millis = Millis(2500);

/// Changes of a table since some value of its change counter, for entries that do not read the store.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TableDelta {
    /// Value of the sender's change counter after these changes.
    pub count: u64,
    /// Whether `records` holds all endpoints of the sender.
    pub full: bool,
    /// Endpoints that were added or changed.
    pub records: Vec<(EndpointId, EndpointRecord)>,
    /// Endpoints that were removed.
    pub removed: Vec<EndpointId>,
    /// What follows the other fields in the encoded form, which builds without it ignore.
    #[serde(skip)]
    pub view: TableView,
}

/// What a sender knows of its table beyond the records.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TableView {
    /// Endpoints whose removal the sender has read, but holds for one that an outage of the store caused.
    pub doubted: Vec<EndpointId>,
    /// Offset of the store's topic before which the sender has applied all records; `None` if it does not know.
    pub position: Option<u64>,
    /// Era of the store in which the position holds; `None` if the sender's build does not tell it. It is sent after all
    /// else, where builds that do not know it ignore it.
    #[serde(skip)]
    pub era: Option<Era>,
}

impl TableDelta {
    /// Encodes the changes.
    ///
    /// # Errors
    ///
    /// Returns an error if a value cannot be encoded; values of this program can.
    pub fn encode(&self) -> postcard::Result<Vec<u8>> {
        postcard::to_stdvec(&(self, &self.view, self.view.era))
    }

    /// Decodes what [`Self::encode`] returned, here or in a build that sends no view of its table.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes have another format.
    pub fn decode(data: &[u8]) -> postcard::Result<Self> {
        let (delta, rest): (Self, _) = postcard::take_from_bytes(data)?;
        if rest.is_empty() {
            return Ok(delta);
        }
        let (view, rest): (TableView, _) = postcard::take_from_bytes(rest)?;
        let view = TableView {
            era: postcard::from_bytes(rest).unwrap_or_default(),
            ..view
        };
        Ok(Self { view, ..delta })
    }

    /// Takes the removals that the sender doubts for true ones, because the store was not away.
    pub fn settle(&mut self) {
        let doubted = std::mem::take(&mut self.view.doubted);
        self.records.retain(|(id, _)| !doubted.contains(id));
        if !self.full {
            self.removed.extend(doubted);
        }
    }
}

impl EndpointTable {
    /// Returns the changes after the value `since` of the change counter; all endpoints if it is `None` or not of this
    /// table.
    pub fn delta_since(&self, since: Option<u64>) -> TableDelta {
        let since = since.filter(|n| *n <= self.changes);
        let from = since.unwrap_or(0);
        let records = self.endpoints.values().filter(|e| e.changed > from);
        let removed = self.tombstones.iter().filter(|(_, r)| r.changed > from);
        TableDelta {
            count: self.changes,
            full: since.is_none(),
            records: records.map(|e| (e.id.clone(), e.record.clone())).collect(),
            removed: removed.map(|(id, _)| id.clone()).collect(),
            view: self.view(),
        }
    }

    fn view(&self) -> TableView {
        let doubted = self.endpoints.values().filter(|e| e.removal.is_some());
        TableView {
            doubted: doubted.map(|e| e.id.clone()).collect(),
            position: self.position,
            era: None,
        }
    }

    /// Returns when the tentative removals of endpoints that a sender doubts take effect here: no later because of what
    /// it sends than by what is known here already.
    fn doubt(&self, doubted: &[EndpointId], now: Millis) -> Vec<(EndpointId, Millis)> {
        let known = |id| self.endpoints.get(id).and_then(|e| e.removal);
        let ids = doubted.iter();
        ids.map(|id| (id.clone(), known(id).unwrap_or(now + RENEWAL)))
            .collect()
    }

    /// Returns whether the sender of changes had applied less of the store's topic than this table.
    pub fn is_ahead(&self, delta: &TableDelta) -> bool {
        let both = self.position.zip(delta.view.position);
        both.is_some_and(|(own, sent)| sent < own)
    }

    /// Applies changes received from an entry that reads the store; returns the effect on each endpoint that changed. The
    /// changes must not be older than this table; see [`Self::is_ahead`].
    pub fn apply_delta(&mut self, delta: TableDelta, now: Millis) -> Vec<(EndpointId, Change)> {
        let mut removed = delta.removed;
        if delta.full {
            let present: HashSet<_> = delta.records.iter().map(|(id, _)| id).collect();
            let known = self.endpoints.keys();
            removed = known.filter(|id| !present.contains(id)).cloned().collect();
        }
        let doubted = self.doubt(&delta.view.doubted, now);
        let mut changes = Vec::new();
        for (id, record) in delta.records {
            // An endpoint that was missing from the table of an earlier sender has a tombstone here; the same revision
            // in this delta shows that it still exists, unless the sender has read its removal, too.
            let removed = self.tombstones.get(&id);
            let same = removed.is_some_and(|r| record.revision == r.revision);
            if same && !delta.view.doubted.contains(&id) {
                self.tombstones.remove(&id);
            }
            let change = self.insert(&id, record, REVISION_TIMEOUT_COPY, now);
            changes.push((id, change));
        }
        for (id, at) in doubted {
            if let Some(known) = self.endpoints.get_mut(&id) {
                known.removal = Some(at);
                self.note_doubt(at);
            }
        }
        for id in removed {
            if !self.endpoints.contains_key(&id) {
                continue;
            }
            let change = if self.is_restoring(now) {
                self.remove(&id, now)
            } else {
                self.drop_endpoint(&id, now);
                Change::Removed
            };
            changes.push((id, change));
        }
        self.position = self.position.max(delta.view.position);
        changes.retain(|c| !matches!(c.1, Change::Renewed | Change::Stale));
        changes
    }
}
