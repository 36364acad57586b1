//! Whole answers: nothing is sent to the caller before length and hash were checked.

use std::{
    io::{Cursor, SeekFrom},
    pin::Pin,
    task::{Context, Poll},
};

use bytes::{Bytes, BytesMut};
use rocket::{
    http::{ContentType, Status},
    Response,
};
use serde::Serialize;
use tokio::io::{AsyncRead, AsyncSeek, ReadBuf};

use super::{
    attempt::{Attempt, Fail, Part},
    events::FIRST_BYTE,
    flight::{After, Flight, Opened},
    gate::Permit,
    job::Job,
    outcome::{Problem, OUTCOME, REQUEST, VERSION},
    shared::Running,
};
use crate::{
    base::{Digest, VersionName},
    kernel::Outcome,
};

/// An answer that was checked as a whole.
#[derive(Debug, Default)]
pub(super) struct Whole {
    pub(super) status: u16,
    pub(super) media: String,
    pub(super) version: Option<VersionName>,
    /// Output tokens.
    pub(super) tokens: u32,
    pub(super) body: Bytes,
}

#[derive(Serialize)]
struct Completion<'a> {
    id: String,
    version: &'a str,
    text: &'a str,
    tokens: u32,
    hash: Digest,
}

/// Reads the rest of an attempt.
pub(super) async fn collect(flight: &Flight, attempt: &mut Attempt) -> Result<Whole, Fail> {
    let shared = &flight.shared;
    let mut out = Whole::default();
    let mut body = BytesMut::new();
    loop {
        match attempt.next(shared, &flight.job).await? {
            Part::Head {
                status,
                media,
                version,
            } => (out.status, out.media, out.version) = (status, media, version),
            Part::Data { index, data } => {
                if body.is_empty() {
                    first_byte(flight);
                }
                out.tokens = index;
                body.extend_from_slice(&data);
            }
            Part::End => {
                out.body = body.freeze();
                return Ok(out);
            }
        }
    }
}

/// Notes that the first part of an answer arrived.
pub(super) fn first_byte(flight: &Flight) {
    let shared = &flight.shared;
    let time = shared.now() - flight.job.arrived;
    shared.metrics.first.observe(time.duration().as_secs_f64());
    let timeline = &shared.ctx.timeline;
    timeline.record(&FIRST_BYTE, flight.job.id, "");
}

/// Runs a request and returns the whole answer.
///
/// # Errors
///
/// Returns the outcome if there is no whole answer.
pub(super) async fn whole(flight: &mut Flight, permit: &mut Permit) -> Result<Whole, Problem> {
    loop {
        let mut attempt = match flight.open().await? {
            Opened::Running(attempt) => attempt,
            Opened::Done(outcome) => return stored(outcome),
        };
        let fail = match collect(flight, &mut attempt).await {
            Ok(whole) => {
                permit.answered();
                return Ok(whole);
            }
            Err(fail) => fail,
        };
        drop(attempt);
        if let After::Done(outcome) = flight.after(fail).await? {
            return stored(outcome);
        }
    }
}

/// Returns the answer that the log keeps of a non-repeatable request.
fn stored(outcome: Outcome) -> Result<Whole, Problem> {
    match outcome.body {
        Some(body) if Digest::of(&body) == outcome.digest => Ok(Whole {
            status: outcome.status,
            media: outcome.media,
            body: body.into(),
            ..Whole::default()
        }),
        _ => Err(Problem::may_have_run(format!(
            "the request ran with status {}, and its answer is no longer available",
            outcome.status
        ))),
    }
}

impl Whole {
    /// Builds the response of a plain service, or of an endpoint's error.
    pub(super) fn plain(self, job: &Job, running: Running) -> Response<'static> {
        let mut out = Response::build();
        out.status(Status::new(self.status))
            .raw_header(REQUEST, job.id.to_string())
            .raw_header(OUTCOME, "done");
        if !self.media.is_empty() {
            out.raw_header("Content-Type", self.media);
        }
        out.sized_body(self.body.len(), Held::new(self.body, running));
        out.finalize()
    }

    /// Builds the JSON response of a completion.
    pub(super) fn completion(
        self,
        job: &Job,
        running: Running,
    ) -> Result<Response<'static>, Problem> {
        if self.status != 200 {
            return Ok(self.plain(job, running));
        }
        let text = std::str::from_utf8(&self.body)
            .map_err(|_| Problem::may_have_run("the endpoint's answer is not text"))?;
        let version = self.version.as_ref().map_or("", VersionName::as_str);
        let body = serde_json::to_vec(&Completion {
            id: job.id.to_string(),
            version,
            text,
            tokens: self.tokens,
            hash: Digest::of(&self.body),
        })
        .unwrap_or_default();
        let mut out = Response::build();
        out.header(ContentType::JSON)
            .raw_header(REQUEST, job.id.to_string())
            .raw_header(OUTCOME, "done")
            .raw_header(VERSION, version.to_owned())
            .sized_body(body.len(), Held::new(body.into(), running));
        Ok(out.finalize())
    }
}

/// A body that counts as a request in progress until it was sent.
struct Held {
    body: Cursor<Bytes>,
    _running: Running,
}

impl Held {
    fn new(body: Bytes, running: Running) -> Self {
        Self {
            body: Cursor::new(body),
            _running: running,
        }
    }
}

impl AsyncRead for Held {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.body).poll_read(cx, buf)
    }
}

impl AsyncSeek for Held {
    fn start_seek(mut self: Pin<&mut Self>, position: SeekFrom) -> std::io::Result<()> {
        Pin::new(&mut self.body).start_seek(position)
    }

    fn poll_complete(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<u64>> {
        Pin::new(&mut self.body).poll_complete(cx)
    }
}
