//! Settings of one process, read from its own YAML file.

use std::net::SocketAddr;

use crate::{
    base::{Percent, ProcessName, Rate, Region, Service, Size, Zone},
    net::TlsFiles,
    wire::Role,
};

/// Settings of one process.
#[derive(Clone, Debug, PartialEq)]
pub struct ProcessSettings {
    /// Unique in the deployment.
    pub name: ProcessName,
    /// Role, given by the program.
    pub role: Role,
    /// Region of the host.
    pub region: Region,
    /// Availability zone of the host; lies in `region`.
    pub zone: Zone,
    /// Address for the system's other processes (QUIC over UDP).
    pub peer: SocketAddr,
    /// Address of the operator HTTP API; differs from `callers`.
    pub operator: SocketAddr,
    /// Address for callers; set on entries only.
    pub callers: Option<SocketAddr>,
    /// Address that is bound exclusively while this process may command its endpoint; set on agents only.
    pub guard: Option<SocketAddr>,
    /// Peer addresses that a new process asks while the platform cannot be reached.
    pub seeds: Vec<SocketAddr>,
    /// Base URL of the platform.
    pub platform: String,
    /// Certificates and key.
    pub tls: TlsFiles,
    /// The endpoint; set on agents only.
    pub endpoint: Option<EndpointSettings>,
    /// Host links and memory; used by agents.
    pub links: Links,
}

/// Kind of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointKind {
    /// A model engine.
    Engine,
    /// A plain HTTP service.
    Plain,
}

/// Who rejects commands that carry a stale fencing token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fencing {
    /// The endpoint itself.
    Checked,
    /// Only the agent.
    Unchecked,
}

/// The endpoint behind an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointSettings {
    /// Kind.
    pub kind: EndpointKind,
    /// Base URL.
    pub address: String,
    /// Service that the endpoint belongs to.
    pub service: Service,
    /// Who rejects stale fencing tokens.
    pub fencing: Fencing,
}

/// Capacity of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Links {
    /// Rate of the host's link into the host.
    pub down: Rate,
    /// Rate of the host's link out of the host.
    pub up: Rate,
    /// Share of both that weights may use.
    pub weights: Percent,
    /// Memory for weights.
    pub memory: Size,
}
