//! Who is shed when callers hold all memory or connections of a process.

use sesamewing::{
    base::Millis,
    decide::shed::{Budget, Capacity, Full, HolderId, NoMemory, Order, Phase, Sizes, CONNECTION},
};

const KB: usize = 1 << 10;
const CAPACITY: Capacity = Capacity {
    bytes: 4096 * KB,
    responses: 512 * KB,
    connections: 8,
    closing: 2,
};

const NOW: Millis = Millis(100_000);

fn budget() -> Budget {
    Budget::new(CAPACITY)
}

fn admit(budget: &mut Budget, now: Millis) -> HolderId {
    budget.admit(now).expect("a connection")
}

/// Adds a connection on which a request arrives whose body holds `size` bytes since `now`.
fn arriving(budget: &mut Budget, size: usize, now: Millis) -> HolderId {
    let id = admit(budget, now);
    resize(budget, id, size, now);
    id
}

fn resize(budget: &mut Budget, id: HolderId, body: usize, now: Millis) {
    let sizes = Sizes {
        body,
        ..Sizes::default()
    };
    budget.resize(id, sizes, now);
}

fn shed(budget: &mut Budget) -> Vec<HolderId> {
    let orders = budget.take_orders();
    let shed = orders.iter().filter(|(_, o)| *o == Order::Shed);
    shed.map(|(id, _)| *id).collect()
}

/// Guards against a crowd of stalled bodies that keeps its memory while those that make progress are rejected.
#[test]
fn longest_stalled_goes_first() {
    let mut budget = budget();
    let old = arriving(&mut budget, 500 * KB, NOW);
    let larger = arriving(&mut budget, 1000 * KB, NOW + Millis(3000));
    let now = NOW + Millis(6000);
    let fresh = arriving(&mut budget, 1200 * KB, now);
    assert_eq!(shed(&mut budget), []);
    resize(&mut budget, fresh, 1600 * KB, now);
    assert_eq!(shed(&mut budget), [old]);
    resize(&mut budget, fresh, 2500 * KB, now);
    assert_eq!(shed(&mut budget), [larger]);
}

/// Guards against small requests that are rejected in favour of large ones while none is stalled.
#[test]
fn largest_goes_first_without_a_stall() {
    let mut budget = budget();
    let small = arriving(&mut budget, 500 * KB, NOW);
    let large = arriving(&mut budget, 2000 * KB, NOW);
    resize(&mut budget, small, 1100 * KB, NOW);
    assert_eq!(shed(&mut budget), [large]);
    // One that holds most by itself is rejected itself.
    resize(&mut budget, small, 4000 * KB, NOW);
    assert_eq!(shed(&mut budget), [small]);
}

/// Guards against a caller that looks alive because it sends single bytes.
#[test]
fn single_bytes_are_no_progress() {
    let mut budget = budget();
    let dripping = arriving(&mut budget, 500 * KB, NOW);
    let sending = arriving(&mut budget, 2000 * KB, NOW);
    let now = NOW + Millis(2000);
    budget.progress(dripping, 10, now);
    budget.progress(sending, 64 * KB, now);
    let ordinary = arriving(&mut budget, 500 * KB, now);
    assert!(shed(&mut budget).is_empty());
    resize(&mut budget, ordinary, 900 * KB, now);
    assert_eq!(shed(&mut budget), [dripping]);
}

/// Guards against complete requests that are dropped for others that arrive: they may have run.
#[test]
fn served_requests_stay() {
    let mut budget = budget();
    for _ in 0..3 {
        let id = arriving(&mut budget, 1000 * KB, NOW);
        budget.set_phase(id, Phase::Serving, NOW);
    }
    let now = NOW + Millis(60_000);
    let late = arriving(&mut budget, 200 * KB, now);
    assert_eq!(shed(&mut budget), [late]);
    // The last quarter of the memory is for small requests.
    arriving(&mut budget, 40 * KB, now);
    assert!(shed(&mut budget).is_empty());
}

/// Guards against connections of a crowd that keep all others from being accepted.
#[test]
fn stalled_connection_makes_room() {
    let mut budget = budget();
    let ids: Vec<_> = (0..CAPACITY.connections as u64)
        .map(|i| admit(&mut budget, NOW + Millis(i * 1000)))
        .collect();
    let now = NOW + Millis(20_000);
    budget.set_phase(ids[0], Phase::Serving, now);
    budget.set_phase(ids[1], Phase::Idle, NOW);
    admit(&mut budget, now);
    assert_eq!(shed(&mut budget), [ids[2]]);
}

/// Guards against an idle connection that is closed while the caller of an unfinished request holds another one, and
/// against one that is kept while a request that arrives without a pause is rejected.
#[test]
fn idle_goes_after_stalled_and_before_active() {
    let mut budget = budget();
    let idle = admit(&mut budget, NOW);
    budget.set_phase(idle, Phase::Idle, NOW);
    let now = NOW + Millis(5000);
    let stalled = admit(&mut budget, now - Millis(2000));
    let rest: Vec<_> = (2..CAPACITY.connections)
        .map(|_| admit(&mut budget, now))
        .collect();
    admit(&mut budget, now);
    assert_eq!(shed(&mut budget), [stalled]);
    admit(&mut budget, now);
    assert_eq!(shed(&mut budget), [idle]);
    admit(&mut budget, now);
    assert_eq!(shed(&mut budget), [rest[0]]);
}

/// Guards against descriptors that run out because shed connections close slowly.
#[test]
fn closing_connections_are_limited() {
    let mut budget = budget();
    let total = CAPACITY.connections + CAPACITY.closing;
    let ids: Vec<_> = (0..total).map(|_| admit(&mut budget, NOW)).collect();
    assert_eq!(budget.take_orders().len(), CAPACITY.closing);
    assert_eq!(budget.usage().connections, total);
    admit(&mut budget, NOW);
    let ended = budget.take_orders();
    let ended: Vec<_> = ended.iter().filter(|(_, o)| *o == Order::End).collect();
    assert_eq!(ended, [&(ids[0], Order::End)]);
}

/// Guards against a full process that sheds a request in progress for a new connection.
#[test]
fn full_of_served_requests_accepts_none() {
    let mut budget = budget();
    for _ in 0..CAPACITY.connections {
        let id = admit(&mut budget, NOW);
        budget.set_phase(id, Phase::Serving, NOW);
    }
    assert_eq!(budget.admit(NOW + Millis(60_000)), Err(Full));
}

/// Guards against callers that do not read their responses, and against a cut for those that pause.
#[test]
fn slow_reader_goes_after_a_long_stall() {
    let mut budget = budget();
    let reader = admit(&mut budget, NOW);
    budget.set_phase(reader, Phase::Sending, NOW);
    let unsent = Sizes {
        unsent: 2000 * KB,
        ..Sizes::default()
    };
    budget.resize(reader, unsent, NOW);
    let paused = NOW + Millis(3000);
    let other = arriving(&mut budget, 2000 * KB, paused);
    assert_eq!(shed(&mut budget), [other]);
    let other = arriving(&mut budget, 2000 * KB, NOW + Millis(6000));
    assert_eq!(shed(&mut budget), [reader]);
    assert!(budget.usage().bytes > 2000 * KB, "{other:?} holds its body");
}

/// Guards against endless responses of endpoints, whose callers would otherwise shed each other for them.
#[test]
fn response_keeps_its_share_only() {
    let mut budget = budget();
    budget.begin_response();
    budget.begin_response();
    let share = CAPACITY.responses / 2;
    assert_eq!(budget.resize_response(0, share, NOW), Ok(()));
    assert_eq!(budget.resize_response(0, share, NOW), Ok(()));
    let more = budget.resize_response(share, share + KB, NOW);
    assert_eq!(more, Err(NoMemory));
    budget.end_response(share);
    assert_eq!(budget.resize_response(share, share + KB, NOW), Ok(()));
}

/// Guards against responses within their share that add up without end while callers do not read them.
#[test]
fn unread_responses_are_bounded() {
    let mut budget = budget();
    let mut total = 0;
    for _ in 0..200 {
        budget.begin_response();
        let size = 100 * KB;
        if budget.resize_response(0, size, NOW).is_ok() {
            total += size;
        }
    }
    assert!(total <= CAPACITY.bytes + CAPACITY.responses, "{total}");
}

/// Guards against memory that stays counted after its connections have ended, which would reject everybody in the end.
#[test]
fn ended_connections_count_nothing() {
    let mut budget = budget();
    let mut ids = Vec::new();
    for (i, phase) in [Phase::Serving, Phase::Sending, Phase::Arriving, Phase::Idle]
        .into_iter()
        .cycle()
        .take(64)
        .enumerate()
    {
        let now = NOW + Millis(i as u64 * 700);
        let Ok(id) = budget.admit(now) else {
            budget.remove(ids.remove(0));
            continue;
        };
        let sizes = Sizes {
            head: i * KB,
            body: i * 20 * KB,
            unsent: i * 3 * KB,
        };
        budget.resize(id, sizes, now);
        budget.set_phase(id, phase, now);
        ids.push(id);
    }
    assert!(budget.usage().bytes >= CONNECTION);
    for id in ids {
        budget.remove(id);
    }
    assert_eq!(budget.usage(), Default::default());
    // A response may be as large as all of its part again, so nothing of the sum is left either.
    budget.begin_response();
    assert_eq!(budget.resize_response(0, CAPACITY.responses, NOW), Ok(()));
}

/// Adds a connection whose caller has not read `size` bytes of its response since `now`.
fn unread(budget: &mut Budget, size: usize, now: Millis) -> HolderId {
    let id = admit(budget, now);
    budget.set_phase(id, Phase::Sending, now);
    budget.read_ahead(id, size, now).expect("memory");
    id
}

/// Guards against the response of another caller that fails because one that does not read holds the memory.
#[test]
fn reader_goes_before_other_responses() {
    let mut budget = budget();
    let old = unread(&mut budget, 200 * KB, NOW);
    let fresh = unread(&mut budget, 200 * KB, NOW + Millis(600));
    budget.begin_response();
    let now = NOW + Millis(1100);
    assert_eq!(budget.resize_response(0, 112 * KB, now), Ok(()));
    assert_eq!(shed(&mut budget), []);
    assert_eq!(budget.resize_response(112 * KB, 300 * KB, now), Ok(()));
    assert_eq!(shed(&mut budget), [old]);
    // One that has read lately stays.
    assert_eq!(
        budget.resize_response(300 * KB, 400 * KB, now),
        Err(NoMemory)
    );
    assert_eq!(shed(&mut budget), []);
    assert_eq!(budget.sizes(fresh).unsent, 200 * KB);
}

/// Guards against a caller that does not read and keeps its endpoint waiting, and against one that reads and is shed.
#[test]
fn reader_over_its_share_goes_itself() {
    let mut budget = budget();
    let id = unread(&mut budget, 512 * KB, NOW);
    let soon = NOW + Millis(900);
    assert_eq!(budget.read_ahead(id, KB, soon), Err(NoMemory));
    assert_eq!(budget.sizes(id).unsent, 512 * KB);
    budget.progress(id, 8 * KB, soon);
    let later = NOW + Millis(1500);
    assert_eq!(budget.read_ahead(id, KB, later), Err(NoMemory));
    assert_eq!(shed(&mut budget), []);
    assert_eq!(budget.read_ahead(id, KB, NOW + Millis(2000)), Err(NoMemory));
    assert_eq!(shed(&mut budget), [id]);
    budget.remove(id);
    assert_eq!(budget.usage().bytes, 0);
}
