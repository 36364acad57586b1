//! Responses that an entry makes itself.

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
        }
    }
}

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
    RequestTimeout,
    /// The body is too large.
    #[error("the request body is too large")]
    TooLarge,
    /// This entry knows no configuration or no endpoints yet; the request was not run.
    #[error("not run, this entry is starting; retry after {0}")]
    Starting(Millis),
    /// No endpoint of the service can run the request; it was not run.
    #[error("not run, no endpoint can run it; retry after {0}")]
    Unavailable(Millis),
    /// Every endpoint that can run the request is loaded; it was not run.
    #[error("not run, all endpoints are loaded; retry after {0}")]
    Overloaded(Millis),
    /// The endpoints that were asked turned the request away; it was not run.
    #[error("not run, the endpoints turned it away; retry after {0}")]
    Refused(Millis),
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
            Self::RequestTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Starting(_) | Self::Unavailable(_) | Self::Overloaded(_) | Self::Refused(_) => {
                StatusCode::SERVICE_UNAVAILABLE
            }
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
            Self::RequestTimeout => "slow",
            Self::TooLarge => "too-large",
            Self::Starting(_) => "starting",
            Self::Unavailable(_) => "no-endpoint",
            Self::Overloaded(_) => "overloaded",
            Self::Refused(_) => "turned-away",
            Self::Lost => "lost",
            Self::TimedOut => "timed-out",
        }
    }

    /// Returns the time after which a caller should return whose request was not run.
    fn retry(self) -> Option<Millis> {
        match self {
            Self::Starting(t) | Self::Unavailable(t) | Self::Overloaded(t) | Self::Refused(t) => {
                Some(t)
            }
            _ => None,
        }
    }

    /// Builds the response.
    pub fn response(self) -> Response<Full<Bytes>> {
        let mut res = Response::new(Full::new(Bytes::from(format!("{self}\n"))));
        *res.status_mut() = self.status();
        if let Some(wait) = self.retry() {
            let text = format!("{}.{:03}", wait.0 / 1000, wait.0 % 1000);
            if let Ok(value) = HeaderValue::from_str(&text) {
                res.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        if matches!(self, Self::RequestTimeout | Self::TooLarge) {
            let close = HeaderValue::from_static("close");
            res.headers_mut().insert(CONNECTION, close);
        }
        res
    }
}
