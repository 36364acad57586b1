//! Zone readers among the entries: which ones read the store for their zones, who relies on them, and what they say of it.

use std::net::SocketAddr;

use super::{Heartbeat, Member, Membership};
use crate::{
    base::{HashSet, Millis},
    gateway::{message::ReadTimes, zone_reader::SETTLE_TIME, CatalogVersion},
};

/// Zone readers, the entries of each zone that read the store for the others of the zone; one per zone where there are
/// more than [`ZONES_MAX`] zones, as zones then fall back on each other's reader.
const ZONE_READERS: usize = 2;
const ZONES_MAX: usize = 3;

/// Largest number of entries that an agent notifies while no entry reads the store.
const NOTIFY_MAX: usize = 64;

/// Time after which an entry that has become a zone reader has read the catalog, too.
const CATALOG_READ: Millis = Millis(SETTLE_TIME.0 + 500);

/// Backoff before an entry that did not send its endpoint table or its catalog is queried again.
const QUERY_BACKOFF: Millis = Millis(1500);

impl Membership {
    /// Returns whether this entry has to read the store: too few entries of its zone with a lower rank do so.
    pub fn is_zone_reader(&self, now: Millis) -> bool {
        let readers = self
            .others
            .values()
            .filter(|m| self.is_near(m) && m.is_reader(now));
        readers.filter(|m| m.rank < self.rank).count() < self.readers_per_zone()
    }

    /// Returns whether another entry has read the store for `time`, so that an outage which this entry saw in that time
    /// was not one of the store.
    pub fn store_was_up(&self, time: Millis, now: Millis) -> bool {
        self.store_up_since(now).is_some_and(|at| at + time <= now)
    }

    /// Returns the time since which the store has answered another entry without a gap; `None` if none is known that
    /// reads it now.
    pub fn store_up_since(&self, now: Millis) -> Option<Millis> {
        let witnesses = self.others.values().filter(|m| m.is_witness(now));
        witnesses.filter_map(|m| m.reads_since).min()
    }

    /// Returns how many entries of each zone have to read the store.
    fn readers_per_zone(&self) -> usize {
        let others = self.others.values().map(|m| &m.heartbeat.zone);
        let zones: HashSet<_> = others.chain([&self.me.zone]).collect();
        if zones.len() > ZONES_MAX {
            1
        } else {
            ZONE_READERS
        }
    }

    /// Returns the entry to query for the state of the store: the zone reader of the own zone with the lowest rank, or
    /// else one of another zone.
    pub fn zone_reader(&self, now: Millis) -> Option<&Heartbeat> {
        let readers = self.others.values().filter(|m| m.is_reader(now));
        let first = readers.min_by_key(|m| (!self.is_near(m), m.rank))?;
        Some(&first.heartbeat)
    }

    /// Returns the entries that an agent of a zone notifies of its endpoint: those that read the store, which pass it
    /// on. While none does, for example during an outage of the store, up to `NOTIFY_MAX` live entries.
    pub fn notify_targets(&self, zone: &str, now: Millis) -> Vec<SocketAddr> {
        let readers = self.readers(now);
        if readers.is_empty() {
            self.peers(zone, NOTIFY_MAX, now)
        } else {
            readers
        }
    }

    /// Returns the addresses of the entries that read the store, including this one if it does.
    pub fn readers(&self, now: Millis) -> Vec<SocketAddr> {
        let others = self.others.values().filter(|m| m.is_reader(now));
        let me = Some(&self.me).filter(|me| me.status.reads_store);
        others
            .map(|m| &m.heartbeat)
            .chain(me)
            .map(|b| b.peer)
            .collect()
    }

    /// Starts the backoff of an entry that did not send its endpoint table.
    pub fn back_off(&mut self, peer: SocketAddr, now: Millis) {
        if let Some(m) = self.others.get_mut(&peer) {
            m.backoff_until = now + QUERY_BACKOFF;
        }
    }

    /// Returns whether an entry of the own zone reads the catalogs from the store; one that has only just become a zone
    /// reader does not.
    fn is_catalog_reader(&self, m: &Member, now: Millis) -> bool {
        let settled = m.reads_since.is_some_and(|at| at + CATALOG_READ <= now);
        self.is_near(m) && m.is_reader(now) && settled && m.catalog_until <= now
    }

    /// Starts the backoff of an entry that did not send its catalog.
    pub fn back_off_catalog(&mut self, peer: SocketAddr, now: Millis) {
        if let Some(m) = self.others.get_mut(&peer) {
            m.catalog_until = now + QUERY_BACKOFF;
        }
    }

    /// Returns the newest catalog that a live entry has.
    pub fn newest_catalog(&self, now: Millis) -> CatalogVersion {
        let live = self.others.values().filter(|m| m.is_live(now));
        let versions = live.map(|m| m.heartbeat.status.catalog);
        versions.max().unwrap_or_default()
    }

    /// Returns a live entry with the newest catalog, if that is newer than `than`. While an entry of the own zone reads
    /// the catalogs from the store, only entries of the own zone are considered, unless the catalog is `overdue`.
    pub fn newer_catalog(
        &self,
        than: CatalogVersion,
        overdue: bool,
        now: Millis,
    ) -> Option<SocketAddr> {
        let read_near = || self.others.values().any(|m| self.is_catalog_reader(m, now));
        let near = !overdue && read_near();
        let newer = |m: &&Member| {
            let answers = m.is_live(now) && m.catalog_until <= now;
            answers && m.heartbeat.status.catalog > than && (!near || self.is_near(m))
        };
        // A random one of the entries with the newest catalog, so that no single link carries all copies of a large
        // catalog.
        let newer: Vec<_> = self.others.values().filter(newer).collect();
        let newest = newer.iter().map(|m| m.heartbeat.status.catalog).max()?;
        let newest: Vec<_> = newer
            .iter()
            .filter(|m| m.heartbeat.status.catalog == newest)
            .collect();
        Some(newest[fastrand::usize(..newest.len())].heartbeat.peer)
    }

    /// Returns the times for which the senders of `heartbeats` have read the store; `own` is that of this entry.
    pub fn read_times(&self, heartbeats: &[Heartbeat], own: Millis, now: Millis) -> ReadTimes {
        let time = |h: &Heartbeat| {
            if h.peer == self.me.peer {
                return own.min(ReadTimes::MAX);
            }
            let since = self.others.get(&h.peer).and_then(|m| m.reads_since);
            since.map_or(Millis::ZERO, |at| (now - at).min(ReadTimes::MAX))
        };
        ReadTimes(heartbeats.iter().map(time).collect())
    }
}
