//! The agent daemon: the only path to the endpoint on its host.

mod answer;
mod board;
mod burst;
mod claims;
mod event;
mod guard;
mod host;
mod lessee;
mod load;
mod poll;
mod report;
mod runner;
mod serve;
mod sink;

pub use board::{Board, Permit, View};
pub use burst::Standing;
pub use claims::{Claims, Driver, Identity};
pub use lessee::Lessee;
pub use load::Loader;
pub use runner::Runner;
pub use sink::{Gone, Sink};

use std::sync::Arc;

use eyre::WrapErr;
use tokio::sync::oneshot;

use self::burst::Sizer;
use crate::{
    backing::HttpPlatform,
    base::SystemClock,
    decide::lease::LeaseHolder,
    emit,
    endpoint::{Endpoint, Engine, Plain},
    feed,
    process::{Context, EndpointKind, EndpointSettings, Phase},
    weights::Distribution,
};

/// Runs the agent until the phase is [`Phase::Stopped`].
///
/// # Errors
///
/// Returns an error if the settings name no endpoint or the endpoint's address cannot be used.
pub async fn run(ctx: Context) -> eyre::Result<()> {
    let settings = ctx.settings.endpoint.clone();
    let settings = settings.ok_or_else(|| {
        eyre::eyre!("the process settings of an agent need an `endpoint` section; add it")
    })?;
    crate::endpoint::check(&settings).map_err(|e| eyre::eyre!(e))?;
    match settings.kind {
        EndpointKind::Engine => {
            let engine = Engine::new(&settings.address).wrap_err("endpoint")?;
            serve(ctx, settings, engine).await
        }
        EndpointKind::Plain => {
            let plain = Plain::new(&settings.address).wrap_err("endpoint")?;
            serve(ctx, settings, plain).await
        }
    }
    Ok(())
}

/// Serves until the drain is complete.
async fn serve<E: Endpoint>(ctx: Context, settings: EndpointSettings, endpoint: E) {
    let weights = settings.kind == EndpointKind::Engine;
    let board = Arc::new(Board::new(ctx.status.clone(), weights));
    let mut tasks = tokio::task::JoinSet::new();
    tasks.spawn(feed::run(ctx.clone()));
    tasks.spawn(poll::poll(endpoint.clone(), board.clone()));
    let (end, ended) = oneshot::channel();
    let announcer = tokio::spawn(host::announce(ctx.clone(), ended));
    let (sizer, standing) = Sizer::new(ctx.clone(), board.clone(), settings.service.clone());
    tasks.spawn(sizer.run());
    let distribution = weights.then(|| Distribution::start(ctx.clone()));
    if let Some(source) = &distribution {
        let loader = loader(
            &ctx,
            &settings,
            endpoint.clone(),
            board.clone(),
            source.clone(),
            standing,
        );
        tasks.spawn(loader.run());
    }
    let claims = (!weights).then(|| {
        let (driver, claims) = claim_driver(&ctx, &settings, endpoint.clone(), board.clone());
        tasks.spawn(driver.run());
        claims
    });
    let runner = Runner {
        endpoint,
        region: ctx.settings.region.clone(),
        service: settings.service,
        replica: ctx.replica.clone(),
        board: board.clone(),
        timeline: ctx.timeline.clone(),
        clock: ctx.clock,
    };
    let server = Arc::new(serve::Server {
        ctx: ctx.clone(),
        runner,
        reporter: report::Reporter::default(),
        claims: claims.clone(),
        distribution,
    });
    let transport = ctx.transport.clone();
    tasks.spawn(async move {
        transport
            .serve(move |incoming| server.clone().handle(incoming))
            .await;
    });
    host::drain(&ctx, &board, claims.as_ref()).await;
    drop(end);
    let _ = announcer.await;
    emit!(event::DRAINING, "the drain is complete");
    ctx.advance(Phase::Stopped);
}

fn claim_driver<E: Endpoint>(
    ctx: &Context,
    settings: &EndpointSettings,
    endpoint: E,
    board: Arc<Board>,
) -> (Driver<E, HttpPlatform, SystemClock>, Claims) {
    let identity = Identity {
        name: ctx.settings.name.clone(),
        instance: ctx.instance,
        region: ctx.settings.region.clone(),
        service: settings.service.clone(),
    };
    let (log, replica) = (ctx.platform.clone(), ctx.replica.clone());
    Driver::new(identity, endpoint, log, ctx.clock, replica, board)
}

type HttpLoader<E> = Loader<E, HttpPlatform, SystemClock, Arc<Distribution>>;

fn loader<E: Endpoint>(
    ctx: &Context,
    settings: &EndpointSettings,
    endpoint: E,
    board: Arc<Board>,
    source: Arc<Distribution>,
    burst: Standing,
) -> HttpLoader<E> {
    let s = &ctx.settings;
    let resource = format!("endpoint/{}", s.name);
    let holder = LeaseHolder::new(resource, s.name.clone(), ctx.instance);
    let lessee = Lessee::new(
        ctx.platform.clone(),
        ctx.clock,
        ctx.replica.clone(),
        board.clone(),
        holder,
    );
    Loader {
        endpoint,
        source,
        lessee,
        replica: ctx.replica.clone(),
        board,
        timeline: ctx.timeline.clone(),
        region: s.region.clone(),
        service: settings.service.clone(),
        guard: s.guard,
        fencing: settings.fencing,
        burst,
    }
}
