//! Load schedule: the times at which the hosts of a service start to load a new version.

use sesamewing::{
    base::Millis,
    decide::{
        rollout::{HostSchedule, Superseded},
        supersede::Margins,
    },
    gateway::{DesiredVersions, WeightVersion},
};

const BOUND: Millis = Millis(10_000);
const HOSTS: usize = 40;

fn load_starts(ready: Millis) -> Vec<Millis> {
    let start = |rank| {
        let schedule = HostSchedule {
            bound: BOUND,
            margins: Margins::default(),
            rank,
            hosts: HOSTS,
        };
        schedule.start_from(Millis(1000), ready)
    };
    (0..HOSTS).map(start).collect()
}

/// Checks that hosts whose copies are all complete at `ready` load before the bound, and at most a third of them within
/// 500 ms.
fn check_staggered(ready: Millis) {
    let starts = load_starts(ready);
    assert!(starts
        .iter()
        .all(|s| *s >= ready && *s < Millis(1000) + BOUND));
    let within = |from: Millis| {
        let window = from..from + Millis(500);
        starts.iter().filter(|s| window.contains(s)).count()
    };
    let most = starts.iter().map(|s| within(*s)).max().unwrap_or(0);
    assert!(
        most <= HOSTS / 3,
        "{most} of {HOSTS} hosts started to load within 500 ms"
    );
}

/// Guards against hosts that all load at the same time because their copies were late. This occurs when a version
/// becomes desired while its predecessor is being loaded, so that all copies are complete only near the bound.
#[test]
fn late_copies_load_in_a_staggered_order() {
    check_staggered(Millis(6750));
}

/// Guards against the same if the copies are complete only shortly before no more requests are sent to hosts with the
/// older version.
#[test]
fn copies_near_the_last_request_load_in_a_staggered_order() {
    check_staggered(Millis(8000));
}

/// Guards against a host that delays its load although the last scheduled start has passed and the bound is near.
#[test]
fn load_starts_at_once_near_the_bound() {
    let ready = Millis(10_900);
    assert!(load_starts(ready).iter().all(|s| *s == ready));
}

/// Time between two versions; shorter than the time over which the loads of each are spread.
const BETWEEN: Millis = Millis(3000);

/// Returns the load starts of all hosts for two versions of which the second became desired [`BETWEEN`] after the first,
/// whose copies are complete in time.
fn starts_of_two(rank: usize) -> [Millis; 2] {
    let (first, second) = (Millis(1000), Millis(1000) + BETWEEN);
    let older = Superseded {
        before: None,
        at: first,
        after: Some(second),
    };
    let newer = Superseded {
        before: Some(first),
        at: second,
        after: None,
    };
    let schedule = |rank| HostSchedule {
        bound: BOUND,
        margins: Margins::default(),
        rank,
        hosts: HOSTS,
    };
    [
        schedule(rank).start(older),
        schedule(HOSTS - 1 - rank).start(newer),
    ]
}

/// Guards against twice as many hosts that load at a time where two versions become desired shortly after each other, while
/// the remaining hosts are in full use.
#[test]
fn two_versions_share_the_time() {
    let starts: Vec<_> = (0..HOSTS).map(starts_of_two).collect();
    for [older, newer] in &starts {
        assert!(older <= newer, "{older} and {newer}");
        assert!(*older < Millis(1000) + BOUND && *newer < Millis(1000) + BETWEEN + BOUND);
    }
    let all: Vec<_> = starts.into_iter().flatten().collect();
    let (first, last) = (all.iter().min(), all.iter().max());
    let time = *last.expect("a start") - *first.expect("a start");
    let within = |from: Millis| {
        let window = from..from + Millis(1000);
        all.iter().filter(|s| window.contains(s)).count() as u64
    };
    let most = all.iter().map(|s| within(*s)).max().unwrap_or(0);
    assert!(
        most * time.0 * 4 <= all.len() as u64 * 1000 * 5,
        "{most} of {} loads start within 1 s of {time}",
        all.len()
    );
}

/// Guards against loads of a version that are put off because of one long after it or before it.
#[test]
fn distant_versions_change_nothing() {
    let alone = load_starts(Millis::ZERO);
    let superseded = Superseded {
        before: Some(Millis::ZERO),
        at: Millis(21_000),
        after: Some(Millis(41_000)),
    };
    let start = |rank| {
        let schedule = HostSchedule {
            bound: BOUND,
            margins: Margins::default(),
            rank,
            hosts: HOSTS,
        };
        schedule.start(superseded)
    };
    let starts: Vec<_> = (0..HOSTS).map(start).collect();
    let alone: Vec<_> = alone.into_iter().map(|s| s + Millis(20_000)).collect();
    assert_eq!(starts, alone);
}

/// Guards against a panic, or loads that are put off, where the times of versions are not in the order of the versions: a
/// version that is to be enforced at once counts from the start of the process.
#[test]
fn times_in_another_order() {
    for (before, after) in [(30_000, 2000), (12_000, 900), (3000, 60_000)] {
        let superseded = Superseded {
            before: Some(Millis(before)),
            at: Millis(1000),
            after: Some(Millis(after)),
        };
        for rank in 0..HOSTS {
            let schedule = HostSchedule {
                bound: BOUND,
                margins: Margins::default(),
                rank,
                hosts: HOSTS,
            };
            assert!(schedule.start(superseded) < Millis(1000) + BOUND);
        }
    }
    let mut desired = DesiredVersions::default();
    desired.set(WeightVersion(1), Millis(30_000));
    desired.set_found(WeightVersion(2));
    let found = desired.superseded(WeightVersion(1)).expect("superseded");
    assert_eq!((found.before, found.at), (None, Millis::ZERO));
}
