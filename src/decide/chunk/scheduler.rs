//! State of the exchange of one manifest.

use super::{
    event::{Action, Event, Fault, Source, Waste},
    peer::{Flight, Peer},
    topology::{seeding_order, CROSS_SOURCES},
    window::Window,
    Bitmap, Config, PeerId, Proximity, Topology,
};
use crate::{
    base::{Digest, HashMap, HashSet, Millis},
    settings::Prefer,
};

/// Ranks that may each fetch a copy from the origin when time is preferred.
const TIME_RANKS: usize = 4;

/// Time for which a peer whose subscription ended is replaced by another neighbour; doubles each time until a chunk
/// comes from it.
const AWAY: Millis = Millis(5000);

/// Failures in a row after which a peer is replaced by another neighbour.
const FAILURES_MAX: u32 = 2;

/// Time until a leader of another region asks again for a chunk that the store's region does not hold yet.
const CROSS_RETRY: Millis = Millis(100);

/// Decides what one agent fetches for one manifest.
#[derive(Debug)]
pub struct Scheduler {
    config: Config,
    manifest: Digest,
    chunks: Vec<Digest>,
    topology: Topology,
    held: Bitmap,
    /// Neighbours; at most 8.
    peers: Vec<Peer>,
    /// Number of `peers` that hold each chunk.
    copies: Vec<u16>,
    /// Random order among equally rare chunks.
    ties: Vec<u32>,
    flights: Vec<Flight>,
    /// Rank of this host for each chunk.
    ranks: Vec<usize>,
    window: Window,
    /// Failures of the origin in a row, and the time before which it is not asked.
    origin: (u32, Millis),
    /// Attempts across regions for a chunk, and the time of the next one.
    crossing: HashMap<u32, (usize, Millis)>,
    /// Whether the window was paced to the link between the regions.
    paced: bool,
    /// Peers that sent corrupt chunks.
    corrupt: HashSet<PeerId>,
    /// Peers that are replaced until some time, and how often they were.
    away: HashMap<PeerId, (Millis, u32)>,
    /// Time until which leaders wait for the first reports of neighbours; set by the first decision.
    grace: Option<Millis>,
    /// Time at which the next of `away` may be a neighbour again.
    returns: Millis,
    waste: Waste,
    rng: fastrand::Rng,
}

impl Scheduler {
    /// Starts a copy with the chunks that are held already.
    pub fn new(
        config: Config,
        manifest: Digest,
        chunks: Vec<Digest>,
        topology: Topology,
        seed: u64,
    ) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let len = chunks.len();
        let mut out = Self {
            window: Window::new(seeding_order(&chunks), config.seed_window),
            ties: (0..len).map(|_| rng.u32(..)).collect(),
            held: Bitmap::new(len as u32),
            peers: Vec::new(),
            copies: vec![0; len],
            flights: Vec::new(),
            ranks: Vec::new(),
            origin: (0, Millis::ZERO),
            crossing: HashMap::default(),
            paced: false,
            corrupt: HashSet::default(),
            away: HashMap::default(),
            grace: None,
            returns: Millis::MAX,
            waste: Waste::default(),
            rng,
            config,
            manifest,
            chunks,
            topology,
        };
        out.set_topology(Millis::ZERO, out.topology.clone());
        out
    }

    /// Returns the chunks that are held.
    pub fn held(&self) -> &Bitmap {
        &self.held
    }

    /// Returns the neighbours whose chunks this agent should subscribe to.
    pub fn neighbours(&self) -> impl Iterator<Item = PeerId> + '_ {
        self.peers.iter().map(|p| p.id)
    }

    /// Returns the transfers that were of no use.
    pub fn waste(&self) -> Waste {
        self.waste
    }

    /// Avoids a peer for the rest of the copy.
    pub fn avoid(&mut self, now: Millis, peer: PeerId) {
        self.corrupt.insert(peer);
        self.set_neighbours(now);
    }

    /// Takes an event.
    pub fn handle(&mut self, now: Millis, event: Event) {
        match event {
            Event::Members(t) => self.set_topology(now, t),
            Event::Has(peer, chunks) => self.add_copies(now, peer, &chunks),
            Event::Gone(peer) => self.replace(now, peer),
            Event::Held(chunk) => self.hold(now, chunk),
            Event::Arrived(chunk, from) => self.arrive(now, chunk, from),
            Event::Failed(chunk, from, fault) => self.fail(now, chunk, from, fault),
        }
    }

    fn set_topology(&mut self, now: Millis, topology: Topology) {
        self.topology = topology;
        self.ranks = self.chunks.iter().map(|c| self.topology.rank(c)).collect();
        self.set_neighbours(now);
    }

    fn set_neighbours(&mut self, now: Millis) {
        let mut avoid = self.corrupt.clone();
        avoid.extend(
            self.away
                .iter()
                .filter(|(_, a)| a.0 > now)
                .map(|(id, _)| id),
        );
        let times = self.away.values().map(|a| a.0);
        self.returns = times.filter(|t| *t > now).min().unwrap_or(Millis::MAX);
        let wanted = self.topology.neighbours(&self.manifest, &avoid);
        let gone: Vec<_> = self
            .neighbours()
            .filter(|id| !wanted.contains(id))
            .collect();
        for id in gone {
            self.drop_peer(id);
        }
        for id in wanted {
            let known = self.peer(id).is_some();
            if let (false, Some(proximity)) = (known, self.topology.proximity(id)) {
                let from = Source::Peer(id);
                let flights = self.flights.iter().filter(|f| f.from == from).count();
                let len = self.chunks.len() as u32;
                self.peers.push(Peer::new(id, proximity, len, flights));
            }
        }
    }

    fn drop_peer(&mut self, id: PeerId) {
        if let Some(i) = self.peers.iter().position(|p| p.id == id) {
            let peer = self.peers.swap_remove(i);
            for c in peer.has.iter() {
                self.lose_copy(c);
            }
        }
    }

    fn lose_copy(&mut self, chunk: u32) {
        let copies = &mut self.copies[chunk as usize];
        *copies -= 1;
        if *copies == 0 && !self.held.contains(chunk) {
            self.window.lose(chunk);
        }
    }

    fn peer(&mut self, id: PeerId) -> Option<&mut Peer> {
        self.peers.iter_mut().find(|p| p.id == id)
    }

    fn add_copies(&mut self, now: Millis, id: PeerId, chunks: &[u32]) {
        // What a peer claims that failed before does not keep leaders from fetching the chunk.
        let trusted = !self.away.contains_key(&id);
        let Some(peer) = self.peers.iter_mut().find(|p| p.id == id) else {
            return;
        };
        peer.reported = true;
        for &c in chunks {
            if peer.has.insert(c) {
                self.copies[c as usize] += 1;
            }
            if trusted && peer.has.contains(c) {
                self.window.see(c, now);
            }
        }
    }

    fn replace(&mut self, now: Millis, id: PeerId) {
        self.drop_peer(id);
        let times = self.away.get(&id).map_or(0, |a| a.1);
        let until = now + AWAY.times(1 << times.min(4));
        self.away.insert(id, (until, times + 1));
        self.set_neighbours(now);
    }

    fn hold(&mut self, now: Millis, chunk: u32) {
        if self.held.insert(chunk) {
            self.window.see(chunk, now);
        }
    }

    /// Removes a flight; returns whether it was known.
    fn land(&mut self, chunk: u32, from: Source) -> bool {
        let found = |f: &Flight| f.chunk == chunk && f.from == from;
        let Some(i) = self.flights.iter().position(found) else {
            return false;
        };
        self.flights.swap_remove(i);
        if let Source::Peer(id) = from {
            if let Some(peer) = self.peer(id) {
                peer.flights -= 1;
            }
        }
        true
    }

    fn arrive(&mut self, now: Millis, chunk: u32, from: Source) {
        self.land(chunk, from);
        if self.held.contains(chunk) {
            self.waste.duplicates += 1;
        }
        match from {
            Source::Origin => self.origin = (0, Millis::ZERO),
            Source::Peer(id) => {
                let restored = self.away.remove(&id).is_some();
                if let Some(peer) = self.peer(id) {
                    peer.failures = 0;
                    if restored {
                        let has: Vec<u32> = peer.has.iter().collect();
                        self.add_copies(now, id, &has);
                    }
                }
            }
        }
        self.hold(now, chunk);
    }

    fn backoff(&self, failures: u32) -> Millis {
        let delay = self.config.backoff.times(1 << failures.min(6));
        delay.min(self.config.backoff_max)
    }

    fn fail(&mut self, now: Millis, chunk: u32, from: Source, fault: Fault) {
        self.land(chunk, from);
        if fault == Fault::Corrupt {
            self.waste.corrupt += 1;
        }
        let Source::Peer(id) = from else {
            let until = now + self.backoff(self.origin.0);
            self.origin = (self.origin.0 + 1, until);
            self.window.restart(now);
            return;
        };
        if fault == Fault::Corrupt {
            self.drop_peer(id);
            self.avoid(now, id);
        }
        if self.topology.proximity(id).is_some_and(|p| !p.is_local()) {
            let delay = match fault {
                Fault::Busy | Fault::Missing => CROSS_RETRY,
                Fault::Corrupt | Fault::Lost => self.config.backoff,
            };
            if let Some(state) = self.crossing.get_mut(&chunk) {
                state.1 = now + delay;
            }
            return;
        }
        let (busy, backoff) = (self.config.busy_backoff, self.config.backoff);
        let Some(peer) = self.peer(id) else {
            return;
        };
        match fault {
            Fault::Busy => peer.until = now + busy,
            Fault::Missing => {
                if peer.has.remove(chunk) {
                    self.lose_copy(chunk);
                }
            }
            Fault::Corrupt => {}
            Fault::Lost => {
                peer.failures += 1;
                peer.until = now + backoff.times(1 << peer.failures.min(6));
                if peer.failures >= FAILURES_MAX {
                    self.replace(now, id);
                }
            }
        }
    }

    /// Returns the next action; to be called until it returns [`Action::Wait`] or [`Action::Done`].
    pub fn poll(&mut self, now: Millis) -> Action {
        if self.returns <= now {
            self.set_neighbours(now);
        }
        if let Some(f) = self.flights.iter().find(|f| self.held.contains(f.chunk)) {
            let (chunk, from) = (f.chunk, f.from);
            self.land(chunk, from);
            return Action::Cancel(chunk, from);
        }
        if self.held.is_full() {
            return Action::Done;
        }
        let mut wake = self.returns;
        let next = self
            .poll_leader(now, &mut wake)
            .or_else(|| self.poll_peers(now, &mut wake))
            .or_else(|| self.poll_stalled(now, &mut wake));
        let Some((chunk, from)) = next else {
            return Action::Wait(wake);
        };
        self.flights.push(Flight {
            chunk,
            from,
            since: now,
        });
        if let Source::Peer(id) = from {
            if let Some(peer) = self.peer(id) {
                peer.flights += 1;
            }
        }
        Action::Fetch(chunk, from)
    }

    fn in_flight(&self, chunk: u32) -> bool {
        self.flights.iter().any(|f| f.chunk == chunk)
    }

    /// Chunks that this host brings into the region, from the origin or from the store's region.
    fn poll_leader(&mut self, now: Millis, wake: &mut Millis) -> Option<(u32, Source)> {
        let outside = |f: &&Flight| match f.from {
            Source::Origin => true,
            Source::Peer(id) => self.topology.proximity(id).is_some_and(|p| !p.is_local()),
        };
        if self.flights.iter().filter(outside).count() >= self.config.origin_requests {
            return None;
        }
        let crosses = self
            .topology
            .members()
            .iter()
            .any(|m| m.proximity == Proximity::Store);
        let grace = *self.grace.get_or_insert(now + self.config.report_wait);
        if grace > now && !self.peers.iter().all(|p| p.reported) {
            *wake = grace.min(*wake);
            return None;
        }
        if self.origin.1 > now {
            *wake = self.origin.1.min(*wake);
            return None;
        }
        if let (true, false, Some(rate)) = (crosses, self.paced, self.config.cross_region) {
            self.window.pace(self.config.chunk, rate, now);
            self.paced = true;
        }
        let mut found = None;
        for open in self.window.open(now, self.config.stall_timeout) {
            let chunk = open.chunk;
            if self.flights.iter().any(|f| f.chunk == chunk) {
                continue;
            }
            let mut at = open.start(self.ranks[chunk as usize]);
            if let Some(&(_, retry)) = self.crossing.get(&chunk) {
                at = at.max(retry);
            }
            if at <= now {
                found = Some(chunk);
                break;
            }
            *wake = at.min(*wake);
        }
        let chunk = found.or_else(|| self.extra_copy(crosses))?;
        if !crosses {
            return Some((chunk, Source::Origin));
        }
        let sources = self
            .topology
            .sources(&self.chunks[chunk as usize], CROSS_SOURCES);
        let live: Vec<_> = sources
            .into_iter()
            .filter(|id| !self.corrupt.contains(id))
            .collect();
        let attempt = self.crossing.entry(chunk).or_insert((0, now));
        let source = live.get(attempt.0 % live.len().max(1)).copied();
        attempt.0 += 1;
        Some((chunk, source.map_or(Source::Origin, Source::Peer)))
    }

    /// A chunk of which further copies from the origin save time.
    fn extra_copy(&self, crosses: bool) -> Option<u32> {
        if self.config.prefer == Prefer::Origin || crosses {
            return None;
        }
        let wanted = |c: &u32| {
            (1..TIME_RANKS).contains(&self.ranks[*c as usize])
                && !self.held.contains(*c)
                && !self.in_flight(*c)
        };
        self.window.extra().iter().copied().find(wanted)
    }

    /// The rarest chunk that a neighbour can send.
    fn poll_peers(&mut self, now: Millis, wake: &mut Millis) -> Option<(u32, Source)> {
        if self.flights.len() >= self.config.all_requests {
            return None;
        }
        let mut usable: Vec<usize> = Vec::with_capacity(self.peers.len());
        for (i, p) in self.peers.iter().enumerate() {
            if p.until > now {
                *wake = p.until.min(*wake);
            } else if p.flights < self.config.peer_requests && p.has.count() > 0 {
                usable.push(i);
            }
        }
        if usable.is_empty() {
            return None;
        }
        let mut best: Option<(u16, u32, u32)> = None;
        for chunk in 0..self.chunks.len() as u32 {
            let rarity = (
                self.copies[chunk as usize],
                self.ties[chunk as usize],
                chunk,
            );
            if rarity.0 == 0 || self.held.contains(chunk) || best.is_some_and(|b| b <= rarity) {
                continue;
            }
            let offered = usable.iter().any(|&i| self.peers[i].has.contains(chunk));
            if offered && !self.in_flight(chunk) {
                best = Some(rarity);
            }
        }
        let chunk = best?.2;
        Some((chunk, self.nearest(&usable, chunk)?))
    }

    /// The nearest of some peers that hold a chunk, and among these the one with the fewest requests.
    fn nearest(&mut self, usable: &[usize], chunk: u32) -> Option<Source> {
        let rng = &mut self.rng;
        usable
            .iter()
            .map(|&i| &self.peers[i])
            .filter(|p| p.has.contains(chunk))
            .min_by_key(|p| (p.proximity, p.flights, rng.u32(..)))
            .map(|p| Source::Peer(p.id))
    }

    /// A second source for a chunk whose fetch makes no progress, when nothing else is left to fetch.
    fn poll_stalled(&mut self, now: Millis, wake: &mut Millis) -> Option<(u32, Source)> {
        if self.flights.len() >= self.config.all_requests {
            return None;
        }
        let mut late: Vec<Flight> = Vec::new();
        for f in &self.flights {
            let at = f.since + self.config.stall_timeout;
            if at > now {
                *wake = at.min(*wake);
            } else if self.flights.iter().filter(|g| g.chunk == f.chunk).count() == 1 {
                late.push(*f);
            }
        }
        late.sort_unstable_by_key(|f| f.since);
        for f in late {
            let usable: Vec<usize> = (0..self.peers.len())
                .filter(|&i| {
                    let p = &self.peers[i];
                    p.until <= now
                        && p.flights < self.config.peer_requests
                        && Source::Peer(p.id) != f.from
                })
                .collect();
            if let Some(from) = self.nearest(&usable, f.chunk) {
                return Some((f.chunk, from));
            }
        }
        None
    }
}
