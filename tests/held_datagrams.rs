//! Datagrams that lie in the socket of an entry while its process is held up.

mod gateway_support;

use std::{
    net::{SocketAddr, UdpSocket},
    thread::sleep,
};

use gateway_support::{
    addr,
    gateway::{respond, with_gateway},
    heartbeat, heartbeat_message,
};
use sesamewing::{
    base::{Millis, RequestRate},
    decide::quarantine::{
        End, EndId, Generation, PartId, PartKey, PartReport, ProbeProgress, Strength,
    },
    gateway::{
        CatalogVersion, DesiredAge, EndpointHash, EndpointId, Gossip, Grant, LimitReport, Message,
        PermitId, PermitReply, PermitRequest, ProbeRequest, Status, TableDigest, WeightVersion,
    },
};

/// Time for which the process is held up.
const HELD: Millis = Millis(1000);

/// Time in which the entry sends what it knows to others, or replies.
const SEND_TIME: Millis = Millis(600);

/// Time from which an entry knows which parts used to be answered, and a little.
const STARTED: Millis = Millis(3200);

/// Time after which the first probe of a part is due, and a little.
const FIRST_PROBE: Millis = Millis(1700);

/// Limit that an endpoint names: two requests a second.
const RATE: RequestRate = RequestRate(2000);

/// Address at which the entry gets datagrams.
fn entry() -> SocketAddr {
    addr(1, 8004)
}

fn endpoint() -> EndpointHash {
    let id: EndpointId = "e0".parse().expect("any text is an id");
    id.hash()
}

fn limit() -> LimitReport {
    LimitReport {
        endpoint: endpoint(),
        rate: Some(RATE),
        age: Millis::ZERO,
    }
}

/// Returns what an entry reports of a part that ended three endpoints.
fn deadly_part() -> PartReport {
    let end = |n: u64| End {
        id: EndId(n as u32),
        generation: Generation(n),
        after: Generation(n - 1),
        strength: Strength::Strong,
    };
    let service = "plain".parse().expect("a valid name");
    PartReport {
        part: PartKey::new(&service, PartId(7)),
        cleared: Generation::default(),
        ends: (1..=3).map(end).collect(),
        served: false,
        probes: Some(ProbeProgress::default()),
    }
}

fn peer_heartbeat(peer: SocketAddr) -> sesamewing::gateway::Heartbeat {
    let status = Status {
        ready: true,
        catalog: CatalogVersion(1),
        reads_store: false,
        table: TableDigest(1),
    };
    heartbeat(peer, "a", 1, status)
}

/// Another process, which is not held up.
struct Peer(UdpSocket);

impl Peer {
    fn bind(at: SocketAddr) -> Self {
        let socket = UdpSocket::bind(at).expect("a socket");
        socket.set_nonblocking(true).expect("it does not block");
        Self(socket)
    }

    fn send(&self, message: &Message) {
        let data = postcard::to_stdvec(message).expect("encoded");
        self.0.send_to(&data, entry()).expect("it is sent");
    }

    /// Returns the messages that arrive within a time.
    async fn receive(&self, time: Millis) -> Vec<Message> {
        tokio::time::sleep(time.duration()).await;
        let mut data = vec![0; 8 << 10];
        let mut out = Vec::new();
        while let Ok((len, _)) = self.0.recv_from(&mut data) {
            let (message, _) = Message::decode(&data[..len]).expect("a message");
            out.push(message);
        }
        out
    }

    /// Asks the entry for a permit.
    fn ask(&self, id: u64) {
        self.send(&Message::PermitRequest(PermitRequest {
            id: PermitId(id),
            limit: limit(),
        }));
    }

    /// Asks the entry for a probe of a part.
    fn ask_probe(&self, id: u64) {
        self.send(&Message::ProbeRequest(ProbeRequest {
            id: PermitId(id),
            report: deadly_part(),
        }));
    }

    /// Returns the replies to requests for permits or probes.
    async fn replies(&self) -> Vec<(u64, bool)> {
        let reply = |message| match message {
            Message::PermitReply(PermitReply { id, grant }) => {
                Some((id.0, grant == Grant::Granted))
            }
            _ => None,
        };
        self.receive(SEND_TIME)
            .await
            .into_iter()
            .filter_map(reply)
            .collect()
    }
}

/// Lets an entry get a message that lies in its socket for [`HELD`], and returns what the entry then sends.
async fn sent_after(message: Message) -> Vec<Message> {
    let at = addr(2, 8004);
    let peer = Peer::bind(at);
    peer.send(&heartbeat_message(peer_heartbeat(at)));
    peer.receive(SEND_TIME).await;
    peer.send(&message);
    sleep(HELD.duration());
    peer.receive(SEND_TIME).await
}

/// Guards against a limit of before a pause that counts as newer than what an endpoint showed during it, at this entry
/// and at those to which it passes the limit on.
#[test]
fn held_limit_is_old() {
    with_gateway(vec![respond("200 OK", "yes")], |_| async {
        let sent = sent_after(Message::Limits(vec![limit()])).await;
        let reports = sent.iter().filter_map(|m| match m {
            Message::Limits(reports) => reports.first(),
            _ => None,
        });
        let ages: Vec<_> = reports.map(|r| r.age).collect();
        assert!(!ages.is_empty(), "the limit is passed on");
        assert!(ages.iter().all(|age| *age >= HELD), "{ages:?}");
    });
}

/// Guards against a version that counts from the end of a pause, though its record was written before.
#[test]
fn held_version_is_old() {
    with_gateway(vec![respond("200 OK", "yes")], |_| async {
        let desired = DesiredAge {
            model: "m".to_owned(),
            version: WeightVersion(9),
            age: Millis::ZERO,
            uncertainty: Millis::ZERO,
        };
        let sent = sent_after(Message::Gossip(Gossip {
            heartbeats: Vec::new(),
            desired: vec![desired],
            in_flight: Vec::new(),
            leaving: Vec::new(),
        }));
        let sent = sent.await;
        let desired = sent.iter().filter_map(|m| match m {
            Message::Gossip(gossip) => gossip.desired.iter().find(|d| d.model == "m"),
            _ => None,
        });
        let ages: Vec<_> = desired.map(|d| d.age).collect();
        assert!(!ages.is_empty(), "the version is passed on");
        assert!(ages.iter().all(|age| *age >= HELD), "{ages:?}");
    });
}

/// Guards against permits for requests that nobody sends any more: the entries that asked for them during a pause do not
/// wait for so long, and the permits would be lacking to those that ask afterwards.
#[test]
fn held_requests_get_no_permit() {
    with_gateway(vec![respond("200 OK", "yes")], |_| async {
        let peer = Peer::bind(addr(9, 0));
        // The first request begins the time for which permits are kept.
        peer.ask(1);
        tokio::time::sleep(Millis(1200).duration()).await;
        assert_eq!(peer.replies().await, [(1, false)]);
        for id in 2..=5 {
            peer.ask(id);
        }
        sleep(HELD.duration());
        // The entry reads what lay in its socket first.
        tokio::time::sleep(Millis(50).duration()).await;
        peer.ask(6);
        assert_eq!(peer.replies().await, [(6, true)]);
    });
}

/// Guards against probes that are spent on requests of before a pause: the next one would be due 1.5 s later, and callers
/// of a part that was accused wrongly would be rejected meanwhile.
#[test]
fn held_requests_get_no_probe() {
    with_gateway(vec![respond("200 OK", "yes")], |_| async {
        let peer = Peer::bind(addr(9, 0));
        tokio::time::sleep(STARTED.duration()).await;
        peer.send(&Message::Parts(vec![deadly_part()]));
        tokio::time::sleep(FIRST_PROBE.duration()).await;
        peer.ask_probe(1);
        sleep(HELD.duration());
        tokio::time::sleep(Millis(50).duration()).await;
        peer.ask_probe(2);
        assert_eq!(peer.replies().await, [(2, true)]);
    });
}
