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
        "Time for which request ids are kept."
        window: Millis = "12h", "10s", "30d", Root;
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

/// A claim whose record is gone while its id is still accepted could run a second time.
#[distributed_slice(CHECKS)]
static WINDOW: Check = Check {
    rule: "`claim.window` is below `log.retention`",
    options: &["claim.window", "log.retention"],
    run: |subject| {
        let Subject::Service(s) = subject else {
            return None;
        };
        let (window, retention) = (s.claim.window, s.log.retention);
        (window >= retention).then(|| {
            format!("`claim.window` {window} is not below `log.retention` {retention}, so claims are lost while their ids are accepted; shorten the former")
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
