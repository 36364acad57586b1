//! Which callers count as returning after a rejection, and what that changes, over real sockets.

mod gateway_support;

use std::{cell::Cell, rc::Rc, time::Instant};

use gateway_support::{
    addr, endpoint_with,
    gateway::{
        catalog, events, respond, start_entry, with_endpoints, with_store, CALLERS, HELD, MODEL,
    },
    header, run_local, send_request, set_catalog, MemoryStore, Seen, Step,
};
use sesamewing::{
    base::Millis,
    gateway::{Catalog, EngineSpeed, Route, ServiceSpec, Topic},
};
use tokio::task::{spawn_local, JoinHandle};

/// Slots of each endpoint.
const SLOTS: usize = 4;

/// Time for which a caller waits that is at its first attempt; the timeout of the routes is longer.
const PATIENCE: Millis = Millis(2800);

/// Time in which the endpoint responds to most requests, and to those whose prompt is `brief`.
const WORK: Millis = Millis(1500);
const BRIEF_WORK: Millis = Millis(300);

/// Time in which entries tell each other of rejections.
const NEWS: Millis = Millis(400);

/// Returns the usual catalog, with engines behind its routes.
fn with_engines() -> Catalog {
    let mut catalog = catalog();
    let engine = EngineSpeed {
        slots: SLOTS as u32,
        step_ms: 5.0,
        sequence_ms: 0.5,
        prompt_rate: 30.0,
    };
    let service = "plain".parse().expect("a valid name");
    let spec = catalog.services.get(&service).expect("the service").clone();
    let engine = Some(engine);
    catalog
        .services
        .insert(service, ServiceSpec { engine, ..spec });
    catalog
}

fn work(request: &str) -> Vec<Step> {
    let brief = request.contains("brief");
    let time = if brief { BRIEF_WORK } else { WORK };
    let mut script = vec![Step::Pause(time.0)];
    script.extend(respond("200 OK", "yes"));
    script
}

/// Returns a request with its own prompt, whose caller waits for `left`.
fn request(prompt: &str, left: Millis) -> String {
    format!(
        "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {:x}\r\nX-Deadline-Ms: {}\r\n\
         X-Workspace-Key: key\r\nX-Model: {MODEL}\r\nX-Prompt-Parts: {prompt}:10\r\n\
         Content-Length: 2\r\nConnection: close\r\n\r\nhi",
        fastrand::u64(..),
        left.0,
    )
}

async fn send(entry: u8, prompt: &str, left: Millis) -> String {
    send_request(addr(entry, CALLERS), &request(prompt, left), PATIENCE.0).await
}

/// Sends requests of callers at their first attempt, and waits until the endpoint has them.
async fn occupy(prompts: &[&str]) -> Vec<JoinHandle<()>> {
    occupy_by("/safe/", prompts).await
}

/// Like [`occupy`], on another route.
async fn occupy_by(route: &str, prompts: &[&str]) -> Vec<JoinHandle<()>> {
    let mut tasks = Vec::new();
    for prompt in prompts {
        let text = request(prompt, PATIENCE).replace("/safe/", route);
        tasks.push(spawn_local(async move {
            let res = send_request(addr(1, CALLERS), &text, PATIENCE.0).await;
            assert!(res.starts_with("HTTP/1.1 200"), "{res}");
        }));
    }
    tokio::time::sleep(Millis(100).duration()).await;
    tasks
}

async fn join(tasks: Vec<JoinHandle<()>>) {
    for task in tasks {
        task.await.expect("its assertions hold");
    }
}

/// Returns the urgency with which the request with a prompt reached an endpoint last.
fn urgency(seen: &[Rc<Seen>], prompt: &str) -> Option<u8> {
    let mut requests = seen.iter().flat_map(|s| s.requests.borrow().clone());
    let sent = requests.rfind(|r| r.contains(prompt))?;
    header(&sent, "x-priority")?.parse().ok()
}

/// Guards against callers that get a slot before others because their deadline is shorter than the timeout of the route:
/// a configuration that changes the timeout would change the order of all its callers.
#[test]
fn short_deadline_is_no_return() {
    with_endpoints(with_engines(), 1, work, |seen| async move {
        let busy = occupy(&["1", "2", "3", "4"]).await;
        let long = send(1, "a1", Millis(3000)).await;
        assert!(long.starts_with("HTTP/1.1 503"), "{long}");
        let short = send(1, "a2", Millis(2000)).await;
        assert!(short.starts_with("HTTP/1.1 503"), "{short}");
        assert_eq!(seen[0].requests.borrow().len(), SLOTS);
        join(busy).await;
    });
}

/// Guards against returning callers that take the last free slot, so that under overload first attempts find none.
#[test]
fn last_slots_are_for_first_attempts() {
    with_endpoints(with_engines(), 1, work, |_| async move {
        let busy = occupy(&["brief", "2", "3", "4"]).await;
        let rejected = send(1, "a1", Millis(2600)).await;
        assert!(rejected.starts_with("HTTP/1.1 503"), "{rejected}");
        tokio::time::sleep(BRIEF_WORK.duration()).await;
        let back = send(1, "a1", Millis(2600) - BRIEF_WORK).await;
        assert!(back.starts_with("HTTP/1.1 503"), "{back}");
        let first = send(1, "a2", PATIENCE).await;
        assert!(first.starts_with("HTTP/1.1 200"), "{first}");
        join(busy).await;
    });
}

/// Starts two endpoints of which the second keeps three of its slots in use for longer than callers wait. A stream ends
/// without its last event at the first one, and goes on at the second one.
async fn start_breaking(store: &MemoryStore) {
    let first = |request: &str| {
        if request.contains("/stream/") {
            return events(1..=1, "");
        }
        work("brief")
    };
    let occupied = Cell::new(false);
    let second = move |request: &str| {
        if request.contains("/stream/") {
            return events(2..=2, "0\r\n\r\n");
        }
        if !occupied.replace(true) {
            return work("brief");
        }
        let mut script = vec![Step::Pause(PATIENCE.0 - 300)];
        script.extend(respond("200 OK", "yes"));
        script
    };
    endpoint_with(addr(10, 9000), Rc::new(first)).await;
    endpoint_with(addr(11, 9000), Rc::new(second)).await;
    for n in [10, 11] {
        let value = format!("plain {} a {MODEL} {HELD}", addr(n, 9000));
        store.write(Topic::Endpoints, &format!("e{n}"), &value);
    }
    set_catalog(with_engines());
    store.write(Topic::Operator, "config", "1");
}

/// Guards against the loss of a stream that began for a returning caller and breaks while only the slots that are kept
/// for first attempts are free.
#[test]
fn begun_stream_of_a_return_goes_on() {
    run_local(async {
        let store = MemoryStore::default();
        start_breaking(&store).await;
        start_entry(1, store).await;
        // Requests that may run once only get no second attempt at the other endpoint.
        let busy = occupy_by("/once/", &["1", "2", "3", "4", "5", "6", "7", "8"]).await;
        let left = Millis(2000);
        let stream = async |left| {
            let text = request("a1", left).replace("/safe/", "/stream/");
            send_request(addr(1, CALLERS), &text, left.0 + 200).await
        };
        let rejected = stream(left).await;
        assert!(rejected.starts_with("HTTP/1.1 503"), "{rejected}");
        tokio::time::sleep(BRIEF_WORK.duration()).await;
        let back = stream(left - BRIEF_WORK).await;
        assert!(back.contains("id: 1\n"), "{back}");
        assert!(back.contains("id: 2\n"), "{back}");
        join(busy).await;
    });
}

/// Guards against a stream that began and that its caller can't resume, because it gets none of the slots that are kept
/// for first attempts.
#[test]
fn resumed_streams_get_the_last_slots() {
    let script = |request: &str| {
        if request.contains("/stream/") {
            return events(2..=2, "0\r\n\r\n");
        }
        work(request)
    };
    with_endpoints(with_engines(), 1, script, |_| async move {
        let busy = occupy(&["brief", "2", "3", "4"]).await;
        let resume = async |left: Millis| {
            let text = request("a1", left).replace("/safe/", "/stream/");
            let text = text.replace("X-Model", "Last-Event-Id: 1\r\nX-Model");
            send_request(addr(1, CALLERS), &text, PATIENCE.0).await
        };
        let rejected = resume(Millis(2600)).await;
        assert!(rejected.starts_with("HTTP/1.1 503"), "{rejected}");
        tokio::time::sleep(BRIEF_WORK.duration()).await;
        let back = resume(Millis(2600) - BRIEF_WORK).await;
        assert!(back.contains("id: 2\n"), "{back}");
        join(busy).await;
    });
}

/// Load pattern: callers return after a rejection, at any entry. Guards against returning callers that delay first
/// attempts at the endpoint, and against others that count as returning because they ask the same.
#[test]
fn returns_are_less_urgent() {
    with_endpoints(with_engines(), 1, work, |seen| async move {
        let busy = occupy(&["brief", "2", "3", "4"]).await;
        let rejected = send(1, "brief-a1", Millis(2600)).await;
        assert!(rejected.starts_with("HTTP/1.1 503"), "{rejected}");
        join(busy).await;
        let left = Millis(2600) - WORK;
        send(1, "brief-a1", left).await;
        let back = urgency(&seen, "brief-a1");
        send(1, "brief-a1", PATIENCE).await;
        let same = urgency(&seen, "brief-a1");
        send(1, "brief-a2", left).await;
        let first = urgency(&seen, "brief-a2");
        assert!(back > first, "{back:?}, {first:?}");
        assert_eq!(same, first);
    });
}

/// Guards against callers that count as being at their first attempt because they return to another entry than the one
/// that rejected them.
#[test]
fn entries_tell_each_other_of_rejections() {
    let scripts = vec![work("")];
    let store = MemoryStore::default();
    with_store(store, with_engines(), scripts, |seen, store| async move {
        start_entry(2, store).await;
        tokio::time::sleep(NEWS.duration()).await;
        let busy = occupy(&["1", "2", "3", "4"]).await;
        let rejected = send(1, "a1", Millis(2600)).await;
        assert!(rejected.starts_with("HTTP/1.1 503"), "{rejected}");
        join(busy).await;
        send(2, "a1", Millis(2600) - WORK).await;
        let back = urgency(&seen, "a1");
        send(2, "a2", Millis(2600) - WORK).await;
        let first = urgency(&seen, "a2");
        assert!(back > first, "{back:?}, {first:?}");
    });
}

/// Guards against callers that are put behind others because they came while no endpoint could run their request.
#[test]
fn callers_without_endpoint_are_not_put_last() {
    run_local(async {
        let store = MemoryStore::default();
        set_catalog(with_engines());
        store.write(Topic::Operator, "config", "1");
        let seen = endpoint_with(addr(10, 9000), Rc::new(work)).await;
        start_entry(1, store.clone()).await;
        let start = Instant::now();
        let rejected = send(1, "brief-a1", Millis(2600)).await;
        assert!(rejected.starts_with("HTTP/1.1 503"), "{rejected}");
        let value = format!("plain {} a {MODEL} {HELD}", addr(10, 9000));
        store.write(Topic::Endpoints, "e10", &value);
        while !send(1, "brief-a2", PATIENCE).await.contains(" 200 ") {
            tokio::time::sleep(Millis(20).duration()).await;
        }
        send(1, "brief-a1", Millis(2600) - start.elapsed().into()).await;
        let seen = [seen];
        let (back, first) = (urgency(&seen, "brief-a1"), urgency(&seen, "brief-a2"));
        assert!(first.is_some());
        assert_eq!(back, first);
    });
}

/// Load pattern: more callers than the slots can begin, at once. Guards against callers that are told to return into the
/// same overload, and against a time at which a caller returns that was told that it is too late.
#[test]
fn callers_beyond_the_capacity_are_told_so() {
    const CALLERS: usize = 30;
    with_endpoints(with_engines(), 1, work, |seen| async move {
        let busy = occupy(&["1", "2", "3", "4"]).await;
        let left = Millis(2600);
        let mut waits = Vec::new();
        for i in 0..CALLERS {
            let rejected = send(1, &format!("a{i}"), left).await;
            assert!(rejected.starts_with("HTTP/1.1 503"), "{rejected}");
            let wait = header(&rejected, "retry-after").expect("a time");
            waits.push(wait.parse::<f64>().expect("seconds") * 1000.0);
        }
        let left = left.0 as f64;
        let told = waits.iter().filter(|w| **w <= left / 3.0).count();
        assert!((1..=4).contains(&told), "{waits:?}");
        let too_late = waits.iter().filter(|w| **w > left * 0.9).count();
        assert_eq!(told + too_late, CALLERS, "{waits:?}");
        assert_eq!(seen[0].requests.borrow().len(), SLOTS, "not run");
        join(busy).await;
    });
}

/// Returns the urgency at the endpoint of a caller that returns long after its latency objective, and that of one at its
/// first attempt, while slots are scarce.
fn play_late(catalog: Catalog, check: fn(Option<u8>, Option<u8>)) {
    with_endpoints(catalog, 1, work, move |seen| async move {
        let busy = occupy(&["1", "2", "3", "4"]).await;
        let rejected = send(1, "brief-a1", Millis(2600)).await;
        assert!(rejected.starts_with("HTTP/1.1 503"), "{rejected}");
        join(busy).await;
        let left = Millis(2600) - WORK;
        send(1, "brief-a1", left).await;
        send(1, "brief-a2", PATIENCE).await;
        check(urgency(&seen, "brief-a1"), urgency(&seen, "brief-a2"));
    });
}

/// Load pattern: callers of several priorities, of whom some return after a rejection. Guards against requests that miss
/// their latency objective anyway and wait at the engine before those that can meet it.
#[test]
fn late_returns_are_the_last() {
    let mut catalog = with_engines();
    let mut other = Route::clone(&catalog.routes["h.example"][0]);
    other.prefix = "/other/".into();
    other.priority += 1;
    catalog.add_route("h.example", other);
    play_late(catalog, |late, first| {
        assert_eq!(late, Some(9));
        assert!(first.is_some_and(|u| u < 6), "{first:?}");
    });
}

/// Guards against another order where all requests have the same priority and latency objective.
#[test]
fn late_returns_among_equals_are_as_before() {
    play_late(with_engines(), |late, first| {
        let next = first.map(|u| u + 1);
        assert_eq!(late, next);
    });
}
