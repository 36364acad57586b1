//! The agent daemon.

use std::process::ExitCode;

use sesamewing::{process, wire::Role};

fn main() -> ExitCode {
    process::start(Role::Agent, sesamewing::agent::run)
}
