//! Endpoints that an entry knows, from their records in the store.

use std::{net::SocketAddr, rc::Rc};

use serde::{Deserialize, Serialize};

use super::{
    members::EndpointHash,
    record::{EndpointRecord, Revision, WeightVersion},
};
use crate::base::{rendezvous, HashMap, HashSet, Millis, Service};

/// Time that endpoints need to renew records that expired during an outage of the store.
pub const RENEWAL: Millis = Millis(2300);

/// Time that an endpoint's record takes at most to follow what the agent said; a drain and a load take less.
const RECORD_LAG: Millis = Millis(5000);

/// Time for which the revision of a removed endpoint is remembered, so that a delayed older record does not restore it.
const MEMORY: Millis = Millis(60_000);

/// Time for which other entries are told that an endpoint leaves; a few beats, because datagrams are lost.
const LEAVING_TOLD: Millis = Millis(1500);

/// Id of one run of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EndpointId(pub Rc<str>);

impl EndpointId {
    /// Returns the short form for datagrams.
    pub fn hash(&self) -> EndpointHash {
        EndpointHash(rendezvous(b"endpoint", self.0.as_bytes()) as u32)
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

/// An endpoint.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Id.
    pub id: EndpointId,
    /// What it last said of itself.
    pub record: EndpointRecord,
    /// Time at which the endpoint leaves the table, if its record was removed in doubt.
    removal: Option<Millis>,
    /// Count of the table's changes when this one last changed.
    changed: u64,
    /// Part of the table's hash.
    hash: u64,
    /// What the agent's news replaced in the record.
    outdated: Option<Outdated>,
}

/// Weights that an endpoint's record still names although its agent said otherwise.
#[derive(Clone, Debug)]
struct Outdated {
    models: Vec<(Rc<str>, WeightVersion)>,
    /// Time from which the record is believed again in any case.
    until: Millis,
}

/// What an agent says of the endpoint on its host, sooner than the endpoint's own record does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointNews {
    /// Address of the endpoint.
    pub addr: SocketAddr,
    /// Start of the endpoint in Unix milliseconds.
    pub born: u64,
    /// Loaded weights; none while it drains and loads.
    pub models: Vec<(Rc<str>, WeightVersion)>,
}

/// Changes of a table, for entries that do not read the store.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetNews {
    /// Count of changes that these lead to.
    pub count: u64,
    /// Whether these are all endpoints.
    pub whole: bool,
    /// Endpoints that came or changed.
    pub records: Vec<(EndpointId, EndpointRecord)>,
    /// Endpoints that left.
    pub removed: Vec<EndpointId>,
}

/// An endpoint that left the table.
#[derive(Clone, Copy, Debug)]
struct Removed {
    revision: Revision,
    /// Time until which it is remembered.
    until: Millis,
    /// Count of the table's changes when it left.
    changed: u64,
}

/// An endpoint that leaves by its own word.
#[derive(Clone, Copy, Debug)]
struct Left {
    /// Its start; a later start takes requests again.
    born: u64,
    /// When it was known.
    at: Millis,
}

/// What a record changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// A new endpoint.
    Added,
    /// The record changed in more than its revision.
    Updated,
    /// The endpoint is gone.
    Removed,
    /// The endpoint leaves, as it said in a response.
    Left,
    /// The endpoint is removed unless it renews its record.
    Doubted,
    /// Nothing but the revision changed.
    Renewed,
    /// An older record than the known one, or one of a removed endpoint.
    Stale,
}

/// Hash of a table of endpoints without the counts of their records; tables with the same hash say the same.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FleetDigest(pub u64);

/// Endpoints by id.
#[derive(Debug, Default)]
pub struct Fleet {
    endpoints: HashMap<EndpointId, Endpoint>,
    removed: HashMap<EndpointId, Removed>,
    /// Endpoints that said in a response that they leave, which their records may not say for a while.
    left: HashMap<EndpointId, Left>,
    /// Count of changes.
    changes: u64,
    /// Sum of the endpoints' hashes.
    sum: u64,
    /// Removals before this time are in doubt, because the store was away.
    doubt: Millis,
}

impl Fleet {
    /// Takes a record, or its removal.
    pub fn apply(
        &mut self,
        id: &EndpointId,
        record: Option<EndpointRecord>,
        now: Millis,
    ) -> Change {
        match record {
            Some(record) => self.insert(id, record, now),
            None => self.remove(id, now),
        }
    }

    fn insert(&mut self, id: &EndpointId, mut record: EndpointRecord, now: Millis) -> Change {
        let born = record.revision.born;
        record.draining |= self.left.get(id).is_some_and(|l| l.born == born);
        if self
            .removed
            .get(id)
            .is_some_and(|r| record.revision <= r.revision)
        {
            return Change::Stale;
        }
        let Some(known) = self.endpoints.get_mut(id) else {
            self.removed.remove(id);
            self.changes += 1;
            let mut endpoint = Endpoint {
                id: id.clone(),
                record,
                removal: None,
                changed: self.changes,
                hash: 0,
                outdated: None,
            };
            endpoint.rehash(&mut self.sum);
            self.endpoints.insert(id.clone(), endpoint);
            return Change::Added;
        };
        if record.revision < known.record.revision {
            return Change::Stale;
        }
        known.removal = None;
        match &known.outdated {
            Some(old) if old.models == record.models && now < old.until => {
                record.models.clone_from(&known.record.models);
            }
            _ => known.outdated = None,
        }
        known.record.revision.sequence = record.revision.sequence;
        if known.record == record {
            return Change::Renewed;
        }
        let revision = record.revision;
        let same = EndpointRecord {
            revision,
            ..known.record.clone()
        } == record;
        known.record = record;
        known.rehash(&mut self.sum);
        if same {
            return Change::Renewed;
        }
        self.changes += 1;
        known.changed = self.changes;
        Change::Updated
    }

    fn remove(&mut self, id: &EndpointId, now: Millis) -> Change {
        let Some(known) = self.endpoints.get_mut(id) else {
            return Change::Stale;
        };
        if now < self.doubt {
            known.removal = Some(self.doubt);
            return Change::Doubted;
        }
        self.drop_endpoint(id, now);
        Change::Removed
    }

    fn drop_endpoint(&mut self, id: &EndpointId, now: Millis) {
        if let Some(e) = self.endpoints.remove(id) {
            self.changes += 1;
            self.sum = self.sum.wrapping_sub(e.hash);
            let removed = Removed {
                revision: e.record.revision,
                until: now + MEMORY,
                changed: self.changes,
            };
            self.removed.insert(e.id, removed);
        }
    }

    /// Notes that the store answers again after an outage: endpoints get [`RENEWAL`] to renew their records.
    pub fn regained(&mut self, now: Millis) {
        self.doubt = now + RENEWAL;
    }

    /// Replaces the table by all records of the store; returns the ids that were missing.
    pub fn retain(&mut self, present: &HashSet<EndpointId>, now: Millis) -> Vec<EndpointId> {
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

    /// Returns the hash of the table.
    pub fn digest(&self) -> FleetDigest {
        FleetDigest(self.sum)
    }

    /// Returns what changed since a count of changes; everything if that is not known.
    pub fn news(&self, since: Option<u64>) -> FleetNews {
        let since = since.filter(|n| *n <= self.changes);
        let from = since.unwrap_or(0);
        let records = self.endpoints.values().filter(|e| e.changed > from);
        let removed = self.removed.iter().filter(|(_, r)| r.changed > from);
        FleetNews {
            count: self.changes,
            whole: since.is_none(),
            records: records.map(|e| (e.id.clone(), e.record.clone())).collect(),
            removed: removed.map(|(id, _)| id.clone()).collect(),
        }
    }

    /// Takes over changes from an entry that reads the store; returns what changed here.
    pub fn mirror(&mut self, news: FleetNews, now: Millis) -> Vec<(EndpointId, Change)> {
        let mut gone = news.removed;
        if news.whole {
            let present: HashSet<_> = news.records.iter().map(|(id, _)| id).collect();
            let known = self.endpoints.keys();
            gone = known.filter(|id| !present.contains(id)).cloned().collect();
        }
        let mut changes = Vec::new();
        for (id, record) in news.records {
            // A table that was read earlier than this one may hold an endpoint that was missing in between.
            if self
                .removed
                .get(&id)
                .is_some_and(|r| record.revision == r.revision)
            {
                self.removed.remove(&id);
            }
            let change = self.insert(&id, record, now);
            changes.push((id, change));
        }
        for id in gone {
            if self.endpoints.contains_key(&id) {
                self.drop_endpoint(&id, now);
                changes.push((id, Change::Removed));
            }
        }
        changes.retain(|c| !matches!(c.1, Change::Renewed | Change::Stale));
        changes
    }

    /// Takes what an agent says of its endpoint; returns the endpoint if that is new.
    pub fn hear(&mut self, news: &EndpointNews, now: Millis) -> Option<EndpointId> {
        let meant =
            |e: &&mut Endpoint| e.record.addr == news.addr && e.record.revision.born == news.born;
        let known = self.endpoints.values_mut().find(meant)?;
        if known.record.models == news.models {
            return None;
        }
        known.outdated = Some(Outdated {
            models: std::mem::replace(&mut known.record.models, news.models.clone()),
            until: now + RECORD_LAG,
        });
        known.note_change(&mut self.sum, &mut self.changes);
        Some(known.id.clone())
    }

    /// Notes that an endpoint says that it leaves; returns whether that is new.
    pub fn leave(&mut self, id: &EndpointId, now: Millis) -> bool {
        let Some(known) = self.endpoints.get_mut(id) else {
            return false;
        };
        let born = known.record.revision.born;
        if self.left.get(id).is_some_and(|l| l.born == born) {
            return false;
        }
        self.left.insert(id.clone(), Left { born, at: now });
        if known.record.draining {
            return false;
        }
        known.record.draining = true;
        known.note_change(&mut self.sum, &mut self.changes);
        true
    }

    /// Notes that other entries were told by endpoints that they leave; returns those for which that is new.
    pub fn leave_told(&mut self, told: &[EndpointHash], now: Millis) -> Vec<EndpointId> {
        if told.is_empty() {
            return Vec::new();
        }
        let ids: Vec<_> = self.endpoints.keys().cloned().collect();
        let meant = ids.into_iter().filter(|id| told.contains(&id.hash()));
        meant.filter(|id| self.leave(id, now)).collect()
    }

    /// Returns the endpoints that said lately that they leave.
    pub fn leaving(&self, now: Millis) -> Vec<EndpointHash> {
        let lately = self.left.iter().filter(|(_, l)| now < l.at + LEAVING_TOLD);
        lately.map(|(id, _)| id.hash()).collect()
    }

    /// Removes endpoints whose time to renew is over; returns them.
    pub fn expire(&mut self, now: Millis) -> Vec<EndpointId> {
        self.removed.retain(|_, r| r.until > now);
        let endpoints = &self.endpoints;
        self.left
            .retain(|id, l| endpoints.contains_key(id) || now < l.at + MEMORY);
        let over: Vec<_> = self
            .endpoints
            .values()
            .filter(|e| e.removal.is_some_and(|at| at <= now))
            .map(|e| e.id.clone())
            .collect();
        for id in &over {
            self.drop_endpoint(id, now);
        }
        over
    }

    /// Returns the endpoints of a service.
    pub fn of<'a>(&'a self, service: &'a Service) -> impl Iterator<Item = &'a Endpoint> {
        self.endpoints
            .values()
            .filter(move |e| e.record.service == *service)
    }

    /// Returns an endpoint.
    pub fn get(&self, id: &EndpointId) -> Option<&Endpoint> {
        self.endpoints.get(id)
    }

    /// Returns all endpoints.
    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values()
    }
}

impl Endpoint {
    /// Takes a change of the record into the sum of all hashes.
    fn rehash(&mut self, sum: &mut u64) {
        let mut record = self.record.clone();
        record.revision.sequence = 0;
        // Records of this program's own types are always encodable.
        let data = postcard::to_stdvec(&(&self.id, record)).unwrap_or_default();
        let hash = rendezvous(b"record", &data);
        *sum = sum.wrapping_sub(self.hash).wrapping_add(hash);
        self.hash = hash;
    }

    /// Takes a change of the record into the sum of all hashes and the count of changes.
    fn note_change(&mut self, sum: &mut u64, changes: &mut u64) {
        self.rehash(sum);
        *changes += 1;
        self.changed = *changes;
    }

    /// Returns the version of a model that the endpoint has loaded.
    pub fn weights(&self, model: &str) -> Option<WeightVersion> {
        self.record
            .models
            .iter()
            .find(|(name, _)| &**name == model)
            .map(|(_, v)| *v)
    }
}
