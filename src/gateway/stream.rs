//! Forwards a stream of events, and continues it at another endpoint if the first one fails.

use std::rc::Rc;

use bytes::Bytes;
use futures_util::{stream, Stream};
use http_body_util::BodyExt;
use hyper::{
    body::{Frame, Incoming},
    header::{HeaderMap, CONTENT_LENGTH, TRANSFER_ENCODING},
};

use super::{
    abandoned::log_abandoned,
    accept::Job,
    attempt::{Attempt, Attempts, StreamingResponse, Target},
    catalog::Repeat,
    context::{Context, Running},
    dropped::note_dropped,
    ending::{Ending, Progress},
    evaluate::keep_connection,
    events::Events,
    forward::{attempt, may_repeat},
    load_balancer::Refusal,
    load_view::Outcome,
    log_event, metrics, screen,
};
use crate::{base::Millis, decide::quarantine::Generation, emit};

/// Longest time between two events before another endpoint continues the stream. Endpoints pause for a few hundred
/// milliseconds while they read long prompts; callers give up after about two seconds.
const EVENT_TIMEOUT: Millis = Millis(1200);

/// Interval between attempts to continue a stream while no endpoint has room.
const RESUME_RETRY: Millis = Millis(60);

/// Error that ends the caller's connection because the stream ended before its last event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the stream was cut; resume after its last event")]
pub(super) struct Cut;

/// The endpoint's response that currently supplies the stream.
#[derive(Debug)]
struct Source {
    target: Target,
    headers: HeaderMap,
    body: Incoming,
    /// How far its response has come.
    progress: Progress,
    /// Ends of endpoints that were known of the parts of the prompt when the first event arrived.
    known: Vec<Generation>,
}

impl From<StreamingResponse> for Source {
    fn from(response: StreamingResponse) -> Self {
        Self {
            target: response.target,
            headers: response.head.headers,
            body: response.body,
            progress: Progress::Head,
            known: Vec::new(),
        }
    }
}

/// State of a stream that is forwarded to a caller.
#[derive(Debug)]
pub(super) struct Relay {
    ctx: Rc<Context>,
    job: Job,
    attempts: Attempts,
    events: Events,
    source: Option<Source>,
    /// Whether any event was forwarded.
    begun: bool,
    /// When the last whole event arrived, or the present source began.
    last_progress: Millis,
    /// Whether the stream ended with an error.
    cut: bool,
    /// Whether the stream ended completely.
    whole: bool,
    _running: Running,
}

/// Returns whether a response has neither a length nor chunks, so that it ends with its connection.
fn is_open_ended(headers: &HeaderMap) -> bool {
    !headers.contains_key(CONTENT_LENGTH) && !headers.contains_key(TRANSFER_ENCODING)
}

/// Result of reading the source.
enum ReadResult {
    Events(Bytes),
    End,
    /// The endpoint failed; the text is the reason for the log.
    Broken(&'static str),
    /// The request's deadline passed.
    DeadlinePassed,
    /// A part of the prompt was quarantined before the first event.
    Quarantined,
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
            events: Events::after(job.last_event),
            last_progress: ctx.now(),
            job,
            attempts,
            source: Some(response.into()),
            begun: false,
            cut: false,
            whole: false,
            _running: running,
        }
    }

    /// Returns the body of the response to the caller.
    pub(super) fn into_stream(self) -> impl Stream<Item = Result<Frame<Bytes>, Cut>> {
        stream::unfold(self, |mut relay| async move {
            let item = relay.next().await?;
            Some((item.map(Frame::data), relay))
        })
    }

    async fn next(&mut self) -> Option<Result<Bytes, Cut>> {
        if self.cut {
            return None;
        }
        loop {
            match self.read().await {
                ReadResult::Events(data) => {
                    self.note_events();
                    if !self.begun {
                        self.begun = true;
                        self.log("first-event", "-");
                        let by_service = metrics::ServiceLabel {
                            service: self.job.service.to_string(),
                        };
                        let time = (self.ctx.now() - self.job.start).duration();
                        let first = &self.ctx.metrics.first;
                        first.get_or_create(&by_service).observe(time.as_secs_f64());
                    }
                    return Some(Ok(data));
                }
                ReadResult::End => {
                    self.note_served();
                    self.close(Outcome::Served);
                    self.whole = true;
                    self.log("served", "-");
                    return None;
                }
                ReadResult::DeadlinePassed => {
                    self.close(Outcome::Abandoned);
                    return self.fail("deadline");
                }
                ReadResult::Quarantined => {
                    self.close(Outcome::Abandoned);
                    return self.fail("quarantined");
                }
                ReadResult::Broken(reason) => {
                    self.log("broken", reason);
                    self.close(Outcome::Failed);
                    self.events.discard_partial();
                    if let Err(reason) = self.resume().await {
                        return self.fail(reason);
                    }
                }
            }
        }
    }

    fn fail(&mut self, reason: &str) -> Option<Result<Bytes, Cut>> {
        self.cut = true;
        self.log("cut", reason);
        Some(Err(Cut))
    }

    fn log(&self, outcome: &'static str, reason: &str) {
        let label = metrics::OutcomeLabel { outcome };
        self.ctx.metrics.streams.get_or_create(&label).inc();
        let ms = self.ctx.now() - self.job.start;
        let last = self.events.last().unwrap_or_default();
        let tried = self.attempts.tried();
        let endpoint = tried.last().map_or("-", |id| &*id.0);
        emit!(
            log_event::STREAM,
            "id={} route={} endpoint={endpoint} event={last} attempts={} late={} ms={} prompt={} output={} hint={} outcome={outcome} reason={reason}",
            self.job.id(),
            self.job.route.name,
            self.attempts.sent.get(),
            self.job.retrying,
            ms.0,
            self.job.prompt_tokens,
            self.job.output_max,
            self.job.output_hint.unwrap_or_default()
        );
    }

    /// Ends the present source; after a complete response its connection returns to the pool.
    fn close(&mut self, outcome: Outcome) {
        let Some(source) = self.source.take() else {
            return;
        };
        let idle = source.target.end(outcome);
        if outcome == Outcome::Served {
            keep_connection(&self.ctx, idle, &source.headers);
        }
    }

    async fn read(&mut self) -> ReadResult {
        let Some(source) = &mut self.source else {
            return ReadResult::Broken("no endpoint");
        };
        loop {
            let now = self.ctx.now();
            let left = self.job.deadline - now;
            if left == Millis::ZERO {
                return ReadResult::DeadlinePassed;
            }
            // Bytes that complete no event do not count as progress, so that a stalled stream that trickles is
            // continued elsewhere.
            let timeout = if self.job.route.repeat == Repeat::Resume {
                self.last_progress + EVENT_TIMEOUT - now
            } else {
                left
            };
            let frame = tokio::time::timeout(timeout.min(left).duration(), source.body.frame());
            let frame = tokio::select! {
                frame = frame => frame,
                () = screen::condemned(&self.ctx, &self.job, source.target.probe),
                    if source.progress == Progress::Head =>
                {
                    return ReadResult::Quarantined;
                }
            };
            let data = match frame {
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                Ok(Some(Err(e))) => {
                    self.note_dropped(Ending::of(&e));
                    return ReadResult::Broken("connection lost");
                }
                Ok(None) if self.events.is_partial() => {
                    self.note_dropped(Ending::Closed);
                    return ReadResult::Broken("partial event");
                }
                // Without a length or chunks, an end of the connection is all that tells the end of the stream.
                Ok(None) if source.progress == Progress::Head && is_open_ended(&source.headers) => {
                    self.note_dropped(Ending::Closed);
                    return ReadResult::Broken("no event");
                }
                Ok(None) => return ReadResult::End,
                Err(_) if timeout < left => return ReadResult::Broken("silent"),
                Err(_) => return ReadResult::DeadlinePassed,
            };
            match self.events.push(&data) {
                Ok(events) if events.is_empty() => {}
                Ok(events) => {
                    self.last_progress = self.ctx.now();
                    return ReadResult::Events(events);
                }
                Err(_) => return ReadResult::Broken("event missing"),
            }
        }
    }

    /// Notes that whole events arrived from the present source.
    fn note_events(&mut self) {
        let Some(source) = &mut self.source else {
            return;
        };
        source.target.flight.prompt_read();
        if source.progress == Progress::Head {
            source.progress = Progress::Event;
            source.known = screen::generations(&self.ctx, &self.job);
            return;
        }
        self.note_served();
    }

    /// Records once for each source that its endpoint answers the request without ending.
    fn note_served(&mut self) {
        let Some(source) = &mut self.source else {
            return;
        };
        if source.progress == Progress::Event {
            source.progress = Progress::Body;
            screen::record_served(&self.ctx, &self.job, &source.known);
        }
    }

    /// Logs and counts that the connection of the present source ended.
    fn note_dropped(&self, ending: Ending) {
        let Some(source) = &self.source else {
            return;
        };
        let (id, known) = (&source.target.id, &source.target.known);
        note_dropped(&self.ctx, &self.job, id, known, source.progress, ending);
    }

    /// Continues the stream at another endpoint, after the last event that was forwarded.
    ///
    /// # Errors
    ///
    /// Returns the reason for the log if the stream cannot be continued.
    async fn resume(&mut self) -> Result<(), &'static str> {
        if self.job.route.repeat != Repeat::Resume {
            return Err("not resumable");
        }
        loop {
            if !may_repeat(&self.ctx, &self.job, &self.attempts, true) {
                return Err("no attempt left");
            }
            let last = self.events.last();
            let result = attempt(&self.ctx, &self.job, &self.attempts, last).await;
            match result {
                Ok(Attempt::Streaming(response)) => {
                    self.source = Some((*response).into());
                    self.last_progress = self.ctx.now();
                    self.log("resumed", "-");
                    return Ok(());
                }
                Ok(_) => {}
                Err(Refusal::Quarantined(_)) => return Err("quarantined"),
                Err(_) if self.ctx.now() + RESUME_RETRY >= self.job.deadline => {
                    return Err("no endpoint has room");
                }
                Err(_) => tokio::time::sleep(RESUME_RETRY.duration()).await,
            }
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if self.cut || self.whole {
            return;
        }
        let progress = self.events.last().unwrap_or_default().to_string();
        log_abandoned(&self.ctx, &self.job, &progress);
    }
}
