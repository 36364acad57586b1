//! Load commands of the engine.

use std::sync::{Mutex, MutexGuard};

use rocket::{
    data::ToByteUnit,
    http::Status,
    request::{FromRequest, Outcome},
    serde::json::Json,
    tokio::io::AsyncReadExt,
    Data, Request, Route, State,
};
use serde::Serialize;
use serde_json::{json, Value};
use sesamewing::base::{lock, Digest, Fence, Millis, VersionName};

use super::{engine::Engine, EndpointOptions};

/// Largest version.
const WEIGHTS_MAX: u64 = 4 << 30;

/// Fate of a load command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
enum Fate {
    /// The version is in service.
    Accepted,
    /// A newer fencing token was seen.
    Stale,
    /// The bytes do not have the hash that the command names, or were cut.
    Corrupt,
}

/// A load command, recorded for tests.
#[derive(Clone, Debug, Serialize)]
struct Order {
    version: VersionName,
    fence: Fence,
    /// Hash of the bytes that arrived; absent if the command was refused before.
    hash: Option<Digest>,
    fate: Fate,
}

#[derive(Default)]
struct Table {
    /// Highest token seen.
    fence: Fence,
    loading: u32,
    orders: Vec<Order>,
}

/// Executes load commands.
pub(super) struct Loader {
    checked: bool,
    load: Millis,
    table: Mutex<Table>,
}

impl Loader {
    pub(super) fn new(options: &EndpointOptions) -> Self {
        Self {
            checked: options.checked,
            load: options.load,
            table: Mutex::default(),
        }
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        lock(&self.table)
    }

    pub(super) fn is_loading(&self) -> bool {
        self.table().loading > 0
    }

    /// Runs a step of a command unless its token is stale; no step of another command runs meanwhile.
    fn step(&self, fence: Fence, step: impl FnOnce()) -> bool {
        let mut t = self.table();
        t.fence = t.fence.max(fence);
        let current = !self.checked || fence == t.fence;
        if current {
            step();
        }
        current
    }

    async fn run(&self, engine: &Engine, headers: &Headers, data: Data<'_>) -> Order {
        let mut order = Order {
            version: headers.version.clone(),
            fence: headers.fence,
            hash: None,
            fate: Fate::Stale,
        };
        if !self.step(headers.fence, || {}) {
            return order;
        }
        let found = hash(data).await.ok();
        order.hash = found;
        if found != Some(headers.hash) {
            order.fate = Fate::Corrupt;
            return order;
        }
        tokio::time::sleep(self.load.duration()).await;
        let switch = || engine.switch(headers.version.clone(), headers.hash);
        if self.step(headers.fence, switch) {
            order.fate = Fate::Accepted;
        }
        order
    }
}

/// Hashes a body without keeping it.
async fn hash(data: Data<'_>) -> std::io::Result<Digest> {
    let mut body = data.open(WEIGHTS_MAX.bytes());
    let mut hasher = blake3::Hasher::new();
    let mut buf = vec![0; 64 * 1024];
    loop {
        match body.read(&mut buf).await? {
            0 => return Ok(Digest(*hasher.finalize().as_bytes())),
            n => hasher.update(&buf[..n]),
        };
    }
}

struct Headers {
    version: VersionName,
    hash: Digest,
    fence: Fence,
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Headers {
    type Error = ();

    async fn from_request(req: &'r Request<'_>) -> Outcome<Self, ()> {
        let headers = || {
            let text = |name| req.headers().get_one(name);
            Some(Self {
                version: text("Order-Version")?.parse().ok()?,
                hash: text("Order-Hash")?.parse().ok()?,
                fence: text("Order-Fence")?.parse().ok()?,
            })
        };
        match headers() {
            Some(headers) => Outcome::Success(headers),
            None => Outcome::Error((Status::BadRequest, ())),
        }
    }
}

#[rocket::put("/orders/load", data = "<data>")]
async fn load(
    engine: &State<Engine>,
    loader: &State<Loader>,
    headers: Headers,
    data: Data<'_>,
) -> (Status, Json<Value>) {
    loader.table().loading += 1;
    let order = loader.run(engine, &headers, data).await;
    let mut t = loader.table();
    t.loading -= 1;
    t.orders.push(order.clone());
    let status = match order.fate {
        Fate::Accepted => Status::Ok,
        Fate::Stale => Status::Conflict,
        Fate::Corrupt => Status::UnprocessableEntity,
    };
    (status, Json(json!(order)))
}

#[rocket::get("/orders")]
fn orders(loader: &State<Loader>) -> Json<Value> {
    Json(json!({ "orders": loader.table().orders }))
}

pub(super) fn routes() -> Vec<Route> {
    rocket::routes![load, orders]
}
