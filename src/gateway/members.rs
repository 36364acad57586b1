//! Entries that callers may connect to, by datagrams between them.
//!
//! Each entry announces itself in the store once and then sends its beat to a few random entries several times a
//! second, with the newest beats that it has of others. An entry whose beat does not increase is left out of the
//! directory.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::base::{HashMap, Millis, Zone};

/// Time between two datagrams to the same number of entries.
pub(super) const BEAT: Millis = Millis(300);

/// Entries that get each beat.
const FANOUT: usize = 3;

/// Beats of others in a datagram; it stays below the smallest usual packet size.
const BEATS_MAX: usize = 24;

/// Time without a newer beat after which an entry counts as gone.
const SILENCE: Millis = Millis(1800);

/// Time for which a new entry counts as live without a beat.
const WELCOME: Millis = Millis(2500);

/// Time without a beat after which an entry is forgotten.
const FORGET: Millis = Millis(120_000);

/// State of an entry at one moment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beat {
    /// Datagram address; identifies the host.
    pub peer: SocketAddr,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Availability zone.
    pub zone: Zone,
    /// Start of the process in Unix milliseconds.
    pub boot: u64,
    /// Count of beats since the start.
    pub count: u64,
    /// Whether it takes callers.
    pub ready: bool,
}

impl Beat {
    fn order(&self) -> (u64, u64) {
        (self.boot, self.count)
    }
}

/// Another entry.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its newest beat.
    pub beat: Beat,
    /// When a newer beat arrived last.
    heard: Millis,
    /// Whether a beat arrived, and not only its announcement.
    beating: bool,
}

impl Member {
    fn is_live(&self, now: Millis) -> bool {
        let limit = if self.beating { SILENCE } else { WELCOME };
        now < self.heard + limit
    }
}

/// Entries as one of them knows them.
#[derive(Debug)]
pub struct Members {
    me: Beat,
    others: HashMap<SocketAddr, Member>,
}

impl Members {
    /// Starts with this entry alone.
    pub fn new(me: Beat) -> Self {
        Self {
            me,
            others: HashMap::default(),
        }
    }

    /// Returns this entry's beat.
    pub fn me(&self) -> &Beat {
        &self.me
    }

    /// Returns the number of entries, with this one.
    pub fn len(&self) -> usize {
        self.others.len() + 1
    }

    /// Returns whether no entry is known; there is always this one.
    pub fn is_empty(&self) -> bool {
        false
    }

    /// Notes an announcement in the store.
    pub fn announce(&mut self, beat: Beat, now: Millis) {
        if beat.peer == self.me.peer || self.others.contains_key(&beat.peer) {
            return;
        }
        let member = Member {
            heard: now,
            beating: false,
            beat,
        };
        self.others.insert(member.beat.peer, member);
    }

    /// Takes a beat from a datagram; returns whether the entry became live or not ready by it.
    pub fn hear(&mut self, beat: Beat, now: Millis) -> bool {
        if beat.peer == self.me.peer {
            return false;
        }
        let Some(known) = self.others.get_mut(&beat.peer) else {
            let member = Member {
                heard: now,
                beating: true,
                beat,
            };
            self.others.insert(member.beat.peer, member);
            return true;
        };
        if known.beating && beat.order() <= known.beat.order() {
            return false;
        }
        let changed = known.beat.ready != beat.ready || !known.is_live(now);
        *known = Member {
            heard: now,
            beating: true,
            beat,
        };
        changed
    }

    /// Prepares the next datagram: this entry's beat first, then the beats heard last.
    pub fn beat(&mut self, ready: bool, now: Millis) -> Vec<Beat> {
        self.me.count += 1;
        self.me.ready = ready;
        self.others.retain(|_, m| now < m.heard + FORGET);
        let mut newest: Vec<_> = self.others.values().filter(|m| m.beating).collect();
        newest.sort_unstable_by_key(|m| std::cmp::Reverse(m.heard));
        let others = newest.into_iter().filter(|m| m.is_live(now));
        let beats = others.take(BEATS_MAX).map(|m| m.beat.clone());
        std::iter::once(self.me.clone()).chain(beats).collect()
    }

    /// Chooses the entries that get a datagram; one of the silent ones is among them now and then, so that entries on
    /// both sides of a healed cut find each other.
    pub fn targets(&self, now: Millis) -> Vec<SocketAddr> {
        let (mut live, silent): (Vec<_>, Vec<_>) =
            self.others.values().partition(|m| m.is_live(now));
        fastrand::shuffle(&mut live);
        let mut out: Vec<_> = live.iter().take(FANOUT).map(|m| m.beat.peer).collect();
        if !silent.is_empty() {
            out.push(silent[fastrand::usize(..silent.len())].beat.peer);
        }
        out
    }

    /// Returns the addresses for a caller of a zone: those of the zone first if there are at least two, then all.
    pub fn addresses(&self, zone: &str, max: usize, now: Millis) -> Vec<SocketAddr> {
        let others = self.others.values().filter(|m| m.is_live(now));
        let all: Vec<&Beat> = others
            .map(|m| &m.beat)
            .chain([&self.me])
            .filter(|b| b.ready)
            .collect();
        let near: Vec<_> = all
            .iter()
            .filter(|b| b.zone.as_str() == zone)
            .map(|b| b.callers)
            .collect();
        let mut out = if near.len() >= NEAR_MIN {
            near
        } else {
            all.iter().map(|b| b.callers).collect()
        };
        fastrand::shuffle(&mut out);
        out.truncate(max);
        out
    }
}

/// Ready entries of a zone that are enough for its callers.
const NEAR_MIN: usize = 2;
