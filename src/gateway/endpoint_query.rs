//! Properties of a request by which its endpoint is chosen.

use super::{
    cold_times::ColdTimes,
    desired::DesiredVersions,
    endpoint_table::{Endpoint, EndpointId},
    record::WeightVersion,
    schedule::LoadSchedule,
    spill::SpillDraw,
};
use crate::{
    base::{HashMap, HashSet, Millis, Zone},
    decide::{
        evacuation::Evacuation,
        memory::{MemoryDemand, Right},
        residency::Residency,
        supersede::Margins,
    },
};

/// Extra cost of an endpoint in another zone where routing across zones is not enabled, as a share of its slots.
const ZONE_COST: f64 = 0.12;

/// Loads of a newer version that the hosts of a service have still to begin.
#[derive(Clone, Copy, Debug)]
pub struct PendingLoads<'a> {
    /// Scheduled load start of each host.
    pub schedule: &'a LoadSchedule,
    /// Versions that became desired, with their times.
    pub desired: &'a DesiredVersions,
    /// Time after which a desired version is enforced: requests may then no longer begin on older ones.
    pub bound: Millis,
    /// Margins before the end of an older version.
    pub margins: Margins,
}

/// Weights that an endpoint must have loaded to run a request.
#[derive(Clone, Copy, Debug)]
pub struct WeightRequirement<'a> {
    /// Model name.
    pub model: &'a str,
    /// Pending loads of a newer version; `None` if no version is desired.
    pub pending: Option<PendingLoads<'a>>,
    /// Oldest version on which the request may begin if a slot is free at once.
    pub oldest: WeightVersion,
    /// Oldest version on which the request may begin after waiting in the endpoint's queue.
    pub oldest_queued: WeightVersion,
}

/// What a request needs of an endpoint's memory, and where it may take it.
#[derive(Clone, Copy, Debug)]
pub struct MemoryQuery<'a> {
    /// Memory of each endpoint, and what the request needs of it.
    pub demand: MemoryDemand,
    /// Whether the request was sent to an endpoint before.
    pub begun: bool,
    /// Number of entries.
    pub entries: u32,
    /// Endpoints of which the entry is a home, with the number of homes; see [`home_endpoints`](super::home_endpoints()).
    pub homes: &'a HashMap<EndpointId, u32>,
}

impl MemoryQuery<'_> {
    /// Returns the right of the request to the memory of an endpoint. A single entry is the home of all endpoints, also
    /// before it has learned of them.
    pub(super) fn right(&self, id: &EndpointId) -> Right {
        let alone = self.entries <= 1;
        if self.begun {
            return Right::Begun;
        }
        if alone {
            return Right::Home { homes: 1, alone };
        }
        let entries = self.entries;
        let homes = self.homes.get(id).copied();
        homes.map_or(Right::Open { entries }, |homes| Right::Home {
            homes,
            alone,
        })
    }
}

/// Properties of a request, and of the entry that forwards it, by which its endpoint is chosen.
#[derive(Clone, Debug)]
pub struct EndpointQuery<'a> {
    /// Availability zone of the entry.
    pub zone: &'a Zone,
    /// Regions in which the request may be served; `None` if in all.
    pub residency: Option<&'a Residency>,
    /// Required weights; `None` for services without engines.
    pub weights: Option<WeightRequirement<'a>>,
    /// The one version on which a broken stream may be continued; `None` if the request has not streamed anything.
    pub exact: Option<WeightVersion>,
    /// Evacuated zones and those put back into service lately; `None` if there are none.
    pub evacuation: Option<&'a Evacuation>,
    /// Endpoints to which this request was sent before.
    pub tried: &'a [EndpointId],
    /// Endpoints that this entry owns; see [`owned_endpoints`](super::owned_endpoints()).
    pub owned: &'a HashSet<EndpointId>,
    /// Prompt tokens that an endpoint reads in a millisecond; `None` for services without engines.
    pub read_rate: Option<f64>,
    /// Whether the caller returns after a rejection.
    pub returning: bool,
    /// Slots of each engine that the request leaves free for more urgent ones.
    pub reserve: u32,
    /// Estimated time for which the request occupies a slot.
    pub duration: Millis,
    /// Cold times of endpoints; `None` if the service does not limit the requests to cold ones.
    pub cold: Option<&'a ColdTimes>,
    /// What the request needs of an endpoint's memory; `None` if that is not limited.
    pub memory: Option<MemoryQuery<'a>>,
    /// Shares of requests that may go to other zones; `None` if the cost of other zones is fixed.
    pub spill: Option<SpillDraw<'a>>,
}

impl EndpointQuery<'_> {
    /// Returns whether the zone of an endpoint is evacuated.
    pub(super) fn is_evacuated(&self, e: &Endpoint) -> bool {
        let evacuation = self.evacuation;
        evacuation.is_some_and(|zones| zones.contains(&e.record.zone))
    }

    /// Returns the share of its usual load that an endpoint may get, 0 to 1.
    pub(super) fn zone_share(&self, e: &Endpoint, now: Millis) -> f64 {
        let evacuation = self.evacuation;
        evacuation.map_or(1.0, |zones| zones.share(&e.record.zone, now))
    }

    /// Returns the extra cost of an endpoint because of its zone, as a share of its slots.
    pub(super) fn zone_cost(&self, e: &Endpoint) -> f64 {
        let zone = &e.record.zone;
        match self.spill {
            Some(s) => s.spill.cost(zone, s.draw),
            None => f64::from(u8::from(zone != self.zone)) * ZONE_COST,
        }
    }

    /// Returns whether an endpoint elsewhere gets the request only if no other one does.
    pub(super) fn is_withheld(&self, e: &Endpoint) -> bool {
        let spill = self.spill;
        spill.is_some_and(|s| s.spill.is_withheld(&e.record.zone, s.draw))
    }
}
