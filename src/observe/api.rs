//! Operator HTTP API, equal for both daemons; it has its own address and is never mounted on the callers' address.

use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc,
    },
};

use prometheus_client::metrics::gauge::Gauge;
use rocket::{
    config::{Ident, LogLevel, Shutdown},
    fairing::AdHoc,
    get,
    http::{ContentType, Status},
    post, routes,
    serde::json::Json,
    State,
};
use tokio::sync::oneshot;

use super::{Moment, ProcessStatus, Scope};
use crate::{
    base::{Clock, Millis, Offset, RequestId, VersionName},
    process::{Context, Phase},
};

crate::events! {
    /// An operator asked for a drain.
    DRAIN_REQUESTED = 810, "drain-requested", Info,
        "an operator asked this process to drain", "nothing; the process stops when its requests have ended";
    /// The TLS files were read again.
    TLS_RELOADED = 811, "tls-reloaded", Info,
        "the TLS files were read again; new connections use them", "nothing";
    /// A settings change took effect.
    SETTINGS_APPLIED = 813, "settings-applied", Debug,
        "a change of the settings tree took effect in this process", "nothing";
    /// The TLS files could not be read again.
    TLS_REFUSED = 812, "tls-refused", Error,
        "the TLS files cannot be used; connections keep the old ones", "correct the files and reload again";
}

/// Seconds for which requests in progress may end when the API stops.
const GRACE_SECS: u32 = 1;

/// State of the API.
#[derive(Clone, Debug)]
struct Operator {
    ctx: Context,
    /// Time of the process clock at which the applied offset last changed.
    changed: Arc<AtomicU64>,
    applied: Gauge,
    blocked: Gauge,
    isolated: Gauge,
}

impl Operator {
    fn new(ctx: &Context, changed: Arc<AtomicU64>) -> Self {
        let op = Self {
            ctx: ctx.clone(),
            changed,
            applied: Gauge::default(),
            blocked: Gauge::default(),
            isolated: Gauge::default(),
        };
        ctx.metrics.register(|r| {
            let applied = "Offset of the last applied record of the control stream";
            r.register("applied_offset", applied, op.applied.clone());
            let blocked = "Whether application of the control stream is blocked";
            r.register("feed_blocked", blocked, op.blocked.clone());
            let isolated = "Whether neither the log nor a peer can be reached";
            r.register("feed_isolated", isolated, op.isolated.clone());
        });
        op
    }

    fn status(&self) -> ProcessStatus {
        let (ctx, s) = (&self.ctx, &self.ctx.settings);
        let now = ctx.clock.now();
        let feed = ctx.replica.status();
        ProcessStatus {
            name: s.name.clone(),
            role: s.role,
            instance: ctx.instance.to_string(),
            region: s.region.clone(),
            zone: s.zone.clone(),
            service: s.endpoint.as_ref().map(|e| e.service.clone()),
            phase: ctx.phase(),
            applied: ctx.replica.applied(),
            revision: ctx.replica.with_kernel(|k| k.config().revision()),
            applied_ms: now - Millis(self.changed.load(Ordering::Relaxed)),
            blocked: feed.blocked.clone(),
            isolated_ms: feed.isolated.map(|since| now - since),
            confirmed_ms: Some(ctx.replica.age()).filter(|age| *age != Millis::MAX),
            uptime_ms: now,
            status: ctx.status.load().as_ref().clone(),
        }
    }
}

#[get("/status")]
fn status(op: &State<Operator>) -> Json<ProcessStatus> {
    Json(op.status())
}

#[get("/metrics")]
fn metrics(op: &State<Operator>) -> (ContentType, String) {
    let kind = ContentType::new("application", "openmetrics-text")
        .with_params([("version", "1.0.0"), ("charset", "utf-8")]);
    (kind, op.ctx.metrics.encode())
}

/// Parses a query value, naming the form that is expected.
fn parsed<T: std::str::FromStr>(text: Option<&str>) -> Result<Option<T>, Refused>
where
    T::Err: std::fmt::Display,
{
    text.map(str::parse)
        .transpose()
        .map_err(|e: T::Err| (Status::BadRequest, format!("{e}\n")))
}

type Refused = (Status, String);

#[get("/timeline?<request>&<rollout>&<from>&<to>")]
fn timeline(
    op: &State<Operator>,
    request: Option<&str>,
    rollout: Option<&str>,
    from: Option<&str>,
    to: Option<&str>,
) -> Result<(ContentType, String), Refused> {
    let request = parsed::<RequestId>(request)?;
    let rollout = parsed::<VersionName>(rollout)?;
    let number = |text: Option<&str>, open: u64| {
        text.map_or(Ok(open), str::parse).map_err(|_| {
            let hint = "`from` and `to` must be Unix milliseconds; write digits only\n";
            (Status::BadRequest, hint.to_owned())
        })
    };
    let (from, to) = (number(from, 0)?, number(to, u64::MAX)?);
    let accept = |m: &Moment| {
        (from..=to).contains(&m.time_ms)
            && (request.is_none() || m.scope.request == request)
            && (rollout.is_none() || m.scope.version == rollout)
    };
    let mut body = String::new();
    for moment in op.ctx.timeline.select(accept) {
        // A moment holds text and numbers only, which always encode.
        body += &serde_json::to_string(&moment).unwrap_or_default();
        body.push('\n');
    }
    Ok((ContentType::new("application", "x-ndjson"), body))
}

#[post("/drain")]
fn drain(op: &State<Operator>) -> (Status, Json<ProcessStatus>) {
    if op.ctx.phase() == Phase::Serving {
        let text = "through the operator API";
        crate::emit!(DRAIN_REQUESTED, "{text}");
        op.ctx
            .timeline
            .record(&DRAIN_REQUESTED, Scope::default(), text);
        op.ctx.advance(Phase::Draining);
    }
    (Status::Accepted, Json(op.status()))
}

#[post("/reload")]
fn reload(op: &State<Operator>) -> Result<Json<ProcessStatus>, Refused> {
    reload_tls(&op.ctx).map_err(|e| (Status::InternalServerError, format!("{e}\n")))?;
    Ok(Json(op.status()))
}

/// Reads the TLS files of the process again; connections keep the old ones if the new ones cannot be used.
///
/// # Errors
///
/// Returns an error that names the file that cannot be used.
pub fn reload_tls(ctx: &Context) -> Result<(), crate::net::TlsError> {
    match ctx.transport.reload() {
        Ok(()) => {
            let file = ctx.settings.tls.certificate.display();
            crate::emit!(TLS_RELOADED, "{file}");
            ctx.timeline
                .record(&TLS_RELOADED, Scope::default(), file.to_string());
            Ok(())
        }
        Err(e) => {
            crate::emit!(TLS_REFUSED, "{e}");
            Err(e)
        }
    }
}

/// The running operator API.
#[derive(Debug)]
pub struct OperatorApi {
    /// Address that the API listens on.
    pub address: SocketAddr,
    stop: rocket::Shutdown,
    server: tokio::task::JoinHandle<()>,
    tracker: tokio::task::JoinHandle<()>,
}

impl OperatorApi {
    /// Listens on the operator address of the process settings; returns once connections are accepted.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn start(ctx: &Context) -> eyre::Result<Self> {
        let changed = Arc::new(AtomicU64::new(ctx.clock.now().0));
        let op = Operator::new(ctx, changed.clone());
        let (tx, rx) = oneshot::channel();
        let liftoff = AdHoc::on_liftoff("ready", |rocket| {
            let config = rocket.config();
            let address = SocketAddr::new(config.address, config.port);
            // The receiver is gone only if start-up was abandoned.
            let _ = tx.send(address);
            Box::pin(async {})
        });
        let rocket = rocket::custom(config(ctx.settings.operator))
            .manage(op)
            .attach(liftoff)
            .mount("/", routes![status, metrics, timeline, drain, reload])
            .ignite()
            .await
            .map_err(|e| eyre::eyre!("the operator API cannot start ({e}); report this fault"))?;
        let stop = rocket.shutdown();
        let mut server = tokio::spawn(rocket.launch());
        let address = tokio::select! {
            Ok(address) = rx => address,
            done = &mut server => {
                let reason = match done {
                    Ok(Err(e)) => e.to_string(),
                    _ => "it stopped".to_owned(),
                };
                let at = ctx.settings.operator;
                eyre::bail!("the operator address {at} cannot be used ({reason}); check `operator` in the process settings");
            }
        };
        let server = tokio::spawn(async move {
            if let Ok(Err(e)) = server.await {
                log::debug!("the operator API ended: {e}");
            }
        });
        let tracker = tokio::spawn(track(ctx.clone(), changed));
        Ok(Self {
            address,
            stop,
            server,
            tracker,
        })
    }

    /// Stops the API after the requests in progress.
    pub async fn stop(self) {
        self.tracker.abort();
        self.stop.notify();
        // The server task does not panic; its end is all that matters.
        let _ = self.server.await;
    }
}

/// Keeps the time of the last change of the applied offset, and notes changes of the settings in the time line.
async fn track(ctx: Context, changed: Arc<AtomicU64>) {
    let mut applied = ctx.replica.watch();
    let mut last = Offset(0);
    while applied.changed().await.is_ok() {
        changed.store(ctx.clock.now().0, Ordering::Relaxed);
        let revision = ctx.replica.with_kernel(|k| k.config().revision());
        if revision != last {
            last = revision;
            let text = format!("offset {revision}");
            crate::emit!(SETTINGS_APPLIED, "{text}");
            ctx.timeline
                .record(&SETTINGS_APPLIED, Scope::default(), text);
        }
    }
}

fn config(at: SocketAddr) -> rocket::Config {
    rocket::Config {
        address: at.ip(),
        port: at.port(),
        ident: Ident::none(),
        log_level: LogLevel::Critical,
        cli_colors: false,
        shutdown: Shutdown {
            ctrlc: false,
            signals: Default::default(),
            grace: GRACE_SECS,
            mercy: GRACE_SECS,
            // The process exits on its own terms; rocket must not end the runtime.
            force: false,
            ..Shutdown::default()
        },
        ..rocket::Config::release_default()
    }
}
