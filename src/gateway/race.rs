//! Sends a request to endpoints until one of them responds. A silent endpoint is waited for until another one has
//! responded in its place, because it may still be at work.

use std::rc::Rc;

use bytes::Bytes;
use futures_util::stream::{FuturesUnordered, StreamExt};
use http_body_util::Full;
use hyper::Response;

use super::{
    accept::Job,
    attempt::{Attempt, Attempts, StreamingResponse},
    context::Context,
    forward::{attempt, may_repeat, Repetition},
    load_balancer::Refusal,
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

    fn may_repeat(&self, ctx: &Context, job: &Job, attempts: &Attempts, ran: bool) -> Repetition {
        if self.unsent >= UNSENT_MAX {
            return Repetition::Never;
        }
        may_repeat(ctx, job, attempts, ran)
    }
}

/// Makes the attempt with this number.
async fn numbered(
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
    let mut ended = Ended::default();
    let mut race = FuturesUnordered::new();
    let mut newest = 1;
    race.push(numbered(ctx, job, attempts, newest));
    loop {
        let result = tokio::select! {
            biased;
            Some(result) = race.next() => result,
            () = attempts.due(ctx) => {
                match ended.may_repeat(ctx, job, attempts, true) {
                    Repetition::Allowed => {
                        newest += 1;
                        race.push(numbered(ctx, job, attempts, newest));
                    }
                    Repetition::NoBudget => attempts.schedule(ctx.now() + RETRY_INTERVAL),
                    Repetition::Never => attempts.schedule(Millis::MAX),
                }
                continue;
            }
        };
        let (number, result) = result;
        match result {
            Ok(Attempt::Streaming(res)) => return Ok(Answer::Streaming(res)),
            Ok(Attempt::Complete(res)) => return Ok(Answer::Complete(res)),
            Ok(Attempt::TimedOut) => {
                let failure = ended.failure.map(Answer::Complete);
                return failure.ok_or(Reject::TimedOut);
            }
            Ok(Attempt::NotSent) => ended.unsent += 1,
            Ok(Attempt::NotRun) => {}
            Ok(Attempt::Lost) => ended.ran = true,
            Ok(Attempt::Failed(res)) => {
                ended.ran = true;
                ended.failure = Some(res);
            }
            Err(refusal) if race.is_empty() => return ended.answer(refusal.into()),
            Err(Refusal::Quarantined(_)) => {
                attempts.schedule(Millis::MAX);
                continue;
            }
            Err(_) => {
                attempts.schedule(ctx.now() + RETRY_INTERVAL);
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
        if ended.may_repeat(ctx, job, attempts, ended.ran) != Repetition::Allowed {
            let wait = crate::base::jitter(REFUSED_RETRY_AFTER);
            return ended.answer(Reject::Refused(wait));
        }
        newest += 1;
        race.push(numbered(ctx, job, attempts, newest));
    }
}
