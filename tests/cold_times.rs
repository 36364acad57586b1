//! Which endpoints an entry takes for cold, what entries tell each other of it, and how that counts in the choice.

use assert_matches::assert_matches;
use sesamewing::{
    base::{HashSet, Millis, RequestRate, Zone},
    decide::{
        cold::{ColdBound, PERMIT_LIFETIME},
        permit::{Fleet, PermitDecision, PermitIssuer},
    },
    gateway::{
        ColdNews, ColdReport, ColdTimes, EndpointId, EndpointQuery, EndpointRecord, EndpointTable,
        Gossip, Grant, Heartbeat, Issuers, Limit, LoadBalancer, Membership, Message, PermitTerms,
        ReadTimes, Revision, Status,
    },
};

const NOW: Millis = Millis(1_000_000);

fn id(i: usize) -> EndpointId {
    format!("e{i}").parse().expect("any text is an id")
}

fn record(cold: u64, born: u64, sequence: u64) -> EndpointRecord {
    EndpointRecord {
        service: "plain".parse().expect("a valid name"),
        addr: "10.0.0.1:80".parse().expect("a valid address"),
        zone: "a".parse().expect("a valid name"),
        slots: 10,
        draining: false,
        cold: Millis(cold),
        models: Vec::new(),
        revision: Revision { born, sequence },
    }
}

/// A table and cold times of one entry, with one endpoint.
#[derive(Default)]
struct View {
    table: EndpointTable,
    times: ColdTimes,
}

impl View {
    fn apply(&mut self, cold: u64, born: u64, sequence: u64, at: Millis) {
        self.table
            .apply(&id(0), Some(record(cold, born, sequence)), at);
    }

    fn is_cold(&self, at: Millis) -> bool {
        let e = self.table.get(&id(0)).expect("the endpoint");
        self.times.is_cold(e, at)
    }
}

/// Guards against a cold time that is counted from a renewal or a copy of its record, that outlasts a record with 0, or
/// that is missed when an endpoint becomes cold again or restarts.
#[test]
fn cold_time_follows_the_newest_record() {
    let mut view = View::default();
    view.apply(4000, 1, 1, NOW);
    assert!(view.is_cold(NOW + Millis(3999)));
    // The same record once more, as it is read after an outage of the store.
    view.apply(4000, 1, 1, NOW + Millis(3000));
    assert!(!view.is_cold(NOW + Millis(4000)));
    view.apply(9000, 1, 2, NOW + Millis(5000));
    assert!(view.is_cold(NOW + Millis(5000)), "cold again");
    view.apply(0, 1, 3, NOW + Millis(6000));
    assert!(!view.is_cold(NOW + Millis(6000)));
    // A record of the earlier state that arrives late.
    view.apply(9000, 1, 2, NOW + Millis(6100));
    assert!(!view.is_cold(NOW + Millis(6100)));
    view.apply(20_000, 2, 0, NOW + Millis(7000));
    assert!(view.is_cold(NOW + Millis(26_999)), "restarted");
}

/// Guards against a late record from before a response that ends the cold time which the response told, and against one
/// that never ends.
#[test]
fn late_records_do_not_end_what_responses_tell() {
    let mut view = View::default();
    view.apply(0, 1, 1, NOW);
    assert!(view.times.record(id(0).hash(), Millis(20_000), NOW));
    view.apply(0, 1, 2, NOW + Millis(900));
    assert!(view.is_cold(NOW + Millis(900)));
    view.apply(0, 1, 3, NOW + Millis(3100));
    assert!(!view.is_cold(NOW + Millis(3100)));
    view.times
        .record(id(0).hash(), Millis(5000), NOW + Millis(4000));
    assert!(view.is_cold(NOW + Millis(8999)));
    assert!(!view.is_cold(NOW + Millis(9000)));
    view.times
        .record(id(0).hash(), Millis(5000), NOW + Millis(9000));
    assert!(view
        .times
        .record(id(0).hash(), Millis::ZERO, NOW + Millis(9500)));
    assert!(!view.is_cold(NOW + Millis(9500)));
}

/// Guards against entries that do not learn what another one's response told, or to which an older report ends or
/// prolongs it.
#[test]
fn reports_reach_other_entries() {
    let (mut one, mut other) = (View::default(), View::default());
    other.apply(0, 1, 1, NOW);
    one.times.record(id(0).hash(), Millis(8000), NOW);
    let reports = one.times.reports(NOW + Millis(200));
    assert_eq!(reports.len(), 1);
    assert!(other.times.merge(&reports[0], NOW + Millis(200)));
    assert!(other.is_cold(NOW + Millis(7999)));
    assert!(!other.is_cold(NOW + Millis(8000)));
    let older = ColdReport {
        left: Millis::ZERO,
        age: Millis(1000),
        ..reports[0]
    };
    assert!(!other.times.merge(&older, NOW + Millis(400)));
    assert!(other.is_cold(NOW + Millis(400)));
    assert!(one.times.reports(NOW + Millis(2000)).is_empty(), "told");
    one.times.expire(NOW + Millis(60_000));
    assert!(one.times.reports(NOW).is_empty(), "forgotten");
}

/// Guards against entries that go on with an earlier end of a cold time: the endpoint started again, or became cold again,
/// while it was cold.
#[test]
fn longer_cold_times_are_told() {
    let mut times = ColdTimes::default();
    let endpoint = id(1).hash();
    assert!(times.record(endpoint, Millis(8000), NOW));
    let later = NOW + Millis(3000);
    assert!(!times.record(endpoint, Millis(5000), later), "the same end");
    assert!(times.record(endpoint, Millis(15_000), later));
    let reports = times.reports(later + Millis(1000));
    assert_eq!(reports.len(), 1);
    let mut other = ColdTimes::default();
    assert!(other.merge(&reports[0], later + Millis(1000)));
}

/// Guards against datagrams that builds without cold times cannot read, and against theirs being misread.
#[test]
fn news_follow_messages_of_older_builds() {
    let news = ColdNews {
        reports: vec![ColdReport {
            endpoint: id(0).hash(),
            left: Millis(500),
            age: Millis(20),
        }],
        rate: Some(RequestRate(17_000)),
    };
    let message = Message::Limits(Vec::new());
    let data = postcard::to_stdvec(&(&message, &news)).expect("it can be encoded");
    let old: (Message, &[u8]) = postcard::take_from_bytes(&data).expect("an older build reads it");
    assert_eq!(old.0, message);
    let (decoded, _) = Message::decode(&data).expect("a message");
    assert_eq!(ColdNews::decode(&decoded, &data), news);
    let plain = postcard::to_stdvec(&message).expect("it can be encoded");
    assert_eq!(ColdNews::decode(&message, &plain), ColdNews::default());
    for end in plain.len()..data.len() {
        assert_eq!(
            ColdNews::decode(&message, &data[..end]),
            ColdNews::default()
        );
    }
    let gossip = Message::Gossip(Gossip {
        heartbeats: Vec::new(),
        desired: Vec::new(),
        in_flight: Vec::new(),
        leaving: Vec::new(),
    });
    let times = ReadTimes(vec![Millis(1), Millis(2)]);
    let data = postcard::to_stdvec(&(&gossip, &times)).expect("it can be encoded");
    assert_eq!(ColdNews::decode(&gossip, &data), ColdNews::default());
}

/// Load pattern: a lone entry with endless demand, whose permits are used at any moment of their lifetime. Guards against
/// rates and bursts that exceed the bound in one second, for any bound.
#[test]
fn permits_keep_every_bound() {
    let fleet = Fleet { live: 1, known: 1 };
    let peer = "10.0.0.1:1".parse().expect("a valid address");
    for rate in [400, 1000, 2500, 17_000, 60_000] {
        for (overage, tolerance) in [(1.0, 0.0), (1.0, 3.0), (1.5, 5.0), (0.2, -1.0)] {
            let bound = ColdBound { overage, tolerance };
            let permits = bound.permits(RequestRate(rate));
            let mut issuer = PermitIssuer::new(NOW);
            let mut granted = Vec::new();
            for ms in 0..20_000 {
                // Pauses in the demand fill the bucket.
                let now = NOW + Millis(ms);
                let asks = ms % 3000 > 500;
                if asks && issuer.request(peer, permits, fleet, now) == PermitDecision::Granted {
                    granted.push(now);
                }
            }
            let span = Millis(1000) + PERMIT_LIFETIME;
            let within = |from: &Millis| {
                let all = granted
                    .iter()
                    .filter(|t| **t >= *from && **t < *from + span);
                all.count()
            };
            let peak = granted.iter().map(within).max().unwrap_or(0);
            let per_s = f64::from(rate) / 1000.0;
            let allowed = per_s * bound.overage.max(1.0) + bound.tolerance.max(0.0);
            assert!(
                peak as f64 <= allowed.max(1.0),
                "{rate} {bound:?}: {peak} of {allowed}"
            );
        }
    }
}

fn lone_member() -> Membership {
    let peer = "10.0.0.1:1".parse().expect("a valid address");
    Membership::new(Heartbeat {
        peer,
        callers: peer,
        zone: "a".parse().expect("a valid name"),
        boot: 1,
        count: 0,
        status: Status {
            ready: true,
            ..Status::default()
        },
    })
}

/// Returns the permits that an issuer grants in 10 s under alternating terms, to one request each millisecond.
fn granted(terms: [PermitTerms; 2]) -> usize {
    let (members, mut issuers) = (lone_member(), Issuers::default());
    let hash = id(0).hash();
    let mut ask = |ms: u64| {
        let terms = terms[(ms % 2) as usize];
        let now = NOW + Millis(ms);
        issuers.retain(|_| true, &members, now);
        issuers.decide(hash, terms, &members, members.me().peer, now)
    };
    (0..10_000).filter(|ms| ask(*ms) == Grant::Granted).count()
}

/// Guards against the higher one of two limits that counts, and against an entry that does not know an endpoint as cold
/// and gets permits at the rate of a warm one.
#[test]
fn the_lower_limit_counts() {
    let limit = |rate| {
        Some(Limit {
            rate: RequestRate(rate),
            at: NOW,
        })
    };
    let cold = |limit, rate| PermitTerms {
        limit,
        cold: Some(RequestRate(rate)),
        bound: ColdBound {
            overage: 1.5,
            tolerance: 5.0,
        },
    };
    let low = granted([cold(limit(3000), 17_000); 2]);
    assert!((28..=33).contains(&low), "{low}");
    let high = granted([cold(limit(90_000), 17_000); 2]);
    assert!((165..=205).contains(&high), "{high}");
    let unknowing = |limit| PermitTerms {
        cold: None,
        ..cold(limit, 17_000)
    };
    let mixed = granted([cold(limit(90_000), 17_000), unknowing(limit(90_000))]);
    assert!((165..=205).contains(&mixed), "{mixed}");
    let mixed = granted([cold(None, 17_000), unknowing(None)]);
    assert!((165..=205).contains(&mixed), "{mixed}");
}

/// Guards against an issuer that grants at once after a pause in which another one took over.
#[test]
fn a_resumed_issuer_waits() {
    let (members, mut issuers) = (lone_member(), Issuers::default());
    let terms = PermitTerms {
        cold: Some(RequestRate(17_000)),
        ..PermitTerms::default()
    };
    let mut ask = |ms: u64, keeps_up: bool| {
        let now = NOW + Millis(ms);
        if keeps_up {
            issuers.retain(|_| false, &members, now);
        }
        let peer = members.me().peer;
        issuers.decide(id(0).hash(), terms, &members, peer, now)
    };
    let before = (0..1000).filter(|ms| ask(*ms, true) == Grant::Granted);
    assert!(before.count() > 5);
    for ms in 9000..9150 {
        assert_matches!(ask(ms, ms > 9030), Grant::Denied { .. });
    }
    let after = (9150..10_150).filter(|ms| ask(*ms, true) == Grant::Granted);
    assert!(after.count() > 5);
}

/// Load pattern: a cold endpoint beside warm ones, from no load to all slots in use. Guards against a cold endpoint that
/// gets as much as the warm ones, and against one that is left out while the others are loaded.
#[test]
fn warm_endpoints_come_first() {
    let (mut table, times) = (EndpointTable::default(), ColdTimes::default());
    for i in 0..4 {
        let cold = if i == 0 { 20_000 } else { 0 };
        table.apply(&id(i), Some(record(cold, 1, 1)), NOW);
    }
    let zone: Zone = "a".parse().expect("a valid name");
    let owned: HashSet<_> = (0..4).map(id).collect();
    for limits in [true, false] {
        let query = EndpointQuery {
            cold: limits.then_some(&times),
            zone: &zone,
            weights: None,
            exact: None,
            tried: &[],
            owned: &owned,
            read_rate: None,
            returning: false,
            duration: Millis(1000),
            evacuation: None,
            residency: None,
            reserve: 0,
            memory: None,
            spill: None,
        };
        let mut balancer = LoadBalancer::default();
        let mut counts = [0; 4];
        let mut first_cold = None;
        for sent in 0..30 {
            let picked = balancer.pick(table.iter(), &query, NOW);
            let picked = picked.expect("an endpoint with room").id.clone();
            balancer.begin(&picked, 0, NOW);
            let i = (0..4).position(|i| id(i) == picked).expect("one of four");
            counts[i] += 1;
            if i == 0 {
                first_cold = first_cold.or(Some(sent));
            }
        }
        if limits {
            assert!(first_cold >= Some(3), "{counts:?}, cold at {first_cold:?}");
            assert!((6..=7).contains(&counts[0]), "{counts:?}");
            assert!(counts[1..].iter().all(|n| *n >= counts[0]), "{counts:?}");
        } else {
            assert!(counts.iter().all(|n| (7..=8).contains(n)), "{counts:?}");
        }
    }
}
