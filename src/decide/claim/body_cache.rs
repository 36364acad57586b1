//! Cache of response bodies that are too large for the log.

use std::collections::VecDeque;

use bytes::Bytes;

use crate::base::{HashMap, RequestId};

/// Largest total size of the cached bodies, in bytes; the oldest are evicted first.
const BYTES_MAX: usize = 64 << 20;

/// Largest number of cached bodies.
const BODIES_MAX: usize = 4096;

/// Response bodies by request id, bounded in number and total size.
#[derive(Debug, Default)]
pub(super) struct BodyCache {
    bodies: HashMap<RequestId, Bytes>,
    /// Keys of `bodies`, oldest first.
    order: VecDeque<RequestId>,
    /// Total size of `bodies` in bytes; at most [`BYTES_MAX`].
    size: usize,
}

impl BodyCache {
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
