//! One attempt of a request on one agent.

use std::net::SocketAddr;

use bytes::Bytes;

use super::{job::Job, shared::Shared};
use crate::{
    base::{Attempt as Number, Clock, Digest, Millis, VersionName},
    net::{self, NetError},
    wire::{Call, NotRun, Reply, RunOutcome, FRAME_MAX},
};

/// Why an attempt brought no whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Fail {
    /// The agent guarantees that the attempt did not and will not run.
    NotRun(NotRun, Millis),
    /// Nothing was sent to the agent.
    Unsent(String),
    /// An earlier call holds the claim.
    InProgress(Millis),
    /// The agent or the connection was lost, or the answer is not whole; the attempt may have run.
    Lost(String),
    /// The caller's deadline passed; the attempt may have run.
    Deadline,
}

/// A part of an answer.
#[derive(Debug)]
pub(super) enum Part {
    /// The answer begins.
    Head {
        /// HTTP status.
        status: u16,
        /// Media type.
        media: String,
        /// Version that answers.
        version: Option<VersionName>,
    },
    /// Content.
    Data {
        /// Output tokens up to and including this part.
        index: u32,
        /// Text or body bytes.
        data: Bytes,
    },
    /// Length, hash and version were checked; the answer is whole.
    End,
}

/// One attempt of a request on one agent; the agent cancels it if this is dropped before the end.
#[derive(Debug)]
pub(super) struct Attempt {
    call: net::Call,
    length: u64,
    hasher: blake3::Hasher,
    /// Output tokens that arrived or that the caller had before; never goes back.
    index: u32,
    headed: bool,
}

impl Attempt {
    /// Sends the request to an agent.
    pub(super) async fn open(
        shared: &Shared,
        job: &Job,
        agent: SocketAddr,
        number: Option<Number>,
        resume: u32,
    ) -> Result<Self, Fail> {
        let left = job.deadline - shared.ctx.clock.now();
        if left == Millis::ZERO {
            return Err(Fail::Deadline);
        }
        let open = shared
            .ctx
            .open(Call::Run(job.request(left, number, resume)));
        let sent = tokio::time::timeout(left.duration(), shared.ctx.transport.call(agent, &open));
        match sent.await {
            Ok(Ok(call)) => Ok(Self {
                call,
                length: 0,
                hasher: blake3::Hasher::new(),
                index: resume,
                headed: false,
            }),
            Ok(Err(e @ NetError::Connect { .. })) => Err(Fail::Unsent(e.to_string())),
            Ok(Err(e)) => Err(Fail::Lost(e.to_string())),
            Err(_) => Err(Fail::Deadline),
        }
    }

    /// Returns the next part; after an error the attempt is over.
    pub(super) async fn next(&mut self, shared: &Shared, job: &Job) -> Result<Part, Fail> {
        loop {
            let left = job.deadline - shared.ctx.clock.now();
            if left == Millis::ZERO {
                return Err(Fail::Deadline);
            }
            let wait = if self.headed {
                left.min(job.stall)
            } else {
                left
            };
            let reply = match self.call.rx.next::<Reply>(FRAME_MAX, wait).await {
                Ok(reply) => reply,
                Err(NetError::Timeout(_)) if wait == left => return Err(Fail::Deadline),
                Err(e) => return Err(Fail::Lost(e.to_string())),
            };
            if let Some(part) = self.accept(job, reply)? {
                return Ok(part);
            }
        }
    }

    fn accept(&mut self, job: &Job, reply: Reply) -> Result<Option<Part>, Fail> {
        let lost = |text: &str| Err(Fail::Lost(text.to_owned()));
        let id = match &reply {
            Reply::Head { id, .. }
            | Reply::Data { id, .. }
            | Reply::End { id, .. }
            | Reply::Failed { id, .. } => *id,
        };
        if id != job.id {
            return Ok(None);
        }
        match reply {
            Reply::Head {
                status,
                media,
                version,
                ..
            } => {
                if version != job.version || self.headed {
                    return lost("the answer began with another version or twice");
                }
                self.headed = true;
                Ok(Some(Part::Head {
                    status,
                    media,
                    version,
                }))
            }
            Reply::Data { index, data, .. } => {
                let tokens = job.version.is_some();
                if !self.headed || (tokens && index <= self.index) {
                    return lost("parts of the answer are out of order");
                }
                self.index = index;
                self.length += data.len() as u64;
                self.hasher.update(&data);
                Ok(Some(Part::Data { index, data }))
            }
            Reply::End {
                length,
                digest,
                version,
                ..
            } => {
                let whole = self.headed
                    && length == self.length
                    && digest == Digest(*self.hasher.finalize().as_bytes());
                if !whole {
                    return lost("length or hash of the answer do not match its end");
                }
                if version != job.version {
                    return lost("the answer ended with another version");
                }
                self.call.tx.finish();
                Ok(Some(Part::End))
            }
            Reply::Failed { outcome, retry, .. } => Err(match outcome {
                RunOutcome::NotRun(reason) => Fail::NotRun(reason, retry),
                RunOutcome::InProgress { .. } => Fail::InProgress(retry),
                RunOutcome::MayHaveRun => Fail::Lost("the agent lost the endpoint".to_owned()),
            }),
        }
    }
}
