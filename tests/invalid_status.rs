//! Responses of endpoints whose status is outside the range that HTTP defines for final responses.

mod gateway_support;

use gateway_support::{
    gateway::{events, request, respond, with_endpoints, with_gateway, with_header, CALLERS},
    header, send_request, Step,
};

/// Statuses that are no final response.
const INVALID: [&str; 6] = ["000 No", "099 No", "20 No", "101 No", "600 No", "999 No"];

async fn ask(path: &str) -> String {
    send_request(gateway_support::addr(1, CALLERS), &request(path), 2900).await
}

/// Guards against an invalid status that reaches the caller as a response, on routes of each kind.
#[test]
fn none_reaches_the_caller() {
    for status in INVALID {
        for path in ["/safe/x", "/once/x", "/stream/x"] {
            let scripts = vec![respond(status, "no"), respond(status, "no")];
            with_gateway(scripts, |_| async move {
                let res = ask(path).await;
                assert!(res.starts_with("HTTP/1.1 502"), "{status}, {path}: {res}");
            });
        }
    }
}

/// Guards against a request that is sent once more, or answered as not run, because an invalid response says that it did
/// not run: nothing that comes with such a status is known to be true.
#[test]
fn none_says_that_a_request_did_not_run() {
    for status in ["600 No", "999 No"] {
        let script = || with_header(respond(status, "no"), "X-Not-Run: 1");
        with_gateway(vec![script(), script()], |seen| async move {
            let res = ask("/once/x").await;
            assert!(res.starts_with("HTTP/1.1 502"), "{status}: {res}");
            let sent: usize = seen.iter().map(|s| s.requests.borrow().len()).sum();
            assert_eq!(sent, 1, "{status}");
        });
    }
}

/// Guards against an invalid response that ends a request although another endpoint can serve it.
#[test]
fn another_endpoint_serves() {
    let first = std::cell::Cell::new(true);
    let pick = move |_: &str| {
        if first.replace(false) {
            respond("600 No", "no")
        } else {
            respond("200 OK", "yes")
        }
    };
    with_endpoints(gateway_support::gateway::catalog(), 2, pick, |_| async {
        let res = ask("/safe/x").await;
        assert!(
            res.starts_with("HTTP/1.1 200") && res.ends_with("yes"),
            "{res}"
        );
    });
}

/// Guards against a stream that is continued with an invalid response.
#[test]
fn no_stream_goes_on_with_one() {
    let pick = |text: &str| {
        if header(text, "last-event-id").is_some() {
            respond("600 No", "no")
        } else {
            let mut cut = events(1..=2, "");
            cut.push(Step::Reset);
            cut
        }
    };
    with_endpoints(gateway_support::gateway::catalog(), 2, pick, |_| async {
        let res = ask("/stream/x").await;
        assert!(res.contains("id: 2"), "{res}");
        let whole = res.ends_with("0\r\n\r\n");
        assert!(
            !whole && !res.contains(" 600 ") && !res.contains("no"),
            "{res}"
        );
    });
}
