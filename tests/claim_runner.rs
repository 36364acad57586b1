//! Claim runners on one simulated log, with manual time.

use assert_matches::assert_matches;
use bytes::Bytes;
use sesamewing::{
    base::{Attempt, Digest, Instance, Millis, Offset, RequestId},
    decide::claim::{
        Action, AppendResult, ClaimRunner, RunResult, Submission, Ticket, Timing, Verdict,
        REQUESTS_MAX,
    },
    kernel::{Body, Entry, Kernel, Record},
    wire::{NotRun, RunOutcome, SettleReply},
};

const WINDOW: Millis = Millis::from_secs(3600);
const RULES: Timing = Timing {
    linger: Millis(5),
    readback: Millis(2000),
};

/// Log time of the first record, and creation time of request ids.
const EPOCH: u64 = 0x018b_cfe5_6800;

fn id(n: u16) -> RequestId {
    let text = format!("018bcfe5-6800-7000-8000-00000000{n:04x}");
    text.parse().expect("a UUID")
}

/// An agent's claim runner and the actions that it returned.
struct Agent {
    runner: ClaimRunner<RequestId>,
    /// Number of records read so far.
    read: usize,
    runs: Vec<RequestId>,
    replies: Vec<(Ticket, Verdict)>,
    settled: Vec<(Ticket, SettleReply)>,
    /// Records that the runner has asked to append.
    sent: Vec<Record>,
}

impl Agent {
    fn new(n: u64) -> Self {
        let name = format!("agent-{n}").parse().expect("a name");
        let runner = ClaimRunner::new(name, Instance(n), Kernel::new(WINDOW), RULES);
        let mut agent = Self {
            runner,
            read: 0,
            runs: Vec::new(),
            replies: Vec::new(),
            settled: Vec::new(),
            sent: Vec::new(),
        };
        agent.runner.set_reachable(true);
        agent
    }

    fn submit(&mut self, now: u64, ticket: u64, request: RequestId, attempt: u32, body: &str) {
        let submit = Submission {
            id: request,
            digest: Digest::of(body.as_bytes()),
            attempt: Attempt(attempt),
            deadline: Millis(now + 10_000),
            refusal: None,
            payload: request,
        };
        self.runner.submit(Millis(now), Ticket(ticket), submit);
        self.poll(now);
    }

    fn settle(&mut self, now: u64, ticket: u64, request: RequestId, attempt: u32) {
        let deadline = Millis(now + 1000);
        self.runner.settle(
            Millis(now),
            Ticket(ticket),
            request,
            Attempt(attempt),
            deadline,
        );
        self.poll(now);
    }

    fn poll(&mut self, now: u64) {
        for action in self.runner.poll(Millis(now)) {
            match action {
                Action::Append(record) => self.sent.push(record),
                Action::Run { payload, .. } => self.runs.push(payload),
                Action::Reply(ticket, verdict) => self.replies.push((ticket, verdict)),
                Action::Settled(ticket, reply) => self.settled.push((ticket, reply)),
            }
        }
    }

    fn read(&mut self, now: u64, log: &Log) {
        for entry in &log.0[self.read..] {
            self.runner
                .apply(Millis(now), entry)
                .expect("the next entry");
        }
        self.read = log.0.len();
        self.poll(now);
    }

    fn appended(&mut self, now: u64, record: &Record, end: AppendResult) {
        self.runner.complete_append(Millis(now), record.id, end);
        self.poll(now);
    }

    /// Appends everything that is due and reads it back.
    fn sync(&mut self, now: u64, log: &mut Log) {
        for step in 0..8 {
            let now = now + step * RULES.linger.0;
            self.poll(now);
            for record in std::mem::take(&mut self.sent) {
                log.push(&record);
                self.appended(now, &record, AppendResult::Appended);
            }
            self.read(now, log);
        }
    }

    fn finish(&mut self, now: u64, request: RequestId, body: &[u8]) {
        let end = RunResult::Responded {
            status: 200,
            media: "text/plain".to_owned(),
            body: Bytes::copy_from_slice(body),
        };
        self.runner.complete_run(Millis(now), request, end);
        self.poll(now);
    }

    fn verdict(&self, ticket: u64) -> Option<&Verdict> {
        let mut found = self.replies.iter().filter(|(t, _)| t.0 == ticket);
        let verdict = found.next().map(|(_, v)| v);
        assert_eq!(found.next(), None, "ticket {ticket} got two replies");
        verdict
    }

    fn outcome(&self, ticket: u64) -> Option<RunOutcome> {
        match self.verdict(ticket)? {
            Verdict::Failed(outcome) => Some(outcome.clone()),
            Verdict::Done { .. } => None,
        }
    }
}

#[derive(Default)]
struct Log(Vec<Entry>);

impl Log {
    fn push(&mut self, record: &Record) {
        let n = self.0.len() as u64;
        self.0.push(Entry {
            offset: Offset(n + 1),
            time: Millis(EPOCH + n),
            data: record.encode().expect("a small record"),
        });
    }
}

fn body(verdict: Option<&Verdict>) -> Vec<u8> {
    match verdict {
        Some(Verdict::Done { body, .. }) => body.to_vec(),
        other => panic!("no response but {other:?}"),
    }
}

/// Guards against two runs of one attempt that was submitted to two agents.
#[test]
fn same_attempt_at_two_agents_runs_once() {
    for second_first in [false, true] {
        let (mut a, mut b, mut log) = (Agent::new(1), Agent::new(2), Log::default());
        a.submit(0, 1, id(1), 1, "x");
        b.submit(0, 1, id(1), 1, "x");
        a.poll(5);
        b.poll(5);
        let (x, y) = (
            a.sent.pop().expect("a claim"),
            b.sent.pop().expect("a claim"),
        );
        if second_first {
            log.push(&y);
            log.push(&x);
        } else {
            log.push(&x);
            log.push(&y);
        }
        a.read(10, &log);
        b.read(10, &log);
        assert_eq!(a.runs.len() + b.runs.len(), 1);
        assert_eq!(a.runs.len() == 1, !second_first);
        let (winner, loser) = if second_first { (&b, &a) } else { (&a, &b) };
        assert_eq!(winner.verdict(1), None);
        assert_matches!(loser.outcome(1), Some(RunOutcome::InProgress { .. }));
    }
}

/// Guards against a run without a read-back, whether the acknowledgement of the append or the record itself was lost.
#[test]
fn unacknowledged_claim_never_runs() {
    // Whether the claim arrives before the void, after it, or never.
    for arrival in ["before", "after", "never"] {
        let (mut a, mut b, mut log) = (Agent::new(1), Agent::new(2), Log::default());
        a.submit(0, 1, id(1), 1, "x");
        a.poll(5);
        let claim = a.sent.pop().expect("a claim");
        if arrival == "before" {
            log.push(&claim);
        }
        a.appended(10, &claim, AppendResult::Unknown);
        assert_eq!(a.outcome(1), Some(RunOutcome::NotRun(NotRun::Log)));
        // A repeated submission is rejected too while the void record is being appended.
        a.submit(11, 2, id(1), 1, "x");
        assert_eq!(a.outcome(2), Some(RunOutcome::NotRun(NotRun::Log)));
        a.sync(400, &mut log);
        if arrival == "after" {
            log.push(&claim);
        }
        a.sync(500, &mut log);
        assert_eq!(a.runs, [], "arrival {arrival}");
        // The next attempt can run at another agent.
        b.read(600, &log);
        b.submit(600, 1, id(1), 2, "x");
        b.sync(600, &mut log);
        a.sync(700, &mut log);
        assert_eq!((a.runs.len(), b.runs.len()), (0, 1), "arrival {arrival}");
    }
}

/// Guards against a run after the claim was read back too late, for example because the process was suspended.
#[test]
fn late_read_back_does_not_run() {
    let (mut a, mut log) = (Agent::new(1), Log::default());
    a.submit(0, 1, id(1), 1, "x");
    a.poll(5);
    let claim = a.sent.pop().expect("a claim");
    log.push(&claim);
    a.appended(6, &claim, AppendResult::Appended);
    a.read(5 + RULES.readback.0, &log);
    a.sync(3000, &mut log);
    assert_eq!(a.runs, []);
    assert_eq!(a.outcome(1), Some(RunOutcome::NotRun(NotRun::Log)));
    assert_matches!(
        a.runner.kernel().claims().get(&id(1)),
        Some((Attempt(1), sesamewing::kernel::ClaimState::Void, _))
    );
}

/// Guards against a run of an attempt that was settled as void, and against a void that blocks the next attempt.
#[test]
fn void_before_claim_never_runs_and_next_attempt_may() {
    let (mut a, mut b, mut log) = (Agent::new(1), Agent::new(2), Log::default());
    b.settle(0, 9, id(1), 1);
    a.submit(0, 1, id(1), 1, "x");
    b.sync(5, &mut log);
    a.sync(20, &mut log);
    assert_eq!(b.settled, [(Ticket(9), SettleReply::Void)]);
    assert_eq!(a.runs, []);
    assert_eq!(a.outcome(1), Some(RunOutcome::NotRun(NotRun::Void)));
    a.submit(100, 2, id(1), 2, "x");
    a.sync(100, &mut log);
    assert_eq!(a.runs, [id(1)]);
}

/// Guards against a settlement that voids the claim of a running attempt, at the claiming agent or at another one.
#[test]
fn settlement_after_claim_does_not_void() {
    let (mut a, mut b, mut log) = (Agent::new(1), Agent::new(2), Log::default());
    a.submit(0, 1, id(1), 1, "x");
    a.poll(5);
    // Neither agent has read the claim yet.
    let claim = a.sent.pop().expect("a claim");
    log.push(&claim);
    a.appended(6, &claim, AppendResult::Appended);
    a.settle(6, 8, id(1), 1);
    b.settle(6, 9, id(1), 1);
    b.sync(10, &mut log);
    a.sync(30, &mut log);
    assert_eq!(a.runs, [id(1)]);
    assert_matches!(&a.settled[..], [(_, SettleReply::Claimed { .. })]);
    assert_matches!(&b.settled[..], [(_, SettleReply::Claimed { .. })]);
    a.finish(100, id(1), b"ok");
    a.sync(100, &mut log);
    b.sync(150, &mut log);
    b.settle(200, 10, id(1), 1);
    assert_matches!(b.settled.last(), Some((_, SettleReply::Done(o))) if o.body.as_deref() == Some(b"ok"));
}

/// Guards against requests that wait or run during a log outage, and against one that is still rejected after it.
#[test]
fn log_outage_rejects_at_once_without_run() {
    let (mut a, mut log) = (Agent::new(1), Log::default());
    a.submit(0, 1, id(1), 1, "x");
    a.poll(5);
    let claim = a.sent.pop().expect("a claim");
    a.submit(6, 2, id(2), 1, "x");
    a.appended(7, &claim, AppendResult::Refused);
    a.submit(8, 3, id(3), 1, "x");
    for ticket in 1..=3 {
        assert_eq!(a.outcome(ticket), Some(RunOutcome::NotRun(NotRun::Log)));
    }
    a.runner.set_reachable(false);
    a.submit(1000, 4, id(4), 1, "x");
    assert_eq!(a.outcome(4), Some(RunOutcome::NotRun(NotRun::Log)));
    a.settle(1000, 5, id(4), 1);
    assert_eq!(a.settled, [(Ticket(5), SettleReply::Unknown)]);
    a.runner.set_reachable(true);
    a.sync(2000, &mut log);
    assert_eq!(
        (a.runs.len(), log.0.len()),
        (0, 0),
        "no claim of the outage is appended or run later"
    );
    a.submit(3000, 6, id(1), 1, "x");
    a.sync(3000, &mut log);
    assert_eq!(a.runs, [id(1)]);
}

/// Guards against a second run of a finished or running request, and against replies to other content under the same
/// id.
#[test]
fn repeats_join_or_get_the_first_outcome() {
    let (mut a, mut b, mut log) = (Agent::new(1), Agent::new(2), Log::default());
    a.submit(0, 1, id(1), 1, "x");
    a.sync(0, &mut log);
    a.submit(50, 2, id(1), 1, "x");
    a.submit(50, 3, id(1), 1, "other");
    assert_eq!(a.outcome(3), Some(RunOutcome::NotRun(NotRun::Digest)));
    b.read(50, &log);
    b.submit(50, 1, id(1), 1, "x");
    assert_matches!(b.outcome(1), Some(RunOutcome::InProgress { .. }));
    let large = vec![7; 5000];
    a.finish(60, id(1), &large);
    a.submit(61, 4, id(1), 1, "x");
    a.sync(70, &mut log);
    a.submit(200, 5, id(1), 1, "x");
    for ticket in [1, 2, 4, 5] {
        assert_eq!(body(a.verdict(ticket)), large);
    }
    assert_eq!(a.runs, [id(1)]);
    // Only the agent that ran the request has the large body; another one must not run the request again.
    b.sync(300, &mut log);
    b.submit(300, 2, id(1), 1, "x");
    b.submit(300, 3, id(1), 1, "other");
    b.sync(300, &mut log);
    assert_eq!(b.outcome(2), Some(RunOutcome::MayHaveRun));
    assert_eq!(b.outcome(3), Some(RunOutcome::NotRun(NotRun::Digest)));
    assert_eq!(b.runs, []);
}

/// Guards against the reply "not run" for an attempt that was sent, and against a second run by a restarted agent.
#[test]
fn sent_without_response_stays_unknown() {
    let (mut a, mut log) = (Agent::new(1), Log::default());
    a.submit(0, 1, id(1), 1, "x");
    a.sync(0, &mut log);
    a.runner.complete_run(Millis(60), id(1), RunResult::Unknown);
    a.poll(60);
    a.submit(61, 2, id(1), 1, "x");
    a.submit(61, 3, id(1), 2, "x");
    for ticket in 1..=3 {
        assert_eq!(a.outcome(ticket), Some(RunOutcome::MayHaveRun));
    }
    let mut restarted = Agent::new(1);
    restarted.read(100, &log);
    restarted.submit(100, 1, id(1), 1, "x");
    restarted.sync(100, &mut log);
    assert_eq!(restarted.outcome(1), Some(RunOutcome::MayHaveRun));
    assert_eq!((a.runs.len(), restarted.runs.len()), (1, 0));
}

/// Guards against a claim that blocks further attempts although the endpoint received nothing.
#[test]
fn unsent_run_is_voided_before_the_reply() {
    let (mut a, mut b, mut log) = (Agent::new(1), Agent::new(2), Log::default());
    a.submit(0, 1, id(1), 1, "x");
    a.sync(0, &mut log);
    a.runner.complete_run(Millis(60), id(1), RunResult::NotSent);
    a.poll(60);
    assert_eq!(a.verdict(1), None);
    a.sync(60, &mut log);
    assert_eq!(a.outcome(1), Some(RunOutcome::NotRun(NotRun::Endpoint)));
    b.read(100, &log);
    b.submit(100, 1, id(1), 2, "x");
    b.sync(100, &mut log);
    assert_eq!(b.runs, [id(1)]);
}

/// Guards against runs of request ids whose earlier outcome the kernel may no longer have.
#[test]
fn ids_outside_of_the_window_are_rejected() {
    let (mut a, mut log) = (Agent::new(1), Log::default());
    let random: RequestId = "9b2f4f0e-1c8e-4b7a-9a51-0a3f8f1d2c3b"
        .parse()
        .expect("a UUID");
    let future: RequestId = "02000000-0000-7000-8000-000000000000"
        .parse()
        .expect("a UUID");
    a.submit(0, 1, random, 1, "x");
    a.submit(0, 2, future, 1, "x");
    a.sync(0, &mut log);
    for ticket in [1, 2] {
        assert_eq!(a.outcome(ticket), Some(RunOutcome::NotRun(NotRun::Expired)));
    }
    let late = Entry {
        offset: Offset(log.0.len() as u64 + 1),
        time: Millis(EPOCH) + WINDOW + Millis(10),
        data: Record::new(Body::Voids(Vec::new()))
            .encode()
            .expect("a small record"),
    };
    log.0.push(late);
    a.read(100, &log);
    a.submit(100, 3, id(1), 1, "x");
    assert_eq!(a.outcome(3), Some(RunOutcome::NotRun(NotRun::Expired)));
    assert_eq!(a.runs, []);
}

/// Guards against one append for each request, which would overload the log service, and against unbounded tables.
#[test]
fn claims_and_outcomes_are_appended_in_batches() {
    let (mut a, mut log) = (Agent::new(1), Log::default());
    for n in 0..40 {
        a.submit(0, u64::from(n), id(n), 1, "x");
    }
    a.sync(5, &mut log);
    assert_eq!((a.runs.len(), log.0.len()), (40, 1));
    for n in 0..40 {
        a.finish(50, id(n), b"ok");
    }
    a.sync(50, &mut log);
    assert_eq!(log.0.len(), 2);
    assert_eq!(a.runner.pending(), 0);
    for n in 0..=REQUESTS_MAX as u16 {
        a.submit(100, 1000 + u64::from(n), id(1000 + n), 1, "x");
    }
    let last = 1000 + REQUESTS_MAX as u64;
    assert_eq!(a.outcome(last), Some(RunOutcome::NotRun(NotRun::Busy)));
}

/// Guards against two appends in flight, which could arrive in the wrong order: the next batch waits for the result of
/// the first.
#[test]
fn one_append_is_in_flight() {
    let (mut a, mut log) = (Agent::new(1), Log::default());
    a.submit(0, 1, id(1), 1, "x");
    a.poll(5);
    a.submit(6, 2, id(2), 1, "x");
    a.submit(6, 3, id(3), 1, "x");
    a.poll(100);
    let first = a.sent.pop().expect("a claim");
    assert!(a.sent.is_empty());
    log.push(&first);
    a.appended(101, &first, AppendResult::Appended);
    assert_matches!(&a.sent[..], [Record { body: Body::Claims(c), .. }] if c.len() == 2);
    a.sync(102, &mut log);
    assert_eq!(a.runs.len(), 3);
}
