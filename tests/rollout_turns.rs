//! Turns in which the hosts of a service load a new version.

use sesamewing::{base::Millis, decide::rollout::HostSchedule};

const BOUND: Millis = Millis(10_000);
const HOSTS: usize = 40;

fn starts(ready: Millis) -> Vec<Millis> {
    let start = |rank| {
        let rollout = HostSchedule {
            bound: BOUND,
            rank,
            hosts: HOSTS,
        };
        rollout.start_from(Millis(1000), ready)
    };
    (0..HOSTS).map(start).collect()
}

/// Guards against hosts that load at once because their copies were late. The pattern: a version is named while the one
/// before is being loaded, so that all copies are complete near the bound.
#[test]
fn late_copies_take_turns() {
    let ready = Millis(8000);
    let starts = starts(ready);
    assert!(starts
        .iter()
        .all(|s| *s >= ready && *s < Millis(1000) + BOUND));
    let within = |from: Millis| {
        let window = from..from + Millis(500);
        starts.iter().filter(|s| window.contains(s)).count()
    };
    let most = starts.iter().map(|s| within(*s)).max().unwrap_or(0);
    assert!(most <= HOSTS / 3, "{most} of {HOSTS} within half a second");
}

/// Guards against a host that waits although the bound is near.
#[test]
fn last_moment_waits_for_nobody() {
    let ready = Millis(10_900);
    assert!(starts(ready).iter().all(|s| *s == ready));
}
