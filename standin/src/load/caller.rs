//! One request with its repeats.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use super::{
    client::Client,
    mix::{Arrival, Work},
    record::{Answer, Record, Step, Verdict},
};

/// Calls of one request at most.
const CALLS_MAX: usize = 6;

/// Pause before a call is repeated if the answer names no time.
const PAUSE: Duration = Duration::from_millis(200);

/// Sends a request at its time, repeats it where a caller would, and returns what came of it.
pub(super) async fn run(client: Arc<Client>, start: Instant, arrival: Arrival) -> Record {
    tokio::time::sleep_until((start + arrival.at).into()).await;
    let order = matches!(arrival.work, Work::Order { .. });
    let mut out = Record {
        at: arrival.at,
        total: Duration::ZERO,
        workspace: arrival.workspace.clone(),
        order,
        id: match order {
            true => uuid::Uuid::now_v7().to_string(),
            false => String::new(),
        },
        answer: Answer::new(Verdict::Lost, "not sent"),
        steps: Vec::new(),
    };
    let (mut last, mut named) = (None, None::<String>);
    while out.steps.len() < CALLS_MAX {
        let entry = named.take().unwrap_or_else(|| client.pick(last.as_deref()));
        let answer = call(&client, start, &entry, &arrival, &mut out).await;
        named.clone_from(&answer.alternate);
        let again = match (&answer.verdict, &arrival.work) {
            (Verdict::Lost, _) => {
                client.failed(&entry);
                true
            }
            // The entry leaves and names another one.
            (Verdict::NotRun, _) if named.is_some() => {
                client.failed(&entry);
                true
            }
            (Verdict::InProgress, _) => true,
            (Verdict::NotRun | Verdict::MayHaveRun, Work::Order { again, .. }) => {
                *again && out.steps.len() < 2
            }
            _ => false,
        };
        let pause = answer.retry.unwrap_or(PAUSE);
        out.answer = answer;
        if !again {
            break;
        }
        if out.answer.verdict != Verdict::Lost && named.is_none() {
            tokio::time::sleep(pause).await;
        }
        last = Some(entry);
    }
    out.total = start.elapsed().saturating_sub(arrival.at);
    if out.answer.verdict == Verdict::Good {
        repeat(&client, start, &arrival, &mut out).await;
    }
    out
}

/// Repeats an answered order at another entry; the receipt must be the same.
async fn repeat(client: &Client, start: Instant, arrival: &Arrival, out: &mut Record) {
    if !matches!(arrival.work, Work::Order { repeat: true, .. }) {
        return;
    }
    let last = out.steps.last().map(|s| s.entry.clone());
    let entry = client.pick(last.as_deref());
    let again = call(client, start, &entry, arrival, out).await;
    if again.verdict == Verdict::Wrong
        || (again.verdict == Verdict::Good && again.text != out.answer.text)
    {
        let text = format!("{} repeated as {}", out.answer.text, again.text);
        out.answer = Answer::new(Verdict::Wrong, text);
    }
}

async fn call(
    client: &Client,
    start: Instant,
    entry: &str,
    arrival: &Arrival,
    out: &mut Record,
) -> Answer {
    let begun = Instant::now();
    let workspace = &arrival.workspace;
    let answer = match &arrival.work {
        Work::Completion {
            prompt,
            tokens,
            stream,
        } => {
            client
                .complete(entry, workspace, prompt, *tokens, *stream)
                .await
        }
        Work::Order { body, .. } => client.order(entry, workspace, &out.id, body).await,
    };
    if !out.order {
        out.id.clone_from(&answer.id);
    }
    let millis = |d: Duration| d.as_millis() as u64;
    out.steps.push(Step {
        at_ms: millis(begun - start),
        took_ms: millis(begun.elapsed()),
        entry: entry.to_owned(),
        verdict: answer.verdict.clone(),
        text: answer.text.clone(),
    });
    answer
}
