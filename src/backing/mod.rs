//! The log, the weight store and the host list behind small traits, and their HTTP client. The adapter to the users' own
//! platform is the crate in `platform/`.

mod http;

pub use http::HttpPlatform;

use std::future::Future;

use bytes::Bytes;

use crate::{
    base::{Digest, Millis, Offset, ProcessName},
    kernel::Entry,
    wire::{HostEntry, Hosts},
};

/// A log stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Stream {
    /// Settings and leases.
    Control,
    /// Claims of non-repeatable requests.
    Claims,
    /// Snapshots of the control state.
    Snapshots,
}

impl Stream {
    /// Returns the name of the stream at the log service.
    pub fn name(self) -> &'static str {
        match self {
            Self::Control => "control",
            Self::Claims => "claims",
            Self::Snapshots => "snapshots",
        }
    }
}

/// Records read from a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// Oldest offset that the log still keeps.
    pub first: Offset,
    /// Offset of the next append.
    pub next: Offset,
    /// Records in offset order.
    pub records: Vec<Entry>,
}

/// Why a call to the platform failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlatformError {
    /// The call did not reach the platform, or the platform refused it; it had no effect.
    #[error("the platform refused the call ({0}); retry later")]
    Refused(String),
    /// No answer came; the call may have taken effect.
    #[error("the platform did not answer ({0}); the call may have taken effect")]
    Unknown(String),
    /// The platform does not have the content.
    #[error("the platform does not have {0}; check the settings")]
    Missing(String),
    /// The answer cannot be decoded.
    #[error("the platform's answer is malformed ({0}); check the platform's version")]
    Malformed(String),
}

/// The append-only log service.
pub trait Log: Send + Sync + 'static {
    /// Appends a record and returns its offset.
    ///
    /// # Errors
    ///
    /// After [`PlatformError::Unknown`] the record may be in the log.
    fn append(
        &self,
        stream: Stream,
        data: Bytes,
    ) -> impl Future<Output = Result<Offset, PlatformError>> + Send;

    /// Reads at most `max` records from `from` on; waits up to `wait` for the first one.
    ///
    /// # Errors
    ///
    /// Returns an error if the log cannot be reached.
    fn read(
        &self,
        stream: Stream,
        from: Offset,
        max: usize,
        wait: Millis,
    ) -> impl Future<Output = Result<Page, PlatformError>> + Send;
}

/// The origin of weights.
pub trait WeightStore: Send + Sync + 'static {
    /// Fetches an encoded manifest; the caller checks its hash.
    ///
    /// # Errors
    ///
    /// Returns an error if the store cannot be reached or lacks the manifest.
    fn manifest(&self, id: Digest) -> impl Future<Output = Result<Bytes, PlatformError>> + Send;

    /// Fetches a chunk; the caller checks its hash.
    ///
    /// # Errors
    ///
    /// Returns an error if the store cannot be reached or lacks the chunk.
    fn chunk(&self, id: Digest) -> impl Future<Output = Result<Bytes, PlatformError>> + Send;
}

/// The lagging list of hosts.
pub trait HostList: Send + Sync + 'static {
    /// Reads the list.
    ///
    /// # Errors
    ///
    /// Returns an error if the list cannot be reached.
    fn hosts(&self) -> impl Future<Output = Result<Hosts, PlatformError>> + Send;

    /// Announces or updates this process.
    ///
    /// # Errors
    ///
    /// Returns an error if the list cannot be reached.
    fn announce(&self, entry: &HostEntry)
        -> impl Future<Output = Result<(), PlatformError>> + Send;

    /// Removes a process.
    ///
    /// # Errors
    ///
    /// Returns an error if the list cannot be reached.
    fn remove(&self, name: &ProcessName) -> impl Future<Output = Result<(), PlatformError>> + Send;
}
