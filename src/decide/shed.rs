//! Memory and connections that a process has for callers, and who is rejected or closed when they are used up.
//!
//! A caller that holds memory without progress is shed first, then the one that holds most. A complete request that is
//! being served is never shed.

use std::cmp::Reverse;

use crate::base::{HashMap, Millis};

/// Memory of a connection beside what its caller sends, in bytes: its task, and the first buffer of the HTTP library. An
/// idle connection of an entry took 18 KiB, measured with 1,000 of them.
pub const CONNECTION: usize = 20 << 10;

/// Time without progress after which a caller that sends counts as stalled; longer than a lost packet delays one.
const STALL: Millis = Millis(1000);

/// Time without progress after which a caller that reads counts as stalled. Longer than [`STALL`], since its request
/// has run.
const READ_STALL: Millis = Millis(5000);

/// Time without progress after which a caller that reads is shed for a response that needs the memory. Endpoints cut off
/// responses that are not read for a few seconds.
const RESPONSE_STALL: Millis = Millis(1000);

/// Bytes that count as progress: a caller that sends or reads them one by one makes none.
const PROGRESS: usize = 4 << 10;

/// Size up to which a caller may use all memory, in bytes; a larger one leaves a quarter to those below it.
const SMALL: usize = 64 << 10;

/// What a process has for its callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Memory for all that is held for callers, in bytes.
    pub bytes: usize,
    /// Part of it that responses may take, in bytes. Responses within their equal share of it may exceed `bytes` by as
    /// much.
    pub responses: usize,
    /// Connections of callers, without those that are closing.
    pub connections: usize,
    /// Connections that are closing.
    pub closing: usize,
}

impl Capacity {
    /// Returns the capacity of a process on a host with so many bytes of memory and descriptors.
    ///
    /// A quarter of the memory, and a tenth for responses, because buffers that grow and fragments need as much again.
    /// Half of the descriptors, and an eighth for connections that are closing; the rest is for endpoints, other
    /// processes and the store.
    pub fn of_host(memory: usize, descriptors: usize) -> Self {
        Self {
            bytes: memory / 4,
            responses: memory / 10,
            connections: (descriptors / 2).max(1),
            closing: (descriptors / 8).max(1),
        }
    }
}

/// Id of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct HolderId(u64);

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Its last request is answered.
    Idle,
    /// A request arrives, or is still awaited for the first time.
    Arriving,
    /// A complete request is served.
    Serving,
    /// A response is sent.
    Sending,
    /// It was answered for the last time, or shed, and ends soon.
    Closing,
}

/// What a connection holds, in bytes, beside [`CONNECTION`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sizes {
    /// Head of its request, and the task that serves it.
    pub head: usize,
    /// Body of its request.
    pub body: usize,
    /// Part of its response that its caller has not read.
    pub unsent: usize,
}

impl Sizes {
    fn sum(self) -> usize {
        CONNECTION + self.head + self.body + self.unsent
    }
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    phase: Phase,
    sizes: Sizes,
    /// Time of the last progress.
    since: Millis,
    /// Bytes since then.
    bytes: usize,
}

/// Order in which connections are shed; the largest one first. The number is the time without progress in whole seconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    /// Not stalled: the one that holds most.
    Active(usize),
    /// Idle: nothing is lost.
    Idle(u64),
    /// Stalled: the longest one, then the one that holds most.
    Stalled(u64, usize),
}

impl Holder {
    fn rank(&self, now: Millis) -> Option<Rank> {
        let size = self.sizes.sum();
        let time = now - self.since;
        let seconds = time.0 / 1000;
        match self.phase {
            Phase::Arriving if time >= STALL => Some(Rank::Stalled(seconds, size)),
            Phase::Arriving => Some(Rank::Active(size)),
            Phase::Idle if time >= STALL => Some(Rank::Idle(seconds)),
            Phase::Sending if self.sizes.unsent > 0 && time >= READ_STALL => {
                Some(Rank::Stalled(seconds, size))
            }
            _ => None,
        }
    }

    /// Returns the memory that counts; a closing connection holds nothing more.
    fn size(&self) -> usize {
        if self.phase == Phase::Closing {
            return 0;
        }
        self.sizes.sum()
    }
}

/// There is no connection for another caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("all connections have requests in progress")]
pub struct Full;

/// There is no memory for more of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no memory for more of the response")]
pub struct NoMemory;

/// How a connection ends that the budget no longer holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// Its request is rejected if its body is read; else it ends at once.
    Shed,
    /// It ends at once.
    End,
}

/// What is held at present.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Memory in bytes.
    pub bytes: usize,
    /// Connections, with those that are closing.
    pub connections: usize,
}

/// Memory and connections of callers.
#[derive(Debug)]
pub struct Budget {
    capacity: Capacity,
    holders: HashMap<HolderId, Holder>,
    next: u64,
    /// Sum of all connections' sizes and of the buffered responses.
    used: usize,
    /// Sum of the buffered responses and of the parts that callers have not read.
    responses: usize,
    /// Number of responses in that sum.
    response_count: usize,
    closing: usize,
    /// Connections that must end, and were not taken yet.
    orders: Vec<(HolderId, Order)>,
}

impl Budget {
    /// Creates a budget of which nothing is used.
    pub fn new(capacity: Capacity) -> Self {
        Self {
            capacity,
            holders: HashMap::default(),
            next: 0,
            used: 0,
            responses: 0,
            response_count: 0,
            closing: 0,
            orders: Vec::new(),
        }
    }

    /// Returns what is held.
    pub fn usage(&self) -> Usage {
        Usage {
            bytes: self.used,
            connections: self.holders.len(),
        }
    }

    /// Returns whether no more connections are open than may be; ends the surplus of those that are closing.
    pub fn make_room(&mut self) -> bool {
        self.end_closing();
        self.holders.len() <= self.capacity.connections + self.capacity.closing
    }

    /// Accepts a connection; if all are in use, one is shed for it.
    ///
    /// # Errors
    ///
    /// Returns an error if none can be shed.
    pub fn admit(&mut self, now: Millis) -> Result<HolderId, Full> {
        let full = self.holders.len() - self.closing >= self.capacity.connections;
        if full && !self.shed_first(now) {
            return Err(Full);
        }
        let id = HolderId(self.next);
        self.next += 1;
        let holder = Holder {
            phase: Phase::Arriving,
            sizes: Sizes::default(),
            since: now,
            bytes: 0,
        };
        self.used += holder.size();
        self.holders.insert(id, holder);
        self.shed_above(self.capacity.bytes, now);
        self.end_closing();
        Ok(id)
    }

    /// Takes the connections that must end since the last call.
    pub fn take_orders(&mut self) -> Vec<(HolderId, Order)> {
        std::mem::take(&mut self.orders)
    }

    /// Sets what a connection does, which counts as progress.
    pub fn set_phase(&mut self, id: HolderId, phase: Phase, now: Millis) {
        self.update(id, |h| {
            if h.phase != Phase::Closing {
                h.phase = phase;
                (h.since, h.bytes) = (now, 0);
            }
        });
    }

    /// Counts bytes that a connection has read or written.
    pub fn progress(&mut self, id: HolderId, bytes: usize, now: Millis) {
        self.update(id, |h| {
            h.bytes += bytes;
            if h.bytes >= PROGRESS {
                (h.since, h.bytes) = (now, 0);
            }
        });
    }

    /// Returns what a connection holds.
    pub fn sizes(&self, id: HolderId) -> Sizes {
        self.holders.get(&id).map(|h| h.sizes).unwrap_or_default()
    }

    /// Sets what a connection holds. Connections are shed if the memory is used up, which may include itself.
    pub fn resize(&mut self, id: HolderId, sizes: Sizes, now: Millis) {
        let Some(old) = self.holders.get(&id).copied() else {
            return;
        };
        self.update(id, |h| {
            if old.sizes.unsent == 0 && sizes.unsent > 0 {
                (h.since, h.bytes) = (now, 0);
            }
            h.sizes = sizes;
        });
        if sizes.sum() <= old.sizes.sum() || old.phase == Phase::Closing {
            return;
        }
        let limit = if sizes.sum() > CONNECTION + SMALL {
            self.capacity.bytes / 4 * 3
        } else {
            self.capacity.bytes
        };
        self.shed_above(limit, now);
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, id: HolderId) {
        // Counted as nothing from here on.
        self.update(id, |h| h.sizes.unsent = 0);
        if let Some(holder) = self.holders.remove(&id) {
            self.used -= holder.size();
            self.closing -= usize::from(holder.phase == Phase::Closing);
        }
    }

    /// Begins a response that is buffered and holds nothing yet.
    pub fn begin_response(&mut self) {
        self.response_count += 1;
    }

    /// Ends a buffered response of a size.
    pub fn end_response(&mut self, size: usize) {
        self.response_count -= 1;
        self.responses -= size;
        self.used -= size;
    }

    /// Changes the size of a buffered response. Connections are shed if the memory is used up.
    ///
    /// # Errors
    ///
    /// Returns an error, and leaves the size as it was, if the memory is used up and the response grows over its share.
    pub fn resize_response(&mut self, old: usize, new: usize, now: Millis) -> Result<(), NoMemory> {
        self.responses = self.responses - old + new;
        self.used = self.used - old + new;
        if new <= old {
            return Ok(());
        }
        self.shed_above(self.capacity.bytes, now);
        while !self.holds_response(new) {
            if !self.shed_reader(now) {
                self.responses = self.responses - new + old;
                self.used = self.used - new + old;
                return Err(NoMemory);
            }
        }
        Ok(())
    }

    /// Adds bytes of a response that are read before a connection's caller reads them. Callers that do not read are shed if
    /// the memory is used up, which may include that one.
    ///
    /// # Errors
    ///
    /// Returns an error, and leaves the size as it was, if the memory is used up and the response grows over its share, or if
    /// the connection is shed.
    pub fn read_ahead(&mut self, id: HolderId, bytes: usize, now: Millis) -> Result<(), NoMemory> {
        let sizes = self.sizes(id);
        let unsent = sizes.unsent + bytes;
        self.resize(id, Sizes { unsent, ..sizes }, now);
        while !self.holds_response(unsent) && self.shed_reader(now) {}
        let holder = self.holders.get(&id);
        let open = holder.is_some_and(|h| h.phase != Phase::Closing);
        if open && self.holds_response(unsent) {
            return Ok(());
        }
        self.update(id, |h| h.sizes.unsent = sizes.unsent);
        Err(NoMemory)
    }

    /// Returns whether a response may have this size, which is counted already.
    fn holds_response(&self, size: usize) -> bool {
        let Capacity {
            bytes, responses, ..
        } = self.capacity;
        let over = self.responses > responses || self.used > bytes;
        let share = responses / self.response_count.max(1);
        // Shares that were taken earlier add up, so there is a bound for these too.
        !over || (size <= share && self.used <= bytes + responses)
    }

    /// Sheds the caller that has not read its response for longest, if that is long; returns whether there is one.
    fn shed_reader(&mut self, now: Millis) -> bool {
        let stalled = self.holders.iter().filter(|(_, h)| {
            let unread = h.phase == Phase::Sending && h.sizes.unsent > 0;
            unread && now - h.since >= RESPONSE_STALL
        });
        let first = stalled.min_by_key(|(id, h)| (h.since, Reverse(h.sizes.unsent), **id));
        let Some(id) = first.map(|(id, _)| *id) else {
            return false;
        };
        self.shed(id, now);
        true
    }

    /// Sheds a connection.
    fn shed(&mut self, id: HolderId, now: Millis) {
        self.set_phase(id, Phase::Closing, now);
        self.orders.push((id, Order::Shed));
    }

    /// Changes a connection and the sums that it is part of.
    fn update(&mut self, id: HolderId, change: impl FnOnce(&mut Holder)) {
        let Some(holder) = self.holders.get_mut(&id) else {
            return;
        };
        let old = *holder;
        change(holder);
        let new = *holder;
        let unsent = |h: &Holder| if h.size() > 0 { h.sizes.unsent } else { 0 };
        let count = |h: &Holder| usize::from(unsent(h) > 0);
        let closing = |h: &Holder| usize::from(h.phase == Phase::Closing);
        self.used = self.used - old.size() + new.size();
        self.responses = self.responses - unsent(&old) + unsent(&new);
        self.response_count = self.response_count - count(&old) + count(&new);
        self.closing = self.closing - closing(&old) + closing(&new);
    }

    /// Sheds connections until no more than `limit` bytes are used, or none is left that can be shed.
    fn shed_above(&mut self, limit: usize, now: Millis) {
        while self.used > limit && self.shed_first(now) {}
    }

    /// Sheds the connection that comes first; returns whether there is one.
    fn shed_first(&mut self, now: Millis) -> bool {
        let ranked = self.holders.iter();
        let ranked = ranked.filter_map(|(id, h)| Some((h.rank(now)?, Reverse(*id))));
        let Some((_, Reverse(id))) = ranked.max() else {
            return false;
        };
        self.shed(id, now);
        true
    }

    /// Ends the connections that have been closing for longest, if more are than may be.
    fn end_closing(&mut self) {
        if self.closing <= self.capacity.closing {
            return;
        }
        let closing = self.holders.iter();
        let closing = closing.filter(|(_, h)| h.phase == Phase::Closing);
        let mut closing: Vec<_> = closing.map(|(id, h)| (h.since, *id)).collect();
        closing.sort_unstable();
        let surplus = self.closing - self.capacity.closing;
        let ended = closing.iter().take(surplus);
        self.orders.extend(ended.map(|(_, id)| (*id, Order::End)));
    }
}
