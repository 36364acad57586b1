//! Reads the bodies of callers' requests.
//!
//! A body is read to its end even if its request is rejected: a connection that is closed with unread bytes is reset, and
//! its caller, who has sent a whole request, may lose the response.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use tokio::time::{timeout_at, Instant};

use super::reply::Reject;
use crate::base::Millis;

/// Largest part of a body, in bytes, that is read although it is not used.
const DISCARDED_MAX: usize = 8 << 20;

/// Longest time for a body, also where a catalog states more than the clock holds.
const TIME_MAX: Duration = Duration::from_secs(24 * 60 * 60);

fn end(time: Millis) -> Instant {
    Instant::now() + time.duration().min(TIME_MAX)
}

/// Reads a body of at most `max` bytes, for `time` at most.
///
/// # Errors
///
/// Returns the rejection of a request whose body is too large, late or broken.
pub(super) async fn read(mut body: Incoming, max: usize, time: Millis) -> Result<Bytes, Reject> {
    let end = end(time);
    if body.size_hint().lower() > max as u64 {
        discard_until(&mut body, end).await;
        return Err(Reject::TooLarge);
    }
    let collected = Limited::new(&mut body, max).collect();
    let read = timeout_at(end, collected).await;
    match read.map_err(|_| Reject::RequestTimeout)? {
        Ok(read) => Ok(read.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => {
            discard_until(&mut body, end).await;
            Err(Reject::TooLarge)
        }
        Err(_) => Err(Reject::Malformed),
    }
}

/// Reads the body of a request that is rejected, for `time` at most.
pub(super) async fn discard(mut body: Incoming, time: Millis) {
    discard_until(&mut body, end(time)).await;
}

async fn discard_until(body: &mut Incoming, end: Instant) {
    let read = async {
        let mut size = 0;
        while let Some(Ok(frame)) = body.frame().await {
            size += frame.data_ref().map_or(0, Bytes::len);
            if size > DISCARDED_MAX {
                return;
            }
        }
    };
    // What is still missing then is not waited for.
    let _ = timeout_at(end, read).await;
}
