//! Responses that an endpoint writes once more, or that no request asked for, on connections that are kept.

mod gateway_support;

use gateway_support::{
    addr,
    gateway::{arrivals, events, request, respond, with_gateway, CALLERS},
    send_request, Step,
};
use sesamewing::base::Millis;

const LAST_CHUNK: &str = "0\r\n\r\n";

/// Routes whose requests are sent on kept connections.
const KEPT: [&str; 2] = ["/safe/x", "/stream/x"];

/// Status lines with which endpoints refuse requests.
const REFUSALS: [&str; 3] = ["503 No", "421 Other", "429 Slow"];

/// Header line with the id of the first request on the connection.
const FIRST_ID: &str = "X-Request-Id: {id}\r\n";

/// Bytes that are no response.
const NOISE: &str = "\u{1}\u{2}no response\r\n\r\n";

/// Returns a refusal that says "not run", with a line that names the request, or without.
fn refusal(status: &str, id: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{id}X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
}

/// Returns all refusals that were about an earlier request on the connection.
fn strays() -> Vec<String> {
    let ids = ["", FIRST_ID];
    let all = REFUSALS.iter().flat_map(|s| ids.map(|id| refusal(s, id)));
    all.collect()
}

/// Returns a script that serves one request of a route.
fn serve(path: &str) -> Vec<Step> {
    match path.starts_with("/stream/") {
        true => events(1..=2, LAST_CHUNK),
        false => respond("200 OK", "first"),
    }
}

async fn answer(path: &str, id: &str) -> String {
    let text = request(path).replace("Id: r1", &format!("Id: {id}"));
    send_request(addr(1, CALLERS), &text, 2000).await
}

/// Sends a request to an endpoint that serves the first one of each connection and then runs `then`; returns the
/// response to a second request, and how many requests and closed connections the endpoint counted.
fn second_answer(path: &'static str, id: &'static str, then: Vec<Step>) -> (String, usize, u32) {
    let script = [serve(path), then].concat();
    let mut out = None;
    let result = &mut out;
    with_gateway(vec![script], |seen| async move {
        let first = answer(path, "r1").await;
        assert!(first.starts_with("HTTP/1.1 200"), "{first}");
        tokio::time::sleep(Millis(100).duration()).await;
        let second = answer(path, id).await;
        tokio::time::sleep(Millis(50).duration()).await;
        *result = Some((second, arrivals(&seen), seen[0].closed.get()));
    });
    out.expect("the test has run")
}

/// Checks that a stray in place of the second response on a connection is not forwarded nor taken for "not run".
fn check_lost(path: &'static str, stray: Vec<Step>) {
    let then = [vec![Step::Next], stray.clone(), vec![Step::AwaitClose]].concat();
    let (second, arrivals, closed) = second_answer(path, "r2", then);
    assert!(second.starts_with("HTTP/1.1 502"), "{path}: {second}");
    assert_eq!(arrivals, 2, "{path}");
    assert_eq!(closed, 1, "{path}: the connection is not reused");
}

/// Guards against an earlier refusal, written once more when the next request is under way, that is taken for "this
/// request did not run".
#[test]
fn earlier_refusals_do_not_refuse_the_next_request() {
    for path in KEPT {
        for stray in strays() {
            check_lost(path, vec![Step::Send(stray)]);
        }
    }
}

/// Guards against the same if the refusal arrives in two pieces, or before the response of the request.
#[test]
fn earlier_refusals_in_pieces_do_not_refuse() {
    for stray in strays() {
        let (head, tail) = stray.split_at(20);
        let pieces = [head, tail].map(|t| Step::Send(t.to_owned()));
        let [head, tail] = pieces;
        check_lost(KEPT[0], vec![head, Step::Pause(30), tail]);
        let both = vec![Step::Send(stray), Step::Pause(30)];
        check_lost(KEPT[0], [both, respond("200 OK", "second")].concat());
    }
}

/// Guards against bytes that are no response, in place of the response, that count as "not run".
#[test]
fn noise_does_not_refuse_the_next_request() {
    for path in KEPT {
        check_lost(path, vec![Step::Send(NOISE.to_owned())]);
    }
}

/// Guards against a connection that is reused after bytes that no request asked for: they arrive while it is idle.
#[test]
fn strays_on_idle_connections_close_them() {
    for path in KEPT {
        for stray in strays().into_iter().chain([NOISE.to_owned()]) {
            let then = vec![Step::Pause(30), Step::Send(stray), Step::AwaitClose];
            let (second, arrivals, closed) = second_answer(path, "r2", then);
            assert!(second.starts_with("HTTP/1.1 200"), "{path}: {second}");
            assert_eq!((arrivals, closed), (2, 2), "{path}");
        }
    }
}

/// Guards against the same for bytes that arrive together with the end of a response.
#[test]
fn strays_behind_a_response_close_the_connection() {
    for path in KEPT {
        for stray in strays().into_iter().chain([NOISE.to_owned()]) {
            let mut script = serve(path);
            let Some(Step::Send(end)) = script.last_mut() else {
                panic!("the script ends with bytes");
            };
            end.push_str(&stray);
            script.push(Step::AwaitClose);
            with_gateway(vec![script], |seen| async move {
                for id in ["r1", "r2"] {
                    let res = answer(path, id).await;
                    assert!(res.starts_with("HTTP/1.1 200"), "{path}: {res}");
                }
                tokio::time::sleep(Millis(50).duration()).await;
                assert_eq!(seen[0].closed.get(), 2, "{path}");
            });
        }
    }
}

/// Guards against a request that must not be repeated and is sent on a connection on which an earlier response, of the
/// same request id too, can arrive.
#[test]
fn non_idempotent_requests_meet_no_earlier_responses() {
    for id in ["r1", "r2"] {
        for stray in strays() {
            let then = vec![Step::Next, Step::Send(stray), Step::AwaitClose];
            let (second, arrivals, closed) = second_answer("/once/x", id, then);
            assert!(second.ends_with("first"), "{second}");
            assert_eq!((arrivals, closed), (2, 0), "each on its own connection");
        }
    }
}

/// Guards against a refusal of an overloaded endpoint that counts as lost, on new and on kept connections.
#[test]
fn refusals_of_the_request_are_believed() {
    for path in ["/safe/x", "/stream/x", "/once/x"] {
        for status in REFUSALS {
            for id in ["", FIRST_ID] {
                let script = vec![Step::Send(refusal(status, id))];
                with_gateway(vec![script], |_| async move {
                    let res = answer(path, "r1").await;
                    assert!(res.starts_with("HTTP/1.1 503"), "{path}: {res}");
                });
            }
        }
    }
    for status in REFUSALS {
        let own = refusal(status, "X-Request-Id: r2\r\n");
        let (second, ..) = second_answer("/safe/x", "r2", vec![Step::Next, Step::Send(own)]);
        assert!(second.starts_with("HTTP/1.1 503"), "{second}");
    }
}
