//! Figures of a rollout.

use std::{collections::BTreeMap, fmt::Write as _};

use serde_json::{json, Value};

use super::{
    host::{Progress, Usage},
    observe::Plan,
};

/// State of all hosts at a time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sample {
    /// Time since the version was published.
    pub(super) ms: u64,
    /// Hosts that hold every chunk.
    pub(super) copies: usize,
    /// Hosts whose engine serves the version.
    pub(super) serving: usize,
    /// Chunks held and needed by all hosts that know the manifest.
    chunks: (u64, u64),
    hosts: usize,
}

impl Sample {
    pub(super) fn new(ms: u64, hosts: &[Progress]) -> Self {
        let held = |p: &&Progress| p.serving || (p.chunks.1 > 0 && p.chunks.0 == p.chunks.1);
        let sum = |part: fn(&Progress) -> u32| hosts.iter().map(|p| u64::from(part(p))).sum();
        Self {
            ms,
            copies: hosts.iter().filter(held).count(),
            serving: hosts.iter().filter(|p| p.serving).count(),
            chunks: (sum(|p| p.chunks.0), sum(|p| p.chunks.1)),
            hosts: hosts.iter().filter(|p| p.chunks.1 > 0 || p.serving).count(),
        }
    }

    /// Returns the percentage of chunks held once every host knows the manifest; 0 before.
    pub(super) fn percent(&self) -> u64 {
        match self.chunks.1 {
            0 => 0,
            needed if self.hosts > 0 => self.chunks.0 * 100 / needed,
            _ => 0,
        }
    }
}

/// Everything that was observed.
pub(super) struct Figures<'a> {
    pub(super) plan: &'a Plan,
    pub(super) last: Vec<Progress>,
    pub(super) samples: Vec<Sample>,
    pub(super) before: Vec<Option<Usage>>,
    pub(super) after: Vec<Option<Usage>>,
    /// Bytes that left the origin.
    pub(super) origin: u64,
    /// Hash of what each engine serves.
    pub(super) served: Vec<Option<String>>,
    pub(super) counters: Vec<Option<BTreeMap<String, u64>>>,
}

fn round(x: f64) -> f64 {
    (x * 1000.0).round() / 1000.0
}

impl Figures<'_> {
    pub(super) fn csv(&self) -> String {
        let mut out = "ms,copies,serving,percent\n".to_owned();
        for s in &self.samples {
            let _ = writeln!(out, "{},{},{},{}", s.ms, s.copies, s.serving, s.percent());
        }
        out
    }

    fn sum(&self, name: &str) -> u64 {
        let hosts = self.counters.iter().flatten();
        hosts.filter_map(|c| c.get(name)).sum()
    }

    /// Returns the time at which all hosts had reached a state.
    fn time(&self, count: fn(&Sample) -> usize) -> Option<u64> {
        let all = self.plan.hosts.len();
        self.samples.iter().find(|s| count(s) == all).map(|s| s.ms)
    }

    /// Returns the largest number of copies that entered a region other than the store's.
    fn region_copies(&self) -> Option<f64> {
        let mut regions = BTreeMap::<&str, u64>::new();
        for (host, counters) in self.plan.hosts.iter().zip(&self.counters) {
            if host.region == self.plan.store {
                continue;
            }
            let get = |name| counters.iter().filter_map(|c| c.get(name)).sum::<u64>();
            *regions.entry(&host.region).or_default() += get("remote_bytes") + get("origin_bytes");
        }
        let most = regions.values().max()?;
        Some(round(*most as f64 / self.plan.size as f64))
    }

    /// Returns mean and maximum of processor seconds and peak memory of the agents that ran all the time.
    fn usage(&self) -> Value {
        let pairs = self.before.iter().flatten().filter_map(|b| {
            let same = |a: &&Usage| a.pid == b.pid;
            self.after
                .iter()
                .flatten()
                .find(same)
                .map(|a| (a.cpu - b.cpu, a.memory))
        });
        let (cpu, memory): (Vec<f64>, Vec<u64>) = pairs.unzip();
        let n = cpu.len().max(1) as f64;
        json!({
            "agents": cpu.len(),
            "cpu_s_mean": round(cpu.iter().sum::<f64>() / n),
            "cpu_s_max": cpu.iter().copied().fold(0.0, f64::max),
            "memory_mib_mean": (memory.iter().sum::<u64>() as f64 / n / 1_048_576.0).round(),
            "memory_mib_max": memory.iter().max().map_or(0, |m| m >> 20),
        })
    }

    /// Returns the summary, and whether every host ended with the right bytes.
    pub(super) fn summary(&self) -> (Value, bool) {
        let plan = self.plan;
        let names = |bad: Vec<bool>| -> Vec<&str> {
            let hosts = plan.hosts.iter().zip(bad);
            hosts
                .filter(|(_, bad)| *bad)
                .map(|(h, _)| h.name.as_str())
                .collect()
        };
        let missing = names(self.last.iter().map(|p| !p.serving).collect());
        let wrong = self.last.iter().zip(&self.served);
        let wrong = names(
            wrong
                .map(|(p, h)| p.serving && h.as_deref() != Some(&plan.whole))
                .collect(),
        );
        let unknown = names(self.counters.iter().map(Option::is_none).collect());
        let ratio = |ms: Option<u64>| ms.map(|ms| round(ms as f64 / plan.bound as f64));
        let (copied, served) = (self.time(|s| s.copies), self.time(|s| s.serving));
        let seconds = served.unwrap_or(plan.elapsed()).max(1) as f64 / 1000.0;
        let clear = missing.is_empty() && wrong.is_empty() && unknown.is_empty();
        let uploads = || {
            self.counters
                .iter()
                .flatten()
                .filter_map(|c| c.get("upload_bytes"))
        };
        let rate = self.sum("report_bytes") as f64 / seconds / plan.hosts.len().max(1) as f64;
        let summary = json!({
            "hosts": plan.hosts.len(), "bound_ms": plan.bound, "copied_ms": copied, "served_ms": served,
            "copied_ratio": ratio(copied), "time_ratio": ratio(served),
            "origin_copies": round(self.origin as f64 / plan.size as f64),
            "region_copies": self.region_copies(),
            "upload_bytes_per_s_mean": (self.sum("upload_bytes") as f64 / seconds / plan.hosts.len().max(1) as f64).round(),
            "upload_bytes_per_s_max": (uploads().max().copied().unwrap_or(0) as f64 / seconds).round(),
            "duplicates": self.sum("duplicate_chunks"), "corrupt": self.sum("corrupt_chunks"),
            "busy": self.sum("busy_replies"), "failed": self.sum("failed_fetches"),
            "control_bytes_per_s": rate.round(), "usage": self.usage(),
            "missing": missing, "wrong_bytes": wrong, "no_status": unknown,
        });
        (summary, clear)
    }
}
