//! Assignments of an agent from entries of which one is behind the other, or of another build.

mod copy_support;
mod gateway_support;

use std::{cell::RefCell, net::SocketAddr, rc::Rc};

use bytes::Bytes;
use copy_support::{manifest, report, settings, MemoryOrigin};
use gateway_support::{addr, heartbeat, run_local, MemoryStore, TestDecode};
use sesamewing::{
    base::{Millis, Size},
    gateway::{
        Assignment, CatalogVersion, OriginSpec, Record, RecordStore, Status, Topic, WeightVersion,
    },
    staging::{self, EndpointHost, HostError, HostReport, LoadResponse, Manifest, Origin},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::spawn_local,
};

/// Version that the endpoint has loaded, and the one that the agent is to copy.
const LOADED: WeightVersion = WeightVersion(1);
const NEW: WeightVersion = WeightVersion(2);

/// Time in which the agent gets both assignments and reads the manifest.
const TIME: Millis = Millis(3000);

/// Origins of the older and of the newer configuration.
fn origins() -> [SocketAddr; 2] {
    [addr(14, 1), addr(15, 1)]
}

/// Endpoint without chunks.
#[derive(Clone)]
struct Engine;

impl EndpointHost for Engine {
    async fn report(&self) -> Result<HostReport, HostError> {
        Ok(report(LOADED.0))
    }

    async fn staged(&self, _: &str) -> Result<Vec<u32>, HostError> {
        Ok(Vec::new())
    }

    async fn read(&self, _: &str, _: u32) -> Result<Option<Bytes>, HostError> {
        Ok(None)
    }

    async fn stage(&self, _: &str, _: u32, _: Bytes) -> Result<(), HostError> {
        Ok(())
    }

    async fn load(&self, _: &str, _: WeightVersion) -> Result<LoadResponse, HostError> {
        Ok(LoadResponse::Begun)
    }
}

/// Origins that note which of them is asked for the manifest of which version.
#[derive(Clone, Default)]
struct Asked(Rc<RefCell<Vec<(SocketAddr, WeightVersion)>>>);

impl Origin for Asked {
    async fn manifest(
        &self,
        origin: SocketAddr,
        _: &str,
        version: Option<WeightVersion>,
    ) -> Result<Manifest, HostError> {
        let version = version.unwrap_or(LOADED);
        self.0.borrow_mut().push((origin, version));
        Ok(manifest(version, 1))
    }

    async fn chunk(
        &self,
        origin: SocketAddr,
        model: &str,
        version: WeightVersion,
        chunk: u32,
        size: Size,
    ) -> Result<Bytes, HostError> {
        MemoryOrigin(1)
            .chunk(origin, model, version, chunk, size)
            .await
    }
}

/// Returns the assignment that follows from a configuration, the older or the newer one.
fn assignment(newer: bool, newest: Option<WeightVersion>) -> Assignment {
    let zone = "a".parse().expect("a valid name");
    Assignment {
        model: Some("m".into()),
        origin: Some(OriginSpec {
            addr: origins()[usize::from(newer)],
            zone: Some(zone),
        }),
        newest,
        tag: 1 + u64::from(newer),
        catalog: Some(CatalogVersion(1 + u64::from(newer))),
        ..Assignment::default()
    }
}

/// Sends these replies, one to each request; later requests get none.
async fn serve(mut conn: TcpStream, replies: Rc<RefCell<Vec<Vec<u8>>>>) {
    let mut data = vec![0; 4096];
    while conn.read(&mut data).await.is_ok_and(|len| len > 0) {
        let reply = replies.borrow_mut().pop();
        let Some(reply) = reply else {
            return std::future::pending().await;
        };
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", reply.len());
        let reply = [head.as_bytes(), &reply].concat();
        conn.write_all(&reply).await.expect("it is sent");
    }
}

/// Lets an agent get assignments in an order, and returns the origins that it asks for the manifest of the new version.
async fn asked_after(mut replies: Vec<Vec<u8>>) -> Vec<SocketAddr> {
    let store = MemoryStore::default();
    let entry = addr(2, 8004);
    let announced = heartbeat(entry, "a", 1, Status::default());
    let announced = Record {
        key: Bytes::from_static(b"entry"),
        value: Some(postcard::to_stdvec(&announced).expect("encoded").into()),
    };
    let appended = store.append(Topic::Entries, &announced).await;
    appended.expect("it is kept");
    let listener = TcpListener::bind(entry).await.expect("a port");
    replies.reverse();
    let replies = Rc::new(RefCell::new(replies));
    spawn_local(async move {
        while let Ok((conn, _)) = listener.accept().await {
            spawn_local(serve(conn, replies.clone()));
        }
    });
    let asked = Asked::default();
    spawn_local(staging::run::<_, TestDecode, _, _>(
        settings(1, Millis(60_000)),
        store,
        Engine,
        asked.clone(),
    ));
    tokio::time::sleep(TIME.duration()).await;
    let asked = asked.0.borrow();
    let new = asked.iter().filter(|(_, version)| *version == NEW);
    new.map(|(origin, _)| *origin).collect()
}

fn encode(assignment: &Assignment) -> Vec<u8> {
    assignment.encode().expect("encoded")
}

/// Guards against an agent that copies from the origin of an older configuration, because an entry that is behind answers
/// it after another one.
#[test]
fn entry_behind_moves_no_origin() {
    run_local(async {
        let replies = [assignment(true, None), assignment(false, Some(NEW))];
        let asked = asked_after(replies.iter().map(encode).collect()).await;
        assert!(!asked.is_empty(), "the version is copied");
        assert!(!asked.contains(&origins()[0]), "{asked:?}");
    });
}

/// Guards against an agent that does not take the origin of a newer configuration, and against one that gets nothing from
/// entries of a build that does not tell from which configuration an assignment follows.
#[test]
fn newer_and_unknown_move_the_origin() {
    run_local(async {
        let before = postcard::to_stdvec(&assignment(false, None)).expect("encoded");
        let replies = vec![before, encode(&assignment(true, Some(NEW)))];
        let asked = asked_after(replies).await;
        assert_eq!(asked.first(), Some(&origins()[1]), "{asked:?}");
    });
    run_local(async {
        let before = postcard::to_stdvec(&assignment(false, Some(NEW))).expect("encoded");
        let asked = asked_after(vec![encode(&assignment(true, None)), before]).await;
        assert_eq!(asked.first(), Some(&origins()[0]), "{asked:?}");
    });
}

/// Guards against agents of the build before, which get nothing from entries that tell the version.
#[test]
fn builds_before_read_the_rest() {
    let sent = assignment(true, Some(NEW));
    let read: Assignment = postcard::from_bytes(&encode(&sent)).expect("an assignment");
    assert_eq!(read.origin, sent.origin);
    assert_eq!(read.newest, sent.newest);
    assert_eq!(read.catalog, None);
}

/// Guards against an agent that waits for an entry of its zone that has stopped, before it asks another one: after a kill of
/// all processes that delayed the first loads by 0.6 s.
#[test]
fn second_entry_is_asked_at_the_start() {
    run_local(async {
        let store = MemoryStore::default();
        let entries = [(addr(2, 8004), "a"), (addr(3, 8004), "b")];
        for (entry, zone) in entries {
            let announced = heartbeat(entry, zone, 1, Status::default());
            let announced = Record {
                key: entry.to_string().into(),
                value: Some(postcard::to_stdvec(&announced).expect("encoded").into()),
            };
            let appended = store.append(Topic::Entries, &announced).await;
            appended.expect("it is kept");
            let listener = TcpListener::bind(entry).await.expect("a port");
            // The entry of the agent's zone accepts connections and responds to nothing.
            let reply = (zone == "b").then(|| encode(&assignment(true, Some(NEW))));
            let replies = Rc::new(RefCell::new(Vec::from_iter(reply)));
            spawn_local(async move {
                while let Ok((conn, _)) = listener.accept().await {
                    spawn_local(serve(conn, replies.clone()));
                }
            });
        }
        let asked = Asked::default();
        spawn_local(staging::run::<_, TestDecode, _, _>(
            settings(1, Millis(60_000)),
            store,
            Engine,
            asked.clone(),
        ));
        tokio::time::sleep(Millis(1000).duration()).await;
        assert!(!asked.0.borrow().is_empty(), "no entry has responded");
    });
}
