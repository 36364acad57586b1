//! Endpoints behind a small trait, and their HTTP adapters.

mod engine;
mod http;
mod kind;
mod plain;

pub use engine::{Engine, EngineRun};
pub use kind::{check, KindSpec, KINDS};
pub use plain::{Plain, PlainRun};

use std::future::Future;

use bytes::Bytes;

use crate::{
    base::{Digest, Fence, Millis, RequestId, VersionName},
    wire::RunRequest,
};

/// Why an exchange with an endpoint failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EndpointError {
    /// No connection was opened or the request was not valid; nothing was sent.
    #[error(
        "the endpoint received nothing ({0}); check `endpoint.address` and that the endpoint runs"
    )]
    NotSent(String),
    /// The endpoint refused the request before it ran.
    #[error("the endpoint refused the request with status {0}; try again later")]
    Refused(u16),
    /// The endpoint has seen a greater fencing token.
    #[error("the endpoint has accepted a later command; find out which process sent it")]
    Stale,
    /// The endpoint does not know the request to resume.
    #[error("the endpoint does not know the request; run it again")]
    Missing,
    /// The request was sent and the exchange ended early.
    #[error("the exchange with the endpoint ended early ({0}); the request may have run")]
    Lost(String),
    /// The request was sent and nothing more arrived in time.
    #[error("the endpoint sent nothing for {0}; the request may have run")]
    Silent(Millis),
    /// The request was sent and the answer cannot be used.
    #[error("the endpoint's answer is malformed ({0}); check the endpoint's version")]
    Malformed(String),
}

impl EndpointError {
    /// Returns whether the request is known not to have run.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::NotSent(_) | Self::Refused(_) | Self::Missing)
    }
}

/// Begin of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// HTTP status.
    pub status: u16,
    /// Media type.
    pub media: String,
    /// Version that answers; `None` for plain services.
    pub version: Option<VersionName>,
    /// Request that the answer belongs to, if the endpoint names it.
    pub id: Option<RequestId>,
}

/// Part of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Part {
    /// Content.
    Data {
        /// Request that the part belongs to, if the endpoint names it.
        id: Option<RequestId>,
        /// Output tokens up to and including this part; 0 for plain services.
        index: u32,
        /// Version that produced the part; `None` for plain services.
        version: Option<VersionName>,
        /// Text of the tokens or body bytes.
        data: Bytes,
    },
    /// The answer is whole.
    End {
        /// Request that the end belongs to, if the endpoint names it.
        id: Option<RequestId>,
        /// Output tokens of the whole answer, if the endpoint counts them.
        tokens: Option<u32>,
        /// Version that the endpoint confirmed with its last event; `None` for plain services.
        version: Option<VersionName>,
    },
}

/// An answer in progress; dropping it closes the exchange.
pub trait Run: Send + 'static {
    /// Returns the begin of the answer.
    fn head(&self) -> &Head;

    /// Waits up to `limit` for the next part.
    ///
    /// # Errors
    ///
    /// Returns an error if the exchange ends before [`Part::End`].
    fn next(&mut self, limit: Millis) -> impl Future<Output = Result<Part, EndpointError>> + Send;
}

/// State and load that an endpoint reports of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EndpointStatus {
    /// Version in service; `None` for plain services or before the first load.
    pub version: Option<VersionName>,
    /// Version that is being loaded.
    pub loading: Option<VersionName>,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at once; 0 if the endpoint does not say.
    pub capacity: u32,
    /// Output tokens a second.
    pub speed: u32,
}

/// Command to load a complete verified version.
#[derive(Clone, Debug)]
pub struct LoadOrder {
    /// Name of the version.
    pub version: VersionName,
    /// Hash over the whole content.
    pub whole: Digest,
    /// Fencing token of the lease under which the command is sent.
    pub fence: Fence,
    /// Whole content in order.
    pub chunks: Vec<Bytes>,
}

/// Prompt prefixes that an engine cached.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CacheEvents {
    /// Position to ask from next.
    pub next: u64,
    /// Hashes of prefixes.
    pub prefixes: Vec<u64>,
}

/// An endpoint as its agent sees it.
pub trait Endpoint: Clone + Send + Sync + 'static {
    /// An answer in progress.
    type Run: Run;

    /// Sends a request and waits up to `limit` for the begin of the answer.
    ///
    /// # Errors
    ///
    /// Only errors with [`EndpointError::is_unsent`] guarantee that the request did not run.
    fn run(
        &self,
        req: &RunRequest,
        limit: Millis,
    ) -> impl Future<Output = Result<Self::Run, EndpointError>> + Send;

    /// Continues an answer after its first `from` output tokens.
    ///
    /// # Errors
    ///
    /// Returns [`EndpointError::Missing`] if the endpoint does not know the request, or as [`Endpoint::run`].
    fn resume(
        &self,
        req: &RunRequest,
        from: u32,
        limit: Millis,
    ) -> impl Future<Output = Result<Self::Run, EndpointError>> + Send;

    /// Cancels a request; does nothing if the endpoint cannot cancel or no longer runs it.
    fn cancel(&self, id: RequestId) -> impl Future<Output = ()> + Send;

    /// Asks for state and load.
    ///
    /// # Errors
    ///
    /// Returns an error if the endpoint does not answer.
    fn status(&self) -> impl Future<Output = Result<EndpointStatus, EndpointError>> + Send;

    /// Commands the endpoint to load a version; the endpoint's status confirms when the version is in service.
    ///
    /// # Errors
    ///
    /// Returns [`EndpointError::Stale`] if the endpoint has seen a greater fencing token.
    fn load(&self, order: LoadOrder) -> impl Future<Output = Result<(), EndpointError>> + Send;

    /// Asks for the prefixes cached from position `from` on.
    ///
    /// # Errors
    ///
    /// Returns an error if the endpoint does not answer.
    fn cache_events(
        &self,
        from: u64,
    ) -> impl Future<Output = Result<CacheEvents, EndpointError>> + Send;

    /// Returns whether the endpoint has no request in progress.
    ///
    /// # Errors
    ///
    /// Returns an error if the endpoint does not answer.
    fn drained(&self) -> impl Future<Output = Result<bool, EndpointError>> + Send;
}
