//! Operator command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    sesamewing::operator::main()
}
