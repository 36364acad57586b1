//! What all requests of an entry share.

use std::net::SocketAddr;

use crate::{
    base::{Millis, Service},
    process::Context,
    settings::InForce,
    wire::{HostState, Role},
};

/// Pause that callers are told to make when no better time is known.
pub(super) const RETRY_PAUSE: Millis = Millis(1000);

/// What all requests of an entry share.
#[derive(Debug)]
pub(super) struct Shared {
    /// Process context.
    pub(super) ctx: Context,
}

impl Shared {
    /// Creates the shared state.
    pub(super) fn new(ctx: Context) -> Self {
        Self { ctx }
    }

    /// Returns the settings in force.
    pub(super) fn settings(&self) -> std::sync::Arc<InForce> {
        self.ctx.replica.settings()
    }

    /// Picks an agent of a service.
    pub(super) fn pick(&self, service: &Service, prefix: Option<u64>) -> Option<SocketAddr> {
        let hosts = self.ctx.replica.hosts();
        let agents: Vec<_> = hosts
            .hosts
            .iter()
            .filter(|h| h.role == Role::Agent && h.state == HostState::Live)
            .filter(|h| h.service.as_ref() == Some(service))
            .collect();
        let first = prefix.unwrap_or_else(|| fastrand::u64(..)) as usize;
        agents.get(first.checked_rem(agents.len())?).map(|h| h.peer)
    }

    /// Returns the callers' address of another live entry, own zone first.
    pub(super) fn alternate(&self) -> Option<String> {
        let hosts = self.ctx.replica.hosts();
        let own = &self.ctx.settings;
        let mut entries: Vec<_> = hosts
            .hosts
            .iter()
            .filter(|h| h.role == Role::Entry && h.state == HostState::Live && h.name != own.name)
            .collect();
        fastrand::shuffle(&mut entries);
        entries.sort_by_key(|h| (h.zone != own.zone, h.region != own.region));
        entries
            .iter()
            .find_map(|h| h.callers)
            .map(|a| a.to_string())
    }
}
