//! What the connections of callers hold, within the budget of the process.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::Notify;

use super::log_event;
use crate::{
    base::{Clock, HashMap, SystemClock},
    decide::shed::{Budget, Capacity, Full, HolderId, NoMemory, Order, Phase, Sizes, Usage},
    emit,
};

/// Smallest buffer of the HTTP library for what it reads, in bytes; part of what each connection counts.
const BUFFER: usize = 8 << 10;

/// Memory and connections of a process for its callers.
#[derive(Debug)]
pub struct Callers {
    budget: RefCell<Budget>,
    clock: SystemClock,
    connections: RefCell<HashMap<HolderId, Rc<Held>>>,
    /// Connections that were shed, and that were not accepted.
    shed: Cell<u64>,
    refused: Cell<u64>,
    /// Signals the end of a connection.
    removed: Notify,
}

/// What a connection holds.
#[derive(Debug)]
pub(super) struct Held {
    callers: Rc<Callers>,
    id: HolderId,
    peer: SocketAddr,
    /// Bytes that were read of a head.
    head: Cell<usize>,
    /// Whether a request is in progress, from its head to the end of its response's body.
    busy: Cell<bool>,
    /// Whether the body of its request is read, so that a rejection can be sent.
    reading: Cell<bool>,
    order: Cell<Option<Order>>,
    ordered: Notify,
}

/// A connection that counts until it is dropped.
#[derive(Debug)]
pub(super) struct HeldConnection(Rc<Held>);

/// The body of a request, as far as it is read. It counts until it is dropped.
#[derive(Debug)]
pub struct HeldBody(Rc<Held>);

/// What is read of a response before its caller reads it. It counts until it is dropped.
#[derive(Debug)]
pub struct UnreadResponse {
    held: Rc<Held>,
    /// Size in bytes.
    size: usize,
}

/// The caller's request was shed; it was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the memory for callers is used up")]
pub struct Shed;

impl Callers {
    /// Creates the budget of a process.
    pub fn new(capacity: Capacity) -> Rc<Self> {
        Rc::new(Self {
            budget: RefCell::new(Budget::new(capacity)),
            clock: SystemClock::start(),
            connections: RefCell::default(),
            shed: Cell::default(),
            refused: Cell::default(),
            removed: Notify::new(),
        })
    }

    /// Returns what is held.
    pub fn usage(&self) -> Usage {
        self.budget.borrow().usage()
    }

    /// Returns how many connections were shed and how many were not accepted.
    pub fn counts(&self) -> (u64, u64) {
        (self.shed.get(), self.refused.get())
    }

    /// Begins to read the body of a request; `None` if its connection does not count.
    pub fn body(&self, id: Option<&HolderId>) -> Option<HeldBody> {
        let held = self.connections.borrow().get(id?).cloned()?;
        held.reading.set(true);
        Some(HeldBody(held))
    }

    /// Begins a response that is buffered.
    pub fn begin_response(&self) {
        self.budget.borrow_mut().begin_response();
    }

    /// Ends a buffered response of a size.
    pub fn end_response(&self, size: usize) {
        self.budget.borrow_mut().end_response(size);
    }

    /// Changes the size of a buffered response.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no memory for it.
    pub fn resize_response(&self, old: usize, new: usize) -> Result<(), NoMemory> {
        let now = self.clock.now();
        self.change(|b| b.resize_response(old, new, now))
    }

    /// Accepts a connection.
    ///
    /// # Errors
    ///
    /// Returns an error if all connections have requests in progress.
    pub(super) fn admit(self: &Rc<Self>, peer: SocketAddr) -> Result<HeldConnection, Full> {
        let now = self.clock.now();
        let id = self.change(|b| b.admit(now)).inspect_err(|e| {
            self.refused.set(self.refused.get() + 1);
            emit!(log_event::SHED, "peer={peer} state=refused reason=\"{e}\"");
        })?;
        let held = Rc::new(Held {
            callers: self.clone(),
            id,
            peer,
            head: Cell::default(),
            busy: Cell::default(),
            reading: Cell::default(),
            order: Cell::default(),
            ordered: Notify::new(),
        });
        self.connections.borrow_mut().insert(id, held.clone());
        Ok(HeldConnection(held))
    }

    /// Waits until there is room for another connection. What was told to end stays open until its task runs, and many
    /// connections could be accepted before.
    pub(super) async fn room(&self) {
        loop {
            let removed = self.removed.notified();
            if self.change(Budget::make_room) {
                return;
            }
            removed.await;
        }
    }

    /// Changes the budget and passes on its orders.
    fn change<T>(&self, change: impl FnOnce(&mut Budget) -> T) -> T {
        let (out, orders) = {
            let mut budget = self.budget.borrow_mut();
            (change(&mut budget), budget.take_orders())
        };
        for (id, order) in orders {
            let held = self.connections.borrow().get(&id).cloned();
            if let Some(held) = held {
                self.order(&held, order);
            }
        }
        out
    }

    fn order(&self, held: &Held, order: Order) {
        held.order.set(Some(order));
        held.ordered.notify_waiters();
        if order == Order::Shed {
            self.shed.set(self.shed.get() + 1);
            let sizes = held.sizes();
            emit!(
                log_event::SHED,
                "peer={} state=shed head={} body={} unsent={} used={}",
                held.peer,
                sizes.head,
                sizes.body,
                sizes.unsent,
                self.usage().bytes
            );
        }
    }
}

impl Held {
    pub(super) fn id(&self) -> HolderId {
        self.id
    }

    fn sizes(&self) -> Sizes {
        self.callers.budget.borrow().sizes(self.id)
    }

    fn resize(&self, change: impl FnOnce(&mut Sizes)) {
        let now = self.callers.clock.now();
        let mut sizes = self.sizes();
        change(&mut sizes);
        self.callers.change(|b| b.resize(self.id, sizes, now));
    }

    fn set_phase(&self, phase: Phase) {
        let now = self.callers.clock.now();
        let mut budget = self.callers.budget.borrow_mut();
        budget.set_phase(self.id, phase, now);
    }

    fn progress(&self, bytes: usize) {
        let now = self.callers.clock.now();
        let mut budget = self.callers.budget.borrow_mut();
        budget.progress(self.id, bytes, now);
    }

    /// Counts bytes that were read; between two requests they belong to a head.
    pub(super) fn read(&self, bytes: usize) {
        if bytes == 0 {
            return;
        }
        if self.busy.get() {
            self.progress(bytes);
            return;
        }
        // A caller that still reads a response is not one whose request arrives.
        if self.head.get() == 0 && self.sizes().unsent == 0 {
            self.set_phase(Phase::Arriving);
        }
        self.progress(bytes);
        self.head.set(self.head.get() + bytes);
        // The buffer doubles; its smallest size is part of what each connection counts.
        let size = self.head.get().next_power_of_two();
        self.resize(|s| s.head = size.saturating_sub(BUFFER));
    }

    /// Counts bytes of the response that were written.
    pub(super) fn wrote(&self, bytes: usize) {
        self.progress(bytes);
        if self.sizes().unsent > 0 {
            self.resize(|s| s.unsent = s.unsent.saturating_sub(bytes));
            self.rest();
        }
    }

    /// Begins a request whose head was read, and whose task needs `task` bytes; it is complete if it has no body.
    pub(super) fn begin(&self, complete: bool, task: usize) {
        self.busy.set(true);
        self.head.set(0);
        self.resize(|s| s.head += task);
        self.set_phase(if complete {
            Phase::Serving
        } else {
            Phase::Arriving
        });
    }

    /// Begins the response to a request.
    pub(super) fn answer(&self) {
        self.reading.set(false);
        self.set_phase(Phase::Sending);
    }

    /// Notes that the connection ends after what is written.
    pub(super) fn close(&self) {
        self.set_phase(Phase::Closing);
    }

    /// Ends the phase of a response, once its caller has it.
    fn rest(&self) {
        if self.busy.get() || self.sizes().unsent > 0 {
            return;
        }
        self.set_phase(if self.head.get() == 0 {
            Phase::Idle
        } else {
            Phase::Arriving
        });
    }
}

impl HeldConnection {
    pub(super) fn inner(&self) -> Rc<Held> {
        self.0.clone()
    }

    /// Waits until the connection must end without a response.
    pub(super) async fn ended(&self) {
        loop {
            let ordered = self.0.ordered.notified();
            match self.0.order.get() {
                Some(Order::End) => return,
                // What closes ends by itself; what is read is rejected first.
                Some(Order::Shed) if !self.0.reading.get() => return,
                _ => ordered.await,
            }
        }
    }
}

impl Drop for HeldConnection {
    fn drop(&mut self) {
        let Held { callers, id, .. } = &*self.0;
        callers.budget.borrow_mut().remove(*id);
        callers.connections.borrow_mut().remove(id);
        callers.removed.notify_waiters();
    }
}

impl HeldBody {
    /// Counts the memory of the body before it grows.
    ///
    /// # Errors
    ///
    /// Returns an error if the request is shed.
    pub fn resize(&self, size: usize) -> Result<(), Shed> {
        self.0.resize(|s| s.body = size);
        self.check()
    }

    /// Notes that the request is complete and is served from now on.
    ///
    /// # Errors
    ///
    /// Returns an error if it was shed before.
    pub fn serve(&self) -> Result<(), Shed> {
        self.check()?;
        self.0.set_phase(Phase::Serving);
        Ok(())
    }

    /// Begins to read a response ahead of its caller.
    pub fn unread(&self) -> UnreadResponse {
        UnreadResponse {
            held: self.0.clone(),
            size: 0,
        }
    }

    /// Waits until the request is shed.
    pub async fn shed(&self) {
        loop {
            let ordered = self.0.ordered.notified();
            if self.check().is_err() {
                return;
            }
            ordered.await;
        }
    }

    fn check(&self) -> Result<(), Shed> {
        self.0.order.get().map_or(Ok(()), |_| Err(Shed))
    }
}

impl UnreadResponse {
    /// Counts bytes that are read.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no memory for them.
    pub fn add(&mut self, bytes: usize) -> Result<(), NoMemory> {
        let Held { callers, id, .. } = &*self.held;
        let now = callers.clock.now();
        callers.change(|b| b.read_ahead(*id, bytes, now))?;
        self.size += bytes;
        Ok(())
    }

    /// Removes bytes that are passed on to the caller's connection.
    pub fn remove(&mut self, bytes: usize) {
        self.size -= bytes;
        self.held
            .resize(|s| s.unsent = s.unsent.saturating_sub(bytes));
    }
}

impl Drop for UnreadResponse {
    fn drop(&mut self) {
        self.remove(self.size);
    }
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        self.0.resize(|s| s.body = 0);
    }
}

/// Body of a response whose bytes count until they are written.
#[derive(Debug)]
pub(super) struct Counted<B> {
    inner: Pin<Box<B>>,
    held: Option<Rc<Held>>,
}

impl<B> Counted<B> {
    pub(super) fn new(inner: B, held: Option<Rc<Held>>) -> Self {
        Self {
            inner: Box::pin(inner),
            held,
        }
    }
}

impl<B: Body<Data = Bytes>> Body for Counted<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        let polled = self.inner.as_mut().poll_frame(cx);
        if let (Poll::Ready(Some(Ok(frame))), Some(held)) = (&polled, &self.held) {
            let size = frame.data_ref().map_or(0, Bytes::len);
            held.resize(|s| s.unsent += size);
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

impl<B> Drop for Counted<B> {
    fn drop(&mut self) {
        let Some(held) = &self.held else {
            return;
        };
        held.busy.set(false);
        held.resize(|s| s.head = 0);
        held.rest();
    }
}
