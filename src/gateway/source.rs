//! An endpoint's response that supplies a stream of events.

use std::rc::Rc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{
    body::Incoming,
    header::{HeaderMap, CONTENT_LENGTH, TRANSFER_ENCODING},
};

use super::{
    attempt::{Attempts, StreamingResponse, Target},
    buffers::Held,
    context::Context,
    dropped::note_dropped,
    ending::{Ending, Progress},
    evaluate::keep_connection,
    events::Events,
    job::Job,
    load_view::Outcome,
    screen,
};
use crate::{
    base::Millis,
    decide::{
        event_order::Beginning,
        numbering::{EventId, Numbering},
        quarantine::Generation,
    },
};

/// Longest time between two events before another endpoint may continue the stream. Endpoints pause for a few hundred
/// milliseconds while they read long prompts; callers give up after about two seconds.
pub(super) const EVENT_TIMEOUT: Millis = Millis(1200);

/// Events after the first one from which a stream tells the speed of its endpoint; with fewer, the delay of a single packet
/// counts for too much.
const STEP_EVENTS_MIN: u64 = 3;

/// The response, and how far it has come.
#[derive(Debug)]
pub(super) struct Source {
    pub(super) target: Target,
    headers: HeaderMap,
    body: Incoming,
    events: Events,
    /// Memory of the event that is not whole yet.
    held: Held,
    progress: Progress,
    /// Ends of endpoints that were known of the parts of the prompt when the first event arrived.
    known: Vec<Generation>,
    /// Number of events that arrived first, and when.
    first: Option<(u64, Millis)>,
    /// When the last whole event arrived, or the response began.
    pub(super) heard_at: Millis,
}

/// Result of reading a source.
#[derive(Debug)]
pub(super) enum ReadResult {
    /// Whole events that are new to the caller.
    Events(Bytes),
    /// Comments, by which an endpoint keeps its connection open; they are no progress.
    Comments(Bytes),
    /// The response is complete.
    End,
    /// No whole event arrived in time.
    Silent,
    /// The endpoint failed; the text is the reason for the log.
    Broken(&'static str),
    /// The request's deadline passed.
    DeadlinePassed,
    /// A part of the prompt was quarantined before the first event.
    Quarantined,
}

/// Returns whether a response has neither a length nor chunks, so that it ends with its connection.
fn is_open_ended(headers: &HeaderMap) -> bool {
    !headers.contains_key(CONTENT_LENGTH) && !headers.contains_key(TRANSFER_ENCODING)
}

impl Source {
    /// Creates a source from a response whose caller has all events up to `last`.
    pub(super) fn new(
        ctx: &Context,
        attempts: &Attempts,
        response: StreamingResponse,
        last: Option<EventId>,
    ) -> Self {
        let target = &response.target;
        let start = Beginning {
            last,
            stream: attempts.numbering.get(),
            endpoint: ctx.balancer.borrow().numbering(&target.id, target.run),
        };
        Self {
            events: Events::new(start),
            target: response.target,
            headers: response.head.headers,
            body: response.body,
            held: Held::new(&ctx.callers),
            progress: Progress::Head,
            known: Vec::new(),
            first: None,
            heard_at: ctx.now(),
        }
    }

    /// Returns the last event that was read or that the caller had before.
    pub(super) fn last(&self) -> Option<EventId> {
        self.events.last()
    }

    /// Returns the number of the endpoint's events that were read and are new to the caller.
    pub(super) fn count(&self) -> u64 {
        self.events.count()
    }

    /// Returns the numbering of the events that the caller has, as far as it is known.
    pub(super) fn numbering(&self) -> Option<Numbering> {
        self.events.numbering()
    }

    /// Returns whether no endpoint can continue the stream, because it is not known which events the caller has.
    pub(super) fn is_unresumable(&self) -> bool {
        self.events.is_unresumable()
    }

    /// Returns whether the endpoint has sent an event.
    pub(super) fn has_begun(&self) -> bool {
        self.events.has_begun()
    }

    /// Returns the outcome at the endpoint if its response ends now before it is complete.
    pub(super) fn unfinished(&self, now: Millis) -> Outcome {
        if now < self.heard_at + EVENT_TIMEOUT {
            return Outcome::Abandoned;
        }
        Outcome::Failed
    }

    /// Ends the response; after a complete one its connection returns to the pool.
    pub(super) fn end(self, ctx: &Context, outcome: Outcome) {
        let idle = self.target.end(outcome);
        if outcome == Outcome::Served {
            keep_connection(ctx, idle, &self.headers);
        }
    }

    /// Reads until whole events arrive, `until` at the latest. Bytes that complete no event do not count.
    pub(super) async fn read(&mut self, ctx: &Rc<Context>, job: &Job, until: Millis) -> ReadResult {
        if let Some(fault) = self.events.fault() {
            return ReadResult::Broken(fault.reason());
        }
        loop {
            let now = ctx.now();
            if now >= job.deadline {
                return ReadResult::DeadlinePassed;
            }
            let wait = until.min(job.deadline) - now;
            let frame = tokio::time::timeout(wait.duration(), self.body.frame());
            let frame = tokio::select! {
                frame = frame => frame,
                () = screen::condemned(ctx, job, self.target.probe),
                    if self.progress == Progress::Head =>
                {
                    return ReadResult::Quarantined;
                }
            };
            let data = match frame {
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                Ok(Some(Err(e))) => {
                    self.note_dropped(ctx, job, Ending::of(&e));
                    return ReadResult::Broken("connection lost");
                }
                Ok(None) if self.events.is_partial() => {
                    self.note_dropped(ctx, job, Ending::Closed);
                    return ReadResult::Broken("partial event");
                }
                // Without a length or chunks, an end of the connection is all that tells the end of the stream.
                Ok(None) if !self.events.has_begun() && is_open_ended(&self.headers) => {
                    self.note_dropped(ctx, job, Ending::Closed);
                    return ReadResult::Broken("no event");
                }
                Ok(None) if self.events.is_behind() => {
                    return ReadResult::Broken("shorter run");
                }
                Ok(None) => return self.finish(ctx, job),
                Err(_) if until < job.deadline => return ReadResult::Silent,
                Err(_) => return ReadResult::DeadlinePassed,
            };
            self.target.flight.traffic.received += data.len();
            let pushed = self.events.push(&data);
            if self.held.resize(self.events.buffered()).is_err() {
                return ReadResult::Broken("no memory");
            }
            match pushed {
                Ok(events) if events.is_empty() => {}
                Ok(comments) if !self.events.has_advanced() => {
                    return ReadResult::Comments(comments);
                }
                Ok(events) => {
                    self.note_events(ctx, job);
                    return ReadResult::Events(events);
                }
                Err(e) => return ReadResult::Broken(e.reason()),
            }
        }
    }

    /// Ends the response, which is complete; an event that was withheld comes before the end.
    fn finish(&mut self, ctx: &Rc<Context>, job: &Job) -> ReadResult {
        match self.events.end() {
            Ok(events) if !events.is_empty() => {
                self.note_events(ctx, job);
                ReadResult::Events(events)
            }
            Ok(_) => {
                self.note_served(ctx, job);
                self.report_step(ctx, job);
                self.learn_numbering(ctx);
                ReadResult::End
            }
            Err(e) => ReadResult::Broken(e.reason()),
        }
    }

    /// Records how the endpoint numbers events, as its complete response showed.
    fn learn_numbering(&self, ctx: &Context) {
        if let Some(numbering) = self.events.learned() {
            let mut balancer = ctx.balancer.borrow_mut();
            balancer.learn_numbering(&self.target.id, self.target.run, numbering);
        }
    }

    /// Notes that whole events arrived.
    fn note_events(&mut self, ctx: &Rc<Context>, job: &Job) {
        self.heard_at = ctx.now();
        self.target.flight.prompt_read();
        if self.first.is_none() {
            self.first = Some((self.events.count(), self.heard_at));
        }
        if self.progress == Progress::Head {
            self.progress = Progress::Event;
            self.known = screen::generations(ctx, job);
            return;
        }
        self.note_served(ctx, job);
    }

    /// Records once that the endpoint answers the request without ending.
    fn note_served(&mut self, ctx: &Rc<Context>, job: &Job) {
        if self.progress == Progress::Event {
            self.progress = Progress::Body;
            screen::record_served(ctx, job, &self.known);
        }
    }

    /// Reports the time between the events of the whole response, relative to the usual step of the engine.
    fn report_step(&self, ctx: &Context, job: &Job) {
        let Some((first, at)) = self.first else {
            return;
        };
        let events = self.events.count() - first;
        if events < STEP_EVENTS_MIN {
            return;
        }
        let catalog = ctx.catalog.borrow();
        let spec = catalog.as_ref().and_then(|c| c.services.get(&job.service));
        let Some(engine) = spec.and_then(|s| s.engine) else {
            return;
        };
        let now = ctx.now();
        let mut balancer = ctx.balancer.borrow_mut();
        let running = balancer.running(&self.target.id, engine.slots, now);
        let time = (self.heard_at - at).0 as f64 / events as f64;
        balancer.report_step(&self.target.id, time / engine.step(running), now);
    }

    /// Logs and counts that the connection ended.
    fn note_dropped(&self, ctx: &Rc<Context>, job: &Job, ending: Ending) {
        note_dropped(ctx, job, &self.target, self.progress, ending);
    }
}
