//! Readers of the replica while several tasks feed it.

use std::{sync::Arc, thread};

use sesamewing::{
    base::{Millis, Offset},
    feed::Replica,
    kernel::{Body, Entry, Kernel, NodePath, Publish, Record},
};

/// A log of changes of the root.
fn log(n: u64) -> Vec<Entry> {
    let publish = |base| Publish {
        author: "operator".to_owned(),
        base: vec![(NodePath::Root, Offset(base))],
        nodes: vec![(
            NodePath::Root,
            Some([("k".to_owned(), base.to_string())].into()),
        )],
    };
    let entry = |base| Entry {
        offset: Offset(base + 1),
        time: Millis(base),
        data: Record::new(Body::Publish(publish(base))).encode().unwrap(),
    };
    (0..n).map(entry).collect()
}

/// Guards against an applied offset that goes back when the log and a peer feed the same replica, and against settings
/// older than an offset that the reader saw before.
#[test]
fn offsets_and_settings_never_go_back() {
    let log = log(3000);
    let replica = Arc::new(Replica::new(Kernel::new(Millis(1000))));
    let end = log.last().unwrap().offset;
    thread::scope(|s| {
        for _ in 0..4 {
            s.spawn(|| {
                while let Some(e) = log.get(replica.with_kernel(Kernel::applied).0 as usize) {
                    // Another thread may have applied the entry meanwhile.
                    let _ = replica.apply(e);
                }
            });
        }
        for _ in 0..2 {
            s.spawn(|| {
                let mut last = Offset(0);
                while replica.with_kernel(Kernel::applied) < end {
                    let applied = replica.applied();
                    assert!(applied >= last, "{applied} after {last}");
                    // Each record of this log changes the settings.
                    assert!(replica.settings().offset >= applied);
                    last = applied;
                }
            });
        }
    });
    assert_eq!(replica.applied(), end);
}
