//! Memory of endpoints' responses that are not passed on yet, within the budget for callers.
//!
//! The size of each response is limited, but not how many a faulty endpoint begins at once: a process whose responses
//! together need more memory than its host has is killed with all its requests. So a response that grows over its equal
//! share of the memory is given up once the memory is used up (`decide/shed.rs`).

use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::http::Callers;

/// The memory that one response holds, until it is dropped.
#[derive(Debug)]
pub(super) struct Held {
    callers: Rc<Callers>,
    /// Size of the response so far, in bytes.
    size: usize,
}

/// There is no memory for more of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no memory for more than {0} bytes of the response; check the endpoints")]
pub(super) struct NoMemory(usize);

/// Why a response cannot be buffered.
#[derive(Debug, thiserror::Error)]
pub(super) enum BufferError {
    /// Its connection ended early.
    #[error(transparent)]
    Connection(#[from] hyper::Error),
    /// It exceeds its limit, in bytes.
    #[error("the response exceeds {0} bytes; check the endpoint")]
    TooLarge(usize),
    /// All responses together need too much memory.
    #[error(transparent)]
    NoMemory(#[from] NoMemory),
}

impl Held {
    /// Begins a response, which holds nothing yet.
    pub(super) fn new(callers: &Rc<Callers>) -> Self {
        callers.begin_response();
        Self {
            callers: callers.clone(),
            size: 0,
        }
    }

    /// Sets the size of the response.
    ///
    /// # Errors
    ///
    /// Returns an error, and leaves the size as it was, if the response grows over its share and the memory is used up.
    pub(super) fn resize(&mut self, size: usize) -> Result<(), NoMemory> {
        let resized = self.callers.resize_response(self.size, size);
        resized.map_err(|_| NoMemory(self.size))?;
        self.size = size;
        Ok(())
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.callers.end_response(self.size);
    }
}

/// Reads a body of at most `max` bytes, which `held` holds.
///
/// # Errors
///
/// Returns why the body cannot be read to its end.
pub(super) async fn collect(
    mut body: Incoming,
    max: usize,
    held: &mut Held,
) -> Result<Bytes, BufferError> {
    let mut first = Bytes::new();
    let mut rest = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        let size = held.size + data.len();
        if size > max {
            return Err(BufferError::TooLarge(max));
        }
        held.resize(size)?;
        if first.is_empty() && rest.is_empty() {
            first = data;
            continue;
        }
        rest.extend_from_slice(&std::mem::take(&mut first));
        rest.extend_from_slice(&data);
    }
    if rest.is_empty() {
        return Ok(first);
    }
    Ok(rest.freeze())
}
