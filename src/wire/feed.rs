//! Messages that spread the control stream and the host list.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    base::{Millis, Offset, ProcessName, Region, Service, Zone},
    kernel::Entry,
};

/// Subscribes to the control stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedRequest {
    /// First offset that the subscriber lacks.
    pub from: Offset,
    /// Longest time between two items; an empty item shows that the sender is alive.
    pub interval: Millis,
}

/// One item of a subscription.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FeedItem {
    /// Offset that the sender has applied.
    pub applied: Offset,
    /// Encoded kernel state, sent instead of records that the sender no longer has.
    pub snapshot: Option<Bytes>,
    /// Records in offset order, starting at the offset asked for or after the snapshot.
    pub records: Vec<FeedRecord>,
    /// The host list, if it changed since the last item.
    pub hosts: Option<Hosts>,
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
