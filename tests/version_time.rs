//! The time from which an entry counts a desired version: never later than the store's acknowledgement of its record.

mod gateway_support;
mod version_support;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use gateway_support::{
    addr,
    gateway::{settings_of, start_stored, HELD, MODEL},
    run_local, set_catalog, TestDecode,
};
use sesamewing::{
    base::Millis,
    gateway::{
        Assignment, Catalog, Decode, DesiredAge, EndpointRecord, Gossip, Message, OperatorRecord,
        Topic, WeightVersion,
    },
    http::{get, Pool},
};
use tokio::net::UdpSocket;
use version_support::{sleep, weights_catalog, HarshStore, SETTLED};

/// Delay of the network between the store and an entry, and of the query for the entry's state, on a busy machine.
const NETWORK: Millis = Millis(60);

/// Queries an entry for the ages of the desired versions that it knows.
async fn assignment(entry: SocketAddr) -> Assignment {
    assignment_after(entry, 0).await
}

/// Like [`assignment`], as an agent that has the assignment with a tag.
async fn assignment_after(entry: SocketAddr, tag: u64) -> Assignment {
    let pool = Pool::default();
    let path = format!("/assignment/plain/a/{tag}");
    let res = get(&pool, entry, &path, Millis::ZERO, Millis(2500)).await;
    Assignment::decode(res.expect("a response").body()).expect("an assignment")
}

/// Waits until an entry knows a version, and returns how much later than its write the entry counts it from, and how
/// much earlier.
async fn deviation(entry: SocketAddr, version: u64, written: Instant) -> (Millis, Millis) {
    let end = Instant::now() + Duration::from_secs(6);
    while Instant::now() < end {
        let known = assignment(entry).await;
        let found = known.desired.iter().find(|d| d.version.0 == version);
        if let Some(found) = found {
            let truth = Millis::from(written.elapsed());
            let (late, early) = (truth - found.age, found.age - truth);
            println!("version {version}: {late} late, {early} early");
            return (late, early);
        }
        assert!(
            known.newest != Some(WeightVersion(version)),
            "enforced at once"
        );
        sleep(Millis(20)).await;
    }
    panic!("the entry does not learn of version {version}");
}

/// Tells an entry, as another one, of the age of the version after the one that endpoints hold.
async fn report_age(entry: SocketAddr, age: Millis, uncertainty: Millis) {
    let desired = DesiredAge {
        model: MODEL.to_owned(),
        version: WeightVersion(HELD + 1),
        age,
        uncertainty,
    };
    let message = Message::Gossip(Gossip {
        heartbeats: Vec::new(),
        desired: vec![desired],
        in_flight: Vec::new(),
        leaving: Vec::new(),
    });
    let data = postcard::to_stdvec(&message).expect("a datagram");
    let socket = UdpSocket::bind(addr(9, 0)).await.expect("a socket");
    socket.send_to(&data, entry).await.expect("it is sent");
    sleep(Millis(100)).await;
}

/// Decoder that takes long to decode a configuration.
struct SlowDecode;

/// Time to decode a configuration.
const DECODING: Duration = Duration::from_millis(700);

impl Decode for SlowDecode {
    fn operator_record(key: &[u8], value: &[u8]) -> Result<Option<OperatorRecord>, String> {
        if key == b"config" {
            std::thread::sleep(DECODING);
        }
        TestDecode::operator_record(key, value)
    }

    fn catalog(value: &[u8]) -> Result<Catalog, String> {
        TestDecode::catalog(value)
    }

    fn endpoint(value: &[u8]) -> Result<EndpointRecord, String> {
        TestDecode::endpoint(value)
    }
}

/// Asserts that an entry counts a version from its write on or from up to `early` before it.
async fn check(entry: SocketAddr, version: u64, written: Instant, early: Millis) {
    let (late, too_early) = deviation(entry, version, written).await;
    assert!(late <= NETWORK, "version {version}: {late} late");
    assert!(too_early <= early, "version {version}: {too_early} early");
}

/// Guards against a version that counts from when its record was applied: in calm that is about when it was written, and
/// it must not count from long before either.
#[test]
fn calm() {
    run_local(async {
        let store = HarshStore::default();
        let entry = store.start_entry().await;
        let written = store.name(HELD + 1);
        check(entry, HELD + 1, written, Millis(400)).await;
    });
}

/// Guards against a version that counts from after the large configuration whose transfer it had to wait for.
#[test]
fn large_record_before() {
    run_local(async {
        let store = HarshStore::default();
        let entry = store.start_entry().await;
        store.state.transfer.set(Millis(1500));
        store.store.write(Topic::Operator, "config", "2");
        sleep(Millis(200)).await;
        let written = store.name(HELD + 1);
        check(entry, HELD + 1, written, Millis(800)).await;
    });
}

/// Guards against a version that counts from after a configuration in the same response was decoded.
#[test]
fn slow_decoding() {
    run_local(async {
        let store = HarshStore::default();
        set_catalog(weights_catalog());
        store.store.write(Topic::Operator, "config", "1");
        let settings = settings_of(1);
        start_stored::<_, SlowDecode>(settings.clone(), store.clone()).await;
        sleep(SETTLED).await;
        store.store.write(Topic::Operator, "config", "2");
        let written = store.name(HELD + 1);
        check(settings.listen.peers, HELD + 1, written, Millis(400)).await;
    });
}

/// Guards against a version that counts from after several configurations in quick succession, of which each response
/// holds one.
#[test]
fn storm_of_configurations() {
    run_local(async {
        let store = HarshStore::default();
        let entry = store.start_entry().await;
        store.state.transfer.set(Millis(400));
        store.state.page.set(Some(1));
        for _ in 0..4 {
            store.store.write(Topic::Operator, "config", "2");
            sleep(Millis(50)).await;
        }
        let written = store.name(HELD + 1);
        store.store.write(Topic::Operator, "config", "3");
        check(entry, HELD + 1, written, Millis(1000)).await;
    });
}

/// Guards against a version that counts from after the read whose response was lost.
#[test]
fn lost_response() {
    run_local(async {
        let store = HarshStore::default();
        let entry = store.start_entry().await;
        store.state.loses.set(true);
        let written = store.name(HELD + 1);
        check(entry, HELD + 1, written, Millis(1000)).await;
    });
}

/// Guards against a version that counts from the end of an outage in which only the reads of this entry failed.
#[test]
fn rejected_reads() {
    run_local(async {
        let store = HarshStore::default();
        store.state.wait_max.set(Some(Millis(300)));
        let entry = store.start_entry().await;
        store.state.rejects.set(true);
        sleep(Millis(400)).await;
        let written = store.name(HELD + 1);
        sleep(Millis(1500)).await;
        store.state.rejects.set(false);
        check(entry, HELD + 1, written, Millis(1500)).await;
    });
}

/// Guards against a version that counts from the write of its successor where the log was trimmed, so that a read by
/// key never returns it: endpoints with the version before both would be used for too long.
#[test]
fn version_skipped_by_keyed_read() {
    run_local(async {
        let store = HarshStore::default();
        store.state.wait_max.set(Some(Millis(300)));
        let entry = store.start_entry().await;
        store.state.rejects.set(true);
        sleep(Millis(400)).await;
        let written = store.name(HELD + 1);
        sleep(Millis(1000)).await;
        store.name(HELD + 2);
        store.state.first.set(4);
        store.state.rejects.set(false);
        check(entry, HELD + 2, written, Millis(1500)).await;
    });
}

/// Guards against a version that counts from the end of a pause of the process.
#[test]
fn frozen_process() {
    run_local(async {
        let store = HarshStore::default();
        let entry = store.start_entry().await;
        let written = store.name(HELD + 1);
        std::thread::sleep(Duration::from_millis(1500));
        check(entry, HELD + 1, written, Millis(600)).await;
    });
}

/// Guards against a version that counts from late where every response of the store is slow.
#[test]
fn slow_store() {
    run_local(async {
        let store = HarshStore::default();
        store.state.delay.set(Millis(500));
        let entry = store.start_entry().await;
        sleep(Millis(1500)).await;
        let written = store.name(HELD + 1);
        check(entry, HELD + 1, written, Millis(1500)).await;
    });
}

/// Guards against a version that counts from when the entry that takes over from lost zone readers reads it, and against
/// one that is enforced at once then.
#[test]
fn lost_zone_readers() {
    run_local(async {
        let store = HarshStore::default();
        let entries = store.start_zone().await;
        for (_, run) in &entries[..2] {
            run.abort();
        }
        sleep(Millis(50)).await;
        let written = store.name(HELD + 1);
        check(entries[2].0, HELD + 1, written, Millis(4000)).await;
    });
}

/// Guards against agents that keep a version's time which their entry has corrected since: they would load later than
/// entries expect.
#[test]
fn agents_get_corrected_time() {
    run_local(async {
        let store = HarshStore::default();
        let entry = store.start_entry().await;
        let written = store.name(HELD + 1);
        check(entry, HELD + 1, written, Millis(400)).await;
        let before = assignment(entry).await;
        let age = Millis::from(written.elapsed()) + Millis(1500);
        report_age(entry, age, Millis::ZERO).await;
        let after = assignment_after(entry, before.tag).await;
        let truth = Millis::from(written.elapsed()) + Millis(1500);
        let age = after.desired.first().map(|d| d.age);
        assert!(age.is_some_and(|age| age + NETWORK >= truth), "{age:?}");
    });
}

/// Guards against an entry that joins and uses endpoints with long superseded weights, because others tell it only of
/// versions that became desired lately and it reads only the newest.
#[test]
fn joining_entry_learns_of_previous_version() {
    run_local(async {
        let store = HarshStore::default();
        set_catalog(weights_catalog());
        store.store.write(Topic::Operator, "config", "1");
        let settings = |n| {
            let mut settings = settings_of(n);
            settings.bounds.version = Millis(1000);
            settings.seeds = vec![addr(1, 8004), addr(2, 8004)];
            settings
        };
        start_stored::<_, TestDecode>(settings(1), store.clone()).await;
        sleep(SETTLED).await;
        let written = store.name(HELD + 1);
        sleep(Millis(2300)).await;
        store.name(HELD + 2);
        start_stored::<_, TestDecode>(settings(2), store.clone()).await;
        sleep(Millis(1000)).await;
        check(addr(2, 8004), HELD + 1, written, Millis(400)).await;
    });
}

/// Guards against a version that is enforced at once at an entry that regains the store, and against one whose time
/// stays that of the end of the outage although another entry knows the time of the write.
#[test]
fn regained_store() {
    run_local(async {
        let store = HarshStore::default();
        store.state.wait_max.set(Some(Millis(300)));
        let entry = store.start_entry().await;
        store.state.rejects.set(true);
        sleep(Millis(3000)).await;
        let written = store.name(HELD + 1);
        sleep(Millis(4500)).await;
        store.state.rejects.set(false);
        let known = loop {
            let known = assignment(entry).await;
            if known.newest == Some(WeightVersion(HELD + 1)) {
                break known;
            }
            sleep(Millis(20)).await;
        };
        let found = known.desired.first().expect("a known age").clone();
        // It counts from the last read that failed, and what is not known of it is told.
        assert!(found.age <= Millis(1000), "{}", found.age);
        assert!(found.age + found.uncertainty >= Millis::from(written.elapsed()));
        let age = Millis::from(written.elapsed());
        report_age(entry, age, Millis(100)).await;
        check(entry, HELD + 1, written, Millis(100)).await;
    });
}

/// Guards against versions that count from long before their write because the first read brought a large configuration:
/// its transfer is not the usual time of a response.
#[test]
fn large_configuration_at_start() {
    run_local(async {
        let store = HarshStore::default();
        store.state.transfer.set(Millis(1500));
        let entry = store.start_entry().await;
        let written = store.name(HELD + 1);
        check(entry, HELD + 1, written, Millis(400)).await;
    });
}

/// Guards against a version that counts from later than it did, because all records were read once more: it was read
/// after a lost response, so that its time is uncertain, and the second read says nothing of a record that was known.
#[test]
fn known_version_is_read_again() {
    run_local(async {
        let store = HarshStore::default();
        store.state.wait_max.set(Some(Millis(300)));
        let entry = store.start_entry().await;
        store.state.loses.set(true);
        let written = store.name(HELD + 1);
        check(entry, HELD + 1, written, Millis(1500)).await;
        // The next read finds the log trimmed, and all records are read.
        store.state.first.set(u64::MAX);
        sleep(Millis(400)).await;
        store.state.first.set(0);
        sleep(SETTLED).await;
        check(entry, HELD + 1, written, Millis(1500)).await;
    });
}

/// Guards against a version that counts from late because one response took longer than those before it, as where it
/// waits behind the configurations that other processes read.
#[test]
fn one_slow_response() {
    run_local(async {
        let store = HarshStore::default();
        let entry = store.start_entry().await;
        store.state.delay.set(Millis(1500));
        let written = store.name(HELD + 1);
        check(entry, HELD + 1, written, Millis(5000)).await;
    });
}

/// Guards against a version that counts from late at the entry that takes over, because the response to the read of the
/// entry before it was lost: that one still reported that it read the store.
#[test]
fn lost_response_before_takeover() {
    run_local(async {
        let store = HarshStore::default();
        let entries = store.start_zone().await;
        // The readers do not get the responses to their reads before they end.
        store.state.delay.set(Millis(5000));
        let written = store.name(HELD + 1);
        sleep(Millis(3500)).await;
        store.state.delay.set(Millis::ZERO);
        for (_, run) in &entries[..2] {
            run.abort();
        }
        check(entries[2].0, HELD + 1, written, Millis(8000)).await;
    });
}
