//! Model without a network of entries that send requests to engines with slots and a queue, and datagrams to each other.

use std::{net::SocketAddr, rc::Rc};

use sesamewing::{
    base::{HashMap, HashSet, Millis, Zone},
    gateway::{
        owned_endpoints, EndpointHash, EndpointId, EndpointLoads, EndpointQuery, EndpointRecord,
        EndpointTable, LoadBalancer, LogView, Outcome, ReadyEntry, ReportedLoad, Revision,
        WeightRequirement, WeightVersion,
    },
};

const MODEL: &str = "m";
const SLOTS: u32 = 12;
const ZONES: [&str; 3] = ["a", "b", "c"];

/// Interval of the datagrams, their number of targets in the own zone and in the others, and the number of other entries
/// from which they do not reach all.
const INTERVAL: Millis = Millis(250);
const ZONE_FANOUT: usize = 12;
const REMOTE_FANOUT: usize = 3;
const SEND_ALL_MAX: usize = 16;

/// Delay of a datagram and of a request within a zone, and between zones.
const NEAR: Millis = Millis(1);
const FAR: Millis = Millis(20);

/// Shortest and longest time for which a request occupies a slot, and the time from a free slot to the head of the response.
const WORK: (u64, u64) = (350, 1050);
const HEAD: Millis = Millis(60);

/// Time that is played, and its part that does not count.
const TIME: Millis = Millis(7000);
const SETTLING: Millis = Millis(2500);

/// Time that is played with more than 48 entries, whose datagrams take most of the time of the test.
const LARGE_TIME: Millis = Millis(4500);

/// Every so many endpoints are slower for good, and by how much; their pace does not show it.
const SLOW_EACH: usize = 10;
const SLOWNESS: f64 = 2.5;

/// Hundredths of the endpoints that are slower for a time, by how much, and how long; their pace shows it.
const DISTURBED: u64 = 15;
const DISTURBANCE: f64 = 2.5;
const DISTURBED_TIME: Millis = Millis(600);

/// Time to the first event that counts as late.
const LATE: Millis = Millis(400);

/// What is played.
#[derive(Clone, Copy, Debug)]
pub(super) struct Play {
    pub(super) entries: usize,
    pub(super) endpoints: usize,
    /// Load, in hundredths of what the endpoints can run.
    pub(super) percent: u64,
    /// Whether endpoints tell their pace; without it, entries neither report nor use loads.
    pub(super) paced: bool,
    /// Whether a tenth of the endpoints is slow, and some are slow for a time.
    pub(super) uneven: bool,
    /// Whether entries learn the time between events.
    pub(super) steps: bool,
}

fn zone(i: usize) -> Zone {
    ZONES[i % ZONES.len()].parse().expect("a valid name")
}

fn peer(i: usize) -> SocketAddr {
    format!("10.1.{}.{}:9", i / 200, i % 200)
        .parse()
        .expect("a valid address")
}

pub(super) fn record(i: usize) -> EndpointRecord {
    EndpointRecord {
        service: "s".parse().expect("a valid name"),
        addr: format!("10.0.{}.{}:80", i / 200, i % 200)
            .parse()
            .expect("a valid address"),
        zone: zone(i),
        slots: SLOTS,
        draining: false,
        cold: Millis::ZERO,
        models: vec![(Rc::from(MODEL), WeightVersion(1))],
        revision: Revision::default(),
    }
}

pub(super) fn query<'a>(zone: &'a Zone, owned: &'a HashSet<EndpointId>) -> EndpointQuery<'a> {
    EndpointQuery {
        memory: None,
        spill: None,
        zone,
        residency: None,
        cold: None,
        weights: Some(WeightRequirement {
            model: MODEL,
            pending: None,
            oldest: WeightVersion(0),
            oldest_queued: WeightVersion(0),
        }),
        exact: None,
        evacuation: None,
        tried: &[],
        owned,
        read_rate: None,
        returning: false,
        reserve: 0,
        duration: Millis(700),
    }
}

/// What happens at a time of the model.
enum Event {
    /// A request reaches an endpoint.
    Arrives {
        entry: usize,
        endpoint: usize,
        sent: Millis,
    },
    /// The head of a response reaches an entry.
    Head {
        entry: usize,
        endpoint: usize,
        load: ReportedLoad,
        sent: Millis,
    },
    /// The end of a response reaches an entry.
    Ends {
        entry: usize,
        endpoint: usize,
        sent: Millis,
        step: f64,
    },
    /// A request frees its slot.
    Frees {
        entry: usize,
        endpoint: usize,
        sent: Millis,
        step: f64,
    },
    /// An endpoint sends the head of a response.
    Begins {
        entry: usize,
        endpoint: usize,
        sent: Millis,
    },
    /// A datagram reaches an entry.
    Datagram {
        from: usize,
        to: usize,
        in_flight: Rc<Vec<(EndpointHash, u16)>>,
        loads: Rc<Option<EndpointLoads>>,
    },
}

/// An engine with slots and a queue.
#[derive(Default)]
struct Engine {
    running: u32,
    waiting: Vec<(usize, Millis)>,
}

impl Engine {
    fn total(&self) -> u32 {
        self.running + self.waiting.len() as u32
    }
}

/// Mean difference between the assumed and the true load, over those that an entry assumes.
#[derive(Debug, Default)]
pub(super) struct Error {
    sum: f64,
    count: f64,
    unknown: f64,
}

impl Error {
    fn note(&mut self, assumed: Option<u32>, load: u32) {
        let Some(assumed) = assumed else {
            self.unknown += 1.0;
            return;
        };
        self.sum += (f64::from(assumed) - f64::from(load)).abs();
        self.count += 1.0;
    }

    pub(super) fn mean(&self) -> f64 {
        self.sum / self.count.max(1.0)
    }

    pub(super) fn unknown_share(&self) -> f64 {
        self.unknown / (self.unknown + self.count).max(1.0)
    }
}

/// What a run showed.
#[derive(Debug, Default)]
pub(super) struct Knowledge {
    /// Endpoints of the own zone, those of other zones, and the endpoint of each choice.
    pub(super) near: Error,
    pub(super) far: Error,
    pub(super) chosen: Error,
    /// Requests that found no free slot, and all requests.
    pub(super) queued: f64,
    pub(super) requests: f64,
    /// Requests for which an entry found no endpoint.
    pub(super) rejected: f64,
    /// Largest number of requests at an endpoint.
    pub(super) highest: u32,
    /// Bytes of loads that an entry sent in a second.
    pub(super) bytes: f64,
    /// Times to the first event and to the end of the response, in milliseconds, sorted.
    pub(super) first: Vec<u64>,
    pub(super) whole: Vec<u64>,
    /// Endpoints with a request in each slot, at most and in the mean of the samples, as a share of all.
    pub(super) full_most: f64,
    pub(super) full_mean: f64,
    /// Requests of a slow endpoint and of another one, in the mean.
    pub(super) slow_requests: f64,
    pub(super) other_requests: f64,
}

/// Returns the value below which a share of the sorted values lies.
pub(super) fn quantile(values: &[u64], share: f64) -> u64 {
    values[((values.len() - 1) as f64 * share) as usize]
}

impl Knowledge {
    /// Returns the share of the first events that are late.
    pub(super) fn late(&self) -> f64 {
        let late = self.first.iter().filter(|t| **t > LATE.0).count();
        late as f64 / self.first.len().max(1) as f64
    }

    /// Returns the mean time to the end of a response, in milliseconds.
    pub(super) fn mean_time(&self) -> f64 {
        self.whole.iter().sum::<u64>() as f64 / self.whole.len().max(1) as f64
    }
}

impl std::fmt::Display for Knowledge {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (near, far) = (&self.near, &self.far);
        write!(
            f,
            "near {:.2} (unknown {:.2}), far {:.2} (unknown {:.2}), chosen {:.2}, queued {:.3}, rejected {:.3}, highest {}, {:.0} B/s, late {:.3}, first 0.99 {}, whole {:.0} and 0.99 {}, full {:.2} most {:.2}, requests slow {:.0} other {:.0}",
            near.mean(),
            near.unknown_share(),
            far.mean(),
            far.unknown_share(),
            self.chosen.mean(),
            self.queued / self.requests,
            self.rejected / self.requests,
            self.highest,
            self.bytes,
            self.late(),
            quantile(&self.first, 0.99),
            self.mean_time(),
            quantile(&self.whole, 0.99),
            self.full_mean,
            self.full_most,
            self.slow_requests,
            self.other_requests
        )
    }
}

/// Returns the entries that get a datagram of an entry.
fn targets(from: usize, entries: usize, rng: &mut fastrand::Rng) -> Vec<usize> {
    let mut others: Vec<_> = (0..entries).filter(|i| *i != from).collect();
    if others.len() < SEND_ALL_MAX {
        return others;
    }
    rng.shuffle(&mut others);
    let is_near = |i: &usize| i % ZONES.len() == from % ZONES.len();
    let near = others.iter().copied().filter(is_near).take(ZONE_FANOUT);
    let far = others.iter().copied().filter(|i| !is_near(i));
    near.chain(far.take(REMOTE_FANOUT)).collect()
}

fn delay(a: usize, b: usize) -> Millis {
    if a % ZONES.len() == b % ZONES.len() {
        NEAR
    } else {
        FAR
    }
}

/// Returns whether an endpoint is slow for good.
fn is_slow(endpoint: usize) -> bool {
    endpoint % SLOW_EACH == SLOW_EACH - 1
}

/// Plays requests to endpoints.
pub(super) fn play(what: Play) -> Knowledge {
    let Play {
        entries,
        endpoints,
        percent,
        paced,
        uneven,
        steps,
    } = what;
    fastrand::seed(3);
    let mut rng = fastrand::Rng::with_seed(17);
    let ids: Vec<EndpointId> = (0..endpoints)
        .map(|i| format!("e{i}").parse().expect("any text is an id"))
        .collect();
    let place: HashMap<EndpointId, usize> = ids.iter().cloned().zip(0..).collect();
    let mut table = EndpointTable::default();
    for (i, id) in ids.iter().enumerate() {
        table.apply(id, Some(record(i)), Millis::ZERO);
    }
    let zones: Vec<Zone> = (0..entries).map(zone).collect();
    let ready: Vec<_> = (0..entries)
        .map(|i| ReadyEntry {
            peer: peer(i),
            zone: zone(i),
        })
        .collect();
    let owned: Vec<_> = (0..entries)
        .map(|i| owned_endpoints(&table, &ready, peer(i)))
        .collect();
    let mut balancers: Vec<_> = (0..entries).map(|_| LoadBalancer::default()).collect();
    for balancer in &mut balancers {
        balancer.set_peers_complete(entries <= SEND_ALL_MAX);
    }
    let phases: Vec<u64> = (0..entries).map(|_| rng.u64(0..INTERVAL.0)).collect();
    let mut engines: Vec<Engine> = (0..endpoints).map(|_| Engine::default()).collect();
    let mut agenda: Vec<Vec<Event>> = (0..TIME.0 + 9000).map(|_| Vec::new()).collect();
    let mut out = Knowledge::default();
    let mut disturbed = vec![false; endpoints];
    let time_at = |endpoint: usize, disturbed: &[bool]| {
        let own = if uneven && is_slow(endpoint) {
            SLOWNESS
        } else {
            1.0
        };
        own * if disturbed[endpoint] {
            DISTURBANCE
        } else {
            1.0
        }
    };
    let mut slow_count = [0.0, 0.0];
    let mut full_samples = 0.0;
    let work = (WORK.0 + WORK.1) as f64 / 2.0;
    let speed: f64 = (0..endpoints).map(|i| 1.0 / time_at(i, &disturbed)).sum();
    let disturbance =
        1.0 + f64::from(u8::from(uneven)) * DISTURBED as f64 / 100.0 * (DISTURBANCE - 1.0);
    let rate = speed / disturbance * f64::from(SLOTS) / work * percent as f64 / 100.0;
    let mut due = 0.0;
    let time = if entries > 48 { LARGE_TIME } else { TIME };
    for t in 1..time.0 {
        let now = Millis(t);
        let counts = now >= SETTLING;
        if uneven && t % DISTURBED_TIME.0 == 1 {
            disturbed.fill_with(|| rng.u64(0..100) < DISTURBED);
        }
        for event in std::mem::take(&mut agenda[t as usize]) {
            match event {
                Event::Arrives {
                    entry,
                    endpoint,
                    sent,
                } => {
                    let engine = &mut engines[endpoint];
                    if engine.running < SLOTS {
                        engine.running += 1;
                        let at =
                            now + Millis((HEAD.0 as f64 * time_at(endpoint, &disturbed)) as u64);
                        agenda[at.0 as usize].push(Event::Begins {
                            entry,
                            endpoint,
                            sent,
                        });
                    } else {
                        engine.waiting.push((entry, sent));
                        out.queued += f64::from(u8::from(counts));
                    }
                    if counts {
                        out.highest = out.highest.max(engine.total());
                    }
                }
                Event::Begins {
                    entry,
                    endpoint,
                    sent,
                } => {
                    let engine = &engines[endpoint];
                    let load = ReportedLoad {
                        running: engine.running,
                        waiting: engine.waiting.len() as u32,
                        slots: SLOTS,
                        pace: paced.then_some(if disturbed[endpoint] { 250 } else { 100 }),
                    };
                    let at = now + delay(entry, endpoint);
                    agenda[at.0 as usize].push(Event::Head {
                        entry,
                        endpoint,
                        load,
                        sent,
                    });
                    let step = time_at(endpoint, &disturbed);
                    let work = Millis(rng.u64(WORK.0..WORK.1)) - HEAD;
                    let at = now + Millis((work.0 as f64 * step) as u64);
                    agenda[at.0 as usize].push(Event::Frees {
                        entry,
                        endpoint,
                        sent,
                        step,
                    });
                }
                Event::Frees {
                    entry,
                    endpoint,
                    sent,
                    step,
                } => {
                    let at = now + delay(entry, endpoint);
                    agenda[at.0 as usize].push(Event::Ends {
                        entry,
                        endpoint,
                        sent,
                        step,
                    });
                    let engine = &mut engines[endpoint];
                    if engine.waiting.is_empty() {
                        engine.running -= 1;
                    } else {
                        let (entry, sent) = engine.waiting.remove(0);
                        let at =
                            now + Millis((HEAD.0 as f64 * time_at(endpoint, &disturbed)) as u64);
                        agenda[at.0 as usize].push(Event::Begins {
                            entry,
                            endpoint,
                            sent,
                        });
                    }
                }
                Event::Head {
                    entry,
                    endpoint,
                    load,
                    sent,
                } => {
                    balancers[entry].report(&ids[endpoint], Some(load), None, now);
                    if counts {
                        out.first.push((now - sent).0);
                    }
                }
                Event::Ends {
                    entry,
                    endpoint,
                    sent,
                    step,
                } => {
                    balancers[entry].end(&ids[endpoint], Outcome::Served, now);
                    if steps {
                        balancers[entry].report_step(&ids[endpoint], step, now);
                    }
                    if counts {
                        out.whole.push((now - sent).0);
                    }
                }
                Event::Datagram {
                    from,
                    to,
                    in_flight,
                    loads,
                } => {
                    balancers[to].merge_peer_load(peer(from), &in_flight, now);
                    if let Some(loads) = &*loads {
                        balancers[to].merge_loads(loads, delay(from, to), now);
                    }
                }
            }
        }
        for from in (0..entries).filter(|i| t % INTERVAL.0 == phases[*i]) {
            let in_flight = Rc::new(balancers[from].in_flight());
            let loads = Rc::new(balancers[from].loads(&owned[from], now));
            let size = match &*loads {
                Some(loads) => postcard::to_stdvec(&(None::<LogView>, Some(loads)))
                    .expect("encoded")
                    .len(),
                None => 0,
            };
            for to in targets(from, entries, &mut rng) {
                if counts {
                    out.bytes += size as f64;
                }
                agenda[(now + delay(from, to)).0 as usize].push(Event::Datagram {
                    from,
                    to,
                    in_flight: in_flight.clone(),
                    loads: loads.clone(),
                });
            }
        }
        due += rate;
        while due >= 1.0 {
            due -= 1.0;
            let entry = rng.usize(0..entries);
            out.requests += f64::from(u8::from(counts));
            let query = query(&zones[entry], &owned[entry]);
            let Ok(e) = balancers[entry].pick(table.iter(), &query, now) else {
                out.rejected += f64::from(u8::from(counts));
                continue;
            };
            let endpoint = place[&e.id];
            if counts {
                slow_count[usize::from(is_slow(endpoint))] += 1.0;
                let assumed = balancers[entry].assumed_load(&e.id, now);
                out.chosen.note(assumed, engines[endpoint].total());
            }
            balancers[entry].begin(&ids[endpoint], 0, now);
            let at = now + delay(entry, endpoint);
            agenda[at.0 as usize].push(Event::Arrives {
                entry,
                endpoint,
                sent: now,
            });
        }
        if counts && t % 97 == 0 {
            let full = engines.iter().filter(|e| e.running >= SLOTS).count();
            let full = full as f64 / endpoints as f64;
            out.full_most = out.full_most.max(full);
            out.full_mean += full;
            full_samples += 1.0;
            for (i, balancer) in balancers.iter().enumerate() {
                for (j, engine) in engines.iter().enumerate() {
                    let assumed = balancer.assumed_load(&ids[j], now);
                    let error = if i % ZONES.len() == j % ZONES.len() {
                        &mut out.near
                    } else {
                        &mut out.far
                    };
                    error.note(assumed, engine.total());
                }
            }
        }
    }
    out.full_mean /= full_samples;
    let slow = (0..endpoints).filter(|i| is_slow(*i)).count() as f64;
    out.slow_requests = slow_count[1] / slow.max(1.0);
    out.other_requests = slow_count[0] / (endpoints as f64 - slow);
    out.first.sort_unstable();
    out.whole.sort_unstable();
    out.bytes /= entries as f64 * (time - SETTLING).0 as f64 / 1000.0;
    out
}
