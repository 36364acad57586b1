//! Admission control of one service's requests at one entry.

use std::collections::VecDeque;

use super::share::Share;
use crate::base::{HashMap, Millis, Workspace};

/// Largest number of waiting requests of each workspace; limits memory.
pub const QUEUE_MAX: usize = 1024;

/// Largest number of status checks of a workspace that are in progress beyond its share.
pub const STATUS_RESERVE: u32 = 8;

/// Virtual time that one request takes at weight 1.
const STRIDE: u64 = 1 << 20;

/// Time after the last measurement for which measured durations are used. Without a limit they could reject all
/// requests for ever, because rejected requests bring no new measurement.
const MEASUREMENT_LIFETIME: Millis = Millis(5000);

/// Longest time after which a rejected caller is told to retry; longer estimates are unreliable.
const RETRY_AFTER_MAX: Millis = Millis(10_000);

/// Time after which a rejected caller is told to retry when there is no estimate.
const RETRY_AFTER_DEFAULT: Millis = Millis(1000);

/// Number of a waiting request, unique in a limiter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// Class of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// Counts against the share of the workspace.
    Work,
    /// A status check, which may use the reserve of its workspace ([`STATUS_RESERVE`]).
    Status,
}

/// A request for admission.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest<'a> {
    /// Workspace of the caller.
    pub workspace: &'a Workspace,
    /// Share of the workspace's limits at this entry.
    pub share: Share,
    /// Weight of the workspace when the service has no room; at least 1.
    pub weight: u32,
    /// Longest time that the request may wait.
    pub wait: Millis,
    /// Time until the caller's deadline.
    pub remaining: Millis,
    /// Class of the request.
    pub class: Class,
}

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The workspace sends faster than its limit.
    Rate,
    /// The workspace has too many requests in progress.
    Concurrency,
    /// The service has no room for further requests.
    Saturated,
    /// No response is possible before the request's deadline.
    Deadline,
}

/// Admission decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Admitted now; the class is the one to pass to [`Limiter::release`].
    Admit(Class),
    /// Queued until it is admitted, at most until the given time.
    Wait(Ticket, Millis),
    /// Rejected at once; the caller should retry after the given time.
    Refuse(Reason, Millis),
}

#[derive(Clone, Copy, Debug)]
struct Waiter {
    ticket: Ticket,
    until: Millis,
}

/// Admission state of one workspace.
#[derive(Clone, Debug, Default)]
struct WorkspaceState {
    share: Share,
    weight: u64,
    /// Admitted requests in progress, without those of the reserve.
    in_flight: u32,
    /// Status checks in progress that use the reserve.
    reserve: u32,
    /// Tokens of the rate limit, in thousandths of a request; at most those of one second.
    tokens: u64,
    refilled: Millis,
    queue: VecDeque<Waiter>,
    /// Virtual finish time of the last admitted request: the next one starts then, or at the service's virtual time if
    /// that is later.
    finish_tag: u64,
    /// Requests that arrived since the last demand report.
    arrived: u64,
    /// Largest number of requests in progress and waiting since the last demand report.
    peak: u32,
}

/// Admission of one service's requests at one entry.
#[derive(Clone, Debug, Default)]
pub struct Limiter {
    /// Largest number of requests in progress.
    window: u32,
    in_flight: u32,
    virtual_time: u64,
    spaces: HashMap<Workspace, WorkspaceState>,
    next: u64,
    /// Waiting requests that were admitted and not yet returned by [`Limiter::take_admitted`].
    admitted: Vec<Ticket>,
    /// Mean and short duration of requests in milliseconds, and the time of the last measurement.
    durations: Option<(u64, u64, Millis)>,
}

impl WorkspaceState {
    fn refill(&mut self, now: Millis) {
        let gained = self.share.rate.saturating_mul((now - self.refilled).0) / 1000;
        let cap = self.share.rate.max(1000);
        // A refill without gain leaves `refilled` as it is; otherwise low rates would never gain a token.
        if gained > 0 || self.share.rate == 0 {
            self.tokens = self.tokens.saturating_add(gained).min(cap);
            self.refilled = now;
        }
    }

    fn may_start(&self) -> bool {
        self.in_flight < self.share.concurrency && self.tokens >= 1000
    }

    fn load(&self) -> u32 {
        self.in_flight + self.queue.len() as u32
    }
}

impl Limiter {
    /// Sets the largest number of requests in progress.
    pub fn set_window(&mut self, now: Millis, window: u32) {
        self.window = window;
        self.dispatch(now);
    }

    /// Returns the waiting requests that were admitted since the last call.
    pub fn take_admitted(&mut self) -> Vec<Ticket> {
        std::mem::take(&mut self.admitted)
    }

    /// Returns the number of requests in progress.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.spaces.values().map(|s| s.queue.len()).sum()
    }

    /// Decides whether a request is admitted, waits or is rejected.
    pub fn admit(&mut self, now: Millis, request: &AdmissionRequest<'_>) -> Verdict {
        let first = !self.spaces.contains_key(request.workspace);
        let space = self.spaces.entry(request.workspace.clone()).or_default();
        space.share = request.share;
        space.weight = u64::from(request.weight.max(1));
        if first {
            // A new workspace may send the requests of one second at once.
            (space.tokens, space.refilled) = (request.share.rate.max(1000), now);
        }
        space.refill(now);
        space.arrived += 1;
        space.peak = space.peak.max(space.load() + 1);
        let ticket = Ticket(self.next);
        self.next += 1;
        let until = now + request.wait.min(request.remaining);
        let rejection = self.rejection(now, request);
        if let (Some(Reason::Deadline), _) = rejection {
            return Verdict::Refuse(Reason::Deadline, rejection.1);
        }
        let space = self.space(request.workspace);
        space.queue.push_back(Waiter { ticket, until });
        self.dispatch(now);
        if let Some(i) = self.admitted.iter().position(|t| *t == ticket) {
            self.admitted.swap_remove(i);
            return Verdict::Admit(Class::Work);
        }
        let space = self.space(request.workspace);
        if request.class == Class::Status && space.reserve < STATUS_RESERVE {
            space.queue.pop_back();
            space.reserve += 1;
            return Verdict::Admit(Class::Status);
        }
        let full = space.queue.len() > QUEUE_MAX;
        match rejection {
            (Some(reason), retry) => {
                self.space(request.workspace).queue.pop_back();
                Verdict::Refuse(reason, retry)
            }
            (None, _) if full => {
                self.space(request.workspace).queue.pop_back();
                Verdict::Refuse(Reason::Saturated, RETRY_AFTER_DEFAULT)
            }
            _ => Verdict::Wait(ticket, until),
        }
    }

    fn space(&mut self, workspace: &Workspace) -> &mut WorkspaceState {
        self.spaces.entry(workspace.clone()).or_default()
    }

    /// Returns why a request that joined the queue now would not be admitted in time, and the time after
    /// which the caller should retry.
    fn rejection(&self, now: Millis, request: &AdmissionRequest<'_>) -> (Option<Reason>, Millis) {
        let Some(space) = self.spaces.get(request.workspace) else {
            return (None, Millis::ZERO);
        };
        let ahead = space.queue.len() as u64;
        let (mean, short) = self.recent_durations(now);
        let missing = ((ahead + 1) * 1000).saturating_sub(space.tokens);
        let rate = match space.share.rate {
            // The entry requests a larger share from the coordinator at once.
            0 => RETRY_AFTER_DEFAULT,
            r => Millis((missing * 1000).div_ceil(r)),
        };
        let over = |limit: u32, used: u32, position: u64| match limit {
            _ if used < limit && ahead == 0 => Millis::ZERO,
            0 => RETRY_AFTER_DEFAULT,
            l => Millis(mean * position / u64::from(l)),
        };
        let concurrency = over(space.share.concurrency, space.in_flight, ahead + 1);
        let saturated = over(
            self.window,
            self.in_flight,
            self.queue_position(request.workspace),
        );
        let (wait, reason) = [
            (rate, Reason::Rate),
            (concurrency, Reason::Concurrency),
            (saturated, Reason::Saturated),
        ]
        .into_iter()
        .max_by_key(|(w, _)| *w)
        .unwrap_or((Millis::ZERO, Reason::Saturated));
        let retry = wait.clamp(Millis(100), RETRY_AFTER_MAX);
        if wait + Millis(short) > request.remaining {
            return (Some(Reason::Deadline), retry);
        }
        ((wait > request.wait).then_some(reason), retry)
    }

    /// Returns the position in the service's fair order that a further request of the workspace would get, from 1.
    fn queue_position(&self, workspace: &Workspace) -> u64 {
        let mut weights = 0;
        let mut total = 1;
        let mut own = (1, 1);
        for (name, s) in &self.spaces {
            total += s.queue.len() as u64;
            if name == workspace {
                own = (s.queue.len() as u64 + 1, s.weight);
                weights += s.weight;
            } else if !s.queue.is_empty() {
                weights += s.weight;
            }
        }
        (own.0 * weights).div_ceil(own.1.max(1)).min(total)
    }

    /// Returns mean and short duration of requests in milliseconds; zeros without a recent measurement.
    fn recent_durations(&self, now: Millis) -> (u64, u64) {
        match self.durations {
            Some((mean, short, at)) if now - at < MEASUREMENT_LIFETIME => (mean, short),
            _ => (0, 0),
        }
    }

    /// Admits waiting requests in fair order; to be called regularly while requests wait for tokens of a rate limit.
    pub fn dispatch(&mut self, now: Millis) {
        while self.in_flight < self.window {
            let time = self.virtual_time;
            let next = self
                .spaces
                .iter_mut()
                .filter_map(|(name, s)| {
                    // The task that waits for an expired request rejects it itself.
                    while s.queue.front().is_some_and(|w| w.until < now) {
                        s.queue.pop_front();
                    }
                    s.refill(now);
                    let ready = !s.queue.is_empty() && s.may_start();
                    ready.then(|| (s.finish_tag.max(time), name, s))
                })
                .min_by(|a, b| (a.0, a.1).cmp(&(b.0, b.1)));
            let Some((start, _, space)) = next else {
                break;
            };
            let Some(waiter) = space.queue.pop_front() else {
                break;
            };
            space.tokens -= 1000;
            space.in_flight += 1;
            space.finish_tag = start + STRIDE / space.weight;
            self.virtual_time = start;
            self.in_flight += 1;
            self.admitted.push(waiter.ticket);
        }
    }

    /// Removes a waiting request; returns whether it was still waiting.
    pub fn cancel(&mut self, workspace: &Workspace, ticket: Ticket) -> bool {
        let queue = &mut self.space(workspace).queue;
        let before = queue.len();
        queue.retain(|w| w.ticket != ticket);
        before != queue.len()
    }

    /// Returns which limit keeps the requests of a workspace waiting.
    pub fn blocking_reason(&self, workspace: &Workspace) -> Reason {
        match self.spaces.get(workspace) {
            Some(s) if s.in_flight >= s.share.concurrency => Reason::Concurrency,
            // While the service has room only the rate limit delays requests, even if a token has just become
            // available.
            Some(s) if s.tokens < 1000 || self.in_flight < self.window => Reason::Rate,
            _ => Reason::Saturated,
        }
    }

    /// Ends an admitted request; `duration` is the time that it took, `None` if it got no response.
    pub fn release(
        &mut self,
        now: Millis,
        workspace: &Workspace,
        class: Class,
        duration: Option<Millis>,
    ) {
        let space = self.space(workspace);
        match class {
            Class::Status => space.reserve = space.reserve.saturating_sub(1),
            Class::Work => {
                space.in_flight = space.in_flight.saturating_sub(1);
                self.in_flight = self.in_flight.saturating_sub(1);
                if let Some(d) = duration {
                    self.record_duration(now, d.0);
                }
            }
        }
        self.dispatch(now);
    }

    fn record_duration(&mut self, now: Millis, d: u64) {
        self.durations = Some(match self.durations {
            Some((mean, short, _)) => {
                // The short duration falls at once and rises slowly, so that requests are rejected for their deadline
                // only if even a fast response would miss it.
                let short = if d < short {
                    d
                } else {
                    short + (d - short) / 64
                };
                ((mean * 7 + d) / 8, short, now)
            }
            None => (d, d, now),
        });
    }

    /// Returns the demand of each workspace since the last call, which was `elapsed` ago.
    pub fn take_demand(&mut self, elapsed: Millis) -> Vec<(Workspace, Share)> {
        let mut out = Vec::new();
        for (name, s) in &mut self.spaces {
            let concurrency = s.peak.max(s.load());
            let rate = s.arrived * 1_000_000 / elapsed.0.max(1);
            (s.peak, s.arrived) = (s.load(), 0);
            if concurrency > 0 {
                out.push((name.clone(), Share { concurrency, rate }));
            }
        }
        out
    }

    /// Sets the share of a workspace.
    pub fn set_share(&mut self, now: Millis, workspace: &Workspace, share: Share) {
        let space = self.space(workspace);
        space.refill(now);
        space.share = share;
        self.dispatch(now);
    }
}
