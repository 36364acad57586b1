//! Claims: a non-repeatable request runs at most once, and "not run" is never said of a run.
//!
//! One request id reaches two agents through two entries, because the caller repeated it. Records travel to the log
//! for any time, which includes for ever, and may land twice because a lost answer makes the writer append again.

use sesamewing::{
    base::{Attempt, Digest, Instance, RequestId},
    kernel::{Body, Claim, ClaimState, Effect, Void},
};

use crate::{
    explore::Protocol,
    refine::{apply_all, LOG_TIME},
    Abstract, Machine, Real,
};

/// Attempts that each entry makes.
const ATTEMPTS: u8 = 2;

/// Largest log.
const LOG_MAX: usize = 4;

/// Records that may travel at once.
const TRANSIT_MAX: usize = 3;

/// Records that land twice in one run.
const REPEATS: u8 = 1;

/// Parts of the protocol that can be removed to show that a property depends on them.
#[derive(Clone, Copy, Debug)]
pub struct Guards {
    /// An agent runs an attempt only after it read back its own claim as the first record.
    pub read_back: bool,
    /// An entry says "not run" of a lost attempt only after it read back a void.
    pub settle: bool,
    /// An agent that gave up never runs the attempt.
    pub abandon: bool,
}

/// A record: attempt and writer. Agents are writers 0 and 1, entries 2 and 3.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Rec {
    /// An agent claims an attempt.
    Claim(u8, u8),
    /// A writer voids an attempt.
    Void(u8, u8),
}

/// State of the latest attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Latest {
    /// No record yet.
    None,
    /// Claimed by an agent.
    Claimed(u8, u8),
    /// Void.
    Void(u8),
}

/// What the state machine made of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// Latest attempt.
    latest: Latest,
    /// For each record whether it took effect.
    effects: Vec<bool>,
}

impl Machine<Rec, View> for Abstract {
    fn fold(&self, log: &[Rec]) -> Option<View> {
        let mut latest = Latest::None;
        let mut effects = Vec::new();
        for (i, rec) in log.iter().enumerate() {
            let next = match (*rec, latest) {
                _ if log[..i].contains(rec) => None,
                (Rec::Claim(1, agent), Latest::None) => Some(Latest::Claimed(1, agent)),
                (Rec::Claim(a, agent), Latest::Void(n)) if a == n + 1 => {
                    Some(Latest::Claimed(a, agent))
                }
                (Rec::Void(1, _), Latest::None) => Some(Latest::Void(1)),
                (Rec::Void(a, _), Latest::Void(n)) if a == n || a == n + 1 => Some(Latest::Void(a)),
                (Rec::Void(a, by), Latest::Claimed(n, agent)) if (a, by) == (n, agent) => {
                    Some(Latest::Void(a))
                }
                _ => None,
            };
            effects.push(next.is_some());
            latest = next.unwrap_or(latest);
        }
        Some(View { latest, effects })
    }
}

/// The explored request id, created at the log's time.
fn request() -> RequestId {
    let bits = u128::from(LOG_TIME.0) << 80 | 7 << 76 | 2 << 62;
    RequestId(uuid::Uuid::from_u128(bits))
}

impl Machine<Rec, View> for Real {
    fn fold(&self, log: &[Rec]) -> Option<View> {
        let digest = Digest::of(b"order");
        let body = |rec: &Rec| match *rec {
            Rec::Claim(attempt, agent) => Body::Claims(vec![Claim {
                request: request(),
                digest,
                attempt: Attempt(attempt.into()),
                holder: format!("agent-{agent}").parse().expect("a valid name"),
                instance: Instance(agent.into()),
            }]),
            Rec::Void(attempt, by) => Body::Voids(vec![Void {
                request: request(),
                attempt: Attempt(attempt.into()),
                instance: Instance(by.into()),
            }]),
        };
        let id = |rec: &Rec| match *rec {
            Rec::Claim(a, by) => 1 + u128::from(a) * 16 + u128::from(by),
            Rec::Void(a, by) => 1001 + u128::from(a) * 16 + u128::from(by),
        };
        let (kernel, effects) = apply_all(log.iter().map(|r| (id(r), body(r))));
        let latest = match kernel.claims().get(&request()) {
            None => Latest::None,
            Some((a, ClaimState::Claimed { instance, .. }, _)) => {
                Latest::Claimed(a.0 as u8, instance.0 as u8)
            }
            Some((a, ClaimState::Void | ClaimState::Done(_), _)) => Latest::Void(a.0 as u8),
        };
        let effects = effects
            .iter()
            .map(|e| *e == Effect::Batch(vec![true]))
            .collect();
        Some(View { latest, effects })
    }
}

/// Where an agent stands with an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Work {
    None,
    Claiming,
    GivenUp,
    Ran,
}

/// Where an entry stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Call {
    /// Has not sent this attempt.
    Ready(u8),
    /// Has sent this attempt to an agent.
    Sent(u8),
    /// Has sent a void for this attempt.
    Settling(u8),
    /// Has answered the caller.
    Ended,
}

/// State of the protocol.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    log: Vec<Rec>,
    /// Sorted, so that states that differ in order only are one.
    transit: Vec<Rec>,
    /// By agent and attempt.
    work: [[Work; ATTEMPTS as usize]; 2],
    calls: [Call; 2],
    /// Attempts of which "not run" was said: by one agent of its own claim, or (writer 9) of the whole attempt.
    not_run: Vec<(u8, u8)>,
    /// Number of runs.
    runs: u8,
    /// Records that may still land twice.
    repeats: u8,
}

/// A step.
#[derive(Clone, Copy, Debug)]
pub enum Action {
    /// An entry (first) sends its attempt to an agent (second).
    Assign(u8, u8),
    /// A record lands in the log; with `true` a copy stays in transit.
    Land(Rec, bool),
    /// An agent (first) runs an attempt (second).
    Run(u8, u8),
    /// An agent (first) gives up an attempt (second) and says so.
    GiveUp(u8, u8),
    /// An entry that lost its agent voids the attempt.
    Settle(u8),
    /// An entry learns the fate of its attempt.
    Learn(u8),
}

/// Marks "not run" of a whole attempt.
const EVERYBODY: u8 = 9;

/// The protocol over a state machine.
#[derive(Clone, Debug)]
pub struct Claiming<M> {
    /// Parts that are in place.
    pub guards: Guards,
    /// State machine that applies the log.
    pub machine: M,
}

impl State {
    fn send(&mut self, rec: Rec) {
        if !self.transit.contains(&rec) && !self.log.contains(&rec) {
            self.transit.push(rec);
            self.transit.sort_unstable();
        }
    }

    fn says_not_run(&mut self, by: u8, attempt: u8) {
        if !self.not_run.contains(&(by, attempt)) {
            self.not_run.push((by, attempt));
            self.not_run.sort_unstable();
        }
    }
}

impl<M: Machine<Rec, View>> Claiming<M> {
    fn may_run(&self, s: &State, agent: u8, attempt: u8) -> bool {
        let landed = s.log.contains(&Rec::Claim(attempt, agent));
        if !self.guards.read_back {
            return landed;
        }
        self.machine
            .fold(&s.log)
            .is_some_and(|v| v.latest == Latest::Claimed(attempt, agent))
    }

    fn land(s: &State, out: &mut Vec<(Action, State)>) {
        for (i, rec) in s.transit.iter().copied().enumerate() {
            if s.log.len() == LOG_MAX {
                return;
            }
            let mut n = s.clone();
            n.log.push(rec);
            if s.repeats > 0 {
                let mut again = n.clone();
                again.repeats -= 1;
                out.push((Action::Land(rec, true), again));
            }
            n.transit.remove(i);
            out.push((Action::Land(rec, false), n));
        }
    }

    fn agent_steps(&self, s: &State, agent: u8, attempt: u8, out: &mut Vec<(Action, State)>) {
        let (a, n) = (usize::from(agent), usize::from(attempt) - 1);
        let work = s.work[a][n];
        let claiming = work == Work::Claiming || (work == Work::GivenUp && !self.guards.abandon);
        if claiming && self.may_run(s, agent, attempt) {
            let mut next = s.clone();
            next.work[a][n] = Work::Ran;
            next.runs += 1;
            out.push((Action::Run(agent, attempt), next));
        }
        if work == Work::Claiming && s.transit.len() < TRANSIT_MAX {
            let mut next = s.clone();
            next.work[a][n] = Work::GivenUp;
            next.send(Rec::Void(attempt, agent));
            next.says_not_run(agent, attempt);
            out.push((Action::GiveUp(agent, attempt), next));
        }
    }

    fn entry_steps(&self, s: &State, entry: u8, out: &mut Vec<(Action, State)>) {
        let e = usize::from(entry);
        match s.calls[e] {
            Call::Ready(attempt) if attempt <= ATTEMPTS && s.transit.len() < TRANSIT_MAX => {
                for agent in 0..2u8 {
                    let work = s.work[usize::from(agent)][usize::from(attempt) - 1];
                    let mut n = s.clone();
                    n.calls[e] = Call::Sent(attempt);
                    if work == Work::None {
                        n.work[usize::from(agent)][usize::from(attempt) - 1] = Work::Claiming;
                        n.send(Rec::Claim(attempt, agent));
                    }
                    out.push((Action::Assign(entry, agent), n));
                }
            }
            Call::Sent(attempt) if s.transit.len() < TRANSIT_MAX => {
                let mut n = s.clone();
                n.calls[e] = Call::Settling(attempt);
                n.send(Rec::Void(attempt, 2 + entry));
                out.push((Action::Settle(entry), n));
            }
            Call::Settling(attempt) => self.learn(s, entry, attempt, out),
            _ => {}
        }
    }

    fn learn(&self, s: &State, entry: u8, attempt: u8, out: &mut Vec<(Action, State)>) {
        let Some(view) = self.machine.fold(&s.log) else {
            return;
        };
        let mut n = s.clone();
        let call = &mut n.calls[usize::from(entry)];
        match view.latest {
            Latest::Void(v) if v >= attempt => *call = Call::Ready(attempt + 1),
            Latest::Claimed(v, _) if v > attempt => *call = Call::Ready(attempt + 1),
            Latest::Claimed(..) => *call = Call::Ended,
            _ if !self.guards.settle => *call = Call::Ready(attempt + 1),
            _ => return,
        }
        if n.calls[usize::from(entry)] != Call::Ended {
            n.says_not_run(EVERYBODY, attempt);
        }
        out.push((Action::Learn(entry), n));
    }
}

impl<M: Machine<Rec, View>> Protocol for Claiming<M> {
    type State = State;
    type Action = Action;

    fn initial(&self) -> State {
        State {
            log: vec![],
            transit: vec![],
            work: [[Work::None; ATTEMPTS as usize]; 2],
            calls: [Call::Ready(1); 2],
            not_run: vec![],
            runs: 0,
            repeats: REPEATS,
        }
    }

    fn steps(&self, s: &State) -> Vec<(Action, State)> {
        let mut out = Vec::new();
        Self::land(s, &mut out);
        for id in 0..2u8 {
            for attempt in 1..=ATTEMPTS {
                self.agent_steps(s, id, attempt, &mut out);
            }
            self.entry_steps(s, id, &mut out);
        }
        out
    }

    fn violation(&self, s: &State) -> Option<&'static str> {
        if self.machine.fold(&s.log).is_none() {
            return Some("kernel refines specification");
        }
        if s.runs > 1 {
            return Some("a non-repeatable request runs at most once");
        }
        let ran = |a: u8, n: u8| s.work[usize::from(a)][usize::from(n) - 1] == Work::Ran;
        let lie = s.not_run.iter().any(|&(by, n)| match by {
            EVERYBODY => ran(0, n) || ran(1, n),
            agent => ran(agent, n),
        });
        lie.then_some("an attempt of which not run was said never runs")
    }
}
