//! Runs an entry that is told to stop by a real signal. Each test needs a process of its own, as nextest gives it.

use std::{net::SocketAddr, process::Command, rc::Rc, thread::JoinHandle};

use sesamewing::{
    base::Millis,
    gateway::{self, Bounds, Catalog, Headers, Topic},
    observe::LeftOut,
};

use super::{
    addr,
    gateway::{settings_of, HELD, MODEL},
    header, run_local, send_request, set_catalog, MemoryStore, Seen, TestDecode,
};

/// Runs an entry like a process of its own: when it stops, its connections end too.
pub fn run_entry(
    grace: Millis,
    catalog: fn() -> Catalog,
    endpoints: &[SocketAddr],
) -> JoinHandle<()> {
    let mut settings = settings_of(1);
    settings.bounds = Bounds {
        grace,
        ..settings.bounds
    };
    let endpoints = endpoints.to_vec();
    std::thread::spawn(move || {
        set_catalog(catalog());
        let store = MemoryStore::default();
        for (i, at) in endpoints.iter().enumerate() {
            let value = format!("plain {at} a {MODEL} {HELD}");
            store.write(Topic::Endpoints, &format!("e{i}"), &value);
        }
        store.write(Topic::Operator, "config", "1");
        let load = move || Ok(settings.clone());
        let run =
            gateway::run::<_, TestDecode>(load, Headers::default(), store, LeftOut::default());
        run_local(run).expect("the entry stops");
    })
}

pub async fn wait_until_ready() {
    let check = || send_request(addr(1, 8002), "GET /ready HTTP/1.0\r\n\r\n", 300);
    while !check().await.contains(" 200 ") {
        tokio::time::sleep(Millis(20).duration()).await;
    }
}

/// Sends a signal to this process.
pub fn signal_self(name: &str) {
    let pid = std::process::id().to_string();
    let sent = Command::new("kill")
        .args([&format!("-{name}"), &pid])
        .status();
    assert!(sent.expect("it runs").success());
}

/// Returns whether a request reached an endpoint.
pub fn arrived(seen: &[Rc<Seen>], id: &str) -> bool {
    let mut all = seen.iter();
    all.any(|s| {
        let requests = s.requests.borrow();
        let mut ids = requests.iter().map(|r| header(r, "x-request-id"));
        ids.any(|found| found.as_deref() == Some(id))
    })
}
