//! Reads and validates a caller's request and determines its route, workspace, deadline and headers for the endpoint.

use std::rc::Rc;

use hyper::{
    body::Incoming,
    header::{
        HeaderMap, HeaderName, HeaderValue, CONNECTION, CONTENT_LENGTH, EXPECT, HOST, TE, TRAILER,
        TRANSFER_ENCODING, UPGRADE,
    },
    http::request::Parts,
    Request, Uri,
};

use super::{
    body::{self, RequestBody},
    catalog::{CallerLimits, Catalog, Route, WorkspaceSpec},
    context::Context,
    headers::text,
    job::Job,
    prompt::shared_parts,
    reply::Reject,
    returning::rejected_at,
    Headers,
};
use crate::{
    base::{rendezvous, Millis},
    decide::{quarantine::PartKey, residency::Residency, stop, worth::Group},
};

/// Deadline of requests without a deadline header, counted from their arrival.
const DEADLINE_DEFAULT: Millis = Millis(30_000);

/// Size of a head, in bytes, that is accepted whatever the limit.
const HEAD_ALWAYS: usize = 8 << 10;

/// Mean `Retry-After` of responses of an entry that is still starting.
const STARTING_RETRY_AFTER: Millis = Millis(600);

/// Hop-by-hop headers, which concern one connection only and are not forwarded.
const HOP_BY_HOP: [HeaderName; 6] = [CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE, EXPECT];

fn header_number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    text(headers, name)?.trim().parse().ok()
}

/// Returns the URI reduced to path and query, and the host that the request names.
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

/// Removes hop-by-hop headers, the caller's key, and headers that only the entry may set.
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
    for name in nominated.iter().chain(&HOP_BY_HOP).chain(own) {
        if *name != HOST && *name != names.request_id {
            headers.remove(name);
        }
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
    headers.remove(CONTENT_LENGTH);
}

/// Returns the size of a request's head as it is sent, without spaces that mean nothing.
fn head_size(head: &Parts) -> usize {
    /// Bytes of the request line beside method and target, and of a header's line beside name and value.
    const REQUEST_LINE: usize = "  HTTP/1.1\r\n".len();
    const HEADER_LINE: usize = ": \r\n".len();
    let target = head.uri.path_and_query().map_or(0, |p| p.as_str().len());
    let line = head.method.as_str().len() + target + REQUEST_LINE;
    let headers = head.headers.iter();
    let size = |(name, value): (&HeaderName, &HeaderValue)| {
        name.as_str().len() + value.len() + HEADER_LINE
    };
    line + headers.map(size).sum::<usize>() + "\r\n".len()
}

/// Route and workspace of a request, and its target as it is forwarded.
struct Addressed {
    uri: Uri,
    route: Rc<Route>,
    workspace: Option<Rc<WorkspaceSpec>>,
    id: HeaderValue,
}

/// Returns the catalog in force.
///
/// # Errors
///
/// Returns the rejection of an entry that has no catalog or no endpoint table yet.
fn known_catalog(ctx: &Context) -> Result<Rc<Catalog>, Reject> {
    let catalog = ctx.catalog.borrow().clone();
    let known = catalog.filter(|_| ctx.table_loaded.get());
    known.ok_or_else(|| Reject::Starting(crate::base::jitter(STARTING_RETRY_AFTER)))
}

/// Times of a request.
#[derive(Clone, Copy, Debug)]
struct Times {
    start: Millis,
    /// When the request times out.
    deadline: Millis,
    /// When the caller stops waiting; `None` if it didn't say so.
    caller_deadline: Option<Millis>,
}

impl Times {
    /// Returns those of a request that began to arrive at `start`.
    fn of(head: &Parts, route: &Route, names: &Headers, start: Millis) -> Self {
        let left = header_number(&head.headers, &names.deadline).map(Millis);
        Self {
            start,
            deadline: start + left.unwrap_or(DEADLINE_DEFAULT).min(route.timeout),
            caller_deadline: left.map(|left| start + left),
        }
    }
}

/// Determines the route and the workspace of a request from its head.
fn address(head: &Parts, catalog: &Catalog, names: &Headers) -> Result<Addressed, Reject> {
    if head_size(head) > catalog.limits.header_max.max(HEAD_ALWAYS) {
        return Err(Reject::HeadTooLarge);
    }
    let (uri, host) = target(head)?;
    let route = catalog.find(&host, uri.path()).ok_or(Reject::NoRoute)?;
    let workspace = workspace(catalog, route, &head.headers, names)?;
    let id = head.headers.get(&names.request_id).cloned();
    Ok(Addressed {
        uri,
        route: route.clone(),
        workspace,
        id: id.ok_or(Reject::Malformed)?,
    })
}

/// Reads a request in full and determines its route, service and workspace. The catalog in force at its start holds for
/// it until its end.
///
/// # Errors
///
/// Returns the rejection with which the entry responds instead of forwarding the request. What the request's body holds
/// is read before that too.
pub(super) async fn accept(ctx: &Context, req: Request<Incoming>) -> Result<Job, Reject> {
    let start = ctx.now();
    let catalog = known_catalog(ctx);
    let (head, body) = req.into_parts();
    let held = ctx.callers.body(head.extensions.get());
    let catalog = match catalog {
        Ok(catalog) => catalog,
        Err(reject) => {
            body::discard(body, CallerLimits::default().send_time, held).await;
            return Err(reject);
        }
    };
    let limits = &catalog.limits;
    let addressed = match address(&head, &catalog, &ctx.headers) {
        Ok(addressed) => addressed,
        Err(reject) => {
            body::discard(body, limits.send_time, held).await;
            return Err(reject);
        }
    };
    let times = Times::of(&head, &addressed.route, &ctx.headers, start);
    let time = limits.send_time.min(times.deadline - ctx.now());
    let body = body::read(body, limits.body_max, time, held).await?;
    let mut job = prepare(ctx, head, addressed, times, body)?;
    if let Some(at) = rejected_at(ctx, &job) {
        job.returning = true;
        job.first_at = at;
    }
    Ok(job)
}

/// Determines what the attempts at endpoints need of a request that is complete.
///
/// # Errors
///
/// Returns the rejection of a request that the entry does not forward.
fn prepare(
    ctx: &Context,
    head: Parts,
    addressed: Addressed,
    times: Times,
    body: RequestBody,
) -> Result<Job, Reject> {
    let names = &ctx.headers;
    let Addressed {
        uri,
        route,
        workspace,
        id,
    } = addressed;
    let mut headers = head.headers;
    let model = text(&headers, &names.model).map(Rc::from);
    let parts = shared_parts(text(&headers, &names.parts).unwrap_or_default());
    let mut tokens = text(&headers, &names.tokens)
        .unwrap_or_default()
        .split(',')
        .map(|n| n.trim().parse().unwrap_or(0));
    let (prompt_tokens, output_max) = (tokens.next().unwrap_or(0), tokens.next().unwrap_or(0));
    let output_hint = header_number(&headers, &names.hint).and_then(|n| u32::try_from(n).ok());
    let last_event = text(&headers, &names.last_event).and_then(|v| v.trim().parse().ok());
    strip(&mut headers, names);
    if let Some(w) = &workspace {
        let value = HeaderValue::from_str(w.name.as_str()).map_err(|_| Reject::Malformed)?;
        headers.insert(&names.workspace, value);
    }
    if ctx
        .stop
        .get()
        .is_some_and(|plan| !plan.admits(times.deadline))
    {
        return Err(Reject::Stopping(crate::base::jitter(stop::RETRY_AFTER)));
    }
    let service = route.service(rendezvous(b"split", id.as_bytes())).clone();
    let parts = parts.into_iter().map(|id| PartKey::new(&service, id));
    let parts = parts.collect();
    let regions = workspace.as_ref().and_then(|w| w.allowed_regions.clone());
    let residency = Residency::new(route.allowed_regions.clone(), regions);
    let groups = [Group::Route(route.name.clone())].into_iter();
    let groups = groups.chain(workspace.iter().map(|w| Group::Workspace(w.name.clone())));
    let groups = groups.collect();
    let priority = workspace.and_then(|w| w.priority).unwrap_or(route.priority);
    Ok(Job {
        returning: false,
        caller_deadline: times.caller_deadline,
        deadline: times.deadline,
        id,
        service,
        method: head.method,
        uri,
        headers,
        body: body.data,
        held: body.held,
        model,
        parts,
        prompt_tokens,
        output_max,
        output_hint,
        start: times.start,
        first_at: times.start,
        groups,
        last_event,
        priority,
        residency,
        route,
    })
}

/// Determines what the attempts of a request without a body would need if it arrived now, for its explanation. Nothing is
/// recorded.
///
/// # Errors
///
/// Returns the rejection with which the entry would respond.
pub(super) fn accept_unsent(ctx: &Context, head: Parts) -> Result<Job, Reject> {
    let start = ctx.now();
    let catalog = known_catalog(ctx)?;
    let addressed = address(&head, &catalog, &ctx.headers)?;
    let times = Times::of(&head, &addressed.route, &ctx.headers, start);
    prepare(ctx, head, addressed, times, RequestBody::default())
}
