//! Exclusive bind that keeps two agents of one host from commanding the endpoint at once.

use std::net::{SocketAddr, TcpListener};

use super::{board::Board, event::GUARD_TAKEN};
use crate::base::Millis;

/// Pause between two tries to bind.
const RETRY_PAUSE: Millis = Millis(500);

/// Binds the guard address and keeps it until the process ends, a frozen process included.
///
/// Returns `None` if the settings name no address.
pub(super) async fn hold(addr: Option<SocketAddr>, board: &Board) -> Option<TcpListener> {
    let addr = addr?;
    loop {
        match TcpListener::bind(addr) {
            Ok(listener) => {
                board.clear(&GUARD_TAKEN);
                return Some(listener);
            }
            Err(e) => board.raise(&GUARD_TAKEN, &format!("{addr}: {e}")),
        }
        tokio::time::sleep(RETRY_PAUSE.duration()).await;
    }
}
