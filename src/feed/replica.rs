//! The agreed state as far as this process has applied it.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwap;
use tokio::sync::{broadcast, watch};

use crate::{
    base::{Millis, Offset},
    emit,
    kernel::{Effect, Entry, Kernel, Lease, Refusal, Step},
    settings::InForce,
    wire::Hosts,
};

crate::events! {
    /// A record was skipped.
    RECORD_SKIPPED = 100, "record-skipped", Warn,
        "a log record is foreign or malformed and was skipped by every process", "find out who else writes to the stream";
    /// Application of the stream stopped.
    STREAM_BLOCKED = 101, "stream-blocked", Error,
        "a log record cannot be applied; the process serves on its last settings", "update this process or check the log service";
    /// A value of the settings tree is not known to this build.
    VALUE_IGNORED = 102, "value-ignored", Warn,
        "a settings value is unknown to or invalid for this build; the default is used", "update this process";
}

/// Steps that a slow subscriber may lag behind before it has to look at the state instead.
const STEP_BUFFER: usize = 1024;

/// How this process stands to the control stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Status {
    /// Why application is blocked, if it is.
    pub blocked: Option<String>,
    /// Time of the process clock since which neither the log nor a peer could be reached; `None` while connected.
    pub isolated: Option<Millis>,
}

/// Agreed state of one process; readers take snapshots without a lock.
#[derive(Debug)]
pub struct Replica {
    kernel: Mutex<Kernel>,
    settings: ArcSwap<InForce>,
    hosts: ArcSwap<Hosts>,
    status: ArcSwap<Status>,
    applied: watch::Sender<Offset>,
    steps: broadcast::Sender<Step>,
}

impl Replica {
    /// Starts from a kernel state, either empty or from a snapshot.
    pub fn new(kernel: Kernel) -> Self {
        let settings = resolve(&kernel);
        Self {
            applied: watch::Sender::new(kernel.applied()),
            steps: broadcast::Sender::new(STEP_BUFFER),
            settings: ArcSwap::from_pointee(settings),
            hosts: ArcSwap::default(),
            status: ArcSwap::default(),
            kernel: Mutex::new(kernel),
        }
    }

    fn kernel(&self) -> MutexGuard<'_, Kernel> {
        self.kernel.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the settings in force.
    pub fn settings(&self) -> Arc<InForce> {
        self.settings.load_full()
    }

    /// Returns the host list as last read.
    pub fn hosts(&self) -> Arc<Hosts> {
        self.hosts.load_full()
    }

    /// Replaces the host list.
    pub fn set_hosts(&self, hosts: Hosts) {
        self.hosts.store(Arc::new(hosts));
    }

    /// Returns how this process stands to the control stream.
    pub fn status(&self) -> Arc<Status> {
        self.status.load_full()
    }

    /// Replaces the status.
    pub fn set_status(&self, status: Status) {
        self.status.store(Arc::new(status));
    }

    /// Returns the offset of the last applied record.
    pub fn applied(&self) -> Offset {
        *self.applied.borrow()
    }

    /// Subscribes to the applied offset.
    pub fn watch(&self) -> watch::Receiver<Offset> {
        self.applied.subscribe()
    }

    /// Subscribes to the effects of records applied from now on.
    pub fn steps(&self) -> broadcast::Receiver<Step> {
        self.steps.subscribe()
    }

    /// Returns the lease of a resource, or `None` if it is free.
    pub fn lease(&self, resource: &str) -> Option<Lease> {
        self.kernel().leases().get(resource).cloned()
    }

    /// Calls `f` with the kernel; records are not applied meanwhile.
    pub fn with_kernel<T>(&self, f: impl FnOnce(&Kernel) -> T) -> T {
        f(&self.kernel())
    }

    /// Waits until `offset` is applied; returns whether that happened in time.
    pub async fn wait_for(&self, offset: Offset, timeout: Millis) -> bool {
        let mut rx = self.watch();
        let wait = rx.wait_for(|applied| *applied >= offset);
        let done = tokio::time::timeout(timeout.duration(), wait).await;
        matches!(done, Ok(Ok(_)))
    }

    /// Applies an entry and publishes the new state.
    ///
    /// # Errors
    ///
    /// Returns the kernel's refusal; the state is unchanged.
    pub fn apply(&self, entry: &Entry) -> Result<Step, Refusal> {
        let mut kernel = self.kernel();
        let step = kernel.apply(entry)?;
        if step.effect == Effect::Published {
            self.settings.store(Arc::new(resolve(&kernel)));
        }
        if let Effect::Skipped(err) = &step.effect {
            emit!(RECORD_SKIPPED, "offset {}: {err}", step.offset);
        }
        // Under the lock, so that two tasks that apply records announce them in the order of the log. Without
        // subscribers there is nobody to tell.
        let _ = self.steps.send(step.clone());
        self.applied.send_replace(step.offset);
        drop(kernel);
        Ok(step)
    }

    /// Replaces the state by a later one; returns whether it was later.
    pub fn restore(&self, later: Kernel) -> bool {
        let mut kernel = self.kernel();
        if later.applied() <= kernel.applied() {
            return false;
        }
        *kernel = later;
        self.settings.store(Arc::new(resolve(&kernel)));
        let applied = kernel.applied();
        self.applied.send_replace(applied);
        drop(kernel);
        true
    }
}

fn resolve(kernel: &Kernel) -> InForce {
    InForce::resolve(kernel.applied(), kernel.config(), |path, err| {
        emit!(VALUE_IGNORED, "{path}: {err}");
    })
}
