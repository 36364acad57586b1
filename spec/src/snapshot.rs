//! Snapshots and truncation: a process that starts late holds the state of the prefix that it claims to have applied.
//!
//! Two writers put snapshots of different prefixes into the log in two parts each; parts may be corrupted; the log
//! drops old records at any time.

use sesamewing::{
    base::{Digest, Offset},
    kernel::{Assembler, Body, Entry, Kernel, NodePath, Publish, Record, SnapshotChunk, Values},
};

use crate::{explore::Protocol, refine::LOG_TIME};

/// Records in the log.
const RECORDS: u8 = 3;

/// Largest snapshot stream.
const STREAM_MAX: usize = 4;

/// Parts of the protocol that can be removed to show that a property depends on them.
#[derive(Clone, Copy, Debug)]
pub struct Guards {
    /// A snapshot is used only if the hash over the whole holds.
    pub hash: bool,
    /// Records are never applied over a gap.
    pub gap: bool,
}

/// One part of a snapshot: prefix that it was made of, position, and the prefix that its content is of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Part {
    applied: u8,
    index: u8,
    /// Differs from `applied` if the part was corrupted.
    content: u8,
}

/// The state machine under exploration: builds states from prefixes and from snapshots.
pub trait Store: Copy {
    /// Returns the prefix whose state the parts stand for, if a snapshot is complete; `hash` says whether it is checked.
    fn assemble(&self, parts: &[Part], hash: bool) -> Option<(u8, u8)>;

    /// Returns whether a process that has applied `applied` records takes the record at `offset`.
    fn takes(&self, applied: u8, offset: u8) -> bool;
}

/// The specification: the state of a prefix is the prefix's length.
#[derive(Clone, Copy, Debug)]
pub struct Prefixes;

impl Store for Prefixes {
    fn assemble(&self, parts: &[Part], hash: bool) -> Option<(u8, u8)> {
        // Parts of each prefix as they came, by index; a completed pair is used or dropped.
        let mut slots = [[None; 2]; RECORDS as usize + 1];
        let mut newest = None;
        for part in parts {
            let slot = &mut slots[usize::from(part.applied)];
            slot[usize::from(part.index)] = Some(part.content);
            let &mut [Some(first), Some(second)] = slot else {
                continue;
            };
            *slot = [None; 2];
            let whole = first == part.applied && second == part.applied;
            if whole || !hash {
                newest = newest.max(Some((part.applied, first.min(second))));
            }
        }
        newest
    }

    fn takes(&self, applied: u8, offset: u8) -> bool {
        offset == applied + 1
    }
}

/// The real kernel with its snapshot code.
#[derive(Clone, Copy, Debug)]
pub struct Kernels;

fn entry(offset: u8) -> Entry {
    let base = u64::from(offset) - 1;
    let body = Body::Publish(Publish {
        author: "operator".to_owned(),
        base: vec![(NodePath::Root, Offset(base))],
        nodes: vec![(NodePath::Root, Some(Values::new()))],
    });
    let record = Record {
        id: sesamewing::base::RecordId(offset.into()),
        body,
    };
    let data = record.encode().expect("a small record");
    Entry {
        offset: Offset(offset.into()),
        time: LOG_TIME,
        data,
    }
}

fn kernel(prefix: u8) -> Kernel {
    let mut kernel = Kernel::new(sesamewing::base::Millis::from_secs(3600));
    for offset in 1..=prefix {
        kernel.apply(&entry(offset)).expect("consecutive records");
    }
    kernel
}

/// Cuts the encoded state of a prefix in two, as parts of a snapshot that names `applied`.
fn chunk(part: Part) -> SnapshotChunk {
    let encoded = |prefix| sesamewing::kernel::Snapshot::of(&kernel(prefix)).data;
    let (own, content) = (encoded(part.applied), encoded(part.content));
    let half = content.len() / 2;
    let data = if part.index == 0 {
        content.slice(..half)
    } else {
        content.slice(half..)
    };
    SnapshotChunk {
        digest: Digest::of(&own),
        applied: Offset(part.applied.into()),
        index: part.index.into(),
        total: 2,
        data,
    }
}

impl Store for Kernels {
    fn assemble(&self, parts: &[Part], hash: bool) -> Option<(u8, u8)> {
        if !hash {
            // The kernel has no switch for the check; without it the parts would be taken as they are.
            return Prefixes.assemble(parts, hash);
        }
        let mut assembler = Assembler::default();
        let snapshots = parts.iter().filter_map(|p| assembler.add(chunk(*p)));
        let newest = snapshots
            .filter_map(|s| s.kernel())
            .max_by_key(Kernel::applied)?;
        let applied = newest.applied().0 as u8;
        let content = (0..=RECORDS).find(|p| kernel(*p).digest() == newest.digest())?;
        Some((applied, content))
    }

    fn takes(&self, applied: u8, offset: u8) -> bool {
        kernel(applied).apply(&entry(offset)).is_ok()
    }
}

/// Both, which must agree.
#[derive(Clone, Copy, Debug)]
pub struct Agreeing;

impl Store for Agreeing {
    fn assemble(&self, parts: &[Part], hash: bool) -> Option<(u8, u8)> {
        let (spec, real) = (
            Prefixes.assemble(parts, hash),
            Kernels.assemble(parts, hash),
        );
        // A disagreement shows as a state that no prefix has.
        if spec == real {
            real
        } else {
            Some((0, u8::MAX))
        }
    }

    fn takes(&self, applied: u8, offset: u8) -> bool {
        Kernels.takes(applied, offset)
    }
}

/// State of the protocol.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// Records appended so far.
    next: u8,
    /// Oldest record kept is `dropped + 1`.
    dropped: u8,
    /// Snapshot stream.
    stream: Vec<Part>,
    /// Late process: stated prefix, and the records its state holds, as a bit set.
    late: (u8, u8),
}

/// A step.
#[derive(Clone, Copy, Debug)]
pub enum Action {
    /// A record is appended.
    Append,
    /// The oldest record is dropped.
    Drop,
    /// A part of a snapshot is appended.
    Write(Part),
    /// The late process loads the newest complete snapshot.
    Load,
    /// The late process applies a record.
    Apply(u8),
}

/// The protocol over a store.
#[derive(Clone, Copy, Debug)]
pub struct Restoring<S> {
    /// Parts that are in place.
    pub guards: Guards,
    /// Store.
    pub store: S,
}

/// Returns the bit set of all records of a prefix; no set for a state that no prefix has.
fn records(prefix: u8) -> u8 {
    if prefix == u8::MAX {
        u8::MAX
    } else {
        (1 << prefix) - 1
    }
}

impl<S: Store> Protocol for Restoring<S> {
    type State = State;
    type Action = Action;

    fn initial(&self) -> State {
        State {
            next: 0,
            dropped: 0,
            stream: vec![],
            late: (0, 0),
        }
    }

    fn steps(&self, s: &State) -> Vec<(Action, State)> {
        let mut out = Vec::new();
        if s.next < RECORDS {
            out.push((
                Action::Append,
                State {
                    next: s.next + 1,
                    ..s.clone()
                },
            ));
        }
        if s.dropped < s.next {
            out.push((
                Action::Drop,
                State {
                    dropped: s.dropped + 1,
                    ..s.clone()
                },
            ));
        }
        if s.stream.len() < STREAM_MAX {
            for applied in 1..=s.next {
                for (index, content) in (0..2).flat_map(|i| [(i, applied), (i, applied - 1)]) {
                    let mut n = s.clone();
                    let part = Part {
                        applied,
                        index,
                        content,
                    };
                    n.stream.push(part);
                    out.push((Action::Write(part), n));
                }
            }
        }
        if let Some((applied, content)) = self.store.assemble(&s.stream, self.guards.hash) {
            if applied > s.late.0 || content == u8::MAX {
                out.push((
                    Action::Load,
                    State {
                        late: (applied, records(content)),
                        ..s.clone()
                    },
                ));
            }
        }
        for offset in s.dropped + 1..=s.next {
            let fits = offset > s.late.0 && !self.guards.gap;
            if fits || self.store.takes(s.late.0, offset) {
                let late = (offset, s.late.1 | 1 << (offset - 1));
                out.push((Action::Apply(offset), State { late, ..s.clone() }));
            }
        }
        out
    }

    fn violation(&self, s: &State) -> Option<&'static str> {
        (s.late.1 != records(s.late.0))
            .then_some("a late process holds the state of its whole prefix")
    }
}
