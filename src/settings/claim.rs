//! Non-repeatable requests.

use super::section::section;
use crate::base::Millis;

section! {
    /// Claims on non-repeatable requests.
    ClaimConfig = "claim" {
        "Longest time that an agent gathers claims for one append."
        linger: Millis = "5ms", "0ms", "1s", Service;
        "Longest time from the append of a claim to its read-back before the attempt is given up."
        readback: Millis = "2s", "10ms", "60s", Service;
    }
}
