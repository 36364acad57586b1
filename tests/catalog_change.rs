//! Requests in progress while a new catalog takes force: each keeps the route, the time-out and the limits of the catalog
//! with which it was accepted, and has a response.

mod gateway_support;

use std::{cell::Cell, rc::Rc, time::Duration};

use gateway_support::{
    addr,
    gateway::{catalog, events, request, respond, route, CALLERS, HELD, MODEL},
    run_local, send_request, set_catalog, MemoryStore, Step,
};
use sesamewing::{
    base::{HashMap, Millis},
    gateway::{Catalog, CatalogVersion, Repeat, Route, Topic, WorkspaceSpec},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::spawn_local,
    time::{sleep, timeout},
};

/// Size of a long body, and of the parts in which a caller sends it.
const BODY: usize = 256 << 10;
const PART: usize = 16 << 10;

/// Time between two parts of a long body.
const PART_PAUSE: Duration = Duration::from_millis(5);

/// Time from the arrival of a request at an endpoint to the first step that matters; a new catalog takes force in it.
const AT_WORK: u64 = 400;

/// Time after a route's timeout within which a request has its response.
const GRACE: Duration = Duration::from_millis(500);

/// Longest time that a test waits for a response that must come.
const PATIENCE: Duration = Duration::from_secs(4);

/// A change of the configuration that may concern a request in progress.
type Change = (&'static str, fn(&mut Catalog));

fn edit_routes(catalog: &mut Catalog, edit: impl Fn(&mut Route)) {
    for list in catalog.routes.values_mut() {
        for route in list {
            edit(Rc::make_mut(route));
        }
    }
}

const CHANGES: [Change; 12] = [
    ("routes gone", |c| c.routes.clear()),
    ("keys gone", |c| c.keys = Some(HashMap::default())),
    ("keys not needed", |c| c.keys = None),
    ("key of another workspace", |c| {
        let spec = WorkspaceSpec {
            name: "other".parse().expect("a valid name"),
            priority: Some(9),
            allowed_regions: None,
        };
        let keys = c.keys.get_or_insert_default();
        keys.insert("key".into(), Rc::new(spec));
    }),
    ("services gone", |c| c.services.clear()),
    ("other service", |c| {
        edit_routes(c, |r| {
            r.targets = vec![("other".parse().expect("a valid name"), 1)];
        });
    }),
    ("short timeout", |c| {
        edit_routes(c, |r| r.timeout = Millis(1));
    }),
    ("one attempt", |c| edit_routes(c, |r| r.attempts = 1)),
    ("other type", |c| {
        edit_routes(c, |r| {
            r.repeat = Repeat::Once;
            r.streaming = false;
        });
    }),
    ("short objective", |c| {
        edit_routes(c, |r| r.objective = Millis(1));
    }),
    ("small limits", |c| {
        c.limits.body_max = 0;
        c.limits.header_max = 1;
    }),
    ("short limits", |c| {
        c.limits.send_time = Millis(1);
        c.limits.idle_time = Millis(1);
    }),
];

/// The store and the version of the catalog in force.
struct Operator {
    store: MemoryStore,
    version: Cell<u64>,
}

impl Operator {
    /// Puts a catalog in force, and returns once it is.
    async fn apply(&self, change: impl FnOnce(&mut Catalog)) {
        let version = self.version.get() + 1;
        self.version.set(version);
        let mut catalog = catalog();
        change(&mut catalog);
        catalog.version = CatalogVersion(version);
        // A request on this route shows that the catalog is in force.
        let mut probe = route(&format!("/v{version}/"), Repeat::Once);
        probe.public = true;
        probe.targets = vec![("none".parse().expect("a valid name"), 1)];
        catalog.add_route("probe.example", probe);
        set_catalog(catalog);
        self.store.write(Topic::Operator, "config", "changed");
        let text = format!(
            "GET /v{version}/ HTTP/1.1\r\nHost: probe.example\r\nX-Request-Id: p\r\n\
             Connection: close\r\n\r\n"
        );
        while !send_request(addr(1, CALLERS), &text, 1000)
            .await
            .contains(" 503 ")
        {
            sleep(Duration::from_millis(5)).await;
        }
    }
}

/// Runs a test against an entry with two endpoints that choose their script by the request.
fn with_operator<F: std::future::Future<Output = ()>>(
    pick: impl Fn(&str) -> Vec<Step> + 'static,
    test: impl FnOnce(Operator) -> F,
) {
    run_local(async {
        let pick = Rc::new(pick);
        let store = MemoryStore::default();
        for n in [10, 11] {
            let at = addr(n, 9000);
            gateway_support::endpoint_with(at, pick.clone()).await;
            let record = format!("plain {at} a {MODEL} {HELD}");
            store.write(Topic::Endpoints, &format!("e{n}"), &record);
        }
        set_catalog(catalog());
        store.write(Topic::Operator, "config", "1");
        gateway_support::gateway::start_entry(1, store.clone()).await;
        test(Operator {
            store,
            version: Cell::new(1),
        })
        .await;
    });
}

async fn connect() -> TcpStream {
    let stream = TcpStream::connect(addr(1, CALLERS)).await;
    stream.expect("a connection")
}

/// Reads until the peer closes the connection; an error ends the text.
async fn read_all(stream: &mut TcpStream) -> String {
    let mut out = Vec::new();
    let _ = timeout(PATIENCE, stream.read_to_end(&mut out)).await;
    String::from_utf8_lossy(&out).into_owned()
}

/// Returns the head of a request with a body of [`BODY`] bytes.
fn long_head(path: &str, key: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r1\r\nX-Deadline-Ms: 2500\r\n\
         X-Workspace-Key: {key}\r\nContent-Length: {BODY}\r\nConnection: close\r\n\r\n"
    )
}

/// Sends a body in parts.
async fn send_parts(stream: &mut TcpStream, mut left: usize) -> std::io::Result<()> {
    while left > 0 {
        let part = left.min(PART);
        stream.write_all(&[b'x'; PART][..part]).await?;
        left -= part;
        sleep(PART_PAUSE).await;
    }
    Ok(())
}

/// Guards against a rejection that closes the connection while its request still arrives, so that the caller's request is
/// whole and gets a reset instead of the response.
#[test]
fn rejected_long_bodies_are_read() {
    with_operator(
        |_| respond("200 OK", "yes"),
        |operator| async move {
            operator.apply(|c| c.limits.body_max = BODY).await;
            let cases = [
                ("no route", "/gone/x", "key", " 404 "),
                ("no key", "/once/x", "gone", " 401 "),
            ];
            for (name, path, key, status) in cases {
                let mut stream = connect().await;
                let head = long_head(path, key);
                let sent = stream.write_all(head.as_bytes()).await;
                sent.expect("the head is sent");
                let sent = send_parts(&mut stream, BODY).await;
                assert!(sent.is_ok(), "{name}: the body meets {sent:?}");
                let got = read_all(&mut stream).await;
                assert!(got.contains(status), "{name}: `{got}`");
            }
        },
    );
}

/// Like `rejected_long_bodies_are_read`, for a body above the limit of the catalog.
#[test]
fn bodies_above_the_limit_are_read() {
    with_operator(
        |_| respond("200 OK", "yes"),
        |operator| async move {
            operator.apply(|c| c.limits.body_max = BODY - 1).await;
            let mut stream = connect().await;
            let head = long_head("/once/x", "key");
            let sent = stream.write_all(head.as_bytes()).await;
            sent.expect("the head is sent");
            let sent = send_parts(&mut stream, BODY).await;
            assert!(sent.is_ok(), "the body meets {sent:?}");
            let got = read_all(&mut stream).await;
            assert!(got.contains(" 413 "), "`{got}`");
        },
    );
}

/// Guards against a kept connection that is closed after a rejection although the caller sent its whole request.
#[test]
fn rejections_keep_the_connection() {
    with_operator(
        |_| respond("200 OK", "yes"),
        |_| async move {
            let mut stream = connect().await;
            for path in ["/gone/x", "/once/x"] {
                let text = request(path).replace("Connection: close\r\n", "");
                let (head, body) = text.split_at(text.len() - 2);
                stream.write_all(head.as_bytes()).await.expect("head");
                sleep(Duration::from_millis(50)).await;
                stream.write_all(body.as_bytes()).await.expect("body");
                let mut part = [0; 1024];
                let read = timeout(PATIENCE, stream.read(&mut part)).await;
                let len = read.expect("in time").expect("a response");
                assert!(len > 0, "{path}: the connection was closed");
            }
        },
    );
}

/// Guards against a request whose body arrives slowly and that is handled by a newer catalog than the one in force when it
/// began, or gets no response.
#[test]
fn slow_bodies_keep_their_catalog() {
    with_operator(
        |_| respond("200 OK", "yes"),
        |operator| async move {
            for (name, change) in CHANGES {
                operator.apply(|_| {}).await;
                let mut stream = connect().await;
                let text = request("/once/x");
                let (first, second) = text.split_at(text.len() - 1);
                stream.write_all(first.as_bytes()).await.expect("a part");
                sleep(Duration::from_millis(50)).await;
                operator.apply(change).await;
                stream.write_all(second.as_bytes()).await.expect("a part");
                let got = read_all(&mut stream).await;
                assert!(got.ends_with("yes"), "{name}: `{got}`");
            }
        },
    );
}

/// Guards against a request that is cut or changed at its endpoint by a new catalog.
#[test]
fn running_requests_keep_their_catalog() {
    let pick = |_: &str| {
        let mut script = vec![Step::Pause(AT_WORK)];
        script.extend(respond("200 OK", "yes"));
        script
    };
    with_operator(pick, |operator| async move {
        for (name, change) in CHANGES {
            operator.apply(|_| {}).await;
            let caller = spawn_local(send_request_of("/once/x"));
            sleep(Duration::from_millis(50)).await;
            operator.apply(change).await;
            let got = caller.await.expect("the caller ends");
            assert!(got.ends_with("yes"), "{name}: `{got}`");
        }
    });
}

/// Sends a short request and returns the response.
async fn send_request_of(path: &'static str) -> String {
    send_request(addr(1, CALLERS), &request(path), 4000).await
}

/// Guards against a request that is not repeated, or repeated elsewhere, because a new catalog takes force before its
/// endpoint fails.
#[test]
fn repeated_requests_keep_their_catalog() {
    let arrived = Cell::new(0);
    let pick = move |_: &str| {
        arrived.set(arrived.get() + 1);
        if arrived.get() % 2 == 1 {
            return vec![Step::Pause(AT_WORK / 2)];
        }
        respond("200 OK", "yes")
    };
    with_operator(pick, |operator| async move {
        for (name, change) in CHANGES {
            operator.apply(|_| {}).await;
            let caller = spawn_local(send_request_of("/safe/x"));
            sleep(Duration::from_millis(50)).await;
            operator.apply(change).await;
            let got = caller.await.expect("the caller ends");
            assert!(got.ends_with("yes"), "{name}: `{got}`");
        }
    });
}

/// Guards against a stream that is cut because a new catalog takes force before its endpoint fails.
#[test]
fn resumed_streams_keep_their_catalog() {
    let pick = |request: &str| {
        if request.to_ascii_lowercase().contains("last-event-id: 2") {
            return events(3..=4, "0\r\n\r\n");
        }
        let mut script = events(1..=2, "");
        script.push(Step::Pause(AT_WORK));
        script
    };
    with_operator(pick, |operator| async move {
        for (name, change) in CHANGES {
            operator.apply(|_| {}).await;
            let caller = spawn_local(send_request_of("/stream/x"));
            sleep(Duration::from_millis(50)).await;
            operator.apply(change).await;
            let got = caller.await.expect("the caller ends");
            assert!(got.ends_with("0\r\n\r\n"), "{name}: `{got}`");
            let whole = (1..=4).all(|id| got.contains(&format!("id: {id}\n")));
            assert!(whole, "{name}: `{got}`");
        }
    });
}

/// Guards against a request that is held past a timeout that became shorter before it was sent.
#[test]
fn shorter_timeout_holds_for_the_next_request() {
    let pick = |_: &str| vec![Step::Pause(AT_WORK), Step::AwaitClose];
    with_operator(pick, |operator| async move {
        let timeouts = [Millis(300), Millis(600), Millis(100)];
        for limit in timeouts {
            let shorten = |c: &mut Catalog| edit_routes(c, |r| r.timeout = limit);
            operator.apply(shorten).await;
            let start = tokio::time::Instant::now();
            let got = send_request_of("/once/x").await;
            assert!(got.contains(" 504 "), "{limit}: `{got}`");
            let time = start.elapsed();
            assert!(
                time < limit.duration() + GRACE,
                "{limit}: {} ms",
                time.as_millis()
            );
        }
    });
}

/// Guards against a request that has no response half a second after its route's timeout, because its body arrives slowly
/// and the limits of a catalog allow more time for it than the route does.
#[test]
fn slow_bodies_end_with_the_timeout() {
    with_operator(
        |_| respond("200 OK", "yes"),
        |operator| async move {
            let limit = Millis(400);
            let change = |c: &mut Catalog| {
                c.limits.send_time = Millis(5000);
                edit_routes(c, |r| r.timeout = limit);
            };
            operator.apply(change).await;
            let mut stream = connect().await;
            let text = request("/once/x");
            let start = tokio::time::Instant::now();
            let first = &text.as_bytes()[..text.len() - 1];
            stream.write_all(first).await.expect("a part");
            let got = read_all(&mut stream).await;
            assert!(got.contains(" 408 "), "`{got}`");
            let time = start.elapsed();
            assert!(
                time < limit.duration() + GRACE,
                "{} ms after the start",
                time.as_millis()
            );
        },
    );
}

/// Number of requests in progress while the process gets no processor, and the time between two of them.
const CALLS: usize = 40;
const CALL_PAUSE: Duration = Duration::from_millis(15);

/// Time for which the decoding of a large catalog keeps the only thread.
const DECODING: Duration = Duration::from_millis(700);

/// Guards against requests without a response while a large catalog is decoded, which keeps the only thread: requests that
/// wait for their endpoint, that are being read, that lie unread in their connections, and streams.
#[test]
fn requests_live_through_the_decoding_of_a_catalog() {
    let pick = |request: &str| {
        let mut script = vec![Step::Pause(200)];
        if request.contains("/stream/") {
            script.extend(events(1..=4, "0\r\n\r\n"));
        } else {
            script.extend(respond("200 OK", "yes"));
        }
        script
    };
    with_operator(pick, |operator| async move {
        for limit in [Millis(3000), Millis(500)] {
            let change = |c: &mut Catalog| edit_routes(c, |r| r.timeout = limit);
            operator.apply(change).await;
            // The timeout of some requests ends while the thread is kept.
            let ends = limit.duration() < DECODING;
            let paths = ["/once/x", "/safe/x", "/stream/x"];
            let paths = &paths[..if ends { 2 } else { 3 }];
            let mut callers = Vec::new();
            for i in 0..CALLS {
                callers.push(spawn_local(send_request_of(paths[i % paths.len()])));
                if i == CALLS / 2 {
                    std::thread::sleep(DECODING);
                    operator.store.write(Topic::Operator, "config", "same");
                }
                sleep(CALL_PAUSE).await;
            }
            for caller in callers {
                let got = caller.await.expect("the caller ends");
                let answered = got.ends_with("yes") || got.ends_with("0\r\n\r\n");
                let rejected = got.contains(" 503 ") || (ends && got.contains(" 504 "));
                assert!(answered || rejected, "{limit}: `{got}`");
            }
        }
    });
}

/// Guards against requests without a response while catalogs follow each other at once.
#[test]
fn requests_live_through_quick_catalogs() {
    let pick = |_: &str| {
        let mut script = vec![Step::Pause(50)];
        script.extend(respond("200 OK", "yes"));
        script
    };
    with_operator(pick, |operator| async move {
        let mut callers = Vec::new();
        for i in 0..CALLS {
            callers.push(spawn_local(send_request_of("/once/x")));
            let (_, change) = CHANGES[i % CHANGES.len()];
            operator.apply(change).await;
        }
        let mut answered = 0;
        for caller in callers {
            let got = caller.await.expect("the caller ends");
            assert!(got.starts_with("HTTP/1.1 "), "`{got}`");
            answered += usize::from(got.ends_with("yes"));
        }
        assert!(answered > 0);
    });
}

/// Guards against requests without a response at a service whose endpoints leave while they are at work, and against
/// anything but a rejection after that.
#[test]
fn service_without_endpoints_rejects() {
    let pick = |_: &str| {
        let mut script = vec![Step::Pause(AT_WORK)];
        script.extend(respond("200 OK", "yes"));
        script
    };
    with_operator(pick, |operator| async move {
        let running = spawn_local(send_request_of("/once/x"));
        sleep(Duration::from_millis(50)).await;
        for n in [10, 11] {
            operator.store.write(Topic::Endpoints, &format!("e{n}"), "");
        }
        operator.apply(|c| c.services.clear()).await;
        let got = running.await.expect("the caller ends");
        assert!(got.ends_with("yes"), "`{got}`");
        sleep(Duration::from_millis(800)).await;
        let got = send_request_of("/once/x").await;
        assert!(got.contains(" 503 "), "`{got}`");
    });
}
