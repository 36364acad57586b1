//! Equal prefixes of the log give equal states, whatever the path to them.

mod kernel_support;

use std::collections::{BTreeMap, BTreeSet};

use kernel_support::{append, claims, entries, record, replay, request, START, WINDOW};
use proptest::{collection::vec, prelude::*};
use sesamewing::{
    base::{Attempt, Fence, Millis, Offset, RequestId},
    kernel::{
        Assembler, Body, ClaimState, Effect, Kernel, NodePath, Publish, Refusal, Snapshot,
        SnapshotChunk,
    },
};

/// Passes a snapshot through encoded chunks in an arbitrary order, each of them several times.
fn transport(kernel: &Kernel, order: &[prop::sample::Index]) -> Option<Kernel> {
    let chunks = Snapshot::of(kernel).split();
    let mut sequence: Vec<_> = order.iter().map(|i| i.get(&chunks).clone()).collect();
    sequence.extend(chunks.iter().rev().cloned());
    let mut assembler = Assembler::default();
    let mut found = None;
    for chunk in sequence {
        let chunk = SnapshotChunk::decode(&chunk.encode()).unwrap();
        found = assembler.add(chunk).or(found);
    }
    found?.kernel()
}

proptest! {
    /// Guards against state that depends on the size of the batches or on a restart from a snapshot.
    #[test]
    fn snapshot_at_any_offset(
        records in vec(record(), 1..60),
        times in vec(0_u64..200_000, 60),
        cut in any::<prop::sample::Index>(),
        order in vec(any::<prop::sample::Index>(), 0..12),
    ) {
        let log = entries(&records, &times);
        let whole = replay(&log);
        let (head, tail) = log.split_at(cut.index(log.len() + 1));
        let mut later = transport(&replay(head), &order).unwrap();
        prop_assert_eq!(later.digest(), replay(head).digest());
        for e in tail {
            later.apply(e).unwrap();
        }
        prop_assert_eq!(later.digest(), whole.digest());
        prop_assert_eq!(later, whole);
    }

    /// Guards against effects of entries that are read twice, too early or from an older peer.
    #[test]
    fn offsets_only_grow(
        records in vec(record(), 1..40),
        reads in vec((0_usize..40, 1_usize..8), 1..30),
    ) {
        let log = entries(&records, &[]);
        let mut kernel = Kernel::new(WINDOW);
        let batch = |(from, n): (usize, usize)| log.iter().skip(from).take(n);
        for e in reads.into_iter().flat_map(batch).chain(&log) {
            let before = kernel.clone();
            match kernel.apply(e) {
                Ok(step) => {
                    prop_assert_eq!(step.offset, before.applied().next());
                    prop_assert_eq!(kernel.applied(), step.offset);
                }
                Err(Refusal::Old { .. }) => prop_assert!(e.offset <= before.applied()),
                Err(Refusal::Gap { .. }) => prop_assert!(e.offset > before.applied().next()),
                Err(other) => prop_assert!(false, "{}", other),
            }
            prop_assert!(kernel.applied() >= before.applied());
            prop_assert!(kernel.time() >= before.time());
            if kernel.applied() == before.applied() {
                prop_assert_eq!(kernel.digest(), before.digest());
            }
        }
        prop_assert_eq!(kernel, replay(&log));
    }

    /// Guards against a second effect of a record whose append was repeated.
    #[test]
    fn repeated_record_changes_nothing(records in vec(record(), 1..40), again in any::<prop::sample::Index>()) {
        let mut log = records.clone();
        log.push(again.get(&records).clone());
        let log = entries(&log, &[]);
        let mut kernel = replay(&log[..records.len()]);
        let before = kernel.clone();
        let step = kernel.apply(log.last().unwrap()).unwrap();
        prop_assert_eq!(step.effect, Effect::Duplicate);
        prop_assert_eq!(kernel.config(), before.config());
        prop_assert_eq!(kernel.leases(), before.leases());
        prop_assert_eq!(kernel.claims(), before.claims());
    }

    /// Guards against a fencing token that a stale holder could outbid.
    #[test]
    fn fences_only_grow(records in vec(record(), 1..80)) {
        let mut kernel = Kernel::new(WINDOW);
        let mut last: BTreeMap<String, Fence> = BTreeMap::new();
        for e in entries(&records, &[]) {
            kernel.apply(&e).unwrap();
            for (resource, lease) in kernel.leases().iter() {
                let known = last.entry(resource.to_owned()).or_insert(lease.fence);
                prop_assert!(lease.fence >= *known);
                prop_assert!(lease.renewed.0 >= lease.fence.0);
                *known = lease.fence;
            }
        }
    }

    /// Guards against two runs of one attempt, a run after a void, and a run after an outcome.
    #[test]
    fn one_claim_for_each_attempt(bodies in vec(claims(), 1..60)) {
        let mut kernel = Kernel::new(WINDOW);
        let mut claimed: BTreeSet<(RequestId, Attempt)> = BTreeSet::new();
        let mut done: BTreeSet<RequestId> = BTreeSet::new();
        let mut voided: BTreeSet<(RequestId, Attempt)> = BTreeSet::new();
        for (i, body) in bodies.into_iter().enumerate() {
            let Effect::Batch(effects) = append(&mut kernel, START + i as u64, body.clone()) else {
                panic!("a batch has another effect");
            };
            match body {
                Body::Claims(batch) => {
                    for (c, _) in batch.iter().zip(effects).filter(|(_, e)| *e) {
                        let attempt = (c.request, c.attempt);
                        prop_assert!(claimed.insert(attempt), "claimed twice");
                        prop_assert!(!voided.contains(&attempt), "claimed after a void");
                        prop_assert!(!done.contains(&c.request), "claimed after the outcome");
                    }
                }
                Body::Voids(batch) => {
                    for (v, _) in batch.iter().zip(effects).filter(|(_, e)| *e) {
                        prop_assert!(!done.contains(&v.request), "void after the outcome");
                        voided.insert((v.request, v.attempt));
                    }
                }
                Body::Done(batch) => {
                    for (d, _) in batch.iter().zip(effects).filter(|(_, e)| *e) {
                        prop_assert!(claimed.contains(&(d.request, d.attempt)), "an outcome without a claim");
                        prop_assert!(!voided.contains(&(d.request, d.attempt)), "an outcome after a void");
                        prop_assert!(done.insert(d.request), "two outcomes");
                    }
                }
                Body::Publish(_) | Body::Lease(_) | Body::Window(_) => {
                    unreachable!("not generated")
                }
            }
            for id in &done {
                let found = kernel.claims().get(id);
                prop_assert!(matches!(found, Some((_, ClaimState::Done(_), _))));
            }
        }
    }
}

/// Guards against a second run of a request id whose slot was removed: an id must be refused before it is forgotten.
#[test]
fn pruned_ids_stay_refused() {
    for created in [START - 59_000, START, START + 59_000] {
        let mut kernel = Kernel::new(WINDOW);
        let id = request(created, 1);
        let claim = |kernel: &mut Kernel, at| {
            let body = Body::Claims(vec![kernel_support::claim(id, 1, 1, 0)]);
            append(kernel, at, body) == Effect::Batch(vec![true])
        };
        assert!(claim(&mut kernel, START));
        for at in (START..START + 2 * WINDOW.0).step_by(1000) {
            assert!(
                !claim(&mut kernel, at),
                "claimed again after {} ms",
                at - START
            );
        }
        assert!(kernel.claims().is_empty());
    }
}

/// Guards against chunks of several snapshots, each larger than one chunk, that complete each other.
#[test]
fn chunks_of_two_snapshots_mixed() {
    let mut kernel = Kernel::new(WINDOW);
    let mut chunks = Vec::new();
    let mut states = Vec::new();
    for i in 0..40 {
        let path: NodePath = format!("/region-{i}").parse().unwrap();
        let values = (0..20)
            .map(|k| (format!("k{k}"), "v".repeat(1000)))
            .collect();
        let publish = Publish {
            author: "operator".to_owned(),
            base: vec![(path.clone(), Offset(0))],
            nodes: vec![(path, Some(values))],
        };
        assert_eq!(
            append(&mut kernel, START, Body::Publish(publish)),
            Effect::Published
        );
        if i == 20 || i == 39 {
            chunks.push(Snapshot::of(&kernel).split());
            states.push(kernel.digest());
        }
    }
    assert!(chunks.iter().all(|c| c.len() > 2));
    let mut assembler = Assembler::default();
    let mut found = BTreeSet::new();
    let length = chunks.iter().map(Vec::len).max().unwrap();
    for i in (0..length).rev() {
        for chunk in chunks.iter().filter_map(|c| c.get(i)) {
            if let Some(s) = assembler.add(chunk.clone()) {
                found.insert(s.kernel().unwrap().digest());
            }
        }
    }
    assert_eq!(found, states.into_iter().collect());
    assert_eq!(kernel.time(), Millis(START));
}
