//! Responses that an entry makes itself.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    header::{HeaderValue, CONNECTION, RETRY_AFTER},
    Response, StatusCode,
};

use crate::base::Millis;

/// Why an entry answers a request itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Reject {
    /// The request is malformed.
    #[error("the request is malformed")]
    Malformed,
    /// The key belongs to no workspace.
    #[error("unknown key")]
    Unauthorized,
    /// No route matches.
    #[error("no route")]
    NoRoute,
    /// The body was not sent in time; the request was not run.
    #[error("the request did not arrive in time")]
    Slow,
    /// The body is too large.
    #[error("the request body is too large")]
    TooLarge,
    /// The request was not run; the caller should return after a time.
    #[error("not run; retry after {0}")]
    NotRun(Millis),
    /// The endpoint was lost; the request may have run.
    #[error("the response of the endpoint was lost; the request may have run")]
    Lost,
    /// The time of the caller or the route is over; the request may have run.
    #[error("no response in time; the request may have run")]
    TimedOut,
}

impl Reject {
    /// Returns the status code.
    pub fn status(self) -> StatusCode {
        match self {
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::Unauthorized => StatusCode::UNAUTHORIZED,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::Slow => StatusCode::REQUEST_TIMEOUT,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NotRun(_) => StatusCode::SERVICE_UNAVAILABLE,
            Self::Lost => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns the reason as a label of metrics.
    pub fn reason(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::Unauthorized => "unauthorized",
            Self::NoRoute => "no-route",
            Self::Slow => "slow",
            Self::TooLarge => "too-large",
            Self::NotRun(_) => "not-run",
            Self::Lost => "lost",
            Self::TimedOut => "timed-out",
        }
    }

    /// Builds the response.
    pub fn response(self) -> Response<Full<Bytes>> {
        let mut res = Response::new(Full::new(Bytes::from(format!("{self}\n"))));
        *res.status_mut() = self.status();
        if let Self::NotRun(wait) = self {
            let text = format!("{}.{:03}", wait.0 / 1000, wait.0 % 1000);
            if let Ok(value) = HeaderValue::from_str(&text) {
                res.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        if matches!(self, Self::Slow | Self::TooLarge) {
            let close = HeaderValue::from_static("close");
            res.headers_mut().insert(CONNECTION, close);
        }
        res
    }
}
