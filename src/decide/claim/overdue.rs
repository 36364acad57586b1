//! Deadlines, read-back limits and the start of appends.

use super::{work::Phase, Action, ClaimRunner};
use crate::{
    base::{Millis, RequestId},
    kernel::{Body, Record},
    wire::{NotRun, RunOutcome, SettleReply},
};

impl<P> ClaimRunner<P> {
    /// Returns when [`ClaimRunner::poll`] has something to do even if nothing happens until then.
    pub fn wake(&self) -> Option<Millis> {
        let due = self.outbox.due(self.rules.linger);
        let due = due.filter(|_| self.reachable).map(|t| t.max(self.blocked));
        let alarm = Some(self.alarm).filter(|t| *t != Millis::MAX);
        due.into_iter().chain(alarm).min()
    }

    /// Ends what is overdue, starts the next append and returns what to do.
    pub fn poll(&mut self, now: Millis) -> Vec<Action<P>> {
        if now >= self.alarm {
            self.alarm = Millis::MAX;
            self.expire(now);
        }
        let due = self.outbox.due(self.rules.linger);
        if due.is_some_and(|t| t <= now) && !self.is_blocked(now) {
            if let Some(record) = self.outbox.take(now) {
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
            if let Some(work) = self.works.get_mut(&c.request) {
                work.phase = Phase::Sent(record.id, now);
            }
        }
        self.alarm_at(now + self.rules.readback);
    }

    /// Ends what is overdue and finds the next alarm.
    fn expire(&mut self, now: Millis) {
        if now < self.blocked {
            self.alarm_at(self.blocked);
        }
        let ids: Vec<_> = self.works.keys().copied().collect();
        for id in ids {
            self.expire_work(now, &id);
        }
        let (overdue, settles): (Vec<_>, Vec<_>) =
            self.settles.iter().partition(|s| s.deadline <= now);
        self.settles = settles;
        for s in overdue {
            self.out
                .push(Action::Settled(s.ticket, SettleReply::Unknown));
        }
        if let Some(next) = self.settles.iter().map(|s| s.deadline).min() {
            self.alarm_at(next);
        }
    }

    fn expire_work(&mut self, now: Millis, id: &RequestId) {
        let readback = self.rules.readback;
        let Some(work) = self.works.get_mut(id) else {
            return;
        };
        let limit = match work.phase {
            Phase::Queued(since) | Phase::Sent(_, since) => since + readback,
            Phase::Voiding(until) => until,
            Phase::Running | Phase::Recorded(_) => Millis::MAX,
        };
        let last = work.waiters.iter().map(|(_, d)| *d).max();
        let claiming = matches!(work.phase, Phase::Queued(_) | Phase::Sent(..));
        if now >= limit || (claiming && last.is_none_or(|d| d <= now)) {
            return match work.phase {
                Phase::Queued(_) => {
                    self.outbox.withdraw(id);
                    self.end(id, RunOutcome::NotRun(NotRun::Log));
                }
                Phase::Sent(..) => self.give_up(now, id),
                _ => self.end(id, RunOutcome::NotRun(NotRun::Endpoint)),
            };
        }
        let outcome = match work.phase {
            Phase::Queued(_) | Phase::Sent(..) | Phase::Running => RunOutcome::MayHaveRun,
            _ => RunOutcome::NotRun(NotRun::Endpoint),
        };
        let (overdue, waiters): (Vec<_>, Vec<_>) =
            work.waiters.iter().copied().partition(|(_, d)| *d <= now);
        work.waiters = waiters;
        let next = work.waiters.iter().map(|(_, d)| *d).min();
        self.alarm_at(next.unwrap_or(Millis::MAX).min(limit));
        for (ticket, _) in overdue {
            self.answer(ticket, outcome.clone());
        }
    }
}
