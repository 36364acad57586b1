//! Planned stop of an entry: what it still accepts after the signal, and when its process ends.

use crate::base::Millis;

/// Longest time for which a stopping entry accepts connections: three times as long as callers cache a response of the
/// directory, with a margin.
pub const ACCEPT_TIME: Millis = Millis(3200);

/// Time before the end of the grace period at which the process exits even if requests are in progress; at most a part of
/// the grace period.
pub const EXIT_MARGIN: Millis = Millis(400);
const MARGIN_PART: u64 = 8;

/// Mean `Retry-After` of requests that a stopping entry does not accept. Short, because other entries accept them; spread,
/// because many callers are turned away at once.
pub const RETRY_AFTER: Millis = Millis(60);

/// Times of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopPlan {
    /// When the entry closes its sockets and the connections without a request; not after `exit`.
    close: Millis,
    /// When the process exits.
    exit: Millis,
}

impl StopPlan {
    /// Plans the stop of a process that receives the signal at `now` and is killed after `grace`.
    pub fn new(grace: Millis, now: Millis) -> Self {
        let exit = now + (grace - EXIT_MARGIN.min(Millis(grace.0 / MARGIN_PART)));
        Self {
            close: exit.min(now + ACCEPT_TIME),
            exit,
        }
    }

    /// Returns when the entry closes its sockets and the connections without a request.
    pub fn close(&self) -> Millis {
        self.close
    }

    /// Returns when the process exits.
    pub fn exit(&self) -> Millis {
        self.exit
    }

    /// Returns whether a request may be accepted that may last until `deadline`: its response ends before the process.
    pub fn admits(&self, deadline: Millis) -> bool {
        deadline <= self.exit
    }
}
