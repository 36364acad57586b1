//! Order in which an agent sends chunks to other hosts.

mod copy_support;
mod gateway_support;

use std::{cell::RefCell, rc::Rc};

use bytes::Bytes;
use copy_support::{content, report, settings, start_assigner, Informed, MemoryOrigin, PORT};
use gateway_support::{addr, run_local, MemoryStore, TestDecode};
use sesamewing::{
    base::{Millis, Rate},
    gateway::WeightVersion,
    http::{get, Pool},
    staging::{self, EndpointHost, HostError, HostReport, LoadResponse},
};
use tokio::{task::spawn_local, time::Instant};

const CHUNKS: u32 = 24;

/// Rate of the host's link; a chunk takes 47 ms.
const LINK: Rate = Rate(200_000);

/// Time in which the agent checks what is staged, and that in which all requests are answered.
const START: Millis = Millis(600);
const TIME: Millis = Millis(2000);

/// Endpoint that has loaded and staged a version.
#[derive(Clone)]
struct Engine;

impl EndpointHost for Engine {
    async fn report(&self) -> Result<HostReport, HostError> {
        Ok(report(1))
    }

    async fn staged(&self, _: &str) -> Result<Vec<u32>, HostError> {
        Ok((0..CHUNKS).collect())
    }

    async fn read(&self, _: &str, chunk: u32) -> Result<Option<Bytes>, HostError> {
        Ok(Some(content(1, chunk)))
    }

    async fn stage(&self, _: &str, _: u32, _: Bytes) -> Result<(), HostError> {
        Ok(())
    }

    async fn load(&self, _: &str, _: WeightVersion) -> Result<LoadResponse, HostError> {
        Ok(LoadResponse::Done)
    }
}

/// Statuses of the responses with the last segments of the requests, in the order of the responses.
type Responses = Rc<RefCell<Vec<(u16, &'static str)>>>;

fn request(chunk: u32, segment: &'static str, out: &Responses) {
    let out = out.clone();
    spawn_local(async move {
        let pool = Pool::default();
        let path = format!("/chunk/m/1/{chunk}{segment}");
        let res = get(&pool, addr(1, PORT), &path, Millis::ZERO, TIME).await;
        let status = res.expect("a response").status().as_u16();
        out.borrow_mut().push((status, segment));
    });
}

/// Guards against hosts that all complete a copy late and at once, because the requests of those that are to complete first,
/// and of other regions, wait behind all others.
#[test]
fn urgent_uploads_come_first() {
    run_local(async {
        let store = MemoryStore::default();
        start_assigner(&store, 2, "a", 1, Informed::At(Instant::now())).await;
        let mut settings = settings(1, Millis(60_000));
        settings.link_rate = LINK;
        spawn_local(staging::run::<_, TestDecode, _, _>(
            settings,
            store,
            Engine,
            MemoryOrigin(CHUNKS),
        ));
        tokio::time::sleep(START.duration()).await;
        let out = Responses::default();
        for (requests, segment) in [(0..4, ""), (4..6, "/first"), (6..7, "/wait"), (7..10, "")] {
            requests.for_each(|chunk| request(chunk, segment, &out));
            tokio::time::sleep(Millis(8).duration()).await;
        }
        tokio::time::sleep(TIME.duration()).await;
        let out = out.borrow();
        let rejected = out.iter().filter(|r| r.0 == 503).count();
        assert_eq!(rejected, 1, "the queue takes 8 uploads: {out:?}");
        let sent: Vec<_> = out.iter().filter(|r| r.0 == 200).map(|r| r.1).collect();
        // The link is idle for the first one, and it is the turn of the second one when the urgent ones arrive.
        let expected = ["", "", "/wait", "/first", "/first", "", "", "", ""];
        assert_eq!(sent, expected);
    });
}
