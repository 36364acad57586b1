//! Load generator.

mod ports;

use std::process::ExitCode;

const USAGE: &str = "\
Usage: sesamewing-load COMMAND [OPTIONS]

Commands:
    ports N       print N loopback ports that are free for TCP and UDP";

/// Runs the program from its command line.
pub fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let Some((command, rest)) = args.split_first() else {
        eprintln!("{USAGE}");
        return ExitCode::from(2);
    };
    let done = match command.as_str() {
        "ports" => ports::main(rest),
        "-h" | "--help" | "help" => {
            println!("{USAGE}");
            return ExitCode::SUCCESS;
        }
        other => {
            eprintln!("unknown command `{other}`\n\n{USAGE}");
            return ExitCode::from(2);
        }
    };
    match done {
        Ok(code) => code,
        Err(e) => {
            eprintln!("sesamewing-load: {e:#}");
            ExitCode::FAILURE
        }
    }
}
