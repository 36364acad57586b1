//! Where the replies to a request go.

use std::future::Future;

use crate::{base::Millis, net::FrameSender, wire::Reply};

/// Time for the entry to read a frame; an entry that does not read for longer counts as lost.
const SEND_TIMEOUT: Millis = Millis::from_secs(10);

/// The entry no longer reads replies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the entry no longer reads replies; the request is cancelled")]
pub struct Gone;

/// Receiver of replies.
pub trait Sink: Send {
    /// Sends a reply.
    ///
    /// # Errors
    ///
    /// Returns an error if nobody reads replies any more.
    fn send(&mut self, reply: Reply) -> impl Future<Output = Result<(), Gone>> + Send;

    /// Waits until nobody reads replies any more.
    fn closed(&self) -> impl Future<Output = ()> + Send;
}

impl Sink for FrameSender {
    async fn send(&mut self, reply: Reply) -> Result<(), Gone> {
        self.send_within(&reply, SEND_TIMEOUT)
            .await
            .map_err(|_| Gone)
    }

    async fn closed(&self) {
        FrameSender::closed(self).await;
    }
}
