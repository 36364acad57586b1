//! Messages that run requests.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    base::{Attempt, Digest, Millis, ProcessName, RequestId, Service, VersionName, Workspace},
    kernel::Outcome,
};

/// A request that an entry sends to an agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunRequest {
    /// Id that each reply frame repeats.
    pub id: RequestId,
    /// Service that the request is for.
    pub service: Service,
    /// Workspace of the caller.
    pub workspace: Workspace,
    /// HTTP method.
    pub method: String,
    /// Path and query at the endpoint.
    pub path: String,
    /// Media type of the body.
    pub media: String,
    /// Request body.
    pub body: Bytes,
    /// Version that must answer; `None` for plain services.
    pub version: Option<VersionName>,
    /// Time left until the caller's deadline when the frame was sent.
    pub remaining: Millis,
    /// Priority for the engine; higher first.
    pub priority: u8,
    /// Attempt number of a non-repeatable request; `None` if the request may run more than once.
    pub attempt: Option<Attempt>,
    /// Number of output tokens that the caller already has, to resume a stream.
    pub resume: u32,
}

/// Why an agent guarantees that a request did not and will not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NotRun {
    /// The agent is leaving.
    Leaving,
    /// The endpoint does not confirm the wanted version.
    Version,
    /// The endpoint has no capacity before the deadline.
    Busy,
    /// The endpoint does not answer.
    Endpoint,
    /// The claim could not be appended or read back.
    Log,
    /// The attempt is void.
    Void,
    /// The request id is older than the window or carries no time.
    Expired,
    /// The request id was used with other content.
    Digest,
    /// The agent does not serve the service.
    Service,
}

/// What is known of a request that brought no answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunOutcome {
    /// The attempt did not run and will not run; another attempt may follow.
    NotRun(NotRun),
    /// Another agent or an earlier call holds the claim and may still be running it.
    InProgress {
        /// Agent that holds the claim.
        holder: ProcessName,
    },
    /// The request was sent to the endpoint and its fate is unknown.
    MayHaveRun,
}

/// Frames that answer a [`RunRequest`], in order: `Head`, any `Data`, then `End` or `Failed`.
///
/// A stream that closes without `End` or `Failed` was cut; its data must not be presented as a whole answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The answer begins.
    Head {
        /// Request id.
        id: RequestId,
        /// HTTP status.
        status: u16,
        /// Media type.
        media: String,
        /// Version that answers; `None` for plain services.
        version: Option<VersionName>,
    },
    /// A part of the answer.
    Data {
        /// Request id.
        id: RequestId,
        /// Number of output tokens up to and including this part; 0 for plain services.
        index: u32,
        /// Content: text of the tokens, or body bytes of a plain answer.
        data: Bytes,
    },
    /// The answer is whole.
    End {
        /// Request id.
        id: RequestId,
        /// Sum of the lengths of all `Data` parts, in bytes.
        length: u64,
        /// BLAKE3 hash over all `Data` parts of this stream.
        digest: Digest,
        /// Version that the endpoint confirmed with its last event.
        version: Option<VersionName>,
    },
    /// There is no whole answer.
    Failed {
        /// Request id.
        id: RequestId,
        /// What is known.
        outcome: RunOutcome,
        /// Time after which a further try makes sense.
        retry: Millis,
    },
}

/// Asks an agent to decide the fate of an attempt whose agent was lost.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettleRequest {
    /// Request id.
    pub id: RequestId,
    /// Attempt to void unless it was claimed.
    pub attempt: Attempt,
    /// Time left for the decision.
    pub remaining: Millis,
}

/// The fate of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SettleReply {
    /// The attempt is void: it did not run and will not run.
    Void,
    /// The attempt was claimed and has no outcome in the log.
    Claimed {
        /// Agent that holds the claim.
        holder: ProcessName,
    },
    /// The attempt ran.
    Done(Outcome),
    /// The log could not be read or written in time.
    Unknown,
}
