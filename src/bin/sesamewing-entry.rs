//! The entry daemon.

use std::process::ExitCode;

use sesamewing::{process, wire::Role};

fn main() -> ExitCode {
    process::start(Role::Entry, sesamewing::entry::run)
}
