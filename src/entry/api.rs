//! The callers' HTTP API.

use std::{net::SocketAddr, sync::Arc};

use rocket::{
    catcher::BoxFuture,
    http::{ContentType, Method, Status},
    route::{Handler, Outcome},
    Catcher, Data, Request, Response, Route,
};
use serde::Serialize;

use super::{
    answer, caller,
    events::{ADMITTED, ENDED, RECEIVED, REFUSED},
    flight::Flight,
    outcome::Problem,
    request::{self, Checked},
    shared::{Running, Shared, RETRY_PAUSE},
    stream,
};
use crate::{
    base::{Millis, Offset, Region, RequestId, Zone},
    process::Phase,
    wire::{HostState, Role},
};

/// Time for which callers may keep the list of entries.
const LIST_LIFETIME: Millis = Millis(5000);

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
            Action::Completion | Action::Plain => self.run(id, req, data).await,
        };
        Outcome::Success(done.unwrap_or_else(|p| {
            let p = if caller::is_repeat(req) {
                p.for_repeat()
            } else {
                p
            };
            let text = format!("{}: {}", p.kind, p.error);
            self.shared.ctx.timeline.record(&REFUSED, id, text);
            p.response(id)
        }))
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

    /// Runs one request.
    async fn run<'r>(
        &self,
        id: RequestId,
        req: &'r Request<'_>,
        data: Data<'r>,
    ) -> Result<Response<'r>, Problem> {
        let shared = &self.shared;
        // Counted before the phase is read, so that the end of draining cannot miss the request.
        let running = shared.begin();
        if shared.ctx.phase() != Phase::Serving {
            return Err(Problem::not_run("the entry is leaving", RETRY_PAUSE)
                .with_alternate(shared.alternate()));
        }
        if shared.settings().offset == Offset(0) {
            // Without settings every workspace is unknown, and a caller would take that refusal for final.
            return Err(
                Problem::not_run("the entry has no settings yet", RETRY_PAUSE)
                    .with_alternate(shared.alternate()),
            );
        }
        shared.ctx.timeline.record(&RECEIVED, id, "");
        let checked = match self.action {
            Action::Completion => request::completion(shared, id, req, data).await?,
            _ => request::plain(shared, id, req, data).await?,
        };
        let service = checked.job.service.clone();
        let done = self.admitted(req, checked, running).await;
        if let Err(p) = &done {
            shared.metrics.end(service.as_str(), &p.kind.to_string());
        }
        done
    }

    async fn admitted<'r>(
        &self,
        req: &'r Request<'_>,
        checked: Checked,
        running: Running,
    ) -> Result<Response<'r>, Problem> {
        let shared = &self.shared;
        let Checked {
            job,
            limit,
            class,
            stream,
        } = checked;
        let wait = limit.wait.min(job.deadline - shared.now());
        let warmed = shared.warmed(&job.service);
        let _ = tokio::time::timeout(wait.duration(), warmed).await;
        if !shared.serves(&job.service) {
            return Err(Problem::not_run(
                "no agent of the service takes requests",
                RETRY_PAUSE,
            ));
        }
        let gate = shared.gate(&job.service);
        let mut permit = gate
            .admit(shared, &job.workspace, &limit, class, job.deadline)
            .await?;
        gate.budget().record_request(job.budget);
        let waited = shared.now() - job.arrived;
        shared
            .metrics
            .admission
            .observe(waited.duration().as_secs_f64());
        let text = format!("workspace {}, service {}", job.workspace, job.service);
        shared.ctx.timeline.record(&ADMITTED, job.id, text);
        let mut flight = Flight::new(shared.clone(), job, gate);
        if stream {
            return stream::events(flight, permit, running, req).await;
        }
        let whole = answer::whole(&mut flight, &mut permit).await?;
        flight.note_end(&ENDED, "done", "");
        match self.action {
            Action::Completion => whole.completion(&flight.job, running),
            _ => Ok(whole.plain(&flight.job, running)),
        }
    }
}
