//! All parts that one process suspects or has quarantined.

use super::{
    evidence::{End, EndId, Generation, PartReport, Strength},
    part::PartKey,
    served::ServedParts,
    suspect::{Suspect, SETTLE_TIME},
};
use crate::base::{HashMap, Millis};

/// Largest number of parts that are suspected at a time; callers can invent parts.
const SUSPECTS_MAX: usize = 512;

/// Largest number of ends with strong evidence that are remembered.
const STRONG_MAX: usize = 256;

/// Time for which a change is repeated to other processes, because datagrams are lost.
const CHANGE_REPEAT: Millis = Millis(1500);

/// Interval at which quarantined parts are repeated, for processes that missed a change or have just started.
const REPEAT_INTERVAL: Millis = Millis(1000);

/// Largest number of parts that are reported at a time.
const REPORTS_MAX: usize = 48;

/// Time from the start in which a process does not know which parts used to be answered, so that it assumes it of all.
pub(super) const START_TIME: Millis = Millis(3000);

/// Retention of a part without ends, so that late reports of earlier ends do not count again.
const CLEARED_RETENTION: Millis = Millis(60_000);

/// Retention of a suspected part, and of an end with strong evidence.
const SUSPECT_RETENTION: Millis = Millis(600_000);

/// Retention of a quarantined part that no request holds any more.
const QUARANTINE_RETENTION: Millis = Millis(7_200_000);

/// Decision on a request of a process for permission to send a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeGrant {
    /// One request with the part may be sent.
    Granted,
    /// No probe is due.
    Denied {
        /// Time until one is.
        wait: Millis,
    },
    /// The part is not quarantined.
    NotQuarantined,
}

/// What changed about a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeKind {
    /// Requests with the part are rejected from now on.
    Quarantined,
    /// Requests with the part are allowed again.
    Released,
}

/// A change, for logs and for requests in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// The part.
    pub part: PartKey,
    /// What changed.
    pub kind: ChangeKind,
    /// Number of ends that count against the part.
    pub ends: usize,
    /// Whether requests with the part used to be answered.
    pub served: bool,
}

/// All parts that one process suspects or has quarantined.
#[derive(Debug)]
pub struct Quarantine {
    pub(super) suspects: HashMap<PartKey, Suspect>,
    /// Ends with strong evidence against some part, with the time at which they became known; weak evidence of the same
    /// end does not count.
    strong: HashMap<EndId, Millis>,
    served: ServedParts,
    /// Number of requests with any parts that were answered.
    pub(super) answers: u64,
    /// Changes since the last call of [`Self::take_changes`].
    pub(super) changes: Vec<Change>,
    /// Time at which quarantined parts were last repeated.
    repeated: Millis,
    pub(super) started: Millis,
}

impl Quarantine {
    /// Creates the state of a process that starts at a time.
    pub fn new(now: Millis) -> Self {
        Self {
            suspects: HashMap::default(),
            strong: HashMap::default(),
            served: ServedParts::default(),
            answers: 0,
            changes: Vec::new(),
            repeated: now,
            started: now,
        }
    }

    /// Returns the number of parts about which anything is kept.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns whether nothing is kept about any part.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns the newest ends of a request's parts that are known now; empty if none is known of any.
    pub fn generations(&self, parts: &[PartKey]) -> Vec<Generation> {
        if self.suspects.is_empty() {
            return Vec::new();
        }
        let newest = |part| self.suspects.get(part).map(Suspect::newest);
        parts
            .iter()
            .map(|p| newest(p).unwrap_or_default())
            .collect()
    }

    /// Records the end of an endpoint with a request in flight. `known` are the generations of the request's parts from
    /// the time at which it was sent, and `wall` is the time of day in Unix milliseconds.
    pub fn record_end(
        &mut self,
        id: EndId,
        parts: &[PartKey],
        known: &[Generation],
        strength: Strength,
        wall: u64,
        now: Millis,
    ) {
        self.note_strength(id, strength, now);
        for (i, &part) in parts.iter().enumerate() {
            if !self.counts(part, id, strength) {
                continue;
            }
            let after = known.get(i).copied().unwrap_or_default();
            self.add_local(part, id, after, strength, wall, now);
        }
        for &part in parts {
            self.settle(part, now);
        }
    }

    fn add_local(
        &mut self,
        part: PartKey,
        id: EndId,
        after: Generation,
        strength: Strength,
        wall: u64,
        now: Millis,
    ) {
        let served = self.was_served(part, now);
        let answers = self.answers;
        let Some(suspect) = self.suspect(part, served, now) else {
            return;
        };
        let known = suspect.ends().iter().find(|e| e.id == id);
        // The time of day keeps generations ahead of those of processes that remember an earlier quarantine.
        let next = Generation((suspect.newest().0 + 1).max(wall));
        let generation = known.map_or(next, |e| e.generation);
        let end = End {
            id,
            generation,
            after,
            strength,
        };
        let fresh = suspect.ends().is_empty();
        if !suspect.add(end, answers, now) {
            return;
        }
        // An answer to another request will probably clear a part that used to be answered: others need not hear of it.
        let delay = if fresh && suspect.served && !suspect.shared {
            SETTLE_TIME
        } else {
            Millis::ZERO
        };
        suspect.changed = now + delay;
    }

    /// Records that a request was answered. `known` are the generations of its parts from the time at which its answer
    /// began.
    pub fn record_served(&mut self, parts: &[PartKey], known: &[Generation], now: Millis) {
        self.answers += u64::from(!parts.is_empty());
        for (i, &part) in parts.iter().enumerate() {
            self.served.note(part, now);
            let Some(suspect) = self.suspects.get_mut(&part) else {
                continue;
            };
            suspect.served = true;
            let upto = known.get(i).copied().unwrap_or_default();
            if !suspect.clear(upto, now) {
                continue;
            }
            suspect.changed = now;
            let forget = suspect.ends().is_empty() && !suspect.shared;
            self.release_if_weak(part);
            if forget {
                self.suspects.remove(&part);
            }
        }
    }

    /// Merges another process's report of a part.
    pub fn merge(&mut self, report: &PartReport, now: Millis) {
        let part = report.part;
        let served = report.served || self.was_served(part, now);
        let ends: Vec<_> = report
            .ends
            .iter()
            .filter(|e| self.counts(part, e.id, e.strength))
            .copied()
            .collect();
        if ends.is_empty() && !self.suspects.contains_key(&part) {
            return;
        }
        for end in &ends {
            self.note_strength(end.id, end.strength, now);
        }
        let answers = self.answers;
        let Some(suspect) = self.suspect(part, served, now) else {
            return;
        };
        let mut changed = !suspect.shared;
        suspect.shared = true;
        changed |= served && !report.served;
        let learned = served && !suspect.served;
        suspect.served |= served;
        changed |= suspect.clear(report.cleared, now);
        // The other process lacks an answer.
        changed |= report.cleared < suspect.cleared && !report.ends.is_empty();
        for end in ends {
            changed |= suspect.add(end, answers, now);
        }
        if changed {
            suspect.changed = now;
        }
        self.release_if_weak(part);
        if learned {
            self.reconsider(part, now);
        }
        if report.probes.is_some() && report.served == served {
            self.adopt(part, now);
        }
        self.settle(part, now);
        let Some(suspect) = self.suspects.get_mut(&part) else {
            return;
        };
        if let (Some(probes), Some(progress)) = (&mut suspect.probes, report.probes) {
            if probes.merge(progress, now) {
                suspect.changed = now;
            }
        }
    }

    /// Decides, as the process that grants the probes of a part, on a request for permission to send one.
    pub fn grant_probe(&mut self, part: PartKey, now: Millis) -> ProbeGrant {
        let Some(suspect) = self.suspects.get_mut(&part) else {
            return ProbeGrant::NotQuarantined;
        };
        let Some(probes) = &mut suspect.probes else {
            return ProbeGrant::NotQuarantined;
        };
        if !probes.grant(now) {
            let wait = probes.next - now;
            return ProbeGrant::Denied { wait };
        }
        suspect.changed = now;
        ProbeGrant::Granted
    }

    /// Notes that another process granted a probe of a part to this one.
    pub fn note_granted(&mut self, part: PartKey, now: Millis) {
        if let Some(probes) = self.suspects.get_mut(&part).and_then(|s| s.probes.as_mut()) {
            probes.count_granted(now);
        }
    }

    /// Records that the connection of a probe ended before its response showed that the endpoint runs it. That is the
    /// probe's result, also where the end is no strong evidence: an endpoint may end before anything of its response
    /// arrives, or start again under the id that it had.
    pub fn record_failed_probe(&mut self, parts: &[PartKey], now: Millis) {
        for part in parts {
            let Some(suspect) = self.suspects.get_mut(part) else {
                continue;
            };
            let Some(probes) = &mut suspect.probes else {
                continue;
            };
            if probes.record_failure(now) {
                suspect.changed = now;
            }
        }
    }

    /// Returns what this process knows of a part, for other processes.
    pub fn report(&self, part: PartKey) -> Option<PartReport> {
        self.suspects.get(&part).map(|s| s.report(part))
    }

    /// Puts the next probe of a part off, because permission to send one was denied.
    pub fn postpone_probe(&mut self, part: PartKey, until: Millis) {
        let suspect = self.suspects.get_mut(&part);
        if let Some(probes) = suspect.and_then(|s| s.probes.as_mut()) {
            probes.postpone(until);
        }
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Returns whether a change has not been reported yet or was reported less than `time` ago.
    pub fn has_news(&self, time: Millis, now: Millis) -> bool {
        let recent = |s: &Suspect| s.changed <= now && now < s.changed + time;
        self.suspects.values().any(recent)
    }

    /// Returns what other processes may not know, and at intervals all quarantined parts.
    pub fn reports(&mut self, now: Millis) -> Vec<PartReport> {
        let all = now >= self.repeated + REPEAT_INTERVAL;
        if all {
            self.repeated = now;
        }
        let is_due = |s: &Suspect| {
            let recent = s.changed <= now && now < s.changed + CHANGE_REPEAT;
            recent || (all && s.probes.is_some())
        };
        let mut due: Vec<_> = self
            .suspects
            .iter_mut()
            .filter(|(_, s)| is_due(s))
            .collect();
        due.sort_by_key(|(_, s)| std::cmp::Reverse((s.probes.is_some(), s.weight())));
        due.truncate(REPORTS_MAX);
        let report = |(part, s): (&PartKey, &mut Suspect)| {
            s.shared = true;
            s.report(*part)
        };
        due.into_iter().map(report).collect()
    }

    /// Drops what is no longer needed.
    pub fn expire(&mut self, now: Millis) {
        self.strong.retain(|_, at| now < *at + SUSPECT_RETENTION);
        self.suspects.retain(|_, s| {
            let time = if s.probes.is_some() {
                QUARANTINE_RETENTION
            } else if s.ends().is_empty() {
                CLEARED_RETENTION
            } else {
                SUSPECT_RETENTION
            };
            now < s.used.max(s.changed) + time
        });
    }

    /// Returns whether this process knows that requests with a part used to be answered.
    fn was_served(&self, part: PartKey, now: Millis) -> bool {
        self.served.contains(part, now)
    }

    /// Returns the suspect of a part, which is added if there is room.
    fn suspect(&mut self, part: PartKey, served: bool, now: Millis) -> Option<&mut Suspect> {
        if self.suspects.len() >= SUSPECTS_MAX && !self.suspects.contains_key(&part) {
            self.evict();
        }
        if self.suspects.len() >= SUSPECTS_MAX && !self.suspects.contains_key(&part) {
            return None;
        }
        let add = || Suspect::new(served, now);
        Some(self.suspects.entry(part).or_insert_with(add))
    }

    /// Removes the part with the least evidence, of several the one that was in flight at an end longest ago; never a
    /// quarantined one.
    fn evict(&mut self) {
        let candidates = self.suspects.iter().filter(|(_, s)| s.probes.is_none());
        let least = candidates.min_by_key(|(_, s)| (s.weight(), s.used));
        if let Some(part) = least.map(|(part, _)| *part) {
            self.suspects.remove(&part);
        }
    }

    /// Remembers that an end points strongly to some part, and drops the weak evidence of the same end.
    fn note_strength(&mut self, id: EndId, strength: Strength, now: Millis) {
        if strength == Strength::Weak || self.strong.insert(id, now).is_some() {
            return;
        }
        for suspect in self.suspects.values_mut() {
            suspect.remove(id, true);
        }
        if self.strong.len() > STRONG_MAX {
            let oldest = self.strong.iter().min_by_key(|(_, at)| **at);
            if let Some(id) = oldest.map(|(id, _)| *id) {
                self.strong.remove(&id);
            }
        }
    }

    /// Returns whether an end counts against a part: it is not explained by another part that is quarantined, nor weak
    /// beside strong evidence.
    fn counts(&self, part: PartKey, id: EndId, strength: Strength) -> bool {
        if strength == Strength::Weak && self.strong.contains_key(&id) {
            return false;
        }
        if self.is_quarantined(part) {
            return true;
        }
        let explains = |s: &Suspect| s.probes.is_some() && s.has(id);
        !self.suspects.values().any(explains)
    }
}
