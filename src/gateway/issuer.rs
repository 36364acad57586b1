//! Issuers of permits: the decisions of one entry on the requests of all entries for permits.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{
    endpoint_table::EndpointHash,
    limits::{Limit, LimitReport},
    members::Membership,
};
use crate::{
    base::{HashMap, Millis},
    decide::permit::{PermitDecision, PermitIssuer},
};

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

/// Issuers of one entry, by the hashes of the endpoints' ids.
#[derive(Debug, Default)]
pub struct Issuers(HashMap<EndpointHash, PermitIssuer>);

impl Issuers {
    /// Decides on a request of an entry for a permit under the `limit` that this entry knows.
    pub fn decide(
        &mut self,
        endpoint: EndpointHash,
        limit: Option<Limit>,
        members: &Membership,
        from: SocketAddr,
        now: Millis,
    ) -> Grant {
        if members.issuer(endpoint, now) != members.me().peer {
            return Grant::NotIssuer;
        }
        // The limit was withdrawn after what the other entry knows; the next gossip tells it.
        let Some(limit) = limit else {
            return Grant::Granted;
        };
        let issuer = self
            .0
            .entry(endpoint)
            .or_insert_with(|| PermitIssuer::new(now));
        issuer
            .request(from, limit.rate, members.fleet(now), now)
            .into()
    }

    /// Drops the issuers of endpoints that have no limit.
    pub fn retain(&mut self, limited: impl Fn(EndpointHash) -> bool) {
        self.0.retain(|endpoint, _| limited(*endpoint));
    }
}
