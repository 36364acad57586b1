//! Seeded arrivals.

use std::time::Duration;

use fastrand::Rng;

/// Time for which the arrival rate stays the same.
const EPISODE: f64 = 0.5;

/// Share of the episodes that are bursts, and their rate relative to the mean.
const BURST: (f64, f64) = (0.15, 2.5);

/// Number of workspaces if none are named; their rates fall like 1/rank.
const WORKSPACES: usize = 10;

/// Prefixes that the prompts of a workspace share.
const PREFIXES: usize = 4;

/// Content of the traffic.
#[derive(Clone, Copy, Debug)]
pub(super) struct Mix {
    /// Share of non-repeatable orders.
    pub(super) orders: f64,
    /// Median length of the part of a prompt that is not shared, in bytes.
    pub(super) prompt: f64,
    /// Length of a shared prefix, in bytes.
    pub(super) prefix: usize,
    /// Share of completions that are streamed.
    pub(super) streams: f64,
    /// Output tokens: smallest and largest.
    pub(super) tokens: (u32, u32),
    /// Whether the rate varies.
    pub(super) bursts: bool,
}

impl Mix {
    /// Returns the mix of a name.
    pub(super) fn named(name: &str) -> Option<Self> {
        let mix = Self {
            orders: 0.15,
            prompt: 200.0,
            prefix: 512,
            streams: 0.7,
            tokens: (4, 12),
            bursts: true,
        };
        match name {
            "fibre" => Some(mix),
            "ladder" => Some(Self {
                orders: 0.3,
                prompt: 400.0,
                ..mix
            }),
            // Models only, at a steady rate, for capacity.
            "models" => Some(Self {
                orders: 0.0,
                bursts: false,
                ..mix
            }),
            // Equal costs, so that two runs differ only in the path that the requests take.
            "even" => Some(Self {
                orders: 0.0,
                prompt: 20.0,
                prefix: 0,
                streams: 1.0,
                tokens: (8, 8),
                bursts: false,
            }),
            _ => None,
        }
    }
}

/// What a request asks for.
#[derive(Clone, Debug)]
pub(super) enum Work {
    Completion {
        prompt: String,
        tokens: u32,
        stream: bool,
    },
    Order {
        body: String,
        /// Whether the caller repeats the request after its answer.
        repeat: bool,
        /// Whether the caller repeats a request that was not run or may have run.
        again: bool,
    },
}

/// A request and the time at which it is sent, whatever happened to earlier ones.
#[derive(Clone, Debug)]
pub(super) struct Arrival {
    pub(super) at: Duration,
    pub(super) workspace: String,
    pub(super) work: Work,
}

/// Returns the workspaces with their rates, a few large ones first.
pub(super) fn workspaces(rate: f64) -> Vec<(String, f64)> {
    let sum: f64 = (1..=WORKSPACES).map(|i| 1.0 / i as f64).sum();
    (1..=WORKSPACES)
        .map(|i| (format!("ws-{i}"), rate / sum / i as f64))
        .collect()
}

/// Returns a length with a long tail: a Pareto distribution with shape 1.2, bounded at 40 times the median.
fn length(rng: &mut Rng, median: f64) -> usize {
    let least = median / 2f64.powf(1.0 / 1.2);
    let u = 1.0 - rng.f64();
    (least / u.powf(1.0 / 1.2)).min(median * 40.0) as usize
}

fn text(rng: &mut Rng, len: usize) -> String {
    (0..len).map(|_| rng.lowercase()).collect()
}

/// Returns all arrivals in order of time.
pub(super) fn arrivals(
    mix: &Mix,
    rates: &[(String, f64)],
    seconds: f64,
    seed: u64,
) -> Vec<Arrival> {
    let mut rng = Rng::with_seed(seed);
    let bursts: Vec<bool> = (0..=(seconds / EPISODE) as usize)
        .map(|_| mix.bursts && rng.f64() < BURST.0)
        .collect();
    let calm = if mix.bursts {
        (1.0 - BURST.0 * BURST.1) / (1.0 - BURST.0)
    } else {
        1.0
    };
    let mut out = Vec::new();
    for (name, rate) in rates {
        let prefixes: Vec<String> = (0..PREFIXES).map(|_| text(&mut rng, mix.prefix)).collect();
        let mut at = 0.0;
        loop {
            let burst = bursts.get((at / EPISODE) as usize).copied();
            let factor = if burst == Some(true) { BURST.1 } else { calm };
            let step = -(1.0 - rng.f64()).ln() / (rate * factor);
            if step > EPISODE {
                // Memoryless: draws again with the rate of the next episode.
                at += EPISODE;
            } else {
                at += step;
                if at < seconds {
                    out.push(Arrival {
                        at: Duration::from_secs_f64(at),
                        workspace: name.clone(),
                        work: work(mix, &prefixes, &mut rng),
                    });
                }
            }
            if at >= seconds {
                break;
            }
        }
    }
    out.sort_by_key(|a| a.at);
    out
}

fn work(mix: &Mix, prefixes: &[String], rng: &mut Rng) -> Work {
    if rng.f64() < mix.orders {
        let len = length(rng, 100.0);
        return Work::Order {
            body: text(rng, len),
            repeat: rng.f64() < 0.1,
            again: rng.bool(),
        };
    }
    let len = length(rng, mix.prompt);
    let shared = prefixes[rng.usize(..prefixes.len())].clone();
    Work::Completion {
        prompt: shared + &text(rng, len),
        tokens: rng.u32(mix.tokens.0..=mix.tokens.1),
        stream: rng.f64() < mix.streams,
    }
}
