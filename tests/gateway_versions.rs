//! DesiredVersions versions of weights and the turns in which hosts load them.

use sesamewing::{
    base::Millis,
    decide::rollout::{order, Rollout},
    gateway::{DesiredVersions, WeightVersion},
};

const BOUND: Millis = Millis(8000);
const NOW: Millis = Millis(3_600_000);

/// Guards against an earlier version whose bound is forgotten when a second one is named before it is loaded.
#[test]
fn each_version_binds_from_its_own_time() {
    let mut named = DesiredVersions::default();
    assert!(named.set(WeightVersion(2), NOW));
    assert!(named.set(WeightVersion(3), NOW + Millis(2000)));
    assert!(!named.set(WeightVersion(2), NOW + Millis(2500)));
    let binding = |at| named.enforced(BOUND, NOW + Millis(at));
    assert_eq!(binding(7999), None);
    assert_eq!(binding(8000), Some(WeightVersion(2)));
    assert_eq!(binding(10_000), Some(WeightVersion(3)));
    assert_eq!(named.superseded_at(WeightVersion(1)), Some(NOW));
    let second = NOW + Millis(2000);
    assert_eq!(named.superseded_at(WeightVersion(2)), Some(second));
    assert_eq!(named.superseded_at(WeightVersion(3)), None);
}

/// Guards against a restarted process that counts the bound of an old name from its own start.
#[test]
fn found_versions_bind_until_their_age_is_known() {
    let mut named = DesiredVersions::default();
    assert!(named.set_found(WeightVersion(2)));
    assert_eq!(named.enforced(BOUND, NOW), Some(WeightVersion(2)));
    assert_eq!(named.timed().count(), 0, "a guess is not passed on");
    assert!(named.merge(WeightVersion(2), NOW));
    assert_eq!(named.enforced(BOUND, NOW + Millis(1)), None);
    assert!(!named.merge(WeightVersion(2), NOW + Millis(500)));
    assert!(named.merge(WeightVersion(2), NOW - Millis(500)));
}

/// Guards against hosts that load after the bound, or all at once.
#[test]
fn turns_spread_over_the_bound() {
    let hosts = 19;
    let turn = |rank| {
        let rollout = Rollout {
            bound: BOUND,
            rank,
            hosts,
        };
        rollout.start(NOW) - NOW
    };
    assert!((0..hosts).all(|r| turn(r) < BOUND));
    let steps = (1..hosts).map(|r| turn(r) - turn(r - 1));
    assert!(steps.clone().all(|s| s > Millis(100)), "{steps:?}");
}

/// Guards against the same hosts always loading first.
#[test]
fn order_differs_between_versions() {
    let hosts: Vec<std::net::IpAddr> = (1..20).map(|i| [10, 0, 0, i].into()).collect();
    let first = |version| hosts.iter().min_by_key(|h| order(**h, false, version));
    let distinct: std::collections::HashSet<_> = (1..30).map(first).collect();
    assert!(distinct.len() > 5, "{distinct:?}");
}
