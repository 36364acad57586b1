//! State machines over the log: the specification's table, the real kernel, and both side by side.

use std::{
    hash::Hash,
    sync::{Arc, Mutex, PoisonError},
};

use sesamewing::{
    base::{HashMap, Millis, Offset},
    kernel::{Body, Effect, Entry, Kernel, Record},
};

/// A deterministic state machine over a log of records.
pub trait Machine<R, V> {
    /// Returns the view after the whole log; `None` if two machines that must agree do not.
    fn fold(&self, log: &[R]) -> Option<V>;
}

/// The specification's table.
#[derive(Clone, Copy, Debug)]
pub struct Abstract;

/// The real kernel.
#[derive(Clone, Copy, Debug)]
pub struct Real;

/// Both machines; they must agree on each log.
#[derive(Clone, Copy, Debug)]
pub struct Refined;

impl<R, V: PartialEq> Machine<R, V> for Refined
where
    Abstract: Machine<R, V>,
    Real: Machine<R, V>,
{
    fn fold(&self, log: &[R]) -> Option<V> {
        let view = Abstract.fold(log)?;
        (Real.fold(log)? == view).then_some(view)
    }
}

/// Remembers the views of logs that were folded before; explored states share few logs.
#[derive(Clone, Debug)]
pub struct Memo<M, R, V> {
    inner: M,
    views: Arc<Mutex<HashMap<Vec<R>, Option<V>>>>,
}

impl<M, R, V> Memo<M, R, V> {
    /// Wraps a machine.
    pub fn new(inner: M) -> Self {
        Self {
            inner,
            views: Arc::default(),
        }
    }
}

impl<M: Machine<R, V>, R: Clone + Eq + Hash, V: Clone> Machine<R, V> for Memo<M, R, V> {
    fn fold(&self, log: &[R]) -> Option<V> {
        let mut views = self.views.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(view) = views.get(log) {
            return view.clone();
        }
        let view = self.inner.fold(log);
        views.insert(log.to_vec(), view.clone());
        view
    }
}

/// Time that the explored log stamps on its first record, in Unix milliseconds.
pub(crate) const LOG_TIME: Millis = Millis(1_700_000_000_000);

/// Window of the explored kernel; no id expires within an exploration.
const WINDOW: Millis = Millis::from_secs(3600);

/// Applies records to a new kernel through their encoded form and returns it with the effects.
pub(crate) fn apply_all(bodies: impl Iterator<Item = (u128, Body)>) -> (Kernel, Vec<Effect>) {
    let mut kernel = Kernel::new(WINDOW);
    let mut effects = Vec::new();
    for (i, (id, body)) in bodies.enumerate() {
        let record = Record {
            id: sesamewing::base::RecordId(id),
            body,
        };
        let entry = Entry {
            offset: Offset(i as u64 + 1),
            time: LOG_TIME,
            data: record.encode().unwrap_or_default(),
        };
        match kernel.apply(&entry) {
            Ok(step) => effects.push(step.effect),
            Err(_) => effects.push(Effect::Rejected),
        }
    }
    (kernel, effects)
}
