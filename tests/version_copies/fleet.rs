//! Simulation in virtual time of the agents of three regions that copy two versions of a model in succession.
//!
//! Time advances in ticks. In each tick the origin's link divides its bytes among its transfers; a host sends one chunk after
//! another, as its pacer does, and receives from the origin what the origin sends, because only transfers from hosts wait for
//! the pacer of downloads. A message takes one tick, and a report of held chunks the time for which a host collects them.

use std::collections::VecDeque;

use sesamewing::{
    base::{Digest, Millis, Rate},
    decide::chunk::{
        Action, Config, Event, Fault, Member, PeerId, Proximity, Requester, Scheduler, Source,
        Topology, Upload,
    },
    settings::Prefer,
};

use crate::setup::{Choice, Outcome, Setup, CHUNK, CHUNKS, END, HOST, REGIONS};

/// Rate of the origin's link: 4.38 Mbit/s.
const ORIGIN: Rate = Rate(547_500);

/// Length of a tick in milliseconds.
const TICK: u64 = 4;
/// Delay in milliseconds of reports of held chunks.
const COALESCE: u64 = 15;

#[derive(Clone, Copy, Debug)]
struct Transfer {
    /// Sending host, or `None` for the origin.
    from: Option<usize>,
    to: usize,
    version: usize,
    chunk: u32,
    left: f64,
    asked: u64,
    upload: Upload,
}

enum Message {
    Request(Transfer),
    Cancel(Transfer),
    Notify(usize, usize, Event),
}

struct Host {
    /// Version that is being copied or was copied last.
    copying: Option<usize>,
    /// Whether that copy is complete.
    complete: bool,
    scheduler: Option<Scheduler>,
    held: [Vec<bool>; 2],
    following: Vec<PeerId>,
    wake: u64,
    /// By version: whether the host completes it before others.
    first: [bool; 2],
    /// Transfers that this host sends.
    active: Vec<Transfer>,
    /// Requests that wait for their chunk.
    waiting: Vec<Transfer>,
}

pub(crate) struct Fleet {
    setup: Setup,
    ids: Vec<PeerId>,
    hosts: Vec<Host>,
    origin: Vec<Transfer>,
    mail: VecDeque<(u64, Message)>,
    late: VecDeque<(u64, Message)>,
    out: Outcome,
    now: u64,
}

fn id(i: usize) -> PeerId {
    PeerId::from(&format!("agent-{i}").parse().expect("a valid name"))
}

fn digest(chunk: usize, version: usize, seed: u64) -> Digest {
    Digest::of(format!("{seed} {version} {chunk}").as_bytes())
}

fn proximity(own: usize, other: usize) -> Proximity {
    match (own, other) {
        _ if own == other => Proximity::Zone,
        (_, 0) => Proximity::Store,
        _ => Proximity::Remote,
    }
}

fn topology(ids: &[PeerId], i: usize) -> Topology {
    let members = ids.iter().enumerate().map(|(j, &id)| Member {
        id,
        proximity: proximity(i % REGIONS, j % REGIONS),
    });
    Topology::new(ids[i], members.collect())
}

fn scheduler(setup: &Setup, ids: &[PeerId], i: usize, version: usize) -> Scheduler {
    let mut config = Config::new(Prefer::Origin, CHUNK, Rate(912_500));
    config.stall_timeout = Millis(900);
    config.report_wait = Millis(150);
    config.backoff = Millis(150);
    config.backoff_max = setup.agent.backoff_max;
    config.seed_window = 10;
    config.origin_requests = setup.agent.origin_requests;
    config.leaders = setup.agent.leaders;
    let topology = topology(ids, i);
    let chunks = (0..CHUNKS).map(|c| digest(c, version, setup.seed));
    let manifest = digest(CHUNKS, version, setup.seed);
    let seed = setup.seed * 1000 + i as u64;
    Scheduler::new(config, manifest, chunks.collect(), topology, seed)
}

/// Transfers at most `share` bytes from a link with `up` bytes left, as far as the receiver's link has bytes left.
fn send(t: &mut Transfer, share: f64, up: &mut f64, down: &mut [f64]) {
    let bytes = share.min(*up).min(down[t.to]).min(t.left);
    t.left -= bytes;
    *up -= bytes;
    down[t.to] -= bytes;
}

impl Fleet {
    pub(crate) fn new(setup: Setup) -> Self {
        let ids: Vec<_> = (0..setup.hosts).map(id).collect();
        let host = |i| Host {
            copying: None,
            complete: false,
            scheduler: None,
            held: [vec![false; CHUNKS], vec![false; CHUNKS]],
            following: Vec::new(),
            wake: u64::MAX,
            first: [0, 1].map(|v| {
                let manifest = digest(CHUNKS, v, setup.seed);
                topology(&ids, i).completes_first(&manifest)
            }),
            active: Vec::new(),
            waiting: Vec::new(),
        };
        Self {
            hosts: (0..setup.hosts).map(host).collect(),
            ids,
            origin: Vec::new(),
            mail: VecDeque::new(),
            late: VecDeque::new(),
            out: Outcome::default(),
            now: 0,
            setup,
        }
    }

    /// Runs until all hosts hold the newer version.
    pub(crate) fn run(mut self) -> Outcome {
        while self.now < END && self.out.complete[1].len() < self.hosts.len() {
            self.now += TICK;
            self.deliver();
            self.expire();
            self.transfer();
            for i in 0..self.hosts.len() {
                self.choose(i);
                self.poll(i);
            }
        }
        self.out
    }

    /// Begins the copy of the version that the host should copy now.
    fn choose(&mut self, i: usize) {
        let named = |v: usize| self.setup.named[v] <= self.now;
        let copying = self.hosts[i].copying;
        let next = match copying {
            None if named(1) => 1,
            None if named(0) => 0,
            Some(0) if named(1) && !self.finishes(i) => 1,
            _ => return,
        };
        if copying.is_some() {
            self.abandon(i);
        }
        let scheduler = scheduler(&self.setup, &self.ids, i, next);
        let host = &mut self.hosts[i];
        host.copying = Some(next);
        host.complete = false;
        host.scheduler = Some(scheduler);
        host.following.clear();
        host.wake = 0;
    }

    fn finishes(&self, i: usize) -> bool {
        let host = &self.hosts[i];
        if host.complete {
            return false;
        }
        let scheduler = host.scheduler.as_ref().expect("it copies");
        (self.setup.agent.finishes)(Choice {
            now: Millis(self.now),
            named: self.setup.named.map(Millis),
            held: scheduler.held().count(),
            known: scheduler.known(),
        })
    }

    /// Ends the transfers of a copy that is given up.
    fn abandon(&mut self, i: usize) {
        self.origin.retain(|t| t.to != i);
        for host in &mut self.hosts {
            host.active.retain(|t| t.to != i);
            host.waiting.retain(|t| t.to != i);
        }
        self.mail
            .retain(|m| !matches!(&m.1, Message::Request(t) if t.to == i));
        if !self.setup.agent.keeps {
            self.hosts[i].held[0].fill(false);
        }
    }

    fn index(&self, peer: PeerId) -> usize {
        let found = self.ids.iter().position(|&id| id == peer);
        found.expect("a member")
    }

    fn post(&mut self, message: Message) {
        self.mail.push_back((self.now + TICK, message));
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
                    Message::Notify(i, version, event) => self.notify(i, version, event),
                }
            }
        }
    }

    fn notify(&mut self, i: usize, version: usize, event: Event) {
        if self.hosts[i].copying != Some(version) {
            return;
        }
        if let Event::Arrived(chunk, from) = event {
            self.arrived(i, version, chunk, from);
        }
        let host = &mut self.hosts[i];
        if let Some(scheduler) = &mut host.scheduler {
            scheduler.handle(Millis(self.now), event);
        }
        host.wake = 0;
    }

    fn arrived(&mut self, i: usize, version: usize, chunk: u32, from: Source) {
        self.hosts[i].held[version][chunk as usize] = true;
        if from == Source::Origin {
            self.out.copies += 1.0 / CHUNKS as f64;
            let known = |h: &Host| h.held[1][chunk as usize];
            if version == 1 && self.hosts.iter().filter(|h| known(h)).count() == 1 {
                self.out.last = self.now;
            }
        }
        let me = self.ids[i];
        for j in 0..self.hosts.len() {
            let host = &self.hosts[j];
            if host.copying == Some(version) && host.following.contains(&me) {
                let event = Event::Has(me, vec![chunk]);
                let message = Message::Notify(j, version, event);
                self.late.push_back((self.now + COALESCE, message));
            }
        }
        let waiting = std::mem::take(&mut self.hosts[i].waiting);
        let (ready, rest) = waiting
            .into_iter()
            .partition(|t| t.version == version && t.chunk == chunk);
        self.hosts[i].waiting = rest;
        for t in ready {
            self.request(t);
        }
    }

    fn fail(&mut self, t: Transfer, fault: Fault) {
        let from = t.from.map_or(Source::Origin, |j| Source::Peer(self.ids[j]));
        let event = Event::Failed(t.chunk, from, fault);
        self.post(Message::Notify(t.to, t.version, event));
    }

    fn is_away(&self) -> bool {
        (self.setup.outage.0..self.setup.outage.1).contains(&self.now)
    }

    fn request(&mut self, mut t: Transfer) {
        let Some(j) = t.from else {
            if self.is_away() {
                return self.fail(t, Fault::Lost);
            }
            return self.origin.push(t);
        };
        if !self.hosts[j].held[t.version][t.chunk as usize] {
            if self.setup.agent.chunk_wait > 0 && j % REGIONS != t.to % REGIONS {
                return self.hosts[j].waiting.push(t);
            }
            self.out.missing += 1;
            return self.fail(t, Fault::Missing);
        }
        let other_region = j % REGIONS != t.to % REGIONS;
        t.upload = Upload {
            requester: match self.hosts[t.to].first[t.version] {
                _ if !self.setup.agent.ordered => Requester::Other,
                _ if other_region => Requester::Region,
                true => Requester::First,
                false => Requester::Other,
            },
            since: Millis(self.now),
        };
        if self.hosts[j].active.len() < self.setup.agent.uploads {
            self.hosts[j].active.push(t);
        } else {
            self.fail(t, Fault::Busy);
        }
    }

    /// Rejects requests that have waited too long for their chunk.
    fn expire(&mut self) {
        for j in 0..self.hosts.len() {
            let late = |t: &Transfer| t.asked + self.setup.agent.chunk_wait <= self.now;
            let waiting = std::mem::take(&mut self.hosts[j].waiting);
            let (gone, rest): (Vec<_>, Vec<_>) = waiting.into_iter().partition(late);
            self.hosts[j].waiting = rest;
            for t in gone {
                self.out.missing += 1;
                self.fail(t, Fault::Missing);
            }
        }
    }

    fn cancel(&mut self, t: Transfer) {
        let same = |u: &Transfer| u.to == t.to && u.chunk == t.chunk && u.version == t.version;
        match t.from {
            None => self.origin.retain(|u| !same(u)),
            Some(j) => {
                self.hosts[j].active.retain(|u| !same(u));
                self.hosts[j].waiting.retain(|u| !same(u));
            }
        }
    }

    /// Transfers the bytes of one tick.
    fn transfer(&mut self) {
        let n = self.hosts.len();
        let budget = |rate: Rate| rate.0 as f64 * TICK as f64 / 1000.0;
        let mut up = vec![budget(HOST); n + 1];
        up[n] = budget(ORIGIN);
        if self.is_away() {
            for t in std::mem::take(&mut self.origin) {
                self.fail(t, Fault::Lost);
            }
        }
        let mut down = vec![budget(HOST); n];
        let first = (self.now / TICK) as usize;
        let now = Millis(self.now);
        for round in 0..4 {
            let share = up[n] / self.origin.len().max(1) as f64;
            for t in &mut self.origin {
                send(t, share, &mut up[n], &mut down);
            }
            for k in 0..n {
                let j = (first + k) % n;
                let list = &mut self.hosts[j].active;
                if round == 0 {
                    list.sort_by_key(|t| t.upload.precedence(now));
                }
                for t in list {
                    send(t, f64::MAX, &mut up[j], &mut down);
                }
            }
        }
        for j in 0..=n {
            let list = match self.hosts.get_mut(j) {
                Some(host) => &mut host.active,
                None => &mut self.origin,
            };
            let done: Vec<_> = list.iter().filter(|t| t.left <= 1e-6).copied().collect();
            list.retain(|t| t.left > 1e-6);
            for t in done {
                let from = t.from.map_or(Source::Origin, |j| Source::Peer(self.ids[j]));
                let event = Event::Arrived(t.chunk, from);
                self.post(Message::Notify(t.to, t.version, event));
            }
        }
    }

    /// Subscribes a host to exactly its neighbours that copy the version or keep it.
    fn subscribe(&mut self, i: usize, version: usize) {
        let scheduler = self.hosts[i].scheduler.as_ref().expect("it copies");
        let peers: Vec<_> = scheduler.neighbours().collect();
        let old = std::mem::replace(&mut self.hosts[i].following, peers.clone());
        for &peer in peers.iter().filter(|p| !old.contains(p)) {
            let j = self.index(peer);
            let held = self.hosts[j].held[version].iter().enumerate();
            let has = held.filter(|(_, h)| **h).map(|(c, _)| c as u32).collect();
            self.post(Message::Notify(i, version, Event::Has(peer, has)));
        }
    }

    fn poll(&mut self, i: usize) {
        let Some(version) = self.hosts[i].copying else {
            return;
        };
        if self.hosts[i].wake > self.now || self.hosts[i].complete {
            return;
        }
        loop {
            let scheduler = self.hosts[i].scheduler.as_mut().expect("it copies");
            let (chunk, from, start) = match scheduler.poll(Millis(self.now)) {
                Action::Fetch(chunk, from) => (chunk, from, true),
                Action::Cancel(chunk, from) => (chunk, from, false),
                Action::Wait(at) => {
                    self.hosts[i].wake = at.0;
                    return self.subscribe(i, version);
                }
                Action::Done => {
                    self.hosts[i].complete = true;
                    return self.out.complete[version].push((self.now, i % REGIONS));
                }
            };
            let from = match from {
                Source::Origin => None,
                Source::Peer(p) => Some(self.index(p)),
            };
            let t = Transfer {
                from,
                to: i,
                version,
                chunk,
                left: CHUNK.0 as f64,
                asked: self.now,
                upload: Upload {
                    requester: Requester::Other,
                    since: Millis(self.now),
                },
            };
            self.post(if start {
                Message::Request(t)
            } else {
                Message::Cancel(t)
            });
        }
    }
}
