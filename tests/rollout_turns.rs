//! Load schedule: the times at which the hosts of a service start to load a new version.

use sesamewing::{
    base::Millis,
    decide::{rollout::HostSchedule, supersede::Margins},
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
