//! Reports of agents to the entries that watch them.

use serde::{Deserialize, Serialize};

use crate::base::{Instance, Millis, Offset, ProcessName, Service, VersionName};

/// Subscribes to the reports of an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchRequest {
    /// Longest time between two reports.
    pub interval: Millis,
}

/// Whether an agent takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgentState {
    /// The endpoint is not ready, for example because it has no weights yet.
    Starting,
    /// The agent takes requests.
    Serving,
    /// The agent takes no new requests and ends those in progress; final.
    Leaving,
}

/// State and load of an agent and its endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentReport {
    /// Reporting agent.
    pub name: ProcessName,
    /// Run of the agent.
    pub instance: Instance,
    /// Increases with each report of a run; older reports are dropped.
    pub sequence: u64,
    /// Service of the endpoint.
    pub service: Service,
    /// Whether the agent takes requests.
    pub state: AgentState,
    /// Version that the endpoint confirmed; `None` for plain services or before the first load.
    pub version: Option<VersionName>,
    /// Offset of the control stream that the agent has applied.
    pub applied: Offset,
    /// Requests in progress through the agent.
    pub running: u32,
    /// Requests that wait at the endpoint, by the endpoint's own lagging report.
    pub waiting: u32,
    /// Requests that the endpoint can run at once.
    pub capacity: u32,
    /// Output tokens a second that the endpoint reports.
    pub speed: u32,
    /// Hashes of prompt prefixes that the endpoint cached since the last report; late and incomplete.
    pub prefixes: Vec<u64>,
}
