//! Agents by rank, for tests of scaling and of the end of credits.
#![allow(dead_code, unreachable_pub)]

#[path = "../common/agent/mod.rs"]
pub mod common;

use std::net::UdpSocket;

use common::daemon::settings;
use sesamewing::{
    base::{ProcessName, Service},
    decide::burst::AgentRank,
    net::TlsFiles,
    process::{Context, EndpointKind},
};

pub fn name(i: usize) -> ProcessName {
    format!("a{i}").parse().expect("a name")
}

pub fn service() -> Service {
    "drafts".parse().expect("a name")
}

/// Returns the names of `n` agents in rank order.
pub fn ranked(n: usize) -> Vec<ProcessName> {
    let mut all: Vec<_> = (0..n).map(name).collect();
    let every = all.clone();
    all.sort_by_key(|a| place(a, &every).rank);
    all
}

pub fn place(own: &ProcessName, view: &[ProcessName]) -> AgentRank {
    AgentRank::new(&service(), own, view.iter().cloned())
}

/// Starts an agent with a peer address that is chosen before the start, because the host list announces it.
pub fn start(
    agent: &ProcessName,
    platform: std::net::SocketAddr,
    engine: std::net::SocketAddr,
    files: &TlsFiles,
) -> Context {
    // Another process may take the port between the two binds.
    for _ in 0..16 {
        let probe = UdpSocket::bind("127.0.0.1:0").expect("a free port");
        let mut s = settings(
            agent.as_str(),
            EndpointKind::Engine,
            platform,
            engine,
            files.clone(),
        );
        s.peer = probe.local_addr().expect("a bound address");
        drop(probe);
        if let Ok(ctx) = Context::start(s) {
            return ctx;
        }
    }
    panic!("no free port");
}
