//! Routing across zones over sockets: the share of a crowded zone's requests, its log line and the counts by region.

mod gateway_support;

use std::rc::Rc;

use gateway_support::{
    addr, endpoint,
    gateway::{arrivals, catalog, request, respond, settings, start_with, CALLERS, HELD, MODEL},
    lines::{collect_lines, count_lines, take_lines},
    run_local, send_request, set_catalog, MemoryStore, Seen, Step,
};
use sesamewing::{
    base::Millis,
    decide::spill::Prices,
    gateway::{GatewaySettings, RoutingSettings, Topic},
};

/// Time in which an entry reads the records of new endpoints.
const EFFECT: Millis = Millis(1000);

async fn pause(time: Millis) {
    tokio::time::sleep(time.duration()).await;
}

fn settings_with(routing: RoutingSettings) -> GatewaySettings {
    let zones = [("a", "r"), ("b", "s")];
    let name = |text: &str| text.parse().expect("a valid name");
    GatewaySettings {
        routing,
        zones: zones
            .into_iter()
            .map(|(z, r)| (name(z), r.parse().expect("a valid name")))
            .collect(),
        ..settings()
    }
}

async fn start_endpoint(store: &MemoryStore, n: u8, zone: &str, time: u64) -> Rc<Seen> {
    let at = addr(n, 9000);
    let value = format!("plain {at} {zone} {MODEL} {HELD}");
    store.write(Topic::Endpoints, &format!("e{n}"), &value);
    let mut script = vec![Step::Pause(time)];
    script.extend(respond("200 OK", "answer"));
    endpoint(at, script).await
}

async fn metric(name: &str) -> Option<u64> {
    let text = send_request(addr(1, 8005), "GET /metrics HTTP/1.0\r\n\r\n", 500).await;
    let line = text.lines().find(|l| l.contains(name))?;
    line.rsplit_once(' ')?.1.parse().ok()
}

/// Sends requests that may run only once, so that none is sent to a second endpoint beside a slow first one; returns how
/// many succeed.
async fn send_all(count: usize) -> usize {
    let calls = (0..count).map(|_| async {
        let answer = send_request(addr(1, CALLERS), &request("/once/"), 4000).await;
        usize::from(answer.contains(" 200 "))
    });
    futures_util::future::join_all(calls)
        .await
        .into_iter()
        .sum()
}

/// Load pattern: a zone with one endpoint that gets more requests than it has slots, next to an idle one in another region.
/// Guards against an entry that never uses the idle one, sends requests there before its share allows that, doesn't say so
/// in its log, or counts the traffic in the wrong pair of regions.
#[test]
fn crowded_zone_sends_a_share() {
    run_local(async {
        collect_lines();
        set_catalog(catalog());
        let store = MemoryStore::default();
        store.write(Topic::Operator, "config", "1");
        let near = start_endpoint(&store, 10, "a", 1200).await;
        let far = start_endpoint(&store, 11, "b", 1200).await;
        let routing = RoutingSettings {
            prices: Some(Prices::default()),
            faults: vec!["routing.region_price_ms is no number".to_owned()],
        };
        start_with(settings_with(routing), store).await;
        pause(EFFECT).await;
        assert_eq!(send_all(8).await, 8);
        assert_eq!(arrivals(&[near]), 8, "no share yet");
        assert_eq!(arrivals(std::slice::from_ref(&far)), 0);
        for _ in 0..4 {
            assert_eq!(send_all(8).await, 8);
        }
        let sent = arrivals(&[far]) as u64;
        assert!(sent > 0, "the idle zone is used");
        let lines = take_lines();
        let begins = |text: &str| lines.iter().filter(|l| l.contains(text)).count();
        assert!(
            begins("gateway-spill: service=plain shares=b:0.") > 0,
            "{lines:?}"
        );
        assert_eq!(begins("routing.region_price_ms is no number"), 1);
        let label = |name: &str| format!("{name}_total{{from=\"r\",to=\"s\"}}");
        let requests = metric(&label("gateway_region_requests")).await;
        assert_eq!(requests, Some(sent));
        // Two bytes of the request and six of the response.
        let bytes = metric(&label("gateway_region_bytes")).await;
        assert_eq!(bytes, Some(sent * 8));
    });
}

/// Guards against shares where neither the settings nor the endpoints enable them.
#[test]
fn without_settings_nothing_changes() {
    run_local(async {
        collect_lines();
        set_catalog(catalog());
        let store = MemoryStore::default();
        store.write(Topic::Operator, "config", "1");
        let near = start_endpoint(&store, 10, "a", 600).await;
        let far = start_endpoint(&store, 11, "b", 600).await;
        start_with(settings_with(RoutingSettings::default()), store).await;
        pause(EFFECT).await;
        assert_eq!(send_all(8).await, 8);
        assert!(
            arrivals(&[far]) > 0,
            "the fixed cost is that of half a slot"
        );
        assert!(arrivals(&[near]) > 0);
        assert_eq!(count_lines("SW480"), 0);
    });
}
