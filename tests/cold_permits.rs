//! Permits keep the requests of all entries to a cold endpoint within its bound in any one second, and use most of its
//! rate; a model without a network, in which messages are late or lost.

use std::{cmp::Reverse, collections::BinaryHeap, net::SocketAddr};

use sesamewing::{
    base::{Millis, RequestRate},
    decide::cold::{ColdBound, PERMIT_LIFETIME},
    gateway::{EndpointId, Grant, Heartbeat, Issuers, Membership, PermitTerms, Status},
};

const START: Millis = Millis(1_000_000);
const WINDOW: Millis = Millis(1000);
const STEP: Millis = Millis(5);

/// Interval of the datagrams between entries.
const GOSSIP: Millis = Millis(250);

/// Time for which an entry waits for a reply to its request for a permit.
const REPLY_TIMEOUT: Millis = Millis(80);

/// Interval of the callers' requests at each entry, by the number of entries: some 60 a second in all, at most 20 at one.
fn pace(count: usize) -> Millis {
    Millis((count as u64 * 1000 / 60).max(50))
}

fn endpoint() -> EndpointId {
    "e".parse().expect("any text is an id")
}

fn peer(i: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (i / 250) as u8, (i % 250) as u8], 1))
}

fn index(at: SocketAddr) -> usize {
    let SocketAddr::V4(at) = at else {
        panic!("{at} is no address of the model");
    };
    let [.., high, low] = at.ip().octets();
    usize::from(high) * 250 + usize::from(low)
}

fn status(ready: bool) -> Status {
    Status {
        ready,
        ..Status::default()
    }
}

/// What arrives at an entry, or at the endpoint.
#[derive(Clone, Debug)]
enum Event {
    Heartbeats(Vec<Heartbeat>),
    Request {
        from: usize,
        sent: Millis,
    },
    Reply {
        asked: Millis,
        grant: Grant,
    },
    /// The connection to the endpoint is open; the request is sent if its permit is still valid.
    Open {
        until: Millis,
    },
}

/// One entry of the model.
struct Entry {
    members: Membership,
    issuers: Issuers,
    closed: Millis,
    /// When the request for a permit was sent that has no reply yet.
    asked: Option<Millis>,
    running: bool,
    ready: bool,
    /// Part of a partitioned network in which the entry is.
    part: usize,
    /// What arrived while the process did not run, with the times of arrival.
    held: Vec<(Millis, Event)>,
}

impl Entry {
    fn new(i: usize, boot: u64, now: Millis) -> Self {
        let me = Heartbeat {
            peer: peer(i),
            callers: peer(i),
            zone: format!("z{}", i % 3).parse().expect("a valid name"),
            boot,
            count: 0,
            status: status(true),
        };
        let mut members = Membership::new(me);
        members.next_heartbeats(status(true), now);
        Self {
            members,
            issuers: Issuers::default(),
            closed: Millis::ZERO,
            asked: None,
            running: true,
            ready: true,
            part: 0,
            held: Vec::new(),
        }
    }
}

/// A fleet of entries before one cold endpoint.
struct Model {
    entries: Vec<Entry>,
    /// Events under way: time of arrival, number, entry.
    due: BinaryHeap<Reverse<(Millis, usize, usize)>>,
    events: Vec<Option<Event>>,
    random: fastrand::Rng,
    rate: RequestRate,
    bound: ColdBound,
    now: Millis,
    arrived: Vec<Millis>,
}

impl Model {
    fn new(count: usize, rate: RequestRate, bound: ColdBound, seed: u64) -> Self {
        fastrand::seed(seed);
        let mut model = Self {
            entries: (0..count).map(|i| Entry::new(i, 1, START)).collect(),
            due: BinaryHeap::new(),
            events: Vec::new(),
            random: fastrand::Rng::with_seed(seed),
            rate,
            bound,
            now: START,
            arrived: Vec::new(),
        };
        for i in 0..count {
            for j in 0..count {
                let heartbeat = model.entries[j].members.me().clone();
                model.entries[i].members.merge(heartbeat, START);
            }
        }
        model
    }

    /// Sends an event from an entry to another one; one in 50 is lost, one in 20 is late.
    fn send(&mut self, from: usize, to: usize, event: Event) {
        if self.entries[from].part != self.entries[to].part {
            return;
        }
        let delay = match self.random.u32(0..100) {
            0..2 => return,
            2..7 => self.random.u64(100..900),
            _ => self.random.u64(1..25),
        };
        self.schedule(to, Millis(delay), event);
    }

    fn schedule(&mut self, to: usize, delay: Millis, event: Event) {
        let number = self.events.len();
        self.events.push(Some(event));
        self.due.push(Reverse((self.now + delay, number, to)));
    }

    fn gossip(&mut self, i: usize) {
        let now = self.now;
        let me = &mut self.entries[i];
        me.issuers.retain(|_| false, &me.members, now);
        let targets = me.members.gossip_targets(now);
        let heartbeats = me.members.next_heartbeats(status(me.ready), now);
        for target in targets {
            self.send(i, index(target), Event::Heartbeats(heartbeats.clone()));
        }
    }

    fn decide(&mut self, j: usize, from: usize) -> Grant {
        let terms = PermitTerms {
            limit: None,
            cold: Some(self.rate),
            bound: self.bound,
        };
        let issuer = &mut self.entries[j];
        let (members, hash) = (&issuer.members, endpoint().hash());
        issuer
            .issuers
            .decide(hash, terms, members, peer(from), self.now)
    }

    /// Asks for a permit for a request of a caller of entry `i`.
    fn request(&mut self, i: usize) {
        let now = self.now;
        let entry = &mut self.entries[i];
        if entry.asked.is_some_and(|at| now >= at + REPLY_TIMEOUT) {
            entry.asked = None;
            entry.closed = now + GOSSIP;
        }
        if entry.closed > now || entry.asked.is_some() {
            return;
        }
        let j = index(entry.members.issuer(endpoint().hash(), now));
        entry.asked = Some(now);
        if j == i {
            let grant = self.decide(i, i);
            self.receive(i, Event::Reply { asked: now, grant }, now);
        } else {
            self.send(i, j, Event::Request { from: i, sent: now });
        }
    }

    /// Handles an event that arrived at `at`.
    fn receive(&mut self, i: usize, event: Event, at: Millis) {
        let now = self.now;
        match event {
            Event::Heartbeats(heartbeats) => {
                let from = heartbeats[0].peer;
                let members = &mut self.entries[i].members;
                for heartbeat in heartbeats {
                    members.merge(heartbeat, now);
                }
                members.note_sender(from, now);
            }
            Event::Request { .. } if now >= at + REPLY_TIMEOUT => {}
            Event::Request { from, sent } => {
                let grant = self.decide(i, from);
                self.send(i, from, Event::Reply { asked: sent, grant });
            }
            Event::Reply { asked, grant } => {
                if self.entries[i].asked != Some(asked) || now >= asked + REPLY_TIMEOUT {
                    return;
                }
                self.entries[i].asked = None;
                match grant {
                    Grant::Granted => {
                        let until = asked + PERMIT_LIFETIME;
                        let delay = match self.random.u32(0..50) {
                            0 => self.random.u64(0..400),
                            _ => self.random.u64(0..4),
                        };
                        self.schedule(i, Millis(delay), Event::Open { until });
                    }
                    Grant::Denied { wait, .. } => self.entries[i].closed = now + wait,
                    Grant::NotIssuer => self.entries[i].closed = now + GOSSIP,
                }
            }
            Event::Open { until } => {
                if now < until {
                    self.arrived.push(now);
                }
            }
        }
    }

    fn deliver(&mut self) {
        while let Some(Reverse((at, number, to))) = self.due.peek().copied() {
            if at > self.now {
                return;
            }
            self.due.pop();
            let event = self.events[number].take().expect("an event arrives once");
            if self.entries[to].running {
                self.receive(to, event, at);
            } else {
                self.entries[to].held.push((at, event));
            }
        }
    }

    /// Freezes or resumes an entry; it handles then what arrived meanwhile.
    fn set_running(&mut self, i: usize, running: bool) {
        self.entries[i].running = running;
        for (at, event) in std::mem::take(&mut self.entries[i].held) {
            self.receive(i, event, at);
        }
    }

    fn run(&mut self, time: Millis) {
        let end = self.now + time;
        while self.now < end {
            self.deliver();
            let step = (self.now.0 / STEP.0) as usize;
            let per_gossip = (GOSSIP.0 / STEP.0) as usize;
            let per_request = (pace(self.entries.len()).0 / STEP.0) as usize;
            for i in 0..self.entries.len() {
                if !self.entries[i].running {
                    continue;
                }
                if (step + i * 7).is_multiple_of(per_gossip) {
                    self.gossip(i);
                }
                if (step + i * 11).is_multiple_of(per_request) {
                    self.request(i);
                }
            }
            self.now += STEP;
        }
    }

    /// Adds an entry that knows one other, its seed.
    fn join(&mut self, seed: usize) {
        let mut entry = Entry::new(self.entries.len(), self.now.0, self.now);
        let seed = self.entries[seed].members.me().clone();
        entry.members.merge(seed, self.now);
        self.entries.push(entry);
    }

    fn issuer(&self) -> usize {
        let entry = self.entries.iter().find(|e| e.running);
        let members = &entry.expect("an entry that runs").members;
        index(members.issuer(endpoint().hash(), self.now))
    }

    /// Returns the largest number of requests in any window.
    fn peak(&self) -> usize {
        let mut times = self.arrived.clone();
        times.sort_unstable();
        let after =
            |(i, from): (usize, &Millis)| times[i..].partition_point(|t| *t < *from + WINDOW);
        times.iter().enumerate().map(after).max().unwrap_or(0)
    }

    fn allowed(&self) -> f64 {
        f64::from(self.rate.0) / 1000.0 * self.bound.overage + self.bound.tolerance
    }

    fn assert_bound(&self, what: &str) {
        let (peak, allowed) = (self.peak(), self.allowed());
        let (count, rate) = (self.entries.len(), self.rate);
        println!(
            "{what}, {count} entries, cold rate {rate}: peak {peak} of {allowed}, {} in all",
            self.arrived.len()
        );
        assert!(
            peak as f64 <= allowed,
            "{what}, {count} entries, cold rate {rate}: {peak} requests in a second, {allowed} allowed"
        );
    }
}

const COUNTS: [usize; 4] = [1, 9, 48, 410];

/// Returns the number of runs at a size; the largest takes much longer.
fn seeds(count: usize) -> u64 {
    if count < 100 {
        4
    } else {
        2
    }
}

/// Cold rate and bounds of a deployment.
const RATE: RequestRate = RequestRate(17_000);
const BOUND: ColdBound = ColdBound {
    overage: 1.5,
    tolerance: 5.0,
};

/// Load pattern: callers send more than a cold endpoint tolerates, at every entry. Guards against a sum over the entries
/// above the bound at any size, and against an endpoint that gets less than nine tenths of what it tolerates.
#[test]
fn cold_rate_is_kept_and_used() {
    for count in COUNTS {
        for seed in 0..seeds(count) {
            let mut model = Model::new(count, RATE, BOUND, seed);
            model.run(Millis(3000));
            let before = model.arrived.len();
            model.run(Millis(20_000));
            model.assert_bound("steady");
            let used = (model.arrived.len() - before) as f64 / 20.0;
            println!("used {used}");
            assert!(used >= 0.9 * 17.0, "{count} entries: {used} a second");
        }
    }
}

/// Load pattern: entries join one after the other, and may become the issuer. Guards against a new issuer that grants
/// beside the one before it.
#[test]
fn joins_add_nothing() {
    for count in COUNTS {
        for seed in 0..seeds(count) {
            let mut model = Model::new(count, RATE, BOUND, seed);
            model.run(Millis(3000));
            for i in 0..8 {
                model.join(i % count);
                model.run(Millis(900));
            }
            model.run(Millis(6000));
            model.assert_bound("joins");
        }
    }
}

/// Load pattern: the issuer freezes, or stops as for a planned end, while callers go on. Guards against a successor, or a
/// resumed issuer, whose permits add to those of the other one.
#[test]
fn issuer_changes_add_nothing() {
    for count in [9, 48, 410] {
        for (seed, frozen) in [(0, 700), (1, 2000), (2, 3000), (3, 8000)] {
            let mut model = Model::new(count, RATE, BOUND, seed);
            model.run(Millis(3000));
            for _ in 0..3 {
                let issuer = model.issuer();
                model.set_running(issuer, false);
                model.run(Millis(frozen));
                model.set_running(issuer, true);
                model.run(Millis(2500));
                let issuer = model.issuer();
                model.entries[issuer].ready = false;
                model.run(Millis(2500));
                model.entries[issuer].ready = true;
                model.run(Millis(2500));
            }
            model.assert_bound("issuer changes");
        }
    }
}

/// Load pattern: the network is cut in two while callers go on at both sides. Guards against parts that each use the whole
/// rate, and against issuers of both parts that go on beside each other when the cut ends.
#[test]
fn partitions_share_the_cold_rate() {
    for (count, cut) in [(9, 1), (9, 4), (48, 16), (48, 24)] {
        for seed in 0..2 {
            let mut model = Model::new(count, RATE, BOUND, seed);
            model.run(Millis(3000));
            for i in 0..cut {
                model.entries[i].part = 1;
            }
            model.run(Millis(9000));
            for entry in &mut model.entries {
                entry.part = 0;
            }
            model.run(Millis(6000));
            model.assert_bound("partition");
        }
    }
}

/// Load pattern: as in calm, without bounds in the settings. Guards against more requests in any one second than the cold
/// rate itself, and against an endpoint that is starved for it.
#[test]
fn the_rate_itself_is_kept_without_bounds() {
    for count in [1, 9, 48] {
        let mut model = Model::new(count, RATE, ColdBound::default(), 0);
        model.run(Millis(20_000));
        model.assert_bound("no bounds");
        let used = model.arrived.len() as f64 / 20.0;
        assert!(used >= 0.4 * 17.0, "{count} entries: {used} a second");
    }
}
