//! What happens after an attempt brought no whole answer.
//!
//! | loss | repeatable, nothing delivered | repeatable, tokens delivered | non-repeatable |
//! |---|---|---|---|
//! | not sent, or the agent guarantees that it did not run | again | resume | again, same attempt number |
//! | attempt is void | again | resume | again, next attempt number |
//! | agent lost, answer cut | again | resume | settle |
//! | answer crossed, of another version, or its hash differs | again | stop | settle |
//! | request id used otherwise or too old | stop | stop | stop |
//! | deadline passed | stop | stop | stop |
//! | earlier call in progress | stop | stop | stop |
//!
//! Each further attempt needs a token of the service's [`RetryBudget`] and an attempt left; otherwise the request stops.

use crate::{base::Percent, wire::NotRun};

/// Parts of a token, so that a percentage of a request is a whole number.
const TOKEN: u32 = 100;

/// Tokens that a budget holds at most: a burst of failures after a quiet time stays this small.
pub const BURST_TOKENS: u32 = 10;

/// Bounds retries to a share of requests: each request adds a share of a token, each retry takes one.
///
/// After `n` requests there were at most `n * share + burst` retries.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    parts: u32,
    /// Most parts that are held.
    limit: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::with_burst(BURST_TOKENS)
    }
}

impl RetryBudget {
    /// Creates a budget that holds at most `burst` tokens, and begins with them.
    pub fn with_burst(burst: u32) -> Self {
        let limit = burst.saturating_mul(TOKEN);
        Self {
            parts: limit,
            limit,
        }
    }

    /// Notes a request.
    pub fn record_request(&mut self, share: Percent) {
        self.parts = (self.parts + u32::from(share.0)).min(self.limit);
    }

    /// Takes a token; returns whether there was one.
    pub fn try_take(&mut self, share: Percent) -> bool {
        if share.0 == 0 || self.parts < TOKEN {
            return false;
        }
        self.parts -= TOKEN;
        true
    }
}

/// Why an attempt brought no whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// Nothing was sent.
    Unsent,
    /// The agent guarantees that the attempt did not and will not run.
    NotRun(NotRun),
    /// An earlier call holds the claim.
    InProgress,
    /// The agent was lost; what arrived is good.
    Lost,
    /// What arrived is wrong or has holes.
    Corrupt,
    /// The caller's deadline passed.
    Deadline,
}

/// How far a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Attempts made.
    pub attempts: u32,
    /// Attempts allowed.
    pub allowed: u32,
    /// Output tokens that the caller has.
    pub delivered: u32,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Run it on another agent; the caller has nothing yet.
    Retry {
        /// Whether the attempt number increases, because the last one is void.
        advance: bool,
    },
    /// Continue after the delivered tokens on another agent of the same version.
    Resume,
    /// Ask another agent of the service for the fate of the attempt.
    Settle,
    /// Answer with the outcome of the loss.
    Stop,
}

/// Decides what follows a loss; takes a token if another attempt follows.
pub fn decide(
    progress: &Progress,
    loss: AttemptFailure,
    budget: &mut RetryBudget,
    share: Percent,
) -> RetryDecision {
    let next = match loss {
        AttemptFailure::Deadline | AttemptFailure::InProgress => RetryDecision::Stop,
        AttemptFailure::NotRun(NotRun::Digest | NotRun::Expired) => RetryDecision::Stop,
        AttemptFailure::Lost | AttemptFailure::Corrupt if !progress.repeatable => {
            RetryDecision::Settle
        }
        AttemptFailure::Corrupt if progress.delivered > 0 => RetryDecision::Stop,
        _ if progress.delivered > 0 && !progress.repeatable => RetryDecision::Stop,
        _ if progress.delivered > 0 => RetryDecision::Resume,
        AttemptFailure::NotRun(NotRun::Void) => RetryDecision::Retry { advance: true },
        AttemptFailure::Unsent
        | AttemptFailure::NotRun(_)
        | AttemptFailure::Lost
        | AttemptFailure::Corrupt => RetryDecision::Retry { advance: false },
    };
    let further = matches!(next, RetryDecision::Retry { .. } | RetryDecision::Resume);
    if further && !may_retry(progress, budget, share) {
        return RetryDecision::Stop;
    }
    next
}

/// Takes a token for a further attempt; returns whether one may follow.
pub fn may_retry(progress: &Progress, budget: &mut RetryBudget, share: Percent) -> bool {
    progress.attempts < progress.allowed && budget.try_take(share)
}
