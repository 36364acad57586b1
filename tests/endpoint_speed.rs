//! What operators see of slow endpoints and of unknown loads.

mod gateway_support;

use gateway_support::{
    addr,
    gateway::{catalog, settings, start_with, HELD, MODEL},
    run_local, send_request, set_catalog, MemoryStore,
};
use sesamewing::{
    base::{HashSet, Millis, Zone},
    decide::slow::SlowState,
    gateway::{
        EndpointId, EndpointLoad, EndpointLoads, EndpointQuery, EndpointRecord, EndpointTable,
        LoadBalancer, ReportedLoad, Revision, Topic,
    },
};

const START: Millis = Millis(10_000);

/// Guards against a log line for each step of an endpoint whose time stays close to the bound.
#[test]
fn state_holds() {
    let mut state = SlowState::default();
    for (time, slow) in [
        (Some(1.29), false),
        (Some(1.3), true),
        (Some(1.21), true),
        (Some(1.19), false),
        (Some(1.25), false),
        (Some(4.0), true),
        (None, false),
    ] {
        state.update(time);
        assert_eq!(state.is_slow(), slow, "{time:?}");
    }
}

/// Load pattern: an endpoint that becomes slow and recovers each second. Guards against logs that are full of it, and against a
/// last state that is never logged.
#[test]
fn lines_are_few() {
    let mut state = SlowState::default();
    let mut lines = Vec::new();
    for t in 0..60 {
        state.update(Some(if t % 2 == 0 { 2.0 } else { 1.0 }));
        let now = START + Millis(t * 1000);
        lines.extend(state.take_change(now).map(|slow| (t, slow)));
    }
    assert_eq!(lines.len(), 12, "{lines:?}");
    assert!(lines
        .windows(2)
        .all(|l| l[1].0 - l[0].0 >= 5 && l[1].1 != l[0].1));
    state.update(Some(2.0));
    let last = lines.last().expect("a line").1;
    state.update(Some(if last { 1.0 } else { 2.0 }));
    let now = START + Millis(70_000);
    assert_eq!(state.take_change(now), Some(!last));
    assert_eq!(state.take_change(now + Millis(10_000)), None);
}

fn endpoint(id: &str) -> EndpointId {
    id.parse().expect("any text is an id")
}

/// Returns a balancer that has considered some endpoints.
fn balancer(ids: &[EndpointId]) -> LoadBalancer {
    let zone: Zone = "a".parse().expect("a valid name");
    let mut table = EndpointTable::default();
    for (i, id) in ids.iter().enumerate() {
        let record = EndpointRecord {
            service: "s".parse().expect("a valid name"),
            addr: addr(9, 9000 + i as u16),
            zone: zone.clone(),
            slots: 12,
            draining: false,
            cold: Millis::ZERO,
            models: Vec::new(),
            revision: Revision::default(),
        };
        table.apply(id, Some(record), Millis::ZERO);
    }
    let query = EndpointQuery {
        memory: None,
        spill: None,
        zone: &zone,
        residency: None,
        cold: None,
        weights: None,
        exact: None,
        evacuation: None,
        tried: &[],
        owned: &HashSet::default(),
        read_rate: None,
        returning: false,
        reserve: 0,
        duration: Millis(700),
    };
    let mut balancer = LoadBalancer::default();
    for t in 0..2 {
        let now = START + Millis(t);
        balancer.pick(table.iter(), &query, now).expect("picked");
        let loads = [EndpointLoad::new(ids[0].hash(), 5, Millis(1), None)];
        balancer.merge_loads(&EndpointLoads(loads.to_vec()), Millis::ZERO, now);
    }
    balancer
}

/// Load pattern: one of three endpoints takes three times as long for all streams. Guards against a slow endpoint that operators do not
/// see, against one that stays slow after its last stream, and against figures of endpoints that tell no pace.
#[test]
fn slow_endpoint_is_told() {
    let ids = ["slow", "usual", "silent"].map(endpoint);
    let mut balancer = balancer(&ids);
    let paced = "5,0,12,100".parse::<ReportedLoad>().expect("a load");
    let plain = "5,0,12".parse::<ReportedLoad>().expect("a load");
    for (id, load) in ids.iter().zip([paced, paced, plain]) {
        balancer.report(id, Some(load), None, START);
    }
    // Steps count relative to the mean of all endpoints, which these two slow ones would be part of.
    for _ in 0..100 {
        balancer.report_step(&ids[1], 1.0, START);
    }
    for t in 0..20 {
        for (id, step) in ids.iter().zip([3.0, 1.0, 3.0]) {
            balancer.report_step(id, step, START + Millis(t * 100));
        }
    }
    let now = START + Millis(2000);
    let time = balancer.endpoint_time(&ids[0], now).expect("a time");
    assert!(time > 1.3, "{time}");
    assert_eq!(balancer.endpoint_time(&ids[2], now), None);
    let changes = balancer.update_slow(now);
    assert_eq!(changes.len(), 1, "{changes:?}");
    assert!(changes[0].slow && changes[0].id == ids[0], "{changes:?}");
    assert_eq!(balancer.slow_endpoints(), 1);
    assert_eq!(balancer.update_slow(now + Millis(6000)), Vec::new());
    let changes = balancer.update_slow(now + Millis(120_000));
    assert!(!changes[0].slow && changes[0].time.is_none(), "{changes:?}");
    assert_eq!(balancer.slow_endpoints(), 0);
}

/// Guards against endpoints of which nothing was told, and loads that are too old, that are missing from the share of the unknown ones.
#[test]
fn unknown_loads_are_counted() {
    let ids = ["a", "b", "c", "d"].map(endpoint);
    let mut balancer = balancer(&ids);
    assert_eq!(balancer.unknown_share(START + Millis(2)), 0.75);
    assert_eq!(balancer.unknown_share(START + Millis(4000)), 1.0);
    balancer.set_peers_complete(true);
    assert_eq!(balancer.unknown_share(START + Millis(4000)), 0.0);
}

/// Guards against metrics that are not offered to operators.
#[test]
fn metrics_are_offered() {
    run_local(async {
        set_catalog(catalog());
        let store = MemoryStore::default();
        let record = format!("plain {} a {MODEL} {HELD}", addr(10, 9000));
        store.write(Topic::Endpoints, "e", &record);
        store.write(Topic::Operator, "config", "1");
        start_with(settings(), store).await;
        let text = send_request(addr(1, 8005), "GET /metrics HTTP/1.0\r\n\r\n", 500).await;
        assert!(text.contains("gateway_slow_endpoints 0\n"), "{text}");
        assert!(text.contains("gateway_unknown_loads 0.0\n"), "{text}");
    });
}
