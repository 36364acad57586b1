//! Reads a stream of events on while its caller does not read, as far as there is memory for callers.
//!
//! An endpoint cuts off a response that is not read for a few seconds. The caller that does not read is closed before that,
//! when the memory is used up (`decide/shed.rs`).

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    rc::Rc,
};

use bytes::Bytes;
use tokio::{sync::Notify, task::JoinHandle};

use super::stream::{Cut, Relay};
use crate::{base::Millis, http::UnreadResponse};

/// Interval at which memory is asked for again while there is none.
const RETRY_INTERVAL: Millis = Millis(100);

/// Memory of an item beside its content, in bytes, at most: its place in the queue and its allocation.
const ITEM: usize = 128;

/// Events that are read, and the bytes of each that count.
#[derive(Debug)]
struct Queue {
    items: RefCell<VecDeque<(Result<Bytes, Cut>, usize)>>,
    unread: RefCell<UnreadResponse>,
    ended: Cell<bool>,
    added: Notify,
    taken: Notify,
}

impl Queue {
    /// Adds an item once there is memory for it, or once no other one waits.
    async fn add(&self, item: Result<Bytes, Cut>) {
        let size = ITEM + item.as_ref().map_or(0, Bytes::len);
        let counted = loop {
            let taken = self.taken.notified();
            if self.unread.borrow_mut().add(size).is_ok() {
                break size;
            }
            if self.items.borrow().is_empty() {
                break 0;
            }
            let _ = tokio::time::timeout(RETRY_INTERVAL.duration(), taken).await;
        };
        self.items.borrow_mut().push_back((item, counted));
        self.added.notify_one();
    }

    fn end(&self) {
        self.ended.set(true);
        self.added.notify_one();
    }

    async fn next(&self) -> Option<Result<Bytes, Cut>> {
        loop {
            let item = self.items.borrow_mut().pop_front();
            if let Some((item, counted)) = item {
                self.unread.borrow_mut().remove(counted);
                self.taken.notify_waiters();
                return Some(item);
            }
            if self.ended.get() {
                return None;
            }
            self.added.notified().await;
        }
    }
}

/// A stream that is read ahead until this is dropped.
#[derive(Debug)]
pub(super) struct ReadAhead {
    queue: Rc<Queue>,
    task: JoinHandle<()>,
}

impl ReadAhead {
    pub(super) fn begin(mut relay: Relay, unread: UnreadResponse) -> Self {
        let queue = Rc::new(Queue {
            items: RefCell::default(),
            unread: RefCell::new(unread),
            ended: Cell::new(false),
            added: Notify::new(),
            taken: Notify::new(),
        });
        let filled = queue.clone();
        let task = tokio::task::spawn_local(async move {
            while let Some(item) = relay.next().await {
                filled.add(item).await;
            }
            filled.end();
            // The request counts as in progress until its caller has the response.
            std::future::pending().await
        });
        Self { queue, task }
    }

    /// Returns what comes next in the stream.
    pub(super) async fn next(&self) -> Option<Result<Bytes, Cut>> {
        self.queue.next().await
    }
}

impl Drop for ReadAhead {
    fn drop(&mut self) {
        self.task.abort();
    }
}
