//! What an entry process is told at its start.

use std::net::SocketAddr;

use crate::base::{Millis, Percent, ProcessName, Region, Zone};

/// Sockets of an entry.
#[derive(Clone, Copy, Debug)]
pub struct Listen {
    /// Requests of callers.
    pub callers: SocketAddr,
    /// Readiness checks.
    pub readiness: Option<SocketAddr>,
    /// Questions of callers where to connect.
    pub directory: Option<SocketAddr>,
    /// Metrics in the Prometheus text format, at `/metrics`.
    pub metrics: Option<SocketAddr>,
    /// Datagrams between entries.
    pub peers: SocketAddr,
}

/// Promises that the deployment makes.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Time within which requests begin on a newly named version of weights.
    pub version: Millis,
    /// Time from the announcement that an endpoint leaves until it may not get requests.
    pub drain: Millis,
    /// Time between SIGTERM and SIGKILL.
    pub grace: Millis,
    /// Share of requests that may be sent a second time.
    pub retries: Percent,
    /// Retries of all entries together beyond that share, in the window over which they are counted.
    pub retry_burst: u32,
    /// Longest time for which callers may keep an answer of the directory.
    pub directory_ttl: Millis,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            version: Millis(8000),
            drain: Millis(2000),
            grace: Millis(8000),
            retries: Percent(20),
            retry_burst: 100,
            directory_ttl: Millis(5000),
        }
    }
}

/// Settings of an entry process.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Name of the process.
    pub name: ProcessName,
    /// Availability zone.
    pub zone: Zone,
    /// Region.
    pub region: Region,
    /// Sockets.
    pub listen: Listen,
    /// Peer sockets of entries to contact first; may be stale.
    pub seeds: Vec<SocketAddr>,
    /// Promises.
    pub bounds: Bounds,
    /// Path of the callers' question where to connect.
    pub directory_path: String,
    /// Path of the readiness check.
    pub ready_path: String,
}
