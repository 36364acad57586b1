//! The operator program `sesamewing`.
//!
//! Each subcommand is one file that registers itself in [`COMMANDS`].

mod catalogue;
mod change;
mod check;
mod diff;
mod drain;
mod error;
mod explain;
mod explain_text;
mod fleet;
mod invocation;
mod publish;
mod pull;
mod show;
mod state;
mod status;
mod svg;
mod table;
mod timeline;

pub use catalogue::{events_table, options_table};
pub use change::Change;
pub use error::{Code, OperatorError};
pub use fleet::{Answer, Fleet};
pub use invocation::{Command, Invocation, Outcome, COMMANDS};
pub use svg::render;
pub use timeline::merge;

use std::process::ExitCode;

use invocation::out;

/// Runs the program from its command line.
pub fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let Some((name, rest)) = args.split_first() else {
        eprintln!("{}", help());
        return Code::Usage.into();
    };
    match name.as_str() {
        "--help" | "-h" | "help" => {
            out(&help());
            return Code::Done.into();
        }
        "--version" => {
            out(&format!("sesamewing {}", env!("CARGO_PKG_VERSION")));
            return Code::Done.into();
        }
        _ => {}
    }
    let Some(command) = COMMANDS.iter().find(|c| c.name == name) else {
        let hint = crate::settings::nearest(name, COMMANDS.iter().map(|c| c.name))
            .map_or_else(String::new, |h| format!("; did you mean `{h}`?"));
        eprintln!("sesamewing: `{name}` is not a command{hint}\n{}", help());
        return Code::Usage.into();
    };
    invocation::run(command, rest).into()
}

/// Describes all commands and the exit codes.
fn help() -> String {
    let mut commands: Vec<_> = COMMANDS.iter().collect();
    commands.sort_by_key(|c| c.name);
    let mut text = "Usage: sesamewing COMMAND [OPTIONS]\n\nCommands:\n".to_owned();
    for c in commands {
        text += &format!("    {:10} {}\n", c.name, c.summary);
    }
    text + "\nEach command has --help and --json. Commands that talk to the deployment need --platform URL or\n\
        SESAMEWING_PLATFORM in the environment.\n\n\
        Exit codes: 0 done, 1 refused or invalid, 2 wrong usage or no explanation, 3 platform or process unreachable, 4 conflict,\n\
        5 not caught up"
}
