//! Forwards a stream of events, and continues it at another endpoint if the first one fails or is silent.

use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use futures_util::{future::Either, stream, Stream};
use hyper::body::Frame;

use super::{
    abandoned::log_abandoned,
    attempt::{Attempts, StreamingResponse},
    buffers::Held,
    catalog::Repeat,
    context::Context,
    endpoint_table::EndpointId,
    evaluate::RESPONSE_MAX,
    in_flight::Running,
    job::Job,
    load_view::Outcome,
    log_event, metrics,
    read_ahead::ReadAhead,
    reply::Reject,
    source::{ReadResult, Source, EVENT_TIMEOUT},
    standby::{Next, StreamView},
    worth,
};
use crate::{decide::numbering::EventId, emit, http::HeldBody};

/// Error that ends the caller's connection because the stream ended before its last event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the stream was cut; resume after its last event")]
pub(super) struct Cut;

/// State of a stream that is forwarded to a caller.
#[derive(Debug)]
pub(super) struct Relay {
    ctx: Rc<Context>,
    pub(super) job: Job,
    pub(super) attempts: Attempts,
    /// The response that currently supplies the stream; `None` after it ended.
    source: Option<Source>,
    /// Its first bytes, until they are forwarded.
    first: Option<Bytes>,
    /// Last event that was forwarded or that the caller had before.
    last: Option<EventId>,
    /// Whether any event was forwarded.
    begun: bool,
    /// Whether the stream ended with an error.
    cut: bool,
    /// Whether the stream ended completely.
    whole: bool,
    _running: Running,
}

/// Logs and counts what happened to a stream; `endpoint` is the one that it concerns.
pub(super) fn log_stream(
    stream: StreamView<'_>,
    endpoint: Option<&EndpointId>,
    outcome: &'static str,
    reason: &str,
) {
    let StreamView {
        ctx, job, attempts, ..
    } = stream;
    let label = metrics::OutcomeLabel { outcome };
    ctx.metrics.streams.get_or_create(&label).inc();
    let ms = ctx.now() - job.start;
    let last = stream.last.unwrap_or_default();
    let endpoint = endpoint.cloned().or_else(|| attempts.endpoint());
    let endpoint = endpoint.as_ref().map_or("-", |id| &*id.0);
    emit!(
        log_event::STREAM,
        "id={} route={} endpoint={endpoint} event={last} attempts={} late={} ms={} prompt={} output={} hint={} outcome={outcome} reason={reason}",
        job.id(),
        job.route.name,
        attempts.sent.get(),
        job.returning,
        ms.0,
        job.prompt_tokens,
        job.output_max,
        job.output_hint.unwrap_or_default()
    );
}

impl Relay {
    pub(super) fn new(
        ctx: &Rc<Context>,
        job: Job,
        attempts: Attempts,
        response: StreamingResponse,
        running: Running,
    ) -> Self {
        Self {
            ctx: ctx.clone(),
            source: Some(Source::new(ctx, &attempts, response, job.last_event)),
            first: None,
            last: job.last_event,
            job,
            attempts,
            begun: false,
            cut: false,
            whole: false,
            _running: running,
        }
    }

    /// Waits for the first bytes of the stream, so that the caller gets an error if none arrive.
    ///
    /// # Errors
    ///
    /// Returns the rejection with which the entry responds if the stream is cut before it begins.
    pub(super) async fn begin(&mut self) -> Result<(), Reject> {
        match self.next().await {
            Some(Ok(first)) => self.first = Some(first),
            Some(Err(Cut)) => return Err(self.reject()),
            None => {}
        }
        Ok(())
    }

    /// Reads the whole stream, for a caller that could not tell its early end.
    ///
    /// # Errors
    ///
    /// Returns the rejection with which the entry responds if the stream is cut or too large.
    pub(super) async fn collect(&mut self) -> Result<Bytes, Reject> {
        let mut body = BytesMut::new();
        let mut held = Held::new(&self.ctx.callers);
        while let Some(data) = self.next().await {
            body.extend_from_slice(&data.map_err(|Cut| self.reject())?);
            let reason = if body.len() > RESPONSE_MAX {
                "too large"
            } else if held.resize(body.len()).is_err() {
                "no memory"
            } else {
                continue;
            };
            self.fail(reason);
            return Err(Reject::Lost);
        }
        Ok(body.freeze())
    }

    /// Ends a stream whose response has not begun, because the process exits; returns the rejection of its request.
    pub(super) fn exit(&mut self) -> Reject {
        self.fail("exiting");
        Reject::Exiting
    }

    /// Returns the rejection of a request whose stream was cut.
    fn reject(&self) -> Reject {
        if self.ctx.now() >= self.job.deadline {
            return Reject::TimedOut;
        }
        Reject::Lost
    }

    /// Returns the body of the response to the caller. It is read on while the caller does not read, if what it holds counts.
    pub(super) fn into_stream(self) -> impl Stream<Item = Result<Frame<Bytes>, Cut>> {
        let reader = match self.job.held.as_ref().map(HeldBody::unread) {
            Some(unread) => Either::Left(ReadAhead::begin(self, unread)),
            None => Either::Right(self),
        };
        stream::unfold(reader, |mut reader| async move {
            let item = match &mut reader {
                Either::Left(ahead) => ahead.next().await?,
                Either::Right(relay) => relay.next().await?,
            };
            if item.is_err() {
                // hyper writes what it holds while a body is pending, and drops it when the body fails.
                tokio::task::yield_now().await;
            }
            Some((item.map(Frame::data), reader))
        })
    }

    /// Returns what comes next in the stream.
    pub(super) async fn next(&mut self) -> Option<Result<Bytes, Cut>> {
        if let Some(first) = self.first.take() {
            return Some(Ok(first));
        }
        if self.cut || self.whole {
            return None;
        }
        let result = match self.read().await {
            Ok(result) => result,
            Err(reason) => return self.fail(reason),
        };
        match result {
            ReadResult::Events(data) => {
                self.note_order();
                self.note_begun();
                Some(Ok(data))
            }
            ReadResult::Comments(data) => Some(Ok(data)),
            ReadResult::DeadlinePassed => {
                let now = self.ctx.now();
                let unfinished = self.source.as_ref().map(|s| s.unfinished(now));
                self.close(unfinished.unwrap_or(Outcome::Abandoned));
                self.fail("deadline")
            }
            ReadResult::Quarantined => {
                self.close(Outcome::Abandoned);
                self.fail("quarantined")
            }
            _ => {
                self.whole = true;
                self.log("served", "-");
                self.close(Outcome::Served);
                None
            }
        }
    }

    /// Reads the present source, and other ones if it fails or is silent.
    ///
    /// # Errors
    ///
    /// Returns the reason for the log if the stream cannot be continued.
    async fn read(&mut self) -> Result<ReadResult, &'static str> {
        let Some(mut source) = self.source.take() else {
            return Err("no endpoint");
        };
        let resumable = self.job.route.repeat == Repeat::Resume && !source.is_unresumable();
        let until = if resumable {
            source.heard_at + EVENT_TIMEOUT
        } else {
            self.job.deadline
        };
        let result = source.read(&self.ctx, &self.job, until).await;
        let present = match result {
            ReadResult::Silent => {
                log_stream(self.view(), Some(&source.target.id), "silent", "-");
                source.target.flight.set_silent(true);
                Some(source)
            }
            ReadResult::Broken(reason) => {
                log_stream(self.view(), Some(&source.target.id), "broken", reason);
                let unresumable = source.is_unresumable();
                source.end(&self.ctx, Outcome::Failed);
                if unresumable {
                    return Err("contradictory events");
                }
                None
            }
            result => {
                self.source = Some(source);
                return Ok(result);
            }
        };
        if !resumable {
            return Err("not resumable");
        }
        let Next {
            mut source,
            result,
            resumed,
        } = self.view().next(present).await?;
        source.target.flight.set_silent(false);
        self.source = Some(source);
        if resumed {
            self.log("resumed", "-");
        }
        Ok(result)
    }

    fn view(&self) -> StreamView<'_> {
        StreamView {
            ctx: &self.ctx,
            job: &self.job,
            attempts: &self.attempts,
            last: self.last,
        }
    }

    /// Notes how far the caller has the stream, and how its events are numbered.
    fn note_order(&mut self) {
        let Some(source) = &self.source else {
            return;
        };
        self.last = source.last();
        self.attempts.numbering.set(source.numbering());
        if let Some(supplier) = self.attempts.supplier.borrow_mut().as_mut() {
            supplier.events = source.count();
        }
    }

    /// Logs and measures the first event.
    fn note_begun(&mut self) {
        if self.begun {
            return;
        }
        self.begun = true;
        self.log("first-event", "-");
        let by_service = metrics::ServiceLabel {
            service: self.job.service.to_string(),
        };
        let time = (self.ctx.now() - self.job.start).duration();
        let first = &self.ctx.metrics.first;
        first.get_or_create(&by_service).observe(time.as_secs_f64());
        // A stream that needed another attempt tells nothing of the wait at one engine.
        if self.attempts.sent.get() == 1 {
            worth::record_first_event(&self.ctx, &self.job);
        }
    }

    fn fail(&mut self, reason: &str) -> Option<Result<Bytes, Cut>> {
        self.cut = true;
        self.log("cut", reason);
        Some(Err(Cut))
    }

    fn log(&self, outcome: &'static str, reason: &str) {
        let endpoint = self.source.as_ref().map(|s| &s.target.id);
        log_stream(self.view(), endpoint, outcome, reason);
    }

    /// Ends the present source.
    fn close(&mut self, outcome: Outcome) {
        if let Some(source) = self.source.take() {
            source.end(&self.ctx, outcome);
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if self.cut || self.whole {
            return;
        }
        let progress = self.last.unwrap_or_default().to_string();
        log_abandoned(&self.ctx, &self.job, &progress);
    }
}
