//! Admission control: fairness, deadlines, and the reserve for status checks.

mod entry_support;

use std::{collections::BTreeMap, sync::Arc};

use assert_matches::assert_matches;
use entry_support::{outcome, reply, until, whole, World};
use sesamewing::{
    base::{Millis, RequestId, Workspace},
    decide::limit::{
        share::Share, AdmissionRequest, Class, Limiter, Reason, Ticket, Verdict, STATUS_RESERVE,
    },
};

const WIDE: Share = Share {
    concurrency: 10_000,
    rate: 10_000_000,
};

fn admission_request(workspace: &Workspace) -> AdmissionRequest<'_> {
    AdmissionRequest {
        workspace,
        share: WIDE,
        weight: 1,
        wait: Millis(500),
        remaining: Millis(30_000),
        class: Class::Work,
    }
}

fn space(name: &str) -> Workspace {
    name.parse().unwrap()
}

/// Simulated load on one limiter, in steps of 1 ms.
struct Load {
    limiter: Limiter,
    random: fastrand::Rng,
    /// End, arrival and workspace of each admitted request.
    running: Vec<(Millis, Millis, usize)>,
    /// Workspace, end of the wait and arrival of each waiting request.
    waiting: BTreeMap<Ticket, (usize, Millis, Millis)>,
    /// Requests that ended before their deadline, for each workspace.
    good: Vec<u32>,
    offered: Vec<u32>,
    rejected: u32,
}

const WINDOW: u32 = 20;
/// Mean duration of a request, in milliseconds.
const SERVICE_MS: u64 = 100;
const DEADLINE: Millis = Millis(1000);

impl Load {
    /// Offers the rate (requests per second) of each workspace with its weight, for `time`.
    fn run(seed: u64, spaces: &[(u64, u32)], time: Millis) -> Self {
        let mut load = Self {
            limiter: Limiter::default(),
            random: fastrand::Rng::with_seed(seed),
            running: Vec::new(),
            waiting: BTreeMap::new(),
            good: vec![0; spaces.len()],
            offered: vec![0; spaces.len()],
            rejected: 0,
        };
        load.limiter.set_window(Millis(1), WINDOW);
        let names: Vec<_> = (0..spaces.len()).map(|i| space(&format!("w{i}"))).collect();
        for ms in 1..time.0 {
            let now = Millis(ms);
            load.end(now, &names);
            for (i, (rate, weight)) in spaces.iter().enumerate() {
                // At most four arrivals per millisecond.
                let arrivals = (0..4).filter(|_| load.random.u64(0..4000) < *rate).count();
                for _ in 0..arrivals {
                    load.offered[i] += 1;
                    let mut a = admission_request(&names[i]);
                    (a.weight, a.remaining) = (*weight, DEADLINE);
                    match load.limiter.admit(now, &a) {
                        Verdict::Admit(_) => load.start(now, i, now),
                        Verdict::Wait(t, until) => drop(load.waiting.insert(t, (i, until, now))),
                        Verdict::Refuse(..) => load.rejected += 1,
                    }
                    load.admit(now);
                }
            }
        }
        load
    }

    fn start(&mut self, now: Millis, workspace: usize, arrived: Millis) {
        let time = SERVICE_MS / 2 + self.random.u64(0..=SERVICE_MS);
        self.running.push((now + Millis(time), arrived, workspace));
    }

    fn admit(&mut self, now: Millis) {
        for t in self.limiter.take_admitted() {
            let (i, _, arrived) = self
                .waiting
                .remove(&t)
                .expect("only a waiting request is admitted");
            self.start(now, i, arrived);
        }
    }

    fn end(&mut self, now: Millis, names: &[Workspace]) {
        let (over, running) = self.running.drain(..).partition(|(end, ..)| *end <= now);
        self.running = running;
        let over: Vec<(Millis, Millis, usize)> = over;
        for (end, arrived, i) in over {
            self.good[i] += u32::from(end - arrived <= DEADLINE);
            let duration = Some(Millis(SERVICE_MS));
            self.limiter.release(now, &names[i], Class::Work, duration);
            self.admit(now);
        }
        let late: Vec<_> = self
            .waiting
            .iter()
            .filter(|(_, w)| w.1 <= now)
            .map(|(t, w)| (*t, w.0))
            .collect();
        for (t, i) in late {
            assert!(
                self.limiter.cancel(&names[i], t),
                "an expired request was admitted but not returned"
            );
            self.waiting.remove(&t);
            self.rejected += 1;
        }
    }
}

/// Guards against a workspace beyond its share that takes capacity from one with a small share.
#[test]
fn small_workspace_gets_its_share() {
    let capacity = u64::from(WINDOW) * 1000 / SERVICE_MS;
    for (seed, weights) in [(1, [1, 1]), (2, [3, 1]), (3, [9, 1])] {
        let sum: u32 = weights.iter().sum();
        let entitled = capacity * u64::from(weights[1]) / u64::from(sum);
        // With an offered load of exactly its share, random gaps and bursts alone would lose some of it.
        let spaces = [(capacity * 5, weights[0]), (entitled * 5 / 4, weights[1])];
        let load = Load::run(seed, &spaces, Millis(20_000));
        let share = f64::from(load.good[1]) / (entitled * 20) as f64;
        println!("weights {weights:?}: small workspace gets {share:.3} of its share");
        assert!(share >= 0.9, "seed {seed}: {share}");
    }
}

/// Guards against a workspace that stays below its share and still loses requests to one beyond its share.
#[test]
fn workspace_below_its_share_is_served() {
    let capacity = u64::from(WINDOW) * 1000 / SERVICE_MS;
    for (seed, weights) in [(4, [1, 1]), (5, [3, 1]), (6, [9, 1])] {
        let sum: u32 = weights.iter().sum();
        let offered = capacity * u64::from(weights[1]) / u64::from(sum) * 4 / 5;
        let load = Load::run(
            seed,
            &[(capacity * 5, weights[0]), (offered, weights[1])],
            Millis(20_000),
        );
        let share = f64::from(load.good[1]) / f64::from(load.offered[1]);
        println!("weights {weights:?}: {share:.3} of the requests at 80% of the share end in time");
        assert!(share >= 0.9, "seed {seed}: {share}");
    }
}

/// Guards against goodput that falls when the offered load is twice the capacity.
#[test]
fn goodput_holds_at_twice_the_capacity() {
    let capacity = u64::from(WINDOW) * 1000 / SERVICE_MS;
    let at = |rate| {
        let load = Load::run(7, &[(rate, 1)], Millis(20_000));
        f64::from(load.good[0])
    };
    let ratio = at(capacity * 2) / at(capacity);
    println!("goodput at twice the capacity: {ratio:.3} of that at capacity");
    assert!(ratio >= 0.95, "{ratio}");
}

/// Guards against requests that wait although queue and measured durations rule out a response in time.
#[test]
fn unreachable_deadline_is_rejected_at_once() {
    let lab = space("lab");
    let mut l = Limiter::default();
    l.set_window(Millis(1), 2);
    for i in 0..8 {
        assert_matches!(
            l.admit(Millis(i), &admission_request(&lab)),
            Verdict::Admit(_)
        );
        l.release(Millis(i), &lab, Class::Work, Some(Millis(2000)));
    }
    let urgent = AdmissionRequest {
        remaining: Millis(500),
        ..admission_request(&lab)
    };
    assert_matches!(
        l.admit(Millis(10), &urgent),
        Verdict::Refuse(Reason::Deadline, _)
    );
    assert_matches!(
        l.admit(Millis(10), &admission_request(&lab)),
        Verdict::Admit(_)
    );
    assert_matches!(
        l.admit(Millis(10), &admission_request(&lab)),
        Verdict::Admit(_)
    );
    // A request ends only after about a second, and the workspace waits at most half a second.
    assert_matches!(l.admit(Millis(10), &admission_request(&lab)), Verdict::Refuse(Reason::Saturated, t) if t >= Millis(500));
    // Old measurements must not reject requests for ever.
    let later = Millis(60_000);
    l.release(later, &lab, Class::Work, None);
    assert_matches!(l.admit(later, &urgent), Verdict::Admit(_));
}

/// Guards against status checks that queue behind other requests, and against an unbounded reserve.
#[test]
fn status_checks_have_a_reserve() {
    let lab = space("lab");
    let mut l = Limiter::default();
    l.set_window(Millis(1), 1);
    assert_matches!(
        l.admit(Millis(1), &admission_request(&lab)),
        Verdict::Admit(Class::Work)
    );
    assert_matches!(
        l.admit(Millis(1), &admission_request(&lab)),
        Verdict::Wait(..)
    );
    let status = AdmissionRequest {
        class: Class::Status,
        ..admission_request(&lab)
    };
    for _ in 0..STATUS_RESERVE {
        assert_matches!(l.admit(Millis(1), &status), Verdict::Admit(Class::Status));
    }
    assert_matches!(l.admit(Millis(1), &status), Verdict::Wait(..));
    l.release(Millis(2), &lab, Class::Status, None);
    assert_matches!(l.admit(Millis(2), &status), Verdict::Admit(Class::Status));
}

/// Guards against a rate limit that admits more, or that rejects without a useful time to retry.
#[test]
fn rate_limit_rejects_with_retry_time() {
    let lab = space("lab");
    let mut l = Limiter::default();
    l.set_window(Millis(1), 1000);
    let slow = AdmissionRequest {
        share: Share {
            concurrency: 100,
            rate: 2000,
        },
        wait: Millis(100),
        ..admission_request(&lab)
    };
    assert_matches!(l.admit(Millis(1), &slow), Verdict::Admit(_));
    assert_matches!(l.admit(Millis(1), &slow), Verdict::Admit(_));
    assert_matches!(l.admit(Millis(1), &slow), Verdict::Refuse(Reason::Rate, t) if t == Millis(500));
    let mut passed = 0;
    for t in (2..10_002).step_by(10) {
        let now = Millis(t);
        passed += usize::from(matches!(l.admit(now, &slow), Verdict::Admit(_)));
        passed += l.take_admitted().len();
    }
    assert!(
        (17..=20).contains(&passed),
        "{passed} in 10 s at 2 a second"
    );
}

/// Guards against the reason "the service has no room" for a request that waited only for its workspace's rate limit.
#[test]
fn rate_is_the_reason_when_the_wait_ends() {
    let lab = space("lab");
    let mut l = Limiter::default();
    l.set_window(Millis(1), 1000);
    let slow = AdmissionRequest {
        share: Share {
            concurrency: 100,
            rate: 2000,
        },
        wait: Millis(600),
        ..admission_request(&lab)
    };
    assert_matches!(l.admit(Millis(1), &slow), Verdict::Admit(_));
    assert_matches!(l.admit(Millis(1), &slow), Verdict::Admit(_));
    let Verdict::Wait(ticket, _) = l.admit(Millis(1), &slow) else {
        panic!("a token becomes available within the wait");
    };
    l.cancel(&lab, ticket);
    // By now the next token is available.
    l.dispatch(Millis(700));
    assert_eq!(l.blocking_reason(&lab), Reason::Rate);
}

/// Guards against admissions beyond window or share, and against requests that are admitted but never returned.
#[test]
fn bounds_hold_under_any_order_of_events() {
    let names = [space("a"), space("b"), space("c")];
    for seed in 0..200 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut l = Limiter::default();
        let (mut now, mut window) = (Millis(1), 4);
        l.set_window(now, window);
        let mut waiting: BTreeMap<Ticket, (usize, Millis)> = BTreeMap::new();
        let mut running = [0_u32; 3];
        for _ in 0..500 {
            now += Millis(random.u64(0..20));
            let i = random.usize(0..3);
            let before: u32 = running.iter().sum();
            match random.u32(0..10) {
                0..5 => {
                    let share = Share {
                        concurrency: 1 + i as u32,
                        ..WIDE
                    };
                    match l.admit(
                        now,
                        &AdmissionRequest {
                            share,
                            ..admission_request(&names[i])
                        },
                    ) {
                        Verdict::Admit(_) => running[i] += 1,
                        Verdict::Wait(t, until) => drop(waiting.insert(t, (i, until))),
                        Verdict::Refuse(..) => {}
                    }
                }
                5..8 if running[i] > 0 => {
                    running[i] -= 1;
                    l.release(now, &names[i], Class::Work, Some(Millis(30)));
                }
                8 => {
                    window = random.u32(0..6);
                    l.set_window(now, window);
                }
                _ => {
                    let Some((t, (i, _))) = waiting.pop_first() else {
                        continue;
                    };
                    l.cancel(&names[i], t);
                }
            }
            for t in l.take_admitted() {
                let (i, until) = waiting.remove(&t).expect("waits and was not cancelled");
                assert!(until >= now, "seed {seed}: admitted after its wait ended");
                running[i] += 1;
            }
            let sum: u32 = running.iter().sum();
            assert_eq!(l.in_flight(), sum, "seed {seed}");
            assert!(sum <= window.max(before), "seed {seed}: {sum} of {window}");
            for (i, n) in running.iter().enumerate() {
                assert!(*n <= 1 + i as u32, "seed {seed}: {n} of workspace {i}");
            }
        }
    }
}

/// Guards against a status check that waits behind non-repeatable requests.
#[tokio::test(flavor = "multi_thread")]
async fn status_check_passes_during_overload() {
    let world = World::plain(1).await;
    let go = Arc::new(tokio::sync::Semaphore::new(0));
    let wait = go.clone();
    world.agents[0].script(move |req, mut call| {
        let wait = wait.clone();
        async move {
            if req.method == "POST" {
                let _permit = wait.acquire().await;
            }
            reply(&mut call, whole(req.id, None, 0, &["ok"])).await;
        }
    });
    world.agents[0].set(|r| r.capacity = 1);
    let order = || {
        let id = RequestId::now().to_string();
        let req = world.request("POST", "/v1/services/orders/new");
        tokio::spawn(req.header("Idempotency-Key", id).body("dig").send())
    };
    // One request runs and one waits at the endpoint; the window has no room for another.
    let orders = [order(), order()];
    until("two orders at the endpoint", || world.runs() == 2).await;
    let (status, body) = outcome(order().await.unwrap().unwrap()).await;
    assert_eq!((status, &body["outcome"]), (503, &"not_run".into()));
    let resp = world
        .request("GET", "/v1/services/orders/17")
        .send()
        .await
        .unwrap();
    assert_eq!(resp.status(), 200);
    assert_eq!(world.runs(), 3);
    go.add_permits(2);
    for order in orders {
        assert_eq!(order.await.unwrap().unwrap().status(), 200);
    }
}

/// Guards against rejections under overload that are late, without a time to retry, or with the same time for all
/// callers.
#[tokio::test(flavor = "multi_thread")]
async fn overload_is_rejected_with_spread_retry_times() {
    let world = World::start(
        "drafts",
        1,
        &[
            (
                "/east/drafts",
                &[("weights.version", entry_support::VERSION)],
            ),
            (
                "/east/drafts/lab",
                &[("limit.rate", "1"), ("limit.wait", "0ms")],
            ),
        ],
    )
    .await;
    assert_eq!(world.completion(false).send().await.unwrap().status(), 200);
    let mut times = Vec::new();
    for _ in 0..20 {
        let begun = std::time::Instant::now();
        let resp = world.completion(false).send().await.unwrap();
        if resp.status() == 200 {
            continue;
        }
        assert!(resp.headers().contains_key("Retry-After"));
        let (status, body) = outcome(resp).await;
        assert_eq!(
            (status, &body["outcome"]),
            (429, &"not_run".into()),
            "{body}"
        );
        assert!(begun.elapsed().as_secs() < 5, "rejected at once");
        times.push(body["retry_after_ms"].as_u64().unwrap());
    }
    times.sort_unstable();
    times.dedup();
    assert!(times.len() >= 8, "spread: {times:?}");
}
