//! Leases with fencing tokens.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::record::{Expire, LeaseOp};
use crate::base::{Fence, Instance, Millis, Offset, ProcessName};

/// Largest number of held leases.
pub const LEASES_MAX: usize = 16_384;

/// Longest resource name, in bytes.
const RESOURCE_MAX: usize = 128;

/// A held lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease {
    /// Name of the holder.
    pub holder: ProcessName,
    /// Run of the holder.
    pub instance: Instance,
    /// Token; greater than the token of every earlier lease of the resource.
    pub fence: Fence,
    /// Offset of the acquisition or the last renewal; not below `fence`.
    pub renewed: Offset,
    /// Time the holder may use the lease without a renewal.
    pub term: Millis,
}

/// All held leases.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Leases {
    /// Held leases by resource; at most [`LEASES_MAX`].
    held: BTreeMap<String, Lease>,
}

impl Leases {
    /// Returns the lease of a resource, or `None` if it is free.
    pub fn get(&self, resource: &str) -> Option<&Lease> {
        self.held.get(resource)
    }

    /// Iterates over all held leases.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &Lease)> {
        self.held.iter().map(|(r, l)| (r.as_str(), l))
    }

    /// Applies an operation at `offset`; returns whether it took effect.
    pub(super) fn apply(&mut self, offset: Offset, op: &LeaseOp) -> bool {
        match op {
            LeaseOp::Acquire {
                resource,
                holder,
                instance,
                term,
            } => {
                if self.held.contains_key(resource)
                    || self.held.len() >= LEASES_MAX
                    || resource.len() > RESOURCE_MAX
                {
                    return false;
                }
                let lease = Lease {
                    holder: holder.clone(),
                    instance: *instance,
                    fence: Fence(offset.0),
                    renewed: offset,
                    term: *term,
                };
                self.held.insert(resource.clone(), lease);
                true
            }
            LeaseOp::Renew { resource, fence } => match self.matching(resource, *fence) {
                Some(lease) => {
                    lease.renewed = offset;
                    true
                }
                None => false,
            },
            LeaseOp::Release { resource, fence } => {
                self.matching(resource, *fence).is_some() && self.held.remove(resource).is_some()
            }
            LeaseOp::Expire(e) => self.expire(e),
        }
    }

    fn matching(&mut self, resource: &str, fence: Fence) -> Option<&mut Lease> {
        self.held.get_mut(resource).filter(|l| l.fence == fence)
    }

    /// Ends a lease unless it was renewed after the renewal that the writer saw.
    fn expire(&mut self, e: &Expire) -> bool {
        let stale = self
            .matching(&e.resource, e.fence)
            .is_some_and(|l| l.renewed == e.seen);
        stale && self.held.remove(&e.resource).is_some()
    }
}
