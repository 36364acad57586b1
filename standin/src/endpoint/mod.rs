//! Endpoints: a simulated model engine and a plain service.

mod cache;
mod engine;
mod load;
mod plain;
mod routes;

use std::{
    net::{Ipv4Addr, SocketAddr},
    str::FromStr,
};

use eyre::Result;
use sesamewing::base::{Digest, Millis, VersionName};

use crate::{fault::Fault, server::Server};

pub use cache::prefixes;

/// Kind of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A model engine.
    Engine,
    /// A plain service.
    Plain,
}

impl FromStr for Kind {
    type Err = &'static str;

    fn from_str(s: &str) -> Result<Self, &'static str> {
        match s {
            "engine" => Ok(Self::Engine),
            "plain" => Ok(Self::Plain),
            _ => Err("unknown kind; use `engine` or `plain`"),
        }
    }
}

/// Settings of an endpoint.
#[derive(Clone, Debug)]
pub struct EndpointOptions {
    /// Address to listen on; port 0 takes a free port.
    pub listen: SocketAddr,
    /// Kind.
    pub kind: Kind,
    /// Whether an engine refuses load commands with a stale fencing token.
    pub checked: bool,
    /// Number of requests that an engine runs at once; at least 1.
    pub capacity: u32,
    /// Tokens a second of an engine that runs `capacity` requests; each running request gets an equal share.
    pub speed: u32,
    /// Time that an engine needs for a prompt of which nothing is cached.
    pub prefill: Millis,
    /// Time between the end of the weight bytes and the switch to the new version.
    pub load: Millis,
    /// Age of the load figures and cache events that an engine reports.
    pub lag: Millis,
    /// Time that a plain service works on a request.
    pub work: Millis,
    /// Version in service at the start, with the hash of its bytes.
    pub version: Option<(VersionName, Digest)>,
}

impl Default for EndpointOptions {
    fn default() -> Self {
        Self {
            listen: (Ipv4Addr::LOCALHOST, 0).into(),
            kind: Kind::Engine,
            checked: false,
            capacity: 24,
            speed: 340,
            prefill: Millis(200),
            load: Millis(500),
            lag: Millis(200),
            work: Millis::ZERO,
            version: None,
        }
    }
}

/// Starts endpoints.
#[derive(Debug)]
pub struct Endpoint;

impl Endpoint {
    /// Starts an endpoint and waits until it listens.
    ///
    /// # Errors
    ///
    /// Returns an error if the address is not free.
    pub async fn start(options: EndpointOptions) -> Result<Server> {
        let engine = &[
            Fault::Outage,
            Fault::Slow,
            Fault::LostAnswer,
            Fault::Silent,
            Fault::FreezeReports,
        ];
        let plain = &[Fault::Outage, Fault::Slow, Fault::LostAnswer, Fault::Silent];
        let listen = options.listen;
        match options.kind {
            Kind::Engine => {
                Server::start(listen, engine, |rocket, faults| {
                    rocket
                        .manage(engine::Engine::new(&options))
                        .manage(load::Loader::new(&options))
                        .manage(routes::Reports::new(faults))
                        .mount("/", routes::routes())
                        .mount("/", load::routes())
                })
                .await
            }
            Kind::Plain => {
                Server::start(listen, plain, |rocket, _| {
                    rocket
                        .manage(plain::Runs::default())
                        .mount("/", plain::routes(options.work))
                })
                .await
            }
        }
    }
}
