//! Calls with a small request and a small response.

use std::{net::SocketAddr, time::Instant};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::{body::Incoming, Request, Response};

use super::{
    connect::{connect, Connection},
    framing::{has_unknown_coding, is_final},
    pool::Pool,
};
use crate::base::Millis;

/// Largest response body of a call, in bytes.
pub const BODY_MAX: usize = 8 << 20;

/// Limits of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallLimit {
    /// Longest time for the whole call.
    pub time: Millis,
    /// Largest body of the response, in bytes.
    pub body: usize,
    /// Whether the call returns the beginning of a body that is larger, or that has not arrived in time, instead of failing.
    pub cuts: bool,
}

impl From<Millis> for CallLimit {
    /// Limits the time, and the body to [`BODY_MAX`].
    fn from(time: Millis) -> Self {
        Self {
            time,
            body: BODY_MAX,
            cuts: false,
        }
    }
}

/// Longest time to open a connection.
const CONNECT: Millis = Millis(600);

/// Time for which an idle connection is kept after a call.
const IDLE: Millis = Millis(4000);

/// Idle connections kept for one address after calls.
const IDLE_MAX: usize = 8;

/// Time at which the head of a response arrived; an extension of each response to a call.
#[derive(Clone, Copy, Debug)]
pub struct HeadReceived(pub Instant);

/// Only the beginning of the body was read, because of the limits of the call; an extension of the response.
#[derive(Clone, Copy, Debug)]
pub struct BodyCut;

/// Why a call brought no response.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// No connection; the request was not sent.
    #[error("cannot connect to {0}: {1}; check the address and the peer")]
    Connect(SocketAddr, String),
    /// The path is not valid; nothing was sent.
    #[error("`{0}` is no valid path; check the names in it")]
    Path(String),
    /// The request may have had an effect.
    #[error("no whole response from {0}: {1}; the call may have taken effect")]
    Lost(SocketAddr, String),
    /// The body is larger than the limit in bytes; the call may have taken effect.
    #[error("the response from {0} is larger than {1} bytes; check whether the limit is right")]
    TooLarge(SocketAddr, usize),
}

/// Sends a request and reads its whole response within `limit`.
///
/// # Errors
///
/// Returns [`CallError::Lost`] if the connection ends early or the time is over, and [`CallError::TooLarge`] if the body is
/// larger than `limit`.
pub async fn call(
    pool: &Pool,
    addr: SocketAddr,
    req: Request<Full<Bytes>>,
    now: Millis,
    limit: impl Into<CallLimit>,
) -> Result<Response<Bytes>, CallError> {
    let limit = limit.into();
    let mut conn = pool
        .checkout(addr, now, CONNECT.min(limit.time))
        .await
        .map_err(|e| CallError::Connect(addr, e.to_string()))?;
    let res = exchange(&mut conn, addr, req, limit).await?;
    // The rest of a body that was cut would be taken for the next response.
    if res.extensions().get::<BodyCut>().is_none() {
        pool.put(addr, conn, now + limit.time + IDLE, IDLE_MAX);
    }
    Ok(res)
}

/// Reads the resource at a path; see [`call`].
///
/// # Errors
///
/// Returns an error if the path is not valid, or no whole response comes.
pub async fn get(
    pool: &Pool,
    addr: SocketAddr,
    path: &str,
    now: Millis,
    limit: impl Into<CallLimit>,
) -> Result<Response<Bytes>, CallError> {
    let mut req = Request::new(Full::default());
    *req.uri_mut() = path.parse().map_err(|_| CallError::Path(path.to_owned()))?;
    call(pool, addr, req, now, limit).await
}

/// Like [`call`], on a connection that is closed after the response.
///
/// # Errors
///
/// Returns an error under the same conditions as [`call`].
pub async fn call_once(
    addr: SocketAddr,
    req: Request<Full<Bytes>>,
    limit: impl Into<CallLimit>,
) -> Result<Response<Bytes>, CallError> {
    let limit = limit.into();
    let mut conn = connect(addr, CONNECT.min(limit.time))
        .await
        .map_err(|e| CallError::Connect(addr, e.to_string()))?;
    exchange(&mut conn, addr, req, limit).await
}

async fn exchange(
    conn: &mut Connection,
    addr: SocketAddr,
    req: Request<Full<Bytes>>,
    limit: CallLimit,
) -> Result<Response<Bytes>, CallError> {
    let end = tokio::time::Instant::now() + limit.time.duration();
    let late = || lost(addr, format!("no response within {}", limit.time));
    let head = tokio::time::timeout_at(end, read_head(conn, addr, req));
    let (mut head, body) = head.await.map_err(|_| late())??.into_parts();
    if limit.cuts {
        let (data, cut) = read_beginning(body, addr, limit.body, end).await?;
        if cut {
            head.extensions.insert(BodyCut);
        }
        return Ok(Response::from_parts(head, data));
    }
    let data = tokio::time::timeout_at(end, read_whole(body, addr, limit.body));
    let data = data.await.map_err(|_| late())??;
    Ok(Response::from_parts(head, data))
}

fn lost(addr: SocketAddr, reason: impl ToString) -> CallError {
    CallError::Lost(addr, reason.to_string())
}

/// Sends a request and reads the head of its response.
async fn read_head(
    conn: &mut Connection,
    addr: SocketAddr,
    req: Request<Full<Bytes>>,
) -> Result<Response<Incoming>, CallError> {
    let sent = conn.send(req).await;
    let mut res = sent.map_err(|e| lost(addr, e.into_error()))?;
    res.extensions_mut().insert(HeadReceived(Instant::now()));
    if !is_final(res.status()) {
        let status = res.status().as_u16();
        let text = format!("status {status}, which is no final response");
        return Err(lost(addr, text));
    }
    if has_unknown_coding(res.headers()) {
        return Err(lost(addr, "a transfer coding that is not `chunked`"));
    }
    Ok(res)
}

async fn read_whole(body: Incoming, addr: SocketAddr, max: usize) -> Result<Bytes, CallError> {
    let read = Limited::new(body, max).collect().await;
    let read = read.map_err(|e| match e.downcast::<LengthLimitError>() {
        Ok(_) => CallError::TooLarge(addr, max),
        Err(e) => lost(addr, e),
    })?;
    Ok(read.to_bytes())
}

/// Reads up to `max` bytes of a body until `end`; returns them, and whether the body is longer.
async fn read_beginning(
    mut body: Incoming,
    addr: SocketAddr,
    max: usize,
    end: tokio::time::Instant,
) -> Result<(Bytes, bool), CallError> {
    let mut out = BytesMut::new();
    loop {
        let Ok(frame) = tokio::time::timeout_at(end, body.frame()).await else {
            return Ok((out.freeze(), true));
        };
        let Some(frame) = frame else {
            return Ok((out.freeze(), false));
        };
        let frame = frame.map_err(|e| lost(addr, e))?;
        let data = frame.into_data().unwrap_or_default();
        let room = max - out.len();
        out.extend_from_slice(&data[..data.len().min(room)]);
        if data.len() > room {
            return Ok((out.freeze(), true));
        }
    }
}
