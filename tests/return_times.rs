//! When rejected callers are told to return; a model without a network.

mod admission_support;

use admission_support::{Count, Crowd, Load, Model, Sign, Totals};
use sesamewing::{
    base::Millis,
    decide::return_times::{RejectedRequest, ReturnTime, ReturnTimes},
};

/// Entries and engines of the deployments.
const SIZES: [(usize, usize); 2] = [(9, 11), (48, 34)];

const ROUTES: usize = 3;

/// Days that are played of each load.
const SEEDS: [u64; 3] = [11, 12, 13];

/// Largest difference that chance makes between the means of two series of days.
const NOISE: f64 = 0.01;

const LOAD: Load = Load {
    calm: 80,
    crowd: 135,
    from: Millis(3000),
    end: Millis(13_000),
    crashes: None,
    returns: 100,
    equal: None,
};

/// Plays a load with the load balancer's return times and with those of [`ReturnTimes`], and prints both. Checks that
/// on no route first attempts pay for spread returns, and that the engines are not left idle in an overload.
fn compare(
    case: &str,
    (entries, engines): (usize, usize),
    load: Load,
    crowd: Crowd,
    sign: Sign,
) -> [Totals; 2] {
    let mut shares = Vec::new();
    let totals = [false, true].map(|spread| {
        let (mut sum, mut used) = (Totals::default(), 0);
        let mut first = [Count::default(); ROUTES];
        for seed in SEEDS {
            let model = Model::new(entries, engines, ROUTES, sign, seed);
            let out = model.with_crowd(Crowd { spread, ..crowd }).run(load);
            assert!(out.calm.iter().all(|c| c.share() > 0.9), "{:?}", out.calm);
            for (sum, count) in first.iter_mut().zip(&out.crowd) {
                sum.first += count.first;
                sum.first_begun += count.first_begun;
            }
            used += out.used;
            sum += out.totals;
        }
        println!(
            "{case}, {entries} entries, spread {spread}: {:.3} rejections per request, {:.3} rejected twice, \
             {:.3} served, {:.3} in time, worth {:.3}",
            sum.rejections(),
            sum.twice(),
            sum.served(),
            sum.in_time(),
            sum.worth(),
        );
        if load.crowd > 120 {
            assert!(used >= 90 * SEEDS.len() as u32, "{case}: {used}");
        }
        shares.push(first.map(|c| c.share()));
        sum
    });
    for (short, spread) in shares[0].iter().zip(shares[1]) {
        assert!(spread >= short - 2.0 * NOISE, "{case}: {shares:?}");
    }
    totals
}

const CROWD: Crowd = Crowd {
    spread: false,
    outage: None,
};

/// Load pattern: 1.35 and 2.2 times the capacity for ten seconds. Guards against callers that are told to return into
/// the same overload and are rejected twice, and against first attempts that pay for it.
#[test]
fn lasting_overload_rejects_once() {
    for size in SIZES {
        for crowd in [135, 220] {
            let load = Load { crowd, ..LOAD };
            let case = format!("{crowd} %");
            let [short, spread] = compare(&case, size, load, CROWD, Sign::Rejections);
            assert!(spread.rejections() < 0.65 * short.rejections(), "{case}");
            assert!(spread.twice() < 0.2 * short.twice(), "{case}");
            assert!(spread.in_time() >= short.in_time() - NOISE, "{case}");
            assert!(spread.worth() >= short.worth() - NOISE, "{case}");
            assert!(spread.served() >= short.served() - 2.0 * NOISE, "{case}");
        }
    }
}

/// Load pattern: a little less and a little more than the capacity. Guards against slots that stay idle because
/// callers are not told to return.
#[test]
fn short_bursts_are_served() {
    for size in SIZES {
        for crowd in [95, 105] {
            let load = Load { crowd, ..LOAD };
            let case = format!("{crowd} %");
            let [short, spread] = compare(&case, size, load, CROWD, Sign::Rejections);
            assert!(spread.served() >= short.served() - NOISE, "{case}");
            assert!(spread.worth() >= short.worth() - NOISE, "{case}");
            assert!(spread.rejections() <= short.rejections(), "{case}");
        }
    }
}

/// Load pattern: 1.35 times the capacity by callers that entries can't tell from those at their first attempt. Guards
/// against an entry that needs to know who returns.
#[test]
fn unknown_returns_are_few() {
    for size in SIZES {
        let [short, spread] = compare("unknown", size, LOAD, CROWD, Sign::None);
        assert!(spread.rejections() < 0.65 * short.rejections());
        assert!(spread.worth() >= short.worth() - NOISE);
    }
}

/// Load pattern: no endpoint for 2 to 5 s, and callers that return. Guards against returns during the outage, and
/// against more callers after it than can be served.
#[test]
fn outages_are_waited_for() {
    for size in SIZES {
        for time in [2000, 3500, 5000] {
            for crowd in [70, 110] {
                let load = Load { crowd, ..LOAD };
                let outage = Some((Millis(5000), Millis(5000 + time)));
                let case = format!("outage of {time} ms at {crowd} %");
                let [short, spread] = compare(
                    &case,
                    size,
                    load,
                    Crowd { outage, ..CROWD },
                    Sign::Rejections,
                );
                assert!(spread.served() >= short.served() - 2.0 * NOISE, "{case}");
                assert!(spread.worth() >= short.worth() - NOISE, "{case}");
                let most = short.rejections() + NOISE;
                assert!(spread.rejections() <= most, "{case}");
            }
        }
    }
}

const REQUEST: RejectedRequest = RejectedRequest {
    left: Some(Millis(6000)),
    objective: Millis(400),
    available: None,
    outage: false,
};

/// Begins `begun` requests a second for 10 s, and returns the state and the time.
fn busy(begun: u64) -> (ReturnTimes, Millis) {
    let mut times = ReturnTimes::default();
    let count = begun * 10;
    for i in 0..count {
        times.record_begun(false, Millis(i * 1000 / begun));
    }
    (times, Millis(10_000))
}

fn rejects(
    times: &mut ReturnTimes,
    count: u64,
    request: RejectedRequest,
    now: Millis,
) -> Vec<ReturnTime> {
    (0..count).map(|_| times.schedule(request, now)).collect()
}

/// Returns the waits of those that are told to return while they wait.
fn told(all: &[ReturnTime]) -> Vec<Millis> {
    let told = all.iter().filter(|t| matches!(t, ReturnTime::After(_)));
    told.map(|t| t.wait()).collect()
}

/// Load pattern: 400 rejections at once. Guards against more callers that are told to return than can be served, and
/// against those beyond that being told a time at which they come.
#[test]
fn crowd_is_told_it_is_too_late() {
    let (mut times, now) = busy(100);
    let all = rejects(&mut times, 400, REQUEST, now);
    let told = told(&all);
    assert!((5..60).contains(&told.len()), "{}", told.len());
    assert!(told.iter().all(|w| w.0 <= 2000), "{told:?}");
    for late in all.iter().filter(|t| matches!(t, ReturnTime::TooLate(_))) {
        assert!(late.wait() >= Millis(6000), "{late:?}");
    }
}

/// Guards against returns that miss the latency objective although there is room before it, and against many at one
/// moment.
#[test]
fn returns_are_in_time_and_spread() {
    let (mut times, now) = busy(100);
    let waits = told(&rejects(&mut times, 12, REQUEST, now));
    assert!(waits.iter().all(|w| *w <= Millis(400)), "{waits:?}");
    let mut intervals: Vec<_> = waits.iter().map(|w| w.0 / 100).collect();
    intervals.dedup();
    assert!(intervals.len() > 1, "{waits:?}");
}

/// Load pattern: an outage. Guards against callers that are told to return before an endpoint is expected to be there,
/// and against an invitation of those that stop waiting before it.
#[test]
fn known_end_of_an_outage_is_waited_for() {
    let (mut times, now) = busy(100);
    let request = RejectedRequest {
        available: Some(Millis(1200)),
        outage: true,
        ..REQUEST
    };
    let waits = told(&rejects(&mut times, 12, request, now));
    assert!(waits.len() > 5, "{waits:?}");
    let inside = |w: &Millis| (Millis(1200)..=Millis(2000)).contains(w);
    assert!(waits.iter().all(inside), "{waits:?}");
    let left = Some(Millis(2500));
    let short = times.schedule(RejectedRequest { left, ..request }, now);
    assert!(
        matches!(short, ReturnTime::TooLate(w) if w >= Millis(2500)),
        "{short:?}"
    );
}

/// Guards against an entry that forgets in an outage how many requests it can begin after it.
#[test]
fn rate_outlasts_an_outage() {
    let (mut times, now) = busy(100);
    let request = RejectedRequest {
        outage: true,
        ..REQUEST
    };
    let mut count = 0;
    for i in 0..500 {
        let all = [times.schedule(request, now + Millis(i * 10))];
        count += told(&all).len();
    }
    // Half of the requests that began before, for 5 s.
    assert!((150..350).contains(&count), "{count}");
}

/// Guards against an entry that, after a start, tells no caller to return, and against a time that has passed for
/// callers that do not say how long they wait.
#[test]
fn entry_without_counts_tells_some() {
    let mut times = ReturnTimes::default();
    assert!(matches!(
        times.schedule(REQUEST, Millis(5)),
        ReturnTime::After(_)
    ));
    let request = RejectedRequest {
        left: None,
        ..REQUEST
    };
    for told in rejects(&mut times, 20, request, Millis(6)) {
        assert!(matches!(told, ReturnTime::After(w) if w.0 <= 4000));
    }
}
