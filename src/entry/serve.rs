//! Start and end of the entry.

use std::{sync::Arc, time::Duration};

use eyre::{eyre, WrapErr};
use rocket::{
    config::{Config, LogLevel, Shutdown},
    Rocket,
};

use super::{
    api,
    events::CALLERS_FAILED,
    share::{self, Coordinator},
    shared::Shared,
    upkeep, watch,
};
use crate::{
    backing::HostList,
    emit, feed,
    net::Incoming,
    process::{Context, Phase},
    wire::{Call, Open},
};

/// Interval of announcements; the host list is eventually consistent and may lose one.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(5);

/// Seconds that rocket allows requests at its shutdown; the phases have ended them before.
const SHUTDOWN_SECS: u32 = 3600;

/// Runs the entry until the phase is [`Phase::Stopped`].
///
/// # Errors
///
/// Returns an error if the callers' address cannot be served.
pub async fn run(ctx: Context) -> eyre::Result<()> {
    let shared = Arc::new(Shared::new(ctx.clone()));
    let server = callers(&shared).await?;
    let stop = server.shutdown();
    let mut tasks = tokio::task::JoinSet::new();
    tasks.spawn(feed::run(ctx.clone()));
    tasks.spawn(announce(ctx.clone()));
    let coordinator = Arc::new(Coordinator::default());
    tasks.spawn(peers(shared.clone(), coordinator.clone()));
    tasks.spawn(share::exchange(shared.clone(), coordinator));
    tasks.spawn(watch::watch(shared.clone()));
    tasks.spawn(upkeep::admission(shared.clone()));
    tasks.spawn(upkeep::status(shared.clone()));
    tasks.spawn(upkeep::warnings(shared.clone()));
    tasks.spawn(upkeep::drain(shared.clone()));
    let mut launch = tokio::spawn(server.launch());
    tokio::select! {
        () = ctx.reached(Phase::Stopped) => {}
        end = &mut launch => {
            let reason = match end {
                Ok(Err(e)) => e.kind().to_string(),
                _ => "it ended early".to_owned(),
            };
            emit!(CALLERS_FAILED, "{reason}");
            return Err(eyre!("the callers' address cannot be served ({reason}); check `callers` in the process settings"));
        }
    }
    stop.notify();
    // The server would wait for idle callers' connections; their requests have ended.
    launch.abort();
    tasks.shutdown().await;
    if let Err(e) = ctx.platform.remove(&ctx.settings.name).await {
        log::debug!("the host list was not updated: {e}");
    }
    Ok(())
}

/// Sets up the callers' HTTP server.
async fn callers(shared: &Arc<Shared>) -> eyre::Result<Rocket<rocket::Ignite>> {
    let addr = shared.ctx.settings.callers.ok_or_else(|| {
        eyre!("an entry needs the callers' address; set `callers` in the process settings")
    })?;
    let config = Config {
        address: addr.ip(),
        port: addr.port(),
        log_level: LogLevel::Off,
        cli_colors: false,
        shutdown: Shutdown {
            ctrlc: false,
            signals: Default::default(),
            grace: SHUTDOWN_SECS,
            mercy: SHUTDOWN_SECS,
            force: false,
            ..Shutdown::default()
        },
        ..Config::release_default()
    };
    rocket::custom(config)
        .mount("/", api::routes(shared))
        .register("/", vec![api::catcher()])
        .ignite()
        .await
        .map_err(|e| eyre!("{}", e.kind()))
        .wrap_err("the callers' server cannot be set up; check `callers` in the process settings")
}

/// Keeps this process in the host list, and tells its phase at once.
async fn announce(ctx: Context) {
    let mut phase = ctx.phase.subscribe();
    loop {
        if *phase.borrow_and_update() == Phase::Stopped {
            return;
        }
        if let Err(e) = ctx.platform.announce(&ctx.host_entry()).await {
            log::debug!("the host list was not updated: {e}");
        }
        let _ = tokio::time::timeout(ANNOUNCE_INTERVAL, phase.changed()).await;
    }
}

/// Answers other processes.
async fn peers(shared: Arc<Shared>, coordinator: Arc<Coordinator>) {
    let transport = shared.ctx.transport.clone();
    let handle = move |incoming: Incoming| {
        let (shared, coordinator) = (shared.clone(), coordinator.clone());
        async move {
            let Open {
                sender,
                applied,
                call,
            } = incoming.open;
            let (ctx, peer) = (&shared.ctx, incoming.peer);
            match call {
                Call::Share(req) => {
                    // Shares on older limits are better than none, so the result does not matter.
                    feed::catch_up(ctx, peer, applied).await;
                    coordinator
                        .answer(&shared, &sender, &req, incoming.call)
                        .await;
                }
                Call::Feed(req) => feed::serve(ctx, peer, applied, &req, incoming.call).await,
                _ => log::debug!("{sender} asked for what an entry does not serve"),
            }
        }
    };
    transport.serve(handle).await;
}
