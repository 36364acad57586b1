//! First attempts of callers find slots under overload, beside callers that return; a model without a network.

mod admission_support;

use admission_support::{Crowd, Load, Model, Outcomes, Sign};
use sesamewing::base::Millis;

/// Entries and engines of the deployments.
const SIZES: [(usize, usize); 3] = [(3, 5), (9, 11), (48, 30)];

const ROUTES: usize = 3;

const CALM: Load = Load {
    calm: 80,
    crowd: 160,
    from: Millis(3000),
    end: Millis(10_000),
    crashes: None,
    returns: 100,
    equal: None,
};

/// Plays a day and checks it: on every route, first attempts begin at least half as often in the crowd as in calm, and
/// the engines are not left idle.
fn assert_kept(load: Load, case: &str) {
    for (entries, engines) in SIZES {
        let run = |sign| Model::new(entries, engines, ROUTES, sign, 7).run(load);
        let (with, without) = (run(Sign::Rejections), run(Sign::None));
        for route in 0..ROUTES {
            let share = |o: &Outcomes| (o.calm[route].share(), o.crowd[route].share());
            let (calm, crowd) = share(&with);
            let alike = share(&without).1;
            println!(
                "{case}, {entries} entries, route {route}: first attempts begun {calm:.2} in calm, {crowd:.2} in the \
                 crowd, {alike:.2} if all callers are taken alike; {:?}",
                with.crowd[route]
            );
            assert!(
                crowd >= calm / 2.0,
                "{case}, {entries} entries, route {route}"
            );
        }
        assert!(
            with.used >= 90,
            "{case}, {entries} entries: {} % used",
            with.used
        );
    }
}

/// Load pattern: twice the callers, all of whom return after a rejection. Guards against returning callers that take
/// the slots of first attempts.
#[test]
fn crowd_leaves_half() {
    assert_kept(CALM, "crowd");
}

/// Load pattern: the same where a tenth or a quarter of the rejected callers return.
#[test]
fn few_callers_return() {
    for returns in [10, 25] {
        assert_kept(Load { returns, ..CALM }, &format!("{returns} % return"));
    }
}

/// Load pattern: the same where all callers of one route ask the same. Guards against callers that count as returning
/// because others with the same request were rejected.
#[test]
fn equal_requests_leave_half() {
    let equal = Some(0);
    assert_kept(Load { equal, ..CALM }, "equal requests");
}

/// Load pattern: the same while engines crash one after the other. Guards against crashes whose callers come back and
/// take the slots that are left.
#[test]
fn crashes_leave_half() {
    // Of five engines, 1.3 are away on average; the others can serve two thirds of the first attempts.
    let crashes = Some(Millis(2300));
    let crowd = 110;
    assert_kept(
        Load {
            crashes,
            crowd,
            ..CALM
        },
        "crashes",
    );
}

/// Load pattern: twice the callers, of whom 40 % wait for 1.5 to 2.5 s and some send again at once, with and without an
/// outage of all engines. Guards against callers that return as they were told and take the slots of first attempts.
#[test]
fn spread_returns_leave_half() {
    for (entries, engines) in SIZES {
        for outage in [None, Some((Millis(4000), Millis(6000)))] {
            let crowd = Crowd {
                spread: true,
                outage,
            };
            let model = Model::new(entries, engines, ROUTES, Sign::Rejections, 7);
            let out = model.with_crowd(crowd).run(CALM);
            let t = out.totals;
            let case = format!("{entries} entries, outage {outage:?}");
            println!(
                "{case}: {:.3} rejections per request, {:.3} rejected twice, {:.3} served, {:.3} in time, worth {:.3}",
                t.rejections(),
                t.twice(),
                t.served(),
                t.in_time(),
                t.worth()
            );
            // No request begins in an outage of two of the seven seconds.
            let there = if outage.is_some() { 5.0 / 7.0 } else { 1.0 };
            for (calm, crowd) in out.calm.iter().zip(&out.crowd) {
                assert!(crowd.share() >= calm.share() / 2.0 * there, "{case}");
            }
        }
    }
}
