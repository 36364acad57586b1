//! Typed outcomes of requests that brought no answer.

use std::{fmt, io::Cursor};

use rocket::{
    http::{ContentType, Status},
    Response,
};
use serde::Serialize;

use crate::base::{jitter, Millis, RequestId};

/// Header that names the request.
pub(super) const REQUEST: &str = "Sesamewing-Request";

/// Header that names the outcome.
pub(super) const OUTCOME: &str = "Sesamewing-Outcome";

/// Header that names the version that answered.
pub(super) const VERSION: &str = "Sesamewing-Version";

/// Header that names another entry for the next try.
pub(super) const ALTERNATE: &str = "Sesamewing-Entry";

/// What is known of a request that brought no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// The request did not run and will not run.
    NotRun,
    /// The request may have run.
    MayHaveRun,
    /// The request is running on behalf of an earlier call.
    InProgress,
    /// The request id was used with other content.
    Conflict,
    /// The request id is older than the window.
    Expired,
    /// The request is not valid; it did not run.
    Refused,
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotRun => "not_run",
            Self::MayHaveRun => "may_have_run",
            Self::InProgress => "in_progress",
            Self::Conflict => "conflict",
            Self::Expired => "expired",
            Self::Refused => "refused",
        })
    }
}

/// An outcome as the caller gets it; texts hold no keys, prompts or answers.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{kind}: {error}; {remedy}")]
pub struct Problem {
    /// What is known.
    pub kind: Kind,
    /// HTTP status.
    pub status: u16,
    /// What went wrong.
    pub error: String,
    /// What the caller does about it.
    pub remedy: String,
    /// Time after which a further try makes sense.
    pub retry: Option<Millis>,
    /// Address of another entry for the next try.
    pub alternate: Option<String>,
    /// Whether the log proves that no call with the request id ran.
    pub proven: bool,
}

#[derive(Serialize)]
struct Body<'a> {
    outcome: String,
    error: &'a str,
    remedy: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

impl Problem {
    fn new(kind: Kind, status: u16, error: impl Into<String>, remedy: impl Into<String>) -> Self {
        Self {
            kind,
            status,
            error: error.into(),
            remedy: remedy.into(),
            retry: None,
            alternate: None,
            proven: false,
        }
    }

    /// The request is not valid.
    pub(super) fn refused(
        status: u16,
        error: impl Into<String>,
        remedy: impl Into<String>,
    ) -> Self {
        Self::new(Kind::Refused, status, error, remedy)
    }

    /// The request did not run; `retry` is jittered here, so that callers refused together do not return together.
    pub(super) fn not_run(error: impl Into<String>, retry: Millis) -> Self {
        let mut out = Self::new(
            Kind::NotRun,
            503,
            error,
            "send the request again after the time in `Retry-After`",
        );
        out.retry = Some(jitter(retry));
        out
    }

    /// The workspace is over its own limits; the request did not run.
    pub(super) fn limited(error: impl Into<String>, retry: Millis) -> Self {
        Self {
            status: 429,
            ..Self::not_run(error, retry)
        }
    }

    /// The request may have run.
    pub(super) fn may_have_run(error: impl Into<String>) -> Self {
        Self::new(
            Kind::MayHaveRun,
            504,
            error,
            "check the effect of the request, or send it again with the same `Idempotency-Key`",
        )
    }

    /// The request is running.
    pub(super) fn in_progress(retry: Millis) -> Self {
        let mut out = Self::new(
            Kind::InProgress,
            409,
            "an earlier call with this request id is still running",
            "send the same request again after the time in `Retry-After`",
        );
        out.retry = Some(jitter(retry));
        out
    }

    /// The request id was used with other content.
    pub(super) fn conflict() -> Self {
        Self::new(
            Kind::Conflict,
            422,
            "the `Idempotency-Key` was used with another request",
            "use a new UUID version 7 for each request",
        )
    }

    /// The request id is too old.
    pub(super) fn expired() -> Self {
        Self::new(
            Kind::Expired,
            410,
            "the `Idempotency-Key` lies outside the deduplication window",
            "check whether the request ran before, and use a new UUID version 7",
        )
    }

    /// States that the log proves the outcome for every call with the request id.
    pub(super) fn with_proof(mut self) -> Self {
        self.proven = true;
        self
    }

    /// Weakens "not run" for a repeated request id: this call did not run, but an earlier one may have.
    pub(super) fn for_repeat(self) -> Self {
        if self.kind != Kind::NotRun || self.proven {
            return self;
        }
        let text = format!(
            "this call did not run ({}), an earlier one may have",
            self.error
        );
        Self {
            retry: self.retry,
            alternate: self.alternate,
            ..Self::may_have_run(text)
        }
    }

    /// Names another entry for the next try.
    pub(super) fn with_alternate(mut self, address: Option<String>) -> Self {
        self.alternate = address;
        self
    }

    /// Encodes the JSON body.
    pub(super) fn json(&self) -> String {
        let body = Body {
            outcome: self.kind.to_string(),
            error: &self.error,
            remedy: &self.remedy,
            retry_after_ms: self.retry.map(|r| r.0),
        };
        serde_json::to_string(&body).unwrap_or_default()
    }

    /// Builds the HTTP response.
    pub(super) fn response(&self, id: RequestId) -> Response<'static> {
        let body = self.json();
        let mut out = Response::build();
        out.status(Status::new(self.status))
            .header(ContentType::JSON)
            .raw_header(REQUEST, id.to_string())
            .raw_header(OUTCOME, self.kind.to_string())
            .sized_body(body.len(), Cursor::new(body));
        if let Some(retry) = self.retry {
            // The header has whole seconds; the body has the exact time.
            out.raw_header("Retry-After", retry.0.div_ceil(1000).max(1).to_string());
        }
        if let Some(address) = &self.alternate {
            out.raw_header(ALTERNATE, address.clone());
        }
        out.finalize()
    }
}
