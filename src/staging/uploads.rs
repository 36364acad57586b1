//! Uploads of a host that wait for its link.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use tokio::sync::Notify;

use crate::{
    base::{Clock, SystemClock},
    decide::chunk::{Requester, Upload},
    net::Pacer,
};

/// Uploads in progress; they are sent one after another, in the order of their precedence.
#[derive(Debug)]
pub(super) struct Uploads {
    /// Limits uploads to their share of the link.
    pacer: Rc<Pacer>,
    clock: SystemClock,
    /// Number of the next upload.
    next: Cell<u64>,
    /// Number of uploads that wait for their turn or are read from the endpoint.
    count: Cell<usize>,
    /// Uploads that wait for their turn, with their numbers.
    waiting: RefCell<Vec<(u64, Upload)>>,
    /// Upload whose turn it is, until the pacer lets it pass.
    turn: Cell<Option<u64>>,
    /// Wakes the uploads that wait when the turn of another one is over.
    passed: Notify,
}

/// An upload that counts as in progress until this is dropped.
pub(super) struct UploadGuard<'a> {
    uploads: &'a Uploads,
    id: u64,
}

impl Uploads {
    pub(super) fn new(pacer: Rc<Pacer>, clock: SystemClock) -> Self {
        Self {
            pacer,
            clock,
            next: Cell::default(),
            count: Cell::default(),
            waiting: RefCell::default(),
            turn: Cell::default(),
            passed: Notify::new(),
        }
    }

    /// Begins an upload; `None` if `max` are in progress. The caller must call [`UploadGuard::wait_turn`] at once: the upload
    /// may have its turn already.
    pub(super) fn begin(&self, requester: Requester, max: usize) -> Option<UploadGuard<'_>> {
        if self.count.get() >= max {
            return None;
        }
        self.count.set(self.count.get() + 1);
        let id = self.next.replace(self.next.get() + 1);
        let since = self.clock.now();
        let upload = Upload { requester, since };
        self.waiting.borrow_mut().push((id, upload));
        self.give_turn();
        Some(UploadGuard { uploads: self, id })
    }

    /// Gives the turn to the first waiting upload, if no other one has it. All uploads are compared at one time: their
    /// order changes as they wait.
    fn give_turn(&self) {
        if self.turn.get().is_some() {
            return;
        }
        let now = self.clock.now();
        let waiting = self.waiting.borrow();
        let next = waiting
            .iter()
            .min_by_key(|(id, u)| (u.precedence(now), *id));
        self.turn.set(next.map(|n| n.0));
        self.passed.notify_waiters();
    }

    /// Ends the turn of an upload, if it waits or has its turn.
    fn end_turn(&self, id: u64) {
        self.waiting.borrow_mut().retain(|w| w.0 != id);
        if self.turn.get() == Some(id) {
            self.turn.set(None);
        }
        self.give_turn();
    }
}

impl UploadGuard<'_> {
    /// Waits until a chunk of this many bytes may be sent.
    pub(super) async fn wait_turn(&self, bytes: usize) {
        let (uploads, id) = (self.uploads, self.id);
        loop {
            let passed = uploads.passed.notified();
            if uploads.turn.get() == Some(id) {
                break;
            }
            passed.await;
        }
        uploads.pacer.acquire(bytes).await;
        uploads.end_turn(id);
    }
}

impl Drop for UploadGuard<'_> {
    fn drop(&mut self) {
        self.uploads.count.set(self.uploads.count.get() - 1);
        self.uploads.end_turn(self.id);
    }
}
