//! Retry policy: what follows an attempt that brought no complete response.
//!
//! | failure | repeatable, nothing delivered | repeatable, tokens delivered | non-repeatable |
//! |---|---|---|---|
//! | not sent, or the agent guarantees that it did not run | retry | resume | retry, same attempt number |
//! | attempt is void | retry | resume | retry, next attempt number |
//! | agent lost, response truncated | retry | resume | settle |
//! | response mismatched, of another version, or its hash differs | retry | stop | settle |
//! | request id used for another request, or too old | stop | stop | stop |
//! | deadline passed | stop | stop | stop |
//! | earlier call in progress | stop | stop | stop |
//!
//! Each further attempt needs a token of the service's [`RetryBudget`] and must stay within the allowed number of
//! attempts; otherwise the request ends with the outcome of the failure.

use crate::{base::Percent, wire::NotRun};

/// Parts that make up a token, so that a percentage of a token is a whole number.
const TOKEN_PARTS: i32 = 100;

/// Tokens that a budget holds at most by default: limits the burst of retries after a time without failures.
pub const BURST_TOKENS: u32 = 10;

/// Smallest number of processes among which a burst is divided, for a process that does not know all others yet.
const PROCESSES_MIN: u32 = 4;

/// Parts of a burst for each process: one for itself, and one for the process that replaces it after a restart.
const BURSTS_PER_PROCESS: u32 = 2;

/// Limits retries to a share of the requests: each request adds a share of a token, each retry takes a whole one.
///
/// After `n` requests there were at most `n * share + burst` retries. Where several processes share a burst, the part of
/// each can be less than a token. It is not rounded up, because the sum over the processes would exceed the burst; a retry
/// is then allowed with the probability that corresponds to the balance.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Balance, in parts of a token; negative by less than a token after a retry that was allowed by chance.
    parts: i32,
    /// Largest value of `parts`.
    limit: i32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::with_burst(BURST_TOKENS)
    }
}

impl RetryBudget {
    /// Creates a full budget that holds at most `burst` tokens.
    pub fn with_burst(burst: u32) -> Self {
        Self::filled(burst_parts(burst, 1))
    }

    /// Creates a full budget of one of `processes` processes that share a burst of `burst` tokens.
    pub fn shared(burst: u32, processes: u32) -> Self {
        Self::filled(shared_parts(burst, processes))
    }

    fn filled(limit: i32) -> Self {
        Self {
            parts: limit,
            limit,
        }
    }

    /// Changes the number of processes that share a burst of `burst` tokens.
    pub fn share_among(&mut self, burst: u32, processes: u32) {
        self.limit = shared_parts(burst, processes);
        self.parts = self.parts.min(self.limit);
    }

    /// Adds a request's share of a token.
    pub fn record_request(&mut self, share: Percent) {
        self.parts = (self.parts + i32::from(share.0)).min(self.limit);
    }

    /// Takes a token; returns `false` if none is left or a `share` of 0 % forbids retries.
    pub fn try_take(&mut self, share: Percent) -> bool {
        self.try_take_drawn(share, RetryDraw::random())
    }

    /// Like [`RetryBudget::try_take`], for a retry that may ask several times.
    pub fn try_take_drawn(&mut self, share: Percent, draw: RetryDraw) -> bool {
        let allowed = self.allows(share, draw);
        if allowed {
            self.parts -= TOKEN_PARTS;
        }
        allowed
    }

    /// Returns whether a token could be taken.
    pub fn allows(&self, share: Percent, draw: RetryDraw) -> bool {
        share.0 > 0 && self.parts >= self.needed(draw)
    }

    /// Returns the balance with which a retry is allowed.
    fn needed(&self, draw: RetryDraw) -> i32 {
        if self.limit >= TOKEN_PARTS {
            return TOKEN_PARTS;
        }
        draw.0
    }
}

/// Balance, in parts of a token, with which one retry is allowed if the budget never holds a whole token. It is drawn once
/// for each retry, so that one that asks again is no more likely to be allowed.
#[derive(Clone, Copy, Debug)]
pub struct RetryDraw(i32);

impl RetryDraw {
    /// Draws a balance at random.
    pub fn random() -> Self {
        Self(fastrand::i32(1..=TOKEN_PARTS))
    }
}

/// Returns a process's part of a burst that `processes` processes share, in parts of a token.
fn shared_parts(burst: u32, processes: u32) -> i32 {
    burst_parts(burst, processes.max(PROCESSES_MIN) * BURSTS_PER_PROCESS)
}

fn burst_parts(burst: u32, divisor: u32) -> i32 {
    let parts = u64::from(burst) * TOKEN_PARTS as u64 / u64::from(divisor);
    i32::try_from(parts).unwrap_or(i32::MAX)
}

/// Why an attempt brought no complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// Nothing of the request was sent.
    Unsent,
    /// The agent guarantees that the attempt did not and will not run.
    NotRun(NotRun),
    /// An earlier call of the same request holds the claim and is still running.
    InProgress,
    /// The agent was lost, or the response was truncated; what arrived is correct.
    Lost,
    /// The response is wrong or has gaps.
    Corrupt,
    /// The caller's deadline passed.
    Deadline,
}

/// Progress of a request over all its attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Number of attempts made so far.
    pub attempts: u32,
    /// Largest number of attempts.
    pub allowed: u32,
    /// Number of output tokens delivered to the caller.
    pub delivered: u32,
}

/// What follows a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Run the request on another agent; nothing was delivered to the caller yet.
    Retry {
        /// Whether the attempt number increases, because the last attempt is void.
        advance: bool,
    },
    /// Continue after the delivered tokens on another agent of the same version.
    Resume,
    /// Have another agent of the service settle the attempt, that is, determine its final outcome.
    Settle,
    /// End the request with the outcome of the failure.
    Stop,
}

/// Decides what follows a failed attempt; takes a token if another attempt follows.
pub fn decide(
    progress: &Progress,
    failure: AttemptFailure,
    budget: &mut RetryBudget,
    share: Percent,
) -> RetryDecision {
    let decision = match failure {
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
    let further = matches!(
        decision,
        RetryDecision::Retry { .. } | RetryDecision::Resume
    );
    if further && !may_retry(progress, budget, share) {
        return RetryDecision::Stop;
    }
    decision
}

/// Returns whether a further attempt may follow; takes a token for it if so.
pub fn may_retry(progress: &Progress, budget: &mut RetryBudget, share: Percent) -> bool {
    progress.attempts < progress.allowed && budget.try_take(share)
}
