//! Where the body of a response ends.

use hyper::header::{HeaderMap, TRANSFER_ENCODING};

/// Returns whether a response has a transfer coding other than `chunked`. Its body ends with the connection then, even
/// if the head names a length, so that nothing tells whether it is complete.
pub(crate) fn has_unknown_coding(headers: &HeaderMap) -> bool {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let Some(coding) = codings.next() else {
        return false;
    };
    let chunked = coding
        .as_bytes()
        .trim_ascii()
        .eq_ignore_ascii_case(b"chunked");
    !chunked || codings.next().is_some()
}
