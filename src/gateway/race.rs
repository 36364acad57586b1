//! Sends a request to endpoints until one of them responds. A silent endpoint is waited for until another one has
//! responded in its place, because it may still be at work.

use std::{ops::ControlFlow, rc::Rc};

use bytes::Bytes;
use futures_util::stream::{FuturesUnordered, StreamExt};
use http_body_util::Full;
use hyper::Response;

use super::{
    attempt::{Attempt, Attempts, StreamingResponse},
    context::Context,
    forward::{attempt, may_join, may_repeat, Repetition},
    job::Job,
    load_balancer::Refusal,
    memory,
    reply::Reject,
};
use crate::base::Millis;

/// Interval between attempts to send a request once more while no endpoint has room or the retry budget is empty.
pub(super) const RETRY_INTERVAL: Millis = Millis(60);

/// Mean `Retry-After` of the entry's response if endpoints refused the request or could not be reached.
const REFUSED_RETRY_AFTER: Millis = Millis(300);

/// Largest number of attempts of one request that end before the request is sent.
const UNSENT_MAX: usize = 4;

/// Response of an endpoint to forward.
#[derive(Debug)]
pub(super) enum Answer {
    /// A response that is forwarded while its body arrives.
    Streaming(Box<StreamingResponse>),
    /// A complete response.
    Complete(Response<Full<Bytes>>),
}

/// Attempts of one request that ended without a usable response.
#[derive(Debug, Default)]
struct Ended {
    /// Whether the request may have run.
    ran: bool,
    /// Attempts that ended before the request was sent.
    unsent: usize,
    /// Complete response with a server error.
    failure: Option<Response<Full<Bytes>>>,
}

impl Ended {
    /// Returns the answer after the last attempt ended; `reject` is the rejection if the request did not run.
    fn answer(self, reject: Reject) -> Result<Answer, Reject> {
        match self.failure {
            Some(res) => Ok(Answer::Complete(res)),
            None if self.ran => Err(Reject::Lost),
            None => Err(reject),
        }
    }

    /// Records the result of an attempt; breaks with the answer to the request if there is one.
    fn record(&mut self, result: Attempt) -> ControlFlow<Result<Answer, Reject>> {
        match result {
            Attempt::Streaming(res) => return ControlFlow::Break(Ok(Answer::Streaming(res))),
            Attempt::Complete(res) => return ControlFlow::Break(Ok(Answer::Complete(res))),
            Attempt::TimedOut => {
                let failure = self.failure.take().map(Answer::Complete);
                return ControlFlow::Break(failure.ok_or(Reject::TimedOut));
            }
            Attempt::NotSent => self.unsent += 1,
            Attempt::NotRun => {}
            Attempt::Lost => self.ran = true,
            Attempt::Failed(res) => {
                self.ran = true;
                self.failure = Some(res);
            }
        }
        ControlFlow::Continue(())
    }

    /// Returns whether another attempt may be made now beside those in flight, which may have run.
    fn may_join(&self, ctx: &Context, job: &Job, attempts: &Attempts) -> Repetition {
        if self.unsent >= UNSENT_MAX {
            return Repetition::Never;
        }
        may_join(ctx, job, attempts)
    }

    /// Returns whether another attempt may follow the last one.
    fn may_repeat(&self, ctx: &Context, job: &Job, attempts: &Attempts) -> bool {
        self.unsent < UNSENT_MAX && may_repeat(ctx, job, attempts, self.ran) == Repetition::Allowed
    }
}

/// Returns when another attempt may begin beside those in flight, after one was refused.
fn retry_at(ctx: &Context, refusal: Refusal) -> Millis {
    match refusal {
        Refusal::Quarantined(_) => Millis::MAX,
        Refusal::Unavailable(_) | Refusal::Overloaded(_) => ctx.now() + RETRY_INTERVAL,
    }
}

/// Makes the attempt with this number.
async fn make_attempt(
    ctx: &Rc<Context>,
    job: &Job,
    attempts: &Attempts,
    number: u32,
) -> (u32, Result<Attempt, Refusal>) {
    attempts.schedule(Millis::MAX);
    (number, attempt(ctx, job, attempts, job.last_event).await)
}

/// Sends a request to endpoints until one of them responds, no attempt is in flight and none may follow, or the deadline
/// passes. An attempt that is silent gets another one beside it.
///
/// # Errors
///
/// Returns the rejection with which the entry responds if it has no endpoint's response to forward.
pub(super) async fn forward(
    ctx: &Rc<Context>,
    job: &Job,
    attempts: &Attempts,
) -> Result<Answer, Reject> {
    memory::check(ctx, job)?;
    let mut ended = Ended::default();
    let mut race = FuturesUnordered::new();
    let mut newest = 1;
    race.push(make_attempt(ctx, job, attempts, newest));
    loop {
        let result = tokio::select! {
            biased;
            Some(result) = race.next() => result,
            () = attempts.due(ctx) => {
                match ended.may_join(ctx, job, attempts) {
                    Repetition::Allowed => {
                        newest += 1;
                        race.push(make_attempt(ctx, job, attempts, newest));
                    }
                    Repetition::NoRoom | Repetition::NoBudget => {
                        attempts.schedule(ctx.now() + RETRY_INTERVAL);
                    }
                    Repetition::Never => attempts.schedule(Millis::MAX),
                }
                continue;
            }
        };
        let (number, result) = result;
        match result {
            Ok(result) => {
                if let ControlFlow::Break(answer) = ended.record(result) {
                    return answer;
                }
            }
            Err(refusal) if race.is_empty() => return ended.answer(refusal.into()),
            Err(refusal) => {
                attempts.schedule(retry_at(ctx, refusal));
                continue;
            }
        }
        if !race.is_empty() {
            // An older attempt that ends changes nothing: the newest one is in its place.
            if number == newest {
                attempts.schedule(ctx.now());
            }
            continue;
        }
        if !ended.may_repeat(ctx, job, attempts) {
            let wait = crate::base::jitter(REFUSED_RETRY_AFTER);
            return ended.answer(Reject::Refused(wait));
        }
        newest += 1;
        race.push(make_attempt(ctx, job, attempts, newest));
    }
}
