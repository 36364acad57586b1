//! Compressed form of the catalog, in which entries pass it on.
//!
//! The links of all entries of a zone are shared by requests; the text of a catalog shrinks to about a tenth.

use std::io::{self, Read, Write};

use bytes::Bytes;
use flate2::{read::ZlibDecoder, write::ZlibEncoder, Compression};

/// Largest catalog that is taken, in bytes.
const SIZE_MAX: u64 = 16 << 20;

/// Compresses an encoded catalog.
///
/// # Errors
///
/// Returns an error only if memory cannot be written.
pub fn pack(raw: &[u8]) -> io::Result<Bytes> {
    let mut out = ZlibEncoder::new(Vec::new(), Compression::fast());
    out.write_all(raw)?;
    out.finish().map(Bytes::from)
}

/// Returns the encoded catalog.
///
/// # Errors
///
/// Returns an error if the data is malformed or the catalog is too large.
pub fn unpack(data: &[u8]) -> io::Result<Bytes> {
    let mut out = Vec::new();
    let mut limited = ZlibDecoder::new(data).take(SIZE_MAX);
    limited.read_to_end(&mut out)?;
    if limited.limit() == 0 {
        return Err(io::Error::other("the catalog is too large"));
    }
    Ok(out.into())
}
