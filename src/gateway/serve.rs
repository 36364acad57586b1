//! Answers callers, readiness checks and questions to the directory.

use std::rc::Rc;

use bytes::Bytes;
use futures_util::Stream;
use http_body_util::{Either, Full, StreamBody};
use hyper::{
    body::{Frame, Incoming},
    header::{HeaderValue, CONNECTION, CONTENT_TYPE},
    Request, Response, StatusCode,
};

use super::{
    accept::{accept, Job},
    assignment::{self, ASSIGNMENT_PATH},
    context::{Context, Running},
    directory::Directory,
    evaluate::response_headers,
    forward::{forward, Attempt, Attempts},
    log_event,
    metrics::{ByService, Ended},
    reply::Reject,
    stream::{Cut, Relay},
};
use crate::emit;

/// Path at which entries pass on their catalog.
pub(super) const CATALOG_PATH: &str = "/catalog";

/// Path at which entries that read the store pass on changes of their table of endpoints; followed by the start of the
/// process and the count of changes that the other entry has.
pub(super) const TABLE_PATH: &str = "/fleet/";

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

type Whole = Response<Full<Bytes>>;

/// Answers a caller.
pub(super) async fn respond(
    ctx: Rc<Context>,
    req: Request<Incoming>,
) -> Response<Either<Full<Bytes>, StreamBody<impl Stream<Item = Result<Frame<Bytes>, Cut>>>>> {
    let running = Running::begin(&ctx);
    let draining = ctx.draining.get();
    let mut res = match accept(&ctx, req).await {
        Ok(job) => run(&ctx, job, running).await,
        Err(reject) => {
            log_rejected(&ctx, reject);
            Answer::Whole(reject.response())
        }
    }
    .into_response();
    if draining {
        let close = HeaderValue::from_static("close");
        res.headers_mut().insert(CONNECTION, close);
    }
    res
}

fn count_ended(ctx: &Context, service: &str, status: StatusCode, reason: &'static str) {
    let ended = Ended {
        service: service.to_owned(),
        status: status.as_u16(),
        reason,
    };
    ctx.metrics.ended.get_or_create(&ended).inc();
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

/// Answer to a caller.
enum Answer<S> {
    Whole(Whole),
    Stream(Response<S>),
}

impl<S> Answer<S> {
    fn into_response(self) -> Response<Either<Full<Bytes>, StreamBody<S>>> {
        match self {
            Self::Whole(res) => res.map(Either::Left),
            Self::Stream(res) => res.map(|s| Either::Right(StreamBody::new(s))),
        }
    }
}

/// Runs a request.
async fn run(
    ctx: &Rc<Context>,
    job: Job,
    running: Running,
) -> Answer<impl Stream<Item = Result<Frame<Bytes>, Cut>>> {
    ctx.count_request(&job.service);
    let mut attempts = Attempts::new();
    match forward(ctx, &job, &mut attempts).await {
        Ok(Attempt::Begun(begun)) => {
            let mut res = Response::new(());
            *res.status_mut() = begun.head.status;
            *res.headers_mut() = response_headers(&begun.head.headers);
            let relay = Relay::new(ctx, job, attempts, *begun, running);
            Answer::Stream(res.map(|()| relay.into_stream()))
        }
        Ok(Attempt::Whole(res) | Attempt::Failed(res)) => {
            log_ended(ctx, &job, &attempts, res.status(), "answered");
            count_ended(ctx, job.service.as_str(), res.status(), "endpoint");
            let by_service = ByService {
                service: job.service.to_string(),
            };
            let time = (ctx.now() - job.start).duration().as_secs_f64();
            ctx.metrics
                .response
                .get_or_create(&by_service)
                .observe(time);
            Answer::Whole(res)
        }
        Ok(_) => Answer::Whole(Reject::Lost.response()),
        Err(reject) => {
            log_ended(ctx, &job, &attempts, reject.status(), &reject.to_string());
            count_ended(ctx, job.service.as_str(), reject.status(), reject.reason());
            Answer::Whole(reject.response())
        }
    }
}

fn log_ended(ctx: &Context, job: &Job, attempts: &Attempts, status: StatusCode, reason: &str) {
    let endpoint = attempts.tried.last().map_or("-", |id| &*id.0);
    emit!(
        log_event::ENDED,
        "id={} route={} service={} status={} reason=\"{reason}\" endpoint={endpoint} attempts={} late={} ms={} catalog={}",
        job.id(),
        job.route.name,
        job.service,
        status.as_u16(),
        attempts.sent,
        job.late,
        (ctx.now() - job.start).0,
        ctx.catalog_version()
    );
}

fn plain(status: StatusCode) -> Whole {
    let mut res = Response::new(Full::default());
    *res.status_mut() = status;
    res
}

/// Answers another entry, or an agent.
pub(super) async fn peer(ctx: &Context, path: &str) -> Whole {
    let answer = match path {
        CATALOG_PATH => ctx.packed_catalog(),
        _ => match (
            path.strip_prefix(TABLE_PATH),
            path.strip_prefix(ASSIGNMENT_PATH),
        ) {
            (Some(since), _) => encoded_fleet(ctx, since),
            (_, Some(question)) => assignment::answer(ctx, question).await.map(Bytes::from),
            _ => None,
        },
    };
    answer.map_or_else(
        || plain(StatusCode::NOT_FOUND),
        |body| Response::new(Full::new(body)),
    )
}

/// Returns what changed since `boot/count`: the start of this process and a count of its table's changes.
fn encoded_fleet(ctx: &Context, since: &str) -> Option<Bytes> {
    if !ctx.follows() {
        return None;
    }
    let (boot, count) = since.split_once('/')?;
    let boot: u64 = boot.parse().ok()?;
    let same = boot == ctx.members.borrow().me().boot;
    let count: Option<u64> = count.parse().ok().filter(|_| same);
    let news = ctx.fleet.borrow().news(count);
    postcard::to_stdvec(&news).ok().map(Bytes::from)
}

/// Answers a request for the metrics.
pub(super) fn metrics(ctx: &Context, path: &str) -> Whole {
    if path != METRICS_PATH {
        return plain(StatusCode::NOT_FOUND);
    }
    Response::new(Full::from(ctx.metrics.encode()))
}

/// Answers a readiness check.
pub(super) fn readiness(ctx: &Context, path: &str) -> Whole {
    if path != ctx.settings.ready_path {
        return plain(StatusCode::NOT_FOUND);
    }
    plain(if ctx.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    })
}

/// Answers a caller that asks where to connect.
pub(super) fn directory(ctx: &Context, path: &str, query: &str) -> Whole {
    if path != ctx.settings.directory_path {
        return plain(StatusCode::NOT_FOUND);
    }
    let zone = query
        .split('&')
        .find_map(|pair| pair.strip_prefix("zone="))
        .unwrap_or_default();
    let longest = ctx.bounds.get().directory_ttl;
    let answer = Directory::for_caller(&ctx.members.borrow(), zone, longest, ctx.now());
    let body = answer.and_then(|a| serde_json::to_vec(&a).ok());
    let Some(body) = body else {
        return plain(StatusCode::SERVICE_UNAVAILABLE);
    };
    let mut res = Response::new(Full::from(body));
    let json = HeaderValue::from_static("application/json");
    res.headers_mut().insert(CONTENT_TYPE, json);
    res
}
