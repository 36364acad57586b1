//! Lease holders that share one simulated log, with a simulated clock; also the fencing-token check and the drain.

use assert_matches::assert_matches;
use sesamewing::{
    base::{Fence, Instance, Millis},
    decide::{
        drain::{Drain, DRAIN_NOTICE},
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

/// Runs one step of a holder; an append is sent at `sent` and its effect is read at `read`, both in milliseconds.
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

/// Guards against commands from a holder whose process was frozen until after the end of its term.
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

/// Guards against a takeover before the term and the margin have passed, and against two holders that may send commands
/// at the same time.
#[test]
fn lease_is_not_taken_over_before_term_and_margin() {
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
    // The former holder resumes: it has lost the lease, so it may send no command and has to wait.
    a.observe(Millis(end), log.lease());
    assert_eq!(a.command_fence(Millis(end)), None);
    assert_matches!(step(&mut a, &mut log, end, end), LeaseStep::Wait(_));
}

/// Guards against an expiry that ends a lease although a renewal was written to the log before it.
#[test]
fn renewal_makes_a_later_expiry_void() {
    let (mut a, mut b, mut log) = (holder(1), holder(2), Log::new());
    step(&mut a, &mut log, 0, 0);
    step(&mut b, &mut log, 0, 0);
    let late = LEASE_TERM.0 + EXPIRY_MARGIN.0;
    let LeaseStep::Append(expire) = b.next(Millis(late)) else {
        panic!("the second holder did not expire the lease after the term and the margin");
    };
    // `b` reads the renewal only after it has sent the expiry.
    assert_matches!(
        step(&mut a, &mut log, 2500, 2500),
        LeaseStep::Append(LeaseOp::Renew { .. })
    );
    log.append(expire);
    assert_eq!(log.lease().map(|l| l.fence), Some(Fence(1)));
    assert_matches!(step(&mut b, &mut log, late, late), LeaseStep::Wait(t) if t == LEASE_TERM + EXPIRY_MARGIN);
}

/// Guards against a term that is counted from a later append although an earlier one took effect.
#[test]
fn term_counts_from_the_earliest_unsettled_append() {
    let (mut h, mut log) = (holder(1), Log::new());
    h.observe(Millis(0), None);
    let LeaseStep::Append(op) = h.next(Millis(0)) else {
        panic!("the holder did not acquire a lease that nobody holds");
    };
    h.append_sent(Millis(0));
    // The reply to the first append is lost, so a second one is sent; the record that is read back is the first one.
    h.append_sent(Millis(4000));
    log.append(op);
    h.observe(Millis(4100), log.lease());
    assert_eq!(h.command_fence(LEASE_TERM - Millis(1)), Some(Fence(1)));
    assert_eq!(h.command_fence(LEASE_TERM), None);
}

/// Guards against outdated commands to endpoints that do not check fencing tokens themselves.
#[test]
fn older_fencing_tokens_are_rejected() {
    let mut gate = FenceGate::default();
    assert!(gate.admit(Fence(5)));
    assert!(gate.admit(Fence(5)));
    assert!(!gate.admit(Fence(4)));
    assert!(gate.admit(Fence(6)));
}

/// Guards against new work during a drain, an exit before other processes have learnt of the drain, and an exit that
/// interrupts work in progress.
#[test]
fn drain_ends_after_running_work_and_notice() {
    let mut d = Drain::default();
    assert!(d.admit());
    assert!(!d.is_done(Millis(99_999)));
    d.begin(Millis(1000));
    d.begin(Millis(5000));
    assert!(!d.admit());
    assert!(!d.is_done(Millis(99_999)));
    d.finish();
    assert!(!d.is_done(Millis(1000) + DRAIN_NOTICE - Millis(1)));
    assert!(d.is_done(Millis(1000) + DRAIN_NOTICE));
}
