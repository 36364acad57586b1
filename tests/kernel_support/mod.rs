//! Generators of kernel records.
#![allow(dead_code)]

use bytes::Bytes;
use proptest::{collection::vec, option, prelude::*, sample::select};
use sesamewing::{
    base::{Attempt, Digest, Fence, Instance, Millis, Offset, ProcessName, RecordId, RequestId},
    kernel::{
        Body, Claim, Done, Entry, Expire, Kernel, LeaseOp, NodePath, Outcome, Publish, Record, Void,
    },
};

/// Time at which generated request ids were created and the log begins.
pub(crate) const START: u64 = 1_800_000_000_000;

/// Time for which request ids are kept.
pub(crate) const WINDOW: Millis = Millis::from_secs(3600);

/// A UUID version 7 of a given time; `n` tells ids of the same time apart.
pub(crate) fn request(ms: u64, n: u8) -> RequestId {
    let mut b = [0; 16];
    b[..6].copy_from_slice(&ms.to_be_bytes()[2..]);
    (b[6], b[8], b[15]) = (0x70, 0x80, n);
    RequestId(uuid::Uuid::from_bytes(b))
}

pub(crate) fn name(n: u64) -> ProcessName {
    format!("agent-{n}").parse().unwrap()
}

pub(crate) fn outcome(body: usize, media: usize) -> Outcome {
    Outcome {
        status: 200,
        media: "m".repeat(media),
        digest: Digest::of(b"outcome"),
        body: Some(vec![1; body]),
    }
}

pub(crate) fn claim(request: RequestId, attempt: u32, instance: u64, digest: u8) -> Claim {
    Claim {
        request,
        digest: Digest([digest; 32]),
        attempt: Attempt(attempt),
        holder: name(instance),
        instance: Instance(instance),
    }
}

fn path() -> impl Strategy<Value = NodePath> {
    select(vec![
        "/",
        "/east",
        "/west",
        "/east/a",
        "/east/a/ws",
        "/west/a",
    ])
    .prop_map(|s| s.parse().unwrap())
}

fn publish() -> impl Strategy<Value = Body> {
    let value = option::weighted(0.8, "[a-z]{0,8}");
    let node = (path(), value, 0_u64..4);
    vec(node, 1..4).prop_map(|nodes| {
        let base = nodes.iter().map(|(p, _, b)| (p.clone(), Offset(*b)));
        let values = |v: &String| [("limit.rate".to_owned(), v.clone())].into();
        Body::Publish(Publish {
            author: "operator".to_owned(),
            base: base.collect(),
            nodes: nodes
                .iter()
                .map(|(p, v, _)| (p.clone(), v.as_ref().map(values)))
                .collect(),
        })
    })
}

fn lease() -> impl Strategy<Value = Body> {
    let parts = (
        0_u8..4,
        select(vec!["x", "y"]),
        1_u64..4,
        1_u64..40,
        1_u64..40,
    );
    parts.prop_map(|(kind, resource, instance, fence, seen)| {
        let resource = resource.to_owned();
        let fence = Fence(fence);
        Body::Lease(match kind {
            0 => LeaseOp::Acquire {
                resource,
                holder: name(instance),
                instance: Instance(instance),
                term: Millis(1000),
            },
            1 => LeaseOp::Renew { resource, fence },
            2 => LeaseOp::Release { resource, fence },
            _ => LeaseOp::Expire(Expire {
                resource,
                fence,
                seen: Offset(seen),
            }),
        })
    })
}

/// Claims, voids and outcomes of three instances for a few attempts of two requests.
pub(crate) fn claims() -> impl Strategy<Value = Body> {
    let one = (0_u8..2, 1_u32..4, 1_u64..4, 0_u8..2);
    (0_u8..3, vec(one, 1..4)).prop_map(|(kind, ops)| {
        let ops = ops.into_iter();
        let id = |r| request(START, r);
        match kind {
            0 => Body::Claims(ops.map(|(r, a, i, d)| claim(id(r), a, i, d)).collect()),
            1 => Body::Voids(
                ops.map(|(r, a, i, _)| Void {
                    request: id(r),
                    attempt: Attempt(a),
                    instance: Instance(i),
                })
                .collect(),
            ),
            _ => Body::Done(
                ops.map(|(r, a, i, _)| Done {
                    request: id(r),
                    attempt: Attempt(a),
                    instance: Instance(i),
                    outcome: outcome(4, 10),
                })
                .collect(),
            ),
        }
    })
}

/// Any record; ids repeat, as after lost answers to appends.
pub(crate) fn record() -> impl Strategy<Value = Bytes> {
    let body = prop_oneof![publish(), lease(), claims()];
    (1_u128..60, body).prop_map(|(id, body)| encode(id, body))
}

pub(crate) fn encode(id: u128, body: Body) -> Bytes {
    let id = RecordId(id);
    Record { id, body }.encode().unwrap()
}

/// Puts records at the offsets from 1 with times that also go back.
pub(crate) fn entries(records: &[Bytes], times: &[u64]) -> Vec<Entry> {
    let time = |i: usize| START + times.get(i).copied().unwrap_or(i as u64);
    let entry = |(i, data): (usize, &Bytes)| Entry {
        offset: Offset(i as u64 + 1),
        time: Millis(time(i)),
        data: data.clone(),
    };
    records.iter().enumerate().map(entry).collect()
}

/// Applies records one after the other to a new kernel.
pub(crate) fn replay(entries: &[Entry]) -> Kernel {
    let mut kernel = Kernel::new(WINDOW);
    for e in entries {
        kernel.apply(e).unwrap();
    }
    kernel
}

/// Appends one record to a kernel and returns its effect.
pub(crate) fn append(kernel: &mut Kernel, time: u64, body: Body) -> sesamewing::kernel::Effect {
    let entry = Entry {
        offset: kernel.applied().next(),
        time: Millis(time),
        data: Record::new(body).encode().unwrap(),
    };
    kernel.apply(&entry).unwrap().effect
}
