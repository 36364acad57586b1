//! All explorations, with and without each guard.

use crate::{
    claim::{self, Claiming},
    explore::{explore, Protocol, Verdict},
    lease::{self, Leasing},
    publish::{self, Race},
    snapshot::{self, Restoring},
    Abstract, Refined,
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

fn run<P: Protocol + Clone>(name: &str, mutant: Option<&'static str>, protocol: P) -> Run {
    Run {
        name: name.to_owned(),
        mutant,
        verdict: explore(&protocol),
    }
}

/// Explores one protocol with all guards and with each one removed.
macro_rules! family {
    ($out:ident, $name:literal, $protocol:ident, $field:ident: $machine:expr, $guards:expr, [$($guard:ident),+]) => {
        $out.push(run($name, None, $protocol { guards: $guards, $field: $machine }));
        $({
            let mut guards = $guards;
            guards.$guard = false;
            let protocol = $protocol { guards, $field: $machine };
            $out.push(run($name, Some(stringify!($guard)), protocol));
        })+
    };
}

/// Runs all explorations, over the specification alone and over specification and kernel side by side.
pub fn run_all() -> Vec<Run> {
    let mut out = Vec::new();
    let race = publish::Guards {
        revision: true,
        read_back: true,
    };
    family!(out, "publish/spec", Race, machine: Abstract, race, [revision, read_back]);
    family!(out, "publish/kernel", Race, machine: Refined, race, [revision, read_back]);
    let lease = lease::Guards {
        margin: true,
        fencing: true,
        seen: true,
        clock: true,
    };
    family!(out, "lease/spec", Leasing, machine: Abstract, lease, [margin, fencing, seen, clock]);
    family!(out, "lease/kernel", Leasing, machine: Refined, lease, [margin, fencing, seen, clock]);
    let claim = claim::Guards {
        read_back: true,
        settle: true,
        abandon: true,
    };
    family!(out, "claim/spec", Claiming, machine: Abstract, claim, [read_back, settle, abandon]);
    family!(out, "claim/kernel", Claiming, machine: Refined, claim, [read_back, settle, abandon]);
    let restore = snapshot::Guards {
        hash: true,
        gap: true,
    };
    family!(out, "snapshot/spec", Restoring, store: snapshot::Prefixes, restore, [hash, gap]);
    family!(out, "snapshot/kernel", Restoring, store: snapshot::Agreeing, restore, [hash, gap]);
    out
}
