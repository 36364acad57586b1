//! The callers' HTTP API.

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use rocket::{
    catcher::BoxFuture,
    data::ToByteUnit,
    http::{ContentType, Method, Status},
    route::{Handler, Outcome},
    Catcher, Data, Request, Response, Route,
};
use serde::{Deserialize, Serialize};

use super::{
    answer,
    caller::Caller,
    job::Job,
    outcome::Problem,
    shared::{Shared, RETRY_PAUSE},
};
use crate::{
    base::{rendezvous, Clock, Millis, Region, RequestId, Service, Size, Zone},
    process::Phase,
    settings::{ServiceSettings, WorkspaceSettings},
    wire::{HostState, Role},
};

/// Time for which callers may keep the list of entries.
const LIST_LIFETIME: Millis = Millis(5000);

/// Bytes of the prompt that choose the agent which probably has its beginning cached.
const PREFIX_BYTES: usize = 256;

/// What a route serves.
#[derive(Clone, Copy, Debug)]
enum Action {
    Entries,
    Completion,
    Plain,
}

/// Handler of one route.
#[derive(Clone)]
struct Api {
    shared: Arc<Shared>,
    action: Action,
}

/// Fields of a completion that the entry looks at.
#[derive(Deserialize)]
struct Completion {
    model: String,
    prompt: String,
    #[serde(default)]
    stream: bool,
}

#[derive(Serialize)]
struct EntryList<'a> {
    entries: Vec<EntryItem<'a>>,
    lifetime_ms: u64,
}

#[derive(Serialize)]
struct EntryItem<'a> {
    address: SocketAddr,
    zone: &'a Zone,
    region: &'a Region,
}

/// Returns the routes of the API.
pub(super) fn routes(shared: &Arc<Shared>) -> Vec<Route> {
    let api = |action| Api {
        shared: shared.clone(),
        action,
    };
    let plain = [Method::Get, Method::Post, Method::Put, Method::Delete];
    let mut out = vec![
        Route::new(Method::Get, "/v1/entries", api(Action::Entries)),
        Route::new(Method::Post, "/v1/completions", api(Action::Completion)),
    ];
    out.extend(plain.map(|m| Route::new(m, "/v1/services/<path..>", api(Action::Plain))));
    out
}

/// Returns the catcher for requests that no route takes.
pub(super) fn catcher() -> Catcher {
    Catcher::new(None, unmatched)
}

fn unmatched<'r>(status: Status, _: &'r Request<'_>) -> BoxFuture<'r> {
    let problem = match status.code {
        500.. => Problem::may_have_run("the entry failed"),
        code => Problem::refused(
            if code == 404 { 404 } else { 400 },
            "the request is not part of the API",
            "use the methods and paths of docs/api.md",
        ),
    };
    Box::pin(async move { Ok(problem.response(RequestId::now())) })
}

#[rocket::async_trait]
impl Handler for Api {
    async fn handle<'r>(&self, req: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let id = RequestId::now();
        let done = match self.action {
            Action::Entries => self.entries(req),
            Action::Completion => self.completion(id, req, data).await,
            Action::Plain => self.plain(id, req, data).await,
        };
        Outcome::Success(done.unwrap_or_else(|p| p.response(id)))
    }
}

impl Api {
    fn entries(&self, req: &Request<'_>) -> Result<Response<'static>, Problem> {
        let zone = req.query_value::<&str>("zone").and_then(Result::ok);
        let own = &self.shared.ctx.settings;
        let zone = zone.unwrap_or(own.zone.as_str());
        let hosts = self.shared.ctx.replica.hosts();
        let mut list: Vec<_> = hosts
            .hosts
            .iter()
            .filter(|h| h.role == Role::Entry && h.state == HostState::Live)
            .filter(|h| h.name != own.name || self.shared.ctx.phase() == Phase::Serving)
            .collect();
        // A random order on each response spreads callers that take the first address.
        fastrand::shuffle(&mut list);
        list.sort_by_key(|h| (h.zone.as_str() != zone, h.region != own.region));
        let entries = list
            .iter()
            .filter_map(|h| {
                Some(EntryItem {
                    address: h.callers?,
                    zone: &h.zone,
                    region: &h.region,
                })
            })
            .collect();
        let body = serde_json::to_string(&EntryList {
            entries,
            lifetime_ms: LIST_LIFETIME.0,
        })
        .unwrap_or_default();
        let mut out = Response::build();
        out.header(ContentType::JSON)
            .sized_body(body.len(), std::io::Cursor::new(body));
        Ok(out.finalize())
    }

    fn check_phase(&self) -> Result<(), Problem> {
        if self.shared.ctx.phase() == Phase::Serving {
            return Ok(());
        }
        Err(Problem::not_run("the entry is leaving", RETRY_PAUSE)
            .with_alternate(self.shared.alternate()))
    }

    async fn completion<'r>(
        &self,
        id: RequestId,
        req: &'r Request<'_>,
        data: Data<'r>,
    ) -> Result<Response<'r>, Problem> {
        let now = self.shared.ctx.clock.now();
        self.check_phase()?;
        let caller = Caller::read(req)?;
        let settings = self.shared.settings();
        let region = &self.shared.ctx.settings.region;
        let limit = settings
            .services(region)
            .filter_map(|(_, s)| s.workspaces.get(&caller.workspace))
            .map(|w| w.request.body)
            .max()
            .ok_or_else(unknown_workspace)?;
        let body = read(data, limit).await?;
        let fields: Completion = serde_json::from_slice(&body).map_err(|e| {
            Problem::refused(
                400,
                format!(
                    "the body is not a completion (line {}, column {})",
                    e.line(),
                    e.column()
                ),
                "send JSON with the texts `model` and `prompt`",
            )
        })?;
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
                "use `/v1/services/SERVICE/PATH`, or publish `weights.version`",
            ));
        };
        let end = fields.prompt.len().min(PREFIX_BYTES);
        let prefix = rendezvous(name.as_str().as_bytes(), &fields.prompt.as_bytes()[..end]);
        let job = Job {
            id,
            service: name,
            workspace: caller.workspace,
            method: "POST".to_owned(),
            path: "/v1/completions".to_owned(),
            media: "application/json".to_owned(),
            body,
            version: Some(version),
            deadline: now + caller.deadline.unwrap_or(workspace.request.deadline),
            priority: caller.priority,
            repeatable: true,
            stall: service.request.stall,
            prefix: Some(prefix),
        };
        if fields.stream {
            return answer::events(self.shared.clone(), job, req).await;
        }
        answer::whole(&self.shared, &job).await?.completion(&job)
    }

    async fn plain<'r>(
        &self,
        id: RequestId,
        req: &'r Request<'_>,
        data: Data<'r>,
    ) -> Result<Response<'r>, Problem> {
        let now = self.shared.ctx.clock.now();
        self.check_phase()?;
        let caller = Caller::read(req)?;
        let settings = self.shared.settings();
        let path = req.uri().path().as_str();
        let rest = path.strip_prefix("/v1/services/").unwrap_or_default();
        let (name, rest) = rest.split_once('/').unwrap_or((rest, ""));
        let name: Service = name.parse().map_err(|_| unknown_service())?;
        let service = settings
            .service(&self.shared.ctx.settings.region, &name)
            .ok_or_else(unknown_service)?;
        let workspace = authorized(&caller, service)?;
        let repeatable = service
            .request
            .repeatable
            .iter()
            .any(|m| m.to_string() == req.method().as_str());
        let key = caller.id.filter(|id| id.created_ms().is_some());
        if !repeatable && key.is_none() {
            return Err(Problem::refused(
                400,
                "the request may run only once and has no id",
                "send an `Idempotency-Key` that is a new UUID version 7",
            ));
        }
        let body = read(data, workspace.request.body).await?;
        let query = req
            .uri()
            .query()
            .map(|q| format!("?{q}"))
            .unwrap_or_default();
        let job = Job {
            id: key.filter(|_| !repeatable).unwrap_or(id),
            service: name,
            workspace: caller.workspace,
            method: req.method().as_str().to_owned(),
            path: format!("/{rest}{query}"),
            media: req
                .content_type()
                .map(ToString::to_string)
                .unwrap_or_default(),
            body,
            version: None,
            deadline: now + caller.deadline.unwrap_or(workspace.request.deadline),
            priority: caller.priority,
            repeatable,
            stall: service.request.stall,
            prefix: None,
        };
        Ok(answer::whole(&self.shared, &job).await?.plain(&job))
    }
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
        "send a smaller body, or raise `request.body` in the settings",
    )
}

async fn read(data: Data<'_>, limit: Size) -> Result<Bytes, Problem> {
    let body = data
        .open(limit.0.bytes())
        .into_bytes()
        .await
        .map_err(|_| Problem::refused(400, "the body was cut", "send the request again"))?;
    if !body.is_complete() {
        return Err(oversized(limit));
    }
    Ok(body.into_inner().into())
}
