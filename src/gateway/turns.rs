//! Turns in which the hosts of a service load a new version, as an entry foresees them.

use super::{
    fleet::{Endpoint, EndpointId, Fleet},
    named::Named,
    record::WeightVersion,
};
use crate::{
    base::{HashMap, Millis, Service, Zone},
    decide::rollout::{order, Rollout},
};

/// Positions of the hosts of one service in the turns of a version.
#[derive(Clone, Debug)]
struct Ranks {
    version: WeightVersion,
    ranks: HashMap<EndpointId, usize>,
}

/// Positions of the hosts of one service in the turns of the versions that some have yet to load.
#[derive(Clone, Debug, Default)]
pub struct Turns {
    hosts: usize,
    /// In the order of versions.
    versions: Vec<Ranks>,
}

impl Turns {
    /// Orders the hosts of a service; `origin` is the availability zone of the origin, if it is known.
    pub fn new(
        fleet: &Fleet,
        service: &Service,
        versions: &[WeightVersion],
        origin: Option<&Zone>,
    ) -> Self {
        let rank = |version: &WeightVersion| {
            let mut hosts: Vec<_> = fleet
                .of(service)
                .map(|e| {
                    let near = Some(&e.record.zone) == origin;
                    (order(e.record.addr.ip(), near, version.0), e.id.clone())
                })
                .collect();
            hosts.sort_unstable();
            Ranks {
                version: *version,
                ranks: hosts
                    .into_iter()
                    .enumerate()
                    .map(|(i, h)| (h.1, i))
                    .collect(),
            }
        };
        Self {
            hosts: fleet.of(service).count(),
            versions: versions.iter().map(rank).collect(),
        }
    }

    /// Returns the newest version.
    pub fn newest(&self) -> Option<WeightVersion> {
        self.versions.last().map(|v| v.version)
    }

    /// Returns the turn of an endpoint that has a version loaded; `None` if it does not load soon.
    pub fn turn(
        &self,
        e: &Endpoint,
        loaded: WeightVersion,
        named: &Named,
        bound: Millis,
    ) -> Option<Millis> {
        let outdated = named.outdated(loaded)?;
        let next = self.versions.iter().find(|v| v.version > loaded)?;
        let rollout = Rollout {
            bound,
            rank: *next.ranks.get(&e.id)?,
            hosts: self.hosts,
        };
        Some(rollout.start(outdated))
    }
}
