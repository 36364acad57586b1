//! Admission limits of a workspace.

use linkme::distributed_slice;

use super::{section::section, Check, Subject, CHECKS};
use crate::base::Millis;

section! {
    /// Admission limits, over all entries of a region.
    Limit = "limit" {
        "Requests in progress at once."
        concurrency: u32 = "64", "1", "100000", Workspace;
        "Requests admitted in a second."
        rate: u32 = "1000", "1", "1000000", Workspace;
        "Weight of the workspace when workspaces compete."
        weight: u32 = "1", "1", "1000", Workspace;
        "Longest time that a request waits for admission."
        wait: Millis = "500ms", "0ms", "60s", Workspace;
    }
}

#[distributed_slice(CHECKS)]
static WAIT: Check = Check {
    rule: "`limit.wait` is at most `request.deadline`",
    options: &["limit.wait", "request.deadline"],
    run: |subject| {
        let Subject::Workspace(w) = subject else {
            return None;
        };
        let (wait, deadline) = (w.limit.wait, w.request.deadline);
        (wait > deadline).then(|| {
            format!("`limit.wait` {wait} is beyond `request.deadline` {deadline}; shorten the former or raise the latter")
        })
    },
};
