//! Decides which parts are quarantined, and judges requests by that.

use super::{
    part::PartKey,
    probe::ProbeSchedule,
    suspect::Suspect,
    table::{Change, ChangeKind, Quarantine, START_TIME},
};
use crate::base::Millis;

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// No part of it is quarantined.
    Allowed,
    /// A part is quarantined.
    Quarantined {
        /// The part whose next probe is due last.
        part: PartKey,
        /// Time until the next probe of the part is due.
        wait: Millis,
    },
    /// One part is quarantined, and a probe of it is due.
    ProbeDue(PartKey),
}

impl Quarantine {
    /// Judges whether a request may be sent.
    pub fn judge(&mut self, parts: &[PartKey], now: Millis) -> Verdict {
        if self.suspects.is_empty() {
            return Verdict::Allowed;
        }
        let mut verdict = Verdict::Allowed;
        for &part in parts {
            self.release_if_weak(part);
            self.evaluate(part, now);
            let Some(suspect) = self.suspects.get_mut(&part) else {
                continue;
            };
            let Some(probes) = suspect.probes else {
                continue;
            };
            suspect.used = now;
            let wait = probes.next - now;
            verdict = match verdict {
                Verdict::Allowed if wait == Millis::ZERO => Verdict::ProbeDue(part),
                Verdict::Quarantined { wait: longest, .. } if longest >= wait => verdict,
                _ => Verdict::Quarantined { part, wait },
            };
        }
        verdict
    }

    /// Returns whether a part is quarantined.
    pub fn is_quarantined(&self, part: PartKey) -> bool {
        self.suspects.get(&part).is_some_and(|s| s.probes.is_some())
    }

    /// Returns whether requests with one of these parts that are in flight should be cancelled: a part is quarantined, and
    /// none of its requests was ever answered. Other quarantined parts are left to the requests in flight, whose answers
    /// would clear them.
    pub fn condemns(&self, parts: &[PartKey]) -> bool {
        let suspects = parts.iter().filter_map(|part| self.suspects.get(part));
        let mut condemned = suspects.filter(|s| s.probes.is_some() && !s.served);
        condemned.next().is_some()
    }

    /// Takes account of new evidence against a part.
    pub(super) fn settle(&mut self, part: PartKey, now: Millis) {
        if self.is_quarantined(part) {
            self.explain(part, now);
        } else {
            self.evaluate(part, now);
        }
    }

    /// Quarantines a part if the evidence suffices.
    fn evaluate(&mut self, part: PartKey, now: Millis) {
        let Some(suspect) = self.suspects.get(&part) else {
            return;
        };
        if suspect.probes.is_some() || !suspect.is_accused() {
            return;
        }
        if self.is_best_explanation(part, suspect, now) {
            self.quarantine(part, now);
        }
    }

    /// Releases a quarantined part of which this process has learned that it used to be answered, if there was no time
    /// for an answer yet.
    pub(super) fn reconsider(&mut self, part: PartKey, now: Millis) {
        let answers = self.answers;
        let Some(suspect) = self.suspects.get(&part) else {
            return;
        };
        if suspect.probes.is_some() && !suspect.is_settled(answers, false, now) {
            self.release(part);
        }
    }

    /// Quarantines a part that another process has quarantined, if this process knows enough of the same ends.
    pub(super) fn adopt(&mut self, part: PartKey, now: Millis) {
        let suspect = self.suspects.get(&part);
        if suspect.is_some_and(|s| s.probes.is_none() && s.is_confirmed()) {
            self.quarantine(part, now);
        }
    }

    fn quarantine(&mut self, part: PartKey, now: Millis) {
        let Some(suspect) = self.suspects.get_mut(&part) else {
            return;
        };
        suspect.probes = Some(ProbeSchedule::new(now));
        suspect.changed = now;
        self.changes.push(Change {
            part,
            kind: ChangeKind::Quarantined,
            ends: suspect.ends().len(),
            served: suspect.served,
        });
        self.explain(part, now);
    }

    /// Returns whether no other part explains the ends of an accused one better, and enough time has passed for
    /// answers that would clear it. A part that was never answered is the more likely cause.
    fn is_best_explanation(&self, part: PartKey, suspect: &Suspect, now: Millis) -> bool {
        let served = suspect.served || now < self.started + START_TIME;
        let weight = suspect.weight();
        let mut tied = false;
        for (other, s) in &self.suspects {
            let weaker = s.weight() < weight || (s.served && !served);
            if *other == part || weaker || !suspect.is_within(s) {
                continue;
            }
            if s.weight() > weight {
                return false;
            }
            tied = true;
        }
        !served || suspect.is_settled(self.answers, tied, now)
    }

    /// Removes the ends that a quarantined part explains from the evidence against others, and releases others that it
    /// explains wholly and better.
    fn explain(&mut self, part: PartKey, now: Millis) {
        let Some(cause) = self.suspects.get(&part).cloned() else {
            return;
        };
        let mut released = Vec::new();
        for (other, s) in &mut self.suspects {
            if *other == part || s.ends().is_empty() {
                continue;
            }
            if s.probes.is_none() {
                for end in cause.ends() {
                    s.remove(end.id, false);
                }
                continue;
            }
            if s.weight() < cause.weight() && s.is_within(&cause) {
                s.forgive(now);
                s.changed = now;
                released.push(*other);
            }
        }
        for other in released {
            self.release_if_weak(other);
        }
    }

    /// Ends the quarantine of a part if the ends that count do not suffice any more.
    pub(super) fn release_if_weak(&mut self, part: PartKey) {
        let Some(suspect) = self.suspects.get(&part) else {
            return;
        };
        if suspect.probes.is_some() && !suspect.is_confirmed() {
            self.release(part);
        }
    }

    fn release(&mut self, part: PartKey) {
        let Some(suspect) = self.suspects.get_mut(&part) else {
            return;
        };
        suspect.probes = None;
        self.changes.push(Change {
            part,
            kind: ChangeKind::Released,
            ends: suspect.ends().len(),
            served: suspect.served,
        });
    }
}
