//! Decoded records of the platform's store.

use std::{
    future::Future,
    net::{IpAddr, SocketAddr},
    rc::Rc,
};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::Catalog;
use crate::base::{Era, Millis, Service, Zone};

/// A compacted topic: the newest record of each key is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Topic {
    /// Configuration and desired weight versions; written by the operator.
    Operator,
    /// Endpoints; each one writes its own record.
    Endpoints,
    /// Announcements of entries; each one writes its own record.
    Entries,
}

/// A record of a compacted topic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Key within the topic.
    pub key: Bytes,
    /// Encoded value; `None` removes the key. Empty if the store's response did not contain it in a readable form.
    pub value: Option<Bytes>,
}

impl Record {
    /// Returns the size of key and value, in bytes.
    pub fn size(&self) -> u64 {
        let value = self.value.as_ref().map_or(0, Bytes::len);
        (self.key.len() + value) as u64
    }
}

/// Records of a topic and the offset that follows them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Records {
    /// In the order of the log.
    pub records: Vec<Record>,
    /// Offset from which to read next.
    pub next: u64,
    /// Offset at which the log ended when the response was made; it holds further records if this is after `next`.
    pub end: u64,
    /// Time that the response took to arrive after its head; the sum of these if there were several.
    pub body_time: Millis,
    /// Era of the store in which the offsets hold.
    pub era: Era,
    /// Key after which the list goes on, if these are a page of it and further ones follow; `None` for a read of the log.
    pub more: Option<Bytes>,
}

/// Where a page of the newest records of a topic begins, and what it leaves out. The first page has the default.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PageStart {
    /// Key that the page follows.
    pub after: Option<Bytes>,
    /// Offset from which on the caller reads the log; records there and later are left out of the page.
    pub until: Option<u64>,
}

impl PageStart {
    /// Checks that the list goes on after a page that begins here.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Malformed`] if the page after it would begin here again.
    pub fn check(&self, page: Records) -> Result<Records, StoreError> {
        if page.more.is_some() && page.more == self.after {
            let text = "a page does not continue the one before".to_owned();
            return Err(StoreError::Malformed(text));
        }
        Ok(page)
    }
}

/// Why a call to the store failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The store responded that it did not carry out the call; holds the HTTP status.
    #[error("the store rejected the call with status {0}; retry later")]
    Refused(u16),
    /// No response arrived; a write may have taken effect. Holds the cause.
    #[error("the store did not respond ({0}); a write may have taken effect")]
    Unknown(String),
    /// The log no longer holds the records from the requested offset on.
    #[error("the log no longer holds the requested records; read the newest record of each key")]
    Trimmed,
    /// The response is of an older era of the store than the newest known one, as a delayed one; holds its era.
    #[error("the response is of the older era {0} of the store; if this lasts, check the store's Store-Era")]
    Outdated(Era),
    /// The response cannot be decoded; holds the cause.
    #[error("the store's response is malformed ({0}); check the platform's version")]
    Malformed(String),
}

/// Store of the platform: logs of records, one for each topic.
pub trait RecordStore: Clone + 'static {
    /// Reads a page of the newest record of each key, in the order of the keys. Pages are no consistent snapshot; `next`
    /// and `end` are the end of the log at the time of this page.
    ///
    /// # Errors
    ///
    /// Returns an error if the store cannot be reached or its response cannot be decoded.
    fn newest(
        &self,
        topic: Topic,
        start: &PageStart,
    ) -> impl Future<Output = Result<Records, StoreError>>;

    /// Reads records from the offset `from` on; waits up to `wait` for the first one.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Trimmed`] if the log no longer holds the record at the offset, and other variants if the
    /// store cannot be reached or its response cannot be decoded.
    fn read(
        &self,
        topic: Topic,
        from: u64,
        wait: Millis,
    ) -> impl Future<Output = Result<Records, StoreError>>;

    /// Appends a record to a topic's log.
    ///
    /// # Errors
    ///
    /// Returns why the record was not written. After [`StoreError::Unknown`] it may be in the log nevertheless, now or
    /// later.
    fn append(&self, topic: Topic, record: &Record)
        -> impl Future<Output = Result<(), StoreError>>;
}

/// Version of a model's weights; a newer version has a higher number.
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

/// Content of an operator's record.
#[derive(Clone, Debug)]
pub enum OperatorRecord {
    /// A complete configuration.
    Catalog(Box<Catalog>),
    /// A model and the version of its weights that becomes the desired one.
    Weights(Rc<str>, WeightVersion),
}

/// One run of an endpoint's process: its start in Unix milliseconds. What is known of a run says nothing of the next one,
/// which may have the same id and address.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

impl std::fmt::Display for Incarnation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

impl std::str::FromStr for Incarnation {
    type Err = std::num::ParseIntError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        s.parse().map(Self)
    }
}

/// Order of the records of one endpoint: by the endpoint's start, then by the sequence number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Revision {
    /// Start of the endpoint in Unix milliseconds.
    pub born: u64,
    /// Number of records written since the start.
    pub sequence: u64,
}

/// Largest number of models in an endpoint's record, and longest name of one in bytes. Every entry keeps the record and
/// passes it on.
const MODELS_MAX: usize = 64;
const MODEL_NAME_MAX: usize = 256;

/// Why a record that can be decoded names no endpoint to use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordFault {
    /// No endpoint can have the address, or a connection to it would lead to this host.
    #[error("no endpoint has this address; check the writer of the record")]
    Address,
    /// Too many models.
    #[error("more than {MODELS_MAX} models; check the writer of the record")]
    Models,
    /// The name of a model is too long.
    #[error(
        "a model's name is longer than {MODEL_NAME_MAX} bytes; check the writer of the record"
    )]
    ModelName,
}

/// Checks the name of a model, which every entry keeps and passes on in datagrams.
///
/// # Errors
///
/// Returns [`RecordFault::ModelName`] if it is too long.
pub(super) fn check_model_name(name: &str) -> Result<(), RecordFault> {
    if name.len() > MODEL_NAME_MAX {
        return Err(RecordFault::ModelName);
    }
    Ok(())
}

/// Returns whether an endpoint can have an address.
fn is_usable(addr: SocketAddr) -> bool {
    let ip = addr.ip().to_canonical();
    let broadcast = matches!(ip, IpAddr::V4(v4) if v4.is_broadcast());
    addr.port() != 0 && !ip.is_unspecified() && !ip.is_multicast() && !broadcast
}

impl EndpointRecord {
    /// Checks whether the record names an endpoint to use.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be one of an endpoint, or the list of models is too large.
    pub fn check(&self) -> Result<(), RecordFault> {
        if !is_usable(self.addr) {
            return Err(RecordFault::Address);
        }
        if self.models.len() > MODELS_MAX {
            return Err(RecordFault::Models);
        }
        self.models.iter().try_for_each(|m| check_model_name(&m.0))
    }
}

/// State of an endpoint as its record in the store describes it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// Service to which the endpoint belongs.
    pub service: Service,
    /// Address for requests.
    pub addr: SocketAddr,
    /// Availability zone of the endpoint.
    pub zone: Zone,
    /// Requests that the endpoint can run at once.
    pub slots: u32,
    /// Whether the endpoint is leaving and takes no new requests.
    pub draining: bool,
    /// Time for which the endpoint is still slow after its start, at the time of the record.
    pub cold: Millis,
    /// Loaded versions by model.
    pub models: Vec<(Rc<str>, WeightVersion)>,
    /// Position among the records of the endpoint.
    pub revision: Revision,
}
