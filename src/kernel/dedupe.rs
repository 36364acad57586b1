//! Recent record ids, so that a repeated append applies once.

use std::collections::{BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::base::RecordId;

/// Number of record ids remembered.
///
/// At 400 appends a second this covers 10 s, the longest time for which an append is repeated.
pub const RECENT_MAX: usize = 4096;

/// A bounded set of record ids in order of arrival.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Dedupe {
    /// Same members as `order`.
    seen: BTreeSet<RecordId>,
    /// Oldest first; at most [`RECENT_MAX`].
    order: VecDeque<RecordId>,
}

impl Dedupe {
    /// Adds an id; returns whether it is new.
    pub fn insert(&mut self, id: RecordId) -> bool {
        if !self.seen.insert(id) {
            return false;
        }
        self.order.push_back(id);
        if self.order.len() > RECENT_MAX {
            if let Some(old) = self.order.pop_front() {
                self.seen.remove(&old);
            }
        }
        true
    }
}
