//! An entry that was paused while a zone was evacuated.

mod gateway_support;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream, UdpSocket},
    thread::{sleep, spawn, JoinHandle},
    time::Duration,
};

use gateway_support::{
    addr, endpoint,
    gateway::{arrivals, catalog, request, respond, start_entry, CALLERS, HELD, MODEL},
    heartbeat, heartbeat_message, run_local, set_catalog, MemoryStore,
};
use sesamewing::{
    base::Millis,
    decide::evacuation::EvacuationCopy,
    gateway::{CatalogVersion, ReadTimes, Status, TableDigest, Topic},
};

/// Time for which the process is paused.
const PAUSE: Duration = Duration::from_secs(2);

/// Time of the pause after which a datagram and then callers' requests arrive.
const LATER: Duration = Duration::from_millis(500);

/// Requests that arrive during the pause.
const REQUESTS: usize = 6;

/// Position in the operator's log after the record of the evacuation.
const POSITION: u64 = 100;

/// Sends the state of another entry, and requests of callers, while the process is paused; returns the answers.
fn send_during_pause(
    entry: SocketAddr,
    peers: SocketAddr,
    from: SocketAddr,
) -> JoinHandle<Vec<String>> {
    let status = Status {
        ready: true,
        catalog: CatalogVersion(1),
        reads_store: true,
        table: TableDigest(1),
    };
    let copy = EvacuationCopy {
        position: POSITION,
        age: Millis(100),
        zones: vec!["a".parse().expect("a valid name")],
        restored: Vec::new(),
    };
    let message = heartbeat_message(heartbeat(from, "b", 1, status));
    let data = (message, ReadTimes(vec![Millis(9000)]), copy);
    let data = postcard::to_stdvec(&data).expect("encoded");
    spawn(move || {
        sleep(LATER);
        let socket = UdpSocket::bind(from).expect("a socket");
        socket.send_to(&data, peers).expect("it is sent");
        let streams: Vec<_> = (0..REQUESTS)
            .map(|_| {
                let mut stream = TcpStream::connect(entry).expect("a connection");
                stream
                    .write_all(request("/safe/").as_bytes())
                    .expect("it is sent");
                stream
            })
            .collect();
        let read = |mut stream: TcpStream| {
            let mut text = String::new();
            let _ = stream.read_to_string(&mut text);
            text
        };
        streams.into_iter().map(read).collect()
    })
}

/// Guards against requests that an entry sends to a zone evacuated while it was paused, before it reads the datagrams that
/// arrived meanwhile.
#[test]
fn requests_after_a_pause_avoid_the_zone() {
    run_local(async {
        set_catalog(catalog());
        let store = MemoryStore::default();
        store.write(Topic::Operator, "config", "1");
        let mut seen = Vec::new();
        for (n, zone) in [(10, "a"), (11, "b")] {
            let value = format!("plain {} {zone} {MODEL} {HELD}", addr(n, 9000));
            store.write(Topic::Endpoints, &format!("e{n}"), &value);
            seen.push(endpoint(addr(n, 9000), respond("200 OK", "x")).await);
        }
        start_entry(1, store).await;
        let sender = send_during_pause(addr(1, CALLERS), addr(1, 8004), addr(2, 8004));
        sleep(PAUSE);
        while !sender.is_finished() {
            tokio::time::sleep(Millis(20).duration()).await;
        }
        let answers = sender.join().expect("answers");
        assert!(answers.iter().all(|a| a.contains(" 200 ")), "{answers:?}");
        let counts: Vec<_> = seen
            .iter()
            .map(|s| arrivals(std::slice::from_ref(s)))
            .collect();
        assert_eq!(counts, [0, REQUESTS]);
    });
}
