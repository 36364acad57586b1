//! Load schedule of a service: the times at which its hosts stop serving to load a new version, as an entry computes
//! them.

use super::{
    desired::DesiredVersions,
    endpoint_table::{Endpoint, EndpointId, EndpointTable},
    record::WeightVersion,
};
use crate::{
    base::{HashMap, Millis, Service, Zone},
    decide::{
        rollout::{load_order, HostSchedule},
        supersede::Margins,
    },
};

/// Positions of the hosts of one service in the load schedule of one version.
#[derive(Clone, Debug)]
struct VersionSchedule {
    version: WeightVersion,
    ranks: HashMap<EndpointId, usize>,
}

/// Positions of the hosts of one service in the load schedules of its newest desired versions.
#[derive(Clone, Debug, Default)]
pub struct LoadSchedule {
    hosts: usize,
    /// In ascending order of versions.
    versions: Vec<VersionSchedule>,
}

impl LoadSchedule {
    /// Orders the hosts of a service for each version; `origin` is the availability zone of the weight store, if it is
    /// known.
    pub fn new(
        table: &EndpointTable,
        service: &Service,
        versions: &[WeightVersion],
        origin: Option<&Zone>,
    ) -> Self {
        let rank = |version: &WeightVersion| {
            let mut hosts: Vec<_> = table
                .of_service(service)
                .map(|e| {
                    let near = Some(&e.record.zone) == origin;
                    (
                        load_order(e.record.addr.ip(), near, version.0),
                        e.id.clone(),
                    )
                })
                .collect();
            hosts.sort_unstable();
            VersionSchedule {
                version: *version,
                ranks: hosts
                    .into_iter()
                    .enumerate()
                    .map(|(i, h)| (h.1, i))
                    .collect(),
            }
        };
        Self {
            hosts: table.of_service(service).count(),
            versions: versions.iter().map(rank).collect(),
        }
    }

    /// Returns the newest version of the schedule.
    pub fn newest(&self) -> Option<WeightVersion> {
        self.versions.last().map(|v| v.version)
    }

    /// Returns the scheduled load start of an endpoint that has loaded a version; `None` if it has no newer version to
    /// load or was not in the table when the schedule was made. `bound` is the time after which a desired version is
    /// enforced, `margins` are those before its end.
    pub fn load_start(
        &self,
        e: &Endpoint,
        loaded: WeightVersion,
        desired: &DesiredVersions,
        bound: Millis,
        margins: Margins,
    ) -> Option<Millis> {
        let superseded = desired.superseded(loaded)?;
        let next = self.versions.iter().find(|v| v.version > loaded)?;
        let rollout = HostSchedule {
            bound,
            margins,
            rank: *next.ranks.get(&e.id)?,
            hosts: self.hosts,
        };
        Some(rollout.start(superseded))
    }
}
