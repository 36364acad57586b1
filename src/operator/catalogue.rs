//! `sesamewing options` and `sesamewing events`: the tables of the documentation.

use linkme::distributed_slice;
use serde_json::json;

use super::{Command, Outcome, COMMANDS};
use crate::{
    base::event::EVENTS,
    settings::{CHECKS, OPTIONS},
};

#[distributed_slice(COMMANDS)]
static LIST_OPTIONS: Command = Command {
    name: "options",
    args: "",
    summary: "print the table of settings options",
    free: 0,
    options: |_| {},
    run: |_| {
        let list: Vec<_> = OPTIONS
            .iter()
            .map(|s| {
                json!({"key": s.key, "kind": s.kind, "default": s.default, "min": s.min, "max": s.max,
                    "level": s.level.noun(), "meaning": s.meaning})
            })
            .collect();
        Box::pin(async move { Ok(Outcome::done(options_table(), list.into())) })
    },
};

#[distributed_slice(COMMANDS)]
static LIST_EVENTS: Command = Command {
    name: "events",
    args: "",
    summary: "print the catalogue of numbered events",
    free: 0,
    options: |_| {},
    run: |_| {
        let list: Vec<_> = EVENTS
            .iter()
            .map(|e| {
                json!({"number": e.number, "name": e.name, "level": e.level.to_string(),
                    "meaning": e.meaning, "remedy": e.remedy})
            })
            .collect();
        Box::pin(async move { Ok(Outcome::done(events_table(), list.into())) })
    },
};

/// Escapes a table cell; an empty one becomes a dash.
fn cell(text: &str) -> String {
    if text.is_empty() {
        return "-".to_owned();
    }
    text.replace('|', "\\|")
}

/// Formats the options and the rules between them as Markdown tables, as in `docs/settings.md`.
pub fn options_table() -> String {
    let mut specs: Vec<_> = OPTIONS.iter().collect();
    specs.sort_by_key(|s| s.key);
    let mut out = "| option | type | default | smallest | largest | deepest level | meaning |\n\
        |---|---|---|---|---|---|---|\n"
        .to_owned();
    for s in specs {
        let cells = [s.default, s.min, s.max, s.level.noun(), s.meaning].map(cell);
        out += &format!("| `{}` | {} | {} |\n", s.key, s.kind, cells.join(" | "));
    }
    let mut rules: Vec<_> = CHECKS.iter().map(|c| c.rule).collect();
    rules.sort_unstable();
    out += "\n| rule between options |\n|---|\n";
    for rule in rules {
        out += &format!("| {} |\n", cell(rule));
    }
    out
}

/// Formats the event catalogue as a Markdown table, as in `docs/events.md`.
pub fn events_table() -> String {
    let mut events: Vec<_> = EVENTS.iter().collect();
    events.sort_by_key(|e| e.number);
    let mut out = "| event | level | meaning | remedy |\n|---|---|---|---|\n".to_owned();
    for e in events {
        let level = e.level.to_string().to_lowercase();
        out += &format!(
            "| `{e}` | {level} | {} | {} |\n",
            cell(e.meaning),
            cell(e.remedy)
        );
    }
    out
}
