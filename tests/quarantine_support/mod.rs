//! A model of entries before endpoints that end when they answer requests with certain parts; without a network.
#![allow(dead_code, unreachable_pub)]

mod entry;

use std::net::SocketAddr;

pub use entry::{peer, status, Entry};
use sesamewing::{
    base::{HashMap, Millis, Service},
    decide::quarantine::{EndId, Generation, PartId, PartKey, ProbeGrant, Strength, Verdict},
};

pub const START: Millis = Millis(1_000_000);

/// Step of the model's time.
pub const STEP: Millis = Millis(10);

/// Interval of the datagrams between entries, and of those about changes.
pub const GOSSIP: Millis = Millis(250);
pub const NEWS: Millis = Millis(40);

/// Interval of the heartbeats.
pub const HEARTBEAT: Millis = Millis(1000);

/// Time after which a caller whose request failed returns once.
pub const RETURN: Millis = Millis(300);

/// Time for which an endpoint is away after its end.
pub const AWAY: Millis = Millis(3000);

/// Duration of an answer from its first event.
pub const ANSWER: Millis = Millis(800);

/// Time after the fifth end from which on requests with the part must be kept from endpoints, and how many may reach
/// them nevertheless.
pub const STABLE: Millis = Millis(3000);
pub const ALLOWED: usize = 3;

/// Number of parts with which sound requests begin, and of those that one request a second or more holds.
pub const BEGINNINGS: u64 = 60;
pub const FREQUENT: u64 = 40;

/// Parts that end endpoints in some test.
pub const DEADLY: PartId = PartId(0xdead);
pub const SECOND: PartId = PartId(0xdeae);

/// Longest time for which a sound part that is requested often may be quarantined: requests must be served as usual from
/// this time on after the last end.
pub const WRONGLY: Millis = STABLE.times(2);

pub fn key(part: PartId) -> PartKey {
    let service: Service = "pool".parse().expect("a valid name");
    PartKey::new(&service, part)
}

/// A request at an endpoint.
pub struct Request {
    pub entry: usize,
    pub endpoint: usize,
    pub parts: Vec<PartKey>,
    pub known: Vec<Generation>,
    /// Time at which its answer begins.
    pub begins: Millis,
    /// Generations at the first event; `None` before it.
    pub answered: Option<Vec<Generation>>,
    /// Whether the answer was recorded.
    pub recorded: bool,
    pub attempts: u32,
    /// Whether the caller has returned before.
    pub returned: bool,
    pub probe: bool,
}

/// A fleet of entries before a fleet of endpoints.
pub struct Model {
    pub now: Millis,
    pub entries: Vec<Entry>,
    /// Time until which each endpoint is away, and its number of starts.
    pub endpoints: Vec<(Millis, u32)>,
    pub requests: Vec<Request>,
    /// Callers that return: when, and with which parts.
    pub returning: Vec<(Millis, Vec<PartKey>)>,
    /// Parts that end endpoints now.
    pub deadly: Vec<PartKey>,
    /// Share of the requests with each of [`DEADLY`] and [`SECOND`], in thousandths.
    pub shares: Vec<(PartId, u32)>,
    /// Requests in a step, in thousandths.
    pub rate: u32,
    /// Time from the arrival of a request to its answer.
    pub queue: Millis,
    /// Whether the head of a response arrives before its first event.
    pub early_head: bool,
    /// Number of further parts that callers invent.
    pub invented: u32,
    /// Ends by deadly parts, and arrivals of requests with such parts.
    pub ends: Vec<(Millis, PartKey)>,
    pub arrivals: Vec<(Millis, PartKey)>,
    /// Sound requests that were judged, and those that were rejected.
    pub judged: usize,
    pub rejected: usize,
    /// Time since which each sound part is quarantined at each entry, and the longest such time.
    pub wrong: HashMap<(usize, PartKey), Millis>,
    pub longest: Millis,
    pub random: fastrand::Rng,
}

impl Model {
    pub fn new(entries: usize, shares: &[(PartId, u32)]) -> Self {
        // The choice of gossip targets draws from the thread's generator.
        fastrand::seed(entries as u64);
        let mut model = Self {
            now: START,
            entries: (0..entries).map(|i| Entry::new(i, 1, START)).collect(),
            endpoints: vec![(Millis::ZERO, 0); 60],
            requests: Vec::new(),
            returning: Vec::new(),
            deadly: vec![key(DEADLY), key(SECOND)],
            shares: shares.to_vec(),
            rate: 3000,
            queue: Millis(120),
            early_head: true,
            invented: 0,
            ends: Vec::new(),
            arrivals: Vec::new(),
            judged: 0,
            rejected: 0,
            wrong: HashMap::default(),
            longest: Millis::ZERO,
            random: fastrand::Rng::with_seed(7 + entries as u64),
        };
        model.beat();
        // Entries have run for some time before the first request with a deadly part.
        let shares = std::mem::take(&mut model.shares);
        model.run(Millis(4000));
        model.shares = shares;
        model
    }

    pub fn reachable(&self, i: usize, j: usize) -> bool {
        self.entries[i].side == self.entries[j].side
    }

    pub fn is_running(&self, i: usize) -> bool {
        self.entries[i].frozen <= self.now
    }

    /// Exchanges heartbeats among all entries.
    pub fn beat(&mut self) {
        for i in 0..self.entries.len() {
            if !self.is_running(i) {
                continue;
            }
            let beats = self.entries[i].members.next_heartbeats(status(), self.now);
            for j in 0..self.entries.len() {
                if i != j && self.reachable(i, j) {
                    let members = &mut self.entries[j].members;
                    members.merge(beats[0].clone(), self.now);
                }
            }
        }
    }

    pub fn send(&mut self, i: usize, targets: Vec<SocketAddr>) {
        let reports = self.entries[i].quarantine.reports(self.now);
        if reports.is_empty() {
            return;
        }
        for target in targets {
            let SocketAddr::V4(at) = target else { continue };
            let [.., high, low] = at.ip().octets();
            let j = usize::from(high) * 250 + usize::from(low);
            // One datagram in twenty is lost.
            if !self.reachable(i, j) || self.random.u32(0..20) == 0 {
                continue;
            }
            if !self.is_running(j) {
                self.entries[j].inbox.extend(reports.clone());
                continue;
            }
            for report in &reports {
                self.entries[j].quarantine.merge(report, self.now);
            }
        }
    }

    pub fn gossip(&mut self) {
        let step = (self.now.0 / STEP.0) as usize;
        for i in 0..self.entries.len() {
            if !self.is_running(i) {
                continue;
            }
            let now = self.now;
            let entry = &mut self.entries[i];
            for report in std::mem::take(&mut entry.inbox) {
                entry.quarantine.merge(&report, now);
            }
            if (step + i).is_multiple_of((GOSSIP.0 / STEP.0) as usize) {
                entry.quarantine.expire(now);
                let targets = entry.members.gossip_targets(now);
                self.send(i, targets);
            } else if now >= entry.told + NEWS && entry.quarantine.has_news(NEWS, now) {
                entry.told = now;
                let targets = entry.members.random_targets(now);
                self.send(i, targets);
            }
        }
    }

    /// Judges a request at an entry; returns whether it may be sent, and whether as a probe.
    pub fn admit(&mut self, i: usize, parts: &[PartKey]) -> Option<bool> {
        let now = self.now;
        let sound = !self.is_deadly(parts);
        self.judged += usize::from(sound);
        let verdict = self.entries[i].quarantine.judge(parts, now);
        let admitted = match verdict {
            Verdict::Allowed => Some(false),
            Verdict::Quarantined { .. } => None,
            Verdict::ProbeDue(part) => self.ask(i, part).then_some(true),
        };
        self.rejected += usize::from(sound && admitted.is_none());
        admitted
    }

    /// Asks the entry that grants probes of a part.
    pub fn ask(&mut self, i: usize, part: PartKey) -> bool {
        let now = self.now;
        let coordinator = self.entries[i].members.coordinator(part.rank(), now);
        let Some(j) = (0..self.entries.len()).find(|j| peer(*j) == coordinator) else {
            return false;
        };
        let mut wait = GOSSIP;
        let view = self.entries[j].members.coordinator(part.rank(), now);
        if self.reachable(i, j) && self.is_running(j) && view == coordinator {
            if let Some(report) = self.entries[i].quarantine.report(part) {
                self.entries[j].quarantine.merge(&report, now);
            }
            match self.entries[j].quarantine.grant_probe(part, now) {
                ProbeGrant::Granted => {
                    if i != j {
                        self.entries[i].quarantine.note_granted(part, now);
                    }
                    return true;
                }
                ProbeGrant::Denied { wait: time } => wait = time,
                ProbeGrant::NotQuarantined => {}
            }
        }
        self.entries[i].quarantine.postpone_probe(part, now + wait);
        false
    }

    pub fn is_deadly(&self, parts: &[PartKey]) -> bool {
        parts.iter().any(|p| self.deadly.contains(p))
    }

    /// Sends a request of an entry to some endpoint, if it may.
    pub fn request(&mut self, i: usize, parts: Vec<PartKey>, attempts: u32, returned: bool) {
        if !self.is_running(i) {
            return;
        }
        let up: Vec<_> = (0..self.endpoints.len())
            .filter(|e| self.endpoints[*e].0 <= self.now)
            .collect();
        if up.is_empty() {
            return;
        }
        let Some(probe) = self.admit(i, &parts) else {
            return;
        };
        let endpoint = up[self.random.usize(..up.len())];
        for part in parts.iter().filter(|p| self.deadly.contains(p)) {
            self.arrivals.push((self.now, *part));
        }
        let wait = self.random.u64(self.queue.0 / 2..self.queue.0 * 3 / 2);
        self.requests.push(Request {
            entry: i,
            endpoint,
            known: self.entries[i].quarantine.generations(&parts),
            parts,
            begins: self.now + Millis(wait),
            answered: None,
            recorded: false,
            attempts,
            returned,
            probe,
        });
    }

    /// Ends an endpoint with all its requests, which their entries send elsewhere once.
    pub fn end(&mut self, endpoint: usize) {
        let boot = self.endpoints[endpoint].1;
        self.endpoints[endpoint] = (self.now + AWAY, boot + 1);
        let id = EndId((endpoint as u32) << 16 | boot);
        let (lost, kept) = std::mem::take(&mut self.requests)
            .into_iter()
            .partition(|r| r.endpoint == endpoint);
        self.requests = kept;
        let lost: Vec<Request> = lost;
        for r in &lost {
            let begun = r.begins <= self.now && self.early_head;
            let strength = match r.answered {
                None if begun => Strength::Strong,
                None => Strength::Weak,
                Some(_) if !r.recorded => Strength::Weak,
                Some(_) => continue,
            };
            let now = self.now;
            let quarantine = &mut self.entries[r.entry].quarantine;
            quarantine.record_end(id, &r.parts, &r.known, strength, now.0, now);
            if r.probe {
                quarantine.record_failed_probe(&r.parts, now);
            }
        }
        for r in lost {
            if r.attempts < 2 {
                self.request(r.entry, r.parts, r.attempts + 1, r.returned);
            } else if !r.returned {
                self.returning.push((self.now + RETURN, r.parts));
            }
        }
    }

    /// Advances the answers of all requests.
    pub fn answer(&mut self) {
        let now = self.now;
        let mut ended = Vec::new();
        for r in &mut self.requests {
            if now < r.begins + STEP {
                continue;
            }
            if let Some(part) = r.parts.iter().find(|p| self.deadly.contains(p)) {
                ended.push((r.endpoint, *part));
                continue;
            }
            let entry = &mut self.entries[r.entry];
            if entry.frozen > now {
                continue;
            }
            let quarantine = &mut entry.quarantine;
            if r.answered.is_none() {
                r.answered = Some(quarantine.generations(&r.parts));
            } else if !r.recorded && now >= r.begins + STEP.times(3) {
                let known = r.answered.as_deref().unwrap_or_default();
                quarantine.record_served(&r.parts, known, now);
                r.recorded = true;
            }
        }
        self.requests.retain(|r| now < r.begins + ANSWER);
        for (endpoint, part) in ended {
            if self.endpoints[endpoint].0 <= now {
                self.ends.push((now, part));
                self.end(endpoint);
            }
        }
        // Requests in flight with a condemned part are cancelled.
        let entries = &self.entries;
        self.requests.retain(|r| {
            r.probe || r.answered.is_some() || !entries[r.entry].quarantine.condemns(&r.parts)
        });
    }

    /// Makes the requests of one step.
    pub fn callers(&mut self) {
        let due: Vec<_> = self
            .returning
            .iter()
            .filter(|r| r.0 <= self.now)
            .map(|r| r.1.clone())
            .collect();
        self.returning.retain(|r| r.0 > self.now);
        for parts in due {
            let i = self.random.usize(..self.entries.len());
            self.request(i, parts, 1, true);
        }
        let count = self.rate / 1000 + u32::from(self.random.u32(..1000) < self.rate % 1000);
        for _ in 0..count {
            let mut draw = self.random.u32(..1000);
            let mut added = None;
            for (part, share) in &self.shares {
                if draw < *share {
                    added = Some(key(*part));
                    break;
                }
                draw -= share;
            }
            // Few beginnings are frequent, the others rare.
            let rank = self.random.u64(..BEGINNINGS) * self.random.u64(..BEGINNINGS) / BEGINNINGS;
            let beginning = if added.is_some() { 0 } else { rank };
            let mut parts = vec![key(PartId(1 + beginning))];
            parts.extend(added);
            for _ in 0..self.invented {
                parts.push(key(PartId(self.random.u64(1 << 32..))));
            }
            let i = self.random.usize(..self.entries.len());
            self.request(i, parts, 1, false);
        }
    }

    /// Notes for how long sound parts have been quarantined while any endpoint could answer. Rare ones stay so until the
    /// next request with them.
    pub fn watch(&mut self) {
        if self.endpoints.iter().all(|e| e.0 > self.now) {
            self.wrong.clear();
        }
        let parts = (0..FREQUENT).map(|b| key(PartId(1 + b)));
        let parts: Vec<_> = parts.chain([key(DEADLY)]).collect();
        for (i, entry) in self.entries.iter().enumerate() {
            for part in parts.iter().filter(|p| !self.deadly.contains(p)) {
                if !entry.quarantine.is_quarantined(*part) || entry.frozen > self.now {
                    self.wrong.remove(&(i, *part));
                    continue;
                }
                let since = *self.wrong.entry((i, *part)).or_insert(self.now);
                self.longest = self.longest.max(self.now - since);
            }
        }
    }

    pub fn run(&mut self, time: Millis) {
        let end = self.now + time;
        while self.now < end {
            if self.now.0.is_multiple_of(HEARTBEAT.0) {
                self.beat();
            }
            self.gossip();
            self.answer();
            self.callers();
            if self.now.0.is_multiple_of(100) {
                self.watch();
            }
            self.now += STEP;
        }
    }

    /// Returns the arrivals of requests with a part after the time at which they must have stopped.
    pub fn late(&self, part: PartId) -> usize {
        let mut ends = self.ends.iter().filter(|e| e.1 == key(part));
        let Some((fifth, _)) = ends.nth(4) else {
            return 0;
        };
        let late = |a: &&(Millis, PartKey)| a.1 == key(part) && a.0 > *fifth + STABLE;
        self.arrivals.iter().filter(late).count()
    }

    pub fn assert_kept(&self, what: &str) {
        let count = self.entries.len();
        let ends = self.ends.len();
        for (part, _) in &self.shares {
            let late = self.late(*part);
            assert!(
                late <= ALLOWED,
                "{what}, {count} entries: {late} late requests with {part}, {ends} ends"
            );
        }
        assert!(
            self.rejected * 50 <= self.judged,
            "{what}, {count} entries: {} of {} sound requests rejected",
            self.rejected,
            self.judged
        );
        assert!(
            self.longest <= WRONGLY,
            "{what}, {count} entries: a sound part was quarantined for {}",
            self.longest
        );
    }
}
