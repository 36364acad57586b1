//! Cost of the kernel at the state of 10, 100 and 1,610 processes.
//!
//! Run with `cargo bench --profile dev --bench kernel`, so that the figures are those of the profile of all other runs.

use std::{
    alloc::{GlobalAlloc, Layout, System},
    hint::black_box,
    sync::atomic::{AtomicUsize, Ordering},
    time::{Duration, Instant},
};

use bytes::Bytes;
use sesamewing::{
    base::{Attempt, Digest, Fence, Instance, Millis, RecordId, RequestId},
    feed::Replica,
    kernel::{
        Assembler, Body, Claim, Done, Entry, Kernel, LeaseOp, NodePath, Outcome, Publish, Record,
        Snapshot, CLAIMS_MAX,
    },
};

/// Counts the bytes in use.
struct Counting;

static USED: AtomicUsize = AtomicUsize::new(0);

// SAFETY: passes each call on to the system allocator unchanged.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        USED.fetch_add(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller's promises hold for the same layout.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, p: *mut u8, layout: Layout) {
        USED.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: `p` came from `alloc` with the same layout.
        unsafe { System.dealloc(p, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

const START: u64 = 1_800_000_000_000;
const WINDOW: Millis = Millis::from_secs(24 * 3600);

/// Numbers of processes; the last is the target size.
const SIZES: [usize; 3] = [10, 100, 1610];

/// Workspaces of a service.
const WORKSPACES: usize = 10;

/// Options of a service and its workspaces in this state.
const OPTIONS: [(&str, &str); 3] = [
    ("limit.rate", "100"),
    ("limit.concurrency", "16"),
    ("request.deadline", "3s"),
];

fn entry(kernel: &Kernel, ms: u64, body: Body) -> Entry {
    Entry {
        offset: kernel.applied().next(),
        time: Millis(START + ms),
        data: Record::new(body).encode().expect("a small record"),
    }
}

fn apply(kernel: &mut Kernel, ms: u64, body: Body) {
    let e = entry(kernel, ms, body);
    kernel.apply(&e).expect("the next offset");
}

/// One region for every 805 processes and one service for each 40 processes of a region.
fn paths(n: usize) -> Vec<NodePath> {
    let mut out = vec![NodePath::Root];
    for r in 0..n.div_ceil(805) {
        out.push(format!("/region-{r}").parse().expect("a path"));
        for s in 0..n.min(805).div_ceil(40) {
            out.push(format!("/region-{r}/service-{s}").parse().expect("a path"));
            for w in 0..WORKSPACES {
                let path = format!("/region-{r}/service-{s}/workspace-{w}");
                out.push(path.parse().expect("a path"));
            }
        }
    }
    out
}

fn publish(kernel: &Kernel, path: &NodePath, value: usize) -> Body {
    let mut values: Vec<_> = match path {
        NodePath::Service(..) | NodePath::Workspace(..) => OPTIONS.to_vec(),
        _ => Vec::new(),
    };
    let rate = value.to_string();
    if let Some(first) = values.first_mut() {
        first.1 = &rate;
    }
    let values = values.iter().map(|(k, v)| (k.to_string(), v.to_string()));
    Body::Publish(Publish {
        author: "operator".to_owned(),
        base: vec![(path.clone(), kernel.config().node_revision(path))],
        nodes: vec![(path.clone(), Some(values.collect()))],
    })
}

fn resource(i: usize) -> String {
    format!("endpoint/region-a-engine-{i}")
}

fn acquire(i: usize) -> Body {
    Body::Lease(LeaseOp::Acquire {
        resource: resource(i),
        holder: format!("region-a-engine-{i}").parse().expect("a name"),
        instance: Instance(i as u64),
        term: Millis(5000),
    })
}

/// An id of a given time since the start.
fn request(ms: u64, n: u32) -> RequestId {
    let mut b = [0; 16];
    b[..6].copy_from_slice(&(START + ms).to_be_bytes()[2..]);
    (b[6], b[8]) = (0x70, 0x80);
    b[12..].copy_from_slice(&n.to_be_bytes());
    RequestId(uuid::Uuid::from_bytes(b))
}

fn claim(ms: u64, n: u32) -> Claim {
    Claim {
        request: request(ms, n),
        digest: Digest([7; 32]),
        attempt: Attempt(1),
        holder: "region-a-gateway-1".parse().expect("a name"),
        instance: Instance(1),
    }
}

fn done(ms: u64, n: u32, body: usize) -> Done {
    Done {
        request: request(ms, n),
        attempt: Attempt(1),
        instance: Instance(1),
        outcome: Outcome {
            status: 200,
            media: "text/plain".to_owned(),
            digest: Digest([7; 32]),
            body: Some(vec![b'x'; body]),
        },
    }
}

/// State of the control stream: the tree, and a lease for each agent as during a rollout.
fn control(n: usize) -> Kernel {
    let mut kernel = Kernel::new(WINDOW);
    for path in paths(n) {
        let body = publish(&kernel, &path, 100);
        apply(&mut kernel, 0, body);
    }
    for i in 0..n * 3 / 4 {
        apply(&mut kernel, 0, acquire(i));
    }
    kernel
}

/// Mean time of `f` over at least 50 ms; `f` gets the number of the run.
fn time(mut f: impl FnMut(usize)) -> Duration {
    let start = Instant::now();
    let mut n = 0;
    while start.elapsed() < Duration::from_millis(50) {
        f(n);
        n += 1;
    }
    start.elapsed() / n as u32
}

fn row(what: &str, figures: &[String]) {
    print!("{what:<44}");
    figures.iter().for_each(|f| print!("{f:>14}"));
    println!();
}

fn timed(what: &str, f: impl FnMut(usize) -> Duration) {
    let figures: Vec<_> = SIZES
        .into_iter()
        .map(f)
        .map(|d| format!("{} ns", d.as_nanos()))
        .collect();
    row(what, &figures);
}

/// Mean time to apply the records that `body` makes; making them does not count.
fn applied(mut kernel: Kernel, mut body: impl FnMut(&Kernel, usize) -> Body) -> Duration {
    let (mut sum, mut n) = (Duration::ZERO, 0);
    while sum < Duration::from_millis(20) && n < 20_000 {
        let next = body(&kernel, n as usize);
        let e = entry(&kernel, 1, next);
        let start = Instant::now();
        black_box(kernel.apply(&e).expect("the next offset"));
        sum += start.elapsed();
        n += 1;
    }
    sum / n
}

fn records() {
    timed("apply publish of 1 node", |n| {
        let paths = paths(n);
        applied(control(n), |k, i| publish(k, &paths[i % paths.len()], i))
    });
    timed("apply publish that removes 1 workspace", |n| {
        let paths = paths(n);
        let leaf = paths.last().cloned().expect("a path");
        applied(control(n), |k, i| {
            let Body::Publish(mut p) = publish(k, &leaf, i) else {
                unreachable!()
            };
            if i % 2 == 0 {
                p.nodes[0].1 = None;
            }
            Body::Publish(p)
        })
    });
    timed("Replica::apply of the same publish", |n| {
        let paths = paths(n);
        let replica = Replica::new(control(n));
        time(|i| {
            let e = replica.with_kernel(|k| entry(k, 1, publish(k, &paths[i % paths.len()], i)));
            replica.apply(&e).expect("the next offset");
        })
    });
    timed("apply acquire and release", |n| {
        applied(control(n), |k, i| match i % 2 {
            0 => acquire(1 << 20),
            _ => Body::Lease(LeaseOp::Release {
                resource: resource(1 << 20),
                fence: Fence(k.applied().0),
            }),
        })
    });
    timed("apply renew", |n| {
        applied(control(n), |k, i| {
            let resource = resource(i % (n * 3 / 4));
            let fence = k.leases().get(&resource).expect("held").fence;
            Body::Lease(LeaseOp::Renew { resource, fence })
        })
    });
    timed("apply bytes of another program", |n| {
        let mut kernel = control(n);
        time(|_| {
            let e = Entry {
                offset: kernel.applied().next(),
                time: Millis(START),
                data: Bytes::from_static(b"something else"),
            };
            kernel.apply(&e).expect("the next offset");
        })
    });
}

fn snapshots() {
    let states: Vec<_> = SIZES.into_iter().map(control).collect();
    let at = |n| &states[SIZES.iter().position(|s| *s == n).expect("a size")];
    timed("Kernel::digest", |n| {
        time(|_| {
            black_box(at(n).digest());
        })
    });
    timed("Snapshot::of", |n| {
        time(|_| drop(black_box(Snapshot::of(at(n)))))
    });
    timed("Snapshot::split", |n| {
        let s = Snapshot::of(at(n));
        time(|_| drop(black_box(s.split())))
    });
    timed("Assembler::add of all chunks", |n| {
        let chunks = Snapshot::of(at(n)).split();
        time(|_| {
            let mut a = Assembler::default();
            for c in &chunks {
                black_box(a.add(c.clone()));
            }
        })
    });
    timed("Snapshot::kernel", |n| {
        let s = Snapshot::of(at(n));
        time(|_| drop(black_box(s.kernel())))
    });
    let sizes: Vec<_> = states.iter().map(|k| Snapshot::of(k).data.len()).collect();
    row("snapshot, bytes", &sizes.map_text());
    let heap: Vec<_> = SIZES
        .into_iter()
        .map(|n| {
            let before = USED.load(Ordering::Relaxed);
            let k = control(n);
            let used = USED.load(Ordering::Relaxed) - before;
            drop(k);
            used
        })
        .collect();
    row("state in memory, bytes", &heap.map_text());
}

trait MapText {
    fn map_text(&self) -> Vec<String>;
}

impl MapText for Vec<usize> {
    fn map_text(&self) -> Vec<String> {
        self.iter().map(ToString::to_string).collect()
    }
}

/// Bytes in memory and in a snapshot of each item that `body` adds.
fn item(what: &str, kernel: &mut Kernel, n: usize, mut body: impl FnMut(&Kernel, usize) -> Body) {
    // Fills the table of record ids first, so that it does not count.
    for i in 0..5000 {
        let e = Entry {
            offset: kernel.applied().next(),
            time: Millis(START),
            data: Record {
                id: RecordId(1 << 100 | i),
                body: Body::Claims(Vec::new()),
            }
            .encode()
            .expect("a small record"),
        };
        kernel.apply(&e).expect("the next offset");
    }
    let (heap, size) = (
        USED.load(Ordering::Relaxed),
        Snapshot::of(kernel).data.len(),
    );
    for i in 0..n {
        let next = body(kernel, i);
        apply(kernel, 1, next);
    }
    let heap = USED.load(Ordering::Relaxed) - heap;
    let size = Snapshot::of(kernel).data.len() - size;
    row(what, &[(heap / n).to_string(), (size / n).to_string()]);
}

fn items() {
    row(
        "bytes for each",
        &["memory".to_owned(), "snapshot".to_owned()],
    );
    let new = || Kernel::new(WINDOW);
    item("held lease", &mut new(), 4000, |_, i| acquire(i));
    let paths = paths(1610);
    item(
        "settings node with 3 options",
        &mut new(),
        paths.len(),
        |k, i| publish(k, &paths[i], 1),
    );
    let mut kernel = new();
    let one = |_: &Kernel, i| Body::Claims(vec![claim(0, i as u32)]);
    item("claim in progress", &mut kernel, 20_000, one);
    let outcome = |_: &Kernel, i| Body::Done(vec![done(0, i as u32, 100)]);
    item(
        "further bytes with an outcome of 100 B",
        &mut kernel,
        20_000,
        outcome,
    );
}

/// The claims stream, whose size depends on the rate of non-repeatable requests and not on the number of processes.
fn claims() {
    let sizes = [1 << 12, 1 << 15, CLAIMS_MAX - 21_000];
    row("ids in the claims table", &sizes.to_vec().map_text());
    let fill = |n: usize| {
        let mut k = Kernel::new(WINDOW);
        for from in (0..n).step_by(1024) {
            let ids = from..n.min(from + 1024);
            apply(
                &mut k,
                0,
                Body::Claims(ids.map(|i| claim(0, i as u32)).collect()),
            );
        }
        k
    };
    let mut rows = [(); 7].map(|()| Vec::new());
    for n in sizes {
        let k = fill(n);
        let text = |d: Duration| format!("{} ns", d.as_nanos());
        rows[0].push(text(applied(k.clone(), |_, i| {
            Body::Claims(vec![claim(1, i as u32)])
        })));
        rows[1].push(text(applied(k.clone(), |_, i| {
            Body::Done(vec![done(0, (i % n) as u32, 100)])
        })));
        rows[2].push(text(time(|_| {
            black_box(k.digest());
        })));
        let s = Snapshot::of(&k);
        rows[3].push(s.data.len().to_string());
        rows[4].push(text(time(|_| drop(black_box(s.kernel())))));
        let after = 2 * WINDOW.0;
        let mut all = k.clone();
        let e = entry(&all, after, Body::Claims(Vec::new()));
        let start = Instant::now();
        all.apply(&e).expect("the next offset");
        rows[5].push(text(start.elapsed()));
        assert!(all.claims().is_empty());
        rows[6].push(text(time(|_| drop(black_box(k.clone())))));
    }
    let names = [
        "apply claim",
        "apply outcome of 100 B",
        "Kernel::digest",
        "snapshot, bytes",
        "Snapshot::kernel",
        "apply a record that prunes the whole table",
        "Kernel::clone and drop",
    ];
    for (name, figures) in names.into_iter().zip(rows) {
        row(name, &figures);
    }
}

/// Records that name one node again and again; they were applied in full before such records were refused.
fn worst() {
    let mut kernel = control(1610);
    let root = NodePath::Root;
    for repeats in [16, 64, 256] {
        let p = Publish {
            author: "operator".to_owned(),
            base: kernel
                .config()
                .nodes()
                .map(|(p, n)| (p.clone(), n.revision))
                .collect(),
            nodes: vec![(root.clone(), None); repeats],
        };
        let e = entry(&kernel, 1, Body::Publish(p));
        let start = Instant::now();
        kernel.apply(&e).expect("the next offset");
        let took = format!("{} ns", start.elapsed().as_nanos());
        row(
            &format!("apply publish with {repeats} removals of the root"),
            &[took],
        );
    }
}

fn main() {
    let load = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    println!("load average {}", load.trim());
    let nodes: Vec<_> = SIZES.into_iter().map(|n| paths(n).len()).collect();
    row("processes", &SIZES.to_vec().map_text());
    row("settings nodes", &nodes.map_text());
    records();
    snapshots();
    items();
    claims();
    worst();
}
