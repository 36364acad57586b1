//! Admission limits of a workspace.

use super::section::section;
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
