//! Compression of the catalog for transfer between entries.
//!
//! Requests and transfers share the links of the entries of a zone; compression reduces the text of a catalog to about
//! a tenth.

use std::io::{self, Read, Write};

use bytes::Bytes;
use flate2::{read::ZlibDecoder, write::ZlibEncoder, Compression};

/// Limit on the size of an uncompressed catalog, in bytes.
const UNCOMPRESSED_MAX: u64 = 16 << 20;

/// Compresses an encoded catalog.
///
/// # Errors
///
/// Returns an error only if memory cannot be written.
pub fn compress(raw: &[u8]) -> io::Result<Bytes> {
    let mut out = ZlibEncoder::new(Vec::new(), Compression::fast());
    out.write_all(raw)?;
    out.finish().map(Bytes::from)
}

/// Decompresses an encoded catalog.
///
/// # Errors
///
/// Returns an error if the data is malformed or the catalog is too large.
pub fn decompress(data: &[u8]) -> io::Result<Bytes> {
    let mut out = Vec::new();
    let mut limited = ZlibDecoder::new(data).take(UNCOMPRESSED_MAX);
    limited.read_to_end(&mut out)?;
    if limited.limit() == 0 {
        return Err(io::Error::other("the catalog has 16 MiB or more"));
    }
    Ok(out.into())
}
