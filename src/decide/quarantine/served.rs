//! Parts that were answered lately, in bounded memory.

use super::part::PartKey;
use crate::base::Millis;

/// Number of parts that are remembered at most; parts that fall into the same place replace each other.
const PLACES: usize = 2048;

/// Time for which a part counts as answered lately.
const RETENTION: Millis = Millis(120_000);

/// Parts that were answered lately.
#[derive(Debug)]
pub(super) struct ServedParts {
    places: Vec<Option<(PartKey, Millis)>>,
}

impl Default for ServedParts {
    fn default() -> Self {
        Self {
            places: vec![None; PLACES],
        }
    }
}

impl ServedParts {
    fn place(part: PartKey) -> usize {
        // Ids of parts are hashes, so that their low bits are spread evenly.
        (part.part.0 ^ u64::from(part.service)) as usize % PLACES
    }

    /// Notes that a request with a part was answered.
    pub(super) fn note(&mut self, part: PartKey, now: Millis) {
        self.places[Self::place(part)] = Some((part, now));
    }

    /// Returns whether a request with a part was answered lately.
    pub(super) fn contains(&self, part: PartKey, now: Millis) -> bool {
        let entry = self.places[Self::place(part)];
        entry.is_some_and(|(p, at)| p == part && now < at + RETENTION)
    }
}
