//! Start-up and shutdown that both daemons share.

use std::{future::Future, path::PathBuf, process::ExitCode};

use getopts::Options;
use log::LevelFilter;
use tokio::signal::unix::{signal, Signal, SignalKind};

use super::{Context, Phase, ProcessSettings};
use crate::{
    base::Millis,
    observe::{init_logging, reload_tls, OperatorApi, Scope},
    wire::Role,
};

crate::events! {
    /// The process started.
    STARTED = 800, "started", Info,
        "the process started", "nothing";
    /// A signal started a graceful drain.
    SIGNALLED = 801, "signalled", Info,
        "a signal asked the process to drain", "nothing; send the signal again to end at once";
    /// A second signal ended the process.
    KILLED = 802, "ended-early", Warn,
        "a second signal ended the process before its requests had ended", "look for requests with outcome may_have_run";
    /// The daemon failed.
    FAILED = 803, "failed", Error,
        "the daemon ended with an error", "correct what the text names and start the process again";
    /// The process stopped.
    STOPPED = 804, "stopped", Info,
        "the process ended after its requests", "nothing";
}

/// Exit code for a failure of the daemon or invalid settings.
const FAILURE: u8 = 1;

/// Exit code for wrong options.
const USAGE: u8 = 2;

/// Largest number of worker threads; a daemon uses a small part of its host, which also runs the endpoint.
const WORKERS_MAX: usize = 4;

/// Time for peers to be told that the connections close.
const CLOSE_TIMEOUT: Millis = Millis(1000);

/// Runs a daemon from its command line until it has stopped.
///
/// `run` returns after it has brought the process from [`Phase::Draining`] to [`Phase::Stopped`], or with an error.
pub fn start<F, Fut>(role: Role, run: F) -> ExitCode
where
    F: FnOnce(Context) -> Fut,
    Fut: Future<Output = eyre::Result<()>>,
{
    match prepare(role) {
        Ok(settings) => launch(settings, run),
        Err(code) => code,
    }
}

fn program(role: Role) -> &'static str {
    match role {
        Role::Entry => "sesamewing-entry",
        Role::Agent => "sesamewing-agent",
    }
}

fn options() -> Options {
    let mut o = Options::new();
    o.optopt("", "config", "process settings, a YAML file", "FILE");
    o.optflag("", "check", "check the settings and TLS files, then exit");
    let levels = "least severe level of log lines: error, warn, info (default), debug or trace";
    o.optopt("", "log-level", levels, "LEVEL");
    o.optflag("", "version", "print the version and exit");
    o.optflag("h", "help", "print this help and exit");
    o
}

/// Reads the command line and the settings; sets up logging.
fn prepare(role: Role) -> Result<ProcessSettings, ExitCode> {
    let (name, options) = (program(role), options());
    let usage = |text: &str| {
        eprintln!("{name}: {text}; see `{name} --help`");
        ExitCode::from(USAGE)
    };
    let m = options
        .parse(std::env::args_os().skip(1))
        .map_err(|e| usage(&e.to_string()))?;
    if m.opt_present("help") {
        let brief = format!("Usage: {name} --config FILE [--check] [--log-level LEVEL]");
        println!("{}", options.usage(&brief).trim_end());
        return Err(ExitCode::SUCCESS);
    }
    if m.opt_present("version") {
        println!("{name} {}", env!("CARGO_PKG_VERSION"));
        return Err(ExitCode::SUCCESS);
    }
    if let Some(extra) = m.free.first() {
        return Err(usage(&format!("`{extra}` is not an option")));
    }
    let level = m.opt_str("log-level").unwrap_or_else(|| "info".to_owned());
    let level: LevelFilter = level
        .parse()
        .map_err(|_| usage(&format!("`{level}` is not a log level")))?;
    let file = m
        .opt_str("config")
        .map(PathBuf::from)
        .ok_or_else(|| usage("`--config FILE` is missing"))?;
    let failed = |e: &dyn std::fmt::Display| {
        eprintln!("{e}");
        ExitCode::from(FAILURE)
    };
    let settings = ProcessSettings::load(&file, role).map_err(|e| failed(&e))?;
    settings
        .tls
        .check()
        .map_err(|e| failed(&format!("{}: {e}", file.display())))?;
    if m.opt_present("check") {
        println!("{}: ok", file.display());
        return Err(ExitCode::SUCCESS);
    }
    init_logging(level).map_err(|e| failed(&e))?;
    Ok(settings)
}

fn launch<F, Fut>(settings: ProcessSettings, run: F) -> ExitCode
where
    F: FnOnce(Context) -> Fut,
    Fut: Future<Output = eyre::Result<()>>,
{
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(cores.min(WORKERS_MAX))
        .enable_all()
        .build();
    let done = match runtime {
        Ok(runtime) => runtime.block_on(serve(settings, run)),
        Err(e) => Err(e.into()),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            crate::emit!(FAILED, "{e:#}");
            ExitCode::from(FAILURE)
        }
    }
}

async fn serve<F, Fut>(settings: ProcessSettings, run: F) -> eyre::Result<()>
where
    F: FnOnce(Context) -> Fut,
    Fut: Future<Output = eyre::Result<()>>,
{
    // Handlers are installed first, so that a signal during start-up already drains instead of killing.
    let signals = Signals::install()?;
    let ctx = Context::start(settings)?;
    let api = OperatorApi::start(&ctx).await?;
    let (name, version) = (&ctx.settings.name, env!("CARGO_PKG_VERSION"));
    let text = format!("{name}, instance {}, version {version}", ctx.instance);
    crate::emit!(STARTED, "{text}");
    ctx.timeline.record(&STARTED, Scope::default(), text);
    // Programs that start daemons wait for this line.
    println!("ready {name}");
    let watcher = tokio::spawn(signals.watch(ctx.clone()));
    let done = run(ctx.clone()).await;
    ctx.advance(Phase::Stopped);
    watcher.abort();
    api.stop().await;
    // Peers that miss the close notice find out through their idle timeout.
    let _ = tokio::time::timeout(CLOSE_TIMEOUT.duration(), ctx.transport.close()).await;
    done?;
    crate::emit!(STOPPED, "{name}");
    Ok(())
}

/// Signals that operators and supervisors send.
struct Signals {
    term: Signal,
    int: Signal,
    hup: Signal,
}

impl Signals {
    fn install() -> std::io::Result<Self> {
        Ok(Self {
            term: signal(SignalKind::terminate())?,
            int: signal(SignalKind::interrupt())?,
            hup: signal(SignalKind::hangup())?,
        })
    }

    async fn watch(mut self, ctx: Context) {
        let mut signalled = false;
        loop {
            // A reload that was asked for before a drain still happens.
            let name = tokio::select! {
                biased;
                _ = self.hup.recv() => {
                    // The outcome is logged; the old files stay in use if the new ones are refused.
                    let _ = reload_tls(&ctx);
                    continue;
                }
                _ = self.term.recv() => "SIGTERM",
                _ = self.int.recv() => "SIGINT",
            };
            if signalled {
                crate::emit!(KILLED, "{name}");
                std::process::exit(i32::from(FAILURE));
            }
            signalled = true;
            crate::emit!(SIGNALLED, "{name}");
            ctx.timeline.record(&SIGNALLED, Scope::default(), name);
            ctx.advance(Phase::Draining);
        }
    }
}
