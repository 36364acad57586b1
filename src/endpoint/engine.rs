//! Adapter for model engines.

use std::convert::Infallible;

use bytes::Bytes;
use futures_util::stream;
use reqwest::{header::CONTENT_LENGTH, Body, Client, RequestBuilder, Response, StatusCode};
use serde::Deserialize;
use serde_json::{json, Map, Value};

use super::{
    http::{self, Lines},
    CacheEvents, Endpoint, EndpointError, EndpointStatus, Head, LoadOrder, Part, Run,
};
use crate::{
    base::{Millis, RequestId, VersionName},
    wire::RunRequest,
};

/// Time for a status, cancel or cache call; an engine that needs longer counts as silent.
const CALL_TIMEOUT: Millis = Millis(1000);

/// Time for the engine to take all weight bytes.
const LOAD_TIMEOUT: Millis = Millis::from_secs(600);

/// Largest answer to a status or cache call, in bytes.
const CALL_MAX: usize = 1 << 20;

/// Fields of the caller's body that are passed on.
const FIELDS: [&str; 3] = ["prompt", "max_tokens", "adapter"];

/// A model engine behind HTTP.
#[derive(Clone, Debug)]
pub struct Engine {
    client: Client,
    /// Sends calls with an effect: their refusals bear no id, so that one to an earlier call must not arrive in their
    /// place.
    effects: Client,
    base: String,
}

/// An answer of an engine in progress.
#[derive(Debug)]
pub struct EngineRun {
    resp: Response,
    head: Head,
    lines: Lines,
    /// Whether the body is a stream of events; other bodies are passed on as they are.
    events: bool,
}

#[derive(Deserialize)]
struct StatusBody {
    version: Option<VersionName>,
    #[serde(default)]
    loading: Loading,
    running: u32,
    waiting: u32,
    capacity: u32,
    tokens_per_second: f64,
}

/// The engine names the version that it loads, or only says whether it loads one.
#[derive(Deserialize)]
#[serde(untagged)]
enum Loading {
    Name(VersionName),
    Flag(bool),
    None(()),
}

impl Default for Loading {
    fn default() -> Self {
        Self::Flag(false)
    }
}

#[derive(Deserialize)]
struct CacheBody {
    next: u64,
    #[serde(default)]
    events: Vec<CacheEvent>,
}

#[derive(Deserialize)]
struct CacheEvent {
    prefix: u64,
}

#[derive(Deserialize)]
struct Event {
    id: Option<RequestId>,
    index: Option<u32>,
    #[serde(default)]
    text: String,
    version: Option<VersionName>,
    #[serde(default)]
    done: bool,
    tokens: Option<u32>,
}

impl Engine {
    /// Creates an adapter for the engine at `base`.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client cannot be set up.
    pub fn new(base: &str) -> Result<Self, EndpointError> {
        Ok(Self {
            client: http::client()?,
            effects: http::unpooled()?,
            base: base.to_owned(),
        })
    }

    fn url(&self, path: &str) -> String {
        http::url(&self.base, path)
    }

    async fn answer(&self, req: RequestBuilder, limit: Millis) -> Result<EngineRun, EndpointError> {
        let resp = http::send(req, limit).await?;
        match resp.status() {
            s @ (StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE) => {
                return Err(EndpointError::Refused(s.as_u16()))
            }
            s if s.is_server_error() => return Err(EndpointError::Lost(s.to_string())),
            _ => {}
        }
        let version = http::header(&resp, "engine-version").and_then(|v| v.parse().ok());
        let events = resp.status().is_success();
        let head = Head {
            status: resp.status().as_u16(),
            media: http::media(&resp),
            version,
            id: http::header(&resp, "request-id").and_then(|v| v.parse().ok()),
        };
        Ok(EngineRun {
            resp,
            head,
            lines: Lines::default(),
            events,
        })
    }

    async fn get<T: for<'de> Deserialize<'de>>(&self, path: &str) -> Result<T, EndpointError> {
        let req = self.client.get(self.url(path));
        let work = async {
            let mut resp = http::send(req, CALL_TIMEOUT).await?;
            if !resp.status().is_success() {
                return Err(EndpointError::Refused(resp.status().as_u16()));
            }
            let mut body = Vec::new();
            while let Some(data) = http::chunk(&mut resp, CALL_TIMEOUT).await? {
                if body.len() + data.len() > CALL_MAX {
                    return Err(EndpointError::Malformed("larger than 1 MiB".to_owned()));
                }
                body.extend_from_slice(&data);
            }
            serde_json::from_slice(&body).map_err(|e| EndpointError::Malformed(e.to_string()))
        };
        tokio::time::timeout(CALL_TIMEOUT.duration(), work)
            .await
            .map_err(|_| EndpointError::Silent(CALL_TIMEOUT))?
    }
}

/// Builds the engine's request from the caller's body.
fn body(req: &RunRequest) -> Result<Value, EndpointError> {
    let fields: Map<String, Value> = serde_json::from_slice(&req.body)
        .map_err(|e| EndpointError::NotSent(format!("the body is not a JSON object: {e}")))?;
    let mut out: Map<_, _> = fields
        .into_iter()
        .filter(|(k, v)| FIELDS.contains(&k.as_str()) && !v.is_null())
        .collect();
    out.insert("id".to_owned(), json!(req.id));
    out.insert("stream".to_owned(), json!(true));
    out.insert("priority".to_owned(), json!(req.priority));
    Ok(Value::Object(out))
}

impl Endpoint for Engine {
    type Run = EngineRun;

    async fn run(&self, req: &RunRequest, limit: Millis) -> Result<EngineRun, EndpointError> {
        let http = self
            .effects
            .post(self.url("v1/completions"))
            .json(&body(req)?);
        self.answer(http, limit).await
    }

    async fn resume(
        &self,
        req: &RunRequest,
        from: u32,
        limit: Millis,
    ) -> Result<EngineRun, EndpointError> {
        let order = json!({"id": req.id, "from": from});
        let http = self.effects.post(self.url("v1/resume")).json(&order);
        let run = self.answer(http, limit).await?;
        if run.head.status == StatusCode::NOT_FOUND.as_u16() {
            return Err(EndpointError::Missing);
        }
        Ok(run)
    }

    async fn cancel(&self, id: RequestId) {
        let http = self.client.delete(self.url(&format!("v1/requests/{id}")));
        // A request that cannot be cancelled ends by itself.
        let _ = http::send(http, CALL_TIMEOUT).await;
    }

    async fn status(&self) -> Result<EndpointStatus, EndpointError> {
        let s: StatusBody = self.get("status").await?;
        Ok(EndpointStatus {
            loading: match s.loading {
                Loading::Name(v) => Some(v),
                Loading::Flag(true) => s.version.clone(),
                Loading::Flag(false) | Loading::None(()) => None,
            },
            version: s.version,
            running: s.running,
            waiting: s.waiting,
            capacity: s.capacity,
            speed: s.tokens_per_second.max(0.0) as u32,
        })
    }

    async fn load(&self, order: LoadOrder) -> Result<(), EndpointError> {
        let size: usize = order.chunks.iter().map(Bytes::len).sum();
        let chunks = order.chunks.into_iter().map(Ok::<_, Infallible>);
        let http = self
            .effects
            .put(self.url("orders/load"))
            .header("Order-Version", order.version.as_str())
            .header("Order-Hash", order.whole.to_string())
            .header("Order-Fence", order.fence.to_string())
            .header(CONTENT_LENGTH, size)
            .body(Body::wrap_stream(stream::iter(chunks)));
        match http::send(http, LOAD_TIMEOUT).await?.status() {
            s if s.is_success() => Ok(()),
            StatusCode::CONFLICT => Err(EndpointError::Stale),
            s => Err(EndpointError::Refused(s.as_u16())),
        }
    }

    async fn cache_events(&self, from: u64) -> Result<CacheEvents, EndpointError> {
        let body: CacheBody = self.get(&format!("cache/events?from={from}")).await?;
        Ok(CacheEvents {
            next: body.next,
            prefixes: body.events.into_iter().map(|e| e.prefix).collect(),
        })
    }

    async fn drained(&self) -> Result<bool, EndpointError> {
        let s = self.status().await?;
        Ok(s.running == 0 && s.waiting == 0)
    }
}

impl Run for EngineRun {
    fn head(&self) -> &Head {
        &self.head
    }

    async fn next(&mut self, limit: Millis) -> Result<Part, EndpointError> {
        if !self.events {
            return http::raw_part(&mut self.resp, self.head.id, limit).await;
        }
        loop {
            if let Some(line) = self.lines.pop() {
                return part(&line);
            }
            let Some(data) = http::chunk(&mut self.resp, limit).await? else {
                return Err(EndpointError::Lost(
                    "no last event before the end".to_owned(),
                ));
            };
            self.lines.push(&data)?;
        }
    }
}

/// Decodes an event; the engine counts tokens from 0.
fn part(line: &[u8]) -> Result<Part, EndpointError> {
    let malformed = |reason: String| EndpointError::Malformed(reason);
    let e: Event = serde_json::from_slice(line).map_err(|e| malformed(e.to_string()))?;
    if e.done {
        return Ok(Part::End {
            id: e.id,
            tokens: e.tokens,
            version: e.version,
        });
    }
    let index = e
        .index
        .and_then(|i| i.checked_add(1))
        .ok_or_else(|| malformed("an event has no index".to_owned()))?;
    Ok(Part::Data {
        id: e.id,
        index,
        version: e.version,
        data: e.text.into(),
    })
}
