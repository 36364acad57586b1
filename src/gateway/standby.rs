//! Finds the endpoint that sends the next event of a stream whose endpoint is silent or has failed.
//!
//! A silent endpoint is read on beside the endpoints that are to continue the stream: the one with the next event first
//! goes on, and the others are closed.

use std::{pin::pin, rc::Rc};

use futures_util::{
    future::{Fuse, FusedFuture, FutureExt},
    stream::{FuturesUnordered, StreamExt},
};

use super::{
    attempt::{Attempt, Attempts},
    context::Context,
    ended::discount_ended,
    forward::{attempt, may_join, Repetition},
    job::Job,
    load_balancer::Refusal,
    load_view::Outcome,
    race::RETRY_INTERVAL,
    source::{ReadResult, Source, EVENT_TIMEOUT},
    stream::log_stream,
};
use crate::{base::Millis, decide::numbering::EventId};

/// A stream, as far as its caller has it.
#[derive(Clone, Copy, Debug)]
pub(super) struct StreamView<'a> {
    pub(super) ctx: &'a Rc<Context>,
    pub(super) job: &'a Job,
    pub(super) attempts: &'a Attempts,
    /// Last event that the caller has.
    pub(super) last: Option<EventId>,
}

/// The endpoint that goes on with a stream.
#[derive(Debug)]
pub(super) struct Next {
    pub(super) source: Source,
    /// Its next events, or the end of the stream.
    pub(super) result: ReadResult,
    /// Whether it is another endpoint than before.
    pub(super) resumed: bool,
}

/// Result of an endpoint that may go on with a stream.
enum SourceResult {
    /// What was read of its response.
    Read(Box<Source>, ReadResult),
    /// Its response cannot be used.
    Unusable,
    DeadlinePassed,
    /// No endpoint may get the request now.
    Refused(Refusal),
}

impl StreamView<'_> {
    /// Reads the next events of an endpoint: of `source`, or else of one that is to continue the stream.
    async fn read_source(self, number: u32, source: Option<Source>) -> (u32, SourceResult) {
        let mut source = match source {
            Some(source) => Box::new(source),
            None => match self.attempt().await {
                Ok(source) => source,
                Err(result) => return (number, result),
            },
        };
        let mut result = source.read(self.ctx, self.job, self.job.deadline).await;
        while matches!(result, ReadResult::Comments(_)) {
            result = source.read(self.ctx, self.job, self.job.deadline).await;
        }
        (number, SourceResult::Read(source, result))
    }

    async fn attempt(self) -> Result<Box<Source>, SourceResult> {
        let Self { ctx, attempts, .. } = self;
        attempts.schedule(Millis::MAX);
        match attempt(ctx, self.job, attempts, self.last).await {
            Ok(Attempt::Streaming(response)) => {
                attempts.schedule(ctx.now() + EVENT_TIMEOUT);
                Ok(Box::new(Source::new(ctx, attempts, *response, self.last)))
            }
            Ok(Attempt::TimedOut) => Err(SourceResult::DeadlinePassed),
            Ok(_) => Err(SourceResult::Unusable),
            Err(refusal) => Err(SourceResult::Refused(refusal)),
        }
    }

    /// Finds the endpoint that goes on with the stream; `present` is the one that is silent, if it did not fail.
    ///
    /// # Errors
    ///
    /// Returns the reason for the log if no endpoint goes on.
    pub(super) async fn next(self, present: Option<Source>) -> Result<Next, &'static str> {
        let Self { ctx, attempts, .. } = self;
        let mut race = FuturesUnordered::new();
        let mut newest = 0;
        let supplier = attempts.supplier.borrow().clone();
        let mut broken = supplier.clone().filter(|_| present.is_none());
        if present.is_some() {
            race.push(self.read_source(newest, present));
        }
        let mut check = pin!(Fuse::terminated());
        let mut checked = false;
        attempts.schedule(ctx.now());
        loop {
            let (number, result) = tokio::select! {
                biased;
                Some(result) = race.next() => result,
                ended = check.as_mut(), if !check.is_terminated() => {
                    self.schedule_replacement(ended || race.is_empty());
                    continue;
                }
                () = attempts.due(ctx) => {
                    match may_join(ctx, self.job, attempts) {
                        Repetition::Allowed => {
                            newest += 1;
                            race.push(self.read_source(newest, None));
                        }
                        Repetition::NoRoom => self.try_later(race.is_empty())?,
                        Repetition::Never if !checked => {
                            checked = true;
                            check.set(discount_ended(self, broken.take()).fuse());
                            attempts.schedule(Millis::MAX);
                        }
                        _ if race.is_empty() => return Err("no attempt left"),
                        Repetition::NoBudget => attempts.schedule(ctx.now() + RETRY_INTERVAL),
                        Repetition::Never => attempts.schedule(Millis::MAX),
                    }
                    continue;
                }
            };
            if let SourceResult::Read(source, result) = result {
                let empty = matches!(result, ReadResult::End) && !source.has_begun();
                if empty && !race.is_empty() {
                    // Another endpoint is still at work on the stream, so that this may not be its end.
                    source.end(ctx, Outcome::Abandoned);
                    continue;
                }
                if matches!(result, ReadResult::Events(_) | ReadResult::End) {
                    let other = || source.target.supplier();
                    let supplier = supplier.filter(|_| number == 0).unwrap_or_else(other);
                    attempts.supplier.replace(Some(supplier));
                    return Ok(Next {
                        source: *source,
                        result,
                        resumed: number > 0,
                    });
                }
                if number == 0 {
                    if source.is_unresumable() {
                        self.end(*source, &result);
                        return Err("contradictory events");
                    }
                    broken.clone_from(&supplier);
                    checked = false;
                }
                self.end(*source, &result);
                match result {
                    ReadResult::DeadlinePassed => return Err("deadline"),
                    ReadResult::Quarantined => self.give_up(race.is_empty())?,
                    _ => self.schedule_replacement(number == newest || race.is_empty()),
                }
                continue;
            }
            match result {
                SourceResult::DeadlinePassed => return Err("deadline"),
                SourceResult::Refused(Refusal::Quarantined(_)) => self.give_up(race.is_empty())?,
                SourceResult::Refused(_) => self.try_later(race.is_empty())?,
                _ => self.schedule_replacement(number == newest || race.is_empty()),
            }
        }
    }

    /// Ends a response that did not go on.
    fn end(self, source: Source, result: &ReadResult) {
        let ReadResult::Broken(reason) = result else {
            let outcome = source.unfinished(self.ctx.now());
            return source.end(self.ctx, outcome);
        };
        let id = Some(&source.target.id);
        log_stream(self, id, "broken", reason);
        source.end(self.ctx, Outcome::Failed);
    }

    /// Looks for another endpoint at once, unless a newer attempt is in place of the one that ended.
    fn schedule_replacement(self, needed: bool) {
        if needed {
            self.attempts.schedule(self.ctx.now());
        }
    }

    /// Looks for no other endpoint, because a part of the prompt is quarantined.
    ///
    /// # Errors
    ///
    /// Returns an error if no endpoint is left to read.
    fn give_up(self, none_left: bool) -> Result<(), &'static str> {
        self.attempts.schedule(Millis::MAX);
        if none_left {
            return Err("quarantined");
        }
        Ok(())
    }

    /// Looks for another endpoint again a little later.
    ///
    /// # Errors
    ///
    /// Returns an error if no endpoint is left to read and the deadline is near.
    fn try_later(self, none_left: bool) -> Result<(), &'static str> {
        let at = self.ctx.now() + RETRY_INTERVAL;
        if none_left && at >= self.job.deadline {
            return Err("no endpoint has room");
        }
        self.attempts.schedule(at);
        Ok(())
    }
}
