//! Records of the platform's store, decoded.

use std::{future::Future, net::SocketAddr, rc::Rc};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::Catalog;
use crate::base::{Millis, Service, Zone};

/// A compacted topic: the newest record of each key is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Topic {
    /// Configuration and named weight versions; written by the operator.
    Operator,
    /// Endpoints; written by themselves.
    Endpoints,
    /// Entries; written by themselves.
    Entries,
}

/// A record of a compacted topic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Key.
    pub key: Bytes,
    /// Value; `None` removes the key.
    pub value: Option<Bytes>,
}

/// Records and the offset that follows them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Records {
    /// Records in the order of the log.
    pub records: Vec<Record>,
    /// Offset of the next record to read.
    pub next: u64,
}

/// Why a call to the store failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The store answered that it did nothing.
    #[error("the store refused the call with status {0}; retry later")]
    Refused(u16),
    /// No response came; a write may have taken effect.
    #[error("the store did not answer ({0}); a write may have taken effect")]
    Unknown(String),
    /// The records from the wanted offset on are no longer kept.
    #[error("the records are no longer kept; read the newest record of each key")]
    Trimmed,
    /// The response cannot be decoded.
    #[error("the store's response is malformed ({0}); check the platform's version")]
    Malformed(String),
}

/// The platform's store.
pub trait RecordStore: Clone + 'static {
    /// Reads the newest record of each key. The records were read in pages and are not a snapshot; `next` is the end of
    /// the log before the first page.
    ///
    /// # Errors
    ///
    /// Returns an error if the store cannot be reached.
    fn newest(&self, topic: Topic) -> impl Future<Output = Result<Records, StoreError>>;

    /// Reads records from an offset on; waits up to `wait` for the first one.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Trimmed`] if the offset is no longer kept.
    fn read(
        &self,
        topic: Topic,
        from: u64,
        wait: Millis,
    ) -> impl Future<Output = Result<Records, StoreError>>;

    /// Appends a record.
    ///
    /// # Errors
    ///
    /// After [`StoreError::Unknown`] the record may be in the log, now or later.
    fn append(&self, topic: Topic, record: &Record)
        -> impl Future<Output = Result<(), StoreError>>;
}

/// Version of a model's weights.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct WeightVersion(pub u64);

impl std::fmt::Display for WeightVersion {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

impl std::str::FromStr for WeightVersion {
    type Err = std::num::ParseIntError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        s.parse().map(Self)
    }
}

/// What an operator's record says.
#[derive(Clone, Debug)]
pub enum Intent {
    /// A whole configuration.
    Catalog(Box<Catalog>),
    /// A version of a model's weights that endpoints have to serve.
    Weights(Rc<str>, WeightVersion),
}

/// Order of the records of one endpoint: its start in Unix milliseconds, then the count of its records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Revision {
    /// Time of the endpoint's start.
    pub born: u64,
    /// Count of records since the start.
    pub sequence: u64,
}

/// What an endpoint says of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// Service.
    pub service: Service,
    /// Address.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: Zone,
    /// Requests that run at once.
    pub slots: u32,
    /// Whether it leaves and takes no new requests.
    pub draining: bool,
    /// Time for which it is still slow after its start.
    pub cold: Millis,
    /// Loaded weights.
    pub models: Vec<(Rc<str>, WeightVersion)>,
    /// Order among the records of the endpoint.
    pub revision: Revision,
}
