//! Leases with pauses, lapse and fencing.
//!
//! Two processes compete for one endpoint. Time is a global tick; a process may pause between any two steps, and the
//! observer's clock may run ahead by up to one tick.

use sesamewing::{
    base::{Fence, Instance, Millis, Offset},
    kernel::{Body, Expire, LeaseOp},
};

use crate::{explore::Protocol, refine::apply_all, Abstract, Machine, Real};

/// Term of a lease in ticks.
const TERM: u8 = 2;

/// Ticks by which the clock of an observer may run ahead over one term.
const DRIFT: u8 = 1;

/// Last tick that is explored.
const TICKS: u8 = 6;

/// Largest log.
const LOG_MAX: usize = 5;

/// Commands that each process issues.
const COMMANDS: u8 = 1;

/// Parts of the protocol that can be removed to show that a property depends on them.
#[derive(Clone, Copy, Debug)]
pub struct Guards {
    /// Others expire a lease only after its term plus the drift margin.
    pub margin: bool,
    /// The endpoint refuses commands with an older token than it has seen.
    pub fencing: bool,
    /// An expiry names the renewal that its writer saw.
    pub seen: bool,
    /// The holder checks its clock before a command.
    pub clock: bool,
}

/// A record.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Op {
    /// Process 0 or 1 acquires.
    Acquire(u8),
    /// Process 0 or 1 renews the lease with this token.
    Renew(u8, u8),
    /// Somebody ends the lease with this token, having seen the renewal at this offset.
    Expire(u8, u8),
}

/// The lease after a log: holder, token and last renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct View {
    /// Holder, token and offset of the last renewal.
    held: Option<(u8, u8, u8)>,
}

impl Machine<Op, View> for Abstract {
    fn fold(&self, log: &[Op]) -> Option<View> {
        let mut held = None;
        for (i, op) in log.iter().enumerate() {
            let offset = i as u8 + 1;
            held = match (op, held) {
                (Op::Acquire(p), None) => Some((*p, offset, offset)),
                (Op::Renew(_, f), Some((p, fence, _))) if *f == fence => Some((p, fence, offset)),
                (Op::Expire(f, seen), Some((_, fence, renewed)))
                    if (*f, *seen) == (fence, renewed) =>
                {
                    None
                }
                (_, unchanged) => unchanged,
            };
        }
        Some(View { held })
    }
}

impl Machine<Op, View> for Real {
    fn fold(&self, log: &[Op]) -> Option<View> {
        let resource = || "endpoint".to_owned();
        let name = |p: u8| format!("agent-{p}").parse().expect("a valid name");
        let body = |op: &Op| match *op {
            Op::Acquire(p) => LeaseOp::Acquire {
                resource: resource(),
                holder: name(p),
                instance: Instance(p.into()),
                term: Millis(TERM.into()),
            },
            Op::Renew(_, f) => LeaseOp::Renew {
                resource: resource(),
                fence: Fence(f.into()),
            },
            Op::Expire(f, seen) => LeaseOp::Expire(Expire {
                resource: resource(),
                fence: Fence(f.into()),
                seen: Offset(seen.into()),
            }),
        };
        let bodies = log
            .iter()
            .enumerate()
            .map(|(i, op)| (i as u128 + 1, Body::Lease(body(op))));
        let (kernel, _) = apply_all(bodies);
        let held = kernel.leases().get("endpoint");
        Some(View {
            held: held.map(|l| (l.instance.0 as u8, l.fence.0 as u8, l.renewed.0 as u8)),
        })
    }
}

/// One process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Process {
    /// Length of the log prefix that it has read.
    read: usize,
    /// Tick before its last append of an acquisition or renewal.
    sent: Option<u8>,
    /// End of its own term, once read back.
    until: u8,
    /// Token that its clock check passed for, until the command is issued.
    armed: Option<u8>,
    /// Commands left.
    commands: u8,
    /// Tick at which it read the other's last acquisition or renewal.
    since: u8,
}

/// State of the protocol.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    now: u8,
    log: Vec<Op>,
    processes: [Process; 2],
    /// Greatest token that the endpoint has accepted.
    accepted: u8,
    /// A property that a step violated.
    broken: Option<&'static str>,
}

/// A step.
#[derive(Clone, Copy, Debug)]
pub enum Action {
    /// Time passes.
    Tick,
    /// A process reads one record.
    Read(u8),
    /// A process appends an acquisition.
    Acquire(u8),
    /// A process appends a renewal.
    Renew(u8),
    /// A process appends an expiry.
    Expire(u8),
    /// A process checks its clock and decides on a command.
    Check(u8),
    /// The command reaches the endpoint.
    Command(u8),
}

/// The protocol over a state machine.
#[derive(Clone, Debug)]
pub struct Leasing<M> {
    /// Parts that are in place.
    pub guards: Guards,
    /// State machine that applies the log.
    pub machine: M,
}

impl<M: Machine<Op, View>> Leasing<M> {
    fn held(&self, log: &[Op]) -> Option<(u8, u8, u8)> {
        self.machine.fold(log).and_then(|v| v.held)
    }

    fn append(s: &State, p: usize, op: Op, action: Action, out: &mut Vec<(Action, State)>) {
        if s.log.len() == LOG_MAX {
            return;
        }
        let mut n = s.clone();
        if !matches!(op, Op::Expire(..)) {
            n.processes[p].sent = Some(s.now);
        }
        n.log.push(op);
        out.push((action, n));
    }

    /// Reads the next record; a process's own acquisition or renewal starts its term when it was sent.
    fn read(&self, s: &State, p: usize) -> Option<State> {
        let mut n = s.clone();
        let me = &mut n.processes[p];
        let op = s.log.get(me.read)?;
        let before = self.held(&s.log[..me.read]);
        me.read += 1;
        let after = self.held(&s.log[..me.read]);
        match (op, after) {
            (Op::Acquire(_) | Op::Renew(..), Some((holder, ..))) if before != after => {
                if usize::from(holder) == p {
                    me.until = me.sent.take().unwrap_or(0) + TERM;
                } else {
                    me.since = s.now;
                }
            }
            (Op::Acquire(by) | Op::Renew(by, _), _) if usize::from(*by) == p => me.sent = None,
            _ => {}
        }
        Some(n)
    }

    fn check(&self, s: &State, p: usize, fence: u8) -> Option<State> {
        let me = &s.processes[p];
        if me.armed.is_some() || me.commands == 0 || (self.guards.clock && s.now >= me.until) {
            return None;
        }
        let mut n = s.clone();
        n.processes[p].armed = Some(fence);
        if self
            .held(&s.log)
            .is_none_or(|(holder, ..)| usize::from(holder) != p)
        {
            n.broken = Some("a passed clock check means that nobody else was given the lease");
        }
        Some(n)
    }

    fn command(&self, s: &State, p: usize) -> Option<State> {
        let fence = s.processes[p].armed?;
        let mut n = s.clone();
        n.processes[p].armed = None;
        n.processes[p].commands -= 1;
        if fence >= s.accepted {
            n.accepted = fence;
        } else if !self.guards.fencing {
            n.broken =
                Some("an endpoint that checks tokens executes no command of an earlier holder");
        }
        Some(n)
    }
}

impl<M: Machine<Op, View>> Protocol for Leasing<M> {
    type State = State;
    type Action = Action;

    fn initial(&self) -> State {
        let p = Process {
            read: 0,
            sent: None,
            until: 0,
            armed: None,
            commands: COMMANDS,
            since: 0,
        };
        State {
            now: 0,
            log: vec![],
            processes: [p.clone(), p],
            accepted: 0,
            broken: None,
        }
    }

    fn steps(&self, s: &State) -> Vec<(Action, State)> {
        let mut out = Vec::new();
        if s.now < TICKS {
            out.push((
                Action::Tick,
                State {
                    now: s.now + 1,
                    ..s.clone()
                },
            ));
        }
        for id in 0..2u8 {
            let p = usize::from(id);
            let me = &s.processes[p];
            out.extend(self.read(s, p).map(|n| (Action::Read(id), n)));
            match self.held(&s.log[..me.read]) {
                None if me.sent.is_none() => {
                    Self::append(s, p, Op::Acquire(id), Action::Acquire(id), &mut out);
                }
                Some((holder, fence, _)) if holder == id => {
                    if me.sent.is_none() && s.now < me.until {
                        Self::append(s, p, Op::Renew(id, fence), Action::Renew(id), &mut out);
                    }
                    out.extend(self.check(s, p, fence).map(|n| (Action::Check(id), n)));
                }
                Some((_, fence, renewed)) => {
                    let margin = if self.guards.margin { DRIFT } else { 0 };
                    // The observer's clock may show up to DRIFT ticks more than have passed.
                    if s.now - me.since + DRIFT >= TERM + margin {
                        let current = self.held(&s.log).map_or(renewed, |(.., r)| r);
                        let seen = if self.guards.seen { renewed } else { current };
                        Self::append(s, p, Op::Expire(fence, seen), Action::Expire(id), &mut out);
                    }
                }
                None => {}
            }
            out.extend(self.command(s, p).map(|n| (Action::Command(id), n)));
        }
        out
    }

    fn violation(&self, s: &State) -> Option<&'static str> {
        if self.machine.fold(&s.log).is_none() {
            return Some("kernel refines specification");
        }
        s.broken
    }
}
