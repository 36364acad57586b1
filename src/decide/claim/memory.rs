//! Bodies of outcomes that are too large for the log.

use std::collections::VecDeque;

use bytes::Bytes;

use crate::base::{HashMap, RequestId};

/// Memory for bodies, in bytes; older ones are dropped first.
const BYTES_MAX: usize = 64 << 20;

/// Bodies kept at once.
const BODIES_MAX: usize = 4096;

/// Bounded store of bodies.
#[derive(Debug, Default)]
pub(super) struct Memory {
    bodies: HashMap<RequestId, Bytes>,
    /// Oldest first; same members as `bodies`.
    order: VecDeque<RequestId>,
    /// Sum of the sizes of `bodies`; at most [`BYTES_MAX`].
    size: usize,
}

impl Memory {
    pub(super) fn get(&self, id: &RequestId) -> Option<Bytes> {
        self.bodies.get(id).cloned()
    }

    pub(super) fn insert(&mut self, id: RequestId, body: Bytes) {
        if body.len() > BYTES_MAX || self.bodies.contains_key(&id) {
            return;
        }
        self.size += body.len();
        self.bodies.insert(id, body);
        self.order.push_back(id);
        while self.size > BYTES_MAX || self.order.len() > BODIES_MAX {
            let Some(old) = self.order.pop_front() else {
                return;
            };
            self.size -= self.bodies.remove(&old).map_or(0, |b| b.len());
        }
    }
}
