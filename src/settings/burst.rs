//! How many hosts hold a version, and until when.

use super::section::section;
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
