//! Admission of requests, driven by the limiter of each service.

use std::sync::{Arc, Mutex, MutexGuard};

use tokio::sync::oneshot;

use super::{outcome::Problem, shared::Shared};
use crate::{
    base::{lock, Clock, HashMap, Millis, SystemClock, Workspace},
    decide::{
        limit::{
            share::{Share, ShareHolder},
            AdmissionRequest, Class, Limiter, Reason, Ticket, Verdict,
        },
        retry::RetryBudget,
    },
    settings::Limit,
};

/// Admission state of one service.
#[derive(Debug)]
pub(super) struct Gate {
    clock: SystemClock,
    state: Mutex<State>,
    budget: Mutex<RetryBudget>,
}

#[derive(Debug, Default)]
struct State {
    limiter: Limiter,
    waiters: HashMap<Ticket, (Workspace, oneshot::Sender<()>)>,
    holders: HashMap<Workspace, ShareHolder>,
}

/// Lets a request be in progress until it is dropped.
#[derive(Debug)]
pub(super) struct Permit {
    gate: Arc<Gate>,
    workspace: Workspace,
    class: Class,
    begun: Millis,
    answered: bool,
}

fn whole(limit: &Limit) -> Share {
    Share {
        concurrency: limit.concurrency,
        rate: u64::from(limit.rate) * 1000,
    }
}

impl State {
    /// Wakes the requests that the limiter admitted.
    fn wake(&mut self, now: Millis) {
        loop {
            let admitted = self.limiter.take_admitted();
            if admitted.is_empty() {
                return;
            }
            for ticket in admitted {
                let Some((workspace, tx)) = self.waiters.remove(&ticket) else {
                    continue;
                };
                if tx.send(()).is_err() {
                    self.limiter.release(now, &workspace, Class::Work, None);
                }
            }
        }
    }
}

impl Gate {
    /// Creates the gate of a service.
    pub(super) fn new(clock: SystemClock) -> Self {
        Self {
            clock,
            state: Mutex::default(),
            budget: Mutex::default(),
        }
    }

    /// Returns the retry budget.
    pub(super) fn budget(&self) -> MutexGuard<'_, RetryBudget> {
        lock(&self.budget)
    }

    /// Sets how many requests may be in progress.
    pub(super) fn set_window(&self, window: u32) {
        let now = self.clock.now();
        let mut state = lock(&self.state);
        state.limiter.set_window(now, window);
        state.wake(now);
    }

    /// Admits requests that waited for tokens of their rate; returns whether any still wait.
    pub(super) fn dispatch(&self) -> bool {
        let now = self.clock.now();
        let mut state = lock(&self.state);
        if state.limiter.waiting() == 0 {
            return false;
        }
        state.limiter.dispatch(now);
        state.wake(now);
        true
    }

    /// Returns the demand of each workspace since the last call.
    pub(super) fn demand(&self, elapsed: Millis) -> Vec<(Workspace, Share)> {
        lock(&self.state).limiter.take_demand(elapsed)
    }

    /// Takes over a granted share.
    pub(super) fn granted(&self, workspace: &Workspace, share: Share, until: Millis) {
        let now = self.clock.now();
        let mut state = lock(&self.state);
        let holder = state.holders.entry(workspace.clone()).or_default();
        holder.set_grant(share, until);
        state.limiter.set_share(now, workspace, share);
        state.wake(now);
    }

    /// Waits until a request may run.
    ///
    /// # Errors
    ///
    /// Returns `not_run`, at once if the request would not pass in time.
    pub(super) async fn admit(
        self: &Arc<Self>,
        shared: &Shared,
        workspace: &Workspace,
        limit: &Limit,
        class: Class,
        deadline: Millis,
    ) -> Result<Permit, Problem> {
        let now = self.clock.now();
        let entries = shared.entries();
        let (verdict, waiter) = {
            let mut state = lock(&self.state);
            let holder = state.holders.entry(workspace.clone()).or_default();
            let share = holder.share(now, whole(limit), entries);
            let ask = AdmissionRequest {
                workspace,
                share,
                weight: limit.weight,
                wait: limit.wait,
                remaining: deadline - now,
                class,
            };
            let verdict = state.limiter.admit(now, &ask);
            let waiter = match verdict {
                Verdict::Wait(ticket, _) => {
                    let (tx, rx) = oneshot::channel();
                    state.waiters.insert(ticket, (workspace.clone(), tx));
                    Some(rx)
                }
                _ => None,
            };
            state.wake(now);
            (verdict, waiter)
        };
        match (verdict, waiter) {
            (Verdict::Admit(class), _) => Ok(self.permit(workspace, class)),
            (Verdict::Wait(ticket, until), Some(rx)) => {
                shared.waiting.notify_one();
                let left = until - self.clock.now();
                self.wait(workspace, ticket, left, rx).await
            }
            (Verdict::Refuse(reason, retry), _) => {
                if matches!(reason, Reason::Concurrency | Reason::Rate) {
                    // A larger share may be free.
                    shared.shares.notify_one();
                }
                Err(refusal(reason, retry))
            }
            (Verdict::Wait(..), None) => Err(refusal(Reason::Saturated, limit.wait)),
        }
    }

    async fn wait(
        self: &Arc<Self>,
        workspace: &Workspace,
        ticket: Ticket,
        left: Millis,
        mut rx: oneshot::Receiver<()>,
    ) -> Result<Permit, Problem> {
        if tokio::time::timeout(left.duration(), &mut rx).await.is_ok() {
            return Ok(self.permit(workspace, Class::Work));
        }
        let mut state = lock(&self.state);
        state.limiter.cancel(workspace, ticket);
        let reason = state.limiter.blocking_reason(workspace);
        state.waiters.remove(&ticket);
        drop(state);
        // It may have been admitted just before it was cancelled.
        if rx.try_recv().is_ok() {
            return Ok(self.permit(workspace, Class::Work));
        }
        Err(refusal(reason, left.max(super::shared::RETRY_PAUSE)))
    }

    fn permit(self: &Arc<Self>, workspace: &Workspace, class: Class) -> Permit {
        Permit {
            gate: self.clone(),
            workspace: workspace.clone(),
            class,
            begun: self.clock.now(),
            answered: false,
        }
    }
}

fn refusal(reason: Reason, retry: Millis) -> Problem {
    match reason {
        Reason::Rate => Problem::limited("the workspace sends faster than its rate limit", retry),
        Reason::Concurrency => {
            Problem::limited("the workspace has too many requests in progress", retry)
        }
        Reason::Saturated => Problem::not_run("the service has no room", retry),
        Reason::Deadline => {
            Problem::not_run("the request cannot be answered before its deadline", retry)
        }
    }
}

impl Permit {
    /// Notes that the request was answered, so that its duration counts.
    pub(super) fn answered(&mut self) {
        self.answered = true;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = self.gate.clock.now();
        let duration = self.answered.then(|| now - self.begun);
        let mut state = lock(&self.gate.state);
        state
            .limiter
            .release(now, &self.workspace, self.class, duration);
        state.wake(now);
    }
}
