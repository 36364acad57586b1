//! The agreed state as far as this process has applied it.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc, Mutex, MutexGuard,
    },
};

use arc_swap::ArcSwap;
use tokio::sync::{broadcast, watch};

use crate::{
    base::{lock, Clock, Millis, Offset, SystemClock},
    emit,
    kernel::{Effect, Entry, Kernel, Lease, Refusal, Snapshot, Step},
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
    /// The log, a snapshot or a peer is older than this process, or records are gone.
    STREAM_DIVERGED = 103, "stream-diverged", Error,
        "the log or a peer does not continue the applied state; the process serves on its last settings", "find out whether the log was reset or belongs to another deployment; see docs/operations.md";
    /// Neither the log nor a peer can be reached.
    FEED_ISOLATED = 104, "feed-isolated", Warn,
        "neither the log nor a peer can be reached; the process serves on its last settings", "check the network of the host";
    /// A value of the settings tree is not known to this build.
    VALUE_IGNORED = 102, "value-ignored", Warn,
        "a settings value is unknown to or invalid for this build; the default is used", "update this process";
}

/// Steps that a slow subscriber may lag behind before it has to look at the state instead.
const STEP_BUFFER: usize = 1024;

/// Records kept for subscribers; older ones are replaced by a snapshot.
const TAIL_RECORDS: usize = 4096;

/// Bytes of records kept for subscribers.
const TAIL_BYTES: usize = 4 << 20;

/// Time without contact after which the process counts as isolated.
const ISOLATED_AFTER: Millis = Millis(2000);

/// Time by which a confirmation must be later than a detection: the age in an item does not contain its time on the way.
const AGE_MARGIN: Millis = Millis(500);

/// Why the state is not brought up to date; each cause is raised and cleared by what detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// The next record has a newer schema.
    Schema,
    /// The log is shorter than what was applied, or holds another record at an applied offset.
    Reset,
    /// Records are gone from the log and no snapshot replaces them.
    Gap,
    /// A peer offered an older state.
    Peer,
}

/// How this process stands to the control stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Status {
    /// Why application is blocked, if it is.
    pub blocked: Option<String>,
    /// Time of the process clock since which neither the log nor a peer could be reached; `None` while connected.
    pub isolated: Option<Millis>,
}

/// Records after the last snapshot that was loaded, for subscribers.
#[derive(Debug, Default)]
struct Tail {
    /// Consecutive offsets that end at the applied offset.
    entries: VecDeque<Entry>,
    /// Sum of the lengths of the records.
    bytes: usize,
}

impl Tail {
    fn push(&mut self, entry: Entry) {
        self.bytes += entry.data.len();
        self.entries.push_back(entry);
        while self.entries.len() > TAIL_RECORDS || self.bytes > TAIL_BYTES {
            let old = self.entries.pop_front();
            self.bytes -= old.map_or(0, |e| e.data.len());
        }
    }
}

/// A place of a subscriber.
#[derive(Debug)]
pub(super) struct Place<'a>(&'a AtomicUsize);

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// What a process that is behind needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Missing {
    /// The records from the asked offset on, possibly none.
    Records(Vec<Entry>),
    /// The whole state, because the records are no longer kept.
    State(Snapshot),
}

/// Agreed state of one process; readers take snapshots without a lock.
#[derive(Debug)]
pub struct Replica {
    clock: SystemClock,
    kernel: Mutex<Kernel>,
    /// Locked only while the kernel is.
    tail: Mutex<Tail>,
    /// Causes with the time at which each was last detected.
    causes: Mutex<BTreeMap<Cause, (Millis, String)>>,
    /// Time of the last contact with the log or a peer.
    contact: Mutex<Millis>,
    /// Time at which the log last confirmed the state, directly or through peers.
    confirmed: Mutex<Option<Millis>>,
    /// Subscriptions that this process serves.
    subscribers: AtomicUsize,
    /// Held by the task that catches up from a sender that is ahead.
    catching: tokio::sync::Mutex<()>,
    settings: ArcSwap<InForce>,
    hosts: watch::Sender<Arc<Hosts>>,
    status: ArcSwap<Status>,
    applied: watch::Sender<Offset>,
    steps: broadcast::Sender<Step>,
}

impl Replica {
    /// Starts from a kernel state, either empty or from a snapshot.
    pub fn new(kernel: Kernel) -> Self {
        Self::with_clock(kernel, SystemClock::start())
    }

    /// Starts from a kernel state; times in the status are those of `clock`.
    pub fn with_clock(kernel: Kernel, clock: SystemClock) -> Self {
        let settings = resolve(&kernel);
        Self {
            applied: watch::Sender::new(kernel.applied()),
            steps: broadcast::Sender::new(STEP_BUFFER),
            settings: ArcSwap::from_pointee(settings),
            hosts: watch::Sender::default(),
            contact: Mutex::new(clock.now()),
            confirmed: Mutex::default(),
            causes: Mutex::default(),
            subscribers: AtomicUsize::new(0),
            catching: tokio::sync::Mutex::default(),
            tail: Mutex::default(),
            clock,
            status: ArcSwap::default(),
            kernel: Mutex::new(kernel),
        }
    }

    fn kernel(&self) -> MutexGuard<'_, Kernel> {
        lock(&self.kernel)
    }

    /// Returns the settings in force.
    pub fn settings(&self) -> Arc<InForce> {
        self.settings.load_full()
    }

    /// Returns the host list as last read.
    pub fn hosts(&self) -> Arc<Hosts> {
        self.hosts.borrow().clone()
    }

    /// Subscribes to the host list.
    pub fn watch_hosts(&self) -> watch::Receiver<Arc<Hosts>> {
        self.hosts.subscribe()
    }

    /// Replaces the host list; an empty one is ignored.
    ///
    /// A list without any process was reset, and each process would take itself for a reader.
    pub fn set_hosts(&self, hosts: Hosts) {
        self.hosts.send_if_modified(|old| {
            let changed = **old != hosts && !hosts.hosts.is_empty();
            if changed {
                *old = Arc::new(hosts);
            }
            changed
        });
    }

    /// Returns how this process stands to the control stream.
    pub fn status(&self) -> Arc<Status> {
        self.status.load_full()
    }

    /// Raises an alarm, or replaces its text.
    pub fn raise(&self, cause: Cause, text: String) {
        let now = self.clock.now();
        let old = lock(&self.causes).insert(cause, (now, text.clone()));
        if old.is_some_and(|(_, old)| old == text) {
            return;
        }
        match cause {
            Cause::Schema => emit!(STREAM_BLOCKED, "{text}"),
            Cause::Reset | Cause::Gap | Cause::Peer => emit!(STREAM_DIVERGED, "{text}"),
        }
        self.publish_status();
    }

    /// Clears an alarm.
    pub fn clear(&self, cause: Cause) {
        if lock(&self.causes).remove(&cause).is_some() {
            self.publish_status();
        }
    }

    /// Clears what the log itself has refuted: `age` ago it confirmed exactly the applied state to a peer.
    ///
    /// A confirmation from before the last detection, for example from before the log was reset, refutes nothing.
    pub(super) fn clear_refuted(&self, age: Millis) {
        let time = self.clock.now() - age;
        let refuted = |cause| {
            let causes = lock(&self.causes);
            let detected = causes.get(&cause).map(|(detected, _)| *detected);
            detected.is_some_and(|t| time > t + AGE_MARGIN)
        };
        for cause in [Cause::Reset, Cause::Gap] {
            if refuted(cause) {
                self.clear(cause);
            }
        }
    }

    fn publish_status(&self) {
        let blocked = lock(&self.causes)
            .values()
            .next()
            .map(|(_, text)| text.clone());
        self.status.rcu(|s| Status {
            blocked: blocked.clone(),
            isolated: s.isolated,
        });
    }

    /// Notes that the log or a peer answered.
    pub fn reached(&self) {
        *lock(&self.contact) = self.clock.now();
        if self.status.load().isolated.is_some() {
            self.set_isolated(None);
        }
    }

    /// Sets the time since which the process is isolated if there was no contact for 2 s.
    pub fn check_contact(&self) {
        let last = *lock(&self.contact);
        let isolated = self.clock.now() > last + ISOLATED_AFTER;
        if isolated && self.status.load().isolated.is_none() {
            emit!(FEED_ISOLATED, "no contact for {ISOLATED_AFTER}");
            self.set_isolated(Some(last));
        }
    }

    fn set_isolated(&self, isolated: Option<Millis>) {
        self.status.rcu(|s| Status {
            blocked: s.blocked.clone(),
            isolated,
        });
    }

    /// Notes that the log confirmed the state `age` ago.
    pub fn confirm(&self, age: Millis) {
        let time = self.clock.now() - age;
        let mut confirmed = lock(&self.confirmed);
        *confirmed = Some(confirmed.map_or(time, |t| t.max(time)));
    }

    /// Returns the time since the log last confirmed the state, directly or through peers.
    pub fn age(&self) -> Millis {
        lock(&self.confirmed).map_or(Millis::MAX, |t| self.clock.now() - t)
    }

    /// Returns what a process lacks that has applied everything before `from`.
    ///
    /// A process that is ahead lacks nothing.
    pub fn missing(&self, from: Offset, max: usize) -> Missing {
        let kernel = self.kernel();
        let tail = lock(&self.tail);
        let applied = kernel.applied();
        if from > applied {
            return Missing::Records(Vec::new());
        }
        let first = Offset(applied.next().0 - tail.entries.len() as u64);
        if from < first {
            return Missing::State(Snapshot::of(&kernel));
        }
        let skip = (from.0 - first.0) as usize;
        Missing::Records(tail.entries.iter().skip(skip).take(max).cloned().collect())
    }

    /// Takes one of `max` places for a subscriber; it is given back on drop.
    pub(super) fn place(&self, max: usize) -> Option<Place<'_>> {
        let taken = self.subscribers.fetch_add(1, Ordering::Relaxed);
        let place = Place(&self.subscribers);
        (taken < max).then_some(place)
    }

    /// Returns the number of subscriptions that this process serves.
    pub fn subscribers(&self) -> usize {
        self.subscribers.load(Ordering::Relaxed)
    }

    /// Returns the right to catch up from a sender, or `None` while another task does.
    pub(super) fn catching(&self) -> Option<tokio::sync::MutexGuard<'_, ()>> {
        self.catching.try_lock().ok()
    }

    /// Returns the last applied record, or `None` if a snapshot was loaded since.
    pub fn last(&self) -> Option<Entry> {
        lock(&self.tail).entries.back().cloned()
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
        lock(&self.tail).push(entry.clone());
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
        *lock(&self.tail) = Tail::default();
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
