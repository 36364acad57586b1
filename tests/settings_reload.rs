//! A reload of the settings (SIGHUP) beside requests in progress and new catalogs.

mod gateway_support;

use std::{cell::Cell, rc::Rc, time::Duration};

use gateway_support::{
    addr, endpoint,
    gateway::{catalog, events, request, respond, settings, CALLERS, HELD, MODEL},
    run_local, send_request, set_catalog, MemoryStore, Step, TestDecode,
};
use sesamewing::{
    base::{Millis, Percent},
    decide::cold::ColdBound,
    gateway::{self, Bounds, CatalogVersion, Headers, Topic},
    observe::LeftOut,
};
use tokio::{task::spawn_local, time::sleep};

/// Number of reloads, and the time between two of them.
const RELOADS: u64 = 6;
const PAUSE: Duration = Duration::from_millis(150);

/// Bounds that allow nothing.
fn least_bounds() -> Bounds {
    Bounds {
        version: Millis::ZERO,
        drain: Millis::ZERO,
        grace: Millis::ZERO,
        retries: Percent(0),
        retry_burst: 0,
        directory_ttl: Millis::ZERO,
        cold: ColdBound::default(),
    }
}

/// Sends SIGHUP to this process, whose entry handles it.
fn hang_up() {
    let pid = std::process::id().to_string();
    let sent = std::process::Command::new("kill")
        .args(["-HUP", &pid])
        .status();
    assert!(sent.is_ok_and(|status| status.success()));
}

/// Starts an entry whose settings are other ones, or cannot be read, each time that they are loaded.
async fn start(store: MemoryStore) -> Rc<Cell<u64>> {
    let loads = Rc::new(Cell::new(0));
    let count = loads.clone();
    let load = move || {
        count.set(count.get() + 1);
        let mut out = settings();
        match count.get() % 3 {
            1 => {}
            2 => out.bounds = least_bounds(),
            _ => eyre::bail!("the file is half written"),
        }
        Ok(out)
    };
    let run = gateway::run::<_, TestDecode>(load, Headers::default(), store, LeftOut::default());
    spawn_local(run);
    let ready = settings().listen.readiness.expect("a readiness address");
    while !send_request(ready, "GET /ready HTTP/1.0\r\n\r\n", 300)
        .await
        .contains(" 200 ")
    {
        sleep(Duration::from_millis(20)).await;
    }
    loads
}

/// Guards against requests without a response while the settings are reloaded and catalogs take force: at work, as streams,
/// and new ones.
#[test]
fn requests_live_through_reloads() {
    run_local(async {
        let store = MemoryStore::default();
        let mut plain = vec![Step::Pause(400)];
        plain.extend(respond("200 OK", "yes"));
        let mut stream = events(1..=2, "");
        stream.push(Step::Pause(400));
        // The rest of the stream, without a second head.
        stream.extend(events(3..=4, "0\r\n\r\n").split_off(1));
        for (n, script) in [(10, plain), (11, stream)] {
            let at = addr(n, 9000);
            endpoint(at, script).await;
            let service = if n == 10 { "plain" } else { "streams" };
            let record = format!("{service} {at} a {MODEL} {HELD}");
            store.write(Topic::Endpoints, &format!("e{n}"), &record);
        }
        let named = |version| {
            let mut out = catalog();
            out.version = CatalogVersion(version);
            for route in out.routes.values_mut().flatten() {
                let route = Rc::make_mut(route);
                if route.streaming {
                    route.targets = vec![("streams".parse().expect("a valid name"), 1)];
                }
            }
            set_catalog(out);
        };
        named(1);
        store.write(Topic::Operator, "config", "1");
        let loads = start(store.clone()).await;
        let mut callers = Vec::new();
        for version in 2..2 + RELOADS {
            for path in ["/once/x", "/safe/x", "/stream/x"] {
                let text = request(path);
                callers.push(spawn_local(async move {
                    send_request(addr(1, CALLERS), &text, 4000).await
                }));
            }
            sleep(PAUSE).await;
            named(version);
            store.write(Topic::Operator, "config", "next");
            hang_up();
        }
        for caller in callers {
            let got = caller.await.expect("the caller ends");
            let answered = got.ends_with("yes") || got.ends_with("0\r\n\r\n");
            assert!(answered || got.contains(" 503 "), "`{got}`");
        }
        assert!(loads.get() > RELOADS / 2, "reloads: {}", loads.get());
    });
}
