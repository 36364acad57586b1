//! Arbitrary input neither panics nor changes the state, and tables stay within their bounds.

mod kernel_support;

use bytes::Bytes;
use kernel_support::{
    append, claim, encode, entries, name, outcome, record, replay, request, START, WINDOW,
};
use proptest::{collection::vec, prelude::*};
use sesamewing::{
    base::{Attempt, Digest, Instance, Millis, Offset},
    kernel::{
        Assembler, Body, Done, Effect, Entry, Kernel, LeaseOp, NodePath, Publish, Record, Refusal,
        Snapshot, SnapshotChunk, CLAIMS_MAX, LEASES_MAX, NODES_MAX, OUTCOME_MAX, RECORD_MAX,
    },
    process::ProcessSettings,
    settings::Tree,
    weights::Manifest,
    wire::{
        self, AgentReport, ChunkReply, FeedItem, HaveUpdate, Open, Reply, Role, SettleReply,
        ShareReply,
    },
};

/// Arbitrary bytes, some with a valid head, some a damaged record.
fn noise() -> impl Strategy<Value = Vec<u8>> {
    let head = [&b"SWR1"[..], &[0, 1], &[7; 16]].concat();
    let damage = (
        record(),
        vec((any::<prop::sample::Index>(), any::<u8>()), 1..4),
        0_usize..8,
    );
    prop_oneof![
        vec(any::<u8>(), 0..300),
        vec(any::<u8>(), 0..300).prop_map(move |v| [head.clone(), v].concat()),
        damage.prop_map(|(data, bytes, cut)| {
            let mut data = data.to_vec();
            for (i, b) in bytes {
                *i.get_mut(&mut data) = b;
            }
            data.truncate(data.len() - cut.min(data.len()));
            data
        }),
    ]
}

proptest! {
    /// Guards against bytes of other programs that stop a process or change its state.
    #[test]
    fn records(records in vec(record(), 0..20), data in noise(), time in any::<u64>()) {
        let mut kernel = replay(&entries(&records, &[]));
        let before = kernel.clone();
        let entry = Entry {
            offset: kernel.applied().next(),
            time: Millis(time),
            data: Bytes::from(data),
        };
        match kernel.apply(&entry) {
            Err(Refusal::Newer(_)) => prop_assert_eq!(kernel, before),
            Err(other) => prop_assert!(false, "{}", other),
            Ok(step) => {
                prop_assert_eq!(kernel.applied(), entry.offset);
                if matches!(step.effect, Effect::Skipped(_) | Effect::Duplicate) {
                    prop_assert_eq!(kernel.config(), before.config());
                    prop_assert_eq!(kernel.leases(), before.leases());
                    let kept = kernel.claims().len();
                    // A far later time may only remove ids.
                    prop_assert!(kept == before.claims().len() || kernel.time() > before.time() && kept == 0);
                }
            }
        }
    }

    /// Guards against damaged chunks that become a state.
    #[test]
    fn snapshot_chunks(
        records in vec(record(), 1..20),
        data in noise(),
        at in any::<prop::sample::Index>(),
        bit in 0_u8..8,
    ) {
        let _ = SnapshotChunk::decode(&data).map(|c| Assembler::default().add(c));
        let _ = Snapshot { applied: Offset(1), data: data.into() }.kernel();
        let kernel = replay(&entries(&records, &[]));
        let mut encoded = Snapshot::of(&kernel).split().remove(0).encode().to_vec();
        *at.get_mut(&mut encoded) ^= 1 << bit;
        let found = SnapshotChunk::decode(&encoded).and_then(|c| Assembler::default().add(c));
        // Only the stated offset is not hashed; the state itself repeats it.
        prop_assert_eq!(found.and_then(|s| s.kernel()), None);
    }

    /// Guards against frames of a faulty peer that stop a process.
    #[test]
    fn frames(data in noise()) {
        let _ = wire::decode::<Open>(&data);
        let _ = wire::decode::<Reply>(&data);
        let _ = wire::decode::<SettleReply>(&data);
        let _ = wire::decode::<AgentReport>(&data);
        let _ = wire::decode::<FeedItem>(&data);
        let _ = wire::decode::<HaveUpdate>(&data);
        let _ = wire::decode::<ChunkReply>(&data);
        let _ = wire::decode::<ShareReply>(&data);
    }

    /// Guards against manifests of a faulty store that stop a process, also ones with the right hash.
    #[test]
    fn manifests(data in noise(), size in any::<u64>(), chunk in any::<u64>(), n in 0_usize..4) {
        let _ = Manifest::decode(&data, Digest::of(&data));
        let digest = "0".repeat(64);
        let chunks = vec![digest.clone(); n];
        let text = serde_json::json!(
            {"version": "v1", "size": size, "chunk": chunk, "chunks": chunks, "whole": digest}
        ).to_string();
        if let Ok(m) = Manifest::decode(text.as_bytes(), Digest::of(text.as_bytes())) {
            let sum: u64 = (0..m.chunks.len()).map(|i| m.chunk_size(i).0).sum();
            prop_assert_eq!(sum, m.size.0);
        }
        prop_assert!(Manifest::decode(&data, Digest::of(b"another")).is_err());
    }

    /// Guards against settings files that stop a process instead of naming the mistake.
    #[test]
    fn settings_files(text in "\\PC{0,200}", lines in vec("( {0,6})(- )?[a-z.&*!|>{}\\[\\]]{0,8}:? ?[a-z0-9.{}\\[\\],:&*]{0,10}", 0..12)) {
        for text in [text, lines.join("\n")] {
            if let Ok(tree) = Tree::parse(&text) {
                let _ = tree.validate();
                prop_assert!(Tree::parse(&tree.to_yaml()).is_ok());
            }
            for role in [Role::Entry, Role::Agent] {
                let _ = ProcessSettings::parse(&text, ".".as_ref(), role);
            }
        }
    }
}

fn publish(paths: &[NodePath], value: &str) -> Body {
    let values = [("limit.rate".to_owned(), value.to_owned())];
    Body::Publish(Publish {
        author: "operator".to_owned(),
        base: paths.iter().map(|p| (p.clone(), Offset(0))).collect(),
        nodes: paths
            .iter()
            .map(|p| (p.clone(), Some(values.clone().into())))
            .collect(),
    })
}

/// Guards against a tree that grows without bound.
#[test]
fn settings_nodes() {
    let mut kernel = Kernel::new(WINDOW);
    let path = |i: usize| format!("/r{i}").parse::<NodePath>().unwrap();
    let step = 1024;
    for from in (0..NODES_MAX).step_by(step) {
        let paths: Vec<_> = (from..from + step).map(path).collect();
        assert_eq!(
            append(&mut kernel, START, publish(&paths, "1")),
            Effect::Published
        );
    }
    let last = publish(&[path(NODES_MAX)], "1");
    assert_eq!(append(&mut kernel, START, last), Effect::Rejected);
    assert_eq!(kernel.config().nodes().count(), NODES_MAX);
    let long = publish(&[path(0)], &"1".repeat(8193));
    assert_ne!(append(&mut kernel, START, long), Effect::Published);
}

/// Guards against a record whose removals of one node, each a pass over the tree, block every process for seconds.
#[test]
fn settings_node_named_twice() {
    let mut kernel = Kernel::new(WINDOW);
    let twice = |value: Option<sesamewing::kernel::Values>| {
        Body::Publish(Publish {
            author: "operator".to_owned(),
            base: vec![(NodePath::Root, Offset(0))],
            nodes: vec![(NodePath::Root, value); 2],
        })
    };
    for value in [None, Some(sesamewing::kernel::Values::new())] {
        assert_eq!(append(&mut kernel, START, twice(value)), Effect::Rejected);
    }
    assert_eq!(kernel.config().nodes().count(), 0);
}

/// Guards against a lease table that grows without bound.
#[test]
fn leases() {
    let mut kernel = Kernel::new(WINDOW);
    let acquire = |resource: String| {
        Body::Lease(LeaseOp::Acquire {
            resource,
            holder: name(1),
            instance: Instance(1),
            term: Millis(1000),
        })
    };
    for i in 0..LEASES_MAX {
        assert_eq!(
            append(&mut kernel, START, acquire(format!("r{i}"))),
            Effect::Leased
        );
    }
    assert_eq!(
        append(&mut kernel, START, acquire("one more".to_owned())),
        Effect::Rejected
    );
    assert_eq!(kernel.leases().iter().count(), LEASES_MAX);
    assert_eq!(
        append(&mut Kernel::new(WINDOW), START, acquire("r".repeat(129))),
        Effect::Rejected
    );
}

/// Guards against a claim table that grows without bound, in entries and in bytes of one outcome.
#[test]
fn claim_slots() {
    let mut kernel = Kernel::new(WINDOW);
    let ids =
        |from: u64, n: u64| (from..from + n).map(|i| request(START - i / 200, (i % 200) as u8));
    let step = 1024;
    for from in (0..CLAIMS_MAX as u64).step_by(step) {
        let batch = ids(from, step as u64)
            .map(|id| claim(id, 1, 1, 0))
            .collect();
        let effect = append(&mut kernel, START, Body::Claims(batch));
        assert_eq!(effect, Effect::Batch(vec![true; step]));
    }
    let one = Body::Claims(
        ids(CLAIMS_MAX as u64, 1)
            .map(|id| claim(id, 1, 1, 0))
            .collect(),
    );
    assert_eq!(append(&mut kernel, START, one), Effect::Batch(vec![false]));
    assert_eq!(kernel.claims().len(), CLAIMS_MAX);
}

fn done(body: usize, media: usize) -> Effect {
    let mut kernel = Kernel::new(WINDOW);
    let id = request(START, 1);
    append(&mut kernel, START, Body::Claims(vec![claim(id, 1, 1, 0)]));
    let done = Done {
        request: id,
        attempt: Attempt(1),
        instance: Instance(1),
        outcome: outcome(body, media),
    };
    append(&mut kernel, START, Body::Done(vec![done]))
}

/// Guards against outcomes of more than the documented size in the state.
#[test]
fn outcome_bodies() {
    assert_eq!(done(OUTCOME_MAX, 20), Effect::Batch(vec![true]));
    assert_eq!(done(OUTCOME_MAX + 1, 20), Effect::Batch(vec![false]));
}

/// Guards against media types of up to a record's size in each of the slots.
#[test]
fn outcome_media() {
    assert_eq!(done(0, 100_000), Effect::Batch(vec![false]));
}

/// Guards against records above the limit of the log, written or read.
#[test]
fn record_size() {
    let id = request(START, 1);
    let body = Body::Claims(vec![claim(id, 1, 1, 0); 6000]);
    assert!(Record::new(body).encode().is_err());
    assert!(Record::decode(&vec![0; RECORD_MAX + 1]).is_err());
    assert!(Record::decode(&encode(1, Body::Claims(Vec::new()))).is_ok());
}
