//! Requests go to other zones as far as these have room, without oscillation; a model without a network.

use std::collections::VecDeque;

use sesamewing::{
    base::{Millis, Rate, Zone},
    decide::spill::{EndpointFigure, Prices, Spill, SpillSite, SpillView, ZoneLoad},
};

/// Numbers of entries, in three zones.
const FLEETS: [usize; 4] = [1, 9, 48, 410];

/// Oldest view of a zone.
const AGE_MAX: u64 = 1200;

/// Slots of each endpoint.
const SLOTS: u32 = 12;

/// Time of a request, and the interval at which entries update their shares.
const WORK: u64 = 900;
const UPDATE: u64 = 250;

/// Step of the model.
const STEP: u64 = 10;

/// Steps for which the loads are kept.
const HISTORY: usize = 1 + (AGE_MAX / STEP) as usize;

/// Largest difference between two second means of the requests sent elsewhere, as a share of all requests, once settled;
/// beyond what independent draws of that many requests give (their range in 20 seconds is about 4 standard deviations).
const SWING_MAX: f64 = 0.05;
const DEVIATIONS: f64 = 4.0;

/// Largest difference of the mean share from the one that equals the levels of the zones.
const MEAN_ERROR: f64 = 0.06;

/// Extra cost that the entries count: the price of another zone and 6 ms of network, at 250 ms for all slots.
const EXTRA: f64 = 36.0 / 250.0;

fn zone(i: usize) -> Zone {
    ["a", "b", "c"][i].parse().expect("a valid name")
}

/// One phase of a run.
#[derive(Clone, Copy)]
struct Phase {
    /// Requests in each zone, as a share of the capacity of a whole zone.
    demand: [f64; 3],
    /// Endpoints that serve, as a share of all of the zone.
    serving: [f64; 3],
    seconds: u64,
    /// Age that the views have; `None` if each entry has another one of up to [`AGE_MAX`].
    lost: bool,
    /// Part of its slots that the zone may use.
    part: [f64; 3],
}

impl Phase {
    fn new(demand: [f64; 3], seconds: u64) -> Self {
        Self {
            demand,
            serving: [1.0; 3],
            seconds,
            lost: false,
            part: [1.0; 3],
        }
    }
}

/// One entry of the model.
struct Peer {
    home: usize,
    spill: Spill,
    /// Requests in flight in each zone.
    own: [u32; 3],
    /// Age of its view of each zone.
    age: [u64; 3],
    /// Its requests in each step, the newest last.
    past: VecDeque<[u32; 3]>,
    /// Loads as it sees them: its own requests as they are, those of others as they were.
    seen: [u32; 3],
}

/// What one second showed.
#[derive(Clone, Copy, Debug, Default)]
struct Second {
    arrived: u32,
    /// Requests of each zone that were served elsewhere.
    elsewhere: [u32; 3],
    /// Requests of each zone.
    from: [u32; 3],
    rejected: u32,
    /// Highest load of a zone as a share of its slots.
    peak: [f64; 3],
}

struct Model {
    peers: Vec<Peer>,
    slots: [f64; 3],
    loads: VecDeque<[u32; 3]>,
    now: u64,
    ends: VecDeque<(u64, usize, usize)>,
    rng: fastrand::Rng,
    due: [f64; 3],
}

impl Model {
    /// Returns a model of entries that share three zones in three regions; all entries are in the first zone if there are
    /// fewer than three.
    fn new(entries: usize, prices: Prices) -> Self {
        let mut rng = fastrand::Rng::with_seed(entries as u64);
        let peers = (0..entries)
            .map(|n| {
                let home = n % 3;
                let site = SpillSite {
                    zone: zone(home),
                    region: ["a", "b", "c"][home].parse().expect("a valid name"),
                    prices,
                };
                let mut spill = Spill::new(site);
                let zones = (0..3).map(|i| {
                    let region = ["a", "b", "c"][i].parse().expect("a valid name");
                    (zone(i), Some(region), 6.0)
                });
                spill.set_zones(zones);
                Peer {
                    home,
                    spill,
                    own: [0; 3],
                    age: [0; 3].map(|_| rng.u64(0..=AGE_MAX)),
                    past: VecDeque::from([[0; 3]]),
                    seen: [0; 3],
                }
            })
            .collect();
        // Four endpoints for each entry, 20 in each zone at least.
        let endpoints = (entries * 4 / 3).max(20) as f64;
        Self {
            peers,
            slots: [endpoints * f64::from(SLOTS); 3],
            loads: VecDeque::from([[0; 3]]),
            now: 1,
            ends: VecDeque::new(),
            rng,
            due: [0.0; 3],
        }
    }

    fn update(&mut self, phase: &Phase) {
        let count = self.peers.len();
        let slots = self.slots;
        for (n, p) in self.peers.iter_mut().enumerate() {
            p.past.push_back(p.own);
            if p.past.len() > self.loads.len() {
                p.past.pop_front();
            }
            for z in 0..3 {
                let back = (p.age[z] / STEP) as usize;
                let at = |len: usize| len.saturating_sub(1 + back);
                let others = self.loads[at(self.loads.len())][z];
                let others = others.saturating_sub(p.past[at(p.past.len())][z]);
                p.seen[z] = others + p.own[z];
            }
            // Entries update at different times.
            if (self.now + n as u64 * 37) % UPDATE >= STEP {
                continue;
            }
            let zones = (0..3).map(|z| {
                let mut load = ZoneLoad::default();
                load.add(EndpointFigure {
                    slots: (slots[z] * phase.serving[z]) as u32,
                    pace: 1.0,
                    load: (!phase.lost || z == p.home).then_some(p.seen[z]),
                    own: p.own[z],
                    part: phase.part[z],
                });
                (zone(z), load)
            });
            let share = count.div_ceil(3);
            let view = SpillView {
                zones: zones.collect(),
                zone_entries: share,
                region_entries: share,
                load_pending: false,
            };
            p.spill.update(&view, Millis(self.now));
        }
    }

    fn finish(&mut self) {
        while self.ends.front().is_some_and(|e| e.0 <= self.now) {
            let (_, n, z) = self.ends.pop_front().expect("it is there");
            self.peers[n].own[z] -= 1;
        }
    }

    fn load(&self) -> [u32; 3] {
        let mut out = [0; 3];
        for e in &self.ends {
            out[e.2] += 1;
        }
        out
    }

    /// Returns the zone that a request of an entry goes to, by the loads that the entry sees; `None` if all are full.
    fn choose(&mut self, n: usize, load: &[u32; 3], phase: &Phase) -> Option<usize> {
        let draw = self.rng.f64();
        let p = &self.peers[n];
        let limit = |z: usize| self.slots[z] * phase.serving[z] * phase.part[z];
        // The limit is kept by endpoints, whatever an entry sees.
        let open = (0..3).filter(|z| f64::from(load[*z]) < limit(*z));
        let cost = |z: usize| {
            let level = f64::from(p.seen[z]) / limit(z).max(1.0);
            level + p.spill.cost(&zone(z), draw)
        };
        open.filter(|z| !p.spill.is_withheld(&zone(*z), draw))
            .min_by(|a, b| cost(*a).total_cmp(&cost(*b)))
    }

    /// Plays a phase and returns its seconds.
    fn play(&mut self, phase: Phase) -> Vec<Second> {
        let mut out = Vec::new();
        let mut second = Second::default();
        for step in 0..phase.seconds * 1000 / STEP {
            self.now += STEP;
            self.finish();
            let mut load = self.load();
            self.loads.push_back(load);
            if self.loads.len() > HISTORY {
                self.loads.pop_front();
            }
            self.update(&phase);
            for z in 0..3 {
                let limit = self.slots[z] * phase.serving[z];
                second.peak[z] = f64::max(second.peak[z], f64::from(load[z]) / limit.max(1.0));
                self.due[z] += self.slots[z] * phase.demand[z] / WORK as f64 * STEP as f64;
                while self.due[z] >= 1.0 {
                    self.due[z] -= 1.0;
                    let homes: Vec<usize> = (z..self.peers.len()).step_by(3).collect();
                    if homes.is_empty() {
                        continue;
                    }
                    let n = homes[self.rng.usize(..homes.len())];
                    second.arrived += 1;
                    second.from[z] += 1;
                    self.peers[n].spill.count(400, 4000);
                    let Some(to) = self.choose(n, &load, &phase) else {
                        second.rejected += 1;
                        continue;
                    };
                    second.elsewhere[z] += u32::from(to != z);
                    load[to] += 1;
                    self.peers[n].own[to] += 1;
                    self.ends.push_back((self.now + WORK, n, to));
                }
            }
            if (step + 1) % (1000 / STEP) == 0 {
                out.push(std::mem::take(&mut second));
            }
        }
        out
    }
}

/// Returns the share of the requests of a zone that went elsewhere in each of the last seconds.
fn shares(seconds: &[Second], zone: usize, last: usize) -> Vec<f64> {
    let tail = &seconds[seconds.len() - last..];
    let share = |s: &Second| f64::from(s.elsewhere[zone]) / f64::from(s.from[zone].max(1));
    tail.iter().map(share).collect()
}

/// Asserts that the shares of a zone in the last seconds do not swing, and returns their mean.
fn settled_share(seconds: &[Second], zone: usize, last: usize, text: &str) -> f64 {
    let shares = shares(seconds, zone, last);
    let high = shares.iter().copied().fold(0.0, f64::max);
    let swing = high - shares.iter().copied().fold(1.0, f64::min);
    let mean = mean(&shares);
    let tail = &seconds[seconds.len() - last..];
    let count = tail.iter().map(|s| f64::from(s.from[zone])).sum::<f64>() / last as f64;
    let drawn = DEVIATIONS * (mean * (1.0 - mean) / count.max(1.0)).sqrt();
    println!("{text}: share {mean:.3}, swing {swing:.3} of which draws {drawn:.3}");
    assert!(swing < SWING_MAX + drawn, "{text}: {shares:?}");
    mean
}

/// Returns the share of the first zone's requests at which its level equals that of the two others and the extra cost.
/// Entries use no more than 0.8 of the room below 0.9 of the slots there.
fn balanced(demand: f64, serving: f64, other: f64) -> f64 {
    let excess = (demand / serving - other - EXTRA) / (1.0 / serving + 0.5);
    excess.clamp(0.0, 2.0 * 0.8 * (0.9 - other)) / demand
}

fn mean(shares: &[f64]) -> f64 {
    shares.iter().sum::<f64>() / shares.len() as f64
}

fn rejected(seconds: &[Second], last: usize) -> f64 {
    let tail = &seconds[seconds.len() - last..];
    let sum = |f: fn(&Second) -> u32| f64::from(tail.iter().map(f).sum::<u32>());
    sum(|s| s.rejected) / sum(|s| s.arrived)
}

/// Returns the demand of the other zones, which have no callers if there is no entry.
fn others_demand(entries: usize, demand: f64) -> f64 {
    if entries < 3 {
        0.0
    } else {
        demand
    }
}

/// Load pattern: a zone at 1.5 times its capacity next to two idle ones, with views up to 1.2 s old. Guards against requests
/// that are rejected while other zones have room, and against a share that swings because views are late.
#[test]
fn crowded_zone_uses_idle_ones() {
    for entries in FLEETS {
        let mut model = Model::new(entries, Prices::default());
        let seconds = model.play(Phase::new([1.5, 0.1, 0.1], 40));
        let share = settled_share(&seconds, 0, 20, &format!("{entries} entries"));
        let rejected = rejected(&seconds, 20);
        let best = balanced(1.5, 1.0, others_demand(entries, 0.1));
        assert!(
            (share - best).abs() < MEAN_ERROR,
            "{entries} entries: {share}, not {best}"
        );
        assert!(rejected < 0.01, "{entries} entries: {rejected}");
    }
}

/// Load pattern: a zone at 0.8 of its capacity loses half of its endpoints, the others are at 0.4. Guards against a share
/// that rises too late or oscillates after the loss, and against one that stays when the endpoints are back.
#[test]
fn lost_endpoints_are_replaced_elsewhere() {
    for entries in FLEETS {
        let mut model = Model::new(entries, Prices::default());
        let demand = [0.8, 0.4, 0.4];
        let before = model.play(Phase::new(demand, 20));
        let lost = model.play(Phase {
            serving: [0.5, 1.0, 1.0],
            ..Phase::new(demand, 30)
        });
        let after = model.play(Phase::new(demand, 40));
        let text = |phase: &str| format!("{entries} entries, {phase}");
        settled_share(&before, 0, 5, &text("before"));
        let during = settled_share(&lost, 0, 15, &text("lost"));
        let end = settled_share(&after, 0, 15, &text("back"));
        let other = others_demand(entries, 0.4);
        for (share, serving) in [(during, 0.5), (end, 1.0)] {
            let best = balanced(0.8, serving, other);
            assert!(
                (share - best).abs() < MEAN_ERROR,
                "{entries} entries: {share}, not {best}"
            );
        }
        let rejected = rejected(&lost, 15);
        assert!(rejected < 0.01, "{entries} entries: {rejected}");
    }
}

/// Load pattern: all zones at 1.35 times their capacity. Guards against zones that exchange requests without use.
#[test]
fn full_zones_exchange_nothing() {
    for entries in [9, 48, 410] {
        let mut model = Model::new(entries, Prices::default());
        let seconds = model.play(Phase::new([1.35; 3], 20));
        for z in 0..3 {
            let shares = shares(&seconds, z, 15);
            assert!(mean(&shares) < 0.01, "{entries} entries: {shares:?}");
        }
    }
}

/// Load pattern: a zone at 1.5 times its capacity, 4,000 bytes for each request, and a link that carries a tenth of the
/// requests. Guards against a link that is filled up by requests, so that weights do not arrive.
#[test]
fn narrow_link_is_kept() {
    for entries in FLEETS {
        let slots = (entries * 4 / 3).max(20) as f64 * f64::from(SLOTS);
        let demand = slots * 1.5 / (WORK as f64 / 1000.0);
        let link = Rate((demand * 0.1 * 4000.0) as u64);
        let prices = Prices {
            link: Some(link),
            ..Prices::default()
        };
        let mut model = Model::new(entries, prices);
        let seconds = model.play(Phase::new([1.5, 0.1, 0.1], 30));
        let shares = shares(&seconds, 0, 15);
        println!("{entries} entries: share {:.3}", mean(&shares));
        assert!(mean(&shares) < 0.11, "{entries} entries: {shares:?}");
        assert!(mean(&shares) > 0.05, "{entries} entries: {shares:?}");
    }
}

/// Load pattern: a zone at 1.3 times its capacity next to one that comes back cold and may use a rising part of its slots
/// for 10 s, while the third is full. Guards against cold endpoints that get all that the crowded zone cannot serve.
#[test]
fn cold_zone_fills_gradually() {
    for entries in FLEETS {
        let mut model = Model::new(entries, Prices::default());
        let demand = [1.3, 0.1, 0.9];
        let away = Phase {
            serving: [1.0, 0.0, 1.0],
            ..Phase::new([1.3, 0.0, 0.9], 15)
        };
        model.play(away);
        let mut last = Vec::new();
        for step in 0..10 {
            let part = f64::max(0.05, f64::from(step) / 10.0);
            let seconds = model.play(Phase {
                part: [1.0, part, 1.0],
                ..Phase::new(demand, 1)
            });
            let peak = seconds[0].peak[1];
            assert!(peak <= part + 0.01, "{entries} entries: {peak} at {part}");
            last = seconds;
        }
        assert!(last[0].elsewhere[0] > 0, "{entries} entries");
        let settled = model.play(Phase::new(demand, 30));
        let share = settled_share(&settled, 0, 15, &format!("{entries} entries"));
        assert!(share > 0.2, "{entries} entries: {share}");
    }
}

/// Load pattern: the loads of other zones are no longer known. Guards against requests that are sent there on a guess, and
/// against a share that is withdrawn at once.
#[test]
fn stale_view_counts_as_full() {
    for entries in FLEETS {
        let mut model = Model::new(entries, Prices::default());
        let demand = [1.5, 0.1, 0.1];
        let known = model.play(Phase::new(demand, 20));
        let lost = model.play(Phase {
            lost: true,
            ..Phase::new(demand, 15)
        });
        let before = mean(&shares(&known, 0, 5));
        let first = mean(&shares(&lost[..1], 0, 1));
        let last = mean(&shares(&lost, 0, 5));
        println!("{entries} entries: {before:.3}, {first:.3}, {last:.3}");
        assert!(first > before - 0.3, "{entries} entries: {first}");
        assert!(last < 0.01, "{entries} entries: {last}");
    }
}
