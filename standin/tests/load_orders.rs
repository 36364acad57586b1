//! Orders of the load generator against a server that runs them although it says otherwise.

use std::{
    collections::BTreeMap,
    process::Command,
    sync::{Mutex, PoisonError},
};

use rocket::{
    http::Status,
    request::{FromRequest, Outcome},
    response::Responder,
    serde::json::Json,
    Request, State,
};
use serde_json::{json, Value};

#[derive(Default)]
struct Runs(Mutex<BTreeMap<String, u64>>);

struct Key(String);

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Key {
    type Error = ();

    async fn from_request(req: &'r Request<'_>) -> Outcome<Self, ()> {
        let key = req.headers().get_one("Idempotency-Key");
        Outcome::Success(Self(key.unwrap_or_default().to_owned()))
    }
}

#[derive(Responder)]
struct NotRun {
    inner: (Status, Json<Value>),
    retry: rocket::http::Header<'static>,
}

#[rocket::post("/v1/services/orders/place")]
fn place(key: Key, runs: &State<Runs>) -> NotRun {
    let mut runs = runs.0.lock().unwrap_or_else(PoisonError::into_inner);
    *runs.entry(key.0).or_default() += 2;
    let body = json!({"outcome": "not_run", "error": "", "remedy": "", "retry_after_ms": 1});
    NotRun {
        inner: (Status::ServiceUnavailable, Json(body)),
        retry: rocket::http::Header::new("Retry-After", "1"),
    }
}

#[rocket::get("/runs")]
fn count(runs: &State<Runs>) -> Json<Value> {
    let runs = runs.0.lock().unwrap_or_else(PoisonError::into_inner);
    Json(json!({ "runs": *runs }))
}

/// Guards against a generator that misses orders that ran twice, or ran after the answer "not run".
#[tokio::test(flavor = "multi_thread")]
async fn runs_are_compared_with_answers() {
    let config = rocket::Config {
        port: 0,
        log_level: rocket::config::LogLevel::Off,
        ..rocket::Config::release_default()
    };
    let (tx, rx) = tokio::sync::oneshot::channel();
    let server = rocket::custom(config)
        .manage(Runs::default())
        .mount("/", rocket::routes![place, count])
        .attach(rocket::fairing::AdHoc::on_liftoff("port", |r| {
            let _ = tx.send(r.config().port);
            Box::pin(async {})
        }));
    tokio::spawn(server.launch());
    let address = format!("127.0.0.1:{}", rx.await.expect("the server starts"));
    let run = move || {
        Command::new(env!("CARGO_BIN_EXE_sesamewing-load"))
            .args(["run", "--mix", "ladder", "--rate", "40", "--seconds", "1"])
            .args([
                "--entries",
                &address,
                "--runs",
                &format!("http://{address}"),
            ])
            .output()
    };
    let out = tokio::task::spawn_blocking(run).await.expect("no panic");
    let out = out.expect("the program runs");
    let json: Value = serde_json::from_slice(&out.stdout).expect("a summary");
    assert!(json["orders"].as_u64() > Some(0), "{json}");
    assert_eq!(json["violations"]["double_runs"], json["orders"], "{json}");
    assert_eq!(
        json["violations"]["false_not_run"], json["orders"],
        "{json}"
    );
    assert_eq!(out.status.code(), Some(1));
}
