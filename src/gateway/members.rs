//! Membership of the entries, by heartbeats that they exchange in datagrams.
//!
//! Each entry announces itself in the store once and then sends a heartbeat several times a second: to all entries
//! while they are few, otherwise to some of its zone and a few random ones of others. Datagrams also relay the newest
//! heartbeats of other entries if they do not go to all, or if an entry joined lately. An entry whose heartbeat count does
//! not increase is left out of the directory.

mod directory;
mod readers;

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{
    endpoint_table::{EndpointHash, TableDigest},
    ownership::ReadyEntry,
    CatalogVersion,
};
use crate::{
    base::{rendezvous, HashMap, HashSet, Millis, Zone},
    decide::permit::Fleet,
};

/// Interval of the datagrams to other entries.
pub(super) const HEARTBEAT_INTERVAL: Millis = Millis(250);

/// Number of other entries below which each entry sends its heartbeat to all of them.
const SEND_ALL_MAX: usize = 16;

/// Live entries of the own zone, and of all other zones, that get each datagram once there are [`SEND_ALL_MAX`] others.
const ZONE_FANOUT: usize = 12;
const REMOTE_FANOUT: usize = 3;

/// Relayed heartbeats in a datagram when entries do not send to all; keeps datagrams below the smallest usual packet
/// size.
const RELAY_MAX: usize = 16;

/// Heartbeat timeout: time without a newer heartbeat after which an entry counts as failed.
const TIMEOUT: Millis = Millis(1800);

/// Heartbeat timeout of the issuer of permits where heartbeats are relayed: some are late there by more than
/// [`TIMEOUT`], and an entry that misses those of the issuer would issue permits beside it.
const RELAYED_TIMEOUT: Millis = Millis(5000);

/// Join grace period: time for which an announced entry counts as live before its first heartbeat.
const JOIN_GRACE: Millis = Millis(2500);

/// Time without a newer heartbeat after which an entry is removed from the membership.
const RETENTION: Millis = Millis(120_000);

/// Time without a newer heartbeat after which a zone reader is no longer relied on; a few heartbeat intervals.
const READER_TIMEOUT: Millis = Millis(800);

/// Largest difference between the starts of entries that started together, as when the whole deployment starts.
const SAME_START: Millis = Millis(2000);

/// Number of heartbeats after which an entry has learned of all others by theirs.
const SETTLED_HEARTBEATS: u64 = 10;

/// Status of an entry, part of its heartbeat.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Whether callers may be sent to the entry.
    pub ready: bool,
    /// Version of the catalog in force there.
    pub catalog: CatalogVersion,
    /// Whether it reads the store, and the store responds.
    pub reads_store: bool,
    /// Hash of its endpoint table.
    pub table: TableDigest,
}

/// Heartbeat of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Address for datagrams and queries of other entries; identifies the entry.
    pub peer: SocketAddr,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Availability zone of the entry.
    pub zone: Zone,
    /// Start of the process in Unix milliseconds.
    pub boot: u64,
    /// Number of heartbeats since the start.
    pub count: u64,
    /// Status at the time of the heartbeat.
    pub status: Status,
}

impl Heartbeat {
    fn order(&self) -> (u64, u64) {
        (self.boot, self.count)
    }
}

/// Another entry, as this one knows it.
#[derive(Clone, Debug)]
pub struct Member {
    /// Newest heartbeat, or the announcement until the first heartbeat arrives.
    pub heartbeat: Heartbeat,
    /// Time at which this entry received that heartbeat or announcement.
    last_seen: Millis,
    /// Time at which that arrived at this host, which is earlier if this process was held up.
    heard: Millis,
    /// Time at which this entry first received a heartbeat or the announcement of the entry's present process.
    joined: Millis,
    /// Whether a heartbeat arrived, not only the announcement in the store.
    sends_heartbeats: bool,
    /// Time since which the entry has read the store without a gap: as it says, or since when its heartbeats have said
    /// so without a gap if it is of a build that does not.
    reads_since: Option<Millis>,
    /// End of the backoff after the entry did not send its endpoint table.
    backoff_until: Millis,
    /// End of the backoff after the entry did not send its catalog.
    catalog_until: Millis,
    /// Result of [`rank`], kept because the ranks of many entries are compared at a time.
    rank: u64,
}

impl Member {
    fn new(heartbeat: Heartbeat, sends_heartbeats: bool, now: Millis) -> Self {
        Self {
            rank: rank(heartbeat.peer),
            reads_since: heartbeat.status.reads_store.then_some(now),
            heartbeat,
            last_seen: now,
            heard: now,
            joined: now,
            sends_heartbeats,
            backoff_until: Millis::ZERO,
            catalog_until: Millis::ZERO,
        }
    }

    fn is_live(&self, now: Millis) -> bool {
        let limit = if self.sends_heartbeats {
            TIMEOUT
        } else {
            JOIN_GRACE
        };
        self.is_heard(limit, now)
    }

    /// Returns whether a heartbeat, or the announcement until then, arrived within `time`.
    fn is_heard(&self, time: Millis, now: Millis) -> bool {
        now < self.last_seen + time
    }

    /// Returns whether the entry can be relied on for the state of the store.
    fn is_reader(&self, now: Millis) -> bool {
        let fresh = self.sends_heartbeats && now < self.last_seen + READER_TIMEOUT;
        fresh && self.heartbeat.status.reads_store && self.backoff_until <= now
    }

    /// Returns whether what the entry says of its reads of the store counts, even if it did not send its endpoint table. A
    /// heartbeat that lay in the socket says nothing of the time since it arrived.
    fn is_witness(&self, now: Millis) -> bool {
        let fresh = self.sends_heartbeats && now < self.heard + READER_TIMEOUT;
        fresh && self.heartbeat.status.reads_store
    }
}

/// Rank of an entry in the choice of zone readers; those with the lowest ranks read the store.
fn rank(peer: SocketAddr) -> u64 {
    rendezvous(b"reader", peer.to_string().as_bytes())
}

/// All entries as this one knows them.
#[derive(Debug)]
pub struct Membership {
    me: Heartbeat,
    /// Rank of this entry; see [`rank`].
    rank: u64,
    others: HashMap<SocketAddr, Member>,
    /// Entries that joined lately and sent a datagram since the last one of this entry.
    joining: HashSet<SocketAddr>,
    /// Time at which an entry last became live or changed its readiness.
    changed: Millis,
}

impl Membership {
    /// Creates a membership that holds this entry alone.
    pub fn new(me: Heartbeat) -> Self {
        Self {
            rank: rank(me.peer),
            me,
            others: HashMap::default(),
            joining: HashSet::default(),
            changed: Millis::ZERO,
        }
    }

    /// Returns this entry's latest heartbeat.
    pub fn me(&self) -> &Heartbeat {
        &self.me
    }

    /// Returns the number of known entries, this one included.
    pub fn count(&self) -> usize {
        self.others.len() + 1
    }

    /// Returns whether another entry listens at an address.
    pub fn is_entry(&self, addr: SocketAddr) -> bool {
        let listens = |m: &Member| m.heartbeat.callers == addr || m.heartbeat.peer == addr;
        self.others.values().any(listens)
    }

    /// Adds an entry from its announcement in the store; ignored if the entry is known.
    pub fn announce(&mut self, heartbeat: Heartbeat, now: Millis) {
        if heartbeat.peer == self.me.peer || self.others.contains_key(&heartbeat.peer) {
            return;
        }
        let member = Member::new(heartbeat, false, now);
        self.others.insert(member.heartbeat.peer, member);
    }

    /// Merges a received heartbeat of a build that does not say for how long it has read the store; see
    /// [`Self::merge_timed`].
    pub fn merge(&mut self, heartbeat: Heartbeat, now: Millis) -> bool {
        self.merge_timed(heartbeat, None, now)
    }

    /// Merges a received heartbeat that did not lie in the socket; see [`Self::merge_waited`].
    pub fn merge_timed(
        &mut self,
        heartbeat: Heartbeat,
        read_time: Option<Millis>,
        now: Millis,
    ) -> bool {
        self.merge_waited(heartbeat, read_time, Millis::ZERO, now)
    }

    /// Merges a received heartbeat; returns whether the entry thereby became live or changed its readiness. `read_time`
    /// is the time for which the entry has read the store without a gap, if it says so; `waited` is the time for which the
    /// heartbeat lay in the socket.
    ///
    /// A gap between the heartbeats that arrive may be a pause of this process, or lost datagrams; what another entry says
    /// of its own reads holds all the same.
    pub fn merge_waited(
        &mut self,
        heartbeat: Heartbeat,
        read_time: Option<Millis>,
        waited: Millis,
        now: Millis,
    ) -> bool {
        if heartbeat.peer == self.me.peer {
            return false;
        }
        let told = read_time.map(|time| now - waited - time);
        let Some(known) = self.others.get_mut(&heartbeat.peer) else {
            let mut member = Member::new(heartbeat, true, now);
            member.reads_since = member.reads_since.map(|at| told.unwrap_or(at));
            member.heard = now - waited;
            self.changed = now;
            self.others.insert(member.heartbeat.peer, member);
            return true;
        };
        if known.sends_heartbeats && heartbeat.order() <= known.heartbeat.order() {
            return false;
        }
        let changed = known.heartbeat.status.ready != heartbeat.status.ready || !known.is_live(now);
        if changed {
            self.changed = now;
        }
        if known.heartbeat.boot != heartbeat.boot {
            known.joined = now;
        }
        let gap = now >= known.last_seen + READER_TIMEOUT || known.heartbeat.boot != heartbeat.boot;
        let since = known.reads_since.filter(|_| !gap);
        let reads = heartbeat.status.reads_store;
        known.reads_since = reads.then(|| told.or(since).unwrap_or(now));
        known.heartbeat = heartbeat;
        known.last_seen = now;
        known.heard = now - waited;
        known.sends_heartbeats = true;
        changed
    }

    /// Returns whether no newer heartbeat of the same entry than this one has arrived.
    pub fn is_newest(&self, heartbeat: &Heartbeat) -> bool {
        let known = self.others.get(&heartbeat.peer);
        let known = known.filter(|m| m.sends_heartbeats);
        known.is_none_or(|m| heartbeat.order() >= m.heartbeat.order())
    }

    /// Notes that a datagram of an entry arrived. One that joined lately gets the next datagram, whatever its zone, because
    /// it may know only the entries to which it sends.
    pub fn note_sender(&mut self, peer: SocketAddr, now: Millis) {
        let member = self.others.get(&peer);
        if member.is_some_and(|m| now < m.joined + JOIN_GRACE) {
            self.joining.insert(peer);
        }
    }

    /// Returns the heartbeats for the next datagram: a new one of this entry, then the most recently received ones of
    /// others. Also removes entries without a heartbeat for `RETENTION`.
    pub fn next_heartbeats(&mut self, status: Status, now: Millis) -> Vec<Heartbeat> {
        self.me.count += 1;
        if self.me.status.ready != status.ready {
            self.changed = now;
        }
        self.me.status = status;
        self.others.retain(|_, m| now < m.last_seen + RETENTION);
        if self.sends_to_all() && !self.is_joining(now) {
            return vec![self.me.clone()];
        }
        let mut newest: Vec<_> = self
            .others
            .values()
            .filter(|m| m.sends_heartbeats && m.is_live(now) && now < m.heard + TIMEOUT)
            .collect();
        newest.sort_unstable_by_key(|m| std::cmp::Reverse(m.last_seen));
        // Entries that joined lately come first, but do not displace all others.
        let (joining, settled): (Vec<&Member>, Vec<&Member>) = newest
            .into_iter()
            .partition(|m| now < m.joined + JOIN_GRACE);
        let share = (RELAY_MAX / 2).max(RELAY_MAX.saturating_sub(settled.len()));
        let relayed = joining.into_iter().take(share).chain(settled);
        let heartbeats = relayed.take(RELAY_MAX).map(|m| m.heartbeat.clone());
        std::iter::once(self.me.clone()).chain(heartbeats).collect()
    }

    /// Returns whether another entry joined lately. It and the rest of the entries may not know of each other, because
    /// neither could read the announcements in the store.
    fn is_joining(&self, now: Millis) -> bool {
        self.others.values().any(|m| now < m.joined + JOIN_GRACE)
    }

    /// Returns whether each entry sends its datagrams to all others.
    pub fn sends_to_all(&self) -> bool {
        self.others.len() < SEND_ALL_MAX
    }

    /// Chooses the entries that get the next datagram. If not all do, an entry that timed out is among them, so that
    /// the two sides of a healed network partition find each other.
    pub fn gossip_targets(&mut self, now: Millis) -> Vec<SocketAddr> {
        let joining = std::mem::take(&mut self.joining);
        let mut out = self.random_targets(now);
        if self.sends_to_all() {
            return out;
        }
        let others = self.others.values();
        let timed_out: Vec<_> = others.filter(|m| !m.is_live(now)).collect();
        if !timed_out.is_empty() {
            out.push(timed_out[fastrand::usize(..timed_out.len())].heartbeat.peer);
        }
        out.extend(joining);
        out.sort_unstable();
        out.dedup();
        out
    }

    /// Returns all other entries, live or not.
    pub fn all_peers(&self) -> Vec<SocketAddr> {
        self.others.keys().copied().collect()
    }

    /// Chooses the entries that get a datagram: all others while they are few, else some random live ones.
    pub fn random_targets(&self, now: Millis) -> Vec<SocketAddr> {
        let peer = |m: &&Member| m.heartbeat.peer;
        if self.sends_to_all() {
            return self.all_peers();
        }
        let mut live: Vec<_> = self.others.values().filter(|m| m.is_live(now)).collect();
        fastrand::shuffle(&mut live);
        let near = live.iter().filter(|m| self.is_near(m));
        let mut out: Vec<_> = near.take(ZONE_FANOUT).map(peer).collect();
        let far = live.iter().filter(|m| !self.is_near(m));
        out.extend(far.take(REMOTE_FANOUT).map(peer));
        out
    }

    fn is_near(&self, m: &Member) -> bool {
        m.heartbeat.zone == self.me.zone
    }

    /// Returns the peer addresses of up to `max` live entries, those of `zone` first, for agents.
    pub fn peers(&self, zone: &str, max: usize, now: Millis) -> Vec<SocketAddr> {
        let others = self.others.values().filter(|m| m.is_live(now));
        let mut all: Vec<&Heartbeat> = others.map(|m| &m.heartbeat).chain([&self.me]).collect();
        fastrand::shuffle(&mut all);
        all.sort_by_key(|b| b.zone.as_str() != zone);
        all.into_iter().take(max).map(|b| b.peer).collect()
    }

    /// Returns whether a heartbeat of an entry of another zone arrived within `time`; also if no entry is known there.
    pub fn is_zone_heard(&self, zone: &Zone, time: Millis, now: Millis) -> bool {
        let there = |m: &&Member| m.heartbeat.zone == *zone;
        let mut all = self.others.values().filter(there).peekable();
        all.peek().is_none() || all.any(|m| m.is_heard(time, now))
    }

    /// Returns the live entries that take callers, including this one if it does.
    pub fn ready_entries(&self, now: Millis) -> Vec<ReadyEntry> {
        let others = self.others.values().filter(|m| m.is_live(now));
        let all = others.map(|m| &m.heartbeat).chain([&self.me]);
        let ready = all.filter(|b| b.status.ready);
        let entry = |b: &Heartbeat| ReadyEntry {
            peer: b.peer,
            zone: b.zone.clone(),
        };
        ready.map(entry).collect()
    }

    /// Returns the entry that issues the permits of an endpoint; see [`Self::coordinator`].
    pub fn issuer(&self, endpoint: EndpointHash, now: Millis) -> SocketAddr {
        self.coordinator(endpoint.0, now)
    }

    /// Returns the entry that decides for all others on a matter, among the ready ones; this entry if none is ready.
    /// `key` is a hash of the matter.
    ///
    /// An entry that joins or leaves changes the coordinator only of the matters whose coordinator it becomes or was. One
    /// that has just started does not decide as long as there are others, because it may not know them all yet.
    pub fn coordinator(&self, key: u32, now: Millis) -> SocketAddr {
        let timeout = self.coordinator_timeout();
        let live = self.others.values().filter(|m| m.is_heard(timeout, now));
        let others = live.map(|m| (&m.heartbeat, m.rank));
        let all = others.chain([(&self.me, self.rank)]);
        let ready: Vec<_> = all.filter(|(h, _)| h.status.ready).collect();
        let first_boot = ready.iter().map(|(h, _)| h.boot).min().unwrap_or(0);
        let nearest = ready.iter().min_by_key(|(h, rank)| {
            let later = h.boot > first_boot.saturating_add(SAME_START.0);
            let starting = later && h.count < SETTLED_HEARTBEATS;
            (starting, *rank as u32 ^ key)
        });
        nearest.map_or(self.me.peer, |(h, _)| h.peer)
    }

    /// Heartbeat timeout in the choice of the coordinator.
    fn coordinator_timeout(&self) -> Millis {
        if self.sends_to_all() {
            TIMEOUT
        } else {
            RELAYED_TIMEOUT
        }
    }

    /// Returns whether an entry joined, failed or changed its readiness within `time`, so that others may still know
    /// another coordinator than this entry does.
    pub fn changed_within(&self, time: Millis, now: Millis) -> bool {
        let timeout = self.coordinator_timeout();
        let failed = |m: &Member| !m.is_heard(timeout, now) && m.is_heard(timeout + time, now);
        now < self.changed + time || self.others.values().any(failed)
    }

    /// Returns how many of the entries that may send requests this one hears. Entries that were drained do not count,
    /// and neither do those that never sent a heartbeat.
    pub fn fleet(&self, now: Millis) -> Fleet {
        let (mut live, mut known) = (1, 1);
        for m in self.others.values().filter(|m| m.sends_heartbeats) {
            if m.is_live(now) {
                live += 1;
                known += 1;
            } else if m.heartbeat.status.ready {
                known += 1;
            }
        }
        Fleet { live, known }
    }
}
