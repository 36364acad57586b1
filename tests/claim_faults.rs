//! Claim runners of three agents under random faults.

use bytes::Bytes;
use proptest::prelude::*;
use sesamewing::{
    base::{Attempt, Digest, Instance, Millis, Offset, RequestId},
    decide::claim::{
        Action, AppendResult, ClaimRunner, RunResult, Submission, Ticket, Timing, Verdict,
    },
    kernel::{Entry, Kernel, Record},
    wire::{NotRun, RunOutcome, SettleReply},
};

const AGENTS: usize = 3;
const RULES: Timing = Timing {
    linger: Millis(5),
    readback: Millis(200),
};

/// What happens to an append.
#[derive(Clone, Copy, Debug)]
enum AppendFate {
    Acknowledged,
    Refused,
    /// The record is in the log, but the acknowledgement is lost.
    AckLost,
    RecordLost,
    /// The record arrives in the log later, by `Op::Deliver`; the agent gets no acknowledgement.
    Late,
}

#[derive(Clone, Debug)]
enum Op {
    Submit(usize, u8, u32),
    Settle(usize, u8, u32),
    Append(usize, AppendFate),
    /// Appends the late record at this position.
    Deliver(usize),
    Read(usize, usize),
    Finish(usize, u8),
    Advance(u64),
    /// The agent is killed and starts again.
    Restart(usize),
}

type Run = (RequestId, Attempt);

struct Agent {
    instance: Instance,
    runner: ClaimRunner<Run>,
    read: usize,
    sent: Vec<Record>,
    running: Vec<Run>,
}

#[derive(Default)]
struct World {
    now: u64,
    log: Vec<Entry>,
    late: Vec<Record>,
    /// Runs whose requests may have reached the endpoint.
    runs: Vec<(Instance, Run)>,
    tickets: Vec<Run>,
    /// Submissions that wait for a reply, and the agent's instance that they wait for.
    open: Vec<(u64, Instance)>,
    /// Attempts that an agent has reported as void.
    voids: Vec<Run>,
}

fn id(n: u8) -> RequestId {
    let text = format!("018bcfe5-6800-7000-8000-00000000000{n}");
    text.parse().expect("a UUID")
}

impl Agent {
    fn start(n: usize, generation: u64) -> Self {
        let name = format!("agent-{n}").parse().expect("a name");
        let instance = Instance(1 + n as u64 + 10 * generation);
        let kernel = Kernel::new(Millis::from_secs(3600));
        let mut runner = ClaimRunner::new(name, instance, kernel, RULES);
        runner.set_reachable(true);
        Self {
            instance,
            runner,
            read: 0,
            sent: Vec::new(),
            running: Vec::new(),
        }
    }
}

impl World {
    fn push(&mut self, record: &Record) {
        let offset = Offset(self.log.len() as u64 + 1);
        self.log.push(Entry {
            offset,
            time: Millis(0x018b_cfe5_6800 + offset.0),
            data: record.encode().expect("a small record"),
        });
    }

    fn poll(&mut self, agent: &mut Agent) {
        for action in agent.runner.poll(Millis(self.now)) {
            match action {
                Action::Append(record) => agent.sent.push(record),
                Action::Run { payload, .. } => {
                    agent.running.push(payload);
                    let waits = |(t, i): &(u64, Instance)| {
                        self.tickets[*t as usize] == payload && *i == agent.instance
                    };
                    assert!(
                        self.open.iter().any(waits),
                        "ran although no caller waits: {payload:?}"
                    );
                    self.runs.push((agent.instance, payload));
                }
                Action::Reply(Ticket(t), verdict) => {
                    self.open.retain(|(o, _)| *o != t);
                    let Verdict::Failed(RunOutcome::NotRun(reason)) = verdict else {
                        continue;
                    };
                    let run = self.tickets[t as usize];
                    let ran = self.runs.contains(&(agent.instance, run));
                    assert!(!ran, "`not run` after a run: {run:?}");
                    if reason == NotRun::Void {
                        self.voids.push(run);
                    }
                }
                Action::Settled(Ticket(t), SettleReply::Void) => {
                    self.voids.push(self.tickets[t as usize]);
                }
                Action::Settled(..) => {}
            }
        }
    }

    fn ticket(&mut self, n: u8, attempt: u32) -> (Ticket, RequestId, Attempt) {
        self.tickets.push((id(n), Attempt(attempt)));
        (
            Ticket(self.tickets.len() as u64 - 1),
            id(n),
            Attempt(attempt),
        )
    }

    fn step(&mut self, agents: &mut [Agent], op: &Op) {
        let now = Millis(self.now);
        match *op {
            Op::Submit(a, n, attempt) => {
                let (ticket, id, attempt) = self.ticket(n, attempt);
                self.open.push((ticket.0, agents[a].instance));
                let submit = Submission {
                    id,
                    digest: Digest::of(b"x"),
                    attempt,
                    deadline: now + Millis(500),
                    refusal: None,
                    payload: (id, attempt),
                };
                agents[a].runner.submit(now, ticket, submit);
            }
            Op::Settle(a, n, attempt) => {
                let (ticket, id, attempt) = self.ticket(n, attempt);
                let deadline = now + Millis(500);
                agents[a].runner.settle(now, ticket, id, attempt, deadline);
            }
            Op::Append(a, fate) => {
                let Some(record) = agents[a].sent.pop() else {
                    return;
                };
                let end = match fate {
                    AppendFate::Acknowledged => AppendResult::Appended,
                    AppendFate::Refused => AppendResult::Refused,
                    AppendFate::AckLost | AppendFate::RecordLost | AppendFate::Late => {
                        AppendResult::Unknown
                    }
                };
                match fate {
                    AppendFate::Acknowledged | AppendFate::AckLost => self.push(&record),
                    AppendFate::Late => self.late.push(record.clone()),
                    AppendFate::Refused | AppendFate::RecordLost => {}
                }
                agents[a].runner.complete_append(now, record.id, end);
            }
            Op::Deliver(n) if !self.late.is_empty() => {
                let record = self.late.remove(n % self.late.len());
                self.push(&record);
            }
            Op::Read(a, n) => {
                let agent = &mut agents[a];
                let end = (agent.read + n).min(self.log.len());
                for entry in &self.log[agent.read..end] {
                    agent.runner.apply(now, entry).expect("the next entry");
                }
                agent.read = end;
            }
            Op::Finish(a, end) => {
                let Some(run) = agents[a].running.pop() else {
                    return;
                };
                let instance = agents[a].instance;
                let end = match end {
                    0 => RunResult::Unknown,
                    1 => {
                        self.runs.retain(|r| *r != (instance, run));
                        RunResult::NotSent
                    }
                    _ => RunResult::Responded {
                        status: 200,
                        media: String::new(),
                        body: Bytes::from_static(b"ok"),
                    },
                };
                agents[a].runner.complete_run(now, run.0, end);
            }
            Op::Advance(ms) => self.now += ms,
            Op::Restart(a) => {
                let old = std::mem::replace(&mut agents[a], Agent::start(a, self.now + 1));
                self.open.retain(|(_, i)| *i != old.instance);
            }
            Op::Deliver(_) => {}
        }
        for agent in agents {
            self.poll(agent);
        }
    }

    fn check(&self) {
        for n in 0..2 {
            let runs = self.runs.iter().filter(|(_, (i, _))| *i == id(n));
            assert!(runs.count() <= 1, "two runs: {:?}", self.runs);
        }
        for void in &self.voids {
            assert!(
                self.runs.iter().all(|(_, r)| r != void),
                "ran after a void: {void:?}"
            );
        }
    }
}

fn op() -> impl Strategy<Value = Op> {
    let fate = prop_oneof![
        4 => Just(AppendFate::Acknowledged),
        1 => Just(AppendFate::Refused),
        1 => Just(AppendFate::AckLost),
        1 => Just(AppendFate::RecordLost),
        1 => Just(AppendFate::Late),
    ];
    prop_oneof![
        4 => (0..AGENTS, 0..2u8, 1..4u32).prop_map(|(a, n, t)| Op::Submit(a, n, t)),
        2 => (0..AGENTS, 0..2u8, 1..4u32).prop_map(|(a, n, t)| Op::Settle(a, n, t)),
        6 => (0..AGENTS, fate).prop_map(|(a, f)| Op::Append(a, f)),
        2 => (0..4usize).prop_map(Op::Deliver),
        6 => (0..AGENTS, 1..4usize).prop_map(|(a, n)| Op::Read(a, n)),
        2 => (0..AGENTS, 0..3u8).prop_map(|(a, e)| Op::Finish(a, e)),
        4 => (1..10u64).prop_map(Op::Advance),
        1 => (100..400u64).prop_map(Op::Advance),
        1 => (0..AGENTS).prop_map(Op::Restart),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 3000, max_shrink_iters: 20_000, ..ProptestConfig::default() })]

    /// Guards against a second run of a request id, a run after the reply "not run" and a run of a void attempt,
    /// whatever is lost, late or repeated.
    #[test]
    fn claims_hold_under_random_faults(ops in prop::collection::vec(op(), 1..120)) {
        let mut world = World { now: 1, ..World::default() };
        let mut agents: Vec<_> = (0..AGENTS).map(|n| Agent::start(n, 0)).collect();
        for op in &ops {
            world.step(&mut agents, op);
            world.check();
        }
    }
}
