//! What the HTTP adapters know of a request that brought no answer.

#[path = "common/agent/mod.rs"]
mod common;

use std::sync::{
    atomic::{AtomicUsize, Ordering},
    Arc,
};

use assert_matches::assert_matches;
use common::{daemon, http, within};
use sesamewing::{
    base::{Digest, Millis},
    endpoint::{Endpoint, EndpointError, Engine, LoadOrder, Part, Plain, Run},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

const LIMIT: Millis = Millis(30_000);

/// Guards against "may have run" for a connection that was never opened.
#[tokio::test]
async fn closed_port_is_unsent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("a bound address");
    drop(listener);
    let base = format!("http://{addr}");
    let plain = Plain::new(&base).expect("an adapter");
    let engine = Engine::new(&base).expect("an adapter");
    let req = daemon::request(None, 1);
    assert_matches!(
        plain.run(&req, LIMIT).await.err(),
        Some(EndpointError::NotSent(_))
    );
    let error = engine.run(&req, LIMIT).await.err();
    assert_matches!(error, Some(e) if e.is_unsent());
}

/// Guards against "not run" for a request that was sent: the answer is cut, silent, or a server error of an engine.
#[tokio::test]
async fn sent_request_is_never_unsent() {
    let addr = http::serve(|req, mut out| async move {
        match req.path.as_str() {
            "/silent" => std::future::pending().await,
            "/cut-body" => http::head(&mut out, 200, &[("Content-Length", "9")]).await,
            "/v1/completions" => http::respond(&mut out, 500, b"").await,
            _ => {}
        }
    })
    .await;
    let base = format!("http://{addr}");
    let plain = Plain::new(&base).expect("an adapter");
    let mut req = daemon::request(None, 1);
    req.path = "/cut".to_owned();
    assert_matches!(
        plain.run(&req, LIMIT).await.err(),
        Some(EndpointError::Lost(_))
    );
    req.path = "/silent".to_owned();
    let error = plain.run(&req, Millis(100)).await.err();
    assert_eq!(error, Some(EndpointError::Silent(Millis(100))));
    req.path = "/cut-body".to_owned();
    let mut run = plain.run(&req, LIMIT).await.expect("a head");
    assert_matches!(run.next(LIMIT).await, Err(EndpointError::Lost(_)));
    let engine = Engine::new(&base).expect("an adapter");
    let error = engine.run(&req, LIMIT).await.err();
    assert_matches!(error, Some(e) if !e.is_unsent());
}

/// Returns what an endpoint sends before it closes the connection, in the middle of each part of a response.
fn early_ends() -> Vec<String> {
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n";
    let length = format!("{head}Content-Length: 9\r\n");
    let chunked = format!("{head}Transfer-Encoding: chunked\r\n");
    let identity = format!("{length}Transfer-Encoding: identity\r\n");
    vec![
        "HTTP/1.1 20".to_owned(),
        "HTTP/1.1 200 OK\r\n".to_owned(),
        "HTTP/1.1 503 No\r\nContent-Length: 0\r\n".to_owned(),
        "HTTP/1.1 100 Continue\r\n\r\n".to_owned(),
        format!("{head}Content-Le"),
        head.to_owned(),
        format!("{length}\r\n"),
        format!("{length}\r\nhalf"),
        format!("{chunked}\r\n"),
        format!("{chunked}\r\n4"),
        format!("{chunked}\r\n4\r\nha"),
        format!("{chunked}\r\n4\r\nhalf\r\n"),
        format!("{chunked}\r\n4\r\nhalf\r\n0\r\n"),
        format!("{identity}\r\n"),
        format!("{identity}\r\nhalf"),
    ]
}

/// Reads a response to its end.
async fn read_whole(run: Result<impl Run, EndpointError>) -> Result<(), EndpointError> {
    let mut run = run?;
    while !matches!(run.next(LIMIT).await?, Part::End { .. }) {}
    Ok(())
}

/// Guards against a response that ends early and is taken for whole, or for "not run".
#[tokio::test]
async fn early_ends_are_lost() {
    for sent in early_ends() {
        let text = sent.clone();
        let addr = http::serve(move |_, mut out| {
            let text = text.clone();
            async move {
                let written = out.write_all(text.as_bytes()).await;
                written.expect("the client reads the response");
            }
        })
        .await;
        let base = format!("http://{addr}");
        let plain = Plain::new(&base).expect("an adapter");
        let engine = Engine::new(&base).expect("an adapter");
        let req = daemon::request(None, 1);
        let ends = [
            read_whole(within("an end", plain.run(&req, LIMIT)).await).await,
            read_whole(within("an end", engine.run(&req, LIMIT)).await).await,
            read_whole(within("an end", engine.resume(&req, 1, LIMIT)).await).await,
        ];
        for end in ends {
            assert_matches!(end, Err(EndpointError::Lost(_)), "{sent:?}");
        }
        assert_matches!(
            engine.status().await,
            Err(EndpointError::Lost(_)),
            "{sent:?}"
        );
    }
}

/// Guards against a second send of a request that a kept connection swallowed.
#[tokio::test]
async fn request_on_a_kept_connection_is_sent_once() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("a bound address");
    let seen = Arc::new(AtomicUsize::new(0));
    let counter = seen.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            // Answers the first request of each connection and closes it upon the second one.
            for answer in [true, false] {
                let mut head = Vec::new();
                while !head.ends_with(b"\r\n\r\n") {
                    match stream.read_u8().await {
                        Ok(b) => head.push(b),
                        Err(_) => return,
                    }
                }
                counter.fetch_add(1, Ordering::SeqCst);
                if answer {
                    let text = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
                    stream.write_all(text.as_bytes()).await.expect("a client");
                }
            }
        }
    });
    let plain = Plain::new(&format!("http://{addr}")).expect("an adapter");
    let mut req = daemon::request(None, 1);
    req.method = "DELETE".to_owned();
    req.body = Default::default();
    let mut run = within("an answer", plain.run(&req, LIMIT))
        .await
        .expect("a head");
    while !matches!(run.next(LIMIT).await.expect("a part"), Part::End { .. }) {}
    drop(run);
    let error = within("an end", plain.run(&req, LIMIT)).await.err();
    assert_matches!(error, Some(e) if !e.is_unsent());
    assert_eq!(seen.load(Ordering::SeqCst), 2);
}

/// Starts a server that responds to the first request of its first connection with `first`, to further ones on any
/// connection with an earlier response, and to the first one of each other connection with `other`.
async fn repeating(first: &'static str, earlier: &'static str, other: &'static str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("a bound address");
    tokio::spawn(async move {
        for begin in std::iter::once(first).chain(std::iter::repeat(other)) {
            let Ok((mut stream, _)) = listener.accept().await else {
                return;
            };
            tokio::spawn(async move {
                let mut data = vec![0; 4096];
                let mut text = begin;
                while let Ok(1..) = stream.read(&mut data).await {
                    if stream.write_all(text.as_bytes()).await.is_err() {
                        return;
                    }
                    text = earlier;
                }
            });
        }
    });
    format!("http://{addr}")
}

/// Guards against "not run" for a request that an engine runs: on a kept connection, an earlier refusal arrives once
/// more in the place of its answer.
#[tokio::test]
async fn earlier_refusals_refuse_no_request() {
    let refusal = "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n";
    let failed = "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n";
    let base = repeating(refusal, refusal, failed).await;
    let engine = Engine::new(&base).expect("an adapter");
    let req = daemon::request(None, 1);
    let error = within("a refusal", engine.run(&req, LIMIT)).await.err();
    assert_eq!(error, Some(EndpointError::Refused(503)));
    let error = within("an error", engine.run(&req, LIMIT)).await.err();
    assert_matches!(error, Some(e) if !e.is_unsent());
    let missing = "HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n";
    let base = repeating(missing, missing, failed).await;
    let engine = Engine::new(&base).expect("an adapter");
    let error = within("an answer", engine.resume(&req, 1, LIMIT))
        .await
        .err();
    assert_eq!(error, Some(EndpointError::Missing));
    let error = within("an error", engine.resume(&req, 1, LIMIT))
        .await
        .err();
    assert_matches!(error, Some(e) if !e.is_unsent());
}

/// Guards against an order that seems done, because an earlier response arrives once more in its place.
#[tokio::test]
async fn earlier_responses_accept_no_order() {
    let done = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    let stale = "HTTP/1.1 409 No\r\nContent-Length: 0\r\n\r\n";
    let base = repeating(done, done, stale).await;
    let engine = Engine::new(&base).expect("an adapter");
    assert_matches!(engine.status().await, Err(EndpointError::Malformed(_)));
    let order = LoadOrder {
        version: "v1".parse().expect("a name"),
        whole: Digest::of(b""),
        fence: Default::default(),
        chunks: Vec::new(),
    };
    let answer = within("an answer", engine.load(order)).await;
    assert_eq!(answer, Err(EndpointError::Stale));
}
