//! Deadlines, read-back timeouts and the start of appends.

use super::{pending::Phase, Action, ClaimRunner};
use crate::{
    base::{Millis, RequestId},
    kernel::{Body, Record},
    wire::{NotRun, RunOutcome, SettleReply},
};

impl<P> ClaimRunner<P> {
    /// Returns the time at which [`ClaimRunner::poll`] must be called at the latest, or `None` if nothing is scheduled.
    pub fn wake(&self) -> Option<Millis> {
        let due = self.outbox.due(self.timing.linger);
        let due = due
            .filter(|_| self.reachable)
            .map(|t| t.max(self.blocked_until));
        let timeout = Some(self.next_timeout).filter(|t| *t != Millis::MAX);
        due.into_iter().chain(timeout).min()
    }

    /// Applies timeouts, starts the next append and returns the actions since the last call.
    pub fn poll(&mut self, now: Millis) -> Vec<Action<P>> {
        if now >= self.next_timeout {
            self.next_timeout = Millis::MAX;
            self.expire(now);
        }
        let due = self.outbox.due(self.timing.linger);
        if due.is_some_and(|t| t <= now) && !self.is_blocked(now) {
            if let Some(record) = self.outbox.start_append(now) {
                self.mark_sent(now, &record);
                self.out.push(Action::Append(record));
            }
        }
        std::mem::take(&mut self.out)
    }

    fn mark_sent(&mut self, now: Millis, record: &Record) {
        let Body::Claims(claims) = &record.body else {
            return;
        };
        for c in claims {
            if let Some(request) = self.requests.get_mut(&c.request) {
                request.phase = Phase::Sent(record.id, now);
            }
        }
        self.schedule_timeout(now + self.timing.readback);
    }

    /// Ends requests and settlements that timed out, and schedules the next timeout.
    fn expire(&mut self, now: Millis) {
        if now < self.blocked_until {
            self.schedule_timeout(self.blocked_until);
        }
        let ids: Vec<_> = self.requests.keys().copied().collect();
        for id in ids {
            self.expire_request(now, &id);
        }
        let (overdue, settles): (Vec<_>, Vec<_>) =
            self.settles.iter().partition(|s| s.deadline <= now);
        self.settles = settles;
        for s in overdue {
            self.out
                .push(Action::Settled(s.ticket, SettleReply::Unknown));
        }
        if let Some(next) = self.settles.iter().map(|s| s.deadline).min() {
            self.schedule_timeout(next);
        }
    }

    fn expire_request(&mut self, now: Millis, id: &RequestId) {
        let readback = self.timing.readback;
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let limit = match request.phase {
            Phase::Queued(since) | Phase::Sent(_, since) => since + readback,
            Phase::Voiding(until) => until,
            Phase::Running | Phase::Recorded(_) => Millis::MAX,
        };
        let last_deadline = request.waiters.iter().map(|(_, d)| *d).max();
        let claiming = matches!(request.phase, Phase::Queued(_) | Phase::Sent(..));
        if now >= limit || (claiming && last_deadline.is_none_or(|d| d <= now)) {
            return match request.phase {
                Phase::Queued(_) => {
                    self.outbox.remove_claim(id);
                    self.finish(id, RunOutcome::NotRun(NotRun::Log));
                }
                Phase::Sent(..) => self.abandon(now, id),
                _ => self.finish(id, RunOutcome::NotRun(NotRun::Endpoint)),
            };
        }
        let outcome = match request.phase {
            Phase::Queued(_) | Phase::Sent(..) | Phase::Running => RunOutcome::MayHaveRun,
            _ => RunOutcome::NotRun(NotRun::Endpoint),
        };
        let (overdue, waiters): (Vec<_>, Vec<_>) = request
            .waiters
            .iter()
            .copied()
            .partition(|(_, d)| *d <= now);
        request.waiters = waiters;
        let next = request.waiters.iter().map(|(_, d)| *d).min();
        self.schedule_timeout(next.unwrap_or(Millis::MAX).min(limit));
        for (ticket, _) in overdue {
            self.reply(ticket, outcome.clone());
        }
    }
}
