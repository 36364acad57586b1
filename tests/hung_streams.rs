//! Streams whose endpoint is silent until the deadline.

mod gateway_support;

use gateway_support::{
    addr, endpoint,
    gateway::{catalog, events, request, settings, start_with, CALLERS, HELD, MODEL},
    run_local, send_request, set_catalog, MemoryStore, Step,
};
use sesamewing::{base::Percent, gateway::Topic};

/// Guards against further requests to an endpoint that was silent until the deadline of a stream, while another one
/// works.
#[test]
fn hung_endpoint_is_avoided() {
    run_local(async {
        set_catalog(catalog());
        let mut settings = settings();
        settings.bounds.retries = Percent(0);
        let store = MemoryStore::default();
        let mut hung = events(1..=1, "");
        hung.push(Step::AwaitClose);
        let mut seen = Vec::new();
        // Entries choose the endpoint of their own zone first.
        for (n, zone, script) in [(10, "a", hung), (11, "b", events(1..=2, "0\r\n\r\n"))] {
            let at = addr(n, 9000);
            let record = format!("plain {at} {zone} {MODEL} {HELD}");
            store.write(Topic::Endpoints, zone, &record);
            seen.push(endpoint(at, script).await);
        }
        store.write(Topic::Operator, "config", "1");
        start_with(settings, store).await;
        send_request(addr(1, CALLERS), &request("/stream/x"), 4000).await;
        assert_eq!(seen[0].requests.borrow().len(), 1);
        let got = send_request(addr(1, CALLERS), &request("/stream/x"), 4000).await;
        assert!(got.contains("id: 2\n"), "{got}");
        assert_eq!(seen[1].requests.borrow().len(), 1);
    });
}
