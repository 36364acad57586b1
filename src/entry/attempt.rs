//! One attempt of a request on one agent.

use std::net::SocketAddr;

use bytes::Bytes;

use super::{job::Job, shared::Shared};
use crate::{
    base::{Attempt as Number, Digest, Millis, VersionName},
    decide::route::{InFlightGuard, Target},
    net::{self, NetError},
    wire::{Call, NotRun, Reply, RunOutcome, FRAME_MAX},
};

/// Time to hand a request to the transport.
const SEND_TIMEOUT: Millis = Millis(2000);

/// Stall times of the service before an answer counts as broken: the agent notices a stalled endpoint after one and may
/// need another to continue the answer itself.
const STALLS: u64 = 2;

/// Interval at which a waiting request looks whether its agent is alive.
const LOOK: Millis = Millis(100);

/// Waits until the reports of an agent have stopped.
async fn silent(guard: &InFlightGuard) {
    while guard.is_reporting() {
        tokio::time::sleep(LOOK.duration()).await;
    }
}

/// Why an attempt brought no whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Fail {
    /// The agent guarantees that the attempt did not and will not run.
    NotRun(NotRun, Millis),
    /// Nothing was sent to the agent.
    Unsent,
    /// An earlier call holds the claim.
    InProgress(Millis),
    /// The agent or the connection was lost; the attempt may have run, and what arrived of it is good.
    Lost(String),
    /// What arrived is not the answer to the request, or has holes; the attempt may have run.
    Corrupt(&'static str),
    /// The caller's deadline passed.
    Deadline {
        /// Whether the request was sent, so that it may have run.
        sent: bool,
    },
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
    peer: SocketAddr,
    /// Counts the request at the agent.
    pub(super) guard: InFlightGuard,
    length: u64,
    hasher: Box<blake3::Hasher>,
    /// Output tokens that arrived or that the caller had before; never goes back.
    index: u32,
    headed: bool,
    /// Whether a frame of another request was dropped.
    crossed: bool,
    /// Whether a model answers, whose parts count tokens.
    tokens: bool,
}

impl Attempt {
    /// Sends the request to an agent.
    pub(super) async fn open(
        shared: &Shared,
        job: &Job,
        agent: &Target,
        number: Option<Number>,
        resume: u32,
    ) -> Result<Self, Fail> {
        let now = shared.now();
        let left = job.deadline - now;
        if left == Millis::ZERO {
            return Err(Fail::Deadline { sent: false });
        }
        let guard = agent.view.begin(now);
        let open = shared
            .ctx
            .open(Call::Run(job.request(left, number, resume)));
        let send = shared.ctx.transport.call(agent.peer, &open);
        let sent = tokio::time::timeout(left.min(SEND_TIMEOUT).duration(), send).await;
        match sent {
            Ok(Ok(call)) => Ok(Self {
                call,
                peer: agent.peer,
                guard,
                length: 0,
                hasher: Box::default(),
                index: resume,
                headed: false,
                crossed: false,
                tokens: job.version.is_some(),
            }),
            Ok(Err(NetError::Connect { .. })) => {
                guard.record_failure(shared.now());
                Err(Fail::Unsent)
            }
            Ok(Err(e)) => {
                guard.record_failure(shared.now());
                Err(Fail::Lost(e.to_string()))
            }
            Err(_) => {
                guard.record_failure(shared.now());
                shared.ctx.transport.discard(agent.peer);
                Err(Fail::Lost("the agent does not read".to_owned()))
            }
        }
    }

    /// Returns the next part; after an error the attempt is over.
    pub(super) async fn next(&mut self, shared: &Shared, job: &Job) -> Result<Part, Fail> {
        let mut out = self.receive(shared, job).await;
        // A dropped frame may have taken the place of one of the answer, so that a resumed stream would have a hole.
        if self.crossed && matches!(out, Err(Fail::Lost(_))) {
            out = Err(Fail::Corrupt("frames of another request arrived"));
        }
        if matches!(out, Err(Fail::Corrupt(_))) {
            shared.metrics.corrupt.inc();
        }
        match &out {
            Ok(Part::End) => self.guard.record_success(),
            Err(Fail::Lost(_) | Fail::Corrupt(_) | Fail::NotRun(NotRun::Endpoint, _)) => {
                self.guard.record_failure(shared.now());
            }
            _ => {}
        }
        out
    }

    async fn receive(&mut self, shared: &Shared, job: &Job) -> Result<Part, Fail> {
        loop {
            let left = job.deadline - shared.now();
            if left == Millis::ZERO {
                return Err(Fail::Deadline { sent: true });
            }
            // Before the answer begins the request may wait at the endpoint; then only the agent's reports show
            // whether it is alive.
            let wait = match self.headed {
                true => left.min(job.stall.times(STALLS)),
                false => left,
            };
            let guard = &self.guard;
            let reply = tokio::select! {
                reply = self.call.rx.next::<Reply>(FRAME_MAX, wait) => reply,
                () = silent(guard) => {
                    shared.ctx.transport.discard(self.peer);
                    return Err(Fail::Lost("the agent is silent".to_owned()));
                }
            };
            let reply = match reply {
                Ok(reply) => reply,
                Err(NetError::Timeout(_)) if wait == left => {
                    return Err(Fail::Deadline { sent: true });
                }
                Err(e) => {
                    if matches!(e, NetError::Timeout(_)) {
                        shared.ctx.transport.discard(self.peer);
                    }
                    return Err(Fail::Lost(e.to_string()));
                }
            };
            match self.accept(job, reply) {
                Ok(Some(part)) => return Ok(part),
                Ok(None) => {
                    self.crossed = true;
                    shared.metrics.crossed.inc();
                }
                Err(fail) => return Err(fail),
            }
        }
    }

    fn accept(&mut self, job: &Job, reply: Reply) -> Result<Option<Part>, Fail> {
        let corrupt = |text| Err(Fail::Corrupt(text));
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
                // An error of the endpoint holds no model output and may lack the version.
                let error = status >= 400 && version.is_none();
                if (version != job.version && !error) || self.headed {
                    return corrupt("the answer began with another version or twice");
                }
                self.headed = true;
                self.tokens &= status < 400;
                Ok(Some(Part::Head {
                    status,
                    media,
                    version,
                }))
            }
            Reply::Data { index, data, .. } => {
                if !self.headed || (self.tokens && index <= self.index) {
                    return corrupt("parts of the answer are out of order");
                }
                if self.tokens {
                    self.index = index;
                }
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
                    return corrupt("length or hash of the answer do not match its end");
                }
                if self.tokens && version != job.version {
                    return corrupt("the answer ended with another version");
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
