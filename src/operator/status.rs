//! `sesamewing status`: which processes have caught up, what they run and what needs attention.

use std::collections::BTreeMap;

use linkme::distributed_slice;
use serde_json::json;

use super::{
    state, table::table, Answer, Code, Command, Fleet, Invocation, OperatorError, Outcome, COMMANDS,
};
use crate::{
    base::{Millis, Offset, Service},
    observe::ProcessStatus,
    process::Phase,
};

/// Processes named in a progress line.
const NAMES_MAX: usize = 5;

/// Pause between two rounds of `--watch`.
const WATCH_PAUSE: Millis = Millis(1000);

#[distributed_slice(COMMANDS)]
static STATUS: Command = Command {
    name: "status",
    args: "[--offset N] [--watch]",
    summary: "ask every process in the host list for its status",
    free: 0,
    options: |o| {
        o.optopt(
            "",
            "offset",
            "the offset to be applied, by default the end of the log",
            "N",
        );
        o.optflag(
            "",
            "watch",
            "repeat until every process has applied the offset",
        );
    },
    run: |i| Box::pin(run(i)),
};

async fn run(i: Invocation) -> Result<Outcome, OperatorError> {
    let platform = i.platform()?;
    let asked = i.option::<Offset>("offset")?;
    loop {
        // The log may be down while the host list answers; the fleet's greatest offset then stands for its end.
        let head = state::head(&platform).await;
        let answers = Fleet::read(&platform).await?.statuses().await;
        let applied = answers.iter().filter_map(|a| a.status.as_ref().ok());
        let greatest = applied.map(|s| s.applied).max().unwrap_or_default();
        let offset = asked.unwrap_or(*head.as_ref().unwrap_or(&greatest));
        let mut outcome = report(&answers, offset);
        if let Err(e) = head {
            outcome.text += &format!("\nthe log cannot be read: {e}");
            outcome.json["log"] = e.to_string().into();
        }
        if !i.flag("watch") || outcome.code == Code::Done {
            return Ok(outcome);
        }
        i.progress(&progress(&answers, offset));
        tokio::time::sleep(WATCH_PAUSE.duration()).await;
    }
}

fn applied(answer: &Answer, offset: Offset) -> bool {
    answer.status.as_ref().is_ok_and(|s| s.applied >= offset)
}

/// Returns whether every process in the list has applied `offset`.
pub(super) fn all_applied(answers: &[Answer], offset: Offset) -> bool {
    answers.iter().all(|a| applied(a, offset))
}

/// Summarises in one line how far the fleet has caught up.
pub(super) fn progress(answers: &[Answer], offset: Offset) -> String {
    let missing: Vec<_> = answers.iter().filter(|a| !applied(a, offset)).collect();
    let (all, done) = (answers.len(), answers.len() - missing.len());
    let mut line = format!("{done} of {all} processes have applied offset {offset}");
    if missing.is_empty() {
        return line;
    }
    let names: Vec<_> = missing
        .iter()
        .take(NAMES_MAX)
        .map(|a| a.host.name.as_str())
        .collect();
    line += &format!("; waiting for {}", names.join(", "));
    if missing.len() > names.len() {
        line += &format!(" and {} more", missing.len() - names.len());
    }
    line
}

fn state_of(s: &ProcessStatus) -> String {
    match s.phase {
        Phase::Serving => format!("{:?}", s.status.state).to_lowercase(),
        Phase::Draining | Phase::Stopped => format!("{:?}", s.phase).to_lowercase(),
    }
}

/// Age of the log's last confirmation that is reported; an accepted change is in force everywhere within 6 s.
const CONFIRMED_WITHIN: Millis = Millis::from_secs(6);

/// Describes what an operator has to look at, one entry a fact.
fn remarks(answer: &Answer, offset: Offset) -> Vec<String> {
    let s = match &answer.status {
        Ok(s) => s,
        Err(e) => return vec![format!("unreachable: {e}")],
    };
    let mut out = Vec::new();
    if s.applied < offset {
        let (n, since) = (offset.0 - s.applied.0, seconds(s.applied_ms));
        out.push(format!("{n} records behind, last applied {since} ago"));
    }
    if let Some(reason) = &s.blocked {
        out.push(format!("blocked: {reason}"));
    }
    if let Some(since) = s.isolated_ms {
        out.push(format!("isolated for {}", seconds(since)));
    }
    let unconfirmed = s.confirmed_ms.filter(|age| *age > CONFIRMED_WITHIN);
    if let (Some(age), None) = (unconfirmed, s.isolated_ms) {
        out.push(format!("log last confirmed {} ago", seconds(age)));
    }
    out.extend(s.status.alarms.iter().map(|a| format!("alarm: {a}")));
    out
}

fn seconds(ms: Millis) -> String {
    format!("{}.{} s", ms.0 / 1000, ms.0 % 1000 / 100)
}

fn row(answer: &Answer, offset: Offset) -> Vec<String> {
    let dash = || "-".to_owned();
    let h = &answer.host;
    let mut row = vec![
        h.name.to_string(),
        format!("{:?}", h.role).to_lowercase(),
        h.zone.to_string(),
    ];
    match &answer.status {
        Ok(s) => row.extend([
            state_of(s),
            s.applied.to_string(),
            s.status
                .version
                .as_ref()
                .map_or_else(dash, ToString::to_string),
            s.status
                .chunks
                .map_or_else(dash, |(held, all)| format!("{held}/{all}")),
            s.status.running.to_string(),
        ]),
        Err(_) => row.extend(["unreachable".to_owned(), dash(), dash(), dash(), dash()]),
    }
    row.push(remarks(answer, offset).join("; "));
    row
}

/// Counts the agents of each service by the version that their endpoint confirmed.
fn versions(answers: &[Answer]) -> BTreeMap<Service, BTreeMap<String, usize>> {
    let mut out: BTreeMap<Service, BTreeMap<String, usize>> = BTreeMap::new();
    for s in answers.iter().filter_map(|a| a.status.as_ref().ok()) {
        let (Some(service), version) = (&s.service, &s.status.version) else {
            continue;
        };
        let version = version
            .as_ref()
            .map_or("none".to_owned(), ToString::to_string);
        *out.entry(service.clone())
            .or_default()
            .entry(version)
            .or_default() += 1;
    }
    out
}

/// Reports on a fleet for people and programs.
pub(super) fn report(answers: &[Answer], offset: Offset) -> Outcome {
    let heads = [
        "NAME", "ROLE", "ZONE", "STATE", "APPLIED", "VERSION", "CHUNKS", "RUNNING", "REMARKS",
    ];
    let mut rows = vec![heads.map(str::to_owned).to_vec()];
    rows.extend(answers.iter().map(|a| row(a, offset)));
    let mut text = table(&rows);
    let versions = versions(answers);
    for (service, counts) in &versions {
        let list: Vec<_> = counts.iter().map(|(v, n)| format!("{v} on {n}")).collect();
        text += &format!("{service}: {}\n", list.join(", "));
    }
    text += &progress(answers, offset);
    let unreachable = answers.iter().filter(|a| a.status.is_err()).count();
    if unreachable > 0 {
        text += &format!("; {unreachable} unreachable");
    }
    let processes: Vec<_> = answers
        .iter()
        .map(|a| {
            json!({"name": a.host.name, "caught_up": applied(a, offset), "host": a.host,
                "status": a.status.as_ref().ok(), "error": a.status.as_ref().err(),
                "remarks": remarks(a, offset)})
        })
        .collect();
    let done = all_applied(answers, offset);
    Outcome {
        code: if done { Code::Done } else { Code::Behind },
        text,
        json: json!({"offset": offset, "caught_up": done, "unreachable": unreachable,
            "versions": versions, "processes": processes}),
    }
}
