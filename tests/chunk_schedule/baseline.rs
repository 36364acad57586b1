//! Baseline with which the chunk scheduler is compared: random choice of chunk and peer.

use sesamewing::{
    base::{HashMap, Millis},
    decide::chunk::{Action, Event, PeerId, Source},
};

use super::swarm::{id, Policy, Setup, CHUNKS};

/// Maximum number of fetches in progress of a baseline node.
const PARALLEL: usize = 8;

/// Fetches a random missing chunk from a random peer that holds it, or from the origin if none does.
pub(crate) struct RandomPolicy {
    peers: Vec<PeerId>,
    has: HashMap<PeerId, Vec<bool>>,
    held: Vec<bool>,
    flights: Vec<u32>,
    rng: fastrand::Rng,
    /// End of the backoff after a failed fetch.
    backoff_until: Millis,
}

impl RandomPolicy {
    /// Creates a node with up to `peers` random peers; without peers it fetches everything from the origin.
    pub(crate) fn new(setup: &Setup, i: usize, peers: usize) -> Self {
        let mut rng = fastrand::Rng::with_seed(setup.seed * 1000 + i as u64);
        let others = (0..setup.sites.len()).filter(|&j| j != i);
        let peers = rng
            .choose_multiple(others, peers)
            .into_iter()
            .map(id)
            .collect();
        Self {
            peers,
            has: HashMap::default(),
            held: vec![false; CHUNKS],
            flights: Vec::new(),
            rng,
            backoff_until: Millis::ZERO,
        }
    }
}

impl Policy for RandomPolicy {
    fn handle(&mut self, now: Millis, event: Event) {
        match event {
            Event::Has(peer, chunks) => {
                let has = self.has.entry(peer).or_insert_with(|| vec![false; CHUNKS]);
                chunks.iter().for_each(|&c| has[c as usize] = true);
            }
            Event::Arrived(chunk, _) => {
                self.held[chunk as usize] = true;
                self.flights.retain(|&c| c != chunk);
            }
            Event::Failed(chunk, ..) => {
                self.flights.retain(|&c| c != chunk);
                self.backoff_until = now + Millis(50);
            }
            _ => {}
        }
    }

    fn poll(&mut self, now: Millis) -> Action {
        if self.held.iter().all(|&h| h) {
            return Action::Done;
        }
        if self.backoff_until > now || self.flights.len() >= PARALLEL {
            return Action::Wait(self.backoff_until.max(now + Millis(1)));
        }
        let missing: Vec<u32> = (0..CHUNKS as u32)
            .filter(|&c| !self.held[c as usize] && !self.flights.contains(&c))
            .collect();
        if missing.is_empty() {
            return Action::Wait(now + Millis(50));
        }
        let chunk = missing[self.rng.usize(..missing.len())];
        let has = |p: &&PeerId| self.has.get(p).is_some_and(|h| h[chunk as usize]);
        let owners: Vec<_> = self.peers.iter().filter(has).collect();
        let from = match owners.len() {
            0 => Source::Origin,
            n => Source::Peer(*owners[self.rng.usize(..n)]),
        };
        self.flights.push(chunk);
        Action::Fetch(chunk, from)
    }

    fn peers(&self) -> Vec<PeerId> {
        self.peers.clone()
    }
}
