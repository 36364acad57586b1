//! Messages that spread the control stream and the host list.

use std::{collections::BTreeMap, net::SocketAddr};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    base::{Digest, Millis, Offset, ProcessName, Region, Service, Zone},
    kernel::{Entry, SnapshotChunk},
};

/// Subscribes to the control stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedRequest {
    /// First offset that the subscriber lacks.
    pub from: Offset,
    /// Longest time between two items; an empty item shows that the sender is alive.
    pub interval: Millis,
    /// Hash of the subscriber's host list; the list is not sent if the sender has the same.
    pub hosts: Digest,
}

/// One item of a subscription.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FeedItem {
    /// Offset that the sender has applied.
    pub applied: Offset,
    /// Time since the log last confirmed the sender's state, directly or through other processes.
    pub age: Millis,
    /// Part of a state that is sent instead of records that the sender no longer has.
    pub snapshot: Option<SnapshotChunk>,
    /// Records in offset order, starting at the offset asked for or after the snapshot.
    pub records: Vec<FeedRecord>,
    /// Change of the host list since the last item.
    pub hosts: Option<HostsUpdate>,
}

/// Change of the host list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostsUpdate {
    /// Whether `changed` is the whole list.
    pub whole: bool,
    /// New or changed hosts.
    pub changed: Vec<HostEntry>,
    /// Hosts that are no longer listed.
    pub removed: Vec<ProcessName>,
}

impl HostsUpdate {
    /// Returns the whole list as an update.
    pub fn whole(hosts: &Hosts) -> Self {
        Self {
            whole: true,
            changed: hosts.hosts.clone(),
            removed: Vec::new(),
        }
    }

    /// Returns what changed from one list to another.
    pub fn between(old: &Hosts, new: &Hosts) -> Self {
        let by_name = |hosts: &Hosts| -> BTreeMap<ProcessName, HostEntry> {
            let entries = hosts.hosts.iter();
            entries.map(|h| (h.name.clone(), h.clone())).collect()
        };
        let (old, new) = (by_name(old), by_name(new));
        let removed = old.keys().filter(|n| !new.contains_key(*n));
        Self {
            whole: false,
            removed: removed.cloned().collect(),
            changed: new
                .into_iter()
                .filter(|(n, h)| old.get(n) != Some(h))
                .map(|(_, h)| h)
                .collect(),
        }
    }

    /// Applies the update to a list; the result is in name order.
    pub fn apply(self, hosts: &Hosts) -> Hosts {
        let kept = hosts.hosts.iter().filter(|_| !self.whole).cloned();
        let mut all: BTreeMap<ProcessName, HostEntry> = kept.map(|h| (h.name.clone(), h)).collect();
        for name in &self.removed {
            all.remove(name);
        }
        all.extend(self.changed.into_iter().map(|h| (h.name.clone(), h)));
        Hosts {
            hosts: all.into_values().collect(),
        }
    }
}

/// A log entry on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedRecord {
    /// Position in the stream.
    pub offset: Offset,
    /// Time that the log stamped on the record, in Unix milliseconds.
    pub time: Millis,
    /// Encoded record.
    pub data: Bytes,
}

impl From<Entry> for FeedRecord {
    fn from(e: Entry) -> Self {
        Self {
            offset: e.offset,
            time: e.time,
            data: e.data,
        }
    }
}

impl From<FeedRecord> for Entry {
    fn from(r: FeedRecord) -> Self {
        Self {
            offset: r.offset,
            time: r.time,
            data: r.data,
        }
    }
}

/// Role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Takes requests of callers.
    Entry,
    /// Stands before an endpoint.
    Agent,
}

/// State of a host in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// In service.
    Live,
    /// On its way out.
    Leaving,
}

/// A process in the platform's host list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Name, unique in the deployment.
    pub name: ProcessName,
    /// Role.
    pub role: Role,
    /// Region.
    pub region: Region,
    /// Availability zone.
    pub zone: Zone,
    /// QUIC address.
    pub peer: SocketAddr,
    /// Address of the operator HTTP API.
    pub operator: SocketAddr,
    /// Address for callers; entries only.
    pub callers: Option<SocketAddr>,
    /// Service of the endpoint; agents only.
    pub service: Option<Service>,
    /// State.
    pub state: HostState,
}

/// The platform's host list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hosts {
    /// Processes by name.
    pub hosts: Vec<HostEntry>,
}

impl Hosts {
    /// Returns a hash over the list; equal lists have equal hashes.
    pub fn digest(&self) -> Digest {
        let mut hosts: Vec<&HostEntry> = self.hosts.iter().collect();
        hosts.sort_by(|a, b| a.name.cmp(&b.name));
        Digest::of(&postcard::to_stdvec(&hosts).unwrap_or_default())
    }
}
