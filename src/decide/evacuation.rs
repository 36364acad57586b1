//! Evacuated zones: their endpoints get no requests, and regain their share of the load gradually once they are back in
//! service.
//!
//! The operator's log orders all changes. What is known of the zones therefore has a position in that log, and processes
//! copy it from each other with the position: the later one holds. A log that begins anew ends at an earlier position than
//! before; this is told from an older copy by the time of the read.
//!
//! A store that tells its era says itself that its log begins anew; copies of an older era are left out by the caller.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::base::{Millis, Zone};

/// Largest number of evacuated zones; bounds the size of the datagrams that contain their names.
const ZONES_MAX: usize = 32;

/// Time in which the share of a zone rises from a twentieth to its full share after the zone was put back into service.
/// Endpoints that started meanwhile are slow for some seconds.
pub const RAMP_TIME: Millis = Millis(10_000);

/// Share of its usual load that a zone gets at once when it is put back into service.
const SHARE_MIN: f64 = 0.05;

/// Time after a later position was learned by which the log must be known to end at an earlier one, so that it has begun
/// anew; covers the time for which a datagram may be held up on its way.
const RESTART_MARGIN: Millis = Millis(6000);

/// Time after a new era of the store was first seen by which records that the restored copy lacked are rewritten. A zone
/// is put back because its record is absent only if the log was known to lack it later than that.
pub const REWRITE_TIME: Millis = Millis(3000);

/// What a process read of the operator's log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationRead {
    /// Position in the log up to which records are read.
    pub position: u64,
    /// Time since the moment at which the log ended there; `None` if it holds further records.
    pub age: Option<Millis>,
    /// Whether zones that are not listed are in service.
    pub whole: bool,
    /// Zones in the order of their records, and whether each is evacuated.
    pub zones: Vec<(Zone, bool)>,
}

/// What a process tells others of the evacuated zones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationCopy {
    /// Position in the operator's log up to which it holds.
    pub position: u64,
    /// Time since the log was last known to end there.
    pub age: Millis,
    /// Evacuated zones.
    pub zones: Vec<Zone>,
    /// Zones that were put back into service lately, with the times since then.
    pub restored: Vec<(Zone, Millis)>,
}

impl EvacuationCopy {
    /// Adds the time for which the copy was on its way to its ages.
    pub fn add_age(&mut self, time: Millis) {
        self.age += time;
        for (_, age) in &mut self.restored {
            *age += time;
        }
    }
}

/// Change of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneChange {
    /// Its endpoints get no requests from now on.
    Evacuated,
    /// Its endpoints get requests again.
    Restored,
    /// It is not evacuated, because too many other zones are.
    Ignored,
}

/// Position of the zones' state in the operator's log.
#[derive(Clone, Copy, Debug)]
struct Position {
    offset: u64,
    /// Time at which this process learned of the position.
    learned: Millis,
    /// Time at which the log was last known to end there.
    confirmed: Millis,
    /// Time at which the present log is first known to exist; later than the end of the log that it replaced.
    since: Millis,
}

/// The evacuated zones as one process knows them.
#[derive(Debug, Default)]
pub struct Evacuation {
    /// `None` until something was read or copied.
    position: Option<Position>,
    zones: BTreeSet<Zone>,
    /// Evacuated zones by the records that this process read itself.
    read: BTreeSet<Zone>,
    /// Zones that were put back into service, and when.
    restored: BTreeMap<Zone, Millis>,
    /// Zones that stay evacuated although their records may be absent, because these may be about to be rewritten.
    held: BTreeSet<Zone>,
    /// Time at which the present era of the store was first seen; `None` while the store tells no era.
    era_since: Option<Millis>,
}

impl Evacuation {
    /// Returns whether anything is known of the zones.
    pub fn is_known(&self) -> bool {
        self.position.is_some()
    }

    /// Returns whether the endpoints of a zone get no requests.
    pub fn contains(&self, zone: &Zone) -> bool {
        self.zones.contains(zone)
    }

    /// Returns the evacuated zones.
    pub fn zones(&self) -> impl Iterator<Item = &Zone> {
        self.zones.iter()
    }

    /// Returns the number of evacuated zones.
    pub fn count(&self) -> usize {
        self.zones.len()
    }

    /// Returns whether zones stay evacuated only because their records may be about to be rewritten.
    pub fn is_holding(&self) -> bool {
        !self.held.is_empty()
    }

    /// Begins an era of the store, in which the positions of before tell nothing. Evacuated zones stay until the log of the
    /// new era is known to lack their records after [`REWRITE_TIME`], or until the records' removal is read.
    pub fn begin_era(&mut self, now: Millis) {
        self.era_since = Some(now);
        self.read.clear();
        self.held.clone_from(&self.zones);
        if let Some(known) = &mut self.position {
            *known = Position {
                offset: 0,
                learned: now,
                confirmed: Millis::ZERO,
                since: Millis::ZERO,
            };
        }
    }

    /// Returns whether what the log was known to hold at a time includes the records that were rewritten in this era.
    fn is_rewritten(&self, confirmed: Millis) -> bool {
        self.era_since
            .is_none_or(|at| confirmed > at + REWRITE_TIME)
    }

    /// Returns whether processes may still hold zones of the old era; they see the new one at different times.
    fn is_in_rewrite(&self, now: Millis) -> bool {
        let since = self.era_since;
        since.is_some_and(|at| now <= at + REWRITE_TIME.times(2))
    }

    /// Returns the share of its usual load that a zone may get, 0 to 1.
    pub fn share(&self, zone: &Zone, now: Millis) -> f64 {
        if self.zones.contains(zone) {
            return 0.0;
        }
        let Some(at) = self.restored.get(zone) else {
            return 1.0;
        };
        let risen = (now - *at).0 as f64 / RAMP_TIME.0 as f64;
        (SHARE_MIN + (1.0 - SHARE_MIN) * risen).min(1.0)
    }

    /// Returns whether the zones as of a position replace the known ones; `age` is that of the position.
    ///
    /// They do if the position is later, or if it is earlier at a time when the known one had been known for long, so that
    /// the log began anew. Of the log before that, nothing is accepted any more.
    fn advance(&mut self, offset: u64, age: Option<Millis>, now: Millis) -> bool {
        let confirmed = age.map_or(Millis::ZERO, |age| now - age);
        let new = Position {
            offset,
            learned: now,
            confirmed,
            since: Millis::ZERO,
        };
        let Some(known) = &mut self.position else {
            self.position = Some(new);
            return true;
        };
        if offset < known.offset {
            let restarts = confirmed > known.learned + RESTART_MARGIN;
            if restarts {
                *known = Position {
                    since: confirmed,
                    ..new
                };
            }
            return restarts;
        }
        known.confirmed = known.confirmed.max(confirmed);
        if offset > known.offset {
            (known.offset, known.learned) = (offset, now);
        }
        true
    }

    /// Applies what this process read of the log, unless what it copied from another process is newer. Returns the zones
    /// that changed.
    pub fn apply(&mut self, read: EvacuationRead, now: Millis) -> Vec<(Zone, ZoneChange)> {
        if read.whole {
            self.read.clear();
        }
        let mut ignored = Vec::new();
        for (zone, evacuated) in read.zones {
            if evacuated {
                self.read.insert(zone.clone());
                ignored.push((zone, ZoneChange::Ignored));
            } else {
                self.read.remove(&zone);
                // The newest records of all keys don't tell a removal from a record that the copy lacks.
                if !read.whole {
                    self.held.remove(&zone);
                }
            }
        }
        // The first ones by name, so that all processes take the same, whatever the order of the records.
        let zones: BTreeSet<_> = self.read.iter().take(ZONES_MAX).cloned().collect();
        ignored.retain(|(zone, _)| self.read.contains(zone) && !zones.contains(zone));
        let mut changes = Vec::new();
        if self.advance(read.position, read.age, now) {
            if read.age.is_some_and(|age| self.is_rewritten(now - age)) {
                self.held.clear();
            }
            let held = self.held.iter().cloned();
            changes = self.replace(held.chain(zones).collect(), now);
        }
        changes.append(&mut ignored);
        changes
    }

    /// Merges what another process knows, if that is newer. Returns the zones that changed.
    pub fn merge(&mut self, copy: EvacuationCopy, now: Millis) -> Vec<(Zone, ZoneChange)> {
        let known = self.position;
        if known.is_some_and(|p| now - copy.age < p.since) {
            return Vec::new();
        }
        if !self.advance(copy.position, Some(copy.age), now) {
            return Vec::new();
        }
        let same = known.is_some_and(|p| p.offset == copy.position);
        let changes = self.adopt(copy.zones, now - copy.age, same, now);
        // A process that started since the zone was put back learns of it only by a copy.
        for (zone, age) in copy.restored {
            if !self.zones.contains(&zone) {
                let at = self.restored.entry(zone).or_insert(now);
                *at = (*at).min(now - age);
            }
        }
        changes
    }

    /// Adopts the zones of a copy of a position that is not older than the known one, which it may be (`same`). The log was
    /// known to end there at `confirmed`.
    fn adopt(
        &mut self,
        zones: Vec<Zone>,
        confirmed: Millis,
        same: bool,
        now: Millis,
    ) -> Vec<(Zone, ZoneChange)> {
        let mut zones: BTreeSet<_> = zones.into_iter().collect();
        let rewritten = self.is_rewritten(confirmed);
        if self.era_since.is_none() {
            return if same {
                Vec::new()
            } else {
                self.replace(zones, now)
            };
        }
        if rewritten {
            self.held.clear();
        } else if (self.is_unread() || !same) && self.is_in_rewrite(now) {
            // The sender may hold them, too.
            self.held.extend(zones.iter().cloned());
        }
        if same {
            // Processes hold zones of the old era for different times. All have those whose records are in the log, so that
            // a zone that one of them lacks is not evacuated.
            let known = self.zones.iter();
            let kept = known.filter(|z| !rewritten || zones.contains(*z));
            zones = kept.cloned().collect();
        }
        zones.extend(self.held.iter().cloned());
        self.replace(zones, now)
    }

    /// Returns whether nothing was read or copied in the present era of the store.
    fn is_unread(&self) -> bool {
        self.position.is_none_or(|p| p.offset == 0)
    }

    /// Replaces the evacuated zones; returns those that changed.
    fn replace(&mut self, zones: BTreeSet<Zone>, now: Millis) -> Vec<(Zone, ZoneChange)> {
        let begun = zones.difference(&self.zones);
        let mut changes: Vec<_> = begun.map(|z| (z.clone(), ZoneChange::Evacuated)).collect();
        let ended = self.zones.difference(&zones);
        changes.extend(ended.map(|z| (z.clone(), ZoneChange::Restored)));
        self.restored.retain(|_, at| now < *at + RAMP_TIME);
        for (zone, change) in &changes {
            match change {
                ZoneChange::Restored => self.restored.insert(zone.clone(), now),
                _ => self.restored.remove(zone),
            };
        }
        self.zones = zones;
        changes
    }

    /// Returns what is known, for other processes; `None` if that is nothing.
    pub fn copy(&self, now: Millis) -> Option<EvacuationCopy> {
        let position = self.position?;
        let restored = self.restored.iter();
        let restored = restored.filter(|(_, at)| now < **at + RAMP_TIME);
        Some(EvacuationCopy {
            position: position.offset,
            // Unknown if it was never known to end there.
            age: if position.confirmed == Millis::ZERO {
                Millis::MAX
            } else {
                now - position.confirmed
            },
            zones: self.zones.iter().cloned().collect(),
            restored: restored.map(|(z, at)| (z.clone(), now - *at)).collect(),
        })
    }
}
