//! What a stream that waits for an endpoint does to the rejections of other callers.

mod gateway_support;

use gateway_support::{
    addr, endpoint,
    gateway::{
        catalog, events, request, respond, settings, start_with, with_header, CALLERS, HELD, MODEL,
    },
    header, run_local, send_request, set_catalog, MemoryStore, Step,
};
use sesamewing::{base::Millis, gateway::Topic};

/// Limit that an endpoint names: one request in five seconds.
const LIMIT: &str = "X-Endpoint-Limit: 0.2";

/// Longest `Retry-After` in seconds while two callers were rejected: the rest of one interval of the limit, and two more.
const WAIT_MAX: f64 = 15.0;

/// Pause of a stream, after which the limited endpoint may continue it.
const PAUSE: u64 = 2200;

/// Time in which an entry learns of an endpoint.
const LEARNING: Millis = Millis(500);

/// Guards against `Retry-After` that grows with each look of one waiting stream for an endpoint, as if as many callers
/// had been rejected.
#[test]
fn waiting_stream_counts_as_no_rejected_callers() {
    run_local(async {
        set_catalog(catalog());
        let store = MemoryStore::default();
        let limited = with_header(respond("200 OK", "yes"), "Connection: close");
        let limited = with_header(limited, LIMIT);
        let mut paused = events(1..=1, "");
        paused.push(Step::Pause(PAUSE));
        paused.extend(events(2..=2, "0\r\n\r\n").into_iter().skip(1));
        let (near, far) = (addr(10, 9000), addr(11, 9000));
        endpoint(near, paused).await;
        endpoint(far, limited).await;
        store.write(
            Topic::Endpoints,
            "far",
            &format!("plain {far} b {MODEL} {HELD}"),
        );
        store.write(Topic::Operator, "config", "1");
        start_with(settings(), store.clone()).await;
        let send = async || send_request(addr(1, CALLERS), &request("/safe/x"), 3000).await;
        let mut got = send().await;
        for _ in 0..10 {
            if got.starts_with("HTTP/1.1 503") {
                break;
            }
            got = send().await;
        }
        println!("{got}");
        assert!(got.starts_with("HTTP/1.1 503"), "{got}");
        store.write(
            Topic::Endpoints,
            "near",
            &format!("plain {near} a {MODEL} {HELD}"),
        );
        tokio::time::sleep(LEARNING.duration()).await;
        let stream = send_request(addr(1, CALLERS), &request("/stream/x"), 3000).await;
        assert!(stream.contains("id: 2\n"), "{stream}");
        store.write(Topic::Endpoints, "near", "");
        tokio::time::sleep(LEARNING.duration()).await;
        let got = send().await;
        println!("{got}");
        assert!(got.starts_with("HTTP/1.1 503"), "{got}");
        let wait = header(&got, "retry-after").and_then(|v| v.parse().ok());
        assert!(wait.is_some_and(|w: f64| w <= WAIT_MAX), "{got}");
    });
}
