//! Cold times that responses of endpoints told, as one entry knows them.
//!
//! The cold time that a record names is kept with the record in the endpoint table. Responses tell it sooner; entries
//! tell each other, with the age.

use serde::{Deserialize, Serialize};

use super::endpoint_table::{Endpoint, EndpointHash};
use crate::{
    base::{HashMap, Millis, RequestRate},
    decide::cold::{is_cold, HeardCold},
};

/// Difference below which two ends of a cold time count as the same: the time that responses and reports are under way.
const SAME: Millis = Millis(500);

/// Time for which a report is repeated to other entries: a few gossip intervals, because datagrams are lost.
const REPEAT: Millis = Millis(1500);

/// Time after its end for which a cold time is kept: longer than reports of an earlier one are under way.
const RETENTION: Millis = Millis(10_000);

/// What a response told of an endpoint's cold time, for other entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdReport {
    /// Endpoint that responded.
    pub endpoint: EndpointHash,
    /// Time for which it stays cold; zero if it is warm.
    pub left: Millis,
    /// Age of the response.
    pub age: Millis,
}

/// What entries tell each other of cold endpoints.
///
/// It follows a [`Message::Limits`](super::Message::Limits) or
/// [`Message::PermitRequest`](super::Message::PermitRequest) in its datagram: entries of a build without it ignore
/// what follows a message.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdNews {
    /// Cold times that responses told.
    pub reports: Vec<ColdReport>,
    /// Requests per second that the endpoint of the permit tolerates while it is cold; `None` if the sender does not
    /// know it as cold.
    pub rate: Option<RequestRate>,
}

/// Newest news of an endpoint.
#[derive(Clone, Copy, Debug)]
struct Known {
    heard: HeardCold,
    /// Time since which other entries may not know it.
    changed: Millis,
}

/// Cold times that responses told, by the hashes of the endpoints' ids.
#[derive(Debug, Default)]
pub struct ColdTimes(HashMap<EndpointHash, Known>);

impl ColdTimes {
    /// Returns whether an endpoint is cold.
    pub fn is_cold(&self, e: &Endpoint, now: Millis) -> bool {
        let heard = if self.0.is_empty() {
            None
        } else {
            self.0.get(&e.id.hash()).map(|k| k.heard)
        };
        let cold = e.cold_time();
        is_cold(cold.learned, cold.until, heard, now)
    }

    /// Records what a response told; returns whether it is news: the endpoint became cold or warm, or stays cold for longer
    /// than was known.
    pub fn record(&mut self, endpoint: EndpointHash, left: Millis, now: Millis) -> bool {
        self.apply(endpoint, left, now, now)
    }

    /// Merges another entry's report; returns whether it was news.
    pub fn merge(&mut self, report: &ColdReport, now: Millis) -> bool {
        let left = report.left - report.age;
        self.apply(report.endpoint, left, now - report.age, now)
    }

    fn apply(&mut self, endpoint: EndpointHash, left: Millis, at: Millis, now: Millis) -> bool {
        let known = self.0.get(&endpoint).copied();
        if known.is_none() && left == Millis::ZERO {
            return false;
        }
        if known.is_some_and(|k| at < k.heard.at) {
            return false;
        }
        let until = now + left;
        let was_cold = known.is_some_and(|k| now < k.heard.until);
        let longer = known.is_some_and(|k| until > k.heard.until + SAME);
        let news = was_cold != (now < until) || longer;
        let changed = if news {
            now
        } else {
            known.map_or(now, |k| k.changed)
        };
        let heard = HeardCold { at, until };
        self.0.insert(endpoint, Known { heard, changed });
        news
    }

    /// Returns what other entries may not know.
    pub fn reports(&self, now: Millis) -> Vec<ColdReport> {
        let recent = self.0.iter().filter(|(_, k)| now < k.changed + REPEAT);
        let report = |(endpoint, k): (&EndpointHash, &Known)| ColdReport {
            endpoint: *endpoint,
            left: k.heard.until - k.heard.at,
            age: now - k.heard.at,
        };
        recent.map(report).collect()
    }

    /// Drops cold times that ended some time ago.
    pub fn expire(&mut self, now: Millis) {
        self.0
            .retain(|_, k| now < k.heard.until + RETENTION || now < k.changed + RETENTION);
    }
}
