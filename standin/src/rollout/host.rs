//! One observed host: its agent, its engine and its process.

use std::{
    collections::BTreeMap,
    fs,
    path::{Path, PathBuf},
};

use eyre::{eyre, Result};
use serde::Deserialize;
use serde_json::Value;

/// Clock ticks of `/proc/PID/stat` in a second.
const TICKS: f64 = 100.0;

/// Addresses of a host.
#[derive(Clone, Debug)]
pub(super) struct Host {
    pub(super) name: String,
    pub(super) region: String,
    /// Operator address of the agent.
    pub(super) operator: String,
    /// URL of the engine.
    pub(super) engine: String,
    /// File with the process id of the agent, which changes when the agent is replaced.
    pub(super) pid: PathBuf,
}

/// State of a host's copy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Progress {
    /// Chunks held and needed.
    pub(super) chunks: (u32, u32),
    /// Whether the engine confirmed the version.
    pub(super) serving: bool,
}

#[derive(Deserialize)]
struct Status {
    status: Role,
}

#[derive(Deserialize)]
struct Role {
    version: Option<String>,
    chunks: Option<(u32, u32)>,
}

/// Processor time and memory of a process.
#[derive(Clone, Copy, Debug)]
pub(super) struct Usage {
    pub(super) pid: u32,
    /// Processor time in seconds.
    pub(super) cpu: f64,
    /// Largest resident memory in bytes.
    pub(super) memory: u64,
}

impl Host {
    /// Reads the hosts from lines of name, region, operator address, engine URL and file of the process id.
    pub(super) fn list(file: &Path) -> Result<Vec<Self>> {
        let text = fs::read_to_string(file)?;
        let line = |l: &str| {
            let f: Vec<_> = l.split_whitespace().map(str::to_owned).collect();
            let [name, region, operator, engine, pid] =
                <[String; 5]>::try_from(f).map_err(|_| eyre!("`{l}` does not have five fields"))?;
            let pid = PathBuf::from(pid);
            Ok(Self {
                name,
                region,
                operator,
                engine,
                pid,
            })
        };
        text.lines().map(line).collect()
    }

    /// Asks the agent; `None` if it does not answer.
    pub(super) async fn progress(&self, http: &reqwest::Client, version: &str) -> Option<Progress> {
        let url = format!("http://{}/status", self.operator);
        let status: Status = http.get(url).send().await.ok()?.json().await.ok()?;
        Some(Progress {
            chunks: status.status.chunks.unwrap_or_default(),
            serving: status.status.version.as_deref() == Some(version),
        })
    }

    /// Returns the hash of the bytes that the engine serves.
    pub(super) async fn served(&self, http: &reqwest::Client) -> Option<String> {
        let url = format!("{}/status", self.engine);
        let status: Value = http.get(url).send().await.ok()?.json().await.ok()?;
        Some(status["hash"].as_str()?.to_owned())
    }

    /// Reads the agent's counters of weights.
    pub(super) async fn counters(&self, http: &reqwest::Client) -> Option<BTreeMap<String, u64>> {
        let url = format!("http://{}/metrics", self.operator);
        let text = http.get(url).send().await.ok()?.text().await.ok()?;
        let one = |l: &str| {
            let (name, value) = l.split_once(' ')?;
            let name = name.strip_prefix("sesamewing_weights_")?;
            let value = value.split(' ').next()?.parse().ok()?;
            Some((name.trim_end_matches("_total").to_owned(), value))
        };
        Some(text.lines().filter_map(one).collect())
    }

    /// Reads processor time and memory of the agent; `None` if it has ended.
    pub(super) fn usage(&self) -> Option<Usage> {
        let pid: u32 = fs::read_to_string(&self.pid).ok()?.trim().parse().ok()?;
        let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        // The program name in brackets may hold spaces; utime and stime are fields 14 and 15.
        let mut fields = stat.rsplit_once(')')?.1.split_whitespace().skip(11);
        let mut time = || fields.next()?.parse::<f64>().ok();
        let cpu = (time()? + time()?) / TICKS;
        let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:"))?;
        let kib: u64 = peak.split_whitespace().next()?.parse().ok()?;
        Some(Usage {
            pid,
            cpu,
            memory: kib << 10,
        })
    }
}
