//! A running stand-in.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use eyre::{eyre, Result, WrapErr};
use rocket::{
    config::{Ident, LogLevel, Shutdown},
    fairing::AdHoc,
    Build, Config, Rocket,
};
use tokio::{
    runtime::Runtime,
    sync::{oneshot, watch},
};

use crate::fault::{self, Fault, FaultError, Faults};

/// Time for requests in progress to end in a graceful stop, in seconds.
const GRACE_SECS: u32 = 60;

/// Time for the last bytes of the last answer to reach the socket after its handler ended.
const FLUSH: Duration = Duration::from_millis(100);

/// Time for the threads of a stand-in to end.
const THREADS_TIMEOUT: Duration = Duration::from_secs(5);

/// A running stand-in; dropping it kills it.
#[derive(Debug)]
pub struct Server {
    /// `None` only while the server stops.
    runtime: Option<Runtime>,
    addr: SocketAddr,
    faults: Arc<Faults>,
    shutdown: rocket::Shutdown,
    /// Number of requests in progress.
    busy: watch::Receiver<usize>,
}

fn config(listen: SocketAddr) -> Config {
    Config {
        address: listen.ip(),
        port: listen.port(),
        ident: Ident::none(),
        log_level: LogLevel::Off,
        cli_colors: false,
        // Rocket cuts connections `grace + mercy` after the shutdown request, so `grace` must exceed the longest
        // request. The signals are those of the program, which may be a test.
        shutdown: Shutdown {
            ctrlc: false,
            signals: Default::default(),
            grace: GRACE_SECS,
            mercy: 1,
            force: false,
            ..Shutdown::default()
        },
        ..Config::default()
    }
}

impl Server {
    /// Starts a server and waits until it listens.
    pub(crate) async fn start(
        listen: SocketAddr,
        supported: &'static [Fault],
        build: impl FnOnce(Rocket<Build>, Arc<Faults>) -> Rocket<Build>,
    ) -> Result<Self> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()?;
        let (count, busy) = watch::channel(0);
        let faults = Arc::new(Faults::new(supported));
        let (ready, started) = oneshot::channel();
        let rocket = build(rocket::custom(config(listen)), faults.clone())
            .attach(fault::Injector::new(faults.clone(), count))
            .manage(faults.clone())
            .mount("/", fault::routes())
            .attach(AdHoc::on_liftoff("ready", |r| {
                let addr = SocketAddr::new(r.config().address, r.config().port);
                let _ = ready.send((addr, r.shutdown()));
                Box::pin(async {})
            }));
        let launch = runtime.spawn(async { rocket.launch().await.map(drop) });
        let Ok((addr, shutdown)) = started.await else {
            let failed = launch.await.wrap_err("the server task ended")?;
            runtime.shutdown_background();
            return match failed {
                Err(e) => Err(eyre!(
                    "cannot listen on {listen}: {e}; choose a free address"
                )),
                Ok(()) => Err(eyre!("the server on {listen} ended at once")),
            };
        };
        Ok(Self {
            runtime: Some(runtime),
            addr,
            faults,
            shutdown,
            busy,
        })
    }

    /// Returns the address that the server listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the base URL, without a slash at the end.
    pub fn url(&self) -> String {
        format!("http://{}", self.addr)
    }

    /// Injects a fault into requests whose path starts with `target`; see [`Fault`] for the values.
    ///
    /// # Errors
    ///
    /// Returns an error if this kind of server does not have the fault.
    pub fn fault(&self, fault: Fault, target: &str, value: u64) -> Result<(), FaultError> {
        self.faults.set(fault, target, value)
    }

    /// Ends all faults.
    pub fn clear_faults(&self) {
        self.faults.clear();
    }

    /// Stops accepting connections, lets the requests in progress end, and ends the server.
    pub async fn stop(mut self) {
        self.shutdown.clone().notify();
        let idle = self.busy.wait_for(|&n| n == 0);
        let grace = Duration::from_secs(GRACE_SECS.into());
        let _ = tokio::time::timeout(grace, idle).await;
        tokio::time::sleep(FLUSH).await;
        self.kill().await;
    }

    /// Ends the server like a killed process; returns when its sockets are closed.
    pub async fn kill(mut self) {
        let Some(runtime) = self.runtime.take() else {
            return;
        };
        let end = move || runtime.shutdown_timeout(THREADS_TIMEOUT);
        let _ = tokio::task::spawn_blocking(end).await;
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}
