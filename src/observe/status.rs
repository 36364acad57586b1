//! The part of a process's status that depends on its role.

use serde::{Deserialize, Serialize};

use crate::base::VersionName;

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
