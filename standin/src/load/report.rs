//! Figures of a run.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    fmt::Write as _,
    fs,
    path::Path,
    time::Duration,
};

use eyre::Result;
use hdrhistogram::Histogram;
use serde_json::{json, Value};

use super::record::{Record, Verdict};

/// Violations of the guarantees, each with the trace of the request.
#[derive(Default)]
pub(super) struct Violations {
    pub(super) counts: BTreeMap<&'static str, u64>,
    pub(super) traces: Vec<Value>,
}

impl Violations {
    fn add(&mut self, name: &'static str, record: &Record, text: &str) {
        *self.counts.entry(name).or_default() += 1;
        self.traces.push(json!({
            "violation": name, "id": record.id, "workspace": record.workspace, "text": text,
            "at_ms": record.at.as_millis() as u64, "calls": record.steps,
        }));
    }

    /// Compares all answers with each other, and the orders with the runs at their endpoints.
    pub(super) fn find(records: &[Record], runs: Option<&HashMap<String, u64>>) -> Self {
        let mut out = Self::default();
        for name in [
            "wrong_answers",
            "cut_answers",
            "double_runs",
            "false_not_run",
        ] {
            out.counts.insert(name, 0);
        }
        let mut seen = HashSet::new();
        for r in records {
            match r.answer.verdict {
                Verdict::Wrong => out.add("wrong_answers", r, &r.answer.text),
                Verdict::Cut => out.add("cut_answers", r, &r.answer.text),
                Verdict::Good if !seen.insert(&r.id) => {
                    out.add("wrong_answers", r, "two answers have the same request id");
                }
                _ => {}
            }
            if let (true, Some(runs)) = (r.order, runs) {
                let n = runs.get(&r.id).copied().unwrap_or(0);
                if n > 1 {
                    out.add("double_runs", r, &format!("{n} runs"));
                }
                if n == 0 && r.answer.verdict == Verdict::Good {
                    out.add("wrong_answers", r, "answered without a run");
                }
                // A repeat that was refused says nothing of an earlier call whose answer was lost.
                let refused = r.steps.iter().all(|s| s.verdict == Verdict::NotRun);
                if n > 0 && refused {
                    out.add("false_not_run", r, "answered `not_run`, and ran");
                }
            }
        }
        out
    }
}

/// Figures of the requests after the warm-up.
pub(super) struct Figures<'a> {
    pub(super) records: Vec<&'a Record>,
    /// Time that the figures cover, in seconds.
    pub(super) seconds: f64,
    pub(super) deadline: Duration,
}

fn histogram(times: impl Iterator<Item = Duration>) -> Histogram<u64> {
    let mut out = Histogram::new_with_bounds(1, 600_000_000, 3).expect("valid bounds");
    for t in times {
        out.saturating_record((t.as_micros() as u64).max(1));
    }
    out
}

fn quantiles(h: &Histogram<u64>) -> Value {
    let ms = |q| h.value_at_quantile(q) as f64 / 1000.0;
    json!({"count": h.len(), "p50_ms": ms(0.5), "p95_ms": ms(0.95), "p99_ms": ms(0.99),
        "max_ms": h.max() as f64 / 1000.0})
}

impl Figures<'_> {
    fn is_good(&self, r: &Record) -> bool {
        r.answer.verdict == Verdict::Good && r.total <= self.deadline
    }

    fn rate(&self, n: usize) -> f64 {
        (n as f64 / self.seconds * 1000.0).round() / 1000.0
    }

    /// Returns the results as JSON.
    pub(super) fn json(&self) -> Value {
        let models = || self.records.iter().filter(|r| !r.order);
        let good = self.records.iter().filter(|r| self.is_good(r)).count();
        let mut outcomes = BTreeMap::<String, u64>::new();
        let mut reasons = BTreeMap::<&str, u64>::new();
        let mut workspaces = BTreeMap::<&str, (usize, usize)>::new();
        for r in &self.records {
            let kind = if r.order { "order" } else { "completion" };
            let verdict = &r.answer.verdict;
            *outcomes.entry(format!("{kind}_{verdict}")).or_default() += 1;
            if *verdict != Verdict::Good {
                *reasons.entry(&r.answer.text).or_default() += 1;
            }
            let w = workspaces.entry(&r.workspace).or_default();
            w.0 += 1;
            w.1 += usize::from(self.is_good(r));
        }
        let first = histogram(models().filter_map(|r| r.answer.first));
        let gaps = histogram(models().flat_map(|r| r.answer.gaps.iter().copied()));
        let order = histogram(self.records.iter().filter(|r| r.order).map(|r| r.total));
        let workspaces: BTreeMap<_, _> = workspaces
            .into_iter()
            .map(|(name, (offered, good))| {
                let value = json!({"offered": self.rate(offered), "goodput": self.rate(good)});
                (name, value)
            })
            .collect();
        json!({
            "offered": self.rate(self.records.len()), "goodput": self.rate(good),
            "outcomes": outcomes, "reasons": reasons, "workspaces": workspaces, "ttft": quantiles(&first),
            "itl": quantiles(&gaps), "order": quantiles(&order),
        })
    }
}

fn csv(records: &[Record]) -> String {
    let mut out = "at_ms,workspace,kind,id,verdict,calls,first_ms,total_ms,gap_max_ms\n".to_owned();
    let ms = |d: Duration| d.as_secs_f64() * 1000.0;
    for r in records {
        let kind = if r.order { "order" } else { "completion" };
        let gap = r.answer.gaps.iter().max().copied().unwrap_or_default();
        let _ = writeln!(
            out,
            "{},{},{kind},{},{},{},{:.2},{:.2},{:.2}",
            r.at.as_millis(),
            r.workspace,
            r.id,
            r.answer.verdict,
            r.steps.len(),
            ms(r.answer.first.unwrap_or_default()),
            ms(r.total),
            ms(gap)
        );
    }
    out
}

/// Draws offered load (grey), good answers (green) and others (red) for each second.
fn svg(records: &[Record]) -> String {
    let seconds = records.iter().map(|r| r.at.as_secs() + 1).max();
    let mut bars = vec![(0u32, 0u32); seconds.unwrap_or(1) as usize];
    for r in records {
        let bar = &mut bars[r.at.as_secs() as usize];
        bar.0 += 1;
        bar.1 += u32::from(r.answer.verdict == Verdict::Good);
    }
    let most = bars.iter().map(|b| b.0).max().unwrap_or(1).max(1);
    let scale = 200.0 / f64::from(most);
    let width = bars.len() * 16 + 60;
    let mut out = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{width}\" height=\"250\" font-family=\"sans-serif\" \
         font-size=\"10\">\n<text x=\"5\" y=\"15\">{most}/s</text>\n\
         <text x=\"50\" y=\"245\">seconds; green: good answers, red: others</text>\n"
    );
    for (i, (all, good)) in bars.iter().enumerate() {
        let (x, all, good) = (
            50 + i * 16,
            f64::from(*all) * scale,
            f64::from(*good) * scale,
        );
        for (height, colour) in [(all, "#c33"), (good, "#393")] {
            let y = 220.0 - height;
            let _ = writeln!(
                out,
                "<rect x=\"{x}\" y=\"{y:.1}\" width=\"14\" height=\"{height:.1}\" fill=\"{colour}\"/>"
            );
        }
    }
    out + "</svg>\n"
}

/// Writes JSON, CSV, traces of violations and a plot.
pub(super) fn write(
    dir: &Path,
    summary: &Value,
    records: &[Record],
    found: &Violations,
) -> Result<()> {
    fs::create_dir_all(dir)?;
    fs::write(dir.join("result.json"), format!("{summary:#}\n"))?;
    fs::write(dir.join("requests.csv"), csv(records))?;
    fs::write(dir.join("load.svg"), svg(records))?;
    let traces: String = found.traces.iter().map(|t| format!("{t}\n")).collect();
    fs::write(dir.join("violations.jsonl"), traces)?;
    Ok(())
}
