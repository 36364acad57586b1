//! Routes, services and workspaces that an entry has in force.

use std::{net::SocketAddr, rc::Rc};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::base::{HashMap, Millis, Service, Workspace, Zone};

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

/// What may be done with a request whose response was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// The request may run any number of times.
    Idempotent,
    /// The request runs at most once.
    Once,
    /// The response is a stream of events that another endpoint can continue.
    Resume,
}

/// A route: requests of one host and path prefix.
#[derive(Clone, Debug)]
pub struct Route {
    /// Name, for logs and metrics.
    pub name: Rc<str>,
    /// Path prefix; begins and ends with a slash.
    pub prefix: Rc<str>,
    /// Services with their weights; at least one.
    pub targets: Vec<(Service, u32)>,
    /// Whether the response is a stream of events.
    pub streaming: bool,
    /// What may be repeated.
    pub repeat: Repeat,
    /// Endpoints that one request may be sent to; at least 1.
    pub attempts: u32,
    /// Longest time that a caller is kept waiting.
    pub timeout: Millis,
    /// Time within which a response is worth most; of a stream, its first event.
    pub objective: Millis,
    /// Rank of the route; 0 is the most urgent.
    pub priority: u8,
    /// Whether callers need no key.
    pub public: bool,
}

impl Route {
    /// Chooses the service of a request from a number that is uniform over requests.
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

/// Share of the expected output, in percent, that few outputs exceed; callers expect the median.
const OUTPUT_MARGIN: u32 = 150;

/// Time of a decoding step while the engine also reads prompts, in percent of one without.
const SHARED_STEP: f64 = 130.0;

/// Work that an engine does at once, and how fast.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSpeed {
    /// Sequences of one batch.
    pub slots: u32,
    /// Time of one decoding step.
    pub step_ms: f64,
    /// Added time of a step for each sequence.
    pub sequence_ms: f64,
    /// Prompt tokens read in a millisecond.
    pub prompt_rate: f64,
}

impl EngineSpeed {
    /// Estimates how long a request keeps its slot when the batch is full; `hint` is the output that its caller expects.
    pub fn duration(&self, prompt: u32, output: u32, hint: Option<u32>) -> Millis {
        let expected = hint.map(|n| n.saturating_mul(OUTPUT_MARGIN) / 100);
        let output = expected.map_or(output, |n| n.min(output));
        let step = self.step_ms + self.sequence_ms * f64::from(self.slots);
        let write = f64::from(output) * step * SHARED_STEP / 100.0;
        let read = f64::from(prompt) / self.prompt_rate.max(0.001);
        Millis((read + write) as u64)
    }
}

/// Weights that a service's engines load.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceWeights {
    /// Model names.
    pub models: Vec<Rc<str>>,
}

/// A service.
#[derive(Clone, Debug)]
pub struct ServiceSpec {
    /// Connections that an endpoint accepts from all callers.
    pub connections: u32,
    /// Speed of its engines; `None` for plain services.
    pub engine: Option<EngineSpeed>,
    /// Weights of its engines; `None` for plain services.
    pub weights: Option<ServiceWeights>,
    /// The weight store, if the service is one.
    pub origin: Option<OriginSpec>,
}

/// Where the weight store is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginSpec {
    /// Address.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: Option<Zone>,
}

/// A workspace with keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkspaceSpec {
    /// Name.
    pub name: Workspace,
    /// Rank that replaces the route's; 0 is the most urgent.
    pub priority: Option<u8>,
}

/// Limits of what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest request head, in bytes.
    pub header_max: usize,
    /// Largest request body, in bytes.
    pub body_max: usize,
    /// Longest time to send a request.
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

/// Everything that one version of the configuration says.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// Version.
    pub version: CatalogVersion,
    /// Routes by host name; longest prefix first.
    pub routes: HashMap<Rc<str>, Vec<Rc<Route>>>,
    /// Services by name.
    pub services: HashMap<Service, ServiceSpec>,
    /// Workspaces by key; `None` if callers need no keys.
    pub keys: Option<HashMap<Bytes, Rc<WorkspaceSpec>>>,
    /// Limits of callers.
    pub limits: CallerLimits,
}

impl Catalog {
    /// Adds a route of a host; keeps the longest prefix first.
    pub fn add_route(&mut self, host: &str, route: Route) {
        let list = self
            .routes
            .entry(host.to_ascii_lowercase().into())
            .or_default();
        let at = list.partition_point(|r| r.prefix.len() >= route.prefix.len());
        list.insert(at, Rc::new(route));
    }

    /// Finds the route of a request: the longest prefix of its host that begins the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let list = match self.routes.get(name) {
            Some(list) => list,
            None => self.routes.get(name.to_ascii_lowercase().as_str())?,
        };
        list.iter().find(|r| path.starts_with(&*r.prefix))
    }

    /// Returns the weight store, if the catalog names one.
    pub fn origin(&self) -> Option<&OriginSpec> {
        self.services.values().find_map(|s| s.origin.as_ref())
    }
}
