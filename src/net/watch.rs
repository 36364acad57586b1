//! Subscriptions to the reports of an agent.

use std::net::SocketAddr;

use super::Transport;
use crate::{
    base::{Millis, ProcessName},
    wire::{AgentReport, Open},
};

/// Largest report in bytes.
const REPORT_MAX: usize = 64 << 10;

/// How a subscription ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Followed {
    /// Whether any report arrived.
    pub(crate) any: bool,
    /// Another agent that answered at the address.
    pub(crate) foreign: Option<ProcessName>,
}

/// Passes the reports of an agent to `take` until the stream ends, is silent, or another agent answers.
///
/// `open` holds a [`Call::Watch`](crate::wire::Call::Watch).
pub(crate) async fn follow_reports(
    transport: &Transport,
    peer: SocketAddr,
    open: &Open,
    name: &ProcessName,
    silence: Millis,
    mut take: impl FnMut(AgentReport),
) -> Followed {
    let mut out = Followed::default();
    let call = transport.call(peer, open);
    let Ok(Ok(mut call)) = tokio::time::timeout(silence.duration(), call).await else {
        return out;
    };
    while let Ok(report) = call.rx.next::<AgentReport>(REPORT_MAX, silence).await {
        if report.name != *name {
            out.foreign = Some(report.name);
            return out;
        }
        out.any = true;
        take(report);
    }
    out
}
