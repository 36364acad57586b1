//! The context that the parts of a running process share.

use std::sync::Arc;

use arc_swap::ArcSwap;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use super::ProcessSettings;
use crate::{
    backing::HttpPlatform,
    base::{Instance, Millis, SystemClock},
    feed::Replica,
    kernel::Kernel,
    net::Transport,
    observe::{Metrics, RoleStatus, Timeline},
    wire::{Call, HostEntry, HostState, Open},
};

/// Phase of a process's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// Takes new work.
    Serving,
    /// Takes no new work and ends what is in progress.
    Draining,
    /// Nothing is in progress; the process exits.
    Stopped,
}

/// Shared by all parts of a daemon; cheap to clone.
#[derive(Clone, Debug)]
pub struct Context {
    /// Process settings.
    pub settings: Arc<ProcessSettings>,
    /// This run of the process.
    pub instance: Instance,
    /// Monotonic clock of the process.
    pub clock: SystemClock,
    /// Agreed state as far as this process has applied it.
    pub replica: Arc<Replica>,
    /// Connections to other processes.
    pub transport: Transport,
    /// Platform client.
    pub platform: HttpPlatform,
    /// Phase; moves only forward.
    pub phase: Arc<watch::Sender<Phase>>,
    /// Status of the role, kept current by the daemon.
    pub status: Arc<ArcSwap<RoleStatus>>,
    /// Metrics registry.
    pub metrics: Metrics,
    /// Recent events.
    pub timeline: Timeline,
}

/// Time for which request ids are kept until a record in the claims stream says otherwise.
///
/// Equal in all processes and to the default of `claim.window`: part of the state before the first record.
pub const CLAIM_WINDOW: Millis = Millis::from_secs(12 * 3600);

impl Context {
    /// Binds the peer address and creates the parts; must be called within a `tokio` runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer address is taken, or the TLS files or the platform address cannot be used.
    pub fn start(settings: ProcessSettings) -> eyre::Result<Self> {
        let transport = Transport::bind(settings.peer, settings.tls.clone())?;
        let platform = HttpPlatform::new(&settings.platform)?;
        let clock = SystemClock::start();
        let metrics = Metrics::default();
        transport.register(&metrics);
        Ok(Self {
            timeline: Timeline::new(settings.name.clone()),
            settings: Arc::new(settings),
            instance: Instance::random(),
            clock,
            replica: Arc::new(Replica::with_clock(Kernel::new(CLAIM_WINDOW), clock)),
            transport,
            platform,
            phase: Arc::new(watch::Sender::new(Phase::Serving)),
            status: Arc::default(),
            metrics,
        })
    }

    /// Builds the first frame of a stream to another process.
    pub fn open(&self, call: Call) -> Open {
        Open {
            sender: self.settings.name.clone(),
            applied: self.replica.applied(),
            call,
        }
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Moves to a later phase; earlier ones are ignored.
    pub fn advance(&self, phase: Phase) {
        self.phase.send_if_modified(|p| {
            let later = phase > *p;
            if later {
                *p = phase;
            }
            later
        });
    }

    /// Waits until the process has reached a phase.
    pub async fn reached(&self, phase: Phase) {
        // The sender lives in this context, so the channel cannot close.
        let _ = self.phase.subscribe().wait_for(|p| *p >= phase).await;
    }

    /// Describes this process for the host list.
    pub fn host_entry(&self) -> HostEntry {
        let s = &self.settings;
        let state = if self.phase() == Phase::Serving {
            HostState::Live
        } else {
            HostState::Leaving
        };
        HostEntry {
            name: s.name.clone(),
            role: s.role,
            region: s.region.clone(),
            zone: s.zone.clone(),
            peer: s.peer,
            operator: s.operator,
            callers: s.callers,
            service: s.endpoint.as_ref().map(|e| e.service.clone()),
            state,
        }
    }
}
