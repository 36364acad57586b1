//! Drives the lease of the endpoint through the log.

use std::{future::Future, sync::Arc};

use super::{board::Board, event::LEASE_WAIT};
use crate::{
    backing::Log,
    base::{Clock, Fence, Millis},
    decide::lease::{LeaseHolder, LeaseStep},
    feed::{append, Replica},
    kernel::{Body, LeaseOp, Record},
};

/// Time for one append to be read back.
const APPEND_TIMEOUT: Millis = Millis(2000);

/// Longest pause between two looks at the lease.
const LOOK_PAUSE: Millis = Millis(200);

/// Holder of the endpoint's lease while commands are outstanding.
#[derive(Debug)]
pub struct Lessee<L, C> {
    log: L,
    clock: C,
    replica: Arc<Replica>,
    board: Arc<Board>,
    holder: LeaseHolder,
}

impl<L: Log, C: Clock> Lessee<L, C> {
    /// Creates a holder that does not hold the lease yet.
    pub fn new(
        log: L,
        clock: C,
        replica: Arc<Replica>,
        board: Arc<Board>,
        holder: LeaseHolder,
    ) -> Self {
        Self {
            log,
            clock,
            replica,
            board,
            holder,
        }
    }

    fn observe(&mut self) {
        let lease = self.replica.lease(self.holder.resource());
        self.holder.observe(self.clock.now(), lease.as_ref());
    }

    async fn append(&mut self, op: LeaseOp) {
        self.holder.append_sent(self.clock.now());
        let record = Record::new(Body::Lease(op));
        let result = append(&self.log, &self.replica, &record, APPEND_TIMEOUT).await;
        self.observe();
        match result {
            Ok(_) => {
                self.holder.appends_settled();
                self.board.clear(&LEASE_WAIT);
            }
            Err(e) => self.board.raise(&LEASE_WAIT, &e.to_string()),
        }
    }

    /// Acquires or renews the lease; waits for as long as another process holds it.
    pub async fn acquire(&mut self) -> Fence {
        loop {
            self.observe();
            match self.holder.next(self.clock.now()) {
                LeaseStep::Ready(fence) => {
                    self.board.clear(&LEASE_WAIT);
                    return fence;
                }
                LeaseStep::Append(op) => self.append(op).await,
                LeaseStep::Wait(time) => {
                    self.board
                        .raise(&LEASE_WAIT, "another process holds the lease");
                    tokio::time::sleep(time.min(LOOK_PAUSE).duration()).await;
                }
            }
        }
    }

    /// Returns the token if a command may be sent now; call immediately before each command.
    pub fn may_command(&self) -> Option<Fence> {
        self.holder.command_fence(self.clock.now())
    }

    /// Renews the lease until `work` has ended.
    pub async fn renew_during<T>(&mut self, work: impl Future<Output = T>) -> T {
        tokio::pin!(work);
        loop {
            tokio::select! {
                out = &mut work => return out,
                () = tokio::time::sleep(LOOK_PAUSE.duration()) => {}
            }
            self.observe();
            if let LeaseStep::Append(op @ LeaseOp::Renew { .. }) =
                self.holder.next(self.clock.now())
            {
                tokio::select! {
                    out = &mut work => return out,
                    () = self.append(op) => {}
                }
            }
        }
    }

    /// Gives the lease back, if it is held; a failure is left to the expiry of its term.
    pub async fn release(&mut self) {
        self.observe();
        if let Some(op) = self.holder.release() {
            self.append(op).await;
        }
    }
}
