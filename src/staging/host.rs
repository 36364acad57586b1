//! Interfaces to the endpoint on the same host and to the origin of weights.

use std::{future::Future, net::SocketAddr, rc::Rc};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    base::{Digest, Millis, Size},
    decide::chunk::Retention,
    gateway::{ChunkLayout, WeightVersion},
    http::{CallError, BODY_MAX},
};

/// Why a call to the endpoint or the origin failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HostError {
    /// The response has an error status.
    #[error("the call was rejected with status {0}; see the log of the endpoint or origin")]
    Refused(u16),
    /// No complete response was received; an order may have been accepted.
    #[error("no complete response ({0}); an order may have been accepted")]
    Lost(String),
    /// The response is larger than it may be; holds the limit in bytes.
    #[error("the response is larger than {0} bytes; the manifest may name a wrong size")]
    TooLarge(usize),
    /// The response cannot be decoded.
    #[error("the response is malformed ({0}); check the platform's version")]
    Malformed(String),
}

impl From<CallError> for HostError {
    fn from(e: CallError) -> Self {
        match e {
            CallError::TooLarge(_, limit) => Self::TooLarge(limit),
            e => Self::Lost(e.to_string()),
        }
    }
}

/// State that an endpoint reports.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HostReport {
    /// Loaded models with their versions.
    pub models: Vec<(Rc<str>, WeightVersion)>,
    /// Whether the endpoint executes an order: it drains for a load, or loads.
    pub busy: bool,
    /// Start time of the endpoint in Unix milliseconds; another value means a restart.
    pub born: u64,
}

/// Response of an endpoint to an order to load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadResponse {
    /// The endpoint has accepted the order; it drains its requests and then loads.
    Begun,
    /// The version is loaded, or its load is in progress.
    Done,
    /// The endpoint is busy with another order.
    Conflict,
}

/// The endpoint on the same host.
pub trait EndpointHost: Clone + 'static {
    /// Reads the state that the endpoint reports.
    ///
    /// # Errors
    ///
    /// Returns an error if the endpoint does not respond or rejects the call.
    fn report(&self) -> impl Future<Output = Result<HostReport, HostError>>;

    /// Lists the indexes of a model's staged chunks; they may belong to any version, and their digests are not checked.
    ///
    /// # Errors
    ///
    /// Returns an error if the endpoint does not respond or rejects the call.
    fn staged(&self, model: &str) -> impl Future<Output = Result<Vec<u32>, HostError>>;

    /// Reads a staged chunk without a check of its digest; `None` if it is not staged.
    ///
    /// # Errors
    ///
    /// Returns an error if the endpoint does not respond or rejects the call.
    fn read(
        &self,
        model: &str,
        chunk: u32,
    ) -> impl Future<Output = Result<Option<Bytes>, HostError>>;

    /// Stages a chunk; replaces the staged chunk of another version with the same index.
    ///
    /// # Errors
    ///
    /// Returns an error if the endpoint does not accept the chunk.
    fn stage(
        &self,
        model: &str,
        chunk: u32,
        data: Bytes,
    ) -> impl Future<Output = Result<(), HostError>>;

    /// Orders the endpoint to load the staged chunks when its running requests have ended.
    ///
    /// # Errors
    ///
    /// Returns an error if the endpoint does not respond or rejects the order; after [`HostError::Lost`], the order may
    /// have been accepted.
    fn load(
        &self,
        model: &str,
        version: WeightVersion,
    ) -> impl Future<Output = Result<LoadResponse, HostError>>;
}

/// Chunks of a version with their digests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// Version that the manifest describes.
    pub version: WeightVersion,
    /// Size of each chunk.
    pub chunk: Size,
    /// SHA-256 of each chunk, in the order of their indexes.
    pub digests: Vec<Digest>,
}

/// Largest size of a chunk: that of the body of a response.
const CHUNK_MAX: Size = Size(BODY_MAX as u64);

/// Why a manifest cannot be used; it may have been corrupted in transit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum ManifestFault {
    #[error("the manifest is of version {0}, not of the requested one; read it again")]
    Version(WeightVersion),
    #[error("the manifest names chunks of {0}; read it again")]
    ChunkSize(Size),
    #[error("the manifest lists no chunks; read it again")]
    Empty,
    #[error("the manifest names {0}, the configuration {1}; read it again, and check the configuration if this repeats")]
    Layout(ChunkLayout, ChunkLayout),
    #[error("chunks of this manifest did not match it; read it again")]
    Refuted,
}

impl Manifest {
    /// Returns what decides whether a host with this much memory keeps the chunks, if requests may begin on the version
    /// until `until`.
    pub(super) fn retention(&self, memory: Size, until: Option<Millis>) -> Retention {
        let chunks = self.digests.len() as u64;
        Retention {
            copy: Size(self.chunk.0.saturating_mul(chunks)),
            memory,
            until,
        }
    }

    /// Returns the number and the size of the chunks.
    pub(super) fn layout(&self) -> ChunkLayout {
        ChunkLayout {
            chunks: self.digests.len() as u32,
            chunk: self.chunk,
        }
    }

    /// Checks that the manifest is of the version that was requested, if one was, and that it can be copied.
    pub(super) fn check(&self, version: Option<WeightVersion>) -> Result<(), ManifestFault> {
        if version.is_some_and(|v| v != self.version) {
            return Err(ManifestFault::Version(self.version));
        }
        if self.chunk == Size(0) || self.chunk > CHUNK_MAX {
            return Err(ManifestFault::ChunkSize(self.chunk));
        }
        if self.digests.is_empty() {
            return Err(ManifestFault::Empty);
        }
        Ok(())
    }
}

/// The weight store that holds each version first.
pub trait Origin: Clone + 'static {
    /// Reads the manifest of a version, or of the newest one if no version is given.
    ///
    /// # Errors
    ///
    /// Returns an error if the origin does not respond or does not have the version.
    fn manifest(
        &self,
        addr: SocketAddr,
        model: &str,
        version: Option<WeightVersion>,
    ) -> impl Future<Output = Result<Manifest, HostError>>;

    /// Reads a chunk of at most `size` without a check of its digest.
    ///
    /// # Errors
    ///
    /// Returns an error if the origin does not respond, does not have the version, or sends more than `size`.
    fn chunk(
        &self,
        addr: SocketAddr,
        model: &str,
        version: WeightVersion,
        chunk: u32,
        size: Size,
    ) -> impl Future<Output = Result<Bytes, HostError>>;
}
