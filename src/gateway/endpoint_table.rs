//! Table of the endpoints that an entry may send requests to, built from their records in the store.

mod delta;
mod doubts;
mod leaving;

use std::{net::SocketAddr, rc::Rc};

use serde::{Deserialize, Serialize};

use super::{
    cold_time::ColdTime,
    record::{EndpointRecord, Incarnation, Revision, WeightVersion},
};
use crate::base::{rendezvous, HashMap, HashSet, Millis, Service};

pub use delta::{TableDelta, TableView};
use leaving::Leaving;

/// Time that endpoints get, after an outage of the store, to renew records that expired during it.
pub const RENEWAL: Millis = Millis(2300);

/// Longest time for which an endpoint's record may lag behind its agent's update; a drain and a load take less.
const RECORD_LAG_MAX: Millis = Millis(5000);

/// Lists of weights that are kept of an endpoint whose agent has reported others: those before, during and after a load.
const OVERRIDDEN_MAX: usize = 3;

/// Retention of the tombstone of a removed endpoint, which keeps a delayed older record from restoring the endpoint.
const TOMBSTONE_RETENTION: Millis = Millis(60_000);

/// Time without a renewal of a record after which an older one replaces it, because another writer may have left the
/// newer one under the endpoint's id. Longer than the delay of a write.
const REVISION_TIMEOUT: Millis = Millis(5000);

/// Id of an endpoint: its key in the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EndpointId(pub Rc<str>);

/// Hash of an endpoint's id, or of one run of it; 32 bits, because each datagram lists every endpoint with requests in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EndpointHash(pub u32);

impl EndpointId {
    /// Returns the id that a key of the store stands for; `None` if no header could carry it unchanged, so that the
    /// endpoint could not tell requests to it from those to another one.
    pub fn from_key(key: &[u8]) -> Option<Self> {
        let text = std::str::from_utf8(key).ok()?;
        let valid = !text.is_empty() && text.bytes().all(|b| b.is_ascii_graphic());
        valid.then(|| Self(text.into()))
    }

    /// Returns the hash of the id that stands for it in datagrams.
    pub fn hash(&self) -> EndpointHash {
        EndpointHash(rendezvous(b"endpoint", self.0.as_bytes()) as u32)
    }

    /// Returns the hash that stands for one run of the endpoint in datagrams.
    pub fn hash_of(&self, run: Incarnation) -> EndpointHash {
        let key = run.0.to_le_bytes();
        EndpointHash(rendezvous(&key, self.0.as_bytes()) as u32)
    }
}

impl std::fmt::Display for EndpointId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::str::FromStr for EndpointId {
    type Err = std::convert::Infallible;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        Ok(Self(s.into()))
    }
}

/// An endpoint and its newest record.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Id; key of the record in the store.
    pub id: EndpointId,
    /// Newest record, corrected by what the endpoint's agent and response headers reported since.
    pub record: EndpointRecord,
    /// Time at which the record was last replaced or renewed.
    renewed: Millis,
    /// Time at which a tentative removal of the endpoint takes effect; `None` if its record is present.
    removal: Option<Millis>,
    /// Value of the table's change counter when this endpoint last changed.
    changed: u64,
    /// Hash of the id and the record, a summand of the table's hash.
    hash: u64,
    /// Weights that the agent's update replaced in the record, until the record follows.
    overridden: Option<Overridden>,
    /// Cold time that the record names, as of when this entry learned it.
    cold: ColdTime,
}

/// Weights that an endpoint's record may still list although its agent has reported others since.
#[derive(Clone, Debug)]
struct Overridden {
    /// Lists of weights, oldest first.
    models: Vec<Vec<(Rc<str>, WeightVersion)>>,
    /// Time from which the record is used again, even if it still lists these weights.
    until: Millis,
}

impl Overridden {
    /// Returns whether a record that lists `models` is older than the agent's report.
    fn covers(&self, models: &[(Rc<str>, WeightVersion)], now: Millis) -> bool {
        now < self.until && self.models.iter().any(|m| m == models)
    }
}

/// State of an endpoint as the agent on its host reports it; it arrives earlier than the endpoint's own record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointUpdate {
    /// Address of the endpoint.
    pub addr: SocketAddr,
    /// Start of the endpoint in Unix milliseconds.
    pub born: u64,
    /// Loaded versions by model; empty while the endpoint drains and loads.
    pub models: Vec<(Rc<str>, WeightVersion)>,
}

/// Tombstone of an endpoint that was removed from the table.
#[derive(Clone, Copy, Debug)]
struct Tombstone {
    revision: Revision,
    /// End of the tombstone's retention.
    until: Millis,
    /// Value of the table's change counter at the removal.
    changed: u64,
}

/// Effect of a record or a report on the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The endpoint is new.
    Added,
    /// The endpoint's record changed in more than its revision.
    Updated,
    /// The record is of another run of the endpoint than the one before it.
    Restarted,
    /// The endpoint was removed.
    Removed,
    /// The endpoint is leaving, as it announced in a response header.
    Left,
    /// The removal is tentative: it takes effect unless the endpoint renews its record.
    Doubted,
    /// Nothing but the revision changed.
    Renewed,
    /// The record is older than the known one or than the tombstone, or it removes an endpoint that is not in the
    /// table.
    Stale,
}

/// Hash of a table's endpoints without the sequence numbers of their records; tables with the same hash hold the same.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TableDigest(pub u64);

/// Endpoints by id, with tombstones and a change counter.
#[derive(Debug, Default)]
pub struct EndpointTable {
    endpoints: HashMap<EndpointId, Endpoint>,
    tombstones: HashMap<EndpointId, Tombstone>,
    /// Endpoints that announced in a response header that they are leaving; their records may say so only later.
    announced: HashMap<EndpointId, Leaving>,
    /// Number of changes so far.
    changes: u64,
    /// Wrapping sum of the endpoints' hashes.
    sum: u64,
    /// Offset of the store's topic before which all records are applied; `None` if that is not known. It never falls
    /// unless the log begins anew, and offsets are the same for all readers of a log.
    position: Option<u64>,
    /// Time until which removals are tentative, because the store has just recovered from an outage.
    tentative_until: Millis,
    /// Time until which removals are tentative whatever other entries say, because the store was restored from an older
    /// copy.
    restored_until: Millis,
    /// Latest time at which a tentative removal is due.
    doubts_until: Millis,
    /// Time until which no tentative removal takes effect by its time, because this process was held up and has yet to
    /// read what was written meanwhile.
    deferred_until: Millis,
}

impl EndpointTable {
    /// Applies a record of the store, or its removal if `record` is `None`.
    pub fn apply(
        &mut self,
        id: &EndpointId,
        record: Option<EndpointRecord>,
        now: Millis,
    ) -> Change {
        match record {
            Some(record) => self.insert(id, record, REVISION_TIMEOUT, now),
            None => self.remove(id, now),
        }
    }

    /// Inserts a record; `timeout` is the time without a renewal after which an older one replaces the known one.
    fn insert(
        &mut self,
        id: &EndpointId,
        mut record: EndpointRecord,
        timeout: Millis,
        now: Millis,
    ) -> Change {
        let born = record.revision.born;
        record.draining |= self.announced.get(id).is_some_and(|l| l.born == born);
        if self
            .tombstones
            .get(id)
            .is_some_and(|r| record.revision <= r.revision)
        {
            return Change::Stale;
        }
        let Some(known) = self.endpoints.get_mut(id) else {
            self.tombstones.remove(id);
            self.changes += 1;
            let mut endpoint = Endpoint {
                id: id.clone(),
                cold: ColdTime::new(&record, now),
                record,
                renewed: now,
                removal: None,
                changed: self.changes,
                hash: 0,
                overridden: None,
            };
            endpoint.rehash(&mut self.sum);
            self.endpoints.insert(id.clone(), endpoint);
            return Change::Added;
        };
        if record.revision < known.record.revision {
            // Endpoints could not renew their records during an outage of the store.
            let renewed = known.renewed.max(self.tentative_until);
            // An endpoint that drains takes no requests again before its next start.
            let drains = known.record.draining && born == known.record.revision.born;
            if drains || now < renewed + timeout {
                return Change::Stale;
            }
        }
        let restarted = born != known.record.revision.born;
        if record.revision != known.record.revision {
            known.cold = ColdTime::new(&record, now);
        }
        known.renewed = now;
        let doubted = known.removal.take().is_some();
        match &known.overridden {
            Some(old) if !restarted && old.covers(&record.models, now) => {
                record.models.clone_from(&known.record.models);
            }
            _ => known.overridden = None,
        }
        known.record.revision.sequence = record.revision.sequence;
        if known.record == record {
            if doubted {
                // Copies of the table doubt the removal, too.
                self.changes += 1;
                known.changed = self.changes;
            }
            return Change::Renewed;
        }
        if restarted && known.record.draining {
            let run = Leaving {
                born: known.record.revision.born,
                at: Millis::ZERO,
            };
            self.announced.entry(id.clone()).or_insert(run);
        }
        known.record = record;
        known.mark_changed(&mut self.sum, &mut self.changes);
        if restarted {
            return Change::Restarted;
        }
        Change::Updated
    }

    fn remove(&mut self, id: &EndpointId, now: Millis) -> Change {
        let Some(known) = self.endpoints.get_mut(id) else {
            return Change::Stale;
        };
        if now < self.tentative_until {
            known.removal = Some(self.tentative_until);
            self.note_doubt(self.tentative_until);
            return Change::Doubted;
        }
        self.drop_endpoint(id, now);
        Change::Removed
    }

    fn drop_endpoint(&mut self, id: &EndpointId, now: Millis) {
        if let Some(e) = self.endpoints.remove(id) {
            self.changes += 1;
            self.sum = self.sum.wrapping_sub(e.hash);
            let removed = Tombstone {
                revision: e.record.revision,
                until: now + TOMBSTONE_RETENTION,
                changed: self.changes,
            };
            self.tombstones.insert(e.id, removed);
        }
    }

    /// Removes the endpoints that are not among the ids of all records of the store, and returns the ids of these;
    /// right after an outage the removals are tentative.
    pub fn retain_present(
        &mut self,
        present: &HashSet<EndpointId>,
        now: Millis,
    ) -> Vec<EndpointId> {
        let missing: Vec<_> = self
            .endpoints
            .keys()
            .filter(|id| !present.contains(*id))
            .cloned()
            .collect();
        for id in &missing {
            self.remove(id, now);
        }
        missing
    }

    /// Returns the offset of the store's topic before which all records are applied.
    pub fn position(&self) -> Option<u64> {
        self.position
    }

    /// Records that all records of the store's topic before an offset are applied.
    pub fn advance(&mut self, position: u64) {
        self.position = self.position.max(Some(position));
    }

    /// Forgets which records are applied, because offsets of the log of before tell nothing.
    pub fn forget_position(&mut self) {
        self.position = None;
    }

    /// Returns the hash of the table.
    pub fn digest(&self) -> TableDigest {
        TableDigest(self.sum)
    }

    /// Applies an agent's report of its endpoint; returns the endpoint's id if the report changed its weights.
    pub fn apply_update(&mut self, update: &EndpointUpdate, now: Millis) -> Option<EndpointId> {
        let matches = |e: &&mut Endpoint| {
            e.record.addr == update.addr && e.record.revision.born == update.born
        };
        let known = self.endpoints.values_mut().find(matches)?;
        if known.record.models == update.models {
            return None;
        }
        let before = known.overridden.take().filter(|old| now < old.until);
        let mut models = before.map_or_else(Vec::new, |old| old.models);
        models.retain(|m| *m != update.models);
        models.push(std::mem::replace(
            &mut known.record.models,
            update.models.clone(),
        ));
        if models.len() > OVERRIDDEN_MAX {
            models.remove(0);
        }
        known.overridden = Some(Overridden {
            models,
            until: now + RECORD_LAG_MAX,
        });
        known.mark_changed(&mut self.sum, &mut self.changes);
        Some(known.id.clone())
    }

    /// Drops expired tombstones, and removes the endpoints whose tentative removal takes effect now; returns these.
    pub fn expire(&mut self, now: Millis) -> Vec<EndpointId> {
        self.tombstones.retain(|_, r| r.until > now);
        let endpoints = &self.endpoints;
        self.announced
            .retain(|id, l| endpoints.contains_key(id) || now < l.at + TOMBSTONE_RETENTION);
        if now < self.deferred_until {
            return Vec::new();
        }
        self.remove_tentative(|at| at <= now, now)
    }

    /// Returns the endpoints of a service.
    pub fn of_service<'a>(&'a self, service: &'a Service) -> impl Iterator<Item = &'a Endpoint> {
        self.endpoints
            .values()
            .filter(move |e| e.record.service == *service)
    }

    /// Returns the endpoint with this id.
    pub fn get(&self, id: &EndpointId) -> Option<&Endpoint> {
        self.endpoints.get(id)
    }

    /// Returns the number of endpoints.
    pub fn count(&self) -> usize {
        self.endpoints.len()
    }

    /// Returns the endpoints of all services.
    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values()
    }
}

impl Endpoint {
    /// Recomputes the endpoint's hash and adjusts `sum`, the table's sum of hashes.
    fn rehash(&mut self, sum: &mut u64) {
        let mut record = self.record.clone();
        record.revision.sequence = 0;
        // Encoding types of this program does not fail.
        let data = postcard::to_stdvec(&(&self.id, record)).unwrap_or_default();
        let hash = rendezvous(b"record", &data);
        *sum = sum.wrapping_sub(self.hash).wrapping_add(hash);
        self.hash = hash;
    }

    /// Recomputes the endpoint's hash, adjusts `sum`, and marks the endpoint as changed in the table's change counter.
    fn mark_changed(&mut self, sum: &mut u64, changes: &mut u64) {
        self.rehash(sum);
        *changes += 1;
        self.changed = *changes;
    }

    /// Returns the cold time that the endpoint's record names.
    pub fn cold_time(&self) -> ColdTime {
        self.cold
    }

    /// Returns the run of the endpoint that wrote the record.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation(self.record.revision.born)
    }

    /// Returns the version of a model that the endpoint has loaded according to its record.
    pub fn weights(&self, model: &str) -> Option<WeightVersion> {
        self.record
            .models
            .iter()
            .find(|(name, _)| &**name == model)
            .map(|(_, v)| *v)
    }
}
