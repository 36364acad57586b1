//! Chunks that leaders may bring into the region.

use super::Bitmap;
use crate::base::Millis;

/// Window over the injection order, clocked by the chunks that become visible among the neighbours.
#[derive(Debug)]
pub(super) struct Window {
    order: Vec<u32>,
    seen: Bitmap,
    /// Time at which a chunk came into the window, by chunk; restarted when the origin fails.
    since: Vec<Option<Millis>>,
    /// Every chunk before this position of the order was seen.
    head: usize,
    size: usize,
    /// Smoothed time from a chunk's entry into the window until it is seen.
    delay: Millis,
}

impl Window {
    pub(super) fn new(order: Vec<u32>, size: usize) -> Self {
        let len = order.len();
        Self {
            order,
            seen: Bitmap::new(len as u32),
            since: vec![None; len],
            head: 0,
            size,
            delay: Millis::ZERO,
        }
    }

    /// Notes that some host of the region holds the chunk.
    pub(super) fn see(&mut self, chunk: u32, now: Millis) {
        if !self.seen.insert(chunk) {
            return;
        }
        if let Some(since) = self.since[chunk as usize] {
            self.delay = Millis((self.delay.0 * 7 + (now - since).0) / 8);
        }
        while self
            .order
            .get(self.head)
            .is_some_and(|&c| self.seen.contains(c))
        {
            self.head += 1;
        }
    }

    /// Returns the chunks in the window with the time since which they are in it.
    pub(super) fn open(&mut self, now: Millis) -> impl Iterator<Item = (u32, Millis)> + '_ {
        let (seen, since) = (&self.seen, &mut self.since);
        self.order[self.head..]
            .iter()
            .filter(|&&c| !seen.contains(c))
            .take(self.size)
            .map(move |&c| (c, *since[c as usize].get_or_insert(now)))
    }

    /// Returns the delay after which a chunk counts as stalled: a slow origin is not a stalled leader.
    pub(super) fn stall(&self, min: Millis) -> Millis {
        min.max(self.delay.times(4))
    }

    /// Restarts all delays, because the origin fails for every rank alike.
    pub(super) fn restart(&mut self, now: Millis) {
        for since in self.since.iter_mut().flatten() {
            *since = now;
        }
    }
}
