//! Problems found in a settings file.

use std::fmt;

use serde::Serialize;

/// Problems of one file after which reading stops; more do not help an operator and would cost memory.
pub(crate) const PROBLEMS_MAX: usize = 1000;

/// One problem, at the place where an operator mends it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Problem {
    /// Line in the file, from 1; 0 if the problem belongs to no line.
    pub line: usize,
    /// Full key or node path, empty for the file as a whole.
    pub key: String,
    /// What is wrong.
    pub reason: String,
    /// What to do about it.
    pub remedy: String,
}

impl Problem {
    /// Creates a problem from a message of the form `reason; remedy`.
    pub fn new(line: usize, key: impl Into<String>, text: impl fmt::Display) -> Self {
        let text = text.to_string();
        let (reason, remedy) = text
            .rsplit_once("; ")
            .unwrap_or((&text, "correct the value"));
        Self {
            line,
            key: key.into(),
            reason: reason.to_owned(),
            remedy: remedy.to_owned(),
        }
    }
}

/// All problems of one file, in order of lines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Problems {
    /// The file.
    pub file: String,
    /// At least one problem.
    pub problems: Vec<Problem>,
}

impl Problems {
    /// Sorts problems by line.
    pub fn new(file: impl Into<String>, mut problems: Vec<Problem>) -> Self {
        problems.sort();
        problems.dedup();
        Self {
            file: file.into(),
            problems,
        }
    }
}

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, p) in self.problems.iter().enumerate() {
            let end = if i == 0 { "" } else { "\n" };
            write!(f, "{end}{}:", self.file)?;
            if p.line > 0 {
                write!(f, "{}:", p.line)?;
            }
            if !p.key.is_empty() {
                write!(f, " {}:", p.key)?;
            }
            write!(f, " {}; {}", p.reason, p.remedy)?;
        }
        Ok(())
    }
}

impl std::error::Error for Problems {}
