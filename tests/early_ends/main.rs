//! Responses of endpoints that end early, at each place and in each way: what the caller gets is a clear error, the whole
//! response of another endpoint, or a stream that does not look complete.

mod cases;
#[path = "../gateway_support/mod.rs"]
mod gateway_support;
mod table;

use cases::{
    bodies, comments, cuts, heads, odd_codings, streams, BEGUN, CHUNKED, LAST_CHUNK, LENGTH,
};
use gateway_support::{
    gateway::{events, request, respond},
    Step,
};
use table::{cut_stream, lost, play, play_all, stream, yes, Got, Table, ROUTES};

/// Routes whose responses are forwarded when they are complete.
const PLAIN_ROUTES: [&str; 2] = ["/once/x", "/safe/x"];

/// How an endpoint ends its connection after the bytes that it sends.
#[derive(Clone, Copy, Debug)]
enum Ending {
    Close,
    Reset,
    /// Resets it when the entry has read the bytes.
    LateReset,
}

const ENDINGS: [Ending; 3] = [Ending::Close, Ending::Reset, Ending::LateReset];

/// Returns a script that sends some bytes and ends the connection.
fn early(sent: &str, ending: Ending) -> Vec<Step> {
    let mut script = vec![Step::Send(sent.to_owned())];
    match ending {
        Ending::Close => {}
        Ending::Reset => script.push(Step::Reset),
        Ending::LateReset => script.extend([Step::Pause(20), Step::Reset]),
    }
    script
}

/// Returns a script that answers one request in full and ends early in the response to the next one.
fn kept(sent: &str, ending: Ending) -> Vec<Step> {
    let mut script = respond("200 OK", "first");
    script.push(Step::Next);
    script.extend(early(sent, ending));
    script
}

/// Checks responses of the only endpoint, which all have to end as lost.
fn check_each_lost(responses: &[String], paths: &[&str], endings: &[Ending]) {
    let mut table = Table::default();
    for sent in responses {
        for ending in endings {
            for path in paths {
                let case = format!("{path} {ending:?} {sent:?}");
                let played = play(vec![early(sent, *ending)], path);
                table.check(&case, &played, &lost(), 1);
            }
        }
    }
}

/// Guards against a success, or "not run", for a response that ends in its head.
#[test]
fn unfinished_heads_are_errors() {
    check_each_lost(&heads(), &ROUTES, &ENDINGS);
}

/// Guards against a part of a body that is framed as the whole one.
#[test]
fn unfinished_bodies_are_errors() {
    check_each_lost(&bodies(), &PLAIN_ROUTES, &ENDINGS);
}

/// Guards against a part of a body that is framed as the whole one, because its coding hides where it ends.
#[test]
fn odd_codings_are_errors() {
    check_each_lost(&odd_codings(), &ROUTES, &ENDINGS);
}

/// Guards against a body without a length that was reset and is framed as whole.
#[test]
fn reset_bodies_without_length_are_errors() {
    let open_ended = ["", "half"].map(|part| format!("{BEGUN}\r\n{part}"));
    let http_1_0 = open_ended.clone().map(|text| text.replace("1.1", "1.0"));
    let resets = [Ending::Reset, Ending::LateReset];
    check_each_lost(&[open_ended, http_1_0].concat(), &PLAIN_ROUTES, &resets);
}

/// Guards against a stream that ends early and looks complete, or that has a part of an event.
#[test]
fn unfinished_streams_do_not_look_complete() {
    let mut table = Table::default();
    for (sent, count) in streams() {
        for ending in ENDINGS {
            let case = format!("{ending:?} {sent:?}");
            let played = play(vec![early(&sent, ending)], "/stream/x");
            table.check(&case, &played, &cut_stream(count), 1);
        }
    }
}

/// Guards against a stream that has only comments and looks complete.
#[test]
fn comments_alone_do_not_look_complete() {
    let mut table = Table::default();
    let begun = Got::Partial {
        body: String::new(),
    };
    for sent in comments() {
        // With an immediate reset, the entry may read nothing of the comment.
        for ending in [Ending::Close, Ending::LateReset] {
            let case = format!("{ending:?} {sent:?}");
            table.check(
                &case,
                &play(vec![early(&sent, ending)], "/stream/x"),
                &begun,
                1,
            );
        }
    }
}

/// Guards against a request that may be repeated and gets an error, or a mixture, while another endpoint works; and
/// against a repetition of one that may run once.
#[test]
fn another_endpoint_responds_in_full() {
    let mut table = Table::default();
    for sent in [heads(), bodies(), odd_codings()].concat() {
        for ending in ENDINGS {
            let case = format!("{ending:?} {sent:?}");
            let scripts = vec![early(&sent, ending), respond("200 OK", "yes")];
            let played = play(scripts.clone(), "/safe/x");
            table.check(&case, &played, &yes(), 2);
            table.check(&case, &play(scripts, "/once/x"), &lost(), 1);
        }
    }
}

/// Guards against a stream whose first endpoint ends early and that has a gap, a second copy of an event or no end,
/// while another endpoint works.
#[test]
fn another_endpoint_continues_the_stream() {
    let mut table = Table::default();
    for (sent, count) in cuts() {
        for ending in ENDINGS {
            let case = format!("{ending:?} {sent:?}");
            let rest = events(count as u64 + 1..=4, LAST_CHUNK);
            let played = play(vec![early(&sent, ending), rest], "/stream/x");
            table.check(&case, &played, &stream(4), 2);
        }
    }
}

/// Guards against a stream that looks complete because the endpoint that was to continue it ended early.
#[test]
fn unfinished_continuations_do_not_look_complete() {
    let mut table = Table::default();
    for (sent, count) in cuts() {
        for ending in ENDINGS {
            let case = format!("{ending:?} {sent:?}");
            let scripts = vec![events(1..=1, ""), early(&sent, ending)];
            let played = play(scripts, "/stream/x");
            table.check(&case, &played, &cut_stream(count.max(1)), 2);
        }
    }
}

/// Guards against a stream that no third endpoint continues after the second one ended early.
#[test]
fn a_third_endpoint_continues_the_stream() {
    let mut table = Table::default();
    for (sent, count) in cuts() {
        for ending in ENDINGS {
            let case = format!("{ending:?} {sent:?}");
            let rest = events(count.max(1) as u64 + 1..=4, LAST_CHUNK);
            let scripts = vec![events(1..=1, ""), early(&sent, ending), rest];
            table.check(&case, &play(scripts, "/stream/x"), &stream(4), 3);
        }
    }
}

/// Guards against a silent endpoint's stream that ends because the endpoint that was tried beside it ended early.
#[test]
fn unfinished_standbys_end_no_stream() {
    let mut table = Table::default();
    let head = format!("{BEGUN}Content-Type: text/event-stream\r\n");
    for sent in [
        format!("{BEGUN}Content-Le"),
        format!("{head}{CHUNKED}\r\n"),
        format!("{head}{CHUNKED}\r\n{LAST_CHUNK}"),
        format!("{head}Transfer-Encoding: identity\r\n\r\n"),
        format!("{head}\r\n"),
        format!("{head}{LENGTH}\r\nid: 3"),
    ] {
        let mut silent = events(1..=2, "");
        silent.push(Step::Pause(1500));
        silent.extend(events(3..=4, LAST_CHUNK).split_off(1));
        let played = play(vec![silent, early(&sent, Ending::Close)], "/stream/x");
        table.check(&sent, &played, &stream(4), 2);
    }
}

/// Guards against a stream that ends early and looks complete to a caller that knows no chunks: without a length, all that
/// tells it the end of a response is that of the connection.
#[test]
fn callers_of_http_1_0_get_whole_streams() {
    let mut table = Table::default();
    let text = request("/stream/x").replace("HTTP/1.1", "HTTP/1.0");
    for (tail, expected) in [(LAST_CHUNK, stream(2)), ("", lost())] {
        let played = play_all(1, vec![events(1..=2, tail)], std::slice::from_ref(&text));
        table.check(tail, &played, &expected, 1);
    }
}

/// Guards against a response that ends early on a connection that was used before and is taken for whole, or whose
/// request is not sent once more although it met the end of the connection and may be.
#[test]
fn kept_connections_end_early() {
    let mut table = Table::default();
    for sent in [heads(), bodies(), odd_codings()].concat() {
        for ending in ENDINGS {
            let case = format!("{ending:?} {sent:?}");
            let scripts = vec![kept(&sent, ending), respond("200 OK", "yes")];
            let played = play_all(1, scripts, &[request("/safe/x"), request("/safe/x")]);
            // After a faulty response, the only endpoint gets the request no more.
            match played.1 {
                2 if !sent.is_empty() => table.check(&case, &played, &lost(), 2),
                _ => table.check(&case, &played, &yes(), 3),
            }
        }
    }
    for (sent, count) in streams() {
        for ending in ENDINGS {
            let case = format!("{ending:?} {sent:?}");
            let played = play_all(
                1,
                vec![kept(&sent, ending)],
                &[request("/safe/x"), request("/stream/x")],
            );
            table.check(&case, &played, &cut_stream(count), 2);
        }
    }
}

/// Guards against an error for a response that is complete, in each form that a complete one may have.
#[test]
fn whole_responses_are_forwarded() {
    let mut table = Table::default();
    let http_1_0 = BEGUN.replace("1.1", "1.0");
    let whole = format!("{BEGUN}Content-Length: 3\r\n\r\nyes");
    for sent in [
        whole.clone(),
        format!("HTTP/1.1 100 Continue\r\n\r\n{whole}"),
        format!("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n{whole}"),
        format!("{BEGUN}Content-Length: 3\r\nContent-Length: 3\r\n\r\nyes"),
        format!("{BEGUN}{CHUNKED}\r\n3\r\nyes\r\n{LAST_CHUNK}"),
        format!("{BEGUN}{CHUNKED}{LENGTH}\r\n3\r\nyes\r\n{LAST_CHUNK}"),
        format!("{BEGUN}Transfer-Encoding: Chunked\r\n\r\n3\r\nyes\r\n{LAST_CHUNK}"),
        format!("{BEGUN}{CHUNKED}\r\n3\r\nyes\r\n0\r\nX-Trailer: x\r\n\r\n"),
        format!("{BEGUN}\r\nyes"),
        format!("{http_1_0}Content-Length: 3\r\n\r\nyes"),
        format!("{http_1_0}\r\nyes"),
        // What follows a complete response belongs to no request.
        format!("{whole}{BEGUN}"),
    ] {
        for path in PLAIN_ROUTES {
            let played = play(vec![early(&sent, Ending::Close)], path);
            table.check(&sent, &played, &yes(), 1);
        }
    }
}
