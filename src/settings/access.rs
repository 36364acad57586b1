//! Who may send requests for a workspace.

use linkme::distributed_slice;

use super::{section::section, Check, Subject, CHECKS};
use crate::base::Digest;

section! {
    /// Keys of a workspace.
    Access = "access" {
        "BLAKE3 hashes of the accepted keys, two while a key rotates; empty: open to everybody."
        keys: Vec<Digest> = "", "", "", Workspace;
    }
}

/// Keys that may be accepted at once: the one in use and its successor.
const KEYS_MAX: usize = 2;

#[distributed_slice(CHECKS)]
static KEYS: Check = Check {
    rule: "at most two different access keys",
    options: &["access.keys"],
    run: |subject| {
        let Subject::Workspace(w) = subject else {
            return None;
        };
        let keys = &w.access.keys;
        if keys.len() > KEYS_MAX {
            return Some(format!(
                "{} keys are accepted; keep two while a key rotates and one after that",
                keys.len()
            ));
        }
        let same = keys.len() == 2 && keys[0] == keys[1];
        same.then(|| "both keys are equal; remove one".to_owned())
    },
};
