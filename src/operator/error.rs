//! Failures of operator commands and their exit codes.

use std::process::ExitCode;

use crate::{backing::PlatformError, kernel::Conflict, settings::Problems};

/// Exit code of a command; documented in docs/operations.md and never renumbered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Code {
    /// Done.
    Done = 0,
    /// The input is invalid or the change was refused.
    Refused = 1,
    /// The command line is wrong, or there is no explanation of a request.
    Usage = 2,
    /// The platform or the process cannot be reached.
    Unreachable = 3,
    /// The change conflicts with another one.
    Conflict = 4,
    /// Not every process has applied the offset.
    Behind = 5,
}

impl From<Code> for ExitCode {
    fn from(code: Code) -> Self {
        Self::from(code as u8)
    }
}

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum OperatorError {
    /// The command line is wrong.
    #[error("{0}")]
    Usage(String),
    /// There is no explanation of a request.
    #[error("{0}")]
    Unexplained(String),
    /// The settings tree is not valid.
    #[error(transparent)]
    Invalid(#[from] Problems),
    /// The command cannot be carried out.
    #[error("{0}")]
    Refused(String),
    /// The platform or a process cannot be reached.
    #[error("{0}")]
    Unreachable(String),
    /// Nodes were changed since the change's base.
    #[error("{}", .0.iter().map(|c| format!("conflict: {c}")).collect::<Vec<_>>().join("\n"))]
    Conflict(Vec<Conflict>),
}

impl From<PlatformError> for OperatorError {
    fn from(e: PlatformError) -> Self {
        Self::Unreachable(format!(
            "{e}; check `--platform` and that the platform runs"
        ))
    }
}

impl OperatorError {
    /// Returns the exit code.
    pub fn code(&self) -> Code {
        match self {
            Self::Usage(_) | Self::Unexplained(_) => Code::Usage,
            Self::Invalid(_) | Self::Refused(_) => Code::Refused,
            Self::Unreachable(_) => Code::Unreachable,
            Self::Conflict(_) => Code::Conflict,
        }
    }

    /// Describes the error for programs.
    pub fn json(&self) -> serde_json::Value {
        let mut value = serde_json::json!({
            "error": self.to_string(),
            "code": self.code() as u8,
        });
        match self {
            Self::Invalid(problems) => value["problems"] = serde_json::json!(problems.problems),
            Self::Conflict(conflicts) => {
                let describe = |c: &Conflict| {
                    serde_json::json!({
                        "path": c.path.to_string(), "base": c.base, "found": c.found,
                        "winner": c.winner, "author": c.author,
                    })
                };
                value["conflicts"] = conflicts.iter().map(describe).collect();
            }
            _ => {}
        }
        value
    }
}
