//! Answers callers that ask which entries to connect to.

use std::net::SocketAddr;

use serde::Serialize;

use super::Members;
use crate::base::Millis;

/// Addresses in one answer at most.
const ADDRESSES_MAX: usize = 64;

/// Time for which callers keep an answer; a lost entry is avoided after it.
const TTL: Millis = Millis(1000);

/// Answer of the directory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Directory {
    /// Addresses of entries.
    pub addresses: Vec<SocketAddr>,
    /// Whole seconds for which the answer may be kept.
    pub ttl_s: u64,
}

impl Directory {
    /// Answers a caller of a zone; `None` if no entry is ready.
    pub fn for_caller(members: &Members, zone: &str, longest: Millis, now: Millis) -> Option<Self> {
        let addresses = members.addresses(zone, ADDRESSES_MAX, now);
        if addresses.is_empty() {
            return None;
        }
        Some(Self {
            addresses,
            ttl_s: (TTL.min(longest).0 / 1000).max(1),
        })
    }
}
