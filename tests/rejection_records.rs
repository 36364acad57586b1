//! For how long entries remember the requests that they rejected.

use sesamewing::{
    base::Millis,
    decide::returning::{Rejection, Rejections, RequestKey},
};

/// Time at which the tests begin.
const START: Millis = Millis(1000);

/// Time for which most callers wait.
const PATIENCE: Millis = Millis(6000);

/// Rejections in a burst; more than an entry remembers.
const BURST: u32 = 20_000;

/// Time after a rejection at which its caller has returned, if it returns at all.
const RETURNED: Millis = Millis(60_000);

fn key(n: u32) -> RequestKey {
    RequestKey::new([&n.to_le_bytes()[..]])
}

/// Guards against an entry that computes the keys of all requests for ever after its first rejection.
#[test]
fn expired_rejections_are_removed() {
    let mut rejections = Rejections::default();
    rejections.record(key(1), START + PATIENCE, START);
    assert!(!rejections.is_empty(START + Millis(250)));
    assert!(rejections.is_empty(START + PATIENCE + PATIENCE));
}

/// Hostile input: deadlines that lie hours ahead. Guards against rejections that are never removed, so that no other
/// returning caller is known any more, at this entry and at those that it tells.
#[test]
fn long_deadlines_leave_room() {
    let (mut own, mut other) = (Rejections::default(), Rejections::default());
    for left in [Millis::from_secs(3600), Millis::MAX] {
        for n in 0..BURST {
            own.record(key(n), START + left, START);
        }
        other.merge(&own.take_news(START), START);
    }
    let now = START + RETURNED;
    let deadline = now + PATIENCE;
    own.record(key(BURST), deadline, now);
    assert!(own.is_returning(key(BURST), deadline));
    let left = deadline - now;
    let news = [Rejection {
        key: key(BURST),
        left,
    }];
    other.merge(&news, now);
    assert!(other.is_returning(key(BURST), deadline));
}

/// Guards against callers with long deadlines that count as being at their first attempt when they return.
#[test]
fn long_deadlines_are_known() {
    let mut rejections = Rejections::default();
    let deadline = START + Millis::from_secs(3600);
    rejections.record(key(1), deadline, START);
    let now = START + Millis(2000);
    rejections.record(key(2), now + PATIENCE, now);
    assert!(rejections.is_returning(key(1), deadline));
}

/// Guards against callers that count as returning because others with the same request were rejected.
#[test]
fn equal_requests_are_no_returns() {
    let mut rejections = Rejections::default();
    let deadline = START + PATIENCE;
    rejections.record(key(1), deadline, START);
    assert!(rejections.is_returning(key(1), deadline));
    let later = START + Millis(1000);
    rejections.record(key(1), later + PATIENCE, later);
    assert!(!rejections.is_returning(key(1), later + PATIENCE));
    assert!(!rejections.is_returning(key(1), deadline));
}

/// Load pattern: many callers with the same request, one soon after the other. Guards against a row of callers that
/// passes for one because the deadlines of neighbours differ little.
#[test]
fn row_of_equal_requests_is_no_return() {
    let mut rejections = Rejections::default();
    let mut now = START;
    for _ in 0..100 {
        now += Millis(10);
        rejections.record(key(1), now + PATIENCE, now);
    }
    assert!(!rejections.is_returning(key(1), now + PATIENCE));
}

/// Guards against a caller that is rejected twice and counts as two callers.
#[test]
fn second_rejection_is_of_one_caller() {
    let mut rejections = Rejections::default();
    let deadline = START + PATIENCE;
    rejections.record(key(1), deadline, START);
    let later = START + Millis(300);
    rejections.record(key(1), deadline + Millis(20), later);
    assert!(rejections.is_returning(key(1), deadline + Millis(30)));
}
