//! Handles the exchanges that other processes open.

use std::{net::SocketAddr, sync::Arc};

use super::{
    claims::{self, Claims},
    event::{REQUEST_DONE, REQUEST_FAILED},
    report::Reporter,
    sink::Sink,
    Runner,
};
use crate::{
    base::{Attempt, Clock, Millis, Offset},
    decide::claim::Verdict,
    emit,
    endpoint::Endpoint,
    feed,
    net::{Call, Incoming},
    process::Context,
    settings::Request,
    weights::Distribution,
    wire::{self, NotRun, RunOutcome, RunRequest, SettleReply},
};

/// Time for the entry to confirm that it has the whole answer.
const FLUSH_TIMEOUT: Millis = Millis(5000);

/// Parts of the agent that exchanges need.
#[derive(Debug)]
pub(super) struct Server<E> {
    pub(super) ctx: Context,
    pub(super) runner: Runner<E>,
    pub(super) reporter: Reporter,
    /// Agents of plain services only.
    pub(super) claims: Option<Claims>,
    /// Agents of model engines only.
    pub(super) distribution: Option<Arc<Distribution>>,
}

impl<E: Endpoint> Server<E> {
    /// Handles one exchange to its end.
    pub(super) async fn handle(self: Arc<Self>, incoming: Incoming) {
        let received = self.ctx.clock.now();
        if matches!(
            incoming.open.call,
            wire::Call::Have(_) | wire::Call::Chunk(_)
        ) {
            if let Some(distribution) = &self.distribution {
                distribution.handle(incoming).await;
            }
            return;
        }
        let Incoming {
            open,
            mut call,
            peer,
        } = incoming;
        match open.call {
            wire::Call::Run(req) => {
                let ahead = (peer, open.applied);
                self.run(req, ahead, received, call).await;
            }
            wire::Call::Feed(req) => feed::serve(&self.ctx, peer, open.applied, &req, call).await,
            wire::Call::Settle(req) => {
                let deadline = received + req.remaining;
                let fate = match &self.claims {
                    Some(claims) => claims.settle(req.id, req.attempt, deadline).await,
                    None => SettleReply::Unknown,
                };
                if call.tx.send(&fate).await.is_ok() {
                    flush(call).await;
                }
            }
            wire::Call::Watch(req) => {
                let board = &self.runner.board;
                self.reporter
                    .serve(&self.ctx, &self.runner.service, board, req, call)
                    .await;
            }
            // Chunk calls are handled above; the others are for entries.
            _ => {}
        }
    }

    async fn run(
        &self,
        req: RunRequest,
        (peer, applied): (SocketAddr, Offset),
        received: Millis,
        mut call: Call,
    ) {
        let Some(permit) = self.runner.board.enter() else {
            return self.refuse(&req, NotRun::Leaving, call).await;
        };
        if !feed::catch_up(&self.ctx, peer, applied).await {
            return self.refuse(&req, NotRun::Version, call).await;
        }
        match (&self.claims, req.attempt) {
            (Some(claims), Some(attempt)) => {
                self.claim(claims, req, attempt, received, &mut call).await;
            }
            (None, Some(_)) => return self.refuse(&req, NotRun::Service, call).await,
            (Some(_), None) if !self.is_repeatable(&req) => {
                return self.refuse(&req, NotRun::Version, call).await;
            }
            (_, None) => self.runner.stream(&req, received, &mut call.tx).await,
        }
        flush(call).await;
        drop(permit);
    }

    async fn refuse(&self, req: &RunRequest, reason: NotRun, mut call: Call) {
        let outcome = RunOutcome::NotRun(reason);
        self.runner.fail(req, outcome, &mut call.tx).await;
        flush(call).await;
    }

    /// Returns whether the settings in force allow the request to run more than once.
    ///
    /// The entry decides this, possibly on older settings.
    fn is_repeatable(&self, req: &RunRequest) -> bool {
        let settings = self.ctx.replica.settings();
        let service = settings.service(&self.runner.region, &self.runner.service);
        let methods = service.map_or_else(
            || Request::default().repeatable,
            |s| s.request.repeatable.clone(),
        );
        methods.iter().any(|m| m.to_string() == req.method)
    }

    /// Runs a request at most once; the run goes on if the entry no longer reads the answer.
    async fn claim(
        &self,
        claims: &Claims,
        req: RunRequest,
        attempt: Attempt,
        received: Millis,
        call: &mut Call,
    ) {
        let deadline = received + req.remaining;
        let refusal = self.runner.refusal(&req, deadline);
        if refusal == Some(NotRun::Service) {
            let outcome = RunOutcome::NotRun(NotRun::Service);
            return self.runner.fail(&req, outcome, &mut call.tx).await;
        }
        let id = req.id;
        let verdict = claims.submit(req, attempt, deadline, refusal).await;
        let (event, text) = match &verdict {
            Verdict::Done { status, .. } => (&REQUEST_DONE, status.to_string()),
            Verdict::Failed(outcome) => (&REQUEST_FAILED, format!("{outcome:?}")),
        };
        emit!(event, "request {id}: {text}");
        self.ctx.timeline.record(event, id, text);
        // An entry that no longer reads asks again under the same id.
        let _ = claims::answer(id, verdict, &mut call.tx).await;
    }
}

/// Ends the stream and waits until the entry has read it, so that an exit does not cut the answer.
async fn flush(mut call: Call) {
    call.tx.finish();
    let _ = tokio::time::timeout(FLUSH_TIMEOUT.duration(), Sink::closed(&call.tx)).await;
}
