//! Model without network: versions follow each other while endpoints are silent at random; which requests begin on an
//! older version after its end, and how many callers are served meanwhile.

mod engine;

use std::{collections::VecDeque, rc::Rc};

use engine::{Engine, Request, State};
use sesamewing::{
    base::{HashSet, Millis, Zone},
    decide::{
        rollout::{load_order, HostSchedule},
        supersede::{Margins, SILENCE_MAX},
    },
    gateway::{
        DesiredVersions, EndpointQuery, EndpointRecord, EndpointTable, LoadBalancer, LoadSchedule,
        Outcome, PendingLoads, Revision, WeightRequirement, WeightVersion,
    },
};

const MODEL: &str = "m";
const BOUND: Millis = Millis(8000);
const SLOTS: u32 = 12;

/// Start of the model, and the time of the first new version.
const START: Millis = Millis(100_000);
const NAMED: Millis = Millis(102_000);

/// Duration of a run.
const LENGTH: Millis = Millis(20_000);

/// Step of the model.
const TICK: Millis = Millis(10);

/// Time of a load after the last running request has ended.
const LOAD: Millis = Millis(600);

/// Shortest and longest time of a copy in the origin's zone; elsewhere it takes [`FAR_COPY`] longer.
const COPY: (u64, u64) = (3000, 3400);
const FAR_COPY: u64 = 800;

/// Time to read a prompt at an idle engine, and the part of it that each running request adds.
const READ: u64 = 40;
const READ_BESIDE: u64 = 20;

/// Shortest and longest time in which an engine answers a request.
const ANSWER: (u64, u64) = (400, 1400);

/// Latency objective: a request that begins later counts as not served.
const OBJECTIVE: Millis = Millis(400);

/// Share of the engines' slots that the callers' requests use.
const LOAD_SHARE: f64 = 0.7;

/// Most requests a second.
const RATE_MAX: f64 = 1400.0;

/// A plan of versions and copies.
#[derive(Clone, Copy, Debug)]
struct Plan {
    /// Time from the first version to the second; `None` if there is one only.
    second: Option<Millis>,
    /// Time by which all copies are late.
    late: Millis,
}

const PLANS: [Plan; 4] = [
    Plan {
        second: None,
        late: Millis(0),
    },
    Plan {
        second: Some(Millis(2000)),
        late: Millis(0),
    },
    Plan {
        second: Some(Millis(4000)),
        late: Millis(0),
    },
    Plan {
        second: None,
        late: Millis(3000),
    },
];

/// Numbers of entries and of engines.
const SIZES: [(usize, usize); 4] = [(1, 3), (9, 11), (48, 108), (410, 1200)];

/// Result of a run.
#[derive(Debug, Default)]
struct Outcomes {
    requests: u32,
    /// Requests that began within their objective.
    served: u32,
    rejected: u32,
    /// Requests that began on an older version after its end, and the latest of them.
    late: u32,
    latest: Millis,
}

struct Model {
    rng: fastrand::Rng,
    margins: Margins,
    now: Millis,
    table: EndpointTable,
    desired: DesiredVersions,
    schedule: LoadSchedule,
    balancers: Vec<LoadBalancer>,
    engines: Vec<Engine>,
    out: Outcomes,
}

fn zone(near: bool) -> Zone {
    let name = if near { "a" } else { "b" };
    name.parse().expect("a valid name")
}

impl Model {
    fn new(seed: u64, margins: Margins, (entries, engines): (usize, usize)) -> Self {
        let mut out = Self {
            rng: fastrand::Rng::with_seed(seed),
            margins,
            now: START,
            table: EndpointTable::default(),
            desired: DesiredVersions::default(),
            schedule: LoadSchedule::default(),
            balancers: (0..entries).map(|_| LoadBalancer::default()).collect(),
            engines: Vec::new(),
            out: Outcomes::default(),
        };
        for i in 0..engines {
            out.engines.push(Engine {
                id: format!("e{i}").parse().expect("any text is an id"),
                near: i % 3 == 0,
                version: WeightVersion(1),
                state: State::Serving,
                start: None,
                waiting: VecDeque::new(),
                running: Vec::new(),
                silence: None,
                sequence: 0,
            });
            out.record(i, Some(WeightVersion(1)));
        }
        out
    }

    /// Sets what the entries know of an engine.
    fn record(&mut self, i: usize, version: Option<WeightVersion>) {
        let engine = &mut self.engines[i];
        engine.sequence += 1;
        let addr = format!("10.0.{}.{}:80", i / 250, i % 250 + 1);
        let record = EndpointRecord {
            service: "llm".parse().expect("a valid name"),
            addr: addr.parse().expect("a valid address"),
            zone: zone(engine.near),
            slots: SLOTS,
            draining: false,
            cold: Millis::ZERO,
            models: version.map(|v| (Rc::from(MODEL), v)).into_iter().collect(),
            revision: Revision {
                sequence: engine.sequence,
                ..Revision::default()
            },
        };
        let id = engine.id.clone();
        self.table.apply(&id, Some(record), self.now);
    }

    /// Makes a version the desired one: each host copies it and schedules its load.
    fn name(&mut self, version: WeightVersion, late: Millis) {
        self.desired.set(version, self.now);
        let versions: Vec<_> = self.desired.latest(3).collect();
        let service = "llm".parse().expect("a valid name");
        self.schedule = LoadSchedule::new(&self.table, &service, &versions, Some(&zone(true)));
        let addrs = self.engines.iter().map(|e| {
            let endpoint = self.table.get(&e.id).expect("a record");
            (
                load_order(endpoint.record.addr.ip(), e.near, version.0),
                e.id.clone(),
            )
        });
        let mut order: Vec<_> = addrs.collect();
        order.sort_unstable();
        let hosts = self.engines.len();
        for engine in &mut self.engines {
            let far = if engine.near { 0 } else { FAR_COPY };
            let copied = self.now + late + Millis(self.rng.u64(COPY.0..COPY.1) + far);
            let rank = order.iter().position(|o| o.1 == engine.id).expect("a rank");
            let schedule = HostSchedule {
                bound: BOUND,
                margins: self.margins,
                rank,
                hosts,
            };
            let since = self
                .desired
                .superseded_at(engine.version)
                .expect("a newer version");
            let start = schedule.start_from(since, copied);
            // A later version takes over the time of one that waits for its load.
            let start = engine
                .start
                .map_or(start, |(earlier, _)| earlier.min(start));
            engine.start = Some((start.max(copied), version));
        }
    }

    /// Silences a share of the engines for up to `longest` before and after the end of a version.
    fn silence(&mut self, end: Millis, longest: Millis) {
        for engine in &mut self.engines {
            let length = Millis(self.rng.u64(longest.0 / 4..=longest.0));
            let until = end - Millis(200) + Millis(self.rng.u64(0..1200));
            engine.silence = self.rng.bool().then_some((until - length, until));
        }
    }

    /// Sends a request of a caller, or rejects it.
    fn send(&mut self, entry: usize, arrived: Millis) {
        let duration = Millis(self.rng.u64(ANSWER.0..ANSWER.1));
        let enforced = |margin: Millis| self.desired.enforced(BOUND - margin, self.now);
        let (own_zone, none) = (zone(true), HashSet::default());
        let query = EndpointQuery {
            zone: &own_zone,
            residency: None,
            cold: None,
            weights: Some(WeightRequirement {
                model: MODEL,
                pending: Some(PendingLoads {
                    schedule: &self.schedule,
                    desired: &self.desired,
                    bound: BOUND,
                    margins: self.margins,
                }),
                oldest: enforced(self.margins.send()).unwrap_or_default(),
                oldest_queued: enforced(self.margins.queue()).unwrap_or_default(),
            }),
            exact: None,
            evacuation: None,
            tried: &[],
            owned: &none,
            read_rate: None,
            returning: false,
            reserve: 0,
            duration,
            memory: None,
            spill: None,
        };
        let balancer = &mut self.balancers[entry];
        let Ok(endpoint) = balancer.pick(self.table.iter(), &query, self.now) else {
            self.out.rejected += 1;
            return;
        };
        let id = endpoint.id.clone();
        balancer.begin(&id, 0, self.now);
        let index: usize = id.0[1..].parse().expect("the number of an engine");
        let engine = &mut self.engines[index];
        let end = self
            .desired
            .superseded_at(engine.version)
            .map(|at| at + BOUND);
        let beside = engine.running.len() as u64;
        engine.waiting.push_back(Request {
            entry,
            arrived,
            read: self.now + Millis(READ + READ_BESIDE * beside),
            duration,
            begin_by: end.map(|end| self.margins.expiry(end, Millis::ZERO).begin_by),
            closed: false,
        });
    }

    /// Cancels what has not begun in time, and sends it once more.
    fn cancel(&mut self) {
        let mut again = Vec::new();
        for engine in &mut self.engines {
            for request in &mut engine.waiting {
                if !request.closed && request.begin_by.is_some_and(|at| at <= self.now) {
                    request.closed = true;
                    again.push((request.entry, request.arrived));
                    self.balancers[request.entry].end(&engine.id, Outcome::Failed, self.now);
                }
            }
        }
        for (entry, arrived) in again {
            self.send(entry, arrived);
        }
    }

    /// Moves an engine on by a step. Closed connections are noticed only by an engine that is not silent when the
    /// connection is closed.
    fn step(&mut self, i: usize) {
        let now = self.now;
        let engine = &mut self.engines[i];
        if engine.is_silent(now) {
            return;
        }
        let id = engine.id.clone();
        for (_, entry) in engine.running.iter().filter(|r| r.0 <= now) {
            self.balancers[*entry].end(&id, Outcome::Served, now);
        }
        engine.running.retain(|r| r.0 > now);
        if engine.state == State::Serving {
            self.begin_waiting(i);
        }
        let engine = &mut self.engines[i];
        match engine.state {
            State::Serving => {
                if let Some((_, version)) = engine.start.take_if(|(at, _)| *at <= now) {
                    engine.state = State::Draining(version);
                    for request in engine.waiting.drain(..).filter(|r| !r.closed) {
                        self.balancers[request.entry].end(&id, Outcome::Refused, now);
                        self.out.rejected += 1;
                    }
                    self.record(i, None);
                }
            }
            State::Draining(version) if engine.running.is_empty() => {
                engine.state = State::Loading(version, now + LOAD);
            }
            State::Loading(version, at) if at <= now => {
                engine.state = State::Serving;
                engine.version = version;
                self.record(i, Some(version));
            }
            _ => {}
        }
    }

    /// Begins the requests whose prompts are read while slots are free.
    fn begin_waiting(&mut self, i: usize) {
        let (now, engine) = (self.now, &mut self.engines[i]);
        let woke = engine
            .silence
            .is_some_and(|(_, to)| now < to + TICK && now >= to);
        if !woke {
            engine.waiting.retain(|r| !r.closed);
        }
        while engine.running.len() < SLOTS as usize {
            let Some(at) = engine.waiting.iter().position(|r| r.read <= now) else {
                return;
            };
            let request = engine.waiting.remove(at).expect("the position is valid");
            let end = self
                .desired
                .superseded_at(engine.version)
                .map(|at| at + BOUND);
            if let Some(end) = end.filter(|end| now > *end) {
                self.out.late += 1;
                self.out.latest = self.out.latest.max(now - end);
            }
            if request.closed {
                continue;
            }
            self.out.served += u32::from(now - request.arrived <= OBJECTIVE);
            engine.running.push((now + request.duration, request.entry));
        }
    }

    fn run(mut self, plan: Plan, longest: Millis) -> Outcomes {
        let slots = self.engines.len() as f64 * f64::from(SLOTS);
        let mean_s = (ANSWER.0 + ANSWER.1) as f64 / 2000.0;
        let rate = (slots / mean_s * LOAD_SHARE).min(RATE_MAX);
        let mut due = 0.0;
        while self.now < START + LENGTH {
            if self.now == NAMED {
                self.name(WeightVersion(2), plan.late);
                self.silence(NAMED + BOUND, longest);
            }
            if plan.second.is_some_and(|gap| self.now == NAMED + gap) {
                self.name(WeightVersion(3), plan.late);
            }
            if plan
                .second
                .is_some_and(|_| self.now == NAMED + BOUND + Millis(1100))
            {
                let end = NAMED + plan.second.unwrap_or_default() + BOUND;
                self.silence(end, longest);
            }
            for i in 0..self.engines.len() {
                self.step(i);
            }
            self.cancel();
            due += rate * TICK.0 as f64 / 1000.0;
            while due >= 1.0 {
                due -= 1.0;
                self.out.requests += 1;
                let entry = self.rng.usize(0..self.balancers.len());
                self.send(entry, self.now);
            }
            self.now += TICK;
        }
        self.out
    }
}

/// Runs a plan at a size, with margins for silences of `covered` and silences of up to `longest`.
fn run(size: (usize, usize), plan: Plan, covered: Millis, longest: Millis) -> Outcomes {
    let seed = size.0 as u64;
    let out = Model::new(seed, Margins::covering(covered), size).run(plan, longest);
    println!(
        "entries={} engines={} second={:?} late={} covered={covered} silence={longest} requests={} served={:.3} rejected={} begun_late={} latest={}",
        size.0,
        size.1,
        plan.second,
        plan.late,
        out.requests,
        f64::from(out.served) / f64::from(out.requests),
        out.rejected,
        out.late,
        out.latest
    );
    out
}

fn check_size(size: (usize, usize), plans: &[Plan]) {
    for plan in plans.iter().copied() {
        let out = run(size, plan, SILENCE_MAX, SILENCE_MAX);
        assert_eq!(out.late, 0, "{plan:?}: {out:?}");
    }
}

/// Guards against requests that begin on an older version after its end because of a silence, at one entry.
#[test]
fn one_entry_begins_nothing_late() {
    check_size(SIZES[0], &PLANS);
}

/// Guards against requests that begin on an older version after its end because of a silence, at nine entries.
#[test]
fn nine_entries_begin_nothing_late() {
    check_size(SIZES[1], &PLANS);
}

/// Guards against requests that begin on an older version after its end because of a silence, at 48 entries.
#[test]
fn many_entries_begin_nothing_late() {
    check_size(SIZES[2], &PLANS);
}

/// Guards against requests that begin on an older version after its end because of a silence, at the target size.
#[test]
fn all_entries_begin_nothing_late() {
    check_size(SIZES[3], &PLANS[2..]);
}

/// Guards against a model that does not show the fault: margins that cover no silence let requests begin late.
#[test]
fn margins_without_silences_begin_late() {
    let late = PLANS.map(|plan| run(SIZES[1], plan, Millis::ZERO, SILENCE_MAX).late);
    assert!(late.iter().sum::<u32>() > 0, "{late:?}");
}

/// Guards against hosts that stand unused before they load, because no request may be sent to them any more.
#[test]
fn late_hosts_load_while_they_are_used() {
    let (margins, hosts) = (Margins::default(), 108);
    let last_send = NAMED + BOUND - margins.send();
    for rank in 0..hosts {
        let schedule = HostSchedule {
            bound: BOUND,
            margins,
            rank,
            hosts,
        };
        let start = schedule.start(NAMED);
        assert!(start <= NAMED + BOUND - margins.load(), "{rank}: {start}");
        let ready = last_send - Millis(500);
        let late = schedule.start_from(NAMED, ready);
        assert!(start >= ready || late <= last_send, "{rank}: {late}");
    }
}

/// Guards against margins that turn callers away although copies are on time and no endpoint is silent.
#[test]
fn copies_in_time_leave_callers_served() {
    let out = run(SIZES[1], PLANS[0], SILENCE_MAX, Millis::ZERO);
    assert!(out.rejected * 100 <= out.requests * 3, "{out:?}");
}
