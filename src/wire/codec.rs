//! Frame encoding with size limits.

use bytes::{BufMut, Bytes, BytesMut};
use serde::{de::DeserializeOwned, Serialize};

/// Length of the frame prefix in bytes.
pub const FRAME_PREFIX: usize = 4;

/// Largest frame that is read, in bytes, without the prefix.
pub const FRAME_MAX: usize = 17 << 20;

/// A message that cannot be encoded or decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CodecError {
    /// The frame exceeds the limit for its type.
    #[error("a frame of {size} bytes exceeds the limit of {limit}; check the versions of both processes")]
    TooLarge {
        /// Length of the frame.
        size: usize,
        /// Limit in force.
        limit: usize,
    },
    /// The bytes are not a message of the expected type.
    #[error("a frame is malformed: {0}; check the versions of both processes")]
    Malformed(String),
}

/// Encodes a message with its length prefix.
///
/// # Errors
///
/// Returns [`CodecError::TooLarge`] if the message exceeds [`FRAME_MAX`].
pub fn encode<T: Serialize>(msg: &T) -> Result<Bytes, CodecError> {
    let mut out = BytesMut::with_capacity(256);
    out.put_u32(0);
    let mut out =
        postcard::to_extend(msg, out).map_err(|e| CodecError::Malformed(e.to_string()))?;
    let size = out.len() - FRAME_PREFIX;
    if size > FRAME_MAX {
        return Err(CodecError::TooLarge {
            size,
            limit: FRAME_MAX,
        });
    }
    out[..FRAME_PREFIX].copy_from_slice(&(size as u32).to_be_bytes());
    Ok(out.freeze())
}

/// Decodes a message without its length prefix; the whole input must be used.
///
/// # Errors
///
/// Returns [`CodecError::Malformed`] if the input is truncated, has trailing bytes or holds invalid values.
pub fn decode<T: DeserializeOwned>(data: &[u8]) -> Result<T, CodecError> {
    match postcard::take_from_bytes(data) {
        Ok((msg, [])) => Ok(msg),
        Ok((_, rest)) => Err(CodecError::Malformed(format!(
            "{} trailing bytes",
            rest.len()
        ))),
        Err(e) => Err(CodecError::Malformed(e.to_string())),
    }
}
