//! Why an endpoint does not get a request.

use std::fmt;

use super::super::record::WeightVersion;
use crate::base::Millis;

/// Why an endpoint does not get a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exclusion {
    /// The request may not be served in the region of the endpoint.
    Region,
    /// The zone of the endpoint is evacuated.
    Evacuated,
    /// The endpoint drains.
    Draining,
    /// The request was sent to the endpoint before.
    Tried,
    /// The endpoint has no version of the model loaded.
    NotLoaded,
    /// The endpoint has an older version loaded than the oldest on which the request may begin.
    OldVersion {
        /// Version that is loaded.
        loaded: WeightVersion,
        /// Oldest one that is allowed.
        oldest: WeightVersion,
    },
    /// The stream to be continued began on another version.
    OtherVersion {
        /// Version that is loaded.
        loaded: WeightVersion,
        /// Version of the stream.
        exact: WeightVersion,
    },
    /// The request would delay the load of a newer version for too long.
    LoadsSoon,
    /// The endpoint asked by `Retry-After` to get no requests for this time.
    Paused(Millis),
    /// The endpoint rejected a request, and is skipped for this time.
    Backoff(Millis),
    /// A permit was denied; another one may be granted after this time.
    Closed(Millis),
    /// The circuit breaker is open, or its probe is in progress.
    Broken,
    /// The load has reached the limit.
    Full {
        /// Requests at the endpoint, as this entry knows them.
        load: u32,
        /// Load from which the endpoint gets no further requests.
        limit: u32,
    },
}

impl Exclusion {
    /// Returns whether the endpoint cannot run the request, however long it waits.
    pub fn is_incapable(self) -> bool {
        matches!(
            self,
            Self::Region
                | Self::Evacuated
                | Self::Draining
                | Self::Tried
                | Self::NotLoaded
                | Self::OldVersion { .. }
                | Self::OtherVersion { .. }
        )
    }

    /// Returns the reason as one word for programs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Region => "region",
            Self::Evacuated => "evacuated",
            Self::Draining => "draining",
            Self::Tried => "tried",
            Self::NotLoaded => "not-loaded",
            Self::OldVersion { .. } => "old-version",
            Self::OtherVersion { .. } => "other-version",
            Self::LoadsSoon => "loads-soon",
            Self::Paused(_) => "paused",
            Self::Backoff(_) => "backoff",
            Self::Closed(_) => "closed",
            Self::Broken => "broken",
            Self::Full { .. } => "full",
        }
    }
}

impl fmt::Display for Exclusion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Region => f.write_str("its region is not allowed"),
            Self::Evacuated => f.write_str("its zone is evacuated"),
            Self::Draining => f.write_str("it drains"),
            Self::Tried => f.write_str("the request was sent to it before"),
            Self::NotLoaded => f.write_str("it has not loaded the model"),
            Self::OldVersion { loaded, oldest } => {
                write!(f, "it has version {loaded}, {oldest} is required")
            }
            Self::OtherVersion { loaded, exact } => {
                write!(f, "it has version {loaded}, the stream began on {exact}")
            }
            Self::LoadsSoon => f.write_str("it loads a newer version soon"),
            Self::Paused(left) => write!(f, "it asked for no requests for another {left}"),
            Self::Backoff(left) => write!(f, "it rejected a request, skipped for another {left}"),
            Self::Closed(left) => write!(f, "it limits its request rate, closed for {left}"),
            Self::Broken => f.write_str("it cannot be reached, its circuit breaker is open"),
            Self::Full { load, limit } => write!(f, "it has {load} requests of at most {limit}"),
        }
    }
}
