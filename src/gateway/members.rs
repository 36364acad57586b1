//! Entries that callers may connect to, by datagrams between them.
//!
//! Each entry announces itself in the store once and then sends its beat several times a second: to all entries while
//! they are few, otherwise to those of its zone and a few random ones, with the newest beats that it has of others. An
//! entry whose beat does not increase is left out of the directory.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{CatalogVersion, WeightVersion};
use crate::base::{HashMap, Millis, Zone};

/// Time between two datagrams to the same entries.
pub(super) const BEAT: Millis = Millis(250);

/// Entries up to which each one sends its beat to all others.
const ALL_MAX: usize = 16;

/// Entries of the own zone, and of all zones, that get each beat when there are more than [`ALL_MAX`].
const ZONE_FANOUT: usize = 12;
const FANOUT: usize = 3;

/// Beats of others in a datagram when entries do not send to all; it stays below the smallest usual packet size.
const BEATS_MAX: usize = 16;

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
    /// Version of its catalog.
    pub catalog: CatalogVersion,
}

/// A version of weights and the time since it was named.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedAge {
    /// Model.
    pub model: String,
    /// Version.
    pub version: WeightVersion,
    /// Time since the sender, or the one that told it, heard of it.
    pub age: Millis,
}

/// Hash of an endpoint's id; short, because each datagram names every endpoint in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EndpointHash(pub u32);

/// What entries tell each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// The sender's beat, then those of others.
    pub beats: Vec<Beat>,
    /// Named versions of weights that still matter.
    pub named: Vec<NamedAge>,
    /// The sender's requests in progress at each endpoint.
    pub loads: Vec<(EndpointHash, u16)>,
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
    pub fn count(&self) -> usize {
        self.others.len() + 1
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

    /// Prepares the beats of the next datagram: this entry's first, then the ones heard last.
    pub fn beat(&mut self, ready: bool, catalog: CatalogVersion, now: Millis) -> Vec<Beat> {
        self.me.count += 1;
        self.me.ready = ready;
        self.me.catalog = catalog;
        self.others.retain(|_, m| now < m.heard + FORGET);
        if self.sends_to_all() {
            return vec![self.me.clone()];
        }
        let mut newest: Vec<_> = self.others.values().filter(|m| m.beating).collect();
        newest.sort_unstable_by_key(|m| std::cmp::Reverse(m.heard));
        let others = newest.into_iter().filter(|m| m.is_live(now));
        let beats = others.take(BEATS_MAX).map(|m| m.beat.clone());
        std::iter::once(self.me.clone()).chain(beats).collect()
    }

    /// Returns whether each entry sends to all others.
    pub fn sends_to_all(&self) -> bool {
        self.others.len() < ALL_MAX
    }

    /// Chooses the entries that get a datagram. Of many entries, a silent one is among them, so that the two sides of a
    /// healed cut find each other.
    pub fn targets(&self, now: Millis) -> Vec<SocketAddr> {
        let peer = |m: &&Member| m.beat.peer;
        if self.sends_to_all() {
            return self.others.values().map(|m| m.beat.peer).collect();
        }
        let (mut live, silent): (Vec<_>, Vec<_>) =
            self.others.values().partition(|m| m.is_live(now));
        fastrand::shuffle(&mut live);
        let near = live.iter().filter(|m| m.beat.zone == self.me.zone);
        let mut out: Vec<_> = near.take(ZONE_FANOUT).map(peer).collect();
        let far = live.iter().filter(|m| m.beat.zone != self.me.zone);
        out.extend(far.take(FANOUT).map(peer));
        if !silent.is_empty() {
            out.push(silent[fastrand::usize(..silent.len())].beat.peer);
        }
        out
    }

    /// Returns a live entry with a newer catalog than a version.
    pub fn newer_catalog(&self, than: CatalogVersion, now: Millis) -> Option<SocketAddr> {
        let newer = |m: &&Member| m.is_live(now) && m.beat.catalog > than;
        let newest = self.others.values().filter(newer);
        newest.max_by_key(|m| m.beat.catalog).map(|m| m.beat.peer)
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
