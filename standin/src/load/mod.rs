//! Load generator.

mod caller;
mod check;
mod client;
mod mix;
mod ports;
mod record;
mod report;
mod run;

use std::process::ExitCode;

const USAGE: &str = "\
Usage: sesamewing-load COMMAND [OPTIONS]

Commands:
    run           send open-loop traffic and verify each answer; `run --help` lists the options
    id            print a new request id, a UUID version 7
    hash KEY      print the BLAKE3 hash of an access key, for `access.keys`
    ports N [P]   print N loopback ports that are free for TCP and UDP, the next free ones from P on if it is given";

/// Runs the program from its command line.
pub fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let Some((command, rest)) = args.split_first() else {
        eprintln!("{USAGE}");
        return ExitCode::from(2);
    };
    let done = match command.as_str() {
        "id" => {
            println!("{}", uuid::Uuid::now_v7());
            return ExitCode::SUCCESS;
        }
        "hash" => {
            let key = rest.first().map_or("", String::as_str);
            println!("{}", blake3::hash(key.as_bytes()).to_hex());
            return ExitCode::SUCCESS;
        }
        "run" => run::main(rest),
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
