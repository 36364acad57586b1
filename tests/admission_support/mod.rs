//! Model of admission without a network: entries with their load balancers, engines with slots, and callers that return
//! once after a rejection.

mod crowd;

use std::rc::Rc;

use sesamewing::{
    base::{HashSet, Millis, Zone},
    decide::{
        return_times::{RejectedRequest, ReturnTimes},
        returning::{Rejection, Rejections, RequestKey},
    },
    gateway::{
        EndpointId, EndpointQuery, EndpointRecord, EndpointTable, LoadBalancer, Outcome, Refusal,
        ReportedLoad, Revision, WeightRequirement, WeightVersion,
    },
};

pub(crate) use crowd::{Crowd, Totals};
use crowd::{
    FIRST_EVENT, IMPATIENT, IMPATIENT_TIME, IMPATIENT_TRIES, OBJECTIVES, SHORT, SHORT_PATIENCE,
    SHORT_SPREAD,
};

const MODEL: &str = "m";

/// Slots of an engine, and the time for which a request occupies one.
pub(crate) const SLOTS: u32 = 16;
pub(crate) const WORK: Millis = Millis(600);

/// Interval at which an entry tells others of its requests in flight and of its rejections, and the time on the way.
const GOSSIP: Millis = Millis(250);
const DELAY: Millis = Millis(3);

/// Entries that are told of requests in flight, and of rejections, where there are more others.
const LOAD_FANOUT: usize = 15;
const REJECTION_FANOUT: usize = 64;

/// Time for which callers wait: the shortest, and the spread among them.
const PATIENCE: Millis = Millis(5500);
const SPREAD: u64 = 1000;

/// How the model tells returning callers from others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Sign {
    /// By the rejections that entries remember.
    Rejections,
    /// Not at all.
    None,
}

/// Time line of the load.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    /// First attempts, in percent of what the engines serve: in calm, and after [`Load::from`].
    pub(crate) calm: u32,
    pub(crate) crowd: u32,
    /// When the crowd begins.
    pub(crate) from: Millis,
    /// When the callers stop.
    pub(crate) end: Millis,
    /// Interval at which an engine crashes during the crowd; it is away for [`CRASH`].
    pub(crate) crashes: Option<Millis>,
    /// Rejected callers that return, in percent.
    pub(crate) returns: u32,
    /// Route whose callers all ask the same, and wait equally long.
    pub(crate) equal: Option<usize>,
}

/// Time for which a crashed engine is away.
const CRASH: Millis = Millis(3000);

/// Attempts of one route in one part of the day.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Count {
    pub(crate) first: u32,
    pub(crate) first_begun: u32,
    pub(crate) back: u32,
    pub(crate) back_begun: u32,
}

impl Count {
    /// Returns the share of first attempts that began.
    pub(crate) fn share(&self) -> f64 {
        f64::from(self.first_begun) / f64::from(self.first.max(1))
    }
}

/// Result of a run: for each route, its attempts in calm and in the crowd.
#[derive(Debug)]
pub(crate) struct Outcomes {
    pub(crate) calm: Vec<Count>,
    pub(crate) crowd: Vec<Count>,
    /// Requests that began in the crowd, in percent of what the engines serve that are there.
    pub(crate) used: u32,
    /// What came of the callers of the crowd.
    pub(crate) totals: Totals,
}

#[derive(Clone, Copy, Debug)]
struct Caller {
    route: usize,
    key: RequestKey,
    first_at: Millis,
    deadline: Millis,
    objective: Millis,
    back: bool,
    /// Attempts that an impatient caller still makes; 0 for others.
    tries: u32,
    counted: bool,
}

struct Entry {
    balancer: LoadBalancer,
    rejections: Rejections,
    times: ReturnTimes,
    phase: u64,
}

struct Flight {
    entry: usize,
    end: Millis,
}

pub(crate) struct Model {
    entries: Vec<Entry>,
    table: EndpointTable,
    ids: Vec<EndpointId>,
    /// Time at which each engine takes requests again.
    away: Vec<Millis>,
    /// Requests at each engine.
    flights: Vec<Vec<Flight>>,
    returning: Vec<(Millis, Caller)>,
    news: Vec<(Millis, usize, Vec<Rejection>)>,
    rng: fastrand::Rng,
    sign: Sign,
    routes: usize,
    now: Millis,
    crowd: Option<Crowd>,
    totals: Totals,
}

fn engine(i: usize) -> EndpointRecord {
    EndpointRecord {
        service: "llm".parse().expect("a valid name"),
        addr: format!("10.0.0.{i}:80").parse().expect("a valid address"),
        zone: "a".parse().expect("a valid name"),
        slots: SLOTS,
        draining: false,
        cold: Millis::ZERO,
        models: vec![(Rc::from(MODEL), WeightVersion(1))],
        revision: Revision::default(),
    }
}

impl Model {
    pub(crate) fn new(
        entries: usize,
        engines: usize,
        routes: usize,
        sign: Sign,
        seed: u64,
    ) -> Self {
        // The load balancers draw from the thread's generator.
        fastrand::seed(seed);
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut table = EndpointTable::default();
        let ids: Vec<EndpointId> = (0..engines)
            .map(|i| format!("e{i}").parse().expect("any text is an id"))
            .collect();
        for (i, id) in ids.iter().enumerate() {
            table.apply(id, Some(engine(i)), Millis::ZERO);
        }
        let entries = (0..entries).map(|_| Entry {
            balancer: LoadBalancer::default(),
            rejections: Rejections::default(),
            times: ReturnTimes::default(),
            phase: rng.u64(0..GOSSIP.0),
        });
        Self {
            entries: entries.collect(),
            table,
            away: vec![Millis::ZERO; ids.len()],
            flights: ids.iter().map(|_| Vec::new()).collect(),
            ids,
            returning: Vec::new(),
            news: Vec::new(),
            rng,
            sign,
            routes,
            now: Millis(1),
            crowd: None,
            totals: Totals::default(),
        }
    }

    /// Plays callers as they are on the deployments.
    pub(crate) fn with_crowd(self, crowd: Crowd) -> Self {
        let crowd = Some(crowd);
        Self { crowd, ..self }
    }

    /// Plays a day.
    pub(crate) fn run(&mut self, load: Load) -> Outcomes {
        let count = vec![Count::default(); self.routes];
        let (mut calm, mut crowd) = (count.clone(), count);
        let capacity = f64::from(SLOTS) * self.ids.len() as f64 / WORK.0 as f64;
        let (mut due, mut available) = (0.0, 0.0);
        while self.now < load.end {
            let crowded = self.now >= load.from;
            let percent = if crowded { load.crowd } else { load.calm };
            let counts = if crowded { &mut crowd } else { &mut calm };
            self.end_flights();
            if crowded {
                self.crash(load.crashes);
                let there = self.away.iter().filter(|at| **at <= self.now);
                available += capacity * there.count() as f64 / self.ids.len() as f64;
            }
            if let Some((_, end)) = self.outage().filter(|o| o.0 == self.now) {
                self.away.fill(end);
                (0..self.ids.len()).for_each(|engine| self.lose_flights(engine));
            }
            self.gossip();
            due += capacity * f64::from(percent) / 100.0;
            while due >= 1.0 {
                due -= 1.0;
                let mut caller = self.first_attempt(load.equal);
                caller.counted = crowded;
                self.totals.requests += u32::from(crowded);
                self.attempt(caller, counts, load.returns);
            }
            for caller in self.due_returns() {
                self.attempt(caller, counts, load.returns);
            }
            self.now += Millis(1);
        }
        let begun: u32 = crowd.iter().map(|c| c.first_begun + c.back_begun).sum();
        let used = (f64::from(begun) * 100.0 / available) as u32;
        let totals = self.totals;
        Outcomes {
            calm,
            crowd,
            used,
            totals,
        }
    }

    fn outage(&self) -> Option<(Millis, Millis)> {
        self.crowd?.outage
    }

    fn first_attempt(&mut self, equal: Option<usize>) -> Caller {
        let (mut content, route) = (self.rng.u64(..), self.rng.usize(0..self.routes));
        let mut spread = self.rng.u64(0..SPREAD);
        if equal == Some(route) {
            (content, spread) = (0, 0);
        }
        let (mut patience, mut tries) = (PATIENCE, 0);
        if self.crowd.is_some() {
            if self.rng.u32(0..100) < SHORT {
                (patience, spread) = (SHORT_PATIENCE, self.rng.u64(0..SHORT_SPREAD));
            }
            if self.rng.u32(0..100) < IMPATIENT {
                tries = IMPATIENT_TRIES;
            }
        }
        Caller {
            route,
            key: RequestKey::new([&content.to_le_bytes()[..]]),
            first_at: self.now,
            deadline: self.now + patience + Millis(spread),
            objective: OBJECTIVES[route % OBJECTIVES.len()],
            back: false,
            tries,
            counted: false,
        }
    }

    fn due_returns(&mut self) -> Vec<Caller> {
        let now = self.now;
        let (due, later) = self.returning.drain(..).partition(|r| r.0 <= now);
        self.returning = later;
        let due: Vec<(Millis, Caller)> = due;
        due.into_iter().map(|(_, caller)| caller).collect()
    }

    fn attempt(&mut self, caller: Caller, counts: &mut [Count], returns: u32) {
        let entry = self.rng.usize(0..self.entries.len());
        let begun = self.choose(entry, caller);
        let count = &mut counts[caller.route];
        if caller.back {
            count.back += 1;
            count.back_begun += u32::from(begun.is_ok());
        } else {
            count.first += 1;
            count.first_begun += u32::from(begun.is_ok());
        }
        let refusal = match begun {
            Ok(engine) => return self.begin(entry, engine, caller),
            Err(refusal) => refusal,
        };
        let rejections = &mut self.entries[entry].rejections;
        rejections.record(caller.key, caller.deadline, self.now);
        if caller.counted {
            self.totals.rejections += 1;
            self.totals.twice += u32::from(caller.back && caller.tries == 0);
        }
        let left = caller.deadline - self.now;
        let wait = self.wait(entry, refusal, caller);
        let back = Caller {
            back: true,
            tries: caller.tries.saturating_sub(1),
            ..caller
        };
        if caller.tries > 1 {
            self.returning.push((self.now + IMPATIENT_TIME, back));
            return;
        }
        let comes = wait.0 <= left.0 / 3 && !caller.back;
        if comes && self.rng.u32(0..100) < returns {
            self.returning.push((self.now + wait, back));
        }
    }

    /// Returns the time after which an entry tells a rejected caller to return.
    fn wait(&mut self, entry: usize, refusal: Refusal, caller: Caller) -> Millis {
        let (wait, outage) = match refusal {
            Refusal::Overloaded(wait) => (wait, false),
            Refusal::Unavailable(wait) => (wait, true),
            Refusal::Quarantined(_) => unreachable!("no part is quarantined"),
        };
        if !self.crowd.is_some_and(|c| c.spread) {
            return wait;
        }
        let request = RejectedRequest {
            left: Some(caller.deadline - self.now),
            objective: Millis(caller.objective.0 / 2),
            available: None,
            outage,
        };
        let times = &mut self.entries[entry].times;
        times.schedule(request, self.now).wait()
    }

    fn choose(&mut self, entry: usize, caller: Caller) -> Result<usize, Refusal> {
        let Entry {
            balancer,
            rejections,
            ..
        } = &mut self.entries[entry];
        let returning = match self.sign {
            Sign::Rejections => rejections.is_returning(caller.key, caller.deadline),
            Sign::None => false,
        };
        let zone: Zone = "a".parse().expect("a valid name");
        let query = EndpointQuery {
            zone: &zone,
            residency: None,
            cold: None,
            weights: Some(WeightRequirement {
                model: MODEL,
                pending: None,
                oldest: WeightVersion(0),
                oldest_queued: WeightVersion(0),
            }),
            exact: None,
            evacuation: None,
            tried: &[],
            owned: &HashSet::default(),
            read_rate: None,
            returning,
            reserve: 0,
            duration: WORK,
            memory: None,
            spill: None,
        };
        let (away, ids, now) = (&self.away, &self.ids, self.now);
        let here = |id: &EndpointId| ids.iter().position(|i| i == id).filter(|i| away[*i] <= now);
        let endpoints = self.table.iter().filter(|e| here(&e.id).is_some());
        let id = balancer.pick(endpoints, &query, now)?.id.clone();
        Ok(here(&id).expect("it was offered"))
    }

    fn begin(&mut self, entry: usize, engine: usize, caller: Caller) {
        self.entries[entry]
            .times
            .record_begun(caller.back && self.sign == Sign::Rejections, self.now);
        let id = &self.ids[engine];
        self.entries[entry].balancer.begin(id, 0, self.now);
        let busy = &mut self.flights[engine];
        // Requests beyond the slots wait for the first ones to end.
        busy.sort_unstable_by_key(|f| f.end);
        let waits = busy.len().checked_sub(SLOTS as usize);
        let start = waits.map_or(self.now, |i| busy[i].end);
        let work = WORK.0 / 2 + self.rng.u64(0..=WORK.0);
        let end = start + Millis(work);
        if caller.counted && end <= caller.deadline {
            let in_time = start + FIRST_EVENT <= caller.first_at + caller.objective;
            self.totals.in_time += u32::from(in_time);
            self.totals.late += u32::from(!in_time);
        }
        busy.push(Flight { entry, end });
    }

    fn end_flights(&mut self) {
        let now = self.now;
        for (busy, id) in self.flights.iter_mut().zip(&self.ids) {
            while let Some(i) = busy.iter().position(|f| f.end <= now) {
                let flight = busy.swap_remove(i);
                let count = busy.len() as u32;
                let load = ReportedLoad {
                    running: count.min(SLOTS),
                    waiting: count.saturating_sub(SLOTS),
                    slots: SLOTS,
                    pace: None,
                };
                let balancer = &mut self.entries[flight.entry].balancer;
                balancer.end(id, Outcome::Served, now);
                balancer.report(id, Some(load), None, now);
            }
        }
    }

    /// Lets an engine crash if one is due: its requests end, and it is away for a while.
    fn crash(&mut self, interval: Option<Millis>) {
        if interval.is_none_or(|interval| !self.now.0.is_multiple_of(interval.0)) {
            return;
        }
        let engine = self.rng.usize(0..self.ids.len());
        self.away[engine] = self.now + CRASH;
        self.lose_flights(engine);
    }

    fn lose_flights(&mut self, engine: usize) {
        for flight in std::mem::take(&mut self.flights[engine]) {
            let balancer = &mut self.entries[flight.entry].balancer;
            balancer.end(&self.ids[engine], Outcome::Unreachable, self.now);
        }
    }

    fn gossip(&mut self) {
        let now = self.now;
        let others = self.entries.len() - 1;
        for from in 0..self.entries.len() {
            if now.0 % GOSSIP.0 != self.entries[from].phase {
                continue;
            }
            let entry = &mut self.entries[from];
            entry.balancer.set_peers_complete(others <= LOAD_FANOUT);
            let news = entry.rejections.take_news(now);
            let loads = entry.balancer.in_flight();
            let addr = format!("10.1.{}.{}:80", from / 256, from % 256);
            let addr = addr.parse().expect("a valid address");
            let mut targets: Vec<usize> = (0..=others).filter(|to| *to != from).collect();
            self.rng.shuffle(&mut targets);
            for to in targets.iter().take(LOAD_FANOUT) {
                let balancer = &mut self.entries[*to].balancer;
                balancer.merge_peer_load(addr, &loads, now);
            }
            for to in targets.into_iter().take(REJECTION_FANOUT) {
                self.news.push((now + DELAY, to, news.clone()));
            }
        }
        let (due, later): (Vec<_>, Vec<_>) = self.news.drain(..).partition(|n| n.0 <= now);
        self.news = later;
        for (_, to, news) in due {
            self.entries[to].rejections.merge(&news, now);
        }
    }
}
