//! Load of an evacuated zone, and of one that is put back: how entries with views of their own distribute it.

use sesamewing::{
    base::{HashSet, Millis, Zone},
    decide::evacuation::{Evacuation, EvacuationRead, RAMP_TIME},
    gateway::{
        Endpoint, EndpointId, EndpointQuery, EndpointRecord, EndpointTable, LoadBalancer, Outcome,
        Refusal, Revision,
    },
};

const NOW: Millis = Millis(100_000);
const ZONES: [&str; 3] = ["a", "b", "c"];
const SLOTS: u32 = 16;

fn zone(text: &str) -> Zone {
    text.parse().expect("a valid name")
}

/// Returns a table with a number of plain endpoints in each zone.
fn table(count: usize) -> EndpointTable {
    let mut table = EndpointTable::default();
    for i in 0..count * ZONES.len() {
        let record = EndpointRecord {
            service: "plain".parse().expect("a valid name"),
            addr: format!("10.0.0.{i}:80").parse().expect("a valid address"),
            zone: zone(ZONES[i % ZONES.len()]),
            slots: SLOTS,
            draining: false,
            cold: Millis::ZERO,
            models: Vec::new(),
            revision: Revision::default(),
        };
        let id: EndpointId = format!("e{i}").parse().expect("any text is an id");
        table.apply(&id, Some(record), NOW);
    }
    table
}

fn read(position: u64, evacuated: bool) -> EvacuationRead {
    EvacuationRead {
        position,
        age: Some(Millis::ZERO),
        whole: false,
        zones: vec![(zone("a"), evacuated)],
    }
}

fn evacuated() -> Evacuation {
    let mut zones = Evacuation::default();
    zones.apply(read(1, true), NOW);
    zones
}

fn restored() -> Evacuation {
    let mut zones = evacuated();
    zones.apply(read(2, false), NOW);
    zones
}

/// Makes an entry of a zone choose the endpoint of one request; it has no other knowledge than its own requests.
fn pick<'e>(
    balancer: &mut LoadBalancer,
    table: &'e EndpointTable,
    zones: &Evacuation,
    from: &str,
    now: Millis,
) -> Result<&'e Endpoint, Refusal> {
    let (from, owned) = (zone(from), HashSet::default());
    let query = EndpointQuery {
        zone: &from,
        weights: None,
        exact: None,
        evacuation: Some(zones),
        tried: &[],
        owned: &owned,
        read_rate: None,
        returning: false,
        reserve: 0,
        duration: Millis::ZERO,
        residency: None,
        cold: None,
        memory: None,
        spill: None,
    };
    let e = balancer.pick(table.iter(), &query, now)?;
    balancer.begin(&e.id, 0, now);
    Ok(e)
}

/// Load: 240 requests at once from 1, 9, 48 and 410 entries, which do not know of each other's requests. Guards against
/// requests to the evacuated zone, and against all of its load on one other zone or endpoint.
#[test]
fn load_moves_to_all_other_zones() {
    let (table, zones) = (table(20), evacuated());
    for entries in [1, 9, 48, 410] {
        let mut balancers: Vec<_> = (0..entries).map(|_| LoadBalancer::default()).collect();
        let mut by_zone = [0; 3];
        let mut by_endpoint = std::collections::HashMap::new();
        for i in 0..240 {
            let entry = i % entries;
            let from = ZONES[entry % ZONES.len()];
            let e = pick(&mut balancers[entry], &table, &zones, from, NOW);
            let e = e.expect("room");
            by_zone[ZONES
                .iter()
                .position(|z| e.record.zone.as_str() == *z)
                .expect("known")] += 1;
            *by_endpoint.entry(e.id.clone()).or_insert(0) += 1;
        }
        assert_eq!(by_zone[0], 0, "{entries} entries");
        assert!(
            by_zone[1..].iter().all(|n| *n >= 70),
            "{entries}: {by_zone:?}"
        );
        let most = by_endpoint.values().max().copied().unwrap_or_default();
        assert!(
            most <= 18,
            "{entries}: {most} at one endpoint, 6 on average"
        );
    }
}

/// Load: an entry of the next zone under the load of two. Guards against a zone that is filled to its limit because it is
/// near, while another one is idle.
#[test]
fn near_zone_is_not_filled_first() {
    let (table, zones) = (table(4), evacuated());
    let mut balancer = LoadBalancer::default();
    let mut far = 0;
    for _ in 0..96 {
        let e = pick(&mut balancer, &table, &zones, "b", NOW).expect("room");
        far += u32::from(e.record.zone == zone("c"));
    }
    assert!((32..=48).contains(&far), "{far} of 96");
}

/// Load: steady and light, from entries of the zone that is put back; an endpoint of the zone is among the four that
/// compete for 86 % of requests. Guards against its full share at once, by each
/// entry or by all together, and against a share that stays low.
#[test]
fn share_of_requests_rises() {
    // The bounds are some standard deviations wide: unseeded draws exceed them about once in a thousand runs.
    fastrand::seed(1);
    let (table, zones) = (table(4), restored());
    for (after, least, most) in [(0, 10, 110), (5000, 400, 650), (RAMP_TIME.0, 800, 920)] {
        let mut near = 0;
        let mut balancer = LoadBalancer::default();
        let now = NOW + Millis(after);
        for _ in 0..1000 {
            let e = pick(&mut balancer, &table, &zones, "a", now).expect("room");
            near += u32::from(e.record.zone == zone("a"));
            balancer.end(&e.id, Outcome::Served, now);
        }
        assert!(
            (least..=most).contains(&near),
            "{near} of 1000 after {after} ms"
        );
    }
}

/// Load: all other zones are full. Guards against rejections while endpoints that were just put back are idle, and against
/// filling these at once.
#[test]
fn zone_put_back_takes_what_others_cannot() {
    let table = table(2);
    let mut balancer = LoadBalancer::default();
    let zones = evacuated();
    let mut count = 0;
    while pick(&mut balancer, &table, &zones, "a", NOW).is_ok() {
        count += 1;
    }
    let zones = restored();
    let mut late = 0;
    while let Ok(e) = pick(&mut balancer, &table, &zones, "a", NOW) {
        assert_eq!(e.record.zone, zone("a"));
        late += 1;
    }
    let limit = 3 * SLOTS;
    assert_eq!(count, 4 * limit);
    assert!((2..=limit / 4).contains(&late), "{late}");
}

/// Load: any. Guards against a rejection without a time, or one that is taken for overload, where only endpoints of the
/// zone exist.
#[test]
fn nothing_outside_the_zone() {
    let mut table = table(1);
    for id in ["e1", "e2"] {
        table.apply(&id.parse().expect("any text is an id"), None, NOW);
    }
    let refusal = pick(&mut LoadBalancer::default(), &table, &evacuated(), "a", NOW);
    let Err(Refusal::Unavailable(wait)) = refusal else {
        panic!("not unavailable");
    };
    assert!(wait > Millis(100), "{wait}");
}
