//! Responses that an entry makes itself instead of forwarding an endpoint's.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    header::{HeaderValue, CONNECTION, RETRY_AFTER},
    Response, StatusCode,
};

use super::Refusal;
use crate::base::Millis;

impl From<Refusal> for Reject {
    fn from(refusal: Refusal) -> Self {
        match refusal {
            Refusal::Unavailable(t) => Self::Unavailable(t),
            Refusal::Overloaded(t) => Self::Overloaded(t),
            Refusal::Quarantined(t) => Self::Quarantined(t),
        }
    }
}

/// Why an entry rejects a request or has no endpoint's response to forward. The duration is sent as `Retry-After`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Reject {
    /// The request lacks a host, path or request id, or cannot be parsed.
    #[error("the request is malformed")]
    Malformed,
    /// The key is missing or belongs to no workspace.
    #[error("unknown key")]
    Unauthorized,
    /// No route matches the request's host and path.
    #[error("no route")]
    NoRoute,
    /// The body did not arrive in time; the request was not run.
    #[error("the request did not arrive in time")]
    RequestTimeout,
    /// The head exceeds the catalog's limit; the request was not run.
    #[error("the request head is too large")]
    HeadTooLarge,
    /// The body exceeds the catalog's limit; the request was not run.
    #[error("the request body is too large")]
    TooLarge,
    /// Prompt and largest output exceed the memory of each endpoint; the request was not run.
    #[error("not run, the prompt and its largest output exceed the memory of every endpoint")]
    TooLong,
    /// This entry has no catalog or no endpoint table yet; the request was not run.
    #[error("not run, this entry is starting; retry after {0}")]
    Starting(Millis),
    /// This entry is stopping and exits before the request's deadline; the request was not run.
    #[error("not run, this entry is stopping; retry at another entry after {0}")]
    Stopping(Millis),
    /// The memory for callers is used up; the request was not run.
    #[error("not run, the memory for callers is used up; retry after {0}")]
    MemoryUsedUp(Millis),
    /// No endpoint of the service can run the request; it was not run.
    #[error("not run, no endpoint can run it; retry after {0}")]
    Unavailable(Millis),
    /// Every endpoint that can run the request is at its load limit; the request was not run.
    #[error("not run, all endpoints are loaded; retry after {0}")]
    Overloaded(Millis),
    /// Endpoints ended while they answered requests that share a part of the prompt; the request was not run.
    #[error("not run, a part of the prompt ends endpoints; retry after {0}")]
    Quarantined(Millis),
    /// The endpoints that were tried refused the request or could not be reached; it was not run.
    #[error("not run, the endpoints turned it away; retry after {0}")]
    Refused(Millis),
    /// The endpoint gave no usable response; the request may have run.
    #[error("the response of the endpoint was lost; the request may have run")]
    Lost,
    /// This entry exits before the endpoint has responded; the request may have run.
    #[error("no response before this entry stops; the request may have run")]
    Exiting,
    /// The caller's deadline or the route's timeout passed; the request may have run.
    #[error("no response in time; the request may have run")]
    TimedOut,
    /// A fault of this entry ended the request; it may have run.
    #[error("a fault of this entry; the request may have run")]
    Internal,
}

impl Reject {
    /// Returns the status code of the response.
    pub fn status(self) -> StatusCode {
        match self {
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::Unauthorized => StatusCode::UNAUTHORIZED,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::RequestTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::TooLarge | Self::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Starting(_)
            | Self::Stopping(_)
            | Self::MemoryUsedUp(_)
            | Self::Unavailable(_)
            | Self::Overloaded(_)
            | Self::Quarantined(_)
            | Self::Refused(_) => StatusCode::SERVICE_UNAVAILABLE,
            Self::Lost | Self::Exiting => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            Self::Internal => StatusCode::INTERNAL_SERVER_ERROR,
        }
    }

    /// Returns the reason as the value of a metric's label.
    pub fn reason(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::Unauthorized => "unauthorized",
            Self::NoRoute => "no-route",
            Self::RequestTimeout => "slow",
            Self::HeadTooLarge | Self::TooLarge => "too-large",
            Self::TooLong => "too-long",
            Self::Starting(_) => "starting",
            Self::Stopping(_) => "stopping",
            Self::MemoryUsedUp(_) => "memory",
            Self::Unavailable(_) => "no-endpoint",
            Self::Overloaded(_) => "overloaded",
            Self::Quarantined(_) => "quarantined",
            Self::Refused(_) => "turned-away",
            Self::Lost => "lost",
            Self::Exiting => "exiting",
            Self::TimedOut => "timed-out",
            Self::Internal => "fault",
        }
    }

    /// Returns the time after which the caller should retry; `None` if a retry is useless or may run the request twice.
    pub(super) fn retry_after(self) -> Option<Millis> {
        match self {
            Self::Starting(t)
            | Self::Stopping(t)
            | Self::MemoryUsedUp(t)
            | Self::Unavailable(t)
            | Self::Overloaded(t)
            | Self::Quarantined(t)
            | Self::Refused(t) => Some(t),
            _ => None,
        }
    }

    /// Builds the response. `Retry-After` is in seconds with three decimals.
    pub fn response(self) -> Response<Full<Bytes>> {
        let mut res = Response::new(Full::new(Bytes::from(format!("{self}\n"))));
        *res.status_mut() = self.status();
        if let Some(wait) = self.retry_after() {
            let text = format!("{}.{:03}", wait.0 / 1000, wait.0 % 1000);
            if let Ok(value) = HeaderValue::from_str(&text) {
                res.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        if matches!(
            self,
            Self::RequestTimeout | Self::TooLarge | Self::MemoryUsedUp(_)
        ) {
            let close = HeaderValue::from_static("close");
            res.headers_mut().insert(CONNECTION, close);
        }
        res
    }
}
