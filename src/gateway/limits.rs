//! Limits of the request rate that endpoints name in their responses, as one entry knows them.
//!
//! An endpoint names its limit in each response for as long as it has one. Responses on different connections overtake
//! each other, so that a response without a limit withdraws it only if its request was sent after the newest response
//! that named the limit had arrived. Entries tell each other what they observe, with its age.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::endpoint_table::{EndpointHash, EndpointId};
use crate::base::{HashMap, Millis, RequestRate};

/// Time for which a change is repeated to other entries: a few gossip intervals, because datagrams are lost.
const CHANGE_REPEAT: Millis = Millis(1500);

/// Interval at which all limits are repeated, for entries that missed a change or have just started.
const REPEAT_INTERVAL: Millis = Millis(2000);

/// Retention of a withdrawal, and of the limit of an endpoint that is not in the table: longer than reports of an
/// earlier limit are under way.
const RETENTION: Millis = Millis(30_000);

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

/// Newest observation of an endpoint's limit, for other entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReport {
    /// Endpoint that named the limit.
    pub endpoint: EndpointHash,
    /// Requests per second over all entries; `None` if the limit was withdrawn.
    pub rate: Option<RequestRate>,
    /// Age of the observation.
    pub age: Millis,
}

/// An endpoint's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limit {
    /// Requests per second over all entries.
    pub rate: RequestRate,
    /// When the newest response that named the limit arrived.
    pub at: Millis,
}

/// Newest observation of an endpoint's limit.
#[derive(Clone, Copy, Debug)]
struct Known {
    /// `None` if the limit was withdrawn.
    rate: Option<RequestRate>,
    /// Time of the observation; see [`Observation`].
    at: Millis,
    /// Time since which other entries may not know `rate`.
    changed: Millis,
}

impl Known {
    fn report(&self, endpoint: EndpointHash, now: Millis) -> LimitReport {
        LimitReport {
            endpoint,
            rate: self.rate,
            age: now - self.at,
        }
    }
}

/// Limits of all endpoints, by the hashes of the endpoints' ids.
#[derive(Debug, Default)]
pub struct Limits {
    known: HashMap<EndpointHash, Known>,
    /// Time at which all limits were last repeated.
    repeated: Millis,
}

impl Limits {
    /// Records what a response showed; returns whether that changed the limit in force.
    pub fn record(&mut self, id: &EndpointId, observation: Observation, now: Millis) -> bool {
        match observation {
            Observation::Named { rate, at } => self.apply(id.hash(), Some(rate), at, now),
            Observation::Withdrawn { .. } if self.known.is_empty() => false,
            Observation::Withdrawn { at } => {
                let key = id.hash();
                self.known.contains_key(&key) && self.apply(key, None, at, now)
            }
        }
    }

    /// Merges another entry's observation; returns whether that changed the limit in force.
    pub fn merge(&mut self, report: &LimitReport, now: Millis) -> bool {
        self.apply(report.endpoint, report.rate, now - report.age, now)
    }

    fn apply(
        &mut self,
        key: EndpointHash,
        rate: Option<RequestRate>,
        at: Millis,
        now: Millis,
    ) -> bool {
        let Some(known) = self.known.get_mut(&key) else {
            let changed = now;
            self.known.insert(key, Known { rate, at, changed });
            return rate.is_some();
        };
        let differs = known.rate != rate;
        if differs {
            // Either this entry or the other one has an outdated limit.
            known.changed = now;
        }
        if at < known.at {
            return false;
        }
        known.at = at;
        known.rate = rate;
        differs
    }

    /// Returns whether nothing is known of any limit.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Returns the limit of an endpoint; `None` if it has none.
    pub fn get(&self, id: &EndpointId) -> Option<Limit> {
        if self.known.is_empty() {
            return None;
        }
        self.by_hash(id.hash())
    }

    /// Returns the limit of the endpoint whose id has this hash; `None` if it has none.
    pub fn by_hash(&self, endpoint: EndpointHash) -> Option<Limit> {
        let known = self.known.get(&endpoint)?;
        let rate = known.rate?;
        Some(Limit { rate, at: known.at })
    }

    /// Returns what other entries may not know, and at intervals all.
    pub fn reports(&mut self, now: Millis) -> Vec<LimitReport> {
        let all = now >= self.repeated + REPEAT_INTERVAL;
        if all {
            self.repeated = now;
        }
        self.known
            .iter()
            .filter(|(_, k)| all || now < k.changed + CHANGE_REPEAT)
            .map(|(endpoint, k)| k.report(*endpoint, now))
            .collect()
    }

    /// Drops old withdrawals, and old limits of endpoints that are not `present`.
    pub fn expire(&mut self, present: impl Fn(EndpointHash) -> bool, now: Millis) {
        self.known.retain(|endpoint, k| {
            now < k.at + RETENTION || (k.rate.is_some() && present(*endpoint))
        });
    }
}
