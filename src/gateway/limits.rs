//! Limits of the request rate that endpoints name in their responses, as one entry knows them.
//!
//! An endpoint names its limit in each response for as long as it has one. Responses on different connections overtake
//! each other, so that a response without a limit withdraws it only if its request was sent after the newest response
//! that named the limit had arrived.

use std::fmt;

use super::{endpoint_table::EndpointId, members::EndpointHash};
use crate::base::{HashMap, Millis, RequestRate};

/// What a response showed of an endpoint's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// The response named a limit.
    Named {
        /// Requests per second over all entries.
        rate: RequestRate,
        /// When the response arrived.
        at: Millis,
    },
    /// The response named no limit.
    Withdrawn {
        /// When the request was sent.
        at: Millis,
    },
}

impl fmt::Display for Observation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Named { rate, .. } => write!(f, "limit={rate}"),
            Self::Withdrawn { .. } => f.write_str("limit=none"),
        }
    }
}

/// An endpoint's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limit {
    /// Requests per second over all entries.
    pub rate: RequestRate,
    /// When the newest response that named the limit arrived.
    pub at: Millis,
}

/// Limits in force, by the hash of the endpoint's id.
#[derive(Debug, Default)]
pub struct Limits {
    known: HashMap<EndpointHash, Limit>,
}

impl Limits {
    /// Records what a response showed; returns whether that changed the limit in force.
    pub fn record(&mut self, id: &EndpointId, observation: Observation) -> bool {
        match observation {
            Observation::Named { rate, at } => {
                let before = self.known.insert(id.hash(), Limit { rate, at });
                before.is_none_or(|l| l.rate != rate)
            }
            Observation::Withdrawn { .. } if self.known.is_empty() => false,
            Observation::Withdrawn { at } => {
                let key = id.hash();
                let outdated = self.known.get(&key).is_some_and(|l| l.at <= at);
                outdated && self.known.remove(&key).is_some()
            }
        }
    }

    /// Returns the limit of an endpoint; `None` if it has none.
    pub fn get(&self, id: &EndpointId) -> Option<Limit> {
        if self.known.is_empty() {
            return None;
        }
        self.known.get(&id.hash()).copied()
    }
}
