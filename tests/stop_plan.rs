//! Model of planned stops of entries, without a network: what callers get while entries stop in series that overlap.

use std::net::SocketAddr;

use sesamewing::{
    base::{HashMap, Millis},
    decide::stop::{StopPlan, SETTLE},
    gateway::{Heartbeat, Membership, Status},
};

const START: Millis = Millis(1_000_000);
const STEP: Millis = Millis(10);

/// Interval of the heartbeats, and time that a datagram is under way.
const GOSSIP: Millis = Millis(250);
const DELAY: Millis = Millis(10);

/// Time between SIGTERM and SIGKILL, and time after the exit at which the process starts again.
const GRACE: Millis = Millis(8000);
const RESTART: Millis = Millis(500);

/// Longest time that a request may last.
const DEADLINE: Millis = Millis(6000);

/// Time for which callers keep a response of the directory; one in three keeps it three times as long.
const TTL: Millis = Millis(1000);

/// Requests of the callers of one entry in a second.
const RATE: u32 = 4;

/// Entries from which callers obtain their addresses; each caller asks one of its zone.
const ZONES: usize = 5;

fn peer(i: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (i / 250) as u8, (i % 250) as u8], 1))
}

fn status(ready: bool) -> Status {
    Status {
        ready,
        ..Status::default()
    }
}

/// One entry of the model.
struct Entry {
    members: Membership,
    plan: Option<StopPlan>,
    /// When the process starts, if it does not run.
    starts: Option<Millis>,
    next_gossip: Millis,
}

impl Entry {
    fn new(i: usize, n: usize, now: Millis) -> Self {
        let heartbeat = |i| Heartbeat {
            peer: peer(i),
            callers: peer(i),
            zone: format!("z{}", i % ZONES).parse().expect("a valid name"),
            boot: now.0,
            count: 0,
            status: status(true),
        };
        let mut members = Membership::new(heartbeat(i));
        // The store lists all entries.
        for other in (0..n).filter(|o| *o != i) {
            let mut beat = heartbeat(other);
            beat.boot = START.0;
            members.announce(beat, now);
        }
        Self {
            members,
            plan: None,
            starts: None,
            next_gossip: now + Millis(fastrand::u64(..GOSSIP.0)),
        }
    }

    fn runs(&self) -> bool {
        self.starts.is_none()
    }

    /// Returns whether a connection to the entry succeeds.
    fn accepts(&self, now: Millis) -> bool {
        self.runs() && self.plan.is_none_or(|p| now < p.close())
    }
}

/// A caller's copy of the directory.
#[derive(Clone, Default)]
struct Copy {
    addresses: Vec<SocketAddr>,
    expires: Millis,
}

/// What the callers saw.
#[derive(Debug, Default)]
struct Seen {
    whole: usize,
    cut: usize,
    /// Requests that a stopping entry rejected, and those that the second entry rejected too.
    rejected: usize,
    twice: usize,
    /// Requests that found no entry.
    lost: usize,
}

struct Model {
    now: Millis,
    entries: Vec<Entry>,
    /// Datagrams under way: when they arrive, at which entry, with which heartbeats.
    datagrams: Vec<(Millis, usize, Vec<Heartbeat>)>,
    copies: Vec<Copy>,
    /// Responses in progress: entry, start of its process, end.
    running: Vec<(usize, u64, Millis)>,
    index: HashMap<SocketAddr, usize>,
    seen: Seen,
}

impl Model {
    fn new(n: usize) -> Self {
        fastrand::seed(n as u64);
        Self {
            now: START,
            entries: (0..n).map(|i| Entry::new(i, n, START)).collect(),
            datagrams: Vec::new(),
            copies: vec![Copy::default(); n * 3],
            running: Vec::new(),
            index: (0..n).map(|i| (peer(i), i)).collect(),
            seen: Seen::default(),
        }
    }

    fn send(&mut self, i: usize, targets: &[SocketAddr]) {
        let now = self.now;
        let entry = &mut self.entries[i];
        let beats = entry
            .members
            .next_heartbeats(status(entry.plan.is_none()), now);
        for target in targets {
            self.datagrams
                .push((now + DELAY, self.index[target], beats.clone()));
        }
    }

    fn gossip(&mut self) {
        for i in 0..self.entries.len() {
            let now = self.now;
            let entry = &mut self.entries[i];
            if !entry.runs() || now < entry.next_gossip {
                continue;
            }
            entry.next_gossip = now + GOSSIP;
            let targets = entry.members.gossip_targets(now);
            self.send(i, &targets);
        }
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.datagrams)
            .into_iter()
            .partition(|d| d.0 <= now);
        self.datagrams = later;
        let due: Vec<(Millis, usize, Vec<Heartbeat>)> = due;
        for (_, to, beats) in due {
            let entry = &mut self.entries[to];
            if !entry.runs() {
                continue;
            }
            let sender = beats[0].peer;
            for beat in beats {
                entry.members.merge(beat, now);
            }
            entry.members.note_sender(sender, now);
        }
    }

    /// Sends SIGTERM to an entry.
    fn stop(&mut self, i: usize) {
        self.entries[i].plan = Some(StopPlan::new(GRACE, self.now));
        let targets = self.entries[i].members.all_peers();
        self.send(i, &targets);
    }

    /// Ends and starts processes; counts the responses that the end of a process cuts.
    fn processes(&mut self) {
        let (now, n) = (self.now, self.entries.len());
        for i in 0..n {
            let entry = &mut self.entries[i];
            let idle = !self.running.iter().any(|r| r.0 == i);
            let done = |p: StopPlan| now >= p.exit() || (now >= p.close() && idle);
            if entry.runs() && entry.plan.is_some_and(done) {
                self.seen.cut += self
                    .running
                    .iter()
                    .filter(|r| r.0 == i && r.2 > now)
                    .count();
                self.running.retain(|r| r.0 != i);
                entry.starts = Some(now + RESTART);
            }
            if entry.starts.is_some_and(|at| at <= now) {
                *entry = Entry::new(i, n, now);
            }
        }
        let before = self.running.len();
        self.running.retain(|r| r.2 > now);
        self.seen.whole += before - self.running.len();
    }

    /// Returns an entry for a caller, other than `failed`.
    fn pick(&mut self, caller: usize, failed: Option<usize>) -> Option<usize> {
        let now = self.now;
        if self.copies[caller].expires <= now {
            let n = self.entries.len();
            let zone = caller % ZONES;
            // Callers try a few directory servers in turn.
            let asked = (0..3).map(|_| fastrand::usize(..n));
            let asked = asked.into_iter().find(|e| self.entries[*e].accepts(now));
            let found = asked.map(|e| {
                let members = &self.entries[e].members;
                members.addresses(&format!("z{zone}"), 64, now)
            });
            if let Some(addresses) = found.filter(|a| !a.is_empty()) {
                let ttl = if caller.is_multiple_of(3) {
                    TTL.times(3)
                } else {
                    TTL
                };
                self.copies[caller] = Copy {
                    addresses,
                    expires: now + ttl,
                };
            }
        }
        let mut usable: Vec<_> = self.copies[caller]
            .addresses
            .iter()
            .map(|a| self.index[a])
            .collect();
        fastrand::shuffle(&mut usable);
        let mut others = usable.into_iter().filter(|e| Some(*e) != failed);
        others.find(|e| self.entries[*e].accepts(now))
    }

    /// Offers a request to an entry; returns whether it was accepted.
    fn offer(&mut self, i: usize) -> bool {
        let now = self.now;
        let entry = &self.entries[i];
        if entry.plan.is_some_and(|p| !p.admits(now + DEADLINE)) {
            return false;
        }
        // Under load, responses take up to the deadline.
        let end = now + Millis(fastrand::u64(300..=DEADLINE.0));
        self.running.push((i, entry.members.me().boot, end));
        true
    }

    fn request(&mut self, caller: usize) {
        let Some(first) = self.pick(caller, None) else {
            self.seen.lost += 1;
            return;
        };
        if self.offer(first) {
            return;
        }
        self.seen.rejected += 1;
        let second = self.pick(caller, Some(first));
        if !second.is_some_and(|e| self.offer(e)) {
            self.seen.twice += 1;
        }
    }

    fn run(&mut self, time: Millis, mut each: impl FnMut(&mut Self)) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.gossip();
            self.processes();
            each(self);
            for caller in 0..self.copies.len() {
                let per_caller = u64::from(RATE) * STEP.0 / 3;
                if fastrand::u64(..1000) < per_caller {
                    self.request(caller);
                }
            }
        }
    }
}

/// Stops entries one after the other, so that at most a third of them is stopping at any time; returns what the callers
/// saw.
fn rolling_stops(n: usize, time: Millis) -> Seen {
    let mut model = Model::new(n);
    model.run(Millis(3000), |_| {});
    model.seen = Seen::default();
    let interval = Millis((3 * (GRACE + RESTART).0 / n as u64).max(400));
    let (mut next, mut due) = (0, model.now);
    model.run(time, |m| {
        if m.now >= due {
            m.stop(next);
            next = (next + 1) % n;
            due = m.now + interval;
        }
    });
    model.seen
}

/// Guards against responses that the end of a planned stop cuts, and against callers that find only stopping entries
/// while others run, whatever the number of entries.
#[test]
fn rolling_stops_cut_nothing() {
    for (n, time) in [(9, 40_000), (48, 30_000), (410, 6000)] {
        let seen = rolling_stops(n, Millis(time));
        assert_eq!(seen.cut, 0, "{n} entries: {seen:?}");
        assert!(seen.whole > 100, "{n} entries: {seen:?}");
        assert_eq!(seen.lost, 0, "{n} entries: {seen:?}");
        // Callers retry once.
        let requests = seen.whole + seen.twice;
        assert!(seen.twice * 100 <= requests, "{n} entries: {seen:?}");
    }
}

/// Guards against an only entry whose stop cuts what it accepted after the signal.
#[test]
fn only_entry_cuts_nothing() {
    let seen = rolling_stops(1, Millis(60_000));
    assert_eq!(seen.cut, 0, "{seen:?}");
    assert!(seen.whole > 10 && seen.rejected > 0, "{seen:?}");
}

/// Guards against entries that go on naming a stopping one to callers, who then come to it for longer than it accepts
/// connections: three times their caching time from the last response of the directory.
#[test]
fn directories_learn_of_stop_at_once() {
    for n in [2, 9, 48, 410] {
        let mut model = Model::new(n);
        model.run(Millis(3000), |_| {});
        model.stop(0);
        let signalled = model.now;
        model.run(Millis(200), |_| {});
        let names = |e: &Entry| {
            (0..ZONES).any(|z| {
                let zone = format!("z{z}");
                let named = e.members.addresses(&zone, n, signalled + Millis(200));
                named.contains(&peer(0))
            })
        };
        let late = model.entries[1..].iter().filter(|e| names(e)).count();
        assert_eq!(late, 0, "{late} of {n} entries name the stopping one");
    }
}

/// Guards against a grace period that is shorter than the usual time to accept connections, and against an order of the
/// steps in which what was read last has no time to be answered.
#[test]
fn short_grace_is_kept() {
    for grace in [1000, 2000, 3000, 3600, 8000, 60_000].map(Millis) {
        let plan = StopPlan::new(grace, START);
        assert!(START < plan.close(), "{plan:?}");
        assert!(plan.close() + SETTLE <= plan.answer(), "{plan:?}");
        assert!(plan.answer() < plan.exit(), "{plan:?}");
        assert!(plan.exit() < START + grace, "{plan:?}");
        assert!(plan.admits(plan.answer()));
        assert!(!plan.admits(plan.exit()));
    }
    let plan = StopPlan::new(Millis(100), START);
    assert!(START <= plan.close() && plan.close() <= plan.answer());
    assert!(plan.answer() <= plan.exit() && plan.exit() <= START + Millis(100));
}
