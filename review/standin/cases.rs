//! The cases. Each returns how its rule was broken, one line for each time; none if it held.

use super::*;

/// Runs the case of a name.
pub fn run(name: &str, run: &Run) -> Vec<String> {
    match name {
        "stale-check" => stale_check::run(run),
        "closed-readers" => closed_readers::run(run),
        "late-removal" => late_removal::run(run),
        _ => fail(&format!("no case {name}")),
    }
}

mod closed_readers;
mod engine;
mod late_removal;
mod plain;
mod stale_check;
