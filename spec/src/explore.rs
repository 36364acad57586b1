//! Breadth-first exploration of a protocol's states.

use std::{
    cell::Cell,
    fmt::Debug,
    hash::{Hash, Hasher},
};

use pathfinding::prelude::bfs;

/// A protocol with finitely many states.
pub trait Protocol {
    /// State of all processes, the log and the messages in transit.
    type State: Clone + Eq + Hash + Debug;
    /// One step of one process or of the environment.
    type Action: Clone + Debug;

    /// Returns the first state.
    fn initial(&self) -> Self::State;

    /// Lists the possible steps from a state.
    fn steps(&self, state: &Self::State) -> Vec<(Self::Action, Self::State)>;

    /// Returns the property that a state violates.
    fn violation(&self, state: &Self::State) -> Option<&'static str>;
}

/// A state with the action that led to it; two nodes with the same state are equal.
#[derive(Clone)]
struct Node<P: Protocol> {
    state: P::State,
    action: Option<P::Action>,
}

impl<P: Protocol> PartialEq for Node<P> {
    fn eq(&self, other: &Self) -> bool {
        self.state == other.state
    }
}

impl<P: Protocol> Eq for Node<P> {}

impl<P: Protocol> Hash for Node<P> {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.state.hash(hasher);
    }
}

/// Result of an exploration.
#[derive(Clone, Debug)]
pub struct Verdict {
    /// Number of states whose steps were explored.
    pub states: usize,
    /// The violated property with a shortest sequence of actions that leads to it.
    pub violation: Option<(&'static str, Vec<String>)>,
}

/// Explores all states of a protocol, or stops at the first violation.
pub fn explore<P: Protocol + Clone>(protocol: &P) -> Verdict {
    let states = Cell::new(0);
    let start = Node::<P> {
        state: protocol.initial(),
        action: None,
    };
    let next = |n: &Node<P>| {
        states.set(states.get() + 1);
        let steps = protocol.steps(&n.state);
        steps
            .into_iter()
            .map(|(a, state)| Node {
                state,
                action: Some(a),
            })
            .collect::<Vec<_>>()
    };
    let path = bfs(&start, next, |n| protocol.violation(&n.state).is_some());
    let violation = path.and_then(|path| {
        let property = protocol.violation(&path.last()?.state)?;
        let actions = path.iter().filter_map(|n| n.action.as_ref());
        Some((property, actions.map(|a| format!("{a:?}")).collect()))
    });
    Verdict {
        states: states.get(),
        violation,
    }
}
