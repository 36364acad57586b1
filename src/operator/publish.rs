//! `sesamewing publish`: makes a settings tree the agreed one.

use std::sync::Arc;

use linkme::distributed_slice;
use serde_json::json;

use super::{
    state::{self, State},
    status, Change, Code, Command, Fleet, Invocation, OperatorError, Outcome, COMMANDS,
};
use crate::{
    backing::HttpPlatform,
    base::{Clock, Millis, Offset, SystemClock},
    feed::{append, follow, AppendError, Replica},
    kernel::{Body, Effect, Record, RecordError},
    settings::Tree,
};

/// Longest author that the kernel accepts, in bytes.
const AUTHOR_MAX: usize = 64;

/// Time for the append and its read-back; within it the same record is appended again when an answer is lost.
const READ_BACK: Millis = Millis(8000);

/// Pause between two rounds of asking the fleet.
const ROUND_PAUSE: Millis = Millis(250);

#[distributed_slice(COMMANDS)]
static PUBLISH: Command = Command {
    name: "publish",
    args: "FILE --author A [--message M] [--wait SECONDS]",
    summary: "publish a settings tree",
    free: 1,
    options: |o| {
        o.optopt("", "author", "who makes the change", "A");
        o.optopt(
            "",
            "message",
            "why; named in conflicts together with the author",
            "M",
        );
        o.optopt(
            "",
            "wait",
            "wait until every process has applied the change",
            "SECONDS",
        );
    },
    run: |i| Box::pin(run(i)),
};

async fn run(i: Invocation) -> Result<Outcome, OperatorError> {
    let author = author(&i)?;
    let wait = i.option::<u64>("wait")?;
    let tree = Tree::load(&i.file())?;
    let platform = i.platform()?;
    let State { kernel, base } = state::load(&platform, tree.revision).await?;
    let head = kernel.config();
    let change = Change::new(&tree, &base, head);
    if change.is_empty() {
        let offset = head.revision();
        return Ok(Outcome::done(
            format!("no change; the tree is in force since offset {offset}"),
            json!({"accepted": null, "offset": offset, "changes": {}}),
        ));
    }
    let conflicts = change.conflicts(head, &author);
    if !conflicts.is_empty() {
        return Err(OperatorError::Conflict(conflicts));
    }
    change.check(head)?;
    let (lines, changes) = (change.lines(head), change.json());
    let record = Record::new(Body::Publish(change.publish(&author)));
    let replica = Arc::new(Replica::new(kernel));
    let offset = commit(&platform, replica, &record).await?;
    let accepted = format!("{}\naccepted at offset {offset}", lines.join("\n"));
    let mut outcome = Outcome::done(
        accepted.clone(),
        json!({"accepted": offset, "offset": offset, "changes": changes}),
    );
    if let Some(secs) = wait {
        i.progress(&accepted);
        let (code, text) = catch_up(&i, &platform, offset, Millis::from_secs(secs)).await?;
        outcome.json["caught_up"] = (code == Code::Done).into();
        (outcome.code, outcome.text) = (code, text);
    }
    Ok(outcome)
}

/// Returns the author with the message; both are named in conflicts.
fn author(i: &Invocation) -> Result<String, OperatorError> {
    let author: String = i
        .option("author")?
        .filter(|a: &String| !a.trim().is_empty())
        .ok_or_else(|| OperatorError::Usage("`--author A` is missing".to_owned()))?;
    let text = match i.option::<String>("message")? {
        Some(m) => format!("{author} ({m})"),
        None => author,
    };
    if text.len() > AUTHOR_MAX || text.chars().any(char::is_control) {
        return Err(OperatorError::Usage(format!(
            "author and message together must be one line of at most {AUTHOR_MAX} bytes; shorten them"
        )));
    }
    Ok(text)
}

/// Appends the record and waits for its read-back.
async fn commit(
    platform: &HttpPlatform,
    replica: Arc<Replica>,
    record: &Record,
) -> Result<Offset, OperatorError> {
    let step = tokio::select! {
        step = append(platform, &replica, record, READ_BACK) => step,
        () = follow(replica.clone(), platform.clone()) => unreachable!("following does not end"),
    };
    let step = step.map_err(|e| match e {
        AppendError::Record(RecordError::TooLarge) => OperatorError::Refused(
            "the change is larger than one log record; publish it in parts, for example region by region".to_owned(),
        ),
        AppendError::Record(e) => OperatorError::Refused(e.to_string()),
        AppendError::Refused(_) => OperatorError::Unreachable(format!("not accepted: {e}")),
        AppendError::Unknown(_) => OperatorError::Unreachable(format!(
            "{e}; `sesamewing publish` with the same file does nothing if the change was accepted"
        )),
    })?;
    match step.effect {
        Effect::Published => Ok(step.offset),
        Effect::Conflict(c) => Err(OperatorError::Conflict(vec![*c])),
        _ => Err(OperatorError::Refused(format!(
            "the record at offset {} is out of the bounds of the tree; publish fewer nodes",
            step.offset
        ))),
    }
}

/// Watches the fleet until every process has applied `offset`.
async fn catch_up(
    i: &Invocation,
    platform: &HttpPlatform,
    offset: Offset,
    timeout: Millis,
) -> Result<(Code, String), OperatorError> {
    let clock = SystemClock::start();
    let mut last = String::new();
    loop {
        let answers = Fleet::read(platform).await?.statuses().await;
        let line = status::progress(&answers, offset);
        if status::all_applied(&answers, offset) {
            return Ok((Code::Done, format!("{line} after {}", clock.now())));
        }
        if clock.now() >= timeout {
            return Ok((
                Code::Behind,
                format!(
                    "{line} after {}; see `sesamewing status --offset {offset}`",
                    clock.now()
                ),
            ));
        }
        if line != last {
            i.progress(&line);
            last = line;
        }
        tokio::time::sleep(ROUND_PAUSE.duration()).await;
    }
}
