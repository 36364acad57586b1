//! The observer's command line and its loop.

use std::{
    fs,
    path::PathBuf,
    process::ExitCode,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use eyre::{eyre, Result};
use futures_util::future::join_all;
use getopts::{Matches, Options};
use serde_json::Value;

use super::{
    figures::{Figures, Sample},
    host::{Host, Progress},
    picture,
};

/// Time between two rounds of asking the agents.
const ROUND: Duration = Duration::from_millis(250);

/// Time for one answer.
const TIMEOUT: Duration = Duration::from_secs(1);

const USAGE: &str = "Usage: sesamewing-rollout [OPTIONS]

Waits until every host serves a version; writes replicas.csv, replicas.svg, progress and summary.json, and prints the
summary. Exit code 1 if an engine serves other bytes or a host has no clear status at the end.";

fn options() -> Options {
    let mut o = Options::new();
    o.reqopt(
        "",
        "hosts",
        "name, region, operator address, engine URL and pid file of each host",
        "FILE",
    )
    .reqopt("", "platform", "URL of the platform", "URL")
    .reqopt("", "version", "version that is rolled out", "V")
    .reqopt("", "whole", "hash of its content", "HASH")
    .reqopt("", "size", "bytes that each host needs", "N")
    .reqopt("", "bound-ms", "lower bound of the time", "MS")
    .reqopt(
        "",
        "start-ms",
        "Unix time at which the version was published",
        "MS",
    )
    .reqopt("", "store", "region of the weight store", "REGION")
    .reqopt("", "timeout", "longest time", "SECONDS")
    .optopt(
        "",
        "baselines",
        "other times relative to the bound: NAME=RATIO,...",
        "LIST",
    )
    .reqopt("", "out", "folder for the results", "DIR")
    .optflag("h", "help", "print this help");
    o
}

/// What is observed.
pub(super) struct Plan {
    pub(super) hosts: Vec<Host>,
    pub(super) platform: String,
    pub(super) version: String,
    pub(super) whole: String,
    pub(super) size: u64,
    pub(super) bound: u64,
    start: u64,
    pub(super) store: String,
    timeout: u64,
    pub(super) baselines: Vec<(String, f64)>,
    out: PathBuf,
}

fn number(m: &Matches, name: &str) -> Result<u64> {
    let text = m.opt_str(name).unwrap_or_default();
    text.parse()
        .map_err(|_| eyre!("--{name}: `{text}` is not a whole number"))
}

impl Plan {
    fn read(m: &Matches) -> Result<Self> {
        let text = |name| m.opt_str(name).unwrap_or_default();
        let baselines = text("baselines");
        let baselines = baselines.split(',').filter_map(|b| {
            let (name, ratio) = b.split_once('=')?;
            Some((name.to_owned(), ratio.parse().ok()?))
        });
        Ok(Self {
            hosts: Host::list(&PathBuf::from(text("hosts")))?,
            platform: text("platform"),
            version: text("version"),
            whole: text("whole"),
            size: number(m, "size")?,
            bound: number(m, "bound-ms")?,
            start: number(m, "start-ms")?,
            store: text("store"),
            timeout: number(m, "timeout")?,
            baselines: baselines.collect(),
            out: PathBuf::from(text("out")),
        })
    }

    /// Returns the time since the version was published, in milliseconds.
    pub(super) fn elapsed(&self) -> u64 {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        (now.map_or(0, |t| t.as_millis()) as u64).saturating_sub(self.start)
    }

    /// Returns the bytes that left the origin so far.
    async fn origin(&self, http: &reqwest::Client) -> Result<u64> {
        let url = format!("{}/stats", self.platform);
        let stats: Value = http.get(url).send().await?.json().await?;
        stats["origin"]["total"]
            .as_u64()
            .ok_or_else(|| eyre!("the platform's statistics lack the origin"))
    }

    /// Asks the agents until all serve the version or the time is over.
    async fn follow(&self, http: &reqwest::Client) -> Result<(Vec<Progress>, Vec<Sample>)> {
        let mut known = vec![Progress::default(); self.hosts.len()];
        let mut samples = Vec::new();
        let mut tick = tokio::time::interval(ROUND);
        loop {
            tick.tick().await;
            let asked = self.hosts.iter().zip(&known).map(|(host, old)| async {
                match old.serving {
                    true => *old,
                    // A host that does not answer keeps its last state.
                    false => host.progress(http, &self.version).await.unwrap_or(*old),
                }
            });
            known = join_all(asked).await;
            let sample = Sample::new(self.elapsed(), &known);
            fs::write(self.out.join("progress"), format!("{}\n", sample.percent()))?;
            samples.push(sample);
            let done = known.iter().all(|p| p.serving);
            if done || self.elapsed() > self.timeout * 1000 {
                return Ok((known, samples));
            }
        }
    }
}

pub(super) fn main(args: &[String]) -> Result<ExitCode> {
    let opts = options();
    if args.iter().any(|a| a == "-h" || a == "--help") {
        println!("{}", opts.usage(USAGE));
        return Ok(ExitCode::SUCCESS);
    }
    let plan = Plan::read(&opts.parse(args)?)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(run(&plan))
}

async fn run(plan: &Plan) -> Result<ExitCode> {
    fs::create_dir_all(&plan.out)?;
    let http = reqwest::Client::builder()
        .no_proxy()
        .timeout(TIMEOUT)
        .build()?;
    let origin = plan.origin(&http).await?;
    let before: Vec<_> = plan.hosts.iter().map(Host::usage).collect();
    let (last, samples) = plan.follow(&http).await?;
    let after: Vec<_> = plan.hosts.iter().map(Host::usage).collect();
    let origin = plan.origin(&http).await? - origin;
    let served = join_all(plan.hosts.iter().map(|h| h.served(&http))).await;
    let counters = join_all(plan.hosts.iter().map(|h| h.counters(&http))).await;
    let figures = Figures {
        plan,
        last,
        samples,
        before,
        after,
        origin,
        served,
        counters,
    };
    fs::write(plan.out.join("replicas.csv"), figures.csv())?;
    fs::write(
        plan.out.join("replicas.svg"),
        picture::draw(plan, &figures.samples),
    )?;
    let (summary, clear) = figures.summary();
    fs::write(plan.out.join("summary.json"), format!("{summary:#}\n"))?;
    println!("{summary}");
    Ok(ExitCode::from(u8::from(!clear)))
}
