//! Datagrams of another format, as entries of another build send them in a fleet that is updated.

mod gateway_support;

use std::time::Duration;

use gateway_support::{
    addr,
    gateway::{request, respond, with_gateway, CALLERS},
    lines::{collect_lines, take_lines},
    send_request,
};
use tokio::{net::UdpSocket, time::sleep};

/// Datagrams in one second: four from each of 48 entries.
const DATAGRAMS: usize = 192;

/// Largest number of log lines about them in one second.
const LINES_MAX: usize = 5;

/// Datagrams of an unknown kind, of a known one that ends early, and empty ones.
const ODD: [&[u8]; 3] = [&[99, 1, 2, 3], &[0, 7], &[]];

/// Guards against a log that is flooded, and against an entry that is held up or stops listening, because other entries
/// send datagrams that it cannot read.
#[test]
fn odd_datagrams_are_ignored() {
    collect_lines();
    with_gateway(vec![respond("200 OK", "yes")], |_| async {
        let socket = UdpSocket::bind(addr(9, 0)).await.expect("a socket");
        for i in 0..DATAGRAMS {
            let sent = socket.send_to(ODD[i % ODD.len()], addr(1, 8004)).await;
            sent.expect("it is sent");
            sleep(Duration::from_millis(4)).await;
        }
        let got = send_request(addr(1, CALLERS), &request("/once/x"), 2000).await;
        assert!(got.ends_with("yes"), "`{got}`");
        let lines = take_lines();
        let lines: Vec<_> = lines.iter().filter(|l| l.contains("topic=beats")).collect();
        assert!(
            (1..=2 * LINES_MAX).contains(&lines.len()),
            "{} lines, such as {:?}",
            lines.len(),
            lines.first()
        );
    });
}
