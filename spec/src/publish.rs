//! Racing operators: a change names the revision that it was made against.
//!
//! Two operators change one node, each twice. Appends may be repeated because their answers are lost, and an operator
//! may have read an old state.

use sesamewing::{
    base::Offset,
    kernel::{Body, Effect, NodePath, Publish, Values},
};

use crate::{explore::Protocol, refine::apply_all, Abstract, Machine, Real};

/// Changes that each operator makes.
const CHANGES: u8 = 2;

/// Largest log; bounds repeated appends.
const LOG_MAX: usize = 6;

/// Parts of the protocol that can be removed to show that a property depends on them.
#[derive(Clone, Copy, Debug)]
pub struct Guards {
    /// The state machine compares the named revision with the one in force.
    pub revision: bool,
    /// "Accepted" is said only after the change was read back.
    pub read_back: bool,
}

/// A change in the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Change {
    /// Operator and number of the change; equal for repeated appends.
    id: (u8, u8),
    /// Revision that the change names.
    base: u8,
    /// Revision that its author read; not known to the state machine.
    read: u8,
}

/// What the state machine made of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// Offset of the last accepted change, 0 at first.
    revision: u8,
    /// For each record whether it was accepted.
    accepted: Vec<bool>,
}

impl Machine<Change, View> for Abstract {
    fn fold(&self, log: &[Change]) -> Option<View> {
        let mut view = View {
            revision: 0,
            accepted: Vec::new(),
        };
        for (i, c) in log.iter().enumerate() {
            let repeated = log[..i].iter().any(|earlier| earlier.id == c.id);
            let accepted = !repeated && c.base == view.revision;
            if accepted {
                view.revision = i as u8 + 1;
            }
            view.accepted.push(accepted);
        }
        Some(view)
    }
}

impl Machine<Change, View> for Real {
    fn fold(&self, log: &[Change]) -> Option<View> {
        let body = |c: &Change| {
            Body::Publish(Publish {
                author: format!("operator-{}", c.id.0),
                base: vec![(NodePath::Root, Offset(c.base.into()))],
                nodes: vec![(NodePath::Root, Some(Values::new()))],
            })
        };
        let id = |c: &Change| 1 + u128::from(c.id.0) * 16 + u128::from(c.id.1);
        let (kernel, effects) = apply_all(log.iter().map(|c| (id(c), body(c))));
        let accepted = effects.iter().map(|e| *e == Effect::Published).collect();
        Some(View {
            revision: kernel.config().node_revision(&NodePath::Root).0 as u8,
            accepted,
        })
    }
}

/// Where an operator stands with its current change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Idle,
    Read(u8),
    Sent(u8),
}

/// State of the protocol.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    log: Vec<Change>,
    phase: [Phase; 2],
    made: [u8; 2],
    /// Changes that an operator was told are accepted.
    told: Vec<(u8, u8)>,
}

/// A step.
#[derive(Clone, Copy, Debug)]
pub enum Action {
    /// An operator reads the revision after some prefix of the log.
    Read(u8, usize),
    /// An operator appends its change, or appends it again.
    Append(u8),
    /// An operator learns the fate of its change.
    Learn(u8),
}

/// The protocol over a state machine.
#[derive(Clone, Debug)]
pub struct Race<M> {
    /// Parts that are in place.
    pub guards: Guards,
    /// State machine that applies the log.
    pub machine: M,
}

impl<M: Machine<Change, View>> Race<M> {
    /// Without the revision guard the driver names whatever revision is in force when the change is appended.
    fn base(&self, state: &State, read: u8) -> u8 {
        if self.guards.revision {
            return read;
        }
        self.machine.fold(&state.log).map_or(0, |v| v.revision)
    }
}

impl<M: Machine<Change, View>> Protocol for Race<M> {
    type State = State;
    type Action = Action;

    fn initial(&self) -> State {
        State {
            log: vec![],
            phase: [Phase::Idle; 2],
            made: [0; 2],
            told: vec![],
        }
    }

    fn steps(&self, s: &State) -> Vec<(Action, State)> {
        let mut out = Vec::new();
        for operator in 0..2u8 {
            let o = usize::from(operator);
            let id = (operator, s.made[o]);
            match s.phase[o] {
                Phase::Idle if s.made[o] < CHANGES => {
                    for prefix in 0..=s.log.len() {
                        let Some(view) = self.machine.fold(&s.log[..prefix]) else {
                            continue;
                        };
                        let mut n = s.clone();
                        n.phase[o] = Phase::Read(view.revision);
                        out.push((Action::Read(operator, prefix), n));
                    }
                }
                Phase::Idle => {}
                Phase::Read(read) => {
                    if s.log.len() < LOG_MAX {
                        let mut n = s.clone();
                        n.log.push(Change {
                            id,
                            base: self.base(s, read),
                            read,
                        });
                        n.phase[o] = Phase::Sent(read);
                        out.push((Action::Append(operator), n));
                    }
                }
                Phase::Sent(_) => {
                    let first = s.log.iter().position(|c| c.id == id);
                    if let Some(first) = first.filter(|_| s.log.len() < LOG_MAX) {
                        let mut n = s.clone();
                        n.log.push(s.log[first].clone());
                        out.push((Action::Append(operator), n));
                    }
                    let view = self.machine.fold(&s.log);
                    let accepted = first.zip(view).is_some_and(|(i, v)| v.accepted[i]);
                    let mut n = s.clone();
                    if accepted || !self.guards.read_back {
                        n.told.push(id);
                    }
                    n.phase[o] = Phase::Idle;
                    n.made[o] += 1;
                    out.push((Action::Learn(operator), n));
                }
            }
        }
        out
    }

    fn violation(&self, s: &State) -> Option<&'static str> {
        let Some(view) = self.machine.fold(&s.log) else {
            return Some("kernel refines specification");
        };
        let accepted = |id| {
            s.log
                .iter()
                .zip(&view.accepted)
                .any(|(c, accepted)| c.id == id && *accepted)
        };
        if s.told.iter().any(|id| !accepted(*id)) {
            return Some("a change is told accepted only if it is");
        }
        let mut revision = 0;
        for (i, change) in s.log.iter().enumerate().filter(|(i, _)| view.accepted[*i]) {
            if change.read != revision {
                return Some("no accepted change overwrites one that its author had not read");
            }
            revision = i as u8 + 1;
        }
        None
    }
}
