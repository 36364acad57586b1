//! Planned stop of an entry: what it still accepts after the signal, and when its process ends.

use crate::base::Millis;

/// Longest time for which a stopping entry accepts connections: three times as long as callers cache a response of the
/// directory, with a margin.
pub const ACCEPT_TIME: Millis = Millis(3200);

/// Time before the end of the grace period at which the process exits even if requests are in progress; at most a part of
/// the grace period.
pub const EXIT_MARGIN: Millis = Millis(400);
const MARGIN_PART: u64 = 8;

/// Time before the exit at which each request whose response has not begun gets one, so that it is written before the
/// process ends; at most a part of the grace period, so that it is within the last sixth of it.
pub const ANSWER_MARGIN: Millis = Millis(100);
const ANSWER_PART: u64 = 32;

/// Time after the start of a shutdown for which connections are accepted and open ones are read, so that requests that
/// had arrived by then have their responses.
pub const SETTLE: Millis = Millis(100);

/// Mean `Retry-After` of requests that a stopping entry does not accept. Short, because other entries accept them; spread,
/// because many callers are turned away at once.
pub const RETRY_AFTER: Millis = Millis(60);

/// Times of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopPlan {
    /// When the entry closes its sockets and the connections without a request; early enough before `answer` to answer
    /// what it reads then.
    close: Millis,
    /// When requests whose response has not begun get one.
    answer: Millis,
    /// When the process exits.
    exit: Millis,
}

impl StopPlan {
    /// Plans the stop of a process that receives the signal at `now` and is killed after `grace`.
    pub fn new(grace: Millis, now: Millis) -> Self {
        let exit = now + (grace - EXIT_MARGIN.min(Millis(grace.0 / MARGIN_PART)));
        let answer = exit - ANSWER_MARGIN.min(Millis(grace.0 / ANSWER_PART));
        Self {
            close: (answer - SETTLE).clamp(now, now + ACCEPT_TIME),
            answer,
            exit,
        }
    }

    /// Returns when the entry closes its sockets and the connections without a request.
    pub fn close(&self) -> Millis {
        self.close
    }

    /// Returns when requests whose response has not begun get one.
    pub fn answer(&self) -> Millis {
        self.answer
    }

    /// Returns when the process exits.
    pub fn exit(&self) -> Millis {
        self.exit
    }

    /// Returns whether a request may be accepted that may last until `deadline`: its response is written before the
    /// process ends.
    pub fn admits(&self, deadline: Millis) -> bool {
        deadline <= self.answer
    }
}
