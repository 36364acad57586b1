//! How many hosts hold a version, and until when.

use linkme::distributed_slice;

use super::{section::section, Check, Subject, CHECKS};
use crate::base::{wall_ms, Millis, Percent};

section! {
    /// Size of the burst.
    Burst = "burst" {
        "Hosts of a region that always load the version; 100000: all."
        replicas: u32 = "100000", "1", "100000", Service;
        "Largest number of hosts of a region that load the version; 100000: all."
        ceiling: u32 = "100000", "1", "100000", Service;
        "Load of the two hosts before it, in requests over capacity, from which a further host loads the version."
        threshold: Percent = "70%", "1%", "100%", Service;
        "Hosts of a region that keep the copy in memory to seed later hosts; 100000: all. A smaller number saves memory, but then later versions cannot reuse unchanged chunks on the other hosts."
        seeds: u32 = "100000", "1", "100000", Service;
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

#[distributed_slice(CHECKS)]
static ENDS: Check = Check {
    rule: "`burst.ends` is 0 or in the future",
    options: &["burst.ends"],
    run: |subject| {
        let Subject::Service(s) = subject else {
            return None;
        };
        let (ends, now) = (u64::from(s.burst.ends), wall_ms() / 1000);
        (ends != 0 && ends <= now).then(|| {
            format!("`burst.ends` {ends} is in the past, it is {now} now; name a later time, or 0 for no end")
        })
    },
};
