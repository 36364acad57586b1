//! Status headers of endpoints' responses take effect at once.

mod gateway_support;

use gateway_support::{
    addr,
    gateway::{
        arrivals, catalog, request, respond, with_gateway, with_header, with_store, CALLERS, HELD,
        MODEL,
    },
    header, send_request, MemoryStore, Step,
};
use sesamewing::{
    base::{HashMap, Millis},
    gateway::{Catalog, EngineSpeed, Topic},
};

/// Guards against requests to an endpoint that reported in a response that it is draining.
#[test]
fn draining_endpoints_get_no_requests() {
    let script = with_header(respond("200 OK", "yes"), "X-Endpoint-Leaving: 1");
    with_gateway(vec![script], |seen| async move {
        let first = send_request(addr(1, CALLERS), &request("/safe/x"), 1000).await;
        assert!(first.starts_with("HTTP/1.1 200"), "{first}");
        for _ in 0..5 {
            let next = send_request(addr(1, CALLERS), &request("/safe/x"), 1000).await;
            assert!(next.starts_with("HTTP/1.1 503"), "{next}");
        }
        assert_eq!(arrivals(&seen), 1);
    });
}

/// Guards against requests to a paused endpoint before its `Retry-After` has passed, also if its record changes
/// meanwhile, and against callers that are told to retry before that time.
#[test]
fn retry_after_pauses_the_endpoint() {
    let script = vec![Step::Send(
        "HTTP/1.1 503 No\r\nX-Request-Id: {id}\r\nX-Not-Run: 1\r\nRetry-After: 2\r\n\
         Content-Length: 0\r\n\r\n"
            .to_owned(),
    )];
    let store = MemoryStore::default();
    with_store(store, catalog(), vec![script], |seen, store| async move {
        let mut waits = Vec::new();
        for i in 0..8 {
            let res = send_request(addr(1, CALLERS), &request("/safe/x"), 1000).await;
            assert!(res.starts_with("HTTP/1.1 503"), "{res}");
            let wait: Option<f64> = header(&res, "retry-after").and_then(|v| v.parse().ok());
            waits.push(wait.unwrap_or_default());
            let value = format!("plain {} a {MODEL} {}", addr(10, 9000), HELD + i);
            store.write(Topic::Endpoints, "e0", &value);
            tokio::time::sleep(Millis(150).duration()).await;
        }
        assert_eq!(arrivals(&seen), 1, "before Retry-After has passed");
        assert!(waits[1] > 1.0, "{waits:?}");
        tokio::time::sleep(Millis(1200).duration()).await;
        send_request(addr(1, CALLERS), &request("/safe/x"), 1000).await;
        assert_eq!(arrivals(&seen), 2, "after Retry-After has passed");
    });
}

/// Returns a catalog whose service runs on engines with weights.
fn engine_catalog() -> Catalog {
    let mut out = catalog();
    let services: HashMap<_, _> = out
        .services
        .drain()
        .map(|(name, mut spec)| {
            spec.engine = Some(EngineSpeed {
                slots: 4,
                step_ms: 1.0,
                sequence_ms: 0.0,
                prompt_rate: 10.0,
            });
            (name, spec)
        })
        .collect();
    out.services = services;
    out
}

/// Load pattern: a third version becomes desired while hosts still load the second. Guards against requests that ask
/// for the oldest allowed version: an endpoint that holds the newest one refuses them.
#[test]
fn requests_ask_for_the_version_of_their_endpoint() {
    let store = MemoryStore::default();
    store.write(Topic::Operator, MODEL, "2");
    let script = respond("200 OK", "yes");
    with_store(
        store,
        engine_catalog(),
        vec![script],
        |seen, store| async move {
            store.write(Topic::Operator, MODEL, &HELD.to_string());
            tokio::time::sleep(Millis(100).duration()).await;
            let text = request("/safe/x").replace("2500", &format!("2500\r\nX-Model: {MODEL}"));
            let res = send_request(addr(1, CALLERS), &text, 1000).await;
            assert!(res.starts_with("HTTP/1.1 200"), "{res}");
            let sent = seen[0].requests.borrow().last().cloned();
            let expected = sent.and_then(|r| header(&r, "x-expect-version"));
            assert_eq!(expected, Some(HELD.to_string()));
        },
    );
}
