//! An evacuation of which an entry learns after it chose an endpoint for a request, and before it sends the request.

mod gateway_support;

use std::net::SocketAddr;

use gateway_support::{
    addr, endpoint,
    gateway::{arrivals, catalog, request, respond, start_entry, CALLERS, HELD, MODEL},
    heartbeat, heartbeat_message, run_local, send_request, set_catalog, MemoryStore,
};
use sesamewing::{
    base::{Millis, RequestRate},
    decide::evacuation::EvacuationCopy,
    gateway::{
        CatalogVersion, EndpointId, Grant, LimitReport, Message, PermitReply, ReadTimes, Status,
        TableDigest, Topic,
    },
};
use tokio::net::UdpSocket;

/// Time in which the entry merges a datagram.
const MERGE: Millis = Millis(50);

/// Returns a datagram of another entry, which knows of an evacuation if there is a position of its record.
fn datagram(from: SocketAddr, count: u64, position: Option<u64>) -> Vec<u8> {
    let status = Status {
        ready: true,
        catalog: CatalogVersion(1),
        reads_store: false,
        table: TableDigest(1),
    };
    let message = heartbeat_message(heartbeat(from, "b", count, status));
    let copy = position.map(|position| EvacuationCopy {
        position,
        zones: vec!["a".parse().expect("a valid name")],
        ..EvacuationCopy::default()
    });
    let data = match copy {
        Some(copy) => postcard::to_stdvec(&(message, ReadTimes::default(), copy)),
        None => postcard::to_stdvec(&(message, ReadTimes::default())),
    };
    data.expect("encoded")
}

/// Answers the first request for a permit, after the entry that asks got the news of the evacuation; returns whether there
/// was one.
async fn issue_late(socket: &UdpSocket, entry: SocketAddr) -> bool {
    let from = socket.local_addr().expect("an address");
    let mut data = vec![0; 8 << 10];
    let limit = Millis(800).duration();
    while let Ok(received) = tokio::time::timeout(limit, socket.recv(&mut data)).await {
        let len = received.expect("a datagram");
        let Ok((Message::PermitRequest(request), _)) = Message::decode(&data[..len]) else {
            continue;
        };
        let news = datagram(from, 2, Some(100));
        socket.send_to(&news, entry).await.expect("it is sent");
        let reply = Message::PermitReply(PermitReply {
            id: request.id,
            grant: Grant::Granted,
        });
        let reply = postcard::to_stdvec(&reply).expect("encoded");
        socket.send_to(&reply, entry).await.expect("it is sent");
        return true;
    }
    false
}

/// Guards against a request that goes to a zone evacuated while the request waited for a permit or a connection.
#[test]
fn chosen_endpoint_is_checked_before_the_send() {
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
        let (entry, from) = (addr(1, 8004), addr(2, 8004));
        let socket = UdpSocket::bind(from).await.expect("a socket");
        // This entry started so much earlier that it issues the permits.
        let beat = datagram(from, 1, None);
        socket.send_to(&beat, entry).await.expect("it is sent");
        let id: EndpointId = "e10".parse().expect("any text is an id");
        let limit = Message::Limits(vec![LimitReport {
            endpoint: id.hash(),
            rate: Some(RequestRate(100_000)),
            age: Millis::ZERO,
        }]);
        let limit = postcard::to_stdvec(&limit).expect("encoded");
        socket.send_to(&limit, entry).await.expect("it is sent");
        tokio::time::sleep(MERGE.duration()).await;
        let text = request("/once/");
        let answer = send_request(addr(1, CALLERS), &text, 2000);
        let (answer, issued) = tokio::join!(answer, issue_late(&socket, entry));
        assert!(issued, "no permit was asked for");
        assert!(answer.contains(" 200 "), "{answer}");
        let counts: Vec<_> = seen
            .iter()
            .map(|s| arrivals(std::slice::from_ref(s)))
            .collect();
        assert_eq!(counts, [0, 1]);
    });
}
