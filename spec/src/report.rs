//! All explorations, with and without each guard.

use std::{
    sync::{Mutex, PoisonError},
    thread,
};

use crate::{
    claim::{self, Claiming},
    explore::{explore, Protocol, Verdict},
    lease::{self, Leasing},
    publish::{self, Race},
    snapshot::{self, Restoring},
    Abstract, Memo, Refined,
};

/// One exploration.
#[derive(Clone, Debug)]
pub struct Run {
    /// Protocol and machine.
    pub name: String,
    /// Removed guard, or `None` for the complete protocol.
    pub mutant: Option<&'static str>,
    /// What was found.
    pub verdict: Verdict,
}

impl Run {
    /// Returns whether the complete protocol holds, or the removed guard was noticed.
    pub fn is_good(&self) -> bool {
        self.verdict.violation.is_some() == self.mutant.is_some()
    }
}

/// Number of properties that the protocols state, the refinement included.
pub const PROPERTIES: usize = 8;

/// An exploration that has not started.
type Task = Box<dyn FnOnce() -> Run + Send>;

fn task<P>(name: &str, mutant: Option<&'static str>, protocol: P) -> Task
where
    P: Protocol + Clone + Send + 'static,
{
    let name = name.to_owned();
    Box::new(move || Run {
        name,
        mutant,
        verdict: explore(&protocol),
    })
}

/// Lists the explorations of one protocol with all guards and with each one removed.
macro_rules! family {
    ($out:ident, $name:literal, $protocol:ident, $field:ident: $machine:expr, $guards:expr, [$($guard:ident),+]) => {
        $out.push(task($name, None, $protocol { guards: $guards, $field: $machine }));
        $({
            let mut guards = $guards;
            guards.$guard = false;
            let protocol = $protocol { guards, $field: $machine };
            $out.push(task($name, Some(stringify!($guard)), protocol));
        })+
    };
}

/// Lists all explorations, over the specification alone and over specification and kernel side by side.
fn tasks() -> Vec<Task> {
    let mut out = Vec::new();
    let race = publish::Guards {
        revision: true,
        read_back: true,
    };
    family!(out, "publish/spec", Race, machine: Memo::new(Abstract), race, [revision, read_back]);
    family!(out, "publish/kernel", Race, machine: Memo::new(Refined), race, [revision, read_back]);
    let lease = lease::Guards {
        margin: true,
        fencing: true,
        seen: true,
        clock: true,
    };
    family!(out, "lease/spec", Leasing, machine: Memo::new(Abstract), lease, [margin, fencing, seen, clock]);
    family!(out, "lease/kernel", Leasing, machine: Memo::new(Refined), lease, [margin, fencing, seen, clock]);
    let claim = claim::Guards {
        read_back: true,
        settle: true,
        abandon: true,
    };
    family!(out, "claim/spec", Claiming, machine: Memo::new(Abstract), claim, [read_back, settle, abandon]);
    family!(out, "claim/kernel", Claiming, machine: Memo::new(Refined), claim, [read_back, settle, abandon]);
    let restore = snapshot::Guards {
        hash: true,
        gap: true,
    };
    family!(out, "snapshot/spec", Restoring, store: snapshot::Prefixes, restore, [hash, gap]);
    family!(out, "snapshot/kernel", Restoring, store: snapshot::Agreeing, restore, [hash, gap]);
    out
}

/// Runs all explorations on several threads and passes each result to `done`.
pub fn run_all(done: impl Fn(&Run) + Sync) -> Vec<Run> {
    let queue = Mutex::new(tasks());
    let results = Mutex::new(Vec::new());
    let next = || queue.lock().unwrap_or_else(PoisonError::into_inner).pop();
    let work = || {
        while let Some(task) = next() {
            let run = task();
            done(&run);
            results
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(run);
        }
    };
    thread::scope(|scope| {
        for _ in 0..thread::available_parallelism().map_or(1, usize::from) {
            scope.spawn(work);
        }
    });
    results.into_inner().unwrap_or_else(PoisonError::into_inner)
}
