//! Requests for permits that wait for a reply, and the issuers of this entry.

use tokio::sync::oneshot;

use super::issuer::{Grant, Issuers, PermitId, PermitReply};
use crate::base::HashMap;

/// Issuers of this entry, and its requests for permits that have no reply yet.
#[derive(Debug, Default)]
pub(super) struct Permits {
    pub(super) issuers: Issuers,
    pending: HashMap<PermitId, oneshot::Sender<Grant>>,
}

impl Permits {
    /// Registers a request for a permit; the receiver gets the reply.
    pub(super) fn register(&mut self) -> (PermitId, oneshot::Receiver<Grant>) {
        let id = PermitId(fastrand::u64(..));
        let (sender, receiver) = oneshot::channel();
        self.pending.insert(id, sender);
        (id, receiver)
    }

    /// Drops requests for permits whose callers have left.
    pub(super) fn drop_abandoned(&mut self) {
        self.pending.retain(|_, sender| !sender.is_closed());
    }

    /// Withdraws a request for a permit.
    pub(super) fn withdraw(&mut self, id: PermitId) {
        self.pending.remove(&id);
    }

    /// Passes a reply to the request that waits for it; ignored if none does.
    pub(super) fn resolve(&mut self, reply: &PermitReply) {
        if let Some(sender) = self.pending.remove(&reply.id) {
            let _ = sender.send(reply.grant);
        }
    }
}
