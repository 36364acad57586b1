//! Tells entries at once when the endpoint stops to take requests for a load, and when it has loaded.

use std::rc::Rc;

use tokio::net::UdpSocket;

use super::{agent::Agent, EndpointHost, Origin};
use crate::{
    base::Millis,
    gateway::{Decode, Message, RecordStore},
};

/// Datagrams with the same news, because some are lost, and the time between them.
const REPEATS: u32 = 2;
const REPEAT: Millis = Millis(80);

impl<S: RecordStore, D: Decode, H: EndpointHost, O: Origin> Agent<S, D, H, O> {
    /// Sends the endpoint's state to the entries that read the store, whenever it changes.
    pub(super) async fn notify_entries(self: Rc<Self>, socket: UdpSocket) {
        loop {
            self.state_changed.notified().await;
            for _ in 0..REPEATS {
                let Some((update, readers)) = self.endpoint_update() else {
                    break;
                };
                let message = match postcard::to_stdvec(&Message::Endpoint(update)) {
                    Ok(message) => message,
                    Err(e) => {
                        log::warn!("cannot encode the state of the endpoint: {e}");
                        break;
                    }
                };
                for reader in readers {
                    if let Err(e) = socket.send_to(&message, reader).await {
                        log::debug!("the state of the endpoint is not told to {reader}: {e}");
                    }
                }
                tokio::time::sleep(REPEAT.duration()).await;
            }
        }
    }
}
