//! How many hosts hold a version, and until when.

use linkme::distributed_slice;

use super::{section::section, Check, Subject, CHECKS};
use crate::base::{Millis, Percent};

section! {
    /// Size of the burst.
    Burst = "burst" {
        "Smallest number of hosts that hold the version."
        replicas: u32 = "1", "1", "100000", Service;
        "Largest number of hosts that hold the version."
        ceiling: u32 = "100000", "1", "100000", Service;
        "Load of the replicas above which a further host fetches the version."
        threshold: Percent = "70%", "1%", "100%", Service;
        "Unix time in seconds at which the credits end; 0: never."
        ends: u32 = "0", "", "", Region;
        "Time before the end of the credits at which hosts start to drain."
        lead: Millis = "10min", "1min", "7d", Region;
    }
}

#[distributed_slice(CHECKS)]
static REPLICAS: Check = Check {
    rule: "`burst.replicas` is at most `burst.ceiling`",
    options: &["burst.replicas", "burst.ceiling"],
    run: |subject| {
        let Subject::Service(s) = subject else {
            return None;
        };
        let (low, high) = (s.burst.replicas, s.burst.ceiling);
        (low > high).then(|| {
            format!("`burst.replicas` {low} is above `burst.ceiling` {high}; lower the former or raise the latter")
        })
    },
};
