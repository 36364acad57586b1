//! Runs requests at the endpoint.

use std::sync::Arc;

use super::{
    answer::{Answer, Break},
    board::Board,
    event::{ANSWER_RESUMED, REQUEST_DONE, REQUEST_FAILED},
    sink::{Gone, Sink},
};
use crate::{
    base::{Clock, Millis, Region, Service, SystemClock},
    emit,
    endpoint::{Endpoint, EndpointError, Run},
    feed::Replica,
    observe::Timeline,
    wire::{NotRun, Reply, RunOutcome, RunRequest},
};

/// Further exchanges with the endpoint after an answer broke off.
const RESUMES_MAX: u32 = 2;

/// Requests in progress at once; bounds the memory of an agent whose endpoint reports no capacity.
const RUNNING_MAX: u32 = 4096;

/// Pause before a further exchange.
const RESUME_PAUSE: Millis = Millis(20);

/// Runs requests of one service at its endpoint.
#[derive(Clone, Debug)]
pub struct Runner<E> {
    /// The endpoint.
    pub endpoint: E,
    /// Region of the host.
    pub region: Region,
    /// Service of the endpoint.
    pub service: Service,
    /// Agreed state.
    pub replica: Arc<Replica>,
    /// State of the agent.
    pub board: Arc<Board>,
    /// Recent events.
    pub timeline: Timeline,
    /// Clock of the process.
    pub clock: SystemClock,
}

/// Why a request has no whole answer.
enum End {
    Failed(RunOutcome),
    Gone,
}

impl From<Gone> for End {
    fn from(Gone: Gone) -> Self {
        Self::Gone
    }
}

/// How an exchange with the endpoint ended early.
enum Cut {
    /// The answer cannot be completed.
    End(End),
    /// The rest can be asked for again; `sent` tells whether the request may have run.
    Again { sent: bool, why: EndpointError },
}

impl From<Gone> for Cut {
    fn from(Gone: Gone) -> Self {
        Self::End(End::Gone)
    }
}

/// Returns the time after which a further try makes sense.
pub(super) fn retry_after(outcome: &RunOutcome) -> Millis {
    match outcome {
        RunOutcome::NotRun(NotRun::Leaving | NotRun::Void) => Millis(50),
        RunOutcome::NotRun(NotRun::Busy | NotRun::Version) => Millis(500),
        RunOutcome::NotRun(NotRun::Expired | NotRun::Digest | NotRun::Service) => Millis::ZERO,
        RunOutcome::NotRun(NotRun::Endpoint | NotRun::Log)
        | RunOutcome::InProgress { .. }
        | RunOutcome::MayHaveRun => Millis(1000),
    }
}

impl<E: Endpoint> Runner<E> {
    /// Returns why a request is refused before it reaches the endpoint.
    pub fn refusal(&self, req: &RunRequest, deadline: Millis) -> Option<NotRun> {
        let view = self.board.view();
        let left = deadline - self.clock.now();
        if req.service != self.service {
            Some(NotRun::Service)
        } else if !view.ready {
            Some(NotRun::Endpoint)
        } else if view.weights && (req.version.is_none() || req.version != view.endpoint.version) {
            Some(NotRun::Version)
        } else if view.running > RUNNING_MAX || left <= self.board.wait_estimate() {
            Some(NotRun::Busy)
        } else {
            None
        }
    }

    /// Longest time without progress of an answer.
    fn stall(&self) -> Millis {
        let settings = self.replica.settings();
        settings
            .service(&self.region, &self.service)
            .map_or(Millis(2000), |s| s.request.stall)
    }

    /// Runs a repeatable request and streams its answer; `received` is when the request arrived.
    pub async fn stream<K: Sink>(&self, req: &RunRequest, received: Millis, sink: &mut K) {
        let deadline = received + req.remaining;
        let result = match self.refusal(req, deadline) {
            Some(reason) => Err(End::Failed(RunOutcome::NotRun(reason))),
            None => self.exchange(req, deadline, sink).await,
        };
        match result {
            Ok(()) => {
                emit!(REQUEST_DONE, "request {}", req.id);
                self.timeline.record(&REQUEST_DONE, req.id, "");
            }
            Err(End::Gone) => self.endpoint.cancel(req.id).await,
            Err(End::Failed(outcome)) => self.fail(req, outcome, sink).await,
        }
    }

    /// Ends the replies to a request without a whole answer.
    pub(super) async fn fail<K: Sink>(&self, req: &RunRequest, outcome: RunOutcome, sink: &mut K) {
        emit!(REQUEST_FAILED, "request {}: {outcome:?}", req.id);
        self.timeline
            .record(&REQUEST_FAILED, req.id, format!("{outcome:?}"));
        let retry = retry_after(&outcome);
        // An entry that no longer reads needs no outcome.
        let _ = sink
            .send(Reply::Failed {
                id: req.id,
                outcome,
                retry,
            })
            .await;
    }

    /// Exchanges with the endpoint until the answer is whole.
    async fn exchange<K: Sink>(
        &self,
        req: &RunRequest,
        deadline: Millis,
        sink: &mut K,
    ) -> Result<(), End> {
        let mut answer = Answer::new(req);
        let mut tries = 0;
        let mut ran = false;
        loop {
            let (sent, why) = match self.once(req, deadline, &mut answer, sink).await {
                Ok(()) => return Ok(()),
                Err(Cut::End(end)) => {
                    // The endpoint no longer works on an answer that nobody receives.
                    if matches!(end, End::Failed(_)) {
                        self.endpoint.cancel(req.id).await;
                    }
                    return Err(end);
                }
                Err(Cut::Again { sent, why }) => (sent, why),
            };
            ran |= sent;
            let again = ran && answer.is_resumable() && tries < RESUMES_MAX;
            if !again || self.clock.now() >= deadline {
                return Err(End::Failed(self.fate(req, ran, &why).await));
            }
            tries += 1;
            emit!(
                ANSWER_RESUMED,
                "request {} after token {}: {why}",
                req.id,
                answer.index()
            );
            tokio::time::sleep(RESUME_PAUSE.duration()).await;
        }
    }

    /// Returns what is known of a request whose last exchange failed.
    async fn fate(&self, req: &RunRequest, ran: bool, why: &EndpointError) -> RunOutcome {
        if ran {
            self.endpoint.cancel(req.id).await;
            return RunOutcome::MayHaveRun;
        }
        RunOutcome::NotRun(match why {
            EndpointError::Refused(_) => NotRun::Busy,
            _ => NotRun::Endpoint,
        })
    }

    /// Asks the endpoint for the answer, or for its rest.
    async fn open(
        &self,
        req: &RunRequest,
        left: Millis,
        answer: &mut Answer,
    ) -> Result<E::Run, EndpointError> {
        let from = answer.index();
        answer.repeat(false);
        if from == 0 {
            return self.endpoint.run(req, left).await;
        }
        match self.endpoint.resume(req, from, left).await {
            Err(EndpointError::Missing) => {}
            other => return other,
        }
        // An endpoint that does not know the request repeats it; what the caller has is dropped here.
        answer.repeat(true);
        self.endpoint.run(req, left).await
    }

    /// Waits until the endpoint stops answering status calls.
    async fn dead(&self) {
        let mut rx = self.board.watch();
        if rx.wait_for(|v| !v.ready).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// One exchange with the endpoint.
    async fn once<K: Sink>(
        &self,
        req: &RunRequest,
        deadline: Millis,
        answer: &mut Answer,
        sink: &mut K,
    ) -> Result<(), Cut> {
        let left = deadline - self.clock.now();
        // A request may wait for its turn at the endpoint until the deadline, as long as the endpoint reports itself.
        let opened = tokio::select! {
            opened = self.open(req, left, answer) => opened,
            () = sink.closed() => return Err(Gone.into()),
            () = self.dead() => Err(EndpointError::Silent(left)),
        };
        let mut run = opened.map_err(|why| Cut::Again {
            sent: !why.is_unsent(),
            why,
        })?;
        if let Some(reply) = answer.head(run.head()).map_err(cut)? {
            sink.send(reply).await?;
        }
        let mut limit = Millis::MAX;
        let mut begun = None;
        loop {
            let left = deadline - self.clock.now();
            let part = self
                .part(&mut run, left.min(limit), sink)
                .await
                .map_err(|c| self.in_time(c, deadline))?;
            limit = self.stall();
            let begun = *begun.get_or_insert_with(|| self.clock.now());
            let next = answer.part(part).map_err(cut)?;
            if deliver(next, sink).await? {
                self.board.observe_time(self.clock.now() - begun);
                return Ok(());
            }
        }
    }

    /// Ends the request if its deadline has passed.
    fn in_time(&self, cut: Cut, deadline: Millis) -> Cut {
        match cut {
            Cut::Again { .. } if self.clock.now() >= deadline => {
                Cut::End(End::Failed(RunOutcome::MayHaveRun))
            }
            cut => cut,
        }
    }

    async fn part<K: Sink>(
        &self,
        run: &mut E::Run,
        limit: Millis,
        sink: &K,
    ) -> Result<crate::endpoint::Part, Cut> {
        tokio::select! {
            part = run.next(limit) => part.map_err(|why| Cut::Again { sent: true, why }),
            () = sink.closed() => Err(Gone.into()),
            () = self.dead() => Err(Cut::Again { sent: true, why: EndpointError::Silent(limit) }),
        }
    }
}

/// Maps a break of the answer.
fn cut(why: Break) -> Cut {
    match why {
        Break::Version => Cut::End(End::Failed(RunOutcome::MayHaveRun)),
        Break::Gap => Cut::Again {
            sent: true,
            why: EndpointError::Malformed("parts are missing".to_owned()),
        },
    }
}

/// Sends a reply; returns whether it was the last one.
async fn deliver<K: Sink>(reply: Option<Reply>, sink: &mut K) -> Result<bool, Gone> {
    let Some(reply) = reply else {
        return Ok(false);
    };
    let last = matches!(reply, Reply::End { .. });
    sink.send(reply).await?;
    Ok(last)
}
