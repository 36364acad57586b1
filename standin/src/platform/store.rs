//! The weight store and its rate-limited link.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use rocket::{
    data::ToByteUnit,
    http::Status,
    request::{FromRequest, Outcome},
    response::stream::ByteStream,
    Data, Request, Route, State,
};
use serde::Serialize;
use sesamewing::base::{lock, Digest, HashMap, Rate};
use tokio::time::Instant;

use crate::fault::{Fault, Faults, Gate};

/// Largest manifest or chunk.
const CONTENT_MAX: u64 = 16 << 20;

/// Bytes that pass the link at a time; answers in progress take turns at this size.
const PIECE: usize = 16 * 1024;

/// Depth of the token bucket as time at full rate; timers that fire late by less do not lower the rate.
const BURST: Duration = Duration::from_millis(20);

/// Name of the header and query parameter with the region of the reader.
const REGION: &str = "Sesamewing-Region";

#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct OriginStats {
    /// Bytes of all manifests and chunks that passed the link.
    total: u64,
    /// Bytes by chunk.
    chunks: BTreeMap<String, u64>,
    /// Bytes by region of the reader, where the reader named it.
    regions: BTreeMap<String, u64>,
}

struct Link {
    /// Time at which the bytes accepted so far have passed.
    free: Instant,
    stats: OriginStats,
}

/// Content by kind and hash, behind one link.
pub(super) struct Store {
    rate: Rate,
    faults: Arc<Faults>,
    content: Mutex<HashMap<(String, Digest), Bytes>>,
    link: Arc<Mutex<Link>>,
}

impl Store {
    pub(super) fn new(rate: Rate, faults: Arc<Faults>) -> Self {
        Self {
            rate,
            faults,
            content: Mutex::default(),
            link: Arc::new(Mutex::new(Link {
                free: Instant::now(),
                stats: OriginStats::default(),
            })),
        }
    }

    pub(super) fn stats(&self) -> OriginStats {
        lock(&self.link).stats.clone()
    }
}

impl Link {
    /// Accepts bytes and returns the time at which they have passed.
    fn send(&mut self, rate: Rate, bytes: usize) -> Instant {
        let now = Instant::now();
        let start = self.free.max(now.checked_sub(BURST).unwrap_or(now));
        self.free = start + Duration::from_secs_f64(bytes as f64 / rate.0.max(1) as f64);
        self.free
    }
}

/// Region that the reader names in a header or in the query.
struct Reader(Option<String>);

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Reader {
    type Error = ();

    async fn from_request(req: &'r Request<'_>) -> Outcome<Self, ()> {
        let query = req
            .query_value::<&str>("region")
            .and_then(Result::ok)
            .or_else(|| req.headers().get_one(REGION));
        Outcome::Success(Self(query.map(str::to_owned)))
    }
}

#[rocket::get("/weights/<kind>/<hash>")]
fn get(
    store: &State<Store>,
    kind: &str,
    hash: &str,
    reader: Reader,
    gate: Gate,
) -> Result<ByteStream![Bytes], Status> {
    let id: Digest = hash.parse().map_err(|_| Status::NotFound)?;
    let found = lock(&store.content).get(&(kind.to_owned(), id)).cloned();
    let mut data = found.ok_or(Status::NotFound)?;
    let path = format!("/weights/{kind}/{hash}");
    let chunk = (kind == "chunks").then(|| id.to_string());
    if chunk.is_some() && !data.is_empty() && store.faults.take(Fault::CorruptChunk, &path) {
        let mut changed = data.to_vec();
        changed[0] ^= 1;
        data = changed.into();
    }
    let (rate, link, faults) = (store.rate, store.link.clone(), store.faults.clone());
    Ok(ByteStream! {
        while !data.is_empty() {
            gate.pass().await;
            faults
                .wait_while(|f| f.find(Fault::StalledLink, &path).is_some())
                .await;
            let piece = data.split_to(PIECE.min(data.len()));
            let passed = lock(&link).send(rate, piece.len());
            tokio::time::sleep_until(passed).await;
            let n = piece.len() as u64;
            {
                let stats = &mut lock(&link).stats;
                stats.total += n;
                if let Some(chunk) = &chunk {
                    *stats.chunks.entry(chunk.clone()).or_default() += n;
                }
                if let Some(region) = &reader.0 {
                    *stats.regions.entry(region.clone()).or_default() += n;
                }
            }
            yield piece;
        }
    })
}

#[rocket::put("/weights/<kind>/<hash>", data = "<data>")]
async fn put(
    store: &State<Store>,
    kind: &str,
    hash: &str,
    data: Data<'_>,
) -> Result<(), (Status, &'static str)> {
    if kind != "manifests" && kind != "chunks" {
        return Err((Status::NotFound, "use `manifests` or `chunks`"));
    }
    let id: Digest = hash
        .parse()
        .map_err(|_| (Status::BadRequest, "the path does not end with a hash"))?;
    let data = data
        .open(CONTENT_MAX.bytes())
        .into_bytes()
        .await
        .map_err(|_| (Status::BadRequest, "the body was cut"))?;
    if !data.is_complete() {
        return Err((Status::PayloadTooLarge, "the content exceeds 16 MiB"));
    }
    let data = data.into_inner();
    if Digest::of(&data) != id {
        let reason = "the content does not have the hash in the path";
        return Err((Status::UnprocessableEntity, reason));
    }
    lock(&store.content).insert((kind.to_owned(), id), data.into());
    Ok(())
}

pub(super) fn routes() -> Vec<Route> {
    rocket::routes![get, put]
}
