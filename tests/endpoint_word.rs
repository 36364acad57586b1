//! What endpoints say of themselves in their responses binds the entry at once.

mod gateway_support;

use gateway_support::{
    addr, ask,
    gateway::{answer, arrivals, catalog, request, with_gateway, with_store, CALLERS, HELD, MODEL},
    header, MemoryStore, Step,
};
use sesamewing::{
    base::{HashMap, Millis},
    gateway::{Catalog, EngineSpeed, Topic},
};

/// Adds a header to each response of a script.
fn with_header(script: Vec<Step>, line: &str) -> Vec<Step> {
    let add = |text: String| text.replacen("\r\n", &format!("\r\n{line}\r\n"), 1);
    script
        .into_iter()
        .map(|step| match step {
            Step::Send(text) => Step::Send(add(text)),
            step => step,
        })
        .collect()
}

/// Guards against requests to an endpoint that said in a response that it leaves.
#[test]
fn leaving_endpoints_get_nothing() {
    let script = with_header(answer("200 OK", "yes"), "X-Endpoint-Leaving: 1");
    with_gateway(vec![script], |seen| async move {
        let first = ask(addr(1, CALLERS), &request("/safe/x"), 1000).await;
        assert!(first.starts_with("HTTP/1.1 200"), "{first}");
        for _ in 0..5 {
            let next = ask(addr(1, CALLERS), &request("/safe/x"), 1000).await;
            assert!(next.starts_with("HTTP/1.1 503"), "{next}");
        }
        assert_eq!(arrivals(&seen), 1);
    });
}

/// Guards against requests to an endpoint before the time that it named, also if something else is heard of it
/// meanwhile, and against callers that are asked to return before that time.
#[test]
fn named_times_are_kept() {
    let script = vec![Step::Send(
        "HTTP/1.1 503 No\r\nX-Request-Id: {id}\r\nX-Not-Run: 1\r\nRetry-After: 2\r\n\
         Content-Length: 0\r\n\r\n"
            .to_owned(),
    )];
    let store = MemoryStore::default();
    with_store(store, catalog(), vec![script], |seen, store| async move {
        let mut waits = Vec::new();
        for i in 0..8 {
            let res = ask(addr(1, CALLERS), &request("/safe/x"), 1000).await;
            assert!(res.starts_with("HTTP/1.1 503"), "{res}");
            let wait: Option<f64> = header(&res, "retry-after").and_then(|v| v.parse().ok());
            waits.push(wait.unwrap_or_default());
            let value = format!("plain {} a {MODEL} {}", addr(10, 9000), HELD + i);
            store.write(Topic::Endpoints, "e0", &value);
            tokio::time::sleep(Millis(150).duration()).await;
        }
        assert_eq!(arrivals(&seen), 1, "before the time is over");
        assert!(waits[1] > 1.0, "{waits:?}");
        tokio::time::sleep(Millis(1200).duration()).await;
        ask(addr(1, CALLERS), &request("/safe/x"), 1000).await;
        assert_eq!(arrivals(&seen), 2, "after the time is over");
    });
}

/// A catalog whose endpoints are engines with weights.
fn engines() -> Catalog {
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

/// Pattern: a third version is named while hosts still load the second. Guards against requests that name the oldest
/// version that will do: an endpoint that has the newest one turns them away.
#[test]
fn requests_name_the_version_of_their_endpoint() {
    let store = MemoryStore::default();
    store.write(Topic::Operator, MODEL, "2");
    let script = answer("200 OK", "yes");
    with_store(store, engines(), vec![script], |seen, store| async move {
        store.write(Topic::Operator, MODEL, &HELD.to_string());
        tokio::time::sleep(Millis(100).duration()).await;
        let text = request("/safe/x").replace("2500", &format!("2500\r\nX-Model: {MODEL}"));
        let res = ask(addr(1, CALLERS), &text, 1000).await;
        assert!(res.starts_with("HTTP/1.1 200"), "{res}");
        let sent = seen[0].requests.borrow().last().cloned();
        let expected = sent.and_then(|r| header(&r, "x-expect-version"));
        assert_eq!(expected, Some(HELD.to_string()));
    });
}
