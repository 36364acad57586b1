//! Conditions and outcome of a simulated run.

use sesamewing::base::{Millis, Rate, Size};

pub(crate) const CHUNK: Size = Size(24_576);
pub(crate) const CHUNKS: usize = 96;
pub(crate) const REGIONS: usize = 3;
/// Rate of a host's link in each direction: 88% of 7.3 Mbit/s.
pub(crate) const HOST: Rate = Rate(803_000);
/// Time in milliseconds after which the simulation ends.
pub(crate) const END: u64 = 40_000;

/// What a host knows when a newer version is named while it copies the older one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Choice {
    pub(crate) now: Millis,
    pub(crate) named: [Millis; 2],
    /// Number of chunks of the older version that this host holds.
    pub(crate) held: u32,
    /// Number of its chunks that this host or a neighbour is known to hold.
    pub(crate) known: u32,
}

/// How the agents copy and decide.
#[derive(Clone, Copy)]
pub(crate) struct Agents {
    /// Whether a host finishes the copy of the older version first.
    pub(crate) finishes: fn(Choice) -> bool,
    /// Whether a host keeps the chunks of a version whose copy it gave up, for others.
    pub(crate) keeps: bool,
    /// Time in milliseconds for which a host waits for a chunk that another region requests.
    pub(crate) chunk_wait: u64,
    /// Number of requests of a host in flight to the origin and to other regions.
    pub(crate) origin_requests: usize,
    /// Number of hosts of a region that lead all chunks.
    pub(crate) leaders: usize,
    /// Longest backoff after failed requests to the origin.
    pub(crate) backoff_max: Millis,
    /// Number of uploads of a host in progress, from which on further requests are rejected.
    pub(crate) uploads: usize,
    /// Whether uploads are sent in the order of their precedence instead of that of their requests.
    pub(crate) ordered: bool,
}

/// Conditions of a run.
#[derive(Clone, Copy)]
pub(crate) struct Setup {
    pub(crate) agent: Agents,
    pub(crate) hosts: usize,
    pub(crate) seed: u64,
    /// Times in milliseconds at which the versions are named.
    pub(crate) named: [u64; 2],
    /// Start and end, in milliseconds, of the time in which the origin does not respond.
    pub(crate) outage: (u64, u64),
}

/// Times at which the hosts held a version, and what the exchange cost.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    /// By version: when each host held all chunks, in milliseconds; unordered, with the region of the host.
    pub(crate) complete: [Vec<(u64, usize)>; 2],
    /// When the origin had sent the last chunk of the newer version of which no host held a copy.
    pub(crate) last: u64,
    /// Bytes from the origin, in copies.
    pub(crate) copies: f64,
    /// Negative responses of hosts to requests for chunks.
    pub(crate) missing: u32,
}

impl Outcome {
    /// Returns when the first copy of a version was complete in the last region to have one.
    pub(crate) fn first(&self, version: usize) -> u64 {
        let of = |region| {
            let times = self.complete[version].iter().filter(|c| c.1 == region);
            times.map(|c| c.0).min().unwrap_or(END)
        };
        (0..REGIONS).map(of).max().unwrap_or(END)
    }

    /// Returns when a share (in percent) of `hosts` held this version.
    pub(crate) fn reached(&self, version: usize, hosts: usize, percent: usize) -> u64 {
        let mut all: Vec<u64> = self.complete[version].iter().map(|c| c.0).collect();
        all.sort_unstable();
        let needed = (hosts * percent).div_ceil(100);
        all.get(needed - 1).copied().unwrap_or(END)
    }
}
