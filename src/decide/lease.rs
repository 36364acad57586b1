//! Lease holder: acquires, renews and releases a lease, and expires the leases of holders that stopped renewing.

use crate::{
    base::{Fence, Instance, Millis, Offset, ProcessName},
    kernel::{Expire, Lease, LeaseOp},
};

/// Term of a lease.
pub const LEASE_TERM: Millis = Millis(6000);

/// Time beyond the term after which the lease of another holder is expired.
///
/// Covers a drift of 5% between the two clocks over the term and 200 ms for timer granularity.
pub const EXPIRY_MARGIN: Millis = Millis(500);

/// What the holder does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseStep {
    /// Call [`LeaseHolder::append_sent`], append the operation, and observe its effect.
    Append(LeaseOp),
    /// The lease is held; commands may be sent after [`LeaseHolder::command_fence`].
    Ready(Fence),
    /// Another process holds the lease; observe again within this time.
    Wait(Millis),
}

/// A lease as it was last read.
#[derive(Clone, Debug)]
struct Seen {
    lease: Lease,
    /// When its last renewal was read.
    at: Millis,
}

/// An own lease.
#[derive(Clone, Copy, Debug)]
struct Own {
    fence: Fence,
    renewed: Offset,
    /// End of the term, counted from before the append was sent.
    until: Millis,
}

/// One process's view of one lease.
#[derive(Clone, Debug)]
pub struct LeaseHolder {
    resource: String,
    holder: ProcessName,
    instance: Instance,
    seen: Option<Seen>,
    own: Option<Own>,
    /// When the earliest append was sent whose effect is not known yet.
    unsettled: Option<Millis>,
}

impl LeaseHolder {
    /// Creates a holder that has not observed anything yet.
    pub fn new(resource: String, holder: ProcessName, instance: Instance) -> Self {
        Self {
            resource,
            holder,
            instance,
            seen: None,
            own: None,
            unsettled: None,
        }
    }

    /// Returns what is leased.
    pub fn resource(&self) -> &str {
        &self.resource
    }

    /// Takes note of the lease as it was read at `now` or earlier.
    pub fn observe(&mut self, now: Millis, lease: Option<&Lease>) {
        let Some(lease) = lease else {
            (self.seen, self.own) = (None, None);
            return;
        };
        let fresh = self.seen.as_ref().is_none_or(|s| s.lease != *lease);
        if fresh {
            let lease = lease.clone();
            self.seen = Some(Seen { lease, at: now });
        }
        if lease.instance != self.instance || lease.holder != self.holder {
            self.own = None;
            return;
        }
        let before = self.own.filter(|o| o.fence == lease.fence);
        let until = before.map_or(Millis::ZERO, |o| o.until);
        let renewed = before.is_none_or(|o| o.renewed != lease.renewed);
        // A late append extends the term only from the time at which the earliest possible one was sent.
        let extended = self.unsettled.filter(|_| renewed).map(|t| t + lease.term);
        self.own = Some(Own {
            fence: lease.fence,
            renewed: lease.renewed,
            until: extended.map_or(until, |t| until.max(t)),
        });
    }

    /// Takes note that an append is about to be sent.
    pub fn append_sent(&mut self, now: Millis) {
        self.unsettled.get_or_insert(now);
    }

    /// Takes note that the effect of all appends is known; call after [`LeaseHolder::observe`].
    pub fn appends_settled(&mut self) {
        self.unsettled = None;
    }

    /// Returns the token if a command may be sent at `now`; call immediately before each command.
    pub fn command_fence(&self, now: Millis) -> Option<Fence> {
        self.own.filter(|o| now < o.until).map(|o| o.fence)
    }

    /// Returns what to do next to hold the lease.
    pub fn next(&self, now: Millis) -> LeaseStep {
        let resource = self.resource.clone();
        let Some(seen) = &self.seen else {
            return LeaseStep::Append(LeaseOp::Acquire {
                resource,
                holder: self.holder.clone(),
                instance: self.instance,
                term: LEASE_TERM,
            });
        };
        if let Some(own) = self.own {
            // Two thirds of the term remain for the append to succeed.
            return if now + Millis(LEASE_TERM.0 * 2 / 3) < own.until {
                LeaseStep::Ready(own.fence)
            } else {
                LeaseStep::Append(LeaseOp::Renew {
                    resource,
                    fence: own.fence,
                })
            };
        }
        let end = seen.at + seen.lease.term + EXPIRY_MARGIN;
        if now < end {
            return LeaseStep::Wait(end - now);
        }
        LeaseStep::Append(LeaseOp::Expire(Expire {
            resource,
            fence: seen.lease.fence,
            seen: seen.lease.renewed,
        }))
    }

    /// Returns the operation that gives the lease back, if it is held.
    pub fn release(&self) -> Option<LeaseOp> {
        self.own.map(|o| LeaseOp::Release {
            resource: self.resource.clone(),
            fence: o.fence,
        })
    }
}

/// Greatest fencing token that was used, for endpoints that check none themselves.
#[derive(Clone, Copy, Debug, Default)]
pub struct FenceGate {
    greatest: Fence,
}

impl FenceGate {
    /// Admits a command; returns `false` if a command with a greater token was admitted before.
    pub fn admit(&mut self, fence: Fence) -> bool {
        if fence < self.greatest {
            return false;
        }
        self.greatest = fence;
        true
    }
}
