//! Runs the stand-ins and prepares their files and content.

use std::{
    path::{Path, PathBuf},
    str::FromStr,
};

use eyre::{bail, ensure, eyre, Result, WrapErr};
use futures_util::future::join_all;
use getopts::{Matches, Options};
use sesamewing::{
    base::{Millis, Size},
    process::ProcessSettings,
    wire::Role,
};
use sesamewing_standin::{
    certs::write_certs,
    corrupt,
    weights::{put_weights, Recipe},
    Endpoint, EndpointOptions, Platform, PlatformOptions, Server,
};
use tokio::signal::unix::{signal, SignalKind};

/// Default chunk size.
const CHUNK: Size = Size(64 << 10);

const USAGE: &str = "\
Usage: sesamewing-standin COMMAND [OPTIONS]

Commands:
    platform      run log streams, weight store and host list
    endpoint      run a model engine or a plain service
    certs         write an authority and certificates: certs DIR [NAME...]
    bad-agent     run an agent that claims to hold every chunk and sends wrong bytes
    put-weights   generate a version and upload it to a weight store

`sesamewing-standin COMMAND --help` lists the options of a command.";

/// Parses an option, or returns `None` if it is absent.
fn option<T: FromStr>(m: &Matches, name: &str) -> Result<Option<T>>
where
    T::Err: std::fmt::Display,
{
    m.opt_str(name)
        .map(|s| s.parse())
        .transpose()
        .map_err(|e| eyre!("--{name}: {e}"))
}

fn required<T: FromStr>(m: &Matches, name: &str) -> Result<T>
where
    T::Err: std::fmt::Display,
{
    option(m, name)?.ok_or_else(|| eyre!("--{name} is missing; see --help"))
}

fn millis(m: &Matches, name: &str, default: Millis) -> Result<Millis> {
    Ok(option(m, name)?.map_or(default, Millis))
}

/// Parses the arguments of a command; `None` means that the help was printed.
fn parse(opts: &mut Options, command: &str, args: &[String]) -> Result<Option<Matches>> {
    opts.optflag("h", "help", "print this help");
    let m = opts
        .parse(args)
        .wrap_err_with(|| format!("see `sesamewing-standin {command} --help`"))?;
    if m.opt_present("help") {
        let brief = format!("Usage: sesamewing-standin {command} [OPTIONS]");
        println!("{}", opts.usage(&brief));
        return Ok(None);
    }
    Ok(Some(m))
}

/// Serves until SIGTERM or SIGINT; requests in progress end first.
async fn serve(servers: Vec<Server>) -> Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    for server in &servers {
        println!("listening {}", server.addr());
    }
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    join_all(servers.into_iter().map(Server::stop)).await;
    Ok(())
}

async fn platform(args: &[String]) -> Result<()> {
    let mut opts = Options::new();
    opts.optopt(
        "",
        "listen",
        "address, required; port 0 takes a free port",
        "ADDR",
    )
    .optopt("", "retention", "drop log records after this time", "MS")
    .optopt("", "append-ms", "time that an append takes, default 0", "N")
    .optopt(
        "",
        "origin-rate",
        "rate of the weight store, default 20Mbit/s",
        "RATE",
    )
    .optopt("", "hosts-lag", "delay of the host list, default 0", "MS");
    let Some(m) = parse(&mut opts, "platform", args)? else {
        return Ok(());
    };
    let defaults = PlatformOptions::default();
    let options = PlatformOptions {
        listen: required(&m, "listen")?,
        retention: option(&m, "retention")?.map(Millis),
        append: millis(&m, "append-ms", defaults.append)?,
        rate: option(&m, "origin-rate")?.unwrap_or(defaults.rate),
        lag: millis(&m, "hosts-lag", defaults.lag)?,
    };
    serve(vec![Platform::start(options).await?]).await
}

async fn endpoint(args: &[String]) -> Result<()> {
    let mut opts = Options::new();
    opts.optopt(
        "",
        "listen",
        "address, required; port 0 takes a free port",
        "ADDR",
    )
    .optopt("", "kind", "engine or plain, required", "KIND")
    .optopt(
        "",
        "count",
        "endpoints with an address each, default 1",
        "N",
    )
    .optflag(
        "",
        "checked",
        "refuse load commands with a stale fencing token",
    )
    .optopt("", "capacity", "requests that run at once, default 24", "N")
    .optopt("", "tokens-per-second", "of a full batch, default 340", "N")
    .optopt(
        "",
        "prefill-ms",
        "time for an uncached prompt, default 200",
        "N",
    )
    .optopt("", "load-ms", "time to load a version, default 500", "N")
    .optopt("", "report-lag-ms", "age of load reports, default 200", "N")
    .optopt(
        "",
        "work-ms",
        "time that a plain service works, default 0",
        "N",
    )
    .optopt("", "version", "version in service at the start", "V")
    .optopt("", "hash", "BLAKE3 hash of that version", "H");
    let Some(m) = parse(&mut opts, "endpoint", args)? else {
        return Ok(());
    };
    let defaults = EndpointOptions::default();
    let version = match (option(&m, "version")?, option(&m, "hash")?) {
        (None, None) => None,
        (Some(version), Some(hash)) => Some((version, hash)),
        _ => bail!("--version and --hash belong together; give both or none"),
    };
    let options = EndpointOptions {
        listen: required(&m, "listen")?,
        kind: required(&m, "kind")?,
        checked: m.opt_present("checked"),
        capacity: option(&m, "capacity")?.unwrap_or(defaults.capacity),
        speed: option(&m, "tokens-per-second")?.unwrap_or(defaults.speed),
        prefill: millis(&m, "prefill-ms", defaults.prefill)?,
        load: millis(&m, "load-ms", defaults.load)?,
        lag: millis(&m, "report-lag-ms", defaults.lag)?,
        work: millis(&m, "work-ms", defaults.work)?,
        version,
    };
    let count = option(&m, "count")?.unwrap_or(1);
    ensure!(
        count == 1 || options.listen.port() == 0,
        "--count needs a free port for each endpoint; use `--listen` with port 0"
    );
    let mut servers = Vec::new();
    for _ in 0..count {
        servers.push(Endpoint::start(options.clone()).await?);
    }
    serve(servers).await
}

async fn bad_agent(args: &[String]) -> Result<()> {
    let mut opts = Options::new();
    opts.optopt(
        "",
        "config",
        "process settings of an agent, required",
        "FILE",
    )
    .optopt("", "chunks", "number of chunks, required", "N")
    .optopt("", "chunk", "chunk size, default 64KiB", "SIZE");
    let Some(m) = parse(&mut opts, "bad-agent", args)? else {
        return Ok(());
    };
    let file: PathBuf = required(&m, "config")?;
    let settings = ProcessSettings::load(&file, Role::Agent)?;
    let size = option(&m, "chunk")?.unwrap_or(CHUNK);
    corrupt::serve(settings, required(&m, "chunks")?, size).await
}

fn certs(args: &[String]) -> Result<()> {
    let Some(m) = parse(&mut Options::new(), "certs DIR [NAME...]", args)? else {
        return Ok(());
    };
    let Some((dir, names)) = m.free.split_first() else {
        bail!("the directory is missing; use `sesamewing-standin certs DIR [NAME...]`");
    };
    write_certs(Path::new(dir), names)
}

async fn weights(args: &[String]) -> Result<()> {
    let mut opts = Options::new();
    opts.optopt("", "platform", "URL of the platform, required", "URL")
        .optopt("", "version", "version name, required", "V")
        .optopt("", "size", "size of the content, required", "SIZE")
        .optopt("", "chunk", "chunk size, default 64KiB", "SIZE")
        .optopt("", "seed", "seed of the content, required", "N")
        .optopt(
            "",
            "base-seed",
            "seed of the version that this one changes",
            "M",
        )
        .optopt(
            "",
            "changed",
            "share of the chunks that change, such as 10%",
            "PCT",
        );
    let Some(m) = parse(&mut opts, "put-weights", args)? else {
        return Ok(());
    };
    let platform: String = required(&m, "platform")?;
    let base = match (option(&m, "base-seed")?, option(&m, "changed")?) {
        (None, None) => None,
        (Some(seed), Some(changed)) => Some((seed, changed)),
        _ => bail!("--base-seed and --changed belong together; give both or none"),
    };
    let recipe = Recipe {
        version: required(&m, "version")?,
        size: required(&m, "size")?,
        chunk: option(&m, "chunk")?.unwrap_or(CHUNK),
        seed: required(&m, "seed")?,
        base,
    };
    let (manifest, id) = put_weights(platform.trim_end_matches('/'), &recipe).await?;
    println!(
        "version={} manifest={id} whole={} size={} chunks={}",
        manifest.version,
        manifest.whole,
        manifest.size.0,
        manifest.chunks.len()
    );
    Ok(())
}

#[tokio::main]
async fn main() -> Result<()> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let Some((command, rest)) = args.split_first() else {
        bail!("the command is missing\n\n{USAGE}");
    };
    match command.as_str() {
        "platform" => platform(rest).await,
        "endpoint" => endpoint(rest).await,
        "certs" => certs(rest),
        "bad-agent" => bad_agent(rest).await,
        "put-weights" => weights(rest).await,
        "-h" | "--help" | "help" => {
            println!("{USAGE}");
            Ok(())
        }
        other => bail!("unknown command `{other}`\n\n{USAGE}"),
    }
}
