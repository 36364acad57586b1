//! The platform: log streams, weight store and host list.

mod hosts;
mod log;
mod store;

use std::net::{Ipv4Addr, SocketAddr};

use eyre::Result;
use rocket::{serde::json::Json, State};
use serde_json::{json, Value};
use sesamewing::base::{Millis, Rate};

use crate::{fault::Fault, server::Server};

/// Settings of a platform.
#[derive(Clone, Debug)]
pub struct PlatformOptions {
    /// Address to listen on; port 0 takes a free port.
    pub listen: SocketAddr,
    /// Time after which log records are dropped; `None` keeps them.
    pub retention: Option<Millis>,
    /// Time that an append takes.
    pub append: Millis,
    /// Rate that all downloads from the weight store share.
    pub rate: Rate,
    /// Time after which a change shows in the host list.
    pub lag: Millis,
}

impl Default for PlatformOptions {
    fn default() -> Self {
        Self {
            listen: (Ipv4Addr::LOCALHOST, 0).into(),
            retention: None,
            append: Millis::ZERO,
            rate: Rate(2_500_000),
            lag: Millis::ZERO,
        }
    }
}

/// Starts platforms.
#[derive(Debug)]
pub struct Platform;

impl Platform {
    /// Starts a platform and waits until it listens.
    ///
    /// # Errors
    ///
    /// Returns an error if the address is not free.
    pub async fn start(options: PlatformOptions) -> Result<Server> {
        let supported = &[
            Fault::Outage,
            Fault::Slow,
            Fault::LostAnswer,
            Fault::CorruptChunk,
            Fault::StalledLink,
            Fault::Silent,
            Fault::FreezeReports,
        ];
        Server::start(options.listen, supported, |rocket, faults| {
            rocket
                .manage(log::Logs::new(options.retention, options.append))
                .manage(store::Store::new(options.rate, faults.clone()))
                .manage(hosts::HostTable::new(options.lag, faults))
                .mount("/", log::routes())
                .mount("/", store::routes())
                .mount("/", hosts::routes())
                .mount("/", rocket::routes![stats])
        })
        .await
    }
}

#[rocket::get("/stats")]
fn stats(logs: &State<log::Logs>, store: &State<store::Store>) -> Json<Value> {
    let (appends, reads) = logs.stats();
    Json(json!({"appends": appends, "reads": reads, "origin": store.stats()}))
}
