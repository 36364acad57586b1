//! What came of one request.

use std::{fmt, time::Duration};

use serde::Serialize;

/// Verdict on a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Verdict {
    /// The whole answer arrived and is right.
    Good,
    /// The system answered `not_run`.
    NotRun,
    /// The system answered `may_have_run`, also inside a stream.
    MayHaveRun,
    /// The system answered `in_progress`.
    InProgress,
    /// The connection to the entry was lost, or no entry took a connection.
    Lost,
    /// The client gave up waiting for an answer.
    Silent,
    /// Another error answer.
    Error,
    /// The answer is not the one to this request.
    Wrong,
    /// The answer was presented as whole, or ended like a whole one, and is not.
    Cut,
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = format!("{self:?}");
        f.write_str(&text.to_lowercase())
    }
}

/// Result of one call.
#[derive(Clone, Debug)]
pub(super) struct Answer {
    pub(super) verdict: Verdict,
    /// Request id that the answer names.
    pub(super) id: String,
    /// Reason of an error, or the body of an order's answer.
    pub(super) text: String,
    /// Time to the first token, or to the whole answer.
    pub(super) first: Option<Duration>,
    /// Times between tokens.
    pub(super) gaps: Vec<Duration>,
    /// Time after which the system wants a repeat.
    pub(super) retry: Option<Duration>,
    /// Another entry that the system names for the repeat.
    pub(super) alternate: Option<String>,
}

impl Answer {
    pub(super) fn new(verdict: Verdict, text: impl Into<String>) -> Self {
        Self {
            verdict,
            id: String::new(),
            text: text.into(),
            first: None,
            gaps: Vec::new(),
            retry: None,
            alternate: None,
        }
    }
}

/// One call of a request, for traces.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Step {
    /// Time of the call since the start of the run, in milliseconds.
    pub(super) at_ms: u64,
    /// Time that the call took, in milliseconds.
    pub(super) took_ms: u64,
    pub(super) entry: String,
    pub(super) verdict: Verdict,
    pub(super) text: String,
}

/// A request with its last answer and all calls.
#[derive(Clone, Debug)]
pub(super) struct Record {
    /// Planned time since the start of the run.
    pub(super) at: Duration,
    /// Time from the planned start to the end of the last call.
    pub(super) total: Duration,
    pub(super) workspace: String,
    pub(super) order: bool,
    pub(super) id: String,
    pub(super) answer: Answer,
    pub(super) steps: Vec<Step>,
}
