//! Routing: which agent runs a request.
//!
//! A [`RouteTable`] holds the agents of one service that accept requests. It is rebuilt when membership or settings
//! change, and read without locks; requests in flight, reported load and breaker of each agent are in its
//! [`AgentView`], which all tables share.
//!
//! Own zone first, then own region, then other regions: a farther agent is used only while no nearer one has room.
//! Among the agents of the nearest distance with room, the policy of the service chooses.

mod breaker;
mod policy;
mod table;

pub use breaker::{Breaker, FAILURES_MAX, OPEN_MAX, OPEN_MIN};
pub use policy::{chooser, Chooser, PolicySpec, POLICIES};
pub use table::{AgentView, InFlightGuard, RouteQuery, RouteTable, Target};

/// Largest length of a prompt's prefix, in bytes.
pub const PREFIX_BYTES: usize = 256;

/// Size of the blocks in which endpoints cache prefixes, in bytes.
pub const PREFIX_BLOCK: usize = 64;

/// Returns the hash of a prompt's prefix: the first 8 bytes, little-endian, of the BLAKE3 hash of its first whole
/// blocks, up to [`PREFIX_BYTES`]; of a prompt shorter than a block all bytes are hashed.
///
/// Endpoints that report cached prefixes use the same hash; for others, prefixes are assigned by rendezvous hash alone.
pub fn prefix_hash(prompt: &[u8]) -> u64 {
    let end = match prompt.len().min(PREFIX_BYTES) {
        short if short < PREFIX_BLOCK => short,
        long => long - long % PREFIX_BLOCK,
    };
    let hash = blake3::hash(&prompt[..end]);
    u64::from_le_bytes(
        hash.as_bytes()[..8]
            .try_into()
            .expect("a BLAKE3 hash has 32 bytes"),
    )
}
