//! A plain service that counts runs.

use std::{collections::BTreeMap, sync::Mutex};

use rocket::{
    data::ToByteUnit,
    http::{Method, Status},
    response::Responder,
    route::{Handler, Outcome},
    serde::json::Json,
    Data, Request, Route, State,
};
use serde_json::{json, Value};
use sesamewing::base::{lock, Millis};

/// Largest request body.
const BODY_MAX: u64 = 64 << 20;

/// Methods of a plain service.
const METHODS: [Method; 5] = [
    Method::Get,
    Method::Post,
    Method::Put,
    Method::Patch,
    Method::Delete,
];

/// Number of runs by request id.
#[derive(Default)]
pub(super) struct Runs(Mutex<BTreeMap<String, u64>>);

/// Runs a request of any path.
#[derive(Clone)]
struct Work(Millis);

#[rocket::async_trait]
impl Handler for Work {
    async fn handle<'r>(&self, req: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let body = match data.open(BODY_MAX.bytes()).into_bytes().await {
            Ok(body) if body.is_complete() => body,
            Ok(_) => return Outcome::Error(Status::PayloadTooLarge),
            Err(_) => return Outcome::Error(Status::BadRequest),
        };
        let id = req.headers().get_one("Request-Id");
        let runs = id.zip(req.rocket().state::<Runs>()).map(|(id, runs)| {
            let mut runs = lock(&runs.0);
            let count = runs.entry(id.to_owned()).or_default();
            *count += 1;
            *count
        });
        tokio::time::sleep(self.0.duration()).await;
        let receipt = Json(json!({
            "id": id, "runs": runs, "method": req.method().as_str(), "path": req.uri().path().as_str(),
            "size": body.len(),
        }));
        match receipt.respond_to(req) {
            Ok(response) => Outcome::Success(response),
            Err(status) => Outcome::Error(status),
        }
    }
}

#[rocket::get("/runs")]
fn runs(runs: &State<Runs>) -> Json<Value> {
    let runs = lock(&runs.0);
    Json(json!({ "runs": *runs }))
}

pub(super) fn routes(work: Millis) -> Vec<Route> {
    let any = METHODS
        .iter()
        .map(|m| Route::ranked(20, *m, "/<path..>", Work(work)));
    rocket::routes![runs].into_iter().chain(any).collect()
}
