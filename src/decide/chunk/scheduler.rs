//! Chunk scheduler of one host for one manifest.

use super::{
    event::{Action, Event, Fault, Source, Waste},
    peer::{Flight, Peer},
    topology::seeding_order,
    window::Window,
    Bitmap, Config, PeerId, Proximity, Topology,
};
use crate::{
    base::{Digest, HashMap, HashSet, Millis},
    settings::Prefer,
};

/// Number of ranks that may each fetch a copy of a chunk from the origin if [`Prefer::Time`] is set.
const ORIGIN_RANKS: usize = 4;

/// Time for which a peer whose subscription ended is excluded and another host is a neighbour in its stead; doubles
/// each time until a chunk arrives from the peer.
const EXCLUSION: Millis = Millis(5000);

/// Number of failures in a row after which a peer is excluded.
const FAILURES_MAX: u32 = 2;

/// Time after which a leader of another region requests a chunk again that a host of the origin's region did not have
/// or was too busy to send.
const CROSS_REGION_RETRY: Millis = Millis(100);

/// Decides which chunks of one manifest a host fetches, when, and from which sources.
#[derive(Debug)]
pub struct Scheduler {
    config: Config,
    manifest: Digest,
    chunks: Vec<Digest>,
    topology: Topology,
    /// Chunks that this host holds.
    held: Bitmap,
    /// Neighbours; at most 8.
    peers: Vec<Peer>,
    /// Number of `peers` that hold each chunk.
    copies: Vec<u16>,
    /// Random number of each chunk that decides between equally rare ones.
    tie_breakers: Vec<u32>,
    /// Fetches in progress.
    flights: Vec<Flight>,
    /// Rank of this host for each chunk, 0 if it is the leader.
    ranks: Vec<usize>,
    window: Window,
    /// Number of failures of the origin in a row, and the end of its backoff.
    origin: (u32, Millis),
    /// Number of attempts to fetch a chunk from another region, and the time of the next one, by chunk.
    cross_region: HashMap<u32, (usize, Millis)>,
    /// Whether seeding was already spread over time by the rate limit between the regions.
    paced: bool,
    /// Peers that sent corrupt chunks, or that the driver reported; not used for the rest of the copy.
    corrupt: HashSet<PeerId>,
    /// Excluded peers: the end of the exclusion, and how often they were excluded since a chunk last arrived from them.
    excluded: HashMap<PeerId, (Millis, u32)>,
    /// End of the wait for the first reports of all neighbours; set by the first decision on seeding.
    reports_until: Option<Millis>,
    /// Earliest end of an exclusion.
    next_return: Millis,
    waste: Waste,
    rng: fastrand::Rng,
}

impl Scheduler {
    /// Creates a scheduler for the chunks of a manifest, none of which is held yet; `seed` seeds its random choices.
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
            tie_breakers: (0..len).map(|_| rng.u32(..)).collect(),
            held: Bitmap::new(len as u32),
            peers: Vec::new(),
            copies: vec![0; len],
            flights: Vec::new(),
            ranks: Vec::new(),
            origin: (0, Millis::ZERO),
            cross_region: HashMap::default(),
            paced: false,
            corrupt: HashSet::default(),
            excluded: HashMap::default(),
            reports_until: None,
            next_return: Millis::MAX,
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

    /// Returns the chunks that this host holds.
    pub fn held(&self) -> &Bitmap {
        &self.held
    }

    /// Returns the number of chunks that this host or a neighbour was reported to hold.
    pub fn known(&self) -> u32 {
        self.window.seen()
    }

    /// Returns the neighbours to whose reports this agent should subscribe.
    pub fn neighbours(&self) -> impl Iterator<Item = PeerId> + '_ {
        self.peers.iter().map(|p| p.id)
    }

    /// Returns the number of wasted transfers.
    pub fn waste(&self) -> Waste {
        self.waste
    }

    /// Excludes a peer for the rest of the copy.
    pub fn avoid(&mut self, now: Millis, peer: PeerId) {
        self.corrupt.insert(peer);
        self.set_neighbours(now);
    }

    /// Updates the state with an event; [`Scheduler::poll`] returns the actions that result.
    pub fn handle(&mut self, now: Millis, event: Event) {
        match event {
            Event::Members(t) => self.set_topology(now, t),
            Event::Has(peer, chunks) => self.add_copies(now, peer, &chunks),
            Event::Gone(peer) => self.exclude(now, peer),
            Event::Held(chunk) => self.hold(now, chunk),
            Event::Arrived(chunk, from) => self.arrive(now, chunk, from),
            Event::Failed(chunk, from, fault) => self.fail(now, chunk, from, fault),
        }
    }

    fn set_topology(&mut self, now: Millis, topology: Topology) {
        self.topology = topology;
        let leaders = self.config.leaders;
        self.ranks = self.topology.ranks(&self.manifest, &self.chunks, leaders);
        self.set_neighbours(now);
    }

    fn set_neighbours(&mut self, now: Millis) {
        let mut avoid = self.corrupt.clone();
        avoid.extend(
            self.excluded
                .iter()
                .filter(|(_, a)| a.0 > now)
                .map(|(id, _)| id),
        );
        let times = self.excluded.values().map(|a| a.0);
        self.next_return = times.filter(|t| *t > now).min().unwrap_or(Millis::MAX);
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
            self.window.mark_lost(chunk);
        }
    }

    fn peer(&mut self, id: PeerId) -> Option<&mut Peer> {
        self.peers.iter_mut().find(|p| p.id == id)
    }

    fn add_copies(&mut self, now: Millis, id: PeerId, chunks: &[u32]) {
        // Reports of a peer that was excluded, and sent no chunk since, do not keep leaders from seeding the chunks.
        let trusted = !self.excluded.contains_key(&id);
        let Some(peer) = self.peers.iter_mut().find(|p| p.id == id) else {
            return;
        };
        peer.reported = true;
        for &c in chunks {
            if peer.has.insert(c) {
                self.copies[c as usize] += 1;
            }
            if trusted && peer.has.contains(c) {
                self.window.mark_seen(c, now);
            }
        }
    }

    /// Excludes a peer for a while and chooses another neighbour in its stead.
    fn exclude(&mut self, now: Millis, id: PeerId) {
        self.drop_peer(id);
        let times = self.excluded.get(&id).map_or(0, |a| a.1);
        let until = now + EXCLUSION.times(1 << times.min(4));
        self.excluded.insert(id, (until, times + 1));
        self.set_neighbours(now);
    }

    fn hold(&mut self, now: Millis, chunk: u32) {
        if self.held.insert(chunk) {
            self.window.mark_seen(chunk, now);
        }
    }

    /// Ends a fetch in progress; returns whether it was known.
    fn end_flight(&mut self, chunk: u32, from: Source) -> bool {
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
        self.end_flight(chunk, from);
        if self.held.contains(chunk) {
            self.waste.duplicates += 1;
        }
        match from {
            Source::Origin => self.origin = (0, Millis::ZERO),
            Source::Peer(id) => {
                let restored = self.excluded.remove(&id).is_some();
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

    /// Returns the backoff of the origin after this number of earlier failures in a row.
    fn backoff(&self, failures: u32) -> Millis {
        let delay = self.config.backoff.times(1 << failures.min(6));
        delay.min(self.config.backoff_max)
    }

    fn fail(&mut self, now: Millis, chunk: u32, from: Source, fault: Fault) {
        self.end_flight(chunk, from);
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
                Fault::Busy | Fault::Missing => CROSS_REGION_RETRY,
                Fault::Corrupt | Fault::Lost => self.config.backoff,
            };
            if let Some(state) = self.cross_region.get_mut(&chunk) {
                state.1 = now + delay;
            }
            return;
        }
        let (busy, backoff) = (self.config.busy_backoff, self.config.backoff);
        let Some(peer) = self.peer(id) else {
            return;
        };
        match fault {
            Fault::Busy => peer.backoff_until = now + busy,
            Fault::Missing => {
                if peer.has.remove(chunk) {
                    self.lose_copy(chunk);
                }
            }
            Fault::Corrupt => {}
            Fault::Lost => {
                peer.failures += 1;
                peer.backoff_until = now + backoff.times(1 << peer.failures.min(6));
                if peer.failures >= FAILURES_MAX {
                    self.exclude(now, id);
                }
            }
        }
    }

    /// Returns the next action; must be called until it returns [`Action::Wait`] or [`Action::Done`].
    pub fn poll(&mut self, now: Millis) -> Action {
        if self.next_return <= now {
            self.set_neighbours(now);
        }
        if let Some(f) = self.flights.iter().find(|f| self.held.contains(f.chunk)) {
            let (chunk, from) = (f.chunk, f.from);
            self.end_flight(chunk, from);
            return Action::Cancel(chunk, from);
        }
        if self.held.is_full() {
            return Action::Done;
        }
        let mut wake = self.next_return;
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

    /// Chooses a chunk that this host seeds into the region, from the origin or from a host of the origin's region.
    ///
    /// `wake` is lowered to the time from which another decision is possible, here and in the other `poll_` methods.
    fn poll_leader(&mut self, now: Millis, wake: &mut Millis) -> Option<(u32, Source)> {
        let from_outside = |f: &&Flight| match f.from {
            Source::Origin => true,
            Source::Peer(id) => self.topology.proximity(id).is_some_and(|p| !p.is_local()),
        };
        if self.flights.iter().filter(from_outside).count() >= self.config.origin_requests {
            return None;
        }
        let other_region = self
            .topology
            .members()
            .iter()
            .any(|m| m.proximity == Proximity::Store);
        let until = *self
            .reports_until
            .get_or_insert(now + self.config.report_wait);
        if until > now && !self.peers.iter().all(|p| p.reported) {
            *wake = until.min(*wake);
            return None;
        }
        if self.origin.1 > now {
            *wake = self.origin.1.min(*wake);
            return None;
        }
        if let (true, false, Some(rate)) = (other_region, self.paced, self.config.cross_region) {
            self.window.pace(self.config.chunk, rate, now);
            self.paced = true;
        }
        let mut found = None;
        for open in self.window.open_chunks(now, self.config.stall_timeout) {
            let chunk = open.chunk;
            if self.flights.iter().any(|f| f.chunk == chunk) {
                continue;
            }
            let mut at = open.start(self.ranks[chunk as usize]);
            if let Some(&(_, retry)) = self.cross_region.get(&chunk) {
                at = at.max(retry);
            }
            if at <= now {
                found = Some(chunk);
                break;
            }
            *wake = at.min(*wake);
        }
        let chunk = found.or_else(|| self.extra_copy(other_region))?;
        if !other_region {
            return Some((chunk, Source::Origin));
        }
        let id = &self.chunks[chunk as usize];
        let leaders = self.config.leaders;
        let sources = self.topology.chunk_sources(&self.manifest, id, leaders);
        let live: Vec<_> = sources
            .into_iter()
            .filter(|id| !self.corrupt.contains(id))
            .collect();
        let attempt = self.cross_region.entry(chunk).or_insert((0, now));
        let source = live.get(attempt.0 % live.len().max(1)).copied();
        attempt.0 += 1;
        Some((chunk, source.map_or(Source::Origin, Source::Peer)))
    }

    /// Chooses a chunk of which another copy from the origin saves time; none in other regions than the origin's.
    fn extra_copy(&self, other_region: bool) -> Option<u32> {
        if self.config.prefer == Prefer::Origin || other_region {
            return None;
        }
        let wanted = |c: &u32| {
            (1..ORIGIN_RANKS).contains(&self.ranks[*c as usize])
                && !self.held.contains(*c)
                && !self.in_flight(*c)
        };
        self.window.extra_chunks().iter().copied().find(wanted)
    }

    /// Chooses the rarest chunk that a neighbour can send (rarest first).
    fn poll_peers(&mut self, now: Millis, wake: &mut Millis) -> Option<(u32, Source)> {
        if self.flights.len() >= self.config.all_requests {
            return None;
        }
        let mut usable: Vec<usize> = Vec::with_capacity(self.peers.len());
        for (i, p) in self.peers.iter().enumerate() {
            if p.backoff_until > now {
                *wake = p.backoff_until.min(*wake);
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
                self.tie_breakers[chunk as usize],
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

    /// Returns the nearest of the `usable` peers (indexes of `peers`) that hold a chunk; of equally near ones, the one
    /// with the fewest requests of this host in flight.
    fn nearest(&mut self, usable: &[usize], chunk: u32) -> Option<Source> {
        let rng = &mut self.rng;
        usable
            .iter()
            .map(|&i| &self.peers[i])
            .filter(|p| p.has.contains(chunk))
            .min_by_key(|p| (p.proximity, p.flights, rng.u32(..)))
            .map(|p| Source::Peer(p.id))
    }

    /// Chooses a second source for a chunk whose fetch exceeds the stall timeout, when nothing else can be fetched.
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
                    p.backoff_until <= now
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
