//! Entries that the directory names to callers.

use std::net::SocketAddr;

use super::{Heartbeat, Member, Membership};
use crate::{base::Millis, decide::residency::EntryScope};

/// Ready entries of a zone, or of a region, from which on its callers get no entries of others.
const NEAR_MIN: usize = 2;

/// Age from which a heartbeat no longer shows that an entry is alive, although it was read lately: it lay in the socket
/// while this process was held up. Callers must not be sent to an entry that ended more than 7 s ago, and relays take up to
/// 2 s.
const HEARD_MAX: Millis = Millis(4000);

/// Returns the addresses of the entries that are near; `None` if they are too few.
fn enough(all: &[&Heartbeat], near: impl Fn(&Heartbeat) -> bool) -> Option<Vec<SocketAddr>> {
    let near = all.iter().filter(|h| near(h)).map(|h| h.callers);
    Some(near.collect::<Vec<_>>()).filter(|near| near.len() >= NEAR_MIN)
}

impl Membership {
    /// Returns up to `max` addresses for a caller of `zone`; see [`Self::addresses_within`].
    pub fn addresses(&self, zone: &str, max: usize, now: Millis) -> Vec<SocketAddr> {
        self.addresses_within(zone, &EntryScope::default(), max, now)
    }

    /// Returns up to `max` addresses for a caller of `zone`: entries of the zone if at least `NEAR_MIN` are ready, else
    /// those of the caller's region if the scope prefers it and has as many, else all of the scope; in random order.
    pub fn addresses_within(
        &self,
        zone: &str,
        scope: &EntryScope<'_>,
        max: usize,
        now: Millis,
    ) -> Vec<SocketAddr> {
        let named = self.others.values().filter(|m| m.is_named(now));
        let named = named.map(|m| &m.heartbeat).chain([&self.me]);
        let all: Vec<_> = named
            .filter(|h| h.status.ready && scope.admits(&h.zone))
            .collect();
        let mut out = enough(&all, |h| h.zone.as_str() == zone)
            .or_else(|| enough(&all, |h| scope.prefers(&h.zone)))
            .unwrap_or_else(|| all.iter().map(|h| h.callers).collect());
        fastrand::shuffle(&mut out);
        out.truncate(max);
        out
    }
}

impl Member {
    /// Returns whether callers may be told of the entry. Its announcement does not suffice: the store keeps that after the
    /// entry's end.
    fn is_named(&self, now: Millis) -> bool {
        self.sends_heartbeats && self.is_live(now) && now < self.heard + HEARD_MAX
    }
}
