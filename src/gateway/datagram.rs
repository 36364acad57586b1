//! Sends datagrams to other entries.

use std::net::SocketAddr;

use serde::Serialize;
use tokio::net::UdpSocket;

/// Sends a datagram to other entries. Lost datagrams are not sent again.
pub(super) async fn send_to_all(
    socket: &UdpSocket,
    message: &impl Serialize,
    targets: &[SocketAddr],
) {
    let data = match postcard::to_stdvec(message) {
        Ok(data) => data,
        Err(e) => {
            log::warn!("cannot encode a datagram: {e}");
            return;
        }
    };
    for target in targets {
        if let Err(e) = socket.send_to(&data, target).await {
            log::debug!("cannot send a datagram to {target}: {e}");
        }
    }
}
