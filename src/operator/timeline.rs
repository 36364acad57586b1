//! `sesamewing timeline`: the moments of all processes in one order.

use std::path::PathBuf;

use linkme::distributed_slice;
use serde_json::json;

use super::{
    svg::render, table::table, Code, Command, Fleet, Invocation, OperatorError, Outcome, COMMANDS,
};
use crate::{
    base::{wall_ms, RequestId, VersionName},
    observe::Moment,
};

/// Time before now that is shown if the command line limits nothing, in milliseconds.
const RECENT_MS: u64 = 30_000;

/// Moments shown at most, so that a whole fleet's answers fit into memory.
const MOMENTS_MAX: usize = 200_000;

#[distributed_slice(COMMANDS)]
static TIMELINE: Command = Command {
    name: "timeline",
    args: "[--request ID | --rollout V | --from MS --to MS] [--svg FILE]",
    summary: "show what happened in all processes, in order of time",
    free: 0,
    options: |o| {
        o.optopt("", "request", "only moments of one request", "ID");
        o.optopt(
            "",
            "rollout",
            "only moments of the rollout of one version",
            "VERSION",
        );
        o.optopt(
            "",
            "from",
            "first time, Unix milliseconds (default: 30 s ago without other limits)",
            "MS",
        );
        o.optopt("", "to", "last time, Unix milliseconds", "MS");
        o.optopt("", "svg", "also draw the time line to a file", "FILE");
    },
    run: |i| Box::pin(run(i)),
};

/// Builds the query of the operator API.
fn query(i: &Invocation) -> Result<String, OperatorError> {
    let request = i.option::<RequestId>("request")?;
    let rollout = i.option::<VersionName>("rollout")?;
    let mut from = i.option::<u64>("from")?;
    let to = i.option::<u64>("to")?;
    if request.is_some() && rollout.is_some() {
        let text = "`--request` and `--rollout` exclude each other; use one of them";
        return Err(OperatorError::Usage(text.to_owned()));
    }
    if request.is_none() && rollout.is_none() && from.is_none() && to.is_none() {
        from = Some(wall_ms().saturating_sub(RECENT_MS));
    }
    let mut parts = Vec::new();
    parts.extend(request.map(|v| format!("request={v}")));
    parts.extend(rollout.map(|v| format!("rollout={v}")));
    parts.extend(from.map(|v| format!("from={v}")));
    parts.extend(to.map(|v| format!("to={v}")));
    Ok(format!("/timeline?{}", parts.join("&")))
}

async fn run(i: Invocation) -> Result<Outcome, OperatorError> {
    let path = query(&i)?;
    let fleet = Fleet::read(&i.platform()?).await?;
    let (mut parts, mut failed) = (Vec::new(), Vec::new());
    for (host, answer) in fleet.ask(&path).await {
        match answer.and_then(|body| decode(&body)) {
            Ok(moments) => parts.push(moments),
            Err(e) => failed.push(format!("{}: {e}", host.name)),
        }
    }
    let mut moments = merge(parts);
    if moments.len() > MOMENTS_MAX {
        failed.push(format!(
            "only the last {MOMENTS_MAX} of {} moments are shown",
            moments.len()
        ));
        moments.drain(..moments.len() - MOMENTS_MAX);
    }
    let mut text = describe(&moments);
    for f in &failed {
        text += &format!("! {f}\n");
    }
    if let Some(file) = i.option::<PathBuf>("svg")? {
        std::fs::write(&file, render(&moments)).map_err(|e| {
            let name = file.display();
            OperatorError::Refused(format!(
                "{name} cannot be written ({e}); choose another file"
            ))
        })?;
        text += &format!("drawn to {}\n", file.display());
    }
    let json = json!({"moments": moments, "unreachable": failed});
    Ok(Outcome {
        // A time line that lacks a process may lack the decisive moment.
        code: if failed.is_empty() {
            Code::Done
        } else {
            Code::Unreachable
        },
        text,
        json,
    })
}

fn decode(body: &[u8]) -> Result<Vec<Moment>, String> {
    let lines = body.split(|b| *b == b'\n').filter(|l| !l.is_empty());
    lines
        .map(|l| serde_json::from_slice(l).map_err(|e| format!("a malformed moment ({e})")))
        .collect()
}

/// Merges the moments of processes, each in its own order, into one order of time.
///
/// The order of one process is kept even if its wall clock stepped back.
pub fn merge(parts: Vec<Vec<Moment>>) -> Vec<Moment> {
    let mut all = Vec::new();
    for mut part in parts {
        part.sort_by_key(|m| m.sequence);
        let mut latest = 0;
        for m in part {
            latest = m.time_ms.max(latest);
            all.push((latest, m));
        }
    }
    // The sort is stable, so that moments of one process keep their order within a millisecond.
    all.sort_by(|(a, m), (b, n)| (a, &m.process).cmp(&(b, &n.process)));
    all.into_iter().map(|(_, m)| m).collect()
}

/// Formats moments as text, with times relative to the first one.
fn describe(moments: &[Moment]) -> String {
    let Some(first) = moments.first() else {
        return "no moments; processes keep the most recent ones only\n".to_owned();
    };
    let rows: Vec<_> = moments
        .iter()
        .map(|m| {
            let request = m.scope.request.map_or_else(String::new, |r| r.to_string());
            let version = m.scope.version.as_ref().map_or("", |v| v.as_str());
            vec![
                format!("+{} ms", m.time_ms.saturating_sub(first.time_ms)),
                m.process.to_string(),
                m.event.clone(),
                if request.is_empty() {
                    version.to_owned()
                } else {
                    request
                },
                m.text.clone(),
            ]
        })
        .collect();
    format!(
        "from {} Unix ms, each host's own clock\n{}",
        first.time_ms,
        table(&rows)
    )
}
