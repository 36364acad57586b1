//! The task that owns the claim runner.

use std::sync::{
    atomic::{AtomicUsize, Ordering},
    Arc,
};

use tokio::sync::{mpsc, oneshot};

use super::{reader, run, Claims, Command};
use crate::{
    agent::{
        board::Board,
        event::{CLAIMS_BLOCKED, CLAIM_UNKNOWN},
    },
    backing::{Log, Page, PlatformError, Stream},
    base::{
        Clock, HashMap, Instance, Millis, Offset, ProcessName, RecordId, Region, RequestId, Service,
    },
    decide::claim::{Action, AppendResult, ClaimRunner, RunResult, Ticket, Timing, Verdict},
    emit,
    endpoint::Endpoint,
    feed::Replica,
    kernel::{Body, Entry, Kernel, Record, Window},
    process::CLAIM_WINDOW,
    settings::ClaimConfig,
    wire::{RunRequest, SettleReply},
};

/// Time between two appends of the window.
const WINDOW_INTERVAL: Millis = Millis(5000);

/// Results that wait for the driver.
const EVENTS_MAX: usize = 256;

/// A result of a task that the driver started.
#[derive(Debug)]
pub(super) enum Event {
    Page(Page),
    Unreachable(String),
    Blocked(String),
    Appended(RecordId, AppendResult),
    Finished(RequestId, RunResult),
}

/// Owns the claim runner and the tasks around it.
#[derive(Debug)]
pub struct Driver<E, L, C> {
    endpoint: E,
    log: L,
    clock: C,
    replica: Arc<Replica>,
    board: Arc<Board>,
    region: Region,
    service: Service,
    runner: ClaimRunner<RunRequest>,
    /// Offset before the first record that the log kept when this process started.
    base: Option<Offset>,
    /// Why no further record can be applied, if so; final.
    stuck: Option<String>,
    /// Time before which the window is not appended again.
    window_due: Millis,
    ticket: u64,
    verdicts: HashMap<Ticket, oneshot::Sender<Verdict>>,
    fates: HashMap<Ticket, oneshot::Sender<SettleReply>>,
    commands: mpsc::Receiver<Command>,
    events: (mpsc::Sender<Event>, mpsc::Receiver<Event>),
    pending: Arc<AtomicUsize>,
}

/// What a driver belongs to.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name of the agent.
    pub name: ProcessName,
    /// Run of the agent.
    pub instance: Instance,
    /// Region of the host.
    pub region: Region,
    /// Service of the endpoint.
    pub service: Service,
}

impl<E: Endpoint, L: Log + Clone, C: Clock + Clone + Send + Sync + 'static> Driver<E, L, C> {
    /// Creates a driver and its handle; nothing happens until [`Driver::run`].
    pub fn new(
        identity: Identity,
        endpoint: E,
        log: L,
        clock: C,
        replica: Arc<Replica>,
        board: Arc<Board>,
    ) -> (Self, Claims) {
        let (handle, commands, pending) = Claims::channel();
        let Identity {
            name,
            instance,
            region,
            service,
        } = identity;
        let rules = rules(&replica, &region, &service);
        let kernel = Kernel::new(CLAIM_WINDOW);
        let driver = Self {
            runner: ClaimRunner::new(name, instance, kernel, rules),
            endpoint,
            log,
            clock,
            replica,
            board,
            region,
            service,
            base: None,
            stuck: None,
            window_due: Millis::ZERO,
            ticket: 0,
            verdicts: HashMap::default(),
            fates: HashMap::default(),
            commands,
            events: mpsc::channel(EVENTS_MAX),
            pending,
        };
        (driver, handle)
    }

    /// Runs until the task is dropped or all handles are.
    pub async fn run(mut self) {
        let reader = reader::follow(self.log.clone(), self.events.0.clone());
        // Dropped with the set when this task ends.
        let mut tasks = tokio::task::JoinSet::new();
        tasks.spawn(reader);
        loop {
            let now = self.clock.now();
            self.runner
                .set_timing(rules(&self.replica, &self.region, &self.service));
            self.update_window(now);
            for action in self.runner.poll(now) {
                self.perform(action);
            }
            self.pending.store(self.runner.pending(), Ordering::Relaxed);
            let wake = self.runner.wake().map_or(Millis(1000), |t| t - now);
            tokio::select! {
                command = self.commands.recv() => match command {
                    Some(command) => self.command(command),
                    None => return,
                },
                Some(event) = self.events.1.recv() => self.event(event),
                () = tokio::time::sleep(wake.min(Millis(1000)).duration()) => {}
            }
        }
    }

    fn command(&mut self, command: Command) {
        let now = self.clock.now();
        self.ticket += 1;
        let ticket = Ticket(self.ticket);
        match command {
            Command::Submit(submit, reply) => {
                self.verdicts.insert(ticket, reply);
                self.runner.submit(now, ticket, *submit);
            }
            Command::Settle {
                id,
                attempt,
                deadline,
                reply,
            } => {
                self.fates.insert(ticket, reply);
                self.runner.settle(now, ticket, id, attempt, deadline);
            }
        }
    }

    fn event(&mut self, event: Event) {
        let now = self.clock.now();
        match event {
            Event::Page(page) => self.page(now, &page),
            Event::Unreachable(reason) => {
                log::debug!("the claims stream cannot be read: {reason}");
                self.runner.set_reachable(false);
            }
            Event::Blocked(reason) => self.block(&reason),
            Event::Appended(record, end) => self.runner.complete_append(now, record, end),
            Event::Finished(id, end) => {
                if end == RunResult::Unknown {
                    emit!(CLAIM_UNKNOWN, "request {id}");
                }
                self.runner.complete_run(now, id, end);
            }
        }
    }

    fn block(&mut self, reason: &str) {
        self.board.raise(&CLAIMS_BLOCKED, reason);
        self.runner.set_reachable(false);
    }

    /// Applies the records of a page.
    ///
    /// The state is built from the first kept record; ids that lost records may belong to are refused.
    fn page(&mut self, now: Millis, page: &Page) {
        if let Some(reason) = self.stuck.clone() {
            return self.block(&reason);
        }
        let first = page.first.0.max(1);
        if self.base.is_none() && first > 1 {
            self.runner.set_truncated();
        }
        let base = *self.base.get_or_insert(Offset(first - 1));
        let next = self.runner.kernel().applied().0 + base.0 + 1;
        if first > next {
            let reason = format!(
                "records from {next} up to {first} are gone from the log; restart this process"
            );
            self.block(&reason);
            self.stuck = Some(reason);
            return;
        }
        for e in &page.records {
            let entry = Entry {
                offset: Offset(e.offset.0.saturating_sub(base.0)),
                ..e.clone()
            };
            if let Err(refusal) = self.runner.apply(now, &entry) {
                let reason = refusal.to_string();
                self.block(&reason);
                self.stuck = Some(reason);
                return;
            }
        }
        let read = self.runner.kernel().applied().0 + base.0;
        if read + 1 >= page.next.0 {
            self.board.clear(&CLAIMS_BLOCKED);
            self.runner.set_reachable(true);
        }
    }

    /// Appends the window of the settings if the claims stream has an older one.
    ///
    /// Several agents may do so at once; all but the first record have no effect.
    fn update_window(&mut self, now: Millis) {
        let (window, revision) = self.runner.kernel().claims().window();
        let settings = self.replica.settings();
        let wanted = settings.service(&self.region, &self.service);
        let wanted = wanted.map_or(window, |s| s.claim.window);
        if wanted == window || settings.offset <= revision || now < self.window_due {
            return;
        }
        if !self.runner.is_reachable() {
            return;
        }
        self.window_due = now + WINDOW_INTERVAL;
        let record = Record::new(Body::Window(Window {
            window: wanted,
            revision: settings.offset,
        }));
        let log = self.log.clone();
        tokio::spawn(async move {
            // A lost record is appended again after the interval.
            append(&log, &record).await;
        });
    }

    fn perform(&mut self, action: Action<RunRequest>) {
        let events = self.events.0.clone();
        match action {
            Action::Append(record) => {
                let log = self.log.clone();
                tokio::spawn(async move {
                    let end = append(&log, &record).await;
                    // Without a driver nobody waits for the result.
                    let _ = events.send(Event::Appended(record.id, end)).await;
                });
            }
            Action::Run {
                id,
                payload,
                deadline,
            } => {
                let run = run::once(self.endpoint.clone(), self.clock.clone(), payload, deadline);
                tokio::spawn(async move {
                    let end = run.await;
                    let _ = events.send(Event::Finished(id, end)).await;
                });
            }
            Action::Reply(ticket, verdict) => {
                if let Some(reply) = self.verdicts.remove(&ticket) {
                    let _ = reply.send(verdict);
                }
            }
            Action::Settled(ticket, fate) => {
                if let Some(reply) = self.fates.remove(&ticket) {
                    let _ = reply.send(fate);
                }
            }
        }
    }
}

async fn append<L: Log>(log: &L, record: &Record) -> AppendResult {
    let Ok(data) = record.encode() else {
        return AppendResult::Refused;
    };
    match log.append(Stream::Claims, data).await {
        Ok(_) => AppendResult::Appended,
        Err(PlatformError::Refused(_) | PlatformError::Missing(_)) => AppendResult::Refused,
        Err(PlatformError::Unknown(_) | PlatformError::Malformed(_)) => AppendResult::Unknown,
    }
}

fn rules(replica: &Replica, region: &Region, service: &Service) -> Timing {
    let settings = replica.settings();
    let config = settings.service(region, service).map(|s| &s.claim);
    let of = |c: &ClaimConfig| Timing {
        linger: c.linger,
        readback: c.readback,
    };
    config.map_or_else(|| of(&ClaimConfig::default()), of)
}
