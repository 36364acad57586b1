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

/// Positions of the hosts of one service in the turns of one version.
#[derive(Clone, Debug, Default)]
pub struct Turns {
    version: WeightVersion,
    hosts: usize,
    ranks: HashMap<EndpointId, usize>,
}

impl Turns {
    /// Orders the hosts of a service; `origin` is the availability zone of the origin, if it is known.
    pub fn new(
        fleet: &Fleet,
        service: &Service,
        version: WeightVersion,
        origin: Option<&Zone>,
    ) -> Self {
        let mut hosts: Vec<_> = fleet
            .of(service)
            .map(|e| {
                let near = Some(&e.record.zone) == origin;
                (order(e.record.addr.ip(), near, version.0), e.id.clone())
            })
            .collect();
        hosts.sort_unstable();
        Self {
            version,
            hosts: hosts.len(),
            ranks: hosts
                .into_iter()
                .enumerate()
                .map(|(i, h)| (h.1, i))
                .collect(),
        }
    }

    /// Returns the version.
    pub fn version(&self) -> WeightVersion {
        self.version
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
        let rollout = Rollout {
            bound,
            rank: *self.ranks.get(&e.id)?,
            hosts: self.hosts,
        };
        Some(rollout.start(outdated))
    }
}
