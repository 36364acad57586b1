//! Passes a stream of events on, and continues it at another endpoint if its own is lost.

use std::rc::Rc;

use bytes::Bytes;
use futures_util::{stream, Stream};
use http_body_util::BodyExt;
use hyper::{
    body::{Frame, Incoming},
    header::HeaderMap,
};

use super::{
    accept::Job,
    catalog::Repeat,
    context::{Context, Running},
    evaluate::keep,
    events::Events,
    forward::{attempt, may_repeat, Attempt, Attempts, Begun, Target},
    log_event, metrics,
    view::Outcome,
};
use crate::{base::Millis, emit};

/// Longest pause between events before another endpoint continues the stream. Endpoints pause for a few hundred
/// milliseconds when they read long prompts; callers give up after about two seconds.
const PAUSE: Millis = Millis(1200);

/// Time between attempts to continue a stream while no endpoint has room.
const RESUME_RETRY: Millis = Millis(60);

/// A stream that ended before its last event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the stream was cut; resume after its last event")]
pub(super) struct Cut;

/// One source of the stream.
#[derive(Debug)]
struct Source {
    target: Target,
    headers: HeaderMap,
    body: Incoming,
}

/// State of a stream that is passed on.
#[derive(Debug)]
pub(super) struct Relay {
    ctx: Rc<Context>,
    job: Job,
    attempts: Attempts,
    events: Events,
    source: Option<Source>,
    /// Whether any event was passed on.
    begun: bool,
    /// When the last whole event came, or the present source began.
    progress: Millis,
    cut: bool,
    _running: Running,
}

/// What a source brought.
enum Step {
    Events(Bytes),
    End,
    Broken(&'static str),
    Late,
}

impl Relay {
    pub(super) fn new(
        ctx: &Rc<Context>,
        job: Job,
        attempts: Attempts,
        begun: Begun,
        running: Running,
    ) -> Self {
        Self {
            ctx: ctx.clone(),
            events: Events::after(job.last),
            progress: ctx.now(),
            job,
            attempts,
            source: Some(Source {
                target: begun.target,
                headers: begun.head.headers,
                body: begun.body,
            }),
            begun: false,
            cut: false,
            _running: running,
        }
    }

    /// Returns the body of the response.
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
            match self.step().await {
                Step::Events(data) => {
                    if let Some(source) = &mut self.source {
                        source.target.flight.has_read();
                    }
                    if !self.begun {
                        self.begun = true;
                        self.log("first-event", "-");
                        let by_service = metrics::ByService {
                            service: self.job.service.to_string(),
                        };
                        let time = (self.ctx.now() - self.job.start).duration();
                        let first = &self.ctx.metrics.first;
                        first.get_or_create(&by_service).observe(time.as_secs_f64());
                    }
                    return Some(Ok(data));
                }
                Step::End => {
                    self.close(Outcome::Served);
                    self.log("served", "-");
                    return None;
                }
                Step::Late => {
                    self.close(Outcome::Abandoned);
                    return self.fail("deadline");
                }
                Step::Broken(reason) => {
                    self.log("broken", reason);
                    self.close(Outcome::Failed);
                    self.events.restart();
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
        let step = metrics::Step { outcome };
        self.ctx.metrics.streams.get_or_create(&step).inc();
        let ms = self.ctx.now() - self.job.start;
        let last = self.events.last().unwrap_or_default();
        let endpoint = self.attempts.tried.last();
        let endpoint = endpoint.map_or("-", |id| &*id.0);
        emit!(
            log_event::STREAM,
            "id={} route={} endpoint={endpoint} event={last} attempts={} ms={} prompt={} output={} hint={} outcome={outcome} reason={reason}",
            self.job.id(),
            self.job.route.name,
            self.attempts.sent,
            ms.0,
            self.job.prompt,
            self.job.output,
            self.job.hint.unwrap_or_default()
        );
    }

    /// Ends the present source; a whole response lets its connection be used again.
    fn close(&mut self, outcome: Outcome) {
        let Some(source) = self.source.take() else {
            return;
        };
        let idle = source.target.end(outcome);
        if outcome == Outcome::Served {
            keep(&self.ctx, idle, &source.headers);
        }
    }

    async fn step(&mut self) -> Step {
        let Some(source) = &mut self.source else {
            return Step::Broken("no endpoint");
        };
        loop {
            let now = self.ctx.now();
            let left = self.job.deadline - now;
            if left == Millis::ZERO {
                return Step::Late;
            }
            // Bytes that complete no event are no progress.
            let pause = if self.job.route.repeat == Repeat::Resume {
                self.progress + PAUSE - now
            } else {
                left
            };
            let frame = tokio::time::timeout(pause.min(left).duration(), source.body.frame()).await;
            let data = match frame {
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                Ok(Some(Err(_))) => return Step::Broken("connection lost"),
                Ok(None) if self.events.is_partial() => return Step::Broken("partial event"),
                Ok(None) => return Step::End,
                Err(_) if pause < left => return Step::Broken("silent"),
                Err(_) => return Step::Late,
            };
            match self.events.push(&data) {
                Ok(events) if events.is_empty() => {}
                Ok(events) => {
                    self.progress = self.ctx.now();
                    return Step::Events(events);
                }
                Err(_) => return Step::Broken("event missing"),
            }
        }
    }

    /// Continues the stream at another endpoint.
    async fn resume(&mut self) -> Result<(), &'static str> {
        if self.job.route.repeat != Repeat::Resume {
            return Err("not resumable");
        }
        loop {
            if !may_repeat(&self.ctx, &self.job, &self.attempts, true) {
                return Err("no attempt left");
            }
            let last = self.events.last();
            let result = attempt(&self.ctx, &self.job, &mut self.attempts, last).await;
            match result {
                Ok(Attempt::Begun(begun)) => {
                    self.source = Some(Source {
                        target: begun.target,
                        headers: begun.head.headers,
                        body: begun.body,
                    });
                    self.progress = self.ctx.now();
                    self.log("resumed", "-");
                    return Ok(());
                }
                Ok(_) => {}
                Err(_) if self.ctx.now() + RESUME_RETRY >= self.job.deadline => {
                    return Err("no endpoint has room");
                }
                Err(_) => tokio::time::sleep(RESUME_RETRY.duration()).await,
            }
        }
    }
}
