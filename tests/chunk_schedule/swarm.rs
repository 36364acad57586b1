//! Simulation of N schedulers in virtual time, with links that transfers share.
//!
//! Time advances in ticks. In each tick a link divides its bytes among the transfers that use it, in several rounds, so
//! that others get what one transfer cannot use. A message takes one tick.

use std::collections::VecDeque;

use sesamewing::{
    base::{Digest, Millis, Rate, Size},
    decide::chunk::{
        Action, Config, Event, Fault, Member, PeerId, Proximity, Scheduler, Source, Topology,
    },
    settings::Prefer,
};

pub(crate) const CHUNK: Size = Size(256 << 10);
pub(crate) const CHUNKS: usize = 256;
/// Rate of a host's link in each direction: 80% of 20 Mbit/s.
pub(crate) const HOST: Rate = Rate(2_000_000);

/// Length of a tick in milliseconds.
const TICK: u64 = 4;
/// Upload slots and queue length of a host, as in `weights::upload`.
const SLOTS: usize = 8;
const QUEUE: usize = 4;

/// Time in milliseconds after which a queued request fails as busy.
const QUEUE_TIMEOUT: u64 = 1000;
/// Delay in milliseconds of reports of held chunks, which a host collects before it sends them.
const COALESCE: u64 = 10;

/// Decides what a simulated node fetches next.
pub(crate) trait Policy {
    fn handle(&mut self, now: Millis, event: Event);
    fn poll(&mut self, now: Millis) -> Action;
    fn peers(&self) -> Vec<PeerId>;
}

impl Policy for Scheduler {
    fn handle(&mut self, now: Millis, event: Event) {
        Scheduler::handle(self, now, event);
    }

    fn poll(&mut self, now: Millis) -> Action {
        Scheduler::poll(self, now)
    }

    fn peers(&self) -> Vec<PeerId> {
        self.neighbours().collect()
    }
}

/// Location of a node: region and zone.
pub(crate) type Site = (usize, usize);

#[derive(Clone, Debug)]
pub(crate) struct Setup {
    pub(crate) sites: Vec<Site>,
    pub(crate) prefer: Prefer,
    pub(crate) origin: Rate,
    pub(crate) crossing: Option<Rate>,
    pub(crate) up: Rate,
    pub(crate) seed: u64,
    /// Nodes that never respond, although the host list contains them.
    pub(crate) dead: Vec<usize>,
    /// Start and end, in milliseconds, of the time in which the origin fails every request.
    pub(crate) outage: (u64, u64),
    /// Number of nodes of a region that lead all chunks.
    pub(crate) leaders: usize,
    /// Number of chunks that every node holds from an older version.
    pub(crate) shared: usize,
}

impl Setup {
    pub(crate) fn new(n: usize, prefer: Prefer) -> Self {
        Self {
            // Four zones, as 8 zones in 2 regions give each region.
            sites: (0..n).map(|i| (0, i % 4)).collect(),
            prefer,
            origin: Rate(HOST.0 * 2),
            crossing: None,
            up: HOST,
            seed: 1,
            dead: Vec::new(),
            outage: (0, 0),
            leaders: usize::MAX,
            shared: 0,
        }
    }

    fn live(&self) -> usize {
        self.sites.len() - self.dead.len()
    }

    /// Returns a lower bound of the time in milliseconds until all live nodes hold the version, given by the links.
    pub(crate) fn bound(&self) -> f64 {
        let size = ((CHUNKS - self.shared) as u64 * CHUNK.0) as f64;
        let (n, up, origin) = (self.live() as f64, self.up.0 as f64, self.origin.0 as f64);
        let crossing = self.crossing.map_or(0.0, |r| size / r.0 as f64);
        let hosts = n * size / (origin + n * up);
        1000.0
            * (size / origin)
                .max(size / HOST.0 as f64)
                .max(hosts)
                .max(crossing)
    }
}

#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Outcome {
    /// Time until all live nodes held the version, divided by the lower bound.
    pub(crate) ratio: f64,
    /// Number of copies fetched from the origin.
    pub(crate) copies: f64,
    /// Number of copies fetched from the other region.
    pub(crate) crossed: f64,
    pub(crate) duplicates: u32,
    pub(crate) busy: u32,
}

#[derive(Clone, Copy, Debug)]
struct Transfer {
    /// Sending node, or `None` for the origin.
    from: Option<usize>,
    to: usize,
    chunk: u32,
    left: f64,
    asked: u64,
}

enum Message {
    Request(Transfer),
    Cancel(Transfer),
    Notify(usize, Event),
}

pub(crate) struct Swarm<P> {
    setup: Setup,
    ids: Vec<PeerId>,
    nodes: Vec<P>,
    subscribers: Vec<Vec<usize>>,
    following: Vec<Vec<PeerId>>,
    held: Vec<Vec<bool>>,
    wake: Vec<u64>,
    active: Vec<Vec<Transfer>>,
    queues: Vec<VecDeque<Transfer>>,
    origin: Vec<Transfer>,
    mail: VecDeque<(u64, Message)>,
    late: VecDeque<(u64, Message)>,
    out: Outcome,
    now: u64,
}

pub(crate) fn id(i: usize) -> PeerId {
    PeerId::from(&format!("agent-{i}").parse().expect("a valid name"))
}

pub(crate) fn digest(chunk: usize, seed: u64) -> Digest {
    Digest::of(format!("{seed} {chunk}").as_bytes())
}

fn proximity(own: Site, other: Site) -> Proximity {
    match (own, other) {
        _ if own == other => Proximity::Zone,
        _ if own.0 == other.0 => Proximity::Region,
        _ if other.0 == 0 => Proximity::Store,
        _ => Proximity::Remote,
    }
}

pub(crate) fn topology(setup: &Setup, i: usize) -> Topology {
    let member = |(j, &site): (usize, &Site)| Member {
        id: id(j),
        proximity: proximity(setup.sites[i], site),
    };
    Topology::new(id(i), setup.sites.iter().enumerate().map(member).collect())
}

/// Returns whether a node leads chunks of the version.
pub(crate) fn leads(setup: &Setup, i: usize) -> bool {
    let chunks: Vec<_> = (0..CHUNKS).map(|c| digest(c, setup.seed)).collect();
    let manifest = digest(CHUNKS, setup.seed);
    let ranks = topology(setup, i).ranks(&manifest, &chunks, setup.leaders);
    ranks.contains(&0)
}

pub(crate) fn scheduler(setup: &Setup, i: usize) -> Scheduler {
    let mut config = Config::new(setup.prefer, CHUNK, HOST);
    config.cross_region = setup.crossing;
    config.leaders = setup.leaders;
    let chunks = (0..CHUNKS).map(|c| digest(c, setup.seed)).collect();
    let seed = setup.seed * 1000 + i as u64;
    let manifest = digest(CHUNKS, setup.seed);
    let mut s = Scheduler::new(config, manifest, chunks, topology(setup, i), seed);
    for c in 0..setup.shared {
        s.handle(Millis::ZERO, Event::Held(c as u32));
    }
    s
}

impl<P: Policy> Swarm<P> {
    pub(crate) fn new(setup: Setup, node: impl Fn(&Setup, usize) -> P) -> Self {
        let n = setup.sites.len();
        let nodes: Vec<P> = (0..n).map(|i| node(&setup, i)).collect();
        let ids: Vec<_> = (0..n).map(id).collect();
        let held = vec![(0..CHUNKS).map(|c| c < setup.shared).collect(); n];
        Self {
            ids,
            nodes,
            subscribers: vec![Vec::new(); n],
            following: vec![Vec::new(); n],
            held,
            wake: vec![0; n],
            active: vec![Vec::new(); n],
            queues: vec![VecDeque::new(); n],
            origin: Vec::new(),
            mail: VecDeque::new(),
            late: VecDeque::new(),
            out: Outcome::default(),
            now: 0,
            setup,
        }
    }

    /// Subscribes a node to exactly its neighbours, as the driver does.
    fn subscribe(&mut self, i: usize) {
        let peers = self.nodes[i].peers();
        if peers == self.following[i] {
            return;
        }
        let old = std::mem::replace(&mut self.following[i], peers.clone());
        for &peer in old.iter().filter(|p| !peers.contains(p)) {
            let j = self.index(peer);
            self.subscribers[j].retain(|&s| s != i);
        }
        for &peer in peers.iter().filter(|p| !old.contains(p)) {
            let j = self.index(peer);
            let held = self.held[j].iter().enumerate();
            let has = held.filter(|(_, h)| **h).map(|(c, _)| c as u32).collect();
            if self.setup.dead.contains(&j) {
                self.post(Message::Notify(i, Event::Gone(peer)));
                continue;
            }
            self.subscribers[j].push(i);
            self.post(Message::Notify(i, Event::Has(peer, has)));
        }
    }

    fn index(&self, peer: PeerId) -> usize {
        self.ids
            .iter()
            .position(|&id| id == peer)
            .expect("a member")
    }

    fn publish(&mut self, node: usize, event: Event) {
        for &s in &self.subscribers[node] {
            let at = self.now + COALESCE;
            self.late.push_back((at, Message::Notify(s, event.clone())));
        }
    }

    fn post(&mut self, message: Message) {
        self.mail.push_back((self.now + TICK, message));
    }

    /// Runs until all live nodes hold every chunk, but at most for 30 times the lower bound.
    pub(crate) fn run(mut self) -> Outcome {
        let bound = self.setup.bound();
        let live: Vec<_> = (0..self.nodes.len())
            .filter(|i| !self.setup.dead.contains(i))
            .collect();
        let mut open = live.clone();
        while !open.is_empty() && (self.now as f64) < 30.0 * bound {
            self.now += TICK;
            self.deliver();
            self.transfer();
            for &i in &live {
                self.poll(i);
            }
            open.retain(|&i| self.held[i].iter().any(|h| !h));
        }
        self.out.ratio = self.now as f64 / bound;
        self.out
    }

    fn deliver(&mut self) {
        for late in [false, true] {
            loop {
                let queue = if late { &mut self.late } else { &mut self.mail };
                if queue.front().is_none_or(|(at, _)| *at > self.now) {
                    break;
                }
                match queue.pop_front().expect("checked above").1 {
                    Message::Request(t) => self.request(t),
                    Message::Cancel(t) => self.cancel(t),
                    Message::Notify(i, event) => {
                        self.arrived(i, &event);
                        self.nodes[i].handle(Millis(self.now), event);
                        self.wake[i] = 0;
                    }
                }
            }
        }
    }

    fn arrived(&mut self, i: usize, event: &Event) {
        let Event::Arrived(chunk, from) = *event else {
            return;
        };
        if std::mem::replace(&mut self.held[i][chunk as usize], true) {
            self.out.duplicates += 1;
        }
        let share = 1.0 / (CHUNKS - self.setup.shared) as f64;
        match from {
            Source::Origin => self.out.copies += share,
            Source::Peer(p) => {
                let j = self.index(p);
                if self.setup.sites[i].0 != self.setup.sites[j].0 {
                    self.out.crossed += share;
                }
            }
        }
        self.publish(i, Event::Has(self.ids[i], vec![chunk]));
    }

    fn fail(&mut self, t: Transfer, fault: Fault) {
        let from = t.from.map_or(Source::Origin, |j| Source::Peer(self.ids[j]));
        self.post(Message::Notify(t.to, Event::Failed(t.chunk, from, fault)));
    }

    fn request(&mut self, t: Transfer) {
        let Some(j) = t.from else {
            if (self.setup.outage.0..self.setup.outage.1).contains(&self.now) {
                return self.fail(t, Fault::Lost);
            }
            return self.origin.push(t);
        };
        if self.setup.dead.contains(&j) {
            return self.fail(t, Fault::Lost);
        }
        if !self.held[j][t.chunk as usize] {
            return self.fail(t, Fault::Missing);
        }
        if self.active[j].len() < SLOTS {
            self.active[j].push(t);
        } else if self.queues[j].len() < QUEUE {
            self.queues[j].push_back(t);
        } else {
            self.out.busy += 1;
            self.fail(t, Fault::Busy);
        }
    }

    fn cancel(&mut self, t: Transfer) {
        let same = |u: &Transfer| u.to == t.to && u.chunk == t.chunk;
        match t.from {
            None => self.origin.retain(|u| !same(u)),
            Some(j) => {
                self.active[j].retain(|u| !same(u));
                self.queues[j].retain(|u| !same(u));
            }
        }
    }

    /// Transfers the bytes of one tick.
    fn transfer(&mut self) {
        let n = self.nodes.len();
        let budget = |rate: Rate| rate.0 as f64 * TICK as f64 / 1000.0;
        let mut up = vec![budget(self.setup.up); n + 1];
        up[n] = budget(self.setup.origin);
        if (self.setup.outage.0..self.setup.outage.1).contains(&self.now) {
            for t in std::mem::take(&mut self.origin) {
                self.fail(t, Fault::Lost);
            }
        }
        let mut down = vec![budget(HOST); n];
        let first = (self.now / TICK) as usize;
        for _ in 0..6 {
            for k in 0..=n {
                let j = (first + k) % (n + 1);
                let list = if j == n {
                    &mut self.origin
                } else {
                    &mut self.active[j]
                };
                let share = up[j] / list.len().max(1) as f64;
                for t in list.iter_mut() {
                    let bytes = share.min(down[t.to]).min(t.left);
                    t.left -= bytes;
                    up[j] -= bytes;
                    down[t.to] -= bytes;
                }
            }
        }
        for j in 0..=n {
            let list = if j == n {
                &mut self.origin
            } else {
                &mut self.active[j]
            };
            let mut done = Vec::new();
            list.retain(|t| {
                let open = t.left > 1e-6;
                if !open {
                    done.push(*t);
                }
                open
            });
            for t in done {
                let from = t.from.map_or(Source::Origin, |j| Source::Peer(self.ids[j]));
                self.post(Message::Notify(t.to, Event::Arrived(t.chunk, from)));
            }
            if j < n {
                self.promote(j);
            }
        }
    }

    fn promote(&mut self, j: usize) {
        while self.active[j].len() < SLOTS {
            let Some(t) = self.queues[j].pop_front() else {
                return;
            };
            self.active[j].push(t);
        }
        while self.queues[j]
            .front()
            .is_some_and(|t| t.asked + QUEUE_TIMEOUT < self.now)
        {
            let t = self.queues[j].pop_front().expect("checked above");
            self.out.busy += 1;
            self.fail(t, Fault::Busy);
        }
    }

    fn poll(&mut self, i: usize) {
        if self.wake[i] > self.now {
            return;
        }
        loop {
            let (chunk, from, start) = match self.nodes[i].poll(Millis(self.now)) {
                Action::Fetch(chunk, from) => (chunk, from, true),
                Action::Cancel(chunk, from) => (chunk, from, false),
                Action::Wait(at) => {
                    self.wake[i] = at.0;
                    self.subscribe(i);
                    return;
                }
                Action::Done => {
                    self.wake[i] = u64::MAX;
                    return;
                }
            };
            let from = match from {
                Source::Origin => None,
                Source::Peer(p) => Some(self.index(p)),
            };
            let left = CHUNK.0 as f64;
            let asked = self.now;
            let t = Transfer {
                from,
                to: i,
                chunk,
                left,
                asked,
            };
            self.post(if start {
                Message::Request(t)
            } else {
                Message::Cancel(t)
            });
        }
    }
}
