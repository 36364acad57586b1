//! HTTP handlers of an entry: callers' requests, other entries and agents, metrics, readiness checks and the directory.

use std::{panic::AssertUnwindSafe, rc::Rc};

use bytes::Bytes;
use futures_util::{FutureExt, Stream};
use http_body_util::{Either, Full, StreamBody};
use hyper::{
    body::{Frame, Incoming},
    header::{HeaderValue, CONNECTION, CONTENT_TYPE},
    Request, Response, StatusCode, Version,
};

use super::{
    abandoned::Awaited,
    accept::accept,
    assignment::{self, ASSIGNMENT_PATH},
    attempt::Attempts,
    context::Context,
    directory::{Directory, DirectoryQuery},
    evaluate::response_headers,
    explain,
    explanation::EXPLAIN_PATH,
    in_flight::Running,
    job::Job,
    log_event,
    metrics::{RequestLabels, ServiceLabel},
    race::{forward, Answer},
    reply::Reject,
    residency,
    return_times::schedule_return,
    returning::record_rejected,
    stream::{Cut, Relay},
};
use crate::{
    decide::{residency::EntryScope, stop},
    emit,
};

/// Path at which an entry serves its catalog, compressed, to other entries.
pub(super) const CATALOG_PATH: &str = "/catalog";

/// Path at which entries that read the store serve changes of their endpoint table. It is followed by `boot/count`: the
/// start of the serving process, and the count of its table's changes that the requesting entry has applied.
pub(super) const TABLE_PATH: &str = "/fleet/";

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

type FullResponse = Response<Full<Bytes>>;

/// What tells a caller that a response is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    /// The last chunk, or a length.
    Chunks,
    /// A length: without one, a response ends with its connection, however that ends.
    Length,
}

impl Framing {
    /// Returns that of a caller that speaks a version of HTTP.
    fn of(version: Version) -> Self {
        if version < Version::HTTP_11 {
            return Self::Length;
        }
        Self::Chunks
    }
}

/// Handles a caller's request.
pub(super) async fn respond(
    ctx: Rc<Context>,
    req: Request<Incoming>,
) -> Response<Either<Full<Bytes>, StreamBody<impl Stream<Item = Result<Frame<Bytes>, Cut>>>>> {
    // A panic would end the task of the connection, and with it the connection.
    let handled = AssertUnwindSafe(handle(&ctx, req)).catch_unwind().await;
    let res = handled.unwrap_or_else(|_| reject(&ctx, Reject::Internal));
    let mut res = res.into_response();
    if ctx.is_stopping() {
        let close = HeaderValue::from_static("close");
        res.headers_mut().insert(CONNECTION, close);
    }
    res
}

async fn handle(
    ctx: &Rc<Context>,
    req: Request<Incoming>,
) -> CallerResponse<impl Stream<Item = Result<Frame<Bytes>, Cut>>> {
    let running = Running::begin(ctx);
    let framing = Framing::of(req.version());
    match accept(ctx, req).await {
        Ok(job) => run(ctx, job, running, framing).await,
        Err(reason) => reject(ctx, reason),
    }
}

fn reject<S>(ctx: &Context, reason: Reject) -> CallerResponse<S> {
    log_rejected(ctx, reason);
    CallerResponse::Full(reason.response())
}

fn count_ended(ctx: &Context, service: &str, status: StatusCode, reason: &'static str) {
    let labels = RequestLabels {
        service: service.to_owned(),
        status: status.as_u16(),
        reason,
    };
    ctx.metrics.ended.get_or_create(&labels).inc();
}

fn log_rejected(ctx: &Context, reject: Reject) {
    count_ended(ctx, "-", reject.status(), reject.reason());
    let version = ctx.catalog_version();
    emit!(
        log_event::ENDED,
        "id=- outcome=rejected status={} reason=\"{reject}\" catalog={version}",
        reject.status().as_u16()
    );
}

/// Response to a caller.
enum CallerResponse<S> {
    Full(FullResponse),
    Stream(Response<S>),
}

impl<S> CallerResponse<S> {
    fn into_response(self) -> Response<Either<Full<Bytes>, StreamBody<S>>> {
        match self {
            Self::Full(res) => res.map(Either::Left),
            Self::Stream(res) => res.map(|s| Either::Right(StreamBody::new(s))),
        }
    }
}

/// Returns the rejection of a request that has no response when the process exits.
fn unanswered(attempts: &Attempts) -> Reject {
    if attempts.sent.get() > 0 {
        return Reject::Exiting;
    }
    Reject::Stopping(crate::base::jitter(stop::RETRY_AFTER))
}

/// Waits until the response to a caller can begin, and returns its body if it has to be whole for that.
async fn begin(relay: &mut Relay, framing: Framing) -> Result<Option<Bytes>, Reject> {
    match framing {
        Framing::Chunks => relay.begin().await.map(|()| None),
        Framing::Length => relay.collect().await.map(Some),
    }
}

/// Runs a request.
async fn run(
    ctx: &Rc<Context>,
    job: Job,
    running: Running,
    framing: Framing,
) -> CallerResponse<impl Stream<Item = Result<Frame<Bytes>, Cut>>> {
    ctx.count_request(&job.service);
    let attempts = Attempts::new();
    let awaited = Awaited::new(ctx, &job);
    let result = tokio::select! {
        biased;
        result = forward(ctx, &job, &attempts) => result,
        () = ctx.wait_for_exit() => Err(unanswered(&attempts)),
    };
    awaited.begun();
    match result {
        Ok(Answer::Streaming(response)) => {
            let mut res = Response::new(());
            *res.status_mut() = response.head.status;
            *res.headers_mut() = response_headers(&response.head.headers);
            let mut relay = Relay::new(ctx, job, attempts, *response, running);
            let begun = tokio::select! {
                biased;
                begun = begin(&mut relay, framing) => begun,
                () = ctx.wait_for_exit() => Err(relay.exit()),
            };
            match begun {
                Ok(None) => CallerResponse::Stream(res.map(|()| relay.into_stream())),
                Ok(Some(body)) => CallerResponse::Full(res.map(|()| Full::new(body))),
                Err(reject) => reject_ended(ctx, &relay.job, &relay.attempts, reject),
            }
        }
        Ok(Answer::Complete(res)) => {
            log_ended(ctx, &job, &attempts, res.status(), "answered");
            count_ended(ctx, job.service.as_str(), res.status(), "endpoint");
            let by_service = ServiceLabel {
                service: job.service.to_string(),
            };
            let time = (ctx.now() - job.start).duration().as_secs_f64();
            ctx.metrics
                .response
                .get_or_create(&by_service)
                .observe(time);
            CallerResponse::Full(res)
        }
        Err(reject) => reject_ended(ctx, &job, &attempts, reject),
    }
}

/// Rejects a request for which there is no endpoint's response to forward.
fn reject_ended<S>(
    ctx: &Context,
    job: &Job,
    attempts: &Attempts,
    reject: Reject,
) -> CallerResponse<S> {
    record_rejected(ctx, job, reject);
    let reject = schedule_return(ctx, job, reject);
    residency::count_rejected(ctx, job, reject);
    log_ended(ctx, job, attempts, reject.status(), &reject.to_string());
    count_ended(ctx, job.service.as_str(), reject.status(), reject.reason());
    CallerResponse::Full(reject.response())
}

fn log_ended(ctx: &Context, job: &Job, attempts: &Attempts, status: StatusCode, reason: &str) {
    let endpoint = attempts.endpoint();
    let endpoint = endpoint.as_ref().map_or("-", |id| &*id.0);
    emit!(
        log_event::ENDED,
        "id={} route={} service={} status={} reason=\"{reason}\" endpoint={endpoint} attempts={} late={} ms={} catalog={}",
        job.id(),
        job.route.name,
        job.service,
        status.as_u16(),
        attempts.sent.get(),
        job.returning,
        (ctx.now() - job.start).0,
        ctx.catalog_version()
    );
}

fn empty(status: StatusCode) -> FullResponse {
    let mut res = Response::new(Full::default());
    *res.status_mut() = status;
    res
}

/// Handles a request of another entry or of an agent.
pub(super) async fn peer(ctx: &Context, path: &str) -> FullResponse {
    let body = match path {
        CATALOG_PATH => ctx.compressed_catalog(),
        _ => match (
            path.strip_prefix(TABLE_PATH),
            path.strip_prefix(ASSIGNMENT_PATH),
        ) {
            (Some(since), _) => encoded_table_delta(ctx, since),
            (_, Some(query)) => assignment::reply(ctx, query).await.map(Bytes::from),
            _ => None,
        },
    };
    body.map_or_else(
        || empty(StatusCode::NOT_FOUND),
        |body| Response::new(Full::new(body)),
    )
}

/// Returns the encoded changes of the endpoint table since `boot/count` (see [`TABLE_PATH`]), or the whole table if
/// `boot` is not the start of this process. Returns `None` while this entry does not read the store.
fn encoded_table_delta(ctx: &Context, since: &str) -> Option<Bytes> {
    if !ctx.is_reading() {
        return None;
    }
    let (boot, count) = since.split_once('/')?;
    let boot: u64 = boot.parse().ok()?;
    let same_process = boot == ctx.members.borrow().me().boot;
    let count: Option<u64> = count.parse().ok().filter(|_| same_process);
    let mut news = ctx.endpoints.borrow().delta_since(count);
    news.view.era = ctx.store_era.borrow().known();
    news.encode().ok().map(Bytes::from)
}

/// Handles a request of an operator: for the metrics, or for the explanation of a request.
pub(super) async fn operator(ctx: &Context, req: Request<Incoming>) -> FullResponse {
    if req.uri().path() == EXPLAIN_PATH {
        return explain::respond(ctx, req).await;
    }
    metrics(ctx, req.uri().path())
}

fn metrics(ctx: &Context, path: &str) -> FullResponse {
    if path != METRICS_PATH {
        return empty(StatusCode::NOT_FOUND);
    }
    ctx.metrics.set_held(&ctx.callers);
    ctx.set_speeds();
    Response::new(Full::from(ctx.metrics.encode()))
}

/// Handles a readiness check: 200 if callers may be sent to this entry, otherwise 503.
pub(super) fn readiness(ctx: &Context, path: &str) -> FullResponse {
    if path != ctx.settings.ready_path {
        return empty(StatusCode::NOT_FOUND);
    }
    empty(if ctx.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    })
}

/// Handles a directory request: addresses of ready entries for callers of the host, region and zone in the query.
pub(super) fn directory(ctx: &Context, path: &str, query: &str) -> FullResponse {
    if path != ctx.settings.directory_path {
        return empty(StatusCode::NOT_FOUND);
    }
    let query = DirectoryQuery::parse(query);
    let catalog = ctx.catalog.borrow();
    let lists = catalog.as_ref().map(|c| c.region_lists(query.host));
    let scope = EntryScope::new(&ctx.settings.zones, query.region, query.zone, lists);
    let (members, ttl_max) = (ctx.members.borrow(), ctx.bounds.get().directory_ttl);
    let directory = Directory::for_caller(&members, query.zone, &scope, ttl_max, ctx.now());
    let body = directory.and_then(|d| serde_json::to_vec(&d).ok());
    let Some(body) = body else {
        return empty(StatusCode::SERVICE_UNAVAILABLE);
    };
    let mut res = Response::new(Full::from(body));
    let json = HeaderValue::from_static("application/json");
    res.headers_mut().insert(CONTENT_TYPE, json);
    res
}
