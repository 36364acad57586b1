//! Evidence against one part.

use super::{
    evidence::{End, EndId, Generation, PartReport, Strength},
    part::PartKey,
    probe::ProbeSchedule,
};
use crate::base::Millis;

/// Weight of the evidence from which on a part may be quarantined: two strong ends, or three weak ones.
const WEIGHT_MIN: u32 = 6;
const STRONG: u32 = 3;
const WEAK: u32 = 2;

/// Weight that suffices although no request was sent after one of the ends was known: under load, requests wait at
/// endpoints for longer than it takes to end many of them.
const WEIGHT_ALONE: u32 = 9;

/// Time within which ends may have a common cause, such as the loss of a rack, and count as one.
const MOMENT: Millis = Millis(50);

/// Time for which the evidence against a part that used to be answered must last: other requests with it are probably in
/// flight, and their answers clear it.
pub(super) const SETTLE_TIME: Millis = Millis(500);

/// The same, if another part has as much evidence from the same ends.
const SETTLE_TIED: Millis = Millis(2000);

/// Number of other requests that must have been answered meanwhile: while endpoints answer nothing at all, the lack of
/// answers says nothing of a part.
const OTHERS_MIN: u64 = 5;

/// Time after which the evidence suffices without answers to other requests, because all requests may hold the part.
const SETTLE_ALONE: Millis = Millis(5000);

/// Largest number of ends that are kept for a part.
const ENDS_MAX: usize = 16;

/// Largest number of ends in a report; keeps datagrams small.
const REPORTED_MAX: usize = 8;

/// What one process knows of a part that was in flight at an end of an endpoint.
#[derive(Clone, Debug)]
pub(super) struct Suspect {
    /// Ends after `cleared`, in the order of their generations; at most [`ENDS_MAX`], each id once.
    ends: Vec<End>,
    /// Newest end after which a request with the part was answered, or that another part explains.
    pub(super) cleared: Generation,
    /// Whether requests with the part were answered before.
    pub(super) served: bool,
    /// Time since which there has been an end after `cleared`.
    since: Millis,
    /// Requests that this process knew to be answered at that time, whatever parts they held.
    answers: u64,
    /// Probes, while the part is quarantined.
    pub(super) probes: Option<ProbeSchedule>,
    /// Time from which on other processes are told of the last change.
    pub(super) changed: Millis,
    /// Whether another process may know of the part.
    pub(super) shared: bool,
    /// Time at which the part was last in flight at an end, or in a request that was judged while it was quarantined.
    pub(super) used: Millis,
}

impl Suspect {
    pub(super) fn new(served: bool, now: Millis) -> Self {
        Self {
            ends: Vec::new(),
            cleared: Generation::default(),
            served,
            since: now,
            answers: 0,
            probes: None,
            changed: now,
            shared: false,
            used: now,
        }
    }

    /// Returns the ends that count.
    pub(super) fn ends(&self) -> &[End] {
        &self.ends
    }

    /// Returns whether an end counts against the part.
    pub(super) fn has(&self, id: EndId) -> bool {
        self.ends.iter().any(|e| e.id == id)
    }

    /// Returns whether all ends of this part are also ends of the other one.
    pub(super) fn is_within(&self, other: &Self) -> bool {
        self.ends.iter().all(|e| other.has(e.id))
    }

    /// Returns the newest generation that is known.
    pub(super) fn newest(&self) -> Generation {
        let last = self.ends.last().map(|e| e.generation);
        last.unwrap_or_default().max(self.cleared)
    }

    /// Adds an end, or what another process knows of an end; returns whether that changed anything.
    /// `answers` is the number of requests that this process knows to be answered.
    pub(super) fn add(&mut self, end: End, answers: u64, now: Millis) -> bool {
        if end.generation <= self.cleared {
            return false;
        }
        if let Some(known) = self.ends.iter_mut().find(|e| e.id == end.id) {
            let before = *known;
            known.generation = known.generation.max(end.generation);
            known.after = known.after.max(end.after);
            known.strength = known.strength.max(end.strength);
            let changed = *known != before;
            self.ends.sort_by_key(|e| e.generation);
            return changed;
        }
        if self.ends.is_empty() {
            self.since = now;
            self.answers = answers;
        }
        self.used = now;
        let at = self
            .ends
            .partition_point(|e| e.generation <= end.generation);
        self.ends.insert(at, end);
        if self.ends.len() > ENDS_MAX {
            self.ends.remove(0);
        }
        let strong = end.strength == Strength::Strong;
        if let Some(probes) = self.probes.as_mut().filter(|_| strong) {
            probes.record_failure(now);
        }
        true
    }

    /// Removes an end that another part explains, or with `only_weak` one that another part explains better.
    pub(super) fn remove(&mut self, id: EndId, only_weak: bool) {
        self.ends
            .retain(|e| e.id != id || (only_weak && e.strength == Strength::Strong));
    }

    /// Removes the ends up to a generation, after which a request with the part was answered; returns whether any was
    /// removed.
    pub(super) fn clear(&mut self, upto: Generation, now: Millis) -> bool {
        if upto <= self.cleared {
            return false;
        }
        let before = self.ends.len();
        self.cleared = upto;
        self.ends.retain(|e| e.generation > upto);
        self.since = now;
        self.ends.len() < before
    }

    /// Removes all ends, because another part explains them.
    pub(super) fn forgive(&mut self, now: Millis) {
        self.clear(self.newest(), now);
    }

    /// Returns the weight of the ends that count. Of ends that may have a common cause, only the strongest one does:
    /// those of one moment, unless a request was sent when an earlier one was known.
    pub(super) fn weight(&self) -> u32 {
        let mut total = 0;
        let mut strongest = 0;
        let mut moment: Option<Generation> = None;
        for end in &self.ends {
            let same = moment
                .is_some_and(|first| end.after < first && end.generation.0 < first.0 + MOMENT.0);
            if !same {
                total += strongest;
                strongest = 0;
                moment = Some(end.generation);
            }
            strongest = strongest.max(match end.strength {
                Strength::Strong => STRONG,
                Strength::Weak => WEAK,
            });
        }
        total + strongest
    }

    /// Returns whether the evidence suffices, apart from other parts that may explain the same ends.
    pub(super) fn is_accused(&self) -> bool {
        let repeated = self.ends.iter().any(|e| e.after > self.cleared);
        let weight = self.weight();
        (repeated && weight >= WEIGHT_MIN) || weight >= WEIGHT_ALONE
    }

    /// Returns whether requests with the part would have been answered by now if it were sound. `answers` is the number of
    /// requests that this process knows to be answered, and `tied` says that another part has as much evidence.
    pub(super) fn is_settled(&self, answers: u64, tied: bool, now: Millis) -> bool {
        let time = if tied { SETTLE_TIED } else { SETTLE_TIME };
        let others = answers >= self.answers + OTHERS_MIN;
        now >= self.since + time && (others || now >= self.since + SETTLE_ALONE)
    }

    /// Returns whether the ends suffice if another process has quarantined the part.
    pub(super) fn is_confirmed(&self) -> bool {
        self.weight() >= WEIGHT_MIN
    }

    /// Returns what other processes are told.
    pub(super) fn report(&self, part: PartKey) -> PartReport {
        let older = self.ends.len().saturating_sub(REPORTED_MAX);
        PartReport {
            part,
            cleared: self.cleared,
            ends: self.ends[older..].to_vec(),
            served: self.served,
            probes: self.probes.map(|p| p.progress),
        }
    }
}
