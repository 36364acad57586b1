//! Observer of a rollout: replicas over time, bytes, processor time and memory.

mod figures;
mod host;
mod observe;
mod picture;

use std::process::ExitCode;

/// Runs the program from its command line.
pub fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match observe::main(&args) {
        Ok(code) => code,
        Err(e) => {
            eprintln!("sesamewing-rollout: {e:#}");
            ExitCode::FAILURE
        }
    }
}
