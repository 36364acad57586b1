//! Tokens of requests in flight that entries report to each other where the memory of endpoints is limited.

use serde::{Deserialize, Serialize};

use crate::decide::memory::Tokens;

/// Tokens in a unit of a report, so that the tokens of most requests fit in a byte.
const UNIT: u64 = 256;

/// Tokens that the sender of a datagram has in flight at one endpoint: at most 6 bytes in a datagram, usually 2.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointTokens {
    /// Position of the endpoint in [`Gossip::in_flight`](super::Gossip::in_flight).
    position: u16,
    /// Tokens in units, rounded up.
    units: u16,
}

impl EndpointTokens {
    /// Creates a report of the endpoint at a position in the list; `None` if the position is too large. More tokens than fit
    /// are reported as the most that do, 16.7 million.
    pub fn new(position: usize, tokens: Tokens) -> Option<Self> {
        Some(Self {
            position: u16::try_from(position).ok()?,
            units: u16::try_from(tokens.0.div_ceil(UNIT)).unwrap_or(u16::MAX),
        })
    }

    /// Returns the position of the endpoint in the list.
    pub fn position(self) -> usize {
        usize::from(self.position)
    }

    /// Returns the tokens.
    pub fn tokens(self) -> Tokens {
        Tokens(u64::from(self.units) * UNIT)
    }
}

/// Tokens in flight at the endpoints at which the sender of a datagram has most; the others' count as the mean of those
/// that are known.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerTokens(pub Vec<EndpointTokens>);

impl PeerTokens {
    /// Largest number of endpoints in a datagram. Ten take 1.9 KB/s at four datagrams a second to 15 entries.
    pub const MAX: usize = 10;
}
