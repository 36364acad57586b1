//! The state machine.

use super::{
    memory::Memory,
    outbox::Outbox,
    resolve::{self, Own},
    work::{Phase, Settle, Work},
    Action, AppendResult, RunResult, Submission, Ticket, Timing, Verdict, APPEND_BACKOFF,
    PRIOR_VOIDS_MAX, REQUESTS_MAX, WAITERS_MAX,
};
use crate::{
    base::{Attempt, Digest, HashMap, HashSet, Instance, Millis, ProcessName, RecordId, RequestId},
    kernel::{
        Body, Claim, Done, Effect, Entry, Kernel, Outcome, Record, Refusal, Void, MEDIA_MAX,
        OUTCOME_MAX,
    },
    wire::{NotRun, RunOutcome, SettleReply},
};

/// Claims attempts, runs them once and records their outcomes; `P` is what is needed to run a request.
#[derive(Debug)]
pub struct ClaimRunner<P> {
    pub(super) rules: Timing,
    pub(super) own: Own,
    /// Instance of voids on behalf of others. It differs from the claiming instance, whose voids also undo its claims.
    pub(super) settler: Instance,
    pub(super) kernel: Kernel,
    /// At most [`REQUESTS_MAX`].
    pub(super) works: HashMap<RequestId, Work<P>>,
    /// At most [`REQUESTS_MAX`].
    pub(super) settles: Vec<Settle>,
    /// Attempts that were claimed and given up, until their void is read back; at most [`REQUESTS_MAX`] and those in hand.
    pub(super) given_up: HashSet<(RequestId, Attempt)>,
    pub(super) outbox: Outbox,
    pub(super) memory: Memory,
    /// Whether the stream can be read.
    pub(super) reachable: bool,
    /// Time until which appends are not tried, because the log refused one.
    pub(super) blocked: Millis,
    /// No deadline or time limit lies before this time.
    pub(super) alarm: Millis,
    pub(super) out: Vec<Action<P>>,
}

fn not_run<T: From<RunOutcome>>(reason: NotRun) -> T {
    RunOutcome::NotRun(reason).into()
}

impl From<RunOutcome> for Verdict {
    fn from(outcome: RunOutcome) -> Self {
        Self::Failed(outcome)
    }
}

impl<P> ClaimRunner<P> {
    /// Creates a runner that has read nothing yet; `kernel` is the state before the first retained record.
    pub fn new(holder: ProcessName, instance: Instance, kernel: Kernel, rules: Timing) -> Self {
        Self {
            rules,
            own: Own { holder, instance },
            settler: Instance(!instance.0),
            kernel,
            works: HashMap::default(),
            settles: Vec::new(),
            given_up: HashSet::default(),
            outbox: Outbox::default(),
            memory: Memory::default(),
            reachable: false,
            blocked: Millis::ZERO,
            alarm: Millis::MAX,
            out: Vec::new(),
        }
    }

    /// Notes that the stream lost its beginning before this process read it.
    pub fn set_truncated(&mut self) {
        self.kernel.set_truncated();
    }

    /// Takes over changed settings.
    pub fn set_timing(&mut self, rules: Timing) {
        self.rules = rules;
    }

    /// Returns the number of requests in hand and of records that wait for an append.
    pub fn pending(&self) -> usize {
        self.works.len() + self.outbox.backlog()
    }

    /// Returns the claims as far as they were read.
    pub fn kernel(&self) -> &Kernel {
        &self.kernel
    }

    pub(super) fn is_blocked(&self, now: Millis) -> bool {
        let hangs = |f: &super::outbox::Flight| f.since + self.rules.readback <= now;
        !self.reachable || now < self.blocked || self.outbox.flight.as_ref().is_some_and(hangs)
    }

    pub(super) fn alarm_at(&mut self, time: Millis) {
        self.alarm = self.alarm.min(time);
    }

    pub(super) fn answer(&mut self, ticket: Ticket, verdict: impl Into<Verdict>) {
        self.out.push(Action::Reply(ticket, verdict.into()));
    }

    /// Takes a request; its answer may be among the next actions.
    pub fn submit(&mut self, now: Millis, ticket: Ticket, s: Submission<P>) {
        if let Some(work) = self.works.get_mut(&s.id) {
            let verdict = match &work.phase {
                _ if work.digest != s.digest => not_run(NotRun::Digest),
                Phase::Recorded(outcome) => resolve::done(&self.memory, &s.id, outcome),
                _ if work.attempt != s.attempt || work.waiters.len() >= WAITERS_MAX => {
                    Verdict::Failed(RunOutcome::InProgress {
                        holder: self.own.holder.clone(),
                    })
                }
                _ => {
                    work.waiters.push((ticket, s.deadline));
                    return self.alarm_at(s.deadline);
                }
            };
            return self.answer(ticket, verdict);
        }
        let (kernel, memory) = (&self.kernel, &self.memory);
        let known = resolve::request(kernel, memory, &self.own, &s.id, s.digest, s.attempt);
        // The table shows an own claim as possibly run until its void is read back.
        let open = matches!(known, None | Some(Verdict::Failed(RunOutcome::MayHaveRun)));
        if open && self.given_up.contains(&(s.id, s.attempt)) {
            return self.answer(ticket, RunOutcome::NotRun(NotRun::Log));
        }
        if let Some(verdict) = known {
            return self.answer(ticket, verdict);
        }
        if let Some(reason) = s.refusal {
            return self.answer(ticket, RunOutcome::NotRun(reason));
        }
        if self.is_blocked(now) {
            return self.answer(ticket, RunOutcome::NotRun(NotRun::Log));
        }
        let full = self.pending() + self.given_up.len() >= REQUESTS_MAX;
        if full || !self.void_prior(now, &s.id, s.attempt) {
            return self.answer(ticket, RunOutcome::NotRun(NotRun::Busy));
        }
        self.claim(now, ticket, s);
    }

    fn claim(&mut self, now: Millis, ticket: Ticket, s: Submission<P>) {
        self.outbox.claim(
            now,
            Claim {
                request: s.id,
                digest: s.digest,
                attempt: s.attempt,
                holder: self.own.holder.clone(),
                instance: self.own.instance,
            },
        );
        self.alarm_at((now + self.rules.readback).min(s.deadline));
        let work = Work {
            attempt: s.attempt,
            digest: s.digest,
            phase: Phase::Queued(now),
            payload: Some(s.payload),
            waiters: vec![(ticket, s.deadline)],
        };
        self.works.insert(s.id, work);
    }

    /// Voids earlier attempts that no record names, because the kernel accepts attempts only in order.
    ///
    /// Returns `false` if an earlier attempt is claimed or too many are missing.
    fn void_prior(&mut self, now: Millis, id: &RequestId, attempt: Attempt) -> bool {
        let Some(Attempt(last)) = resolve::void_up_to(&self.kernel, id) else {
            return false;
        };
        if attempt.0 == 0 || attempt.0 > last.saturating_add(PRIOR_VOIDS_MAX) {
            return false;
        }
        for prior in last + 1..attempt.0 {
            self.void(now, *id, Attempt(prior), self.settler);
        }
        true
    }

    fn void(&mut self, now: Millis, request: RequestId, attempt: Attempt, instance: Instance) {
        let void = Void {
            request,
            attempt,
            instance,
        };
        self.outbox.void(now, void);
    }

    /// Decides the fate of an attempt; the answer may be among the next actions.
    pub fn settle(
        &mut self,
        now: Millis,
        ticket: Ticket,
        id: RequestId,
        attempt: Attempt,
        deadline: Millis,
    ) {
        let known = resolve::attempt(&self.kernel, &self.memory, &id, attempt);
        let in_hand = self.works.get(&id).filter(|w| w.attempt == attempt);
        let in_hand = in_hand.map(|w| match &w.phase {
            Phase::Recorded(outcome) => resolve::settled(&self.memory, &id, outcome),
            _ => SettleReply::Claimed {
                holder: self.own.holder.clone(),
            },
        });
        let reply = match in_hand.or(known) {
            Some(reply) => reply,
            None => {
                let full = self.settles.len() + self.outbox.backlog() >= REQUESTS_MAX
                    || self.is_blocked(now);
                if full || !self.void_prior(now, &id, attempt) {
                    return self.out.push(Action::Settled(ticket, SettleReply::Unknown));
                }
                self.void(now, id, attempt, self.settler);
                self.settles.push(Settle {
                    ticket,
                    id,
                    attempt,
                    deadline,
                });
                return self.alarm_at(deadline);
            }
        };
        self.out.push(Action::Settled(ticket, reply));
    }

    /// Takes the result of the append in flight.
    pub fn complete_append(&mut self, now: Millis, id: RecordId, end: AppendResult) {
        let Some(flight) = self.outbox.land(id) else {
            return;
        };
        match (end, flight.record.body) {
            (AppendResult::Appended, _) => {}
            (_, Body::Claims(claims)) => {
                for c in &claims {
                    self.lost(now, c, id, end);
                }
            }
            (_, body) => self.outbox.retry(Record { id, body }),
        }
        if end != AppendResult::Appended {
            self.block(now);
        }
    }

    /// Gives up a claim whose append failed, unless it was read back already.
    fn lost(&mut self, now: Millis, c: &Claim, record: RecordId, end: AppendResult) {
        let waits = |w: &Work<P>| matches!(w.phase, Phase::Sent(r, _) if r == record);
        if !self.works.get(&c.request).is_some_and(waits) {
            return;
        }
        if end == AppendResult::Refused {
            self.end(&c.request, RunOutcome::NotRun(NotRun::Log));
        } else {
            self.give_up(now, &c.request);
        }
    }

    /// Decides not to run a claim that may be in the log; no other process can run it.
    pub(super) fn give_up(&mut self, now: Millis, id: &RequestId) {
        let Some(attempt) = self.works.get(id).map(|w| w.attempt) else {
            return;
        };
        self.void(now, *id, attempt, self.own.instance);
        self.given_up.insert((*id, attempt));
        self.end(id, RunOutcome::NotRun(NotRun::Log));
    }

    /// Ends a request and answers everybody who waits for it.
    pub(super) fn end(&mut self, id: &RequestId, verdict: impl Into<Verdict>) {
        let verdict = verdict.into();
        let Some(work) = self.works.remove(id) else {
            return;
        };
        for (ticket, _) in work.waiters {
            self.answer(ticket, verdict.clone());
        }
    }

    /// Refuses what waits for an append; nothing of it is in the log.
    fn block(&mut self, now: Millis) {
        self.blocked = now + APPEND_BACKOFF;
        self.alarm_at(self.blocked);
        self.refuse_queued();
    }

    fn refuse_queued(&mut self) {
        let queued =
            |(id, w): (&RequestId, &Work<P>)| matches!(w.phase, Phase::Queued(_)).then_some(*id);
        let queued: Vec<_> = self.works.iter().filter_map(queued).collect();
        for id in queued {
            self.outbox.withdraw(&id);
            self.end(&id, RunOutcome::NotRun(NotRun::Log));
        }
        for s in std::mem::take(&mut self.settles) {
            self.out
                .push(Action::Settled(s.ticket, SettleReply::Unknown));
        }
    }

    /// Takes note whether the stream can be read and has been read to its end once.
    pub fn set_reachable(&mut self, reachable: bool) {
        if self.reachable && !reachable {
            self.refuse_queued();
        }
        self.reachable = reachable;
    }

    /// Returns whether the stream can be read and has been read to its end once.
    pub fn is_reachable(&self) -> bool {
        self.reachable
    }

    /// Applies a record that was read.
    ///
    /// # Errors
    ///
    /// Returns the kernel's refusal; the state is unchanged.
    pub fn apply(&mut self, now: Millis, entry: &Entry) -> Result<(), Refusal> {
        let step = self.kernel.apply(entry)?;
        let Ok(record) = Record::decode(&entry.data) else {
            return Ok(());
        };
        if let (Body::Claims(claims), Effect::Batch(first)) = (&record.body, &step.effect) {
            for (claim, first) in claims.iter().zip(first) {
                self.read_back(now, record.id, claim, *first);
            }
        }
        if let Body::Voids(voids) = &record.body {
            for v in voids.iter().filter(|v| v.instance == self.own.instance) {
                self.given_up.remove(&(v.request, v.attempt));
            }
        }
        let ids: Vec<_> = match &record.body {
            Body::Claims(b) => b.iter().map(|c| c.request).collect(),
            Body::Voids(b) => b.iter().map(|v| v.request).collect(),
            Body::Done(b) => b.iter().map(|d| d.request).collect(),
            Body::Publish(_) | Body::Lease(_) | Body::Window(_) => Vec::new(),
        };
        for id in &ids {
            self.refresh(id);
        }
        Ok(())
    }

    /// Takes the read-back of a claim; only this starts runs.
    fn read_back(&mut self, now: Millis, record: RecordId, claim: &Claim, first: bool) {
        let id = claim.request;
        let Some(work) = self.works.get_mut(&id) else {
            return;
        };
        let Phase::Sent(sent, since) = work.phase else {
            return;
        };
        if sent != record || claim.instance != self.own.instance {
            return;
        }
        if !first {
            let (kernel, memory, own) = (&self.kernel, &self.memory, &self.own);
            let verdict = resolve::request(kernel, memory, own, &id, claim.digest, claim.attempt);
            // The log's time is that of the claim here, so that ids that lie ahead are found too.
            let expired = kernel.claims().is_expired(kernel.time(), &id);
            let reason = if expired {
                NotRun::Expired
            } else {
                NotRun::Busy
            };
            return self.end(&id, verdict.unwrap_or(not_run(reason)));
        }
        let deadline = work.waiters.iter().map(|(_, d)| *d).max();
        let deadline = deadline.unwrap_or(Millis::ZERO);
        if now >= deadline.min(since + self.rules.readback) {
            return self.give_up(now, &id);
        }
        let Some(payload) = work.payload.take() else {
            return;
        };
        work.phase = Phase::Running;
        self.out.push(Action::Run {
            id,
            payload,
            deadline,
        });
    }

    /// Ends what waited for a record of a request.
    fn refresh(&mut self, id: &RequestId) {
        let (kernel, memory) = (&self.kernel, &self.memory);
        let fate = |attempt| resolve::attempt(kernel, memory, id, attempt);
        let void = |attempt| fate(attempt) == Some(SettleReply::Void);
        let own = resolve::holds(kernel, &self.own, id);
        self.given_up
            .retain(|(i, a)| i != id || own == Some(*a) || fate(*a).is_none());
        let mut settled = Vec::new();
        self.settles.retain(|s| {
            let reply = (s.id == *id).then(|| fate(s.attempt)).flatten();
            let waits = reply.is_none();
            settled.extend(reply.map(|r| Action::Settled(s.ticket, r)));
            waits
        });
        let ended = self.works.get(id).and_then(|w| match &w.phase {
            Phase::Voiding(_) if void(w.attempt) => Some(not_run(NotRun::Endpoint)),
            Phase::Recorded(outcome) if matches!(fate(w.attempt), Some(SettleReply::Done(_))) => {
                Some(resolve::done(memory, id, outcome))
            }
            _ => None,
        });
        self.out.extend(settled);
        if let Some(verdict) = ended {
            self.end(id, verdict);
        }
    }

    /// Takes the end of a run.
    pub fn complete_run(&mut self, now: Millis, id: RequestId, end: RunResult) {
        let Some(work) = self.works.get_mut(&id) else {
            return;
        };
        if work.phase != Phase::Running {
            return;
        }
        let attempt = work.attempt;
        match end {
            RunResult::Unknown => self.end(&id, RunOutcome::MayHaveRun),
            RunResult::NotSent => {
                let until = now + self.rules.readback;
                work.phase = Phase::Voiding(until);
                self.given_up.insert((id, attempt));
                self.void(now, id, attempt, self.own.instance);
                self.alarm_at(until);
            }
            RunResult::Responded {
                status,
                mut media,
                body,
            } => {
                if media.len() > MEDIA_MAX {
                    media = "application/octet-stream".to_owned();
                }
                let small = body.len() <= OUTCOME_MAX;
                let outcome = Outcome {
                    status,
                    media: media.clone(),
                    digest: Digest::of(&body),
                    body: small.then(|| body.to_vec()),
                };
                let verdict = Verdict::Done {
                    status,
                    media,
                    body: body.clone(),
                };
                work.phase = Phase::Recorded(outcome.clone());
                let waiters = std::mem::take(&mut work.waiters);
                if !small {
                    self.memory.insert(id, body);
                }
                let done = Done {
                    request: id,
                    attempt,
                    instance: self.own.instance,
                    outcome,
                };
                self.outbox.done(now, done);
                for (ticket, _) in waiters {
                    self.answer(ticket, verdict.clone());
                }
            }
        }
    }
}
