//! The log streams of the platform.

use std::time::Instant;

use assert_matches::assert_matches;
use bytes::Bytes;
use sesamewing::{
    backing::{HttpPlatform, Log, PlatformError, Stream},
    base::{wall_ms, Millis, Offset},
};
use sesamewing_standin::{Fault, Platform, PlatformOptions, Server};

async fn start(options: PlatformOptions) -> (Server, HttpPlatform) {
    let server = Platform::start(options).await.expect("starts");
    let client = HttpPlatform::new(&server.url()).expect("client");
    (server, client)
}

/// Guards against streams that share offsets and against pages that lose, repeat or alter records.
#[tokio::test]
async fn offsets_count_from_one_in_each_stream() {
    let (_server, log) = start(PlatformOptions::default()).await;
    let before = wall_ms();
    for i in 1..=5u8 {
        let offset = log
            .append(Stream::Control, Bytes::from(vec![i, 0xff]))
            .await;
        assert_eq!(offset, Ok(Offset(i.into())));
    }
    let offset = log.append(Stream::Claims, Bytes::from_static(b"x")).await;
    assert_eq!(offset, Ok(Offset(1)));
    let page = log
        .read(Stream::Control, Offset(2), 3, Millis::ZERO)
        .await
        .expect("page");
    assert_eq!((page.first, page.next), (Offset(1), Offset(6)));
    let found: Vec<_> = page
        .records
        .iter()
        .map(|r| (r.offset.0, r.data[0]))
        .collect();
    assert_eq!(found, [(2, 2), (3, 3), (4, 4)]);
    assert!(page.records.iter().all(|r| r.time.0 >= before));
}

/// Guards against a log that keeps records forever, so that gaps are never met in tests.
#[tokio::test]
async fn retention_moves_the_first_offset() {
    let (_server, log) = start(PlatformOptions {
        retention: Some(Millis(50)),
        ..PlatformOptions::default()
    })
    .await;
    log.append(Stream::Control, Bytes::from_static(b"old"))
        .await
        .expect("append");
    loop {
        let page = log
            .read(Stream::Control, Offset(1), 10, Millis(5))
            .await
            .expect("page");
        assert_eq!(page.next, Offset(2));
        if page.first == Offset(2) {
            assert_eq!(page.records, []);
            break;
        }
    }
}

/// Guards against long polls that miss an append or return before their time.
#[tokio::test]
async fn long_poll_returns_on_append() {
    let (_server, log) = start(PlatformOptions::default()).await;
    let start = Instant::now();
    let empty = log.read(Stream::Control, Offset(1), 10, Millis(100)).await;
    assert_eq!(empty.expect("page").records, []);
    assert!(start.elapsed() >= Millis(100).duration());
    let start = Instant::now();
    let (page, offset) = tokio::join!(
        log.read(Stream::Control, Offset(1), 10, Millis(50_000)),
        log.append(Stream::Control, Bytes::from_static(b"x")),
    );
    assert_eq!(offset, Ok(Offset(1)));
    assert_eq!(page.expect("page").records.len(), 1);
    assert!(start.elapsed() < Millis(50_000).duration());
}

/// Guards against a lost answer that also loses the append, or that is reported as a refusal.
#[tokio::test]
async fn lost_answer_keeps_the_append() {
    let (server, log) = start(PlatformOptions::default()).await;
    server
        .fault(Fault::LostAnswer, "/log/control", 1)
        .expect("supported");
    let lost = log.append(Stream::Control, Bytes::from_static(b"x")).await;
    assert_matches!(lost, Err(PlatformError::Unknown(_)));
    let again = log.append(Stream::Control, Bytes::from_static(b"y")).await;
    assert_eq!(again, Ok(Offset(2)));
}

/// Guards against records that no reader would accept.
#[tokio::test]
async fn oversized_records_are_refused() {
    let (_server, log) = start(PlatformOptions::default()).await;
    let large = Bytes::from(vec![0; sesamewing::kernel::RECORD_MAX + 1]);
    let refused = log.append(Stream::Control, large).await;
    assert_matches!(refused, Err(PlatformError::Refused(_)));
}

/// Guards against a stopped platform that cuts answers in progress, and against one that keeps its port.
#[tokio::test]
async fn stop_ends_long_polls_with_an_answer() {
    let (server, log) = start(PlatformOptions::default()).await;
    let addr = server.addr();
    let poll = tokio::spawn({
        let log = log.clone();
        async move {
            log.read(Stream::Control, Offset(1), 10, Millis(50_000))
                .await
        }
    });
    let client = reqwest::Client::new();
    loop {
        let stats = client.get(format!("http://{addr}/stats")).send().await;
        let stats: serde_json::Value = stats.expect("stats").json().await.expect("json");
        if stats["reads"]["control"] == 1 {
            break;
        }
    }
    server.stop().await;
    assert_matches!(poll.await.expect("task"), Ok(page) if page.records.is_empty());
    let again = PlatformOptions {
        listen: addr,
        ..PlatformOptions::default()
    };
    Platform::start(again)
        .await
        .expect("the port is free again");
}
