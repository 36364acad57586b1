//! Answers as server-sent events.

use futures_util::Stream;
use rocket::{
    http::ContentType,
    response::{stream::ByteStream, Responder},
    Request, Response,
};
use serde::Serialize;

use super::{
    answer::{collect, first_byte, Whole},
    attempt::{Attempt, Fail, Part},
    events::{ENDED, REFUSED},
    flight::{After, Flight, Opened},
    gate::Permit,
    outcome::{Problem, OUTCOME, REQUEST, VERSION},
    shared::Running,
};
use crate::base::{Digest, VersionName};

#[derive(Serialize)]
struct Token<'a> {
    id: &'a str,
    version: &'a str,
    index: u32,
    text: &'a str,
}

#[derive(Serialize)]
struct Done<'a> {
    id: &'a str,
    version: &'a str,
    done: bool,
    tokens: u32,
    hash: Digest,
}

/// A stream of server-sent events to a caller; the request is cancelled if this is dropped.
struct Events {
    flight: Flight,
    /// `None` between two attempts.
    attempt: Option<Attempt>,
    permit: Permit,
    /// Counts as in progress until the last event was sent.
    _running: Running,
    id: String,
    version: String,
    hasher: Box<blake3::Hasher>,
    over: bool,
}

fn event(data: &impl Serialize) -> String {
    let json = serde_json::to_string(data).unwrap_or_default();
    format!("data: {json}\n\n")
}

impl Events {
    /// Returns the next event, or `None` after the last one.
    async fn next(&mut self) -> Option<String> {
        while !self.over {
            let Some(attempt) = &mut self.attempt else {
                match self.flight.open().await {
                    Ok(Opened::Running(attempt)) => self.attempt = Some(attempt),
                    Ok(Opened::Done(_)) => return Some(self.lost()),
                    Err(problem) => return Some(self.error(&problem)),
                }
                continue;
            };
            let part = attempt.next(&self.flight.shared, &self.flight.job).await;
            let fail = match part {
                Ok(Part::Head { status: 200, .. }) => continue,
                Ok(Part::Head { .. }) => Fail::Corrupt("the endpoint refused to resume"),
                Ok(Part::Data { index, data }) => match std::str::from_utf8(&data) {
                    Ok(text) => return Some(self.token(index, text)),
                    Err(_) => Fail::Corrupt("the answer is not text"),
                },
                Ok(Part::End) => return Some(self.end()),
                Err(fail) => fail,
            };
            self.attempt = None;
            match self.flight.after(fail).await {
                Ok(After::Again) => {}
                Ok(After::Done(_)) => return Some(self.lost()),
                Err(problem) => return Some(self.error(&problem)),
            }
        }
        None
    }

    fn token(&mut self, index: u32, text: &str) -> String {
        if self.flight.delivered == 0 {
            first_byte(&self.flight);
        }
        self.flight.delivered = index;
        self.hasher.update(text.as_bytes());
        event(&Token {
            id: &self.id,
            version: &self.version,
            index,
            text,
        })
    }

    fn end(&mut self) -> String {
        self.over = true;
        self.attempt = None;
        self.permit.answered();
        self.flight.note_end(&ENDED, "done", "");
        let done = event(&Done {
            id: &self.id,
            version: &self.version,
            done: true,
            tokens: self.flight.delivered,
            hash: Digest(*self.hasher.finalize().as_bytes()),
        });
        format!("{done}data: [DONE]\n\n")
    }

    fn lost(&mut self) -> String {
        self.error(&Problem::may_have_run("the stream cannot be continued"))
    }

    fn error(&mut self, problem: &Problem) -> String {
        self.over = true;
        self.attempt = None;
        let kind = problem.kind.to_string();
        self.flight.note_end(&REFUSED, &kind, &problem.error);
        format!("event: error\ndata: {}\n\n", problem.json())
    }
}

fn stream(events: Events) -> impl Stream<Item = String> + Send + 'static {
    futures_util::stream::unfold(events, |mut events| async move {
        let text = events.next().await?;
        Some((text, events))
    })
}

/// Waits for the beginning of an answer, with further attempts as long as the caller has nothing.
async fn begin(flight: &mut Flight) -> Result<(Attempt, Head), Problem> {
    loop {
        let mut attempt = match flight.open().await? {
            Opened::Running(attempt) => attempt,
            Opened::Done(_) => return Err(Problem::may_have_run("the stream has ended")),
        };
        let fail = match attempt.next(&flight.shared, &flight.job).await {
            Ok(Part::Head {
                status: 200,
                version,
                ..
            }) => {
                return Ok((attempt, Head::Stream(version)));
            }
            Ok(Part::Head { status, media, .. }) => match collect(flight, &mut attempt).await {
                Ok(rest) => {
                    let whole = Whole {
                        status,
                        media,
                        ..rest
                    };
                    return Ok((attempt, Head::Error(whole)));
                }
                Err(fail) => fail,
            },
            Ok(_) => Fail::Corrupt("the answer has no beginning"),
            Err(fail) => fail,
        };
        drop(attempt);
        flight.after(fail).await?;
    }
}

/// Beginning of an answer.
enum Head {
    /// Tokens follow.
    Stream(Option<VersionName>),
    /// The endpoint refused the request with this answer.
    Error(Whole),
}

/// Runs a request and streams the answer as server-sent events.
///
/// # Errors
///
/// Returns the outcome if the answer does not begin; later failures become an error event.
pub(super) async fn events<'r>(
    mut flight: Flight,
    permit: Permit,
    running: Running,
    req: &'r Request<'_>,
) -> Result<Response<'r>, Problem> {
    let (attempt, head) = begin(&mut flight).await?;
    let version = match head {
        Head::Stream(version) => version.map_or_else(String::new, |v| v.to_string()),
        Head::Error(whole) => {
            flight.note_end(&ENDED, "done", "");
            return Ok(whole.plain(&flight.job, running));
        }
    };
    let id = flight.job.id.to_string();
    let events = Events {
        flight,
        attempt: Some(attempt),
        permit,
        _running: running,
        id: id.clone(),
        version: version.clone(),
        hasher: Box::default(),
        over: false,
    };
    let mut out = ByteStream(stream(events))
        .respond_to(req)
        .map_err(|_| Problem::may_have_run("the answer cannot be streamed"))?;
    out.set_header(ContentType::EventStream);
    out.set_raw_header("Cache-Control", "no-cache");
    out.set_raw_header(REQUEST, id);
    out.set_raw_header(OUTCOME, "streaming");
    out.set_raw_header(VERSION, version);
    Ok(out)
}
