//! Handles the exchanges that other processes open.

use std::sync::Arc;

use super::{report::Reporter, runner, sink::Sink, Runner};
use crate::{
    base::{Clock, Millis},
    endpoint::Endpoint,
    net::{Call, Incoming},
    process::Context,
    wire::{self, NotRun, RunOutcome, RunRequest, SettleReply},
};

/// Time to catch up with the sender's applied offset.
const CATCH_UP: Millis = Millis(500);

/// Time for the entry to confirm that it has the whole answer.
const FLUSH_TIMEOUT: Millis = Millis(5000);

/// Parts of the agent that exchanges need.
#[derive(Debug)]
pub(super) struct Server<E> {
    pub(super) ctx: Context,
    pub(super) runner: Runner<E>,
    pub(super) reporter: Reporter,
}

impl<E: Endpoint> Server<E> {
    /// Handles one exchange to its end.
    pub(super) async fn handle(self: Arc<Self>, incoming: Incoming) {
        let received = self.ctx.clock.now();
        let Incoming { open, mut call, .. } = incoming;
        match open.call {
            wire::Call::Run(req) => self.run(req, open.applied, received, call).await,
            wire::Call::Settle(_) => {
                if call.tx.send(&SettleReply::Unknown).await.is_ok() {
                    call.tx.finish();
                }
            }
            wire::Call::Watch(req) => {
                let board = &self.runner.board;
                self.reporter
                    .serve(&self.ctx, &self.runner.service, board, req, call)
                    .await;
            }
            wire::Call::Have(_) | wire::Call::Chunk(_) => {}
            wire::Call::Feed(_) => {}
        }
    }

    async fn run(
        &self,
        req: RunRequest,
        applied: crate::base::Offset,
        received: Millis,
        mut call: Call,
    ) {
        let Some(permit) = self.runner.board.enter() else {
            return refuse(&req, NotRun::Leaving, call).await;
        };
        if !self.ctx.replica.wait_for(applied, CATCH_UP).await {
            return refuse(&req, NotRun::Version, call).await;
        }
        if req.attempt.is_some() {
            return refuse(&req, NotRun::Service, call).await;
        }
        self.runner.stream(&req, received, &mut call.tx).await;
        flush(call).await;
        drop(permit);
    }
}

async fn refuse(req: &RunRequest, reason: NotRun, mut call: Call) {
    runner::fail(req, RunOutcome::NotRun(reason), &mut call.tx).await;
    flush(call).await;
}

/// Ends the stream and waits until the entry has read it, so that an exit does not cut the answer.
async fn flush(mut call: Call) {
    call.tx.finish();
    let _ = tokio::time::timeout(FLUSH_TIMEOUT.duration(), Sink::closed(&call.tx)).await;
}
