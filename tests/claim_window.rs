//! The time for which request ids are kept: changes of it, and a claims stream whose beginning is gone.

use sesamewing::{
    base::{Attempt, Digest, Instance, Millis, Offset, RequestId},
    kernel::{Body, Claim, Effect, Entry, Kernel, Record, Window},
};

/// Log time of the first record, and creation time of request ids.
const EPOCH: u64 = 0x018b_cfe5_6800;
const HOUR: u64 = 3_600_000;

fn id(created: u64, n: u16) -> RequestId {
    let hex = format!("{created:012x}");
    let text = format!("{}-{}-7000-8000-00000000{n:04x}", &hex[..8], &hex[8..]);
    text.parse().expect("a UUID")
}

fn claim(request: RequestId, instance: u64) -> Body {
    Body::Claims(vec![Claim {
        request,
        digest: Digest::of(b"body"),
        attempt: Attempt(1),
        holder: "a".parse().expect("a name"),
        instance: Instance(instance),
    }])
}

fn window(hours: u64, revision: u64) -> Body {
    Body::Window(Window {
        window: Millis(hours * HOUR),
        revision: Offset(revision),
    })
}

/// Applies a record and returns whether it took effect.
fn apply(kernel: &mut Kernel, time: u64, body: Body) -> bool {
    let entry = Entry {
        offset: kernel.applied().next(),
        time: Millis(time),
        data: Record::new(body).encode().expect("a small record"),
    };
    let step = kernel.apply(&entry).expect("the next entry");
    step.effect == Effect::Batch(vec![true])
}

/// Guards against a second run of a request whose claim was removed under a shorter window.
#[test]
fn longer_window_revives_nothing() {
    let mut k = Kernel::new(Millis(HOUR));
    let request = id(EPOCH, 1);
    assert!(apply(&mut k, EPOCH, claim(request, 1)));
    let later = EPOCH + 2 * HOUR;
    assert!(apply(&mut k, later, window(12, 5)));
    assert!(!apply(&mut k, later, claim(request, 2)));
    assert!(k.claims().is_expired(k.time(), &request));
    // Ids that were within the shorter window stay for the longer one.
    let recent = id(later, 2);
    assert!(apply(&mut k, later, claim(recent, 1)));
    assert!(!apply(&mut k, later + 11 * HOUR, claim(recent, 2)));
    assert!(!k.claims().is_expired(k.time(), &recent));
}

/// Guards against agents on older settings that undo a change of the window.
#[test]
fn older_window_is_refused() {
    let mut k = Kernel::new(Millis(HOUR));
    assert!(apply(&mut k, EPOCH, window(3, 9)));
    assert!(!apply(&mut k, EPOCH, window(2, 5)));
    assert_eq!(k.claims().window(), (Millis(3 * HOUR), Offset(9)));
}

/// Guards against a second run of a request whose claim the log dropped before this agent started.
#[test]
fn truncated_stream_refuses_what_it_cannot_know() {
    let mut k = Kernel::new(Millis(12 * HOUR));
    k.set_truncated();
    let (lost, fresh) = (id(EPOCH, 1), id(EPOCH + HOUR, 2));
    let first = EPOCH + HOUR - 120_000;
    assert!(
        !apply(&mut k, first, claim(lost, 1)),
        "its claim may be lost"
    );
    assert!(k.claims().is_expired(k.time(), &lost));
    assert!(apply(&mut k, EPOCH + HOUR, claim(fresh, 1)));
    assert!(!k.claims().is_expired(k.time(), &fresh));
}

/// Guards against refusals where the log kept every record of the window.
#[test]
fn whole_window_loses_nothing() {
    let mut k = Kernel::new(Millis(12 * HOUR));
    k.set_truncated();
    apply(&mut k, EPOCH, claim(id(EPOCH, 1), 1));
    let now = EPOCH + 24 * HOUR;
    let request = id(now - 12 * HOUR, 2);
    assert!(apply(&mut k, now, claim(request, 1)));
    assert!(!k.claims().is_expired(k.time(), &request));
}
