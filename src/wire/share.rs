//! Messages that divide the limits of workspaces over the entries of a region.

use serde::{Deserialize, Serialize};

use crate::base::{Millis, Service, Workspace};

/// Demand of an entry for the workspaces that the receiver coordinates.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareRequest {
    /// Time for which a grant is asked.
    pub lifetime: Millis,
    /// Demand by workspace.
    pub items: Vec<ShareItem>,
}

/// Demand for, or grant of, a part of a workspace's limits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareItem {
    /// Service.
    pub service: Service,
    /// Workspace.
    pub workspace: Workspace,
    /// Requests in progress at once.
    pub concurrency: u32,
    /// Thousandths of requests a second.
    pub rate: u64,
}

/// Grants, valid from the time the request was sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareReply {
    /// Grants; items that the receiver does not know are missing.
    pub items: Vec<ShareItem>,
}
