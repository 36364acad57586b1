//! Callers of every kind on kept connections, while one configuration follows another: each whole request has an answer.

mod gateway_support;

use std::{cell::Cell, io, rc::Rc, time::Duration};

use gateway_support::{
    addr, endpoint_with,
    gateway::{catalog, events, respond, start_entry, CALLERS, HELD, MODEL},
    header, run_local, set_catalog, MemoryStore, Step,
};
use sesamewing::{
    base::{HashMap, Millis},
    gateway::{Catalog, CatalogVersion, Route, Topic},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::spawn_local,
    time::{sleep, timeout, Instant},
};

/// Seeds of the callers and of the order of the configurations.
const SEEDS: [u64; 3] = [1, 2, 3];

/// Time for which configurations follow each other, and longest pause between two.
const STORM: Duration = Duration::from_secs(3);
const PAUSE_MAX: u64 = 60;

/// Number of callers, of endpoints, and of bytes in a long body.
const COUNT: u64 = 20;
const ENDPOINTS: u64 = 4;

/// Host of the first endpoint, and number of configurations after which one more leaves.
const FIRST: u8 = 2;
const LEAVE_EVERY: u64 = 20;
const LONG: usize = 200 << 10;

/// Longest time that a caller waits for a response that must come: beyond the longest timeout of a route.
const PATIENCE: Duration = Duration::from_secs(4);

/// A small generator of pseudo-random numbers.
struct Draw(Cell<u64>);

impl Draw {
    fn below(&self, limit: u64) -> u64 {
        let next = self.0.get().wrapping_mul(6_364_136_223_846_793_005);
        self.0.set(next.wrapping_add(1_442_695_040_888_963_407));
        (self.0.get() >> 33) % limit
    }

    async fn pause(&self, limit: u64) {
        sleep(Duration::from_millis(self.below(limit))).await;
    }
}

fn edit_routes(catalog: &mut Catalog, edit: impl Fn(&mut Route)) {
    for route in catalog.routes.values_mut().flatten() {
        edit(Rc::make_mut(route));
    }
}

/// Changes of the configuration, each of them from the usual one.
const CHANGES: [fn(&mut Catalog); 12] = [
    |_| {},
    |c| c.routes.clear(),
    |c| c.keys = Some(HashMap::default()),
    |c| c.services.clear(),
    |c| c.services.values_mut().for_each(|s| s.connections = 1),
    |c| {
        edit_routes(c, |r| {
            r.targets = vec![("other".parse().expect("a valid name"), 1)];
        });
    },
    // A stream that has begun may be cut at the end of its time.
    |c| {
        edit_routes(c, |r| {
            if !r.streaming {
                r.timeout = Millis(60);
            }
        });
    },
    |c| edit_routes(c, |r| r.timeout = Millis(1500)),
    |c| edit_routes(c, |r| r.attempts = 1),
    |c| c.limits.body_max = 1,
    |c| c.limits.send_time = Millis(20),
    |c| {
        c.limits.header_max = 1;
        c.limits.idle_time = Millis(1);
    },
];

/// Kinds of requests.
#[derive(Clone, Copy, Debug)]
enum Kind {
    Short,
    Long,
    Slow,
    Chunked,
    Stream,
    Pipelined,
}

const KINDS: [Kind; 6] = [
    Kind::Short,
    Kind::Long,
    Kind::Slow,
    Kind::Chunked,
    Kind::Stream,
    Kind::Pipelined,
];

impl Kind {
    /// Returns the parts in which a request is sent, and the number of requests in it.
    fn parts(self) -> (Vec<Vec<u8>>, usize) {
        let head = |path: &str, framing: &str| {
            format!(
                "POST {path} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r1\r\nX-Deadline-Ms: 2500\r\n\
                 X-Workspace-Key: key\r\n{framing}\r\n\r\n"
            )
        };
        let short = head("/once/x", "Content-Length: 2") + "hi";
        let text = |parts: &[&str]| parts.iter().map(|p| p.as_bytes().to_vec()).collect();
        match self {
            Self::Short => (text(&[&short]), 1),
            Self::Stream => (text(&[&(head("/stream/x", "Content-Length: 2") + "hi")]), 1),
            Self::Pipelined => (text(&[&short.repeat(2)]), 2),
            Self::Slow => (
                text(&[&head("/safe/x", "Content-Length: 3"), "a", "b", "c"]),
                1,
            ),
            Self::Chunked => {
                let head = head("/safe/x", "Transfer-Encoding: chunked");
                (text(&[&head, "2\r\nhi\r\n", "2\r\nhi\r\n", "0\r\n\r\n"]), 1)
            }
            Self::Long => {
                let head = head("/once/x", &format!("Content-Length: {LONG}"));
                (vec![head.into_bytes(), vec![b'x'; LONG]], 1)
            }
        }
    }
}

/// Reads one whole response; `buffer` holds what was read of the next one.
async fn read_response(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<String> {
    loop {
        let text = String::from_utf8_lossy(buffer).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = header(&text, "content-length").and_then(|n| n.parse::<usize>().ok());
            let end = match length {
                Some(length) => Some(length).filter(|n| *n <= body.len()),
                None => body.find("0\r\n\r\n").map(|at| at + "0\r\n\r\n".len()),
            };
            if let Some(end) = end {
                let size = head.len() + "\r\n\r\n".len() + end;
                buffer.drain(..size);
                return Ok(text[..size].to_owned());
            }
        }
        let mut part = [0; 4096];
        match timeout(PATIENCE, stream.read(&mut part)).await? {
            Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(len) => buffer.extend_from_slice(&part[..len]),
            Err(e) => return Err(e),
        }
    }
}

/// What one caller got.
#[derive(Debug, Default)]
struct Tally {
    answered: usize,
    rejected: usize,
    /// Whole requests without a whole response.
    lost: Vec<String>,
}

/// Sends requests until a moment, on one connection for as long as the entry keeps it.
async fn call(draw: Draw, until: Instant) -> Tally {
    let mut tally = Tally::default();
    while Instant::now() < until {
        let mut stream = TcpStream::connect(addr(1, CALLERS)).await.expect("one");
        let mut buffer = Vec::new();
        let mut open = true;
        while open && Instant::now() < until {
            let kind = KINDS[draw.below(KINDS.len() as u64) as usize];
            let (parts, requests) = kind.parts();
            for part in &parts {
                stream.write_all(part).await.ok();
                draw.pause(40).await;
            }
            for _ in 0..requests {
                match read_response(&mut stream, &mut buffer).await {
                    Ok(text) => {
                        open = header(&text, "connection").as_deref() != Some("close");
                        let served = text.starts_with("HTTP/1.1 200 ");
                        tally.answered += usize::from(served);
                        tally.rejected += usize::from(!served);
                    }
                    Err(e) => {
                        open = false;
                        let got = String::from_utf8_lossy(&buffer);
                        tally.lost.push(format!("{kind:?}: {e}, got `{got}`"));
                    }
                }
                // What is behind the last response of a connection is not read.
                if !open {
                    break;
                }
            }
        }
    }
    tally
}

/// Returns the record of the endpoint on host `n`.
fn record(n: u8) -> String {
    format!("plain {} a {MODEL} {HELD}", addr(n, 9000))
}

/// Puts one configuration after another in force until a moment; returns their number.
async fn change_catalogs(store: &MemoryStore, draw: &Draw, until: Instant) -> u64 {
    let mut version = 1;
    while Instant::now() < until {
        version += 1;
        let mut next = catalog();
        next.version = CatalogVersion(version);
        // Every second one is the usual one, so that requests are served too.
        if version % 2 == 0 {
            CHANGES[draw.below(CHANGES.len() as u64) as usize](&mut next);
        }
        set_catalog(next);
        store.write(Topic::Operator, "config", "changed");
        // Some endpoints leave while they are at work.
        if version % LEAVE_EVERY == 0 && version / LEAVE_EVERY < ENDPOINTS {
            let n = FIRST + (version / LEAVE_EVERY) as u8;
            store.write(Topic::Endpoints, &format!("e{n}"), "");
        }
        draw.pause(PAUSE_MAX).await;
    }
    version
}

/// Guards against a whole request that gets neither an answer nor a rejection beside configurations of every kind: short,
/// long, slow, chunked and pipelined ones, and streams.
#[test]
fn whole_requests_are_answered() {
    for seed in SEEDS {
        run_local(async {
            let speed = Draw(Cell::new(seed));
            let pick = move |request: &str| {
                let mut script = vec![Step::Pause(speed.below(150))];
                if request.contains("/stream/") {
                    script.extend(events(1..=2, ""));
                    script.push(Step::Pause(speed.below(150)));
                    script.extend(events(3..=4, "0\r\n\r\n").split_off(1));
                } else {
                    script.extend(respond("200 OK", "yes"));
                }
                script
            };
            let store = MemoryStore::default();
            let pick = Rc::new(pick);
            for n in FIRST..FIRST + ENDPOINTS as u8 {
                endpoint_with(addr(n, 9000), pick.clone()).await;
                store.write(Topic::Endpoints, &format!("e{n}"), &record(n));
            }
            set_catalog(catalog());
            store.write(Topic::Operator, "config", "1");
            start_entry(1, store.clone()).await;
            let until = Instant::now() + STORM;
            let draw = Draw(Cell::new(seed));
            let callers = (0..COUNT).map(|n| Draw(Cell::new(seed * 1000 + n)));
            let callers: Vec<_> = callers.map(|d| spawn_local(call(d, until))).collect();
            let versions = change_catalogs(&store, &draw, until).await;
            let mut all = Tally::default();
            for caller in callers {
                let one = caller.await.expect("the caller ends");
                all.answered += one.answered;
                all.rejected += one.rejected;
                all.lost.extend(one.lost);
            }
            println!(
                "seed {seed}: {versions} versions, {} answered, {} rejected, {} lost",
                all.answered,
                all.rejected,
                all.lost.len()
            );
            assert!(all.answered > 0 && all.rejected > 0, "seed {seed}");
            assert!(all.lost.is_empty(), "seed {seed}: {:#?}", all.lost);
        });
    }
}
