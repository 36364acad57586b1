//! An engine of the model and its requests.

use std::collections::VecDeque;

use sesamewing::{
    base::Millis,
    gateway::{EndpointId, WeightVersion},
};

/// A request at an engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Request {
    pub(crate) entry: usize,
    pub(crate) arrived: Millis,
    /// When its prompt is read, if the engine is not silent.
    pub(crate) read: Millis,
    pub(crate) duration: Millis,
    /// When the entry cancels it if it has not begun.
    pub(crate) begin_by: Option<Millis>,
    /// Whether the entry has closed its connection.
    pub(crate) closed: bool,
}

/// What an engine does beside its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum State {
    Serving,
    /// It takes no requests and loads when the running ones have ended.
    Draining(WeightVersion),
    Loading(WeightVersion, Millis),
}

#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) id: EndpointId,
    pub(crate) near: bool,
    pub(crate) version: WeightVersion,
    pub(crate) state: State,
    /// When it loads which version.
    pub(crate) start: Option<(Millis, WeightVersion)>,
    pub(crate) waiting: VecDeque<Request>,
    pub(crate) running: Vec<(Millis, usize)>,
    pub(crate) silence: Option<(Millis, Millis)>,
    /// Number of its record's state.
    pub(crate) sequence: u64,
}

impl Engine {
    /// Returns whether it reads, sends and begins nothing.
    pub(crate) fn is_silent(&self, now: Millis) -> bool {
        self.silence
            .is_some_and(|(from, to)| now >= from && now < to)
    }
}
