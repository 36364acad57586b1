//! Data residency without I/O: which zones lists of regions allow, what a configuration leaves unservable, and which
//! endpoints and which `Retry-After` the load balancer takes.

use std::rc::Rc;

use sesamewing::{
    base::{HashMap, HashSet, Millis, Zone},
    decide::residency::{AllowedRegions, Residency, ZoneRegions},
    gateway::{
        Catalog, EndpointId, EndpointQuery, EndpointRecord, EndpointTable, LoadBalancer, Refusal,
        Repeat, Revision, Route, WorkspaceSpec,
    },
};

const NOW: Millis = Millis(100_000);

fn zone(text: &str) -> Zone {
    text.parse().expect("a valid name")
}

fn map() -> ZoneRegions {
    let pairs = [("a", "east"), ("b", "west"), ("c", "west"), ("d", "north")];
    let pairs = pairs.map(|(z, r)| (zone(z), r.parse().expect("a valid name")));
    pairs.into_iter().collect()
}

/// Returns a resolved list.
fn list(names: &[&str]) -> Rc<AllowedRegions> {
    let names = names.iter().map(|n| n.parse().expect("a valid name"));
    let mut out: AllowedRegions = names.collect();
    out.resolve(&map());
    Rc::new(out)
}

fn allowed(residency: &Residency) -> String {
    let zones = ["a", "b", "c", "d", "x"];
    zones
        .into_iter()
        .filter(|z| residency.allows(&zone(z)))
        .collect()
}

/// Guards against a list that is ignored, and against zones outside the table that pass for allowed.
#[test]
fn lists_intersect() {
    let of = |route: Option<&[&str]>, workspace: Option<&[&str]>| {
        allowed(&Residency::new(route.map(list), workspace.map(list)))
    };
    assert_eq!(of(None, None), "abcdx");
    assert_eq!(of(Some(&["west"]), None), "bc");
    assert_eq!(of(None, Some(&["west", "east", "west"])), "abc");
    assert_eq!(of(Some(&["west", "east"]), Some(&["north", "west"])), "bc");
    assert_eq!(of(Some(&["west"]), Some(&["east"])), "");
    assert_eq!(of(Some(&[]), None), "");
    assert_eq!(of(None, Some(&[])), "");
    assert_eq!(of(Some(&["moon"]), None), "");
    assert_eq!(of(Some(&["moon", "east"]), None), "a");
    assert_eq!(of(Some(&[]), Some(&[])), "");
}

/// Guards against a list that allows anything before its zones are determined.
#[test]
fn unresolved_lists_allow_nothing() {
    let names = ["west".parse().expect("a valid name")];
    let list: AllowedRegions = names.into_iter().collect();
    assert_eq!(allowed(&Residency::new(Some(Rc::new(list)), None)), "");
}

fn route(name: &str, regions: Option<&[&str]>) -> Route {
    Route {
        name: name.into(),
        prefix: format!("/{name}/").into(),
        targets: vec![("s".parse().expect("a valid name"), 1)],
        streaming: false,
        repeat: Repeat::Once,
        attempts: 1,
        timeout: Millis(1000),
        objective: Millis(100),
        priority: 0,
        public: false,
        allowed_regions: regions.map(list),
    }
}

fn catalog(routes: &[(&str, Option<&[&str]>)], workspaces: &[(&str, Option<&[&str]>)]) -> Catalog {
    let mut out = Catalog::default();
    for (name, regions) in routes {
        out.add_route("h", route(name, *regions));
    }
    let mut keys = HashMap::default();
    for (name, regions) in workspaces {
        let spec = Rc::new(WorkspaceSpec {
            name: name.parse().expect("a valid name"),
            priority: None,
            allowed_regions: regions.map(list),
        });
        // Two keys each.
        keys.insert(format!("{name}1").into(), spec.clone());
        keys.insert(format!("{name}2").into(), spec);
    }
    out.keys = Some(keys);
    out.resolve_regions(&map());
    out
}

/// Guards against an operator who does not learn what no endpoint serves, and against a line for what is served.
#[test]
fn unservable_requests_are_named() {
    let sound = catalog(
        &[("r1", None), ("r2", Some(&["west", "moon"]))],
        &[("w1", None), ("w2", Some(&["west"]))],
    );
    assert_eq!(sound.unservable().count(), 0);
    let odd = catalog(
        &[
            ("r1", Some(&[])),
            ("r2", Some(&["moon"])),
            ("r3", Some(&["east"])),
            ("r4", None),
        ],
        &[("w1", Some(&[])), ("w2", Some(&["west"]))],
    );
    let found = odd.unservable();
    assert_eq!(found.count(), 4);
    let text = "route r1, route r2, route r3 with workspace w2, workspace w1";
    assert_eq!(found.to_string(), text);
}

/// Load: a configuration with thousands of lists. Guards against a line or a computation that grows with their product.
#[test]
fn many_lists_make_one_short_line() {
    let names: Vec<_> = (0..2000).map(|i| format!("n{i}")).collect();
    let routes: Vec<(_, Option<&[&str]>)> = names
        .iter()
        .map(|n| (n.as_str(), Some(&["east"][..])))
        .collect();
    let workspaces: Vec<(_, Option<&[&str]>)> = names
        .iter()
        .map(|n| (n.as_str(), Some(&["west"][..])))
        .collect();
    assert_eq!(catalog(&routes, &workspaces).unservable().count(), 1);
    let closed: Vec<(_, Option<&[&str]>)> =
        names.iter().map(|n| (n.as_str(), Some(&[][..]))).collect();
    let found = catalog(&closed, &closed).unservable();
    assert_eq!(found.count(), 4000);
    assert!(found.to_string().len() < 200);
}

fn table(endpoints: &[(&str, &str, u32)]) -> EndpointTable {
    let mut out = EndpointTable::default();
    for (i, (name, z, slots)) in endpoints.iter().enumerate() {
        let record = EndpointRecord {
            service: "s".parse().expect("a valid name"),
            addr: format!("10.0.0.{}:80", i + 1).parse().expect("an address"),
            zone: zone(z),
            slots: *slots,
            draining: false,
            cold: Millis::ZERO,
            models: Vec::new(),
            revision: Revision::default(),
        };
        let id: EndpointId = name.parse().expect("an id");
        out.apply(&id, Some(record), NOW);
    }
    out
}

/// Load: the endpoints of the region are full or ask for a pause while others are free. Guards against others getting the
/// request, and against a `Retry-After` that is computed from those.
#[test]
fn other_regions_count_for_nothing() {
    let table = table(&[("near", "a", 50), ("far", "b", 1)]);
    let (own, none) = (zone("a"), HashSet::default());
    let residency = Residency::new(Some(list(&["west"])), None);
    let query = EndpointQuery {
        zone: &own,
        residency: Some(&residency),
        weights: None,
        exact: None,
        tried: &[],
        owned: &none,
        read_rate: None,
        returning: false,
        duration: Millis::ZERO,
        evacuation: None,
        reserve: 0,
        cold: None,
        memory: None,
        spill: None,
    };
    let mut balancer = LoadBalancer::default();
    let mut sent = 0;
    while let Ok(e) = balancer.pick(table.iter(), &query, NOW) {
        assert_eq!(&*e.id.0, "far");
        balancer.begin(&e.id.clone(), 0, NOW);
        sent += 1;
    }
    assert_eq!(sent, 3);
    assert!(!balancer.has_room(table.iter(), &query, NOW));
    let far: EndpointId = "far".parse().expect("an id");
    balancer.pause(&far, NOW + Millis(9000));
    let refusal = balancer.pick(table.iter(), &query, NOW).expect_err("full");
    assert!(
        matches!(refusal, Refusal::Overloaded(t) if t >= Millis(9000)),
        "{refusal:?}"
    );
    // The free endpoint elsewhere has loaded nothing, as one that is about to.
    let closed = Residency::new(Some(list(&["north"])), None);
    let query = EndpointQuery {
        residency: Some(&closed),
        ..query
    };
    // While an endpoint is about to load, the longest time is 1.5 s; single draws of both cases overlap.
    let refusals = (0..60).map(|_| balancer.pick(table.iter(), &query, NOW));
    let longest = refusals.map(|r| match r {
        Err(Refusal::Unavailable(t)) => t,
        other => panic!("{other:?}"),
    });
    let longest = longest.max().expect("refusals");
    assert!(longest > Millis(1500), "{longest}");
}
