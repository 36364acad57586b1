//! Plays scripted responses to an entry, and checks what its caller gets.

use std::cell::Cell;

use sesamewing::gateway::{Catalog, Repeat};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::{
    cases::{event, KEEP},
    gateway_support::{
        addr,
        gateway::{arrivals, catalog, request, route, with_endpoints, CALLERS},
        header, Step,
    },
};

/// Faults of a table that are shown.
const SHOWN: usize = 20;

/// Routes of a request that may run once, of one that may be repeated and of a stream.
pub(crate) const ROUTES: [&str; 3] = ["/once/x", "/safe/x", "/stream/x"];

/// What a caller got.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Got {
    /// A response that is complete by its length or its last chunk.
    Whole { status: u16, body: String },
    /// A response that is not complete, with the part of its body that arrived; or nothing.
    Partial { body: String },
}

/// Returns the data of chunks, and whether the last one is among them and nothing follows it.
fn dechunk(mut body: &str) -> (String, bool) {
    let mut out = String::new();
    while let Some((size, rest)) = body.split_once("\r\n") {
        let Ok(size) = usize::from_str_radix(size, 16) else {
            break;
        };
        if size == 0 {
            return (out, rest == "\r\n");
        }
        let Some(data) = rest.get(..size) else {
            out.push_str(rest);
            break;
        };
        out.push_str(data);
        body = rest[size..].strip_prefix("\r\n").unwrap_or_default();
    }
    (out, false)
}

/// Reads a response as a caller does who trusts only its framing.
fn read(raw: &str) -> Got {
    let Some((head, body)) = raw.split_once("\r\n\r\n") else {
        return Got::Partial {
            body: String::new(),
        };
    };
    let length = header(raw, "content-length").map(|n| n.parse::<usize>().expect("a length"));
    let chunked = header(raw, "transfer-encoding").is_some();
    assert!(!(chunked && length.is_some()), "{raw}");
    let (body, whole) = match length {
        Some(length) => (body.to_owned(), body.len() == length),
        None if chunked => dechunk(body),
        None => (body.to_owned(), false),
    };
    if !whole {
        return Got::Partial { body };
    }
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok());
    let status = status.expect("a status");
    Got::Whole { status, body }
}

/// Sends a request and returns the bytes of the response.
async fn exchange(text: &str) -> String {
    let mut stream = TcpStream::connect(addr(1, CALLERS)).await.expect("entry");
    stream.write_all(text.as_bytes()).await.expect("a send");
    let mut out = Vec::new();
    // A reset is one of the ends that leave a response incomplete.
    let _ = stream.read_to_end(&mut out).await;
    String::from_utf8_lossy(&out).into_owned()
}

/// Returns the test's catalog with routes that allow a number of attempts.
fn catalog_of(attempts: u32) -> Catalog {
    let mut catalog = catalog();
    catalog.routes.clear();
    let kinds = [Repeat::Once, Repeat::Idempotent, Repeat::Resume];
    for (path, repeat) in ROUTES.into_iter().zip(kinds) {
        let mut route = route(path.trim_end_matches('x'), repeat);
        route.attempts = attempts;
        catalog.add_route("h.example", route);
    }
    catalog
}

/// Sends requests, one after another, through an entry with `endpoints` endpoints; the connection that is
/// used n-th gets the n-th script, further ones the last. Returns the last response and the number of requests that
/// reached endpoints.
pub(crate) fn play_all(
    endpoints: usize,
    scripts: Vec<Vec<Step>>,
    requests: &[String],
) -> (String, usize) {
    let attempts = scripts.len() as u32;
    let used = Cell::new(0);
    let last = scripts.len() - 1;
    let pick = move |_: &str| scripts[used.replace(used.get() + 1).min(last)].clone();
    let result = Cell::new(None);
    with_endpoints(catalog_of(attempts), endpoints, pick, |seen| {
        let result = &result;
        async move {
            let mut raw = String::new();
            for text in requests {
                raw = exchange(text).await;
            }
            result.set(Some((raw, arrivals(&seen))));
        }
    });
    result.take().expect("a result")
}

/// Sends one request through an entry with an endpoint for each script; the request is sent to endpoints as often as
/// there are scripts, and the n-th attempt gets the n-th one.
pub(crate) fn play(scripts: Vec<Vec<Step>>, path: &str) -> (String, usize) {
    play_all(scripts.len(), scripts, &[request(path)])
}

/// Returns what a caller gets of a complete response of a sound endpoint.
pub(crate) fn yes() -> Got {
    Got::Whole {
        status: 200,
        body: "yes".to_owned(),
    }
}

/// Returns what a caller gets if the request may have run and no endpoint's response is forwarded.
pub(crate) fn lost() -> Got {
    Got::Whole {
        status: 502,
        body: "the response of the endpoint was lost; the request may have run\n".to_owned(),
    }
}

/// Returns what a caller gets of a complete stream with so many events, each once.
pub(crate) fn stream(count: usize) -> Got {
    let body = (1..=count).map(event).collect();
    Got::Whole { status: 200, body }
}

/// Returns what a caller gets of a stream that is cut after so many events.
pub(crate) fn cut_stream(count: usize) -> Got {
    match count {
        0 => lost(),
        _ => Got::Partial {
            body: (1..=count).map(event).collect(),
        },
    }
}

/// Cases of a test, each of which is a response and what follows from it.
#[derive(Default)]
pub(crate) struct Table {
    cases: usize,
    faults: Vec<String>,
}

impl Table {
    /// Checks what the caller got, and the number of requests that reached endpoints.
    pub(crate) fn check(
        &mut self,
        case: &str,
        (raw, found): &(String, usize),
        expected: &Got,
        count: usize,
    ) {
        self.cases += 1;
        let mut got = read(raw);
        let (Got::Whole { body, .. } | Got::Partial { body }) = &mut got;
        *body = body.replace(KEEP, "");
        let proven = header(raw, "x-endpoint-proof").is_some();
        let sound = match expected {
            Got::Whole { status: 502, .. } => !proven && header(raw, "retry-after").is_none(),
            _ => proven,
        };
        if got != *expected || *found != count || !sound {
            self.faults.push(format!(
                "{case}: {found} requests reached endpoints; {raw:?}"
            ));
        }
    }
}

impl Drop for Table {
    fn drop(&mut self) {
        let (count, cases) = (self.faults.len(), self.cases);
        if !std::thread::panicking() {
            let some = &self.faults[..count.min(SHOWN)];
            assert_eq!(count, 0, "of {cases} cases:\n{}", some.join("\n"));
        }
    }
}
