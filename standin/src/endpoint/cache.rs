//! Prompt prefixes that an engine keeps.

use std::collections::{BTreeMap, VecDeque};

use serde::Serialize;
use sesamewing::base::{HashMap, Millis};
use tokio::time::Instant;

/// Length of a block of a prompt, in bytes; only whole blocks are cached.
const BLOCK: usize = 64;

/// Number of prefixes that the memory holds.
const PREFIXES_MAX: usize = 2048;

/// Number of events kept for readers.
const EVENTS_MAX: usize = 4096;

/// Every event whose number is a multiple of this is never reported, as engines lose events under load.
const GAP: u64 = 16;

/// Returns the hashes of the prefixes of a prompt, shortest first: one for each whole block of 64 bytes.
///
/// The hash is the first 8 bytes of BLAKE3 over the prefix, little-endian.
pub fn prefixes(prompt: &str) -> Vec<u64> {
    let mut hasher = blake3::Hasher::new();
    let blocks = prompt.as_bytes().chunks_exact(BLOCK);
    blocks
        .map(|block| {
            hasher.update(block);
            let hash = hasher.finalize();
            hash.as_bytes()[..8]
                .iter()
                .rev()
                .fold(0, |n, &b| n << 8 | u64::from(b))
        })
        .collect()
}

/// What happened to a prefix.
#[derive(Clone, Copy, Serialize)]
#[serde(rename_all = "lowercase")]
enum Change {
    Stored,
    Evicted,
}

/// A cache event.
#[derive(Clone, Serialize)]
pub(super) struct Event {
    seq: u64,
    change: Change,
    prefix: u64,
    #[serde(skip)]
    due: Option<Instant>,
}

/// Least-recently-used memory of prefixes.
pub(super) struct Cache {
    lag: Millis,
    /// Time of the last use of each prefix, counted in uses.
    used: HashMap<u64, u64>,
    /// The same pairs by time of use.
    order: BTreeMap<u64, u64>,
    uses: u64,
    /// Number of the last event.
    seq: u64,
    events: VecDeque<Event>,
}

impl Cache {
    pub(super) fn new(lag: Millis) -> Self {
        Self {
            lag,
            used: HashMap::default(),
            order: BTreeMap::new(),
            uses: 0,
            seq: 0,
            events: VecDeque::new(),
        }
    }

    fn report(&mut self, change: Change, prefix: u64) {
        self.seq += 1;
        if self.seq.is_multiple_of(GAP) {
            return;
        }
        self.events.push_back(Event {
            seq: self.seq,
            change,
            prefix,
            due: Some(Instant::now() + self.lag.duration()),
        });
        if self.events.len() > EVENTS_MAX {
            self.events.pop_front();
        }
    }

    /// Uses the prefixes of a prompt and returns how many of them were cached.
    pub(super) fn touch(&mut self, prefixes: &[u64]) -> usize {
        let cached = prefixes
            .iter()
            .take_while(|p| self.used.contains_key(p))
            .count();
        for &prefix in prefixes {
            self.uses += 1;
            match self.used.insert(prefix, self.uses) {
                Some(old) => drop(self.order.remove(&old)),
                None => self.report(Change::Stored, prefix),
            }
            self.order.insert(self.uses, prefix);
        }
        while self.used.len() > PREFIXES_MAX {
            let Some((_, prefix)) = self.order.pop_first() else {
                break;
            };
            self.used.remove(&prefix);
            self.report(Change::Evicted, prefix);
        }
        cached
    }

    /// Returns the events from a number on that are due, and the number to ask for next.
    pub(super) fn events(&self, from: u64) -> (u64, Vec<Event>) {
        let now = Instant::now();
        let due = self.events.iter().take_while(|e| e.due <= Some(now));
        let events: Vec<_> = due.filter(|e| e.seq >= from).cloned().collect();
        (events.last().map_or(from, |e| e.seq + 1), events)
    }
}
