//! State machine of the claim runner.

use super::{
    body_cache::BodyCache,
    outbox::{InFlight, Outbox},
    pending::{PendingRequest, PendingSettle, Phase},
    resolve::{self, Identity},
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

/// Claims attempts, runs them once and records their outcomes.
///
/// `P` is the data that the driver needs to run a request.
#[derive(Debug)]
pub struct ClaimRunner<P> {
    pub(super) timing: Timing,
    pub(super) own: Identity,
    /// Instance in void records that settle attempts of other agents. It differs from the instance of claims, whose
    /// void records also cancel its own claims.
    pub(super) settle_instance: Instance,
    pub(super) kernel: Kernel,
    /// At most [`REQUESTS_MAX`].
    pub(super) requests: HashMap<RequestId, PendingRequest<P>>,
    /// At most [`REQUESTS_MAX`].
    pub(super) settles: Vec<PendingSettle>,
    /// Claimed attempts that were abandoned, until their void record is read back; at most [`REQUESTS_MAX`] plus the
    /// requests in progress.
    pub(super) abandoned: HashSet<(RequestId, Attempt)>,
    pub(super) outbox: Outbox,
    pub(super) bodies: BodyCache,
    /// Whether the claims stream can be read and has been read to its end once.
    pub(super) reachable: bool,
    /// Time until which no append is tried, because one has failed.
    pub(super) blocked_until: Millis,
    /// Lower bound of all deadlines and time limits; `Millis::MAX` if there is none.
    pub(super) next_timeout: Millis,
    /// Actions for the next [`ClaimRunner::poll`].
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
    /// Creates a runner that has read no record yet; `kernel` is the state before the first retained record.
    pub fn new(holder: ProcessName, instance: Instance, kernel: Kernel, timing: Timing) -> Self {
        Self {
            timing,
            own: Identity { holder, instance },
            settle_instance: Instance(!instance.0),
            kernel,
            requests: HashMap::default(),
            settles: Vec::new(),
            abandoned: HashSet::default(),
            outbox: Outbox::default(),
            bodies: BodyCache::default(),
            reachable: false,
            blocked_until: Millis::ZERO,
            next_timeout: Millis::MAX,
            out: Vec::new(),
        }
    }

    /// Tells the kernel that the log deleted the oldest records of the claims stream before this process read them.
    pub fn set_truncated(&mut self) {
        self.kernel.set_truncated();
    }

    /// Sets the time limits.
    pub fn set_timing(&mut self, timing: Timing) {
        self.timing = timing;
    }

    /// Returns the number of requests in progress plus that of voids and outcomes that wait for an append.
    pub fn pending(&self) -> usize {
        self.requests.len() + self.outbox.backlog()
    }

    /// Returns the kernel with the claims that were read so far.
    pub fn kernel(&self) -> &Kernel {
        &self.kernel
    }

    /// Returns whether new claims cannot be appended and read back now.
    pub(super) fn is_blocked(&self, now: Millis) -> bool {
        let hangs = |f: &InFlight| f.since + self.timing.readback <= now;
        !self.reachable
            || now < self.blocked_until
            || self.outbox.in_flight.as_ref().is_some_and(hangs)
    }

    pub(super) fn schedule_timeout(&mut self, time: Millis) {
        self.next_timeout = self.next_timeout.min(time);
    }

    pub(super) fn reply(&mut self, ticket: Ticket, verdict: impl Into<Verdict>) {
        self.out.push(Action::Reply(ticket, verdict.into()));
    }

    /// Submits a request; the reply may be among the next actions.
    pub fn submit(&mut self, now: Millis, ticket: Ticket, s: Submission<P>) {
        if let Some(request) = self.requests.get_mut(&s.id) {
            let verdict = match &request.phase {
                _ if request.digest != s.digest => not_run(NotRun::Digest),
                Phase::Recorded(outcome) => resolve::done_verdict(&self.bodies, &s.id, outcome),
                _ if request.attempt != s.attempt || request.waiters.len() >= WAITERS_MAX => {
                    Verdict::Failed(RunOutcome::InProgress {
                        holder: self.own.holder.clone(),
                    })
                }
                _ => {
                    request.waiters.push((ticket, s.deadline));
                    return self.schedule_timeout(s.deadline);
                }
            };
            return self.reply(ticket, verdict);
        }
        let (kernel, bodies) = (&self.kernel, &self.bodies);
        let known = resolve::request_verdict(kernel, bodies, &self.own, &s.id, s.digest, s.attempt);
        // The claims table shows this agent's claim as possibly run until the void record is read back.
        let open = matches!(known, None | Some(Verdict::Failed(RunOutcome::MayHaveRun)));
        if open && self.abandoned.contains(&(s.id, s.attempt)) {
            return self.reply(ticket, RunOutcome::NotRun(NotRun::Log));
        }
        if let Some(verdict) = known {
            return self.reply(ticket, verdict);
        }
        if let Some(reason) = s.refusal {
            return self.reply(ticket, RunOutcome::NotRun(reason));
        }
        if self.is_blocked(now) {
            return self.reply(ticket, RunOutcome::NotRun(NotRun::Log));
        }
        let full = self.pending() + self.abandoned.len() >= REQUESTS_MAX;
        if full || !self.void_prior(now, &s.id, s.attempt) {
            return self.reply(ticket, RunOutcome::NotRun(NotRun::Busy));
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
        self.schedule_timeout((now + self.timing.readback).min(s.deadline));
        let request = PendingRequest {
            attempt: s.attempt,
            digest: s.digest,
            phase: Phase::Queued(now),
            payload: Some(s.payload),
            waiters: vec![(ticket, s.deadline)],
        };
        self.requests.insert(s.id, request);
    }

    /// Voids the earlier attempts that no record decides yet, because the kernel accepts attempts only in order.
    ///
    /// Returns `false` if an attempt is claimed, or if `attempt` is more than [`PRIOR_VOIDS_MAX`] after the latest void
    /// one.
    fn void_prior(&mut self, now: Millis, id: &RequestId, attempt: Attempt) -> bool {
        let Some(Attempt(last)) = resolve::latest_void(&self.kernel, id) else {
            return false;
        };
        if attempt.0 == 0 || attempt.0 > last.saturating_add(PRIOR_VOIDS_MAX) {
            return false;
        }
        for prior in last + 1..attempt.0 {
            self.void(now, *id, Attempt(prior), self.settle_instance);
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

    /// Settles an attempt whose agent was lost, that is, determines its final outcome: an attempt without a claim
    /// becomes void. The reply may be among the next actions.
    pub fn settle(
        &mut self,
        now: Millis,
        ticket: Ticket,
        id: RequestId,
        attempt: Attempt,
        deadline: Millis,
    ) {
        let known = resolve::attempt_outcome(&self.kernel, &self.bodies, &id, attempt);
        let pending = self.requests.get(&id).filter(|w| w.attempt == attempt);
        let pending = pending.map(|w| match &w.phase {
            Phase::Recorded(outcome) => resolve::done_reply(&self.bodies, &id, outcome),
            _ => SettleReply::Claimed {
                holder: self.own.holder.clone(),
            },
        });
        let reply = match pending.or(known) {
            Some(reply) => reply,
            None => {
                let full = self.settles.len() + self.outbox.backlog() >= REQUESTS_MAX
                    || self.is_blocked(now);
                if full || !self.void_prior(now, &id, attempt) {
                    return self.out.push(Action::Settled(ticket, SettleReply::Unknown));
                }
                self.void(now, id, attempt, self.settle_instance);
                self.settles.push(PendingSettle {
                    ticket,
                    id,
                    attempt,
                    deadline,
                });
                return self.schedule_timeout(deadline);
            }
        };
        self.out.push(Action::Settled(ticket, reply));
    }

    /// Applies the result of the append in flight.
    pub fn complete_append(&mut self, now: Millis, id: RecordId, result: AppendResult) {
        let Some(append) = self.outbox.end_append(id) else {
            return;
        };
        match (result, append.record.body) {
            (AppendResult::Appended, _) => {}
            (_, Body::Claims(claims)) => {
                for c in &claims {
                    self.fail_claim(now, c, id, result);
                }
            }
            (_, body) => self.outbox.retry(Record { id, body }),
        }
        if result != AppendResult::Appended {
            self.block_appends(now);
        }
    }

    /// Ends the request of a claim whose append failed, unless the claim was read back already.
    fn fail_claim(&mut self, now: Millis, c: &Claim, record: RecordId, result: AppendResult) {
        let waits = |w: &PendingRequest<P>| matches!(w.phase, Phase::Sent(r, _) if r == record);
        if !self.requests.get(&c.request).is_some_and(waits) {
            return;
        }
        if result == AppendResult::Refused {
            self.finish(&c.request, RunOutcome::NotRun(NotRun::Log));
        } else {
            self.abandon(now, &c.request);
        }
    }

    /// Abandons a claim that may be in the log: the request is not run, and a void record cancels the claim. No other
    /// process can run the attempt.
    pub(super) fn abandon(&mut self, now: Millis, id: &RequestId) {
        let Some(attempt) = self.requests.get(id).map(|w| w.attempt) else {
            return;
        };
        self.void(now, *id, attempt, self.own.instance);
        self.abandoned.insert((*id, attempt));
        self.finish(id, RunOutcome::NotRun(NotRun::Log));
    }

    /// Ends a request and replies to all callers that wait for it.
    pub(super) fn finish(&mut self, id: &RequestId, verdict: impl Into<Verdict>) {
        let verdict = verdict.into();
        let Some(request) = self.requests.remove(id) else {
            return;
        };
        for (ticket, _) in request.waiters {
            self.reply(ticket, verdict.clone());
        }
    }

    /// Stops appends for [`APPEND_BACKOFF`] and rejects requests whose claims wait; none of these is in the log.
    fn block_appends(&mut self, now: Millis) {
        self.blocked_until = now + APPEND_BACKOFF;
        self.schedule_timeout(self.blocked_until);
        self.reject_queued();
    }

    /// Rejects requests whose claims wait for an append, and all settlements.
    fn reject_queued(&mut self) {
        let queued = |(id, w): (&RequestId, &PendingRequest<P>)| {
            matches!(w.phase, Phase::Queued(_)).then_some(*id)
        };
        let queued: Vec<_> = self.requests.iter().filter_map(queued).collect();
        for id in queued {
            self.outbox.remove_claim(&id);
            self.finish(&id, RunOutcome::NotRun(NotRun::Log));
        }
        for s in std::mem::take(&mut self.settles) {
            self.out
                .push(Action::Settled(s.ticket, SettleReply::Unknown));
        }
    }

    /// Sets whether the claims stream can be read and has been read to its end once; until then requests are rejected.
    pub fn set_reachable(&mut self, reachable: bool) {
        if self.reachable && !reachable {
            self.reject_queued();
        }
        self.reachable = reachable;
    }

    /// Returns whether the claims stream can be read and has been read to its end once.
    pub fn is_reachable(&self) -> bool {
        self.reachable
    }

    /// Applies a record that was read from the log.
    ///
    /// # Errors
    ///
    /// Returns the kernel's refusal of the record; the state is unchanged.
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
                self.abandoned.remove(&(v.request, v.attempt));
            }
        }
        let ids: Vec<_> = match &record.body {
            Body::Claims(b) => b.iter().map(|c| c.request).collect(),
            Body::Voids(b) => b.iter().map(|v| v.request).collect(),
            Body::Done(b) => b.iter().map(|d| d.request).collect(),
            Body::Publish(_) | Body::Lease(_) | Body::Window(_) => Vec::new(),
        };
        for id in &ids {
            self.end_waiting(id);
        }
        Ok(())
    }

    /// Handles the read-back of a claim. A run starts only here.
    fn read_back(&mut self, now: Millis, record: RecordId, claim: &Claim, first: bool) {
        let id = claim.request;
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Phase::Sent(sent, since) = request.phase else {
            return;
        };
        if sent != record || claim.instance != self.own.instance {
            return;
        }
        if !first {
            let (kernel, bodies, own) = (&self.kernel, &self.bodies, &self.own);
            let verdict =
                resolve::request_verdict(kernel, bodies, own, &id, claim.digest, claim.attempt);
            // The log's time is that of the claim here, so this also finds ids that seemed to lie in the future.
            let expired = kernel.claims().is_expired(kernel.time(), &id);
            let reason = if expired {
                NotRun::Expired
            } else {
                NotRun::Busy
            };
            return self.finish(&id, verdict.unwrap_or(not_run(reason)));
        }
        let deadline = request.waiters.iter().map(|(_, d)| *d).max();
        let deadline = deadline.unwrap_or(Millis::ZERO);
        if now >= deadline.min(since + self.timing.readback) {
            return self.abandon(now, &id);
        }
        let Some(payload) = request.payload.take() else {
            return;
        };
        request.phase = Phase::Running;
        self.out.push(Action::Run {
            id,
            payload,
            deadline,
        });
    }

    /// Ends requests and settlements that waited for a record of this request.
    fn end_waiting(&mut self, id: &RequestId) {
        let (kernel, bodies) = (&self.kernel, &self.bodies);
        let outcome_of = |attempt| resolve::attempt_outcome(kernel, bodies, id, attempt);
        let void = |attempt| outcome_of(attempt) == Some(SettleReply::Void);
        let claimed = resolve::claimed_attempt(kernel, &self.own, id);
        self.abandoned
            .retain(|(i, a)| i != id || claimed == Some(*a) || outcome_of(*a).is_none());
        let mut settled = Vec::new();
        self.settles.retain(|s| {
            let reply = (s.id == *id).then(|| outcome_of(s.attempt)).flatten();
            let waits = reply.is_none();
            settled.extend(reply.map(|r| Action::Settled(s.ticket, r)));
            waits
        });
        let ended = self.requests.get(id).and_then(|w| match &w.phase {
            Phase::Voiding(_) if void(w.attempt) => Some(not_run(NotRun::Endpoint)),
            Phase::Recorded(outcome)
                if matches!(outcome_of(w.attempt), Some(SettleReply::Done(_))) =>
            {
                Some(resolve::done_verdict(bodies, id, outcome))
            }
            _ => None,
        });
        self.out.extend(settled);
        if let Some(verdict) = ended {
            self.finish(id, verdict);
        }
    }

    /// Applies the result of a run.
    pub fn complete_run(&mut self, now: Millis, id: RequestId, result: RunResult) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if request.phase != Phase::Running {
            return;
        }
        let attempt = request.attempt;
        match result {
            RunResult::Unknown => self.finish(&id, RunOutcome::MayHaveRun),
            RunResult::NotSent => {
                let until = now + self.timing.readback;
                request.phase = Phase::Voiding(until);
                self.abandoned.insert((id, attempt));
                self.void(now, id, attempt, self.own.instance);
                self.schedule_timeout(until);
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
                request.phase = Phase::Recorded(outcome.clone());
                let waiters = std::mem::take(&mut request.waiters);
                if !small {
                    self.bodies.insert(id, body);
                }
                let done = Done {
                    request: id,
                    attempt,
                    instance: self.own.instance,
                    outcome,
                };
                self.outbox.done(now, done);
                for (ticket, _) in waiters {
                    self.reply(ticket, verdict.clone());
                }
            }
        }
    }
}
