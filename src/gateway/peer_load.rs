//! Requests in flight at an endpoint as other entries report them.

use std::net::SocketAddr;

use super::load_view::LoadView;
use crate::{
    base::Millis,
    decide::memory::{Held, Tokens},
};

/// Age at which the requests in flight that another entry reported are no longer counted.
pub(super) const PEER_LOAD_LIFETIME: Millis = Millis(1200);

/// Requests in flight at an endpoint as another entry reported them.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerLoad {
    /// Address of the entry.
    pub(super) from: SocketAddr,
    pub(super) requests: u16,
    /// Their tokens; `None` if it did not tell.
    pub(super) tokens: Option<Tokens>,
    /// Time of the report.
    pub(super) at: Millis,
}

impl PeerLoad {
    /// Returns whether the report still counts.
    pub(super) fn is_fresh(&self, now: Millis) -> bool {
        now < self.at + PEER_LOAD_LIFETIME
    }
}

impl LoadView {
    /// Returns the requests whose tokens are known: those of this entry, and those of entries that told them.
    pub(super) fn known_tokens(&self, now: Millis) -> Held {
        let fresh = self.peer_load.iter().filter(|t| t.is_fresh(now));
        let told = fresh.filter_map(|t| {
            let requests = u32::from(t.requests);
            t.tokens.map(|tokens| Held { requests, tokens })
        });
        told.fold(self.held, Held::plus)
    }
}
