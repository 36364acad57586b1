//! Chunks that leaders may bring into the region.

use super::Bitmap;
use crate::base::{Millis, Rate, Size};

/// Window over the injection order, clocked by the chunks that become visible among the neighbours.
#[derive(Debug)]
pub(super) struct Window {
    order: Vec<u32>,
    /// Position of each chunk in `order`.
    places: Vec<usize>,
    seen: Bitmap,
    /// Time at which a chunk came into the window or may come, by chunk; restarted when the origin fails.
    since: Vec<Option<Millis>>,
    /// Every chunk before this position of the order was seen.
    head: usize,
    /// Chunks that were held before the first decision, for example from an older version.
    old: Option<Bitmap>,
    /// Chunks before `head` that are not in `old`.
    done: usize,
    size: usize,
    /// Smoothed time from a chunk's entry into the window until it is seen.
    delay: Millis,
}

/// A chunk in the window.
#[derive(Clone, Copy, Debug)]
pub(super) struct Open {
    pub(super) chunk: u32,
    since: Millis,
    /// Chunks later in the order that were seen.
    passed: usize,
    /// Whether every later chunk was seen.
    last: bool,
    /// Size of the window.
    size: usize,
    /// Delays after which a chunk counts as stalled: when others overtook it, and in general.
    stall: Millis,
    slow: Millis,
}

impl Open {
    /// Returns the time from which a rank may fetch the chunk. A chunk that twice the window overtook has a stalled
    /// leader; otherwise the origin may be slow for all, or the chunk may be on its way to this host.
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
        let mut places = vec![0; len];
        for (place, &c) in order.iter().enumerate() {
            places[c as usize] = place;
        }
        Self {
            order,
            places,
            seen: Bitmap::new(len as u32),
            since: vec![None; len],
            head: 0,
            old: None,
            done: 0,
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
        self.advance();
    }

    /// Notes that the host that was seen with the chunk left or does not deliver.
    pub(super) fn lose(&mut self, chunk: u32) {
        if !self.seen.remove(chunk) {
            return;
        }
        self.since[chunk as usize] = None;
        if let Some(old) = &mut self.old {
            old.remove(chunk);
        }
        if self.places[chunk as usize] < self.head {
            (self.head, self.done) = (0, 0);
            self.advance();
        }
    }

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

    /// Returns the chunks in the window. Chunks whose leader seems to have stalled do not count, so that a few dead
    /// leaders do not hold up the others.
    pub(super) fn open(&mut self, now: Millis, stall: Millis) -> impl Iterator<Item = Open> + '_ {
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

    /// Spreads the chunks that are not seen yet over the time that a link needs for them. All leaders of a region compute
    /// the same schedule, so that together they keep to the rate.
    pub(super) fn pace(&mut self, chunk: Size, rate: Rate, now: Millis) {
        let missing = self.order.iter().filter(|&&c| !self.seen.contains(c));
        for (place, &c) in missing.enumerate() {
            let delay = (place as u64).saturating_mul(chunk.0 * 1000) / rate.0.max(1);
            self.since[c as usize] = Some(now + Millis(delay));
        }
    }

    /// Returns the chunks of which further copies may come from the origin: the latest ones while first copies are
    /// under way, which need most of the origin's link, and any afterwards.
    pub(super) fn extra(&self) -> &[u32] {
        if self.head == self.order.len() {
            return &self.order;
        }
        &self.order[self.head.saturating_sub(self.size / 8)..self.head]
    }

    /// Restarts all delays, because the origin fails for every rank alike.
    pub(super) fn restart(&mut self, now: Millis) {
        for since in self.since.iter_mut().flatten() {
            *since = now.max(*since);
        }
    }
}
