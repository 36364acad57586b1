//! Memory for responses of endpoints that are not passed on yet, shared by all requests of an entry.
//!
//! The size of each response is limited, but not how many a faulty endpoint begins at once: a process whose responses
//! together need more memory than its host has is killed with all its requests. So a response that grows over its equal
//! share of the memory is given up once the memory is used up.

use std::{cell::Cell, rc::Rc};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// Memory for all buffered responses, in bytes: a tenth of that of the smallest hosts, as vectors that grow take up to
/// twice their content, and shares that were taken earlier may add as much again.
const BUFFERED_MAX: usize = 16 << 20;

/// The memory that buffered responses hold.
#[derive(Debug, Default)]
pub(super) struct Buffers {
    /// Sum of the sizes of all responses, in bytes.
    used: Cell<usize>,
    /// Number of responses that hold memory.
    holders: Cell<usize>,
}

/// The memory that one response holds, until it is dropped.
#[derive(Debug)]
pub(super) struct Held {
    buffers: Rc<Buffers>,
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

impl Buffers {
    /// Begins a response, which holds nothing yet.
    pub(super) fn hold(self: &Rc<Self>) -> Held {
        self.holders.set(self.holders.get() + 1);
        Held {
            buffers: self.clone(),
            size: 0,
        }
    }

    /// Returns the size that each response may have, however much memory is used.
    fn share(&self) -> usize {
        BUFFERED_MAX / self.holders.get().max(1)
    }
}

impl Held {
    /// Sets the size of the response.
    ///
    /// # Errors
    ///
    /// Returns an error, and leaves the size as it was, if the response grows over its share and the memory is used up.
    pub(super) fn resize(&mut self, size: usize) -> Result<(), NoMemory> {
        let buffers = &self.buffers;
        let used = buffers.used.get() - self.size + size;
        if size > self.size && used > BUFFERED_MAX && size > buffers.share() {
            return Err(NoMemory(self.size));
        }
        buffers.used.set(used);
        self.size = size;
        Ok(())
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        let buffers = &self.buffers;
        buffers.used.set(buffers.used.get() - self.size);
        buffers.holders.set(buffers.holders.get() - 1);
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
