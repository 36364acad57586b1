//! Non-repeatable requests.

use linkme::distributed_slice;

use super::{section::section, Check, Subject, CHECKS};
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

#[distributed_slice(CHECKS)]
static READBACK: Check = Check {
    rule: "`claim.readback` is at most `request.deadline` of the service",
    options: &["claim.readback", "request.deadline"],
    run: |subject| {
        let Subject::Service(s) = subject else {
            return None;
        };
        let (wait, deadline) = (s.claim.readback, s.request.deadline);
        (wait > deadline).then(|| {
            format!("`claim.readback` {wait} is beyond `request.deadline` {deadline}, so no claim can fail in time; shorten the former")
        })
    },
};

#[distributed_slice(CHECKS)]
static LINGER: Check = Check {
    rule: "`claim.linger` is below `claim.readback`",
    options: &["claim.linger", "claim.readback"],
    run: |subject| {
        let Subject::Service(s) = subject else {
            return None;
        };
        let (linger, wait) = (s.claim.linger, s.claim.readback);
        (linger >= wait).then(|| {
            format!("`claim.linger` {linger} is not below `claim.readback` {wait}, so claims expire before they are sent; shorten the former")
        })
    },
};
