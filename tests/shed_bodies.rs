//! Rejections of requests whose bodies do not fit into the memory for callers.

mod gateway_support;

use std::{rc::Rc, time::Duration};

use gateway_support::{
    addr, endpoint,
    gateway::{arrivals, catalog, request, respond, settings, start_with, CALLERS, HELD, MODEL},
    header, run_local, send_request, set_catalog, MemoryStore, Seen, Step,
};
use sesamewing::{
    base::Size,
    gateway::{HostLimits, Topic},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};

/// Memory of the host, in bytes; callers get a quarter of it.
const MEMORY: u64 = 2 << 20;

/// Size of a body of which two do not fit, in bytes.
const BODY: usize = 250 << 10;

/// Time after which a body without progress is stalled.
const STALL: Duration = Duration::from_millis(1200);

const LIMIT: Duration = Duration::from_secs(5);

/// Starts an entry with little memory, and an endpoint with a script.
async fn start(script: Vec<Step>) -> Vec<Rc<Seen>> {
    let seen = endpoint(addr(10, 9000), script).await;
    let store = MemoryStore::default();
    set_catalog(catalog());
    let value = format!("plain {} a {MODEL} {HELD}", addr(10, 9000));
    store.write(Topic::Endpoints, "e0", &value);
    store.write(Topic::Operator, "config", "1");
    let mut settings = settings();
    settings.host = HostLimits {
        memory: Size(MEMORY),
        ..HostLimits::default()
    };
    start_with(settings, store).await;
    vec![seen]
}

/// Returns a request with a large body.
fn large() -> String {
    let length = format!("Content-Length: {BODY}");
    let text = request("/safe/x").replace("Content-Length: 2", &length);
    text.strip_suffix("hi").expect("a body").to_owned() + &"x".repeat(BODY)
}

/// Sends all of a request but its last bytes.
async fn send_unfinished() -> TcpStream {
    let mut stream = TcpStream::connect(addr(1, CALLERS)).await.expect("one");
    let text = large();
    let sent = stream.write_all(&text.as_bytes()[..text.len() - 5]).await;
    sent.expect("the entry reads");
    stream
}

async fn read_all(stream: &mut TcpStream) -> String {
    let mut out = Vec::new();
    let read = timeout(LIMIT, stream.read_to_end(&mut out)).await;
    read.expect("an end").expect("no reset");
    String::from_utf8_lossy(&out).into_owned()
}

/// Guards against a rejection that a caller cannot act on, and against a rejected request that reaches an endpoint.
#[test]
fn stalled_body_is_rejected_for_another_one() {
    run_local(async {
        let seen = start(respond("200 OK", "yes")).await;
        let mut stalled = send_unfinished().await;
        sleep(STALL).await;
        let got = send_request(addr(1, CALLERS), &large(), 3000).await;
        assert!(got.ends_with("yes"), "{got}");
        let rejection = read_all(&mut stalled).await;
        assert!(rejection.starts_with("HTTP/1.1 503 "), "{rejection}");
        let wait = header(&rejection, "retry-after").expect("a time");
        assert!(wait.parse::<f64>().is_ok_and(|s| s > 0.0), "{wait}");
        assert_eq!(arrivals(&seen), 1, "requests that reached the endpoint");
    });
}

/// Guards against a complete request that is dropped at its endpoint because another one needs memory.
#[test]
fn served_body_stays() {
    run_local(async {
        let mut script = vec![Step::Pause(800)];
        script.extend(respond("200 OK", "yes"));
        let seen = start(script).await;
        let text = large();
        let first = send_request(addr(1, CALLERS), &text, 3000);
        let late = async {
            sleep(Duration::from_millis(300)).await;
            send_request(addr(1, CALLERS), &text, 3000).await
        };
        let (first, late) = tokio::join!(first, late);
        assert!(first.ends_with("yes"), "{first}");
        assert!(late.starts_with("HTTP/1.1 503 "), "{late}");
        assert_eq!(arrivals(&seen), 1, "requests that reached the endpoint");
    });
}

/// Guards against memory that stays counted after its requests, which would reject everybody in the end.
#[test]
fn memory_is_free_after_each_request() {
    run_local(async {
        let seen = start(respond("200 OK", "yes")).await;
        for _ in 0..20 {
            let got = send_request(addr(1, CALLERS), &large(), 3000).await;
            assert!(got.ends_with("yes"), "{got}");
        }
        assert_eq!(arrivals(&seen), 20);
    });
}
