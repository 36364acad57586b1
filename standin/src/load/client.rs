//! Calls of the callers' API, and of an engine for comparison.

use std::{
    sync::Mutex,
    time::{Duration, Instant},
};

use eyre::Result;
use futures_util::StreamExt;
use reqwest::{RequestBuilder, Response};
use serde::Deserialize;
use serde_json::{json, Value};

use super::{
    check::Stream,
    record::{Answer, Verdict},
};
use crate::answer_text;

use sesamewing::base::lock;

/// Time after which an address that failed is used again.
const AVOID: Duration = Duration::from_secs(1);

/// Time beyond the deadline after which a call counts as silent.
const GRACE: Duration = Duration::from_secs(5);

#[derive(Deserialize)]
struct List {
    entries: Vec<Item>,
    lifetime_ms: u64,
}

#[derive(Deserialize)]
struct Item {
    address: String,
}

struct Entries {
    list: Vec<String>,
    until: Instant,
    failed: Vec<(String, Instant)>,
    next: usize,
}

/// A caller that knows some entries.
pub(super) struct Client {
    http: reqwest::Client,
    /// Addresses to ask when no listed entry answers.
    seeds: Vec<String>,
    entries: Mutex<Entries>,
    /// Whether the addresses are engines.
    direct: bool,
    service: String,
    deadline: Duration,
}

impl Client {
    pub(super) fn new(
        seeds: Vec<String>,
        direct: bool,
        service: String,
        deadline: Duration,
    ) -> Result<Self> {
        let entries = Entries {
            list: seeds.clone(),
            until: Instant::now(),
            failed: Vec::new(),
            next: 0,
        };
        Ok(Self {
            http: reqwest::Client::builder()
                .no_proxy()
                .tcp_nodelay(true)
                .connect_timeout(Duration::from_secs(1))
                .build()?,
            seeds,
            entries: Mutex::new(entries),
            direct,
            service,
            deadline,
        })
    }

    fn entries(&self) -> std::sync::MutexGuard<'_, Entries> {
        lock(&self.entries)
    }

    /// Keeps the list of entries up to date until the task is dropped.
    pub(super) async fn follow(&self) {
        if self.direct {
            return;
        }
        loop {
            let known = self.entries().list.clone();
            let mut pause = Duration::from_millis(200);
            for address in known.iter().chain(&self.seeds) {
                let call = self.http.get(format!("http://{address}/v1/entries"));
                let answer = call.timeout(Duration::from_secs(1)).send().await;
                let Ok(answer) = answer else { continue };
                let Ok(list) = answer.json::<List>().await else {
                    continue;
                };
                if list.entries.is_empty() {
                    continue;
                }
                pause = Duration::from_millis(list.lifetime_ms);
                let mut e = self.entries();
                e.list = list.entries.into_iter().map(|i| i.address).collect();
                e.until = Instant::now() + pause;
                break;
            }
            tokio::time::sleep(pause).await;
        }
    }

    /// Returns the next entry, one that did not fail recently and is not `last` if there is another.
    pub(super) fn pick(&self, last: Option<&str>) -> String {
        let mut e = self.entries();
        let now = Instant::now();
        e.failed.retain(|(_, at)| now - *at < AVOID);
        e.next += 1;
        let n = e.list.len();
        let (next, failed) = (e.next, &e.failed);
        let rotated = (0..n).map(|i| &e.list[(next + i) % n]);
        let good =
            |a: &&String| Some(a.as_str()) != last && failed.iter().all(|(failed, _)| failed != *a);
        let found = rotated.clone().find(good);
        let other = rotated.clone().find(|a| Some(a.as_str()) != last);
        found.or(other).unwrap_or(&e.list[0]).clone()
    }

    /// Notes that an entry could not be reached.
    pub(super) fn failed(&self, address: &str) {
        self.entries()
            .failed
            .push((address.to_owned(), Instant::now()));
    }

    async fn send(&self, call: RequestBuilder) -> Result<Response, Answer> {
        let limit = self.deadline + GRACE;
        match tokio::time::timeout(limit, call.send()).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(e)) => Err(Answer::new(Verdict::Lost, format!("{e:?}"))),
            Err(_) => Err(Answer::new(Verdict::Silent, "no answer")),
        }
    }

    /// Asks for a completion and checks the answer.
    pub(super) async fn complete(
        &self,
        address: &str,
        workspace: &str,
        prompt: &str,
        tokens: u32,
        stream: bool,
    ) -> Answer {
        let start = Instant::now();
        let url = format!("http://{address}/v1/completions");
        let id = uuid::Uuid::now_v7().to_string();
        let body = match self.direct {
            true => {
                json!({"id": id, "prompt": prompt, "max_tokens": tokens, "stream": stream})
            }
            false => {
                json!({"model": self.service, "prompt": prompt, "max_tokens": tokens, "stream": stream})
            }
        };
        let call = self
            .http
            .post(url)
            .header("Sesamewing-Workspace", workspace)
            .header(
                "Sesamewing-Deadline-Ms",
                self.deadline.as_millis().to_string(),
            )
            .json(&body);
        let response = match self.send(call).await {
            Ok(response) => response,
            Err(answer) => return answer,
        };
        let named = header(&response, "Sesamewing-Request");
        let id = if self.direct { id } else { named };
        let version = header(
            &response,
            if self.direct {
                "Engine-Version"
            } else {
                "Sesamewing-Version"
            },
        );
        let mut answer = if !response.status().is_success() {
            refusal(response).await
        } else if stream {
            self.stream(response, &id, &version, tokens, start).await
        } else {
            whole(response, &id, &version, tokens, start).await
        };
        answer.id = id;
        answer
    }

    async fn stream(
        &self,
        response: Response,
        id: &str,
        version: &str,
        tokens: u32,
        start: Instant,
    ) -> Answer {
        let mut check = Stream::new(id, version, tokens, self.direct, start);
        let mut body = response.bytes_stream();
        loop {
            let next = tokio::time::timeout(self.deadline + GRACE, body.next()).await;
            match next {
                Err(_) => return check.finish(Answer::new(Verdict::Silent, "the stream stalled")),
                Ok(Some(Ok(part))) => check.push(&part),
                Ok(Some(Err(e))) => {
                    return check.finish(Answer::new(Verdict::Lost, format!("{e:?}")))
                }
                Ok(None) => {
                    return check.finish(Answer::new(
                        Verdict::Cut,
                        "the stream ended without `done` and without an error",
                    ))
                }
            }
        }
    }

    /// Sends a non-repeatable order; the text of a good answer is its body.
    pub(super) async fn order(
        &self,
        address: &str,
        workspace: &str,
        id: &str,
        body: &str,
    ) -> Answer {
        let start = Instant::now();
        let call = self
            .http
            .post(format!("http://{address}/v1/services/orders/place"))
            .header("Sesamewing-Workspace", workspace)
            .header("Idempotency-Key", id)
            .header(
                "Sesamewing-Deadline-Ms",
                self.deadline.as_millis().to_string(),
            )
            .header("Content-Type", "text/plain")
            .body(body.to_owned());
        let response = match self.send(call).await {
            Ok(response) => response,
            Err(answer) => return answer,
        };
        let named = header(&response, "Sesamewing-Request");
        let mut answer = if response.status().is_success() {
            match response.json::<Value>().await {
                Err(e) => Answer::new(Verdict::Lost, format!("{e:?}")),
                Ok(receipt) => {
                    let own = receipt["id"] == id && named == id;
                    let right = own && receipt["size"] == body.len() && receipt["runs"] == 1;
                    let verdict = if right { Verdict::Good } else { Verdict::Wrong };
                    Answer::new(verdict, receipt.to_string())
                }
            }
        } else {
            refusal(response).await
        };
        answer.first = Some(start.elapsed());
        answer.id = id.to_owned();
        answer
    }

    /// Returns the runs of each id at a plain endpoint.
    pub(super) async fn runs(&self, url: &str) -> Result<Vec<(String, u64)>> {
        let answer = self.http.get(format!("{url}/runs")).send().await?;
        let value: Value = answer.json().await?;
        let runs = value["runs"].as_object().cloned().unwrap_or_default();
        Ok(runs
            .into_iter()
            .map(|(id, n)| (id, n.as_u64().unwrap_or(0)))
            .collect())
    }
}

fn header(response: &Response, name: &str) -> String {
    let value = response.headers().get(name).and_then(|v| v.to_str().ok());
    value.unwrap_or_default().to_owned()
}

/// Returns the verdict of an outcome's name.
pub(super) fn outcome(value: &Value) -> Verdict {
    match value["outcome"].as_str() {
        Some("not_run") => Verdict::NotRun,
        Some("may_have_run") => Verdict::MayHaveRun,
        Some("in_progress") => Verdict::InProgress,
        _ => Verdict::Error,
    }
}

async fn refusal(response: Response) -> Answer {
    let status = response.status();
    let retry = header(&response, "Retry-After");
    let alternate = Some(header(&response, "Sesamewing-Entry")).filter(|a| !a.is_empty());
    let value: Value = match response.json().await {
        Ok(value) => value,
        Err(e) if status.as_u16() < 500 => {
            return Answer::new(Verdict::Error, format!("{status}: {e}"))
        }
        Err(e) => return Answer::new(Verdict::Lost, format!("{status}: {e}")),
    };
    let verdict = outcome(&value);
    let mut out = Answer::new(verdict.clone(), format!("{status}: {}", value["error"]));
    out.alternate = alternate;
    out.retry = value["retry_after_ms"].as_u64().map(Duration::from_millis);
    if verdict == Verdict::NotRun && (out.retry.is_none() || retry.is_empty()) {
        out = Answer::new(Verdict::Wrong, "`not_run` without a time to retry");
    }
    out
}

async fn whole(response: Response, id: &str, version: &str, tokens: u32, start: Instant) -> Answer {
    let value: Value = match response.json().await {
        Ok(value) => value,
        Err(e) => return Answer::new(Verdict::Lost, format!("{e:?}")),
    };
    let mut out = Answer::new(Verdict::Good, "");
    out.first = Some(start.elapsed());
    let text = value["text"].as_str().unwrap_or_default();
    let wanted = answer_text(version, id, tokens);
    let hash = blake3::hash(text.as_bytes()).to_hex();
    let hash = value.get("hash").is_none_or(|h| h == hash.as_str());
    let named = value["id"] == id && value["version"] == version && hash;
    if named && text == wanted && value["tokens"] == tokens {
        return out;
    }
    let prefix = wanted.starts_with(text);
    out.verdict = if prefix { Verdict::Cut } else { Verdict::Wrong };
    out.text = format!("got {value}, expected {wanted}");
    out
}
