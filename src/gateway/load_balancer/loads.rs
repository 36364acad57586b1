//! What an entry learns of the load and the speed of endpoints from other entries, and tells them.

use std::net::SocketAddr;

use super::{
    super::{
        endpoint_loads::{EndpointLoad, EndpointLoads},
        endpoint_table::{Endpoint, EndpointHash, EndpointId},
        load_view::LoadView,
        peer_load::PeerLoad,
    },
    LoadBalancer,
};
use crate::base::{HashSet, Millis};

/// Weight of the newest step in the mean of all endpoints.
const STEP_WEIGHT: f64 = 0.01;

/// Share of the slots in use from which an endpoint whose load is known from reports costs more than in proportion to it,
/// and the further cost when all are in use. At 0.5 more requests wait at 95 % load in the model (`uneven_endpoints`).
const CROWDED: f64 = 0.75;
const CROWDED_COST: f64 = 0.2;

/// Divisor of the reported loads that gives those of endpoints that the entry does not own. Without them entries rarely
/// hear of endpoints in other zones.
const OTHERS_DIVISOR: usize = 2;

/// Returns the cost of a load beyond what is in proportion to it.
pub(super) fn crowded_cost(load: u32, slots: u32) -> f64 {
    let used = f64::from(load) / f64::from(slots.max(1));
    ((used - CROWDED).max(0.0) / (1.0 - CROWDED)).powi(2) * CROWDED_COST
}

/// Mean load of endpoints, as a share of their slots.
#[derive(Clone, Copy, Debug)]
pub(super) struct UsualLoad(f64);

impl UsualLoad {
    /// Returns that load of an endpoint.
    pub(super) fn of(self, e: &Endpoint) -> u32 {
        (self.0 * f64::from(e.record.slots)).round() as u32
    }
}

impl LoadBalancer {
    /// Records the time between the events of a stream of an endpoint, relative to the usual step of the service's engines.
    ///
    /// It counts relative to the mean of all endpoints: how many tokens an event holds differs between deployments.
    pub fn report_step(&mut self, id: &EndpointId, step: f64, now: Millis) {
        if !step.is_finite() || step <= 0.0 {
            return;
        }
        let mean = self.mean_step.get_or_insert(step);
        *mean += (step - *mean) * STEP_WEIGHT;
        let relative = step / *mean;
        if let Some(view) = self.views.get_mut(id) {
            view.report_step(relative, now);
        }
    }

    /// Returns the requests that an endpoint runs, as far as this entry knows; at most its slots.
    pub fn running(&self, id: &EndpointId, slots: u32, now: Millis) -> u32 {
        let load = self.assumed_load(id, now).unwrap_or(slots / 2);
        load.clamp(1, slots.max(1))
    }

    /// Replaces the requests in flight that another entry reported; it has none at endpoints that `loads` leaves out.
    pub fn merge_peer_load(
        &mut self,
        from: SocketAddr,
        loads: &[(EndpointHash, u16)],
        now: Millis,
    ) {
        for (id, view) in &mut self.views {
            view.peer_load.retain(|t| t.from != from);
            let hash = id.hash();
            if let Some((_, count)) = loads.iter().find(|l| l.0 == hash) {
                view.peer_load.push(PeerLoad {
                    from,
                    requests: *count,
                    tokens: None,
                    at: now,
                });
            }
        }
    }

    /// Learns the loads of endpoints that their owner reported in a datagram, which has lain in the socket for a time.
    pub fn merge_loads(&mut self, loads: &EndpointLoads, waited: Millis, now: Millis) {
        for (id, view) in &mut self.views {
            let hash = id.hash();
            if let Some(load) = loads.0.iter().find(|l| l.endpoint() == hash) {
                view.merge_load(load, waited, now);
            }
        }
    }

    /// Returns loads of endpoints for other entries: the newest of those that this entry owns, then some of others, those
    /// that it learned from their responses first. `None` if nothing is known, or if all others learn the load from requests
    /// in flight.
    pub fn loads(&self, owned: &HashSet<EndpointId>, now: Millis) -> Option<EndpointLoads> {
        if self.peers_complete {
            return None;
        }
        let (mut own, mut others) = (Vec::new(), Vec::new());
        for (id, view) in &self.views {
            let Some((total, age)) = view.shared_load(now) else {
                continue;
            };
            let load = EndpointLoad::new(id.hash(), total, age, view.shared_speed(now));
            if owned.contains(id) {
                own.push((age, load));
            } else {
                others.push((!view.is_direct(now), fastrand::u32(..), load));
            }
        }
        own.sort_unstable_by_key(|l| l.0);
        others.sort_unstable_by_key(|l| (l.0, l.1));
        let room = owned.len().clamp(EndpointLoads::MIN, EndpointLoads::MAX);
        others.truncate(room.saturating_sub(own.len()).max(room / OTHERS_DIVISOR));
        own.truncate(room - others.len());
        let own = own.into_iter().map(|l| l.1);
        let loads: Vec<_> = own.chain(others.into_iter().map(|l| l.2)).collect();
        (!loads.is_empty()).then_some(EndpointLoads(loads))
    }

    /// Returns whether the load of an endpoint is the newest known one instead of the requests in flight.
    pub(super) fn knows_load(&self, view: &LoadView) -> bool {
        view.is_informed(self.peers_complete)
    }

    /// Returns the mean known load of endpoints that tell their pace, as a share of their slots; `None` if none is known, or if
    /// all others learn the load from requests in flight.
    pub(super) fn usual_load(&self, endpoints: &[&Endpoint], now: Millis) -> Option<UsualLoad> {
        if self.peers_complete {
            return None;
        }
        let (mut total, mut slots) = (0.0, 0.0);
        for e in endpoints {
            let view = self.views.get(&e.id).filter(|v| v.paced);
            if let Some(known) = view.and_then(|v| v.known.total(now)) {
                total += f64::from(known);
                slots += f64::from(e.record.slots);
            }
        }
        (slots > 0.0).then(|| UsualLoad(total / slots))
    }

    /// Returns the load that this entry assumes at an endpoint; `None` if it is unknown.
    pub fn assumed_load(&self, id: &EndpointId, now: Millis) -> Option<u32> {
        let view = self.views.get(id)?;
        if self.knows_load(view) {
            view.known.total(now)?;
            return Some(view.known_load(now));
        }
        if view.is_untold() && !self.peers_complete {
            return None;
        }
        Some(view.load(now, self.peers_complete))
    }

    /// Sets whether every other entry reports its requests in flight to this one.
    pub fn set_peers_complete(&mut self, all: bool) {
        self.peers_complete = all;
    }

    /// Returns the requests of this entry in flight at each endpoint that has any.
    pub fn in_flight(&self) -> Vec<(EndpointHash, u16)> {
        let used = self.views.iter().filter(|(_, v)| v.in_flight > 0);
        used.map(|(id, v)| (id.hash(), v.in_flight as u16))
            .collect()
    }
}

impl LoadView {
    /// Returns whether a choice counts what is known of the endpoint's load, or takes it to be unknown, instead of counting
    /// the requests in flight.
    pub(in crate::gateway) fn counts_known(&self, peers_complete: bool) -> bool {
        !peers_complete && (self.paced || self.is_untold())
    }

    /// Returns the requests at the endpoint as a choice counts them.
    pub(in crate::gateway) fn load_at_choice(&self, now: Millis, peers_complete: bool) -> u32 {
        if self.counts_known(peers_complete) {
            return self.known_load(now);
        }
        self.load(now, peers_complete)
    }

    /// Returns the requests at an endpoint that tells its pace, where not all other entries report to this one; an
    /// unknown load counts as the usual one beside own requests. What entries reported to be in flight is less than the
    /// load, because not all of them did.
    pub(in crate::gateway) fn known_load(&self, now: Millis) -> u32 {
        let known = match self.usual {
            Some(usual) => {
                let expected = self.known.expected(usual, now);
                expected.unwrap_or(usual.saturating_add(self.in_flight))
            }
            None => self.known.total(now).unwrap_or(0),
        };
        known.max(self.counted(now))
    }

    /// Returns whether the newest known total, with own changes since, leaves room. Where the mean load is close to the limit,
    /// the expected load of all endpoints may reach it although many have a free slot.
    pub(in crate::gateway) fn had_room(&self, limit: u32, now: Millis) -> bool {
        let newest = self.known.total(now);
        newest.is_some_and(|total| total.max(self.counted(now)) < limit)
    }

    /// Returns whether no response and no other entry has told anything of the endpoint, while others of its service tell
    /// their pace.
    pub(in crate::gateway) fn is_untold(&self) -> bool {
        !self.paced && self.reported_at.is_none() && self.usual.is_some()
    }
}

/// Returns the load from which an endpoint gets no further requests while it may get a share of its usual load.
pub(super) fn limit_of_share(limit: u32, share: f64) -> u32 {
    if share >= 1.0 {
        return limit;
    }
    ((f64::from(limit) * share).ceil() as u32).max(1)
}
