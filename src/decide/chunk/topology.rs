//! Neighbours and leaders, computed by each agent from its own host list.

use crate::base::{rendezvous, Digest, HashSet, ProcessName};

/// Rings over the hosts of the zone; those after them are over the hosts of the region. Two neighbours in each ring make 8 peers in exchange. A union
/// of random rings is connected and has the same degree everywhere, so that no uplink is over- or underused.
const ZONE_RINGS: u64 = 2;

/// Rings tried in all; a small zone gives fewer neighbours, and further rings over the region make up for them.
const RINGS_MAX: u64 = 8;

/// Peers in exchange.
const NEIGHBOURS_MAX: usize = 8;

/// Hosts of the store's region that a leader of another region asks for a chunk.
pub(super) const CROSS_SOURCES: usize = 3;

/// Identifies a host by the hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PeerId(pub u64);

impl From<&ProcessName> for PeerId {
    fn from(name: &ProcessName) -> Self {
        Self(rendezvous(b"weights", name.as_str().as_bytes()))
    }
}

/// Where a host is, seen from this one; nearest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Proximity {
    /// In the same zone.
    Zone,
    /// In another zone of the same region.
    Region,
    /// In the store's region, which is not this one.
    Store,
    /// In a further region.
    Remote,
}

impl Proximity {
    /// Returns whether the host is in the same region.
    pub fn is_local(self) -> bool {
        matches!(self, Self::Zone | Self::Region)
    }
}

/// A host that takes part in the exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// Identity.
    pub id: PeerId,
    /// Where it is.
    pub proximity: Proximity,
}

/// Finaliser of the splitmix64 generator; spreads combined hashes evenly.
fn mix(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Rendezvous score of a host for a key. Names and chunks are hashed once, because a rank needs the score of every
/// host for every chunk.
fn score(id: PeerId, key: u64) -> u64 {
    mix(id.0 ^ mix(key))
}

/// Returns the key of a chunk or manifest for rendezvous ranks.
fn key(id: &Digest) -> u64 {
    u64::from_le_bytes(id.0[..8].try_into().expect("a hash has 32 bytes"))
}

/// Hosts as this agent sees them; without duplicates, and without this agent itself.
#[derive(Clone, Debug)]
pub struct Topology {
    me: PeerId,
    members: Vec<Member>,
}

impl Topology {
    /// Creates a topology from the other hosts that copy the same weights.
    pub fn new(me: PeerId, mut members: Vec<Member>) -> Self {
        members.retain(|m| m.id != me);
        members.sort_by_key(|m| m.id);
        members.dedup_by_key(|m| m.id);
        Self { me, members }
    }

    /// Returns the hosts.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns the place of a host, or `None` if it is not in the list.
    pub fn proximity(&self, id: PeerId) -> Option<Proximity> {
        let i = self.members.binary_search_by_key(&id, |m| m.id).ok()?;
        Some(self.members[i].proximity)
    }

    fn local(&self) -> impl Iterator<Item = PeerId> + '_ {
        self.members
            .iter()
            .filter(|m| m.proximity.is_local())
            .map(|m| m.id)
    }

    /// Returns this host's rank for a chunk or manifest among the hosts of its region; 0 is the leader.
    pub fn rank(&self, id: &Digest) -> usize {
        let key = key(id);
        let mine = score(self.me, key);
        self.local().filter(|&p| score(p, key) < mine).count()
    }

    /// Returns hosts of the store's region by rank; empty in the store's region.
    pub fn sources(&self, id: &Digest, count: usize) -> Vec<PeerId> {
        let key = key(id);
        let store = self
            .members
            .iter()
            .filter(|m| m.proximity == Proximity::Store);
        let mut all: Vec<_> = store.map(|m| (score(m.id, key), m.id)).collect();
        all.sort_unstable();
        all.into_iter().take(count).map(|(_, id)| id).collect()
    }

    /// Returns the host from which this one expects content that every host needs first, such as the manifest: the
    /// parent in a tree of degree 4 over the ranks of the region.
    pub fn parent(&self, id: &Digest) -> Option<PeerId> {
        let key = key(id);
        let mut all: Vec<_> = self
            .local()
            .chain([self.me])
            .map(|p| (score(p, key), p))
            .collect();
        all.sort_unstable();
        let rank = all.iter().position(|&(_, p)| p == self.me)?;
        Some(all[rank.checked_sub(1)? / 4].1)
    }

    /// Returns the peers to exchange with, at most 8, passing over those in `avoid`.
    pub fn neighbours(&self, manifest: &Digest, avoid: &HashSet<PeerId>) -> Vec<PeerId> {
        let live = |m: &&Member| m.proximity.is_local() && !avoid.contains(&m.id);
        let region: Vec<_> = self.members.iter().filter(live).copied().collect();
        let zone: Vec<_> = region
            .iter()
            .filter(|m| m.proximity == Proximity::Zone)
            .copied()
            .collect();
        let mut out = Vec::new();
        for ring in 0..RINGS_MAX {
            let hosts = if ring < ZONE_RINGS { &zone } else { &region };
            if out.len() >= NEIGHBOURS_MAX || out.len() == region.len() {
                break;
            }
            let key = key(manifest).wrapping_add(ring);
            let mine = score(self.me, key);
            let mut order: Vec<_> = hosts
                .iter()
                .map(|m| (score(m.id, key).wrapping_sub(mine), m.id))
                .collect();
            order.sort_unstable();
            // Next and previous host of the ring; one that is taken already is replaced by the one after it.
            if let Some(&(_, p)) = order.iter().find(|(_, p)| !out.contains(p)) {
                out.push(p);
            }
            if let Some(&(_, p)) = order.iter().rev().find(|(_, p)| !out.contains(p)) {
                out.push(p);
            }
        }
        out
    }
}

/// Order in which leaders bring chunks into the region; the same for all hosts.
pub(super) fn seeding_order(chunks: &[Digest]) -> Vec<u32> {
    let mut order: Vec<u32> = (0..chunks.len() as u32).collect();
    order.sort_by_key(|&i| mix(key(&chunks[i as usize])));
    order
}
