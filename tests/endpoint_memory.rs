//! Requests within the memory of endpoints; a model of several entries without a network.

use std::net::SocketAddr;

use sesamewing::{
    base::{HashSet, Millis, Zone},
    decide::memory::{Held, MemoryDemand, Right, Tokens},
    gateway::{
        home_endpoints, owned_endpoints, Appended, Endpoint, EndpointHash, EndpointId,
        EndpointLoads, EndpointQuery, EndpointRecord, EndpointTable, EndpointTokens, Gossip,
        LoadBalancer, MemoryQuery, Message, Outcome, PeerTokens, ReadTimes, ReadyEntry, Refusal,
        ReportedLoad, Revision,
    },
};

const CAPACITY: Tokens = Tokens(100_000);

/// Slots of an endpoint; far more than requests that fit into its memory.
const SLOTS: u32 = 1000;

/// Time that is played.
const TIME: Millis = Millis(25_000);

/// Interval at which an entry tells others of its requests, and time until it arrives.
const NEWS: Millis = Millis(250);
const DELAY: Millis = Millis(20);

/// Time after which an endpoint begins its response, and tells its load.
const HEAD: Millis = Millis(50);

/// Others that an entry tells at once.
const TARGETS: usize = 15;

/// Range of the prompt and the largest output of a request in tokens, and time that an endpoint takes for a thousand.
const TOKENS: std::ops::Range<u32> = 1000..12_000;
const WORK: u64 = 1500;

/// Least part of the memory that must be in use under overload.
const USED_MIN: f64 = 0.6;

/// Largest use of an endpoint's memory, as a part of it, where an entry does not know of all requests.
const BLIND_PEAK: f64 = 1.25;

/// Bytes a second that the tokens may add to what an entry sends.
const BYTES_MAX: usize = 2048;

fn demand(prompt: u32, output: u32) -> MemoryDemand {
    MemoryDemand::new(Some(CAPACITY), Tokens::of_request(prompt, output)).expect("a limit")
}

fn held(requests: u32, tokens: u64) -> Held {
    Held {
        requests,
        tokens: Tokens(tokens),
    }
}

/// Guards against a limit where none is configured.
#[test]
fn no_capacity_is_no_limit() {
    let tokens = Tokens::of_request(u32::MAX, u32::MAX);
    assert_eq!(MemoryDemand::new(None, tokens), None);
    assert_eq!(MemoryDemand::new(Some(Tokens(0)), tokens), None);
}

/// An entry that alone fills an endpoint.
const OWNER: Right = Right::Home {
    homes: 1,
    alone: true,
};

/// Guards against memory that is exceeded by a single token or left unused by it, and against an overflow.
#[test]
fn owner_fills_the_memory() {
    let rest = demand(10_000, 30_000);
    assert!(rest.fits(held(3, 60_000), held(3, 60_000), 3, OWNER));
    assert!(!rest.fits(held(3, 60_001), held(3, 60_001), 3, OWNER));
    assert!(!rest.fits(held(3, 60_001), held(1, 1), 3, OWNER));
    assert!(!rest.is_exceeded(held(4, 100_000), 4));
    assert!(rest.is_exceeded(held(4, 100_001), 4));
    assert!(!demand(100_000, 0).is_too_large());
    assert!(demand(100_000, 1).is_too_large());
    let most = demand(u32::MAX, u32::MAX);
    let all = held(u32::MAX, u64::MAX);
    assert!(!most.fits(all, all, u32::MAX, OWNER));
    assert!(!most.fits(Held::default(), Held::default(), 0, OWNER));
}

/// Guards against entries that together fill more than the memory because they hear late of each other.
#[test]
fn homes_keep_to_their_shares() {
    let small = demand(5000, 5000);
    let half = Right::Home {
        homes: 2,
        alone: false,
    };
    assert!(small.fits(held(5, 50_000), held(4, 33_750), 5, half));
    assert!(!small.fits(held(5, 50_000), held(4, 33_751), 5, half));
    // Others have more than their share.
    assert!(small.fits(held(9, 77_500), held(0, 0), 9, half));
    assert!(!small.fits(held(9, 77_501), held(0, 0), 9, half));
}

/// Guards against an entry that fills an endpoint beside its homes, against a large request that never fits, and against
/// one that has begun and finds no endpoint.
#[test]
fn others_leave_a_part() {
    let small = demand(5000, 5000);
    let fits = |used, own, right| small.fits(held(3, used), held(1, own), 3, right);
    let open = Right::Open { entries: 2 };
    assert!(fits(40_000, 15_000, open));
    assert!(!fits(40_001, 15_000, open));
    assert!(!fits(40_000, 15_001, open));
    assert!(fits(90_000, 90_000, Right::Begun));
    assert!(!fits(90_001, 0, Right::Begun));
    let large = demand(100_000, 0);
    assert!(large.fits(Held::default(), Held::default(), 0, open));
}

/// Guards against shares that keep requests from endpoints with room although their memory can't be used up: with 410
/// entries a share is less than one request.
#[test]
fn ample_memory_is_not_shared() {
    let demand =
        |tokens| MemoryDemand::new(Some(Tokens(100_000)), Tokens(tokens)).expect("a limit");
    let none = Held::default();
    assert!(demand(4000).is_ample(none, 12));
    assert!(!demand(4200).is_ample(none, 12));
    let large = Held {
        requests: 2,
        tokens: Tokens(9000),
    };
    assert!(!demand(1000).is_ample(large, 12));
    let entries = 410;
    assert!(!demand(4000).fits(large, none, 2, Right::Open { entries }));
    assert!(demand(4000).fits(large, none, 2, Right::Ample));
}

/// Guards against requests of other entries that count as nothing because only their number is known.
#[test]
fn unknown_requests_count() {
    let small = demand(1000, 1000);
    let fits = |held, load| small.fits(held, Held::default(), load, OWNER);
    // Eight of mean size beside the two that are known.
    assert!(!fits(held(2, 20_000), 10));
    assert!(fits(held(2, 19_000), 10));
    // Nothing is known but the number.
    assert!(fits(Held::default(), 49));
    assert!(!fits(Held::default(), 50));
}

/// Guards against a request that fits when its endpoint is chosen and is withheld just after, although nothing has changed: it
/// is larger than those there, whose number alone is known of most.
#[test]
fn chosen_requests_are_sent() {
    let large = MemoryDemand::new(Some(Tokens(200)), Tokens(100)).expect("a limit");
    let known = held(1, 1);
    assert!(large.fits(known, Held::default(), 10, OWNER));
    let with_it = known.plus(held(1, 100));
    assert!(!large.is_exceeded(with_it, 11));
    assert!(large.is_exceeded(with_it, 111));
}

/// Guards against shares of an endpoint's homes that do not add up to its memory, and against entries without a home.
#[test]
fn each_entry_has_a_home() {
    for (entries, endpoints) in [
        (1, 1),
        (1, 3),
        (9, 11),
        (9, 5),
        (48, 34),
        (48, 183),
        (410, 34),
    ] {
        let (table, ready) = (table(endpoints), ready(entries));
        let mut shares: std::collections::BTreeMap<EndpointId, Vec<u32>> = Default::default();
        for entry in &ready {
            let homes = home_endpoints(&table, &ready, entry.peer);
            assert!(!homes.is_empty(), "{entries} x {endpoints}");
            let owned = owned_endpoints(&table, &ready, entry.peer);
            assert!(owned.iter().all(|id| homes.get(id) == Some(&1)));
            for (id, count) in homes {
                shares.entry(id).or_default().push(count);
            }
        }
        assert_eq!(shares.len(), endpoints, "{entries} x {endpoints}");
        for counts in shares.values() {
            let all = counts.len() as u32;
            assert!(
                counts.iter().all(|c| *c == all),
                "{entries} x {endpoints}: {counts:?}"
            );
        }
    }
}

/// Returns entries of one zone that take callers.
fn ready(entries: usize) -> Vec<ReadyEntry> {
    let entry = |i: usize| ReadyEntry {
        peer: SocketAddr::from(([10, 1, (i / 250) as u8, (i % 250) as u8], 9)),
        zone: "a".parse().expect("a valid name"),
    };
    (0..entries).map(entry).collect()
}

fn id(i: usize) -> EndpointId {
    format!("e{i}").parse().expect("any text is an id")
}

fn table(count: usize) -> EndpointTable {
    let mut table = EndpointTable::default();
    for i in 0..count {
        let record = EndpointRecord {
            service: "llm".parse().expect("a valid name"),
            addr: format!("10.0.{}.{}:80", i / 250, i % 250)
                .parse()
                .expect("an address"),
            zone: "a".parse().expect("a valid name"),
            slots: SLOTS,
            draining: false,
            cold: Millis::ZERO,
            models: Vec::new(),
            revision: Revision::default(),
        };
        table.apply(&id(i), Some(record), Millis(1));
    }
    table
}

fn query<'a>(
    zone: &'a Zone,
    owned: &'a HashSet<EndpointId>,
    memory: MemoryQuery<'a>,
) -> EndpointQuery<'a> {
    EndpointQuery {
        zone,
        residency: None,
        cold: None,
        weights: None,
        exact: None,
        evacuation: None,
        tried: &[],
        owned,
        read_rate: None,
        returning: false,
        reserve: 0,
        duration: Millis(1000),
        memory: Some(memory),
        spill: None,
    }
}

/// What an entry tells others.
struct News {
    at: Millis,
    from: usize,
    to: usize,
    loads: Vec<(EndpointHash, u16)>,
    tokens: PeerTokens,
    known: Option<EndpointLoads>,
}

/// A request at an endpoint.
struct Flight {
    entry: usize,
    endpoint: usize,
    tokens: Tokens,
    begun: Millis,
    end: Millis,
}

/// What a run shows.
#[derive(Debug, Default)]
struct Seen {
    /// Largest use of an endpoint's memory, and the mean use, as parts of it.
    peak: f64,
    used: f64,
    begun: u32,
    rejected: u32,
    /// Most bytes of tokens that an entry tells in a second.
    bytes: usize,
}

/// Plays requests of `load` percent of the endpoints' memory at entries that share them; the endpoints tell their load and
/// pace if they are `paced`.
fn play(entries: usize, endpoints: usize, load: u64, paced: bool) -> Seen {
    fastrand::seed(entries as u64);
    let table = table(endpoints);
    let zone: Zone = "a".parse().expect("a valid name");
    let peers = ready(entries);
    let owned = peers
        .iter()
        .map(|p| owned_endpoints(&table, &peers, p.peer));
    let owned: Vec<HashSet<EndpointId>> = owned.collect();
    let homes = peers.iter().map(|p| home_endpoints(&table, &peers, p.peer));
    let homes: Vec<_> = homes.collect();
    let mut balancers: Vec<LoadBalancer> = Vec::new();
    for _ in 0..entries {
        let mut balancer = LoadBalancer::default();
        balancer.set_peers_complete(entries <= TARGETS);
        balancers.push(balancer);
    }
    let mut used = vec![0; endpoints];
    let mut flights: Vec<Flight> = Vec::new();
    let mut news: Vec<News> = Vec::new();
    let mut seen = Seen::default();
    let mean = u64::from(TOKENS.start.midpoint(TOKENS.end));
    // Millionths of a request in a millisecond.
    let rate = endpoints as u64 * CAPACITY.0 * load * 10_000 / mean / (mean * WORK / 1000);
    let (mut due, mut sum) = (0, 0.0);
    let mut now = Millis(1000);
    let end = now + TIME;
    while now < end {
        now += Millis(1);
        let mut running = vec![0; endpoints];
        for f in &flights {
            running[f.endpoint] += 1;
        }
        flights.retain(|f| {
            let head = f.begun + HEAD == now;
            if paced && (head || f.end <= now) {
                let load = ReportedLoad {
                    running: running[f.endpoint],
                    waiting: 0,
                    slots: SLOTS,
                    pace: Some(100),
                };
                balancers[f.entry].report(&id(f.endpoint), Some(load), None, now);
            }
            if f.end > now {
                return true;
            }
            used[f.endpoint] -= f.tokens.0;
            balancers[f.entry].end(&id(f.endpoint), Outcome::Served, now);
            balancers[f.entry].end_tokens(&id(f.endpoint), f.tokens);
            false
        });
        let (arrived, later): (Vec<_>, _) = news.into_iter().partition(|n| n.at <= now);
        news = later;
        for n in arrived {
            let from = peers[n.from].peer;
            balancers[n.to].merge_peer_load(from, &n.loads, now);
            balancers[n.to].merge_peer_tokens(from, &n.loads, &n.tokens);
            if let Some(known) = &n.known {
                balancers[n.to].merge_loads(known, Millis::ZERO, now);
            }
        }
        for from in 0..entries {
            if !(now.0 + from as u64 * 37).is_multiple_of(NEWS.0) {
                continue;
            }
            let loads = balancers[from].in_flight();
            let tokens = balancers[from].tokens_in_flight(&loads);
            let known = balancers[from].loads(&owned[from], now);
            let size = postcard::to_stdvec(&Some(&tokens)).expect("encoded").len();
            let others: Vec<_> = (0..entries).filter(|to| *to != from).collect();
            let told = fastrand::choose_multiple(others, TARGETS);
            let second = size * told.len() * (1000 / NEWS.0) as usize;
            seen.bytes = seen.bytes.max(second);
            news.extend(told.into_iter().map(|to| News {
                at: now + DELAY,
                from,
                to,
                loads: loads.clone(),
                tokens: tokens.clone(),
                known: known.clone(),
            }));
        }
        due += rate;
        while due >= 1_000_000 {
            due -= 1_000_000;
            let entry = fastrand::usize(..entries);
            let tokens = Tokens(u64::from(fastrand::u32(TOKENS)));
            let memory = MemoryQuery {
                demand: demand(tokens.0 as u32, 0),
                begun: false,
                entries: entries as u32,
                homes: &homes[entry],
            };
            let query = query(&zone, &owned[entry], memory);
            let picked = balancers[entry].pick(table.iter(), &query, now);
            let Ok(Endpoint { id: picked, .. }) = picked else {
                assert!(matches!(picked, Err(Refusal::Overloaded(_))));
                seen.rejected += 1;
                continue;
            };
            let endpoint = (0..endpoints).find(|i| id(*i) == *picked).expect("one");
            balancers[entry].begin(picked, 0, now);
            balancers[entry].begin_tokens(picked, tokens);
            used[endpoint] += tokens.0;
            seen.begun += 1;
            flights.push(Flight {
                entry,
                endpoint,
                tokens,
                begun: now,
                end: now + Millis(tokens.0 * WORK / 1000),
            });
            let part = used[endpoint] as f64 / CAPACITY.0 as f64;
            seen.peak = seen.peak.max(part);
        }
        if now >= Millis(1000 + TIME.0 / 2) {
            sum += used.iter().sum::<u64>() as f64 / (endpoints as u64 * CAPACITY.0) as f64;
        }
    }
    seen.used = sum / (TIME.0 / 2) as f64;
    seen
}

/// Load pattern: 1.5 times the requests that the endpoints' memory holds, at 1, 9 and 48 entries, with as many endpoints as
/// entries or more, and with fewer. Guards against endpoints that get more than their memory holds because entries hear of
/// each other's requests late, against memory that nobody uses, and against reports that cost too much.
#[test]
fn memory_is_not_exceeded() {
    for (entries, endpoints) in [(1, 2), (9, 11), (9, 5), (48, 52), (48, 34), (48, 183)] {
        let seen = play(entries, endpoints, 150, true);
        let case = format!("{entries} x {endpoints}: {seen:?}");
        println!("{case}");
        assert!(seen.peak <= 1.0, "{case}");
        assert!(seen.used >= USED_MIN, "{case}");
        assert!(seen.bytes <= BYTES_MAX, "{case}");
    }
}

/// Load pattern: the same at endpoints that tell no load. Guards against small fleets that depend on it, and against large
/// ones, in which an entry then does not know of all requests, that ignore what is known.
#[test]
fn silent_endpoints() {
    for (entries, endpoints, peak) in [(9, 11, 1.0), (9, 5, 1.0), (48, 34, BLIND_PEAK)] {
        let seen = play(entries, endpoints, 150, false);
        let case = format!("{entries} x {endpoints}: {seen:?}");
        println!("{case}");
        assert!(seen.peak <= peak, "{case}");
    }
}

/// Guards against builds that cannot read each other's datagrams.
#[test]
fn tokens_follow_the_loads() {
    let gossip = Gossip {
        heartbeats: Vec::new(),
        desired: Vec::new(),
        in_flight: vec![(EndpointHash(7), 3)],
        leaving: Vec::new(),
    };
    let message = Message::Gossip(gossip);
    let copy = sesamewing::decide::evacuation::EvacuationCopy {
        position: 7,
        age: Millis(20),
        zones: Vec::new(),
        restored: Vec::new(),
    };
    let report = EndpointTokens::new(0, Tokens(70_001)).expect("a position that fits");
    assert!(report.tokens() >= Tokens(70_001) && report.tokens() < Tokens(70_257));
    let tokens = PeerTokens(vec![report]);
    let times = ReadTimes::default();
    let older = (&message, &times, &copy, None::<()>, None::<()>);
    let data = postcard::to_stdvec(&(older, Some(&tokens))).expect("encoded");
    let (decoded, appended) = Message::decode(&data).expect("a message");
    assert_eq!(decoded, message);
    assert_eq!(appended.tokens, Some(tokens));
    let data = postcard::to_stdvec(&older).expect("encoded");
    let (_, appended) = Message::decode(&data).expect("a message");
    let expected = Appended {
        evacuation: Some(copy.clone()),
        ..Appended::default()
    };
    assert_eq!(appended, expected);
}
