//! Who may send requests for a workspace.

use super::section::section;
use crate::base::Digest;

section! {
    /// Keys of a workspace.
    Access = "access" {
        "BLAKE3 hashes of the accepted keys, two while a key rotates; empty: open to everybody."
        keys: Vec<Digest> = "", "", "", Workspace;
    }
}
