//! Requests that can still meet their latency objective get slots before others under overload; a model without a network.

use sesamewing::{
    base::Millis,
    decide::{
        return_times::{RejectedRequest, ReturnTimes},
        worth::{meets_objective, Group, WorthLoad, WorthRequest},
    },
};

/// Requests that an engine runs at once.
const SLOTS: usize = 12;

/// Shortest time of a request in its slot, and the spread among them.
const WORK: Millis = Millis(200);
const WORK_SPREAD: u64 = 800;
const WORK_MEAN: u64 = WORK.0 + WORK_SPREAD / 2;

/// Age of what entries know of the load of engines.
const STALE: u64 = 250;

/// Time that is played, and its part whose callers are not counted.
const TIME: Millis = Millis(16_000);
const SETTLING: Millis = Millis(3000);

/// Engines of which the least loaded one is chosen.
const CHOICES: usize = 4;

/// Time from the start at an engine to the first event.
const FIRST_EVENT: Millis = Millis(60);

/// Latency objective of each route.
const OBJECTIVES: [Millis; 3] = [Millis(400), Millis(800), Millis(800)];

/// Days that are played of each load.
const SEEDS: [u64; 6] = [1, 2, 3, 4, 5, 6];

const LATE_WORTH: f64 = 0.2;

/// Largest difference that chance makes.
const NOISE: f64 = 0.01;

/// What entries do with requests that can't meet their objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rule {
    /// As others.
    Alike,
    /// They leave slots free and wait behind others.
    Weighed,
}

#[derive(Clone, Copy, Debug)]
struct Request {
    entry: usize,
    route: usize,
    first_at: Millis,
    deadline: Millis,
    work: Millis,
    back: bool,
    sent_at: Millis,
}

#[derive(Debug, Default)]
struct Engine {
    /// When each running request ends.
    running: Vec<Millis>,
    /// Urgency, order of arrival and request.
    waiting: Vec<(u8, u64, Request)>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    requests: [u32; 3],
    begun: [u32; 3],
    rejections: u32,
    twice: u32,
    in_time: u32,
    late: u32,
}

impl std::ops::AddAssign for Totals {
    fn add_assign(&mut self, other: Self) {
        for i in 0..self.requests.len() {
            self.requests[i] += other.requests[i];
            self.begun[i] += other.begun[i];
        }
        self.rejections += other.rejections;
        self.twice += other.twice;
        self.in_time += other.in_time;
        self.late += other.late;
    }
}

impl Totals {
    fn share(&self, count: u32) -> f64 {
        f64::from(count) / f64::from(self.requests.iter().sum::<u32>().max(1))
    }

    fn worth(&self) -> f64 {
        self.share(self.in_time) + LATE_WORTH * self.share(self.late)
    }
}

struct Model {
    engines: Vec<Engine>,
    seen: Vec<usize>,
    entries: Vec<(WorthLoad, ReturnTimes, Vec<u32>)>,
    back: Vec<(Millis, Request)>,
    rng: fastrand::Rng,
    rule: Rule,
    spread: bool,
    totals: Totals,
    order: u64,
    now: Millis,
}

fn groups(route: usize) -> [Group; 1] {
    [Group::Route(format!("r{route}").into())]
}

impl Model {
    fn new(entries: usize, engines: usize, rule: Rule, spread: bool, seed: u64) -> Self {
        fastrand::seed(seed);
        let entry = || {
            (
                WorthLoad::default(),
                ReturnTimes::default(),
                vec![0; engines],
            )
        };
        Self {
            engines: (0..engines).map(|_| Engine::default()).collect(),
            seen: vec![0; engines],
            entries: (0..entries).map(|_| entry()).collect(),
            back: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
            rule,
            spread,
            totals: Totals::default(),
            order: 0,
            now: Millis::ZERO,
        }
    }

    fn run(mut self, load: u64) -> Totals {
        let capacity = (self.engines.len() * SLOTS) as u64 * 1000 / WORK_MEAN;
        let mut due = 0;
        while self.now < TIME {
            self.serve();
            if self.now.0.is_multiple_of(STALE) {
                let loads = self
                    .engines
                    .iter()
                    .map(|e| e.running.len() + e.waiting.len());
                self.seen = loads.collect();
                self.entries.iter_mut().for_each(|e| e.2.fill(0));
            }
            due += capacity * load / 100;
            while due >= 1000 {
                due -= 1000;
                let request = self.first_attempt();
                if request.first_at >= SETTLING {
                    self.totals.requests[request.route] += 1;
                }
                self.attempt(request);
            }
            let now = self.now;
            let (returns, later) = self.back.drain(..).partition(|b| b.0 <= now);
            self.back = later;
            let returns: Vec<(Millis, Request)> = returns;
            for (_, request) in returns {
                let entry = self.rng.usize(0..self.entries.len());
                self.attempt(Request { entry, ..request });
            }
            self.now += Millis(1);
        }
        self.totals
    }

    fn first_attempt(&mut self) -> Request {
        let route = self.rng.usize(0..3);
        let patience = if route == 0 {
            1500 + self.rng.u64(0..1000)
        } else {
            6000
        };
        Request {
            entry: self.rng.usize(0..self.entries.len()),
            route,
            first_at: self.now,
            deadline: self.now + Millis(patience),
            work: WORK + Millis(self.rng.u64(0..=WORK_SPREAD)),
            back: false,
            sent_at: Millis::ZERO,
        }
    }

    fn attempt(&mut self, request: Request) {
        let now = self.now;
        let groups = groups(request.route);
        let objective = OBJECTIVES[request.route];
        let wait = self.entries[request.entry].0.expected_wait();
        let late = request.back && !meets_objective(now - request.first_at, wait, objective);
        let weighed = WorthRequest {
            groups: &groups,
            late,
            duration: request.work,
        };
        let (worth, times, sent) = &mut self.entries[request.entry];
        let is_weighed = self.rule == Rule::Weighed;
        let kept = if is_weighed {
            worth.reserve(weighed, SLOTS as u32, now) as usize
        } else {
            0
        };
        let kept = kept + if request.back { SLOTS.div_ceil(8) } else { 0 };
        let (seen, rng) = (&self.seen, &mut self.rng);
        let load = |i: &usize| seen[*i] + sent[*i] as usize;
        let chosen = (0..CHOICES)
            .map(|_| rng.usize(0..seen.len()))
            .min_by_key(load);
        let open = chosen.filter(|i| load(i) < SLOTS - kept);
        worth.record(weighed, open.is_some(), now);
        if let Some(i) = open {
            times.record_begun(request.back, now);
            sent[i] += 1;
            let scarce = is_weighed && worth.is_scarce(now);
            let urgency = match (scarce && late, request.back) {
                (true, _) => 9,
                (false, back) => 5 + u8::from(back),
            };
            self.order += 1;
            self.engines[i].waiting.push((
                urgency,
                self.order,
                Request {
                    sent_at: now,
                    ..request
                },
            ));
            return;
        }
        let counted = request.first_at >= SETTLING;
        self.totals.rejections += u32::from(counted);
        self.totals.twice += u32::from(counted && request.back);
        let left = request.deadline - now;
        let wait = if self.spread {
            let rejected = RejectedRequest {
                left: Some(left),
                objective: if request.back {
                    Millis::ZERO
                } else {
                    Millis(objective.0 / 2)
                },
                available: None,
                outage: false,
            };
            times.schedule(rejected, now).wait()
        } else {
            sesamewing::base::jitter(Millis(250))
        };
        if !request.back && wait.0 <= left.0 / 3 {
            self.back.push((
                now + wait,
                Request {
                    back: true,
                    ..request
                },
            ));
        }
    }

    /// Ends requests at the engines, and begins those that wait, the most urgent first.
    fn serve(&mut self) {
        let now = self.now;
        for engine in &mut self.engines {
            engine.running.retain(|end| *end > now);
            engine.waiting.retain(|w| w.2.deadline > now);
            while engine.running.len() < SLOTS {
                let next = (0..engine.waiting.len()).min_by_key(|i| {
                    let (urgency, order, _) = engine.waiting[*i];
                    (urgency, order)
                });
                let Some(next) = next else { break };
                let (urgency, _, request) = engine.waiting.swap_remove(next);
                if urgency < 9 {
                    let wait = now + FIRST_EVENT - request.sent_at;
                    self.entries[request.entry].0.record_wait(wait);
                }
                let end = now + request.work;
                engine.running.push(end);
                if request.first_at < SETTLING || end > request.deadline {
                    continue;
                }
                let objective = OBJECTIVES[request.route];
                let in_time = now + FIRST_EVENT <= request.first_at + objective;
                self.totals.begun[request.route] += 1;
                self.totals.in_time += u32::from(in_time);
                self.totals.late += u32::from(!in_time);
            }
        }
    }
}

/// Load pattern: 1.35 and 2.2 times the capacity, and callers that return. Guards against late requests that take the
/// slots of those that can be in time, and against a route that is shut out.
#[test]
fn requests_in_time_come_first() {
    for (entries, engines) in [(9, 11), (48, 34)] {
        for load in [135, 220] {
            let play = |rule, spread| {
                let mut t = Totals::default();
                for seed in SEEDS {
                    t += Model::new(entries, engines, rule, spread, seed).run(load);
                }
                println!(
                    "load {load}, {entries} entries, {rule:?}, spread {spread}: {:.3} rejections per request, \
                     {:.3} rejected twice, {:.3} in time, {:.3} late, worth {:.3}",
                    t.share(t.rejections),
                    t.share(t.twice),
                    t.share(t.in_time),
                    t.share(t.late),
                    t.worth()
                );
                t
            };
            for spread in [false, true] {
                let alike = play(Rule::Alike, spread);
                let weighed = play(Rule::Weighed, spread);
                assert!(
                    weighed.worth() >= alike.worth() - NOISE,
                    "{entries}, {load}, {spread}"
                );
                if !spread {
                    // Callers that return after the same short time are many.
                    assert!(weighed.worth() > alike.worth() + NOISE, "{entries}, {load}");
                }
                let begun = weighed.begun.iter().sum();
                let floor = 0.4 * weighed.share(begun);
                for (begun, offered) in weighed.begun.iter().zip(weighed.requests) {
                    let share = f64::from(*begun) / f64::from(offered);
                    assert!(share >= floor, "{weighed:?}");
                }
            }
        }
    }
}

/// Returns the state after ten requests a second for 5 s, of which every second one began, and the time. Those of route 1
/// began as often as `begun` in ten says.
fn scarce(begun: u64) -> (WorthLoad, Millis) {
    let mut load = WorthLoad::default();
    for i in 0..50 {
        let now = Millis(i * 100);
        for (route, begins) in [(0, i % 2 == 0), (1, i % 10 < begun)] {
            load.record(request(&groups(route), false, WORK_MEAN), begins, now);
        }
    }
    (load, Millis(5000))
}

fn request(groups: &[Group], late: bool, duration: u64) -> WorthRequest<'_> {
    WorthRequest {
        groups,
        late,
        duration: Millis(duration),
    }
}

/// Guards against a request that is rejected because it is long, and against late ones that all leave the same: a short
/// one is worth as much for its time as a usual one in time.
#[test]
fn worth_counts_for_the_time() {
    let (load, now) = scarce(5);
    let groups = groups(0);
    let kept = |late, duration| load.reserve(request(&groups, late, duration), 12, now);
    assert_eq!(kept(false, 10 * WORK_MEAN), 0);
    assert_eq!(kept(true, WORK_MEAN / 5), 0);
    assert!(kept(true, WORK_MEAN) > 0);
    assert!(kept(true, 4 * WORK_MEAN) >= kept(true, WORK_MEAN));
}

/// Guards against late requests that leave slots free in calm.
#[test]
fn calm_leaves_nothing_free() {
    let (load, now) = scarce(5);
    let later = now + Millis(2500);
    assert!(load.is_scarce(now) && !load.is_scarce(later));
    let late = request(&groups(0), true, WORK_MEAN).duration;
    assert_eq!(
        load.reserve(request(&groups(0), true, late.0), 12, later),
        0
    );
}

/// Guards against a route that is shut out: one below its floor leaves nothing free.
#[test]
fn routes_have_a_floor() {
    let (load, now) = scarce(1);
    assert!(load.is_below_floor(&groups(1), now));
    assert!(!load.is_below_floor(&groups(0), now));
    assert_eq!(
        load.reserve(request(&groups(1), true, WORK_MEAN), 12, now),
        0
    );
    assert!(load.reserve(request(&groups(0), true, WORK_MEAN), 12, now) > 0);
}

/// Guards against a count of routes and workspaces that grows with each name.
#[test]
fn many_names_are_bounded() {
    let mut load = WorthLoad::default();
    for route in 0..5000 {
        load.record(request(&groups(route), false, WORK_MEAN), true, Millis(1));
    }
    assert!(!load.is_below_floor(&groups(4999), Millis(1)));
}
