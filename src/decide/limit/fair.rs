//! Admission of one service's requests at one entry.

use std::collections::VecDeque;

use super::share::Share;
use crate::base::{HashMap, Millis, Workspace};

/// Requests that may wait for each workspace; bounds memory.
pub const QUEUE_MAX: usize = 1024;

/// Status checks of a workspace that may be in progress beyond its share.
pub const STATUS_RESERVE: u32 = 8;

/// Virtual time of one request with weight 1.
const STRIDE: u64 = 1 << 20;

/// Time for which measured durations are used without a new one; older ones would refuse requests for ever.
const MEASURE_LIFETIME: Millis = Millis(5000);

/// Longest time named in a refusal; a longer estimate says little.
const RETRY_MAX: Millis = Millis(10_000);

/// Pause named in a refusal when nothing better is known.
const RETRY_UNKNOWN: Millis = Millis(1000);

/// Number of a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// Counts against the share of the workspace.
    Work,
    /// A status check: may use the reserve.
    Status,
}

/// A request for admission.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest<'a> {
    /// Workspace.
    pub workspace: &'a Workspace,
    /// Share of the workspace's limits at this entry.
    pub share: Share,
    /// Weight when workspaces compete; at least 1.
    pub weight: u32,
    /// Longest time to wait.
    pub wait: Millis,
    /// Time until the caller's deadline.
    pub remaining: Millis,
    /// Kind.
    pub class: Class,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The workspace sends faster than its limit.
    Rate,
    /// The workspace has too many requests in progress.
    Concurrency,
    /// The service has no room.
    Saturated,
    /// The request cannot be answered before its deadline.
    Deadline,
}

/// Decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Passes now; the class says what to release.
    Admit(Class),
    /// Waits until it is admitted, at most until the given time.
    Wait(Ticket, Millis),
    /// Refused at once; a further try makes sense after the given time.
    Refuse(Reason, Millis),
}

#[derive(Clone, Copy, Debug)]
struct Waiter {
    ticket: Ticket,
    until: Millis,
}

/// State of one workspace.
#[derive(Clone, Debug, Default)]
struct Space {
    share: Share,
    weight: u64,
    in_flight: u32,
    reserve: u32,
    /// Tokens of the rate limit, in thousandths; at most one second's worth.
    tokens: u64,
    refilled: Millis,
    queue: VecDeque<Waiter>,
    /// Virtual time at which the next request of the workspace starts, unless the service's time is later.
    finish: u64,
    /// Requests since the last demand report.
    arrived: u64,
    /// Largest number in progress and waiting since the last demand report.
    peak: u32,
}

/// Admission of one service's requests at one entry.
#[derive(Clone, Debug, Default)]
pub struct Limiter {
    /// Requests that may be in progress at once.
    window: u32,
    in_flight: u32,
    virtual_time: u64,
    spaces: HashMap<Workspace, Space>,
    next: u64,
    /// Waiting requests that passed and were not taken by the driver yet.
    admitted: Vec<Ticket>,
    /// Mean and short durations of requests in milliseconds, and the time of the last one.
    mean: Option<(u64, u64, Millis)>,
}

impl Space {
    fn refill(&mut self, now: Millis) {
        let gained = self.share.rate.saturating_mul((now - self.refilled).0) / 1000;
        let cap = self.share.rate.max(1000);
        // A refill that gains nothing must not move the time, or slow rates would never gain.
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
    /// Sets how many requests may be in progress at once.
    pub fn set_window(&mut self, now: Millis, window: u32) {
        self.window = window;
        self.dispatch(now);
    }

    /// Takes the waiting requests that passed since the last call.
    pub fn take_admitted(&mut self) -> Vec<Ticket> {
        std::mem::take(&mut self.admitted)
    }

    /// Returns the number of requests in progress.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the number of requests that wait.
    pub fn waiting(&self) -> usize {
        self.spaces.values().map(|s| s.queue.len()).sum()
    }

    /// Decides on a request.
    pub fn admit(&mut self, now: Millis, ask: &AdmissionRequest<'_>) -> Verdict {
        let first = !self.spaces.contains_key(ask.workspace);
        let space = self.spaces.entry(ask.workspace.clone()).or_default();
        space.share = ask.share;
        space.weight = u64::from(ask.weight.max(1));
        if first {
            // A workspace that was idle may send one second's worth at once.
            (space.tokens, space.refilled) = (ask.share.rate.max(1000), now);
        }
        space.refill(now);
        space.arrived += 1;
        space.peak = space.peak.max(space.load() + 1);
        let ticket = Ticket(self.next);
        self.next += 1;
        let until = now + ask.wait.min(ask.remaining);
        let refused = self.refusal(now, ask);
        if let (Some(Reason::Deadline), _) = refused {
            return Verdict::Refuse(Reason::Deadline, refused.1);
        }
        let space = self.space(ask.workspace);
        space.queue.push_back(Waiter { ticket, until });
        self.dispatch(now);
        if let Some(i) = self.admitted.iter().position(|t| *t == ticket) {
            self.admitted.swap_remove(i);
            return Verdict::Admit(Class::Work);
        }
        let space = self.space(ask.workspace);
        if ask.class == Class::Status && space.reserve < STATUS_RESERVE {
            space.queue.pop_back();
            space.reserve += 1;
            return Verdict::Admit(Class::Status);
        }
        let full = space.queue.len() > QUEUE_MAX;
        match refused {
            (Some(reason), retry) => {
                self.space(ask.workspace).queue.pop_back();
                Verdict::Refuse(reason, retry)
            }
            (None, _) if full => {
                self.space(ask.workspace).queue.pop_back();
                Verdict::Refuse(Reason::Saturated, RETRY_UNKNOWN)
            }
            _ => Verdict::Wait(ticket, until),
        }
    }

    fn space(&mut self, workspace: &Workspace) -> &mut Space {
        self.spaces.entry(workspace.clone()).or_default()
    }

    /// Returns why a request that joined the queue now would not pass in time, and when it would.
    fn refusal(&self, now: Millis, ask: &AdmissionRequest<'_>) -> (Option<Reason>, Millis) {
        let Some(space) = self.spaces.get(ask.workspace) else {
            return (None, Millis::ZERO);
        };
        let ahead = space.queue.len() as u64;
        let (mean, short) = self.durations(now);
        let missing = ((ahead + 1) * 1000).saturating_sub(space.tokens);
        let rate = match space.share.rate {
            // A larger share is asked for at once.
            0 => RETRY_UNKNOWN,
            r => Millis((missing * 1000).div_ceil(r)),
        };
        let over = |limit: u32, used: u32, place: u64| match limit {
            _ if used < limit && ahead == 0 => Millis::ZERO,
            0 => RETRY_UNKNOWN,
            l => Millis(mean * place / u64::from(l)),
        };
        let concurrency = over(space.share.concurrency, space.in_flight, ahead + 1);
        let saturated = over(self.window, self.in_flight, self.place(ask.workspace));
        let (wait, reason) = [
            (rate, Reason::Rate),
            (concurrency, Reason::Concurrency),
            (saturated, Reason::Saturated),
        ]
        .into_iter()
        .max_by_key(|(w, _)| *w)
        .unwrap_or((Millis::ZERO, Reason::Saturated));
        let retry = wait.clamp(Millis(100), RETRY_MAX);
        if wait + Millis(short) > ask.remaining {
            return (Some(Reason::Deadline), retry);
        }
        ((wait > ask.wait).then_some(reason), retry)
    }

    /// Returns the place in the service's fair order that a request of the workspace would get.
    fn place(&self, workspace: &Workspace) -> u64 {
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

    fn durations(&self, now: Millis) -> (u64, u64) {
        match self.mean {
            Some((mean, short, at)) if now - at < MEASURE_LIFETIME => (mean, short),
            _ => (0, 0),
        }
    }

    /// Admits waiting requests in fair order; called after events and while requests wait for tokens.
    pub fn dispatch(&mut self, now: Millis) {
        while self.in_flight < self.window {
            let time = self.virtual_time;
            let next = self
                .spaces
                .iter_mut()
                .filter_map(|(name, s)| {
                    // The waiter answers an expired request itself.
                    while s.queue.front().is_some_and(|w| w.until < now) {
                        s.queue.pop_front();
                    }
                    s.refill(now);
                    let ready = !s.queue.is_empty() && s.may_start();
                    ready.then(|| (s.finish.max(time), name, s))
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
            space.finish = start + STRIDE / space.weight;
            self.virtual_time = start;
            self.in_flight += 1;
            self.admitted.push(waiter.ticket);
        }
    }

    /// Notes that a waiting request was given up; returns whether it was still waiting.
    pub fn cancel(&mut self, workspace: &Workspace, ticket: Ticket) -> bool {
        let queue = &mut self.space(workspace).queue;
        let before = queue.len();
        queue.retain(|w| w.ticket != ticket);
        before != queue.len()
    }

    /// Returns what keeps the requests of a workspace waiting.
    pub fn blocking_reason(&self, workspace: &Workspace) -> Reason {
        match self.spaces.get(workspace) {
            Some(s) if s.in_flight >= s.share.concurrency => Reason::Concurrency,
            // With room in the service only the rate holds requests back, also while a token has just come.
            Some(s) if s.tokens < 1000 || self.in_flight < self.window => Reason::Rate,
            _ => Reason::Saturated,
        }
    }

    /// Notes the end of a request. `duration` is `None` unless it was answered.
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
                    self.measure(now, d.0);
                }
            }
        }
        self.dispatch(now);
    }

    fn measure(&mut self, now: Millis, d: u64) {
        self.mean = Some(match self.mean {
            Some((mean, short, _)) => {
                // The short duration falls at once and rises slowly: a deadline refuses only what even a fast
                // answer would miss.
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

    /// Returns the demand of each workspace since the last call, `elapsed` ago.
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

    /// Changes the share of a workspace.
    pub fn set_share(&mut self, now: Millis, workspace: &Workspace, share: Share) {
        let space = self.space(workspace);
        space.refill(now);
        space.share = share;
        self.dispatch(now);
    }
}
