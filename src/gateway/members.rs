//! Entries that callers may connect to, by datagrams between them.
//!
//! Each entry announces itself in the store once and then sends its beat several times a second: to all entries while
//! they are few, otherwise to those of its zone and a few random ones, with the newest beats that it has of others. An
//! entry whose beat does not increase is left out of the directory.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{
    fleet::{EndpointNews, FleetDigest},
    homes::Place,
    CatalogVersion, WeightVersion,
};
use crate::base::{rendezvous, HashMap, HashSet, Millis, Zone};

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

/// Entries of each zone that read the store for all of the zone; one where there are more zones than [`ZONES_MAX`], whose
/// readers stand in for each other.
const READERS: usize = 2;
const ZONES_MAX: usize = 3;

/// Entries that an agent tells at most.
const TOLD_MAX: usize = 64;

/// Time without a beat after which an entry is no longer relied on for what the store says; a few beats.
const READER_SILENCE: Millis = Millis(800);

/// Time for which an entry that did not pass on its table is not asked again.
const DISTRUST: Millis = Millis(1500);

/// What an entry knows and does at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Whether it takes callers.
    pub ready: bool,
    /// Version of its catalog.
    pub catalog: CatalogVersion,
    /// Whether it reads the store, and the store answers.
    pub follows: bool,
    /// Hash of its table of endpoints.
    pub fleet: FleetDigest,
}

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
    /// What it knows and does.
    pub status: Status,
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
    /// Endpoints that told the sender lately that they leave.
    pub leaving: Vec<EndpointHash>,
}

/// A datagram to an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// From another entry.
    Beat(Datagram),
    /// From an agent, to entries that read the store.
    Endpoint(EndpointNews),
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
    /// Time before which it is not asked for its table.
    distrusted: Millis,
    /// See [`rank`]; kept because each look compares the ranks of a whole zone.
    rank: u64,
}

impl Member {
    fn new(beat: Beat, beating: bool, now: Millis) -> Self {
        Self {
            rank: rank(beat.peer),
            beat,
            heard: now,
            beating,
            distrusted: Millis::ZERO,
        }
    }

    fn is_live(&self, now: Millis) -> bool {
        let limit = if self.beating { SILENCE } else { WELCOME };
        now < self.heard + limit
    }

    /// Returns whether the entry tells what the store says.
    fn is_reader(&self, now: Millis) -> bool {
        let fresh = self.beating && now < self.heard + READER_SILENCE;
        fresh && self.beat.status.follows && self.distrusted <= now
    }
}

/// Order in which entries read the store for their zone; lower is first.
fn rank(peer: SocketAddr) -> u64 {
    rendezvous(b"reader", peer.to_string().as_bytes())
}

/// Entries as one of them knows them.
#[derive(Debug)]
pub struct Members {
    me: Beat,
    /// Own rank; see [`rank`].
    rank: u64,
    others: HashMap<SocketAddr, Member>,
}

impl Members {
    /// Starts with this entry alone.
    pub fn new(me: Beat) -> Self {
        Self {
            rank: rank(me.peer),
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
        let member = Member::new(beat, false, now);
        self.others.insert(member.beat.peer, member);
    }

    /// Takes a beat from a datagram; returns whether the entry became live or not ready by it.
    pub fn hear(&mut self, beat: Beat, now: Millis) -> bool {
        if beat.peer == self.me.peer {
            return false;
        }
        let Some(known) = self.others.get_mut(&beat.peer) else {
            let member = Member::new(beat, true, now);
            self.others.insert(member.beat.peer, member);
            return true;
        };
        if known.beating && beat.order() <= known.beat.order() {
            return false;
        }
        let changed = known.beat.status.ready != beat.status.ready || !known.is_live(now);
        known.beat = beat;
        known.heard = now;
        known.beating = true;
        changed
    }

    /// Prepares the beats of the next datagram: this entry's first, then the ones heard last.
    pub fn beat(&mut self, status: Status, now: Millis) -> Vec<Beat> {
        self.me.count += 1;
        self.me.status = status;
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

    fn is_near(&self, m: &Member) -> bool {
        m.beat.zone == self.me.zone
    }

    /// Returns whether this entry reads the store itself: it is one of the first of its zone, or those do not read.
    pub fn reads_store(&self, now: Millis) -> bool {
        let readers = self
            .others
            .values()
            .filter(|m| self.is_near(m) && m.is_reader(now));
        readers.filter(|m| m.rank < self.rank).count() < self.readers_wanted()
    }

    /// Returns how many entries of each zone read the store.
    fn readers_wanted(&self) -> usize {
        let others = self.others.values().map(|m| &m.beat.zone);
        let zones: HashSet<_> = others.chain([&self.me.zone]).collect();
        if zones.len() > ZONES_MAX {
            1
        } else {
            READERS
        }
    }

    /// Returns an entry that reads the store: the first of the own zone, or any other.
    pub fn reader(&self, now: Millis) -> Option<&Beat> {
        let readers = self.others.values().filter(|m| m.is_reader(now));
        let first = readers.min_by_key(|m| (!self.is_near(m), m.rank))?;
        Some(&first.beat)
    }

    /// Returns the entries that agents tell of their endpoints: those that read the store and pass on what they know. While
    /// nobody does, for example because the store is away, all live ones up to a number.
    pub fn told(&self, zone: &str, now: Millis) -> Vec<SocketAddr> {
        let readers = self.readers(now);
        if readers.is_empty() {
            self.peers(zone, TOLD_MAX, now)
        } else {
            readers
        }
    }

    /// Returns the entries that read the store; this one too if it does.
    pub fn readers(&self, now: Millis) -> Vec<SocketAddr> {
        let others = self.others.values().filter(|m| m.is_reader(now));
        let me = Some(&self.me).filter(|me| me.status.follows);
        others.map(|m| &m.beat).chain(me).map(|b| b.peer).collect()
    }

    /// Notes that an entry did not pass on its table.
    pub fn distrust(&mut self, peer: SocketAddr, now: Millis) {
        if let Some(m) = self.others.get_mut(&peer) {
            m.distrusted = now + DISTRUST;
        }
    }

    /// Returns a live entry with a newer catalog than a version: of the own zone, if an entry of it reads the store.
    pub fn newer_catalog(&self, than: CatalogVersion, now: Millis) -> Option<SocketAddr> {
        let reads = |m: &Member| self.is_near(m) && m.is_reader(now);
        let near = self.others.values().any(reads);
        let newer = |m: &&Member| {
            m.is_live(now) && m.beat.status.catalog > than && (!near || self.is_near(m))
        };
        // Any of them, so that no link carries all copies of a large catalog.
        let newer: Vec<_> = self.others.values().filter(newer).collect();
        let newest = newer.iter().map(|m| m.beat.status.catalog).max()?;
        let newest: Vec<_> = newer
            .iter()
            .filter(|m| m.beat.status.catalog == newest)
            .collect();
        Some(newest[fastrand::usize(..newest.len())].beat.peer)
    }

    /// Returns the peer addresses of a few live entries, those of a zone first, for agents.
    pub fn peers(&self, zone: &str, max: usize, now: Millis) -> Vec<SocketAddr> {
        let others = self.others.values().filter(|m| m.is_live(now));
        let mut all: Vec<&Beat> = others.map(|m| &m.beat).chain([&self.me]).collect();
        fastrand::shuffle(&mut all);
        all.sort_by_key(|b| b.zone.as_str() != zone);
        all.into_iter().take(max).map(|b| b.peer).collect()
    }

    /// Returns the live entries that take callers, with this one if it does.
    pub fn places(&self, now: Millis) -> Vec<Place> {
        let others = self.others.values().filter(|m| m.is_live(now));
        let all = others.map(|m| &m.beat).chain([&self.me]);
        let ready = all.filter(|b| b.status.ready);
        let place = |b: &Beat| Place {
            peer: b.peer,
            zone: b.zone.clone(),
        };
        ready.map(place).collect()
    }

    /// Returns the addresses for a caller of a zone: those of the zone first if there are at least two, then all.
    pub fn addresses(&self, zone: &str, max: usize, now: Millis) -> Vec<SocketAddr> {
        let others = self.others.values().filter(|m| m.is_live(now));
        let all: Vec<&Beat> = others
            .map(|m| &m.beat)
            .chain([&self.me])
            .filter(|b| b.status.ready)
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
