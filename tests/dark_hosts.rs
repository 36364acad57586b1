//! Hosts that acknowledge nothing, and hosts whose process does not read for a while, while a request is sent to them.

mod gateway_support;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use gateway_support::{addr, run_local};
use http_body_util::Full;
use hyper::Request;
use sesamewing::{
    base::Millis,
    decide::silence::{SendState, SilenceWatch, Verdict, SILENCE},
    http::connect,
};
use socket2::{SockFilter, SockRef};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    task::spawn_local,
};

/// Size of a long request, and of the receive buffer of its endpoint.
const LONG: usize = 2 << 20;
const BUFFER: u32 = 64 << 10;

/// Longest time in which a dark host must be noticed by what was sent to it: `SILENCE` (1.2 s), and two intervals of 0.2 s
/// at which undelivered bytes are looked at. A caller that waits for 2 s then has the shortest attempt (0.35 s) left.
const NOTICED: Duration = Duration::from_millis(1600);

/// The same if its receive window was closed before, so that the next probe of it has to come first.
const NOTICED_BY_PROBE: Duration = Duration::from_millis(3200);

/// Makes the host of a connection dark: its kernel drops each packet of it before it is looked at.
fn darken(stream: &TcpStream) {
    const RETURN: u16 = 6;
    let drop_all = SockFilter::new(RETURN, 0, 0, 0);
    let socket = SockRef::from(stream);
    socket.attach_filter(&[drop_all]).expect("a filter");
}

/// Sends a request of `size` bytes to an endpoint that does `serve` with its connection; returns whether a response came,
/// and when the request ended.
async fn send<F: std::future::Future<Output = ()>>(
    size: usize,
    serve: impl FnOnce(TcpStream) -> F + 'static,
) -> (bool, Instant) {
    let at: SocketAddr = addr(1, 9000);
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(BUFFER).expect("an option");
    socket.set_reuseaddr(true).expect("an option");
    socket.bind(at).expect("a free address");
    let listener = socket.listen(4).expect("it listens");
    let (ready, accepted) = tokio::sync::oneshot::channel();
    spawn_local(async move {
        let (stream, _) = listener.accept().await.expect("a connection");
        let serving = serve(stream);
        let _ = ready.send(());
        serving.await;
    });
    let mut connection = connect(at, Millis(400)).await.expect("a connection");
    accepted.await.expect("it is accepted");
    let body = Full::new(Bytes::from(vec![b'x'; size]));
    let sent = connection.send(Request::post("/").body(body).expect("a request"));
    let sent = tokio::time::timeout(Duration::from_secs(20), sent).await;
    let response = sent.expect("the request ends").is_ok();
    (response, Instant::now())
}

/// Reads at least `size` bytes, and returns how many.
async fn read(stream: &mut TcpStream, size: usize) -> usize {
    let mut part = vec![0; 64 << 10];
    let mut count = 0;
    while count < size {
        match stream.read(&mut part).await {
            Ok(n) if n > 0 => count += n,
            _ => break,
        }
    }
    count
}

async fn respond(stream: &mut TcpStream) {
    let text = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    let _ = stream.write_all(text).await;
}

/// Checks that a host is noticed in time that is dark when the request is sent.
fn dark_from_the_start(size: usize) {
    run_local(async {
        let start = Instant::now();
        let (response, end) = send(size, |stream| {
            darken(&stream);
            async move {
                let _open = stream;
                std::future::pending().await
            }
        })
        .await;
        assert!(!response);
        println!("noticed after {:?}", end - start);
        assert!(end - start < NOTICED, "after {:?}", end - start);
    });
}

/// Guards against a dark host that is not noticed when a short request is sent to it.
#[test]
fn dark_host_is_noticed_by_a_short_request() {
    dark_from_the_start(100);
}

/// Guards against a dark host that is not noticed in the middle of a long send.
#[test]
fn dark_host_is_noticed_by_a_long_request() {
    dark_from_the_start(LONG);
}

/// Runs an endpoint that reads nothing for `pause`, then `size` bytes, and whose host is dark from then on.
async fn dark_after(pause: Duration, size: usize) -> Duration {
    let (tell, told) = tokio::sync::oneshot::channel();
    let (response, end) = send(LONG, move |mut stream| async move {
        tokio::time::sleep(pause).await;
        read(&mut stream, size).await;
        darken(&stream);
        let _ = tell.send(Instant::now());
        std::future::pending().await
    })
    .await;
    assert!(!response);
    let darkened = told.await.expect("it was at work until it became dark");
    println!("noticed after {:?}", end - darkened);
    end - darkened
}

/// Guards against a host that is not noticed because it became dark while its process did not read.
#[test]
fn host_that_becomes_dark_in_a_pause_is_noticed() {
    for pause in [300, 3000].map(Duration::from_millis) {
        let time = run_local(dark_after(pause, 0));
        assert!(time < NOTICED_BY_PROBE, "after {time:?}");
    }
}

/// Guards against a host that is noticed late because its process paused before it became dark.
#[test]
fn host_that_becomes_dark_after_a_pause_is_noticed() {
    let time = run_local(dark_after(Duration::from_millis(2500), LONG / 2));
    assert!(time < NOTICED_BY_PROBE, "after {time:?}");
}

/// Guards against a connection that ends although its peer acknowledges, because a process does not read for a while.
#[test]
fn long_pauses_lose_nothing() {
    run_local(async {
        let (response, _) = send(LONG, |mut stream| async move {
            tokio::time::sleep(Duration::from_millis(5000)).await;
            let first = read(&mut stream, LONG / 2).await;
            tokio::time::sleep(Duration::from_millis(2500)).await;
            read(&mut stream, LONG - first).await;
            respond(&mut stream).await;
        })
        .await;
        assert!(response, "the connection ended");
    });
}

/// Guards against a short request that is lost because its endpoint reads nothing for a while, although its host
/// acknowledges.
#[test]
fn pause_before_a_short_request_loses_nothing() {
    run_local(async {
        let (response, _) = send(100, |mut stream| async move {
            tokio::time::sleep(Duration::from_millis(5000)).await;
            read(&mut stream, 100).await;
            respond(&mut stream).await;
        })
        .await;
        assert!(response, "the connection ended");
    });
}

/// Guards against a peer that is kept although it has acknowledged nothing of a short request, and against one that is
/// taken for dark because it was not asked anything since it acknowledged.
#[test]
fn short_request_is_judged_by_its_acknowledgement() {
    let at = Millis(10);
    let judge = |state| SilenceWatch::asked_at(at).judge(state, at + SILENCE);
    assert_eq!(judge(state(1, 0, 0, 400, 1205)), Verdict::Dark);
    assert_eq!(judge(state(1, 0, 0, 400, 1100)), Verdict::Silent);
    assert_eq!(judge(state(0, 0, 0, 1205, 1100)), Verdict::Delivered);
}

fn state(unacked: u32, unsent: u32, probes: u8, sent_ago: u64, acked_ago: u64) -> SendState {
    SendState {
        unacked,
        unsent,
        probes,
        sent_ago: Millis(sent_ago),
        acked_ago: Millis(acked_ago),
    }
}

/// Guards against a peer that is taken for dark although its kernel has acknowledged the last probe, however long ago that
/// was, and against one that is kept although it acknowledges no probe.
#[test]
fn closed_window_is_judged_by_its_probes() {
    let mut watch = SilenceWatch::default();
    for t in (0..60_000).step_by(200) {
        let verdict = watch.judge(state(0, LONG as u32, 0, t, t % 6000), Millis(t));
        assert_eq!(verdict, Verdict::Present);
    }
    let dark = (60_000..)
        .step_by(200)
        .find(|t| {
            let state = state(0, LONG as u32, 1, *t, *t - 54_000);
            watch.judge(state, Millis(*t)) == Verdict::Dark
        })
        .expect("it is dark at last");
    assert_eq!(Millis(dark - 60_000), SILENCE);
}

/// Guards against a peer that is kept although it acknowledges no segment, because they are sent again and again.
#[test]
fn segments_sent_again_do_not_count_as_answers() {
    let mut watch = SilenceWatch::default();
    let dark = (60_000..)
        .step_by(200)
        .find(|t| {
            let verdict = watch.judge(state(3, 0, 0, 0, *t - 59_990), Millis(*t));
            verdict == Verdict::Dark
        })
        .expect("it is dark at last");
    assert_eq!(Millis(dark - 60_000), SILENCE);
}

/// Guards against a dark host that is noticed an interval late because the next look was not due when its time was over.
#[test]
fn look_is_due_when_the_time_is_over() {
    let mut watch = SilenceWatch::default();
    assert_eq!(watch.due(), None);
    let verdict = watch.judge(state(3, 9, 0, 190, 500), Millis(1200));
    assert_eq!(verdict, Verdict::Silent);
    assert_eq!(watch.due(), Some(Millis(1010) + SILENCE));
    watch.judge(state(0, 9, 0, 400, 100), Millis(1400));
    assert_eq!(watch.due(), None);
}

/// Guards against a peer that is taken for dark because bytes are under way to it at each look.
#[test]
fn peer_that_acknowledges_is_kept() {
    let mut watch = SilenceWatch::default();
    for t in (1000..60_000).step_by(200) {
        // One segment of several is acknowledged between two looks; the next was sent after that.
        let verdict = watch.judge(state(3, 9, 0, 20, 30), Millis(t));
        assert_eq!(verdict, Verdict::Silent, "at {t}");
    }
    assert_eq!(
        watch.judge(state(3, 9, 0, 30, 20), Millis(60_000)),
        Verdict::Present
    );
    assert_eq!(
        watch.judge(state(0, 0, 0, 30, 20), Millis(60_000)),
        Verdict::Delivered
    );
}
