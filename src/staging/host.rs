//! The endpoint on the same host, and the origin of weights.

use std::{future::Future, net::SocketAddr, rc::Rc};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    base::{Digest, Size},
    gateway::WeightVersion,
};

/// Why a call to the endpoint or the origin failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HostError {
    /// It answered with an error.
    #[error("the call was refused with status {0}; see the log of the endpoint or origin")]
    Refused(u16),
    /// No whole response came; an order may have been accepted.
    #[error("no response ({0}); an order may have been accepted")]
    Lost(String),
    /// The response cannot be decoded.
    #[error("the response is malformed ({0}); check the platform's version")]
    Malformed(String),
}

/// What an endpoint says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HostReport {
    /// Loaded models with their versions.
    pub models: Vec<(Rc<str>, WeightVersion)>,
    /// Whether an order is in progress.
    pub busy: bool,
    /// Start of the endpoint in Unix milliseconds.
    pub born: u64,
}

/// Answer to an order to load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadResponse {
    /// The endpoint drains its requests and then loads.
    Begun,
    /// The version is loaded, or its load is in progress.
    Done,
    /// The endpoint is busy with another order.
    Conflict,
}

/// The endpoint on the same host.
pub trait EndpointHost: Clone + 'static {
    /// Reads what the endpoint says of itself.
    ///
    /// # Errors
    ///
    /// Returns an error if the endpoint does not answer.
    fn report(&self) -> impl Future<Output = Result<HostReport, HostError>>;

    /// Lists the staged chunks of a model, of any version and unchecked.
    ///
    /// # Errors
    ///
    /// Returns an error if the endpoint does not answer.
    fn staged(&self, model: &str) -> impl Future<Output = Result<Vec<u32>, HostError>>;

    /// Reads a staged chunk, unchecked; `None` if there is none.
    ///
    /// # Errors
    ///
    /// Returns an error if the endpoint does not answer.
    fn read(
        &self,
        model: &str,
        chunk: u32,
    ) -> impl Future<Output = Result<Option<Bytes>, HostError>>;

    /// Stages a chunk; replaces the one of another version.
    ///
    /// # Errors
    ///
    /// Returns an error if the endpoint does not take it.
    fn stage(
        &self,
        model: &str,
        chunk: u32,
        data: Bytes,
    ) -> impl Future<Output = Result<(), HostError>>;

    /// Orders the endpoint to load the staged chunks after its running requests.
    ///
    /// # Errors
    ///
    /// After [`HostError::Lost`] the order may have been accepted.
    fn load(
        &self,
        model: &str,
        version: WeightVersion,
    ) -> impl Future<Output = Result<LoadResponse, HostError>>;
}

/// What a version consists of.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// Version.
    pub version: WeightVersion,
    /// Size of a chunk.
    pub chunk: Size,
    /// SHA-256 of each chunk.
    pub digests: Vec<Digest>,
}

/// The origin of weights.
pub trait Origin: Clone + 'static {
    /// Reads a manifest; without a version, that of the newest one.
    ///
    /// # Errors
    ///
    /// Returns an error if the origin does not answer or does not have the version.
    fn manifest(
        &self,
        addr: SocketAddr,
        model: &str,
        version: Option<WeightVersion>,
    ) -> impl Future<Output = Result<Manifest, HostError>>;

    /// Reads a chunk, unchecked.
    ///
    /// # Errors
    ///
    /// Returns an error if the origin does not answer or does not have the version.
    fn chunk(
        &self,
        addr: SocketAddr,
        model: &str,
        version: WeightVersion,
        chunk: u32,
    ) -> impl Future<Output = Result<Bytes, HostError>>;
}
