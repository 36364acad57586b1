//! Lease holder: decides when a process acquires, renews and releases a lease in the replicated state, and when it
//! expires the lease of a holder that stopped renewing.

use crate::{
    base::{Fence, Instance, Millis, Offset, ProcessName},
    kernel::{Expire, Lease, LeaseOp},
};

/// Time for which a lease is valid after each renewal.
pub const LEASE_TERM: Millis = Millis(6000);

/// Time to wait beyond the term before the lease of another holder is expired.
///
/// Covers 5% drift between the clocks of both processes over the term, and 200 ms of timer granularity.
pub const EXPIRY_MARGIN: Millis = Millis(500);

/// Next step of a process that wants to hold a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseStep {
    /// Call [`LeaseHolder::append_sent`], append the operation to the log, and pass the lease that results to
    /// [`LeaseHolder::observe`].
    Append(LeaseOp),
    /// This process holds the lease with this fencing token; [`LeaseHolder::command_fence`] must still be called before
    /// each command.
    Ready(Fence),
    /// Another process holds the lease; call [`LeaseHolder::observe`] again within this time.
    Wait(Millis),
}

/// Lease as last read from the replicated state.
#[derive(Clone, Debug)]
struct Seen {
    lease: Lease,
    /// Time at which this value was first read.
    at: Millis,
}

/// Lease that this process holds.
#[derive(Clone, Copy, Debug)]
struct Own {
    fence: Fence,
    renewed: Offset,
    /// End of the term, which is counted from the time just before the append was sent.
    until: Millis,
}

/// What one process knows of one lease.
#[derive(Clone, Debug)]
pub struct LeaseHolder {
    resource: String,
    holder: ProcessName,
    instance: Instance,
    seen: Option<Seen>,
    own: Option<Own>,
    /// Time at which the earliest append was sent whose effect is not known yet.
    unsettled: Option<Millis>,
}

impl LeaseHolder {
    /// Creates a holder for `resource` that has not read the lease yet.
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

    /// Returns the name of the leased resource.
    pub fn resource(&self) -> &str {
        &self.resource
    }

    /// Updates this view with the lease as it was read at `now` or earlier; `None` if nobody holds the lease.
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

    /// Records that an append is about to be sent; call immediately before sending it.
    pub fn append_sent(&mut self, now: Millis) {
        self.unsettled.get_or_insert(now);
    }

    /// Records that the effects of all appends sent so far are known; call after [`LeaseHolder::observe`].
    pub fn appends_settled(&mut self) {
        self.unsettled = None;
    }

    /// Returns the fencing token if a command may be sent at `now`, that is, if this process holds the lease and its
    /// term has not ended; call immediately before each command.
    pub fn command_fence(&self, now: Millis) -> Option<Fence> {
        self.own.filter(|o| now < o.until).map(|o| o.fence)
    }

    /// Returns the next step towards holding the lease.
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
            // Renews once a third of the term has passed, so that two thirds remain for the append to succeed.
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

    /// Returns the operation that releases the lease, or `None` if this process does not hold it.
    pub fn release(&self) -> Option<LeaseOp> {
        self.own.map(|o| LeaseOp::Release {
            resource: self.resource.clone(),
            fence: o.fence,
        })
    }
}

/// Rejects commands with outdated fencing tokens on behalf of endpoints that do not check tokens themselves.
#[derive(Clone, Copy, Debug, Default)]
pub struct FenceGate {
    /// Greatest token of an admitted command.
    greatest: Fence,
}

impl FenceGate {
    /// Returns whether a command with this token may be sent: `false` if one with a greater token was admitted before.
    pub fn admit(&mut self, fence: Fence) -> bool {
        if fence < self.greatest {
            return false;
        }
        self.greatest = fence;
        true
    }
}
