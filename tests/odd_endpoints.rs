//! Odd entries of the list of endpoints, as another writer may leave them: they name no endpoint to use, and the others
//! hold.

mod gateway_support;

use std::net::SocketAddr;

use gateway_support::{
    addr, endpoint,
    gateway::{catalog, request, respond, settings, CALLERS},
    lines::{collect_lines, count_lines, take_lines},
    run_local, send_request, set_catalog, MemoryStore, TestDecode,
};
use sesamewing::{
    base::Millis,
    gateway::{self, Catalog, Decode, EndpointRecord, Headers, OperatorRecord, Topic},
    observe::LeftOut,
};

/// Time after which a change of the list is in force at an entry.
const APPLIED: Millis = Millis(1300);

/// Decodes the records of [`TestDecode`] with a sequence number in front.
struct Numbered;

impl Decode for Numbered {
    fn operator_record(key: &[u8], value: &[u8]) -> Result<Option<OperatorRecord>, String> {
        TestDecode::operator_record(key, value)
    }

    fn catalog(value: &[u8]) -> Result<Catalog, String> {
        TestDecode::catalog(value)
    }

    fn endpoint(value: &[u8]) -> Result<EndpointRecord, String> {
        let text = String::from_utf8_lossy(value);
        let (number, rest) = text.split_once(' ').ok_or_else(|| text.to_string())?;
        let mut record = TestDecode::endpoint(rest.as_bytes())?;
        record.revision.sequence = number.parse().map_err(|_| text.to_string())?;
        Ok(record)
    }
}

async fn start(store: &MemoryStore) {
    set_catalog(catalog());
    store.write(Topic::Operator, "config", "1");
    let load = || Ok(settings());
    let run =
        gateway::run::<_, Numbered>(load, Headers::default(), store.clone(), LeftOut::default());
    tokio::task::spawn_local(run);
    tokio::time::sleep(APPLIED.duration()).await;
}

async fn ask() -> String {
    send_request(addr(1, CALLERS), &request("/safe/x"), 2000).await
}

/// Guards against requests to an endpoint whose present record cannot be read, and against one that does not get
/// requests again when its next record can be.
#[test]
fn unreadable_record_names_no_endpoint() {
    run_local(async {
        let store = MemoryStore::default();
        let seen = endpoint(addr(10, 9000), respond("200 OK", "yes")).await;
        let good = |n| format!("{n} plain {} a m 3", addr(10, 9000));
        store.write(Topic::Endpoints, "e", &good(1));
        start(&store).await;
        assert!(ask().await.ends_with("yes"));
        store.write(Topic::Endpoints, "e", "[[[[");
        tokio::time::sleep(APPLIED.duration()).await;
        let res = ask().await;
        assert!(res.starts_with("HTTP/1.1 503"), "{res}");
        assert_eq!(seen.requests.borrow().len(), 1);
        store.write(Topic::Endpoints, "e", &good(2));
        tokio::time::sleep(APPLIED.duration()).await;
        assert!(ask().await.ends_with("yes"));
    });
}

/// Guards against an odd entry beside sound ones that stops the reading of the list.
#[test]
fn sound_entries_beside_odd_ones_hold() {
    run_local(async {
        let store = MemoryStore::default();
        let _seen = endpoint(addr(10, 9000), respond("200 OK", "yes")).await;
        store.write(Topic::Endpoints, "odd", "9 plain 127.0.0.1:99999 a m 1");
        start(&store).await;
        store.write(Topic::Endpoints, "", "9 plain");
        store.write(Topic::Endpoints, "odd2", &"[".repeat(100_000));
        let good = format!("1 plain {} a m 3", addr(10, 9000));
        store.write(Topic::Endpoints, "e", &good);
        store.write(Topic::Endpoints, "odd3", "{}");
        tokio::time::sleep(APPLIED.duration()).await;
        assert!(ask().await.ends_with("yes"));
    });
}

/// Guards against requests that are sent without the header that names the endpoint, because its id is no valid value
/// of a header or would be changed on the way.
#[test]
fn ids_that_no_header_can_carry_are_not_used() {
    for odd in ["", "a\nb", "\u{1}", "é", " e", "e ", "a b", "\u{fffd}"] {
        run_local(async {
            let store = MemoryStore::default();
            let seen = endpoint(addr(10, 9000), respond("200 OK", "yes")).await;
            let good = format!("1 plain {} a m 3", addr(10, 9000));
            store.write(Topic::Endpoints, odd, &good);
            start(&store).await;
            let res = ask().await;
            assert!(res.starts_with("HTTP/1.1 503"), "{odd:?}: {res}");
            assert_eq!(seen.requests.borrow().len(), 0, "{odd:?}");
        });
    }
}

/// Guards against requests to addresses that no endpoint has: that of an entry, which would forward the request once
/// more, and those that lead to the entry's own host or to none.
#[test]
fn addresses_of_no_endpoint_are_not_used() {
    collect_lines();
    run_local(async {
        let free = tokio::net::TcpListener::bind("127.0.0.1:0").await;
        let at = free.expect("a free port").local_addr().expect("an address");
        let seen = endpoint(at, respond("200 OK", "yes")).await;
        let unspecified = SocketAddr::from(([0, 0, 0, 0], at.port()));
        let store = MemoryStore::default();
        start(&store).await;
        let odd = [
            unspecified.to_string(),
            format!("[::]:{}", at.port()),
            format!("[::ffff:0.0.0.0]:{}", at.port()),
            "10.0.0.1:0".to_owned(),
            "224.0.0.1:80".to_owned(),
            "255.255.255.255:80".to_owned(),
            "[ff02::1]:80".to_owned(),
            addr(1, CALLERS).to_string(),
            addr(1, 8004).to_string(),
        ];
        for (i, odd) in odd.iter().enumerate() {
            let value = format!("{i} plain {odd} a m 3");
            store.write(Topic::Endpoints, "odd", &value);
            tokio::time::sleep(APPLIED.duration()).await;
            let res = ask().await;
            assert!(res.starts_with("HTTP/1.1 503"), "{odd}: {res}");
            assert!(seen.requests.borrow().is_empty(), "{odd}");
            assert_eq!(count_lines("SW451"), 0, "{odd}");
        }
    });
}

/// Guards against lines without bound for what is skipped: in size, in number, or broken into several lines.
#[test]
fn lines_of_skipped_records_are_bounded() {
    collect_lines();
    run_local(async {
        let store = MemoryStore::default();
        let long = "x".repeat(1 << 20);
        let models = format!("1 plain {} a {long} 3", addr(10, 9000));
        store.write(Topic::Endpoints, "models", &models);
        start(&store).await;
        for i in 0..500 {
            let key = format!("a\nSW459 gateway-process: {i}");
            store.write(Topic::Endpoints, &key, "?\n?");
            store.write(Topic::Endpoints, "b", &format!("{i}{long}"));
        }
        store.write(Topic::Operator, &format!("m{long}"), &long);
        tokio::time::sleep(APPLIED.duration()).await;
    });
    let lines = take_lines();
    let size = lines.iter().map(String::len).max().unwrap_or(0);
    assert!(size <= 1024, "a line of {size} bytes");
    assert!(lines.iter().all(|l| !l.contains('\n')), "a broken line");
    let skipped = lines.iter().filter(|l| l.starts_with("SW456")).count();
    assert!((1..=40).contains(&skipped), "{skipped} lines");
}
