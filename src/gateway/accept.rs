//! Turns a caller's request into a job: route, workspace, deadline and headers for the endpoint.

use std::rc::Rc;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::{
    body::{Body, Incoming},
    header::{
        HeaderMap, HeaderName, HeaderValue, CONNECTION, CONTENT_LENGTH, EXPECT, HOST, TE, TRAILER,
        TRANSFER_ENCODING, UPGRADE,
    },
    http::request::Parts,
    Method, Request, Uri,
};

use super::{
    catalog::{Catalog, Route, WorkspaceSpec},
    context::Context,
    events::EventId,
    headers::text,
    reply::Reject,
    Headers,
};
use crate::base::{rendezvous, Millis, Service};

/// Deadline of callers that name none.
const DEADLINE: Millis = Millis(30_000);

/// Time by which a deadline must be shorter than the route's timeout to count as that of a returning caller.
const RETURNING: Millis = Millis(100);

/// Mean time after which a caller of an entry returns that is starting.
const STARTING: Millis = Millis(600);

/// Headers that concern one connection only.
const HOP: [HeaderName; 6] = [CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE, EXPECT];

/// A request with everything that an attempt needs.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) id: HeaderValue,
    pub(super) route: Rc<Route>,
    pub(super) service: Service,
    pub(super) method: Method,
    pub(super) uri: Uri,
    /// Headers for the endpoint, without those that differ between attempts.
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) model: Option<Rc<str>>,
    /// Tokens of the prompt, and of the output at most.
    pub(super) prompt: u32,
    pub(super) output: u32,
    /// Tokens of the output that the caller expects.
    pub(super) hint: Option<u32>,
    pub(super) start: Millis,
    /// End of the caller's and the route's patience.
    pub(super) deadline: Millis,
    /// Last event that the caller has.
    pub(super) last: Option<EventId>,
    /// Whether the caller returns after a refusal.
    pub(super) late: bool,
    pub(super) priority: u8,
}

impl Job {
    /// Returns the id as text, for logs.
    pub(super) fn id(&self) -> &str {
        self.id.to_str().unwrap_or("?")
    }
}

fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    text(headers, name)?.trim().parse().ok()
}

/// Returns the path and query without scheme and authority, and the host.
fn target(head: &Parts) -> Result<(Uri, String), Reject> {
    let host = head.headers.get(HOST).and_then(|h| h.to_str().ok());
    let host = host
        .or_else(|| head.uri.authority().map(|a| a.as_str()))
        .ok_or(Reject::Malformed)?
        .to_owned();
    let path = head.uri.path_and_query().ok_or(Reject::Malformed)?;
    let uri = Uri::builder()
        .path_and_query(path.clone())
        .build()
        .map_err(|_| Reject::Malformed)?;
    Ok((uri, host))
}

fn workspace(
    catalog: &Catalog,
    route: &Route,
    headers: &HeaderMap,
    names: &Headers,
) -> Result<Option<Rc<WorkspaceSpec>>, Reject> {
    let Some(keys) = &catalog.keys else {
        return Ok(None);
    };
    let found = headers.get(&names.key).and_then(|k| keys.get(k.as_bytes()));
    if route.public || found.is_some() {
        return Ok(found.cloned());
    }
    Err(Reject::Unauthorized)
}

/// Removes the headers that concern one connection or that only the entry may set.
fn strip(headers: &mut HeaderMap, names: &Headers) {
    let nominated: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let own = [
        &names.key,
        &names.workspace,
        &names.instance,
        &names.version,
        &names.priority,
        &names.deadline,
    ];
    for name in nominated.iter().chain(&HOP).chain(own) {
        if *name != HOST && *name != names.request_id {
            headers.remove(name);
        }
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
    headers.remove(CONTENT_LENGTH);
}

async fn read_body(body: Incoming, catalog: &Catalog) -> Result<Bytes, Reject> {
    let limits = &catalog.limits;
    if body.size_hint().lower() > limits.body_max as u64 {
        return Err(Reject::TooLarge);
    }
    let read = Limited::new(body, limits.body_max).collect();
    let read = tokio::time::timeout(limits.send_time.duration(), read)
        .await
        .map_err(|_| Reject::RequestTimeout)?;
    match read {
        Ok(body) => Ok(body.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => Err(Reject::TooLarge),
        Err(_) => Err(Reject::Malformed),
    }
}

/// Reads a request and decides where it belongs.
///
/// # Errors
///
/// Returns the answer for a request that no endpoint gets.
pub(super) async fn accept(ctx: &Context, req: Request<Incoming>) -> Result<Job, Reject> {
    let start = ctx.now();
    let catalog = ctx.catalog.borrow().clone();
    let Some(catalog) = catalog.filter(|_| ctx.fleet_known.get()) else {
        return Err(Reject::Starting(crate::base::jitter(STARTING)));
    };
    let names = &ctx.headers;
    let (head, body) = req.into_parts();
    let (uri, host) = target(&head)?;
    let route = catalog
        .find(&host, uri.path())
        .ok_or(Reject::NoRoute)?
        .clone();
    let mut headers = head.headers;
    let workspace = workspace(&catalog, &route, &headers, names)?;
    let id = headers
        .get(&names.request_id)
        .cloned()
        .ok_or(Reject::Malformed)?;
    let patience = number(&headers, &names.deadline).map_or(DEADLINE, Millis);
    let model = text(&headers, &names.model).map(Rc::from);
    let mut tokens = text(&headers, &names.tokens)
        .unwrap_or_default()
        .split(',')
        .map(|n| n.trim().parse().unwrap_or(0));
    let (prompt, output) = (tokens.next().unwrap_or(0), tokens.next().unwrap_or(0));
    let hint = number(&headers, &names.hint).and_then(|n| u32::try_from(n).ok());
    let last = text(&headers, &names.last_event).and_then(|v| v.trim().parse().ok());
    strip(&mut headers, names);
    if let Some(w) = &workspace {
        let value = HeaderValue::from_str(w.name.as_str()).map_err(|_| Reject::Malformed)?;
        headers.insert(&names.workspace, value);
    }
    let body = read_body(body, &catalog).await?;
    let service = route.service(rendezvous(b"split", id.as_bytes())).clone();
    let priority = workspace.and_then(|w| w.priority).unwrap_or(route.priority);
    Ok(Job {
        late: patience + RETURNING < route.timeout,
        deadline: start + patience.min(route.timeout),
        id,
        service,
        method: head.method,
        uri,
        headers,
        body,
        model,
        prompt,
        output,
        hint,
        start,
        last,
        priority,
        route,
    })
}
