//! A request that passed the checks.

use bytes::Bytes;

use crate::{
    base::{Attempt, Millis, Percent, RequestId, Service, VersionName, Workspace},
    wire::RunRequest,
};

/// A request that passed the checks.
#[derive(Clone, Debug)]
pub(super) struct Job {
    /// Id on the wire and in the timeline.
    pub(super) id: RequestId,
    /// Service.
    pub(super) service: Service,
    /// Workspace of the caller.
    pub(super) workspace: Workspace,
    /// HTTP method.
    pub(super) method: String,
    /// Path and query at the endpoint.
    pub(super) path: String,
    /// Media type of the body.
    pub(super) media: String,
    /// Request body.
    pub(super) body: Bytes,
    /// Version of the current attempt; a stream that has begun stays on it. `None` for plain services.
    pub(super) version: Option<VersionName>,
    /// Time of the process clock at which the caller stops waiting.
    pub(super) deadline: Millis,
    /// Priority for the engine; higher first.
    pub(super) priority: u8,
    /// Whether the request may run more than once.
    pub(super) repeatable: bool,
    /// Longest time without progress of an answer.
    pub(super) stall: Millis,
    /// Retries as a share of requests.
    pub(super) budget: Percent,
    /// Attempts allowed, the first included.
    pub(super) attempts: u32,
    /// Time of the process clock at which the request arrived.
    pub(super) arrived: Millis,
    /// Hash of the prompt's prefix; `None` for plain services.
    pub(super) prefix: Option<u64>,
}

impl Job {
    /// Builds the frame for an agent.
    pub(super) fn request(
        &self,
        remaining: Millis,
        attempt: Option<Attempt>,
        resume: u32,
    ) -> RunRequest {
        RunRequest {
            id: self.id,
            service: self.service.clone(),
            workspace: self.workspace.clone(),
            method: self.method.clone(),
            path: self.path.clone(),
            media: self.media.clone(),
            body: self.body.clone(),
            version: self.version.clone(),
            remaining,
            priority: self.priority,
            attempt,
            resume,
        }
    }
}
