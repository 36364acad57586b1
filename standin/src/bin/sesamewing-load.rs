//! Generates load on a deployment and verifies each answer.

use std::process::ExitCode;

fn main() -> ExitCode {
    sesamewing_standin::load::main()
}
