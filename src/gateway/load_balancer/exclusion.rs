//! Why an endpoint does not get a request.

use std::fmt;

use super::{
    super::{endpoint_query::EndpointQuery, endpoint_table::Endpoint, record::WeightVersion},
    LoadBalancer,
};
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
    /// The request is larger than the memory of the endpoint.
    TooLarge,
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
    /// The requests there leave too little memory for this one.
    NoMemory,
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
                | Self::TooLarge
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
            Self::TooLarge => "too-large",
            Self::NotLoaded => "not-loaded",
            Self::OldVersion { .. } => "old-version",
            Self::OtherVersion { .. } => "other-version",
            Self::LoadsSoon => "loads-soon",
            Self::Paused(_) => "paused",
            Self::Backoff(_) => "backoff",
            Self::Closed(_) => "closed",
            Self::Broken => "broken",
            Self::Full { .. } => "full",
            Self::NoMemory => "no-memory",
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
            Self::TooLarge => f.write_str("the request is larger than its memory"),
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
            Self::NoMemory => f.write_str("its requests leave too little memory"),
        }
    }
}

impl LoadBalancer {
    /// Returns whether an endpoint can run a request, now or later.
    ///
    /// # Errors
    ///
    /// Returns why it cannot.
    #[inline]
    pub(super) fn is_capable(
        &self,
        e: &Endpoint,
        query: &EndpointQuery<'_>,
    ) -> Result<(), Exclusion> {
        if !query.is_allowed(e) {
            return Err(Exclusion::Region);
        }
        if query.is_evacuated(e) {
            return Err(Exclusion::Evacuated);
        }
        if e.record.draining {
            return Err(Exclusion::Draining);
        }
        if query.tried.contains(&e.id) {
            return Err(Exclusion::Tried);
        }
        if query.is_too_large() {
            return Err(Exclusion::TooLarge);
        }
        let Some(required) = query.weights else {
            return Ok(());
        };
        let Some(loaded) = self.version(e, required.model) else {
            return Err(Exclusion::NotLoaded);
        };
        let oldest = required.oldest;
        if loaded < oldest {
            return Err(Exclusion::OldVersion { loaded, oldest });
        }
        match query.exact {
            Some(exact) if exact != loaded => Err(Exclusion::OtherVersion { loaded, exact }),
            _ => Ok(()),
        }
    }
}
