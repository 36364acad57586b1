//! Permits keep the sum of the requests of all entries below an endpoint's limit, for any number of entries and while
//! entries join, restart, freeze and are cut off; a model without a network.

use std::net::SocketAddr;

use assert_matches::assert_matches;
use sesamewing::{
    base::{Millis, RequestRate},
    decide::permit::{Fleet, PermitDecision, PermitIssuer},
    gateway::{
        EndpointId, Grant, Heartbeat, Issuers, LimitReport, Limits, Membership, Observation, Status,
    },
};

const START: Millis = Millis(1_000_000);
const WINDOW: Millis = Millis(4000);

/// Step of the model's time.
const STEP: Millis = Millis(10);

/// Interval of the datagrams between entries.
const GOSSIP: Millis = Millis(250);

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

fn status() -> Status {
    Status {
        ready: true,
        ..Status::default()
    }
}

/// One entry of the model.
struct Entry {
    members: Membership,
    limits: Limits,
    issuers: Issuers,
    /// Time until which the endpoint is closed for the entry.
    closed: Millis,
    /// Whether the entry's process runs.
    running: bool,
    /// Part of a partitioned network in which the entry is.
    part: usize,
}

impl Entry {
    fn new(i: usize, boot: u64, now: Millis) -> Self {
        let me = Heartbeat {
            peer: peer(i),
            callers: peer(i),
            zone: format!("z{}", i % 4).parse().expect("a valid name"),
            boot,
            count: 0,
            status: status(),
        };
        let mut members = Membership::new(me);
        members.next_heartbeats(status(), now);
        Self {
            members,
            limits: Limits::default(),
            issuers: Issuers::default(),
            closed: Millis::ZERO,
            running: true,
            part: 0,
        }
    }
}

/// A fleet of entries before one endpoint.
struct Model {
    entries: Vec<Entry>,
    /// Limit that the endpoint names in its responses.
    rate: Option<RequestRate>,
    now: Millis,
    /// Times of the requests that reached the endpoint after the entries had learned of the limit.
    arrived: Vec<Millis>,
    /// Requests for permits that reached an issuer.
    asked: usize,
    /// Steps between two requests of the callers of one entry.
    pace: usize,
}

impl Model {
    fn new(count: usize, rate: RequestRate) -> Self {
        let mut model = Self {
            entries: (0..count).map(|i| Entry::new(i, 1, START)).collect(),
            rate: Some(rate),
            now: START,
            arrived: Vec::new(),
            asked: 0,
            pace: 3.max(count / 14),
        };
        // Entries know each other before the endpoint names its limit.
        for i in 0..count {
            for j in 0..count {
                let heartbeat = model.entries[j].members.me().clone();
                model.entries[i].members.merge(heartbeat, START);
            }
        }
        model
    }

    fn reachable(&self, i: usize, j: usize) -> bool {
        self.entries[j].running && self.entries[i].part == self.entries[j].part
    }

    fn gossip(&mut self, i: usize) {
        let now = self.now;
        let me = &mut self.entries[i];
        let targets = me.members.gossip_targets(now);
        let heartbeats = me.members.next_heartbeats(status(), now);
        let reports = me.limits.reports(now);
        for target in targets {
            let j = index(target);
            if !self.reachable(i, j) {
                continue;
            }
            let other = &mut self.entries[j];
            for heartbeat in &heartbeats {
                other.members.merge(heartbeat.clone(), now);
            }
            for report in &reports {
                other.limits.merge(report, now);
            }
            other.members.note_sender(peer(i), now);
        }
    }

    /// Asks the issuer that entry `i` knows; `None` if it cannot be reached.
    fn ask(&mut self, i: usize) -> Option<Grant> {
        let now = self.now;
        let j = index(self.entries[i].members.issuer(endpoint().hash(), now));
        if !self.reachable(i, j) {
            return None;
        }
        self.asked += 1;
        let limit = self.entries[i].limits.by_hash(endpoint().hash())?;
        let report = LimitReport {
            endpoint: endpoint().hash(),
            rate: Some(limit.rate),
            age: now - limit.at,
        };
        let issuer = &mut self.entries[j];
        issuer.limits.merge(&report, now);
        let limit = issuer.limits.by_hash(endpoint().hash());
        let grant = issuer
            .issuers
            .decide(endpoint().hash(), limit, &issuer.members, peer(i), now);
        Some(grant)
    }

    /// Restarts entry `i`, which loses all that it knew.
    fn restart(&mut self, i: usize) {
        self.entries[i] = Entry::new(i, self.now.0, self.now);
    }

    fn issuer(&self) -> usize {
        index(self.entries[0].members.issuer(endpoint().hash(), self.now))
    }

    /// Sends a request of entry `i`, if it may; the endpoint's response names its limit.
    fn request(&mut self, i: usize) {
        let now = self.now;
        if self.entries[i].closed > now {
            return;
        }
        let limited = self.entries[i].limits.by_hash(endpoint().hash()).is_some();
        if limited {
            let wait = match self.ask(i) {
                Some(Grant::Granted) => None,
                Some(Grant::Denied { wait, .. }) => Some(wait),
                Some(Grant::NotIssuer) | None => Some(GOSSIP),
            };
            if let Some(wait) = wait {
                self.entries[i].closed = now + wait;
                return;
            }
            self.arrived.push(now);
        }
        let observation = match self.rate {
            Some(rate) => Observation::Named { rate, at: now },
            None => Observation::Withdrawn { at: now },
        };
        self.entries[i].limits.record(&endpoint(), observation, now);
    }

    fn run(&mut self, time: Millis) {
        let end = self.now + time;
        while self.now < end {
            let step = (self.now.0 / STEP.0) as usize;
            let per_gossip = (GOSSIP.0 / STEP.0) as usize;
            for i in 0..self.entries.len() {
                if !self.entries[i].running {
                    continue;
                }
                if (step + i).is_multiple_of(per_gossip) {
                    self.gossip(i);
                }
                if (step + i).is_multiple_of(self.pace) {
                    self.request(i);
                }
            }
            self.now += STEP;
        }
    }

    /// Returns the largest number of requests in any window.
    fn peak(&self) -> usize {
        let after = |from: &Millis| {
            let window = self.arrived.iter().filter(|t| **t >= *from);
            window.filter(|t| **t < *from + WINDOW).count()
        };
        self.arrived.iter().map(after).max().unwrap_or(0)
    }

    fn assert_kept(&self, rate: RequestRate, what: &str) {
        let allowed = (f64::from(rate.0) / 1000.0 * 4.0 * 1.5 + 5.0) as usize;
        let peak = self.peak();
        let count = self.entries.len();
        assert!(
            peak <= allowed,
            "{what}, {count} entries, limit {rate}: {peak} requests, {allowed} allowed"
        );
    }
}

/// Limits of the tests, and for each the numbers of entries.
const RATES: [RequestRate; 4] = [
    RequestRate(100),
    RequestRate(500),
    RequestRate(2300),
    RequestRate(12_000),
];
const COUNTS: [usize; 4] = [1, 9, 48, 410];

/// Load pattern: more requests than the endpoint takes, at every entry. Guards against a sum over the entries above the
/// limit, whatever their number, and against an endpoint that gets much less than it takes.
#[test]
fn sum_keeps_limit_at_any_size() {
    for rate in RATES {
        for count in COUNTS {
            let mut model = Model::new(count, rate);
            model.run(Millis(14_000));
            model.assert_kept(rate, "steady");
            let expected = f64::from(rate.0) / 1000.0 * 12.0;
            let got = model.arrived.len() as f64;
            assert!(
                got >= expected * 0.6 - 1.0,
                "{count} entries, limit {rate}: {got} requests in 14 s"
            );
        }
    }
}

/// Guards against an issuer that fails or freezes: its successor may not add its own requests to those already granted,
/// and the endpoint may not stay without requests.
#[test]
fn issuer_failures_add_nothing() {
    for rate in RATES {
        for (count, frozen) in [(9, 3000), (48, 3000), (48, 8000)] {
            let mut model = Model::new(count, rate);
            let start = model.now;
            model.run(Millis(5000));
            for _ in 0..3 {
                let issuer = model.issuer();
                model.entries[issuer].running = false;
                model.run(Millis(frozen));
                model.entries[issuer].running = true;
                model.run(Millis(2500));
            }
            model.assert_kept(rate, "issuer frozen");
            let time = (model.now - start).duration().as_secs_f64();
            let expected = f64::from(rate.0) / 1000.0 * time;
            let got = model.arrived.len() as f64;
            assert!(
                got >= expected / 4.0 - 1.0,
                "limit {rate}: {got} requests in {time} s"
            );
        }
    }
}

/// Guards against entries that restart in turn and forget limits and permits, and against entries that join.
#[test]
fn restarts_and_joins_add_nothing() {
    for rate in RATES {
        for count in [9, 48] {
            let mut model = Model::new(count, rate);
            model.run(Millis(4000));
            for i in 0..9 {
                model.restart(i);
                let entry = Entry::new(model.entries.len(), model.now.0, model.now);
                model.entries.push(entry);
                // The seed through which a new process learns of the others.
                let seed = model.entries[(i + 1) % 9].members.me().clone();
                let joined = model.entries.len() - 1;
                for j in [i, joined] {
                    model.entries[j].members.merge(seed.clone(), model.now);
                }
                model.run(Millis(1000));
            }
            model.assert_kept(rate, "restarts");
        }
    }
}

/// Guards against two parts of a partitioned network that each use the whole limit, and against an entry that is cut off
/// from all others but not from the endpoint.
#[test]
fn partitions_share_the_limit() {
    for rate in RATES {
        for (count, cut) in [(9, 1), (9, 3), (9, 4), (48, 24)] {
            let mut model = Model::new(count, rate);
            model.run(Millis(4000));
            for i in 0..cut {
                model.entries[i].part = 1;
            }
            model.run(Millis(10_000));
            for entry in &mut model.entries {
                entry.part = 0;
            }
            model.run(Millis(6000));
            model.assert_kept(rate, "partition");
        }
    }
}

/// Guards against entries that keep to a limit which the endpoint has withdrawn, or that miss a lower one.
#[test]
fn changed_limits_reach_all_entries() {
    for count in COUNTS {
        let mut model = Model::new(count, RequestRate(2000));
        model.run(Millis(4000));
        model.rate = Some(RequestRate(500));
        model.run(Millis(5000));
        model.arrived.clear();
        model.run(Millis(5000));
        model.assert_kept(RequestRate(500), "lowered");
        model.rate = None;
        model.run(Millis(8000));
        for entry in &model.entries {
            assert_eq!(entry.limits.by_hash(endpoint().hash()), None);
        }
    }
}

/// Guards against late responses: one without a limit withdraws it only if its request was sent after the limit was
/// named.
#[test]
fn late_responses_withdraw_nothing() {
    let (mut limits, id, rate) = (Limits::default(), endpoint(), RequestRate(2000));
    let withdrawn = |at| Observation::Withdrawn { at };
    limits.record(
        &id,
        Observation::Named {
            rate,
            at: Millis(100),
        },
        Millis(100),
    );
    assert!(!limits.record(&id, withdrawn(Millis(90)), Millis(120)));
    assert_eq!(limits.get(&id).map(|l| l.rate), Some(rate));
    assert!(limits.record(&id, withdrawn(Millis(110)), Millis(130)));
    assert_eq!(limits.get(&id), None);
    // Another entry's older report does not bring it back.
    let report = LimitReport {
        endpoint: id.hash(),
        rate: Some(rate),
        age: Millis(40),
    };
    assert!(!limits.merge(&report, Millis(140)));
    assert_eq!(limits.get(&id), None);
}

/// Guards against issuers that grant the requests of a long pause at once, and against a limit of 0 that is never asked
/// again.
#[test]
fn bursts_and_zero_are_bounded() {
    let fleet = Fleet { live: 1, known: 1 };
    let mut issuer = PermitIssuer::new(START);
    let mut ask = |rate, now| issuer.request(peer(0), rate, fleet, now);
    assert_matches!(
        ask(RequestRate(2000), START),
        PermitDecision::Denied { wait, .. } if wait >= Millis(500)
    );
    let later = START + Millis::from_secs(60);
    for _ in 0..2 {
        assert_eq!(ask(RequestRate(2000), later), PermitDecision::Granted);
    }
    assert_matches!(ask(RequestRate(2000), later), PermitDecision::Denied { .. });
    let mut zero = PermitIssuer::new(START);
    let PermitDecision::Denied { wait, .. } = zero.request(peer(0), RequestRate(0), fleet, START)
    else {
        panic!("granted at a limit of 0");
    };
    assert!(wait >= Millis::from_secs(4), "{wait}");
    let granted = zero.request(peer(0), RequestRate(0), fleet, START + wait);
    assert_eq!(granted, PermitDecision::Granted);
}

/// Load pattern: requests arrive at random, at less than half of the limit. Guards against requests that are denied
/// although the endpoint takes them.
#[test]
fn requests_below_a_high_limit_are_granted() {
    let fleet = Fleet { live: 1, known: 1 };
    let mut random = fastrand::Rng::with_seed(1);
    for (rate, pause) in [(50_000, 45), (400_000, 6)] {
        let mut issuer = PermitIssuer::new(START);
        let (mut now, mut denied) = (START + Millis(5000), 0);
        let count = 2000;
        for _ in 0..count {
            now += Millis((-random.f64().ln() * f64::from(pause)) as u64);
            let decision = issuer.request(peer(0), RequestRate(rate), fleet, now);
            denied += usize::from(decision != PermitDecision::Granted);
        }
        assert!(denied * 100 <= count, "{rate}: {denied} of {count} denied");
    }
}

/// Bytes of a permit request and its reply, with the headers of UDP and IP.
const EXCHANGE_BYTES: usize = 120;

/// Bytes a second that an entry may spend for control.
const CONTROL_BYTES: usize = 13_000;

/// Load pattern: all entries want more than the endpoint takes. Guards against requests for permits whose number grows with
/// that of the entries, so that the issuer spends more than it may.
#[test]
fn permit_requests_are_bounded() {
    let seconds = 10;
    for rate in RATES {
        for count in COUNTS {
            let mut model = Model::new(count, rate);
            model.run(Millis(5000));
            model.asked = 0;
            model.run(Millis::from_secs(seconds as u64));
            let bytes = model.asked * EXCHANGE_BYTES / seconds;
            println!(
                "{count} entries, limit {rate}: {} a second",
                model.asked / seconds
            );
            assert!(
                bytes <= CONTROL_BYTES,
                "{count} entries, limit {rate}: {bytes} B/s"
            );
        }
    }
}
