//! Errors of an endpoint at which a stream that has begun is to go on.

mod gateway_support;

use std::cell::Cell;

use gateway_support::{
    addr,
    gateway::{catalog, events, request, respond, route, with_endpoints, with_header, CALLERS},
    header, send_request, Step,
};
use sesamewing::gateway::{Catalog, Repeat};

const LAST_CHUNK: &str = "0\r\n\r\n";

/// Header lines of a stream of events of an endpoint.
const STREAM: &str = "X-Request-Id: {id}\r\nX-Endpoint-Proof: p\r\nContent-Type: text/event-stream";

/// Text in each error that must not reach a caller.
const ERROR: &str = "boom";

/// Last event of a whole stream.
const LAST: u64 = 5;

/// Returns a script that breaks a stream off after two events: between two events or inside one with the end
/// of the connection, and between two with a reset.
fn breaks() -> Vec<Vec<Step>> {
    let reset = [events(1..=2, ""), vec![Step::Pause(20), Step::Reset]].concat();
    vec![
        events(1..=2, ""),
        events(1..=2, "9\r\nid: 3\ndat\r\n"),
        reset,
    ]
}

/// Returns a script that sends a whole response with a length.
fn sized(status: &str, headers: &str, body: &str) -> Vec<Step> {
    let length = body.len();
    let text = format!("HTTP/1.1 {status}\r\n{headers}\r\nContent-Length: {length}\r\n\r\n{body}");
    vec![Step::Send(text)]
}

/// Returns a script that sends a response that ends with its connection.
fn open_ended(headers: &str, body: &str) -> Vec<Step> {
    vec![Step::Send(format!(
        "HTTP/1.1 200 OK\r\n{headers}\r\n\r\n{body}"
    ))]
}

/// Returns the catalog with streams that may be sent to `attempts` endpoints.
fn catalog_of(attempts: u32) -> Catalog {
    let mut out = catalog();
    let mut stream = route("/retry/", Repeat::Resume);
    stream.attempts = attempts;
    out.add_route("h.example", stream);
    out
}

/// Streams from an endpoint that breaks off, from `next` and then, if `attempts` allows it, from an endpoint that sends
/// all events after the last one that it is told. Returns the response.
fn stream(begin: &[Step], next: &[Step], attempts: u32) -> String {
    let (begin, next) = (begin.to_vec(), next.to_vec());
    let resumed = Cell::new(0);
    let pick = move |request: &str| {
        let last = header(request, "last-event-id").and_then(|v| v.parse::<u64>().ok());
        let Some(last) = last else {
            return begin.clone();
        };
        resumed.set(resumed.get() + 1);
        match resumed.get() {
            1 => next.clone(),
            _ => events(last + 1..=LAST, LAST_CHUNK),
        }
    };
    let mut out = String::new();
    let result = &mut out;
    with_endpoints(catalog_of(attempts), 3, pick, |_| async move {
        *result = send_request(addr(1, CALLERS), &request("/retry/x"), 2800).await;
    });
    out
}

/// Checks that a response has all events from the first one on, once and in order, and nothing of an error. Returns the
/// last event.
fn last_event(res: &str, case: &str) -> u64 {
    let ids: Vec<u64> = res
        .lines()
        .filter_map(|l| l.strip_prefix("id: ")?.parse().ok())
        .collect();
    let last = ids.len() as u64;
    assert_eq!(ids, (1..=last).collect::<Vec<_>>(), "{case}: {res}");
    assert!(!res.contains(ERROR), "{case}: {res}");
    assert_eq!(res.matches("HTTP/1.1").count(), 1, "{case}: {res}");
    last
}

/// Checks that a response has all events up to `last` once and in order, and nothing of an error.
fn check_events(res: &str, last: u64, case: &str) {
    assert_eq!(last_event(res, case), last, "{case}: {res}");
}

/// Checks that what a second endpoint answers is not forwarded: a third one continues the stream, or it is cut.
/// `sound` is the last event that the second endpoint may add.
fn check_error(case: &str, next: &[Step], sound: u64) {
    for begin in breaks() {
        let res = stream(&begin, next, 3);
        check_events(&res, LAST, case);
        assert!(res.ends_with(LAST_CHUNK), "{case}: {res}");
        let res = stream(&begin, next, 2);
        // An event that arrives just before the cut can be lost with the connection.
        let last = last_event(&res, case);
        assert!((2..=sound).contains(&last), "{case}: {res}");
        assert!(!res.ends_with(LAST_CHUNK), "{case}: looks complete: {res}");
    }
}

/// Guards against the text of an error with a status of its own in the middle of a stream.
#[test]
fn error_responses_are_not_forwarded() {
    let not_run = with_header(respond("503 No", ERROR), "X-Not-Run: 1");
    check_error("500", &respond("500 No", ERROR), 2);
    check_error("503", &respond("503 No", ERROR), 2);
    check_error("503 not run", &not_run, 2);
    check_error("404", &respond("404 No", "id: 3\ndata: boom\n\n"), 2);
    check_error("302", &respond("302 Found", "id: 3\ndata: boom\n\n"), 2);
}

/// Guards against a success without content that ends a stream as if it were complete.
#[test]
fn other_successes_do_not_end_a_stream() {
    let empty = format!("HTTP/1.1 204 No Content\r\n{STREAM}\r\n\r\n");
    check_error("204", &[Step::Send(empty)], 2);
    check_error("206", &sized("206 Partial", STREAM, ""), 2);
    let part = "id: 3\ndata: boom\n\n";
    check_error("206 with an event", &sized("206 Partial", STREAM, part), 2);
}

/// Guards against a success that is no stream of events, in the middle of a stream.
#[test]
fn other_content_is_not_forwarded() {
    for kind in ["application/json", "text/html", "text/plain"] {
        let headers = STREAM.replace("text/event-stream", kind);
        for body in ["boom", "boom\n\n", "id: 3\ndata: boom\n\n", ""] {
            check_error(kind, &sized("200 OK", &headers, body), 2);
        }
        check_error(kind, &open_ended(&headers, "boom\n\n"), 2);
    }
}

/// Guards against bytes of a response that is encoded or that bears no proof.
#[test]
fn unproven_content_is_not_forwarded() {
    let part = "id: 3\ndata: boom\n\n";
    let unproven = STREAM.replace("X-Endpoint-Proof: p\r\n", "");
    check_error("no proof", &sized("200 OK", &unproven, part), 2);
    let encoded = format!("{STREAM}\r\nContent-Encoding: gzip");
    check_error("encoded", &sized("200 OK", &encoded, part), 2);
}

/// Guards against an error inside a stream of events that is forwarded as one of them.
#[test]
fn events_without_id_are_not_forwarded() {
    let texts = [
        "event: error\ndata: boom\n\n",
        "data: boom\n\n",
        "boom\n\n",
        "HTTP/1.1 500 boom\r\nContent-Type: text/plain\r\n\r\nboom",
        "HTTP/1.1 500 boom\r\nContent-Length: 0\r\n\r\n",
    ];
    for text in texts {
        check_error(text, &sized("200 OK", STREAM, text), 2);
        check_error(text, &open_ended(STREAM, text), 2);
        let late = format!("id: 3\ndata: x\n\n{text}");
        check_error(&late, &sized("200 OK", STREAM, &late), 3);
        check_error(&late, &open_ended(STREAM, &late), 3);
    }
}

/// Guards against a body that differs from its length, and looks complete.
#[test]
fn wrong_lengths_do_not_end_a_stream() {
    let head = format!("HTTP/1.1 200 OK\r\n{STREAM}\r\n");
    let short = format!("{head}Content-Length: 20\r\n\r\nid: 3\ndata: x\n\nid: 4\ndata: boom\n\n");
    check_error("short", &[Step::Send(short)], 3);
    let long = format!("{head}Content-Length: 90\r\n\r\nid: 3\ndata: x\n\n");
    check_error("long", &[Step::Send(long)], 3);
    check_error("long and silent", &events(3..=3, ""), 3);
}

/// Guards against a stream with an event missing, twice or of a run that ended earlier.
#[test]
fn other_events_do_not_end_a_stream() {
    check_error("gap", &events(4..=LAST, LAST_CHUNK), 2);
    let part = "id: 3\ndata: x\n\nid: 5\ndata: boom\n\n";
    check_error("gap behind an event", &sized("200 OK", STREAM, part), 3);
    check_error("shorter run", &events(1..=1, LAST_CHUNK), 2);
    check_error("older event", &events(2..=2, "3\r\nid:\r\n0\r\n\r\n"), 2);
}

/// Guards against a continuation by other weights than those on which the stream began.
#[test]
fn other_weights_do_not_continue_a_stream() {
    for begin in breaks() {
        let begin = with_first_header(begin, "X-Weight-Version: 3");
        let next = with_first_header(events(3..=LAST, LAST_CHUNK), "X-Weight-Version: 4");
        let res = stream(&begin, &next, 2);
        check_events(&res, 2, "weights");
        assert!(!res.ends_with(LAST_CHUNK), "{res}");
    }
}

fn with_first_header(mut script: Vec<Step>, line: &str) -> Vec<Step> {
    let rest = script.split_off(1);
    [with_header(script, line), rest].concat()
}

/// Guards against a run that restarts at the first event and is cut, or whose events come twice.
#[test]
fn restarted_runs_continue_a_stream() {
    for begin in breaks() {
        let res = stream(&begin, &events(1..=LAST, LAST_CHUNK), 2);
        check_events(&res, LAST, "restart");
        assert!(res.ends_with(LAST_CHUNK), "{res}");
    }
}

/// Load pattern: an endpoint has sent its last event, and its end is lost. Guards against a cut of a stream whose caller
/// has all of it: another endpoint, asked for what follows the last event, states that nothing does.
#[test]
fn whole_streams_end_at_an_endpoint_that_has_nothing_to_add() {
    let begin = events(1..=LAST, "");
    let chunked = format!("{STREAM}\r\nTransfer-Encoding: chunked");
    let ends = [
        open_ended(&chunked, LAST_CHUNK),
        sized("200 OK", STREAM, ""),
        events(1..=LAST, LAST_CHUNK),
    ];
    for next in ends {
        let res = stream(&begin, &next, 2);
        check_events(&res, LAST, "empty");
        assert!(res.ends_with(LAST_CHUNK), "{res}");
    }
}

/// Guards against the loss of an event that arrives together with a faulty one behind it.
#[test]
fn events_before_a_fault_are_forwarded() {
    let begin = "id: 1\ndata: x\n\nid: 2\ndata: x\n\n";
    for fault in ["id: 4\ndata: x\n\n", "data: x\n\n"] {
        let body = format!("{begin}{fault}");
        let next = events(3..=LAST, LAST_CHUNK);
        let res = stream(&sized("200 OK", STREAM, &body), &next, 2);
        check_events(&res, LAST, fault);
        assert!(res.ends_with(LAST_CHUNK), "{res}");
    }
}

/// Guards against the end of a connection that counts as the statement that nothing follows.
#[test]
fn closed_connections_do_not_end_a_stream() {
    check_error("empty", &open_ended(STREAM, ""), 2);
    check_error("comment", &open_ended(STREAM, ": x\n\n"), 2);
}

/// Guards against the error of the first endpoint in the middle of its own stream.
#[test]
fn errors_inside_the_first_run_are_not_forwarded() {
    let start = "id: 1\ndata: x\n\nid: 2\ndata: x\n\n";
    let texts = [
        "event: error\ndata: boom\n\n",
        "HTTP/1.1 500 boom\r\nContent-Length: 4\r\n\r\nboom",
        "HTTP/1.1 500 boom\r\nContent-Length: 0\r\n\r\n",
        "id: 3\ndata: boom\n",
    ];
    for text in texts {
        let body = format!("{start}{text}");
        for begin in [
            sized("200 OK", STREAM, &body),
            open_ended(STREAM, &body),
            events(1..=2, text),
        ] {
            let res = stream(&begin, &events(3..=LAST, LAST_CHUNK), 2);
            check_events(&res, LAST, text);
            assert!(res.ends_with(LAST_CHUNK), "{text}: {res}");
        }
    }
}

/// Guards against the loss of comments between events, which end no stream.
#[test]
fn comments_do_not_break_a_stream() {
    let body = "id: 1\ndata: x\n\n: wait\n\nid: 2\ndata: x\n\n";
    let res = stream(&sized("200 OK", STREAM, body), &[], 2);
    assert!(res.contains(body.split_at(15).1), "{res}");
    assert!(res.ends_with(LAST_CHUNK), "{res}");
}

/// Guards against a response of an endpoint that is no stream, on a route of streams, and arrives in part.
#[test]
fn plain_responses_are_forwarded_whole() {
    let json = STREAM.replace("text/event-stream", "application/json");
    let res = stream(&sized("200 OK", &json, "{\"a\":1}"), &[], 1);
    assert!(res.starts_with("HTTP/1.1 200"), "{res}");
    assert!(res.ends_with("\r\n\r\n{\"a\":1}"), "{res}");
    let cut = format!("HTTP/1.1 200 OK\r\n{json}\r\nContent-Length: 9\r\n\r\n{{}}");
    let res = stream(&[Step::Send(cut)], &[], 1);
    assert!(res.starts_with("HTTP/1.1 502"), "{res}");
}
