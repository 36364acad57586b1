//! Observes a rollout from outside.

use std::process::ExitCode;

fn main() -> ExitCode {
    sesamewing_standin::rollout::main()
}
