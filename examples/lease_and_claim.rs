//! Embeds the lease and claim parts over a log in memory.
//!
//! Two workers share one log. Each acquires the lease of a device in turn, and both try to run the same request; the
//! request runs once. Run with `cargo run --example lease_and_claim`.

use std::collections::VecDeque;

use bytes::Bytes;
use sesamewing::{
    base::{Attempt, Clock, Digest, Instance, ManualClock, Millis, Offset, RequestId},
    decide::{
        claim::{Action, AppendResult, ClaimRunner, RunResult, Submission, Ticket, Timing},
        lease::{LeaseHolder, LeaseStep},
    },
    kernel::{Body, Entry, Kernel, Record},
};

/// Time for which request ids are kept.
const WINDOW: Millis = Millis::from_secs(3600);

/// An append-only log in memory.
#[derive(Default)]
struct MemoryLog {
    entries: Vec<Entry>,
}

impl MemoryLog {
    fn append(&mut self, time: Millis, record: &Record) -> eyre::Result<()> {
        let offset = Offset(self.entries.len() as u64 + 1);
        self.entries.push(Entry {
            offset,
            time,
            data: record.encode()?,
        });
        Ok(())
    }
}

/// Acquires the lease of a device for each worker in turn and returns the fencing tokens.
fn lease_in_turn(clock: &ManualClock) -> eyre::Result<Vec<u64>> {
    let (mut log, mut kernel) = (MemoryLog::default(), Kernel::new(WINDOW));
    let mut tokens = Vec::new();
    for (name, instance) in [("worker-a", 1), ("worker-b", 2)] {
        let mut holder = LeaseHolder::new("device".into(), name.parse()?, Instance(instance));
        holder.observe(clock.now(), kernel.leases().get("device"));
        let LeaseStep::Append(op) = holder.next(clock.now()) else {
            eyre::bail!("the lease is free, so the next step is to append");
        };
        // The term is counted from before the append is sent.
        holder.append_sent(clock.now());
        log.append(clock.now(), &Record::new(Body::Lease(op)))?;
        clock.advance(Millis(5));
        read_back(&log, &mut kernel)?;
        holder.observe(clock.now(), kernel.leases().get("device"));
        holder.appends_settled();
        // The clock is checked immediately before each command; the token goes to the device with it.
        let token = holder
            .command_fence(clock.now())
            .ok_or_else(|| eyre::eyre!("the lease is held"))?;
        tokens.push(token.0);
        if let Some(op) = holder.release() {
            log.append(clock.now(), &Record::new(Body::Lease(op)))?;
            read_back(&log, &mut kernel)?;
        }
    }
    Ok(tokens)
}

fn read_back(log: &MemoryLog, kernel: &mut Kernel) -> eyre::Result<()> {
    for entry in &log.entries[kernel.applied().0 as usize..] {
        kernel.apply(entry)?;
    }
    Ok(())
}

/// A worker that runs requests at most once.
struct Worker {
    runner: ClaimRunner<Bytes>,
    runs: u32,
}

impl Worker {
    fn new(name: &str, instance: u64) -> eyre::Result<Self> {
        let rules = Timing {
            linger: Millis(0),
            readback: Millis(2000),
        };
        let kernel = Kernel::new(WINDOW);
        let mut runner = ClaimRunner::new(name.parse()?, Instance(instance), kernel, rules);
        // The empty log has been read to its end; before that a runner refuses all requests.
        runner.set_reachable(true);
        Ok(Self { runner, runs: 0 })
    }

    /// Carries out what the runner decided; returns whether anything happened.
    fn step(&mut self, now: Millis, log: &mut MemoryLog) -> eyre::Result<bool> {
        let mut todo: VecDeque<_> = self.runner.poll(now).into();
        let busy = !todo.is_empty();
        while let Some(action) = todo.pop_front() {
            match action {
                Action::Append(record) => {
                    log.append(log_time(), &record)?;
                    self.runner
                        .complete_append(now, record.id, AppendResult::Appended);
                }
                Action::Run { id, payload, .. } => {
                    self.runs += 1;
                    let (media, body) = ("text/plain".to_owned(), payload);
                    self.runner.complete_run(
                        now,
                        id,
                        RunResult::Responded {
                            status: 200,
                            media,
                            body,
                        },
                    );
                }
                Action::Reply(ticket, verdict) => println!("caller {}: {verdict:?}", ticket.0),
                Action::Settled(..) => {}
            }
        }
        let applied = self.runner.kernel().applied().0 as usize;
        for entry in &log.entries[applied..] {
            self.runner.apply(now, entry)?;
        }
        Ok(busy || applied < log.entries.len())
    }
}

/// Wall-clock time that the log stamps on a record.
fn log_time() -> Millis {
    Millis(sesamewing::base::wall_ms())
}

/// Submits one request to two workers and returns how often it ran.
fn run_once(clock: &ManualClock) -> eyre::Result<u32> {
    let mut log = MemoryLog::default();
    let mut workers = [Worker::new("worker-a", 1)?, Worker::new("worker-b", 2)?];
    let order = Bytes::from_static(b"one crew, please");
    let id = RequestId::now();
    for (i, worker) in workers.iter_mut().enumerate() {
        let submit = Submission {
            id,
            digest: Digest::of(&order),
            attempt: Attempt(1),
            deadline: clock.now() + Millis::from_secs(30),
            refusal: None,
            payload: order.clone(),
        };
        worker.runner.submit(clock.now(), Ticket(i as u64), submit);
    }
    let mut active = true;
    while active {
        active = false;
        clock.advance(Millis(1));
        for worker in &mut workers {
            active |= worker.step(clock.now(), &mut log)?;
        }
    }
    Ok(workers.iter().map(|w| w.runs).sum())
}

fn main() -> eyre::Result<()> {
    let clock = ManualClock::default();
    let tokens = lease_in_turn(&clock)?;
    println!("fencing tokens: {tokens:?}");
    eyre::ensure!(tokens[0] < tokens[1], "a later lease has a greater token");
    let runs = run_once(&clock)?;
    println!("runs: {runs}");
    eyre::ensure!(runs == 1, "the request runs once");
    Ok(())
}
