//! Endpoints that are silent for a while and then go on with their response, or are silent for good.

mod gateway_support;

use std::{rc::Rc, time::Instant};

use gateway_support::{
    addr, endpoint,
    gateway::{
        arrivals, catalog, events, refusal, request, respond, route, settings, start_with, CALLERS,
        HELD, MODEL,
    },
    header, run_local, send_request, set_catalog, MemoryStore, Seen, Step,
};
use sesamewing::{
    base::{HashMap, Millis, Percent},
    gateway::{Catalog, GatewaySettings, Repeat, Topic},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

const LAST_CHUNK: &str = "0\r\n\r\n";

/// Pause in a stream after which another endpoint may continue it, with some time to do so.
const CONTINUED: Millis = Millis(1600);

/// Pause in a stream that is longer than that.
const LONG_PAUSE: u64 = 2000;

/// Time to the head of a response that is longer than the attempt timeout of the routes.
const SLOW_HEAD: u64 = 1500;

/// Longest time from when an endpoint sends something until it reaches the caller.
const PASSED_ON: Millis = Millis(300);

/// Time until an endpoint has noticed that its connection was closed.
const CLOSED: Millis = Millis(200);

/// What keeps another endpoint from taking over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Obstacle {
    /// The route allows one attempt.
    Attempts,
    /// The retry budget is empty.
    Budget,
    /// The only other endpoint refuses requests.
    Refusing,
    /// There is no other endpoint.
    Alone,
    Nothing,
}

/// Sets a catalog whose routes allow some attempts.
fn set_attempts(attempts: u32) {
    let mut catalog = Catalog {
        routes: HashMap::default(),
        ..catalog()
    };
    for (prefix, repeat) in [
        ("/once/", Repeat::Once),
        ("/safe/", Repeat::Idempotent),
        ("/stream/", Repeat::Resume),
    ] {
        let mut route = route(prefix, repeat);
        route.attempts = attempts;
        catalog.add_route("h.example", route);
    }
    set_catalog(catalog);
}

/// Starts endpoints, each in a zone, and an entry, which chooses the endpoints of its own zone, `a`, first.
async fn start_all(
    settings: GatewaySettings,
    endpoints: Vec<(&'static str, Vec<Step>)>,
) -> Vec<Rc<Seen>> {
    let store = MemoryStore::default();
    let mut seen = Vec::new();
    for (n, (zone, script)) in (10..).zip(endpoints) {
        let at = addr(n, 9000);
        let record = format!("plain {at} {zone} {MODEL} {HELD}");
        store.write(Topic::Endpoints, &format!("e{n}"), &record);
        seen.push(endpoint(at, script).await);
    }
    store.write(Topic::Operator, "config", "1");
    start_with(settings, store).await;
    seen
}

/// Endpoints of a test, in the order in which they are chosen.
struct World {
    first: Rc<Seen>,
    other: Option<Rc<Seen>>,
}

impl World {
    async fn start(obstacle: Obstacle, first: Vec<Step>, other: Vec<Step>) -> Self {
        let attempts = if obstacle == Obstacle::Attempts { 1 } else { 2 };
        set_attempts(attempts);
        let mut settings = settings();
        if obstacle == Obstacle::Budget {
            settings.bounds.retries = Percent(0);
        }
        let mut endpoints = vec![("a", first)];
        match obstacle {
            Obstacle::Alone => {}
            Obstacle::Refusing => endpoints.push(("b", refusal())),
            _ => endpoints.push(("b", other)),
        }
        let mut seen = start_all(settings, endpoints).await.into_iter();
        Self {
            first: seen.next().expect("an endpoint"),
            other: seen.next(),
        }
    }

    /// Sends a request, which the first endpoint gets.
    async fn send(&self, text: &str) -> Received {
        let start = Instant::now();
        let mut caller = TcpStream::connect(addr(1, CALLERS))
            .await
            .expect("a connection");
        caller
            .write_all(text.as_bytes())
            .await
            .expect("the request is sent");
        let mut received = Received::default();
        let mut part = [0; 4096];
        while let Ok(n) = caller.read(&mut part).await {
            if n == 0 {
                break;
            }
            received.text += &String::from_utf8_lossy(&part[..n]);
            received
                .pieces
                .push((received.text.len(), start.elapsed().into()));
        }
        assert_eq!(self.first.requests.borrow().len(), 1);
        received
    }

    /// Returns the requests that reached the other endpoint.
    fn others(&self) -> usize {
        self.other
            .as_ref()
            .map_or(0, |other| other.requests.borrow().len())
    }

    fn other(&self) -> &Seen {
        self.other.as_ref().expect("another endpoint")
    }
}

/// What a caller received.
#[derive(Debug, Default)]
struct Received {
    text: String,
    /// Length of the text after each piece, and the time since the request at which it arrived.
    pieces: Vec<(usize, Millis)>,
}

impl Received {
    /// Returns when a text had arrived.
    fn time_of(&self, text: &str) -> Millis {
        let at = self.text.find(text).map(|at| at + text.len());
        let at = at.unwrap_or_else(|| panic!("no `{text}` in {}", self.text));
        let mut pieces = self.pieces.iter();
        pieces.find(|p| p.0 >= at).expect("the piece").1
    }

    /// Checks that a stream has these events once each, in order, and its end.
    fn assert_whole(&self, count: u64) {
        for id in 1..=count {
            let found = self.text.matches(&format!("id: {id}\n")).count();
            assert_eq!(found, 1, "event {id} in {}", self.text);
        }
        assert!(self.text.ends_with(LAST_CHUNK), "{}", self.text);
    }
}

fn event(id: u64) -> Step {
    let event = format!("id: {id}\ndata: x\n\n");
    Step::Send(format!("{:x}\r\n{event}\r\n", event.len()))
}

/// Returns a script that sends an event, pauses and sends the rest of the stream.
fn paused_stream(pause: u64) -> Vec<Step> {
    let mut script = events(1..=1, "");
    let rest = [
        Step::Pause(pause),
        event(2),
        event(3),
        Step::Send(LAST_CHUNK.to_owned()),
    ];
    script.extend(rest);
    script
}

/// Returns a script that sends the head of a stream, and `tail`.
fn without_events(tail: &str) -> Vec<Step> {
    let mut script = events(1..=1, tail);
    script.remove(1);
    script
}

/// Returns a script that begins to respond late.
fn slow_head(wait: u64, body: &str) -> Vec<Step> {
    let mut script = vec![Step::Pause(wait)];
    script.extend(respond("200 OK", body));
    script
}

fn in_time(got: Millis, sent: u64) -> bool {
    got >= Millis(sent) && got < Millis(sent) + PASSED_ON
}

/// Checks that a stream whose endpoint pauses reaches its caller.
fn paused_stream_arrives(obstacle: Obstacle) {
    run_local(async {
        let other = events(2..=3, LAST_CHUNK);
        let world = World::start(obstacle, paused_stream(LONG_PAUSE), other).await;
        let got = world.send(&request("/stream/x")).await;
        got.assert_whole(3);
        let at = got.time_of("id: 2\n");
        assert!(in_time(at, LONG_PAUSE), "{obstacle:?}: {at}");
        let others = usize::from(obstacle == Obstacle::Refusing);
        assert_eq!(world.others(), others, "{obstacle:?}");
    });
}

/// Guards against a stream that is cut because its endpoint pauses and the route allows no other attempt.
#[test]
fn paused_stream_without_attempts_goes_on() {
    paused_stream_arrives(Obstacle::Attempts);
}

/// Guards against a stream that is cut because its endpoint pauses and the retry budget is empty.
#[test]
fn paused_stream_without_budget_goes_on() {
    paused_stream_arrives(Obstacle::Budget);
}

/// Guards against a stream that is cut because its endpoint pauses and the only other one refuses to continue it.
#[test]
fn paused_stream_without_room_goes_on() {
    paused_stream_arrives(Obstacle::Refusing);
}

/// Guards against a stream that is cut because its endpoint pauses and there is no other one.
#[test]
fn paused_stream_of_a_lone_endpoint_goes_on() {
    paused_stream_arrives(Obstacle::Alone);
}

/// Guards against a stream that waits for a silent endpoint although another one can continue it.
#[test]
fn silent_stream_is_continued_elsewhere() {
    run_local(async {
        let mut silent = events(1..=1, "");
        silent.push(Step::AwaitClose);
        let other = events(2..=3, LAST_CHUNK);
        let world = World::start(Obstacle::Nothing, silent, other).await;
        let got = world.send(&request("/stream/x")).await;
        got.assert_whole(3);
        let at = got.time_of("id: 2\n");
        assert!(at < CONTINUED, "{at}");
        let resumed = world.other().requests.borrow()[0].clone();
        assert_eq!(header(&resumed, "last-event-id").as_deref(), Some("1"));
        tokio::time::sleep(CLOSED.duration()).await;
        assert_eq!(world.first.closed.get(), 1, "the silent endpoint is left");
    });
}

/// Guards against a stream that was taken from an endpoint, which goes on, before the next one has an event.
#[test]
fn stream_goes_on_where_the_next_event_is() {
    run_local(async {
        let mut other = without_events("");
        other.push(Step::AwaitClose);
        let world = World::start(Obstacle::Nothing, paused_stream(LONG_PAUSE), other).await;
        let got = world.send(&request("/stream/x")).await;
        got.assert_whole(3);
        let at = got.time_of("id: 2\n");
        assert!(in_time(at, LONG_PAUSE), "{at}");
        assert_eq!(world.others(), 1);
        tokio::time::sleep(CLOSED.duration()).await;
        assert_eq!(world.other().closed.get(), 1, "the other endpoint is left");
    });
}

/// Guards against events that come twice, or not at all, because an endpoint goes on just when another one begins to
/// continue its stream.
#[test]
fn events_at_the_switch_come_once() {
    for pause in [1190, 1198, 1200, 1202, 1210] {
        run_local(async {
            // The other endpoint begins with the first event, which the caller has.
            let other = events(1..=3, LAST_CHUNK);
            let world = World::start(Obstacle::Nothing, paused_stream(pause), other).await;
            let got = world.send(&request("/stream/x")).await;
            got.assert_whole(3);
        });
    }
}

/// Guards against a stream that is cut because the endpoint that was to continue it broke off.
#[test]
fn stream_outlives_its_replacement() {
    run_local(async {
        let other = without_events("9\r\nid: 2\ndat\r\n");
        let world = World::start(Obstacle::Nothing, paused_stream(LONG_PAUSE), other).await;
        let got = world.send(&request("/stream/x")).await;
        got.assert_whole(3);
        assert_eq!(world.others(), 1);
    });
}

/// Guards against a stream that looks complete, or does not end, although its endpoint is silent until the deadline.
#[test]
fn silent_stream_ends_at_the_deadline() {
    run_local(async {
        let mut silent = events(1..=1, "");
        silent.push(Step::AwaitClose);
        let world = World::start(Obstacle::Alone, silent, Vec::new()).await;
        let start = Instant::now();
        let got = world.send(&request("/stream/x")).await;
        let took: Millis = start.elapsed().into();
        assert!(in_time(took, 2500), "{took}");
        assert!(got.text.contains("id: 1\n"), "{}", got.text);
        assert!(!got.text.ends_with(LAST_CHUNK), "{}", got.text);
    });
}

/// Guards against retries that are taken from the budget while no endpoint gets the request.
#[test]
fn paused_streams_take_no_retries() {
    run_local(async {
        let world = World::start(Obstacle::Alone, paused_stream(LONG_PAUSE), Vec::new()).await;
        world.send(&request("/stream/x")).await;
        let metrics = "GET /metrics HTTP/1.0\r\n\r\n";
        let metrics = send_request(addr(1, 8005), metrics, 500).await;
        assert!(metrics.contains("retries_total 0\n"), "{metrics}");
    });
}

/// Checks that a response whose head takes long reaches its caller.
fn slow_head_arrives(obstacle: Obstacle) {
    run_local(async {
        let first = slow_head(SLOW_HEAD, "yes");
        let world = World::start(obstacle, first, respond("200 OK", "other")).await;
        let got = world.send(&request("/safe/x")).await;
        let text = &got.text;
        assert!(text.starts_with("HTTP/1.1 200"), "{obstacle:?}: {text}");
        assert!(text.ends_with("yes"), "{obstacle:?}: {text}");
        let at = got.time_of("yes");
        assert!(in_time(at, SLOW_HEAD), "{obstacle:?}: {at}");
    });
}

/// Guards against a response that is given up because its head is late and the route allows no other attempt.
#[test]
fn slow_head_without_attempts_is_awaited() {
    slow_head_arrives(Obstacle::Attempts);
}

/// Guards against a response that is given up because its head is late and the retry budget is empty.
#[test]
fn slow_head_without_budget_is_awaited() {
    slow_head_arrives(Obstacle::Budget);
}

/// Guards against a response that is given up because its head is late and the only other endpoint refuses requests.
#[test]
fn slow_head_without_room_is_awaited() {
    slow_head_arrives(Obstacle::Refusing);
}

/// Guards against a response that is given up because its head is late and there is no other endpoint.
#[test]
fn slow_head_of_a_lone_endpoint_is_awaited() {
    slow_head_arrives(Obstacle::Alone);
}

/// Guards against a request that waits for a silent endpoint although another one can answer it.
#[test]
fn silent_endpoint_is_replaced() {
    run_local(async {
        let other = respond("200 OK", "other");
        let world = World::start(Obstacle::Nothing, vec![Step::AwaitClose], other).await;
        let got = world.send(&request("/safe/x")).await;
        assert!(got.text.ends_with("other"), "{}", got.text);
        let at = got.time_of("other");
        assert!(at < Millis(600), "{at}");
        tokio::time::sleep(CLOSED.duration()).await;
        assert_eq!(world.first.closed.get(), 1, "the silent endpoint is left");
    });
}

/// Guards against a response that is lost because the endpoint that was to replace a slow one failed.
#[test]
fn slow_head_outlives_its_replacement() {
    for other in [Vec::new(), respond("500 No", "no")] {
        run_local(async {
            let first = slow_head(SLOW_HEAD, "yes");
            let world = World::start(Obstacle::Nothing, first, other).await;
            let got = world.send(&request("/safe/x")).await;
            assert!(got.text.ends_with("yes"), "{}", got.text);
            assert_eq!(world.others(), 1);
        });
    }
}

/// Guards against "not run" for a request that a silent endpoint may have run while another one refused it.
#[test]
fn refusal_elsewhere_does_not_mean_not_run() {
    run_local(async {
        let world = World::start(Obstacle::Refusing, vec![Step::AwaitClose], Vec::new()).await;
        let got = world.send(&request("/safe/x")).await;
        assert!(got.text.starts_with("HTTP/1.1 504"), "{}", got.text);
        assert_eq!(world.others(), 1);
    });
    run_local(async {
        let reset = vec![Step::Pause(SLOW_HEAD), Step::Reset];
        let world = World::start(Obstacle::Refusing, reset, Vec::new()).await;
        let got = world.send(&request("/safe/x")).await;
        assert!(got.text.starts_with("HTTP/1.1 502"), "{}", got.text);
        assert_eq!(world.others(), 1);
    });
}

/// Guards against a request that may run once and is sent to a second endpoint because the first one is slow.
#[test]
fn slow_non_idempotent_requests_are_sent_once() {
    run_local(async {
        let first = slow_head(SLOW_HEAD, "yes");
        let world = World::start(Obstacle::Nothing, first, respond("200 OK", "other")).await;
        let got = world.send(&request("/once/x")).await;
        assert!(got.text.ends_with("yes"), "{}", got.text);
        assert_eq!(world.others(), 0);
    });
}

/// Guards against a request that is left with silent endpoints although the route allows a third one.
#[test]
fn silent_replacement_is_replaced() {
    run_local(async {
        set_attempts(3);
        let silent = ("a", vec![Step::AwaitClose]);
        let last = ("b", respond("200 OK", "last"));
        let seen = start_all(settings(), vec![silent.clone(), silent, last]).await;
        let res = send_request(addr(1, CALLERS), &request("/safe/x"), 1500).await;
        assert!(res.ends_with("last"), "{res}");
        assert_eq!(arrivals(&seen), 3);
        tokio::time::sleep(CLOSED.duration()).await;
        assert_eq!((seen[0].closed.get(), seen[1].closed.get()), (1, 1));
    });
}

/// Guards against a stream that is left with silent endpoints although the route allows a third one.
#[test]
fn silent_stream_is_continued_twice() {
    run_local(async {
        set_attempts(3);
        let mut silent = events(1..=1, "");
        silent.push(Step::AwaitClose);
        let silent = ("a", silent);
        let last = ("b", events(2..=3, LAST_CHUNK));
        let seen = start_all(settings(), vec![silent.clone(), silent, last]).await;
        let text = request("/stream/x").replace("2500", "3000");
        let res = send_request(addr(1, CALLERS), &text, 3500).await;
        for id in 1..=3 {
            assert_eq!(res.matches(&format!("id: {id}\n")).count(), 1, "{res}");
        }
        assert!(res.ends_with(LAST_CHUNK), "{res}");
        assert_eq!(arrivals(&seen), 3);
    });
}
