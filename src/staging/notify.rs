//! Notifies entries at once when the endpoint stops accepting requests for a load, and when it has loaded.

use std::rc::Rc;

use tokio::net::UdpSocket;

use super::{agent::Agent, EndpointHost, Origin};
use crate::{
    base::Millis,
    gateway::{Decode, Message, RecordStore},
};

/// Number of datagrams with the same update, because some are lost, and the time between them.
const SEND_COUNT: u32 = 2;
const SEND_INTERVAL: Millis = Millis(80);

impl<S: RecordStore, D: Decode, H: EndpointHost, O: Origin> Agent<S, D, H, O> {
    /// Sends the endpoint's state by UDP to the entries that read the store, whenever the state changes.
    pub(super) async fn notify_entries(self: Rc<Self>, socket: UdpSocket) {
        loop {
            self.state_changed.notified().await;
            for _ in 0..SEND_COUNT {
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
                for entry in readers {
                    if let Err(e) = socket.send_to(&message, entry).await {
                        log::debug!("cannot send the state of the endpoint to {entry}: {e}");
                    }
                }
                tokio::time::sleep(SEND_INTERVAL.duration()).await;
            }
        }
    }
}
