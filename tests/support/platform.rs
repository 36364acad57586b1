//! The platform's log and host list in memory, with switches for faults.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use rocket::{data::ToByteUnit, get, http::Status, post, routes, serde::json::Json, Data, State};
use sesamewing::{
    base::wall_ms,
    wire::{HostEntry, Hosts},
};
use tokio::sync::watch;

/// A running platform.
#[derive(Clone)]
pub(crate) struct Platform {
    pub(crate) url: String,
    state: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    log: watch::Sender<Vec<(u64, Vec<u8>)>>,
    hosts: Mutex<Vec<HostEntry>>,
    /// Number of further appends that are stored but answered with an error.
    lost: Mutex<u32>,
    /// Number of records below which reads return nothing.
    hidden: Mutex<usize>,
}

type Refused = (Status, &'static str);

#[post("/log/<stream>", data = "<body>")]
async fn append(
    shared: &State<Arc<Shared>>,
    stream: &str,
    body: Data<'_>,
) -> Result<Json<serde_json::Value>, Refused> {
    assert_eq!(stream, "control");
    let data = body.open(1.mebibytes()).into_bytes().await;
    let data = data.map_err(|_| (Status::BadRequest, "body"))?.into_inner();
    shared.log.send_modify(|log| log.push((wall_ms(), data)));
    let offset = shared.log.borrow().len();
    let mut lost = shared.lost.lock().expect("not poisoned");
    if *lost > 0 {
        *lost -= 1;
        return Err((Status::InternalServerError, "lost"));
    }
    Ok(Json(serde_json::json!({ "offset": offset })))
}

#[get("/log/<stream>?<from>&<max>&<wait_ms>")]
async fn read(
    shared: &State<Arc<Shared>>,
    stream: &str,
    from: usize,
    max: usize,
    wait_ms: u64,
) -> Json<serde_json::Value> {
    let mut rx = shared.log.subscribe();
    let wait = std::time::Duration::from_millis(wait_ms);
    if stream == "control" {
        // A read without news ends when the time is up.
        let _ = tokio::time::timeout(wait, rx.wait_for(|log| log.len() >= from)).await;
    }
    let log = rx.borrow();
    let hidden = *shared.hidden.lock().expect("not poisoned");
    let log = if log.len() < hidden { &[][..] } else { &log };
    let records: Vec<_> = log
        .iter()
        .enumerate()
        .skip(from.saturating_sub(1))
        .take(if stream == "control" { max } else { 0 })
        .map(|(i, (time, data))| {
            serde_json::json!({"offset": i + 1, "time_ms": time, "data": hex::encode(data)})
        })
        .collect();
    let next = if stream == "control" {
        log.len() + 1
    } else {
        1
    };
    Json(serde_json::json!({"first": 1, "next": next, "records": records}))
}

#[get("/hosts")]
fn hosts(shared: &State<Arc<Shared>>) -> Json<Hosts> {
    let hosts = shared.hosts.lock().expect("not poisoned").clone();
    Json(Hosts { hosts })
}

impl Platform {
    pub(crate) async fn start() -> Self {
        let state = Arc::<Shared>::default();
        let config = rocket::Config {
            address: super::ANY.ip(),
            port: super::ANY.port(),
            log_level: rocket::config::LogLevel::Off,
            ..rocket::Config::release_default()
        };
        let (tx, rx) = tokio::sync::oneshot::channel();
        let ready = rocket::fairing::AdHoc::on_liftoff("ready", |rocket| {
            let config = rocket.config();
            let addr = SocketAddr::new(config.address, config.port);
            Box::pin(async move { tx.send(addr).expect("awaited") })
        });
        let server = rocket::custom(config)
            .manage(state.clone())
            .attach(ready)
            .mount("/", routes![append, read, hosts]);
        tokio::spawn(server.launch());
        let addr = rx.await.expect("the platform listens");
        Self {
            url: format!("http://{addr}"),
            state,
        }
    }

    pub(crate) fn list(&self, host: HostEntry) {
        self.state.hosts.lock().expect("not poisoned").push(host);
    }

    /// Stores the next append but answers it with an error, and shows no record before a second append.
    pub(crate) fn lose(&self) {
        *self.state.lost.lock().expect("not poisoned") = 1;
        *self.state.hidden.lock().expect("not poisoned") = self.appends() + 2;
    }

    pub(crate) fn appends(&self) -> usize {
        self.state.log.borrow().len()
    }
}
