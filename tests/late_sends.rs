//! Requests for which the choice of an endpoint, or the connection to it, took long.

mod gateway_support;

use std::{cell::Cell, rc::Rc};

use gateway_support::{
    addr,
    gateway::{catalog_of_engines, route, settings, start_with, CALLERS, HELD, MODEL},
    run_local, send_request, set_catalog, MemoryStore,
};
use sesamewing::{
    base::{Clock, Millis, SystemClock},
    gateway::{Repeat, Topic},
};
use tokio::{io::AsyncReadExt, net::TcpListener, task::spawn_local};

/// Time after which a desired version is enforced in these tests.
const BOUND: Millis = Millis(12_000);

/// Time before that at which a request that reads its prompt for [`READ_TIME`] is still sent, though not for long.
const SENT_BEFORE: Millis = Millis(5500);

/// Time to read the prompt of 3,000 tokens.
const READ_TIME: u32 = 3000;

/// Time for which the process stands still after the choice of the endpoint.
const STALL: Millis = Millis(900);

/// Guards against a request that is sent too late to read its long prompt by the end of the version, because the process
/// was paused after the choice: it is cancelled at work, and its caller cannot tell whether it ran.
#[test]
fn long_prompt_is_not_sent_late() {
    run_local(async {
        let clock = SystemClock::start();
        let mut catalog = catalog_of_engines(1.0);
        let mut slow = route("/slow/", Repeat::Once);
        slow.timeout = Millis(9000);
        catalog.add_route("h.example", slow);
        set_catalog(catalog);
        let store = MemoryStore::default();
        let at = addr(10, 9000);
        let record = format!("plain {at} a {MODEL} {HELD}");
        store.write(Topic::Endpoints, "e10", &record);
        let arrived = Rc::new(Cell::new(0));
        let stalled = Rc::new(Cell::new(false));
        let listener = TcpListener::bind(at).await.expect("an address");
        let (seen, noted) = (arrived.clone(), stalled.clone());
        spawn_local(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                // The entry runs on this thread too.
                std::thread::sleep(STALL.duration());
                noted.set(true);
                let seen = seen.clone();
                spawn_local(async move {
                    let mut part = [0; 4096];
                    while let Ok(read) = stream.read(&mut part).await {
                        if read == 0 {
                            return;
                        }
                        seen.set(seen.get() + read);
                    }
                });
            }
        });
        store.write(Topic::Operator, "config", "1");
        let mut settings = settings();
        settings.bounds.version = BOUND;
        start_with(settings, store.clone()).await;
        store.write(Topic::Operator, MODEL, &(HELD + 1).to_string());
        let end = clock.now() + BOUND;
        tokio::time::sleep((end - SENT_BEFORE - clock.now()).duration()).await;
        let text = format!(
            "POST /slow/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r1\r\nX-Deadline-Ms: 8000\r\n\
             X-Workspace-Key: key\r\nX-Model: {MODEL}\r\nX-Tokens: {READ_TIME},10\r\nContent-Length: 2\r\n\
             Connection: close\r\n\r\nhi"
        );
        let got = send_request(addr(1, CALLERS), &text, 5000).await;
        assert!(stalled.get(), "an endpoint was chosen: {got}");
        assert!(got.starts_with("HTTP/1.1 503"), "{got}");
        assert_eq!(arrived.get(), 0, "bytes of the request arrived");
    });
}
