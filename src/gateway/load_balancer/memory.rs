//! What an entry knows of the memory of endpoints, and tells other entries.

use std::net::SocketAddr;

use super::{
    super::{
        endpoint_query::{EndpointQuery, MemoryQuery},
        endpoint_table::{Endpoint, EndpointHash, EndpointId},
        load_view::LoadView,
        peer_tokens::{EndpointTokens, PeerTokens},
    },
    LoadBalancer,
};
use crate::{
    base::Millis,
    decide::memory::{MemoryDemand, Right, Tokens},
};

/// Returns the requests that count for the memory of an endpoint where a choice counts `load`: not less than the newest
/// total, because the memory of requests that may have ended must not be given away.
fn cautious_load(view: &LoadView, load: u32, now: Millis) -> u32 {
    load.max(view.known.total(now).unwrap_or_default())
}

/// Returns whether a request fits into the memory of an endpoint beside `load` requests.
pub(super) fn fits(
    view: &LoadView,
    e: &Endpoint,
    memory: MemoryQuery<'_>,
    load: u32,
    now: Millis,
) -> bool {
    let known = view.known_tokens(now);
    let right = if memory.demand.is_ample(known, e.record.slots) {
        Right::Ample
    } else {
        memory.right(&e.id)
    };
    let load = cautious_load(view, load, now);
    memory.demand.fits(known, view.held, load, right)
}

impl EndpointQuery<'_> {
    /// Returns whether the request is larger than the memory of an endpoint.
    pub(super) fn is_too_large(&self) -> bool {
        self.memory.is_some_and(|m| m.demand.is_too_large())
    }
}

impl LoadBalancer {
    /// Counts the tokens of a request that is sent to an endpoint.
    pub fn begin_tokens(&mut self, id: &EndpointId, tokens: Tokens) {
        let view = self.views.entry(id.clone()).or_default();
        view.held.begin(tokens);
    }

    /// Removes the tokens of a request that has ended.
    pub fn end_tokens(&mut self, id: &EndpointId, tokens: Tokens) {
        if let Some(view) = self.views.get_mut(id) {
            view.held.end(tokens);
        }
    }

    /// Returns whether the requests at an endpoint, of which one has this demand, exceed its memory as far as is known.
    pub fn exceeds_memory(&self, id: &EndpointId, demand: MemoryDemand, now: Millis) -> bool {
        let Some(view) = self.views.get(id) else {
            return false;
        };
        let load = cautious_load(view, view.load_at_choice(now, self.peers_complete), now);
        demand.is_exceeded(view.known_tokens(now), load)
    }

    /// Returns whether an endpoint has too little memory for a further request, as far as is known.
    pub fn lacks_memory(&self, e: &Endpoint, memory: MemoryQuery<'_>, now: Millis) -> bool {
        let view = self.views.get(&e.id);
        view.is_some_and(|view| {
            let load = view.load_at_choice(now, self.peers_complete);
            !fits(view, e, memory, load, now)
        })
    }

    /// Adds the tokens of the requests in flight that another entry reported with [`LoadBalancer::merge_peer_load`] just now.
    pub fn merge_peer_tokens(
        &mut self,
        from: SocketAddr,
        loads: &[(EndpointHash, u16)],
        tokens: &PeerTokens,
    ) {
        let told = tokens.0.iter();
        let told = told.filter_map(|t| Some((loads.get(t.position())?.0, t.tokens())));
        let told: Vec<_> = told.collect();
        for (id, view) in &mut self.views {
            let Some(load) = view.peer_load.iter_mut().find(|l| l.from == from) else {
                continue;
            };
            let hash = id.hash();
            load.tokens = told.iter().find(|t| t.0 == hash).map(|t| t.1);
        }
    }

    /// Returns the tokens of the requests of this entry in flight, for the list of [`LoadBalancer::in_flight`]: of the
    /// endpoints at which it has most.
    pub fn tokens_in_flight(&self, loads: &[(EndpointHash, u16)]) -> PeerTokens {
        let held = self.views.iter().filter(|(_, v)| v.held.tokens.0 > 0);
        let mut held: Vec<_> = held.map(|(id, v)| (v.held.tokens, id.hash())).collect();
        held.sort_unstable_by(|a, b| b.cmp(a));
        held.truncate(PeerTokens::MAX);
        let entries = held.into_iter().filter_map(|(tokens, hash)| {
            let position = loads.iter().position(|l| l.0 == hash)?;
            EndpointTokens::new(position, tokens)
        });
        PeerTokens(entries.collect())
    }
}
