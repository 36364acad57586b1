//! Endpoints that an entry knows, from their records in the store.

use std::rc::Rc;

use serde::{Deserialize, Serialize};

use super::{
    members::EndpointHash,
    record::{EndpointRecord, Revision, WeightVersion},
};
use crate::base::{rendezvous, HashMap, HashSet, Millis, Service};

/// Time that endpoints need to renew records that expired during an outage of the store.
pub const RENEWAL: Millis = Millis(2300);

/// Time for which the revision of a removed endpoint is remembered, so that a delayed older record does not restore it.
const MEMORY: Millis = Millis(60_000);

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
    removed: HashMap<EndpointId, (Revision, Millis)>,
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
            Some(record) => self.insert(id, record),
            None => self.remove(id, now),
        }
    }

    fn insert(&mut self, id: &EndpointId, record: EndpointRecord) -> Change {
        if self
            .removed
            .get(id)
            .is_some_and(|(r, _)| record.revision <= *r)
        {
            return Change::Stale;
        }
        let Some(known) = self.endpoints.get_mut(id) else {
            self.removed.remove(id);
            let endpoint = Endpoint {
                id: id.clone(),
                record,
                removal: None,
            };
            self.endpoints.insert(id.clone(), endpoint);
            return Change::Added;
        };
        if record.revision < known.record.revision {
            return Change::Stale;
        }
        known.removal = None;
        let revision = record.revision;
        let same = EndpointRecord {
            revision,
            ..known.record.clone()
        } == record;
        known.record = record;
        if same {
            Change::Renewed
        } else {
            Change::Updated
        }
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
            let memory = (e.record.revision, now + MEMORY);
            self.removed.insert(e.id, memory);
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
        let sum = self.endpoints.values().fold(0, |sum: u64, e| {
            let mut record = e.record.clone();
            record.revision.sequence = 0;
            // Records of this program's own types are always encodable.
            let data = postcard::to_stdvec(&(&e.id, record)).unwrap_or_default();
            sum.wrapping_add(rendezvous(b"record", &data))
        });
        FleetDigest(sum)
    }

    /// Returns the records of all endpoints, for entries that do not read the store.
    pub fn records(&self) -> Vec<(EndpointId, EndpointRecord)> {
        let all = self.endpoints.values();
        all.map(|e| (e.id.clone(), e.record.clone())).collect()
    }

    /// Takes over the table of an entry that reads the store; returns what changed.
    pub fn mirror(
        &mut self,
        told: Vec<(EndpointId, EndpointRecord)>,
        now: Millis,
    ) -> Vec<(EndpointId, Change)> {
        let present: HashSet<_> = told.iter().map(|(id, _)| id.clone()).collect();
        let mut changes = Vec::new();
        for (id, record) in told {
            // A table that was read earlier than this one may hold an endpoint that was missing in between.
            let back = |(r, _): &mut (Revision, Millis)| record.revision == *r;
            if self.removed.get_mut(&id).is_some_and(back) {
                self.removed.remove(&id);
            }
            changes.push((id.clone(), self.insert(&id, record)));
        }
        let missing: Vec<_> = self.endpoints.keys().cloned().collect();
        for id in missing.into_iter().filter(|id| !present.contains(id)) {
            self.drop_endpoint(&id, now);
            changes.push((id, Change::Removed));
        }
        changes.retain(|c| !matches!(c.1, Change::Renewed | Change::Stale));
        changes
    }

    /// Removes endpoints whose time to renew is over; returns them.
    pub fn expire(&mut self, now: Millis) -> Vec<EndpointId> {
        self.removed.retain(|_, (_, until)| *until > now);
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
    /// Returns the version of a model that the endpoint has loaded.
    pub fn weights(&self, model: &str) -> Option<WeightVersion> {
        self.record
            .models
            .iter()
            .find(|(name, _)| &**name == model)
            .map(|(_, v)| *v)
    }
}
