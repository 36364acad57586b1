//! The command `run`.

use std::{
    collections::HashMap,
    path::PathBuf,
    process::ExitCode,
    str::FromStr,
    sync::Arc,
    time::{Duration, Instant},
};

use eyre::{bail, eyre, Result};
use futures_util::future::join_all;
use getopts::{Matches, Options};
use serde_json::json;

use super::{
    caller,
    client::Client,
    mix::{arrivals, workspaces, Mix},
    report::{write, Figures, Violations},
};

/// Clock ticks of `/proc/PID/stat` in a second.
const TICKS: f64 = 100.0;

fn options() -> Options {
    let mut o = Options::new();
    o.optopt(
        "",
        "entries",
        "callers' addresses of some entries, with commas",
        "LIST",
    )
    .optopt(
        "",
        "direct",
        "engines to send to instead, with commas",
        "LIST",
    )
    .optopt("", "rate", "mean requests a second", "R")
    .optopt(
        "",
        "workspaces",
        "rates of single workspaces: NAME=R,...",
        "LIST",
    )
    .optopt("", "seconds", "time of arrivals", "S")
    .optopt(
        "",
        "warmup",
        "seconds left out of the figures, default 0",
        "S",
    )
    .optopt("", "seed", "seed of the arrivals", "N")
    .optopt("", "mix", "fibre (default), ladder, models or even", "NAME")
    .optopt("", "service", "model service, default drafts", "NAME")
    .optopt(
        "",
        "deadline-ms",
        "deadline of each request, default 3000",
        "MS",
    )
    .optopt(
        "",
        "runs",
        "URLs of plain endpoints that count runs, with commas",
        "LIST",
    )
    .optopt(
        "",
        "pids",
        "processes whose processor time counts, with commas",
        "LIST",
    )
    .optopt(
        "",
        "out",
        "folder for result.json, requests.csv, violations.jsonl, load.svg",
        "DIR",
    )
    .optflag("h", "help", "print this help");
    o
}

fn get<T: FromStr>(m: &Matches, name: &str, default: T) -> Result<T> {
    match m.opt_str(name) {
        None => Ok(default),
        Some(s) => s
            .parse()
            .map_err(|_| eyre!("--{name}: `{s}` cannot be read; see --help")),
    }
}

fn list(m: &Matches, name: &str) -> Vec<String> {
    let text = m.opt_str(name).unwrap_or_default();
    let parts = text.split(',').filter(|s| !s.is_empty());
    parts.map(str::to_owned).collect()
}

/// Returns the processor time of processes in seconds; one that has ended counts as 0.
fn processor(pids: &[String]) -> f64 {
    let one = |pid: &String| {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        // The program name in brackets may hold spaces; utime and stime are fields 14 and 15.
        let rest = stat.rsplit_once(')')?.1;
        let mut fields = rest.split_whitespace().skip(11);
        let user: f64 = fields.next()?.parse().ok()?;
        let system: f64 = fields.next()?.parse().ok()?;
        Some((user + system) / TICKS)
    };
    pids.iter().filter_map(one).sum()
}

fn rates(m: &Matches) -> Result<Vec<(String, f64)>> {
    let named = list(m, "workspaces");
    if named.is_empty() {
        return Ok(workspaces(get(m, "rate", 10.0)?));
    }
    let one = |s: &String| {
        let (name, rate) = s.split_once('=')?;
        Some((name.to_owned(), rate.parse().ok()?))
    };
    let rates: Option<Vec<_>> = named.iter().map(one).collect();
    rates.ok_or_else(|| eyre!("--workspaces: use NAME=RATE,..."))
}

pub(super) fn main(args: &[String]) -> Result<ExitCode> {
    let opts = options();
    let m = opts.parse(args)?;
    if m.opt_present("help") {
        println!("{}", opts.usage("Usage: sesamewing-load run [OPTIONS]"));
        return Ok(ExitCode::SUCCESS);
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()?;
    runtime.block_on(run(&m))
}

async fn run(m: &Matches) -> Result<ExitCode> {
    let direct = list(m, "direct");
    let addresses = match direct.is_empty() {
        true => list(m, "entries"),
        false => direct.clone(),
    };
    if addresses.is_empty() {
        bail!("--entries or --direct is missing; see `sesamewing-load run --help`");
    }
    let name = get(m, "mix", "fibre".to_owned())?;
    let mix = Mix::named(&name).ok_or_else(|| eyre!("--mix: use fibre, ladder, models or even"))?;
    let seconds: f64 = get(m, "seconds", 10.0)?;
    let warmup: f64 = get(m, "warmup", 0.0)?;
    let seed = get(m, "seed", 1)?;
    let deadline = Duration::from_millis(get(m, "deadline-ms", 3000)?);
    let service = get(m, "service", "drafts".to_owned())?;
    let (pids, endpoints) = (list(m, "pids"), list(m, "runs"));
    let client = Arc::new(Client::new(
        addresses,
        !direct.is_empty(),
        service,
        deadline,
    )?);
    let plan = arrivals(&mix, &rates(m)?, seconds, seed);
    let follow = tokio::spawn({
        let client = client.clone();
        async move { client.follow().await }
    });
    let before = processor(&pids);
    let start = Instant::now();
    let calls = plan
        .into_iter()
        .map(|a| tokio::spawn(caller::run(client.clone(), start, a)));
    let records: Result<Vec<_>, _> = join_all(calls).await.into_iter().collect();
    let records = records?;
    let used = processor(&pids) - before;
    follow.abort();
    let mut runs = HashMap::new();
    for url in &endpoints {
        for (id, n) in client.runs(url).await? {
            *runs.entry(id).or_insert(0) += n;
        }
    }
    let found = Violations::find(&records, (!endpoints.is_empty()).then_some(&runs));
    let counted = records
        .iter()
        .filter(|r| r.at.as_secs_f64() >= warmup)
        .collect();
    let figures = Figures {
        records: counted,
        seconds: seconds - warmup,
        deadline,
    };
    let mut summary = figures.json();
    summary["seed"] = seed.into();
    summary["requests"] = records.len().into();
    summary["orders"] = records.iter().filter(|r| r.order).count().into();
    summary["violations"] = json!(found.counts);
    let calls: usize = records.iter().map(|r| r.steps.len()).sum();
    summary["cpu_us_per_request"] = (used * 1e6 / calls.max(1) as f64).round().into();
    if let Some(dir) = m.opt_str("out") {
        write(&PathBuf::from(dir), &summary, &records, &found)?;
    }
    println!("{summary}");
    let broken = found.counts.values().any(|n| *n > 0);
    for trace in found.traces.iter().take(3) {
        eprintln!("violation: {trace}");
    }
    Ok(ExitCode::from(u8::from(broken)))
}
