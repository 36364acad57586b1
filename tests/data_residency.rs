//! Routes and workspaces whose requests may be served in some regions only, over real sockets: no endpoint elsewhere gets a
//! request, whatever happens to the endpoints of the allowed regions.

mod gateway_support;

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use gateway_support::{
    addr, endpoint,
    gateway::{
        arrivals, catalog, events, refusal, request, respond, settings, start_with, CALLERS, HELD,
        MODEL,
    },
    header, run_local, send_request, set_catalog, MemoryStore, Seen, Step,
};
use sesamewing::{
    base::{Region, Zone},
    decide::residency::{AllowedRegions, ZoneRegions},
    gateway::{Catalog, CatalogVersion, Topic},
};
use tokio::time::sleep;

const LAST_CHUNK: &str = "0\r\n\r\n";

/// Time within which a request that no endpoint may get is rejected; its deadline is 2.5 s.
const AT_ONCE: Duration = Duration::from_millis(400);

fn regions(names: &[&str]) -> Option<Rc<AllowedRegions>> {
    let names = names.iter().map(|n| n.parse().expect("a valid name"));
    Some(Rc::new(names.collect::<AllowedRegions>()))
}

/// Returns the regions of the zones `a`, `b` and `c`; nothing is known of `x`.
fn zones() -> ZoneRegions {
    let pair = |(z, r): (&str, &str)| -> (Zone, Region) {
        (z.parse().expect("a name"), r.parse().expect("a name"))
    };
    let pairs = [("a", "east"), ("b", "west"), ("c", "north")];
    pairs.into_iter().map(pair).collect()
}

/// Returns a catalog whose routes and workspace allow these regions.
fn allowing(route: Option<&[&str]>, workspace: Option<&[&str]>) -> Catalog {
    let mut out = catalog();
    for r in out.routes.values_mut().flatten() {
        Rc::make_mut(r).allowed_regions = route.and_then(regions);
        Rc::make_mut(r).attempts = 4;
    }
    for w in out.keys.iter_mut().flat_map(|k| k.values_mut()) {
        Rc::make_mut(w).allowed_regions = workspace.and_then(regions);
    }
    out
}

/// Starts an entry in zone `a` with an endpoint for each zone and script.
async fn start(
    catalog: Catalog,
    endpoints: Vec<(&str, Vec<Step>)>,
) -> (Vec<Rc<Seen>>, MemoryStore) {
    set_catalog(catalog);
    let store = MemoryStore::default();
    let mut seen = Vec::new();
    for (n, (zone, script)) in (10..).zip(endpoints) {
        let at = addr(n, 9000);
        let record = format!("plain {at} {zone} {MODEL} {HELD}");
        store.write(Topic::Endpoints, &format!("e{n}"), &record);
        seen.push(endpoint(at, script).await);
    }
    store.write(Topic::Operator, "config", "1");
    let mut settings = settings();
    settings.zones = zones();
    start_with(settings, store.clone()).await;
    (seen, store)
}

fn ok() -> Vec<Step> {
    respond("200 OK", "done")
}

async fn send(path: &str) -> String {
    send_request(addr(1, CALLERS), &request(path), 4000).await
}

/// Sends a request that no endpoint may get; checks that it is rejected at once, as not run.
async fn expect_rejected(path: &str) {
    let start = Instant::now();
    let text = send(path).await;
    assert!(text.starts_with("HTTP/1.1 503 "), "{text}");
    let wait: f64 = header(&text, "retry-after")
        .and_then(|v| v.parse().ok())
        .expect("a time");
    assert!(wait > 0.0, "{text}");
    assert!(start.elapsed() < AT_ONCE, "{:?}", start.elapsed());
}

/// Load: first attempts at an entry outside the allowed region. Guards against the nearer endpoints elsewhere.
#[test]
fn first_attempts_stay_in_the_region() {
    run_local(async {
        let all = vec![("a", ok()), ("b", ok()), ("c", ok()), ("x", ok())];
        let (seen, _) = start(allowing(Some(&["west"]), None), all).await;
        for _ in 0..20 {
            assert!(send("/safe/").await.ends_with("done"));
            assert!(send("/once/").await.ends_with("done"));
        }
        assert_eq!(arrivals(&seen[1..2]), 40);
        assert_eq!(arrivals(&seen), 40);
    });
}

/// Load: requests of a workspace with a list on routes with another one. Guards against either list being ignored.
#[test]
fn both_lists_apply() {
    run_local(async {
        let all = vec![("a", ok()), ("b", ok()), ("c", ok()), ("x", ok())];
        let lists = allowing(Some(&["east", "west"]), Some(&["west", "north"]));
        let (seen, _) = start(lists, all).await;
        for _ in 0..20 {
            assert!(send("/safe/").await.ends_with("done"));
        }
        assert_eq!(arrivals(&seen[1..2]), 20);
        assert_eq!(arrivals(&seen), 20);
    });
}

/// Load: requests that no endpoint may serve. Guards against any endpoint getting one, and against waiting.
#[test]
fn closed_lists_reject_at_once() {
    type List = Option<&'static [&'static str]>;
    let closed: [(List, List); 5] = [
        (Some(&[]), None),
        (None, Some(&[])),
        (Some(&["moon"]), None),
        (Some(&["east"]), Some(&["west"])),
        (Some(&["north", "east"]), Some(&["moon", "west"])),
    ];
    for (route, workspace) in closed {
        run_local(async {
            let all = vec![("a", ok()), ("b", ok()), ("x", ok())];
            let (seen, _) = start(allowing(route, workspace), all).await;
            for path in ["/safe/", "/once/", "/stream/"] {
                expect_rejected(path).await;
            }
            assert_eq!(arrivals(&seen), 0, "{route:?} {workspace:?}");
        });
    }
}

/// Load: no restriction. Guards against an endpoint in a zone without a region that gets no requests.
#[test]
fn unknown_zones_serve_without_a_list() {
    run_local(async {
        let (seen, _) = start(allowing(None, None), vec![("x", ok())]).await;
        assert!(send("/safe/").await.ends_with("done"));
        assert_eq!(arrivals(&seen), 1);
    });
}

/// Load: endpoints of the region that refuse, end without a response, or send an error. Guards against retries elsewhere.
#[test]
fn retries_stay_in_the_region() {
    let scripts = [refusal(), vec![Step::Reset], respond("500 No", "broken")];
    for script in scripts {
        run_local(async {
            let all = vec![
                ("a", ok()),
                ("b", script.clone()),
                ("b", script),
                ("c", ok()),
            ];
            let (seen, _) = start(allowing(Some(&["west"]), None), all).await;
            for path in ["/safe/", "/once/", "/stream/"] {
                let text = send(path).await;
                assert!(!text.starts_with("HTTP/1.1 200"), "{text}");
            }
            assert!(arrivals(&seen[1..3]) >= 2);
            assert_eq!(arrivals(&seen[..1]) + arrivals(&seen[3..]), 0);
        });
    }
}

/// Load: the only endpoint of the region has ended. Guards against requests elsewhere and against callers that wait.
#[test]
fn unreachable_regions_reject_at_once() {
    run_local(async {
        let (seen, store) = start(allowing(Some(&["west"]), None), vec![("a", ok())]).await;
        let record = format!("plain {} b {MODEL} {HELD}", addr(9, 9000));
        store.write(Topic::Endpoints, "gone", &record);
        sleep(Duration::from_millis(300)).await;
        for _ in 0..10 {
            expect_rejected("/safe/").await;
        }
        assert_eq!(arrivals(&seen), 0);
    });
}

/// Load: an endpoint that is silent, for which another one would be asked beside it. Guards against one elsewhere.
#[test]
fn attempts_beside_a_silent_endpoint_stay_in_the_region() {
    run_local(async {
        let mut slow = vec![Step::Pause(1500)];
        slow.extend(ok());
        let all = vec![("a", ok()), ("b", slow), ("x", ok())];
        let (seen, _) = start(allowing(Some(&["west"]), None), all).await;
        assert!(send("/safe/").await.ends_with("done"));
        assert_eq!(arrivals(&seen[1..2]), 1);
        assert_eq!(arrivals(&seen), 1);
    });
}

/// Load: streams that break or stall halfway. Guards against an endpoint elsewhere that continues them, and against none
/// that does in the region.
#[test]
fn streams_are_resumed_in_the_region() {
    let stalled = {
        let mut out = events(1..=2, "");
        out.push(Step::Pause(3000));
        out
    };
    for first in [events(1..=2, ""), stalled] {
        run_local(async {
            let next = events(3..=4, LAST_CHUNK);
            let all = vec![
                ("a", next.clone()),
                ("b", first.clone()),
                ("x", next.clone()),
            ];
            let (seen, store) = start(allowing(Some(&["west"]), None), all).await;
            let sent = tokio::task::spawn_local(send("/stream/"));
            sleep(Duration::from_millis(100)).await;
            let other = addr(9, 9000);
            let continued = endpoint(other, next).await;
            let record = format!("plain {other} b {MODEL} {HELD}");
            store.write(Topic::Endpoints, "other", &record);
            let text = sent.await.expect("a response");
            assert!(
                text.contains("id: 4\n") && text.contains(LAST_CHUNK),
                "{text}"
            );
            assert_eq!(continued.requests.borrow().len(), 1);
            assert_eq!(arrivals(&seen[1..2]), 1);
            assert_eq!(arrivals(&seen), 1);
        });
    }
}

/// Load: the lists change while requests run. Guards against a change that does not take effect, and against a request that
/// is sent again under another configuration than the one with which it was accepted.
#[test]
fn changes_take_effect_for_new_requests() {
    run_local(async {
        let mut slow = vec![Step::Pause(700)];
        slow.extend(refusal());
        let all = vec![("a", ok()), ("b", slow), ("b", ok())];
        let (seen, store) = start(allowing(Some(&["west"]), None), all).await;
        let waiting = tokio::task::spawn_local(async {
            futures_util::future::join_all((0..4).map(|_| send("/once/"))).await
        });
        sleep(Duration::from_millis(150)).await;
        let mut changed = allowing(Some(&["east"]), None);
        changed.version = CatalogVersion(2);
        set_catalog(changed);
        store.write(Topic::Operator, "config", "2");
        sleep(Duration::from_millis(250)).await;
        let before = arrivals(&seen[1..]);
        for _ in 0..10 {
            assert!(send("/safe/").await.ends_with("done"));
        }
        assert_eq!(arrivals(&seen[..1]), 10);
        assert_eq!(arrivals(&seen[1..]), before);
        for text in waiting.await.expect("responses") {
            assert!(text.ends_with("done"), "{text}");
        }
        assert_eq!(arrivals(&seen[..1]), 10);
    });
}
