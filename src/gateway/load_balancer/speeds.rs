//! What operators see of the speed and the known load of endpoints.

use super::{
    super::{endpoint_table::EndpointId, load_view::LoadView},
    LoadBalancer,
};
use crate::base::Millis;

/// An endpoint that began to count as slow, or no longer does.
#[derive(Clone, Debug, PartialEq)]
pub struct SpeedChange {
    /// Id of the endpoint.
    pub id: EndpointId,
    /// Whether it counts as slow.
    pub slow: bool,
    /// Time that work takes there, as a multiple of the usual one; `None` if it is no longer known.
    pub time: Option<f64>,
}

impl LoadBalancer {
    /// Returns the time that work takes at an endpoint for tens of seconds, as a multiple of the usual one; `None` if too few
    /// streams told it to this entry and to others.
    pub fn endpoint_time(&self, id: &EndpointId, now: Millis) -> Option<f64> {
        self.views.get(id)?.known_time(now)
    }

    /// Brings up to date which endpoints count as slow; returns the changes that are to be logged.
    pub fn update_slow(&mut self, now: Millis) -> Vec<SpeedChange> {
        let mut changes = Vec::new();
        for (id, view) in &mut self.views {
            let time = view.known_time(now);
            view.slow.update(time);
            if let Some(slow) = view.slow.take_change(now) {
                let id = id.clone();
                changes.push(SpeedChange { id, slow, time });
            }
        }
        changes
    }

    /// Returns the number of endpoints that counted as slow at the last [`Self::update_slow`].
    pub fn slow_endpoints(&self) -> usize {
        self.views.values().filter(|v| v.slow.is_slow()).count()
    }

    /// Returns the share of the endpoints with unknown load among those that tell their pace and those of their services
    /// of which nothing was told; 0 where every other entry reports its requests in flight to this one.
    pub fn unknown_share(&self, now: Millis) -> f64 {
        if self.peers_complete {
            return 0.0;
        }
        let told = |v: &&LoadView| v.paced || v.is_untold();
        let views: Vec<_> = self.views.values().filter(told).collect();
        let unknown = views.iter().filter(|v| v.known.total(now).is_none());
        unknown.count() as f64 / views.len().max(1) as f64
    }
}
