//! Lease holders over one simulated log, with manual time.

use assert_matches::assert_matches;
use sesamewing::{
    base::{Fence, Instance, Millis},
    decide::{
        drain::{Drain, LEAVE_TIME},
        lease::{FenceGate, LeaseHolder, LeaseStep, EXPIRY_MARGIN, LEASE_TERM},
    },
    kernel::{Body, Entry, Kernel, Lease, LeaseOp, Record},
};

const RESOURCE: &str = "endpoint/a1";

struct Log(Kernel);

impl Log {
    fn new() -> Self {
        Self(Kernel::new(Millis(1000)))
    }

    fn append(&mut self, op: LeaseOp) {
        let entry = Entry {
            offset: self.0.applied().next(),
            time: Millis(1),
            data: Record::new(Body::Lease(op))
                .encode()
                .expect("a small record"),
        };
        self.0.apply(&entry).expect("the next entry");
    }

    fn lease(&self) -> Option<&Lease> {
        self.0.leases().get(RESOURCE)
    }
}

fn holder(instance: u64) -> LeaseHolder {
    let name = "a1".parse().expect("a name");
    LeaseHolder::new(RESOURCE.to_owned(), name, Instance(instance))
}

/// Does one step whose append is sent at `sent` and read back at `read`.
fn step(h: &mut LeaseHolder, log: &mut Log, sent: u64, read: u64) -> LeaseStep {
    h.observe(Millis(sent), log.lease());
    let step = h.next(Millis(sent));
    if let LeaseStep::Append(op) = &step {
        h.append_sent(Millis(sent));
        log.append(op.clone());
        h.observe(Millis(read), log.lease());
        h.appends_settled();
    }
    step
}

/// Guards against commands of a holder that was frozen beyond its term.
#[test]
fn frozen_holder_sends_no_command() {
    let (mut h, mut log) = (holder(1), Log::new());
    step(&mut h, &mut log, 100, 3000);
    // The term runs from before the append was sent, not from its read-back.
    assert_eq!(
        h.command_fence(Millis(100 + LEASE_TERM.0 - 1)),
        Some(Fence(1))
    );
    assert_eq!(h.command_fence(Millis(100 + LEASE_TERM.0)), None);
    h.observe(Millis(100 + LEASE_TERM.0), log.lease());
    assert_eq!(h.command_fence(Millis(100 + LEASE_TERM.0)), None);
}

/// Guards against an early takeover, and against two holders that may command at the same time.
#[test]
fn lease_is_taken_over_late_never_early() {
    let (mut a, mut b, mut log) = (holder(1), holder(2), Log::new());
    step(&mut a, &mut log, 0, 50);
    let (read, end) = (200, 200 + LEASE_TERM.0 + EXPIRY_MARGIN.0);
    assert_matches!(step(&mut b, &mut log, read, read), LeaseStep::Wait(t) if t == LEASE_TERM + EXPIRY_MARGIN);
    assert_matches!(
        step(&mut b, &mut log, end - 1, end),
        LeaseStep::Wait(Millis(1))
    );
    assert_matches!(
        step(&mut b, &mut log, end, end),
        LeaseStep::Append(LeaseOp::Expire(_))
    );
    assert_eq!(a.command_fence(Millis(end)), None);
    assert_matches!(
        step(&mut b, &mut log, end, end),
        LeaseStep::Append(LeaseOp::Acquire { .. })
    );
    assert_eq!(b.command_fence(Millis(end)), Some(Fence(3)));
    // The former holder wakes: its renewal has no effect and it waits.
    a.observe(Millis(end), log.lease());
    assert_eq!(a.command_fence(Millis(end)), None);
    assert_matches!(step(&mut a, &mut log, end, end), LeaseStep::Wait(_));
}

/// Guards against an expiry that crosses a renewal in the log.
#[test]
fn renewal_defeats_an_expiry_of_an_older_one() {
    let (mut a, mut b, mut log) = (holder(1), holder(2), Log::new());
    step(&mut a, &mut log, 0, 0);
    step(&mut b, &mut log, 0, 0);
    let late = LEASE_TERM.0 + EXPIRY_MARGIN.0;
    let LeaseStep::Append(expire) = b.next(Millis(late)) else {
        panic!("no expiry");
    };
    // The renewal is read by `b` only after it sent the expiry.
    assert_matches!(
        step(&mut a, &mut log, 2500, 2500),
        LeaseStep::Append(LeaseOp::Renew { .. })
    );
    log.append(expire);
    assert_eq!(log.lease().map(|l| l.fence), Some(Fence(1)));
    assert_matches!(step(&mut b, &mut log, late, late), LeaseStep::Wait(t) if t == LEASE_TERM + EXPIRY_MARGIN);
}

/// Guards against a term that counts from a later append although an earlier one took effect.
#[test]
fn unsettled_append_counts_from_the_earliest() {
    let (mut h, mut log) = (holder(1), Log::new());
    h.observe(Millis(0), None);
    let LeaseStep::Append(op) = h.next(Millis(0)) else {
        panic!("no acquisition");
    };
    h.append_sent(Millis(0));
    // The first answer is lost; the second append is sent and the first one is read back.
    h.append_sent(Millis(4000));
    log.append(op);
    h.observe(Millis(4100), log.lease());
    assert_eq!(h.command_fence(LEASE_TERM - Millis(1)), Some(Fence(1)));
    assert_eq!(h.command_fence(LEASE_TERM), None);
}

/// Guards against stale commands to endpoints that check no token themselves.
#[test]
fn older_tokens_are_refused() {
    let mut gate = FenceGate::default();
    assert!(gate.admit(Fence(5)));
    assert!(gate.admit(Fence(5)));
    assert!(!gate.admit(Fence(4)));
    assert!(gate.admit(Fence(6)));
}

/// Guards against new work during a drain, an exit before others know of it, and an exit that cuts work.
#[test]
fn drain_ends_after_work_and_notice() {
    let mut d = Drain::default();
    assert!(d.enter());
    assert!(!d.is_done(Millis(99_999)));
    d.begin(Millis(1000));
    d.begin(Millis(5000));
    assert!(!d.enter());
    assert!(!d.is_done(Millis(99_999)));
    d.leave();
    assert!(!d.is_done(Millis(1000) + LEAVE_TIME - Millis(1)));
    assert!(d.is_done(Millis(1000) + LEAVE_TIME));
}
