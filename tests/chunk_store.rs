//! Chunks in memory: sharing between versions, the memory budget, and token buckets.

use std::sync::Arc;

use assert_matches::assert_matches;
use bytes::Bytes;
use sesamewing::{
    base::{Digest, Millis, Rate, Size},
    net::Bucket,
    weights::{ChunkStore, Manifest, Version, WeightsError},
};

const CHUNK: usize = 100;

fn content(seed: u64, chunks: usize) -> Vec<u8> {
    let mut rng = fastrand::Rng::with_seed(seed);
    (0..chunks * CHUNK).map(|_| rng.u8(..)).collect()
}

fn version(content: &[u8]) -> Arc<Version> {
    let name = "v1".parse().expect("a valid name");
    let encoded = Manifest::describe(name, content, Size(CHUNK as u64)).encode();
    let id = Digest::of(&encoded);
    Arc::new(Version::decode(encoded.into(), id).expect("a valid manifest"))
}

fn fill(store: &mut ChunkStore, content: &[u8]) {
    for chunk in content.chunks(CHUNK) {
        store.insert(Digest::of(chunk), Bytes::copy_from_slice(chunk));
    }
}

/// Guards against fetching, or paying memory for, chunks that an older version has.
#[test]
fn versions_share_chunks() {
    let old = content(1, 10);
    let mut new = old.clone();
    new[..CHUNK].fill(7);
    let (v1, v2) = (version(&old), version(&new));
    let mut store = ChunkStore::new(Size(1100));
    assert_matches!(store.admit(v1.clone()), Ok(()));
    fill(&mut store, &old);
    assert_matches!(store.admit(v2.clone()), Ok(()));
    assert_eq!(store.held(&v2.id).map(|h| h.count()), Some(9));
    fill(&mut store, &new);
    assert_eq!(store.used(), Size(1100));

    store.retain(|id| *id == v2.id);
    assert_eq!(store.used(), Size(1000));
    assert_matches!(store.assemble(&v1), None);
    let whole = store.assemble(&v2).expect("v2 is complete").concat();
    assert_eq!(Digest::of(&whole), v2.manifest.whole);
}

/// Guards against a copy that exceeds the budget halfway, and against abandoned copies that block later ones.
#[test]
fn budget_is_checked_before_a_copy() {
    let (a, b, c) = (content(1, 6), content(2, 6), content(3, 4));
    let mut store = ChunkStore::new(Size(1000));
    let (va, vb, vc) = (version(&a), version(&b), version(&c));
    assert_matches!(store.admit(va.clone()), Ok(()));
    fill(&mut store, &a);
    assert_matches!(
        store.admit(vb.clone()),
        Err(WeightsError::Memory {
            needed: Size(600),
            used: Size(600),
            budget: Size(1000)
        })
    );
    assert_matches!(store.version(&vb.id), None);
    // A complete version is kept; the abandoned copy of `vc` gives way.
    assert_matches!(store.admit(vc.clone()), Ok(()));
    fill(&mut store, &c[..300]);
    let vd = version(&content(4, 4));
    assert_matches!(store.admit(vd), Ok(()));
    assert_matches!(store.version(&vc.id), None);
    assert!(store.assemble(&va).is_some());
    assert_eq!(store.used(), Size(600));
}

/// Guards against the same content counted twice within one version.
#[test]
fn repeated_chunks_are_stored_once() {
    let mut data = content(1, 2);
    data.extend_from_within(..CHUNK);
    let v = version(&data);
    let mut store = ChunkStore::new(Size(200));
    assert_matches!(store.admit(v.clone()), Ok(()));
    fill(&mut store, &data);
    assert_eq!(store.used(), Size(200));
    assert_eq!(store.assemble(&v).map(|c| c.concat()), Some(data));
}

/// Guards against transfers above the rate, and against a burst saved up over a long idle time.
#[test]
fn bucket_keeps_the_rate() {
    let mut bucket = Bucket::new(Rate(1000), Size(100), Millis(0));
    assert_eq!(bucket.take(100, Millis(0)), Millis(0));
    assert_eq!(bucket.take(500, Millis(0)), Millis(0));
    assert_eq!(bucket.take(500, Millis(0)), Millis(500));
    assert_eq!(bucket.take(0, Millis(600)), Millis(400));
    assert_eq!(bucket.take(200, Millis(60_000)), Millis(0));
    assert_eq!(bucket.take(1, Millis(60_000)), Millis(100));
}
