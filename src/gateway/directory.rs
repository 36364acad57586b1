//! Directory of the entries that callers may connect to.

use std::net::SocketAddr;

use serde::Serialize;

use super::Membership;
use crate::base::Millis;

/// Largest number of addresses in one response.
const ADDRESSES_MAX: usize = 64;

/// Time for which callers may cache a response; they use a lost entry's address for at most this time.
const TTL_MAX: Millis = Millis(1000);

/// Response of the directory, written as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Directory {
    /// Addresses of ready entries, for callers' requests.
    pub addresses: Vec<SocketAddr>,
    /// Time for which the response may be cached, in whole seconds; at least 1.
    pub ttl_s: u64,
}

impl Directory {
    /// Returns the entries for a caller of a zone, valid for `ttl_max` at most; `None` if no entry is ready.
    pub fn for_caller(
        members: &Membership,
        zone: &str,
        ttl_max: Millis,
        now: Millis,
    ) -> Option<Self> {
        let addresses = members.addresses(zone, ADDRESSES_MAX, now);
        if addresses.is_empty() {
            return None;
        }
        Some(Self {
            addresses,
            ttl_s: (TTL_MAX.min(ttl_max).0 / 1000).max(1),
        })
    }
}
