//! Names of models in the operator's records that are longer than any message may be.

mod gateway_support;

use std::net::UdpSocket;

use gateway_support::{
    addr,
    gateway::{catalog, settings_of, start_stored, MODEL},
    heartbeat, heartbeat_message, run_local, set_catalog, MemoryStore, TestDecode,
};
use sesamewing::{
    base::Millis,
    gateway::{Gossip, Message, Status, Topic},
};
use tokio::time::sleep;

/// Length of a name that no datagram holds, and number of such names.
const LENGTH: usize = 100_000;
const NAMES: u8 = 20;

/// Time in which several datagrams are sent.
const SEVERAL: Millis = Millis(2500);

/// Returns the models whose versions the newest datagram that has arrived tells; `None` if none has.
fn received(socket: &UdpSocket) -> Option<Vec<String>> {
    let mut newest = None;
    let mut data = vec![0; 1 << 16];
    while let Ok(n) = socket.recv(&mut data) {
        if let Ok((Message::Gossip(Gossip { desired, .. }), _)) = Message::decode(&data[..n]) {
            newest = Some(desired.iter().map(|d| d.model.to_string()).collect());
        }
    }
    newest
}

/// Guards against an entry that keeps names of any length, and sends no heartbeats any more because they do not fit into
/// a datagram.
#[test]
fn long_model_names_are_ignored() {
    run_local(async {
        let store = MemoryStore::default();
        set_catalog(catalog());
        store.write(Topic::Operator, "config", "1");
        start_stored::<_, TestDecode>(settings_of(1), store.clone()).await;
        sleep(SEVERAL.duration()).await;
        for i in 0..NAMES {
            let name = char::from(b'a' + i).to_string().repeat(LENGTH);
            store.write(Topic::Operator, &name, "3");
        }
        store.write(Topic::Operator, MODEL, "8");
        let peer = addr(2, 8004);
        let socket = UdpSocket::bind(peer).expect("a socket");
        socket.set_nonblocking(true).expect("a socket");
        for count in 1..10 {
            let message = heartbeat_message(heartbeat(peer, "a", count, Status::default()));
            let data = postcard::to_stdvec(&message).expect("encoded");
            socket.send_to(&data, addr(1, 8004)).expect("sent");
            sleep(SEVERAL.duration() / 9).await;
        }
        let models = received(&socket).expect("a heartbeat");
        assert_eq!(models, [MODEL]);
    });
}
