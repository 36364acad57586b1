//! The status that a process reports to operators.

use serde::{Deserialize, Serialize};

use crate::{
    base::{Millis, Offset, ProcessName, Region, Service, VersionName, Zone},
    process::Phase,
    wire::Role,
};

/// Whether a process takes work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RoleState {
    /// Not ready yet, for example without settings or weights.
    #[default]
    Starting,
    /// Takes work.
    Serving,
    /// Ends the work in progress.
    Draining,
}

/// State of an entry or agent, kept current by its daemon.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoleStatus {
    /// Whether the process takes work.
    pub state: RoleState,
    /// Version that the endpoint confirmed; agents of model engines only.
    pub version: Option<VersionName>,
    /// Chunks held and needed of the version in the settings; agents of model engines only.
    pub chunks: Option<(u32, u32)>,
    /// Requests in progress.
    pub running: u32,
    /// What an operator has to look at, as numbered events with text.
    pub alarms: Vec<String>,
}

/// Answer to `GET /status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessStatus {
    /// Name of the process.
    pub name: ProcessName,
    /// Role.
    pub role: Role,
    /// Run of the process; text because JSON numbers are exact only up to 2^53.
    pub instance: String,
    /// Region.
    pub region: Region,
    /// Availability zone.
    pub zone: Zone,
    /// Service of the endpoint; agents only.
    pub service: Option<Service>,
    /// Phase of the process's life.
    pub phase: Phase,
    /// Offset of the last applied record of the control stream.
    pub applied: Offset,
    /// Offset of the last accepted settings change that was applied.
    pub revision: Offset,
    /// Time since the last record was applied.
    pub applied_ms: Millis,
    /// Why application of the stream is blocked, if it is.
    pub blocked: Option<String>,
    /// Time since which neither the log nor a peer could be reached; absent while connected.
    pub isolated_ms: Option<Millis>,
    /// Time since the log last confirmed the state, directly or through peers; absent before the first time. In a
    /// region that is cut off it grows although the processes of the region still reach each other.
    pub confirmed_ms: Option<Millis>,
    /// Time since the process started.
    pub uptime_ms: Millis,
    /// State of the daemon.
    pub status: RoleStatus,
}
