//! Desired versions of weights and the schedule in which hosts load them.

use sesamewing::{
    base::Millis,
    decide::{
        rollout::{load_order, HostSchedule},
        supersede::Margins,
    },
    gateway::{DesiredVersions, WeightVersion, WriteAge},
};

const BOUND: Millis = Millis(8000);
const NOW: Millis = Millis(3_600_000);

/// Guards against an earlier desired version that is never enforced because a second one supersedes it before the load.
#[test]
fn each_version_is_enforced_from_its_own_time() {
    let mut desired = DesiredVersions::default();
    assert!(desired.set(WeightVersion(2), NOW));
    assert!(desired.set(WeightVersion(3), NOW + Millis(2000)));
    assert!(!desired.set(WeightVersion(2), NOW + Millis(2500)));
    let enforced = |at| desired.enforced(BOUND, NOW + Millis(at));
    assert_eq!(enforced(7999), None);
    assert_eq!(enforced(8000), Some(WeightVersion(2)));
    assert_eq!(enforced(10_000), Some(WeightVersion(3)));
    assert_eq!(desired.superseded_at(WeightVersion(1)), Some(NOW));
    let second = NOW + Millis(2000);
    assert_eq!(desired.superseded_at(WeightVersion(2)), Some(second));
    assert_eq!(desired.superseded_at(WeightVersion(3)), None);
}

/// Guards against a restarted process that counts the age of a desired version from its own start.
#[test]
fn found_versions_are_enforced_until_their_age_is_known() {
    let mut desired = DesiredVersions::default();
    assert!(desired.set_found(WeightVersion(2)));
    assert_eq!(desired.enforced(BOUND, NOW), Some(WeightVersion(2)));
    assert_eq!(
        desired.ages(NOW).count(),
        0,
        "an unknown time is not passed on"
    );
    let exact = WriteAge {
        age: Millis::ZERO,
        uncertainty: Millis::ZERO,
    };
    let mut merge = |at| desired.merge(WeightVersion(2), exact, at);
    assert!(merge(NOW));
    assert_eq!(desired.enforced(BOUND, NOW + Millis(1)), None);
    let mut merge = |at| desired.merge(WeightVersion(2), exact, at);
    assert!(!merge(NOW + Millis(500)));
    assert!(merge(NOW - Millis(500)));
}

/// Guards against hosts that load after the bound, or all at once.
#[test]
fn load_starts_spread_over_the_bound() {
    let hosts = 19;
    let load_start = |rank| {
        let rollout = HostSchedule {
            bound: BOUND,
            margins: Margins::default(),
            rank,
            hosts,
        };
        rollout.start(NOW) - NOW
    };
    assert!((0..hosts).all(|r| load_start(r) < BOUND));
    let steps = (1..hosts).map(|r| load_start(r) - load_start(r - 1));
    assert!(steps.clone().all(|s| s > Millis(100)), "{steps:?}");
}

/// Guards against the same hosts loading first for each version.
#[test]
fn order_differs_between_versions() {
    let hosts: Vec<std::net::IpAddr> = (1..20).map(|i| [10, 0, 0, i].into()).collect();
    let first = |version| hosts.iter().min_by_key(|h| load_order(**h, false, version));
    let distinct: std::collections::HashSet<_> = (1..30).map(first).collect();
    assert!(distinct.len() > 5, "{distinct:?}");
}

/// Returns the age of a version that became desired within `uncertainty` after `at`, as told at `now`.
fn age(at: Millis, uncertainty: u64, now: Millis) -> WriteAge {
    WriteAge {
        age: now - at,
        uncertainty: Millis(uncertainty),
    }
}

/// Guards against an entry that enforces a version long before its bound, because it took over the reading and knows
/// little of the record's time, although others know the time exactly.
#[test]
fn exact_time_replaces_uncertain_one() {
    let mut desired = DesiredVersions::default();
    let version = WeightVersion(2);
    let now = NOW + Millis(4000);
    assert!(desired.record(version, Some(age(NOW, 4000, now)), now));
    let written = NOW + Millis(3000);
    assert!(desired.merge(version, age(written, 100, now), now));
    assert_eq!(desired.superseded_at(WeightVersion(1)), Some(written));
    assert!(!desired.merge(version, age(NOW, 4000, now), now));
    assert_eq!(desired.superseded_at(WeightVersion(1)), Some(written));
}

/// Guards against a version that counts from late because a message with its age waited, as while the process was
/// frozen: the time is at most that by which this process knew of the record, and the next message corrects it.
#[test]
fn delayed_message_is_corrected() {
    let mut desired = DesiredVersions::default();
    let version = WeightVersion(2);
    let superseded = |d: &DesiredVersions| d.superseded_at(WeightVersion(1)).expect("a time");
    // This process read the record itself, 300 ms after it was written at the latest.
    desired.record(
        version,
        Some(age(NOW, 300, NOW + Millis(300))),
        NOW + Millis(300),
    );
    // The message was sent with an age of 300 ms and waited for 2 s.
    let late = NOW + Millis(2300);
    desired.merge(version, age(NOW, 50, NOW + Millis(300)), late);
    assert!(
        superseded(&desired) <= NOW + Millis(300),
        "{}",
        superseded(&desired)
    );
    desired.merge(version, age(NOW, 50, late), late);
    assert_eq!(superseded(&desired), NOW);
    // A process that knows of the version only by such a message is corrected by the next one.
    let mut desired = DesiredVersions::default();
    desired.merge(version, age(NOW, 50, NOW + Millis(300)), late);
    assert_eq!(superseded(&desired), NOW + Millis(2000));
    desired.merge(version, age(NOW, 50, late), late);
    assert_eq!(superseded(&desired), NOW);
}

/// Guards against a version that counts from late at a process whose host was suspended, where the clock stood still: it
/// believes its own time to be exact, and others knew of the record before.
#[test]
fn suspended_clock_is_corrected() {
    let mut desired = DesiredVersions::default();
    let version = WeightVersion(2);
    // Suspended for 5 s around the write: by its clock, the record was written just now.
    desired.record(version, Some(age(NOW, 10, NOW)), NOW);
    // The others know the time less exactly; it lies 5 s back.
    let written = NOW - Millis(5000);
    assert!(desired.merge(version, age(written, 200, NOW), NOW));
    assert_eq!(desired.superseded_at(WeightVersion(1)), Some(written));
    // The others do not take over its time.
    let mut others = DesiredVersions::default();
    others.record(
        version,
        Some(age(written, 200, written + Millis(200))),
        written + Millis(200),
    );
    others.merge(version, age(NOW, 10, NOW), NOW);
    let at = others.superseded_at(WeightVersion(1)).expect("a time");
    assert!(at <= written + Millis(200), "{at}");
}

/// Guards against endpoints that are used too long because a version between theirs and the newest one became known
/// after the newest.
#[test]
fn late_news_of_earlier_version() {
    let mut desired = DesiredVersions::default();
    desired.merge(WeightVersion(3), age(NOW, 0, NOW), NOW);
    let written = NOW - Millis(1500);
    assert!(!desired.record(WeightVersion(2), Some(age(written, 0, NOW)), NOW));
    assert_eq!(desired.superseded_at(WeightVersion(1)), Some(written));
    assert_eq!(desired.superseded_at(WeightVersion(2)), Some(NOW));
}
