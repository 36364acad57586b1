//! `sesamewing explain` against an entry: explanations that change nothing, limits, and invalid input.

mod gateway_support;

use std::{future::Future, process::Stdio, time::Duration};

use gateway_support::{
    addr,
    gateway::{
        arrivals, catalog, catalog_of_engines, request, respond, settings, start_entry, with_store,
        CALLERS,
    },
    header,
    lines::{collect_lines, take_lines},
    run_local, send_request, set_catalog, MemoryStore,
};
use sesamewing::{
    base::Millis,
    decide::{explanation_limit::ExplanationLimit, memory::Tokens},
    gateway::{
        Decision, ExplainReply, Explanation, Repeat, Standing, Topic, EXPLAIN_BUILD,
        EXPLANATION_MAX,
    },
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    process::Command,
    time::sleep,
};

/// Time after which the entry explains again.
const WINDOW: Duration = Duration::from_millis(1050);

/// A key that no workspace has.
const SECRET: &str = "sesame-secret-4711";

/// What a run of the program printed and returned.
#[derive(Debug)]
struct Run {
    code: i32,
    out: String,
    err: String,
}

async fn sesamewing(args: &[&str]) -> Run {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sesamewing"));
    let out = command.args(args).stdin(Stdio::null()).output().await;
    let out = out.expect("it runs");
    Run {
        code: out.status.code().expect("an exit code"),
        out: String::from_utf8(out.stdout).expect("text"),
        err: String::from_utf8(out.stderr).expect("text"),
    }
}

fn metrics_addr() -> String {
    settings().listen.metrics.expect("an address").to_string()
}

/// Runs `explain` for a path, with further options.
async fn explain(path: &str, more: &[&str]) -> Run {
    let entry = metrics_addr();
    let mut args = vec!["explain", &entry, "--host", "h.example", "--path", path];
    args.extend(more);
    sesamewing(&args).await
}

/// Returns the explanation that `explain --json` prints.
async fn explanation(path: &str, more: &[&str]) -> Explanation {
    let mut args = vec!["--key", "key", "--json"];
    args.extend(more);
    let run = explain(path, &args).await;
    assert_eq!((run.code, run.err.as_str()), (0, ""), "{run:?}");
    let reply: ExplainReply = serde_json::from_str(&run.out).expect("JSON");
    assert_eq!(reply.build, EXPLAIN_BUILD);
    reply.explanation.expect("an explanation")
}

/// Runs a test against an entry with two endpoints in its zone and one in zone `b`, and checks that none got a request.
fn with_entry<F: Future<Output = ()>>(test: impl FnOnce(MemoryStore) -> F) {
    let store = MemoryStore::default();
    let scripts = vec![respond("200 OK", "yes"), respond("200 OK", "yes")];
    let far = format!("plain {} b m 3", addr(14, 9000));
    store.write(Topic::Endpoints, "far", &far);
    with_store(store, catalog(), scripts, |seen, store| async move {
        test(store).await;
        assert_eq!(arrivals(&seen), 0, "an explanation was sent to an endpoint");
    });
}

async fn metrics() -> String {
    let addr = settings().listen.metrics.expect("an address");
    let text = "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    let res = send_request(addr, text, 1000).await;
    let body = res.split("\r\n\r\n").nth(1).expect("a body").to_owned();
    let lines = body.lines().filter(|l| !l.contains("log_lines_left_out"));
    lines.map(|l| format!("{l}\n")).collect()
}

/// Sends a request for an explanation as the program does.
async fn post(body: &str) -> String {
    let addr = settings().listen.metrics.expect("an address");
    let text = format!(
        "POST /explain HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    send_request(addr, &text, 1000).await
}

const BODY: &str = r#"{"host":"h.example","path":"/safe/x","key":"key","prompt":0,"output":0}"#;

/// Guards against an explanation of a request that is larger than the memory of all endpoints by which it might be served
/// later, while the entry rejects it for good.
#[test]
fn too_large_requests_are_explained() {
    let mut limited = catalog();
    for service in limited.services.values_mut() {
        service.memory = Some(Tokens(100));
    }
    let scripts = vec![respond("200 OK", "yes")];
    with_store(MemoryStore::default(), limited, scripts, |_, _| async {
        let e = explanation("/safe/x", &["--prompt", "101"]).await;
        let Decision::Reject {
            status,
            retry_after_s,
            ..
        } = e.decision
        else {
            panic!("{e:?}");
        };
        assert_eq!((status, retry_after_s), (413, None));
        assert_eq!(e.endpoints[0].standing, Standing::Excluded);
    });
}

/// Guards against an explanation that lacks the choice or the state of an endpoint, prints the key, or changes counters.
#[test]
fn choices_are_explained() {
    with_entry(|_| async {
        let before = metrics().await;
        let run = explain("/safe/x", &["--key", "key", "--prompt", "12"]).await;
        assert_eq!((run.code, run.err.as_str()), (0, ""), "{run:?}");
        for wanted in [
            "request    h.example/safe/x, 12 prompt tokens",
            "service plain",
            "workspace  w",
            "evacuated  no zone",
            "decision   send to e",
            "ENDPOINT",
        ] {
            assert!(run.out.contains(wanted), "{wanted}: {}", run.out);
        }
        assert!(!run.out.contains("key"), "{run:?}");
        let e = explanation("/safe/x", &[]).await;
        let Decision::Send { endpoint, .. } = &e.decision else {
            panic!("{e:?}");
        };
        assert_eq!(e.endpoints.len(), 3);
        assert_eq!(e.endpoints[0].standing, Standing::Chosen);
        assert_eq!(e.endpoints[0].id, *endpoint);
        assert!(e.possible > 0 && !e.may_reject, "{e:?}");
        let far = e.endpoints.iter().find(|e| e.id == "far");
        assert_eq!(far.map(|e| e.standing), Some(Standing::Behind), "{e:?}");
        let e = explanation("/safe/x", &["--zone", "b"]).await;
        let listed: Vec<_> = e.endpoints.iter().map(|e| e.id.as_str()).collect();
        assert_eq!(listed, ["far"]);
        assert!(matches!(e.decision, Decision::Send { .. }), "{e:?}");
        assert_eq!(metrics().await, before);
    });
}

/// Guards against a rejection that the explanation does not announce, or with another reason.
#[test]
fn rejections_are_explained() {
    with_entry(|store| async move {
        for zone in ["a", "b"] {
            store.write(Topic::Operator, &format!("evacuate/{zone}"), "1");
        }
        sleep(Duration::from_millis(500)).await;
        let e = explanation("/safe/x", &[]).await;
        assert_eq!(e.evacuated_zones, ["a", "b"]);
        assert_eq!(e.excluded.get("evacuated"), Some(&3), "{e:?}");
        let Decision::Reject {
            status,
            text,
            retry_after_s,
            ..
        } = &e.decision
        else {
            panic!("{e:?}");
        };
        assert_eq!(*status, 503);
        assert!(retry_after_s.is_some_and(|s| s > 0.0 && s < 3.0), "{e:?}");
        let res = send_request(addr(1, CALLERS), &request("/safe/x"), 2000).await;
        assert!(res.starts_with("HTTP/1.1 503"), "{res}");
        let body = res.split("\r\n\r\n").nth(1).expect("a body");
        let reason = |text: &str| text.split(';').next().map(str::to_owned);
        assert_eq!(reason(body), reason(text), "{res}");
        let run = explain("/safe/x", &["--key", "key"]).await;
        assert_eq!(run.code, 0, "{run:?}");
        assert!(
            run.out.contains("decision   reject with 503: not run"),
            "{run:?}"
        );
        assert!(run.out.contains("its zone is evacuated"), "{run:?}");
    });
}

/// Guards against a rejection, or its explanation, that counts requests which were withheld just before the send: none was
/// about to be sent.
#[test]
fn rejections_withhold_nothing() {
    let store = MemoryStore::default();
    store.write(Topic::Operator, "evacuate/a", "1");
    store.write(Topic::Operator, "m", "4");
    let scripts = vec![respond("200 OK", "yes")];
    with_store(store, catalog_of_engines(1.0), scripts, |_, _| async {
        let withheld = "gateway_evacuation_withheld_total 0\n";
        let before = metrics().await;
        assert!(before.contains(withheld), "{before}");
        let e = explanation("/safe/x", &["--model", "m"]).await;
        assert!(matches!(e.decision, Decision::Reject { .. }), "{e:?}");
        assert_eq!(metrics().await, before);
        let text = request("/safe/x").replace("\r\nConnection", "\r\nX-Model: m\r\nConnection");
        let res = send_request(addr(1, CALLERS), &text, 2000).await;
        assert!(res.starts_with("HTTP/1.1 503"), "{res}");
        let after = metrics().await;
        assert!(after.contains(withheld), "{after}");
    });
}

/// Checks that a run failed for invalid input: one clear line, and no key.
fn assert_invalid(run: &Run, wanted: &str) {
    assert_eq!(run.code, 2, "{run:?}");
    assert!(run.err.contains(wanted), "{wanted}: {run:?}");
    assert_eq!(run.err.lines().count(), 1, "{run:?}");
    assert!(run.out.is_empty(), "{run:?}");
    assert!(!run.err.contains(SECRET), "{run:?}");
}

/// Guards against invalid input that ends with another code, without a reason, or with the key in the output or the log.
#[test]
fn invalid_input_is_named() {
    collect_lines();
    with_entry(|_| async {
        let key = ["--key", SECRET];
        assert_invalid(&explain("/none/x", &key).await, "no route matches");
        assert_invalid(&explain("/safe/x", &key).await, "belongs to no workspace");
        assert_invalid(&explain("/safe/x", &[]).await, "add `--key KEY`");
        let zone = ["--key", "key", "--zone", "q"];
        assert_invalid(
            &explain("/safe/x", &zone).await,
            "no endpoint of service plain",
        );
        let run = sesamewing(&[
            "explain", "x", "--host", "h", "--path", "/", "--key", SECRET,
        ])
        .await;
        assert_invalid(&run, "`x` is not the address");
        sleep(WINDOW).await;
        assert_invalid(&explain("safe/x", &key).await, "begins with `/`");
        assert_invalid(
            &explain("/safe/x", &["--key", "k\ney"]).await,
            "`--key` is not a key",
        );
        assert_invalid(
            &explain("/safe/x", &["--prompt", "many"]).await,
            "--prompt `many`",
        );
        assert_invalid(&explain("/safe/x", &["--kye", SECRET]).await, "'kye'");
        let run = sesamewing(&["explain", &metrics_addr(), "--key", SECRET]).await;
        assert_invalid(&run, "`--host` is missing");
        let res = post(&BODY.replace("\"key\",", &format!("[\"{SECRET}\"],"))).await;
        assert!(
            res.starts_with("HTTP/1.1 400") && !res.contains(SECRET),
            "{res}"
        );
        let get = "GET /explain HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let addr = settings().listen.metrics.expect("an address");
        assert!(send_request(addr, get, 1000)
            .await
            .starts_with("HTTP/1.1 405"));
    });
    let logged = take_lines().concat();
    assert!(!logged.is_empty());
    assert!(!logged.contains(SECRET), "{logged}");
}

/// Listens once and replies with a text.
async fn reply_once(text: String) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let addr = listener.local_addr().expect("bound");
    tokio::task::spawn_local(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut head = [0; 4096];
        let _ = stream.read(&mut head).await;
        let _ = stream.write_all(text.as_bytes()).await;
    });
    addr.to_string()
}

fn response(status: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n{body}")
}

/// Guards against a response of something else, or of another build, that is taken for an explanation, and against an
/// unreachable entry that is reported as anything else.
#[test]
fn other_responses_are_refused() {
    run_local(async {
        let large = "x".repeat(EXPLANATION_MAX + 1);
        let mine = format!("{{\"build\":\"{EXPLAIN_BUILD}\"}}");
        let part = format!("{{\"build\":\"{EXPLAIN_BUILD}\",\"explanation\":{{\"entry\":\"e\"}}}}");
        for (text, wanted) in [
            (response("404 Not Found", ""), "not from this build"),
            (response("200 OK", "hello"), "not from this build"),
            (
                response("200 OK", "{\"build\":\"sesamewing 9\"}"),
                "but from `sesamewing 9`",
            ),
            (response("200 OK", &mine), "not from this build"),
            (response("200 OK", &part), "not from this build"),
            (response("200 OK", &large), "too large"),
            ("nonsense\r\n\r\n".to_owned(), "no entry is reached"),
        ] {
            let entry = reply_once(text).await;
            let args = [
                "explain", &entry, "--host", "h", "--path", "/", "--key", SECRET,
            ];
            assert_invalid(&sesamewing(&args).await, wanted);
        }
        let closed = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let entry = closed.local_addr().expect("bound").to_string();
        drop(closed);
        let args = [
            "explain", &entry, "--host", "h", "--path", "/", "--key", SECRET,
        ];
        assert_invalid(&sesamewing(&args).await, "no entry is reached");
    });
}

/// Guards against explanations that slow an entry down: more than four in a second, or a reply above 64 KiB.
#[test]
fn explanations_are_limited() {
    run_local(async {
        let store = MemoryStore::default();
        let mut all = catalog();
        all.add_route(
            "h.example",
            gateway_support::gateway::route("/safe/", Repeat::Idempotent),
        );
        set_catalog(all);
        for i in 0..1200 {
            let value = format!("plain {} a m 3", addr(10, 9000));
            store.write(Topic::Endpoints, &format!("endpoint-{i:04}"), &value);
        }
        store.write(Topic::Operator, "config", "1");
        start_entry(1, store).await;
        let e = explanation("/safe/x", &[]).await;
        assert!(e.omitted > 0 && e.endpoints.len() + e.omitted == 1200);
        assert_eq!(e.endpoints[0].standing, Standing::Chosen);
        sleep(WINDOW).await;
        for _ in 0..4 {
            let res = post(BODY).await;
            assert!(res.starts_with("HTTP/1.1 200"), "{res}");
            let body = res.split_once("\r\n\r\n").expect("a body").1;
            assert!(body.len() <= EXPLANATION_MAX, "{}", body.len());
            assert!(body.len() > EXPLANATION_MAX - 1000, "{}", body.len());
        }
        let res = post(BODY).await;
        assert!(res.starts_with("HTTP/1.1 429"), "{res}");
        let wait: f64 = header(&res, "retry-after")
            .and_then(|v| v.parse().ok())
            .expect("a time");
        assert!(wait > 0.0 && wait <= 1.0, "{wait}");
        assert_invalid(&explain("/safe/x", &[]).await, "4 explanations per second");
    });
}

/// Guards against more than four explanations in any second, and against an entry that explains none after a refusal.
#[test]
fn limit_counts_any_second() {
    let mut limit = ExplanationLimit::default();
    for at in [0, 10, 600, 900] {
        assert_eq!(limit.take(Millis(at)), Ok(()));
    }
    assert_eq!(limit.take(Millis(950)), Err(Millis(50)));
    assert_eq!(limit.take(Millis(1000)), Ok(()));
    assert_eq!(limit.take(Millis(1005)), Err(Millis(5)));
    assert_eq!(limit.take(Millis(1010)), Ok(()));
    assert_eq!(limit.take(Millis(1599)), Err(Millis(1)));
    assert_eq!(limit.take(Millis(9000)), Ok(()));
}
