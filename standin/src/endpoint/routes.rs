//! HTTP API of the engine, except for load commands.

use std::sync::{Arc, Mutex};

use rocket::{
    http::{Header, Status},
    response::{
        stream::{Event, EventStream},
        Responder,
    },
    serde::json::Json,
    Route, State,
};
use serde::Deserialize;
use serde_json::{json, Value};

use super::{
    engine::{Engine, Job, Prompt, Refusal},
    load::Loader,
};
use crate::{
    fault::{Fault, Faults, Gate},
    text::{answer_text, token_text},
};

use sesamewing::base::lock;

/// The last status, which the fault `freeze-reports` repeats.
pub(super) struct Reports {
    faults: Arc<Faults>,
    last: Mutex<Option<Value>>,
}

impl Reports {
    pub(super) fn new(faults: Arc<Faults>) -> Self {
        let last = Mutex::default();
        Self { faults, last }
    }

    fn is_frozen(&self, path: &str) -> bool {
        self.faults.find(Fault::FreezeReports, path).is_some()
    }
}

/// An answer that names the version that gave it.
#[derive(Responder)]
struct Versioned<T> {
    inner: T,
    version: Header<'static>,
}

impl<T> Versioned<T> {
    fn new(job: &Job, inner: T) -> Self {
        let version = job.prompt.version.to_string();
        Self {
            inner,
            version: Header::new("Engine-Version", version),
        }
    }
}

impl<'r> Responder<'r, 'static> for Refusal {
    fn respond_to(self, req: &'r rocket::Request<'_>) -> rocket::response::Result<'static> {
        let (status, reason) = match self {
            Self::NoVersion => (Status::ServiceUnavailable, "no version is loaded"),
            Self::Conflict => (
                Status::Conflict,
                "the id is in use or belongs to another version",
            ),
            Self::Unknown => (Status::NotFound, "the request is not known"),
            Self::Cancelled => (Status::Gone, "the request was cancelled"),
            Self::Range => (
                Status::BadRequest,
                "the number of tokens is 0 or the position is out of range",
            ),
        };
        (status, Json(json!({ "error": reason }))).respond_to(req)
    }
}

#[derive(Deserialize)]
struct Completion {
    id: String,
    prompt: String,
    max_tokens: u32,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    priority: u8,
}

/// Streams the tokens of a request from `from` on; the stream of a cancelled request ends without the `done` event.
fn stream(job: Arc<Job>, from: u32, gate: Gate) -> EventStream![] {
    let stream = EventStream! {
        let Prompt { id, version, max_tokens, .. } = &job.prompt;
        for index in from..*max_tokens {
            if !job.token(index).await {
                return;
            }
            gate.pass().await;
            let text = token_text(version.as_str(), id, index);
            yield Event::json(&json!({"index": index, "text": text, "version": version}));
        }
        yield Event::json(&json!({"done": true, "tokens": max_tokens, "version": version}));
    };
    stream.heartbeat(None)
}

/// Waits for all tokens of a request.
async fn whole(job: &Job) -> Result<Json<Value>, Refusal> {
    let Prompt {
        id,
        version,
        max_tokens,
        ..
    } = &job.prompt;
    if !job.token(max_tokens - 1).await {
        return Err(Refusal::Cancelled);
    }
    let text = answer_text(version.as_str(), id, *max_tokens);
    Ok(Json(json!({
        "id": id, "text": text, "tokens": max_tokens, "version": version,
    })))
}

#[derive(Responder)]
enum Answer<S> {
    Stream(S),
    Whole(Json<Value>),
}

#[rocket::post("/v1/completions", data = "<body>")]
async fn complete(
    engine: &State<Engine>,
    body: Json<Completion>,
    gate: Gate,
) -> Result<Versioned<Answer<EventStream![]>>, Refusal> {
    let body = body.into_inner();
    let (version, _) = engine.version().ok_or(Refusal::NoVersion)?;
    let prompt = Prompt {
        id: body.id,
        version,
        prompt: body.prompt,
        max_tokens: body.max_tokens,
        priority: body.priority,
    };
    let job = engine.submit(prompt)?;
    let answer = match body.stream {
        true => Answer::Stream(stream(job.clone(), 0, gate)),
        false => Answer::Whole(whole(&job).await?),
    };
    Ok(Versioned::new(&job, answer))
}

#[derive(Deserialize)]
struct Resume {
    id: String,
    from: u32,
}

#[rocket::post("/v1/resume", data = "<body>")]
fn resume(
    engine: &State<Engine>,
    body: Json<Resume>,
    gate: Gate,
) -> Result<Versioned<EventStream![]>, Refusal> {
    let job = engine.resume(&body.id, body.from)?;
    let answer = stream(job.clone(), body.from, gate);
    Ok(Versioned::new(&job, answer))
}

#[rocket::delete("/v1/requests/<id>")]
fn cancel(engine: &State<Engine>, id: &str) -> Result<(), Refusal> {
    engine.cancel(id)
}

#[rocket::get("/status")]
fn status(engine: &State<Engine>, loader: &State<Loader>, reports: &State<Reports>) -> Json<Value> {
    let mut last = lock(&reports.last);
    if let (true, Some(last)) = (reports.is_frozen("/status"), &*last) {
        return Json(last.clone());
    }
    let load = engine.load();
    let (version, hash) = engine.version().unzip();
    let now = json!({
        "version": version,
        "hash": hash,
        "loading": loader.is_loading(),
        "running": load.running,
        "waiting": load.waiting,
        "capacity": engine.capacity,
        "tokens_per_second": engine.speed,
    });
    *last = Some(now.clone());
    Json(now)
}

#[rocket::get("/cache/events?<from>")]
fn events(engine: &State<Engine>, reports: &State<Reports>, from: Option<u64>) -> Json<Value> {
    let from = from.unwrap_or(0);
    let (next, events) = match reports.is_frozen("/cache/events") {
        true => (from, Vec::new()),
        false => engine.events(from),
    };
    Json(json!({"next": next, "events": events}))
}

#[rocket::get("/cache/<id>", rank = 2)]
fn export(engine: &State<Engine>, id: &str) -> Result<Json<Prompt>, Refusal> {
    engine.export(id).map(Json)
}

#[rocket::put("/cache/<id>", data = "<prompt>")]
fn import(engine: &State<Engine>, id: &str, prompt: Json<Prompt>) -> Result<(), Refusal> {
    if prompt.id != id {
        return Err(Refusal::Conflict);
    }
    engine.import(prompt.into_inner())
}

pub(super) fn routes() -> Vec<Route> {
    rocket::routes![complete, resume, cancel, status, events, export, import]
}
