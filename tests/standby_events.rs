//! What an endpoint that is to continue a stream sends while the silent one is still at work.

mod gateway_support;

use gateway_support::{
    addr, endpoint,
    gateway::{catalog, events, request, settings, start_with, CALLERS, HELD, MODEL},
    run_local, send_request, set_catalog, MemoryStore, Step,
};
use sesamewing::gateway::Topic;

const LAST_CHUNK: &str = "0\r\n\r\n";

/// No events.
const NONE: std::ops::RangeInclusive<u64> = std::ops::RangeInclusive::new(1, 0);

/// Pause of the stream, after which another endpoint may continue it.
const PAUSE: u64 = 1700;

/// Checks that a stream arrives whole whose endpoint pauses after the first event, while another one runs a script.
fn stream_is_whole(other: Vec<Step>) {
    run_local(async {
        set_catalog(catalog());
        let store = MemoryStore::default();
        let mut paused = events(1..=1, "");
        paused.push(Step::Pause(PAUSE));
        paused.extend(events(2..=3, LAST_CHUNK).into_iter().skip(1));
        // Entries choose the endpoint of their own zone first.
        for (n, zone, script) in [(10, "a", paused), (11, "b", other)] {
            let at = addr(n, 9000);
            let record = format!("plain {at} {zone} {MODEL} {HELD}");
            store.write(Topic::Endpoints, zone, &record);
            endpoint(at, script).await;
        }
        store.write(Topic::Operator, "config", "1");
        start_with(settings(), store).await;
        let got = send_request(addr(1, CALLERS), &request("/stream/x"), 4000).await;
        for id in 1..=3 {
            let found = got.matches(&format!("id: {id}\n")).count();
            assert_eq!(found, 1, "event {id} in {got}");
        }
        assert!(got.ends_with(LAST_CHUNK), "{got}");
    });
}

/// Guards against a working endpoint that is left because another one has sent a comment, which is no event.
#[test]
fn comment_is_no_event() {
    let mut other = events(NONE, "3\r\n:\n\n\r\n");
    other.push(Step::AwaitClose);
    stream_is_whole(other);
}

/// Guards against a stream that ends as complete without its last events because another endpoint ended with no event
/// at all while the first one was at work.
#[test]
fn empty_continuation_does_not_end_the_stream() {
    stream_is_whole(events(NONE, LAST_CHUNK));
}
