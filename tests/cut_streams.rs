//! What callers have of a stream that no endpoint can go on with.

mod gateway_support;

use std::rc::Rc;

use gateway_support::{
    addr,
    gateway::{catalog, events, request, with_endpoints, CALLERS},
    lines::{collect_lines, take_lines},
    send_request, Step,
};
use sesamewing::gateway::Catalog;

/// Last event that the endpoint sends before its connection ends.
const LAST: u64 = 3;

/// Number of bytes in a stream that an entry does not hold for a caller that gets it at once.
const TOO_LONG: usize = 3 << 20;

/// Returns a catalog whose routes allow one attempt.
fn single_attempts() -> Catalog {
    let mut out = catalog();
    for route in out.routes.values_mut().flatten() {
        Rc::make_mut(route).attempts = 1;
    }
    out
}

/// Returns a script that sends events and a faulty one in one piece.
fn events_with_fault() -> Vec<Step> {
    let text: String = [1, 2, LAST, LAST + 5]
        .map(|id| format!("id: {id}\ndata: x\n\n"))
        .concat();
    let mut out = events(1..=1, "");
    out.truncate(1);
    out.push(Step::Send(format!("{:x}\r\n{text}\r\n", text.len())));
    out.push(Step::AwaitClose);
    out
}

/// Guards against a caller that gets not even a status of a stream whose endpoint fails right behind its first events,
/// although the entry has read them.
#[test]
fn events_before_the_cut_arrive() {
    let scripts = [
        ("closed", events(1..=LAST, "")),
        ("faulty", events_with_fault()),
    ];
    for (name, script) in scripts {
        with_endpoints(
            single_attempts(),
            1,
            move |_| script.clone(),
            |_| async {
                let got = send_request(addr(1, CALLERS), &request("/stream/x"), 2000).await;
                assert!(got.starts_with("HTTP/1.1 200 "), "{name}: `{got}`");
                assert!(got.contains(&format!("id: {LAST}\n")), "{name}: `{got}`");
                assert!(!got.ends_with("0\r\n\r\n"), "{name}: `{got}`");
            },
        );
    }
}

/// Guards against a log that blames the caller for a stream that the entry itself ends, because it is too long to be held
/// for a caller that could not tell its early end.
#[test]
fn too_long_stream_is_logged_as_cut() {
    // Another test of the process may have set it.
    collect_lines();
    let event = format!("data: {}\n\n", "x".repeat(TOO_LONG / 300));
    let mut script = events(1..=1, "");
    script.truncate(1);
    for id in 1..=310 {
        let text = format!("id: {id}\n{event}");
        script.push(Step::Send(format!("{:x}\r\n{text}\r\n", text.len())));
    }
    script.push(Step::Send("0\r\n\r\n".to_owned()));
    with_endpoints(
        single_attempts(),
        1,
        move |_| script.clone(),
        |_| async {
            let text = request("/stream/x").replace("HTTP/1.1", "HTTP/1.0");
            let got = send_request(addr(1, CALLERS), &text, 2000).await;
            assert!(got.contains(" 502 "), "{} bytes", got.len());
            let lines = take_lines().join("\n");
            assert!(lines.contains("outcome=cut reason=too large"), "`{lines}`");
            assert!(!lines.contains("SW467"), "`{lines}`");
        },
    );
}
