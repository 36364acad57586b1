//! Reads the bodies of callers' requests.
//!
//! A body is read to its end even if its request is rejected: a connection that is closed with unread bytes is reset, and
//! its caller, who has sent a whole request, may lose the response. Only a request that is shed, because the memory for
//! callers is used up, is rejected without the rest of its body.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::{timeout_at, Instant};

use super::reply::Reject;
use crate::{
    base::Millis,
    http::{HeldBody, Shed},
};

/// Largest part of a body, in bytes, that is read although it is not used.
const DISCARDED_MAX: usize = 8 << 20;

/// Longest time for a body, also where a catalog states more than the clock holds.
const TIME_MAX: Duration = Duration::from_secs(24 * 60 * 60);

fn end(time: Millis) -> Instant {
    Instant::now() + time.duration().min(TIME_MAX)
}

/// Smallest buffer for a body whose length is not known, in bytes.
const BUFFER_MIN: usize = 1 << 10;

/// Largest buffer for a body of which nothing has arrived, in bytes: a caller that states a length may send less.
const BUFFER_FIRST: usize = 8 << 10;

/// Mean `Retry-After` of requests that are shed.
const SHED_RETRY_AFTER: Millis = Millis(1000);

/// A complete body of a request.
#[derive(Debug, Default)]
pub(super) struct RequestBody {
    pub(super) data: Bytes,
    /// Keeps its memory counted; `None` if its connection does not count.
    pub(super) held: Option<HeldBody>,
}

/// Why a body is not complete.
enum ReadError {
    TooLarge,
    Broken,
    Shed,
}

impl From<Shed> for ReadError {
    fn from(_: Shed) -> Self {
        Self::Shed
    }
}

/// Returns the rejection of a request that was shed.
fn shed_reject() -> Reject {
    Reject::MemoryUsedUp(crate::base::jitter(SHED_RETRY_AFTER))
}

/// Reads a body of at most `max` bytes, for `time` at most, which `held` counts.
///
/// # Errors
///
/// Returns the rejection of a request whose body is too large, late or broken, or that was shed.
pub(super) async fn read(
    mut body: Incoming,
    max: usize,
    time: Millis,
    held: Option<HeldBody>,
) -> Result<RequestBody, Reject> {
    let end = end(time);
    if body.size_hint().lower() > max as u64 {
        discard_until(&mut body, end, held.as_ref()).await;
        return Err(Reject::TooLarge);
    }
    let collected = collect(&mut body, max, held.as_ref());
    let read = tokio::select! {
        biased;
        read = timeout_at(end, collected) => read.map_err(|_| Reject::RequestTimeout)?,
        () = shed(held.as_ref()) => Err(ReadError::Shed),
    };
    match read {
        Ok(data) => {
            if let Some(held) = &held {
                held.serve().map_err(|Shed| shed_reject())?;
            }
            Ok(RequestBody { data, held })
        }
        Err(ReadError::TooLarge) => {
            discard_until(&mut body, end, held.as_ref()).await;
            Err(Reject::TooLarge)
        }
        Err(ReadError::Broken) => Err(Reject::Malformed),
        Err(ReadError::Shed) => Err(shed_reject()),
    }
}

/// Waits until the request is shed.
async fn shed(held: Option<&HeldBody>) {
    match held {
        Some(held) => held.shed().await,
        None => std::future::pending().await,
    }
}

/// Copies a body, since each of its frames keeps the whole buffer that it was read into.
async fn collect(
    body: &mut Incoming,
    max: usize,
    held: Option<&HeldBody>,
) -> Result<Bytes, ReadError> {
    let mut out = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| ReadError::Broken)?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        let size = out.len() + data.len();
        if size > max {
            return Err(ReadError::TooLarge);
        }
        if size > out.capacity() {
            let left = body.size_hint().upper();
            let left = left.and_then(|n| usize::try_from(n).ok());
            let capacity = capacity(size, out.capacity(), left).min(max);
            if let Some(held) = held {
                held.resize(capacity)?;
            }
            out.reserve_exact(capacity - out.len());
        }
        out.extend_from_slice(data);
    }
    Ok(Bytes::from(out))
}

/// Returns the capacity of a buffer that must hold `size` bytes and held `old` ones. `left` is the number of bytes that
/// follow, if it is known.
fn capacity(size: usize, old: usize, left: Option<usize>) -> usize {
    let grown = size.max(old.saturating_mul(2));
    match left {
        Some(left) => size.saturating_add(left).min(grown.max(BUFFER_FIRST)),
        None => grown.max(BUFFER_MIN),
    }
}

/// Reads the body of a request that is rejected, for `time` at most or until it is shed.
pub(super) async fn discard(mut body: Incoming, time: Millis, held: Option<HeldBody>) {
    discard_until(&mut body, end(time), held.as_ref()).await;
}

async fn discard_until(body: &mut Incoming, end: Instant, held: Option<&HeldBody>) {
    if let Some(held) = held {
        // Smaller than before, which cannot fail.
        let _ = held.resize(0);
    }
    let read = async {
        let mut size = 0;
        while let Some(Ok(frame)) = body.frame().await {
            size += frame.data_ref().map_or(0, Bytes::len);
            if size > DISCARDED_MAX {
                return;
            }
        }
    };
    tokio::select! {
        // What is still missing then is not waited for.
        _ = timeout_at(end, read) => {}
        () = shed(held) => {}
    }
}
