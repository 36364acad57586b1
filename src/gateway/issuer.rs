//! Issuers of permits: the decisions of one entry on the requests of all entries for permits.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{
    endpoint_table::EndpointHash,
    limits::{Limit, LimitReport},
    members::Membership,
};
use crate::{
    base::{HashMap, Millis, RequestRate},
    decide::{
        cold::{issuer_pause, ColdBound},
        permit::{PermitDecision, PermitIssuer, PermitRate},
    },
};

/// Time for which an endpoint counts as cold after an entry that knows it as cold asked for a permit; such entries ask
/// again sooner while they have requests for it.
const COLD_REPORT_LIFETIME: Millis = Millis(2000);

/// Number of a permit request. It is random, so that a late reply to an earlier process of the same host matches none.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PermitId(pub u64);

/// Request of an entry for a permit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Number of the request.
    pub id: PermitId,
    /// Limit of the endpoint as the entry knows it.
    pub limit: LimitReport,
}

/// Reply of an issuer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitReply {
    /// Number of the request.
    pub id: PermitId,
    /// Decision on it.
    pub grant: Grant,
}

/// Decision of an issuer on a request for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Grant {
    /// One request may be sent.
    Granted,
    /// No permit is left.
    Denied {
        /// Time after which the entry may ask again.
        wait: Millis,
        /// Mean time between two permits for one entry.
        interval: Millis,
    },
    /// The entry that was asked does not issue the endpoint's permits.
    NotIssuer,
}

impl From<PermitDecision> for Grant {
    fn from(decision: PermitDecision) -> Self {
        match decision {
            PermitDecision::Granted => Self::Granted,
            PermitDecision::Denied { wait, interval } => Self::Denied { wait, interval },
        }
    }
}

impl Grant {
    /// Returns the name for logs.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Granted => "granted",
            Self::Denied { .. } => "denied",
            Self::NotIssuer => "not-issuer",
        }
    }
}

/// Time for which the issuer of a cold endpoint is kept without requests for permits, so that rare ones find permits.
const COLD_ISSUER_RETENTION: Millis = Millis(30_000);

/// Time without upkeep after which the process counts as having been paused; shorter than the time after which other
/// entries replace an issuer.
const PAUSE_MIN: Millis = Millis(1200);

/// Limits under which a permit is granted.
#[derive(Clone, Copy, Debug, Default)]
pub struct PermitTerms {
    /// Limit that the endpoint named, as this entry knows it.
    pub limit: Option<Limit>,
    /// Requests per second that the endpoint tolerates, if the entry that asks knows it as cold.
    pub cold: Option<RequestRate>,
    /// Requests that cold endpoints may get beyond that.
    pub bound: ColdBound,
}

impl From<Option<Limit>> for PermitTerms {
    fn from(limit: Option<Limit>) -> Self {
        Self {
            limit,
            ..Self::default()
        }
    }
}

impl PermitTerms {
    /// Returns the rate under the lower one of the limits; `None` without a limit.
    fn rate(&self) -> Option<PermitRate> {
        let named = self.limit.map(|l| l.rate);
        let Some(cold) = self.cold else {
            return named.map(PermitRate::from);
        };
        let permits = self.bound.permits(cold);
        let rate = named.map_or(permits.rate, |n| n.min(permits.rate));
        Some(PermitRate { rate, ..permits })
    }
}

/// Issuer of an endpoint's permits.
#[derive(Debug)]
struct EndpointIssuer {
    issuer: PermitIssuer,
    /// Cold rate that an entry which asked named, and when it did.
    claim: Option<(RequestRate, Millis)>,
}

impl EndpointIssuer {
    /// Creates an issuer that grants nothing before `start`.
    fn new(start: Millis) -> Self {
        Self {
            issuer: PermitIssuer::new(start),
            claim: None,
        }
    }

    /// Returns whether an entry may ask again for permits of a cold endpoint.
    fn is_claimed(&self, now: Millis) -> bool {
        self.claim
            .is_some_and(|c| now < c.1 + COLD_ISSUER_RETENTION)
    }

    /// Returns the cold rate that an entry named lately.
    fn cold(&self, now: Millis) -> Option<RequestRate> {
        let claim = self.claim.filter(|c| now < c.1 + COLD_REPORT_LIFETIME);
        claim.map(|c| c.0)
    }
}

/// Issuers of one entry, by the hashes of the endpoints' ids.
#[derive(Debug, Default)]
pub struct Issuers {
    issuers: HashMap<EndpointHash, EndpointIssuer>,
    /// Time of the last upkeep; it is late only after a pause of the process.
    kept_up: Option<Millis>,
    /// Time at which the process was last noticed to resume after a pause, in which another entry may have taken over.
    resumed: Option<Millis>,
}

impl Issuers {
    /// Decides on a request of an entry for a permit under the limits that this entry and the one that asks know.
    pub fn decide(
        &mut self,
        endpoint: EndpointHash,
        terms: impl Into<PermitTerms>,
        members: &Membership,
        from: SocketAddr,
        now: Millis,
    ) -> Grant {
        self.note_pause(now);
        if members.issuer(endpoint, now) != members.me().peer {
            return Grant::NotIssuer;
        }
        let mut terms = terms.into();
        let known = self.issuers.get(&endpoint);
        let claimed = known.and_then(|i| i.cold(now));
        let claim = terms.cold.map(|rate| (rate, now));
        terms.cold = terms.cold.or(claimed);
        // The limit was withdrawn after what the other entry knows; the next gossip tells it.
        let Some(rate) = terms.rate() else {
            return Grant::Granted;
        };
        // A bucket of a named limit alone did not wait for the permits that another entry may have granted.
        if claim.is_some() && known.is_none_or(|i| i.claim.is_none()) {
            let start = self.first_grant(members, now);
            self.issuers.insert(endpoint, EndpointIssuer::new(start));
        }
        let issuer = self
            .issuers
            .entry(endpoint)
            .or_insert_with(|| EndpointIssuer::new(now));
        issuer.claim = claim.or(issuer.claim);
        let fleet = members.fleet(now);
        issuer.issuer.request(from, rate, fleet, now).into()
    }

    /// Returns when the first permit of a cold endpoint may be granted: at once, unless another entry may have granted
    /// permits until now.
    fn first_grant(&self, members: &Membership, now: Millis) -> Millis {
        let pause = issuer_pause(members.count());
        let resumed = self.resumed.is_some_and(|at| now < at + pause);
        if resumed || members.changed_within(pause, now) {
            return now + pause;
        }
        now
    }

    /// Drops the issuers of cold endpoints after a pause of the process.
    fn note_pause(&mut self, now: Millis) {
        if self.kept_up.is_some_and(|at| now >= at + PAUSE_MIN) {
            self.resumed = Some(now);
            self.kept_up = Some(now);
            self.issuers.retain(|_, i| i.claim.is_none());
        }
    }

    /// Drops the issuers of endpoints that have no limit and that no entry has known as cold for some time, and those of
    /// cold endpoints whose issuer is another entry now. To be called several times a second.
    pub fn retain(
        &mut self,
        limited: impl Fn(EndpointHash) -> bool,
        members: &Membership,
        now: Millis,
    ) {
        self.note_pause(now);
        self.kept_up = Some(now);
        let me = members.me().peer;
        self.issuers.retain(|endpoint, i| match i.claim {
            Some(_) if members.issuer(*endpoint, now) != me => false,
            Some(_) if i.is_claimed(now) => true,
            _ => limited(*endpoint),
        });
    }
}
