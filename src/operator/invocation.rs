//! Command registration, options that all commands share, and output.

use std::{io::Write, path::PathBuf};

use futures_util::future::LocalBoxFuture;
use getopts::{Matches, Options};
use linkme::distributed_slice;
use serde_json::Value;

use super::{Code, OperatorError};
use crate::backing::HttpPlatform;

/// Environment variable with the platform's base URL.
const PLATFORM_VARIABLE: &str = "SESAMEWING_PLATFORM";

/// All subcommands.
#[distributed_slice]
pub static COMMANDS: [Command];

/// A subcommand.
#[derive(Clone, Copy)]
pub struct Command {
    /// Name on the command line.
    pub name: &'static str,
    /// Arguments after the name, for the usage line.
    pub args: &'static str,
    /// One line for the list of commands.
    pub summary: &'static str,
    /// Number of arguments that are not options.
    pub free: usize,
    /// Adds the command's own options.
    pub options: fn(&mut Options),
    /// Runs the command.
    pub run: fn(Invocation) -> LocalBoxFuture<'static, Result<Outcome, OperatorError>>,
}

impl std::fmt::Debug for Command {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.name)
    }
}

/// What a command prints and returns.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Exit code.
    pub code: Code,
    /// Text for a person.
    pub text: String,
    /// The same for programs.
    pub json: Value,
}

impl Outcome {
    /// Creates the outcome of a command that was done.
    pub fn done(text: impl Into<String>, json: Value) -> Self {
        Self {
            code: Code::Done,
            text: text.into(),
            json,
        }
    }
}

/// A parsed command line.
#[derive(Debug)]
pub struct Invocation {
    matches: Matches,
    /// Whether output is JSON.
    pub json: bool,
}

impl Invocation {
    /// Returns an argument by its position.
    pub fn arg(&self, i: usize) -> &str {
        // The number of arguments was checked.
        self.matches.free.get(i).map_or("", String::as_str)
    }

    /// Returns the file named by the first argument.
    pub fn file(&self) -> PathBuf {
        self.arg(0).into()
    }

    /// Returns whether a flag is present.
    pub fn flag(&self, name: &str) -> bool {
        self.matches.opt_present(name)
    }

    /// Parses an option's value.
    ///
    /// # Errors
    ///
    /// Returns a usage error that names the option.
    pub fn option<T: std::str::FromStr>(&self, name: &str) -> Result<Option<T>, OperatorError>
    where
        T::Err: std::fmt::Display,
    {
        let parse = |text: String| {
            text.parse()
                .map_err(|e| OperatorError::Usage(format!("--{name} `{text}`: {e}")))
        };
        self.matches.opt_str(name).map(parse).transpose()
    }

    /// Connects to the platform that the command line or the environment names.
    ///
    /// # Errors
    ///
    /// Returns a usage error if neither names one.
    pub fn platform(&self) -> Result<HttpPlatform, OperatorError> {
        let url = self.matches.opt_str("platform");
        let url = url
            .or_else(|| std::env::var(PLATFORM_VARIABLE).ok())
            .ok_or_else(|| {
                OperatorError::Usage(format!(
                    "the platform is not known; add `--platform URL` or set {PLATFORM_VARIABLE}"
                ))
            })?;
        if reqwest::Url::parse(&url).is_err() {
            return Err(OperatorError::Usage(format!(
                "`{url}` is not a URL; use one such as `http://127.0.0.1:7100`"
            )));
        }
        Ok(HttpPlatform::new(&url)?)
    }

    /// Shows progress to a person; programs get only the outcome.
    pub fn progress(&self, text: &str) {
        if !self.json {
            eprintln!("{text}");
        }
    }
}

/// Prints a line; a reader that went away, such as `head`, is no error.
pub(super) fn out(text: &str) {
    let mut stdout = std::io::stdout().lock();
    let _ = writeln!(stdout, "{}", text.trim_end_matches('\n'));
}

fn parse(command: &Command, args: &[String]) -> Result<Option<Invocation>, OperatorError> {
    let mut options = Options::new();
    (command.options)(&mut options);
    options.optopt("", "platform", "base URL of the platform", "URL");
    options.optflag("", "json", "print JSON for programs");
    options.optflag("h", "help", "print this help and exit");
    let matches = options
        .parse(args)
        .map_err(|e| OperatorError::Usage(e.to_string()))?;
    if matches.opt_present("help") {
        let brief = format!(
            "{}\n\nUsage: sesamewing {} {}",
            command.summary, command.name, command.args
        );
        out(&options.usage(&brief));
        return Ok(None);
    }
    if matches.free.len() != command.free {
        return Err(OperatorError::Usage(format!(
            "{} arguments are given, {} are expected: {}",
            matches.free.len(),
            command.free,
            command.args
        )));
    }
    let json = matches.opt_present("json");
    Ok(Some(Invocation { matches, json }))
}

/// Parses the arguments of a command, runs it and prints its outcome.
pub(super) fn run(command: &Command, args: &[String]) -> Code {
    let json = args.iter().any(|a| a == "--json");
    let done = parse(command, args).and_then(|i| {
        let Some(invocation) = i else {
            return Ok(None);
        };
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|e| OperatorError::Refused(e.to_string()))?;
        runtime.block_on((command.run)(invocation)).map(Some)
    });
    match done {
        Ok(None) => Code::Done,
        Ok(Some(outcome)) => {
            if json {
                out(&outcome.json.to_string());
            } else if !outcome.text.is_empty() {
                out(&outcome.text);
            }
            outcome.code
        }
        Err(e) => {
            if json {
                out(&e.json().to_string());
            }
            let hint = match e {
                OperatorError::Usage(_) => {
                    format!("; see `sesamewing {} --help`", command.name)
                }
                _ => String::new(),
            };
            eprintln!("{e}{hint}");
            e.code()
        }
    }
}
