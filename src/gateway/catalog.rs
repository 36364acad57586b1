//! Catalog: the configuration of routes, services and workspaces that an entry has in force.

use std::{net::SocketAddr, rc::Rc};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    base::{HashMap, Millis, Service, Size, Workspace, Zone},
    decide::{cold::ColdStart, memory::Tokens, residency::AllowedRegions, spill::ZoneDelays},
};

/// Version of a catalog; a later one has a higher number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CatalogVersion(pub u64);

impl std::fmt::Display for CatalogVersion {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

impl std::str::FromStr for CatalogVersion {
    type Err = std::num::ParseIntError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        s.parse().map(Self)
    }
}

/// How a request may be repeated after its response was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// The request may run any number of times.
    Idempotent,
    /// The request runs at most once.
    Once,
    /// The response is a stream of events that another endpoint can continue.
    Resume,
}

/// Route: the configuration of requests with one host name and path prefix.
#[derive(Clone, Debug)]
pub struct Route {
    /// Name in logs and metrics.
    pub name: Rc<str>,
    /// Path prefix; begins and ends with a slash.
    pub prefix: Rc<str>,
    /// Services with their weights in the traffic split; at least one.
    pub targets: Vec<(Service, u32)>,
    /// Whether the response is a stream of server-sent events.
    pub streaming: bool,
    /// How a request may be repeated after its response was lost.
    pub repeat: Repeat,
    /// Largest number of endpoints to which one request may be sent; at least 1.
    pub attempts: u32,
    /// Time limit of a request, from its arrival to its response.
    pub timeout: Millis,
    /// Latency objective: time within which the response, or the first event of a stream, should arrive.
    pub objective: Millis,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Whether callers need no API key.
    pub public: bool,
    /// Regions in which requests may be served; `None` if in all.
    pub allowed_regions: Option<Rc<AllowedRegions>>,
}

impl Route {
    /// Chooses the service of a request by weight; `draw` is a number that is uniform over requests.
    pub fn service(&self, draw: u64) -> &Service {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.1)).sum();
        let mut left = draw % total.max(1);
        for (service, weight) in &self.targets {
            if left < u64::from(*weight) {
                return service;
            }
            left -= u64::from(*weight);
        }
        &self.targets[0].0
    }
}

/// Output length, in percent of the median that callers expect, which few outputs exceed.
const OUTPUT_MARGIN: u32 = 150;

/// Duration of a decoding step while the engine also reads prompts, in percent of a step without.
const SHARED_STEP: f64 = 130.0;

/// Capacity and speed of a model engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSpeed {
    /// Sequences in one batch.
    pub slots: u32,
    /// Time of one decoding step without sequences, in milliseconds.
    pub step_ms: f64,
    /// Time added to a step by each sequence of the batch, in milliseconds.
    pub sequence_ms: f64,
    /// Prompt tokens read in a millisecond.
    pub prompt_rate: f64,
}

impl EngineSpeed {
    /// Estimates how long a request occupies its slot while the batch is full. Lengths are in tokens: `output` is the
    /// largest allowed output, `hint` the output that the caller expects.
    pub fn duration(&self, prompt: u32, output: u32, hint: Option<u32>) -> Millis {
        let expected = hint.map(|n| n.saturating_mul(OUTPUT_MARGIN) / 100);
        let output = expected.map_or(output, |n| n.min(output));
        let step = self.step_ms + self.sequence_ms * f64::from(self.slots);
        let write = f64::from(output) * step * SHARED_STEP / 100.0;
        self.read_time(prompt) + Millis(write as u64)
    }

    /// Returns the time of a decoding step while `running` sequences are in the batch, in milliseconds.
    pub fn step(&self, running: u32) -> f64 {
        let step = self.step_ms + self.sequence_ms * f64::from(running);
        step.max(0.001)
    }

    /// Returns the time in which an engine that does nothing else reads a prompt; its length is in tokens.
    pub fn read_time(&self, prompt: u32) -> Millis {
        Millis((f64::from(prompt) / self.prompt_rate.max(0.001)) as u64)
    }
}

/// Weights that the engines of a service load.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceWeights {
    /// Models by name.
    pub models: Vec<Rc<str>>,
    /// Chunks of each version; `None` if the configuration does not name them.
    pub layout: Option<ChunkLayout>,
}

/// Chunks of which each version of a model's weights consists.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkLayout {
    /// Number of chunks, at least 1.
    pub chunks: u32,
    /// Size of each chunk, at least 1 byte.
    pub chunk: Size,
}

impl ChunkLayout {
    /// Creates a layout; `None` if it has no chunks, or chunks without content.
    pub fn new(chunks: u32, chunk: Size) -> Option<Self> {
        (chunks > 0 && chunk > Size(0)).then_some(Self { chunks, chunk })
    }
}

impl std::fmt::Display for ChunkLayout {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} chunks of {}", self.chunks, self.chunk)
    }
}

/// Configuration of a service.
#[derive(Clone, Debug)]
pub struct ServiceSpec {
    /// Largest number of connections that an endpoint accepts from all entries together.
    pub connections: u32,
    /// Speed of the service's engines; `None` for services without engines.
    pub engine: Option<EngineSpeed>,
    /// Weights of the service's engines; `None` for services without engines.
    pub weights: Option<ServiceWeights>,
    /// Location of the weight store, if this service is the weight store.
    pub origin: Option<OriginSpec>,
    /// One-way delays between zones.
    pub delays: ZoneDelays,
    /// Tokens that fit into the memory of each endpoint; `None` if that is not limited.
    pub memory: Option<Tokens>,
    /// How the service's endpoints start; `None` if cold ones need no limit.
    pub cold: Option<ColdStart>,
}

/// Location of the weight store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginSpec {
    /// Address for HTTP requests.
    pub addr: SocketAddr,
    /// Availability zone of the store, if it is known.
    pub zone: Option<Zone>,
}

/// Workspace that has API keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkspaceSpec {
    /// Name of the workspace.
    pub name: Workspace,
    /// Priority that replaces the route's; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Regions in which requests may be served; `None` if in all.
    pub allowed_regions: Option<Rc<AllowedRegions>>,
}

/// Limits for connections and requests of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest request head, in bytes.
    pub header_max: usize,
    /// Largest request body, in bytes.
    pub body_max: usize,
    /// Longest time that a caller may take to send a request.
    pub send_time: Millis,
    /// Longest time that a connection may be idle.
    pub idle_time: Millis,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            header_max: 16 << 10,
            body_max: 4 << 20,
            send_time: Millis(3000),
            idle_time: Millis(15_000),
        }
    }
}

/// One version of the complete configuration.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// Version of this configuration.
    pub version: CatalogVersion,
    /// Routes by host name in lower case; the longest prefix first.
    pub routes: HashMap<Rc<str>, Vec<Rc<Route>>>,
    /// Services by name.
    pub services: HashMap<Service, ServiceSpec>,
    /// Workspaces by API key; `None` if callers need no keys.
    pub keys: Option<HashMap<Bytes, Rc<WorkspaceSpec>>>,
    /// Limits for callers.
    pub limits: CallerLimits,
    /// Fields whose values were invalid, so that their defaults are used; for the log.
    pub faults: Vec<String>,
}

impl Catalog {
    /// Adds a route of a host, and keeps the routes of the host in order, the longest prefix first.
    pub fn add_route(&mut self, host: &str, route: Route) {
        let list = self
            .routes
            .entry(host.to_ascii_lowercase().into())
            .or_default();
        let at = list.partition_point(|r| r.prefix.len() >= route.prefix.len());
        list.insert(at, Rc::new(route));
    }

    /// Returns the routes of a host; its name may be followed by a port.
    pub fn routes_of(&self, host: &str) -> Option<&[Rc<Route>]> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let list = self.routes.get(name);
        let list = list.or_else(|| self.routes.get(name.to_ascii_lowercase().as_str()));
        list.map(Vec::as_slice)
    }

    /// Returns the route of a request: the one of its host whose prefix is the longest that begins the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let mut list = self.routes_of(host)?.iter();
        list.find(|r| path.starts_with(&*r.prefix))
    }

    /// Returns whether a service limits the requests to its cold endpoints.
    pub fn limits_cold(&self) -> bool {
        self.services.values().any(|s| s.cold.is_some())
    }

    /// Returns whether the memory of a service's endpoints is limited.
    pub fn limits_memory(&self) -> bool {
        self.services.values().any(|s| s.memory.is_some())
    }

    /// Returns the location of the weight store, if a service is the weight store.
    pub fn origin(&self) -> Option<&OriginSpec> {
        self.services.values().find_map(|s| s.origin.as_ref())
    }
}
