//! Neighbours of a host and leaders of chunks, computed by each agent from its own host list.

use crate::base::{rendezvous, Digest, HashSet, ProcessName};

/// Number of random rings over the hosts of the zone; further rings are over the hosts of the region. A host exchanges
/// chunks with its two neighbours in each of four rings, 8 peers in all. The union of random rings is connected and
/// gives every host the same degree, so that no uplink is over- or underused.
const ZONE_RINGS: u64 = 2;

/// Maximum number of rings; a small zone gives fewer neighbours, which further rings over the region make up for.
const RINGS_MAX: u64 = 8;

/// Maximum number of peers with which a host exchanges chunks.
const NEIGHBOURS_MAX: usize = 8;

/// Share of the hosts of a zone, in percent and rounded up, that are to complete their copies before the others. With 15
/// instead of 30, in the simulation of 60 hosts the first copies are complete up to 0.1 s later.
const FIRST_SHARE: usize = 30;

/// Number of hosts of the origin's region from which a leader of another region tries to fetch a chunk.
const CROSS_SOURCES: usize = 3;

/// Identifier of a host in the exchange: the hash of its process name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PeerId(pub u64);

impl From<&ProcessName> for PeerId {
    fn from(name: &ProcessName) -> Self {
        Self(rendezvous(b"weights", name.as_str().as_bytes()))
    }
}

/// Location of another host relative to this one; nearest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Proximity {
    /// In the same zone.
    Zone,
    /// In another zone of the same region.
    Region,
    /// In the origin's region, which is not the region of this host.
    Store,
    /// In a region that is neither this host's nor the origin's.
    Remote,
}

impl Proximity {
    /// Returns whether the host is in the same region.
    pub fn is_local(self) -> bool {
        matches!(self, Self::Zone | Self::Region)
    }
}

/// Host that takes part in the exchange of one version's chunks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// Identifier of the host.
    pub id: PeerId,
    /// Location of the host relative to this one.
    pub proximity: Proximity,
}

/// Finaliser of the splitmix64 generator; spreads combined hashes evenly.
fn mix(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Returns the rendezvous score of a host for a key. It combines hashes of the name and of the chunk that are computed
/// only once each, because ranks need the score of every host for every chunk.
fn score(id: PeerId, key: u64) -> u64 {
    mix(id.0 ^ mix(key))
}

/// Returns the rendezvous key of a chunk or manifest: the first 8 bytes of its digest.
fn key(id: &Digest) -> u64 {
    u64::from_le_bytes(id.0[..8].try_into().expect("a hash has 32 bytes"))
}

/// Hosts of a region that seed the chunks of a manifest into it.
struct Leaders {
    key: u64,
    /// Highest score of a leader.
    threshold: u64,
}

impl Leaders {
    /// Chooses `count` of the hosts, others for each manifest.
    fn new(hosts: impl Iterator<Item = PeerId>, manifest: &Digest, count: usize) -> Self {
        let key = Self::key(manifest);
        let mut scores: Vec<u64> = hosts.map(|p| score(p, key)).collect();
        scores.sort_unstable();
        let last = scores.get(count.saturating_sub(1)).copied();
        Self {
            key,
            threshold: last.unwrap_or(u64::MAX),
        }
    }

    fn key(manifest: &Digest) -> u64 {
        // The rings of neighbours use the keys before.
        key(manifest).wrapping_add(RINGS_MAX)
    }

    /// Returns whether a host is no leader.
    fn is_follower(&self, host: PeerId) -> bool {
        score(host, self.key) > self.threshold
    }
}

/// Other hosts that take part in the exchange, as this host's list has them; without duplicates and without this host.
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

    /// Returns the other hosts, sorted by identifier.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns the location of a host relative to this one, or `None` if the list does not contain it.
    pub fn proximity(&self, id: PeerId) -> Option<Proximity> {
        let i = self.members.binary_search_by_key(&id, |m| m.id).ok()?;
        Some(self.members[i].proximity)
    }

    /// Iterates over the other hosts of this host's region.
    fn local(&self) -> impl Iterator<Item = PeerId> + '_ {
        self.members
            .iter()
            .filter(|m| m.proximity.is_local())
            .map(|m| m.id)
    }

    /// Returns the number of other hosts in this host's region.
    pub fn local_count(&self) -> usize {
        self.local().count()
    }

    /// Returns this host's rendezvous rank for a chunk or manifest among the hosts of its region; the leader has rank
    /// 0.
    pub fn rank(&self, id: &Digest) -> usize {
        let key = key(id);
        let mine = score(self.me, key);
        self.local().filter(|&p| score(p, key) < mine).count()
    }

    /// Returns whether this host is among those of its zone that complete the copy of a manifest before the others. The
    /// leaders of the manifest come first, because they hold most chunks early.
    pub fn completes_first(&self, manifest: &Digest) -> bool {
        let key = Leaders::key(manifest);
        let mine = score(self.me, key);
        let zone = self.members.iter();
        let zone = zone.filter(|m| m.proximity == Proximity::Zone);
        let others: Vec<_> = zone.map(|m| score(m.id, key)).collect();
        let ahead = others.iter().filter(|s| **s < mine).count();
        ahead < ((others.len() + 1) * FIRST_SHARE).div_ceil(100)
    }

    /// Returns at most `count` hosts of the origin's region by their rank for a chunk or manifest; none if this host is
    /// in that region.
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

    /// Returns this host's rank for each chunk of a manifest among the hosts of its region. The leaders of the manifest,
    /// `count` hosts of the region, come before the others, so that they lead all chunks.
    pub fn ranks(&self, manifest: &Digest, chunks: &[Digest], count: usize) -> Vec<usize> {
        let leaders = Leaders::new(self.local().chain([self.me]), manifest, count);
        let others: Vec<_> = self.local().map(|p| (leaders.is_follower(p), p)).collect();
        let own = leaders.is_follower(self.me);
        let rank = |id: &Digest| {
            let key = key(id);
            let mine = (own, score(self.me, key));
            let ahead = |&&(other, p): &&(bool, PeerId)| (other, score(p, key)) < mine;
            others.iter().filter(ahead).count()
        };
        chunks.iter().map(rank).collect()
    }

    /// Returns at most `CROSS_SOURCES` hosts of the origin's region by their rank for a chunk of a manifest with `count`
    /// leaders; none if this host is in that region.
    pub fn chunk_sources(&self, manifest: &Digest, id: &Digest, count: usize) -> Vec<PeerId> {
        let key = key(id);
        let in_store = |m: &&Member| m.proximity == Proximity::Store;
        let store = self.members.iter().filter(in_store).map(|m| m.id);
        let leaders = Leaders::new(store.clone(), manifest, count);
        let mut all: Vec<_> = store
            .map(|p| (leaders.is_follower(p), score(p, key), p))
            .collect();
        all.sort_unstable();
        let first = all.into_iter().take(CROSS_SOURCES);
        first.map(|(_, _, id)| id).collect()
    }

    /// Returns the host from which this one fetches content that every host needs first, such as the manifest: its
    /// parent in a tree of degree 4 over the hosts of the region, ordered by rank. The host of rank 0 has none.
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

    /// Returns the peers with which this host exchanges chunks, at most 8 and none of `avoid`.
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
            // The next and the previous host of the ring; if one is a neighbour already, the host beyond it is used.
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

/// Returns the order in which leaders seed chunks into the region; it is the same on all hosts.
pub(super) fn seeding_order(chunks: &[Digest]) -> Vec<u32> {
    let mut order: Vec<u32> = (0..chunks.len() as u32).collect();
    order.sort_by_key(|&i| mix(key(&chunks[i as usize])));
    order
}
