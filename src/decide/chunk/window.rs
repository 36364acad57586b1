//! Window over the seeding order: the chunks that leaders may fetch into the region at present.

use super::Bitmap;
use crate::base::{Millis, Rate, Size};

/// Sliding window over the seeding order, which advances as neighbours report chunks.
#[derive(Debug)]
pub(super) struct Window {
    order: Vec<u32>,
    /// Position of each chunk in `order`.
    positions: Vec<usize>,
    /// Chunks that this host or a neighbour is known to hold.
    seen: Bitmap,
    /// Time at which each chunk entered the window or, with a rate limit, may be seeded; restarted when the origin
    /// fails.
    since: Vec<Option<Millis>>,
    /// Position in `order` before which every chunk was seen.
    head: usize,
    /// Chunks that were seen before the first decision, for example because an older version contains them.
    old: Option<Bitmap>,
    /// Number of chunks before `head` that are not in `old`.
    done: usize,
    /// Number of chunks that may be in the window, without those whose leader seems to have stalled.
    size: usize,
    /// Smoothed time from a chunk's entry into the window until it is seen.
    delay: Millis,
}

/// Chunk in the window, which nobody is known to hold yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct Open {
    pub(super) chunk: u32,
    since: Millis,
    /// Number of chunks later in the seeding order that were seen.
    passed: usize,
    /// Whether every later chunk of the seeding order was seen.
    last: bool,
    /// Size of the window.
    size: usize,
    /// Delay of each further rank if chunks later in the order were seen before this one.
    stall: Millis,
    /// Delay of each further rank otherwise.
    slow: Millis,
}

impl Open {
    /// Returns the time from which the host of this rank may seed the chunk. If, for each lower rank, twice the
    /// window's size of later chunks was seen, the hosts of these ranks have stalled; otherwise the origin may be slow
    /// for all hosts, or reports of the chunk may still be on their way to this host.
    pub(super) fn start(&self, rank: usize) -> Millis {
        let stall = if self.passed >= 2 * self.size * rank {
            self.stall
        } else if self.last {
            self.stall.times(2)
        } else {
            self.slow
        };
        self.since + stall.times(rank as u64)
    }
}

impl Window {
    pub(super) fn new(order: Vec<u32>, size: usize) -> Self {
        let len = order.len();
        let mut positions = vec![0; len];
        for (position, &c) in order.iter().enumerate() {
            positions[c as usize] = position;
        }
        Self {
            order,
            positions,
            seen: Bitmap::new(len as u32),
            since: vec![None; len],
            head: 0,
            old: None,
            done: 0,
            size,
            delay: Millis::ZERO,
        }
    }

    /// Returns the number of chunks that this host or a neighbour is known to hold.
    pub(super) fn seen(&self) -> u32 {
        self.seen.count()
    }

    /// Records that this host or a neighbour holds the chunk.
    pub(super) fn mark_seen(&mut self, chunk: u32, now: Millis) {
        if !self.seen.insert(chunk) {
            return;
        }
        if let Some(since) = self.since[chunk as usize] {
            self.delay = Millis((self.delay.0 * 7 + (now - since).0) / 8);
        }
        self.advance();
    }

    /// Records that no neighbour is known to hold the chunk any more, because those that did left or do not deliver it.
    pub(super) fn mark_lost(&mut self, chunk: u32) {
        if !self.seen.remove(chunk) {
            return;
        }
        self.since[chunk as usize] = None;
        if let Some(old) = &mut self.old {
            old.remove(chunk);
        }
        if self.positions[chunk as usize] < self.head {
            (self.head, self.done) = (0, 0);
            self.advance();
        }
    }

    /// Moves `head` over the chunks that were seen.
    fn advance(&mut self) {
        while let Some(&c) = self
            .order
            .get(self.head)
            .filter(|c| self.seen.contains(**c))
        {
            self.head += 1;
            self.done += usize::from(self.old.as_ref().is_some_and(|old| !old.contains(c)));
        }
    }

    /// Returns the chunks in the window. Chunks whose leader seems to have stalled do not count towards its size, so
    /// that a few failed leaders do not delay the others.
    pub(super) fn open_chunks(
        &mut self,
        now: Millis,
        stall: Millis,
    ) -> impl Iterator<Item = Open> + '_ {
        let (seen, since, size) = (&self.seen, &mut self.since, self.size);
        let old = self.old.get_or_insert_with(|| seen.clone());
        let total = (seen.count() - old.count()) as usize;
        let mut unseen = self.order.len() - seen.count() as usize;
        let (mut fresh, mut before) = (0, self.done);
        let slow = self.delay.times(4).clamp(stall, stall.times(4));
        self.order[self.head..]
            .iter()
            .map_while(move |&chunk| {
                if seen.contains(chunk) {
                    before += usize::from(!old.contains(chunk));
                    return Some(None);
                }
                unseen -= 1;
                let start = *since[chunk as usize].get_or_insert(now);
                if start + Millis(stall.0 / 2) > now {
                    fresh += 1;
                }
                let open = Open {
                    chunk,
                    since: start,
                    passed: total - before,
                    last: unseen == 0,
                    size,
                    stall,
                    slow,
                };
                (fresh <= size).then_some(Some(open))
            })
            .flatten()
            .take(size * 4)
    }

    /// Spreads the seeding of chunks that were not seen yet over the time that a link of this rate takes to transfer
    /// them. All leaders of a region compute the same schedule, so that together they keep to the rate.
    pub(super) fn pace(&mut self, chunk: Size, rate: Rate, now: Millis) {
        let missing = self.order.iter().filter(|&&c| !self.seen.contains(c));
        for (position, &c) in missing.enumerate() {
            let delay = (position as u64).saturating_mul(chunk.0 * 1000) / rate.0.max(1);
            self.since[c as usize] = Some(now + Millis(delay));
        }
    }

    /// Returns the chunks of which further copies may be fetched from the origin: only the last ones before `head`
    /// while first copies are still being fetched, because these need most of the origin's link, and all chunks
    /// afterwards.
    pub(super) fn extra_chunks(&self) -> &[u32] {
        if self.head == self.order.len() {
            return &self.order;
        }
        &self.order[self.head.saturating_sub(self.size / 8)..self.head]
    }

    /// Restarts the delays of all chunks, because a failed origin fails for the hosts of every rank.
    pub(super) fn restart(&mut self, now: Millis) {
        for since in self.since.iter_mut().flatten() {
            *since = now.max(*since);
        }
    }
}
