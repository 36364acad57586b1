//! Directory of the entries that callers may connect to.

use std::net::SocketAddr;

use serde::Serialize;

use super::Membership;
use crate::{base::Millis, decide::residency::EntryScope};

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

/// What a caller asks the directory for. A part that it leaves out is empty.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DirectoryQuery<'a> {
    /// Host name to which the caller's requests go.
    pub host: &'a str,
    /// Region of the caller.
    pub region: &'a str,
    /// Availability zone of the caller.
    pub zone: &'a str,
}

impl<'a> DirectoryQuery<'a> {
    /// Parses the query of a URI; unknown parts are ignored.
    pub fn parse(text: &'a str) -> Self {
        let part = |name: &str| {
            let mut pairs = text.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(n, _)| *n == name).map_or("", |(_, v)| v)
        };
        Self {
            host: part("name"),
            region: part("region"),
            zone: part("zone"),
        }
    }
}

impl Directory {
    /// Returns the entries of a scope for a caller of a zone, valid for `ttl_max` at most; `None` if none is ready.
    pub fn for_caller(
        members: &Membership,
        zone: &str,
        scope: &EntryScope<'_>,
        ttl_max: Millis,
        now: Millis,
    ) -> Option<Self> {
        let addresses = members.addresses_within(zone, scope, ADDRESSES_MAX, now);
        if addresses.is_empty() {
            return None;
        }
        Some(Self {
            addresses,
            ttl_s: (TTL_MAX.min(ttl_max).0 / 1000).max(1),
        })
    }
}
