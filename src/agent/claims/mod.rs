//! Drives the claim runner: follows the stream of claims, appends records and runs claimed requests.

mod driver;
mod reader;
mod run;

pub use driver::{Driver, Identity};

use std::sync::{
    atomic::{AtomicUsize, Ordering},
    Arc,
};

use bytes::Bytes;
use tokio::sync::{mpsc, oneshot};

use super::{
    runner::retry_after,
    sink::{Gone, Sink},
};
use crate::{
    base::{Attempt, Digest, Millis, RequestId},
    decide::claim::{Submission, Verdict},
    wire::{NotRun, Reply, RunOutcome, RunRequest, SettleReply},
};

/// Commands that wait for the driver; further ones are refused.
const COMMANDS_MAX: usize = 1024;

/// Largest part of an answer in one frame, in bytes.
const PART_MAX: usize = 256 << 10;

/// A command to the driver.
#[derive(Debug)]
pub(super) enum Command {
    /// Runs a request at most once.
    Submit(Box<Submission<RunRequest>>, oneshot::Sender<Verdict>),
    /// Decides the fate of an attempt.
    Settle {
        id: RequestId,
        attempt: Attempt,
        deadline: Millis,
        reply: oneshot::Sender<SettleReply>,
    },
}

/// Handle of the claim driver; cheap to clone.
#[derive(Clone, Debug)]
pub struct Claims {
    tx: mpsc::Sender<Command>,
    pending: Arc<AtomicUsize>,
}

impl Claims {
    /// Creates a handle and the driver's end.
    pub(super) fn channel() -> (Self, mpsc::Receiver<Command>, Arc<AtomicUsize>) {
        let (tx, rx) = mpsc::channel(COMMANDS_MAX);
        let pending = Arc::new(AtomicUsize::new(0));
        let handle = Self {
            tx,
            pending: pending.clone(),
        };
        (handle, rx, pending)
    }

    /// Runs a non-repeatable request at most once; `refusal` is why it cannot run now.
    pub async fn submit(
        &self,
        req: RunRequest,
        attempt: Attempt,
        deadline: Millis,
        refusal: Option<NotRun>,
    ) -> Verdict {
        let submit = Submission {
            id: req.id,
            digest: digest(&req),
            attempt,
            deadline,
            refusal,
            payload: req,
        };
        let (reply, verdict) = oneshot::channel();
        if self
            .tx
            .try_send(Command::Submit(Box::new(submit), reply))
            .is_err()
        {
            return Verdict::Failed(RunOutcome::NotRun(NotRun::Busy));
        }
        // A driver that ended without an answer may have passed the request on.
        verdict
            .await
            .unwrap_or(Verdict::Failed(RunOutcome::MayHaveRun))
    }

    /// Decides the fate of an attempt.
    pub async fn settle(&self, id: RequestId, attempt: Attempt, deadline: Millis) -> SettleReply {
        let (reply, fate) = oneshot::channel();
        let command = Command::Settle {
            id,
            attempt,
            deadline,
            reply,
        };
        if self.tx.try_send(command).is_err() {
            return SettleReply::Unknown;
        }
        fate.await.unwrap_or(SettleReply::Unknown)
    }

    /// Returns the number of requests in hand and of records that wait for an append.
    pub fn pending(&self) -> usize {
        self.pending.load(Ordering::Relaxed)
    }
}

/// Returns the hash that tells requests with the same id apart.
fn digest(req: &RunRequest) -> Digest {
    let mut h = blake3::Hasher::new();
    let parts: [&[u8]; 6] = [
        req.service.as_str().as_bytes(),
        req.workspace.as_str().as_bytes(),
        req.method.as_bytes(),
        req.path.as_bytes(),
        req.media.as_bytes(),
        &req.body,
    ];
    for p in parts {
        h.update(&(p.len() as u64).to_be_bytes());
        h.update(p);
    }
    Digest(*h.finalize().as_bytes())
}

/// Sends an answer.
pub(super) async fn answer<K: Sink>(
    id: RequestId,
    verdict: Verdict,
    sink: &mut K,
) -> Result<(), Gone> {
    let (status, media, mut body) = match verdict {
        Verdict::Done {
            status,
            media,
            body,
        } => (status, media, body),
        Verdict::Failed(outcome) => {
            let retry = retry_after(&outcome);
            return sink.send(Reply::Failed { id, outcome, retry }).await;
        }
    };
    let end = Reply::End {
        id,
        length: body.len() as u64,
        digest: Digest::of(&body),
        version: None,
    };
    let head = Reply::Head {
        id,
        status,
        media,
        version: None,
    };
    sink.send(head).await?;
    while !body.is_empty() {
        let data: Bytes = body.split_to(body.len().min(PART_MAX));
        sink.send(Reply::Data { id, index: 0, data }).await?;
    }
    sink.send(end).await
}
