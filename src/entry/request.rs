//! Checks of a caller's request, up to the job that is run.

use bytes::Bytes;
use rocket::{data::ToByteUnit, Data, Request};
use serde::Deserialize;

use super::{caller::Caller, job::Job, outcome::Problem, shared::Shared};
use crate::{
    base::{Millis, RequestId, Service, Size},
    decide::{limit::Class, route::prefix_hash},
    settings::{Limit, ServiceSettings, WorkspaceSettings},
};

/// Fields of a completion that the entry looks at.
#[derive(Deserialize)]
struct Completion {
    model: String,
    prompt: String,
    #[serde(default)]
    stream: bool,
}

/// A request that passed the checks, before admission.
#[derive(Debug)]
pub(super) struct Checked {
    pub(super) job: Job,
    /// Limits of the workspace.
    pub(super) limit: Limit,
    pub(super) class: Class,
    /// Whether the caller wants server-sent events.
    pub(super) stream: bool,
}

/// Checks a completion.
///
/// # Errors
///
/// Returns a 4xx outcome that names the remedy.
pub(super) async fn completion(
    shared: &Shared,
    id: RequestId,
    req: &Request<'_>,
    data: Data<'_>,
) -> Result<Checked, Problem> {
    let arrived = shared.now();
    let caller = Caller::read(req)?;
    let settings = shared.settings();
    let region = &shared.ctx.settings.region;
    // The service is named in the body, so the largest body of the workspace bounds the reading.
    let bounds = settings
        .services(region)
        .filter_map(|(_, s)| s.workspaces.get(&caller.workspace))
        .map(|w| (w.request.body, w.request.deadline))
        .reduce(|a, b| (a.0.max(b.0), a.1.max(b.1)))
        .ok_or_else(unknown_workspace)?;
    let body = read(data, bounds.0, caller.deadline.unwrap_or(bounds.1)).await?;
    let fields: Completion = serde_json::from_slice(&body).map_err(|e| malformed(&e))?;
    let name: Service = fields.model.parse().map_err(|_| unknown_service())?;
    let service = settings
        .service(region, &name)
        .ok_or_else(unknown_service)?;
    let workspace = authorized(&caller, service)?;
    if body.len() as u64 > workspace.request.body.0 {
        return Err(oversized(workspace.request.body));
    }
    let Some(version) = service.weights.version.clone() else {
        return Err(Problem::refused(
            404,
            "the service has no model version",
            "use `/v1/services/SERVICE/PATH`, or have `weights.version` published",
        ));
    };
    let job = Job {
        id,
        service: name,
        workspace: caller.workspace,
        method: "POST".to_owned(),
        path: "/v1/completions".to_owned(),
        media: "application/json".to_owned(),
        body,
        version: Some(version),
        deadline: arrived + caller.deadline.unwrap_or(workspace.request.deadline),
        priority: caller.priority,
        repeatable: true,
        stall: service.request.stall,
        budget: service.retry.budget,
        attempts: service.retry.attempts,
        arrived,
        prefix: Some(prefix_hash(fields.prompt.as_bytes())),
    };
    Ok(Checked {
        job,
        limit: workspace.limit.clone(),
        class: Class::Work,
        stream: fields.stream,
    })
}

/// Checks a request to a plain service.
///
/// # Errors
///
/// Returns a 4xx outcome that names the remedy.
pub(super) async fn plain(
    shared: &Shared,
    id: RequestId,
    req: &Request<'_>,
    data: Data<'_>,
) -> Result<Checked, Problem> {
    let arrived = shared.now();
    let caller = Caller::read(req)?;
    let settings = shared.settings();
    let (name, path) = target(req)?;
    let service = settings
        .service(&shared.ctx.settings.region, &name)
        .ok_or_else(unknown_service)?;
    let workspace = authorized(&caller, service)?;
    if service.weights.version.is_some() {
        return Err(Problem::refused(
            404,
            "the service is a model",
            "use `/v1/completions`",
        ));
    }
    let method = req.method().as_str();
    let repeatable = service
        .request
        .repeatable
        .iter()
        .any(|m| m.to_string() == method);
    let id = if repeatable { id } else { key(&caller)? };
    let deadline = caller.deadline.unwrap_or(workspace.request.deadline);
    let body = read(data, workspace.request.body, deadline).await?;
    let media = req.content_type().map(ToString::to_string);
    // The HTTP library lets a form field replace the method, which would change what may run twice.
    if req.content_type().is_some_and(|t| t.is_form()) && body.starts_with(b"_method=") {
        return Err(Problem::refused(
            400,
            "the form begins with the reserved field `_method`",
            "put another field first",
        ));
    }
    let job = Job {
        id,
        service: name,
        workspace: caller.workspace,
        method: method.to_owned(),
        path,
        media: media.unwrap_or_default(),
        body,
        version: None,
        deadline: arrived + deadline,
        priority: caller.priority,
        repeatable,
        stall: service.request.stall,
        budget: service.retry.budget,
        attempts: service.retry.attempts,
        arrived,
        prefix: None,
    };
    let class = match method {
        "GET" if repeatable => Class::Status,
        _ => Class::Work,
    };
    Ok(Checked {
        job,
        limit: workspace.limit.clone(),
        class,
        stream: false,
    })
}

/// Returns the service and the path at the endpoint.
fn target(req: &Request<'_>) -> Result<(Service, String), Problem> {
    let path = req.uri().path();
    let rest = path.as_str().strip_prefix("/v1/services/").unwrap_or("");
    let (name, rest) = rest.split_once('/').unwrap_or((rest, ""));
    let climbs = path.raw_segments().any(|s| {
        let text = s.percent_decode_lossy();
        text.split('/').any(|part| matches!(part, "." | ".."))
    });
    if climbs {
        return Err(Problem::refused(
            400,
            "the path has the segment `.` or `..`",
            "send the plain path",
        ));
    }
    let name: Service = name.parse().map_err(|_| unknown_service())?;
    let query = req.uri().query().map(|q| format!("?{q}"));
    Ok((name, format!("/{rest}{}", query.unwrap_or_default())))
}

/// Returns the id of a request that may run only once.
fn key(caller: &Caller) -> Result<RequestId, Problem> {
    caller
        .id
        .filter(|id| id.created_ms().is_some())
        .ok_or_else(|| {
            Problem::refused(
                400,
                "the request may run only once and has no `Idempotency-Key` that is a UUID version 7",
                "send a new UUID version 7 for each request, and the same one with each repeat",
            )
        })
}

fn authorized<'s>(
    caller: &Caller,
    service: &'s ServiceSettings,
) -> Result<&'s WorkspaceSettings, Problem> {
    let workspace = service
        .workspaces
        .get(&caller.workspace)
        .ok_or_else(unknown_workspace)?;
    caller.authorize(&workspace.access)?;
    Ok(workspace)
}

fn unknown_workspace() -> Problem {
    Problem::refused(
        404,
        "the workspace has no access to the service in this region",
        "check `Sesamewing-Workspace`, or have the workspace published in the settings",
    )
}

fn unknown_service() -> Problem {
    Problem::refused(
        404,
        "the service is not known in this region",
        "check the service's name, or have it published in the settings",
    )
}

fn oversized(limit: Size) -> Problem {
    Problem::refused(
        413,
        format!("the body is larger than {limit}"),
        "send a smaller body, or have `request.body` raised in the settings",
    )
}

/// Names only the position: the parser's own text may quote the prompt.
fn malformed(e: &serde_json::Error) -> Problem {
    Problem::refused(
        400,
        format!(
            "the body is not a completion (line {}, column {})",
            e.line(),
            e.column()
        ),
        "send a JSON object with the texts `model` and `prompt`",
    )
}

async fn read(data: Data<'_>, limit: Size, timeout: Millis) -> Result<Bytes, Problem> {
    let body = data.open(limit.0.bytes()).into_bytes();
    let body = tokio::time::timeout(timeout.duration(), body)
        .await
        .map_err(|_| {
            Problem::refused(
                400,
                "the body did not arrive before the deadline",
                "send the request again, with a later deadline if the body is large",
            )
        })?
        .map_err(|_| Problem::refused(400, "the body was cut", "send the request again"))?;
    if !body.is_complete() {
        return Err(oversized(limit));
    }
    Ok(body.into_inner().into())
}
